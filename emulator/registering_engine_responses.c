/** Plain and streamed responses of an engine, with their simulated faults. */
#include "registering_engine_sim.h"

enum {
  LOST_RESPONSE_WAIT_MS = 20000, /* longer than any client waits for a lost response */
  TRUNCATED_WRITE_MS = 2000,     /* timeout for writing the first half of a truncated response */
  PLAIN_BODY_BYTES = 800,        /* when the request sets no size */
};

static const char OUT_OF_TIME[] = "out of time\n";

void engine_response_withhold(registering_engine_sim *engine, http_request *request, int64_t ms) {
  time_us until = time_add(world_now(engine->world), time_from_ms(ms));
  while (!request->client_gone && world_now(engine->world).us < until.us)
    if (condition_wait(&engine->world->tasks, &request->output_progressed, until) == WAKE_STOPPED)
      return;
}

void engine_response_add_headers(registering_engine_sim *engine, http_request *request,
                                 const engine_run_record *record) {
  const registering_engine_plan *plan = engine->plan;
  const char *const *names = plan->dialect->header_names;
  fields *fields = request->response_fields;
  fields_add(fields, names[DF_REQUEST_ID], string_view_of(record->request_id));
  fields_add(fields, names[DF_STAMP], string_view_of(record->run_id));
  fields_add(fields, names[DF_ENGINE_ID], string_view_of(engine->self.text));
  if (plan->model_count)
    fields_add(fields, names[DF_WEIGHT_VERSIONS], string_view_of("1"));
  if (plan->idle_timeout_ms)
    fields_add_format(fields, "Keep-Alive", "timeout=%" PRId64, plan->idle_timeout_ms / 1000);
}

static void respond_out_of_time(registering_engine_sim *engine, http_request *request,
                                const engine_run_record *record) {
  engine_response_add_headers(engine, request, record);
  http_request_respond(request, 504, "text/plain", string_view_of(OUT_OF_TIME));
}

/* sends the last response once more, on the connection of another request */
static void repeat_last_response(registering_engine_sim *engine, http_request *request) {
  const engine_last_response *last = &engine->last_response;
  const char *const *names = engine->plan->dialect->header_names;
  fields *fields = g_string_new(NULL);
  GString *body = g_string_new(NULL);
  fields_add(fields, names[DF_REQUEST_ID], string_view_of(last->request_id));
  fields_add(fields, names[DF_STAMP], string_view_of(last->run_id));
  engine_response_body(body, last->request_id, last->body_bytes);
  engine->send_stray_response(request, 200, fields, string_view_of_gstring(body));
  g_string_free(fields, TRUE);
  g_string_free(body, TRUE);
}

static bool can_send_stray(const registering_engine_sim *engine) {
  return engine->send_stray_response && engine->last_response.request_id[0];
}

/* fault: another request's response, or garbage, before the response */
static void send_stray_before(registering_engine_sim *engine, http_request *request) {
  registering_engine_faults *faults = &engine->plan->faults;
  if (!can_send_stray(engine))
    return;
  if (faults->stale_responses > 0) {
    faults->stale_responses--;
    repeat_last_response(engine, request);
  } else if (faults->garbage_responses > 0) {
    faults->garbage_responses--;
    engine->send_stray_response(request, 0, NULL, string_view_of("\x01\x02 no answer \r\n\r\n"));
  }
}

/* fault: another request's response after the response */
static void send_stray_after(registering_engine_sim *engine, http_request *request) {
  registering_engine_faults *faults = &engine->plan->faults;
  if (!can_send_stray(engine) || faults->extra_responses <= 0)
    return;
  faults->extra_responses--;
  repeat_last_response(engine, request);
}

static size_t requested_body_bytes(http_request *request) {
  json *body = json_parse(string_view_of_gstring(request->body), NULL);
  size_t bytes = (size_t)json_number(body, "bytes", PLAIN_BODY_BYTES);
  json_free(body);
  return bytes;
}

/* fault: half of the response, then the connection is closed */
static void truncate_plain(active_request *active, http_request *request, const GString *body) {
  time_us until = time_add(world_now(active->engine->world), time_from_ms(TRUNCATED_WRITE_MS));
  active->engine->plan->faults.truncate_responses--;
  active->record->outcome = ENGINE_RUN_BROKEN;
  http_request_begin(request, 200, "text/plain");
  http_request_write(request, (string_view){ body->str, body->len / 2 }, until);
  http_request_end(request, false);
}

static void respond_plain(active_request *active, http_request *request, size_t body_bytes,
                          const GString *body) {
  registering_engine_sim *engine = active->engine;
  engine_last_response *last = &engine->last_response;
  engine_run_record *record = active->record;
  record->outcome = ENGINE_RUN_DONE;
  http_request_respond(request, 200, "text/plain", string_view_of_gstring(body));
  send_stray_after(engine, request);
  g_strlcpy(last->request_id, record->request_id, sizeof last->request_id);
  g_strlcpy(last->run_id, record->run_id, sizeof last->run_id);
  last->body_bytes = body_bytes;
}

/* waits until the work is done, the deadline passes or the client disconnects; false when the
 * engine stops */
static bool simulate_work(active_request *active, http_request *request, time_us done,
                          time_us deadline) {
  world *world = active->engine->world;
  time_us until = done.us < deadline.us ? done : deadline;
  while (world_now(world).us < until.us && !request->client_gone)
    if (condition_wait(&world->tasks, &request->output_progressed, until) == WAKE_STOPPED)
      return false;
  return true;
}

