/** Load requests of this gateway; see load_requests.h. For each model that requests wait for, one
 * task calls the model's coordinator repeatedly; the coordinator keeps each call open for up to
 * PLACEMENT_WAIT_MS. The load is therefore requested exactly as long as it is needed, and the next
 * call replaces a coordinator that has failed. */
#include "load_requests.h"
#include "gateway.h"
#include <stdio.h>

enum {
  /* a request for an extra replica lives this many times longer: the replica is useful beyond the
     wait of the requests that asked for it */
  EXTRA_REPLICA_TTL_FACTOR = 4,
  /* a coordinator is skipped for this time after a failed call */
  FAILED_COORDINATOR_MS = 1500,
  /* after a refusal: how long it is returned to requests at least, and bounds of the delay before
     the coordinator is called again */
  REFUSED_MIN_MS = 200,
  REFUSED_SLEEP_MIN_MS = 100,
  REFUSED_SLEEP_MAX_MS = 800,
  NO_RESPONSE_RETRY_MS = 300,
  CALL_AGAIN_MS = 50,
  /* delay before a model is requested again that the coordinator reports as loaded but this gateway
     does not see yet */
  UNSEEN_SLEEP_MS = 100,
  /* time from a request to the start of the load, and lower bound of the estimate given to requests
   */
  LOAD_OVERHEAD_MS = 30,
  MIN_EXPECTED_MS = 20,
  UNKNOWN_MODEL_RETRY_MS = 2000
};

/** A model (and adapter) that requests of this gateway wait for; it lives as long as they ask for
 * it. */
typedef struct pending_load_request {
  char *key; /* owned by gateway.load_requests */
  id service, model, adapter;
  unsigned priority;
  bool extra_replica;
  /** All engines that hold the model are unresponsive from this gateway. Others may not have
   * noticed it yet, so the load is requested as an extra replica. */
  bool replaces_lost;
  time_us last_asked_at, expected_at;
  /** The last result, and until when it is returned to requests as a refusal. */
  enum error_code code;
  time_us failed_until;
  id failed_coordinator;
  time_us failed_coordinator_until;
} pending_load_request;

char *load_request_key(id service, id model, id adapter) {
  return g_strdup_printf("%s/%s+%s", service.text, model.text, adapter.text);
}

/* the coordinator of a model, by rendezvous hashing; skips one whose call has failed recently */
static void find_coordinator(gateway *gateway, const pending_load_request *request, id *coordinator,
                             char address[48]) {
  const node *node = &gateway->router->node;
  char name[128];
  int shard_count = placement_shard_count(gateway);
  if (shard_count == 1)
    snprintf(name, sizeof name, "place:%s", request->service.text);
  else
    snprintf(name, sizeof name, "place:%s/%d", request->service.text,
             placement_shard_of(request->model.text, shard_count));
  bool skip = !id_is_empty(request->failed_coordinator) &&
              !time_reached(gateway_now(gateway), request->failed_coordinator_until);
  if (peer_table_rendezvous(&gateway->router->node, ROLE_ROUTER, name,
                            skip ? request->failed_coordinator : id_none, coordinator, address))
    return;
  *coordinator = node->settings.self;
  g_strlcpy(address, node->settings.address, 48);
}

static bool is_wanted(const gateway *gateway, const pending_load_request *request) {
  int64_t ttl_ms = (request->extra_replica ? EXTRA_REPLICA_TTL_FACTOR : 1) * LOAD_REQUEST_TTL_MS;
  return !time_reached(gateway_now(gateway),
                       time_add(request->last_asked_at, time_from_ms(ttl_ms)));
}

static bool is_loaded(gateway *gateway, const pending_load_request *request) {
  return gateway_engines_count_replicas(gateway, request->service, request->model,
                                        request->adapter) > 0;
}

