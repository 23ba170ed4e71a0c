/**
 * Queues of load requests and the tasks that serve them.
 */
#include "load_queue.h"
#include "load_order.h"
#include "model_loading.h"
#include "router.h"

enum {
  /* Longest time for which a message waits; its sender asks again afterwards. */
  MAX_REQUEST_WAIT_MS = 2000,
  /* How long a request without waiters is kept, so that it keeps its position until they ask
     again. */
  ABANDONED_REQUEST_MS = 1500,
  IDLE_WAIT_MS = 1000,
  ENGINE_REMOVED_RETRY_MS = 1000,
  /* The rank of a request is its age in us plus this for each unit of weight. */
  RANK_US_PER_WEIGHT = 500000
};

static void free_request(queued_load_request *request) {
  list_remove(&request->link);
  g_free(request);
}

static void complete_request(queued_load_request *request, enum error_code code,
                             uint64_t retry_after_ms) {
  request->error_code = code;
  request->retry_after_ms = retry_after_ms;
  request->done = true;
  condition_broadcast(&request->changed);
}

static void unref_request(router *router, queued_load_request *request) {
  if (--request->waiters > 0)
    return;
  if (request->done)
    free_request(request);
  else
    request->expires_at =
        time_add(world_now(router->node.world), time_from_ms(ABANDONED_REQUEST_MS));
}

/* Returns the request to serve next, or NULL when there is none. Drops expired requests without
 * waiters. */
static queued_load_request *find_next_request(engine *engine) {
  time_us now = world_now(engine->router->node.world);
  queued_load_request *best = NULL;
  int64_t best_rank = 0;
  list_for_each (request, &engine->load_requests, queued_load_request, link) {
    if (request->done)
      continue;
    if (!request->waiters && time_reached(now, request->expires_at)) {
      free_request(request);
      continue;
    }
    int64_t rank = (int64_t)request->priority_weight * RANK_US_PER_WEIGHT +
                   time_sub(now, request->queued_at).us;
    if (best && rank <= best_rank)
      continue;
    best = request;
    best_rank = rank;
  }
  return best;
}

static enum error_code try_load(engine *engine, const queued_load_request *request,
                                uint64_t *retry_after_ms, error *err) {
  if (!load_order_epoch(engine))
    return error_set(err, E_NO_LEASE_HOLDER, "this router does not hold the lease on %s",
                     engine->self.text);
  if (!engine_accepts_work(engine))
    return error_set(err, E_NO_ENGINE, "%s takes no new work", engine->self.text);
  return model_loading_load(engine, request->model, request->adapter, retry_after_ms, err);
}

static void serve_request(engine *engine, queued_load_request *request) {
  router *router = engine->router;
  request->waiters++;
  error err = { 0 };
  uint64_t retry_after_ms = 0;
  enum error_code code = try_load(engine, request, &retry_after_ms, &err);
  if (code && code != E_STOPPING && code != E_NO_LEASE_HOLDER)
    log_info(&router->node.log, "place", "Load of %s%s%s on %s failed: %s (code %d).",
             request->model.text, request->adapter.text[0] ? "+" : "", request->adapter.text,
             engine->self.text, err.text, code);
  complete_request(request, code, retry_after_ms);
  unref_request(router, request);
}

/* Completes all requests when the engine is removed or the process stops. */
static void close_queue(engine *engine) {
  list_for_each (request, &engine->load_requests, queued_load_request, link) {
    if (!request->done)
      complete_request(request, E_NO_ENGINE, ENGINE_REMOVED_RETRY_MS);
    if (!request->waiters)
      free_request(request);
  }
}

void load_queue_run(void *context) {
  engine *engine = context;
  world *world = engine->router->node.world;
  while (!engine->removed) {
    queued_load_request *request = find_next_request(engine);
    if (request)
      serve_request(engine, request);
    else if (condition_wait(&world->tasks, &engine->work_changed,
                            time_add(world_now(world), time_from_ms(IDLE_WAIT_MS))) == WAKE_STOPPED)
      break;
  }
  close_queue(engine);
  engine_unref(engine);
}

static queued_load_request *find_or_add_request(engine *engine, id model, id adapter) {
  queued_load_request *request = NULL;
  list_for_each (queued, &engine->load_requests, queued_load_request, link)
    if (!queued->done && id_equal(queued->model, model) && id_equal(queued->adapter, adapter))
      request = queued;
  if (request)
    return request;
  request = g_new0(queued_load_request, 1);
  request->model = model;
  request->adapter = adapter;
  request->queued_at = world_now(engine->router->node.world);
  condition_init(&request->changed);
  list_append(&engine->load_requests, &request->link);
  return request;
}

static void wait_until_done(router *router, queued_load_request *request, uint64_t wait_ms) {
  time_us deadline = time_add(world_now(router->node.world),
                              time_from_ms((int64_t)MIN(wait_ms, MAX_REQUEST_WAIT_MS)));
  while (!request->done)
    if (condition_wait(&router->node.world->tasks, &request->changed, deadline) != WAKE_SIGNALLED)
      return;
}

static enum error_code check_request(engine *engine, const Wire__ModelLoadRequest *message,
                                     error *err) {
  if (!id_is_valid(string_view_of(message->model)) ||
      (message->adapter[0] && !id_is_valid(string_view_of(message->adapter))))
    return error_set(err, E_WIRE_MESSAGE, "no such name");
  if (!engine || engine->removed)
    return error_set(err, E_NO_ENGINE, "%.40s is not listed here", message->engine);
  if (!load_order_epoch(engine))
    return error_set(err, E_NO_LEASE_HOLDER, "%s is not held here", engine->self.text);
  return OK;
}

static enum error_code on_load_request(void *context, Wire__Envelope *in, reply *reply,
                                       error *err) {
  router *router = context;
  const Wire__ModelLoadRequest *message = in->model_load_request;
  engine *engine = engine_find(router, id_of_text(message->engine));
  enum error_code code = check_request(engine, message, err);
  if (code)
    return code;
  queued_load_request *request =
      find_or_add_request(engine, id_of_text(message->model), id_of_text(message->adapter));
  request->priority_weight = MAX(request->priority_weight, message->weight);
  request->waiters++;
  engine->refs++;
  condition_broadcast(&engine->work_changed);
  wait_until_done(router, request, message->wait_ms);
  Wire__ModelLoadResponse *response = reply_new_body(
      reply, WIRE__ENVELOPE__BODY_MODEL_LOAD_RESPONSE, &wire__model_load_response__descriptor);
  response->loaded = request->done && !request->error_code;
  response->retry_after_ms = request->done ? request->retry_after_ms : 0;
  response->error_code = (uint32_t)(request->done ? request->error_code : E_IN_PROGRESS);
  unref_request(router, request);
  engine_unref(engine);
  return OK;
}

void load_queue_start(router *router) {
  peer_rpc_register_handler(&router->node, WIRE__ENVELOPE__BODY_MODEL_LOAD_REQUEST, on_load_request,
                            router);
}
