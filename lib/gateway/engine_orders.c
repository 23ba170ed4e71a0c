/** Orders to engines and reports of engines; see engine_orders.h for the fencing.
 *
 * An unload is announced to all gateways some time before it is ordered, so that they send no more
 * requests for the model. A gateway that still runs requests for it objects by sending its traffic
 * report. */
#include "engine_orders.h"
#include "gateway.h"

enum {
  ORDER_TIMEOUT_MS = 1500,
  REPORT_TIMEOUT_MS = 800,
  /* an unload has to wait until the running requests have finished */
  UNLOAD_TIMEOUT_MS = 12000,
  /* from the announcement of an unload to its order: the other gateways receive it, and requests
     that they have already sent reach the engine */
  ANNOUNCE_MS = 40,
  ANNOUNCE_REPEAT_MS = 1000,
  /* an unload is polled by repeating the order: first after its expected time, then at growing
     intervals, then after reports say that the engine is no longer busy, since reports cost the
     engine less */
  UNLOAD_DEFAULT_MS = 25,
  UNLOAD_POLL_MIN_MS = 5,
  UNLOAD_POLL_MAX_MS = 400,
  UNLOAD_POLL_STEP_MS = 30,
  MAX_UNLOAD_POLLS = 3,
  UNLOAD_REPORT_MS = 200,
  BUSY_SLEEP_MS = 150,
  NOT_SENT_SLEEP_MS = 150,
  MIN_SLEEP_MS = 1
};

uint64_t engine_order_epoch(gateway_engine *engine) {
  char name[64];
  singleton_engine_name(name, sizeof name, engine->engine_id);
  return singleton_lease_epoch(engine->gateway->router, name);
}

static singleton_lease *lease_of(gateway_engine *engine) {
  char name[64];
  singleton_engine_name(name, sizeof name, engine->engine_id);
  return singleton_lease_find(engine->gateway->router, name);
}

/* counts orders in progress: 1 when one starts, -1 when it ends; the lease is not handed over while
 * there are any */
static void lease_count_order(gateway_engine *engine, int change) {
  singleton_lease *lease = lease_of(engine);
  if (!lease)
    return;
  lease->unanswered_orders += change;
  lease->last_order_at = gateway_now(engine->gateway);
}

static fields *request_fields_new(const gateway_engine *engine) {
  fields *fields = g_string_new(NULL);
  const char *expect_engine = engine->gateway->settings.dialect->header_names[DF_EXPECT_ENGINE];
  fields_add(fields, "Host", string_view_of(engine->address));
  if (expect_engine)
    fields_add(fields, expect_engine, string_view_of(engine->engine_id.text));
  return fields;
}

/* Makes one HTTP call to an engine, sent before the time send_by, and returns its status or enum
 * engine_order_status. body may be NULL. */
static int engine_exchange(gateway_engine *engine, enum dialect_call call_name, const char *body,
                           GString *response, int64_t timeout_ms, time_us send_by, error *err) {
  world *world = engine->gateway->router->node.world;
  const dialect_path *path = &engine->gateway->settings.dialect->calls[call_name];
  fields *fields = request_fields_new(engine);
  if (body)
    fields_add(fields, "Content-Type", string_view_of("application/json"));
  time_us until = time_add(world_now(world), time_from_ms(timeout_ms));
  http_call *call = http_call_open_pooled(world, engine->address, path->method, path->path, fields,
                                          string_view_of(body), false, send_by);
  int status;
  enum error_code code = http_call_wait(call, until);
  if (code) {
    status = code == E_STOPPING || call->sent ? ENGINE_ORDER_UNKNOWN : ENGINE_ORDER_NOT_SENT;
    error_set(err, code, "%s did not answer", engine->engine_id.text);
  } else {
    status = call->status;
    bool truncated = http_call_read_all(call, response, until);
    if (truncated && status == 200 && response->len)
      status = ENGINE_ORDER_UNKNOWN;
  }
  http_call_close(call);
  g_string_free(fields, TRUE);
  return status;
}

static json *parse_engine_json(const gateway *gateway, const GString *text) {
  error err = { 0 };
  json *json = json_parse(string_view_of_gstring(text), &err);
  if (json)
    dialect_translate_in(gateway->settings.dialect, json);
  return json;
}

