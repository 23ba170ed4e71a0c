#include "router.h"
#include <stdio.h>

enum {
  RENEW_MS = 600,
  REQUEST_MS = 300,
  GIVE_BACK_MS = 20000,
  GONE_PEER_RETENTION_MS = 10000,
  STEADY_MS = 1500,
  STEADY_LOOSE_MS = 1500,
  IDLE_MS = 2500
};

void duty_engine(char *buf, size_t n, id e) {
  snprintf(buf, n, "engine:%s", e.text);
}

uint64_t duty_epoch(router *router, const char *duty) {
  contract *contract = g_hash_table_lookup(router->contracts, duty);
  return contract && contract->held && !time_reached(world_now(router->node.world), contract->till)
             ? contract->epoch
             : 0;
}

/* the first live router for a duty, in the order that all agree on */
static bool first(router *router, const char *duty) {
  uint64_t mine = hash_two_names(duty, router->node.settings.self.text);
  list_for_each (peer, &router->node.peers, peer_node, link) {
    /* one whom the head does not answer can't do a duty, however well it is heard here */
    if (peer->role != ROLE_ROUTER || peer->gone || peer->draining ||
        (peer->idle && !router->node.idle) ||
        (router->config && config_is_zone_evacuated(router->config, peer->zone)))
      continue;
    if (hash_two_names(duty, peer->self.text) > mine)
      return false;
  }
  return true;
}

static contract *contract_of(router *router, const char *duty) {
  contract *c = g_hash_table_lookup(router->contracts, duty);
  if (!c) {
    c = g_new0(contract, 1);
    c->duty = id_of_text(duty);
    g_hash_table_insert(router->contracts, c->duty.text, c);
  }
  return c;
}

static void lose(router *router, contract *contract, const char *why) {
  if (!contract->held)
    return;
  contract->held = false;
  log_info(&router->node.log, "duty", "Gave up %s, epoch %" PRIu64 ": %s.", contract->duty.text,
           contract->epoch, why);
}

/* asks the head: renewals and new asks never share a message, since new ones wait for disks */
static void request_head(router *router, GPtrArray *list, bool leave, time_us span) {
  if (!list->len)
    return;
  if (!router->head_addr[0]) {
    peer_node *peer = node_pick_peer(&router->node, ROLE_CONTROLLER, NULL);
    if (!peer)
      return;
    g_strlcpy(router->head_addr, peer->address, sizeof router->head_addr);
  }
  char addr[48];
  g_strlcpy(addr, router->head_addr, sizeof addr);
  Wire__SingletonLeaseRequest q = WIRE__SINGLETON_LEASE_REQUEST__INIT;
  Wire__SingletonClaim *h = g_new0(Wire__SingletonClaim, list->len),
                       **hp = g_new0(Wire__SingletonClaim *, list->len);
  for (guint i = 0; i < list->len; i++) {
    contract *c = list->pdata[i];
    wire__singleton_claim__init(&h[i]);
    h[i].singleton = c->duty.text;
    h[i].epoch = c->held ? c->epoch : 0;
    h[i].release = leave;
    /* the next holder must keep its distance from this one's last order, not from its last renewal
     */
    if (leave && router->node.settings.relaxed && !c->open)
      h[i].quiet_ms = (uint64_t)MAX(
          1,
          time_sub(world_now(router->node.world), c->ordered.us ? c->ordered : c->since).us / 1000);
    hp[i] = &h[i];
  }
  q.nonce = router->node.nonce;
  q.n_claims = list->len;
  q.claims = hp;
  Wire__Envelope m = wire_envelope(WIRE__ENVELOPE__BODY_SINGLETON_LEASE_REQUEST, &q), *b;
  error err = { 0 };
  time_us sent = world_now(router->node.world);
  int r = node_call(&router->node, addr, &m, span, &b, &err);
  g_free(h);
  g_free(hp);
  if (r) {
    if (r == E_NO_RESPONSE || r == E_NO_CONTROLLER)
      router->head_addr[0] = 0;
    else if (r != E_STOPPING)
      log_debug(&router->node.log, "duty", "The head says no: %s (code %d).", err.text, r);
    return;
  }
  if (b->body_case == WIRE__ENVELOPE__BODY_SINGLETON_LEASE_RESPONSE) {
    Wire__SingletonLeaseResponse *k = b->singleton_lease_response;
    if (!k->head_address || !k->head_address[0])
      router->head_at = world_now(router->node.world);
    if (k->head_address && k->head_address[0])
      g_strlcpy(router->head_addr, address_is_valid(k->head_address) ? k->head_address : "",
                sizeof router->head_addr);
    else if (!k->n_results)
      router->head_addr[0] = 0;
    for (size_t i = 0; i < k->n_results; i++) {
      contract *c = g_hash_table_lookup(router->contracts, k->results[i]->singleton);
      if (!c || leave)
        continue;
      if (k->results[i]->granted) {
        time_us till = time_add(sent, time_from_ms(SINGLETON_LEASE_MS));
        if (!c->held || c->epoch != k->results[i]->epoch) {
          log_info(&router->node.log, "duty", "Holds %s under epoch %" PRIu64 ".", c->duty.text,
                   k->results[i]->epoch);
          c->since = world_now(router->node.world);
          if (!strcmp(c->duty.text, "pacer"))
            router->pace_from = c->since;
        }
        c->held = true;
        c->epoch = k->results[i]->epoch;
        if (till.us > c->till.us)
          c->till = till;
        condition_broadcast(&router->moved);
      } else if (k->results[i]->holder && k->results[i]->holder[0] &&
                 strcmp(k->results[i]->holder, router->node.settings.self.text))
        lose(router, c, "another holds it");
    }
  }
  node_reply_free(b);
}

