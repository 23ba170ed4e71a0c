/**
 * Carries out loads and unloads on one engine. For each engine one task does so at a time
 * (load_queue.c), so nothing else orders unloads or reserves capacity there meanwhile.
 */
#include "model_loading.h"
#include "load_order.h"
#include "load_permit.h"
#include "load_queue.h"
#include "router.h"
#include <stdio.h>

enum {
  UNLOAD_TIMEOUT_MS = 20000,
  /* After this long, a report tells whether an order was carried out. */
  LOAD_CONFIRMATION_MS = 3000,
  /* And if none came for so much longer, the engine counts as stuck. */
  REPORT_STALL_MS = 12000,
  /* A load may take so many times the estimate, plus this. */
  LOAD_TIMEOUT_FACTOR = 4,
  LOAD_TIMEOUT_MARGIN_MS = 15000,
  /* What was loaded stays at least so long if nobody has used it yet. */
  MIN_RESIDENCY_MS = 15000,
  REPORT_WAIT_MS = 300,

  /* A load that fails is retried after this, doubled for each failure in a row, with up to half as
     much of jitter. */
  LOAD_BACKOFF_MS = 1000,
  MAX_LOAD_BACKOFF_MS = 60000,
  MAX_BACKOFF_DOUBLINGS = 6,

  MAX_PERMIT_ATTEMPTS = 4,
  MAX_PERMIT_PAUSE_MS = 1000,
  PERMIT_PAUSE_MS = 400,
  MAX_EVICTIONS = 24,

  /* When to ask again after failures. */
  RETRY_CAPACITY_MS = 2000,
  RETRY_LOAD_MS = 2000,
  RETRY_PERMIT_MS = 1500,
  RETRY_SLOT_MISSED_MS = 1000,
  RETRY_STUCK_ENGINE_MS = 5000,

  /* Estimates of load times without catalogue and measurement: an adapter takes a quarter of the
     default. */
  FALLBACK_LOAD_MS = 4000,
  ADAPTER_LOAD_DIVISOR = 4
};

/* What is remembered of a model or adapter on an engine. */
typedef struct backoff {
  /* loads that failed in a row, and the end of the wait after the last one */
  int failures;
  time_us retry_at;
  /* when it was last unloaded; 0: never */
  time_us unloaded_at;
} backoff;

/* A load under way. */
typedef struct load {
  engine *engine;
  order_subject subject;
  /* "model" or "model+adapter" */
  char key[128];
  /* run and report number of the engine when the order was sent */
  char boot_id[48];
  uint64_t report_seq;
  /* when the order was sent, or the load under way was met */
  time_us started_at;
  uint64_t *retry_after_ms;
  error *err;
} load;

