#ifndef ROUTER_LOAD_PERMIT_H
#define ROUTER_LOAD_PERMIT_H
/**
 * Load permits limit the rate at which loads start. All engines load from one store, which supports
 * loads_per_s load starts per second. The holder of the singleton SINGLETON_LOAD_RATE_LIMITER
 * grants permits, each for one start within a short time slot; the holder of an engine's lease
 * requests one before each load.
 *
 * Slots are spaced slightly wider than the rate requires, because a load may start late in its
 * slot. No slot begins after the end of the holder's lease, so a new holder has to wait for only
 * one slot. Gateways limit the rate of each service in lib/gateway/load_rate_limiter.c instead.
 */
#include "engine.h"

/** Owned by load_permit.c; on gateways by lib/gateway/load_rate_limiter.c. */
typedef struct load_permits {
  /** Permits granted and refused since the process started. */
  uint64_t granted, refused;
  /** The same, decayed exponentially over the last seconds. Not used on gateways. */
  double granted_recently, refused_recently;
  /** Earliest start of the next slot to grant. */
  time_us next_permit_at;
} load_permits;

/** The time slot in which a load may start, by this node's clock. */
typedef struct load_slot {
  time_us begins_at, ends_at;
} load_slot;

/** Registers the handler that grants permits. */
void load_permit_start(router *router);
/** Requests a permit from the rate limiter to load `key` on an engine. Returns E_LOAD_RATE_LIMITED
 * when none is available now; *retry_after_ms is then set if the limiter gave a time. */
enum error_code load_permit_request(engine *engine, const char *key, load_slot *slot,
                                    uint64_t *retry_after_ms, error *err);
/** Decays the counts of recent permits, which the doctor reads. To be called every two seconds. */
void load_permit_decay_counts(router *router);
#endif
