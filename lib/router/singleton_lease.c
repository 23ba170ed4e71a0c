/**
 * Renews the leases that this router holds and acquires those that it should hold. Renewal and
 * acquisition run in separate tasks, because a grant waits for the controllers' disks and must not
 * delay a renewal.
 */
#include "singleton_lease.h"
#include "router.h"
#include <stdio.h>

enum {
  RENEW_INTERVAL_MS = 600,
  ACQUIRE_INTERVAL_MS = 300,
  /* Renewals and releases do not wait for disks. */
  RENEW_TIMEOUT_MS = 500,
  /* A grant waits until it has been written to the disks of the chain. */
  ACQUIRE_TIMEOUT_MS = 3300,
  HAND_OVER_AFTER_MS = 20000,
  /* How long gateways retain entries of singletons that no longer exist. */
  RELEASED_LEASE_RETENTION_MS = 10000,
  /* A process that has just started knows few other routers and would consider itself the preferred
     holder of every singleton. */
  STARTUP_DELAY_MS = 1500,
  /* A router that has had no response from the head for this long announces itself as idle, so that
     the other routers take over. */
  HEAD_UNANSWERED_MS = 2500
};

enum claim_kind { CLAIM_HOLD, CLAIM_RELEASE };

void singleton_engine_name(char *buf, size_t n, id engine) {
  snprintf(buf, n, "engine:%s", engine.text);
}

void singleton_leases_init(singleton_leases *leases) {
  leases->by_name = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
}

void singleton_leases_free(singleton_leases *leases) {
  g_hash_table_destroy(leases->by_name);
}

singleton_lease *singleton_lease_find(router *router, const char *singleton) {
  return g_hash_table_lookup(router->leases.by_name, singleton);
}

uint64_t singleton_lease_epoch(router *router, const char *singleton) {
  const singleton_lease *lease = singleton_lease_find(router, singleton);
  bool valid =
      lease && lease->held && !time_reached(world_now(router->node.world), lease->expires_at);
  return valid ? lease->epoch : 0;
}

/* True when a peer is eligible to hold leases, as far as this router knows. */
static bool may_hold_leases(router *router, const peer_node *peer) {
  if (peer->role != ROLE_ROUTER || peer->gone || peer->draining)
    return false;
  /* an idle peer gets no response from the head; it is eligible only if this router is idle too */
  if (peer->idle && !router->node.idle)
    return false;
  return !router->config || !config_is_zone_evacuated(router->config, peer->zone);
}

/* Rendezvous hashing: the eligible router with the highest hash is preferred. */
static bool is_preferred_holder(router *router, const char *singleton) {
  uint64_t own_rank = hash_two_names(singleton, router->node.settings.self.text);
  list_for_each (peer, &router->node.peers, peer_node, link)
    if (may_hold_leases(router, peer) && hash_two_names(singleton, peer->self.text) > own_rank)
      return false;
  return true;
}

static singleton_lease *find_or_add_lease(router *router, const char *singleton) {
  singleton_lease *lease = singleton_lease_find(router, singleton);
  if (!lease) {
    lease = g_new0(singleton_lease, 1);
    lease->name = id_of_text(singleton);
    g_hash_table_insert(router->leases.by_name, lease->name.text, lease);
  }
  return lease;
}

static void end_lease(router *router, singleton_lease *lease, const char *reason) {
  if (!lease->held)
    return;
  lease->held = false;
  log_info(&router->node.log, "lease", "Lost the lease on %s, epoch %" PRIu64 ": %s.",
           lease->name.text, lease->epoch, reason);
}

/* Ensures that head_address is set to the head or to a controller that can name it; false when no
 * controller is known. */
static bool ensure_head_address(router *router) {
  if (router->leases.head_address[0])
    return true;
  const peer_node *peer = peer_table_pick(&router->node, ROLE_CONTROLLER, NULL);
  if (!peer)
    return false;
  g_strlcpy(router->leases.head_address, peer->address, sizeof router->leases.head_address);
  return true;
}

/* Time in ms since the last order under a lease. The next holder measures its safety distance from
 * that order instead of from the last renewal, so it may start sooner. */
static uint64_t ms_since_last_order(router *router, const singleton_lease *lease) {
  time_us last_used_at = lease->last_order_at.us ? lease->last_order_at : lease->acquired_at;
  int64_t ms = time_sub(world_now(router->node.world), last_used_at).us / 1000;
  return (uint64_t)MAX(1, ms);
}

static void fill_claim(router *router, const singleton_lease *lease, enum claim_kind kind,
                       Wire__SingletonClaim *claim) {
  wire__singleton_claim__init(claim);
  claim->singleton = (char *)lease->name.text;
  claim->epoch = lease->held ? lease->epoch : 0;
  claim->release = kind == CLAIM_RELEASE;
  /* only gateways, which run in relaxed mode, record their orders under a lease */
  if (kind == CLAIM_RELEASE && router->node.settings.relaxed_timing && !lease->unanswered_orders)
    claim->quiet_ms = ms_since_last_order(router, lease);
}

