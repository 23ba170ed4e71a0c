#include "instance.h"
#include <stdio.h>
#include <stdlib.h>

enum { REPORT_LAG_MS = 200, LEAVE_UNHEARD_MS = 6000, DISK_TENTHS = 4, ADAPTER_MS = 40 };

typedef struct copy {
  list_node link;
  id model;
  GHashTable *adapters;
  bool up, going;
} copy;
typedef struct part {
  uint64_t key;
  double tokens;
  id model;
} part;
typedef struct run {
  list_node link;
  em_engine *engine;
  em_run *rec;
  double to_read;
  unsigned tokens, want, sent, priority;
  uint64_t first;
  condition changed;
  GString *out;
  bool admitted, read, last;
  double kv;
  GArray *parts;
} run;
typedef struct snapshot {
  time_us at;
  GString *text;
} snapshot;
typedef struct job {
  em_engine *engine;
  em_order *order;
  double ms;
} job;

em_log *em_log_new(void) {
  em_log *log = g_new0(em_log, 1);
  log->runs = g_ptr_array_new_with_free_func(g_free);
  log->orders = g_ptr_array_new_with_free_func(g_free);
  log->ends = g_ptr_array_new_with_free_func(g_free);
  return log;
}

void em_log_free(em_log *log) {
  g_ptr_array_free(log->runs, TRUE);
  g_ptr_array_free(log->orders, TRUE);
  g_ptr_array_free(log->ends, TRUE);
  g_free(log);
}

void em_bytes(GString *to, const char *request, size_t n) {
  size_t k = strlen(request);
  for (size_t i = 0; i < n; i++)
    g_string_append_c(to, i % 64 == 63 ? '\n' : request[i % (k ? k : 1)]);
}

uint64_t em_sum(const char *verb, const char *target, string_view body) {
  return hash_bytes(body.data, body.length,
                    hash_bytes(target, strlen(target), hash_bytes(verb, strlen(verb), 7)));
}

char *em_path(const dialect *dialect, enum dialect_call c, const char *who) {
  const char *p = dialect->calls[c].path, *at = strstr(p, "{}");
  return at ? g_strdup_printf("%.*s%s%s", (int)(at - p), p, who, at + 2) : g_strdup(p);
}

static double slow(const em_engine *engine) {
  return engine->plan->faults.slow > 0 ? engine->plan->faults.slow : 1;
}

static copy *copy_of(em_engine *engine, id model) {
  list_for_each (c, &engine->held, copy, link)
    if (id_equal(c->model, model))
      return c;
  return NULL;
}

static const em_model *model_of(const em_engine *engine, id name) {
  for (size_t i = 0; i < engine->plan->model_count; i++)
    if (id_equal(engine->plan->models[i].name, name))
      return &engine->plan->models[i];
  return NULL;
}

bool em_engine_holds(em_engine *engine, id model, id adapter) {
  copy *copy = copy_of(engine, model);
  return copy && copy->up && !copy->going &&
         (id_is_empty(adapter) || g_hash_table_contains(copy->adapters, adapter.text));
}

static void models_json(em_engine *engine, GString *b) {
  bool first = true;
  g_string_append(b, "[");
  list_for_each (c, &engine->held, copy, link) {
    if (!c->up)
      continue;
    json_appendf(b, "%s{\"name\":\"%s\",\"version\":1,\"adapters\":[", first ? "" : ",",
                 c->model.text);
    GList *keys = g_list_sort(g_hash_table_get_keys(c->adapters), (GCompareFunc)strcmp);
    for (GList *l = keys; l; l = l->next)
      json_appendf(b, "%s\"%s\"", l == keys ? "" : ",", (char *)l->data);
    g_list_free(keys);
    g_string_append(b, "]}");
    first = false;
  }
  g_string_append(b, "]");
}

static void report_text(em_engine *engine, GString *b) {
  g_string_append(b, "{\"phase\":\"both\",\"models\":");
  models_json(engine, b);
  json_appendf(b,
               ",\"busy\":%s,\"count\":%" PRIu64
               ",\"waiting\":%u,\"running\":%u,\"kvUsed\":%.0f,\"kvTotal\":%.0f}",
               engine->busy ? "true" : "false", engine->orders, engine->waiting, engine->busy_slots,
               engine->kv_running, engine->plan->kv_tokens);
}

/* a picture of this moment, for reports that lag */
static void picture(em_engine *engine) {
  snapshot *s = g_queue_peek_tail(&engine->past);
  time_us now = world_now(engine->world);
  if (s && now.us - s->at.us < 50000) {
    g_string_truncate(s->text, 0);
    report_text(engine, s->text);
    return;
  }
  s = g_new0(snapshot, 1);
  s->at = now;
  s->text = g_string_new(NULL);
  report_text(engine, s->text);
  g_queue_push_tail(&engine->past, s);
  while (engine->past.length > 1) {
    snapshot *two = g_queue_peek_nth(&engine->past, 1);
    if (now.us - two->at.us < REPORT_LAG_MS * 1000)
      break;
    s = g_queue_pop_head(&engine->past);
    g_string_free(s->text, TRUE);
    g_free(s);
  }
}

