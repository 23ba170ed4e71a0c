/**
 * Carries out loads on one engine. Only one task per engine does so (load_queue.c), so nothing else
 * orders unloads or reserves capacity there in the meantime.
 */
#include "model_loading.h"
#include "engine_capacity.h"
#include "load_backoff.h"
#include "load_order.h"
#include "load_permit.h"
#include "load_queue.h"
#include "router.h"

enum {
  /* How long to wait for an unload of the same model that is in progress. */
  UNLOAD_TIMEOUT_MS = 20000,
  /* A report made this long after an order shows whether it was carried out. */
  LOAD_CONFIRMATION_MS = 3000,
  /* If no such report arrives for this much longer, the engine is treated as stuck. */
  REPORT_STALL_MS = 12000,
  /* Timeout of a load: the estimate times the factor, plus the margin. */
  LOAD_TIMEOUT_FACTOR = 4,
  LOAD_TIMEOUT_MARGIN_MS = 15000,

  MAX_PERMIT_ATTEMPTS = 4,
  MAX_PERMIT_PAUSE_MS = 1000,
  PERMIT_PAUSE_MS = 400,

  /* Retry times reported after failures. */
  RETRY_LOAD_MS = 2000,
  RETRY_PERMIT_MS = 1500,
  RETRY_SLOT_MISSED_MS = 1000,
  RETRY_STUCK_ENGINE_MS = 5000,

  /* Load time estimates when neither the catalogue nor a measurement gives one: an adapter takes a
     quarter of the default for models. */
  FALLBACK_LOAD_MS = 4000,
  ADAPTER_LOAD_DIVISOR = 4
};

/* A load in progress. */
typedef struct load {
  engine *engine;
  order_subject subject;
  /* "model" or "model+adapter" */
  char key[128];
  /* process run and report number of the engine when the order was sent */
  char boot_id[48];
  uint64_t report_seq;
  /* when the order was sent, or when a load already in progress was found */
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

/* How long to wait before requesting a permit again. */
static int64_t permit_pause_ms(enum error_code code, uint64_t retry_after_ms) {
  if (code == E_LOAD_RATE_LIMITED && retry_after_ms)
    return (int64_t)MIN(retry_after_ms, MAX_PERMIT_PAUSE_MS);
  return PERMIT_PAUSE_MS;
}

/* Obtains a load permit and waits until its slot begins. On success the slot has not ended yet. */
static enum error_code acquire_permit(load *load, load_slot *slot) {
  engine *engine = load->engine;
  world *world = engine->router->node.world;
  for (int attempts = 1;; attempts++) {
    enum error_code code =
        load_permit_request(engine, load->key, slot, load->retry_after_ms, load->err);
    if (code == E_STOPPING || engine_is_stopping(engine))
      return error_set(load->err, E_STOPPING, "stopping");
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

/* Checks again whether the load is possible, because waiting for the permit took time. Sets *base
 * to the adapter's model, or to NULL if the load is of a model. */
static enum error_code check_still_possible(load *load, resident_model **base) {
  engine *engine = load->engine;
  if (!engine_accepts_work(engine))
    return error_set(load->err, E_NO_ENGINE, "%s takes no new work", engine->self.text);
  capacity_shortage shortage = engine_capacity_shortage(engine, &load->subject);
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

/* Reserves the capacity of a load until a report shows its outcome. */
static void reserve_capacity(load *load, resident_model *base) {
  engine *engine = load->engine;
  load->report_seq = engine->report_seq;
  g_strlcpy(load->boot_id, engine->boot_id, sizeof load->boot_id);
  engine->reserved_mb += load->subject.weights_mb;
  engine->reserved_slots += load->subject.slots;
  if (base)
    base->unconfirmed_adapter_loads++;
}

/* Ends a reservation. Reservations do not carry over to a later process run of the engine. */
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
      load_backoff_find(load->engine, subject->model, subject->adapter)->unloaded_at;
  router->loading.load_count++;
  if (!unloaded_at.us)
    return;
  int64_t load_ms = (int64_t)model_loading_estimate_ms(router, load->engine->type, subject->model,
                                                       subject->adapter);
  time_us window = time_from_ms(WASTED_LOAD_WINDOW_FACTOR * load_ms);
  if (!time_reached(load->started_at, time_add(unloaded_at, window)))
    router->loading.wasted_loads++;
}

/* Records that the engine failed a load, so that it is not retried immediately. */
static void record_load_failure(load *load, uint64_t retry_after_ms) {
  load_backoff_record_failure(load->engine, load->subject.model, load->subject.adapter);
  *load->retry_after_ms = retry_after_ms;
}

/* Handles the result of an order that the engine certainly did not accept. */
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
    /* not a failure of the load itself */
    *load->retry_after_ms = RETRY_LOAD_MS;
    return error_set(load->err, E_NO_ENGINE, "%s refused an order that is out of date", engine);
  default:
    record_load_failure(load, RETRY_LOAD_MS);
    return E_ORDER_FAILED;
  }
}

/* The engine accepted an order but sends no further reports. The capacity remains reserved until
 * the engine restarts. */
static enum error_code handle_stuck_engine(load *load) {
  engine *engine = load->engine;
  record_load_failure(load, RETRY_STUCK_ENGINE_MS);
  log_info(
      &engine->router->node.log, "engine",
      "%s accepted a load and has sent no report since; the capacity remains reserved (code %d).",
      engine->self.text, E_NO_ENGINE);
  return error_set(load->err, E_NO_ENGINE, "%s accepted a load and does not report it",
                   engine->self.text);
}

/* Waits for the report that shows the outcome of an order. The outcome of an accepted order is only
 * in reports later than the last one received before it was sent. */
static enum error_code await_confirmation(load *load, enum order_result result) {
  engine *engine = load->engine;
  const order_subject *subject = &load->subject;
  time_us confirmed_by = time_add(now_of(engine), time_from_ms(LOAD_CONFIRMATION_MS)),
          stuck_at = time_add(confirmed_by, time_from_ms(REPORT_STALL_MS));
  bool shown = engine_find_resident(engine, subject->model, subject->adapter) != NULL;
  while (!shown && !strcmp(load->boot_id, engine->boot_id)) {
    if (engine_await_report(engine, load->err))
      return E_STOPPING;
    time_us now = now_of(engine);
    if (time_reached(now, confirmed_by) && time_reached(engine->last_report_at, confirmed_by) &&
        (result == ORDER_UNKNOWN || engine->report_seq != load->report_seq))
      break;
    if (time_reached(now, stuck_at))
      return handle_stuck_engine(load);
    shown = engine_find_resident(engine, subject->model, subject->adapter) != NULL;
  }
  release_reservation(load);
  if (shown)
    return OK;
  record_load_failure(load, RETRY_LOAD_MS);
  return error_set(load->err, E_ORDER_FAILED, "%s did not carry out the load of %s",
                   engine->self.text, load->key);
}

/* Frees capacity, obtains a permit, orders the load and waits until the engine reports it. */
static enum error_code order_load(load *load) {
  enum error_code code =
      engine_capacity_free(load->engine, &load->subject, load->retry_after_ms, load->err);
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
  reserve_capacity(load, base);
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
      record_load_failure(load, RETRY_LOAD_MS);
      return error_set(load->err, E_ORDER_FAILED, "%s aborted the load of %s", engine->self.text,
                       load->key);
    }
    if (resident->state != RESIDENT_LOADING)
      return OK;
    if (engine_await_report(engine, load->err))
      return E_STOPPING;
    if (time_reached(now_of(engine), deadline)) {
      *load->retry_after_ms = RETRY_LOAD_MS;
      return error_set(load->err, E_ORDER_FAILED, "%s loads %s for too long", engine->self.text,
                       load->key);
    }
  }
}

