/**
 * Parses requests, runs the steps of the matching rule, and sends error responses.
 */
#include "generate_api.h"
#include "routed_request.h"
#include "router.h"
#include "router_pages.h"
#include <stdio.h>

enum {
  DEFAULT_RETRY_MS = 2000,
  /* Jitter of the Retry-After time: up to half of that time plus this. */
  RETRY_JITTER_MS = 500,
  RETRY_ISOLATED_MS = 2000,
  RETRY_DRAINING_MS = 1000,
  STATUS_NO_RULE = 403,
  /* Initial value of smoothed_service_ms, before any stream has been measured. */
  INITIAL_SERVICE_MS = 2000
};

/* A router that has just started may send a few retries before its requests have added to the
 * budget. */
static const double INITIAL_RETRY_BUDGET = 2, MAX_RETRY_BUDGET = 10;

void generate_api_init(generate_api *api) {
  list_init(&api->outgoing_load_requests);
  list_init(&api->admitted_requests);
  api->smoothed_service_ms = INITIAL_SERVICE_MS;
  api->retry_budget = INITIAL_RETRY_BUDGET;
}

static int status_of_error(enum error_code code) {
  switch (code) {
  case E_UNKNOWN_MODEL:
    return 404;
  case E_NO_ENGINE_FITS:
    return 422;
  case E_QUEUE_FULL:
  case E_LOAD_SHED:
    return 429;
  case E_STREAM_BROKEN:
  case E_CONNECTION_LOST_AFTER_SEND:
    return 502;
  case E_DEADLINE_EXCEEDED:
    return 504;
  default:
    return 503;
  }
}

/* Sets Retry-After, with jitter so that clients do not all return at the same time. */
static void set_retry_after(routed_request *request) {
  int64_t ms = request->retry_after_ms > 0 ? request->retry_after_ms : DEFAULT_RETRY_MS;
  ms += (int64_t)world_random(request->router->node.world, (uint64_t)ms / 2 + RETRY_JITTER_MS);
  char seconds[24];
  snprintf(seconds, sizeof seconds, "%" PRId64, (ms + 999) / 1000);
  http_headers_set(&request->http->known_response_fields, HEADER_RETRY_AFTER, seconds);
}

static void send_error(routed_request *request) {
  int status = status_of_error(request->error_code);
  /* the rule gives the status, in retry_after_ms */
  if (request->error_code == E_REJECTED_BY_RULE) {
    status = (int)request->retry_after_ms;
    request->retry_after_ms = 0;
  }
  if (status == 429 || status >= 502)
    set_retry_after(request);
  GString *body = g_string_new(NULL);
  json_appendf(body,
               "{\"code\":%d,\"run\":\"%s\",\"request\":\"%s\",\"error\":", request->error_code,
               run_outcome_name(request->run_outcome), request->request_id);
  json_append_quoted(body, string_view_of(request->error_text));
  g_string_append(body, "}\n");
  http_request_respond(request->http, status, "application/json", string_view_of_gstring(body));
  g_string_free(body, TRUE);
}

static enum error_code step_hold(routed_request *request, int64_t max_ms) {
  request->hold_deadline =
      max_ms ? time_add(request->received_at, time_from_ms(max_ms)) : request->deadline;
  return request->engine ? OK : engine_wait(request);
}

/* `after_hold`: the previous step was a hold. Without it, a request that found no engine fails. */
static enum error_code step_proxy(routed_request *request, bool after_hold) {
  if (!request->engine && !after_hold)
    return routed_request_set_error(
        request, E_NO_ENGINE, (int64_t)request->router->config->default_load_ms,
        "%s is not held anywhere, and its rule does not hold", request->model.text);
  return request_attempt_run(request);
}

