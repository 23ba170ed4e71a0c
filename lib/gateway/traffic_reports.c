/** Exchange of engine loads between gateways. A report lists all engines on which its sender runs
 * requests; the sender runs none on engines that are not listed. A lost report is replaced by the
 * next one. */
#include "traffic_reports.h"
#include "gateway.h"

enum {
  REPORT_INTERVAL_MS = 250,
  /* a report goes to all other gateways if there are at most this many, else to REPORT_FANOUT of
     them at random */
  BROADCAST_MAX_NODES = 16,
  REPORT_FANOUT = 12,
  /* the load of a peer expires after four intervals; in large fleets after 1.5 times the mean time
     between two reports from the same peer */
  PEER_LOAD_MIN_TTL_MS = 1000,
  /* a gateway with failures on at least this many engines, and on more than have succeeded
     recently, is at fault itself */
  OWN_FAULT_MIN_ENGINES = 3,
  RECENT_SUCCESS_MS = 1500,
  /* maximum number of failures that count per engine and report */
  MAX_REPORTED_FAILURES = 4,
  /* upper bound of the request count of a peer, so that sums don't overflow */
  MAX_REPORTED_RUNNING = 100000
};
/* Weight of a failure seen by a gateway in another zone; the cause may be the network between the
 * zones. */
static const double OTHER_ZONE_FAILURE_WEIGHT = 0.6;

/* drops expired peer loads and sums up the rest */
static void sum_peer_loads(gateway_engine *engine) {
  engine_load *load = &engine->load;
  time_us now = gateway_engine_now(engine);
  int nodes = MAX(engine->gateway->router_count, 1);
  int64_t ttl_ms = PEER_LOAD_MIN_TTL_MS;
  if (nodes > BROADCAST_MAX_NODES)
    ttl_ms =
        MAX(PEER_LOAD_MIN_TTL_MS, (int64_t)REPORT_INTERVAL_MS * nodes * 3 / (REPORT_FANOUT * 2));
  load->peers_running = 0;
  load->peers_waiting_tokens = 0;
  for (guint i = load->peer_loads->len; i-- > 0;) {
    const peer_load *peer = &g_array_index(load->peer_loads, peer_load, i);
    if (time_reached(now, time_add(peer->received_at, time_from_ms(ttl_ms)))) {
      g_array_remove_index_fast(load->peer_loads, i);
      continue;
    }
    load->peers_running += peer->running;
    load->peers_waiting_tokens += peer->tokens;
  }
}

/* sets the load of one gateway on one engine from a report that arrived at received_at */
static void set_peer_load(gateway_engine *engine, uint64_t nonce, time_us received_at,
                          const Wire__EngineTraffic *reported) {
  GArray *peer_loads = engine->load.peer_loads;
  peer_load peer = { nonce,
                     received_at,
                     (int)MIN(reported->running_streams, MAX_REPORTED_RUNNING),
                     (double)reported->waiting_tokens,
                     { 0 } };
  for (size_t i = 0; i < reported->n_model_hashes && i < PEER_LOAD_MAX_MODELS; i++)
    peer.model_keys[i] = reported->model_hashes[i];
  for (guint i = 0; i < peer_loads->len; i++)
    if (g_array_index(peer_loads, peer_load, i).nonce == nonce) {
      g_array_index(peer_loads, peer_load, i) = peer;
      return;
    }
  g_array_append_val(peer_loads, peer);
}

/* removes a gateway's load from an engine that its report doesn't list; loads that the report lists
 * have its received_at */
static void remove_unlisted_load(gateway_engine *engine, uint64_t nonce, time_us received_at) {
  GArray *peer_loads = engine->load.peer_loads;
  for (guint i = 0; i < peer_loads->len; i++) {
    const peer_load *peer = &g_array_index(peer_loads, peer_load, i);
    if (peer->nonce != nonce || peer->received_at.us == received_at.us)
      continue;
    g_array_remove_index_fast(peer_loads, i);
    sum_peer_loads(engine);
    return;
  }
}

