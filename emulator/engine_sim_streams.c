/** Runs of a simulated engine: event streams with one token per event, at a fixed rate. */
#include "engine_sim_internal.h"
#include <stdio.h>

enum {
  CACHED_PREFIXES = 16,
  STREAMS_MAX = 64,           /* when no fault sets another limit */
  TOKEN_MS = 30,              /* when no fault sets another interval */
  UNCACHED_PREFIX_FACTOR = 4, /* time to the first token of an uncached prefix, in token times */
  TOKENS_DEFAULT = 8,
  WRITE_TIMEOUT_MS = 10000,
};

/* a run in progress */
typedef struct engine_run {
  engine_sim *engine;
  http_request *request;
  guint index; /* of its record in engine->streams */
  id model, adapter;
  char attempt[96];
  char tag[96]; /* as written to events; the fault wrong_attempt_echo replaces it by another */
  int tokens_wanted, tokens;
  int64_t token_ms;
  bool is_prefix_cached;
} engine_run;

/* returns whether a prefix was cached, and caches it as the most recently used */
static bool use_prefix(engine_sim *engine, const char *prefix) {
  if (!prefix[0])
    return false;
  for (GList *link = engine->prefixes.head; link; link = link->next) {
    if (strcmp(link->data, prefix))
      continue;
    g_queue_unlink(&engine->prefixes, link);
    g_queue_push_tail_link(&engine->prefixes, link);
    engine->prefix_hits++;
    return true;
  }
  g_queue_push_tail(&engine->prefixes, g_strdup(prefix));
  if (engine->prefixes.length > CACHED_PREFIXES)
    g_free(g_queue_pop_head(&engine->prefixes));
  return false;
}

/* parses a request into a run and its record */
static engine_run parse_run(engine_sim *engine, http_request *request, engine_sim_stream *record) {
  const engine_faults *faults = &engine->faults;
  const char *attempt = request->known_fields.values[HEADER_ATTEMPT];
  json *body = json_parse(string_view_of_gstring(request->body), NULL);
  engine_run run = { .engine = engine, .request = request };
  *record =
      (engine_sim_stream){ .started_at = world_now(engine->world), .outcome = ENGINE_SIM_RUNNING };
  if (!attempt)
    attempt = "none";
  g_strlcpy(record->attempt, faults->wrong_attempt_echo ? "another.1" : attempt,
            sizeof record->attempt);
  g_strlcpy(record->tag, json_text(body, "tag", ""), sizeof record->tag);
  record->model = run.model = id_of_text(json_text(body, "model", ""));
  record->adapter = run.adapter = id_of_text(json_text(body, "adapter", ""));
  g_strlcpy(run.attempt, record->attempt, sizeof run.attempt);
  g_strlcpy(run.tag, faults->wrong_attempt_echo ? "another-1" : record->tag, sizeof run.tag);
  run.tokens_wanted = (int)json_number(body, "tokens", TOKENS_DEFAULT);
  run.is_prefix_cached = use_prefix(engine, json_text(body, "prefix", ""));
  run.token_ms = faults->token_ms ? faults->token_ms : TOKEN_MS;
  json_free(body);
  return run;
}

static bool is_up(const engine_sim_item *item) {
  return item && item->state == ENGINE_SIM_UP;
}

static void refuse_run(engine_sim *engine, http_request *request, const engine_sim_stream *record,
                       bool is_loaded) {
  engine_sim_refusal refusal = { .refused_at = record->started_at };
  g_strlcpy(refusal.tag, record->tag, sizeof refusal.tag);
  g_array_append_val(engine->refusals, refusal);
  engine_sim_write_record(engine, 'N', refusal.tag);
  engine_sim_respond(request, is_loaded ? 503 : 409,
                     is_loaded ? "too many streams" : "not loaded here");
}

/* changes the counts of running streams of the engine, and of the adapter and its model if they are
 * still in memory */
static void adjust_running_counts(const engine_run *run, int change) {
  engine_sim *engine = run->engine;
  engine_sim_item *item = engine_sim_find_item(engine, run->model, run->adapter);
  engine_sim_item *model = engine_sim_find_item(engine, run->model, id_of_text(""));
  engine->running += change;
  if (item)
    item->running += change;
  if (model && model != item)
    model->running += change;
}

