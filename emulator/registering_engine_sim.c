#include "registering_engine_sim.h"
#include <stdio.h>
#include <stdlib.h>

enum { REPORT_LAG_MS = 200, DRAIN_UNACKED_MS = 6000, DISK_LOAD_TENTHS = 4, ADAPTER_LOAD_MS = 40 };

typedef struct loaded_model {
  list_node link;
  id model;
  GHashTable *adapters;
  bool loaded, unloading;
} loaded_model;
typedef struct prefix_block {
  uint64_t key;
  double tokens;
  id model;
} prefix_block;
typedef struct active_request {
  list_node link;
  registering_engine_sim *engine;
  engine_run_record *record;
  double prefill_left_tokens;
  unsigned tokens, tokens_wanted, events_sent, priority;
  uint64_t first;
  condition changed;
  GString *pending_output;
  bool admitted, prefill_done, last_event_sent;
  double kv_tokens;
  GArray *prefix_blocks;
} active_request;
typedef struct snapshot {
  time_us at;
  GString *text;
} snapshot;
typedef struct order_task {
  registering_engine_sim *engine;
  engine_order_record *order;
  double load_ms;
} order_task;

engine_record_log *engine_record_log_new(void) {
  engine_record_log *log = g_new0(engine_record_log, 1);
  log->runs = g_ptr_array_new_with_free_func(g_free);
  log->orders = g_ptr_array_new_with_free_func(g_free);
  log->stops = g_ptr_array_new_with_free_func(g_free);
  return log;
}

void engine_record_log_free(engine_record_log *log) {
  g_ptr_array_free(log->runs, TRUE);
  g_ptr_array_free(log->orders, TRUE);
  g_ptr_array_free(log->stops, TRUE);
  g_free(log);
}

void engine_response_body(GString *to, const char *request, size_t n) {
  size_t k = strlen(request);
  for (size_t i = 0; i < n; i++)
    g_string_append_c(to, i % 64 == 63 ? '\n' : request[i % (k ? k : 1)]);
}

uint64_t engine_request_checksum(const char *verb, const char *target, string_view body) {
  return hash_bytes(body.data, body.length,
                    hash_bytes(target, strlen(target), hash_bytes(verb, strlen(verb), 7)));
}

char *dialect_path_for_engine(const dialect *dialect, enum dialect_call c, const char *who) {
  const char *p = dialect->calls[c].path, *at = strstr(p, "{}");
  return at ? g_strdup_printf("%.*s%s%s", (int)(at - p), p, who, at + 2) : g_strdup(p);
}

static double slowdown_factor(const registering_engine_sim *engine) {
  return engine->plan->faults.slowdown > 0 ? engine->plan->faults.slowdown : 1;
}

static loaded_model *find_loaded_model(registering_engine_sim *engine, id model) {
  list_for_each (c, &engine->loaded_models, loaded_model, link)
    if (id_equal(c->model, model))
      return c;
  return NULL;
}

static const engine_model_spec *find_model_spec(const registering_engine_sim *engine, id name) {
  for (size_t i = 0; i < engine->plan->model_count; i++)
    if (id_equal(engine->plan->models[i].name, name))
      return &engine->plan->models[i];
  return NULL;
}

bool registering_engine_sim_has_loaded(registering_engine_sim *engine, id model, id adapter) {
  loaded_model *copy = find_loaded_model(engine, model);
  return copy && copy->loaded && !copy->unloading &&
         (id_is_empty(adapter) || g_hash_table_contains(copy->adapters, adapter.text));
}