static void report(em_engine *engine, http_request *request) {
  engine->plan->log->reports++;
  time_us now = world_now(engine->world);
  snapshot *best = g_queue_peek_head(&engine->past);
  for (GList *l = engine->past.head; l; l = l->next) {
    snapshot *s = l->data;
    if (now.us - s->at.us >= REPORT_LAG_MS * 1000)
      best = s;
  }
  http_request_respond(request, 200, "application/json", string_view_of_gstring(best->text));
}

static const char *field(em_engine *engine, enum dialect_field f) {
  return engine->plan->dialect->header_names[f];
}

static void not_run(em_engine *engine, http_request *request, em_run *run, char how, int status,
                    const char *retry) {
  if (run) {
    run->how = how;
    run->to = world_now(engine->world);
  }
  fields_add(request->response_fields, field(engine, DF_NOT_RUN), string_view_of("1"));
  if (run && run->request[0])
    fields_add(request->response_fields, field(engine, DF_REQUEST_ID),
               string_view_of(run->request));
  if (retry)
    fields_add(request->response_fields, "Retry-After", string_view_of(retry));
  http_request_respond(request, status, "text/plain", string_view_of("not run\n"));
}

/* room for tokens: what is kept and unused longest gives way */
static bool kv_fits(em_engine *engine, double need) {
  if (engine->kv_running + need > engine->plan->kv_tokens)
    return false;
  while (engine->kv_running + engine->kv_kept + need > engine->plan->kv_tokens &&
         engine->kept.length) {
    part *p = g_queue_pop_head(&engine->kept);
    engine->kv_kept -= p->tokens;
    g_free(p);
  }
  return true;
}

static void kv_drop(em_engine *engine, id model) {
  for (GList *l = engine->kept.head; l;) {
    GList *next = l->next;
    part *p = l->data;
    if (id_equal(p->model, model)) {
      engine->kv_kept -= p->tokens;
      g_queue_delete_link(&engine->kept, l);
      g_free(p);
    }
    l = next;
  }
}

/* the parts of a prompt, each named by all before it */
static GArray *parts_of(em_engine *engine, const em_run *run, const char *prefix) {
  GArray *all = g_array_new(FALSE, TRUE, sizeof(part));
  if (!prefix)
    return all;
  char **v = g_strsplit(prefix, ",", 32);
  uint64_t key = hash_two_names(run->model.text, run->adapter.text);
  (void)engine;
  for (char **k = v; *k; k++) {
    char *c = strchr(*k, ':');
    if (!c)
      continue;
    key = hash_bytes(*k, (size_t)(c - *k), key);
    part p = { key, atof(c + 1), run->model };
    g_array_append_val(all, p);
  }
  g_strfreev(v);
  return all;
}

static double parts_kept(em_engine *engine, const GArray *parts) {
  double got = 0;
  for (guint i = 0; i < parts->len; i++) {
    part *p = &g_array_index(parts, part, i);
    GList *l = engine->kept.head;
    while (l && ((part *)l->data)->key != p->key)
      l = l->next;
    if (!l)
      break;
    g_queue_unlink(&engine->kept, l);
    g_queue_push_tail_link(&engine->kept, l);
    got += p->tokens;
  }
  return got;
}

static void parts_keep(em_engine *engine, const GArray *parts) {
  for (guint i = 0; i < parts->len; i++) {
    part *p = &g_array_index(parts, part, i);
    GList *l = engine->kept.head;
    while (l && ((part *)l->data)->key != p->key)
      l = l->next;
    if (l || engine->kv_running + engine->kv_kept + p->tokens > engine->plan->kv_tokens)
      continue;
    g_queue_push_tail(&engine->kept, g_memdup2(p, sizeof *p));
    engine->kv_kept += p->tokens;
  }
}

static void event_text(run *run) {
  uint64_t n = run->first + ++run->sent;
  run->last = run->tokens >= run->want;
  g_string_append_printf(run->out, "id: %" PRIu64 "\ndata: %s %" PRIu64 "%s\n\n", n,
                         run->rec->stamp, n, run->last ? " end" : "");
  condition_broadcast(&run->changed);
}

/* one step after the other while anything runs: a piece of a prompt, and a token for each that is
 * read */
