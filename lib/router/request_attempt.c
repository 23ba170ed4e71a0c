/**
 * Runs attempts of a request on engines, and retries.
 *
 * A request must not run twice unless its client allowed that. It is therefore sent to another
 * engine only when the first one certainly ran no part of it: the engine could not be reached, or
 * declined the request, that is, responded that it did not run it. Each attempt has a unique name
 * that the first event of the stream must repeat, so the stream of another attempt is never relayed
 * in its place.
 *
 * Retries are limited by a budget that new requests fill (generate_api.c), so that retries cannot
 * overload a fleet that is already failing.
 */
#include "router.h"
#include "routed_request.h"
#include <stdio.h>

enum {
  MAX_ATTEMPTS = 3,
  SEND_TIMEOUT_MS = 600,
  MAX_RESPONSE_BYTES = 1 << 20,
  /* How often the wait for a response checks whether the client is still connected. */
  CLIENT_CHECK_INTERVAL_MS = 500,
  STREAM_IDLE_MS = 15000,
  REFUSAL_TIMEOUT_MS = 1000,
  ERROR_EVENT_TIMEOUT_MS = 1000,
  MAX_FIRST_EVENT_BYTES = 4096,
  /* How much of the end of the stream is kept; enough for its last event. */
  TAIL_BYTES = 400,
  /* An engine that cannot be reached is ejected for this long, doubled for each consecutive
     failure. */
  EJECTION_MS = 200,
  MAX_EJECTION_DOUBLINGS = 5,

  RETRY_MS = 1000,
  RETRY_BROKEN_MS = 2000,

  /* Value in the journal for a stream that broke because its client disconnected. */
  CLIENT_GONE = E_PEER_GONE + 1000
};

/* Weight of the latest stream in the smoothed duration. */
static const double SERVICE_SMOOTHING = 0.1;

enum run_attempt_result {
  ATTEMPT_COMPLETED,
  /* May be retried if nothing ran or if the client allows it. */
  ATTEMPT_RETRYABLE,
  ATTEMPT_FINAL
};

typedef struct attempt {
  routed_request *request;
  engine *engine;
  http_call *call;
  /* "request id.number" */
  char name[96];
  time_us started_at;
  /* Bytes read but not relayed yet, and the last bytes of the stream. */
  GString *received, *tail;
} attempt;

static time_us deadline_in(const attempt *attempt, int64_t ms) {
  return time_add(world_now(attempt->request->router->node.world), time_from_ms(ms));
}

static void attempt_open(attempt *attempt) {
  routed_request *request = attempt->request;
  engine *engine = attempt->engine;
  router *router = request->router;
  snprintf(attempt->name, sizeof attempt->name, "%s.%d", request->request_id, ++request->attempts);
  engine->refs++;
  engine->own_running++;
  router->requests.attempt_count++;
  attempt->started_at = world_now(router->node.world);
  attempt->received = g_string_new(NULL);
  attempt->tail = g_string_new(NULL);
  http_headers headers = { { 0 } };
  http_headers_set(&headers, HEADER_CONTENT_TYPE, "application/json");
  http_headers_set(&headers, HEADER_ATTEMPT, attempt->name);
  attempt->call = http_call_open_before(router->node.world, engine->address, "POST", "/v1/run",
                                        &headers, string_view_of_gstring(request->http->body),
                                        MAX_RESPONSE_BYTES, deadline_in(attempt, SEND_TIMEOUT_MS));
  http_headers_free(&headers);
}

static void attempt_close(attempt *attempt) {
  http_call_close(attempt->call);
  g_string_free(attempt->received, TRUE);
  g_string_free(attempt->tail, TRUE);
  attempt->engine->own_running--;
  engine_unref(attempt->engine);
  condition_broadcast(&attempt->request->router->state_changed);
}

/* Waits for the response head, until the deadline or until the client disconnects. */
static int await_response(attempt *attempt) {
  const routed_request *request = attempt->request;
  world *world = request->router->node.world;
  for (;;) {
    time_us check_at = deadline_in(attempt, CLIENT_CHECK_INTERVAL_MS);
    int code = http_call_wait(attempt->call,
                              check_at.us < request->deadline.us ? check_at : request->deadline);
    if (code != E_NO_RESPONSE || request->http->client_gone ||
        time_reached(world_now(world), request->deadline))
      return code;
  }
}

static enum run_attempt_result handle_unreachable(attempt *attempt) {
  routed_request *request = attempt->request;
  engine *engine = attempt->engine;
  engine->consecutive_failures++;
  int doublings = MIN(engine->consecutive_failures, MAX_EJECTION_DOUBLINGS);
  engine->ejected_until = deadline_in(attempt, EJECTION_MS << doublings);
  request->run_outcome = NOT_RUN;
  routed_request_set_error(request, E_NO_ENGINE, RETRY_MS, "%s could not be reached",
                           engine->self.text);
  return ATTEMPT_RETRYABLE;
}

