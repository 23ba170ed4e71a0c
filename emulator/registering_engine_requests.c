/**
 * Handles a request: parses and records it, refuses or queues it, and runs it once it is admitted.
 * A refusal carries the header field that says "not run", so that a gateway may retry elsewhere.
 */
#include "registering_engine_sim.h"
#include <stdio.h>

enum {
  TIME_LEFT_DEFAULT_MS = 60000,
  UNRESPONSIVE_WAIT_MS = 60000,
  PRIORITY_DEFAULT = 5,
  FAILURE_DELAY_MS = 5,
  PROBABILITY_SCALE = 1000000,
};

/* Retry-After in seconds, for a model that is not loaded and for an engine without free slots */
static const char RETRY_WHEN_LOADED[] = "0.5", RETRY_WHEN_FREE[] = "0.2";

/* a request, parsed */
typedef struct incoming_request {
  registering_engine_sim *engine;
  http_request *request;
  engine_run_record *record;
  char *prefix; /* the prefix field, or NULL; owned */
  int64_t time_left_ms;
  time_us deadline;
  double prompt_tokens, output_tokens;
  bool streams;
} incoming_request;

typedef struct refusal {
  enum engine_run_outcome outcome;
  int status; /* 0: not refused */
  const char *retry_after;
} refusal;

static const char *header_name(const registering_engine_sim *engine, enum dialect_field field) {
  return engine->plan->dialect->header_names[field];
}

/* copies a header field, if the dialect has it, to a zeroed buffer */
static void copy_field(const incoming_request *incoming, enum dialect_field field, char *to,
                       size_t size) {
  const char *name = header_name(incoming->engine, field);
  string_view value;
  if (name && fields_get(incoming->request->fields, name, &value))
    memcpy(to, value.data, MIN(value.length, size - 1));
}

static engine_run_record *record_arrival(registering_engine_sim *engine, http_request *request) {
  engine_run_record *record = g_new0(engine_run_record, 1);
  g_ptr_array_add(engine->plan->log->runs, record);
  record->received_at = world_now(engine->world);
  record->engine = engine->self;
  record->service = engine->plan->service;
  g_strlcpy(record->from, request->client_address, sizeof record->from);
  g_strlcpy(record->target, request->target, sizeof record->target);
  record->request_checksum = engine_request_checksum(request->method, request->target,
                                                     string_view_of_gstring(request->body));
  return record;
}

/* the model field is "model" or "model/adapter" */
static void parse_model(incoming_request *incoming) {
  char *model = fields_dup(incoming->request->fields, header_name(incoming->engine, DF_MODEL));
  if (!model)
    return;
  char *slash = strchr(model, '/');
  if (slash) {
    *slash = 0;
    incoming->record->adapter = id_of_text(slash + 1);
  }
  incoming->record->model = id_of_text(model);
  g_free(model);
}

/* the tokens field is "prompt,output" */
static void parse_tokens(incoming_request *incoming) {
  char *tokens = fields_dup(incoming->request->fields, header_name(incoming->engine, DF_TOKENS));
  incoming->output_tokens = 1;
  if (tokens)
    sscanf(tokens, "%lf,%lf", &incoming->prompt_tokens, &incoming->output_tokens);
  g_free(tokens);
}

static incoming_request parse_request(registering_engine_sim *engine, http_request *request) {
  incoming_request incoming = { .engine = engine,
                                .request = request,
                                .record = record_arrival(engine, request),
                                .streams = engine->plan->model_count > 0 };
  engine_run_record *record = incoming.record;
  string_view value;
  if (fields_get(request->fields, header_name(engine, DF_REQUEST_ID), &value))
    g_strlcpy(record->request_id, id_of(value).text, sizeof record->request_id);
  copy_field(&incoming, DF_POLICY, record->policy, sizeof record->policy);
  copy_field(&incoming, DF_SESSION, record->session, sizeof record->session);
  parse_model(&incoming);
  parse_tokens(&incoming);
  incoming.prefix = fields_dup(request->fields, header_name(engine, DF_PREFIX));
  incoming.time_left_ms = fields_get_number(request->fields, header_name(engine, DF_TIME_LEFT_MS),
                                            TIME_LEFT_DEFAULT_MS);
  incoming.deadline = time_add(record->received_at, time_from_ms(incoming.time_left_ms));
  return incoming;
}

