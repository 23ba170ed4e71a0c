/** The way of a request: route, admission, engine, attempts, and the gateway's own response when
 * none succeeds; see forward.h. */
#include "forward.h"
#include "inflight_request.h"
#include "service_traffic.h"
#include <stdlib.h>

enum {
  /* choices of an engine after connections that failed */
  MAX_CONNECT_ATTEMPTS = 4,
  /* a step of priority is worth so much waiting in the queue */
  PRIORITY_AGE_MS = 400,
  /* other gateways are there to ask */
  DRAINING_RETRY_AFTER_MS = 20,
  NO_CONFIG_RETRY_AFTER_MS = 500,
  NO_ENGINE_RETRY_AFTER_MS = 300,
  DECLINED_RETRY_AFTER_MS = 200,
  DEFAULT_RETRY_AFTER_MS = 200,
  /* random part of a retry delay: a quarter of it and this, so that clients don't come back
     together */
  RETRY_JITTER_MS = 50,
  /* lines of the log at the end of a drain */
  MAX_OPEN_REQUEST_LINES = 40,
  /* steps of the random draw by which a route's services share its requests */
  SERVICE_DRAW_STEPS = 1 << 20
};

void forward_wake_open_requests(gateway *gateway) {
  list_for_each (request, &gateway->requests.open, inflight_request, open_link)
    if (request->http->client_gone_condition)
      condition_broadcast(request->http->client_gone_condition);
}

/* A response by the gateway itself. retry_after_ms: of a 503, 0 for the default; left_ms: the time
 * that the client has, or 0. */
static void send_local_response(gateway *gateway, http_request *http, int status,
                                int64_t retry_after_ms, int64_t left_ms, const char *text) {
  if (http->response_started || http->response_ended)
    return;
  if (!http->response_fields)
    http->response_fields = g_string_new(NULL);
  const char *id_field = gateway->settings.dialect->header_names[DF_REQUEST_ID];
  string_view request_id;
  if (http->fields && fields_get(http->fields, id_field, &request_id))
    fields_add(http->response_fields, id_field, request_id);
  if (status == 503) {
    int64_t ms = retry_after_ms > 0 ? retry_after_ms : DEFAULT_RETRY_AFTER_MS;
    ms += (int64_t)world_random(http->world, (uint64_t)ms / 4 + RETRY_JITTER_MS);
    if (left_ms > 0)
      ms = MIN(ms, left_ms / 3);
    fields_add_format(http->response_fields, "Retry-After", "%" PRId64 ".%03" PRId64, ms / 1000,
                      ms % 1000);
  }
  fields_add(http->response_fields, "Content-Type", string_view_of("text/plain"));
  http_request_respond(http, status, NULL, string_view_of(text));
}

/* reads "MODEL" or "MODEL/ADAPTER"; false when these are no names */
static bool parse_model(string_view value, id *model, id *adapter) {
  const char *slash = memchr(value.data, '/', value.length);
  string_view model_name = { value.data, slash ? (size_t)(slash - value.data) : value.length };
  string_view adapter_name = { slash ? slash + 1 : "",
                               slash ? value.length - model_name.length - 1 : 0 };
  if (!id_is_valid(model_name) || (adapter_name.length && !id_is_valid(adapter_name)))
    return false;
  *model = id_of(model_name);
  *adapter = id_of(adapter_name);
  return true;
}

/* true when a service with models may run a request for this one; a plain service runs any */
static bool model_is_allowed(const service *service, id model, id adapter) {
  if (!service->model_count || id_is_empty(model))
    return true;
  const service_model_spec *spec = service_find_model(service, model.text);
  return spec && (id_is_empty(adapter) || spec->adapters);
}

/* admission: the configuration allows the request, and it is counted */
static enum error_code request_step_parse(inflight_request *request) {
  gateway *gateway = request->gateway;
  string_view value;
  bool named = fields_get(request->http->fields, request_field_name(request, DF_MODEL), &value) &&
               value.length;
  if ((named && !parse_model(value, &request->model, &request->adapter)) ||
      !model_is_allowed(request->service, request->model, request->adapter)) {
    request_fail(request, 404, 0, "no such model\n");
    return E_UNKNOWN_MODEL;
  }
  if (!request->service->model_count)
    request->model = request->adapter = id_none;
  if (fields_get(request->http->fields, request_field_name(request, DF_TOKENS), &value))
    request->tokens = (double)strtol(value.data, NULL, 10);
  request->prefix = fields_dup(request->http->fields, request_field_name(request, DF_PREFIX));
  retry_budget_record_request(gateway, request->service);
  if (!id_is_empty(request->model))
    event_history_append(&gateway->router->history,
                         (history_event){ .kind = EVENT_ROUTED,
                                          .model = request->model,
                                          .adapter = request->adapter,
                                          .value = request->route->priority });
  return OK;
}

