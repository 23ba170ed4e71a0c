/** Orders to engines and reports of them, under the contract of their holder. */
#include "loader_internal.h"

/* orders and reports */
uint64_t engine_order_epoch(gateway_engine *engine) {
  char d[64];
  singleton_engine_name(d, sizeof d, engine->engine_id);
  return singleton_lease_epoch(engine->gateway->router, d);
}

static time_us lease_expires_at(gateway_engine *engine) {
  char d[64];
  singleton_engine_name(d, sizeof d, engine->engine_id);
  singleton_lease *singleton_lease = singleton_lease_find(engine->gateway->router, d);
  return singleton_lease ? singleton_lease->expires_at : (time_us){ 0 };
}

/* notes when an order may last have gone out under a contract, and whether one still may */
static void lease_note_order(gateway_engine *engine, int more) {
  char d[64];
  singleton_engine_name(d, sizeof d, engine->engine_id);
  singleton_lease *singleton_lease = singleton_lease_find(engine->gateway->router, d);
  if (!singleton_lease)
    return;
  singleton_lease->open_orders += more;
  singleton_lease->last_order_at = now_of(engine->gateway);
}

static fields *fields_for(gateway_engine *engine) {
  fields *fields = g_string_new(NULL);
  fields_add(fields, "Host", string_view_of(engine->addr));
  const char *expect = engine->gateway->settings.dialect->header_names[DF_EXPECT_ENGINE];
  if (expect)
    fields_add(fields, expect, string_view_of(engine->engine_id.text));
  return fields;
}

/* one exchange with an engine: the status, 0 when nothing was sent, -1 when nobody knows */
static int engine_exchange(gateway_engine *engine, enum dialect_call call_, const char *body,
                           GString *got, int64_t span, time_us by, error *err) {
  world *world = engine->gateway->router->node.world;
  const dialect_path *p = &engine->gateway->settings.dialect->calls[call_];
  fields *fields = fields_for(engine);
  if (body)
    fields_add(fields, "Content-Type", string_view_of("application/json"));
  time_us till = time_add(world_now(world), time_from_ms(span));
  http_call *call = http_call_open_fields(world, engine->addr, p->method, p->path, fields,
                                          string_view_of(body), false, by);
  int st = 0, r = http_call_wait(call, till);
  if (!r) {
    st = call->status;
    if (http_call_read_all(call, got, till))
      st = st == 200 && got->len ? -1 : st;
  } else {
    st = r == E_STOPPING ? -1 : call->sent ? -1 : 0;
    error_set(err, r, "%s did not answer", engine->engine_id.text);
  }
  http_call_close(call);
  g_string_free(fields, TRUE);
  return st;
}

static json *parse_engine_json(gateway *gateway, const GString *text) {
  error err = { 0 };
  json *json = json_parse(string_view_of_gstring(text), &err);
  if (json)
    dialect_translate_in(gateway->settings.dialect, json);
  return json;
}

/* takes an idle report into the account of the engine's room */
static void capacity_update_from_report(gateway_engine *engine, uint64_t count,
                                        Wire__ResidentModel **models, size_t n, time_us asked) {
  capacity_account *r = &engine->capacity;
  if (!capacity_covered_by_report(r, asked, time_from_ms(ENGINE_REPORT_LAG_MS))) {
    /* the engine has taken an order that this holder knows nothing of */
    if (r->is_known && count > r->order_count)
      capacity_forget(r, now_of(engine->gateway));
    return;
  }
  if (r->is_known && count != r->order_count)
    log_debug(&engine->gateway->router->node.log, "place",
              "%s has taken %" PRIu64 " orders; %" PRIu64 " were known.", engine->engine_id.text,
              count, r->order_count);
  capacity_begin(r, count);
  for (size_t k = 0; k < n; k++) {
    if (!id_is_valid(string_view_of(models[k]->model)))
      continue;
    id model = id_of_text(models[k]->model);
    capacity_add(r, model, none);
    for (size_t a = 0; a < models[k]->n_adapters; a++)
      if (id_is_valid(string_view_of(models[k]->adapters[a])))
        capacity_add(r, model, id_of_text(models[k]->adapters[a]));
  }
}

