#include "router.h"
#include "routing.h"

router *router_new(world *world, const settings *x) {
  router *v = g_new0(router, 1);
  node_init(&v->node, world, x);
  for (int i = 0; i < RESOURCE_COUNT; i++)
    v->resources[i] = g_string_new("{}");
  v->list = g_string_new(NULL);
  v->grants = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  v->contracts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
  v->backs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  v->served = 2000;
  /* a young node may try a few times before its traffic has earned it */
  v->retries = 2;
  condition_init(&v->contracts_changed);
  condition_init(&v->moved);
  condition_init(&v->over);
  list_init(&v->engines);
  list_init(&v->misses);
  list_init(&v->queue);
  history_init(&v->history, world);
  world->serve = route_serve;
  world->serve_context = v;
  node_start(&v->node);
  news_start(v);
  /* a gateway's engines register themselves, and it places by itself */
  if (!x->is_gateway) {
    platform_start(v);
    place_start(v);
  }
  duty_start(v);
  return v;
}

static void drain_run(void *p) {
  router *router = p;
  for (int i = 0; i < 300 && router->open; i++)
    if (!world_sleep(router->node.world, time_from_ms(100)))
      return;
  world_sleep(router->node.world, time_from_ms(800));
  log_info(&router->node.log, "router", "Drained, %d requests left.", router->open);
  condition_broadcast(&router->over);
}

void router_drain(router *router) {
  if (router->drain)
    return;
  router->drain = true;
  node_start_draining(&router->node);
  log_info(&router->node.log, "router", "Asked to stop; takes no new requests, %d are open.",
           router->open);
  task_start(&router->node.world->tasks, "drain", drain_run, router);
}

void router_free(router *router) {
  list_for_each (e, &router->engines, engine, link) {
    e->refs = 1;
    engine_drop(e);
  }
  for (int i = 0; i < RESOURCE_COUNT; i++)
    g_string_free(router->resources[i], TRUE);
  g_string_free(router->list, TRUE);
  g_hash_table_destroy(router->grants);
  g_hash_table_destroy(router->contracts);
  g_hash_table_destroy(router->backs);
  config_free(router->config);
  routing_unref(router->routes);
  history_free(&router->history);
  node_free(&router->node);
  g_free(router);
}