static void batch_run(void *p) {
  em_engine *engine = p;
  for (;;) {
    unsigned n = 0, reading = 0;
    list_for_each (r, &engine->running, run, link) {
      n++;
      reading += r->to_read > 0;
    }
    if (!n)
      break;
    double ms = engine->plan->step_ms + engine->plan->per_ms * n,
           piece = reading ? engine->plan->read_per_ms * ms : 0, used = 0;
    list_for_each (r, &engine->running, run, link) {
      if (r->to_read <= 0 || used >= piece)
        continue;
      double take = MIN(r->to_read, piece - used);
      r->to_read -= take;
      used += take;
    }
    ms += used / (engine->plan->read_per_ms > 0 ? engine->plan->read_per_ms : 1);
    if (!world_sleep(engine->world, (time_us){ (int64_t)(ms * slow(engine) * 1000) }))
      break;
    list_for_each (r, &engine->running, run, link) {
      if (r->to_read > 0 || r->last || r->tokens >= r->want)
        continue;
      if (!r->read) {
        r->read = true;
        parts_keep(engine, r->parts);
      }
      r->tokens++;
      if (r->tokens % engine->plan->event_tokens == 0 || r->tokens >= r->want)
        event_text(r);
    }
  }
  engine->batch = false;
}

/* lets in those that wait: the more urgent first, then who came first */
static void admit(em_engine *engine) {
  while (engine->busy_slots < engine->plan->slots) {
    run *best = NULL;
    list_for_each (r, &engine->queue, run, link)
      if (!best || r->priority < best->priority)
        best = r;
    if (!best || (best->kv > 0 && !kv_fits(engine, best->kv)))
      return;
    list_remove(&best->link);
    engine->waiting--;
    engine->busy_slots++;
    engine->kv_running += best->kv;
    best->admitted = true;
    list_append(&engine->running, &best->link);
    condition_broadcast(&best->changed);
  }
}

static void run_out(run *run) {
  em_engine *engine = run->engine;
  list_remove(&run->link);
  if (run->admitted) {
    engine->busy_slots--;
    engine->kv_running -= run->kv;
  } else
    engine->waiting--;
  g_string_free(run->out, TRUE);
  g_array_free(run->parts, TRUE);
  admit(engine);
  picture(engine);
  condition_broadcast(&engine->moved);
}

static bool wait_gone(em_engine *engine, http_request *request, int64_t ms) {
  time_us till = time_add(world_now(engine->world), time_from_ms(ms));
  while (!request->client_gone && world_now(engine->world).us < till.us)
    if (condition_wait(&engine->world->tasks, &request->drained, till) == WAKE_STOPPED)
      return false;
  return true;
}

static void head_of(em_engine *engine, http_request *request, const em_run *run) {
  fields_add(request->response_fields, field(engine, DF_REQUEST_ID), string_view_of(run->request));
  fields_add(request->response_fields, field(engine, DF_STAMP), string_view_of(run->stamp));
  fields_add(request->response_fields, field(engine, DF_ENGINE_ID),
             string_view_of(engine->self.text));
  if (engine->plan->model_count)
    fields_add(request->response_fields, field(engine, DF_WEIGHT_VERSIONS), string_view_of("1"));
  if (engine->plan->idle_ms)
    fields_add_format(request->response_fields, "Keep-Alive", "timeout=%" PRId64,
                      engine->plan->idle_ms / 1000);
}

/* an answer of an earlier request, or bytes that are none, in the place of the answer that is due
 */
static void odd_bytes(em_engine *engine, http_request *request, bool after) {
  em_faults *faults = &engine->plan->faults;
  int *which = after ? &faults->extra_answers : &faults->late_answers;
  if (!engine->stray || !engine->last_request[0])
    return;
  if (*which > 0) {
    (*which)--;
    fields *fields = g_string_new(NULL);
    GString *b = g_string_new(NULL);
    fields_add(fields, field(engine, DF_REQUEST_ID), string_view_of(engine->last_request));
    fields_add(fields, field(engine, DF_STAMP), string_view_of(engine->last_stamp));
    em_bytes(b, engine->last_request, engine->last_bytes);
    engine->stray(request, 200, fields, string_view_of_gstring(b));
    g_string_free(fields, TRUE);
    g_string_free(b, TRUE);
  } else if (!after && faults->garbage > 0) {
    faults->garbage--;
    engine->stray(request, 0, NULL, string_view_of("\x01\x02 no answer \r\n\r\n"));
  }
}

static void plain(em_engine *engine, http_request *request, run *run, time_us ends) {
  em_run *rec = run->rec;
  em_faults *faults = &engine->plan->faults;
  time_us done = time_add(world_now(engine->world),
                          time_from_ms((int64_t)((double)engine->plan->work_ms * slow(engine))));
  while (world_now(engine->world).us < done.us && world_now(engine->world).us < ends.us &&
         !request->client_gone)
    if (condition_wait(&engine->world->tasks, &request->drained, done.us < ends.us ? done : ends) ==
        WAKE_STOPPED) {
      rec->how = 'b';
      return;
    }
  rec->to = world_now(engine->world);
  if (request->client_gone) {
    rec->how = 'c';
    return;
  }
  head_of(engine, request, rec);
  if (world_now(engine->world).us < done.us) {
    rec->how = 't';
    http_request_respond(request, 504, "text/plain", string_view_of("out of time\n"));
    return;
  }
  json *json = json_parse(string_view_of_gstring(request->body), NULL);
  size_t n = (size_t)json_number(json, "bytes", 800);
  json_free(json);
  if (faults->lose_answers > 0) {
    faults->lose_answers--;
    rec->how = 'b';
    wait_gone(engine, request, 20000);
    return;
  }
  odd_bytes(engine, request, false);
  GString *b = g_string_new(NULL);
  em_bytes(b, rec->request, n);
  if (faults->cut_answers > 0) {
    faults->cut_answers--;
    rec->how = 'b';
    http_request_begin(request, 200, "text/plain");
    http_request_write(request, (string_view){ b->str, b->len / 2 },
                       time_add(world_now(engine->world), time_from_ms(2000)));
    http_request_end(request, false);
  } else {
    rec->how = 'd';
    http_request_respond(request, 200, "text/plain", string_view_of_gstring(b));
    odd_bytes(engine, request, true);
    g_strlcpy(engine->last_request, rec->request, sizeof engine->last_request);
    g_strlcpy(engine->last_stamp, rec->stamp, sizeof engine->last_stamp);
    engine->last_bytes = n;
  }
  g_string_free(b, TRUE);
}

