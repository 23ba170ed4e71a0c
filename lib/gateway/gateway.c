/** Creation and shutdown of a gateway, its readiness page, and its callbacks from the router: for a
 * new configuration, for the engines of a config sync, for the singletons that it competes for, and
 * for its status and metrics pages. */
#include "gateway.h"
#include "forward.h"
#include "load_jobs.h"
#include "service_traffic.h"
#include "status.h"
#include "traffic_reports.h"

enum {
  /* pooled connections are closed after this idle time */
  POOLED_IDLE_MS = 4000,
  /* default limits of client requests, used where the configuration sets none */
  HEADER_MAX_BYTES = 16 << 10,
  BODY_MAX_BYTES = 4 << 20,
  HEADER_TIMEOUT_MS = 3000,
  IDLE_TIMEOUT_MS = 15000,
  /* limits of readiness requests */
  READY_HEADER_MAX_BYTES = 8 << 10,
  READY_BODY_MAX_BYTES = 4 << 10
};

static void apply_listener_limits(gateway *gateway) {
  static const request_limits no_limits;
  http_listener *listener = &gateway->client_listener;
  const request_limits *limits = gateway->routing ? &gateway->routing->limits : &no_limits;
  listener->header_max_bytes =
      limits->header_max_bytes ? limits->header_max_bytes : HEADER_MAX_BYTES;
  listener->body_max_bytes = limits->body_max_bytes ? limits->body_max_bytes : BODY_MAX_BYTES;
  listener->header_timeout_ms =
      limits->header_timeout_ms ? limits->header_timeout_ms : HEADER_TIMEOUT_MS;
  listener->idle_timeout_ms = limits->idle_timeout_ms ? limits->idle_timeout_ms : IDLE_TIMEOUT_MS;
}

/* switches to the router's newest configuration */
static void on_installed(void *context) {
  gateway *gateway = context;
  canary_config_installed(gateway);
  routing *previous = (routing *)gateway->routing, *current = gateway->router->routing;
  if (current == previous)
    return;
  gateway->routing = current ? routing_ref(current) : NULL;
  if (previous)
    routing_unref(previous);
  apply_listener_limits(gateway);
  condition_broadcast(&gateway->engines.changed);
}

static void on_config_sync(void *context, const Wire__ConfigPollResponse *response) {
  gateway *gateway = context;
  gateway_engines_config_sync(gateway, response);
  if (response->registry_run)
    gateway->engines.is_known = true;
}

/* calls visit for each singleton that this gateway competes for: the judge of a canary trial, and
 * the leases on the engines of services with models */
static void for_each_singleton(void *context, void (*visit)(router *router, const char *name)) {
  gateway *gateway = context;
  if (gateway->canary)
    visit(gateway->router, "canary");
  list_for_each (engine, &gateway->engines.list, gateway_engine, link) {
    const service *service = engine->gone ? NULL : gateway_service_of(gateway, engine->service);
    if (!service || !service->model_count)
      continue;
    char name[64];
    singleton_engine_name(name, sizeof name, engine->engine_id);
    visit(gateway->router, name);
  }
}

static void write_status(void *context, GString *to, bool metrics) {
  if (metrics)
    gateway_metrics(context, to);
  else
    gateway_status(context, to);
}

static void serve_readiness(void *context, http_request *request) {
  gateway *gateway = context;
  if (!dialect_matches_call(gateway->settings.dialect, DC_READY, request->method, request->path,
                            NULL)) {
    http_request_respond(request, 404, "text/plain", string_view_of("no such page\n"));
    return;
  }
  const char *reason = gateway_unready_reason(gateway);
  http_request_respond(request, reason ? 503 : 200, "text/plain",
                       string_view_of(reason ? reason : "ready\n"));
}

static void init_listeners(gateway *gateway) {
  const gateway_settings *settings = &gateway->settings;
  world *world = gateway->router->node.world;
  gateway->client_listener = (http_listener){ .world = world,
                                              .port = settings->client_port,
                                              .serve = forward_request,
                                              .serve_context = gateway };
  g_strlcpy(gateway->client_listener.ip, settings->client_ip, sizeof gateway->client_listener.ip);
  gateway->readiness_listener = (http_listener){ .world = world,
                                                 .port = settings->ready_port,
                                                 .serve = serve_readiness,
                                                 .serve_context = gateway,
                                                 .header_max_bytes = READY_HEADER_MAX_BYTES,
                                                 .body_max_bytes = READY_BODY_MAX_BYTES,
                                                 .header_timeout_ms = HEADER_TIMEOUT_MS,
                                                 .idle_timeout_ms = IDLE_TIMEOUT_MS };
  g_strlcpy(gateway->readiness_listener.ip, settings->ready_ip,
            sizeof gateway->readiness_listener.ip);
  apply_listener_limits(gateway);
  world->pool_idle_timeout_ms = POOLED_IDLE_MS;
}

