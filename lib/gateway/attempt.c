/** One attempt: sends a request to the engine of its slot, waits for the head of the response,
 * evaluates it, and has the rest relayed (response_relay.c).
 *
 * Whether an attempt is retried depends on whether the engine may have run the request. A request
 * that was not sent or that the engine declined may always go to another engine; one that may have
 * run is retried only where the route allows it to run twice. */
#include "inflight_request.h"
#include "service_traffic.h"

enum {
  /* timeout for connecting to an engine */
  CONNECT_TIMEOUT_MS = 300,
  /* a request is not sent later than this after the selection of its engine, which is outdated by
   * then */
  SEND_DEADLINE_MS = 400,
  /* margin after a request's deadline for a response in transit */
  DEADLINE_MARGIN_MS = 250,
  /* a request that may run only once is not sent over a pooled connection to an engine that has not
   * been heard from for longer than this */
  RECENTLY_HEARD_MS = 2000,
  /* interval between attempts to reserve a retry while an engine stays silent */
  RETRY_INTERVAL_MS = 500,
  /* an engine that declined a request is ejected for this time plus a random time of up to the same
   * length */
  DECLINED_EJECTION_MS = 150,
  /* tolerated silence before the first event: a multiple of the estimated time to it, and the
   * minimum */
  SILENCE_FIRST_EVENTS = 3,
  SILENCE_MIN_MS = 250,
  /* tolerated silence within a stream: a multiple of the target for gaps between events, and the
   * minimum */
  SILENCE_GAPS = 3,
  STREAM_SILENCE_MIN_MS = 1000,
  /* an engine is alive if it has sent other data this long after the request's last byte */
  ENGINE_ALIVE_US = 100000,
  /* a client that leaves within the longer of these times does not count against the engine; the
   * second is a multiple of the mean time to the first event */
  CLIENT_LEFT_MIN_MS = 500,
  CLIENT_LEFT_FIRST_EVENTS = 3
};

time_us attempt_deadline(const inflight_request *request) {
  return time_add(request->deadline, time_from_ms(DEADLINE_MARGIN_MS));
}

bool attempt_past_grace_period(const inflight_request *request) {
  return request->gateway->drain.grace_over && !request->http->response_started;
}

static double mean_first_event_ms(const inflight_request *request) {
  return service_traffic_of(request->gateway, request->service)->mean_first_event_ms;
}

/* When to give up a silent engine and retry at another one: earlier when the engine sends nothing
 * for other requests either. */
static time_us silence_deadline(const inflight_request *request, const http_call *call,
                                time_us last_byte_at, bool events_received) {
  double expected_ms = MAX(mean_first_event_ms(request), request->slot.estimate_ms),
         span_ms = MAX(SILENCE_FIRST_EVENTS * expected_ms, SILENCE_MIN_MS);
  if (events_received)
    span_ms =
        MAX(STREAM_SILENCE_MIN_MS, (double)SILENCE_GAPS * (double)request->route->gap_target_ms);
  bool engine_alive =
      request->slot.engine->health.last_byte_at.us > last_byte_at.us + ENGINE_ALIVE_US;
  if (engine_alive) {
    /* the engine is only slow with this request, or has lost it */
    time_us sent_at = call->sent_at.us ? call->sent_at : request->received_at;
    double third_ms = (double)time_sub(request->deadline, sent_at).us / 3000;
    span_ms = events_received ? 3 * span_ms : MAX(2 * span_ms, third_ms);
  }
  return time_add(last_byte_at, time_from_ms((int64_t)span_ms));
}

bool attempt_retry_if_unresponsive(inflight_request *request, const http_call *call,
                                   time_us last_byte_at, bool events_received,
                                   time_us *next_retry_at, time_us *until) {
  time_us now = request_now(request),
          give_up_at = silence_deadline(request, call, last_byte_at, events_received);
  if (next_retry_at->us > give_up_at.us)
    give_up_at = *next_retry_at;
  if (time_reached(now, give_up_at)) {
    if (reserved_slot_take_for_retry(request))
      return true;
    *next_retry_at = give_up_at = time_add(now, time_from_ms(RETRY_INTERVAL_MS));
  }
  *until = time_min(*until, give_up_at);
  return false;
}