/* Sends claims to the head; the caller frees the response. */
static enum error_code send_claims(router *router, const GPtrArray *leases, enum claim_kind kind,
                                   time_us timeout, Wire__Envelope **response, error *err) {
  Wire__SingletonClaim *claims = g_new0(Wire__SingletonClaim, leases->len),
                       **pointers = g_new0(Wire__SingletonClaim *, leases->len);
  for (guint i = 0; i < leases->len; i++) {
    fill_claim(router, leases->pdata[i], kind, &claims[i]);
    pointers[i] = &claims[i];
  }
  Wire__SingletonLeaseRequest request = WIRE__SINGLETON_LEASE_REQUEST__INIT;
  request.nonce = router->node.nonce;
  request.n_claims = leases->len;
  request.claims = pointers;
  Wire__Envelope message = wire_envelope(WIRE__ENVELOPE__BODY_SINGLETON_LEASE_REQUEST, &request);
  char address[sizeof router->leases.head_address];
  g_strlcpy(address, router->leases.head_address, sizeof address);
  enum error_code code = peer_rpc_call(&router->node, address, &message, timeout, response, err);
  g_free(claims);
  g_free(pointers);
  return code;
}

/* A controller that is not the head names the head. One that neither names it nor returns results
 * knows no head. */
static void update_head_address(router *router, const Wire__SingletonLeaseResponse *response) {
  const char *head = response->head_address;
  if (head && head[0]) {
    g_strlcpy(router->leases.head_address, address_is_valid(head) ? head : "",
              sizeof router->leases.head_address);
    return;
  }
  router->leases.head_answered_at = world_now(router->node.world);
  if (!response->n_results)
    router->leases.head_address[0] = 0;
}

static void apply_grant(router *router, singleton_lease *lease, uint64_t epoch,
                        time_us requested_at) {
  if (!lease->held || lease->epoch != epoch) {
    log_info(&router->node.log, "lease", "Acquired the lease on %s under epoch %" PRIu64 ".",
             lease->name.text, epoch);
    lease->acquired_at = world_now(router->node.world);
  }
  time_us expires_at = time_add(requested_at, time_from_ms(SINGLETON_LEASE_MS));
  lease->held = true;
  lease->epoch = epoch;
  if (expires_at.us > lease->expires_at.us)
    lease->expires_at = expires_at;
  condition_broadcast(&router->state_changed);
}

static void apply_result(router *router, const Wire__SingletonClaimResult *result,
                         time_us requested_at) {
  singleton_lease *lease = singleton_lease_find(router, result->singleton);
  if (!lease)
    return;
  bool held_by_other = result->holder && result->holder[0] &&
                       strcmp(result->holder, router->node.settings.self.text);
  if (result->granted)
    apply_grant(router, lease, result->epoch, requested_at);
  else if (held_by_other)
    end_lease(router, lease, "another router holds it");
}

static void handle_failure(router *router, enum error_code code, const error *err) {
  if (code == E_NO_RESPONSE || code == E_NO_CONTROLLER)
    router->leases.head_address[0] = 0;
  else if (code != E_STOPPING)
    log_debug(&router->node.log, "lease", "The head refused a lease request: %s (code %d).",
              err->text, code);
}

/* Sends the head a request to grant, renew or release leases. */
static void request_leases(router *router, const GPtrArray *leases, enum claim_kind kind,
                           time_us timeout) {
  if (!leases->len || !ensure_head_address(router))
    return;
  time_us requested_at = world_now(router->node.world);
  Wire__Envelope *envelope;
  error err = { 0 };
  enum error_code code = send_claims(router, leases, kind, timeout, &envelope, &err);
  if (code) {
    handle_failure(router, code, &err);
    return;
  }
  if (envelope->body_case == WIRE__ENVELOPE__BODY_SINGLETON_LEASE_RESPONSE) {
    const Wire__SingletonLeaseResponse *response = envelope->singleton_lease_response;
    update_head_address(router, response);
    for (size_t i = 0; kind == CLAIM_HOLD && i < response->n_results; i++)
      apply_result(router, response->results[i], requested_at);
  }
  peer_rpc_message_free(envelope);
}

static bool is_ineligible(router *router) {
  return router->draining ||
         (router->config && config_is_zone_evacuated(router->config, router->node.settings.zone));
}

static void mark_wanted(router *router, const char *singleton) {
  find_or_add_lease(router, singleton)->wanted = true;
}

/* Updates `wanted` of all entries: set for every existing singleton while this router is eligible
 * to hold leases. */