static void stream(em_engine *engine, http_request *request, run *run, time_us ends) {
  em_run *rec = run->rec;
  em_faults *faults = &engine->plan->faults;
  bool began = false, lose = false, dead = false;
  bool cut = faults->cut_answers > 0;
  if (cut)
    faults->cut_answers--;
  else if (faults->lose_answers > 0) {
    faults->lose_answers--;
    lose = true;
  }
  if (!engine->batch && run->tokens < run->want) {
    engine->batch = true;
    task_start(&engine->world->tasks, "batch", batch_run, engine);
  }
  rec->how = 'r';
  if (run->tokens >= run->want) {
    /* taken up again behind its last event */
    rec->how = 'd';
    rec->to = world_now(engine->world);
    head_of(engine, request, rec);
    http_request_respond(request, 200, "text/event-stream", string_view_of(""));
    return;
  }
  request->client_gone_condition = &run->changed;
  while (!request->client_gone) {
    if (!run->out->len) {
      enum wake y = condition_wait(&engine->world->tasks, &run->changed, ends);
      if (y == WAKE_STOPPED) {
        dead = true;
        break;
      }
      if (y == WAKE_TIMEOUT) {
        rec->how = 't';
        break;
      }
      continue;
    }
    if (lose) {
      g_string_truncate(run->out, 0);
      if (run->last) {
        wait_gone(engine, request, 20000);
        rec->how = 'b';
        break;
      }
      continue;
    }
    if (!began) {
      began = true;
      head_of(engine, request, rec);
      http_request_begin(request, 200, "text/event-stream");
    }
    rec->events = run->sent;
    rec->last_event = (unsigned)(run->first + run->sent);
    rec->last = world_now(engine->world);
    if (http_request_write(request, string_view_of_gstring(run->out), ends))
      break;
    g_string_truncate(run->out, 0);
    if (run->last) {
      rec->how = 'd';
      break;
    }
    if (cut && run->sent >= faults->cut_after) {
      rec->how = 'b';
      break;
    }
  }
  request->client_gone_condition = NULL;
  rec->to = world_now(engine->world);
  if (dead)
    rec->how = 'b';
  else if (request->client_gone && rec->how == 'r')
    rec->how = 'c';
  if (rec->how == 't' && !began) {
    head_of(engine, request, rec);
    http_request_respond(request, 504, "text/plain", string_view_of("out of time\n"));
  } else
    http_request_end(request, rec->how == 'd');
}

