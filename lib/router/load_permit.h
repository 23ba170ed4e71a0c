#ifndef ROUTER_LOAD_PERMIT_H
#define ROUTER_LOAD_PERMIT_H
/**
 * Load permits: all engines load out of one store, which bears loads_per_s starts. The holder of
 * the singleton SINGLETON_LOAD_RATE_LIMITER gives out permits, each for one start within a short
 * time slot; the holder of an engine's lease asks for one before each load.
 *
 * Slots are spaced a little wider than the rate needs, since a start may come late in its slot. No
 * slot lies beyond the end of the holder's lease, so a successor only has to wait for one slot.
 * Gateways limit the rate of each service in lib/gateway/load_rate_limiter.c instead.
 */
#include "engine.h"

/** Owned by load_permit.c, on gateways by lib/gateway/load_rate_limiter.c. */
typedef struct load_permits {
  /** Permits granted and refused since the start. */
  uint64_t granted, refused;
  /** The same for the last seconds; they fade. Not on gateways. */
  double granted_recently, refused_recently;
  /** Earliest start of the next slot to give out. */
  time_us next_permit_at;
} load_permits;

/** The time slot in which a load may start, by this node's clock. */
typedef struct load_slot {
  time_us begins_at, ends_at;
} load_slot;

/** Registers the handler that gives out permits. */
void load_permit_start(router *router);
/** Asks the rate limiter for a permit to load `key` on an engine. E_LOAD_RATE_LIMITED when there is
 * none now; *retry_after_ms is then set if the limiter named a time. */
enum error_code load_permit_request(engine *engine, const char *key, load_slot *slot,
                                    uint64_t *retry_after_ms, error *err);
/** Fades the counts of recent permits, which the doctor looks at; call every two seconds. */
void load_permit_decay_counts(router *router);
#endif
