#include "router.h"
#include "routing.h"

router *router_new(world *world, const settings *x) {
  router *v = g_new0(router, 1);
  node_init(&v->node, world, x);
  for (int i = 0; i < RESOURCE_COUNT; i++)
    v->resources[i] = g_string_new("{}");
  v->engine_list_json = g_string_new(NULL);
  v->singleton_grants = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  v->singleton_leases = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
  v->load_backoffs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  v->smoothed_service_ms = 2000;
  /* a young node may try a few times before its traffic has earned it */
  v->retry_budget = 2;
  condition_init(&v->singleton_grants_changed);
  condition_init(&v->state_changed);
  condition_init(&v->drain_completed);
  list_init(&v->engines);
  list_init(&v->outgoing_load_requests);
  list_init(&v->admitted_requests);
  event_history_init(&v->history, world);
  world->serve = generate_api_serve;
  world->serve_context = v;
  node_start(&v->node);
  config_sync_start(v);
  /* a gateway's engines register themselves, and it places by itself */
  if (!x->is_gateway) {
    engine_list_start(v);
    model_loading_start(v);
  }
  singleton_lease_start(v);
  return v;
}

static void wait_drained_run(void *p) {
  router *router = p;
  for (int i = 0; i < 300 && router->open_requests; i++)
    if (!world_sleep(router->node.world, time_from_ms(100)))
      return;
  world_sleep(router->node.world, time_from_ms(800));
  log_info(&router->node.log, "router", "Drained, %d requests left.", router->open_requests);
  condition_broadcast(&router->drain_completed);
}

void router_drain(router *router) {
  if (router->draining)
    return;
  router->draining = true;
  node_start_draining(&router->node);
  log_info(&router->node.log, "router", "Asked to stop; takes no new requests, %d are open.",
           router->open_requests);
  task_start(&router->node.world->tasks, "drain", wait_drained_run, router);
}

void router_free(router *router) {
  list_for_each (e, &router->engines, engine, link) {
    e->refs = 1;
    engine_unref(e);
  }
  for (int i = 0; i < RESOURCE_COUNT; i++)
    g_string_free(router->resources[i], TRUE);
  g_string_free(router->engine_list_json, TRUE);
  g_hash_table_destroy(router->singleton_grants);
  g_hash_table_destroy(router->singleton_leases);
  g_hash_table_destroy(router->load_backoffs);
  config_free(router->config);
  routing_unref(router->routing);
  event_history_free(&router->history);
  node_free(&router->node);
  g_free(router);
}
