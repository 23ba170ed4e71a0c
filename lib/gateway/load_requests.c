/** What this node's requests wait for: wishes that are told to the coordinator. */
#include "gateway.h"
#include "load_requests.h"
#include <stdio.h>

/* what this node asks for; lives while requests ask again */
typedef struct pending_load_request {
  char *key;
  id service, model, adapter;
  unsigned priority;
  bool extra_replica, replaces_lost;
  time_us last_asked_at, expected_at, failed_until;
  int code;
  id failed_coordinator;
  time_us failed_coordinator_until;
} pending_load_request;

char *load_request_key(id service, id model, id adapter) {
  return g_strdup_printf("%s/%s+%s", service.text, model.text, adapter.text);
}

/* the router that places a service's models, by an order that all agree on; one whose call failed
 * is passed over for a while */
static void coordinator(gateway *gateway, pending_load_request *j, id *who, char addr[48]) {
  char by[128];
  bool skip = !id_is_empty(j->failed_coordinator) &&
              !time_reached(gateway_now(gateway), j->failed_coordinator_until);
  int parts = placement_shard_count(gateway);
  if (parts == 1)
    snprintf(by, sizeof by, "place:%s", j->service.text);
  else
    snprintf(by, sizeof by, "place:%s/%d", j->service.text,
             placement_shard_of(j->model.text, parts));
  if (node_rendezvous_peer(&gateway->router->node, ROLE_ROUTER, by,
                           skip ? j->failed_coordinator : id_none, who, addr))
    return;
  *who = gateway->router->node.settings.self;
  g_strlcpy(addr, gateway->router->node.settings.address, 48);
}

static bool load_request_active(gateway *gateway, pending_load_request *j) {
  return !time_reached(
      gateway_now(gateway),
      time_add(j->last_asked_at,
               time_from_ms(j->extra_replica ? 4 * LOAD_REQUEST_TTL_MS : LOAD_REQUEST_TTL_MS)));
}

static void load_request_run(void *ctx) {
  struct {
    gateway *gateway;
    pending_load_request *job;
  } *a = ctx;
  gateway *gateway = a->gateway;
  pending_load_request *j = a->job;
  g_free(a);
  while (load_request_active(gateway, j)) {
    id who;
    char addr[48];
    coordinator(gateway, j, &who, addr);
    Wire__PlacementRequest q = WIRE__PLACEMENT_REQUEST__INIT;
    q.service = j->service.text;
    q.model = j->model.text;
    q.adapter = j->adapter.text;
    q.priority = j->priority;
    q.wait_ms = PLACEMENT_WAIT_MS;
    q.extra_replica = j->extra_replica;
    Wire__Envelope m = wire_envelope(WIRE__ENVELOPE__BODY_PLACEMENT_REQUEST, &q), *b;
    error err = { 0 };
    int r = node_call(&gateway->router->node, addr, &m, time_from_ms(PLACEMENT_CALL_TIMEOUT_MS), &b,
                      &err);
    if (r == E_STOPPING)
      break;
    int64_t wait = 300;
    if (!r && b->body_case == WIRE__ENVELOPE__BODY_PLACEMENT_RESPONSE) {
      r = (int)b->placement_response->error_code;
      wait = (int64_t)b->placement_response->retry_after_ms;
      if (!r && b->placement_response->engine && b->placement_response->engine[0]) {
        gateway_engine *engine = gateway_engine_find(gateway, b->placement_response->engine);
        if (engine && !j->extra_replica &&
            !gateway_engines_count_replicas(gateway, j->service, j->model, j->adapter))
          gateway_engine_mark_loaded(engine, j->model, j->adapter);
      }
    } else {
      if (!r)
        r = E_WIRE_MESSAGE;
      else {
        j->failed_coordinator = who;
        j->failed_coordinator_until = gateway_deadline_in_ms(gateway, 1500);
      }
    }
    node_reply_free(b);
    j->code = r;
    if (r == E_IN_PROGRESS) {
      j->expected_at = gateway_deadline_in_ms(gateway, (double)wait);
      continue;
    }
    if (!r || (j->extra_replica && r))
      break;
    if (r == E_NO_CAPACITY || r == E_UNKNOWN_MODEL || r == E_NO_ENGINE_FITS || r == E_NO_ENGINE ||
        r == E_ORDER_FAILED) {
      j->failed_until = gateway_deadline_in_ms(gateway, (double)MAX(wait, 200));
      condition_broadcast(&gateway->engines.changed);
      if (!world_sleep_with_jitter(gateway->router->node.world,
                                   time_from_ms(CLAMP(wait, 100, 800))))
        break;
      continue;
    }
    if (!world_sleep_with_jitter(gateway->router->node.world, time_from_ms(50)))
      break;
  }
  /* what a coordinator thinks is there and this node does not see must not be asked for again and
   * again */
  if (!j->extra_replica &&
      !gateway_engines_count_replicas(gateway, j->service, j->model, j->adapter))
    world_sleep(gateway->router->node.world, time_from_ms(100));
  g_hash_table_remove(gateway->load_requests, j->key);
  g_free(j);
  condition_broadcast(&gateway->engines.changed);
}