static void respond_not_run(const incoming_request *incoming, refusal refusal) {
  registering_engine_sim *engine = incoming->engine;
  engine_run_record *record = incoming->record;
  fields *fields = incoming->request->response_fields;
  record->outcome = refusal.outcome;
  record->ended_at = world_now(engine->world);
  fields_add(fields, header_name(engine, DF_NOT_RUN), string_view_of("1"));
  if (record->request_id[0])
    fields_add(fields, header_name(engine, DF_REQUEST_ID), string_view_of(record->request_id));
  if (refusal.retry_after)
    fields_add(fields, "Retry-After", string_view_of(refusal.retry_after));
  http_request_respond(incoming->request, refusal.status, "text/plain",
                       string_view_of("not run\n"));
}

static void record_dequeued(const incoming_request *incoming) {
  incoming->record->outcome = ENGINE_RUN_DEQUEUED;
  incoming->record->ended_at = world_now(incoming->engine->world);
}

/* the refusal of a request that is malformed, meant for another engine, or for a model not loaded
 */
static refusal check_destination(const incoming_request *incoming) {
  static const refusal ACCEPTED = { ENGINE_RUN_PENDING, 0, NULL };
  static const refusal MALFORMED = { ENGINE_RUN_REFUSED, 400, NULL };
  static const refusal MISDIRECTED = { ENGINE_RUN_MISDIRECTED, 421, NULL };
  static const refusal NOT_READY = { ENGINE_RUN_REFUSED, 503, RETRY_WHEN_LOADED };
  const engine_run_record *record = incoming->record;
  if (!record->request_id[0])
    return MALFORMED;
  if (!registering_engine_is_addressed(incoming->engine, incoming->request))
    return MISDIRECTED;
  if (!incoming->streams)
    return ACCEPTED;
  const loaded_model *model = engine_models_find(incoming->engine, record->model);
  if (!model)
    return MISDIRECTED;
  if (!model->loaded || model->unloading)
    return NOT_READY;
  if (!id_is_empty(record->adapter) &&
      !g_hash_table_contains(model->adapters, record->adapter.text))
    return MISDIRECTED;
  return ACCEPTED;
}

static bool exceeds_capacity(const incoming_request *incoming) {
  const registering_engine_plan *plan = incoming->engine->plan;
  const engine_batch *batch = &incoming->engine->batch;
  if (incoming->time_left_ms <= 0)
    return true;
  if (batch->busy_slots >= plan->slots && batch->waiting >= plan->queue)
    return true;
  return incoming->streams && incoming->prompt_tokens + incoming->output_tokens > plan->kv_tokens;
}

/* true when the request was refused, or ended without a response because the engine is unresponsive
 */
static bool refuse(const incoming_request *incoming) {
  static const refusal BUSY = { ENGINE_RUN_REFUSED, 503, RETRY_WHEN_FREE };
  const registering_engine_faults *faults = &incoming->engine->plan->faults;
  refusal refusal = check_destination(incoming);
  if (refusal.status)
    respond_not_run(incoming, refusal);
  else if (faults->unresponsive)
    engine_response_withhold(incoming->engine, incoming->request, UNRESPONSIVE_WAIT_MS);
  else if (exceeds_capacity(incoming))
    respond_not_run(incoming, BUSY);
  /* if the fault has ended in the meantime, the request is processed */
  if (!incoming->request->response_ended && !faults->unresponsive)
    return false;
  if (incoming->record->outcome == ENGINE_RUN_PENDING)
    record_dequeued(incoming);
  return true;
}

static void init_active(active_request *active, const incoming_request *incoming) {
  registering_engine_sim *engine = incoming->engine;
  engine_run_record *record = incoming->record;
  const fields *fields = incoming->request->fields;
  const char *prefix = incoming->streams ? incoming->prefix : NULL;
  *active = (active_request){ .engine = engine, .record = record };
  active->pending_output = g_string_new(NULL);
  active->prefix_blocks = prefix_blocks_parse(record->model, record->adapter, prefix);
  active->priority =
      (unsigned)fields_get_number(fields, header_name(engine, DF_PRIORITY), PRIORITY_DEFAULT);
  record->resumed_after =
      (uint64_t)fields_get_number(fields, header_name(engine, DF_LAST_EVENT_ID), 0);
  active->events_skipped = record->resumed_after;
  active->tokens_wanted = (unsigned)MAX(1, incoming->output_tokens);
  active->tokens = (unsigned)MIN(active->events_skipped * engine->plan->event_tokens,
                                 (uint64_t)active->tokens_wanted);
  if (incoming->streams)
    active->kv_tokens = incoming->prompt_tokens + incoming->output_tokens;
  condition_init(&active->changed);
}

