/**
 * Polls of other routers, the responses to such polls, and reports of the version in force.
 */
#include "router_sync.h"
#include "config_snapshot.h"
#include "router.h"

enum {
  ROUTER_POLL_TIMEOUT_MS = 600,

  /* Strict: all routers are polled at this interval while the last confirmation or the engine list
     is older than these ages. Confirmation and list are valid for 2000 ms; both ages leave about
     one second of that to hear from a majority before work has to be refused. */
  POLL_ALL_INTERVAL_MS = 250,
  MAX_CONFIRMATION_AGE_MS = 900,
  MAX_ENGINE_LIST_AGE_MS = 1300,
  /* Strict: reports are repeated, because they may be lost and the head may have changed. */
  REPORT_VERSION_INTERVAL_MS = 500,

  /* Relaxed: one router is polled at this interval while no controller has responded for
     CONTROLLERS_SILENT_MS. */
  POLL_ONE_INTERVAL_MS = 500,
  CONTROLLERS_SILENT_MS = 2000,

  /* A peer is sent the engine list only if its own is older by at least this much. */
  ENGINE_LIST_MIN_GAIN_MS = 200,

  /* Ages above these are treated as errors of the sender and ignored; counts are capped. */
  MAX_PLAUSIBLE_CONFIRMATION_AGE_MS = 100000,
  MAX_PLAUSIBLE_ENGINE_LIST_AGE_MS = 100000000,
  MAX_PLAUSIBLE_ROUTERS = 10000
};

/* Arguments of the task that polls a router. */
typedef struct router_poll_task {
  router *router;
  id peer_id;
  char address[48];
} router_poll_task;

void router_sync_report_version(router *router) {
  Wire__VersionReport report = WIRE__VERSION_REPORT__INIT;
  report.sequence = router->sync.config_version;
  report.fleet_id = router->sync.fleet_id;
  Wire__Envelope message = wire_envelope(WIRE__ENVELOPE__BODY_VERSION_REPORT, &report);
  list_for_each (peer, &router->node.peers, peer_node, link)
    if (peer->role == ROLE_CONTROLLER && !peer->gone)
      peer_rpc_send(&router->node, peer->address, &message);
}

/* Converts an age in a poll response to a point in time by this node's clock. The age is subtracted
 * from the time at which the poll was sent, because clocks of different processes are never
 * compared. The result may be too old but never too recent. */
static time_us instant_of_age(const config_exchange *exchange, uint64_t age_ms) {
  return time_sub(exchange->sent_at, time_from_ms((int64_t)age_ms));
}

static void apply_confirmation(router *router, peer_node *peer, const config_exchange *exchange) {
  const Wire__ConfigPollResponse *response = exchange->response;
  if (!config_sync_is_up_to_date(router, exchange))
    return;
  time_us confirmed_at = instant_of_age(exchange, response->confirmed_age_ms);
  if (response->confirmed_age_ms &&
      router_happened_within(router, confirmed_at, CONFIRMATION_VALID_MS))
    config_sync_confirm(router, confirmed_at);
  if (response->ever_confirmed) {
    peer->confirmed_at = exchange->sent_at;
    peer->known_routers = MIN(response->known_routers, MAX_PLAUSIBLE_ROUTERS);
  }
}

static void apply_engine_list(router *router, peer_node *peer, const config_exchange *exchange) {
  const Wire__ConfigPollResponse *response = exchange->response;
  uint64_t age_ms = response->engine_list_age_ms;
  if (!age_ms || age_ms > ENGINE_LIST_VALID_MS)
    peer->list_outdated_at = exchange->sent_at;
  if (!age_ms || !response->engine_list.len)
    return;
  time_us listed_at = instant_of_age(exchange, age_ms);
  string_view list = { (char *)response->engine_list.data, response->engine_list.len };
  if (engine_list_is_newer(router, listed_at) && !engine_list_merge(router, list, listed_at))
    log_info(&router->node.log, "platform",
             "Refused the engine list received from %s: it is malformed (code %d).",
             peer->self.text, E_WIRE_MESSAGE);
}

static bool ages_are_plausible(const Wire__ConfigPollResponse *response) {
  return response->confirmed_age_ms < MAX_PLAUSIBLE_CONFIRMATION_AGE_MS &&
         response->engine_list_age_ms < MAX_PLAUSIBLE_ENGINE_LIST_AGE_MS;
}

static void poll_router(router *router, const char *address, id peer_id) {
  Wire__ConfigPollRequest request;
  config_sync_prepare(router, &request);
  config_exchange exchange;
  if (!config_sync_poll(router, address, &request, ROUTER_POLL_TIMEOUT_MS, &exchange))
    return;
  if (exchange.response) {
    config_sync_install(router, &exchange, address);
    peer_node *peer = peer_table_find(&router->node, peer_id);
    if (peer && ages_are_plausible(exchange.response)) {
      apply_confirmation(router, peer, &exchange);
      apply_engine_list(router, peer, &exchange);
    }
  }
  config_sync_finish(router, &exchange);
}