/** Residents listed in a report; the texts belong to its JSON. */
typedef struct reported_residents {
  Wire__ResidentModel *models, **list;
  size_t count;
} reported_residents;

static void read_adapters(const json *adapters, Wire__ResidentModel *model) {
  model->n_adapters = adapters ? json_count(adapters) : 0;
  model->adapters = g_new(char *, model->n_adapters + 1);
  for (size_t i = 0; i < model->n_adapters; i++) {
    const json *name = json_at(adapters, i);
    model->adapters[i] = name->kind == JSON_STRING ? name->text->str : (char *)"";
  }
}

static reported_residents read_residents(const json *report) {
  const json *models = json_get(report, "models");
  reported_residents residents = { .count = models ? json_count(models) : 0 };
  residents.models = g_new(Wire__ResidentModel, residents.count + 1);
  residents.list = g_new(Wire__ResidentModel *, residents.count + 1);
  for (size_t i = 0; i < residents.count; i++) {
    const json *value = json_at(models, i);
    Wire__ResidentModel *model = residents.list[i] = &residents.models[i];
    wire__resident_model__init(model);
    model->model = (char *)json_text(value, "name", "");
    model->weights_version = (uint64_t)MAX(0, json_number(value, "version", 0));
    read_adapters(json_get(value, "adapters"), model);
  }
  return residents;
}

static void reported_residents_free(reported_residents *residents) {
  for (size_t i = 0; i < residents->count; i++)
    g_free(residents->models[i].adapters);
  g_free(residents->models);
  g_free(residents->list);
}

static void add_to_account(capacity_account *account, const reported_residents *residents) {
  for (size_t i = 0; i < residents->count; i++) {
    const Wire__ResidentModel *reported = &residents->models[i];
    if (!id_is_valid(string_view_of(reported->model)))
      continue;
    id model = id_of_text(reported->model);
    capacity_account_add(account, model, id_none);
    for (size_t a = 0; a < reported->n_adapters; a++)
      if (id_is_valid(string_view_of(reported->adapters[a])))
        capacity_account_add(account, model, id_of_text(reported->adapters[a]));
  }
}

/* rebuilds the capacity account from an idle report; requested_at: when it was requested */
static void update_account(gateway_engine *engine, uint64_t order_count,
                           const reported_residents *residents, time_us requested_at) {
  capacity_account *account = &engine->capacity;
  if (!capacity_account_covered_by_report(account, requested_at,
                                          time_from_ms(ENGINE_REPORT_LAG_MS))) {
    /* the engine has accepted an order that this holder doesn't know of */
    if (account->is_known && order_count > account->order_count)
      capacity_account_discard(account, gateway_engine_now(engine));
    return;
  }
  if (account->is_known && order_count != account->order_count)
    log_debug(&engine->gateway->router->node.log, "place",
              "Engine %s has accepted %" PRIu64 " orders; %" PRIu64 " were known.",
              engine->engine_id.text, order_count, account->order_count);
  capacity_account_reset(account, order_count);
  add_to_account(account, residents);
}

bool engine_order_fetch_report(gateway_engine *engine, bool *busy, int *running, error *err) {
  gateway *gateway = engine->gateway;
  GString *response = g_string_new(NULL);
  time_us requested_at = gateway_now(gateway);
  gateway->counts.reports++;
  int status =
      engine_exchange(engine, DC_REPORT, NULL, response, REPORT_TIMEOUT_MS, time_never(), err);
  json *report = status == 200 ? parse_engine_json(gateway, response) : NULL;
  g_string_free(response, TRUE);
  if (status == 421)
    gateway_engine_remove(engine, "another engine answers at its address");
  if (!report || engine->gone) {
    json_free(report);
    return false;
  }
  reported_residents residents = read_residents(report);
  engine->orders.identity_confirmed_at = gateway_now(gateway);
  engine->orders.reported_at = requested_at;
  *busy = json_bool(report, "busy", false);
  *running = (int)json_number(report, "running", 0) + (int)json_number(report, "waiting", 0);
  gateway_engine_update_residents(engine, residents.list, residents.count, requested_at,
                                  ENGINE_REPORT_LAG_MS);
  if (!*busy)
    update_account(engine, (uint64_t)MAX(0, json_number(report, "count", 0)), &residents,
                   requested_at);
  reported_residents_free(&residents);
  json_free(report);
  return true;
}

