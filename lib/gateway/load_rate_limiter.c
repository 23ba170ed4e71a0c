/** The pace of loads out of a service's store: one node gives the tickets. */
#include "loader_internal.h"
#include <math.h>

/* the pace of the store */
int load_rate_limiter_max_loads(double loads_per_s, double window_s, double excess) {
  return MAX(1, (int)floor(loads_per_s * window_s * excess + 1e-9) - 1);
}

time_us load_rate_limiter_next_at(const GArray *log, time_us now, time_us window, int most) {
  if ((int)log->len < most)
    return now;
  time_us free_at = time_add(g_array_index(log, time_us, log->len - (guint)most), window);
  return free_at.us > now.us ? free_at : now;
}

void load_rate_limiter_take_over(GArray *log, time_us since, time_us born, time_us window,
                                 int most) {
  /* loads that nobody told of: a few always; all but three when this node is too young to have
   * heard */
  int unheard = time_reached(since, time_add(born, window)) ? MIN(3, most - 1) : MAX(0, most - 3);
  for (int k = 0; k < unheard; k++)
    g_array_append_val(log, since);
}

/* when loads out of a service's store began, and the contract under which this node has given
 * tickets for them */
typedef struct load_rate_limiter {
  GArray *load_times;
  uint64_t epoch;
} load_rate_limiter;

static load_rate_limiter *load_rate_limiter_of(gateway *gateway, id service) {
  load_rate_limiter *p = g_hash_table_lookup(gateway->load_rate_limiters, service.text);
  if (p)
    return p;
  p = g_new0(load_rate_limiter, 1);
  p->load_times = g_array_new(FALSE, TRUE, sizeof(time_us));
  g_hash_table_insert(gateway->load_rate_limiters, g_strdup(service.text), p);
  return p;
}

void load_rate_limiter_free(void *q) {
  load_rate_limiter *p = q;
  g_array_free(p->load_times, TRUE);
  g_free(p);
}

static double window_s(gateway *gateway) {
  return gateway->settings.load_window_s > 0 ? gateway->settings.load_window_s : 5;
}

static double excess(gateway *gateway) {
  return gateway->settings.load_excess > 0 ? gateway->settings.load_excess : 1;
}

void load_rate_limiter_record(gateway *gateway, id service, time_us at) {
  GArray *a = load_rate_limiter_of(gateway, service)->load_times;
  time_us old = time_sub(at, (time_us){ (int64_t)(window_s(gateway) * 1.2e6) });
  while (a->len && g_array_index(a, time_us, 0).us < old.us)
    g_array_remove_index(a, 0);
  g_array_append_val(a, at);
}

/* a call asks for a ticket; a cast says that a load began, so that whoever takes the pace over
 * knows */
int load_rate_limiter_on_permit(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  gateway *gateway = ctx;
  router *router = gateway->router;
  gateway_engine *engine = gateway_engine_find(gateway, in->load_permit_request->engine);
  if (!in->call) {
    if (!engine)
      return OK;
    if (in->load_permit_request->key && in->load_permit_request->key[0])
      load_rate_limiter_record(gateway, engine->service, now_of(gateway));
    else
      engine->peer_ordered_at = now_of(gateway);
    return OK;
  }
  uint64_t epoch = singleton_lease_epoch(router, "pacer");
  if (!epoch)
    return error_set(err, E_NO_LEASE_HOLDER, "the pace is not held here");
  if (in->load_permit_request->epoch > epoch)
    return error_set(err, E_STALE_EPOCH, "a younger epoch is known");
  const service *service = engine ? gateway_service_of(gateway, engine->service) : NULL;
  if (!service)
    return error_set(err, E_NO_ENGINE, "%.40s is not known here", in->load_permit_request->engine);
  Wire__LoadPermitResponse *b = reply_new_body(reply, WIRE__ENVELOPE__BODY_LOAD_PERMIT_RESPONSE,
                                               &wire__load_permit_response__descriptor);
  b->granted = true;
  b->valid_us = LOAD_PERMIT_VALID_MS * 1000;
  if (service->loads_per_s <= 0)
    return OK;
  int most = load_rate_limiter_max_loads(service->loads_per_s, window_s(gateway), excess(gateway));
  time_us window = { (int64_t)(window_s(gateway) * 1e6) + LOAD_PERMIT_VALID_MS * 1000 },
          now = now_of(gateway);
  load_rate_limiter *p = load_rate_limiter_of(gateway, service->name);
  singleton_lease *singleton_lease = singleton_lease_find(router, "pacer");
  if (p->epoch != epoch) {
    if (epoch > 1)
      load_rate_limiter_take_over(p->load_times, singleton_lease->acquired_at,
                                  router->node.started_at, window, most);
    p->epoch = epoch;
  }
  time_us at = load_rate_limiter_next_at(p->load_times, now, window, most);
  int64_t wait = time_sub(at, now).us;
  b->granted = wait == 0 && !time_reached(time_add(now, time_from_ms(LOAD_PERMIT_VALID_MS)),
                                          singleton_lease->expires_at);
  b->wait_ms = (uint64_t)(wait + 999) / 1000;
  if (!b->granted) {
    router->permits.refused++;
    if (!b->wait_ms)
      b->wait_ms = 100;
    return OK;
  }
  router->permits.granted++;
  load_rate_limiter_record(gateway, service->name, now);
  Wire__LoadPermitRequest t = WIRE__LOAD_PERMIT_REQUEST__INIT;
  t.engine = in->load_permit_request->engine;
  t.key = in->load_permit_request->key;
  t.epoch = epoch;
  Wire__Envelope m = wire_envelope(WIRE__ENVELOPE__BODY_LOAD_PERMIT_REQUEST, &t);
  singleton_successors_broadcast(gateway, "pacer", &m);
  return OK;
}

