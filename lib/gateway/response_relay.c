/** Relays an engine's response to the client.
 *
 * An event stream is relayed in complete events only, so that another engine can resume it after
 * the last event id. Any other response is read to its end first, so that a truncated one never
 * looks complete. */
#include "event_stream.h"
#include "inflight_request.h"
#include "service_traffic.h"

/* Maximum size of what is buffered in memory: a response that is not a stream, or one event of a
 * stream. */
enum { MAX_BODY_BYTES = 8 << 20 };

/* copies the engine's header fields except hop-by-hop ones */
static void begin_response(inflight_request *request, const http_call *call) {
  static const char *const skip_none[] = { NULL };
  http_request *http = request->http;
  if (http->response_started)
    return;
  if (!http->response_fields)
    http->response_fields = g_string_new(NULL);
  request->response_begun_ms = request_ms_since(request, request->received_at);
  fields_forward(call->response_fields, http->response_fields, skip_none);
}

static void begin_stream(inflight_request *request, const http_call *call) {
  if (request->http->response_started)
    return;
  begin_response(request, call);
  http_request_begin(request->http, call->status, NULL);
}

static void send_complete_response(inflight_request *request, const http_call *call) {
  begin_response(request, call);
  http_request_respond(request->http, call->status, NULL,
                       string_view_of_gstring(call->response_body));
}

void response_relay_record_first_event(inflight_request *request, double ms) {
  reserved_slot *slot = &request->slot;
  if (slot->first_event_seen)
    return;
  slot->first_event_seen = true;
  request->first_event_ms = ms;
  gateway_engine_record_first_event(slot->engine, request->tokens, ms, slot->running_at_start);
  service_traffic_record_first_event(service_traffic_of(request->gateway, request->service), ms);
}

void response_relay_record_weight_version(inflight_request *request, string_view versions) {
  /* the last version of a list is the current one */
  for (size_t i = versions.length; i > 0; i--)
    if (versions.data[i - 1] == ',' || versions.data[i - 1] == ' ') {
      versions.data += i;
      versions.length -= i;
      break;
    }
  if (!versions.length || versions.length >= sizeof request->weight_version)
    return;
  memcpy(request->weight_version, versions.data, versions.length);
  request->weight_version[versions.length] = 0;
}

/* Records ids and weight versions of complete events, and sets *new_from to the start of the events
 * that the client does not have yet. False when a resumed stream does not continue what was relayed
 * before. */
static bool track_events(inflight_request *request, const char *events, size_t length,
                         size_t *new_from) {
  const char *versions_name = request_field_name(request, DF_WEIGHT_VERSIONS);
  size_t at = 0;
  bool new_seen = false;
  *new_from = 0;
  while (at < length) {
    event_info event;
    size_t event_length = event_parse(events + at, length - at, versions_name, &event);
    if (event.weight_versions.length)
      response_relay_record_weight_version(request, event.weight_versions);
    if (request->resumed) {
      if (!event.has_id && event.has_data)
        return false;
      if (event.has_id && event.id <= request->last_event_id) {
        if (new_seen)
          return false;
        *new_from = at + event_length;
      } else
        new_seen = true;
    }
    if (event.has_id && event.id >= request->last_event_id)
      request->last_event_id = event.id;
    else if (event.has_data && !request->resumed)
      request->unresumable = true;
    at += event_length;
  }
  return true;
}

/* true when another engine may resume the response */
static bool can_resume(const inflight_request *request) {
  return !request->http->response_started ||
         (gateway_feature_enabled(request->gateway, FEATURE_RESUME) && request->route->resumable &&
          !request->unresumable && request->last_event_id);
}

/** Result of one step of relaying a stream. */
enum relay_step { RELAY_WAIT, RELAY_AGAIN, RELAY_ENDED };

/* relays the complete events received so far; RELAY_ENDED with *outcome when that failed */
static enum relay_step relay_events(inflight_request *request, http_call *call, time_us sent_at,
                                    bool *events_received, enum attempt_outcome *outcome) {
  GString *body = call->response_body;
  size_t length = event_complete_length(body->str, body->len), new_from = 0;
  if (!length)
    return RELAY_WAIT;
  if (!*events_received) {
    response_relay_record_first_event(request,
                                      (double)time_sub(request_now(request), sent_at).us / 1000);
    *events_received = true;
  }
  *outcome = ATTEMPT_OUTCOME_FAILED;
  if (!track_events(request, body->str, length, &new_from))
    return RELAY_ENDED;
  if (new_from < length) {
    begin_stream(request, call);
    string_view events = { body->str + new_from, length - new_from };
    enum error_code code = http_request_write(request->http, events, attempt_deadline(request));
    *outcome = code == E_STOPPING || code == E_PEER_GONE ? ATTEMPT_OUTCOME_CLIENT_LEFT
                                                         : ATTEMPT_OUTCOME_TIMEOUT;
    if (code)
      return RELAY_ENDED;
  }
  g_string_erase(body, 0, (gssize)length);
  return RELAY_AGAIN;
}