static void models_json(registering_engine_sim *engine, GString *b) {
  bool first = true;
  g_string_append(b, "[");
  list_for_each (c, &engine->loaded_models, loaded_model, link) {
    if (!c->loaded)
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

static void report_text(registering_engine_sim *engine, GString *b) {
  g_string_append(b, "{\"phase\":\"both\",\"models\":");
  models_json(engine, b);
  json_appendf(b,
               ",\"busy\":%s,\"count\":%" PRIu64
               ",\"waiting\":%u,\"running\":%u,\"kvUsed\":%.0f,\"kvTotal\":%.0f}",
               engine->busy ? "true" : "false", engine->orders_started, engine->waiting,
               engine->busy_slots, engine->kv_in_use_tokens, engine->plan->kv_tokens);
}

/* a picture of this moment, for reports that lag */
static void take_snapshot(registering_engine_sim *engine) {
  snapshot *s = g_queue_peek_tail(&engine->snapshots);
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
  g_queue_push_tail(&engine->snapshots, s);
  while (engine->snapshots.length > 1) {
    snapshot *two = g_queue_peek_nth(&engine->snapshots, 1);
    if (now.us - two->at.us < REPORT_LAG_MS * 1000)
      break;
    s = g_queue_pop_head(&engine->snapshots);
    g_string_free(s->text, TRUE);
    g_free(s);
  }
}

static void respond_report(registering_engine_sim *engine, http_request *request) {
  engine->plan->log->reports++;
  time_us now = world_now(engine->world);
  snapshot *best = g_queue_peek_head(&engine->snapshots);
  for (GList *l = engine->snapshots.head; l; l = l->next) {
    snapshot *s = l->data;
    if (now.us - s->at.us >= REPORT_LAG_MS * 1000)
      best = s;
  }
  http_request_respond(request, 200, "application/json", string_view_of_gstring(best->text));
}

static const char *header_name(registering_engine_sim *engine, enum dialect_field f) {
  return engine->plan->dialect->header_names[f];
}

static void respond_not_run(registering_engine_sim *engine, http_request *request,
                            engine_run_record *run, char how, int status, const char *retry) {
  if (run) {
    run->outcome = how;
    run->ended_at = world_now(engine->world);
  }
  fields_add(request->response_fields, header_name(engine, DF_NOT_RUN), string_view_of("1"));
  if (run && run->request_id[0])
    fields_add(request->response_fields, header_name(engine, DF_REQUEST_ID),
               string_view_of(run->request_id));
  if (retry)
    fields_add(request->response_fields, "Retry-After", string_view_of(retry));
  http_request_respond(request, status, "text/plain", string_view_of("not run\n"));
}

/* room for tokens: what is kept and unused longest gives way */
static bool reserve_kv_cache(registering_engine_sim *engine, double need) {
  if (engine->kv_in_use_tokens + need > engine->plan->kv_tokens)
    return false;
  while (engine->kv_in_use_tokens + engine->kv_cached_tokens + need > engine->plan->kv_tokens &&
         engine->prefix_cache.length) {
    prefix_block *p = g_queue_pop_head(&engine->prefix_cache);
    engine->kv_cached_tokens -= p->tokens;
    g_free(p);
  }
  return true;
}

static void evict_model_prefixes(registering_engine_sim *engine, id model) {
  for (GList *l = engine->prefix_cache.head; l;) {
    GList *next = l->next;
    prefix_block *p = l->data;
    if (id_equal(p->model, model)) {
      engine->kv_cached_tokens -= p->tokens;
      g_queue_delete_link(&engine->prefix_cache, l);
      g_free(p);
    }
    l = next;
  }
}

/* the parts of a prompt, each named by all before it */
static GArray *parse_prefix_blocks(registering_engine_sim *engine, const engine_run_record *run,
                                   const char *prefix) {
  GArray *all = g_array_new(FALSE, TRUE, sizeof(prefix_block));
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
    prefix_block p = { key, atof(c + 1), run->model };
    g_array_append_val(all, p);
  }
  g_strfreev(v);
  return all;
}

static double count_cached_tokens(registering_engine_sim *engine, const GArray *parts) {
  double got = 0;
  for (guint i = 0; i < parts->len; i++) {
    prefix_block *p = &g_array_index(parts, prefix_block, i);
    GList *l = engine->prefix_cache.head;
    while (l && ((prefix_block *)l->data)->key != p->key)
      l = l->next;
    if (!l)
      break;
    g_queue_unlink(&engine->prefix_cache, l);
    g_queue_push_tail_link(&engine->prefix_cache, l);
    got += p->tokens;
  }
  return got;
}

static void cache_prefix_blocks(registering_engine_sim *engine, const GArray *parts) {
  for (guint i = 0; i < parts->len; i++) {
    prefix_block *p = &g_array_index(parts, prefix_block, i);
    GList *l = engine->prefix_cache.head;
    while (l && ((prefix_block *)l->data)->key != p->key)
      l = l->next;
    if (l ||
        engine->kv_in_use_tokens + engine->kv_cached_tokens + p->tokens > engine->plan->kv_tokens)
      continue;
    g_queue_push_tail(&engine->prefix_cache, g_memdup2(p, sizeof *p));
    engine->kv_cached_tokens += p->tokens;
  }
}

static void append_event(active_request *run) {
  uint64_t n = run->first + ++run->events_sent;
  run->last_event_sent = run->tokens >= run->tokens_wanted;
  g_string_append_printf(run->pending_output, "id: %" PRIu64 "\ndata: %s %" PRIu64 "%s\n\n", n,
                         run->record->run_id, n, run->last_event_sent ? " end" : "");
  condition_broadcast(&run->changed);
}

/* one step after the other while anything runs: a piece of a prompt, and a token for each that is
 * read */
static void batch_run(void *p) {
  registering_engine_sim *engine = p;
  for (;;) {
    unsigned n = 0, reading = 0;
    list_for_each (r, &engine->running, active_request, link) {
      n++;
      reading += r->prefill_left_tokens > 0;
    }
    if (!n)
      break;
    double ms = engine->plan->step_ms + engine->plan->step_per_request_ms * n,
           piece = reading ? engine->plan->prefill_tokens_per_ms * ms : 0, used = 0;
    list_for_each (r, &engine->running, active_request, link) {
      if (r->prefill_left_tokens <= 0 || used >= piece)
        continue;
      double take = MIN(r->prefill_left_tokens, piece - used);
      r->prefill_left_tokens -= take;
      used += take;
    }
    ms +=
        used / (engine->plan->prefill_tokens_per_ms > 0 ? engine->plan->prefill_tokens_per_ms : 1);
    if (!world_sleep(engine->world, (time_us){ (int64_t)(ms * slowdown_factor(engine) * 1000) }))
      break;
    list_for_each (r, &engine->running, active_request, link) {
      if (r->prefill_left_tokens > 0 || r->last_event_sent || r->tokens >= r->tokens_wanted)
        continue;
      if (!r->prefill_done) {
        r->prefill_done = true;
        cache_prefix_blocks(engine, r->prefix_blocks);
      }
      r->tokens++;
      if (r->tokens % engine->plan->event_tokens == 0 || r->tokens >= r->tokens_wanted)
        append_event(r);
    }
  }
  engine->batch_task_running = false;
}

/* lets in those that wait: the more urgent first, then who came first */
static void admit_queued(registering_engine_sim *engine) {
  while (engine->busy_slots < engine->plan->slots) {
    active_request *best = NULL;
    list_for_each (r, &engine->queue, active_request, link)
      if (!best || r->priority < best->priority)
        best = r;
    if (!best || (best->kv_tokens > 0 && !reserve_kv_cache(engine, best->kv_tokens)))
      return;
    list_remove(&best->link);
    engine->waiting--;
    engine->busy_slots++;
    engine->kv_in_use_tokens += best->kv_tokens;
    best->admitted = true;
    list_append(&engine->running, &best->link);
    condition_broadcast(&best->changed);
  }
}

static void release_request(active_request *run) {
  registering_engine_sim *engine = run->engine;
  list_remove(&run->link);
  if (run->admitted) {
    engine->busy_slots--;
    engine->kv_in_use_tokens -= run->kv_tokens;
  } else
    engine->waiting--;
  g_string_free(run->pending_output, TRUE);
  g_array_free(run->prefix_blocks, TRUE);
  admit_queued(engine);
  take_snapshot(engine);
  condition_broadcast(&engine->state_changed);
}

static bool wait_client_gone(registering_engine_sim *engine, http_request *request, int64_t ms) {
  time_us until = time_add(world_now(engine->world), time_from_ms(ms));
  while (!request->client_gone && world_now(engine->world).us < until.us)
    if (condition_wait(&engine->world->tasks, &request->drained, until) == WAKE_STOPPED)
      return false;
  return true;
}

static void add_response_headers(registering_engine_sim *engine, http_request *request,
                                 const engine_run_record *run) {
  fields_add(request->response_fields, header_name(engine, DF_REQUEST_ID),
             string_view_of(run->request_id));
  fields_add(request->response_fields, header_name(engine, DF_STAMP), string_view_of(run->run_id));
  fields_add(request->response_fields, header_name(engine, DF_ENGINE_ID),
             string_view_of(engine->self.text));
  if (engine->plan->model_count)
    fields_add(request->response_fields, header_name(engine, DF_WEIGHT_VERSIONS),
               string_view_of("1"));
  if (engine->plan->idle_timeout_ms)
    fields_add_format(request->response_fields, "Keep-Alive", "timeout=%" PRId64,
                      engine->plan->idle_timeout_ms / 1000);
}

/* an answer of an earlier request, or bytes that are none, in the place of the answer that is due
 */
static void send_stray_bytes(registering_engine_sim *engine, http_request *request, bool after) {
  registering_engine_faults *faults = &engine->plan->faults;
  int *which = after ? &faults->extra_responses : &faults->stale_responses;
  if (!engine->send_stray_response || !engine->last_request[0])
    return;
  if (*which > 0) {
    (*which)--;
    fields *fields = g_string_new(NULL);
    GString *b = g_string_new(NULL);
    fields_add(fields, header_name(engine, DF_REQUEST_ID), string_view_of(engine->last_request));
    fields_add(fields, header_name(engine, DF_STAMP), string_view_of(engine->last_stamp));
    engine_response_body(b, engine->last_request, engine->last_bytes);
    engine->send_stray_response(request, 200, fields, string_view_of_gstring(b));
    g_string_free(fields, TRUE);
    g_string_free(b, TRUE);
  } else if (!after && faults->garbage_responses > 0) {
    faults->garbage_responses--;
    engine->send_stray_response(request, 0, NULL, string_view_of("\x01\x02 no answer \r\n\r\n"));
  }
}

static void serve_plain(registering_engine_sim *engine, http_request *request, active_request *run,
                        time_us ends) {
  engine_run_record *rec = run->record;
  registering_engine_faults *faults = &engine->plan->faults;
  time_us done =
      time_add(world_now(engine->world),
               time_from_ms((int64_t)((double)engine->plan->work_ms * slowdown_factor(engine))));
  while (world_now(engine->world).us < done.us && world_now(engine->world).us < ends.us &&
         !request->client_gone)
    if (condition_wait(&engine->world->tasks, &request->drained, done.us < ends.us ? done : ends) ==
        WAKE_STOPPED) {
      rec->outcome = 'b';
      return;
    }
  rec->ended_at = world_now(engine->world);
  if (request->client_gone) {
    rec->outcome = 'c';
    return;
  }
  add_response_headers(engine, request, rec);
  if (world_now(engine->world).us < done.us) {
    rec->outcome = 't';
    http_request_respond(request, 504, "text/plain", string_view_of("out of time\n"));
    return;
  }
  json *json = json_parse(string_view_of_gstring(request->body), NULL);
  size_t n = (size_t)json_number(json, "bytes", 800);
  json_free(json);
  if (faults->lose_responses > 0) {
    faults->lose_responses--;
    rec->outcome = 'b';
    wait_client_gone(engine, request, 20000);
    return;
  }
  send_stray_bytes(engine, request, false);
  GString *b = g_string_new(NULL);
  engine_response_body(b, rec->request_id, n);
  if (faults->truncate_responses > 0) {
    faults->truncate_responses--;
    rec->outcome = 'b';
    http_request_begin(request, 200, "text/plain");
    http_request_write(request, (string_view){ b->str, b->len / 2 },
                       time_add(world_now(engine->world), time_from_ms(2000)));
    http_request_end(request, false);
  } else {
    rec->outcome = 'd';
    http_request_respond(request, 200, "text/plain", string_view_of_gstring(b));
    send_stray_bytes(engine, request, true);
    g_strlcpy(engine->last_request, rec->request_id, sizeof engine->last_request);
    g_strlcpy(engine->last_stamp, rec->run_id, sizeof engine->last_stamp);
    engine->last_bytes = n;
  }
  g_string_free(b, TRUE);
}

static void serve_stream(registering_engine_sim *engine, http_request *request, active_request *run,
                         time_us ends) {
  engine_run_record *rec = run->record;
  registering_engine_faults *faults = &engine->plan->faults;
  bool began = false, lose = false, dead = false;
  bool cut = faults->truncate_responses > 0;
  if (cut)
    faults->truncate_responses--;
  else if (faults->lose_responses > 0) {
    faults->lose_responses--;
    lose = true;
  }
  if (!engine->batch_task_running && run->tokens < run->tokens_wanted) {
    engine->batch_task_running = true;
    task_start(&engine->world->tasks, "batch", batch_run, engine);
  }
  rec->outcome = 'r';
  if (run->tokens >= run->tokens_wanted) {
    /* taken up again behind its last event */
    rec->outcome = 'd';
    rec->ended_at = world_now(engine->world);
    add_response_headers(engine, request, rec);
    http_request_respond(request, 200, "text/event-stream", string_view_of(""));
    return;
  }
  request->client_gone_condition = &run->changed;
  while (!request->client_gone) {
    if (!run->pending_output->len) {
      enum wake y = condition_wait(&engine->world->tasks, &run->changed, ends);
      if (y == WAKE_STOPPED) {
        dead = true;
        break;
      }
      if (y == WAKE_TIMEOUT) {
        rec->outcome = 't';
        break;
      }
      continue;
    }
    if (lose) {
      g_string_truncate(run->pending_output, 0);
      if (run->last_event_sent) {
        wait_client_gone(engine, request, 20000);
        rec->outcome = 'b';
        break;
      }
      continue;
    }
    if (!began) {
      began = true;
      add_response_headers(engine, request, rec);
      http_request_begin(request, 200, "text/event-stream");
    }
    rec->events = run->events_sent;
    rec->last_event = (unsigned)(run->first + run->events_sent);
    rec->last_event_at = world_now(engine->world);
    if (http_request_write(request, string_view_of_gstring(run->pending_output), ends))
      break;
    g_string_truncate(run->pending_output, 0);
    if (run->last_event_sent) {
      rec->outcome = 'd';
      break;
    }
    if (cut && run->events_sent >= faults->truncate_after_events) {
      rec->outcome = 'b';
      break;
    }
  }
  request->client_gone_condition = NULL;
  rec->ended_at = world_now(engine->world);
  if (dead)
    rec->outcome = 'b';
  else if (request->client_gone && rec->outcome == 'r')
    rec->outcome = 'c';
  if (rec->outcome == 't' && !began) {
    add_response_headers(engine, request, rec);
    http_request_respond(request, 504, "text/plain", string_view_of("out of time\n"));
  } else
    http_request_end(request, rec->outcome == 'd');
}

static void request(registering_engine_sim *engine, http_request *http_request_) {
  registering_engine_plan *plan = engine->plan;
  engine_run_record *rec = g_new0(engine_run_record, 1);
  g_ptr_array_add(plan->log->runs, rec);
  rec->received_at = world_now(engine->world);
  rec->engine = engine->self;
  rec->service = plan->service;
  g_strlcpy(rec->from, http_request_->client_address, sizeof rec->from);
  g_strlcpy(rec->target, http_request_->target, sizeof rec->target);
  rec->request_checksum = engine_request_checksum(http_request_->method, http_request_->target,
                                                  string_view_of_gstring(http_request_->body));
  string_view v;
  if (fields_get(http_request_->fields, header_name(engine, DF_REQUEST_ID), &v))
    g_strlcpy(rec->request_id, id_of(v).text, sizeof rec->request_id);
  if (header_name(engine, DF_POLICY) &&
      fields_get(http_request_->fields, header_name(engine, DF_POLICY), &v))
    memcpy(rec->policy, v.data, MIN(v.length, sizeof rec->policy - 1));
  if (header_name(engine, DF_SESSION) &&
      fields_get(http_request_->fields, header_name(engine, DF_SESSION), &v))
    memcpy(rec->session, v.data, MIN(v.length, sizeof rec->session - 1));
  char *model = fields_dup(http_request_->fields, header_name(engine, DF_MODEL)),
       *prefix = fields_dup(http_request_->fields, header_name(engine, DF_PREFIX)),
       *tokens = fields_dup(http_request_->fields, header_name(engine, DF_TOKENS));
  char *slash = model ? strchr(model, '/') : NULL;
  if (slash) {
    *slash = 0;
    rec->adapter = id_of_text(slash + 1);
  }
  if (model)
    rec->model = id_of_text(model);
  int64_t left =
      fields_get_number(http_request_->fields, header_name(engine, DF_TIME_LEFT_MS), 60000);
  time_us ends = time_add(rec->received_at, time_from_ms(left));
  double in = 0, out = 1;
  if (tokens)
    sscanf(tokens, "%lf,%lf", &in, &out);
  g_free(tokens);
  g_free(model);
  loaded_model *copy = find_loaded_model(engine, rec->model);
  bool streams = plan->model_count > 0;
  if (!rec->request_id[0])
    respond_not_run(engine, http_request_, rec, 'n', 400, NULL);
  else if (fields_get(http_request_->fields, header_name(engine, DF_EXPECT_ENGINE), &v) &&
           !string_view_equal(v, string_view_of(engine->self.text)))
    respond_not_run(engine, http_request_, rec, 'x', 421, NULL);
  else if (streams && !copy)
    respond_not_run(engine, http_request_, rec, 'x', 421, NULL);
  else if (streams && (!copy->loaded || copy->unloading))
    respond_not_run(engine, http_request_, rec, 'n', 503, "0.5");
  else if (streams && !id_is_empty(rec->adapter) &&
           !g_hash_table_contains(copy->adapters, rec->adapter.text))
    respond_not_run(engine, http_request_, rec, 'x', 421, NULL);
  else if (plan->faults.unresponsive)
    wait_client_gone(engine, http_request_, 60000);
  else if (left <= 0 || (engine->busy_slots >= plan->slots && engine->waiting >= plan->queue) ||
           in + out > (streams ? plan->kv_tokens : 1e18))
    respond_not_run(engine, http_request_, rec, 'n', 503, "0.2");
  if (http_request_->response_ended || plan->faults.unresponsive) {
    if (!rec->outcome) {
      rec->outcome = 'q';
      rec->ended_at = world_now(engine->world);
    }
    g_free(prefix);
    return;
  }
  active_request r = { .engine = engine,
                       .record = rec,
                       .tokens_wanted = (unsigned)MAX(1, out),
                       .pending_output = g_string_new(NULL),
                       .prefix_blocks = parse_prefix_blocks(engine, rec, streams ? prefix : NULL) };
  g_free(prefix);
  r.priority =
      (unsigned)fields_get_number(http_request_->fields, header_name(engine, DF_PRIORITY), 5);
  r.first = rec->resumed_after =
      (uint64_t)fields_get_number(http_request_->fields, header_name(engine, DF_LAST_EVENT_ID), 0);
  r.tokens = (unsigned)MIN(r.first * plan->event_tokens, (uint64_t)r.tokens_wanted);
  r.kv_tokens = streams ? in + out : 0;
  condition_init(&r.changed);
  list_append(&engine->queue, &r.link);
  engine->waiting++;
  http_request_->client_gone_condition = &r.changed;
  admit_queued(engine);
  while (!r.admitted && !http_request_->client_gone) {
    enum wake y = condition_wait(&engine->world->tasks, &r.changed, ends);
    if (r.admitted)
      break;
    copy = find_loaded_model(engine, rec->model);
    if (y == WAKE_STOPPED || y == WAKE_TIMEOUT || (streams && (!copy || copy->unloading)))
      break;
  }
  http_request_->client_gone_condition = NULL;
  if (!r.admitted) {
    bool dead = engine->world->tasks.stopped;
    if (dead || http_request_->client_gone) {
      rec->outcome = 'q';
      rec->ended_at = world_now(engine->world);
    } else
      respond_not_run(engine, http_request_, rec, 'n', 503, "0.2");
    release_request(&r);
    return;
  }
  rec->started_at = world_now(engine->world);
  rec->outcome = 'r';
  snprintf(rec->run_id, sizeof rec->run_id, "%s.%" PRIu64, engine->self.text,
           ++engine->runs_started);
  rec->cached_tokens = count_cached_tokens(engine, r.prefix_blocks);
  r.prefill_left_tokens = rec->prefill_tokens = MAX(1, in - rec->cached_tokens);
  take_snapshot(engine);
  if (plan->faults.intermittent_failures > 0 &&
      (double)world_random(engine->world, 1000000) < plan->faults.intermittent_failures * 1e6) {
    world_sleep(engine->world, time_from_ms(5));
    rec->outcome = 'f';
    rec->ended_at = world_now(engine->world);
    add_response_headers(engine, http_request_, rec);
    http_request_respond(http_request_, 500, "text/plain", string_view_of("failed\n"));
  } else if (streams)
    serve_stream(engine, http_request_, &r, ends);
  else
    serve_plain(engine, http_request_, &r, ends);
  release_request(&r);
}

/* orders */
static void finish_order(registering_engine_sim *engine) {
  engine->busy = false;
  take_snapshot(engine);
  condition_broadcast(&engine->state_changed);
}

static void load_run(void *v) {
  order_task *k = v;
  registering_engine_sim *engine = k->engine;
  engine_order_record *order = k->order;
  if (order->from_store)
    engine->plan->store->loading++;
  double share =
      order->from_store
          ? MAX(1, (double)engine->plan->store->loading / engine->plan->store->full_speed_loads)
          : 1;
  bool ok = world_sleep(
      engine->world,
      (time_us){ (int64_t)(k->load_ms * share *
                           (1 + 0.3 * engine->busy_slots / engine->plan->slots) * 1000) });
  if (order->from_store)
    engine->plan->store->loading--;
  loaded_model *copy = find_loaded_model(engine, order->model);
  if (ok && copy) {
    if (id_is_empty(order->adapter)) {
      copy->loaded = true;
      g_hash_table_add(engine->plan->models_on_disk, g_strdup(order->model.text));
    } else
      g_hash_table_add(copy->adapters, g_strdup(order->adapter.text));
  }
  if (ok)
    finish_order(engine);
  g_free(k);
}

static void loaded_model_free(loaded_model *copy) {
  list_remove(&copy->link);
  g_hash_table_destroy(copy->adapters);
  g_free(copy);
}

/* the runs of a model, or of one adapter of it */
static int count_running(registering_engine_sim *engine, id model, id adapter) {
  int n = 0;
  list_for_each (r, &engine->running, active_request, link)
    n += id_equal(r->record->model, model) &&
         (id_is_empty(adapter) || id_equal(r->record->adapter, adapter));
  return n;
}

static void unload_run(void *v) {
  order_task *k = v;
  registering_engine_sim *engine = k->engine;
  engine_order_record *order = k->order;
  bool dead = false;
  loaded_model *copy;
  while (count_running(engine, order->model, order->adapter) && !dead)
    dead = condition_wait(&engine->world->tasks, &engine->state_changed,
                          time_add(world_now(engine->world), time_from_ms(200))) == WAKE_STOPPED;
  if (!dead)
    dead = !world_sleep(engine->world, time_from_ms(20));
  if (!dead && (copy = find_loaded_model(engine, order->model))) {
    if (id_is_empty(order->adapter)) {
      evict_model_prefixes(engine, order->model);
      loaded_model_free(copy);
    } else {
      g_hash_table_remove(copy->adapters, order->adapter.text);
      copy->unloading = false;
    }
  }
  if (!dead)
    finish_order(engine);
  g_free(k);
}

static void sum_loaded(registering_engine_sim *engine, double *used_mb, unsigned *slots) {
  *used_mb = 0;
  *slots = 0;
  list_for_each (c, &engine->loaded_models, loaded_model, link) {
    const engine_model_spec *m = find_model_spec(engine, c->model);
    *used_mb += m->weights_mb + g_hash_table_size(c->adapters) * m->adapter_mb;
    *slots += g_hash_table_size(c->adapters);
  }
}

/* an order that is under way already is being done, and not counted again */
static bool is_same_order(const engine_order_record *a, const engine_order_record *b) {
  return a->op == b->op && id_equal(a->model, b->model) && id_equal(a->adapter, b->adapter);
}

static void handle_order(registering_engine_sim *engine, http_request *request) {
  registering_engine_plan *plan = engine->plan;
  if (plan->faults.late_orders > 0) {
    plan->faults.late_orders--;
    if (!world_sleep(engine->world, time_from_ms(plan->faults.late_order_ms)))
      return;
  }
  json *json = json_parse(string_view_of_gstring(request->body), NULL);
  engine_order_record *o = g_new0(engine_order_record, 1);
  const char *op = json_text(json, "op", "");
  o->received_at = world_now(engine->world);
  o->engine = engine->self;
  o->service = plan->service;
  o->model = id_of_text(json_text(json, "model", ""));
  o->adapter = id_of_text(json_text(json, "adapter", ""));
  o->holder = id_of_text(json_text(json, "holder", ""));
  o->fencing_token = json_get(json, "fence") ? (int64_t)json_number(json, "fence", 0) : -1;
  o->op = !strcmp(op, "load") ? 'l' : !strcmp(op, "unload") ? 'u' : '?';
  o->after_freeze = engine->unfrozen_at.us && o->received_at.us < engine->unfrozen_at.us + 20000;
  double expect = json_number(json, "expect", -1);
  json_free(json);
  g_ptr_array_add(plan->log->orders, o);
  const engine_model_spec *m = find_model_spec(engine, o->model);
  loaded_model *c = find_loaded_model(engine, o->model);
  bool ad = !id_is_empty(o->adapter),
       has = c && (!ad || g_hash_table_contains(c->adapters, o->adapter.text));
  string_view v;
  if (plan->faults.drop_orders > 0) {
    plan->faults.drop_orders--;
    o->status = -1;
    http_request_end(request, false);
    return;
  }
  if (fields_get(request->fields, header_name(engine, DF_EXPECT_ENGINE), &v) &&
      !string_view_equal(v, string_view_of(engine->self.text)))
    o->status = 421;
  else if (o->op == '?' || id_is_empty(o->holder) || o->fencing_token < 0 || !m)
    o->status = 400;
  else if (plan->faults.fenced && o->fencing_token < engine->fencing_token)
    o->status = 412;
  else if (expect >= 0 && (uint64_t)expect != engine->orders_started)
    o->status = 409;
  else if (engine->busy)
    o->status = is_same_order(engine->current, o) ? 202 : 409;
  else if (o->op == 'l' ? has && c->loaded : !has)
    o->status = 200;
  else if (o->op == 'l' && ad && !(c && c->loaded))
    o->status = 421;
  else
    o->status = 202;
  if (o->status == 202 || o->status == 200)
    engine->fencing_token = MAX(engine->fencing_token, o->fencing_token);
  if (o->status == 202 && !engine->busy) {
    engine->busy = o->started = true;
    engine->current = o;
    engine->orders_started++;
    order_task *k = g_new0(order_task, 1);
    *k = (order_task){ engine, o, 0 };
    if (o->op == 'l') {
      double used_mb;
      unsigned slots;
      sum_loaded(engine, &used_mb, &slots);
      o->over_capacity = used_mb + (ad ? m->adapter_mb : m->weights_mb) > plan->weights_mb ||
                         slots + ad > plan->adapter_slots;
      bool known = g_hash_table_contains(plan->models_on_disk, o->model.text);
      o->from_store = !ad && !known;
      k->load_ms = ad ? (plan->adapter_ms ? plan->adapter_ms : ADAPTER_LOAD_MS)
                      : m->load_ms * (known ? DISK_LOAD_TENTHS : 10) / 10;
      if (!ad) {
        c = g_new0(loaded_model, 1);
        c->model = o->model;
        c->adapters = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        list_append(&engine->loaded_models, &c->link);
      }
      if (o->over_capacity && engine->stop) {
        g_free(k);
        engine->stopped = true;
        engine->stop(engine->context, true);
        http_request_end(request, false);
        return;
      }
      task_start(&engine->world->tasks, "load", load_run, k);
    } else {
      if (!ad) {
        c->unloading = true;
        list_for_each (r, &engine->queue, active_request, link)
          if (id_equal(r->record->model, o->model))
            condition_broadcast(&r->changed);
      }
      task_start(&engine->world->tasks, "unload", unload_run, k);
    }
    take_snapshot(engine);
  }
  if (o->status == 202 && plan->faults.lose_order_responses > 0) {
    plan->faults.lose_order_responses--;
    http_request_end(request, false);
    return;
  }
  char text[64];
  snprintf(text, sizeof text, "{\"count\":%" PRIu64 "}", engine->orders_started);
  http_request_respond(request, o->status, "application/json", string_view_of(text));
}

static void serve(void *ctx, http_request *http_request_) {
  registering_engine_sim *engine = ctx;
  const dialect *dialect = engine->plan->dialect;
  if (!strcmp(http_request_->path, "/health")) {
    engine->plan->log->health_checks++;
    fields_add(http_request_->response_fields, header_name(engine, DF_ENGINE_ID),
               string_view_of(engine->self.text));
    http_request_respond(http_request_,
                         engine->draining || engine->busy_slots >= engine->plan->slots ? 503 : 200,
                         "text/plain", string_view_of(""));
  } else if (engine->plan->faults.unresponsive &&
             dialect_matches_call(dialect, DC_REPORT, http_request_->method, http_request_->path,
                                  NULL))
    wait_client_gone(engine, http_request_, 60000);
  else if (dialect_matches_call(dialect, DC_REPORT, http_request_->method, http_request_->path,
                                NULL))
    respond_report(engine, http_request_);
  else if (dialect_matches_call(dialect, DC_ENGINE_ORDER, http_request_->method,
                                http_request_->path, NULL))
    handle_order(engine, http_request_);
  else
    request(engine, http_request_);
}

/* beats: to the address that was named, or any control listener; the next one when there is no good
 * answer within a second */
static bool send_heartbeat(registering_engine_sim *engine, bool sign_off) {
  registering_engine_plan *plan = engine->plan;
  GString *b = g_string_new(NULL), *got = g_string_new(NULL);
  json_appendf(
      b,
      "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"%s\",\"slots\":%u,\"state\":\"%s\",\"coldMs\":0,\"phase\":\"both\",\"models\":",
      plan->service.text, engine->addr, plan->area.text, plan->version.text, plan->slots,
      engine->draining ? "leaving" : "ready");
  models_json(engine, b);
  if (engine->draining && engine->drain_notice_ms) {
    int64_t left = (engine->drain_ends_at.us - world_now(engine->world).us) / 1000;
    json_appendf(b, ",\"leavesMs\":%" PRId64, MAX(0, left));
  }
  json_appendf(b, ",\"count\":%" PRIu64 "}", ++engine->heartbeat_sequence);
  char *path =
      dialect_path_for_engine(plan->dialect, sign_off ? DC_LEAVE : DC_HEARTBEAT, engine->self.text);
  http_headers h = { { 0 } };
  http_headers_set(&h, HEADER_CONTENT_TYPE, "application/json");
  bool ok = false;
  size_t first = plan->controllers->len ? world_random(engine->world, plan->controllers->len) : 0;
  for (size_t i = 0; !ok && i <= plan->controllers->len && !engine->world->tasks.stopped; i++) {
    bool named = i == 0 && engine->heartbeat_address[0];
    if (i == 0 && !named)
      continue;
    const char *to = named ? engine->heartbeat_address
                           : plan->controllers->pdata[(first + i) % plan->controllers->len];
    g_string_truncate(got, 0);
    int st = http_call_fetch(engine->world, to,
                             plan->dialect->calls[sign_off ? DC_LEAVE : DC_HEARTBEAT].method, path,
                             &h, string_view_of_gstring(b), got, time_from_ms(1000), NULL);
    ok = st >= 200 && st < 300 && got->len <= 4096;
    plan->log->heartbeats++;
    if (!ok) {
      plan->log->heartbeats_failed++;
      engine->heartbeat_address[0] = 0;
      continue;
    }
    json *json = json_parse(string_view_of_gstring(got), NULL);
    const char *next = json_text(json, "beatTo", "");
    if (next[0])
      g_strlcpy(engine->heartbeat_address, next, sizeof engine->heartbeat_address);
    json_free(json);
  }
  http_headers_free(&h);
  g_free(path);
  g_string_free(b, TRUE);
  g_string_free(got, TRUE);
  return ok;
}

static void heartbeat_run(void *v) {
  registering_engine_sim *engine = v;
  world_sleep(engine->world,
              time_from_ms((int64_t)world_random(
                  engine->world, (uint64_t)MIN(engine->plan->heartbeat_ms, 200) + 1)));
  while (!engine->world->tasks.stopped) {
    bool was = engine->draining;
    if (!engine->plan->faults.no_heartbeats && send_heartbeat(engine, false) && was &&
        !engine->stop_record->acked_at.us)
      engine->stop_record->acked_at = world_now(engine->world);
    if (!world_sleep(engine->world, time_from_ms(engine->plan->heartbeat_ms)))
      break;
  }
}

static void drain_run(void *v) {
  registering_engine_sim *engine = v;
  for (int i = 0; i < 8 && !engine->stop_record->acked_at.us && !engine->world->tasks.stopped;
       i++) {
    if (send_heartbeat(engine, false)) {
      engine->stop_record->acked_at = world_now(engine->world);
      break;
    }
    if (!world_sleep(engine->world, time_from_ms(200)))
      return;
  }
  if (engine->drain_notice_ms) {
    time_us left = time_sub(engine->drain_ends_at, world_now(engine->world));
    if (left.us > 0 && !world_sleep(engine->world, left))
      return;
  } else {
    if (!world_sleep(engine->world,
                     time_from_ms((engine->stop_record->acked_at.us ? engine->plan->drain_ms
                                                                    : DRAIN_UNACKED_MS) +
                                  300)))
      return;
    for (int i = 0; i < 100 && engine->busy_slots; i++)
      if (!world_sleep(engine->world, time_from_ms(100)))
        return;
    if (!engine->plan->faults.no_sign_off && send_heartbeat(engine, true))
      engine->stop_record->signed_off_at = world_now(engine->world);
  }
  if (!engine->world->tasks.stopped && engine->stop) {
    engine->stopped = true;
    engine->stop(engine->context, false);
  }
}

void registering_engine_sim_drain(registering_engine_sim *engine, int64_t leaves_ms) {
  if (engine->draining)
    return;
  engine->draining = engine->listener.draining = true;
  engine->drain_notice_ms = leaves_ms;
  engine->drain_ends_at = time_add(world_now(engine->world), time_from_ms(leaves_ms));
  engine->stop_record->announced_at = world_now(engine->world);
  engine->stop_record->drain_notice_ms = leaves_ms;
  task_start(&engine->world->tasks, "leave", drain_run, engine);
}

registering_engine_sim *registering_engine_sim_new(world *world, registering_engine_plan *plan,
                                                   error *err) {
  registering_engine_sim *engine = g_new0(registering_engine_sim, 1);
  engine->world = world;
  engine->plan = plan;
  char name[48];
  snprintf(name, sizeof name, "e-%08" PRIx64, world->random(world) & 0xffffffff);
  engine->self = id_of_text(name);
  snprintf(engine->addr, sizeof engine->addr, "%s:%d", plan->ip, plan->port);
  list_init(&engine->loaded_models);
  list_init(&engine->queue);
  list_init(&engine->running);
  condition_init(&engine->state_changed);
  g_queue_init(&engine->prefix_cache);
  g_queue_init(&engine->snapshots);
  engine->listener = (http_listener){ .port = plan->port,
                                      .serve = serve,
                                      .serve_context = engine,
                                      .header_max_bytes = 64 << 10,
                                      .body_max_bytes = 8 << 20,
                                      .header_timeout_ms = 10000,
                                      .idle_timeout_ms = plan->idle_timeout_ms,
                                      .connections_max = plan->connections_max };
  g_strlcpy(engine->listener.ip, plan->ip, sizeof engine->listener.ip);
  if (world->listener_open(world, &engine->listener, err)) {
    g_free(engine);
    return NULL;
  }
  engine->stop_record = g_new0(engine_stop_record, 1);
  engine->stop_record->engine = engine->self;
  engine->stop_record->service = plan->service;
  g_ptr_array_add(plan->log->stops, engine->stop_record);
  for (guint i = 0; plan->initial_models && i < plan->initial_models->len; i++) {
    loaded_model *c = g_new0(loaded_model, 1);
    c->model = id_of_text(plan->initial_models->pdata[i]);
    c->loaded = true;
    c->adapters = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    list_append(&engine->loaded_models, &c->link);
    g_hash_table_add(plan->models_on_disk, g_strdup(c->model.text));
  }
  take_snapshot(engine);
  task_start(&world->tasks, "beats", heartbeat_run, engine);
  return engine;
}

void registering_engine_sim_free(registering_engine_sim *engine) {
  engine->stop_record->ended_at = world_now(engine->world);
  list_for_each (c, &engine->loaded_models, loaded_model, link)
    loaded_model_free(c);
  g_queue_clear_full(&engine->prefix_cache, g_free);
  for (GList *l = engine->snapshots.head; l; l = l->next) {
    snapshot *s = l->data;
    g_string_free(s->text, TRUE);
    g_free(s);
  }
  g_queue_clear(&engine->snapshots);
  g_free(engine);
}
