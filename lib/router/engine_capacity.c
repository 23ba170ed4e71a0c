/**
 * Unloads models and adapters to free capacity for a load.
 */
#include "engine_capacity.h"
#include "load_backoff.h"
#include "load_queue.h"
#include "router.h"

enum {
  UNLOAD_TIMEOUT_MS = 20000,
  /* A model or adapter that has not served any request yet is kept for at least this long after it
     was loaded. */
  MIN_RESIDENCY_MS = 15000,
  MAX_EVICTIONS = 24,
  RETRY_MS = 2000
};

static time_us now_of(const engine *engine) {
  return world_now(engine->router->node.world);
}

/* Capacity counts as taken until a report shows it as free. */
capacity_shortage engine_capacity_shortage(engine *engine, const order_subject *to_load) {
  uint64_t weights_mb = engine->reserved_mb + to_load->weights_mb;
  unsigned slots = engine->reserved_slots + to_load->slots;
  list_for_each (resident, &engine->residents, resident_model, link) {
    weights_mb += resident->weights_mb;
    slots += resident->slots;
  }
  return (capacity_shortage){ weights_mb > engine->weights_mb ? weights_mb - engine->weights_mb : 0,
                              slots > engine->adapter_slots ? slots - engine->adapter_slots : 0 };
}

static void count_unload(router *router, bool was_busy, bool was_wasted) {
  router->loading.unload_count++;
  router->loading.busy_unloads += was_busy;
  router->loading.wasted_loads += was_wasted;
}

static enum error_code order_unload(engine *engine, resident_model *resident, error *err) {
  id model = resident->model, adapter = resident->adapter;
  bool was_busy = resident->running > 0,
       was_wasted = resident->state == RESIDENT_UP && !resident->served_requests;
  order_subject subject = { model, adapter, resident->weights_mb, resident->slots };
  resident->state = RESIDENT_UNLOADING;
  enum order_result result = load_order_send(engine, ORDER_UNLOAD, &subject, time_never(), err);
  if (result == ORDER_NO_LEASE)
    return E_NO_LEASE_HOLDER;
  if (result == ORDER_REFUSED || result == ORDER_OUTDATED)
    return (enum error_code)err->code;
  /* reports may have arrived during the call and removed the entry */
  resident = engine_find_resident(engine, model, adapter);
  if (result == ORDER_ACCEPTED && resident)
    resident->unload_accepted = true;
  count_unload(engine->router, was_busy, was_wasted);
  load_backoff_find(engine, model, adapter)->unloaded_at = now_of(engine);
  return OK;
}

/* Unloads a model or adapter and waits until the engine's reports no longer list it. */
static enum error_code unload(engine *engine, id model, id adapter, error *err) {
  resident_model *resident = engine_find_resident(engine, model, adapter);
  if (!resident)
    return OK;
  bool was_used = resident->served_requests;
  if (resident->state != RESIDENT_UNLOADING) {
    enum error_code code = order_unload(engine, resident, err);
    if (code)
      return code;
  }
  time_us deadline = time_add(now_of(engine), time_from_ms(UNLOAD_TIMEOUT_MS));
  while (engine_find_resident(engine, model, adapter)) {
    if (engine_await_report(engine, err))
      return E_STOPPING;
    if (time_reached(now_of(engine), deadline))
      return error_set(err, E_ORDER_FAILED, "%s still shows %s after the time for an unload",
                       engine->self.text, model.text);
  }
  event_history_append(&engine->router->history, (history_event){ .kind = EVENT_UNLOADED,
                                                                  .engine = engine->self,
                                                                  .model = model,
                                                                  .adapter = adapter,
                                                                  .value = was_used });
  return OK;
}

static uint64_t draw_random(void *context) {
  world *world = context;
  return world->random(world);
}

static bool is_requested(engine *engine, const resident_model *resident) {
  list_for_each (request, &engine->load_requests, queued_load_request, link)
    if (!request->done && request->waiters && id_equal(request->model, resident->model) &&
        (id_is_empty(resident->adapter) || id_equal(request->adapter, resident->adapter)))
      return true;
  return false;
}

