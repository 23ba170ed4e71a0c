/** Load rate limiter; see load_rate_limiter.h.
 *
 * The holder of the singleton "pacer" records the load times of each service's store and grants a
 * permit when the window allows one more load. It reports each granted permit to the next
 * candidates for the singleton. A new holder may have missed some reports, so it starts with a few
 * assumed loads, or with a nearly full window if it has run for less than a window. While the
 * singleton has no holder, each gateway loads at a small rate of its own. */
#include "load_rate_limiter.h"
#include "gateway.h"
#include <math.h>

enum {
  /* timeout for getting an answer from the holder, and the time between two attempts */
  PERMIT_TIMEOUT_MS = 400,
  PERMIT_RETRY_MS = 100,
  /* a load has to begin within this time after its permit was requested */
  PERMIT_VALID_MS = 150,
  /* the number of loads whose reports a new holder assumes to have missed */
  UNSEEN_LOADS = 3,
  /* retry delay when a permit is refused because it would be valid beyond the end of the lease */
  LEASE_ENDS_RETRY_MS = 100,
  /* without a holder, the fleet as a whole loads at 1 / UNPERMITTED_SHARE of the configured rate */
  UNPERMITTED_SHARE = 4,
  UNPERMITTED_RETRY_MS = 500,
  /* the number of candidates that receive the messages of a singleton in a large fleet */
  MAX_SUCCESSORS = 3
};
/* Defaults of the settings: the window in s, and the factor applied to the configured rate. */
static const double DEFAULT_WINDOW_S = 5, DEFAULT_LIMIT_FACTOR = 1;
/* Load times are kept for this many windows. */
static const double KEPT_WINDOWS = 1.2;
/* Compensates for a product that falls just below an integer through rounding. */
static const double ROUNDING_MARGIN = 1e-9;

/** The loads from one service's store. */
typedef struct load_rate_limiter {
  GArray *load_times; /* of time_us, ascending */
  /** The lease epoch under which this gateway has granted permits. */
  uint64_t epoch;
} load_rate_limiter;

int load_rate_limiter_max_loads(double loads_per_s, double window_s, double limit_factor) {
  return MAX(1, (int)floor(loads_per_s * window_s * limit_factor + ROUNDING_MARGIN) - 1);
}

time_us load_rate_limiter_next_at(const GArray *load_times, time_us now, time_us window,
                                  int max_loads) {
  if ((int)load_times->len < max_loads)
    return now;
  time_us oldest_in_window = g_array_index(load_times, time_us, load_times->len - (guint)max_loads);
  time_us free_at = time_add(oldest_in_window, window);
  return free_at.us > now.us ? free_at : now;
}

void load_rate_limiter_take_over(GArray *load_times, time_us acquired_at, time_us started_at,
                                 time_us window, int max_loads) {
  bool saw_full_window = time_reached(acquired_at, time_add(started_at, window));
  int unseen =
      saw_full_window ? MIN(UNSEEN_LOADS, max_loads - 1) : MAX(0, max_loads - UNSEEN_LOADS);
  for (int i = 0; i < unseen; i++)
    g_array_append_val(load_times, acquired_at);
}

static void load_rate_limiter_free(void *context) {
  load_rate_limiter *limiter = context;
  g_array_free(limiter->load_times, TRUE);
  g_free(limiter);
}

void load_rate_limiters_init(load_rate_limiters *limiters) {
  limiters->by_service =
      g_hash_table_new_full(g_str_hash, g_str_equal, g_free, load_rate_limiter_free);
}

void load_rate_limiters_free(load_rate_limiters *limiters) {
  if (limiters->by_service)
    g_hash_table_destroy(limiters->by_service);
  limiters->by_service = NULL;
}

static load_rate_limiter *load_rate_limiter_of(gateway *gateway, id service) {
  GHashTable *by_service = gateway->load_rate_limiters.by_service;
  load_rate_limiter *limiter = g_hash_table_lookup(by_service, service.text);
  if (limiter)
    return limiter;
  limiter = g_new0(load_rate_limiter, 1);
  limiter->load_times = g_array_new(FALSE, TRUE, sizeof(time_us));
  g_hash_table_insert(by_service, g_strdup(service.text), limiter);
  return limiter;
}

static double window_s(const gateway *gateway) {
  return gateway->settings.load_window_s > 0 ? gateway->settings.load_window_s : DEFAULT_WINDOW_S;
}

static double limit_factor(const gateway *gateway) {
  return gateway->settings.load_limit_factor > 0 ? gateway->settings.load_limit_factor
                                                 : DEFAULT_LIMIT_FACTOR;
}

void load_rate_limiter_record(gateway *gateway, id service, time_us at) {
  GArray *load_times = load_rate_limiter_of(gateway, service)->load_times;
  time_us kept_from =
      time_sub(at, (time_us){ (int64_t)(window_s(gateway) * (KEPT_WINDOWS * 1e6)) });
  while (load_times->len && g_array_index(load_times, time_us, 0).us < kept_from.us)
    g_array_remove_index(load_times, 0);
  g_array_append_val(load_times, at);
}