static void poll_router_run(void *context) {
  router_poll_task *task = context;
  poll_router(task->router, task->address, task->peer_id);
  peer_node *peer = peer_table_find(&task->router->node, task->peer_id);
  if (peer)
    peer->poll_pending = false;
  g_free(task);
}

static void start_poll(router *router, peer_node *peer) {
  peer->poll_pending = true;
  router_poll_task *task = g_new0(router_poll_task, 1);
  task->router = router;
  task->peer_id = peer->self;
  g_strlcpy(task->address, peer->address, sizeof task->address);
  task_start(&router->node.world->tasks, "router poll", poll_router_run, task);
}

/* Strict: polls all routers while controllers or the platform do not respond. */
static void poll_all_routers_run(void *context) {
  router *router = context;
  while (world_sleep_with_jitter(router->node.world, time_from_ms(POLL_ALL_INTERVAL_MS))) {
    bool recent =
        router_happened_within(router, router->sync.config_confirmed_at, MAX_CONFIRMATION_AGE_MS) &&
        router_happened_within(router, router->engine_list.received_at, MAX_ENGINE_LIST_AGE_MS);
    /* keeps admission.lost_at up to date while no requests arrive */
    admission_may_admit(router);
    if (recent)
      continue;
    list_for_each (peer, &router->node.peers, peer_node, link)
      if (peer->role == ROLE_ROUTER && !peer->draining && !peer->poll_pending)
        start_poll(router, peer);
  }
}

/* Relaxed: polls one router at intervals while controllers do not respond. */
static void poll_one_router_run(void *context) {
  router *router = context;
  while (world_sleep_with_jitter(router->node.world, time_from_ms(POLL_ONE_INTERVAL_MS))) {
    if (router->config && controller_poll_answered_within(router, CONTROLLERS_SILENT_MS))
      continue;
    const peer_node *peer = peer_table_pick(&router->node, ROLE_ROUTER, NULL);
    if (!peer || peer->gone)
      continue;
    /* the peer may be removed from the table while the poll waits */
    id peer_id = peer->self;
    char address[sizeof peer->address];
    g_strlcpy(address, peer->address, sizeof address);
    poll_router(router, address, peer_id);
  }
}

static void report_version_run(void *context) {
  router *router = context;
  while (world_sleep_with_jitter(router->node.world, time_from_ms(REPORT_VERSION_INTERVAL_MS)))
    if (router->config)
      router_sync_report_version(router);
}

static void fill_engine_list(router *router, reply *reply, const Wire__ConfigPollRequest *request,
                             Wire__ConfigPollResponse *response) {
  const GString *list = router->engine_list.json;
  response->engine_list_age_ms = engine_list_age_ms(router);
  if (!response->engine_list_age_ms || !list->len)
    return;
  if (request->engine_list_age_ms &&
      request->engine_list_age_ms <= response->engine_list_age_ms + ENGINE_LIST_MIN_GAIN_MS)
    return;
  response->engine_list.len = list->len;
  response->engine_list.data = reply_alloc(reply, list->len + 1);
  memcpy(response->engine_list.data, list->str, list->len);
}

/* Responds to the poll of another router. */
static enum error_code on_config_poll(void *context, Wire__Envelope *in, reply *reply, error *err) {
  router *router = context;
  const config_sync *sync = &router->sync;
  const Wire__ConfigPollRequest *request = in->config_poll_request;
  if (request->fleet_id && sync->fleet_id && request->fleet_id != sync->fleet_id)
    return error_set(err, E_VIEW_MISMATCH, "another fleet");
  Wire__ConfigPollResponse *response = reply_new_body(
      reply, WIRE__ENVELOPE__BODY_CONFIG_POLL_RESPONSE, &wire__config_poll_response__descriptor);
  response->epoch = sync->view_epoch;
  response->sequence = router->sync.config_version;
  if (config_sync_is_recent(router))
    response->confirmed_age_ms = config_sync_age_ms(router, sync->config_confirmed_at);
  response->ever_confirmed = sync->ever_confirmed;
  response->known_routers = (uint32_t)peer_table_count(&router->node, ROLE_ROUTER);
  fill_engine_list(router, reply, request, response);
  response->changed = router->config && router->sync.config_version > request->sequence;
  if (response->changed)
    config_snapshot_pack(router, reply, &response->snapshot);
  return OK;
}

void router_sync_register(router *router) {
  peer_rpc_register_handler(&router->node, WIRE__ENVELOPE__BODY_CONFIG_POLL_REQUEST, on_config_poll,
                            router);
}

void router_sync_start(router *router) {
  if (router->node.settings.relaxed_timing) {
    task_start(&router->node.world->tasks, "router polls", poll_one_router_run, router);
    return;
  }
  task_start(&router->node.world->tasks, "router polls", poll_all_routers_run, router);
  task_start(&router->node.world->tasks, "version report", report_version_run, router);
}
