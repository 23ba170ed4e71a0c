/**
 * Stream limits of engines, and the slow start of engines that have just come up.
 *
 * Slow start: the stream limit of an engine that has just come up grows over slow_start_s seconds.
 * Each router knows only its own streams since the last report. To keep all routers together within
 * the low limit, it is divided among them, and the routers take turns in getting the remainder.
 */
#include "engine.h"
#include "router.h"

enum {
  /* Longer than the timeout of a report poll (engine_report.c). */
  REPORT_VALID_MS = 2500,
  /* How long a router keeps its position in the division of the slow start's limit. */
  SLOW_START_TURN_MS = 500,
  MIN_SLOW_START_STREAMS = 2
};

engine *engine_new(router *router, const char *self, const char *address) {
  engine *new_engine = g_new0(engine, 1);
  new_engine->router = router;
  new_engine->refs = 2;
  new_engine->self = id_of_text(self);
  g_strlcpy(new_engine->address, address, sizeof new_engine->address);
  list_init(&new_engine->residents);
  list_init(&new_engine->load_requests);
  condition_init(&new_engine->report_changed);
  condition_init(&new_engine->work_changed);
  list_append(&router->engine_list.engines, &new_engine->link);
  return new_engine;
}

void engine_unref(engine *engine) {
  if (--engine->refs)
    return;
  list_for_each (resident, &engine->residents, resident_model, link) {
    list_remove(&resident->link);
    g_free(resident);
  }
  list_remove(&engine->link);
  g_free(engine);
}

void engine_remove(engine *engine) {
  engine->removed = true;
  engine->listed = false;
  condition_broadcast(&engine->work_changed);
  condition_broadcast(&engine->report_changed);
}

engine *engine_find(router *router, id self) {
  list_for_each (engine_, &router->engine_list.engines, engine, link)
    if (id_equal(engine_->self, self))
      return engine_;
  return NULL;
}

resident_model *engine_find_resident(engine *engine, id model, id adapter) {
  list_for_each (resident, &engine->residents, resident_model, link)
    if (id_equal(resident->model, model) && id_equal(resident->adapter, adapter))
      return resident;
  return NULL;
}

bool engine_accepts_work(engine *engine) {
  router *router = engine->router;
  time_us now = world_now(router->node.world);
  return admission_may_admit(router) && engine->listed && !engine->draining && engine->reported &&
         !engine->removed &&
         router_happened_within(router, engine->last_report_at, REPORT_VALID_MS) &&
         time_reached(now, engine->ejected_until) &&
         !(router->config &&
           config_is_engine_evacuated(router->config, engine->self, engine->zone));
}

static int64_t slow_start_us(const engine *engine) {
  const config *config = engine->router->config;
  return config ? config->slow_start_s * 1000000 : 0;
}

static int64_t age_us(const engine *engine) {
  return time_sub(world_now(engine->router->node.world), engine->started_at).us;
}

/* This router's share of the limit during a slow start. Hashing gives each engine its own order of
 * the routers, which rotates by one position each turn. */
static int slow_start_share(engine *engine, int max_streams, int64_t age) {
  router *router = engine->router;
  int router_count = 1, higher_ranked = 0;
  uint64_t own_rank = hash_two_names(engine->self.text, router->node.settings.self.text);
  list_for_each (peer, &router->node.peers, peer_node, link) {
    if (peer->role != ROLE_ROUTER || peer->gone || peer->draining)
      continue;
    router_count++;
    higher_ranked += hash_two_names(engine->self.text, peer->self.text) > own_rank;
  }
  int position = (int)((higher_ranked + age / (SLOW_START_TURN_MS * 1000)) % router_count);
  return (max_streams + router_count - 1 - position) / router_count;
}

bool engine_has_free_slot(engine *engine) {
  int max_streams = engine_max_streams(engine);
  int64_t slow_start = slow_start_us(engine), age = age_us(engine);
  return engine_running_streams(engine) < max_streams &&
         (age >= slow_start || engine->own_running < slow_start_share(engine, max_streams, age));
}

int engine_max_streams(engine *engine) {
  int max = engine->router->config ? engine->router->config->streams_max : 1;
  int64_t slow_start = slow_start_us(engine), age = age_us(engine);
  if (!slow_start || age >= slow_start)
    return max;
  int limit = (int)(max * (age + 1) / slow_start);
  return limit < MIN_SLOW_START_STREAMS ? MIN(MIN_SLOW_START_STREAMS, max) : limit;
}

int engine_running_streams(engine *engine) {
  return MAX(engine->own_running,
             engine->running + engine->own_running - engine->own_running_at_report);
}
