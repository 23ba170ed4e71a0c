/**
 * Startup, graceful shutdown and destruction of a router.
 */
#include "router.h"
#include "routing.h"

enum {
  /* How long requests that are open when the shutdown begins may take. */
  DRAIN_TIMEOUT_MS = 30000,
  DRAIN_CHECK_INTERVAL_MS = 100,
  /* Time for sending the last responses and releasing leases. */
  DRAIN_LINGER_MS = 800
};

static void init_state(router *router) {
  condition_init(&router->state_changed);
  condition_init(&router->drain_completed);
  config_sync_init(&router->sync);
  singleton_leases_init(&router->leases);
  event_history_init(&router->history, router->node.world);
  engine_list_init(&router->engine_list);
  model_loading_init(&router->loading);
  generate_api_init(&router->requests);
}

router *router_new(world *world, const settings *settings) {
  router *new_router = g_new0(router, 1);
  node_init(&new_router->node, world, settings);
  init_state(new_router);
  world->serve = generate_api_serve;
  world->serve_context = new_router;
  node_start(&new_router->node);
  config_sync_start(new_router);
  /* a gateway's engines register themselves, and lib/gateway places its models */
  if (!settings->is_gateway) {
    engine_list_start(new_router);
    model_loading_start(new_router);
    rate_exchange_start(new_router);
  }
  singleton_lease_start(new_router);
  return new_router;
}

bool router_happened_within(const router *router, time_us at, int64_t ms) {
  return at.us && !time_reached(world_now(router->node.world), time_add(at, time_from_ms(ms)));
}

static void drain_run(void *context) {
  router *router = context;
  world *world = router->node.world;
  for (int i = 0; i < DRAIN_TIMEOUT_MS / DRAIN_CHECK_INTERVAL_MS && router->open_requests; i++)
    if (!world_sleep(world, time_from_ms(DRAIN_CHECK_INTERVAL_MS)))
      return;
  world_sleep(world, time_from_ms(DRAIN_LINGER_MS));
  log_info(&router->node.log, "router", "Drained, %d requests are still open.",
           router->open_requests);
  condition_broadcast(&router->drain_completed);
}

void router_drain(router *router) {
  if (router->draining)
    return;
  router->draining = true;
  node_start_draining(&router->node);
  log_info(&router->node.log, "router", "Draining: no new requests are accepted, %d are open.",
           router->open_requests);
  task_start(&router->node.world->tasks, "drain", drain_run, router);
}

void router_free(router *router) {
  engine_list_free(&router->engine_list);
  model_loading_free(&router->loading);
  config_sync_free(&router->sync);
  singleton_leases_free(&router->leases);
  config_free(router->config);
  routing_unref(router->routing);
  event_history_free(&router->history);
  node_free(&router->node);
  g_free(router);
}