/* an engine now, unless others wait for the same model and come first */
static enum error_code request_step_select(inflight_request *request) {
  if (list_is_empty(&request->gateway->requests.queue) || !request_queue_count_ahead(request))
    reserved_slot_take(request, &request->slot);
  else
    request->select_result = ENGINE_SELECT_ALL_BUSY;
  return OK;
}

static enum error_code fail_unreachable(inflight_request *request) {
  request_fail(request, 503, NO_ENGINE_RETRY_AFTER_MS, "no engine could be reached\n");
  return E_NO_ENGINE;
}

/* after an attempt that was not sent: another engine, without taking from the retry budget */
static enum error_code reserve_after_failed_connect(inflight_request *request,
                                                    int connect_attempts) {
  if (connect_attempts >= MAX_CONNECT_ATTEMPTS || request->http->client_gone)
    return fail_unreachable(request);
  /* a first attempt that finds no engine waits for one; a retry does not */
  if (!reserved_slot_take(request, &request->slot) && request->attempts_sent)
    return fail_unreachable(request);
  return OK;
}

/* the end of a request whose attempt was the last one */
static enum error_code fail_by_outcome(inflight_request *request, enum attempt_outcome outcome) {
  switch (outcome) {
  case ATTEMPT_OUTCOME_NOT_RUN:
    request_fail(request, 503, DECLINED_RETRY_AFTER_MS, "the engine did not take it\n");
    return E_OVERLOADED;
  case ATTEMPT_OUTCOME_FAILED:
    request_fail(request, 502, 0, "the engine broke off\n");
    return E_STREAM_BROKEN;
  case ATTEMPT_OUTCOME_TIMEOUT:
    request_fail(request, 504, 0, "the engine gave no answer in time\n");
    return E_DEADLINE_EXCEEDED;
  case ATTEMPT_OUTCOME_STOPPED:
    request_fail(request, 502, 0, "this machine has stopped before the engine answered\n");
    return E_DRAINING;
  case ATTEMPT_OUTCOME_CLIENT_LEFT:
    return E_PEER_GONE;
  case ATTEMPT_OUTCOME_DONE:
  case ATTEMPT_OUTCOME_RETRY:
  case ATTEMPT_OUTCOME_NOT_SENT:
    break;
  }
  return OK;
}

/* attempts, until one succeeds or no other is allowed */
static enum error_code request_step_forward(inflight_request *request) {
  for (int connect_attempts = 0;;) {
    enum error_code code = request_queue_wait(request);
    if (code)
      return code;
    if (request->http->client_gone) {
      reserved_slot_release(request, &request->slot, true);
      return E_PEER_GONE;
    }
    enum attempt_outcome outcome = attempt_run(request);
    if (outcome == ATTEMPT_OUTCOME_RETRY)
      continue;
    if (outcome != ATTEMPT_OUTCOME_NOT_SENT)
      return fail_by_outcome(request, outcome);
    code = reserve_after_failed_connect(request, ++connect_attempts);
    if (code)
      return code;
  }
}

/* the steps are the same for all modes of a route; what a mode allows is decided within them */
static enum error_code run_steps(inflight_request *request) {
  static enum error_code (*const steps[])(inflight_request *) = {
    request_step_parse, request_step_select, request_queue_wait, request_step_forward
  };
  enum error_code code = OK;
  for (size_t i = 0; !code && i < G_N_ELEMENTS(steps); i++)
    code = steps[i](request);
  return code;
}

/* why a request that ended with a code was not served; UNSERVED_COUNT when that is the client's
 * doing */
static enum unserved_reason unserved_reason_of(const inflight_request *request,
                                               enum error_code code) {
  switch (code) {
  case E_OVERLOADED:
    return UNSERVED_DECLINED;
  case E_DRAINING:
    return UNSERVED_DRAINING;
  case E_STREAM_BROKEN:
    return UNSERVED_BROKEN;
  case E_PEER_GONE:
    return request->attempts_sent ? UNSERVED_COUNT : UNSERVED_CLIENT_LEFT_WAITING;
  case E_UNKNOWN_MODEL:
    return request->status == 404 ? UNSERVED_COUNT : UNSERVED_NO_MODEL;
  default:
    return request->attempts_sent                             ? UNSERVED_TIMEOUT
           : request->select_result == ENGINE_SELECT_NO_MODEL ? UNSERVED_NO_MODEL
           : request->select_result == ENGINE_SELECT_ALL_BUSY ? UNSERVED_BUSY
                                                              : UNSERVED_NO_ENGINE;
  }
}

