#include "router.h"
#include <stdio.h>

enum {
  RENEW_INTERVAL_MS = 600,
  ACQUIRE_INTERVAL_MS = 300,
  HAND_OVER_AFTER_MS = 20000,
  RELEASED_LEASE_RETENTION_MS = 10000,
  STARTUP_DELAY_MS = 1500,
  STARTUP_DELAY_RELAXED_MS = 1500,
  HEAD_UNANSWERED_MS = 2500
};

void singleton_engine_name(char *buf, size_t n, id e) {
  snprintf(buf, n, "engine:%s", e.text);
}

uint64_t singleton_lease_epoch(router *router, const char *duty) {
  singleton_lease *singleton_lease = g_hash_table_lookup(router->singleton_leases, duty);
  return singleton_lease && singleton_lease->held &&
                 !time_reached(world_now(router->node.world), singleton_lease->expires_at)
             ? singleton_lease->epoch
             : 0;
}

/* the first live router for a duty, in the order that all agree on */
static bool is_first_choice(router *router, const char *duty) {
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

static singleton_lease *find_or_add_lease(router *router, const char *duty) {
  singleton_lease *c = g_hash_table_lookup(router->singleton_leases, duty);
  if (!c) {
    c = g_new0(singleton_lease, 1);
    c->name = id_of_text(duty);
    g_hash_table_insert(router->singleton_leases, c->name.text, c);
  }
  return c;
}

static void release_lease(router *router, singleton_lease *singleton_lease, const char *why) {
  if (!singleton_lease->held)
    return;
  singleton_lease->held = false;
  log_info(&router->node.log, "duty", "Gave up %s, epoch %" PRIu64 ": %s.",
           singleton_lease->name.text, singleton_lease->epoch, why);
}

/* asks the head: renewals and new asks never share a message, since new ones wait for disks */
static void request_leases(router *router, GPtrArray *list, bool leave, time_us span) {
  if (!list->len)
    return;
  if (!router->head_address[0]) {
    peer_node *peer = node_pick_peer(&router->node, ROLE_CONTROLLER, NULL);
    if (!peer)
      return;
    g_strlcpy(router->head_address, peer->address, sizeof router->head_address);
  }
  char addr[48];
  g_strlcpy(addr, router->head_address, sizeof addr);
  Wire__SingletonLeaseRequest q = WIRE__SINGLETON_LEASE_REQUEST__INIT;
  Wire__SingletonClaim *h = g_new0(Wire__SingletonClaim, list->len),
                       **hp = g_new0(Wire__SingletonClaim *, list->len);
  for (guint i = 0; i < list->len; i++) {
    singleton_lease *c = list->pdata[i];
    wire__singleton_claim__init(&h[i]);
    h[i].singleton = c->name.text;
    h[i].epoch = c->held ? c->epoch : 0;
    h[i].release = leave;
    /* the next holder must keep its distance from this one's last order, not from its last renewal
     */
    if (leave && router->node.settings.relaxed && !c->open_orders)
      h[i].quiet_ms =
          (uint64_t)MAX(1, time_sub(world_now(router->node.world),
                                    c->last_order_at.us ? c->last_order_at : c->acquired_at)
                                   .us /
                               1000);
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
      router->head_address[0] = 0;
    else if (r != E_STOPPING)
      log_debug(&router->node.log, "duty", "The head says no: %s (code %d).", err.text, r);
    return;
  }
  if (b->body_case == WIRE__ENVELOPE__BODY_SINGLETON_LEASE_RESPONSE) {
    Wire__SingletonLeaseResponse *k = b->singleton_lease_response;
    if (!k->head_address || !k->head_address[0])
      router->head_answered_at = world_now(router->node.world);
    if (k->head_address && k->head_address[0])
      g_strlcpy(router->head_address, address_is_valid(k->head_address) ? k->head_address : "",
                sizeof router->head_address);
    else if (!k->n_results)
      router->head_address[0] = 0;
    for (size_t i = 0; i < k->n_results; i++) {
      singleton_lease *c = g_hash_table_lookup(router->singleton_leases, k->results[i]->singleton);
      if (!c || leave)
        continue;
      if (k->results[i]->granted) {
        time_us till = time_add(sent, time_from_ms(SINGLETON_LEASE_MS));
        if (!c->held || c->epoch != k->results[i]->epoch) {
          log_info(&router->node.log, "duty", "Holds %s under epoch %" PRIu64 ".", c->name.text,
                   k->results[i]->epoch);
          c->acquired_at = world_now(router->node.world);
          if (!strcmp(c->name.text, "pacer"))
            router->rate_limiter_since = c->acquired_at;
        }
        c->held = true;
        c->epoch = k->results[i]->epoch;
        if (till.us > c->expires_at.us)
          c->expires_at = till;
        condition_broadcast(&router->state_changed);
      } else if (k->results[i]->holder && k->results[i]->holder[0] &&
                 strcmp(k->results[i]->holder, router->node.settings.self.text))
        release_lease(router, c, "another holds it");
    }
  }
  node_reply_free(b);
}

static bool is_ineligible(router *router) {
  return router->draining ||
         (router->config && config_is_zone_evacuated(router->config, router->node.settings.zone));
}

static void mark_wanted(router *router, const char *duty) {
  find_or_add_lease(router, duty)->wanted = true;
}

/* which duties there are, and which of them this router should have */
static void plan_leases(router *router) {
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, router->singleton_leases);
  while (g_hash_table_iter_next(&it, NULL, &p))
    ((singleton_lease *)p)->wanted = false;
  if (is_ineligible(router) || !router->config)
    return;
  if (router->for_each_singleton)
    router->for_each_singleton(router->gateway, mark_wanted);
  char d[64];
  list_for_each (e, &router->engines, engine, link) {
    if (e->removed || !e->listed)
      continue;
    singleton_engine_name(d, sizeof d, e->self);
    find_or_add_lease(router, d)->wanted = true;
  }
  find_or_add_lease(router, "pacer")->wanted = true;
}