enum attempt_outcome response_relay_stream(inflight_request *request, http_call *call,
                                           time_us sent_at) {
  http_request *http = request->http;
  time_us last_byte_at = request_now(request), deadline = attempt_deadline(request),
          next_retry_at = { 0 };
  bool events_received = false;
  for (;;) {
    if (http->client_gone || http->world->tasks.stopped)
      return ATTEMPT_OUTCOME_CLIENT_LEFT;
    time_us now = request_now(request);
    if (call->response_body->len) {
      request->last_event_bytes_at = last_byte_at = request->slot.engine->health.last_byte_at = now;
      next_retry_at = (time_us){ 0 };
    }
    enum attempt_outcome outcome;
    enum relay_step step = relay_events(request, call, sent_at, &events_received, &outcome);
    if (step == RELAY_ENDED)
      return outcome;
    if (step == RELAY_AGAIN)
      continue;
    if (call->ended && !call->response_body->len) {
      begin_stream(request, call);
      http_request_end(http, true);
      return ATTEMPT_OUTCOME_DONE;
    }
    if (attempt_past_grace_period(request))
      return ATTEMPT_OUTCOME_STOPPED;
    bool may_resume = can_resume(request) && request_may_retry(request);
    if (call->ended || call->broken || call->response_body->len > MAX_BODY_BYTES)
      return may_resume && reserved_slot_take_for_retry(request) ? ATTEMPT_OUTCOME_RETRY
                                                                 : ATTEMPT_OUTCOME_FAILED;
    if (time_reached(now, deadline))
      return ATTEMPT_OUTCOME_TIMEOUT;
    time_us until = deadline;
    if (may_resume && attempt_retry_if_unresponsive(request, call, last_byte_at, events_received,
                                                    &next_retry_at, &until))
      return ATTEMPT_OUTCOME_RETRY;
    condition_wait(&http->world->tasks, &call->progressed, until);
  }
}

/* reads a response to its end; ATTEMPT_OUTCOME_DONE when it ended or its connection broke */
static enum attempt_outcome read_to_end(inflight_request *request, http_call *call) {
  http_request *http = request->http;
  time_us deadline = attempt_deadline(request), last_byte_at = request_now(request),
          next_retry_at = { 0 };
  size_t read = 0;
  while (!call->ended && !call->broken) {
    if (http->client_gone || http->world->tasks.stopped)
      return ATTEMPT_OUTCOME_CLIENT_LEFT;
    time_us now = request_now(request);
    if (call->response_body->len > read) {
      read = call->response_body->len;
      last_byte_at = request->slot.engine->health.last_byte_at = now;
    }
    if (read > MAX_BODY_BYTES)
      return ATTEMPT_OUTCOME_FAILED;
    if (attempt_past_grace_period(request))
      return ATTEMPT_OUTCOME_STOPPED;
    if (time_reached(now, deadline))
      return ATTEMPT_OUTCOME_TIMEOUT;
    time_us until = deadline;
    if (request_may_retry(request) &&
        attempt_retry_if_unresponsive(request, call, last_byte_at, false, &next_retry_at, &until))
      return ATTEMPT_OUTCOME_RETRY;
    condition_wait(&http->world->tasks, &call->progressed, until);
  }
  return ATTEMPT_OUTCOME_DONE;
}

enum attempt_outcome response_relay_complete(inflight_request *request, http_call *call, bool ok) {
  enum attempt_outcome outcome = read_to_end(request, call);
  if (outcome != ATTEMPT_OUTCOME_DONE)
    return outcome;
  if (request->http->client_gone)
    return ATTEMPT_OUTCOME_CLIENT_LEFT;
  if (call->broken)
    return request_may_retry(request) && reserved_slot_take_for_retry(request)
               ? ATTEMPT_OUTCOME_RETRY
               : ATTEMPT_OUTCOME_FAILED;
  request->slot.engine->health.last_byte_at = request_now(request);
  if (!ok && request_may_retry(request) && call->status >= 500 &&
      reserved_slot_take_for_retry(request))
    return ATTEMPT_OUTCOME_RETRY;
  send_complete_response(request, call);
  return ATTEMPT_OUTCOME_DONE;
}
