/**
 * The task that polls controllers in turn, and the hedged polls sent in parallel.
 */
#include "controller_poll.h"
#include "router.h"

enum {
  /* Timeout of a poll. Strict: a controller holds it open for up to 500 ms and a confirmation is
     valid for 2000 ms, so two controllers can be tried within that time. */
  POLL_TIMEOUT_MS = 900,
  /* Relaxed: a poll is held open for up to 1000 ms. This timeout need not detect an unresponsive
     controller, because hedged polls do. On a busy node, responses arrive late but are still
     needed, so the timeout grows with the latency of the last poll. */
  POLL_TIMEOUT_RELAXED_MS = 1500,
  MAX_POLL_TIMEOUT_MS = 6000,
  POLL_TIMEOUT_LATENCY_FACTOR = 3,
  /* The longest hold time that is added to a confirmation. */
  MAX_CONFIRMED_HOLD_MS = POLL_TIMEOUT_RELAXED_MS,

  /* Pause after a response that arrives sooner than this, so that immediate responses do not cause
     a busy loop. Shorter in strict mode, because an operator's write waits for routers. */
  MIN_POLL_INTERVAL_MS = 50,
  MIN_POLL_INTERVAL_RELAXED_MS = 100,
  /* Pauses after a failed poll: when another controller was named, when none was named, and when no
     controller is known. */
  RETRY_HINTED_MS = 30,
  RETRY_MS = 120,
  RETRY_NO_CONTROLLER_MS = 250,

  /* Relaxed mode only; see controller_poll.h. */
  HEDGE_AFTER_MS = 600,
  HEDGE_INTERVAL_MS = 300,
  /* Controllers answer hedged polls immediately. After HEDGED_POLL_OVERDUE_MS the controller is
     marked as failed, but the response is still awaited, because on a busy node all responses
     arrive late and their contents are needed. */
  HEDGED_POLL_OVERDUE_MS = 600,
  HEDGED_POLL_TIMEOUT_MS = 5000
};

enum poll_kind {
  /* The controller holds it open until there is something newer. Also requests engine changes. */
  POLL_LONG,
  /* The controller responds immediately; sent in parallel to a long poll. */
  POLL_HEDGED
};

/* Arguments of the task that runs a hedged poll. */
typedef struct hedged_poll_task {
  router *router;
  char address[48];
  int poll_index;
} hedged_poll_task;

bool controller_poll_answered_within(router *router, int64_t ms) {
  return router_happened_within(router, router->controllers.controller_answered_at, ms);
}

static registry_position *find_registry_position(controller_poll *controllers,
                                                 const char *address) {
  for (size_t i = 0; i < MAX_REGISTRY_POSITIONS; i++)
    if (!strcmp(controllers->registry_positions[i].address, address))
      return &controllers->registry_positions[i];
  return NULL;
}

static void store_registry_position(controller_poll *controllers, const char *address,
                                    const Wire__ConfigPollResponse *response) {
  registry_position *position = find_registry_position(controllers, address);
  if (!position) {
    int oldest = controllers->registry_position_next++ % MAX_REGISTRY_POSITIONS;
    position = &controllers->registry_positions[oldest];
    g_strlcpy(position->address, address, sizeof position->address);
  }
  position->run = response->registry_run;
  position->sequence = response->registry_sequence;
}

static int64_t poll_timeout_ms(const router *router, enum poll_kind kind) {
  if (kind == POLL_HEDGED)
    return HEDGED_POLL_TIMEOUT_MS;
  if (!router->node.settings.relaxed_timing)
    return POLL_TIMEOUT_MS;
  return CLAMP(POLL_TIMEOUT_LATENCY_FACTOR * router->controllers.last_latency_ms,
               POLL_TIMEOUT_RELAXED_MS, MAX_POLL_TIMEOUT_MS);
}

static void prepare_request(router *router, const char *address, enum poll_kind kind,
                            Wire__ConfigPollRequest *request) {
  config_sync_prepare(router, request);
  request->no_wait = kind == POLL_HEDGED;
  request->deltas = true;
  request->want_engines = kind == POLL_LONG && router->on_engines_changed;
  const registry_position *known = find_registry_position(&router->controllers, address);
  if (request->want_engines && known) {
    request->registry_run = known->run;
    request->registry_sequence = known->sequence;
  }
}

static void record_latency(router *router, const config_exchange *exchange) {
  int64_t duration_ms = time_sub(world_now(router->node.world), exchange->sent_at).us / 1000,
          held_ms = (int64_t)MIN(exchange->response->held_ms, MAX_POLL_TIMEOUT_MS);
  router->controllers.last_latency_ms = MAX(0, duration_ms - held_ms);
}

