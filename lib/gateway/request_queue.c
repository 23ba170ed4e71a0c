/** The queue of requests that wait for an engine; see request_queue.h.
 *
 * A request waits only as long as it can still be served in time. It is refused early when its slot
 * is expected too late for its latency target, so that the client can go to another gateway; when
 * it has waited for a share of its time; or when its model can't be loaded in time. */
#include "request_queue.h"
#include "inflight_request.h"
#include "load_requests.h"
#include "service_traffic.h"

enum {
  /* a waiting request is checked again after this time, also without a signal */
  RECHECK_MS = 200,
  /* the request for a load in progress is repeated at this interval, so that it does not expire */
  LOAD_REQUEST_REPEAT_MS = 1000,
  LOAD_RETRY_MIN_MS = 50,
  /* a request waits this long while no engine accepts requests (ejected, shutting down); a quarter
   * of the latency target when that is below NO_ENGINE_LONG_TARGET_MS */
  NO_ENGINE_WAIT_MS = 1000,
  NO_ENGINE_LONG_TARGET_MS = 4000,
  NO_ENGINE_RETRY_AFTER_MS = 300,
  /* short, since other gateways can serve the request */
  DRAINING_RETRY_AFTER_MS = 20,
  /* maximum number of models without a free engine that one pass over the queue remembers */
  MAX_FULL_MODELS = 24
};

/** State of one request's wait in the queue. */
typedef struct queue_wait {
  inflight_request *request;
  time_us began_at;
  /** Latency target in ms; without one, the time that is left. */
  int64_t target_ms;
  /** When to check at the latest whether the target can be met, and when to refuse the request if
   * all engines are still busy. */
  time_us target_check_at, give_up_at;
  bool target_checked;
  /** A load was requested: when to request it again, and when it is expected to be done. */
  bool load_requested;
  time_us request_load_at, loaded_at;
} queue_wait;

static bool is_same_model(const inflight_request *a, const inflight_request *b) {
  return id_equal(a->service->name, b->service->name) && id_equal(a->model, b->model) &&
         id_equal(a->adapter, b->adapter);
}

/* number of queued requests that come before this one, for the same model or for the same
 * service */
static int count_ahead(const inflight_request *request, bool same_model) {
  int count = 0;
  list_for_each (other, &request->gateway->requests.queue, inflight_request, queue_link) {
    if (other == request || other->queue_rank > request->queue_rank)
      break;
    if (other->slot.engine || other->http->client_gone)
      continue;
    count += same_model
                 ? is_same_model(other, request) && other->select_result == ENGINE_SELECT_ALL_BUSY
                 : id_equal(other->service->name, request->service->name);
  }
  return count;
}

int request_queue_count_ahead(const inflight_request *request) {
  return count_ahead(request, true);
}

static void enqueue(inflight_request *request) {
  list_node *queue = &request->gateway->requests.queue, *before = queue->next;
  while (before != queue &&
         list_item(before, inflight_request, queue_link)->queue_rank <= request->queue_rank)
    before = before->next;
  list_append(before, &request->queue_link);
  request->queued = true;
  service_traffic_of(request->gateway, request->service)->waiting++;
}

static void dequeue(inflight_request *request) {
  if (!request->queued)
    return;
  list_remove(&request->queue_link);
  request->queued = false;
  service_traffic_of(request->gateway, request->service)->waiting--;
}

/* expected time to the first event when the request has to wait for a free slot */
static double slot_wait_ms(const inflight_request *request, double first_event_ms) {
  const service_traffic *traffic = service_traffic_of(request->gateway, request->service);
  double interval_ms = traffic->mean_slot_interval_ms > 0
                           ? traffic->mean_slot_interval_ms
                           : traffic->mean_run_ms / MAX(traffic->running, 1);
  return MAX(first_event_ms, request->estimate_ms) +
         (count_ahead(request, false) + 1) * interval_ms;
}

/* no engine holds the model: requests a load as long as it can complete in time */
static enum error_code wait_for_load(queue_wait *wait, time_us now, int64_t left_ms,
                                     double first_event_ms, time_us *until) {
  inflight_request *request = wait->request;
  gateway *gateway = request->gateway;
  if (!wait->load_requested || time_reached(now, wait->request_load_at)) {
    double load_ms = 0;
    int64_t retry_after_ms = 0;
    enum error_code code =
        load_request_submit(gateway, request->service, request->model, request->adapter,
                            request->route->priority, false, &load_ms, &retry_after_ms);
    gateway->counts.load_requests++;
    if (code) {
      retry_after_ms = MAX(retry_after_ms, LOAD_RETRY_MIN_MS);
      load_ms += (double)retry_after_ms;
    }
    if (!wait->load_requested || code || time_reached(now, wait->loaded_at)) {
      wait->loaded_at = time_add(now, time_from_ms((int64_t)load_ms));
      if (load_ms + first_event_ms > (double)left_ms) {
        request_fail(request, 503, (int64_t)load_ms, "its model can't be loaded in time\n");
        return code ? code : E_DEADLINE_EXCEEDED;
      }
    }
    wait->load_requested = !code;
    wait->request_load_at =
        time_add(now, time_from_ms(code ? retry_after_ms : LOAD_REQUEST_REPEAT_MS));
  }
  if (!wait->load_requested)
    *until = time_min(*until, wait->request_load_at);
  return OK;
}

