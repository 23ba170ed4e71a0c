/**
 * Orders to a simulated engine. An order is refused as stale unless its epoch is higher than that
 * of the last one, or equal with a higher number. An accepted order starts a task that loads or
 * unloads.
 */
#include "engine_sim_internal.h"
#include <stdio.h>

enum {
  LOAD_BASE_MS = 300,   /* fixed part of a load's duration */
  LOAD_MB_PER_S = 8000, /* when no fault sets another rate */
  ADAPTER_MB = 200,     /* size of an item whose order has no weightsMb */
  LOAD_MIN_MS = 1,      /* minimum duration of a load, even if it is already due */
  UNLOAD_MS = 60,       /* duration of an unload once its runs have ended */
  UNLOAD_POLL_MS = 50,  /* how often an unload checks whether its runs have ended */
  AFTER_FREEZE_MS = 20, /* orders received within this time after a freeze may have waited in it */
  UNANSWERED_ORDER_MS = 8000, /* how long an unanswered order's connection stays open */
};

/* an accepted order in progress; owned by its task */
typedef struct order_task {
  engine_sim *engine;
  id model, adapter;
} order_task;

/* an order, parsed */
typedef struct parsed_order {
  engine_sim_order order;
  uint64_t number, weights_mb;
  unsigned slots;
  bool is_other_boot; /* meant for an earlier start of the engine */
  bool is_valid;
} parsed_order;

static engine_sim_item *find_task_item(const order_task *task) {
  return engine_sim_find_item(task->engine, task->model, task->adapter);
}

static void complete_load(engine_sim *engine, engine_sim_item *item) {
  if (engine->faults.fail_loads > 0) {
    engine->faults.fail_loads--;
    engine_sim_remove_item(item);
  } else {
    item->state = ENGINE_SIM_UP;
  }
  engine_sim_signal_report(engine);
}

static void load_run(void *context) {
  order_task *task = context;
  engine_sim *engine = task->engine;
  engine_sim_item *item = find_task_item(task);
  if (item) {
    time_us remaining = time_sub(item->ready_at, world_now(engine->world));
    world_sleep(engine->world, remaining.us > 0 ? remaining : time_from_ms(LOAD_MIN_MS));
    item = find_task_item(task);
    if (item && item->state == ENGINE_SIM_LOADING)
      complete_load(engine, item);
  }
  g_free(task);
}

/* waits for the item's runs to end, and for the duration of the unload itself */
static void sleep_for_unload(const order_task *task, const engine_sim_item *item) {
  world *world = task->engine->world;
  while (item && item->running && world_sleep(world, time_from_ms(UNLOAD_POLL_MS)))
    item = find_task_item(task);
  world_sleep(world, time_from_ms(UNLOAD_MS));
  if (task->engine->faults.order_delay_ms)
    world_sleep(world, time_from_ms(task->engine->faults.order_delay_ms));
}

static void unload_run(void *context) {
  order_task *task = context;
  engine_sim_item *item = find_task_item(task);
  if (item) {
    sleep_for_unload(task, item);
    item = find_task_item(task);
    if (item && item->state == ENGINE_SIM_UNLOADING) {
      engine_sim_remove_item(item);
      engine_sim_signal_report(task->engine);
    }
  }
  g_free(task);
}

static void start_task(engine_sim *engine, const engine_sim_order *order) {
  bool is_load = order->kind == ENGINE_SIM_LOAD;
  order_task *task = g_new(order_task, 1);
  *task = (order_task){ engine, order->model, order->adapter };
  task_start(&engine->world->tasks, is_load ? "load" : "unload", is_load ? load_run : unload_run,
             task);
}

static parsed_order parse_order(engine_sim *engine, http_request *request,
                                enum engine_sim_order_kind kind) {
  parsed_order parsed = { .order = { .kind = kind } };
  engine_sim_order *order = &parsed.order;
  json *body = json_parse(string_view_of_gstring(request->body), NULL);
  order->received_at = world_now(engine->world);
  order->model = id_of_text(json_text(body, "model", ""));
  order->adapter = id_of_text(json_text(body, "adapter", ""));
  order->holder = id_of_text(json_text(body, "holder", ""));
  order->epoch = (uint64_t)json_number(body, "epoch", 0);
  time_us freeze_end = time_add(engine->unfrozen_at, time_from_ms(AFTER_FREEZE_MS));
  order->after_freeze = engine->unfrozen_at.us && !time_reached(order->received_at, freeze_end);
  parsed.number = (uint64_t)json_number(body, "order", 0);
  parsed.weights_mb = (uint64_t)json_number(body, "weightsMb", 0);
  parsed.slots = (unsigned)json_number(body, "slots", 0);
  const char *boot = json_text(body, "boot", "");
  parsed.is_other_boot = boot[0] && strcmp(boot, engine->boot);
  parsed.is_valid = body && order->model.text[0];
  json_free(body);
  return parsed;
}

static void record_order(engine_sim *engine, const engine_sim_order *order) {
  char rest[300];
  g_array_append_val(engine->orders, *order);
  snprintf(rest, sizeof rest, "%c %s %s %s %" PRIu64 " %d %d", order->kind, order->model.text,
           order->adapter.text[0] ? order->adapter.text : "-", order->holder.text, order->epoch,
           order->accepted, order->over_capacity);
  engine_sim_write_record(engine, 'O', rest);
}

static bool is_stale(const engine_sim *engine, const parsed_order *parsed) {
  if (engine->faults.no_epochs)
    return false;
  uint64_t epoch = parsed->order.epoch;
  return parsed->is_other_boot || epoch < engine->epoch ||
         (epoch == engine->epoch && parsed->number <= engine->number);
}