static void count_served(engine_sim_item *model, engine_sim_item *item) {
  item->served++;
  if (model != item)
    model->served++;
}

/* fault: the run starts, but gets no response; from then on the engine refuses all runs */
static void leave_run_unanswered(const engine_run *run) {
  engine_sim *engine = run->engine;
  engine->faults.unanswered_runs--;
  engine->faults.streams_max = -1;
  g_array_index(engine->streams, engine_sim_stream, run->index).outcome = ENGINE_SIM_BROKEN;
  adjust_running_counts(run, -1);
  http_request_end(run->request, false);
}

static bool write_event(const engine_run *run, const char *event) {
  time_us until = time_add(world_now(run->engine->world), time_from_ms(WRITE_TIMEOUT_MS));
  return http_request_write(run->request, string_view_of(event), until) == OK;
}

static bool write_start(const engine_run *run) {
  char event[400];
  snprintf(event, sizeof event,
           "event: start\ndata: {\"attempt\":\"%s\",\"engine\":\"%s\",\"tag\":\"%s\"}\n\n",
           run->attempt, run->engine->self.text, run->tag);
  return write_event(run, event);
}

static bool write_token(const engine_run *run) {
  char event[400];
  snprintf(event, sizeof event, "data: {\"tag\":\"%s\",\"attempt\":\"%s\",\"i\":%d}\n\n", run->tag,
           run->attempt, run->tokens);
  return write_event(run, event);
}

static bool write_done(const engine_run *run) {
  char event[400];
  snprintf(event, sizeof event,
           "event: done\ndata: {\"attempt\":\"%s\",\"tag\":\"%s\",\"tokens\":%d}\n\n", run->attempt,
           run->tag, run->tokens);
  return write_event(run, event);
}

/* writes all events; returns how the stream ended */
static enum engine_sim_outcome write_stream(engine_run *run) {
  engine_sim *engine = run->engine;
  int64_t prefill_ms =
      run->is_prefix_cached ? run->token_ms : run->token_ms * UNCACHED_PREFIX_FACTOR;
  http_request_begin(run->request, 200, "text/event-stream");
  if (!write_start(run) || !world_sleep(engine->world, time_from_ms(prefill_ms)))
    return ENGINE_SIM_CUT;
  for (; run->tokens < run->tokens_wanted; run->tokens++) {
    if (engine->faults.break_after > 0 && run->tokens >= engine->faults.break_after)
      return ENGINE_SIM_BROKEN;
    if (run->request->client_gone || !world_sleep(engine->world, time_from_ms(run->token_ms)))
      return ENGINE_SIM_CUT;
    if (!write_token(run)) {
      run->tokens++;
      return ENGINE_SIM_CUT;
    }
  }
  return write_done(run) ? ENGINE_SIM_DONE : ENGINE_SIM_CUT;
}

static void end_run(const engine_run *run, enum engine_sim_outcome outcome) {
  engine_sim *engine = run->engine;
  engine->cut_streams += outcome == ENGINE_SIM_CUT;
  http_request_end(run->request, outcome == ENGINE_SIM_DONE);
  engine_sim_stream *record = &g_array_index(engine->streams, engine_sim_stream, run->index);
  record->outcome = outcome;
  record->tokens = run->tokens;
  record->ended_at = world_now(engine->world);
  adjust_running_counts(run, -1);
}

void engine_sim_serve_run(engine_sim *engine, http_request *request) {
  engine_sim_stream record;
  engine_run run = parse_run(engine, request, &record);
  engine_sim_item *model = engine_sim_find_item(engine, run.model, id_of_text(""));
  engine_sim_item *item = engine_sim_find_item(engine, run.model, run.adapter);
  bool is_loaded = is_up(model) && is_up(item);
  int streams_max = engine->faults.streams_max ? engine->faults.streams_max : STREAMS_MAX;
  if (!is_loaded || engine->running >= streams_max) {
    refuse_run(engine, request, &record, is_loaded);
    return;
  }
  adjust_running_counts(&run, 1);
  count_served(model, item);
  run.index = engine->streams->len;
  g_array_append_val(engine->streams, record);
  engine_sim_write_record(engine, 'S', record.tag);
  if (engine->faults.unanswered_runs > 0) {
    leave_run_unanswered(&run);
    return;
  }
  end_run(&run, write_stream(&run));
}
