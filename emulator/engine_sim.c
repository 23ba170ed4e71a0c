#include "simulators.h"
#include <stdio.h>
#include <stdlib.h>

enum { PREFIXES = 16 };

static void signal_report_changed(engine_sim *engine) {
  engine->report_sequence++;
  condition_broadcast(&engine->report_changed);
}

static void record_event(engine_sim *engine, char what, const char *rest) {
  char line[420];
  if (!engine->on_record)
    return;
  snprintf(line, sizeof line, "%c %" PRId64 " %s %s", what, world_now(engine->world).us,
           engine->self.text, rest);
  engine->on_record(engine->on_record_context, line);
}

static void record_order(engine_sim *engine, const engine_sim_order *o) {
  char rest[300];
  snprintf(rest, sizeof rest, "%c %s %s %s %" PRIu64 " %d %d", o->kind, o->model.text,
           o->adapter.text[0] ? o->adapter.text : "-", o->holder.text, o->epoch, o->accepted,
           o->over_capacity);
  record_event(engine, 'O', rest);
}

static engine_sim_item *find(engine_sim *engine, id m, id a) {
  list_for_each (i, &engine->items, engine_sim_item, link)
    if (id_equal(i->model, m) && id_equal(i->adapter, a))
      return i;
  return NULL;
}

static void sum_resident(engine_sim *engine, uint64_t *megs, unsigned *slots) {
  *megs = 0;
  *slots = 0;
  list_for_each (i, &engine->items, engine_sim_item, link) {
    *megs += i->weights_mb;
    *slots += i->slots;
  }
}

static void reply(http_request *request, int status, bool run, const char *why) {
  char b[200];
  snprintf(b, sizeof b, "{\"run\":%s,\"error\":\"%s\"}", run ? "true" : "false", why);
  http_request_respond(request, status, "application/json", string_view_of(b));
}

static void report(engine_sim *engine, GString *b) {
  time_us now = world_now(engine->world);
  json_appendf(b,
               "{\"id\":\"%s\",\"type\":\"%s\",\"area\":\"%s\",\"boot\":\"%s\",\"seq\":%" PRIu64
               ",\"weightsMb\":%" PRIu64 ",\"adapterSlots\":%u,\"running\":%d,\"epoch\":%" PRIu64
               ",\"holdings\":[",
               engine->self.text, engine->type.text, engine->area.text, engine->boot,
               engine->report_sequence, engine->weights_mb, engine->adapter_slots, engine->running,
               engine->epoch);
  bool first = true;
  list_for_each (i, &engine->items, engine_sim_item, link) {
    if (i->state == 'l' && !time_reached(now, i->reported_at))
      continue;
    json_appendf(b,
                 "%s{\"model\":\"%s\",\"adapter\":\"%s\",\"state\":\"%s\",\"weightsMb\":%" PRIu64
                 ",\"slots\":%u,\"running\":%d,\"served\":%" PRIu64 "}",
                 first ? "" : ",", i->model.text, i->adapter.text,
                 i->state == 'u'   ? "up"
                 : i->state == 'l' ? "loading"
                                   : "unloading",
                 i->weights_mb, i->slots, i->running, i->served);
    first = false;
  }
  g_string_append(b, "]}");
}

static void state(engine_sim *engine, http_request *request) {
  uint64_t after = 0;
  char boot[24] = "";
  char **q = g_strsplit(request->query, "&", 8);
  for (char **k = q; *k; k++) {
    if (g_str_has_prefix(*k, "after="))
      after = strtoull(*k + 6, NULL, 10);
    if (g_str_has_prefix(*k, "boot="))
      g_strlcpy(boot, *k + 5, sizeof boot);
  }
  g_strfreev(q);
  time_us until = time_add(world_now(engine->world), time_from_ms(1000));
  while (after == engine->report_sequence && !strcmp(boot, engine->boot) && !request->client_gone)
    if (condition_wait(&engine->world->tasks, &engine->report_changed, until) != WAKE_SIGNALLED)
      break;
  GString *b = g_string_new(NULL);
  report(engine, b);
  if (engine->faults.stale_reports) {
    if (!engine->old_report)
      engine->old_report = g_string_new(b->str);
    g_string_assign(b, engine->old_report->str);
  }
  http_request_respond(request, 200, "application/json", string_view_of_gstring(b));
  g_string_free(b, TRUE);
}

