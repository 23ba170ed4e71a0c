/**
 * Waits until an engine is available for a request: for a free slot on an engine where its model is
 * up, for a load of the model if it is up nowhere, or for an extra replica if all engines that have
 * it stay busy.
 */
#include "outgoing_load_request.h"
#include "router.h"
#include "routed_request.h"

enum {
  MAX_LOAD_ATTEMPTS = 2,
  /* After waiting this long for busy engines, loading an extra replica of the model is worthwhile.
   */
  ADD_REPLICA_AFTER_MS = 1500,
  /* Requests are refused after this long if no engine accepts work. */
  NO_ENGINE_TIMEOUT_MS = 3000,
  /* The state is checked at least this often. */
  RECHECK_INTERVAL_MS = 250,
  PAUSE_AFTER_LOAD_MS = 10,

  RETRY_DRAINING_MS = 1000,
  RETRY_ISOLATED_MS = 2000,
  RETRY_LOAD_MS = 2000,
  RETRY_NO_ENGINE_MS = 3000
};

typedef struct wait_state {
  routed_request *request;
  /* The load of a model that is up nowhere, and the load of an extra replica; NULL if none. */
  outgoing_load_request *load, *replica_load;
  /* Outcome of the last load that failed. */
  enum error_code load_error;
  int64_t load_retry_after_ms;
} wait_state;

static const char *adapter_separator(const routed_request *request) {
  return id_is_empty(request->adapter) ? "" : "+";
}

/* Returns an error when waiting has become pointless. May itself wait for admission. */
static enum error_code check_interrupted(routed_request *request) {
  router *router = request->router;
  if (router->node.world->tasks.stopped)
    return routed_request_set_error(request, E_DRAINING, RETRY_DRAINING_MS,
                                    "this machine is stopping");
  if (request->http->client_gone)
    return routed_request_set_error(request, E_PEER_GONE, 0, "the caller went away");
  if (!admission_wait(router)) {
    router->requests.isolated_refusals++;
    return routed_request_set_error(request, E_ISOLATED, RETRY_ISOLATED_MS,
                                    "this machine is cut off and can't know what is in force");
  }
  return OK;
}

static enum error_code set_timeout_error(routed_request *request, bool is_up) {
  router *router = request->router;
  double load_ms =
      model_loading_estimate_ms(router, id_of_text("any"), request->model, request->adapter);
  return routed_request_set_error(request, E_DEADLINE_EXCEEDED,
                                  is_up ? (int64_t)router->requests.smoothed_service_ms
                                        : (int64_t)load_ms,
                                  "no engine was free for %s%s%s in time", request->model.text,
                                  adapter_separator(request), request->adapter.text);
}

static outgoing_load_request *join_load(const routed_request *request, engine *engine) {
  return outgoing_load_request_join(engine, request->model, request->adapter, request->kind.weight,
                                    request->deadline);
}

/* Starts the load of an extra replica on an engine that does not have the model. */
static void start_replica_load(wait_state *wait) {
  routed_request *request = wait->request;
  routed_request elsewhere = *request;
  list_for_each (engine_, &request->router->engine_list.engines, engine, link)
    if (engine_find_resident(engine_, request->model, request->adapter))
      routed_request_exclude_engine(&elsewhere, engine_);
  bool fits;
  engine *target = engine_selection_find_load_target(&elsewhere, &fits);
  if (target)
    wait->replica_load = join_load(request, target);
}

/* The model cannot be loaded anywhere now. Sets an error if that is not expected to change soon. */
static enum error_code set_no_target_error(wait_state *wait, time_us now, bool fits) {
  routed_request *request = wait->request;
  if (!fits)
    return routed_request_set_error(request, E_NO_ENGINE_FITS, 0, "%s%s%s fits no engine",
                                    request->model.text, adapter_separator(request),
                                    request->adapter.text);
  if (wait->load_error)
    return routed_request_set_error(request, wait->load_error,
                                    wait->load_retry_after_ms ? wait->load_retry_after_ms
                                                              : RETRY_LOAD_MS,
                                    "%s%s%s could not be loaded", request->model.text,
                                    adapter_separator(request), request->adapter.text);
  if (time_reached(now, time_add(request->received_at, time_from_ms(NO_ENGINE_TIMEOUT_MS))))
    return routed_request_set_error(request, E_NO_ENGINE, RETRY_NO_ENGINE_MS,
                                    "no engine takes new work");
  return OK;
}

static enum error_code start_load(wait_state *wait, time_us now) {
  routed_request *request = wait->request;
  bool fits = true;
  engine *target = request->load_attempts < MAX_LOAD_ATTEMPTS
                       ? engine_selection_find_load_target(request, &fits)
                       : NULL;
  if (!target)
    return set_no_target_error(wait, now, fits);
  wait->load = join_load(request, target);
  request->load_attempts++;
  return OK;
}

static void finish_load(wait_state *wait) {
  routed_request *request = wait->request;
  if (wait->load->error_code) {
    wait->load_error = wait->load->error_code;
    wait->load_retry_after_ms = (int64_t)wait->load->retry_after_ms;
    routed_request_exclude_by_id(request, wait->load->engine_id);
  } else
    request->load_attempts--;
  outgoing_load_request_leave(wait->load);
  wait->load = NULL;
}

/* The load of the extra replica has succeeded or failed: restarts the wait for the next replica. */
static void finish_replica_load(wait_state *wait, time_us now) {
  outgoing_load_request_leave(wait->replica_load);
  wait->replica_load = NULL;
  wait->request->received_at = now;
}

/* Sets the request's engine if one is free; otherwise starts a load if needed and waits briefly. */
static enum error_code wait_step(wait_state *wait) {
  routed_request *request = wait->request;
  router *router = request->router;
  world *world = router->node.world;
  time_us now = world_now(world);
  enum error_code code = check_interrupted(request);
  if (code)
    return code;
  bool is_up;
  engine *free_engine = engine_selection_find_free_engine(request, &is_up);
  if (free_engine && engine_selection_is_next(request)) {
    request->engine = free_engine;
    return OK;
  }
  time_us until = request->hold_deadline.us < request->deadline.us ? request->hold_deadline
                                                                   : request->deadline,
          add_replica_at = time_add(request->received_at, time_from_ms(ADD_REPLICA_AFTER_MS)),
          recheck_at = time_add(now, time_from_ms(RECHECK_INTERVAL_MS));
  if (time_reached(now, until))
    return set_timeout_error(request, is_up);
  if (!is_up && !wait->load)
    code = start_load(wait, now);
  else if (is_up && !free_engine && !wait->replica_load && time_reached(now, add_replica_at))
    start_replica_load(wait);
  if (code)
    return code;
  if (wait->load && wait->load->done) {
    finish_load(wait);
    world_sleep(world, time_from_ms(PAUSE_AFTER_LOAD_MS));
    return OK;
  }
  if (wait->replica_load && wait->replica_load->done)
    finish_replica_load(wait, now);
  condition_wait(&world->tasks, &router->state_changed,
                 recheck_at.us < until.us ? recheck_at : until);
  return OK;
}

enum error_code engine_wait(routed_request *request) {
  wait_state wait = { .request = request };
  enum error_code code = OK;
  request->awaiting_engine = true;
  condition_broadcast(&request->router->state_changed);
  while (!code && !request->engine)
    code = wait_step(&wait);
  request->awaiting_engine = false;
  if (wait.load)
    outgoing_load_request_leave(wait.load);
  if (wait.replica_load)
    outgoing_load_request_leave(wait.replica_load);
  return code;
}