static void renew_leases_run(void *p) {
  router *router = p;
  do {
    GPtrArray *keep = g_ptr_array_new(), *leave = g_ptr_array_new();
    time_us now = world_now(router->node.world);
    plan_leases(router);
    GHashTableIter it;
    gpointer q;
    g_hash_table_iter_init(&it, router->singleton_leases);
    /* only this task forgets, where it holds none across a wait */
    while (router->for_each_singleton && g_hash_table_iter_next(&it, NULL, &q)) {
      singleton_lease *c = q;
      if (!c->wanted && !c->held &&
          time_reached(now, time_add(c->expires_at, time_from_ms(RELEASED_LEASE_RETENTION_MS))))
        g_hash_table_iter_remove(&it);
    }
    g_hash_table_iter_init(&it, router->singleton_leases);
    while (g_hash_table_iter_next(&it, NULL, &q)) {
      singleton_lease *c = q;
      if (!c->held)
        continue;
      bool own = is_first_choice(router, c->name.text);
      if (own)
        c->outranked_since = (time_us){ 0 };
      else if (!c->outranked_since.us)
        c->outranked_since = now;
      bool give =
          !c->wanted ||
          (c->outranked_since.us &&
           time_reached(now, time_add(c->outranked_since, time_from_ms(HAND_OVER_AFTER_MS))));
      if (time_reached(now, c->expires_at))
        release_lease(router, c, "the contract ran out");
      else
        g_ptr_array_add(give ? leave : keep, c);
      if (give && c->held)
        release_lease(router, c, !c->wanted ? "this machine leaves it" : "another comes first");
    }
    request_leases(router, leave, true, time_from_ms(500));
    request_leases(router, keep, false, time_from_ms(500));
    g_ptr_array_free(keep, TRUE);
    g_ptr_array_free(leave, TRUE);
  } while (world_sleep_with_jitter(router->node.world, time_from_ms(RENEW_INTERVAL_MS)));
}

static void acquire_leases_run(void *p) {
  router *router = p;
  time_us from = router->head_answered_at = world_now(router->node.world);
  while (world_sleep_with_jitter(router->node.world, time_from_ms(ACQUIRE_INTERVAL_MS))) {
    /* a young process knows few others yet and would think itself first */
    if (!time_reached(
            world_now(router->node.world),
            time_add(from, time_from_ms(router->node.settings.relaxed ? STARTUP_DELAY_RELAXED_MS
                                                                      : STARTUP_DELAY_MS))))
      continue;
    GPtrArray *ask = g_ptr_array_new();
    GHashTableIter it;
    gpointer q;
    g_hash_table_iter_init(&it, router->singleton_leases);
    while (g_hash_table_iter_next(&it, NULL, &q)) {
      singleton_lease *singleton_lease = q;
      if (!singleton_lease->held && singleton_lease->wanted && !is_ineligible(router) &&
          is_first_choice(router, singleton_lease->name.text))
        g_ptr_array_add(ask, singleton_lease);
    }
    if (!ask->len)
      router->head_answered_at = world_now(router->node.world);
    request_leases(router, ask, false, time_from_ms(3300));
    node_set_idle(&router->node, time_reached(world_now(router->node.world),
                                              time_add(router->head_answered_at,
                                                       time_from_ms(HEAD_UNANSWERED_MS))));
    g_ptr_array_free(ask, TRUE);
  }
}

void singleton_lease_start(router *router) {
  task_start(&router->node.world->tasks, "renew", renew_leases_run, router);
  task_start(&router->node.world->tasks, "duty", acquire_leases_run, router);
}