typedef struct {
  engine_sim *engine;
  id m, a;
  bool load;
} work;

static void drop(engine_sim *engine, engine_sim_item *i) {
  (void)engine;
  list_remove(&i->link);
  g_free(i);
}

/* the work of an order, after it was taken */
static void work_run(void *p) {
  work *k = p;
  engine_sim *engine = k->engine;
  engine_sim_item *i = find(engine, k->m, k->a);
  if (!i) {
    g_free(k);
    return;
  }
  if (k->load) {
    time_us gap = time_sub(i->ready_at, world_now(engine->world));
    world_sleep(engine->world, gap.us > 0 ? gap : time_from_ms(1));
    i = find(engine, k->m, k->a);
    if (i && i->state == 'l') {
      if (engine->faults.fail_loads > 0) {
        engine->faults.fail_loads--;
        drop(engine, i);
      } else
        i->state = 'u';
      signal_report_changed(engine);
    }
  } else {
    while (i && i->running && world_sleep(engine->world, time_from_ms(50)))
      i = find(engine, k->m, k->a);
    world_sleep(engine->world, time_from_ms(60));
    if (engine->faults.order_delay_ms)
      world_sleep(engine->world, time_from_ms(engine->faults.order_delay_ms));
    i = find(engine, k->m, k->a);
    if (i && i->state == 'd') {
      drop(engine, i);
      signal_report_changed(engine);
    }
  }
  g_free(k);
}

