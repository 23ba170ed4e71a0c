/** Placement: the coordinator of a model chooses the engine that loads it and requests the load
 * from the gateway that holds that engine's lease. Coordinators need no lease: all gateways compute
 * the same one by rendezvous hashing. If two coordinators act at once for a moment, the lease
 * holder still serializes all loads of its engine. */
#ifndef GATEWAY_PLACEMENT_H
#define GATEWAY_PLACEMENT_H
#include "node.h"
#include "world.h"

typedef struct gateway gateway;

/** How long a coordinator or lease holder keeps a call open while the load runs, and the timeout
 * that the caller uses. */
enum { PLACEMENT_WAIT_MS = 800, PLACEMENT_CALL_TIMEOUT_MS = 1300 };

/** Written by placement.c. */
typedef struct placement_state {
  GHashTable *jobs; /* load_request_key -> placement_job */
} placement_state;

void placement_init(placement_state *placement);
void placement_state_free(placement_state *placement);
/** The number of extra replicas of a model (and adapter) needed to clear its queue, as far as this
 * gateway knows the queue. */
int placement_missing_replicas(gateway *gateway, id service, id model, id adapter);
/** The number of placement shards for the current fleet size; each shard has its own coordinator.
 */
int placement_shard_count(gateway *gateway);
/** The shard of an engine or a model, computed from its name. */
int placement_shard_of(const char *name, int shard_count);
/** Handles a gateway's PlacementRequest at the coordinator. */
enum error_code placement_on_load_request(void *context, Wire__Envelope *in, reply *reply,
                                          error *err);
#endif