/* applies a coordinator's response; returns its code */
static enum error_code apply_response(gateway *gateway, const pending_load_request *request,
                                      const Wire__PlacementResponse *response,
                                      int64_t *retry_after_ms) {
  enum error_code code = (enum error_code)response->error_code;
  *retry_after_ms = (int64_t)response->retry_after_ms;
  gateway_engine *engine = !code && response->engine && response->engine[0]
                               ? gateway_engine_find(gateway, response->engine)
                               : NULL;
  if (engine && !request->extra_replica && !is_loaded(gateway, request))
    gateway_engine_mark_loaded(engine, request->model, request->adapter);
  return code;
}

/* calls the coordinator once; returns the code of its response or of the call */
static enum error_code call_coordinator(gateway *gateway, pending_load_request *request,
                                        int64_t *retry_after_ms) {
  id coordinator;
  char address[48];
  find_coordinator(gateway, request, &coordinator, address);
  Wire__PlacementRequest placement = WIRE__PLACEMENT_REQUEST__INIT;
  placement.service = request->service.text;
  placement.model = request->model.text;
  placement.adapter = request->adapter.text;
  placement.priority = request->priority;
  placement.wait_ms = PLACEMENT_WAIT_MS;
  placement.extra_replica = request->extra_replica;
  Wire__Envelope message = wire_envelope(WIRE__ENVELOPE__BODY_PLACEMENT_REQUEST, &placement),
                 *response;
  error err = { 0 };
  enum error_code code = peer_rpc_call(&gateway->router->node, address, &message,
                                       time_from_ms(PLACEMENT_CALL_TIMEOUT_MS), &response, &err);
  *retry_after_ms = NO_RESPONSE_RETRY_MS;
  if (code == E_STOPPING)
    return code;
  if (code) {
    request->failed_coordinator = coordinator;
    request->failed_coordinator_until = gateway_deadline_in_ms(gateway, FAILED_COORDINATOR_MS);
    return code;
  }
  code = response->body_case == WIRE__ENVELOPE__BODY_PLACEMENT_RESPONSE
             ? apply_response(gateway, request, response->placement_response, retry_after_ms)
             : E_WIRE_MESSAGE;
  peer_rpc_message_free(response);
  return code;
}

/* true for the codes with which a coordinator says that the model can't be loaded now */
static bool is_refusal(enum error_code code) {
  return code == E_NO_CAPACITY || code == E_UNKNOWN_MODEL || code == E_NO_ENGINE_FITS ||
         code == E_NO_ENGINE || code == E_ORDER_FAILED;
}

/* requests the load once and sleeps until the next attempt; false when the load is done or the
 * process stops */
static bool request_once(gateway *gateway, pending_load_request *request) {
  world *world = gateway->router->node.world;
  int64_t retry_after_ms;
  enum error_code code = call_coordinator(gateway, request, &retry_after_ms);
  if (code == E_STOPPING)
    return false;
  request->code = code;
  if (code == E_IN_PROGRESS) {
    request->expected_at = gateway_deadline_in_ms(gateway, (double)retry_after_ms);
    return true;
  }
  if (!code || request->extra_replica)
    return false;
  if (!is_refusal(code))
    return world_sleep_with_jitter(world, time_from_ms(CALL_AGAIN_MS));
  request->failed_until =
      gateway_deadline_in_ms(gateway, (double)MAX(retry_after_ms, REFUSED_MIN_MS));
  condition_broadcast(&gateway->engines.changed);
  int64_t sleep_ms = CLAMP(retry_after_ms, REFUSED_SLEEP_MIN_MS, REFUSED_SLEEP_MAX_MS);
  return world_sleep_with_jitter(world, time_from_ms(sleep_ms));
}

typedef struct load_request_task {
  gateway *gateway;
  pending_load_request *request;
} load_request_task;

static void load_request_run(void *context) {
  load_request_task task = *(load_request_task *)context;
  gateway *gateway = task.gateway;
  pending_load_request *request = task.request;
  g_free(context);
  while (is_wanted(gateway, request) && request_once(gateway, request))
    ;
  if (!request->extra_replica && !is_loaded(gateway, request))
    world_sleep(gateway->router->node.world, time_from_ms(UNSEEN_SLEEP_MS));
  g_hash_table_remove(gateway->load_requests, request->key);
  g_free(request);
  condition_broadcast(&gateway->engines.changed);
}