void traffic_reports_apply(gateway *gateway, uint64_t nonce, bool same_zone,
                           const Wire__TrafficReport *report) {
  /* read only once, since the clock advances while the report is applied */
  time_us received_at = gateway_now(gateway);
  for (size_t i = 0; i < report->n_engines; i++) {
    const Wire__EngineTraffic *reported = report->engines[i];
    gateway_engine *engine = gateway_engine_find(gateway, reported->engine);
    if (!engine || engine->gone)
      continue;
    set_peer_load(engine, nonce, received_at, reported);
    sum_peer_loads(engine);
    if (reported->failures)
      gateway_engine_add_failure(engine, MIN(reported->failures, MAX_REPORTED_FAILURES) *
                                             (same_zone ? 1 : OTHER_ZONE_FAILURE_WEIGHT));
  }
  list_for_each (engine, &gateway->engines.list, gateway_engine, link)
    remove_unlisted_load(engine, nonce, received_at);
}

static enum error_code on_traffic_report(void *context, Wire__Envelope *in, reply *reply,
                                         error *err) {
  gateway *gateway = context;
  (void)reply;
  (void)err;
  bool same_zone = !strcmp(in->from->zone, gateway->router->node.settings.zone.text);
  traffic_reports_apply(gateway, in->from->nonce, same_zone, in->traffic_report);
  return OK;
}

static void engine_traffic_free(void *context) {
  Wire__EngineTraffic *traffic = context;
  g_free(traffic->model_hashes);
  g_free(traffic);
}

static size_t add_model_key(uint32_t *keys, size_t count, uint32_t key) {
  for (size_t i = 0; i < count; i++)
    if (keys[i] == key)
      return count;
  if (count < PEER_LOAD_MAX_MODELS)
    keys[count++] = key;
  return count;
}

/* fills in the keys of the models and adapters in use; a request counts for its model and for its
 * adapter */
static void fill_model_hashes(const engine_load *load, Wire__EngineTraffic *traffic) {
  uint32_t keys[PEER_LOAD_MAX_MODELS];
  size_t count = 0;
  for (guint i = 0; i < load->own_runs->len; i++) {
    const own_run *run = &g_array_index(load->own_runs, own_run, i);
    if (id_is_empty(run->model))
      continue;
    count = add_model_key(keys, count, gateway_engine_model_key(run->model, id_none));
    if (!id_is_empty(run->adapter))
      count = add_model_key(keys, count, gateway_engine_model_key(run->model, run->adapter));
  }
  traffic->n_model_hashes = count;
  traffic->model_hashes = g_memdup2(keys, count * sizeof *keys);
}

/* this gateway's load on an engine; to be freed by engine_traffic_free */
static Wire__EngineTraffic *engine_traffic_new(const gateway_engine *engine, int failures) {
  Wire__EngineTraffic *traffic = g_new(Wire__EngineTraffic, 1);
  wire__engine_traffic__init(traffic);
  traffic->engine = (char *)engine->engine_id.text;
  traffic->running_streams = (uint32_t)engine->load.own_running;
  traffic->waiting_tokens = (uint64_t)engine->load.own_waiting_tokens;
  traffic->failures = (uint32_t)failures;
  fill_model_hashes(&engine->load, traffic);
  return traffic;
}

static Wire__TrafficReport report_of(const GPtrArray *loads) {
  Wire__TrafficReport report = WIRE__TRAFFIC_REPORT__INIT;
  report.n_engines = loads->len;
  report.engines = (Wire__EngineTraffic **)loads->pdata;
  return report;
}

void traffic_reports_send(gateway *gateway, const char *address) {
  GPtrArray *loads = g_ptr_array_new_with_free_func(engine_traffic_free);
  list_for_each (engine, &gateway->engines.list, gateway_engine, link)
    if (!engine->gone && engine->load.own_running)
      g_ptr_array_add(loads, engine_traffic_new(engine, 0));
  Wire__TrafficReport report = report_of(loads);
  Wire__Envelope message = wire_envelope(WIRE__ENVELOPE__BODY_TRAFFIC_REPORT, &report);
  peer_rpc_send(&gateway->router->node, address, &message);
  g_ptr_array_free(loads, TRUE);
}