/* handles the report of a load or, when it has no key, of an order to an engine */
static enum error_code on_load_report(gateway *gateway, const Wire__LoadPermitRequest *report) {
  gateway_engine *engine = gateway_engine_find(gateway, report->engine);
  if (!engine)
    return OK;
  if (report->key && report->key[0])
    load_rate_limiter_record(gateway, engine->service, gateway_now(gateway));
  else
    engine->orders.peer_ordered_at = gateway_now(gateway);
  return OK;
}

/* reports a granted permit to the next candidates for the singleton */
static void report_load(gateway *gateway, const Wire__LoadPermitRequest *request, uint64_t epoch) {
  Wire__LoadPermitRequest report = WIRE__LOAD_PERMIT_REQUEST__INIT;
  report.engine = request->engine;
  report.key = request->key;
  report.epoch = epoch;
  Wire__Envelope message = wire_envelope(WIRE__ENVELOPE__BODY_LOAD_PERMIT_REQUEST, &report);
  singleton_successors_broadcast(gateway, "pacer", &message);
}

/* grants or refuses a permit for a rate-limited service, and records a granted one */
static void grant_permit(gateway *gateway, const service *service, uint64_t epoch,
                         const Wire__LoadPermitRequest *request,
                         Wire__LoadPermitResponse *response) {
  router *router = gateway->router;
  const singleton_lease *lease = singleton_lease_find(router, "pacer");
  load_rate_limiter *limiter = load_rate_limiter_of(gateway, service->name);
  int max_loads =
      load_rate_limiter_max_loads(service->loads_per_s, window_s(gateway), limit_factor(gateway));
  time_us now = gateway_now(gateway), valid = time_from_ms(PERMIT_VALID_MS),
          window = time_add((time_us){ (int64_t)(window_s(gateway) * 1e6) }, valid);
  /* the first holder (epoch 1) has no predecessor */
  if (limiter->epoch != epoch && epoch > 1)
    load_rate_limiter_take_over(limiter->load_times, lease->acquired_at, router->node.started_at,
                                window, max_loads);
  limiter->epoch = epoch;
  int64_t wait_us =
      time_sub(load_rate_limiter_next_at(limiter->load_times, now, window, max_loads), now).us;
  response->granted = wait_us == 0 && !time_reached(time_add(now, valid), lease->expires_at);
  response->wait_ms = (uint64_t)(wait_us + 999) / 1000;
  if (response->granted) {
    router->permits.granted++;
    load_rate_limiter_record(gateway, service->name, now);
    report_load(gateway, request, epoch);
    return;
  }
  router->permits.refused++;
  if (!response->wait_ms)
    response->wait_ms = LEASE_ENDS_RETRY_MS;
}

enum error_code load_rate_limiter_on_permit(void *context, Wire__Envelope *in, reply *reply,
                                            error *err) {
  gateway *gateway = context;
  const Wire__LoadPermitRequest *request = in->load_permit_request;
  if (!in->call)
    return on_load_report(gateway, request);
  uint64_t epoch = singleton_lease_epoch(gateway->router, "pacer");
  if (!epoch)
    return error_set(err, E_NO_LEASE_HOLDER, "the pace is not held here");
  if (request->epoch > epoch)
    return error_set(err, E_STALE_EPOCH, "a younger epoch is known");
  const gateway_engine *engine = gateway_engine_find(gateway, request->engine);
  const service *service = engine ? gateway_service_of(gateway, engine->service) : NULL;
  if (!service)
    return error_set(err, E_NO_ENGINE, "%.40s is not known here", request->engine);
  Wire__LoadPermitResponse *response = reply_new_body(
      reply, WIRE__ENVELOPE__BODY_LOAD_PERMIT_RESPONSE, &wire__load_permit_response__descriptor);
  response->granted = true;
  response->valid_us = PERMIT_VALID_MS * 1000;
  if (service->loads_per_s > 0)
    grant_permit(gateway, service, epoch, request, response);
  return OK;
}

/* the address of the singleton's holder and its epoch; false when none is known */
static bool find_holder(gateway *gateway, char address[48], uint64_t *epoch) {
  router *router = gateway->router;
  id holder;
  if (!config_sync_find_grant(router, "pacer", &holder, epoch))
    return false;
  const peer_node *peer = peer_table_find(&router->node, holder);
  if (id_equal(holder, router->node.settings.self))
    g_strlcpy(address, router->node.settings.address, 48);
  else if (peer && !peer->gone)
    g_strlcpy(address, peer->address, 48);
  else
    return false;
  return true;
}

/* Requests a permit from the holder once. Returns OK, E_LOAD_RATE_LIMITED with *retry_after_ms, or
 * E_STOPPING; any other code means that there was no valid answer. */