/* reads what an engine itself says that it holds; false when it says nothing */
bool engine_order_fetch_report(gateway_engine *engine, bool *busy, int *running, error *err) {
  gateway *gateway = engine->gateway;
  GString *got = g_string_new(NULL);
  time_us from = now_of(gateway);
  gateway->counts.reports++;
  int st = engine_exchange(engine, DC_REPORT, NULL, got, REPORT_TIMEOUT_MS, time_never(), err);
  json *value = st == 200 ? parse_engine_json(gateway, got) : NULL;
  g_string_free(got, TRUE);
  if (st == 421)
    gateway_engine_remove(engine, "its address answers for another");
  if (!value || engine->gone) {
    json_free(value);
    return false;
  }
  engine->identity_confirmed_at = now_of(gateway);
  const json *m = json_get(value, "models");
  size_t n = m ? json_count(m) : 0;
  Wire__ResidentModel *r = g_new(Wire__ResidentModel, n + 1),
                      **rp = g_new(Wire__ResidentModel *, n + 1);
  for (size_t k = 0; k < n; k++) {
    const json *o = json_at(m, k), *a = json_get(o, "adapters");
    wire__resident_model__init(&r[k]);
    r[k].model = (char *)json_text(o, "name", "");
    r[k].weights_version = (uint64_t)MAX(0, json_number(o, "version", 0));
    r[k].n_adapters = a ? json_count(a) : 0;
    r[k].adapters = g_new(char *, r[k].n_adapters + 1);
    for (size_t t = 0; t < r[k].n_adapters; t++) {
      const json *name = json_at(a, t);
      r[k].adapters[t] = name->kind == JSON_STRING ? name->text->str : (char *)"";
    }
    rp[k] = &r[k];
  }
  *busy = json_bool(value, "busy", false);
  *running = (int)json_number(value, "running", 0) + (int)json_number(value, "waiting", 0);
  gateway_engine_update_residents(engine, rp, n, from, ENGINE_REPORT_LAG_MS);
  engine->reported_at = from;
  uint64_t count = (uint64_t)MAX(0, json_number(value, "count", 0));
  if (!*busy)
    capacity_update_from_report(engine, count, rp, n, from);
  for (size_t k = 0; k < n; k++)
    g_free(r[k].adapters);
  g_free(r);
  g_free(rp);
  json_free(value);
  return true;
}

static GString *order_body(gateway_engine *engine, bool up, id model, id adapter, uint64_t epoch,
                           int64_t expect) {
  gateway *gateway = engine->gateway;
  GString *t = g_string_new(NULL);
  json_appendf(t, "{\"op\":\"%s\",\"model\":", up ? "load" : "unload");
  json_append_quoted(t, string_view_of(model.text));
  if (!id_is_empty(adapter)) {
    g_string_append(t, ",\"adapter\":");
    json_append_quoted(t, string_view_of(adapter.text));
  }
  g_string_append(t, ",\"holder\":");
  json_append_quoted(t, string_view_of(gateway->router->node.settings.self.text));
  if (expect != ORDER_COUNT_ANY)
    json_appendf(t, ",\"expect\":%" PRId64, expect);
  json_appendf(t, ",\"fence\":%" PRIu64 "}", epoch);
  error err = { 0 };
  json *json = json_parse(string_view_of_gstring(t), &err);
  dialect_translate_out(gateway->settings.dialect, json);
  g_string_truncate(t, 0);
  json_write(json, t);
  json_free(json);
  return t;
}

/* sends one order, only while the contract holds: 202 taken, 200 so already; 0 not sent, -1
 * unknown, -2 no contract. With an expected number of orders the engine refuses it (409) when it
 * has taken any other meanwhile */