/* the body of an order, translated to the platform's field names; the caller frees it */
static GString *order_body(const gateway_engine *engine, bool load, id model, id adapter,
                           uint64_t epoch, int64_t expected_orders) {
  const gateway *gateway = engine->gateway;
  GString *body = g_string_new(NULL);
  json_appendf(body, "{\"op\":\"%s\",\"model\":", load ? "load" : "unload");
  json_append_quoted(body, string_view_of(model.text));
  if (!id_is_empty(adapter)) {
    g_string_append(body, ",\"adapter\":");
    json_append_quoted(body, string_view_of(adapter.text));
  }
  g_string_append(body, ",\"holder\":");
  json_append_quoted(body, string_view_of(gateway->router->node.settings.self.text));
  if (expected_orders != ENGINE_ORDER_COUNT_ANY)
    json_appendf(body, ",\"expect\":%" PRId64, expected_orders);
  json_appendf(body, ",\"fence\":%" PRIu64 "}", epoch);
  error err = { 0 };
  json *json = json_parse(string_view_of_gstring(body), &err);
  dialect_translate_out(gateway->settings.dialect, json);
  g_string_truncate(body, 0);
  json_write(json, body);
  json_free(json);
  return body;
}

/* True when the engine has shown a recent sign of life and therefore still owns its address, since
 * addresses are not reused at once. Otherwise a report has to confirm it first: an order must never
 * reach another engine. */
static bool identity_is_recent(const gateway_engine *engine) {
  time_us seen_at = engine->heartbeat_at;
  if (engine->health.last_byte_at.us > seen_at.us)
    seen_at = engine->health.last_byte_at;
  if (engine->orders.identity_confirmed_at.us > seen_at.us)
    seen_at = engine->orders.identity_confirmed_at;
  return gateway_ms_since(engine->gateway, seen_at) <= ENGINE_IDENTITY_MAX_AGE_MS;
}

/* updates the capacity account and the identity confirmation from an order's result */
static void record_result(gateway_engine *engine, bool load, id model, id adapter, int status) {
  time_us now = gateway_engine_now(engine);
  if (status == 202)
    capacity_account_order_accepted(&engine->capacity, load, model, adapter, now);
  if (status == ENGINE_ORDER_UNKNOWN)
    capacity_account_discard(&engine->capacity, now);
  if (status > 0 && status != 421)
    engine->orders.identity_confirmed_at = now;
}

/* sends an order with an epoch as its fencing token; returns the status of engine_exchange */
static int send_under_epoch(gateway_engine *engine, bool load, id model, id adapter, uint64_t epoch,
                            int64_t expected_orders, time_us send_by, error *err) {
  gateway *gateway = engine->gateway;
  const singleton_lease *lease = lease_of(engine);
  time_us lease_expires_at = lease ? lease->expires_at : (time_us){ 0 };
  GString *body = order_body(engine, load, model, adapter, epoch, expected_orders);
  GString *response = g_string_new(NULL);
  const char *separator = adapter.text[0] ? "+" : "";
  gateway->counts.orders++;
  history_event event = { EVENT_ORDERED, { 0 }, engine->engine_id, model, adapter, load };
  event_history_append(&gateway->router->history, event);
  lease_count_order(engine, 1);
  int status = engine_exchange(engine, DC_ENGINE_ORDER, body->str, response, ORDER_TIMEOUT_MS,
                               lease_expires_at.us < send_by.us ? lease_expires_at : send_by, err);
  lease_count_order(engine, -1);
  log_debug(&gateway->router->node.log, "order",
            "Order to %s %s%s%s on engine %s: fencing token %" PRIu64 ", %" PRId64
            " orders expected, %" PRIu64 " known, status %d.",
            load ? "load" : "unload", model.text, separator, adapter.text, engine->engine_id.text,
            epoch, expected_orders, engine->capacity.order_count, status);
  if (status > 0 && status != 200 && status != 202)
    error_set(err, E_ORDER_FAILED, "%s answered %d to %s %s%s%s: %.80s", engine->engine_id.text,
              status, load ? "load" : "unload", model.text, separator, adapter.text, response->str);
  g_string_free(body, TRUE);
  g_string_free(response, TRUE);
  return status;
}