void attempt_build_base_fields(inflight_request *request) {
  const char *skip[] = { request_field_name(request, DF_TIME_LEFT_MS),
                         request_field_name(request, DF_EXPECT_ENGINE),
                         request_field_name(request, DF_PRIORITY),
                         request_field_name(request, DF_LAST_EVENT_ID),
                         request_field_name(request, DF_EXPECT_VERSION),
                         "host",
                         request_field_name(request, DF_POLICY),
                         request_field_name(request, DF_REQUEST_ID),
                         NULL };
  const http_request *http = request->http;
  string_view host;
  request->request_fields = g_string_sized_new(http->fields->len + 256);
  if (!fields_get(http->fields, "Host", &host))
    host = string_view_of(http->host);
  fields_add(request->request_fields, "Host", host);
  /* always sent, even when the client's Connection field names it: responses are matched by it */
  fields_add(request->request_fields, request_field_name(request, DF_REQUEST_ID),
             string_view_of(request->request_id));
  fields_forward(http->fields, request->request_fields, skip);
  /* 1 for the most urgent priority, 2 more for each lower one, at most 9 */
  fields_add_format(request->request_fields, request_field_name(request, DF_PRIORITY), "%u",
                    MIN(9, 1 + 2 * request->route->priority));
  request->base_fields_length = request->request_fields->len;
}

/* tells the engine where to resume a stream: after the last relayed event, or where the client asks
 * to */
static void add_resume_fields(inflight_request *request) {
  if (request->resumed) {
    fields_add_format(request->request_fields, request_field_name(request, DF_LAST_EVENT_ID),
                      "%" PRIu64, request->last_event_id);
    if (request->weight_version[0])
      fields_add(request->request_fields, request_field_name(request, DF_EXPECT_VERSION),
                 string_view_of(request->weight_version));
    return;
  }
  static const enum dialect_field from_client[] = { DF_LAST_EVENT_ID, DF_EXPECT_VERSION };
  string_view value;
  for (size_t i = 0; i < G_N_ELEMENTS(from_client); i++) {
    const char *name = request_field_name(request, from_client[i]);
    if (fields_get(request->http->fields, name, &value))
      fields_add(request->request_fields, name, value);
  }
}

static void add_attempt_fields(inflight_request *request, const gateway_engine *engine) {
  g_string_truncate(request->request_fields, request->base_fields_length);
  fields_add_format(request->request_fields, request_field_name(request, DF_TIME_LEFT_MS),
                    "%" PRId64, MAX(request_left_ms(request), 1));
  fields_add(request->request_fields, request_field_name(request, DF_EXPECT_ENGINE),
             string_view_of(engine->engine_id.text));
  if (request->canary.version && request_field_name(request, DF_POLICY))
    fields_add_format(request->request_fields, request_field_name(request, DF_POLICY), "%s %s",
                      request->canary_name,
                      request->canary.arm == CANARY_ARM_CANDIDATE ? "candidate" : "old");
  add_resume_fields(request);
}

/* a pooled connection to a crashed engine would lose a request that may be sent only once */
static bool needs_new_connection(const inflight_request *request, const gateway_engine *engine) {
  const engine_health *health = &engine->health;
  if (health->suspect)
    return true;
  if (request_may_retry(request))
    return false;
  time_us last_heard_at = health->last_byte_at.us > engine->heartbeat_at.us ? health->last_byte_at
                                                                            : engine->heartbeat_at;
  return time_sub(request_now(request), last_heard_at).us > RECENTLY_HEARD_MS * 1000;
}

static http_call *open_call(inflight_request *request, time_us now) {
  const http_request *http = request->http;
  gateway_engine *engine = request->slot.engine;
  add_attempt_fields(request, engine);
  http_call *call = http_call_open_pooled(
      http->world, engine->address, http->method, http->target, request->request_fields,
      string_view_of_gstring(http->body), needs_new_connection(request, engine),
      time_add(now, time_from_ms(SEND_DEADLINE_MS)));
  http_call_require_field(call, request_field_name(request, DF_REQUEST_ID),
                          string_view_of(request->request_id));
  return call;
}

static enum attempt_outcome retry_if_allowed(inflight_request *request) {
  return request_may_retry(request) && reserved_slot_take_for_retry(request)
             ? ATTEMPT_OUTCOME_RETRY
             : ATTEMPT_OUTCOME_FAILED;
}