static enum error_code call_holder(gateway *gateway, const char *address, uint64_t epoch,
                                   id engine_id, const char *key, time_us *send_by,
                                   int64_t *retry_after_ms, error *err) {
  Wire__LoadPermitRequest request = WIRE__LOAD_PERMIT_REQUEST__INIT;
  request.engine = engine_id.text;
  request.key = (char *)key;
  request.epoch = epoch;
  Wire__Envelope message = wire_envelope(WIRE__ENVELOPE__BODY_LOAD_PERMIT_REQUEST, &request),
                 *response;
  time_us sent_at = gateway_now(gateway);
  enum error_code code = peer_rpc_call(&gateway->router->node, address, &message,
                                       time_from_ms(PERMIT_TIMEOUT_MS), &response, err);
  if (code)
    return code;
  code = E_WIRE_MESSAGE;
  if (response->body_case == WIRE__ENVELOPE__BODY_LOAD_PERMIT_RESPONSE) {
    const Wire__LoadPermitResponse *permit = response->load_permit_response;
    *retry_after_ms = (int64_t)permit->wait_ms;
    if (permit->granted)
      *send_by = time_add(sent_at, (time_us){ (int64_t)permit->valid_us });
    code = permit->granted ? OK
                           : error_set(err, E_LOAD_RATE_LIMITED,
                                       "no load permit for %" PRId64 " ms", *retry_after_ms);
  }
  peer_rpc_message_free(response);
  return code;
}

/* allows a load without a permit at this gateway's small share of the rate; for use without a
 * holder */
static enum error_code load_without_permit(gateway *gateway, id service, double loads_per_s,
                                           time_us *send_by, int64_t *retry_after_ms, error *err) {
  load_rate_limiters *limiters = &gateway->load_rate_limiters;
  double interval_ms = UNPERMITTED_SHARE * MAX(gateway->router_count, 1) / loads_per_s * 1000;
  if (limiters->unpermitted_load_at.us &&
      gateway_ms_since(gateway, limiters->unpermitted_load_at) < interval_ms) {
    *retry_after_ms = UNPERMITTED_RETRY_MS;
    return error_set(err, E_LOAD_RATE_LIMITED, "nobody grants load permits");
  }
  limiters->unpermitted_load_at = gateway_now(gateway);
  load_rate_limiter_record(gateway, service, gateway_now(gateway));
  *send_by = gateway_deadline_in_ms(gateway, PERMIT_VALID_MS);
  return OK;
}

enum error_code load_rate_limiter_request_permit(gateway_engine *engine, const service *service,
                                                 const char *key, time_us *send_by,
                                                 int64_t *retry_after_ms, error *err) {
  gateway *gateway = engine->gateway;
  /* copied, since a new configuration may free the service during the call to the holder */
  double loads_per_s = service->loads_per_s;
  id service_name = service->name;
  if (loads_per_s <= 0) {
    *send_by = time_never();
    return OK;
  }
  time_us began_at = gateway_now(gateway);
  for (;;) {
    char address[48];
    uint64_t epoch;
    enum error_code code = E_NO_LEASE_HOLDER;
    if (find_holder(gateway, address, &epoch))
      code = call_holder(gateway, address, epoch, engine->engine_id, key, send_by, retry_after_ms,
                         err);
    if (code == OK || code == E_LOAD_RATE_LIMITED || code == E_STOPPING)
      return code;
    if (gateway_ms_since(gateway, began_at) >= PERMIT_TIMEOUT_MS)
      return load_without_permit(gateway, service_name, loads_per_s, send_by, retry_after_ms, err);
    if (!world_sleep(gateway->router->node.world, time_from_ms(PERMIT_RETRY_MS)))
      return error_set(err, E_STOPPING, "stopping");
  }
}

/** The next candidates for a singleton by rendezvous hashing, the first one first. */
typedef struct successors {
  const peer_node *peers[MAX_SUCCESSORS];
  uint64_t hashes[MAX_SUCCESSORS];
} successors;

static void successors_add(successors *successors, const peer_node *peer, uint64_t hash) {
  int rank = MAX_SUCCESSORS;
  while (rank > 0 && hash > successors->hashes[rank - 1])
    rank--;
  if (rank == MAX_SUCCESSORS)
    return;
  for (int i = MAX_SUCCESSORS - 1; i > rank; i--) {
    successors->hashes[i] = successors->hashes[i - 1];
    successors->peers[i] = successors->peers[i - 1];
  }
  successors->hashes[rank] = hash;
  successors->peers[rank] = peer;
}

void singleton_successors_broadcast(gateway *gateway, const char *singleton,
                                    Wire__Envelope *message) {
  node *node = &gateway->router->node;
  bool to_all = gateway->router_count <= SMALL_FLEET_MAX_NODES;
  successors next = { 0 };
  list_for_each (peer, &node->peers, peer_node, link) {
    if (peer->role != ROLE_ROUTER || peer->gone)
      continue;
    if (to_all)
      peer_rpc_send(node, peer->address, message);
    else
      successors_add(&next, peer, hash_two_names(singleton, peer->self.text));
  }
  for (int i = 0; i < MAX_SUCCESSORS; i++)
    if (next.peers[i])
      peer_rpc_send(node, next.peers[i]->address, message);
}