int engine_order_send(gateway_engine *engine, bool load, id model, id adapter,
                      int64_t expected_orders, time_us send_by, error *err) {
  const char *name = engine->engine_id.text;
  uint64_t epoch = engine_order_epoch(engine);
  if (!epoch) {
    error_set(err, E_NO_LEASE_HOLDER, "no lease on %s", name);
    return ENGINE_ORDER_NOT_ALLOWED;
  }
  if (engine->gone) {
    error_set(err, E_NO_ENGINE, "%s is gone", name);
    return ENGINE_ORDER_NOT_ALLOWED;
  }
  if (!identity_is_recent(engine)) {
    bool busy;
    int running;
    if (!engine_order_fetch_report(engine, &busy, &running, err))
      return ENGINE_ORDER_NOT_SENT;
    if (engine->gone || !(epoch = engine_order_epoch(engine))) {
      error_set(err, E_NO_LEASE_HOLDER, "no lease on %s", name);
      return ENGINE_ORDER_NOT_ALLOWED;
    }
  }
  int status = send_under_epoch(engine, load, model, adapter, epoch, expected_orders, send_by, err);
  record_result(engine, load, model, adapter, status);
  if (status != 412)
    return status;
  error_set(err, E_STALE_EPOCH, "%s has seen a higher fencing token", name);
  return ENGINE_ORDER_NOT_ALLOWED;
}

bool engine_order_stopping(gateway_engine *engine) {
  return engine->gone || engine->gateway->router->node.world->tasks.stopped;
}

enum error_code engine_order_sleep(gateway_engine *engine, double ms, error *err) {
  time_us span = { (int64_t)(MAX(ms, MIN_SLEEP_MS) * 1000) };
  if (world_sleep(engine->gateway->router->node.world, span) && !engine_order_stopping(engine))
    return OK;
  return error_set(err, engine->gone ? E_NO_ENGINE : E_STOPPING, "%s is gone",
                   engine->engine_id.text);
}

/* tells all gateways that a model or adapter is about to be unloaded, so that they send no more
 * requests for it */
static void announce_unload(gateway_engine *engine, id model, id adapter) {
  gateway_engine_mark_unloading(engine, model, adapter);
  gateway_engine_broadcast(engine);
}

static void retract_unload(gateway_engine *engine, id model, id adapter) {
  gateway_engine_mark_loaded(engine, model, adapter);
  gateway_engine_broadcast(engine);
}

/** State of one unload. */
typedef struct unload {
  gateway_engine *engine;
  id model, adapter;
  /** When it was last announced; when the engine first accepted the order; when it last confirmed
   * that the unload is in progress. */
  time_us announced_at, accepted_at, last_accepted_at;
  bool accepted;
  int polls;
  error *err;
} unload;

/* The engine says that there is nothing to unload. Since it has not accepted an order for it, its
 * report has to confirm that. */
static enum error_code confirm_not_resident(unload *unload) {
  gateway_engine *engine = unload->engine;
  bool busy;
  int running;
  enum error_code code = engine_order_sleep(engine, ENGINE_REPORT_LAG_MS, unload->err);
  if (code)
    return code;
  if (!engine_order_fetch_report(engine, &busy, &running, unload->err))
    return error_set(unload->err, E_NO_ENGINE, "%s does not report", engine->engine_id.text);
  if (busy || !engine->capacity.is_known ||
      capacity_account_contains(&engine->capacity, unload->model, unload->adapter))
    return error_set(unload->err, E_ORDER_FAILED, "%s does not unload %s", engine->engine_id.text,
                     unload->model.text);
  return OK;
}

static bool timed_out(const unload *unload) {
  return gateway_ms_since(unload->engine->gateway, unload->last_accepted_at) > UNLOAD_TIMEOUT_MS;
}

/* waits until the order may be repeated; its status says whether the unload is done */
static enum error_code wait_for_next_poll(unload *unload) {
  gateway_engine *engine = unload->engine;
  double expected_ms = event_history_load_ms(&engine->gateway->router->history, engine->service,
                                             "@unload", UNLOAD_DEFAULT_MS);
  int poll = unload->polls++;
  if (poll == 0)
    return engine_order_sleep(engine, CLAMP(expected_ms, UNLOAD_POLL_MIN_MS, UNLOAD_POLL_MAX_MS),
                              unload->err);
  if (poll < MAX_UNLOAD_POLLS)
    return engine_order_sleep(engine, UNLOAD_POLL_STEP_MS * unload->polls, unload->err);
  int running;
  enum error_code code = engine_order_sleep(engine, UNLOAD_REPORT_MS, unload->err);
  bool busy;
  while (!code && engine_order_fetch_report(engine, &busy, &running, unload->err) && busy &&
         gateway_ms_since(engine->gateway, unload->last_accepted_at) < UNLOAD_TIMEOUT_MS)
    code = engine_order_sleep(engine, BUSY_SLEEP_MS, unload->err);
  return code;
}