/* whether an order gets no response; decrements the fault's counter if so */
static bool use_unanswered_fault(engine_sim *engine, enum engine_sim_order_kind kind) {
  engine_faults *faults = &engine->faults;
  int *remaining_uses =
      kind == ENGINE_SIM_LOAD ? &faults->unanswered_loads : &faults->unanswered_unloads;
  if (*remaining_uses <= 0)
    return false;
  (*remaining_uses)--;
  return true;
}

/* whether a new item exceeds the memory or the adapter slots, or is an adapter without its model */
static bool exceeds_capacity(engine_sim *engine, const parsed_order *parsed) {
  const engine_sim_order *order = &parsed->order;
  uint64_t used_mb = 0;
  unsigned used_slots = 0;
  list_for_each (item, &engine->items, engine_sim_item, link) {
    used_mb += item->weights_mb;
    used_slots += item->slots;
  }
  if (used_mb + parsed->weights_mb > engine->weights_mb)
    return true;
  if (used_slots + parsed->slots > engine->adapter_slots)
    return true;
  return order->adapter.text[0] && !engine_sim_find_item(engine, order->model, id_of_text(""));
}

static int64_t load_time_ms(const engine_faults *faults, uint64_t weights_mb) {
  double mb_per_s = faults->load_mb_per_s > 0 ? faults->load_mb_per_s : LOAD_MB_PER_S;
  double ms = LOAD_BASE_MS + (double)(weights_mb ? weights_mb : ADAPTER_MB) * 1000 / mb_per_s;
  return (int64_t)(ms * (faults->slowdown > 0 ? faults->slowdown : 1));
}

static void add_item(engine_sim *engine, const parsed_order *parsed) {
  const engine_sim_order *order = &parsed->order;
  engine_sim_item *item = g_new0(engine_sim_item, 1);
  int64_t load_ms = load_time_ms(&engine->faults, parsed->weights_mb);
  item->model = order->model;
  item->adapter = order->adapter;
  item->weights_mb = parsed->weights_mb;
  item->slots = parsed->slots;
  item->state = ENGINE_SIM_LOADING;
  item->ready_at = time_add(order->received_at, time_from_ms(load_ms));
  item->reported_at = time_add(order->received_at, time_from_ms(engine->faults.order_delay_ms));
  list_append(&engine->items, &item->link);
}

/* starts a load; returns the status */
static int start_load(engine_sim *engine, parsed_order *parsed) {
  engine_sim_order *order = &parsed->order;
  const engine_sim_item *item = engine_sim_find_item(engine, order->model, order->adapter);
  if (item)
    return item->state == ENGINE_SIM_UNLOADING ? 409 : 202;
  order->over_capacity = exceeds_capacity(engine, parsed);
  if (order->over_capacity) {
    engine->over_capacity_orders++;
    return 507;
  }
  add_item(engine, parsed);
  order->accepted = true;
  start_task(engine, order);
  return 202;
}

/* counts the adapters of a model to be unloaded: they become useless, but still occupy their slots
 */
static void count_orphaned_adapters(engine_sim *engine, id model) {
  list_for_each (item, &engine->items, engine_sim_item, link)
    engine->orphaned_adapters +=
        id_equal(item->model, model) && !id_is_empty(item->adapter) && item->state == ENGINE_SIM_UP;
}

/* starts an unload; returns the status */
static int start_unload(engine_sim *engine, parsed_order *parsed) {
  engine_sim_order *order = &parsed->order;
  engine_sim_item *item = engine_sim_find_item(engine, order->model, order->adapter);
  if (!item)
    return 404;
  if (engine->faults.fail_unloads > 0) {
    engine->faults.fail_unloads--;
    return 500;
  }
  if (item->state == ENGINE_SIM_UNLOADING)
    return 202;
  if (id_is_empty(order->adapter))
    count_orphaned_adapters(engine, order->model);
  item->state = ENGINE_SIM_UNLOADING;
  order->accepted = true;
  start_task(engine, order);
  return 202;
}

static void refuse_stale(engine_sim *engine, http_request *request, const parsed_order *parsed) {
  engine->stale_orders++;
  record_order(engine, &parsed->order);
  engine_sim_respond(request, 412,
                     parsed->is_other_boot ? "meant for an earlier run"
                                           : "a younger epoch or order is known");
}

static void execute_order(engine_sim *engine, http_request *request, parsed_order *parsed) {
  engine_sim_order *order = &parsed->order;
  if (order->epoch >= engine->epoch) {
    engine->epoch = order->epoch;
    engine->number = parsed->number;
  }
  bool is_unanswered = use_unanswered_fault(engine, order->kind);
  int status =
      order->kind == ENGINE_SIM_LOAD ? start_load(engine, parsed) : start_unload(engine, parsed);
  record_order(engine, order);
  engine_sim_signal_report(engine);
  if (is_unanswered) {
    world_sleep(engine->world, time_from_ms(UNANSWERED_ORDER_MS));
    http_request_end(request, false);
    return;
  }
  engine_sim_respond(request, status, status == 202 ? "taken" : "refused");
}

void engine_sim_serve_order(engine_sim *engine, http_request *request,
                            enum engine_sim_order_kind kind) {
  parsed_order parsed = parse_order(engine, request, kind);
  if (!parsed.is_valid) {
    engine_sim_respond(request, 400, "no order");
  } else if (engine->faults.drop_orders > 0) {
    engine->faults.drop_orders--;
    http_request_end(request, false);
  } else if (is_stale(engine, &parsed)) {
    refuse_stale(engine, request, &parsed);
  } else {
    execute_order(engine, request, &parsed);
  }
}
