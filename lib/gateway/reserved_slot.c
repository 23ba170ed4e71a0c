/** Reserves engine slots for requests, and excludes engines that a request must not use again. */
#include "engine_select.h"
#include "inflight_request.h"
#include "service_traffic.h"

enum {
  /* clients abandon a stream after a silence; how long they wait is estimated as at least this
   * time, and a multiple of each of the route's targets */
  CLIENT_PATIENCE_MS = 2000,
  CLIENT_PATIENCE_TARGETS = 4,
  CLIENT_PATIENCE_GAPS = 8,
  /* a retry with less time left would only put load on an engine */
  RETRY_MIN_LEFT_MS = 50
};

int64_t request_first_event_left_ms(const inflight_request *request) {
  int64_t left_ms = request_left_ms(request);
  const route *route = request->route;
  if (route->mode != ROUTE_MODE_STREAM || request->http->response_started)
    return left_ms;
  int64_t patience_ms = MAX(CLIENT_PATIENCE_MS, MAX(CLIENT_PATIENCE_TARGETS * route->target_ms,
                                                    CLIENT_PATIENCE_GAPS * route->gap_target_ms));
  time_us gives_up_at = time_add(request->received_at, time_from_ms(patience_ms));
  return MIN(left_ms, time_sub(gives_up_at, request_now(request)).us / 1000);
}

static bool is_excluded(const inflight_request *request, id engine_id) {
  for (int i = 0; i < request->excluded_count; i++)
    if (id_equal(request->excluded[i], engine_id))
      return true;
  return false;
}

void request_exclude_engine(inflight_request *request, id engine_id) {
  if (!is_excluded(request, engine_id) && request->excluded_count < MAX_EXCLUDED_ENGINES)
    request->excluded[request->excluded_count++] = engine_id;
}

bool reserved_slot_take(inflight_request *request, reserved_slot *slot) {
  const route *route = request->route;
  engine_select_request choice = { .service = request->service,
                                   .model = request->model,
                                   .adapter = request->adapter,
                                   .prefix = route->affinity ? request->prefix : NULL,
                                   .tokens = request->tokens,
                                   .target_ms = route->target_ms,
                                   .remaining_ms = request_first_event_left_ms(request),
                                   .priority = route->priority,
                                   .policy = request->canary.version ? &request->policy : NULL,
                                   .run_once = !request_may_retry(request),
                                   .excluded = request->excluded,
                                   .excluded_count = request->excluded_count };
  request->select_result = ENGINE_SELECT_OK;
  gateway_engine *engine =
      engine_select(request->gateway, &choice, &request->select_result, &request->estimate_ms);
  if (!engine)
    return false;
  *slot = (reserved_slot){ .engine = engine,
                           .running_at_start = gateway_engine_running_requests(engine),
                           .estimate_ms = request->estimate_ms };
  gateway_engine_ref(engine);
  gateway_engine_record_sent(engine, request->tokens);
  service_traffic_of(request->gateway, request->service)->running++;
  return true;
}

void reserved_slot_release(inflight_request *request, reserved_slot *slot, bool ok) {
  gateway_engine *engine = slot->engine;
  if (!engine)
    return;
  service_traffic *traffic = service_traffic_of(request->gateway, request->service);
  traffic->running--;
  service_traffic_record_slot_freed(traffic, request_now(request));
  slot->engine = NULL;
  gateway_engine_record_end(engine, ok);
  gateway_engine_unref(engine);
  condition_broadcast(&request->gateway->engines.changed);
}

static bool retry_is_allowed(const inflight_request *request) {
  const gateway *gateway = request->gateway;
  return !gateway->drain.grace_over &&
         request->attempts_sent < (int)MAX(request->route->attempts, 1) &&
         !request->http->client_gone && request_left_ms(request) >= RETRY_MIN_LEFT_MS &&
         gateway_feature_enabled(gateway, FEATURE_RETRIES);
}

bool reserved_slot_take_for_retry(inflight_request *request) {
  gateway *gateway = request->gateway;
  if (!retry_is_allowed(request) || !retry_budget_available(gateway, request->service))
    return false;
  if (request->slot.engine)
    request_exclude_engine(request, request->slot.engine->engine_id);
  if (!reserved_slot_take(request, &request->next_slot))
    return false;
  if (retry_budget_take(gateway, request->service))
    return true;
  reserved_slot_release(request, &request->next_slot, true);
  return false;
}