/* asks for a load out of the store; last is how late its order may be sent */
int load_rate_limiter_request_permit(gateway_engine *engine, const service *service,
                                     const char *key, time_us *last, int64_t *wait, error *err) {
  gateway *gateway = engine->gateway;
  router *router = gateway->router;
  /* a new configuration may free the service while the pacer is asked */
  double loads_per_s = service->loads_per_s;
  id name = service->name;
  if (loads_per_s <= 0) {
    *last = time_never();
    return OK;
  }
  time_us from = now_of(gateway);
  for (;;) {
    id holder;
    uint64_t epoch;
    char addr[48] = "";
    if (config_sync_find_grant(router, "pacer", &holder, &epoch)) {
      peer_node *peer = node_find_peer(&router->node, holder);
      if (id_equal(holder, router->node.settings.self))
        g_strlcpy(addr, router->node.settings.address, sizeof addr);
      else if (peer && !peer->gone)
        g_strlcpy(addr, peer->address, sizeof addr);
    }
    int r = E_LOAD_RATE_LIMITED;
    if (addr[0]) {
      Wire__LoadPermitRequest t = WIRE__LOAD_PERMIT_REQUEST__INIT;
      t.engine = engine->engine_id.text;
      t.key = (char *)key;
      t.epoch = epoch;
      Wire__Envelope q = wire_envelope(WIRE__ENVELOPE__BODY_LOAD_PERMIT_REQUEST, &t), *b;
      time_us sent = now_of(gateway);
      r = node_call(&router->node, addr, &q, time_from_ms(LOAD_PERMIT_TIMEOUT_MS), &b, err);
      if (r == E_STOPPING)
        return r;
      if (!r) {
        bool good = b->body_case == WIRE__ENVELOPE__BODY_LOAD_PERMIT_RESPONSE,
             ok = good && b->load_permit_response->granted;
        if (good)
          *wait = (int64_t)b->load_permit_response->wait_ms;
        if (ok)
          *last = time_add(sent, (time_us){ (int64_t)b->load_permit_response->valid_us });
        node_reply_free(b);
        if (ok)
          return OK;
        if (good)
          return error_set(err, E_LOAD_RATE_LIMITED, "the pace is taken for %" PRId64 " ms", *wait);
        r = E_WIRE_MESSAGE;
      }
    }
    if (gateway_ms_since(gateway, from) >= LOAD_PERMIT_TIMEOUT_MS)
      break;
    if (!world_sleep(router->node.world, time_from_ms(100)))
      return error_set(err, E_STOPPING, "stopping");
  }
  /* nobody answers for the pace: a node's own small share of it */
  double gap = 4 * MAX(gateway->router_count, 1) / loads_per_s * 1000;
  if (gateway->unpermitted_load_at.us &&
      gateway_ms_since(gateway, gateway->unpermitted_load_at) < gap) {
    *wait = 500;
    return error_set(err, E_LOAD_RATE_LIMITED, "nobody holds the pace");
  }
  gateway->unpermitted_load_at = now_of(gateway);
  load_rate_limiter_record(gateway, name, now_of(gateway));
  *last = gateway_deadline_in_ms(gateway, LOAD_PERMIT_VALID_MS);
  return OK;
}

/* sends to those who would come next for a duty, who are all when nodes are few */
void singleton_successors_broadcast(gateway *gateway, const char *duty, Wire__Envelope *m) {
  enum { MAX_SUCCESSORS = 3 };
  peer_node *heir[MAX_SUCCESSORS] = { NULL };
  uint64_t top[MAX_SUCCESSORS] = { 0 };
  list_for_each (x, &gateway->router->node.peers, peer_node, link) {
    if (x->role != ROLE_ROUTER || x->gone)
      continue;
    if (gateway->router_count <= SMALL_FLEET_NODES) {
      node_send(&gateway->router->node, x->address, m);
      continue;
    }
    uint64_t h = hash_two_names(duty, x->self.text);
    int at = MAX_SUCCESSORS;
    while (at > 0 && h > top[at - 1])
      at--;
    if (at == MAX_SUCCESSORS)
      continue;
    for (int k = MAX_SUCCESSORS - 1; k > at; k--) {
      top[k] = top[k - 1];
      heir[k] = heir[k - 1];
    }
    top[at] = h;
    heir[at] = x;
  }
  for (int k = 0; k < MAX_SUCCESSORS; k++)
    if (heir[k])
      node_send(&gateway->router->node, heir[k]->address, m);
}