int engine_order_send(gateway_engine *engine, bool up, id model, id adapter, int64_t expect,
                      time_us by, error *err) {
  gateway *gateway = engine->gateway;
  uint64_t epoch = engine_order_epoch(engine);
  if (!epoch) {
    error_set(err, E_NO_LEASE_HOLDER, "no contract for %s", engine->engine_id.text);
    return -2;
  }
  if (engine->gone) {
    error_set(err, E_NO_ENGINE, "%s is gone", engine->engine_id.text);
    return -2;
  }
  /* an address is not used again at once: one that gave a sign of life lately is still the same; of
   * another an order is never sent */
  time_us seen = engine->heartbeat_at.us > engine->last_byte_at.us ? engine->heartbeat_at
                                                                   : engine->last_byte_at;
  if (engine->identity_confirmed_at.us > seen.us)
    seen = engine->identity_confirmed_at;
  if (gateway_ms_since(gateway, seen) > IDENTITY_CONFIRMED_MS) {
    bool busy;
    int running;
    if (!engine_order_fetch_report(engine, &busy, &running, err))
      return 0;
    if (engine->gone || !(epoch = engine_order_epoch(engine)))
      return error_set(err, E_NO_LEASE_HOLDER, "no contract for %s", engine->engine_id.text), -2;
  }
  time_us till = lease_expires_at(engine);
  GString *t = order_body(engine, up, model, adapter, epoch, expect), *got = g_string_new(NULL);
  gateway->counts.orders++;
  event_history_append(
      &gateway->router->history,
      (history_event){ EVENT_ORDERED, { 0 }, engine->engine_id, model, adapter, up });
  lease_note_order(engine, 1);
  int st = engine_exchange(engine, DC_ENGINE_ORDER, t->str, got, ORDER_TIMEOUT_MS,
                           till.us < by.us ? till : by, err);
  lease_note_order(engine, -1);
  log_debug(&gateway->router->node.log, "order",
            "%s %s%s%s at %s: fence %" PRIu64 ", %" PRId64 " orders expected, %" PRIu64
            " known, status %d.",
            up ? "Load" : "Unload", model.text, adapter.text[0] ? "+" : "", adapter.text,
            engine->engine_id.text, epoch, expect, engine->capacity.order_count, st);
  if (st == 202)
    capacity_order_accepted(&engine->capacity, up, model, adapter, now_of(gateway));
  if (st == -1)
    capacity_forget(&engine->capacity, now_of(gateway));
  if (st > 0 && st != 200 && st != 202)
    error_set(err, E_ORDER_FAILED, "%s answered %d to %s %s%s%s: %.80s", engine->engine_id.text, st,
              up ? "load" : "unload", model.text, adapter.text[0] ? "+" : "", adapter.text,
              got->str);
  g_string_free(t, TRUE);
  g_string_free(got, TRUE);
  if (st > 0 && st != 421)
    engine->identity_confirmed_at = now_of(gateway);
  if (st == 412) {
    error_set(err, E_STALE_EPOCH, "%s has seen a higher fence", engine->engine_id.text);
    return -2;
  }
  return st;
}

bool engine_order_stopping(gateway_engine *engine) {
  return engine->gone || engine->gateway->router->node.world->tasks.stopped;
}

int engine_order_sleep(gateway_engine *engine, double ms, error *err) {
  if (!world_sleep(engine->gateway->router->node.world,
                   (time_us){ (int64_t)(MAX(ms, 1) * 1000) }) ||
      engine_order_stopping(engine))
    return error_set(err, engine->gone ? E_NO_ENGINE : E_STOPPING, "%s is gone",
                     engine->engine_id.text);
  return OK;
}

/* the time in ms that a kind of step took, learnt under a name of the service's own */
static double step_expected_ms(gateway_engine *engine, const char *name, double fall) {
  return event_history_load_ms(&engine->gateway->router->history, engine->service, name, fall);
}

static void step_record_ms(gateway_engine *engine, const char *name, double ms) {
  event_history_record_load_ms(&engine->gateway->router->history, engine->service, name, ms);
}

/* tells all nodes that a thing is on its way out, so that they send no more work for it */
static void announce_unload(gateway_engine *engine, id model, id adapter) {
  gateway_engine_mark_unloading(engine, model, adapter);
  gateway_engine_broadcast(engine);
}

static void retract_unload(gateway_engine *engine, id model, id adapter) {
  gateway_engine_mark_loaded(engine, model, adapter);
  gateway_engine_broadcast(engine);
}