static void order(engine_sim *engine, http_request *request, bool load) {
  json *json = json_parse(string_view_of_gstring(request->body), NULL);
  engine_sim_order o = { .received_at = world_now(engine->world), .kind = load ? 'l' : 'u' };
  o.model = id_of_text(json_text(json, "model", ""));
  o.adapter = id_of_text(json_text(json, "adapter", ""));
  o.holder = id_of_text(json_text(json, "holder", ""));
  o.epoch = json_number(json, "epoch", 0);
  /* what came while the engine was frozen says nothing of when it was ordered */
  o.after_freeze = engine->unfrozen_at.us &&
                   !time_reached(o.received_at, time_add(engine->unfrozen_at, time_from_ms(20)));
  uint64_t number = json_number(json, "order", 0), megs = json_number(json, "weightsMb", 0), used;
  unsigned slots = json_number(json, "slots", 0), taken;
  /* what was ordered of an earlier run says nothing of this one */
  const char *boot = json_text(json, "boot", "");
  bool other = boot[0] && strcmp(boot, engine->boot);
  bool sound = json && o.model.text[0];
  json_free(json);
  if (!sound) {
    reply(request, 400, false, "no order");
    return;
  }
  if (engine->faults.drop_orders > 0) {
    engine->faults.drop_orders--;
    http_request_end(request, false);
    return;
  }
  if (!engine->faults.no_epochs && (other || o.epoch < engine->epoch ||
                                    (o.epoch == engine->epoch && number <= engine->number))) {
    engine->stale_orders++;
    g_array_append_val(engine->orders, o);
    record_order(engine, &o);
    reply(request, 412, false,
          other ? "meant for an earlier run" : "a younger epoch or order is known");
    return;
  }
  if (o.epoch >= engine->epoch) {
    engine->epoch = o.epoch;
    engine->number = number;
  }
  engine_sim_item *i = find(engine, o.model, o.adapter);
  sum_resident(engine, &used, &taken);
  bool hears_nothing =
      load ? engine->faults.unanswered_loads > 0 : engine->faults.unanswered_unloads > 0;
  if (hears_nothing) {
    if (load)
      engine->faults.unanswered_loads--;
    else
      engine->faults.unanswered_unloads--;
  }
  int code = 202;
  if (load) {
    o.over_capacity =
        !i && (used + megs > engine->weights_mb || taken + slots > engine->adapter_slots ||
               (o.adapter.text[0] && !find(engine, o.model, id_of_text(""))));
    if (o.over_capacity) {
      engine->over_capacity_orders++;
      code = 507;
    } else if (i)
      code = i->state == 'd' ? 409 : 202;
    else {
      i = g_new0(engine_sim_item, 1);
      i->model = o.model;
      i->adapter = o.adapter;
      i->weights_mb = megs;
      i->slots = slots;
      i->state = 'l';
      double per = engine->faults.load_mb_per_s > 0 ? engine->faults.load_mb_per_s : 8000,
             ms = 300 + (double)(megs ? megs : 200) * 1000 / per;
      i->ready_at =
          time_add(o.received_at,
                   time_from_ms((
                       int64_t)(ms * (engine->faults.slowdown > 0 ? engine->faults.slowdown : 1))));
      i->reported_at = time_add(o.received_at, time_from_ms(engine->faults.order_delay_ms));
      list_append(&engine->items, &i->link);
      o.accepted = true;
      work *k = g_new(work, 1);
      *k = (work){ engine, o.model, o.adapter, true };
      task_start(&engine->world->tasks, "load", work_run, k);
    }
  } else if (!i)
    code = 404;
  else if (engine->faults.fail_unloads > 0) {
    engine->faults.fail_unloads--;
    code = 500;
  } else if (i->state != 'd') {
    /* a base that goes from under its adapters leaves them useless, and their places taken */
    if (id_is_empty(o.adapter))
      list_for_each (k, &engine->items, engine_sim_item, link)
        engine->orphaning_unloads +=
            id_equal(k->model, o.model) && !id_is_empty(k->adapter) && k->state == 'u';
    i->state = 'd';
    o.accepted = true;
    work *k = g_new(work, 1);
    *k = (work){ engine, o.model, o.adapter, false };
    task_start(&engine->world->tasks, "unload", work_run, k);
  }
  g_array_append_val(engine->orders, o);
  record_order(engine, &o);
  signal_report_changed(engine);
  if (hears_nothing) {
    world_sleep(engine->world, time_from_ms(8000));
    http_request_end(request, false);
    return;
  }
  reply(request, code, false, code == 202 ? "taken" : "refused");
}

static bool prefix_is_cached(engine_sim *engine, const char *prefix) {
  if (!prefix[0])
    return false;
  for (GList *l = engine->prefixes.head; l; l = l->next)
    if (!strcmp(l->data, prefix)) {
      g_queue_unlink(&engine->prefixes, l);
      g_queue_push_tail_link(&engine->prefixes, l);
      engine->prefix_hits++;
      return true;
    }
  g_queue_push_tail(&engine->prefixes, g_strdup(prefix));
  if (engine->prefixes.length > PREFIXES)
    g_free(g_queue_pop_head(&engine->prefixes));
  return false;
}