static bool out_of_duty(router *router) {
  return router->drain ||
         (router->config && config_is_zone_evacuated(router->config, router->node.settings.zone));
}

static void want_duty(router *router, const char *duty) {
  contract_of(router, duty)->wanted = true;
}

/* which duties there are, and which of them this router should have */
static void plan(router *router) {
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, router->contracts);
  while (g_hash_table_iter_next(&it, NULL, &p))
    ((contract *)p)->wanted = false;
  if (out_of_duty(router) || !router->config)
    return;
  if (router->each_duty)
    router->each_duty(router->gateway, want_duty);
  char d[64];
  list_for_each (e, &router->engines, engine, link) {
    if (e->quit || !e->listed)
      continue;
    duty_engine(d, sizeof d, e->self);
    contract_of(router, d)->wanted = true;
  }
  contract_of(router, "pacer")->wanted = true;
}

static void renew_run(void *p) {
  router *router = p;
  do {
    GPtrArray *keep = g_ptr_array_new(), *leave = g_ptr_array_new();
    time_us now = world_now(router->node.world);
    plan(router);
    GHashTableIter it;
    gpointer q;
    g_hash_table_iter_init(&it, router->contracts);
    /* only this task forgets, where it holds none across a wait */
    while (router->each_duty && g_hash_table_iter_next(&it, NULL, &q)) {
      contract *c = q;
      if (!c->wanted && !c->held &&
          time_reached(now, time_add(c->till, time_from_ms(GONE_PEER_RETENTION_MS))))
        g_hash_table_iter_remove(&it);
    }
    g_hash_table_iter_init(&it, router->contracts);
    while (g_hash_table_iter_next(&it, NULL, &q)) {
      contract *c = q;
      if (!c->held)
        continue;
      bool own = first(router, c->duty.text);
      if (own)
        c->second = (time_us){ 0 };
      else if (!c->second.us)
        c->second = now;
      bool give =
          !c->wanted ||
          (c->second.us && time_reached(now, time_add(c->second, time_from_ms(GIVE_BACK_MS))));
      if (time_reached(now, c->till))
        lose(router, c, "the contract ran out");
      else
        g_ptr_array_add(give ? leave : keep, c);
      if (give && c->held)
        lose(router, c, !c->wanted ? "this machine leaves it" : "another comes first");
    }
    request_head(router, leave, true, time_from_ms(500));
    request_head(router, keep, false, time_from_ms(500));
    g_ptr_array_free(keep, TRUE);
    g_ptr_array_free(leave, TRUE);
  } while (world_sleep_with_jitter(router->node.world, time_from_ms(RENEW_MS)));
}

static void request_run(void *p) {
  router *router = p;
  time_us from = router->head_at = world_now(router->node.world);
  while (world_sleep_with_jitter(router->node.world, time_from_ms(REQUEST_MS))) {
    /* a young process knows few others yet and would think itself first */
    if (!time_reached(world_now(router->node.world),
                      time_add(from, time_from_ms(router->node.settings.relaxed ? STEADY_LOOSE_MS
                                                                                : STEADY_MS))))
      continue;
    GPtrArray *ask = g_ptr_array_new();
    GHashTableIter it;
    gpointer q;
    g_hash_table_iter_init(&it, router->contracts);
    while (g_hash_table_iter_next(&it, NULL, &q)) {
      contract *contract = q;
      if (!contract->held && contract->wanted && !out_of_duty(router) &&
          first(router, contract->duty.text))
        g_ptr_array_add(ask, contract);
    }
    if (!ask->len)
      router->head_at = world_now(router->node.world);
    request_head(router, ask, false, time_from_ms(3300));
    node_set_idle(&router->node, time_reached(world_now(router->node.world),
                                              time_add(router->head_at, time_from_ms(IDLE_MS))));
    g_ptr_array_free(ask, TRUE);
  }
}

void duty_start(router *router) {
  task_start(&router->node.world->tasks, "renew", renew_run, router);
  task_start(&router->node.world->tasks, "duty", request_run, router);
}
