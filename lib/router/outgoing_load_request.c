/**
 * Sends load requests and resends them until there is an outcome.
 */
#include "outgoing_load_request.h"
#include "router.h"

enum {
  /* How long the holder may wait before it responds, and the longer timeout of the call. */
  HOLDER_WAIT_MS = 2000,
  CALL_TIMEOUT_MS = 2600,
  /* Pause after a failed call, or while no holder is known. */
  RETRY_PAUSE_MS = 250,
  DEADLINE_RETRY_MS = 3000
};

/* Finds the address of the holder of the engine's lease; false when there is no live holder. */
static bool find_holder(const outgoing_load_request *load, char *address, size_t size) {
  router *router = load->router;
  char singleton[64];
  id holder;
  uint64_t epoch;
  singleton_engine_name(singleton, sizeof singleton, load->engine_id);
  if (!config_sync_find_grant(router, singleton, &holder, &epoch))
    return false;
  const peer_node *peer = peer_table_find(&router->node, holder);
  if (id_equal(holder, router->node.settings.self))
    g_strlcpy(address, router->node.settings.address, size);
  else if (peer && !peer->gone)
    g_strlcpy(address, peer->address, size);
  else
    return false;
  return true;
}

static enum error_code send_load_request(outgoing_load_request *load, Wire__Envelope **response) {
  char address[48];
  if (!find_holder(load, address, sizeof address))
    return E_NO_LEASE_HOLDER;
  Wire__ModelLoadRequest request = WIRE__MODEL_LOAD_REQUEST__INIT;
  request.engine = load->engine_id.text;
  request.model = load->model.text;
  request.adapter = load->adapter.text;
  request.weight = load->priority_weight;
  request.wait_ms = HOLDER_WAIT_MS;
  Wire__Envelope message = wire_envelope(WIRE__ENVELOPE__BODY_MODEL_LOAD_REQUEST, &request);
  error err = { 0 };
  return peer_rpc_call(&load->router->node, address, &message, time_from_ms(CALL_TIMEOUT_MS),
                       response, &err);
}

static void complete_load_request(outgoing_load_request *load, enum error_code code,
                                  uint64_t retry_after_ms) {
  load->error_code = code;
  load->retry_after_ms = retry_after_ms;
  load->done = true;
}

/* Completes the load request if the response contains an outcome. */
static void apply_response(outgoing_load_request *load, const Wire__Envelope *envelope) {
  if (envelope->body_case != WIRE__ENVELOPE__BODY_MODEL_LOAD_RESPONSE)
    return;
  const Wire__ModelLoadResponse *response = envelope->model_load_response;
  enum error_code code = (enum error_code)response->error_code;
  if (response->loaded)
    complete_load_request(load, OK, 0);
  else if (code && code != E_IN_PROGRESS && code != E_NO_LEASE_HOLDER)
    complete_load_request(load, code, response->retry_after_ms);
}

/* Sends the request once, and completes it if the response contains an outcome. */
static void attempt_load_request(outgoing_load_request *load) {
  router *router = load->router;
  if (time_reached(world_now(router->node.world), load->deadline)) {
    complete_load_request(load, E_DEADLINE_EXCEEDED, DEADLINE_RETRY_MS);
    return;
  }
  Wire__Envelope *envelope = NULL;
  enum error_code code = send_load_request(load, &envelope);
  if (code == E_STOPPING) {
    complete_load_request(load, E_STOPPING, 0);
    return;
  }
  if (!code)
    apply_response(load, envelope);
  peer_rpc_message_free(envelope);
  if (load->done)
    return;
  if (!load->waiters)
    complete_load_request(load, E_PEER_GONE, 0);
  else if (code && !world_sleep_with_jitter(router->node.world, time_from_ms(RETRY_PAUSE_MS)))
    complete_load_request(load, E_STOPPING, 0);
}

static void load_request_run(void *context) {
  outgoing_load_request *load = context;
  while (!load->done)
    attempt_load_request(load);
  list_remove(&load->link);
  if (!load->waiters)
    g_free(load);
}

static outgoing_load_request *find_load_request(engine *engine, id model, id adapter) {
  outgoing_load_request *found = NULL;
  list_for_each (load, &engine->router->requests.outgoing_load_requests, outgoing_load_request,
                 link)
    if (!load->done && id_equal(load->engine_id, engine->self) && id_equal(load->model, model) &&
        id_equal(load->adapter, adapter))
      found = load;
  return found;
}

static outgoing_load_request *start_load_request(engine *engine, id model, id adapter) {
  router *router = engine->router;
  outgoing_load_request *load = g_new0(outgoing_load_request, 1);
  load->router = router;
  load->engine_id = engine->self;
  load->model = model;
  load->adapter = adapter;
  list_append(&router->requests.outgoing_load_requests, &load->link);
  task_start(&router->node.world->tasks, "load request", load_request_run, load);
  return load;
}

outgoing_load_request *outgoing_load_request_join(engine *engine, id model, id adapter,
                                                  unsigned priority_weight, time_us deadline) {
  outgoing_load_request *load = find_load_request(engine, model, adapter);
  if (!load)
    load = start_load_request(engine, model, adapter);
  load->priority_weight = MAX(load->priority_weight, priority_weight);
  if (deadline.us > load->deadline.us)
    load->deadline = deadline;
  load->waiters++;
  return load;
}

void outgoing_load_request_leave(outgoing_load_request *load) {
  if (!--load->waiters && load->done)
    g_free(load);
}