static void run(engine_sim *engine, http_request *request) {
  json *json = json_parse(string_view_of_gstring(request->body), NULL);
  engine_sim_stream s = { .started_at = world_now(engine->world), .outcome = 'r' };
  const char *attempt = request->known_fields.values[HEADER_ATTEMPT]
                            ? request->known_fields.values[HEADER_ATTEMPT]
                            : "none";
  g_strlcpy(s.attempt, engine->faults.wrong_attempt_echo ? "another.1" : attempt, sizeof s.attempt);
  g_strlcpy(s.tag, json_text(json, "tag", ""), sizeof s.tag);
  s.model = id_of_text(json_text(json, "model", ""));
  s.adapter = id_of_text(json_text(json, "adapter", ""));
  /* an engine that mixes up its streams says another's tag, and writes down whose it ran */
  const char *tag = engine->faults.wrong_attempt_echo ? "another-1" : s.tag;
  int tokens = json_number(json, "tokens", 8);
  bool hit = prefix_is_cached(engine, json_text(json, "prefix", ""));
  json_free(json);
  engine_sim_item *b = find(engine, s.model, id_of_text("")), *i = find(engine, s.model, s.adapter);
  bool here = b && i && b->state == 'u' && i->state == 'u';
  if (!here || engine->running >= (engine->faults.streams_max ? engine->faults.streams_max : 64)) {
    engine_sim_refusal no = { .refused_at = s.started_at };
    g_strlcpy(no.tag, s.tag, sizeof no.tag);
    g_array_append_val(engine->refusals, no);
    record_event(engine, 'N', no.tag);
    reply(request, here ? 503 : 409, false, here ? "too many streams" : "not loaded here");
    return;
  }
  int64_t per = engine->faults.token_ms ? engine->faults.token_ms : 30;
  i->running++;
  i->served++;
  if (b != i) {
    b->running++;
    b->served++;
  }
  engine->running++;
  guint at = engine->streams->len;
  g_array_append_val(engine->streams, s);
  record_event(engine, 'S', s.tag);
  if (engine->faults.die_early > 0) {
    /* the run has begun, and nobody hears of it; after that the engine takes no more */
    engine->faults.die_early--;
    engine->faults.streams_max = -1;
    g_array_index(engine->streams, engine_sim_stream, at).outcome = 'b';
    engine->running--;
    i->running--;
    if (b != i)
      b->running--;
    http_request_end(request, false);
    return;
  }
  char buf[400];
  http_request_begin(request, 200, "text/event-stream");
  snprintf(buf, sizeof buf,
           "event: start\ndata: {\"attempt\":\"%s\",\"engine\":\"%s\",\"tag\":\"%s\"}\n\n",
           s.attempt, engine->self.text, tag);
  bool ok = !http_request_write(request, string_view_of(buf),
                                time_add(world_now(engine->world), time_from_ms(10000)));
  char how = 'd';
  int n = 0;
  if (ok && !world_sleep(engine->world, time_from_ms(hit ? per : per * 4)))
    ok = false;
  for (; ok && n < tokens; n++) {
    if (engine->faults.break_after > 0 && n >= engine->faults.break_after) {
      how = 'b';
      ok = false;
      break;
    }
    if (request->client_gone || !world_sleep(engine->world, time_from_ms(per))) {
      ok = false;
      break;
    }
    snprintf(buf, sizeof buf, "data: {\"tag\":\"%s\",\"attempt\":\"%s\",\"i\":%d}\n\n", tag,
             s.attempt, n);
    ok = !http_request_write(request, string_view_of(buf),
                             time_add(world_now(engine->world), time_from_ms(10000)));
  }
  if (ok) {
    snprintf(buf, sizeof buf,
             "event: done\ndata: {\"attempt\":\"%s\",\"tag\":\"%s\",\"tokens\":%d}\n\n", s.attempt,
             tag, n);
    ok = !http_request_write(request, string_view_of(buf),
                             time_add(world_now(engine->world), time_from_ms(10000)));
  }
  if (!ok && how == 'd') {
    how = 'c';
    engine->cut++;
  }
  http_request_end(request, ok);
  engine_sim_stream *k = &g_array_index(engine->streams, engine_sim_stream, at);
  k->outcome = how;
  k->tokens = n;
  k->ended_at = world_now(engine->world);
  engine->running--;
  i = find(engine, s.model, s.adapter);
  b = find(engine, s.model, id_of_text(""));
  if (i)
    i->running--;
  if (b && b != i)
    b->running--;
}

static void fault(engine_sim *engine, http_request *request) {
  json *json = json_parse(string_view_of_gstring(request->body), NULL);
  engine->faults.fail_loads = json_number(json, "failLoads", engine->faults.fail_loads);
  engine->faults.fail_unloads = json_number(json, "failUnloads", engine->faults.fail_unloads);
  engine->faults.unanswered_loads =
      json_number(json, "silentLoads", engine->faults.unanswered_loads);
  engine->faults.order_delay_ms = json_number(json, "lateMs", engine->faults.order_delay_ms);
  engine->faults.break_after = json_number(json, "breakAfter", engine->faults.break_after);
  engine->faults.slowdown = json_number(json, "slow", engine->faults.slowdown);
  engine->faults.token_ms = json_number(json, "tokenMs", engine->faults.token_ms);
  bool ok = json != NULL;
  json_free(json);
  reply(request, ok ? 200 : 400, false, ok ? "set" : "no JSON");
}