/* true when engines hold a model and all of them are unresponsive from this gateway */
static bool all_replicas_lost(gateway *gateway, const service *service, id model, id adapter) {
  int lost = 0;
  list_for_each (engine, &gateway->engines.list, gateway_engine, link)
    lost += !engine->gone && !engine->draining && id_equal(engine->service, service->name) &&
            gateway_engine_unresponsive(engine) && gateway_engine_has_model(engine, model, adapter);
  return lost && !gateway_engines_count_replicas(gateway, service->name, model, adapter);
}

static bool some_engine_has_on_disk(const gateway *gateway, const service *service, id model) {
  list_for_each (engine, &gateway->engines.list, gateway_engine, link)
    if (!engine->gone && !engine->draining && id_equal(engine->service, service->name) &&
        gateway_engine_has_on_disk(engine, model))
      return true;
  return false;
}

/* the expected load time in ms that is used until a coordinator has sent its own */
static double expected_load_ms(gateway *gateway, const service *service, id model, id adapter) {
  bool base_is_loaded = !id_is_empty(adapter) &&
                        gateway_engines_count_replicas(gateway, service->name, model, id_none) > 0;
  bool from_disk = some_engine_has_on_disk(gateway, service, model);
  double ms = LOAD_OVERHEAD_MS;
  if (!base_is_loaded)
    ms += eviction_load_ms(gateway, service, model, id_none, from_disk);
  if (!id_is_empty(adapter))
    ms += eviction_load_ms(gateway, service, model, adapter, false);
  return ms;
}

static pending_load_request *request_start(gateway *gateway, const char *key,
                                           const service *service, id model, id adapter,
                                           unsigned priority, bool extra_replica) {
  pending_load_request *request = g_new0(pending_load_request, 1);
  request->key = g_strdup(key);
  request->service = service->name;
  request->model = model;
  request->adapter = adapter;
  request->priority = priority;
  request->replaces_lost = !extra_replica && all_replicas_lost(gateway, service, model, adapter);
  request->extra_replica = extra_replica || request->replaces_lost;
  request->expected_at =
      gateway_deadline_in_ms(gateway, expected_load_ms(gateway, service, model, adapter));
  request->last_asked_at = gateway_now(gateway);
  g_hash_table_insert(gateway->load_requests, request->key, request);
  load_request_task *task = g_new(load_request_task, 1);
  *task = (load_request_task){ gateway, request };
  task_start(&gateway->router->node.world->tasks, "want", load_request_run, task);
  return request;
}

enum error_code load_request_submit(gateway *gateway, const service *service, id model, id adapter,
                                    unsigned priority, bool extra_replica, double *estimate_ms,
                                    int64_t *retry_after_ms) {
  *estimate_ms = 0;
  *retry_after_ms = 0;
  if (!service_find_model(service, model.text)) {
    *retry_after_ms = UNKNOWN_MODEL_RETRY_MS;
    return E_UNKNOWN_MODEL;
  }
  char key[180];
  snprintf(key, sizeof key, "%s/%s+%s", service->name.text, model.text, adapter.text);
  pending_load_request *request = g_hash_table_lookup(gateway->load_requests, key);
  if (!request)
    request = request_start(gateway, key, service, model, adapter, priority, extra_replica);
  request->last_asked_at = gateway_now(gateway);
  request->priority = MIN(request->priority, priority);
  request->extra_replica &= extra_replica || request->replaces_lost;
  *estimate_ms = (double)MAX(MIN_EXPECTED_MS, gateway_ms_until(gateway, request->expected_at));
  if (!(request->failed_until.us > gateway_now(gateway).us))
    return OK;
  *retry_after_ms = gateway_ms_until(gateway, request->failed_until);
  return request->code ? request->code : E_NO_CAPACITY;
}