/* all engines that hold the model are full */
static enum error_code wait_for_slot(queue_wait *wait, time_us now, double first_event_ms,
                                     time_us *until) {
  inflight_request *request = wait->request;
  const gateway *gateway = request->gateway;
  double estimate_ms = slot_wait_ms(request, first_event_ms),
         spare_ms = (double)wait->target_ms - request_ms_since(request, request->received_at);
  bool refuse =
      time_reached(now, wait->give_up_at) || !gateway_feature_enabled(gateway, FEATURE_QUEUE);
  if (!wait->target_checked &&
      (time_reached(now, wait->target_check_at) || estimate_ms > spare_ms)) {
    wait->target_checked = true;
    refuse |= estimate_ms > spare_ms && gateway_feature_enabled(gateway, FEATURE_EARLY_REFUSAL);
  }
  if (refuse) {
    request_fail(request, 503, (int64_t)estimate_ms, "all engines are busy\n");
    return E_DEADLINE_EXCEEDED;
  }
  if (!wait->target_checked)
    *until = time_min(*until, wait->target_check_at);
  return OK;
}

/* no engine of the service takes requests now */
static enum error_code wait_for_engine(queue_wait *wait, time_us now, time_us *until) {
  int64_t max_ms =
      wait->target_ms >= NO_ENGINE_LONG_TARGET_MS ? NO_ENGINE_WAIT_MS : wait->target_ms / 4;
  time_us give_up_at = time_add(wait->began_at, time_from_ms(max_ms));
  if (time_reached(now, give_up_at)) {
    request_fail(wait->request, 503, NO_ENGINE_RETRY_AFTER_MS, "no engine takes work now\n");
    return E_NO_ENGINE;
  }
  *until = time_min(*until, give_up_at);
  return OK;
}

/* checks a waiting request once. An error or a reserved slot ends the wait; otherwise *until is the
 * time of the next check */
static enum error_code check_wait(queue_wait *wait, time_us *until) {
  inflight_request *request = wait->request;
  gateway *gateway = request->gateway;
  time_us now = request_now(request);
  if (request->slot.engine)
    return OK;
  if (gateway->router->node.world->tasks.stopped || gateway->drain.refusing_queued) {
    request_fail(request, 503, DRAINING_RETRY_AFTER_MS, "this machine is leaving\n");
    return E_DRAINING;
  }
  if (request->http->client_gone)
    return E_PEER_GONE;
  if (!count_ahead(request, true) && reserved_slot_take(request, &request->slot))
    return OK;
  const service_traffic *traffic = service_traffic_of(gateway, request->service);
  int64_t left_ms = request_first_event_left_ms(request);
  double first_event_ms = MIN(traffic->mean_first_event_ms, (double)wait->target_ms / 2);
  if (left_ms <= first_event_ms) {
    request_fail(request, 503, 0, "no engine came free in time\n");
    return E_DEADLINE_EXCEEDED;
  }
  *until = time_add(now, time_from_ms(RECHECK_MS));
  switch (request->select_result) {
  case ENGINE_SELECT_NO_MODEL:
    return wait_for_load(wait, now, left_ms, first_event_ms, until);
  case ENGINE_SELECT_ALL_BUSY:
    return wait_for_slot(wait, now, first_event_ms, until);
  default:
    return wait_for_engine(wait, now, until);
  }
}

static queue_wait wait_begin(inflight_request *request) {
  const select_policy *policy = request->canary.version ? &request->policy : &select_policy_default;
  int64_t left_ms = MAX(request_first_event_left_ms(request), 0);
  int64_t target_ms = request->route->target_ms > 0 ? request->route->target_ms : left_ms;
  return (queue_wait){
    .request = request,
    .began_at = request_now(request),
    .target_ms = target_ms,
    .target_check_at = time_add(request->received_at, time_from_ms(target_ms / 4)),
    .give_up_at =
        time_add(request->received_at, time_from_ms(left_ms * policy->wait_percent / 100)),
    .loaded_at = time_never(),
  };
}

enum error_code request_queue_wait(inflight_request *request) {
  if (request->slot.engine)
    return OK;
  queue_wait wait = wait_begin(request);
  enum error_code code;
  enqueue(request);
  request->http->client_gone_condition = &request->wake;
  for (;;) {
    time_us until = time_never();
    code = check_wait(&wait, &until);
    if (code || request->slot.engine)
      break;
    condition_wait(&request->gateway->router->node.world->tasks, &request->wake, until);
  }
  request->http->client_gone_condition = NULL;
  dequeue(request);
  request->queued_ms += request_ms_since(request, wait.began_at);
  if (code)
    reserved_slot_release(request, &request->slot, true);
  return code;
}

/* assigns free slots to the queued requests in order. When no engine is found for a request, others
 * for the same model are skipped, unless one of the two excludes engines */
static void serve_queue(gateway *gateway) {
  const inflight_request *full[MAX_FULL_MODELS];
  int full_count = 0;
  list_for_each (request, &gateway->requests.queue, inflight_request, queue_link) {
    if (request->slot.engine)
      continue;
    bool skip = request->http->client_gone || gateway->drain.refusing_queued;
    for (int i = 0; i < full_count && !skip; i++)
      skip = is_same_model(full[i], request) && !request->excluded_count;
    if (!skip && !reserved_slot_take(request, &request->slot) && full_count < MAX_FULL_MODELS &&
        !request->excluded_count)
      full[full_count++] = request;
    if (request->slot.engine || request->http->client_gone || gateway->drain.refusing_queued)
      condition_broadcast(&request->wake);
  }
}

static void queue_run(void *context) {
  gateway *gateway = context;
  while (condition_wait(&gateway->router->node.world->tasks, &gateway->engines.changed,
                        time_never()) != WAKE_STOPPED)
    serve_queue(gateway);
}

void request_queue_start(gateway *gateway) {
  task_start(&gateway->router->node.world->tasks, "request queue", queue_run, gateway);
}
