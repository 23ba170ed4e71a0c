#include "gateway.h"

enum { POOLED_IDLE_MS = 4000 };

static void apply_listener_limits(gateway *gateway) {
  http_listener *listener = &gateway->client_listener;
  const request_limits *l = gateway->routing ? &gateway->routing->limits : NULL;
  listener->header_max_bytes = l && l->header_max_bytes ? l->header_max_bytes : 16384;
  listener->body_max_bytes = l && l->body_max_bytes ? l->body_max_bytes : 4 << 20;
  listener->header_timeout_ms = l && l->header_timeout_ms ? l->header_timeout_ms : 3000;
  listener->idle_timeout_ms = l && l->idle_timeout_ms ? l->idle_timeout_ms : 15000;
}

static void on_installed(void *p) {
  gateway *gateway = p;
  canary_config_installed(gateway);
  routing *was = (routing *)gateway->routing;
  if (gateway->router->routing == was)
    return;
  gateway->routing = gateway->router->routing ? routing_ref(gateway->router->routing) : NULL;
  if (was)
    routing_unref(was);
  apply_listener_limits(gateway);
  condition_broadcast(&gateway->engines_changed);
}

static void on_engines(void *p, const Wire__ConfigPollResponse *b) {
  gateway *gateway = p;
  gateway_engines_config_sync(gateway, b);
  if (b->registry_run)
    gateway->engines_known = true;
}

static void each_singleton(void *p, void (*one)(router *router, const char *duty)) {
  gateway *gateway = p;
  char d[64];
  if (gateway->canary)
    one(gateway->router, "canary");
  list_for_each (i, &gateway->engines, gateway_engine, link) {
    const service *service = i->gone || !gateway->routing
                                 ? NULL
                                 : routing_find_service(gateway->routing, i->service.text);
    if (!service || !service->model_count)
      continue;
    singleton_engine_name(d, sizeof d, i->engine_id);
    one(gateway->router, d);
  }
}

static void write_page(void *p, GString *to, bool metrics) {
  if (metrics)
    gateway_metrics(p, to);
  else
    gateway_status(p, to);
}

static void ready_serve(void *p, http_request *request) {
  gateway *gateway = p;
  if (!dialect_matches_call(gateway->settings.dialect, DC_READY, request->method, request->path,
                            NULL)) {
    http_request_respond(request, 404, "text/plain", string_view_of("no such page\n"));
    return;
  }
  const char *why = gateway_unready_reason(gateway);
  if (!why)
    http_request_respond(request, 200, "text/plain", string_view_of("ready\n"));
  else
    http_request_respond(request, 503, "text/plain", string_view_of(why));
}

gateway *gateway_new(router *router, const gateway_settings *x, error *err) {
  if (!router->node.settings.is_gateway || !x->dialect) {
    error_set(err, E_SETTINGS_KEY, "a gateway needs a router that is one, and a dialect");
    return NULL;
  }
  gateway *g = g_new0(gateway, 1);
  g->router = router;
  g->settings = *x;
  list_init(&g->engines);
  list_init(&g->queue);
  list_init(&g->open_requests);
  condition_init(&g->engines_changed);
  condition_init(&g->drained);
  g->engines_by_id = g_hash_table_new(g_str_hash, g_str_equal);
  g->load_requests = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  g->budgets = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, retry_budget_free);
  g->route_durations = route_durations_new();
  g->traffic = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
  world *world = router->node.world;
  g->client_listener = (http_listener){
    .world = world, .port = x->front_port, .serve = forward_request, .serve_context = g
  };
  g_strlcpy(g->client_listener.ip, x->front_ip, sizeof g->client_listener.ip);
  g->health_listener = (http_listener){ .world = world,
                                        .port = x->ready_port,
                                        .serve = ready_serve,
                                        .serve_context = g,
                                        .header_max_bytes = 8192,
                                        .body_max_bytes = 4096,
                                        .header_timeout_ms = 3000,
                                        .idle_timeout_ms = 15000 };
  g_strlcpy(g->health_listener.ip, x->ready_ip, sizeof g->health_listener.ip);
  apply_listener_limits(g);
  world->pool_idle_timeout_ms = POOLED_IDLE_MS;
  router->gateway = g;
  router->on_installed = on_installed;
  router->on_engines_changed = on_engines;
  router->for_each_singleton = each_singleton;
  router->write_status = write_page;
  on_installed(g);
  canary_start(g);
  gateway_engines_start(g);
  loader_start(g);
  forward_start(g);
  unserved_start(g);
  return g;
}

int gateway_open(gateway *gateway, error *err) {
  world *world = gateway->router->node.world;
  int r = world->listener_open(world, &gateway->client_listener, err);
  return r ? r : world->listener_open(world, &gateway->health_listener, err);
}

void gateway_reload_settings(gateway *gateway, const gateway_settings *x) {
  gateway_settings was = gateway->settings;
  gateway->settings = *x;
  gateway->settings.dialect = was.dialect;
  gateway->settings.disabled_features = was.disabled_features;
  gateway->settings.front_port = was.front_port;
  gateway->settings.ready_port = was.ready_port;
  memcpy(gateway->settings.front_ip, was.front_ip, sizeof was.front_ip);
  memcpy(gateway->settings.ready_ip, was.ready_ip, sizeof was.ready_ip);
}

void gateway_free(gateway *gateway) {
  if (!gateway)
    return;
  canary_free(gateway);
  loader_free(gateway);
  gateway_engines_free(gateway);
  g_hash_table_destroy(gateway->engines_by_id);
  g_hash_table_destroy(gateway->load_requests);
  g_hash_table_destroy(gateway->budgets);
  g_hash_table_destroy(gateway->traffic);
  route_durations_free(gateway->route_durations);
  if (gateway->routing)
    routing_unref((routing *)gateway->routing);
  gateway->router->gateway = NULL;
  g_free(gateway);
}
