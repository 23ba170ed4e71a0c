/** Orders to engines and reports of them, under the contract of their holder. */
#include "loader_internal.h"

/* orders and reports */
uint64_t order_epoch(instance *instance) {
  char d[64];
  singleton_engine_name(d, sizeof d, instance->self);
  return singleton_lease_epoch(instance->gateway->router, d);
}

static time_us contract_till(instance *instance) {
  char d[64];
  singleton_engine_name(d, sizeof d, instance->self);
  singleton_lease *singleton_lease =
      g_hash_table_lookup(instance->gateway->router->singleton_leases, d);
  return singleton_lease ? singleton_lease->expires_at : (time_us){ 0 };
}

/* notes when an order may last have gone out under a contract, and whether one still may */
static void contract_open(instance *instance, int more) {
  char d[64];
  singleton_engine_name(d, sizeof d, instance->self);
  singleton_lease *singleton_lease =
      g_hash_table_lookup(instance->gateway->router->singleton_leases, d);
  if (!singleton_lease)
    return;
  singleton_lease->open_orders += more;
  singleton_lease->last_order_at = now_of(instance->gateway);
}

static fields *fields_for(instance *instance) {
  fields *fields = g_string_new(NULL);
  fields_add(fields, "Host", string_view_of(instance->addr));
  const char *expect = instance->gateway->settings.dialect->header_names[DF_EXPECT_ENGINE];
  if (expect)
    fields_add(fields, expect, string_view_of(instance->self.text));
  return fields;
}

/* one exchange with an engine: the status, 0 when nothing was sent, -1 when nobody knows */
static int exchange(instance *instance, enum dialect_call call_, const char *body, GString *got,
                    int64_t span, time_us by, error *err) {
  world *world = instance->gateway->router->node.world;
  const dialect_path *p = &instance->gateway->settings.dialect->calls[call_];
  fields *fields = fields_for(instance);
  if (body)
    fields_add(fields, "Content-Type", string_view_of("application/json"));
  time_us till = time_add(world_now(world), time_from_ms(span));
  http_call *call = http_call_open_fields(world, instance->addr, p->method, p->path, fields,
                                          string_view_of(body), false, by);
  int st = 0, r = http_call_wait(call, till);
  if (!r) {
    st = call->status;
    if (http_call_read_all(call, got, till))
      st = st == 200 && got->len ? -1 : st;
  } else {
    st = r == E_STOPPING ? -1 : call->sent ? -1 : 0;
    error_set(err, r, "%s did not answer", instance->self.text);
  }
  http_call_close(call);
  g_string_free(fields, TRUE);
  return st;
}

static json *words_in(gateway *gateway, const GString *text) {
  error err = { 0 };
  json *json = json_parse(string_view_of_gstring(text), &err);
  if (json)
    dialect_translate_in(gateway->settings.dialect, json);
  return json;
}

/* takes an idle report into the account of the engine's room */
static void room_read(instance *instance, uint64_t count, Wire__ResidentModel **models, size_t n,
                      time_us asked) {
  room *r = &instance->room;
  if (!room_shown(r, asked, time_from_ms(LAG_MS))) {
    /* the engine has taken an order that this holder knows nothing of */
    if (r->known && count > r->count)
      room_forget(r, now_of(instance->gateway));
    return;
  }
  if (r->known && count != r->count)
    log_debug(&instance->gateway->router->node.log, "place",
              "%s has taken %" PRIu64 " orders; %" PRIu64 " were known.", instance->self.text,
              count, r->count);
  room_begin(r, count);
  for (size_t k = 0; k < n; k++) {
    if (!id_is_valid(string_view_of(models[k]->model)))
      continue;
    id model = id_of_text(models[k]->model);
    room_add(r, model, none);
    for (size_t a = 0; a < models[k]->n_adapters; a++)
      if (id_is_valid(string_view_of(models[k]->adapters[a])))
        room_add(r, model, id_of_text(models[k]->adapters[a]));
  }
}