/* waits for the head of the response; ATTEMPT_OUTCOME_DONE when it has arrived */
static enum attempt_outcome await_response_head(inflight_request *request, http_call *call,
                                                time_us began_at) {
  const http_request *http = request->http;
  time_us connect_until = time_add(began_at, time_from_ms(CONNECT_TIMEOUT_MS)),
          deadline = attempt_deadline(request), next_retry_at = { 0 };
  bool counted = false;
  for (;;) {
    if (call->sent && !counted) {
      counted = true;
      request->attempts_sent++;
      request->gateway->counts.attempts++;
    }
    if (call->status)
      return ATTEMPT_OUTCOME_DONE;
    if (http->client_gone || http->world->tasks.stopped)
      return ATTEMPT_OUTCOME_CLIENT_LEFT;
    if (call->broken || call->ended)
      return !call->sent ? ATTEMPT_OUTCOME_NOT_SENT : retry_if_allowed(request);
    if (attempt_past_grace_period(request))
      return call->sent ? ATTEMPT_OUTCOME_STOPPED : ATTEMPT_OUTCOME_NOT_SENT;
    time_us now = request_now(request), until = call->sent ? deadline : connect_until;
    if (time_reached(now, until))
      return call->sent ? ATTEMPT_OUTCOME_TIMEOUT : ATTEMPT_OUTCOME_NOT_SENT;
    time_us last_byte_at = call->sent_at.us ? call->sent_at : began_at;
    if (call->sent && request_may_retry(request) &&
        attempt_retry_if_unresponsive(request, call, last_byte_at, false, &next_retry_at, &until))
      return ATTEMPT_OUTCOME_RETRY;
    condition_wait(&http->world->tasks, &call->progressed, until);
  }
}

