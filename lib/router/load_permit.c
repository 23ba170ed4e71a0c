/**
 * Both sides of load permits: requesting and granting them.
 */
#include "load_permit.h"
#include "router.h"

enum {
  PERMIT_TIMEOUT_MS = 600,
  /* Length of a slot: a load may start up to this late, but at most a quarter of the spacing. */
  SLOT_SLACK_MS = 100,
  SLOT_SLACK_DIVISOR = 4,
  /* Permits for slots further in the future are refused. */
  MAX_PERMIT_WAIT_MS = 1000
};

/* Factor applied to the counts of recent permits at each interval. */
static const double RECENT_COUNT_DECAY = 0.8;

/* Finds the address of the rate limiter; false when it is unknown or gone. */
static bool find_limiter(router *router, uint64_t *epoch, char *address, size_t size, error *err) {
  id holder;
  if (!config_sync_find_grant(router, SINGLETON_LOAD_RATE_LIMITER, &holder, epoch)) {
    error_set(err, E_LOAD_RATE_LIMITED, "no router holds the lease of the load rate limiter");
    return false;
  }
  const peer_node *peer = peer_table_find(&router->node, holder);
  if (id_equal(holder, router->node.settings.self)) {
    g_strlcpy(address, router->node.settings.address, size);
  } else if (peer && !peer->gone) {
    g_strlcpy(address, peer->address, size);
  } else {
    error_set(err, E_LOAD_RATE_LIMITED, "the load rate limiter, %s, is gone", holder.text);
    return false;
  }
  return true;
}

/* Converts the slot to this node's clock. The start assumes the latest and the end the earliest
 * time at which the limiter may have responded, so the result never exceeds the granted slot. */
static load_slot slot_of_response(router *router, const Wire__LoadPermitResponse *response,
                                  time_us requested_at) {
  time_us wait = time_from_ms((int64_t)response->wait_ms), valid = { (int64_t)response->valid_us };
  return (load_slot){ time_add(world_now(router->node.world), wait),
                      time_add(time_add(requested_at, wait), valid) };
}

enum error_code load_permit_request(engine *engine, const char *key, load_slot *slot,
                                    uint64_t *retry_after_ms, error *err) {
  router *router = engine->router;
  Wire__LoadPermitRequest request = WIRE__LOAD_PERMIT_REQUEST__INIT;
  char address[48];
  if (!find_limiter(router, &request.epoch, address, sizeof address, err))
    return E_LOAD_RATE_LIMITED;
  request.engine = engine->self.text;
  request.key = (char *)key;
  Wire__Envelope message = wire_envelope(WIRE__ENVELOPE__BODY_LOAD_PERMIT_REQUEST, &request),
                 *envelope;
  time_us requested_at = world_now(router->node.world);
  enum error_code code = peer_rpc_call(&router->node, address, &message,
                                       time_from_ms(PERMIT_TIMEOUT_MS), &envelope, err);
  if (code)
    return code;
  const Wire__LoadPermitResponse *response = envelope->load_permit_response;
  if (envelope->body_case != WIRE__ENVELOPE__BODY_LOAD_PERMIT_RESPONSE) {
    code = error_set(err, E_WIRE_MESSAGE, "the response holds no load permit");
  } else if (!response->granted) {
    *retry_after_ms = response->wait_ms;
    code = error_set(err, E_LOAD_RATE_LIMITED, "no load may start for %" PRIu64 " ms",
                     *retry_after_ms);
  } else {
    *slot = slot_of_response(router, response, requested_at);
  }
  peer_rpc_message_free(envelope);
  return code;
}

static time_us later_of(time_us a, time_us b) {
  return a.us > b.us ? a : b;
}

/* Returns the start of the next free slot. A new holder leaves one slot unused for the last permit
 * that its predecessor may have granted; the first holder (epoch 1) has no predecessor. */
static time_us next_slot_at(router *router, const singleton_lease *lease, time_us spacing) {
  time_us now = world_now(router->node.world),
          first_at = lease->epoch > 1 ? time_add(lease->acquired_at, spacing) : now;
  return later_of(later_of(first_at, router->permits.next_permit_at), now);
}

static enum error_code on_permit_request(void *context, Wire__Envelope *in, reply *reply,
                                         error *err) {
  router *router = context;
  uint64_t epoch = singleton_lease_epoch(router, SINGLETON_LOAD_RATE_LIMITER);
  if (!epoch || !router->config)
    return error_set(err, E_NO_LEASE_HOLDER, "this router is not the load rate limiter");
  if (in->load_permit_request->epoch > epoch)
    return error_set(err, E_STALE_EPOCH, "a later epoch of the load rate limiter is known");
  const singleton_lease *lease = singleton_lease_find(router, SINGLETON_LOAD_RATE_LIMITER);
  double loads_per_s = router->config->loads_per_s;
  int64_t slack_us =
      MIN((int64_t)SLOT_SLACK_MS * 1000, (int64_t)(1e6 / SLOT_SLACK_DIVISOR / loads_per_s));
  time_us spacing = { (int64_t)(1e6 / loads_per_s) + slack_us },
          now = world_now(router->node.world), slot_at = next_slot_at(router, lease, spacing),
          wait = time_sub(slot_at, now);
  Wire__LoadPermitResponse *response = reply_new_body(
      reply, WIRE__ENVELOPE__BODY_LOAD_PERMIT_RESPONSE, &wire__load_permit_response__descriptor);
  response->granted =
      wait.us <= (int64_t)MAX_PERMIT_WAIT_MS * 1000 && slot_at.us < lease->expires_at.us;
  response->wait_ms = (uint64_t)(wait.us + 999) / 1000;
  response->valid_us = (uint64_t)slack_us;
  if (!response->granted) {
    router->permits.refused++;
    router->permits.refused_recently++;
    return OK;
  }
  time_us begins_at = time_add(now, time_from_ms((int64_t)response->wait_ms));
  router->permits.next_permit_at = time_add(begins_at, spacing);
  router->permits.granted++;
  router->permits.granted_recently++;
  return OK;
}

void load_permit_decay_counts(router *router) {
  router->permits.granted_recently *= RECENT_COUNT_DECAY;
  router->permits.refused_recently *= RECENT_COUNT_DECAY;
}

void load_permit_start(router *router) {
  peer_rpc_register_handler(&router->node, WIRE__ENVELOPE__BODY_LOAD_PERMIT_REQUEST,
                            on_permit_request, router);
}