/* orders one thing unloaded and waits until the engine confirms it */
static int unload_until_gone(gateway_engine *engine, id model, id adapter, error *err) {
  gateway *gateway = engine->gateway;
  bool busy = false, took = false;
  int running = 0, probes = 0, r;
  time_us from = now_of(gateway), began = from, announced = from;
  for (;;) {
    if (gateway_ms_since(gateway, announced) > ANNOUNCE_REPEAT_MS) {
      announce_unload(engine, model, adapter);
      announced = now_of(gateway);
    }
    int st = engine_order_send(engine, false, model, adapter, ORDER_COUNT_ANY, time_never(), err);
    if (st == -2)
      return err->code;
    if (st == 200 || st == 404 || st == 400 || st == 421) {
      if (st != 200 && !took) { /* it may not be there at all: its report says */
        if ((r = engine_order_sleep(engine, ENGINE_REPORT_LAG_MS, err)))
          return r;
        if (!engine_order_fetch_report(engine, &busy, &running, err))
          return error_set(err, E_NO_ENGINE, "%s says nothing of itself", engine->engine_id.text);
        if (busy || !engine->capacity.is_known ||
            capacity_contains(&engine->capacity, model, adapter))
          return error_set(err, E_ORDER_FAILED, "%s does not unload %s", engine->engine_id.text,
                           model.text);
      }
      break;
    }
    /* 202 again means that it is still under way: its runs have yet to end */
    if (st == 202) {
      if (took)
        from = now_of(gateway);
      else
        began = now_of(gateway);
      took = true;
    }
    double ms = gateway_ms_since(gateway, from);
    if (ms > UNLOAD_TIMEOUT_MS)
      return error_set(err, E_ORDER_FAILED, "%s still holds %s", engine->engine_id.text,
                       model.text);
    if (st != 202 && st != 409) {
      if ((r = engine_order_sleep(engine, 150, err)))
        return r;
      continue;
    }
    /* the first looks come when it should be done; a busy one is watched by its reports, which cost
     * less */
    double guess = step_expected_ms(engine, "@unload", 25);
    if (!probes++) {
      if ((r = engine_order_sleep(engine, CLAMP(guess, 5, 400), err)))
        return r;
      continue;
    }
    if (probes < 4) {
      if ((r = engine_order_sleep(engine, 30 * probes, err)))
        return r;
      continue;
    }
    if ((r = engine_order_sleep(engine, 200, err)))
      return r;
    while (engine_order_fetch_report(engine, &busy, &running, err) && busy &&
           gateway_ms_since(gateway, from) < UNLOAD_TIMEOUT_MS)
      if ((r = engine_order_sleep(engine, 150, err)))
        return r;
  }
  if (took && probes <= 3)
    step_record_ms(engine, "@unload", gateway_ms_since(gateway, began));
  gateway->counts.unloads++;
  gateway->router->loading.unload_count++;
  event_history_append(
      &gateway->router->history,
      (history_event){ EVENT_UNLOADED, { 0 }, engine->engine_id, model, adapter, 0 });
  capacity_remove(&engine->capacity, model, adapter);
  gateway_engine_mark_unloaded(engine, model, adapter);
  return OK;
}

/* Unloads one thing; where that can't be confirmed, the account of the room is read anew. Nodes
 * that run something of it answer the announcement. When it was thought idle, E_MODEL_IN_USE says
 * that it is not and stays. */
int engine_order_unload(gateway_engine *engine, id model, id adapter, bool thought_idle,
                        error *err) {
  announce_unload(engine, model, adapter);
  bool waits = gateway_feature_enabled(engine->gateway, FEATURE_ANNOUNCE_UNLOAD);
  int r = waits ? engine_order_sleep(engine, ANNOUNCE_MS, err) : OK;
  if (r)
    return r;
  if (thought_idle && gateway_engine_is_running(engine, model, adapter)) {
    retract_unload(engine, model, adapter);
    return error_set(err, E_MODEL_IN_USE, "%s%s%s runs on %s", model.text,
                     adapter.text[0] ? "+" : "", adapter.text, engine->engine_id.text);
  }
  r = unload_until_gone(engine, model, adapter, err);
  if (r)
    capacity_forget(&engine->capacity, now_of(engine->gateway));
  return r;
}