static void request(em_engine *engine, http_request *http_request_) {
  em_plan *plan = engine->plan;
  em_run *rec = g_new0(em_run, 1);
  g_ptr_array_add(plan->log->runs, rec);
  rec->came = world_now(engine->world);
  rec->engine = engine->self;
  rec->service = plan->service;
  g_strlcpy(rec->from, http_request_->client_address, sizeof rec->from);
  g_strlcpy(rec->target, http_request_->target, sizeof rec->target);
  rec->sum = em_sum(http_request_->method, http_request_->target,
                    string_view_of_gstring(http_request_->body));
  string_view v;
  if (fields_get(http_request_->fields, field(engine, DF_REQUEST_ID), &v))
    g_strlcpy(rec->request, id_of(v).text, sizeof rec->request);
  if (field(engine, DF_POLICY) && fields_get(http_request_->fields, field(engine, DF_POLICY), &v))
    memcpy(rec->policy, v.data, MIN(v.length, sizeof rec->policy - 1));
  if (field(engine, DF_SESSION) && fields_get(http_request_->fields, field(engine, DF_SESSION), &v))
    memcpy(rec->session, v.data, MIN(v.length, sizeof rec->session - 1));
  char *model = fields_dup(http_request_->fields, field(engine, DF_MODEL)),
       *prefix = fields_dup(http_request_->fields, field(engine, DF_PREFIX)),
       *tokens = fields_dup(http_request_->fields, field(engine, DF_TOKENS));
  char *slash = model ? strchr(model, '/') : NULL;
  if (slash) {
    *slash = 0;
    rec->adapter = id_of_text(slash + 1);
  }
  if (model)
    rec->model = id_of_text(model);
  int64_t left = fields_get_number(http_request_->fields, field(engine, DF_TIME_LEFT_MS), 60000);
  time_us ends = time_add(rec->came, time_from_ms(left));
  double in = 0, out = 1;
  if (tokens)
    sscanf(tokens, "%lf,%lf", &in, &out);
  g_free(tokens);
  g_free(model);
  copy *copy = copy_of(engine, rec->model);
  bool streams = plan->model_count > 0;
  if (!rec->request[0])
    not_run(engine, http_request_, rec, 'n', 400, NULL);
  else if (fields_get(http_request_->fields, field(engine, DF_EXPECT_ENGINE), &v) &&
           !string_view_equal(v, string_view_of(engine->self.text)))
    not_run(engine, http_request_, rec, 'x', 421, NULL);
  else if (streams && !copy)
    not_run(engine, http_request_, rec, 'x', 421, NULL);
  else if (streams && (!copy->up || copy->going))
    not_run(engine, http_request_, rec, 'n', 503, "0.5");
  else if (streams && !id_is_empty(rec->adapter) &&
           !g_hash_table_contains(copy->adapters, rec->adapter.text))
    not_run(engine, http_request_, rec, 'x', 421, NULL);
  else if (plan->faults.silent)
    wait_gone(engine, http_request_, 60000);
  else if (left <= 0 || (engine->busy_slots >= plan->slots && engine->waiting >= plan->queue) ||
           in + out > (streams ? plan->kv_tokens : 1e18))
    not_run(engine, http_request_, rec, 'n', 503, "0.2");
  if (http_request_->response_ended || plan->faults.silent) {
    if (!rec->how) {
      rec->how = 'q';
      rec->to = world_now(engine->world);
    }
    g_free(prefix);
    return;
  }
  run r = { .engine = engine,
            .rec = rec,
            .want = (unsigned)MAX(1, out),
            .out = g_string_new(NULL),
            .parts = parts_of(engine, rec, streams ? prefix : NULL) };
  g_free(prefix);
  r.priority = (unsigned)fields_get_number(http_request_->fields, field(engine, DF_PRIORITY), 5);
  r.first = rec->resumed_after =
      (uint64_t)fields_get_number(http_request_->fields, field(engine, DF_LAST_EVENT_ID), 0);
  r.tokens = (unsigned)MIN(r.first * plan->event_tokens, (uint64_t)r.want);
  r.kv = streams ? in + out : 0;
  condition_init(&r.changed);
  list_append(&engine->queue, &r.link);
  engine->waiting++;
  http_request_->client_gone_condition = &r.changed;
  admit(engine);
  while (!r.admitted && !http_request_->client_gone) {
    enum wake y = condition_wait(&engine->world->tasks, &r.changed, ends);
    if (r.admitted)
      break;
    copy = copy_of(engine, rec->model);
    if (y == WAKE_STOPPED || y == WAKE_TIMEOUT || (streams && (!copy || copy->going)))
      break;
  }
  http_request_->client_gone_condition = NULL;
  if (!r.admitted) {
    bool dead = engine->world->tasks.stopped;
    if (dead || http_request_->client_gone) {
      rec->how = 'q';
      rec->to = world_now(engine->world);
    } else
      not_run(engine, http_request_, rec, 'n', 503, "0.2");
    run_out(&r);
    return;
  }
  rec->at = world_now(engine->world);
  rec->how = 'r';
  snprintf(rec->stamp, sizeof rec->stamp, "%s.%" PRIu64, engine->self.text, ++engine->runs);
  rec->kept = parts_kept(engine, r.parts);
  r.to_read = rec->read = MAX(1, in - rec->kept);
  picture(engine);
  if (plan->faults.intermittent_failures > 0 &&
      (double)world_random(engine->world, 1000000) < plan->faults.intermittent_failures * 1e6) {
    world_sleep(engine->world, time_from_ms(5));
    rec->how = 'f';
    rec->to = world_now(engine->world);
    head_of(engine, http_request_, rec);
    http_request_respond(http_request_, 500, "text/plain", string_view_of("failed\n"));
  } else if (streams)
    stream(engine, http_request_, &r, ends);
  else
    plain(engine, http_request_, &r, ends);
  run_out(&r);
}

/* orders */
static void order_done(em_engine *engine) {
  engine->busy = false;
  picture(engine);
  condition_broadcast(&engine->moved);
}