/* Records how long an ordered load took and sends it to the other routers, which use it for
 * placement. */
static void record_load_time(load *load) {
  engine *engine = load->engine;
  router *router = engine->router;
  double ms = (double)time_sub(now_of(engine), load->started_at).us / 1000;
  event_history_record_load_ms(&router->history, engine->type, load->key, ms);
  event_history_append(&router->history, (history_event){ .kind = EVENT_LOADED,
                                                          .engine = engine->self,
                                                          .model = load->subject.model,
                                                          .adapter = load->subject.adapter,
                                                          .value = (int64_t)ms });
  rate_exchange_send_load_time(router, engine->type, load->key, ms);
  log_info(&router->node.log, "place", "%s loaded %s in %.0f ms under epoch %" PRIu64 ".",
           engine->self.text, load->key, ms, load_order_epoch(engine));
}

/* Waits until an unload in progress has ended, but no longer than the deadline. */
static enum error_code await_unloaded(load *load, time_us deadline) {
  engine *engine = load->engine;
  for (;;) {
    const resident_model *resident =
        engine_find_resident(engine, load->subject.model, load->subject.adapter);
    if (!resident || resident->state != RESIDENT_UNLOADING ||
        time_reached(now_of(engine), deadline))
      return OK;
    if (engine_await_report(engine, load->err))
      return E_STOPPING;
  }
}

static bool is_up(engine *engine, id model, id adapter) {
  const resident_model *resident = engine_find_resident(engine, model, adapter);
  return resident && resident->state == RESIDENT_UP;
}

/* Refuses loads that are impossible or in backoff after a failure. */
static enum error_code check_load(load *load) {
  engine *engine = load->engine;
  order_subject *subject = &load->subject;
  if (!model_loading_find_size(engine->router, subject->model, subject->adapter,
                               &subject->weights_mb, &subject->slots))
    return error_set(load->err, E_UNKNOWN_MODEL, "the catalogue has no %s", load->key);
  if (subject->weights_mb > engine->weights_mb || subject->slots > engine->adapter_slots)
    return error_set(load->err, E_NO_ENGINE_FITS, "%s does not fit on %s", load->key,
                     engine->self.text);
  time_us retry_at = load_backoff_find(engine, subject->model, subject->adapter)->retry_at;
  if (!time_reached(now_of(engine), retry_at)) {
    *load->retry_after_ms = (uint64_t)time_sub(retry_at, now_of(engine)).us / 1000;
    return error_set(load->err, E_ORDER_FAILED, "%s failed to load on %s lately", load->key,
                     engine->self.text);
  }
  return OK;
}

enum error_code model_loading_load(engine *engine, id model, id adapter, uint64_t *retry_after_ms,
                                   error *err) {
  /* an adapter can serve only if its model is up, which may have been unloaded */
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
  load_backoff_find(engine, model, adapter)->failures = 0;
  if (!under_way)
    record_load_time(&load);
  return OK;
}

void model_loading_start_engine(engine *engine) {
  task_start(&engine->router->node.world->tasks, "load queue", load_queue_run, engine);
}

void model_loading_start(router *router) {
  load_queue_start(router);
  load_permit_start(router);
}