/* The request was sent but there is no response: the engine may have run it. */
static enum run_attempt_result handle_no_response(attempt *attempt, int code) {
  routed_request *request = attempt->request;
  request->run_outcome = RUN_UNKNOWN;
  routed_request_set_error(
      request, code == E_NO_RESPONSE ? E_DEADLINE_EXCEEDED : E_CONNECTION_LOST_AFTER_SEND,
      RETRY_BROKEN_MS, "%s gave no answer; whether it ran is not known",
      attempt->engine->self.text);
  return request->resumable && code != E_NO_RESPONSE && !request->http->client_gone
             ? ATTEMPT_RETRYABLE
             : ATTEMPT_FINAL;
}

/* The engine refused the request; its response says whether it ran any part of it. */
static enum run_attempt_result handle_refusal(attempt *attempt) {
  routed_request *request = attempt->request;
  http_call_read_all(attempt->call, attempt->received, deadline_in(attempt, REFUSAL_TIMEOUT_MS));
  json *response = json_parse(string_view_of_gstring(attempt->received), NULL);
  const json *run = json_get(response, "run");
  bool not_run = run && run->kind == JSON_BOOL && !run->boolean;
  json_free(response);
  request->run_outcome = not_run ? NOT_RUN : RUN_FAILED;
  routed_request_set_error(request, not_run ? E_NO_ENGINE : E_STREAM_BROKEN, RETRY_MS,
                           "%s answered %d", attempt->engine->self.text, attempt->call->status);
  return not_run ? ATTEMPT_RETRYABLE : ATTEMPT_FINAL;
}

/* Reads the first event of the stream. Returns the connection error; *own is set to whether the
 * event names this attempt. */
static int read_first_event(attempt *attempt, bool *own) {
  GString *received = attempt->received;
  int code;
  do
    code = http_call_read(attempt->call, received, deadline_in(attempt, STREAM_IDLE_MS));
  while (!code && !strstr(received->str, "\n\n") && received->len < MAX_FIRST_EVENT_BYTES);
  char name[128];
  snprintf(name, sizeof name, "\"attempt\":\"%s\"", attempt->name);
  const char *end = strstr(received->str, "\n\n"), *at = strstr(received->str, name);
  *own = !code && end && at && at < end;
  return code;
}

static enum run_attempt_result handle_bad_start(attempt *attempt, int code) {
  routed_request *request = attempt->request;
  router *router = request->router;
  const char *engine = attempt->engine->self.text;
  if (!code) {
    router->requests.mismatched_streams++;
    log_info(&router->node.log, "route",
             "%s responded to attempt %s with another attempt's stream, not relayed (code %d).",
             engine, attempt->name, E_STREAM_BROKEN);
  }
  request->run_outcome = RUN_UNKNOWN;
  routed_request_set_error(request, E_STREAM_BROKEN, RETRY_BROKEN_MS,
                           "%s broke off before its stream began", engine);
  return request->resumable && code && !request->http->client_gone ? ATTEMPT_RETRYABLE
                                                                   : ATTEMPT_FINAL;
}

static void keep_tail(attempt *attempt) {
  GString *tail = attempt->tail;
  g_string_append_len(tail, attempt->received->str, (gssize)attempt->received->len);
  if (tail->len > TAIL_BYTES)
    g_string_erase(tail, 0, (gssize)tail->len - TAIL_BYTES);
}

/* Relays the stream until it ends. Returns E_PEER_GONE when the engine ended it, CLIENT_GONE when
 * the client disconnected, or the error of the connection to the engine. */
static int relay_stream(attempt *attempt) {
  http_request *http = attempt->request->http;
  for (;;) {
    keep_tail(attempt);
    if (http_request_write(http, string_view_of_gstring(attempt->received),
                           deadline_in(attempt, STREAM_IDLE_MS)))
      return CLIENT_GONE;
    g_string_truncate(attempt->received, 0);
    int code =
        http_call_read(attempt->call, attempt->received, deadline_in(attempt, STREAM_IDLE_MS));
    if (http->client_gone)
      return CLIENT_GONE;
    if (code)
      return code;
  }
}

/* True when the last event reports that this attempt is complete. */
static bool ends_with_done(const GString *tail, const char *attempt) {
  const char *event = g_strrstr(tail->str, "event: done\n");
  return event && strstr(event, attempt) && g_str_has_suffix(tail->str, "\n\n");
}

static void append_event(const attempt *attempt, enum history_event_kind kind, int64_t value) {
  const routed_request *request = attempt->request;
  event_history_append(&request->router->history, (history_event){ .kind = kind,
                                                                   .engine = attempt->engine->self,
                                                                   .model = request->model,
                                                                   .adapter = request->adapter,
                                                                   .value = value });
}