static void update_wanted_leases(router *router) {
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init(&iterator, router->leases.by_name);
  while (g_hash_table_iter_next(&iterator, NULL, &value))
    ((singleton_lease *)value)->wanted = false;
  if (is_ineligible(router) || !router->config)
    return;
  if (router->for_each_singleton)
    router->for_each_singleton(router->gateway, mark_wanted);
  engine_list_for_each_singleton(router, mark_wanted);
  mark_wanted(router, SINGLETON_LOAD_RATE_LIMITER);
}

/* Removes entries of singletons that ceased to exist some time ago. Gateways only: engines that
 * register themselves come and go, whereas the platform's list is short. No other task removes
 * entries, and this task keeps no pointer to an entry across a wait. */
static void remove_unused_leases(router *router, time_us now) {
  if (!router->for_each_singleton)
    return;
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init(&iterator, router->leases.by_name);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    const singleton_lease *lease = value;
    time_us retained_until = time_add(lease->expires_at, time_from_ms(RELEASED_LEASE_RETENTION_MS));
    if (!lease->wanted && !lease->held && time_reached(now, retained_until))
      g_hash_table_iter_remove(&iterator);
  }
}

static bool should_hand_over(router *router, singleton_lease *lease, time_us now) {
  if (is_preferred_holder(router, lease->name.text))
    lease->outranked_since = (time_us){ 0 };
  else if (!lease->outranked_since.us)
    lease->outranked_since = now;
  return lease->outranked_since.us &&
         time_reached(now, time_add(lease->outranked_since, time_from_ms(HAND_OVER_AFTER_MS)));
}

/* Adds a held lease to the renewals or the releases, or ends it if it has expired. */
static void review_lease(router *router, singleton_lease *lease, time_us now, GPtrArray *renewals,
                         GPtrArray *releases) {
  bool hand_over = should_hand_over(router, lease, now);
  if (time_reached(now, lease->expires_at)) {
    end_lease(router, lease, "expired");
  } else if (!lease->wanted || hand_over) {
    g_ptr_array_add(releases, lease);
    end_lease(router, lease,
              !lease->wanted ? "no longer needed, or this router is no longer eligible"
                             : "released to the preferred holder");
  } else {
    g_ptr_array_add(renewals, lease);
  }
}

static void renew_leases(router *router) {
  GPtrArray *renewals = g_ptr_array_new(), *releases = g_ptr_array_new();
  time_us now = world_now(router->node.world);
  update_wanted_leases(router);
  remove_unused_leases(router, now);
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init(&iterator, router->leases.by_name);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    singleton_lease *lease = value;
    if (lease->held)
      review_lease(router, lease, now, renewals, releases);
  }
  request_leases(router, releases, CLAIM_RELEASE, time_from_ms(RENEW_TIMEOUT_MS));
  request_leases(router, renewals, CLAIM_HOLD, time_from_ms(RENEW_TIMEOUT_MS));
  g_ptr_array_free(renewals, TRUE);
  g_ptr_array_free(releases, TRUE);
}

static void renew_leases_run(void *context) {
  router *router = context;
  do
    renew_leases(router);
  while (world_sleep_with_jitter(router->node.world, time_from_ms(RENEW_INTERVAL_MS)));
}

static void acquire_leases(router *router) {
  GPtrArray *missing = g_ptr_array_new();
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init(&iterator, router->leases.by_name);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    singleton_lease *lease = value;
    if (!lease->held && lease->wanted && !is_ineligible(router) &&
        is_preferred_holder(router, lease->name.text))
      g_ptr_array_add(missing, lease);
  }
  if (!missing->len)
    router->leases.head_answered_at = world_now(router->node.world);
  request_leases(router, missing, CLAIM_HOLD, time_from_ms(ACQUIRE_TIMEOUT_MS));
  g_ptr_array_free(missing, TRUE);
}

static void acquire_leases_run(void *context) {
  router *router = context;
  time_us started_at = world_now(router->node.world);
  router->leases.head_answered_at = started_at;
  while (world_sleep_with_jitter(router->node.world, time_from_ms(ACQUIRE_INTERVAL_MS))) {
    if (!time_reached(world_now(router->node.world),
                      time_add(started_at, time_from_ms(STARTUP_DELAY_MS))))
      continue;
    acquire_leases(router);
    time_us idle_at = time_add(router->leases.head_answered_at, time_from_ms(HEAD_UNANSWERED_MS));
    node_set_idle(&router->node, time_reached(world_now(router->node.world), idle_at));
  }
}

void singleton_lease_start(router *router) {
  task_start(&router->node.world->tasks, "lease renewal", renew_leases_run, router);
  task_start(&router->node.world->tasks, "lease acquisition", acquire_leases_run, router);
}