/* true when this gateway sees failures on most engines, so that it is at fault itself; it reports
 * no failures then */
static bool is_at_fault_itself(const gateway *gateway) {
  time_us now = gateway_now(gateway);
  int failing = 0, succeeding = 0;
  list_for_each (engine, &gateway->engines.list, gateway_engine, link) {
    time_us succeeded_at = engine->health.last_success_at;
    failing += engine->health.unreported_failures > 0;
    succeeding += succeeded_at.us &&
                  !time_reached(now, time_add(succeeded_at, time_from_ms(RECENT_SUCCESS_MS)));
  }
  return failing >= OWN_FAULT_MIN_ENGINES && failing > succeeding;
}

/* finds the other gateways and updates router_count */
static GPtrArray *find_routers(gateway *gateway) {
  GPtrArray *routers = g_ptr_array_new();
  list_for_each (peer, &gateway->router->node.peers, peer_node, link)
    if (peer->role == ROLE_ROUTER && !peer->gone)
      g_ptr_array_add(routers, peer);
  gateway->router_count = 1 + (int)routers->len;
  return routers;
}

/* checks the health of each engine and collects the loads and failures to report */
static GPtrArray *gather_loads(gateway *gateway, bool own_fault, bool *has_runs,
                               bool *has_failures) {
  GPtrArray *loads = g_ptr_array_new_with_free_func(engine_traffic_free);
  *has_runs = *has_failures = false;
  list_for_each (engine, &gateway->engines.list, gateway_engine, link) {
    if (engine->gone)
      continue;
    engine_health_update(engine);
    sum_peer_loads(engine);
    int failures = own_fault ? 0 : engine->health.unreported_failures;
    engine->health.unreported_failures = 0;
    *has_failures |= failures > 0;
    *has_runs |= engine->load.own_running > 0;
    if (engine->load.own_running || failures)
      g_ptr_array_add(loads, engine_traffic_new(engine, failures));
  }
  return loads;
}

/* sends a message to this number of random peers; reorders the array */
static void send_to_random(gateway *gateway, GPtrArray *routers, guint count,
                           Wire__Envelope *message) {
  node *node = &gateway->router->node;
  for (guint i = 0; i < count; i++) {
    guint pick = i + (guint)world_random(node->world, routers->len - i);
    peer_node *peer = routers->pdata[pick];
    routers->pdata[pick] = routers->pdata[i];
    peer_rpc_send(node, peer->address, message);
  }
}

static void report_run(void *context) {
  gateway *gateway = context;
  bool had_runs = false;
  while (world_sleep_with_jitter(gateway->router->node.world, time_from_ms(REPORT_INTERVAL_MS))) {
    bool own_fault = is_at_fault_itself(gateway), has_runs, has_failures;
    GPtrArray *routers = find_routers(gateway);
    gateway_engines_free_expired(gateway);
    GPtrArray *loads = gather_loads(gateway, own_fault, &has_runs, &has_failures);
    Wire__TrafficReport report = report_of(loads);
    Wire__Envelope message = wire_envelope(WIRE__ENVELOPE__BODY_TRAFFIC_REPORT, &report);
    bool to_all = routers->len <= BROADCAST_MAX_NODES || has_failures;
    /* one empty report follows when the last own request has ended */
    if (loads->len || had_runs)
      send_to_random(gateway, routers, to_all ? routers->len : REPORT_FANOUT, &message);
    had_runs = has_runs;
    g_ptr_array_free(loads, TRUE);
    g_ptr_array_free(routers, TRUE);
  }
}

void traffic_reports_start(gateway *gateway) {
  gateway->router_count = 1;
  peer_rpc_register_handler(&gateway->router->node, WIRE__ENVELOPE__BODY_TRAFFIC_REPORT,
                            on_traffic_report, gateway);
  task_start(&gateway->router->node.world->tasks, "loads", report_run, gateway);
}