static void record_confirmation(router *router, const config_exchange *exchange) {
  time_us *confirmed_at = &router->controllers.controller_confirmed_at;
  int64_t held_ms = (int64_t)MIN(exchange->response->held_ms, MAX_CONFIRMED_HOLD_MS);
  time_us at = time_add(exchange->sent_at, time_from_ms(held_ms));
  config_sync_confirm(router, exchange->sent_at);
  if (at.us > confirmed_at->us)
    *confirmed_at = at;
}

static void record_view(router *router, const Wire__ConfigPollResponse *response) {
  if (response->epoch > router->sync.view_epoch)
    router->sync.view_epoch = response->epoch;
  if (response->epoch)
    router->controllers.controller_answered_at = world_now(router->node.world);
}

static void record_hint(router *router, const Wire__ConfigPollResponse *response) {
  if (!response->n_controllers)
    return;
  const char *hint =
      response->controllers[world_random(router->node.world, response->n_controllers)];
  if (address_is_valid(hint))
    g_strlcpy(router->controllers.controller_hint, hint,
              sizeof router->controllers.controller_hint);
}

static void apply_engine_changes(router *router, const char *address,
                                 const Wire__ConfigPollResponse *response) {
  if (!response->registry_run)
    return;
  store_registry_position(&router->controllers, address, response);
  if (response->n_engines || response->engines_complete)
    router->on_engines_changed(router->gateway, response);
}

/* Polls one controller. True when the controller reports its state as confirmed. */
static bool poll_controller(router *router, const char *address, enum poll_kind kind) {
  Wire__ConfigPollRequest request;
  prepare_request(router, address, kind, &request);
  config_exchange exchange;
  if (!config_sync_poll(router, address, &request, poll_timeout_ms(router, kind), &exchange))
    return false;
  const Wire__ConfigPollResponse *response = exchange.response;
  bool confirmed = response && response->confirmed;
  if (response) {
    record_latency(router, &exchange);
    config_sync_install(router, &exchange, address);
    if (confirmed && config_sync_is_up_to_date(router, &exchange))
      record_confirmation(router, &exchange);
    record_view(router, response);
    record_hint(router, response);
    if (request.want_engines)
      apply_engine_changes(router, address, response);
  }
  config_sync_finish(router, &exchange);
  return confirmed;
}

static void mark_failed(router *router, const char *address) {
  controller_selection_mark_failed(&router->controllers.selection, address,
                                   world_now(router->node.world));
}

/* Chooses the controller to poll, in this order: the one that was named, the one polled last, the
 * one that confirmed a hedged poll, the next in turn. NULL when none is known. */
static peer_node *choose_controller(router *router) {
  controller_poll *controllers = &router->controllers;
  const char *preferred = controllers->controller_hint[0] ? controllers->controller_hint
                          : router->controllers.polled_controller[0]
                              ? router->controllers.polled_controller
                              : controllers->confirming_controller;
  peer_node *peer =
      preferred[0] ? peer_table_pick(&router->node, ROLE_CONTROLLER, preferred) : NULL;
  if (!peer || strcmp(peer->address, preferred))
    peer = controller_selection_next(&controllers->selection, &router->node, NULL);
  controllers->controller_hint[0] = controllers->confirming_controller[0] = 0;
  return peer;
}

/* Pauses after a poll that succeeded; false when the process is stopping. */
static bool pause_after_success(router *router, time_us started_at) {
  time_us interval = time_from_ms(
      router->node.settings.relaxed_timing ? MIN_POLL_INTERVAL_RELAXED_MS : MIN_POLL_INTERVAL_MS);
  return time_reached(world_now(router->node.world), time_add(started_at, interval)) ||
         world_sleep(router->node.world, interval);
}

/* Pauses after a poll that failed or found no controller; false when the process is stopping. */
static bool pause_after_failure(router *router, bool polled) {
  controller_poll *controllers = &router->controllers;
  /* the controller is not polled again for a while unless no other is available */
  if (polled)
    mark_failed(router, router->controllers.polled_controller);
  router->controllers.polled_controller[0] = 0;
  bool hinted = controllers->controller_hint[0] || controllers->confirming_controller[0];
  int64_t pause_ms = hinted ? RETRY_HINTED_MS : polled ? RETRY_MS : RETRY_NO_CONTROLLER_MS;
  return world_sleep_with_jitter(router->node.world, time_from_ms(pause_ms));
}