static enum error_code run_step(routed_request *request, const rule_step *step,
                                const rule_step *previous) {
  switch (step->kind) {
  case STEP_ADMIT:
    return request_admission_admit(request);
  case STEP_SELECT_ENGINE:
    engine_selection_select(request);
    return OK;
  case STEP_WAIT_FOR_ENGINE:
    return step_hold(request, step->argument);
  case STEP_PROXY:
    return step_proxy(request, previous && previous->kind == STEP_WAIT_FOR_ENGINE);
  case STEP_RESPOND:
    return OK;
  case STEP_REJECT:
    return routed_request_set_error(request, E_REJECTED_BY_RULE, step->argument,
                                    "a rule refuses this request");
  }
  return OK;
}

/* Removes a request from the current counts of its kind and counts its outcome. */
static void count_outcome(routed_request *request, enum error_code code) {
  request_kind_stats *stats = &request->router->requests.kind_stats[request->policy_kind_index];
  if (request->counted_waiting)
    stats->waiting--;
  if (request->counted_running)
    stats->running--;
  if (!code)
    stats->completed++;
  else if (request->run_outcome == NOT_RUN)
    stats->refused++;
  else
    stats->failed++;
}

static void end_without_response(routed_request *request) {
  router *router = request->router;
  if (!request->http->client_gone)
    send_error(request);
  event_history_append(&router->history, (history_event){ .kind = EVENT_REFUSED,
                                                          .model = request->model,
                                                          .adapter = request->adapter,
                                                          .value = request->error_code });
  log_debug(&router->node.log, "route",
            "Request %s (%s) ended before a response began: %s (code %d, %s).", request->request_id,
            request->kind.self.text, request->error_text, request->error_code,
            run_outcome_name(request->run_outcome));
}

/* Runs a request through the steps of a rule until one fails. */
static void run_rule(routed_request *request, const policy_rule *rule) {
  enum error_code code = OK;
  for (int i = 0; i < rule->step_count && !code; i++)
    code = run_step(request, &rule->steps[i], i ? &rule->steps[i - 1] : NULL);
  count_outcome(request, code);
  if (code && !request->http->response_started && !request->http->response_ended)
    end_without_response(request);
}

/* Reads a name. An empty or missing name is allowed unless it is required. */
static enum error_code read_name(const json *object, const char *key, bool required, id *name,
                                 error *err) {
  const json *value = json_get(object, key);
  *name = id_of_text("");
  if (!value || value->kind == JSON_NULL)
    return required ? error_set(err, E_FIELD, "%s: missing", key) : OK;
  bool is_blank = value->kind == JSON_STRING && !value->text->len;
  if (value->kind != JSON_STRING ||
      !(id_is_valid(string_view_of_gstring(value->text)) || (!required && is_blank)))
    return error_set(err, E_NAME, "%s: not a name", key);
  *name = id_of(string_view_of_gstring(value->text));
  return OK;
}

static enum error_code read_prefix(const json *object, routed_request *request, error *err) {
  const char *prefix = json_text(object, "prefix", "");
  if (strlen(prefix) >= sizeof request->prefix)
    return error_set(err, E_TOO_LARGE, "prefix: over %zu bytes", sizeof request->prefix - 1);
  g_strlcpy(request->prefix, prefix, sizeof request->prefix);
  return OK;
}

static enum error_code read_fields(const json *object, routed_request *request, id *kind,
                                   error *err) {
  if (object->kind != JSON_OBJECT)
    return error_set(err, E_TYPE, "not an object");
  enum error_code code = read_name(object, "model", true, &request->model, err);
  if (!code)
    code = read_name(object, "adapter", false, &request->adapter, err);
  if (!code)
    code = read_name(object, "kind", false, kind, err);
  if (!code)
    code = read_prefix(object, request, err);
  request->resumable = json_bool(object, "resumable", false);
  return code;
}

static enum error_code parse_request(routed_request *request, id *kind, error *err) {
  json *object = json_parse(string_view_of_gstring(request->http->body), err);
  if (!object)
    return err->code;
  enum error_code code = read_fields(object, request, kind, err);
  json_free(object);
  return code;
}

/* Looks up the request's kind in the policy; the first kind is the default. */
static bool set_kind(routed_request *request, id name) {
  const config *config = request->router->config;
  const request_kind *kind = id_is_empty(name) ? &config->kinds[0] : config_kind(config, name.text);
  if (!kind)
    return false;
  request->kind = *kind;
  request->policy_kind_index = (int)(kind - config->kinds);
  return true;
}

