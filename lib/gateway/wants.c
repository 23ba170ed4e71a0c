/** What this node's requests wait for: wishes that are told to the coordinator. */
#include "loader_internal.h"
#include <stdio.h>

/* what this node asks for; lives while requests ask again */
typedef struct want_job {
  char *key;
  id service, model, adapter;
  unsigned priority;
  bool copy, lost;
  time_us asked, due, failed_till;
  int code;
  id tried;
  time_us tried_till;
} want_job;

char *placement_key(id service, id model, id adapter) {
  return g_strdup_printf("%s/%s+%s", service.text, model.text, adapter.text);
}

/* the router that places a service's models, by an order that all agree on; one whose call failed
 * is passed over for a while */
static void coordinator(gateway *gateway, want_job *j, id *who, char addr[48]) {
  char by[128];
  bool skip = !id_is_empty(j->tried) && !time_reached(now_of(gateway), j->tried_till);
  int parts = placement_parts(gateway);
  if (parts == 1)
    snprintf(by, sizeof by, "place:%s", j->service.text);
  else
    snprintf(by, sizeof by, "place:%s/%d", j->service.text, placement_part(j->model.text, parts));
  if (node_rendezvous_peer(&gateway->router->node, ROLE_ROUTER, by, skip ? j->tried : none, who,
                           addr))
    return;
  *who = gateway->router->node.settings.self;
  g_strlcpy(addr, gateway->router->node.settings.address, 48);
}

static bool want_alive(gateway *gateway, want_job *j) {
  return !time_reached(now_of(gateway),
                       time_add(j->asked, time_from_ms(j->copy ? 4 * ALIVE_MS : ALIVE_MS)));
}

static void want_run(void *ctx) {
  struct {
    gateway *gateway;
    want_job *job;
  } *a = ctx;
  gateway *gateway = a->gateway;
  want_job *j = a->job;
  g_free(a);
  while (want_alive(gateway, j)) {
    id who;
    char addr[48];
    coordinator(gateway, j, &who, addr);
    Wire__PlacementRequest q = WIRE__PLACEMENT_REQUEST__INIT;
    q.service = j->service.text;
    q.model = j->model.text;
    q.adapter = j->adapter.text;
    q.priority = j->priority;
    q.wait_ms = REQUEST_MS;
    q.extra_replica = j->copy;
    Wire__Envelope m = wire_envelope(WIRE__ENVELOPE__BODY_PLACEMENT_REQUEST, &q), *b;
    error err = { 0 };
    int r = node_call(&gateway->router->node, addr, &m, time_from_ms(CALL_MS), &b, &err);
    if (r == E_STOPPING)
      break;
    int64_t wait = 300;
    if (!r && b->body_case == WIRE__ENVELOPE__BODY_PLACEMENT_RESPONSE) {
      r = (int)b->placement_response->error_code;
      wait = (int64_t)b->placement_response->retry_after_ms;
      if (!r && b->placement_response->engine && b->placement_response->engine[0]) {
        instance *instance = instance_find(gateway, b->placement_response->engine);
        if (instance && !j->copy && !instance_copies(gateway, j->service, j->model, j->adapter))
          instance_loaded(instance, j->model, j->adapter);
      }
    } else {
      if (!r)
        r = E_WIRE_MESSAGE;
      else {
        j->tried = who;
        j->tried_till = ms_from(gateway, 1500);
      }
    }
    node_reply_free(b);
    j->code = r;
    if (r == E_IN_PROGRESS) {
      j->due = ms_from(gateway, (double)wait);
      continue;
    }
    if (!r || (j->copy && r))
      break;
    if (r == E_NO_CAPACITY || r == E_UNKNOWN_MODEL || r == E_NO_ENGINE_FITS || r == E_NO_ENGINE ||
        r == E_ORDER_FAILED) {
      j->failed_till = ms_from(gateway, (double)MAX(wait, 200));
      condition_broadcast(&gateway->moved);
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
  if (!j->copy && !instance_copies(gateway, j->service, j->model, j->adapter))
    world_sleep(gateway->router->node.world, time_from_ms(100));
  g_hash_table_remove(gateway->wants, j->key);
  g_free(j);
  condition_broadcast(&gateway->moved);
}

int want_model(gateway *g, const service *service, id model, id adapter, unsigned priority,
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
  want_job *j = g_hash_table_lookup(g->wants, key);
  if (!j) {
    j = g_new0(want_job, 1);
    j->key = g_strdup(key);
    /* where all that hold it are lost to this node, others may not have seen that yet */
    int lost = 0;
    list_for_each (i, &g->instances, instance, link)
      lost += !i->gone && !i->leaving && id_equal(i->service, service->name) && instance_lost(i) &&
              instance_holds(i, model, adapter);
    j->lost = !copy && lost && !instance_copies(g, service->name, model, adapter);
    j->service = service->name;
    j->model = model;
    j->adapter = adapter;
    j->priority = priority;
    j->copy = copy || j->lost;
    bool there = !id_is_empty(adapter) && instance_copies(g, service->name, model, none) > 0;
    bool warm = false;
    list_for_each (i, &g->instances, instance, link)
      warm |= !i->gone && !i->leaving && id_equal(i->service, service->name) &&
              g_hash_table_contains(i->held_before, model.text);
    j->due = ms_from(
        g, 30 + (there ? 0 : thing_load_ms(g, service, model, none, warm)) +
               (id_is_empty(adapter) ? 0 : thing_load_ms(g, service, model, adapter, false)));
    j->asked = now_of(g);
    g_hash_table_insert(g->wants, j->key, j);
    struct {
      gateway *gateway;
      want_job *job;
    } *t = g_malloc(sizeof *t);
    t->gateway = g;
    t->job = j;
    task_start(&g->router->node.world->tasks, "want", want_run, t);
  }
  j->asked = now_of(g);
  j->priority = MIN(j->priority, priority);
  j->copy &= copy || j->lost;
  *est_ms = (double)MAX(20, ms_till(g, j->due));
  if (j->failed_till.us > now_of(g).us) {
    *wait = ms_till(g, j->failed_till);
    return j->code ? j->code : E_NO_CAPACITY;
  }
  return OK;
}