static void log_end(const inflight_request *request, enum error_code code) {
  const http_request *http = request->http;
  log_debug(
      &request->gateway->router->node.log, "forward",
      "%s of %s, priority %u, model %s+%s, %.0f tokens: code %d, status %d, client gone %d, after %.0f ms, queued %.0f ms, estimated %.0f ms, first event %.0f ms, attempts %d, last at %s, %s.",
      request->request_id, request->route->name.text, request->route->priority, request->model.text,
      request->adapter.text, request->tokens, code,
      http->response_started ? http->status : request->status, http->client_gone,
      request_ms_since(request, request->received_at), request->queued_ms, request->estimate_ms,
      request->first_event_ms, request->attempts_sent, request->last_engine.text,
      request->error_text ? request->error_text : "-");
}

/* ends a request that was not served with a response by the gateway, or by cutting the stream */
static void respond_unserved(inflight_request *request, enum error_code code) {
  gateway *gateway = request->gateway;
  http_request *http = request->http;
  int status = request->status ? request->status : 503;
  /* a request that may have run is never said not to have */
  if (status == 503 && request->may_have_run && !request_may_retry(request))
    status = 502;
  if (status == 503)
    gateway->counts.refused++;
  else if (status == 404)
    gateway->counts.no_route++;
  else
    gateway->counts.failed++;
  if (http->response_started) {
    log_debug(&gateway->router->node.log, "forward", "A stream of %s is cut (code %d).",
              request->service->name.text, code);
    http_request_end(http, false);
  } else
    send_local_response(gateway, http, status, request->retry_after_ms, request_left_ms(request),
                        request->error_text ? request->error_text : "not served\n");
}

static void finish_request(inflight_request *request, enum error_code code) {
  gateway *gateway = request->gateway;
  http_request *http = request->http;
  log_end(request, code);
  if (!code) {
    gateway->counts.served++;
    return;
  }
  enum unserved_reason reason = unserved_reason_of(request, code);
  if (reason < UNSERVED_COUNT)
    gateway->counts.unserved[reason]++;
  if (code == E_PEER_GONE || http->client_gone) {
    gateway->counts.client_left++;
    if (!http->response_ended)
      http_request_end(http, false);
    return;
  }
  respond_unserved(request, code);
}

static const char *request_phase(const inflight_request *request) {
  return request->http->response_started ? "its answer has begun"
         : !request->slot.engine         ? "it waits for an engine"
         : request->attempts_sent        ? "it was sent to an engine"
                                         : "an engine is chosen";
}

void forward_log_open_requests(gateway *gateway) {
  int lines = 0;
  list_for_each (request, &gateway->requests.open, inflight_request, open_link) {
    if (lines++ >= MAX_OPEN_REQUEST_LINES)
      return;
    log_info(&gateway->router->node.log, "gateway",
             "Request %s of %s is left: number %u of its connection, taken %" PRId64
             " ms after the order to stop, %" PRId64 " ms ago; %s (%s).",
             request->request_id, request->route->name.text,
             request->http->connection_request_number,
             time_sub(request->received_at, gateway->drain.started_at).us / 1000,
             (int64_t)request_ms_since(request, request->received_at), request_phase(request),
             request->slot.engine ? request->slot.engine->engine_id.text : "-");
  }
}

static void canary_assign(inflight_request *request) {
  request->canary = canary_admit(request->gateway, request->http, request->route);
  if (!request->canary.version)
    return;
  request->policy = *canary_policy(request->gateway, &request->canary);
  g_strlcpy(request->canary_name, canary_name(request->gateway), sizeof request->canary_name);
}

/* the status by which a trial counts a request. A client that left early shows nothing (0); one
 * that left after its latency target was let down. */
static int canary_status_of(const inflight_request *request, bool client_left, double took_ms,
                            bool cut) {
  if (client_left)
    return request->response_begun_ms < 0 && took_ms > (double)request->route->target_ms ? 504 : 0;
  return cut ? 502 : request->http->status;
}

/* A stream that nobody can resume would be cut by the end of this process; its client has time to
 * go elsewhere now. */
static bool outlasts_process(const inflight_request *request) {
  const gateway *gateway = request->gateway;
  if (request->route->mode != ROUTE_MODE_STREAM || request->route->resumable ||
      !gateway_feature_enabled(gateway, FEATURE_DRAIN_STREAMS))
    return false;
  return route_durations_upper_ms(gateway->route_durations, request->route->name) >
         (double)gateway_remaining_ms(gateway);
}

