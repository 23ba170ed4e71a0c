/**
 * Admission to the queue, with a quota for each request kind, and load shedding.
 */
#include "outgoing_load_request.h"
#include "router.h"
#include "routed_request.h"

enum { MAX_QUEUE_RETRY_MS = 10000, MAX_SHED_RETRY_MS = 60000, RETRY_MARGIN_MS = 500 };

/* Share of the estimated load time that is counted for the load of the request's own model. */
static const double OWN_LOAD_SHARE = 0.5;

int request_admission_count_routers(router *router) {
  int count = 1;
  list_for_each (peer, &router->node.peers, peer_node, link)
    count += peer->role == ROLE_ROUTER && !peer->gone && !peer->draining;
  return count;
}

/* Queue positions that one kind may use: all those that the other kinds neither use nor have
 * reserved. */
static double free_queue_share(router *router, int policy_kind_index) {
  const config *config = router->config;
  double max = (double)config->queue_max, spare = max;
  for (int i = 0; i < config->kind_count; i++) {
    double reserved = config->kinds[i].quota_share * max;
    if (i != policy_kind_index)
      spare -= MAX(reserved, router->requests.kind_stats[i].waiting);
  }
  return spare;
}

/* Number of streams that all engines together may run on the model of a request. *up is set to the
 * number of engines on which it is up. */
static int resident_capacity(const routed_request *request, int *up) {
  int capacity = 0;
  *up = 0;
  list_for_each (engine_, &request->router->engine_list.engines, engine, link) {
    const resident_model *resident =
        engine_accepts_work(engine_)
            ? engine_find_resident(engine_, request->model, request->adapter)
            : NULL;
    if (!resident || resident->state != RESIDENT_UP)
      continue;
    capacity += engine_max_streams(engine_);
    (*up)++;
  }
  return capacity;
}

static enum error_code refuse_for_full_queue(routed_request *request) {
  router *router = request->router;
  request_kind_stats *stats = &router->requests.kind_stats[request->policy_kind_index];
  stats->shed++;
  /* by the time about half of the queue has been served, it has free positions again */
  int up, own_capacity = resident_capacity(request, &up) / request_admission_count_routers(router);
  int64_t half_ms = (int64_t)(router->requests.smoothed_service_ms * (stats->waiting + 1) / 2 /
                              MAX(1, own_capacity));
  return routed_request_set_error(
      request, E_QUEUE_FULL, MIN(half_ms + RETRY_MARGIN_MS, MAX_QUEUE_RETRY_MS),
      "the line of kind %s is full: %d wait", request->kind.self.text, stats->waiting);
}

/* Expected wait for a model that is up, from the requests ahead of this one at this router,
 * extrapolated to all routers. */
static int64_t estimate_queue_ms(const routed_request *request, int capacity) {
  router *router = request->router;
  int ahead = 0;
  list_for_each (other, &router->requests.admitted_requests, routed_request, queue_link)
    ahead += id_equal(other->model, request->model) && id_equal(other->adapter, request->adapter) &&
             other->kind.weight >= request->kind.weight;
  return (int64_t)(router->requests.smoothed_service_ms * ahead *
                   request_admission_count_routers(router) / MAX(capacity, 1));
}

/* Expected wait for a model that is up nowhere; 0 when it is already being loaded or no engine
 * accepts work. */
static int64_t estimate_load_ms(const routed_request *request) {
  router *router = request->router;
  int ahead = 0, usable = 0;
  list_for_each (load, &router->requests.outgoing_load_requests, outgoing_load_request, link) {
    if (load->done)
      continue;
    if (id_equal(load->model, request->model) && id_equal(load->adapter, request->adapter))
      return 0;
    ahead++;
  }
  list_for_each (engine_, &router->engine_list.engines, engine, link)
    usable += engine_accepts_work(engine_);
  if (!usable)
    return 0;
  double load_ms =
             model_loading_estimate_ms(router, id_of_text("any"), request->model, request->adapter),
         queue_ms = MAX(load_ms * ahead / usable, ahead * 1000.0 / router->config->loads_per_s);
  return (int64_t)(load_ms * OWN_LOAD_SHARE + queue_ms);
}

enum error_code request_admission_admit(routed_request *request) {
  router *router = request->router;
  request_kind_stats *stats = &router->requests.kind_stats[request->policy_kind_index];
  if (stats->waiting + 1 > free_queue_share(router, request->policy_kind_index))
    return refuse_for_full_queue(request);
  int up, capacity = resident_capacity(request, &up);
  int64_t wait_ms = up ? estimate_queue_ms(request, capacity) : estimate_load_ms(request),
          excess_ms = wait_ms - request->kind.deadline_ms;
  if (excess_ms > 0) {
    stats->shed++;
    return routed_request_set_error(
        request, E_LOAD_SHED, MIN(excess_ms + RETRY_MARGIN_MS, MAX_SHED_RETRY_MS),
        "about %" PRId64 " ms of work wait ahead, past the deadline of kind %s", wait_ms,
        request->kind.self.text);
  }
  stats->waiting++;
  request->counted_waiting = true;
  return OK;
}
