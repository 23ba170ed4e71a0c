/**
 * Orders of an engine: parse_order, decide_status and start_order, then a task that loads or
 * unloads. Loads from the shared store slow each other down; a model on the local disk loads
 * faster; a load that exceeds the memory crashes the engine.
 */
#include "registering_engine_sim.h"
#include <stdio.h>

enum {
  DISK_LOAD_TENTHS = 4, /* duration of a load from disk, in tenths of one from the store */
  ADAPTER_LOAD_MS = 40, /* when the plan sets no duration */
  UNLOAD_POLL_MS = 200, /* how often an unload checks whether its runs have ended */
  UNLOAD_MS = 20,       /* duration of an unload once its runs have ended */
};

/* relative increase of a load's duration on an engine whose slots are all busy */
static const double BUSY_LOAD_SLOWDOWN = 0.3;

/* an order in progress; owned by its task */
typedef struct order_task {
  registering_engine_sim *engine;
  engine_order_record *order;
  double load_ms;
} order_task;

static bool is_for_adapter(const engine_order_record *order) {
  return !id_is_empty(order->adapter);
}

static void finish_order(registering_engine_sim *engine) {
  engine->orders.current = NULL;
  engine_report_take_snapshot(engine);
  condition_broadcast(&engine->state_changed);
}

static double store_slowdown(const weight_store_sim *store) {
  return MAX(1, (double)store->loading / store->full_speed_loads);
}

/* sleeps for the duration of a load; false when the engine stops */
static bool sleep_for_load(const order_task *task) {
  registering_engine_sim *engine = task->engine;
  weight_store_sim *store = engine->plan->store;
  bool from_store = task->order->from_store;
  if (from_store)
    store->loading++;
  double slowdown = from_store ? store_slowdown(store) : 1;
  double load_ms = task->load_ms * slowdown *
                   (1 + BUSY_LOAD_SLOWDOWN * engine->batch.busy_slots / engine->plan->slots);
  bool slept = world_sleep(engine->world, registering_engine_time(load_ms));
  if (from_store)
    store->loading--;
  return slept;
}

static void complete_load(registering_engine_sim *engine, const engine_order_record *order) {
  loaded_model *model = engine_models_find(engine, order->model);
  if (!model)
    return;
  if (is_for_adapter(order)) {
    g_hash_table_add(model->adapters, g_strdup(order->adapter.text));
    return;
  }
  model->loaded = true;
  g_hash_table_add(engine->plan->models_on_disk, g_strdup(order->model.text));
}

static void load_run(void *context) {
  order_task *task = context;
  if (sleep_for_load(task)) {
    complete_load(task->engine, task->order);
    finish_order(task->engine);
  }
  g_free(task);
}

/* waits until no run uses the model or adapter to unload; false when the engine stops */
static bool wait_for_runs(registering_engine_sim *engine, const engine_order_record *order) {
  world *world = engine->world;
  while (engine_batch_count_runs(engine, order->model, order->adapter)) {
    time_us until = time_add(world_now(world), time_from_ms(UNLOAD_POLL_MS));
    if (condition_wait(&world->tasks, &engine->state_changed, until) == WAKE_STOPPED)
      return false;
  }
  return true;
}

static void complete_unload(registering_engine_sim *engine, const engine_order_record *order) {
  loaded_model *model = engine_models_find(engine, order->model);
  if (!model)
    return;
  if (is_for_adapter(order)) {
    g_hash_table_remove(model->adapters, order->adapter.text);
    model->unloading = false;
    return;
  }
  engine_kv_cache_evict_model(&engine->batch.kv_cache, order->model);
  engine_models_remove(model);
}

static void unload_run(void *context) {
  order_task *task = context;
  registering_engine_sim *engine = task->engine;
  if (wait_for_runs(engine, task->order) && world_sleep(engine->world, time_from_ms(UNLOAD_MS))) {
    complete_unload(engine, task->order);
    finish_order(engine);
  }
  g_free(task);
}

static enum engine_order_operation parse_operation(const char *text) {
  if (!strcmp(text, "load"))
    return ENGINE_SIM_ORDER_LOAD;
  if (!strcmp(text, "unload"))
    return ENGINE_SIM_ORDER_UNLOAD;
  return ENGINE_SIM_ORDER_UNKNOWN;
}

/* parses an order and adds it to the log; expected_count is negative when the order has none */
static engine_order_record *parse_order(registering_engine_sim *engine, http_request *request,
                                        double *expected_count) {
  json *body = json_parse(string_view_of_gstring(request->body), NULL);
  engine_order_record *order = g_new0(engine_order_record, 1);
  order->received_at = world_now(engine->world);
  order->engine = engine->self;
  order->service = engine->plan->service;
  order->model = id_of_text(json_text(body, "model", ""));
  order->adapter = id_of_text(json_text(body, "adapter", ""));
  order->holder = id_of_text(json_text(body, "holder", ""));
  order->fencing_token = json_get(body, "fence") ? (int64_t)json_number(body, "fence", 0) : -1;
  order->op = parse_operation(json_text(body, "op", ""));
  *expected_count = json_number(body, "expect", -1);
  json_free(body);
  g_ptr_array_add(engine->plan->log->orders, order);
  return order;
}

/* whether two orders ask for the same; one that repeats the order in progress is accepted, but not
 * started again */
static bool is_same_order(const engine_order_record *a, const engine_order_record *b) {
  return a->op == b->op && id_equal(a->model, b->model) && id_equal(a->adapter, b->adapter);
}

static bool is_malformed(const registering_engine_sim *engine, const engine_order_record *order) {
  return order->op == ENGINE_SIM_ORDER_UNKNOWN || id_is_empty(order->holder) ||
         order->fencing_token < 0 || !engine_models_find_spec(engine, order->model);
}