/* reads what an engine itself says that it holds; false when it says nothing */
bool engine_report(instance *instance, bool *busy, int *running, error *err) {
  gateway *gateway = instance->gateway;
  GString *got = g_string_new(NULL);
  time_us from = now_of(gateway);
  gateway->counts.reports++;
  int st = exchange(instance, DC_REPORT, NULL, got, REPORT_MS, time_never(), err);
  json *value = st == 200 ? words_in(gateway, got) : NULL;
  g_string_free(got, TRUE);
  if (st == 421)
    instance_over(instance, "its address answers for another");
  if (!value || instance->gone) {
    json_free(value);
    return false;
  }
  instance->seen_at = now_of(gateway);
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
  instance_models(instance, rp, n, from, LAG_MS);
  instance->reported_at = from;
  uint64_t count = (uint64_t)MAX(0, json_number(value, "count", 0));
  if (!*busy)
    room_read(instance, count, rp, n, from);
  for (size_t k = 0; k < n; k++)
    g_free(r[k].adapters);
  g_free(r);
  g_free(rp);
  json_free(value);
  return true;
}

static GString *order_text(instance *instance, bool up, id model, id adapter, uint64_t epoch,
                           int64_t expect) {
  gateway *gateway = instance->gateway;
  GString *t = g_string_new(NULL);
  json_appendf(t, "{\"op\":\"%s\",\"model\":", up ? "load" : "unload");
  json_append_quoted(t, string_view_of(model.text));
  if (!id_is_empty(adapter)) {
    g_string_append(t, ",\"adapter\":");
    json_append_quoted(t, string_view_of(adapter.text));
  }
  g_string_append(t, ",\"holder\":");
  json_append_quoted(t, string_view_of(gateway->router->node.settings.self.text));
  if (expect != EXPECT_ANY)
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
int engine_order(instance *instance, bool up, id model, id adapter, int64_t expect, time_us by,
                 error *err) {
  gateway *gateway = instance->gateway;
  uint64_t epoch = order_epoch(instance);
  if (!epoch) {
    error_set(err, E_NO_LEASE_HOLDER, "no contract for %s", instance->self.text);
    return -2;
  }
  if (instance->gone) {
    error_set(err, E_NO_ENGINE, "%s is gone", instance->self.text);
    return -2;
  }
  /* an address is not used again at once: one that gave a sign of life lately is still the same; of
   * another an order is never sent */
  time_us seen =
      instance->beat_at.us > instance->last_byte.us ? instance->beat_at : instance->last_byte;
  if (instance->seen_at.us > seen.us)
    seen = instance->seen_at;
  if (since_ms(gateway, seen) > SURE_MS) {
    bool busy;
    int running;
    if (!engine_report(instance, &busy, &running, err))
      return 0;
    if (instance->gone || !(epoch = order_epoch(instance)))
      return error_set(err, E_NO_LEASE_HOLDER, "no contract for %s", instance->self.text), -2;
  }
  time_us till = contract_till(instance);
  GString *t = order_text(instance, up, model, adapter, epoch, expect), *got = g_string_new(NULL);
  gateway->counts.orders++;
  event_history_append(&gateway->router->history,
                       (history_event){ EVENT_ORDERED, { 0 }, instance->self, model, adapter, up });
  contract_open(instance, 1);
  int st =
      exchange(instance, DC_ENGINE_ORDER, t->str, got, ORDER_MS, till.us < by.us ? till : by, err);
  contract_open(instance, -1);
  log_debug(&gateway->router->node.log, "order",
            "%s %s%s%s at %s: fence %" PRIu64 ", %" PRId64 " orders expected, %" PRIu64
            " known, status %d.",
            up ? "Load" : "Unload", model.text, adapter.text[0] ? "+" : "", adapter.text,
            instance->self.text, epoch, expect, instance->room.count, st);
  if (st == 202)
    room_taken(&instance->room, up, model, adapter, now_of(gateway));
  if (st == -1)
    room_forget(&instance->room, now_of(gateway));
  if (st > 0 && st != 200 && st != 202)
    error_set(err, E_ORDER_FAILED, "%s answered %d to %s %s%s%s: %.80s", instance->self.text, st,
              up ? "load" : "unload", model.text, adapter.text[0] ? "+" : "", adapter.text,
              got->str);
  g_string_free(t, TRUE);
  g_string_free(got, TRUE);
  if (st > 0 && st != 421)
    instance->seen_at = now_of(gateway);
  if (st == 412) {
    error_set(err, E_STALE_EPOCH, "%s has seen a higher fence", instance->self.text);
    return -2;
  }
  return st;
}

bool engine_stops(instance *instance) {
  return instance->gone || instance->gateway->router->node.world->tasks.stopped;
}

int engine_nap(instance *instance, double ms, error *err) {
  if (!world_sleep(instance->gateway->router->node.world,
                   (time_us){ (int64_t)(MAX(ms, 1) * 1000) }) ||
      engine_stops(instance))
    return error_set(err, instance->gone ? E_NO_ENGINE : E_STOPPING, "%s is gone",
                     instance->self.text);
  return OK;
}

/* the time in ms that a kind of step took, learnt under a name of the service's own */
static double step_of(instance *instance, const char *name, double fall) {
  return event_history_load_ms(&instance->gateway->router->history, instance->service, name, fall);
}

static void step_took(instance *instance, const char *name, double ms) {
  event_history_record_load_ms(&instance->gateway->router->history, instance->service, name, ms);
}

/* tells all nodes that a thing is on its way out, so that they send no more work for it */
static void announce_unload(instance *instance, id model, id adapter) {
  instance_going(instance, model, adapter);
  instance_cast(instance);
}

static void retract_unload(instance *instance, id model, id adapter) {
  instance_loaded(instance, model, adapter);
  instance_cast(instance);
}

/* orders one thing unloaded and waits until the engine confirms it */
static int unload_until_gone(instance *instance, id model, id adapter, error *err) {
  gateway *gateway = instance->gateway;
  bool busy = false, took = false;
  int running = 0, probes = 0, r;
  time_us from = now_of(gateway), began = from, announced = from;
  for (;;) {
    if (since_ms(gateway, announced) > ANNOUNCE_AGAIN_MS) {
      announce_unload(instance, model, adapter);
      announced = now_of(gateway);
    }
    int st = engine_order(instance, false, model, adapter, EXPECT_ANY, time_never(), err);
    if (st == -2)
      return err->code;
    if (st == 200 || st == 404 || st == 400 || st == 421) {
      if (st != 200 && !took) { /* it may not be there at all: its report says */
        if ((r = engine_nap(instance, LAG_MS, err)))
          return r;
        if (!engine_report(instance, &busy, &running, err))
          return error_set(err, E_NO_ENGINE, "%s says nothing of itself", instance->self.text);
        if (busy || !instance->room.known || room_holds(&instance->room, model, adapter))
          return error_set(err, E_ORDER_FAILED, "%s does not unload %s", instance->self.text,
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
    double ms = since_ms(gateway, from);
    if (ms > UNLOAD_MS)
      return error_set(err, E_ORDER_FAILED, "%s still holds %s", instance->self.text, model.text);
    if (st != 202 && st != 409) {
      if ((r = engine_nap(instance, 150, err)))
        return r;
      continue;
    }
    /* the first looks come when it should be done; a busy one is watched by its reports, which cost
     * less */
    double guess = step_of(instance, "@unload", 25);
    if (!probes++) {
      if ((r = engine_nap(instance, CLAMP(guess, 5, 400), err)))
        return r;
      continue;
    }
    if (probes < 4) {
      if ((r = engine_nap(instance, 30 * probes, err)))
        return r;
      continue;
    }
    if ((r = engine_nap(instance, 200, err)))
      return r;
    while (engine_report(instance, &busy, &running, err) && busy &&
           since_ms(gateway, from) < UNLOAD_MS)
      if ((r = engine_nap(instance, 150, err)))
        return r;
  }
  if (took && probes <= 3)
    step_took(instance, "@unload", since_ms(gateway, began));
  gateway->counts.unloads++;
  gateway->router->unload_count++;
  event_history_append(&gateway->router->history,
                       (history_event){ EVENT_UNLOADED, { 0 }, instance->self, model, adapter, 0 });
  room_remove(&instance->room, model, adapter);
  instance_unloaded(instance, model, adapter);
  return OK;
}

/* Unloads one thing; where that can't be confirmed, the account of the room is read anew. Nodes
 * that run something of it answer the announcement. When it was thought idle, E_MODEL_IN_USE says
 * that it is not and stays. */
int engine_unload(instance *instance, id model, id adapter, bool thought_idle, error *err) {
  announce_unload(instance, model, adapter);
  bool waits = gateway_uses(instance->gateway, MECHANISM_ANNOUNCE);
  int r = waits ? engine_nap(instance, ANNOUNCE_MS, err) : OK;
  if (r)
    return r;
  if (thought_idle && instance_runs(instance, model, adapter)) {
    retract_unload(instance, model, adapter);
    return error_set(err, E_MODEL_IN_USE, "%s%s%s runs on %s", model.text,
                     adapter.text[0] ? "+" : "", adapter.text, instance->self.text);
  }
  r = unload_until_gone(instance, model, adapter, err);
  if (r)
    room_forget(&instance->room, now_of(instance->gateway));
  return r;
}