static void record_accepted(unload *unload) {
  time_us now = gateway_engine_now(unload->engine);
  /* a repeated 202 means that the unload is in progress and waits for running requests */
  if (unload->accepted)
    unload->last_accepted_at = now;
  else
    unload->accepted_at = now;
  unload->accepted = true;
}

/* repeats the unload order until the engine confirms that it is done */
static enum error_code order_until_unloaded(unload *unload) {
  gateway_engine *engine = unload->engine;
  for (;;) {
    if (gateway_ms_since(engine->gateway, unload->announced_at) > ANNOUNCE_REPEAT_MS) {
      announce_unload(engine, unload->model, unload->adapter);
      unload->announced_at = gateway_engine_now(engine);
    }
    int status = engine_order_send(engine, false, unload->model, unload->adapter,
                                   ENGINE_ORDER_COUNT_ANY, time_never(), unload->err);
    if (status == ENGINE_ORDER_NOT_ALLOWED)
      return unload->err->code;
    if (status == 200)
      return OK;
    if (status == 404 || status == 400 || status == 421)
      return unload->accepted ? OK : confirm_not_resident(unload);
    if (status == 202)
      record_accepted(unload);
    if (timed_out(unload))
      return error_set(unload->err, E_ORDER_FAILED, "%s has not unloaded %s in time",
                       engine->engine_id.text, unload->model.text);
    bool under_way = status == 202 || status == 409;
    enum error_code code = under_way ? wait_for_next_poll(unload)
                                     : engine_order_sleep(engine, NOT_SENT_SLEEP_MS, unload->err);
    if (code)
      return code;
  }
}

static void record_unloaded(const unload *unload) {
  gateway_engine *engine = unload->engine;
  router *router = engine->gateway->router;
  if (unload->accepted && unload->polls <= MAX_UNLOAD_POLLS)
    event_history_record_load_ms(&router->history, engine->service, "@unload",
                                 gateway_ms_since(engine->gateway, unload->accepted_at));
  engine->gateway->counts.unloads++;
  router->loading.unload_count++;
  history_event event = { EVENT_UNLOADED, { 0 },           engine->engine_id,
                          unload->model,  unload->adapter, 0 };
  event_history_append(&router->history, event);
  capacity_account_remove(&engine->capacity, unload->model, unload->adapter);
  gateway_engine_mark_unloaded(engine, unload->model, unload->adapter);
}

static enum error_code unload_announced(gateway_engine *engine, id model, id adapter, error *err) {
  time_us now = gateway_engine_now(engine);
  unload unload = { .engine = engine,
                    .model = model,
                    .adapter = adapter,
                    .announced_at = now,
                    .accepted_at = now,
                    .last_accepted_at = now,
                    .err = err };
  enum error_code code = order_until_unloaded(&unload);
  if (code)
    capacity_account_discard(&engine->capacity, gateway_engine_now(engine));
  else
    record_unloaded(&unload);
  return code;
}

enum error_code engine_order_unload(gateway_engine *engine, id model, id adapter,
                                    bool expected_idle, error *err) {
  announce_unload(engine, model, adapter);
  enum error_code code = OK;
  if (gateway_feature_enabled(engine->gateway, FEATURE_ANNOUNCE_UNLOAD))
    code = engine_order_sleep(engine, ANNOUNCE_MS, err);
  if (code)
    return code;
  if (expected_idle && gateway_engine_is_running(engine, model, adapter)) {
    retract_unload(engine, model, adapter);
    return error_set(err, E_MODEL_IN_USE, "%s%s%s runs on %s", model.text,
                     adapter.text[0] ? "+" : "", adapter.text, engine->engine_id.text);
  }
  return unload_announced(engine, model, adapter, err);
}