static void load_run(void *v) {
  job *k = v;
  em_engine *engine = k->engine;
  em_order *order = k->order;
  if (order->store)
    engine->plan->store->loading++;
  double share =
      order->store ? MAX(1, (double)engine->plan->store->loading / engine->plan->store->most) : 1;
  bool ok = world_sleep(
      engine->world,
      (time_us){
          (int64_t)(k->ms * share * (1 + 0.3 * engine->busy_slots / engine->plan->slots) * 1000) });
  if (order->store)
    engine->plan->store->loading--;
  copy *copy = copy_of(engine, order->model);
  if (ok && copy) {
    if (id_is_empty(order->adapter)) {
      copy->up = true;
      g_hash_table_add(engine->plan->disk, g_strdup(order->model.text));
    } else
      g_hash_table_add(copy->adapters, g_strdup(order->adapter.text));
  }
  if (ok)
    order_done(engine);
  g_free(k);
}

static void copy_free(copy *copy) {
  list_remove(&copy->link);
  g_hash_table_destroy(copy->adapters);
  g_free(copy);
}

/* the runs of a model, or of one adapter of it */
static int runs_of(em_engine *engine, id model, id adapter) {
  int n = 0;
  list_for_each (r, &engine->running, run, link)
    n += id_equal(r->rec->model, model) &&
         (id_is_empty(adapter) || id_equal(r->rec->adapter, adapter));
  return n;
}

static void unload_run(void *v) {
  job *k = v;
  em_engine *engine = k->engine;
  em_order *order = k->order;
  bool dead = false;
  copy *copy;
  while (runs_of(engine, order->model, order->adapter) && !dead)
    dead = condition_wait(&engine->world->tasks, &engine->moved,
                          time_add(world_now(engine->world), time_from_ms(200))) == WAKE_STOPPED;
  if (!dead)
    dead = !world_sleep(engine->world, time_from_ms(20));
  if (!dead && (copy = copy_of(engine, order->model))) {
    if (id_is_empty(order->adapter)) {
      kv_drop(engine, order->model);
      copy_free(copy);
    } else {
      g_hash_table_remove(copy->adapters, order->adapter.text);
      copy->going = false;
    }
  }
  if (!dead)
    order_done(engine);
  g_free(k);
}

static void held_sums(em_engine *engine, double *megs, unsigned *slots) {
  *megs = 0;
  *slots = 0;
  list_for_each (c, &engine->held, copy, link) {
    const em_model *m = model_of(engine, c->model);
    *megs += m->megs + g_hash_table_size(c->adapters) * m->adapter_mb;
    *slots += g_hash_table_size(c->adapters);
  }
}

/* an order that is under way already is being done, and not counted again */
static bool same_order(const em_order *a, const em_order *b) {
  return a->op == b->op && id_equal(a->model, b->model) && id_equal(a->adapter, b->adapter);
}

static void order(em_engine *engine, http_request *request) {
  em_plan *plan = engine->plan;
  if (plan->faults.late_orders > 0) {
    plan->faults.late_orders--;
    if (!world_sleep(engine->world, time_from_ms(plan->faults.late_order_ms)))
      return;
  }
  json *json = json_parse(string_view_of_gstring(request->body), NULL);
  em_order *o = g_new0(em_order, 1);
  const char *op = json_text(json, "op", "");
  o->at = world_now(engine->world);
  o->engine = engine->self;
  o->service = plan->service;
  o->model = id_of_text(json_text(json, "model", ""));
  o->adapter = id_of_text(json_text(json, "adapter", ""));
  o->holder = id_of_text(json_text(json, "holder", ""));
  o->fence = json_get(json, "fence") ? (int64_t)json_number(json, "fence", 0) : -1;
  o->op = !strcmp(op, "load") ? 'l' : !strcmp(op, "unload") ? 'u' : '?';
  o->late = engine->woke.us && o->at.us < engine->woke.us + 20000;
  double expect = json_number(json, "expect", -1);
  json_free(json);
  g_ptr_array_add(plan->log->orders, o);
  const em_model *m = model_of(engine, o->model);
  copy *c = copy_of(engine, o->model);
  bool ad = !id_is_empty(o->adapter),
       has = c && (!ad || g_hash_table_contains(c->adapters, o->adapter.text));
  string_view v;
  if (plan->faults.drop_orders > 0) {
    plan->faults.drop_orders--;
    o->status = -1;
    http_request_end(request, false);
    return;
  }
  if (fields_get(request->fields, field(engine, DF_EXPECT_ENGINE), &v) &&
      !string_view_equal(v, string_view_of(engine->self.text)))
    o->status = 421;
  else if (o->op == '?' || id_is_empty(o->holder) || o->fence < 0 || !m)
    o->status = 400;
  else if (plan->faults.fenced && o->fence < engine->fence)
    o->status = 412;
  else if (expect >= 0 && (uint64_t)expect != engine->orders)
    o->status = 409;
  else if (engine->busy)
    o->status = same_order(engine->current, o) ? 202 : 409;
  else if (o->op == 'l' ? has && c->up : !has)
    o->status = 200;
  else if (o->op == 'l' && ad && !(c && c->up))
    o->status = 421;
  else
    o->status = 202;
  if (o->status == 202 || o->status == 200)
    engine->fence = MAX(engine->fence, o->fence);
  if (o->status == 202 && !engine->busy) {
    engine->busy = o->begun = true;
    engine->current = o;
    engine->orders++;
    job *k = g_new0(job, 1);
    *k = (job){ engine, o, 0 };
    if (o->op == 'l') {
      double megs;
      unsigned slots;
      held_sums(engine, &megs, &slots);
      o->past = megs + (ad ? m->adapter_mb : m->megs) > plan->weights_mb ||
                slots + ad > plan->adapter_slots;
      bool known = g_hash_table_contains(plan->disk, o->model.text);
      o->store = !ad && !known;
      k->ms = ad ? (plan->adapter_ms ? plan->adapter_ms : ADAPTER_MS)
                 : m->load_ms * (known ? DISK_TENTHS : 10) / 10;
      if (!ad) {
        c = g_new0(copy, 1);
        c->model = o->model;
        c->adapters = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        list_append(&engine->held, &c->link);
      }
      if (o->past && engine->stop) {
        g_free(k);
        engine->stopped = true;
        engine->stop(engine->ctx, true);
        http_request_end(request, false);
        return;
      }
      task_start(&engine->world->tasks, "load", load_run, k);
    } else {
      if (!ad) {
        c->going = true;
        list_for_each (r, &engine->queue, run, link)
          if (id_equal(r->rec->model, o->model))
            condition_broadcast(&r->changed);
      }
      task_start(&engine->world->tasks, "unload", unload_run, k);
    }
    picture(engine);
  }
  if (o->status == 202 && plan->faults.lose_order_answers > 0) {
    plan->faults.lose_order_answers--;
    http_request_end(request, false);
    return;
  }
  char text[64];
  snprintf(text, sizeof text, "{\"count\":%" PRIu64 "}", engine->orders);
  http_request_respond(request, o->status, "application/json", string_view_of(text));
}