static void init_state(gateway *gateway) {
  list_init(&gateway->engines.list);
  gateway->engines.by_id = g_hash_table_new(g_str_hash, g_str_equal);
  condition_init(&gateway->engines.changed);
  list_init(&gateway->requests.open);
  list_init(&gateway->requests.queue);
  condition_init(&gateway->drain.finished);
  gateway->traffic = service_traffic_table_new();
  gateway->retry_budgets = retry_budgets_new();
  gateway->route_durations = route_durations_new();
  gateway->slow_estimates = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  gateway->load_requests = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  placement_init(&gateway->placement);
  load_rate_limiters_init(&gateway->load_rate_limiters);
  fleet_rates_init(&gateway->fleet_rates);
}

static void attach_to_router(gateway *gateway) {
  router *router = gateway->router;
  router->gateway = gateway;
  router->on_snapshot_installed = on_installed;
  router->on_engines_changed = on_config_sync;
  router->for_each_singleton = for_each_singleton;
  router->write_status = write_status;
  on_installed(gateway);
}

/* registers the message handlers of placement and starts the task that exchanges request rates */
static void start_placement(gateway *gateway) {
  node *node = &gateway->router->node;
  peer_rpc_register_handler(node, WIRE__ENVELOPE__BODY_LOAD_PERMIT_REQUEST,
                            load_rate_limiter_on_permit, gateway);
  peer_rpc_register_handler(node, WIRE__ENVELOPE__BODY_PLACED_LOAD_REQUEST, load_jobs_on_placement,
                            gateway);
  peer_rpc_register_handler(node, WIRE__ENVELOPE__BODY_PLACEMENT_REQUEST, placement_on_load_request,
                            gateway);
  peer_rpc_register_handler(node, WIRE__ENVELOPE__BODY_RATE_REPORT, fleet_rates_on_message,
                            gateway);
  task_start(&node->world->tasks, "rates", fleet_rates_run, gateway);
}

gateway *gateway_new(router *router, const gateway_settings *settings, error *err) {
  if (!router->node.settings.is_gateway || !settings->dialect) {
    error_set(err, E_SETTINGS_KEY, "a gateway needs a router that is one, and a dialect");
    return NULL;
  }
  gateway *gateway = g_new0(struct gateway, 1);
  gateway->router = router;
  gateway->settings = *settings;
  init_state(gateway);
  init_listeners(gateway);
  attach_to_router(gateway);
  canary_start(gateway);
  gateway_engines_start(gateway);
  traffic_reports_start(gateway);
  start_placement(gateway);
  request_queue_start(gateway);
  unserved_start(gateway);
  return gateway;
}

enum error_code gateway_open(gateway *gateway, error *err) {
  world *world = gateway->router->node.world;
  enum error_code code = world->listener_open(world, &gateway->client_listener, err);
  if (!code)
    code = world->listener_open(world, &gateway->readiness_listener, err);
  return code;
}

void gateway_reload_settings(gateway *gateway, const gateway_settings *settings) {
  gateway_settings previous = gateway->settings;
  gateway->settings = *settings;
  gateway->settings.dialect = previous.dialect;
  gateway->settings.disabled_features = previous.disabled_features;
  gateway->settings.client_port = previous.client_port;
  gateway->settings.ready_port = previous.ready_port;
  memcpy(gateway->settings.client_ip, previous.client_ip, sizeof previous.client_ip);
  memcpy(gateway->settings.ready_ip, previous.ready_ip, sizeof previous.ready_ip);
}

void gateway_free(gateway *gateway) {
  if (!gateway)
    return;
  canary_free(gateway);
  placement_state_free(&gateway->placement);
  load_rate_limiters_free(&gateway->load_rate_limiters);
  fleet_rates_free(&gateway->fleet_rates);
  gateway_engines_free(gateway);
  g_hash_table_destroy(gateway->engines.by_id);
  g_hash_table_destroy(gateway->slow_estimates);
  g_hash_table_destroy(gateway->load_requests);
  g_hash_table_destroy(gateway->retry_budgets);
  g_hash_table_destroy(gateway->traffic);
  route_durations_free(gateway->route_durations);
  if (gateway->routing)
    routing_unref((routing *)gateway->routing);
  gateway->router->gateway = NULL;
  g_free(gateway);
}