/* the status of an order to an engine that executes none: 200 when there is nothing to do */
static int decide_idle_status(registering_engine_sim *engine, const engine_order_record *order) {
  const loaded_model *model = engine_models_find(engine, order->model);
  bool is_present = model && (!is_for_adapter(order) ||
                              g_hash_table_contains(model->adapters, order->adapter.text));
  if (order->op == ENGINE_SIM_ORDER_UNLOAD)
    return is_present ? 202 : 200;
  if (is_present && model->loaded)
    return 200;
  bool is_model_missing = is_for_adapter(order) && !(model && model->loaded);
  return is_model_missing ? 421 : 202;
}

static int decide_status(registering_engine_sim *engine, http_request *request,
                         const engine_order_record *order, double expected_count) {
  const engine_order_progress *state = &engine->orders;
  if (!registering_engine_is_addressed(engine, request))
    return 421;
  if (is_malformed(engine, order))
    return 400;
  if (engine->plan->faults.rejects_stale_tokens && order->fencing_token < state->fencing_token)
    return 412;
  if (expected_count >= 0 && (uint64_t)expected_count != state->started_count)
    return 409;
  if (state->current)
    return is_same_order(state->current, order) ? 202 : 409;
  return decide_idle_status(engine, order);
}

static bool exceeds_memory(registering_engine_sim *engine, const engine_order_record *order) {
  const engine_model_spec *spec = engine_models_find_spec(engine, order->model);
  engine_memory_use use = engine_models_memory_use(engine);
  double added_mb = is_for_adapter(order) ? spec->adapter_mb : spec->weights_mb;
  return use.weights_mb + added_mb > engine->plan->weights_mb ||
         use.adapters + is_for_adapter(order) > engine->plan->adapter_slots;
}

static double load_time_ms(const registering_engine_sim *engine, const engine_order_record *order) {
  const registering_engine_plan *plan = engine->plan;
  if (is_for_adapter(order))
    return plan->adapter_ms ? (double)plan->adapter_ms : ADAPTER_LOAD_MS;
  const engine_model_spec *spec = engine_models_find_spec(engine, order->model);
  return spec->load_ms * (order->from_store ? 10 : DISK_LOAD_TENTHS) / 10;
}

static void start_task(registering_engine_sim *engine, engine_order_record *order, double load_ms) {
  bool is_load = order->op == ENGINE_SIM_ORDER_LOAD;
  order_task *task = g_new0(order_task, 1);
  *task = (order_task){ engine, order, load_ms };
  task_start(&engine->world->tasks, is_load ? "load" : "unload", is_load ? load_run : unload_run,
             task);
}

/* false when the load crashes the engine */
static bool start_load(registering_engine_sim *engine, engine_order_record *order) {
  bool is_on_disk = g_hash_table_contains(engine->plan->models_on_disk, order->model.text);
  order->over_capacity = exceeds_memory(engine, order);
  order->from_store = !is_for_adapter(order) && !is_on_disk;
  if (!is_for_adapter(order))
    engine_models_add(engine, order->model);
  if (order->over_capacity && engine->stop) {
    engine->stop(engine->context, true);
    return false;
  }
  start_task(engine, order, load_time_ms(engine, order));
  return true;
}

static void start_unload(registering_engine_sim *engine, engine_order_record *order) {
  if (!is_for_adapter(order)) {
    engine_models_find(engine, order->model)->unloading = true;
    engine_batch_wake_queued(engine, order->model);
  }
  start_task(engine, order, 0);
}

/* false when the order crashes the engine */
static bool start_order(registering_engine_sim *engine, engine_order_record *order) {
  order->started = true;
  engine->orders.current = order;
  engine->orders.started_count++;
  if (order->op == ENGINE_SIM_ORDER_UNLOAD)
    start_unload(engine, order);
  else if (!start_load(engine, order))
    return false;
  engine_report_take_snapshot(engine);
  return true;
}

static void respond_order(registering_engine_sim *engine, http_request *request, int status) {
  registering_engine_faults *faults = &engine->plan->faults;
  if (status == 202 && faults->lose_order_responses > 0) {
    faults->lose_order_responses--;
    http_request_end(request, false);
    return;
  }
  char text[64];
  snprintf(text, sizeof text, "{\"count\":%" PRIu64 "}", engine->orders.started_count);
  http_request_respond(request, status, "application/json", string_view_of(text));
}

/* simulates the fault that an order arrives late; false when the engine stops before that */
static bool delay_order(registering_engine_sim *engine) {
  registering_engine_faults *faults = &engine->plan->faults;
  if (faults->late_orders <= 0)
    return true;
  faults->late_orders--;
  return world_sleep(engine->world, time_from_ms(faults->late_order_ms));
}

void engine_orders_serve(registering_engine_sim *engine, http_request *request) {
  registering_engine_faults *faults = &engine->plan->faults;
  engine_order_progress *state = &engine->orders;
  if (!delay_order(engine))
    return;
  double expected_count;
  engine_order_record *order = parse_order(engine, request, &expected_count);
  if (faults->drop_orders > 0) {
    faults->drop_orders--;
    order->status = ENGINE_SIM_ORDER_DROPPED;
    http_request_end(request, false);
    return;
  }
  order->status = decide_status(engine, request, order, expected_count);
  if (order->status == 202 || order->status == 200)
    state->fencing_token = MAX(state->fencing_token, order->fencing_token);
  if (order->status == 202 && !state->current && !start_order(engine, order)) {
    http_request_end(request, false);
    return;
  }
  respond_order(engine, request, order->status);
}