static void serve(void *ctx, http_request *http_request_) {
  em_engine *engine = ctx;
  const dialect *dialect = engine->plan->dialect;
  if (!strcmp(http_request_->path, "/health")) {
    engine->plan->log->health++;
    fields_add(http_request_->response_fields, field(engine, DF_ENGINE_ID),
               string_view_of(engine->self.text));
    http_request_respond(http_request_,
                         engine->leaving || engine->busy_slots >= engine->plan->slots ? 503 : 200,
                         "text/plain", string_view_of(""));
  } else if (engine->plan->faults.silent &&
             dialect_matches_call(dialect, DC_REPORT, http_request_->method, http_request_->path,
                                  NULL))
    wait_gone(engine, http_request_, 60000);
  else if (dialect_matches_call(dialect, DC_REPORT, http_request_->method, http_request_->path,
                                NULL))
    report(engine, http_request_);
  else if (dialect_matches_call(dialect, DC_ENGINE_ORDER, http_request_->method,
                                http_request_->path, NULL))
    order(engine, http_request_);
  else
    request(engine, http_request_);
}

/* beats: to the address that was named, or any control listener; the next one when there is no good
 * answer within a second */
static bool beat(em_engine *engine, bool sign_off) {
  em_plan *plan = engine->plan;
  GString *b = g_string_new(NULL), *got = g_string_new(NULL);
  json_appendf(
      b,
      "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"%s\",\"slots\":%u,\"state\":\"%s\",\"coldMs\":0,\"phase\":\"both\",\"models\":",
      plan->service.text, engine->addr, plan->area.text, plan->version.text, plan->slots,
      engine->leaving ? "leaving" : "ready");
  models_json(engine, b);
  if (engine->leaving && engine->leaves_ms) {
    int64_t left = (engine->leave_at.us - world_now(engine->world).us) / 1000;
    json_appendf(b, ",\"leavesMs\":%" PRId64, MAX(0, left));
  }
  json_appendf(b, ",\"count\":%" PRIu64 "}", ++engine->count);
  char *path = em_path(plan->dialect, sign_off ? DC_LEAVE : DC_HEARTBEAT, engine->self.text);
  http_headers h = { { 0 } };
  http_headers_set(&h, HEADER_CONTENT_TYPE, "application/json");
  bool ok = false;
  size_t first = plan->controllers->len ? world_random(engine->world, plan->controllers->len) : 0;
  for (size_t i = 0; !ok && i <= plan->controllers->len && !engine->world->tasks.stopped; i++) {
    bool named = i == 0 && engine->beat_to[0];
    if (i == 0 && !named)
      continue;
    const char *to =
        named ? engine->beat_to : plan->controllers->pdata[(first + i) % plan->controllers->len];
    g_string_truncate(got, 0);
    int st = http_call_fetch(engine->world, to,
                             plan->dialect->calls[sign_off ? DC_LEAVE : DC_HEARTBEAT].method, path,
                             &h, string_view_of_gstring(b), got, time_from_ms(1000), NULL);
    ok = st >= 200 && st < 300 && got->len <= 4096;
    plan->log->beats++;
    if (!ok) {
      plan->log->beat_fails++;
      engine->beat_to[0] = 0;
      continue;
    }
    json *json = json_parse(string_view_of_gstring(got), NULL);
    const char *next = json_text(json, "beatTo", "");
    if (next[0])
      g_strlcpy(engine->beat_to, next, sizeof engine->beat_to);
    json_free(json);
  }
  http_headers_free(&h);
  g_free(path);
  g_string_free(b, TRUE);
  g_string_free(got, TRUE);
  return ok;
}