void model_loading_init(model_loading *loading) {
  loading->backoffs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void model_loading_free(model_loading *loading) {
  g_hash_table_destroy(loading->backoffs);
}

bool model_loading_find_size(router *router, id model_id, id adapter_id, uint64_t *weights_mb,
                             unsigned *slots) {
  const catalogue_model *model =
      router->config ? config_model(router->config, model_id.text) : NULL;
  if (!model)
    return false;
  *weights_mb = model->weights_mb;
  *slots = 0;
  if (id_is_empty(adapter_id))
    return true;
  const catalogue_adapter *adapter = config_adapter(router->config, adapter_id.text);
  if (!adapter || !id_equal(adapter->model, model_id))
    return false;
  *weights_mb = adapter->weights_mb;
  *slots = adapter->slots;
  return true;
}

static double catalogue_load_ms(router *router, id model_id, id adapter_id) {
  const config *config = router->config;
  if (!config)
    return FALLBACK_LOAD_MS;
  if (!id_is_empty(adapter_id))
    return config->default_load_ms / ADAPTER_LOAD_DIVISOR;
  const catalogue_model *model = config_model(config, model_id.text);
  return model && model->default_load_ms > 0 ? model->default_load_ms : config->default_load_ms;
}

double model_loading_estimate_ms(router *router, id type, id model, id adapter) {
  char key[128];
  event_history_format_key(key, sizeof key, model, adapter);
  return event_history_load_ms(&router->history, type, key,
                               catalogue_load_ms(router, model, adapter));
}

static time_us now_of(const engine *engine) {
  return world_now(engine->router->node.world);
}

static bool is_stopping(const engine *engine) {
  return engine->removed || engine->router->node.world->tasks.stopped;
}

static enum error_code set_stopping(error *err) {
  return error_set(err, E_STOPPING, "stopping");
}

/* Waits for the next report, for a while at most. False when the process stops. */
static bool wait_next_report(engine *engine) {
  return condition_wait(&engine->router->node.world->tasks, &engine->report_changed,
                        time_add(now_of(engine), time_from_ms(REPORT_WAIT_MS))) != WAKE_STOPPED;
}

/* The same; E_STOPPING also when the engine was removed. */
static enum error_code await_report(engine *engine, error *err) {
  if (!wait_next_report(engine) || is_stopping(engine))
    return set_stopping(err);
  return OK;
}

static void record_event(engine *engine, enum history_event_kind kind, id model, id adapter,
                         int64_t value) {
  event_history_append(&engine->router->history, (history_event){ .kind = kind,
                                                                  .engine = engine->self,
                                                                  .model = model,
                                                                  .adapter = adapter,
                                                                  .value = value });
}

static backoff *find_or_add_backoff(engine *engine, id model, id adapter) {
  GHashTable *backoffs = engine->router->loading.backoffs;
  char key[180];
  snprintf(key, sizeof key, "%s/%s+%s", engine->self.text, model.text, adapter.text);
  backoff *known = g_hash_table_lookup(backoffs, key);
  if (!known) {
    known = g_new0(backoff, 1);
    g_hash_table_insert(backoffs, g_strdup(key), known);
  }
  return known;
}

static void record_failure(engine *engine, id model, id adapter) {
  world *world = engine->router->node.world;
  backoff *known = find_or_add_backoff(engine, model, adapter);
  int64_t ms = (int64_t)LOAD_BACKOFF_MS << MIN(known->failures, MAX_BACKOFF_DOUBLINGS);
  ms = MIN(ms, MAX_LOAD_BACKOFF_MS);
  known->failures++;
  int64_t jitter_ms = (int64_t)world_random(world, (uint64_t)ms / 2 + 1);
  known->retry_at = time_add(world_now(world), time_from_ms(ms + jitter_ms));
  engine->router->failed_loads++;
  record_event(engine, EVENT_LOAD_FAILED, model, adapter, known->failures);
}

/* What is missing for a load: capacity counts as taken until a report shows it as free. */
static capacity_shortage find_shortage(engine *engine, const order_subject *subject) {
  uint64_t weights_mb = engine->reserved_mb + subject->weights_mb;
  unsigned slots = engine->reserved_slots + subject->slots;
  list_for_each (resident, &engine->residents, resident_model, link) {
    weights_mb += resident->weights_mb;
    slots += resident->slots;
  }
  return (capacity_shortage){ weights_mb > engine->weights_mb ? weights_mb - engine->weights_mb : 0,
                              slots > engine->adapter_slots ? slots - engine->adapter_slots : 0 };
}

static void count_unload(router *router, bool was_busy, bool was_wasted) {
  router->unload_count++;
  router->busy_unloads += was_busy;
  router->wasted_loads += was_wasted;
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
  /* reports came in meanwhile: the entry may be gone */
  resident = engine_find_resident(engine, model, adapter);
  if (result == ORDER_ACCEPTED && resident)
    resident->unload_accepted = true;
  count_unload(engine->router, was_busy, was_wasted);
  find_or_add_backoff(engine, model, adapter)->unloaded_at = now_of(engine);
  return OK;
}

/* Unloads a model or adapter and waits until the engine's reports no longer show it. */
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
    if (await_report(engine, err))
      return E_STOPPING;
    if (time_reached(now_of(engine), deadline))
      return error_set(err, E_ORDER_FAILED, "%s still shows %s after the time for an unload",
                       engine->self.text, model.text);
  }
  record_event(engine, EVENT_UNLOADED, model, adapter, was_used);
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