static void set_identity(routed_request *request) {
  router *router = request->router;
  request->received_at = world_now(router->node.world);
  request->deadline = request->hold_deadline =
      time_add(request->received_at, time_from_ms(request->kind.deadline_ms));
  snprintf(request->request_id, sizeof request->request_id, "%s.%" PRIx64 ".%" PRIu64,
           router->node.settings.self.text, router->node.nonce >> 32,
           ++router->requests.request_count);
}

/* Checks whether this router may serve requests at all; sends an error response if not. */
static bool check_router(routed_request *request) {
  router *router = request->router;
  if (router->config && !router->draining && !admission_wait(router)) {
    router->requests.isolated_refusals++;
    routed_request_set_error(request, E_ISOLATED, RETRY_ISOLATED_MS,
                             "this machine is cut off and can't know what is in force");
    send_error(request);
    return false;
  }
  if (!router->config) {
    http_headers_set(&request->http->known_response_fields, HEADER_RETRY_AFTER, "2");
    http_request_respond_error(request->http, 503, E_NO_CONTROLLER,
                               "no configuration is known here yet; not run");
    return false;
  }
  return true;
}

/* Checks whether a request may be run; sets its error if not. */
static enum error_code check_request(routed_request *request, const policy_rule *rule) {
  router *router = request->router;
  if (router->draining)
    return routed_request_set_error(request, E_DRAINING, RETRY_DRAINING_MS,
                                    "this machine is leaving");
  router->requests.kind_stats[request->policy_kind_index].requested++;
  uint64_t weights_mb;
  unsigned slots;
  if (!model_loading_find_size(router, request->model, request->adapter, &weights_mb, &slots))
    return routed_request_set_error(request, E_UNKNOWN_MODEL, 0,
                                    "the catalogue has no such model or adapter");
  if (!rule)
    return routed_request_set_error(request, E_REJECTED_BY_RULE, STATUS_NO_RULE,
                                    "no rule fits this request");
  return OK;
}

static void run(routed_request *request, const policy_rule *rule) {
  router *router = request->router;
  event_history_append(&router->history, (history_event){ .kind = EVENT_ROUTED,
                                                          .model = request->model,
                                                          .adapter = request->adapter,
                                                          .value = request->policy_kind_index });
  double *budget = &router->requests.retry_budget;
  *budget = MIN(MAX_RETRY_BUDGET, *budget + router->config->retry_ratio);
  /* the configuration may change while the request is served */
  policy_rule rule_copy = *rule;
  router->open_requests++;
  list_append(&router->requests.admitted_requests, &request->queue_link);
  run_rule(request, &rule_copy);
  list_remove(&request->queue_link);
  router->open_requests--;
  condition_broadcast(&router->state_changed);
}

static void generate(router *router, http_request *http) {
  routed_request request = { .router = router, .http = http, .run_outcome = NOT_RUN };
  id kind = id_of_text("");
  error err = { 0 };
  enum error_code code = parse_request(&request, &kind, &err);
  if (code) {
    http_request_respond_error(http, 400, code, err.text);
    return;
  }
  if (!check_router(&request))
    return;
  if (!set_kind(&request, kind)) {
    http_request_respond_error(http, 400, E_NAME, "kind: the policy has no such kind");
    return;
  }
  set_identity(&request);
  const policy_rule *rule =
      config_rule(router->config, request.kind.self.text, request.model.text, request.adapter.text);
  if (check_request(&request, rule))
    send_error(&request);
  else
    run(&request, rule);
}

void generate_api_serve(void *context, http_request *request) {
  router *router = context;
  if (strcmp(request->path, "/v1/generate"))
    router_pages_serve(router, request);
  else if (strcmp(request->method, "POST"))
    http_request_respond_error(request, 405, E_METHOD_NOT_ALLOWED, "POST");
  else
    generate(router, request);
}