/* True when a model or adapter must not be unloaded to free capacity for a load. */
static bool is_pinned(engine *engine, const resident_model *resident,
                      const order_subject *to_load) {
  /* it is loading or unloading, or an ordered adapter load would be left without its model */
  if (resident->state != RESIDENT_UP || resident->unconfirmed_adapter_loads)
    return true;
  time_us min_residency_end = time_add(resident->loaded_at, time_from_ms(MIN_RESIDENCY_MS));
  if (!resident->served_requests && !time_reached(now_of(engine), min_residency_end))
    return true;
  bool is_model_of_load = !id_is_empty(to_load->adapter) && id_is_empty(resident->adapter) &&
                          id_equal(resident->model, to_load->model);
  return is_model_of_load || is_requested(engine, resident);
}

static eviction_candidate make_candidate(engine *engine, const resident_model *resident,
                                         const order_subject *to_load) {
  router *router = engine->router;
  char key[128];
  event_history_format_key(key, sizeof key, resident->model, resident->adapter);
  return (eviction_candidate){
    .model = resident->model,
    .adapter = resident->adapter,
    .weights_mb = resident->weights_mb,
    .slots = resident->slots,
    .request_rate = event_history_request_rate(&router->history, key),
    .last_requested_at = event_history_last_requested_at(&router->history, key),
    .load_ms = model_loading_estimate_ms(router, engine->type, resident->model, resident->adapter),
    .busy = resident->running > 0,
    .pinned = is_pinned(engine, resident, to_load),
  };
}

/* Selects what to unload first by the eviction policy; false when the shortage cannot be covered.
 */
static bool select_eviction(engine *engine, const order_subject *to_load,
                            capacity_shortage shortage, id *model, id *adapter) {
  router *router = engine->router;
  GArray *candidates = g_array_new(FALSE, TRUE, sizeof(eviction_candidate));
  list_for_each (resident, &engine->residents, resident_model, link) {
    eviction_candidate candidate = make_candidate(engine, resident, to_load);
    g_array_append_val(candidates, candidate);
  }
  eviction_rule rule = { router->config->eviction_policy,
                         config_formula(router->config, router->config->eviction_policy),
                         now_of(engine) };
  eviction_candidate *candidate_list = (eviction_candidate *)candidates->data;
  int selected = eviction_policy_select(&rule, candidate_list, (int)candidates->len, shortage,
                                        draw_random, router->node.world);
  if (selected >= 0) {
    *model = candidate_list[0].model;
    *adapter = candidate_list[0].adapter;
    log_debug(&router->node.log, "place",
              "%s lacks %" PRIu64 " MB and %u slots for %s: evicting %d, first %s with score %g.",
              engine->self.text, shortage.mb, shortage.slots, to_load->model.text, selected,
              model->text, candidate_list[0].score);
  }
  g_array_free(candidates, TRUE);
  return selected >= 0;
}

static bool is_unloading(engine *engine) {
  list_for_each (resident, &engine->residents, resident_model, link)
    if (resident->state == RESIDENT_UNLOADING)
      return true;
  return false;
}

/* Evicts one model or adapter. If none may be evicted but an unload is in progress, waits for the
 * next report. */
static enum error_code evict_one(engine *engine, const order_subject *to_load,
                                 capacity_shortage shortage, error *err) {
  id model, adapter;
  if (select_eviction(engine, to_load, shortage, &model, &adapter))
    return unload(engine, model, adapter, err);
  if (is_unloading(engine) && engine_wait_next_report(engine))
    return OK;
  char key[128];
  event_history_format_key(key, sizeof key, to_load->model, to_load->adapter);
  return error_set(err, E_NO_CAPACITY, "nothing on %s may be unloaded for %s now",
                   engine->self.text, key);
}

enum error_code engine_capacity_free(engine *engine, const order_subject *to_load,
                                     uint64_t *retry_after_ms, error *err) {
  for (int i = 0; i < MAX_EVICTIONS; i++) {
    capacity_shortage shortage = engine_capacity_shortage(engine, to_load);
    if (!shortage.mb && !shortage.slots)
      return OK;
    if (engine_is_stopping(engine))
      return error_set(err, E_STOPPING, "stopping");
    enum error_code code = evict_one(engine, to_load, shortage, err);
    if (code) {
      *retry_after_ms = RETRY_MS;
      return code;
    }
  }
  *retry_after_ms = RETRY_MS;
  return error_set(err, E_NO_CAPACITY, "%s freed no capacity in time", engine->self.text);
}