int load_request_submit(gateway *g, const service *service, id model, id adapter, unsigned priority,
                        bool copy, double *est_ms, int64_t *wait) {
  const service_model_spec *m = service_find_model(service, model.text);
  *est_ms = 0;
  *wait = 0;
  if (!m) {
    *wait = 2000;
    return E_UNKNOWN_MODEL;
  }
  char key[180];
  snprintf(key, sizeof key, "%s/%s+%s", service->name.text, model.text, adapter.text);
  pending_load_request *j = g_hash_table_lookup(g->load_requests, key);
  if (!j) {
    j = g_new0(pending_load_request, 1);
    j->key = g_strdup(key);
    /* where all that hold it are lost to this node, others may not have seen that yet */
    int lost = 0;
    list_for_each (i, &g->engines.list, gateway_engine, link)
      lost += !i->gone && !i->draining && id_equal(i->service, service->name) &&
              gateway_engine_unresponsive(i) && gateway_engine_has_model(i, model, adapter);
    j->replaces_lost =
        !copy && lost && !gateway_engines_count_replicas(g, service->name, model, adapter);
    j->service = service->name;
    j->model = model;
    j->adapter = adapter;
    j->priority = priority;
    j->extra_replica = copy || j->replaces_lost;
    bool there = !id_is_empty(adapter) &&
                 gateway_engines_count_replicas(g, service->name, model, id_none) > 0;
    bool warm = false;
    list_for_each (i, &g->engines.list, gateway_engine, link)
      warm |= !i->gone && !i->draining && id_equal(i->service, service->name) &&
              gateway_engine_has_on_disk(i, model);
    j->expected_at = gateway_deadline_in_ms(
        g, 30 + (there ? 0 : eviction_load_ms(g, service, model, id_none, warm)) +
               (id_is_empty(adapter) ? 0 : eviction_load_ms(g, service, model, adapter, false)));
    j->last_asked_at = gateway_now(g);
    g_hash_table_insert(g->load_requests, j->key, j);
    struct {
      gateway *gateway;
      pending_load_request *job;
    } *t = g_malloc(sizeof *t);
    t->gateway = g;
    t->job = j;
    task_start(&g->router->node.world->tasks, "want", load_request_run, t);
  }
  j->last_asked_at = gateway_now(g);
  j->priority = MIN(j->priority, priority);
  j->extra_replica &= copy || j->replaces_lost;
  *est_ms = (double)MAX(20, gateway_ms_until(g, j->expected_at));
  if (j->failed_until.us > gateway_now(g).us) {
    *wait = gateway_ms_until(g, j->failed_until);
    return j->code ? j->code : E_NO_CAPACITY;
  }
  return OK;
}