/* true when the model of a queued request is unloaded or unloading */
static bool is_model_unloaded(const incoming_request *incoming) {
  if (!incoming->streams)
    return false;
  const loaded_model *model = engine_models_find(incoming->engine, incoming->record->model);
  return !model || model->unloading;
}

/* waits in the queue; false when the request left it without being admitted */
static bool wait_for_admission(const incoming_request *incoming, active_request *active) {
  scheduler *tasks = &incoming->engine->world->tasks;
  http_request *request = incoming->request;
  request->client_gone_condition = &active->changed;
  engine_batch_enqueue(active);
  while (!active->admitted && !request->client_gone) {
    enum wake_reason wake = condition_wait(tasks, &active->changed, incoming->deadline);
    if (active->admitted || wake != WAKE_SIGNALLED || is_model_unloaded(incoming))
      break;
  }
  request->client_gone_condition = NULL;
  return active->admitted;
}

static void end_unadmitted(const incoming_request *incoming) {
  static const refusal NOT_ADMITTED = { ENGINE_RUN_REFUSED, 503, RETRY_WHEN_FREE };
  if (incoming->engine->world->tasks.stopped || incoming->request->client_gone)
    record_dequeued(incoming);
  else
    respond_not_run(incoming, NOT_ADMITTED);
}

static void begin_run(const incoming_request *incoming, active_request *active) {
  registering_engine_sim *engine = incoming->engine;
  engine_run_record *record = incoming->record;
  record->started_at = world_now(engine->world);
  record->outcome = ENGINE_RUN_RUNNING;
  snprintf(record->run_id, sizeof record->run_id, "%s.%" PRIu64, engine->self.text,
           ++engine->runs_started);
  record->cached_tokens = engine_kv_cache_match(&engine->batch.kv_cache, active->prefix_blocks);
  record->prefill_tokens = MAX(1, incoming->prompt_tokens - record->cached_tokens);
  active->prefill_left_tokens = record->prefill_tokens;
  engine_report_take_snapshot(engine);
}

/* simulates intermittent failures: draws whether this run fails */
static bool draw_failure(registering_engine_sim *engine) {
  double probability = engine->plan->faults.intermittent_failures;
  return probability > 0 &&
         (double)world_random(engine->world, PROBABILITY_SCALE) < probability * PROBABILITY_SCALE;
}

static void fail_run(const incoming_request *incoming) {
  registering_engine_sim *engine = incoming->engine;
  engine_run_record *record = incoming->record;
  world_sleep(engine->world, time_from_ms(FAILURE_DELAY_MS));
  record->outcome = ENGINE_RUN_FAILED;
  record->ended_at = world_now(engine->world);
  engine_response_add_headers(engine, incoming->request, record);
  http_request_respond(incoming->request, 500, "text/plain", string_view_of("failed\n"));
}

static void run_request(const incoming_request *incoming, active_request *active) {
  begin_run(incoming, active);
  if (draw_failure(incoming->engine))
    fail_run(incoming);
  else if (incoming->streams)
    engine_response_serve_stream(active, incoming->request, incoming->deadline);
  else
    engine_response_serve_plain(active, incoming->request, incoming->deadline);
}

void engine_requests_serve(registering_engine_sim *engine, http_request *request) {
  incoming_request incoming = parse_request(engine, request);
  if (refuse(&incoming)) {
    g_free(incoming.prefix);
    return;
  }
  active_request active;
  init_active(&active, &incoming);
  g_free(incoming.prefix);
  if (wait_for_admission(&incoming, &active))
    run_request(&incoming, &active);
  else
    end_unadmitted(&incoming);
  engine_batch_release(&active);
}