/* the route of a request that can be forwarded; NULL when it was answered here */
static const route *find_route_or_respond(gateway *gateway, http_request *http) {
  if (!gateway->routing) {
    gateway->counts.refused++;
    send_local_response(gateway, http, 503, NO_CONFIG_RETRY_AFTER_MS, 0,
                        "no configuration is known yet\n");
    return NULL;
  }
  string_view path = { http->target, strcspn(http->target, "?") };
  const route *route = routing_find_route(gateway->routing, string_view_of(http->host), path);
  if (!route) {
    gateway->counts.no_route++;
    send_local_response(gateway, http, 404, 0, 0, "no such route\n");
    return NULL;
  }
  const char *id_field = gateway->settings.dialect->header_names[DF_REQUEST_ID];
  string_view request_id;
  if (!fields_get(http->fields, id_field, &request_id) || !request_id.length) {
    send_local_response(gateway, http, 400, 0, 0, "the request has no id\n");
    return NULL;
  }
  if (fields_count(http->fields, id_field) > 1) {
    send_local_response(gateway, http, 400, 0, 0, "the request has more than one id\n");
    return NULL;
  }
  return route;
}

static void request_init(inflight_request *request, gateway *gateway, http_request *http,
                         const route *route) {
  world *world = gateway->router->node.world;
  const char *const *field = gateway->settings.dialect->header_names;
  string_view request_id = { 0 };
  fields_get(http->fields, field[DF_REQUEST_ID], &request_id);
  int64_t left_ms = fields_get_number(http->fields, field[DF_TIME_LEFT_MS], route->timeout_ms);
  time_us received_at = http->received_at.us ? http->received_at : world_now(world);
  *request = (inflight_request){
    .gateway = gateway,
    .http = http,
    .routing = routing_ref((routing *)gateway->routing),
    .route = route,
    .received_at = received_at,
    .deadline = time_add(received_at, time_from_ms(MIN(left_ms, route->timeout_ms))),
    .queue_rank = received_at.us + (int64_t)route->priority * PRIORITY_AGE_MS * 1000,
    .request_id = g_strndup(request_id.data, request_id.length),
    .response_begun_ms = -1
  };
  request->service = route_pick_service(route, (double)world_random(world, SERVICE_DRAW_STEPS) /
                                                   SERVICE_DRAW_STEPS);
  condition_init(&request->wake);
}

static void request_cleanup(inflight_request *request) {
  reserved_slot_release(request, &request->slot, true);
  reserved_slot_release(request, &request->next_slot, true);
  if (request->request_fields)
    g_string_free(request->request_fields, TRUE);
  g_free(request->prefix);
  g_free(request->request_id);
  routing_unref(request->routing);
}

static void refuse_draining(const inflight_request *request) {
  gateway *gateway = request->gateway;
  gateway->counts.unserved[UNSERVED_DRAINING]++;
  gateway->counts.refused++;
  int64_t left_ms = time_sub(request->deadline, request->received_at).us / 1000;
  send_local_response(gateway, request->http, 503, DRAINING_RETRY_AFTER_MS, left_ms,
                      "this machine is leaving\n");
}

/* forwards an admitted request and counts how it ended */
static void serve_request(inflight_request *request) {
  gateway *gateway = request->gateway;
  http_request *http = request->http;
  attempt_build_base_fields(request);
  gateway->requests.open_count++;
  list_append(&gateway->requests.open, &request->open_link);
  if (gateway->canary)
    canary_assign(request);
  enum error_code code = run_steps(request);
  bool client_left = code == E_PEER_GONE || http->client_gone;
  bool cut = code && http->response_started;
  double took_ms = request_ms_since(request, request->received_at);
  finish_request(request, code);
  if (request->canary.version)
    canary_record_result(gateway, &request->canary, request->route, request->response_begun_ms,
                         canary_status_of(request, client_left, took_ms, cut));
  gateway->requests.open_count--;
  list_remove(&request->open_link);
}

void forward_request(void *context, http_request *http) {
  gateway *gateway = context;
  inflight_request request;
  gateway->counts.requests++;
  const route *route = find_route_or_respond(gateway, http);
  if (!route)
    return;
  request_init(&request, gateway, http, route);
  if (gateway->drain.admission_stopped || outlasts_process(&request))
    refuse_draining(&request);
  else
    serve_request(&request);
  request_cleanup(&request);
}