void engine_response_serve_plain(active_request *active, http_request *request, time_us deadline) {
  registering_engine_sim *engine = active->engine;
  registering_engine_faults *faults = &engine->plan->faults;
  engine_run_record *record = active->record;
  double work_ms = (double)engine->plan->work_ms * registering_engine_slowdown(engine->plan);
  time_us done = time_add(world_now(engine->world), time_from_ms((int64_t)work_ms));
  if (!simulate_work(active, request, done, deadline)) {
    record->outcome = ENGINE_RUN_BROKEN;
    return;
  }
  record->ended_at = world_now(engine->world);
  if (request->client_gone) {
    record->outcome = ENGINE_RUN_CLIENT_GONE;
    return;
  }
  if (world_now(engine->world).us < done.us) {
    record->outcome = ENGINE_RUN_TIMEOUT;
    respond_out_of_time(engine, request, record);
    return;
  }
  engine_response_add_headers(engine, request, record);
  size_t body_bytes = requested_body_bytes(request);
  if (faults->lose_responses > 0) {
    faults->lose_responses--;
    record->outcome = ENGINE_RUN_BROKEN;
    engine_response_withhold(engine, request, LOST_RESPONSE_WAIT_MS);
    return;
  }
  send_stray_before(engine, request);
  GString *body = g_string_new(NULL);
  engine_response_body(body, record->request_id, body_bytes);
  if (faults->truncate_responses > 0)
    truncate_plain(active, request, body);
  else
    respond_plain(active, request, body_bytes, body);
  g_string_free(body, TRUE);
}

/* a stream in progress */
typedef struct stream_response {
  active_request *active;
  http_request *request;
  time_us deadline;
  bool headers_sent;
  bool truncate, lose; /* the fault that this response has */
} stream_response;

static void choose_stream_fault(stream_response *stream) {
  registering_engine_faults *faults = &stream->active->engine->plan->faults;
  if (faults->truncate_responses > 0) {
    faults->truncate_responses--;
    stream->truncate = true;
  } else if (faults->lose_responses > 0) {
    faults->lose_responses--;
    stream->lose = true;
  }
}

/* waits for pending events; true when the stream continues */
static bool wait_for_events(stream_response *stream) {
  active_request *active = stream->active;
  scheduler *tasks = &active->engine->world->tasks;
  switch (condition_wait(tasks, &active->changed, stream->deadline)) {
  case WAKE_STOPPED:
    active->record->outcome = ENGINE_RUN_BROKEN;
    return false;
  case WAKE_TIMEOUT:
    active->record->outcome = ENGINE_RUN_TIMEOUT;
    return false;
  default:
    return true;
  }
}

/* fault: drops the events, so that the client waits without receiving any; true when the stream
 * continues */
static bool lose_events(stream_response *stream) {
  active_request *active = stream->active;
  g_string_truncate(active->pending_output, 0);
  if (!active->last_event_sent)
    return true;
  engine_response_withhold(active->engine, stream->request, LOST_RESPONSE_WAIT_MS);
  active->record->outcome = ENGINE_RUN_BROKEN;
  return false;
}

static void send_stream_headers(stream_response *stream) {
  if (stream->headers_sent)
    return;
  stream->headers_sent = true;
  engine_response_add_headers(stream->active->engine, stream->request, stream->active->record);
  http_request_begin(stream->request, 200, "text/event-stream");
}

/* writes the pending events; true when the stream continues */
static bool write_events(stream_response *stream) {
  active_request *active = stream->active;
  registering_engine_sim *engine = active->engine;
  engine_run_record *record = active->record;
  send_stream_headers(stream);
  record->events = active->events_sent;
  record->last_event = (unsigned)(active->events_skipped + active->events_sent);
  record->last_event_at = world_now(engine->world);
  string_view events = string_view_of_gstring(active->pending_output);
  if (http_request_write(stream->request, events, stream->deadline) != OK)
    return false;
  g_string_truncate(active->pending_output, 0);
  if (active->last_event_sent) {
    record->outcome = ENGINE_RUN_DONE;
    return false;
  }
  if (stream->truncate && active->events_sent >= engine->plan->faults.truncate_after_events) {
    record->outcome = ENGINE_RUN_BROKEN;
    return false;
  }
  return true;
}

static bool advance_stream(stream_response *stream) {
  if (!stream->active->pending_output->len)
    return wait_for_events(stream);
  return stream->lose ? lose_events(stream) : write_events(stream);
}

static void end_stream(stream_response *stream) {
  registering_engine_sim *engine = stream->active->engine;
  engine_run_record *record = stream->active->record;
  record->ended_at = world_now(engine->world);
  if (stream->request->client_gone && record->outcome == ENGINE_RUN_RUNNING)
    record->outcome = ENGINE_RUN_CLIENT_GONE;
  if (record->outcome == ENGINE_RUN_TIMEOUT && !stream->headers_sent)
    respond_out_of_time(engine, stream->request, record);
  else
    http_request_end(stream->request, record->outcome == ENGINE_RUN_DONE);
}

/* a client that resumes after the last event gets an empty stream */
static void respond_empty_stream(active_request *active, http_request *request) {
  active->record->outcome = ENGINE_RUN_DONE;
  active->record->ended_at = world_now(active->engine->world);
  engine_response_add_headers(active->engine, request, active->record);
  http_request_respond(request, 200, "text/event-stream", string_view_of(""));
}

void engine_response_serve_stream(active_request *active, http_request *request, time_us deadline) {
  stream_response stream = { .active = active, .request = request, .deadline = deadline };
  choose_stream_fault(&stream);
  if (active->tokens >= active->tokens_wanted) {
    respond_empty_stream(active, request);
    return;
  }
  engine_batch_start(active->engine);
  request->client_gone_condition = &active->changed;
  bool continues = true;
  while (continues && !request->client_gone)
    continues = advance_stream(&stream);
  request->client_gone_condition = NULL;
  end_stream(&stream);
}