/* True when something may not be unloaded to make room for a load. */
static bool is_pinned(engine *engine, const resident_model *resident,
                      const order_subject *to_load) {
  /* loading or unloading; or an adapter may be on its way that would be left without its model */
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

/* Picks what to unload first by the eviction policy; false when nothing may go. */
static bool select_victim(engine *engine, const order_subject *to_load, capacity_shortage shortage,
                          id *model, id *adapter) {
  router *router = engine->router;
  GArray *candidates = g_array_new(FALSE, TRUE, sizeof(eviction_candidate));
  list_for_each (resident, &engine->residents, resident_model, link) {
    eviction_candidate candidate = make_candidate(engine, resident, to_load);
    g_array_append_val(candidates, candidate);
  }
  eviction_rule rule = { router->config->eviction_policy,
                         config_formula(router->config, router->config->eviction_policy),
                         now_of(engine) };
  eviction_candidate *all = (eviction_candidate *)candidates->data;
  int victims = eviction_policy_select(&rule, all, (int)candidates->len, shortage, draw_random,
                                       router->node.world);
  if (victims >= 0) {
    *model = all[0].model;
    *adapter = all[0].adapter;
    log_debug(&router->node.log, "place",
              "%s lacks %" PRIu64 " MB and %u slots for %s: unloads %d, first %s with score %g.",
              engine->self.text, shortage.mb, shortage.slots, to_load->model.text, victims,
              model->text, all[0].score);
  }
  g_array_free(candidates, TRUE);
  return victims >= 0;
}

static bool is_unloading(engine *engine) {
  list_for_each (resident, &engine->residents, resident_model, link)
    if (resident->state == RESIDENT_UNLOADING)
      return true;
  return false;
}

/* Unloads by the eviction policy, one after the other, until a load fits. */
static enum error_code free_capacity(load *load) {
  engine *engine = load->engine;
  const order_subject *subject = &load->subject;
  for (int i = 0; i < MAX_EVICTIONS; i++) {
    capacity_shortage shortage = find_shortage(engine, subject);
    if (!shortage.mb && !shortage.slots)
      return OK;
    if (is_stopping(engine))
      return set_stopping(load->err);
    id model, adapter;
    enum error_code code = OK;
    if (select_victim(engine, subject, shortage, &model, &adapter))
      code = unload(engine, model, adapter, load->err);
    else if (!is_unloading(engine) || !wait_next_report(engine))
      code = error_set(load->err, E_NO_CAPACITY, "nothing on %s may be unloaded for %s now",
                       engine->self.text, load->key);
    if (code) {
      *load->retry_after_ms = RETRY_CAPACITY_MS;
      return code;
    }
  }
  *load->retry_after_ms = RETRY_CAPACITY_MS;
  return error_set(load->err, E_NO_CAPACITY, "%s freed no capacity in time", engine->self.text);
}

/* How long to wait before the next attempt to get a permit. */
static int64_t permit_pause_ms(enum error_code code, uint64_t retry_after_ms) {
  if (code == E_LOAD_RATE_LIMITED && retry_after_ms)
    return (int64_t)MIN(retry_after_ms, MAX_PERMIT_PAUSE_MS);
  return PERMIT_PAUSE_MS;
}

/* Gets a load permit and waits for its slot; `slot` is one that is not over yet. */
static enum error_code acquire_permit(load *load, load_slot *slot) {
  engine *engine = load->engine;
  world *world = engine->router->node.world;
  for (int attempts = 1;; attempts++) {
    enum error_code code =
        load_permit_request(engine, load->key, slot, load->retry_after_ms, load->err);
    if (code == E_STOPPING || is_stopping(engine))
      return set_stopping(load->err);
    if (code && attempts >= MAX_PERMIT_ATTEMPTS) {
      if (!*load->retry_after_ms)
        *load->retry_after_ms = RETRY_PERMIT_MS;
      return code;
    }
    if (code) {
      int64_t pause_ms = permit_pause_ms(code, *load->retry_after_ms);
      if (!world_sleep_with_jitter(world, time_from_ms(pause_ms)))
        return E_STOPPING;
      continue;
    }
    time_us now = world_now(world);
    if (slot->begins_at.us > now.us && !world_sleep(world, time_sub(slot->begins_at, now)))
      return E_STOPPING;
    if (time_reached(slot->ends_at, world_now(world)))
      return OK;
  }
}

/* Looks again whether the load is possible, since waiting for the permit took time. Sets *base to
 * the model of an adapter, NULL for a model itself. */
static enum error_code check_still_possible(load *load, resident_model **base) {
  engine *engine = load->engine;
  if (!engine_accepts_work(engine))
    return error_set(load->err, E_NO_ENGINE, "%s takes no new work", engine->self.text);
  capacity_shortage shortage = find_shortage(engine, &load->subject);
  if (shortage.mb || shortage.slots) {
    *load->retry_after_ms = RETRY_SLOT_MISSED_MS;
    return error_set(load->err, E_NO_CAPACITY,
                     "the capacity of %s was taken while a load permit was awaited",
                     engine->self.text);
  }
  *base = NULL;
  if (id_is_empty(load->subject.adapter))
    return OK;
  *base = engine_find_resident(engine, load->subject.model, id_of_text(""));
  if (!*base || (*base)->state != RESIDENT_UP)
    return error_set(load->err, E_NO_CAPACITY, "the model of %s was unloaded", load->key);
  return OK;
}

/* Reserves the capacity of a load until a report shows what became of it. */
static void reserve(load *load, resident_model *base) {
  engine *engine = load->engine;
  load->report_seq = engine->report_seq;
  g_strlcpy(load->boot_id, engine->boot_id, sizeof load->boot_id);
  engine->reserved_mb += load->subject.weights_mb;
  engine->reserved_slots += load->subject.slots;
  if (base)
    base->unconfirmed_adapter_loads++;
}

/* Ends a reservation. A later run of the engine has none of the earlier one's. */
static void release_reservation(load *load) {
  engine *engine = load->engine;
  const order_subject *subject = &load->subject;
  if (strcmp(load->boot_id, engine->boot_id))
    return;
  resident_model *base = id_is_empty(subject->adapter)
                             ? NULL
                             : engine_find_resident(engine, subject->model, id_of_text(""));
  if (base && base->unconfirmed_adapter_loads)
    base->unconfirmed_adapter_loads--;
  engine->reserved_mb -= MIN(engine->reserved_mb, subject->weights_mb);
  engine->reserved_slots -= MIN(engine->reserved_slots, subject->slots);
}

static void count_load(load *load) {
  router *router = load->engine->router;
  const order_subject *subject = &load->subject;
  time_us unloaded_at =
      find_or_add_backoff(load->engine, subject->model, subject->adapter)->unloaded_at;
  router->load_count++;
  if (!unloaded_at.us)
    return;
  int64_t load_ms = (int64_t)model_loading_estimate_ms(router, load->engine->type, subject->model,
                                                       subject->adapter);
  time_us window = time_from_ms(WASTED_LOAD_WINDOW_FACTOR * load_ms);
  if (!time_reached(load->started_at, time_add(unloaded_at, window)))
    router->wasted_loads++;
}

/* Records that the engine failed a load; it is not tried again at once. */
static void fail(load *load, uint64_t retry_after_ms) {
  record_failure(load->engine, load->subject.model, load->subject.adapter);
  *load->retry_after_ms = retry_after_ms;
}

/* Handles the result of an order of which it is certain that the engine did not take it. */
static enum error_code handle_refusal(load *load, enum order_result result) {
  const char *engine = load->engine->self.text;
  release_reservation(load);
  switch (result) {
  case ORDER_NOT_SENT:
    *load->retry_after_ms = RETRY_SLOT_MISSED_MS;
    return error_set(load->err, E_LOAD_RATE_LIMITED, "%s could not be reached within the slot",
                     engine);
  case ORDER_NO_LEASE:
    return E_NO_LEASE_HOLDER;
  case ORDER_OUTDATED:
    /* no failure of the load */
    *load->retry_after_ms = RETRY_LOAD_MS;
    return error_set(load->err, E_NO_ENGINE, "%s refused an order that is out of date", engine);
  default:
    fail(load, RETRY_LOAD_MS);
    return E_ORDER_FAILED;
  }
}

/* The engine took an order and its reports do not go on. The capacity stays reserved until the
 * engine is another run. */
static enum error_code handle_stuck_engine(load *load) {
  engine *engine = load->engine;
  fail(load, RETRY_STUCK_ENGINE_MS);
  log_info(&engine->router->node.log, "engine",
           "%s accepted a load and sent no report since; its capacity counts as taken (code %d).",
           engine->self.text, E_NO_ENGINE);
  return error_set(load->err, E_NO_ENGINE, "%s accepted a load and does not report it",
                   engine->self.text);
}

/* Waits for the report that shows what became of an order. One that was accepted is shown only by a
 * later report than the last one before it. */
static enum error_code await_confirmation(load *load, enum order_result result) {
  engine *engine = load->engine;
  const order_subject *subject = &load->subject;
  time_us confirmed_by = time_add(now_of(engine), time_from_ms(LOAD_CONFIRMATION_MS)),
          stuck_at = time_add(confirmed_by, time_from_ms(REPORT_STALL_MS));
  bool shown;
  while (!(shown = engine_find_resident(engine, subject->model, subject->adapter) != NULL) &&
         !strcmp(load->boot_id, engine->boot_id)) {
    if (await_report(engine, load->err))
      return E_STOPPING;
    time_us now = now_of(engine);
    if (time_reached(now, confirmed_by) && time_reached(engine->last_report_at, confirmed_by) &&
        (result == ORDER_UNKNOWN || engine->report_seq != load->report_seq))
      break;
    if (time_reached(now, stuck_at))
      return handle_stuck_engine(load);
  }
  release_reservation(load);
  if (shown)
    return OK;
  fail(load, RETRY_LOAD_MS);
  return error_set(load->err, E_ORDER_FAILED, "%s did not carry out the load of %s",
                   engine->self.text, load->key);
}

/* Makes room, gets a permit, orders the load and waits until the engine reports it. */
static enum error_code order_load(load *load) {
  enum error_code code = free_capacity(load);
  if (code)
    return code;
  load_slot slot = { { 0 }, { 0 } };
  code = acquire_permit(load, &slot);
  if (code)
    return code;
  resident_model *base = NULL;
  code = check_still_possible(load, &base);
  if (code)
    return code;
  reserve(load, base);
  load->started_at = now_of(load->engine);
  count_load(load);
  enum order_result result =
      load_order_send(load->engine, ORDER_LOAD, &load->subject, slot.ends_at, load->err);
  if (result != ORDER_ACCEPTED && result != ORDER_UNKNOWN)
    return handle_refusal(load, result);
  return await_confirmation(load, result);
}

/* Waits until the engine reports that a load is complete. */
static enum error_code await_loaded(load *load) {
  engine *engine = load->engine;
  const order_subject *subject = &load->subject;
  double estimate_ms =
      model_loading_estimate_ms(engine->router, engine->type, subject->model, subject->adapter);
  int64_t timeout_ms = (int64_t)(estimate_ms * LOAD_TIMEOUT_FACTOR) + LOAD_TIMEOUT_MARGIN_MS;
  time_us deadline = time_add(load->started_at, time_from_ms(timeout_ms));
  for (;;) {
    const resident_model *resident = engine_find_resident(engine, subject->model, subject->adapter);
    if (!resident) {
      fail(load, RETRY_LOAD_MS);
      return error_set(load->err, E_ORDER_FAILED, "%s aborted the load of %s", engine->self.text,
                       load->key);
    }
    if (resident->state != RESIDENT_LOADING)
      return OK;
    if (await_report(engine, load->err))
      return E_STOPPING;
    if (time_reached(now_of(engine), deadline)) {
      *load->retry_after_ms = RETRY_LOAD_MS;
      return error_set(load->err, E_ORDER_FAILED, "%s loads %s for too long", engine->self.text,
                       load->key);
    }
  }
}

/* Tells all who place by load times how long an ordered load took. */
static void record_load_time(load *load) {
  engine *engine = load->engine;
  router *router = engine->router;
  double ms = (double)time_sub(now_of(engine), load->started_at).us / 1000;
  event_history_record_load_ms(&router->history, engine->type, load->key, ms);
  record_event(engine, EVENT_LOADED, load->subject.model, load->subject.adapter, (int64_t)ms);
  rate_exchange_send_load_time(router, engine->type, load->key, ms);
  log_info(&router->node.log, "place", "%s loaded %s in %.0f ms under epoch %" PRIu64 ".",
           engine->self.text, load->key, ms, load_order_epoch(engine));
}

/* Waits until an unload under way is over; goes on after the deadline in any case. */
static enum error_code await_unloaded(load *load, time_us deadline) {
  engine *engine = load->engine;
  for (;;) {
    const resident_model *resident =
        engine_find_resident(engine, load->subject.model, load->subject.adapter);
    if (!resident || resident->state != RESIDENT_UNLOADING ||
        time_reached(now_of(engine), deadline))
      return OK;
    if (await_report(engine, load->err))
      return E_STOPPING;
  }
}

static bool is_up(engine *engine, id model, id adapter) {
  const resident_model *resident = engine_find_resident(engine, model, adapter);
  return resident && resident->state == RESIDENT_UP;
}

/* Refuses loads that are impossible, or that failed a moment ago. */
static enum error_code check_load(load *load) {
  engine *engine = load->engine;
  order_subject *subject = &load->subject;
  if (!model_loading_find_size(engine->router, subject->model, subject->adapter,
                               &subject->weights_mb, &subject->slots))
    return error_set(load->err, E_UNKNOWN_MODEL, "the catalogue has no %s", load->key);
  if (subject->weights_mb > engine->weights_mb || subject->slots > engine->adapter_slots)
    return error_set(load->err, E_NO_ENGINE_FITS, "%s does not fit on %s", load->key,
                     engine->self.text);
  time_us retry_at = find_or_add_backoff(engine, subject->model, subject->adapter)->retry_at;
  if (!time_reached(now_of(engine), retry_at)) {
    *load->retry_after_ms = (uint64_t)time_sub(retry_at, now_of(engine)).us / 1000;
    return error_set(load->err, E_ORDER_FAILED, "%s failed to load on %s lately", load->key,
                     engine->self.text);
  }
  return OK;
}

enum error_code model_loading_load(engine *engine, id model, id adapter, uint64_t *retry_after_ms,
                                   error *err) {
  /* an adapter serves only on its model, which may have gone */
  id none = id_of_text("");
  if (is_up(engine, model, adapter) && is_up(engine, model, none))
    return OK;
  load load = { .engine = engine,
                .subject = { .model = model, .adapter = adapter },
                .retry_after_ms = retry_after_ms,
                .err = err };
  event_history_format_key(load.key, sizeof load.key, model, adapter);
  enum error_code code = check_load(&load);
  if (code)
    return code;
  time_us unload_deadline = time_add(now_of(engine), time_from_ms(UNLOAD_TIMEOUT_MS));
  if (!id_is_empty(adapter)) {
    code = model_loading_load(engine, model, none, retry_after_ms, err);
    if (code)
      return code;
  }
  if (is_up(engine, model, adapter))
    return OK;
  code = await_unloaded(&load, unload_deadline);
  if (code)
    return code;
  const resident_model *resident = engine_find_resident(engine, model, adapter);
  bool under_way = resident && resident->state == RESIDENT_LOADING;
  load.started_at = now_of(engine);
  if (!under_way)
    code = order_load(&load);
  if (!code)
    code = await_loaded(&load);
  if (code)
    return code;
  find_or_add_backoff(engine, model, adapter)->failures = 0;
  if (!under_way)
    record_load_time(&load);
  return OK;
}

void model_loading_start_engine(engine *engine) {
  task_start(&engine->router->node.world->tasks, "place", load_queue_run, engine);
}

void model_loading_start(router *router) {
  load_queue_start(router);
  load_permit_start(router);
}
