#include "gateway.h"

enum { KEPT_IDLE_MS = 4000 };

static void bounds(gateway *gateway) {
  http_listener *listener = &gateway->front;
  const request_limits *l = gateway->routing ? &gateway->routing->limits : NULL;
  listener->header_max_bytes = l && l->header_max_bytes ? l->header_max_bytes : 16384;
  listener->body_max_bytes = l && l->body_max_bytes ? l->body_max_bytes : 4 << 20;
  listener->header_timeout_ms = l && l->header_timeout_ms ? l->header_timeout_ms : 3000;
  listener->idle_timeout_ms = l && l->idle_timeout_ms ? l->idle_timeout_ms : 15000;
}

static void on_installed(void *p) {
  gateway *gateway = p;
  canary_installed(gateway);
  routing *was = (routing *)gateway->routing;
  if (gateway->router->routing == was)
    return;
  gateway->routing = gateway->router->routing ? routing_ref(gateway->router->routing) : NULL;
  if (was)
    routing_unref(was);
  bounds(gateway);
  condition_broadcast(&gateway->moved);
}

static void on_engines(void *p, const Wire__ConfigPollResponse *b) {
  gateway *gateway = p;
  instances_news(gateway, b);
  if (b->registry_run)
    gateway->told = true;
}

static void each_duty(void *p, void (*one)(router *router, const char *duty)) {
  gateway *gateway = p;
  char d[64];
  if (gateway->canary)
    one(gateway->router, "canary");
  list_for_each (i, &gateway->instances, instance, link) {
    const service *service = i->gone || !gateway->routing
                                 ? NULL
                                 : routing_find_service(gateway->routing, i->service.text);
    if (!service || !service->model_count)
      continue;
    singleton_engine_name(d, sizeof d, i->self);
    one(gateway->router, d);
  }
}

static void page(void *p, GString *to, bool metrics) {
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
  const char *why = gateway_unready(gateway);
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
  list_init(&g->instances);
  list_init(&g->queue);
  list_init(&g->open_requests);
  condition_init(&g->moved);
  condition_init(&g->over);
  g->instance_at = g_hash_table_new(g_str_hash, g_str_equal);
  g->wants = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  g->budgets = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, budget_free);
  g->durations = route_times_new();
  g->traffic = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
  world *world = router->node.world;
  g->front = (http_listener){
    .world = world, .port = x->front_port, .serve = forward_serve, .serve_context = g
  };
  g_strlcpy(g->front.ip, x->front_ip, sizeof g->front.ip);
  g->ready = (http_listener){ .world = world,
                              .port = x->ready_port,
                              .serve = ready_serve,
                              .serve_context = g,
                              .header_max_bytes = 8192,
                              .body_max_bytes = 4096,
                              .header_timeout_ms = 3000,
                              .idle_timeout_ms = 15000 };
  g_strlcpy(g->ready.ip, x->ready_ip, sizeof g->ready.ip);
  bounds(g);
  world->pool_idle_timeout_ms = KEPT_IDLE_MS;
  router->gateway = g;
  router->on_installed = on_installed;
  router->on_engines_changed = on_engines;
  router->for_each_singleton = each_duty;
  router->write_status = page;
  on_installed(g);
  canary_start(g);
  instances_start(g);
  loader_start(g);
  forward_start(g);
  unserved_start(g);
  return g;
}

int gateway_open(gateway *gateway, error *err) {
  world *world = gateway->router->node.world;
  int r = world->listener_open(world, &gateway->front, err);
  return r ? r : world->listener_open(world, &gateway->ready, err);
}

void gateway_reread(gateway *gateway, const gateway_settings *x) {
  gateway_settings was = gateway->settings;
  gateway->settings = *x;
  gateway->settings.dialect = was.dialect;
  gateway->settings.off = was.off;
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
  instances_free(gateway);
  g_hash_table_destroy(gateway->instance_at);
  g_hash_table_destroy(gateway->wants);
  g_hash_table_destroy(gateway->budgets);
  g_hash_table_destroy(gateway->traffic);
  route_times_free(gateway->durations);
  if (gateway->routing)
    routing_unref((routing *)gateway->routing);
  gateway->router->gateway = NULL;
  g_free(gateway);
}