static void beat_run(void *v) {
  em_engine *engine = v;
  world_sleep(engine->world, time_from_ms((int64_t)world_random(
                                 engine->world, (uint64_t)MIN(engine->plan->beat_ms, 200) + 1)));
  while (!engine->world->tasks.stopped) {
    bool was = engine->leaving;
    if (!engine->plan->faults.no_beats && beat(engine, false) && was && !engine->end->acked.us)
      engine->end->acked = world_now(engine->world);
    if (!world_sleep(engine->world, time_from_ms(engine->plan->beat_ms)))
      break;
  }
}

static void leave_run(void *v) {
  em_engine *engine = v;
  for (int i = 0; i < 8 && !engine->end->acked.us && !engine->world->tasks.stopped; i++) {
    if (beat(engine, false)) {
      engine->end->acked = world_now(engine->world);
      break;
    }
    if (!world_sleep(engine->world, time_from_ms(200)))
      return;
  }
  if (engine->leaves_ms) {
    time_us left = time_sub(engine->leave_at, world_now(engine->world));
    if (left.us > 0 && !world_sleep(engine->world, left))
      return;
  } else {
    if (!world_sleep(engine->world, time_from_ms((engine->end->acked.us ? engine->plan->drain_ms
                                                                        : LEAVE_UNHEARD_MS) +
                                                 300)))
      return;
    for (int i = 0; i < 100 && engine->busy_slots; i++)
      if (!world_sleep(engine->world, time_from_ms(100)))
        return;
    if (!engine->plan->faults.silent_leave && beat(engine, true))
      engine->end->signed_off = world_now(engine->world);
  }
  if (!engine->world->tasks.stopped && engine->stop) {
    engine->stopped = true;
    engine->stop(engine->ctx, false);
  }
}

void em_engine_leave(em_engine *engine, int64_t leaves_ms) {
  if (engine->leaving)
    return;
  engine->leaving = engine->listener.draining = true;
  engine->leaves_ms = leaves_ms;
  engine->leave_at = time_add(world_now(engine->world), time_from_ms(leaves_ms));
  engine->end->announced_at = world_now(engine->world);
  engine->end->leaves_ms = leaves_ms;
  task_start(&engine->world->tasks, "leave", leave_run, engine);
}

em_engine *em_engine_new(world *world, em_plan *plan, error *err) {
  em_engine *engine = g_new0(em_engine, 1);
  engine->world = world;
  engine->plan = plan;
  char name[48];
  snprintf(name, sizeof name, "e-%08" PRIx64, world->random(world) & 0xffffffff);
  engine->self = id_of_text(name);
  snprintf(engine->addr, sizeof engine->addr, "%s:%d", plan->ip, plan->port);
  list_init(&engine->held);
  list_init(&engine->queue);
  list_init(&engine->running);
  condition_init(&engine->moved);
  g_queue_init(&engine->kept);
  g_queue_init(&engine->past);
  engine->listener = (http_listener){ .port = plan->port,
                                      .serve = serve,
                                      .serve_context = engine,
                                      .header_max_bytes = 64 << 10,
                                      .body_max_bytes = 8 << 20,
                                      .header_timeout_ms = 10000,
                                      .idle_timeout_ms = plan->idle_ms,
                                      .connections_max = plan->channels };
  g_strlcpy(engine->listener.ip, plan->ip, sizeof engine->listener.ip);
  if (world->listener_open(world, &engine->listener, err)) {
    g_free(engine);
    return NULL;
  }
  engine->end = g_new0(em_end, 1);
  engine->end->engine = engine->self;
  engine->end->service = plan->service;
  g_ptr_array_add(plan->log->ends, engine->end);
  for (guint i = 0; plan->first && i < plan->first->len; i++) {
    copy *c = g_new0(copy, 1);
    c->model = id_of_text(plan->first->pdata[i]);
    c->up = true;
    c->adapters = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    list_append(&engine->held, &c->link);
    g_hash_table_add(plan->disk, g_strdup(c->model.text));
  }
  picture(engine);
  task_start(&world->tasks, "beats", beat_run, engine);
  return engine;
}

void em_engine_free(em_engine *engine) {
  engine->end->ended = world_now(engine->world);
  list_for_each (c, &engine->held, copy, link)
    copy_free(c);
  g_queue_clear_full(&engine->kept, g_free);
  for (GList *l = engine->past.head; l; l = l->next) {
    snapshot *s = l->data;
    g_string_free(s->text, TRUE);
    g_free(s);
  }
  g_queue_clear(&engine->past);
  g_free(engine);
}