static void poll_controllers_run(void *context) {
  router *router = context;
  controller_poll *controllers = &router->controllers;
  bool running = true;
  while (running) {
    time_us started_at = world_now(router->node.world);
    peer_node *peer = choose_controller(router);
    bool confirmed = false;
    if (peer) {
      g_strlcpy(router->controllers.polled_controller, peer->address,
                sizeof router->controllers.polled_controller);
      controller_selection_mark_polled(&controllers->selection,
                                       router->controllers.polled_controller, started_at);
      confirmed = poll_controller(router, router->controllers.polled_controller, POLL_LONG);
    }
    running = confirmed ? pause_after_success(router, started_at)
                        : pause_after_failure(router, peer != NULL);
  }
}

/* Returns the index of a free hedged poll, or -1. Marks polls that have become overdue. */
static int find_free_hedged_poll(router *router, time_us now) {
  int free_index = -1;
  for (int i = 0; i < MAX_HEDGED_POLLS; i++) {
    hedged_poll *poll = &router->controllers.hedged_polls[i];
    time_us deadline = time_add(poll->sent_at, time_from_ms(HEDGED_POLL_OVERDUE_MS));
    if (!poll->in_flight) {
      free_index = i;
    } else if (!poll->overdue && time_reached(now, deadline)) {
      poll->overdue = true;
      mark_failed(router, poll->address);
    }
  }
  return free_index;
}

static void hedged_poll_run(void *context) {
  hedged_poll_task *task = context;
  router *router = task->router;
  hedged_poll *poll = &router->controllers.hedged_polls[task->poll_index];
  if (poll_controller(router, task->address, POLL_HEDGED))
    g_strlcpy(router->controllers.confirming_controller, task->address,
              sizeof router->controllers.confirming_controller);
  else if (!poll->overdue)
    mark_failed(router, task->address);
  poll->in_flight = false;
  g_free(task);
}

static void start_hedged_poll(router *router, time_us now) {
  controller_poll *controllers = &router->controllers;
  int index = find_free_hedged_poll(router, now);
  if (index < 0)
    return;
  const char *polled = router->controllers.polled_controller;
  peer_node *peer =
      controller_selection_next(&controllers->selection, &router->node, polled[0] ? polled : NULL);
  if (!peer)
    return;
  controller_selection_mark_polled(&controllers->selection, peer->address, now);
  hedged_poll *poll = &controllers->hedged_polls[index];
  *poll = (hedged_poll){ .sent_at = now, .in_flight = true };
  g_strlcpy(poll->address, peer->address, sizeof poll->address);
  hedged_poll_task *task = g_new0(hedged_poll_task, 1);
  task->router = router;
  task->poll_index = index;
  g_strlcpy(task->address, peer->address, sizeof task->address);
  task_start(&router->node.world->tasks, "hedged poll", hedged_poll_run, task);
}

static void hedging_run(void *context) {
  router *router = context;
  time_us last_hedge_at = { 0 };
  for (;;) {
    time_us now = world_now(router->node.world),
            after_confirmation =
                time_add(router->controllers.controller_confirmed_at, time_from_ms(HEDGE_AFTER_MS)),
            after_hedge = time_add(last_hedge_at, time_from_ms(HEDGE_INTERVAL_MS)),
            due_at = after_confirmation.us > after_hedge.us ? after_confirmation : after_hedge;
    if (time_reached(now, due_at)) {
      last_hedge_at = now;
      start_hedged_poll(router, now);
    } else if (!world_sleep(router->node.world, time_add(time_sub(due_at, now), time_from_ms(1))))
      return;
  }
}

/* A controller reports draining engines immediately, independently of the polls. */
static enum error_code on_engine_update(void *context, Wire__Envelope *in, reply *reply,
                                        error *err) {
  router *router = context;
  (void)reply;
  if (in->from->role != ROLE_CONTROLLER)
    return error_set(err, E_WIRE_MESSAGE, "engine updates come from controllers only");
  Wire__ConfigPollResponse update = WIRE__CONFIG_POLL_RESPONSE__INIT;
  update.n_engines = in->engine_update->n_engines;
  update.engines = in->engine_update->engines;
  if (router->on_engines_changed && update.n_engines)
    router->on_engines_changed(router->gateway, &update);
  return OK;
}

void controller_poll_start(router *router) {
  task_start(&router->node.world->tasks, "controller poll", poll_controllers_run, router);
  if (router->node.settings.relaxed_timing)
    task_start(&router->node.world->tasks, "hedging", hedging_run, router);
  /* a gateway replaces this handler with its own, because gateways send these messages as well */
  peer_rpc_register_handler(&router->node, WIRE__ENVELOPE__BODY_ENGINE_UPDATE, on_engine_update,
                            router);
}