/* statuses that tell clients that a request has not run and will not run */
static bool status_means_not_run(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

/* True when an engine's error must not be relayed: its status would tell the client that the
 * request has not run although the engine did not say so, or it has no stamp and would look like a
 * refusal by the gateway, which clients do not retry. */
static bool status_misleads(const inflight_request *request, int status, bool stamped,
                            bool not_run) {
  if (not_run || status / 100 == 2)
    return false;
  if (status_means_not_run(status) && !request_may_retry(request))
    return true;
  return !stamped && status / 100 != 5;
}

/* handles an engine that did not run the request because its model is not loaded or the engine is
 * busy */
static enum attempt_outcome handle_declined(inflight_request *request, const http_call *call) {
  gateway_engine *engine = request->slot.engine;
  engine_health *health = &engine->health;
  string_view value;
  bool model_missing =
      call->status == 421 && !id_is_empty(request->model) && !request->resumed &&
      !fields_get(request->http->fields, request_field_name(request, DF_EXPECT_VERSION), &value);
  if (model_missing)
    gateway_engine_mark_unloaded(engine, request->model, request->adapter);
  else if (!health->ejected_until.us || time_reached(health->last_byte_at, health->ejected_until)) {
    int64_t random_ms = (int64_t)world_random(request->http->world, DECLINED_EJECTION_MS);
    health->ejected_until =
        time_add(health->last_byte_at, time_from_ms(DECLINED_EJECTION_MS + random_ms));
  }
  return reserved_slot_take_for_retry(request) ? ATTEMPT_OUTCOME_RETRY : ATTEMPT_OUTCOME_NOT_RUN;
}

static bool is_event_stream(const inflight_request *request, const http_call *call) {
  static const char type[] = "text/event-stream";
  string_view value;
  return request->route->mode == ROUTE_MODE_STREAM &&
         fields_get(call->response_fields, "Content-Type", &value) &&
         value.length >= strlen(type) && !g_ascii_strncasecmp(value.data, type, strlen(type));
}

/* evaluates the head of a response and relays the response if that is allowed */
static enum attempt_outcome evaluate_response_head(inflight_request *request, http_call *call,
                                                   time_us began_at) {
  engine_health *health = &request->slot.engine->health;
  string_view value;
  health->last_byte_at = request_now(request);
  bool ok = call->status >= 200 && call->status < 300;
  bool stamped = fields_get(call->response_fields, request_field_name(request, DF_STAMP), &value) &&
                 value.length;
  bool not_run = fields_get(call->response_fields, request_field_name(request, DF_NOT_RUN), &value);
  request->declined = call->status == 421 || (not_run && call->status != 400);
  if (request->declined)
    return handle_declined(request, call);
  bool encoded = fields_get(call->response_fields, "Content-Encoding", &value);
  if ((ok && (!stamped || encoded)) || status_misleads(request, call->status, stamped, not_run))
    return retry_if_allowed(request);
  bool events = ok && is_event_stream(request, call);
  if (request->http->response_started && (call->status != 200 || !events))
    return reserved_slot_take_for_retry(request) ? ATTEMPT_OUTCOME_RETRY : ATTEMPT_OUTCOME_FAILED;
  time_us sent_at = call->sent_at.us ? call->sent_at : began_at;
  if (events) {
    if (fields_get(call->response_fields, request_field_name(request, DF_WEIGHT_VERSIONS), &value))
      response_relay_record_weight_version(request, value);
    return response_relay_stream(request, call, sent_at);
  }
  if (call->status < 500)
    response_relay_record_first_event(request,
                                      (double)time_sub(health->last_byte_at, sent_at).us / 1000);
  return response_relay_complete(request, call, ok);
}

/* True when the response is an error of the engine itself. Such errors are returned quickly, which
 * must not attract more requests to the engine. */
static bool is_engine_failure(const inflight_request *request, const http_call *call) {
  return call->status >= 500 && call->status != 504 && !request->declined;
}

/* true when an attempt shows no fault of its engine; answered: the response head has arrived */
static bool engine_not_at_fault(const inflight_request *request, const http_call *call,
                                enum attempt_outcome outcome, bool answered, time_us began_at) {
  switch (outcome) {
  case ATTEMPT_OUTCOME_DONE:
    return !is_engine_failure(request, call);
  case ATTEMPT_OUTCOME_NOT_RUN:
  case ATTEMPT_OUTCOME_STOPPED:
    return true;
  case ATTEMPT_OUTCOME_CLIENT_LEFT:
    return answered ||
           request_ms_since(request, began_at) <
               MAX(CLIENT_LEFT_MIN_MS, CLIENT_LEFT_FIRST_EVENTS * mean_first_event_ms(request));
  case ATTEMPT_OUTCOME_RETRY:
    return answered && !call->broken && !is_engine_failure(request, call);
  case ATTEMPT_OUTCOME_TIMEOUT:
    return answered;
  case ATTEMPT_OUTCOME_NOT_SENT:
  case ATTEMPT_OUTCOME_FAILED:
    break;
  }
  return false;
}

/* true when a stream stalled at a lightly loaded engine */
static bool stream_stalled(const inflight_request *request, enum attempt_outcome outcome) {
  double max_gap_ms =
      MAX(STREAM_SILENCE_MIN_MS, (double)SILENCE_GAPS * (double)request->route->gap_target_ms);
  return (outcome == ATTEMPT_OUTCOME_CLIENT_LEFT || outcome == ATTEMPT_OUTCOME_TIMEOUT) &&
         request_ms_since(request, request->last_event_bytes_at) > max_gap_ms &&
         gateway_engine_lightly_loaded(request->slot.engine);
}

/* records the durations of a served request */
static void record_served(inflight_request *request, const http_call *call, time_us began_at) {
  gateway *gateway = request->gateway;
  service_traffic_record_run(service_traffic_of(gateway, request->service),
                             request_ms_since(request, began_at));
  if (request->route->mode == ROUTE_MODE_STREAM && call->status == 200)
    route_durations_record(gateway->route_durations, request->route->name,
                           request_ms_since(request, request->received_at));
}

enum attempt_outcome attempt_run(inflight_request *request) {
  time_us began_at = request->last_event_bytes_at = request_now(request);
  gateway_engine *engine = request->slot.engine;
  /* a stream of which nothing has been relayed yet starts from the beginning */
  request->resumed = request->http->response_started;
  request->declined = false;
  http_call *call = open_call(request, began_at);
  request->last_engine = engine->engine_id;
  request->http->client_gone_condition = &call->progressed;
  enum attempt_outcome outcome = await_response_head(request, call, began_at);
  bool answered = call->status != 0;
  if (outcome == ATTEMPT_OUTCOME_DONE)
    outcome = evaluate_response_head(request, call, began_at);
  request->http->client_gone_condition = NULL;
  if (call->sent && !request->declined)
    request->may_have_run = true;
  bool ok = engine_not_at_fault(request, call, outcome, answered, began_at);
  if (ok && answered && stream_stalled(request, outcome))
    gateway_engine_add_own_failure(engine);
  if (outcome == ATTEMPT_OUTCOME_NOT_SENT)
    request_exclude_engine(request, engine->engine_id);
  if (outcome == ATTEMPT_OUTCOME_DONE)
    record_served(request, call, began_at);
  http_call_close(call);
  reserved_slot_release(request, &request->slot, ok);
  request->slot = request->next_slot;
  request->next_slot = (reserved_slot){ 0 };
  if (outcome == ATTEMPT_OUTCOME_RETRY && request->http->response_started)
    request->gateway->counts.resumed++;
  return outcome;
}