void engine_sim_record(engine_sim *engine, GString *b) {
  uint64_t done = 0, broke = 0, cut = 0, loads = 0;
  for (guint i = 0; i < engine->streams->len; i++) {
    char h = g_array_index(engine->streams, engine_sim_stream, i).outcome;
    done += h == 'd';
    broke += h == 'b';
    cut += h == 'c';
  }
  for (guint i = 0; i < engine->orders->len; i++)
    loads += g_array_index(engine->orders, engine_sim_order, i).kind == 'l' &&
             g_array_index(engine->orders, engine_sim_order, i).accepted;
  json_appendf(
      b,
      "{\"id\":\"%s\",\"boot\":\"%s\",\"orders\":%u,\"loads\":%" PRIu64 ",\"pastRoom\":%" PRIu64
      ",\"staleOrders\":%" PRIu64 ",\"streams\":%u,\"done\":%" PRIu64 ",\"broken\":%" PRIu64
      ",\"cut\":%" PRIu64 ",\"prefixHits\":%" PRIu64 "}\n",
      engine->self.text, engine->boot, engine->orders->len, loads, engine->over_capacity_orders,
      engine->stale_orders, engine->streams->len, done, broke, cut, engine->prefix_hits);
}

static void serve(void *ctx, http_request *request) {
  engine_sim *engine = ctx;
  bool post = !strcmp(request->method, "POST");
  if (!strcmp(request->path, "/v1/state"))
    state(engine, request);
  else if (post && !strcmp(request->path, "/v1/load"))
    order(engine, request, true);
  else if (post && !strcmp(request->path, "/v1/unload"))
    order(engine, request, false);
  else if (post && !strcmp(request->path, "/v1/run"))
    run(engine, request);
  else if (post && !strcmp(request->path, "/v1/fault"))
    fault(engine, request);
  else if (!strcmp(request->path, "/v1/record")) {
    GString *b = g_string_new(NULL);
    engine_sim_record(engine, b);
    http_request_respond(request, 200, "application/json", string_view_of_gstring(b));
    g_string_free(b, TRUE);
  } else
    reply(request, 404, false, "no such page");
}

engine_sim *engine_sim_new(world *world, id self, id type, id area, uint64_t weights_mb,
                           unsigned slots) {
  engine_sim *engine = g_new0(engine_sim, 1);
  engine->world = world;
  engine->self = self;
  engine->type = type;
  engine->area = area;
  engine->weights_mb = weights_mb;
  engine->adapter_slots = slots;
  snprintf(engine->boot, sizeof engine->boot, "%08" PRIx64, world->random(world) & 0xffffffff);
  list_init(&engine->items);
  condition_init(&engine->report_changed);
  engine->orders = g_array_new(FALSE, TRUE, sizeof(engine_sim_order));
  engine->streams = g_array_new(FALSE, TRUE, sizeof(engine_sim_stream));
  engine->refusals = g_array_new(FALSE, TRUE, sizeof(engine_sim_refusal));
  engine->started_at = world_now(world);
  g_queue_init(&engine->prefixes);
  world->serve = serve;
  world->serve_context = engine;
  return engine;
}

void engine_sim_free(engine_sim *engine) {
  list_for_each (i, &engine->items, engine_sim_item, link)
    drop(engine, i);
  g_array_free(engine->orders, TRUE);
  g_array_free(engine->streams, TRUE);
  g_array_free(engine->refusals, TRUE);
  g_queue_clear_full(&engine->prefixes, g_free);
  if (engine->old_report)
    g_string_free(engine->old_report, TRUE);
  g_free(engine);
}