static enum run_attempt_result handle_completed(attempt *attempt) {
  router *router = attempt->request->router;
  double *smoothed_ms = &router->requests.smoothed_service_ms;
  http_request_end(attempt->request->http, true);
  double ms = (double)time_sub(world_now(router->node.world), attempt->started_at).us / 1000;
  *smoothed_ms += SERVICE_SMOOTHING * (ms - *smoothed_ms);
  append_event(attempt, EVENT_COMPLETED, (int64_t)ms);
  return ATTEMPT_COMPLETED;
}

/* Sends the client an error event in the stream. */
static void send_error_event(attempt *attempt) {
  routed_request *request = attempt->request;
  char text[240];
  snprintf(
      text, sizeof text,
      "event: error\ndata: {\"code\":%d,\"run\":\"failed\",\"request\":\"%s\",\"error\":\"the engine broke off\"}\n\n",
      E_STREAM_BROKEN, request->request_id);
  http_request_write(request->http, string_view_of(text),
                     deadline_in(attempt, ERROR_EVENT_TIMEOUT_MS));
  log_info(&request->router->node.log, "route",
           "Stream %s on %s broke; its client was sent an error event (code %d).", attempt->name,
           attempt->engine->self.text, E_STREAM_BROKEN);
}

static enum run_attempt_result handle_broken_stream(attempt *attempt, int code) {
  routed_request *request = attempt->request;
  append_event(attempt, EVENT_STREAM_BROKEN, code);
  if (code != CLIENT_GONE)
    send_error_event(attempt);
  http_request_end(request->http, false);
  request->error_code = E_STREAM_BROKEN;
  return ATTEMPT_FINAL;
}

static enum run_attempt_result handle_stream(attempt *attempt) {
  routed_request *request = attempt->request;
  bool own;
  int code = read_first_event(attempt, &own);
  if (!own)
    return handle_bad_start(attempt, code);
  attempt->engine->consecutive_failures = 0;
  http_request_begin(request->http, 200, "text/event-stream");
  request->run_outcome = RUN_STARTED;
  code = relay_stream(attempt);
  bool complete = code == E_PEER_GONE && ends_with_done(attempt->tail, attempt->name);
  return complete ? handle_completed(attempt) : handle_broken_stream(attempt, code);
}

static enum run_attempt_result run_attempt(routed_request *request) {
  attempt attempt = { .request = request, .engine = request->engine };
  attempt_open(&attempt);
  int code = await_response(&attempt);
  enum run_attempt_result outcome = code == E_NOT_CONNECTED ? handle_unreachable(&attempt)
                                    : code                  ? handle_no_response(&attempt, code)
                                    : attempt.call->status != 200 ? handle_refusal(&attempt)
                                                                  : handle_stream(&attempt);
  attempt_close(&attempt);
  return outcome;
}

static void count_as_running(routed_request *request) {
  request_kind_stats *stats = &request->router->requests.kind_stats[request->policy_kind_index];
  if (request->counted_waiting) {
    request->counted_waiting = false;
    stats->waiting--;
  }
  if (!request->counted_running) {
    request->counted_running = true;
    stats->running++;
  }
}

static bool consume_retry_budget(router *router) {
  if (router->requests.retry_budget < 1)
    return false;
  router->requests.retry_budget -= 1;
  router->requests.retry_count++;
  return true;
}

/* True when a failed request may be retried; the retry is then deducted from the budget. */
static bool may_retry(routed_request *request, enum run_attempt_result outcome) {
  router *router = request->router;
  /* an attempt that may have run is not repeated unless the client allows it */
  bool is_safe = request->run_outcome == NOT_RUN || request->resumable;
  return outcome == ATTEMPT_RETRYABLE && is_safe && request->attempts < MAX_ATTEMPTS &&
         !request->http->client_gone &&
         !time_reached(world_now(router->node.world), request->deadline) &&
         consume_retry_budget(router);
}

/* If any attempt may have run, a later refusal cannot change the outcome back to "not run". */
static void update_run_outcome(routed_request *request) {
  if (request->run_outcome == NOT_RUN && request->may_have_run)
    request->run_outcome = RUN_UNKNOWN;
  request->may_have_run |= request->run_outcome != NOT_RUN;
}

enum error_code request_attempt_run(routed_request *request) {
  for (;;) {
    if (!request->engine) {
      enum error_code code = engine_wait(request);
      if (code)
        return code;
    }
    count_as_running(request);
    id engine_id = request->engine->self;
    enum run_attempt_result outcome = run_attempt(request);
    request->engine = NULL;
    update_run_outcome(request);
    if (outcome == ATTEMPT_RETRYABLE)
      routed_request_exclude_by_id(request, engine_id);
    if (outcome == ATTEMPT_COMPLETED)
      return OK;
    if (!may_retry(request, outcome))
      return request->error_code;
    request->hold_deadline = request->deadline;
    request->load_attempts = 0;
  }
}
