/** Placement: the coordinator of a model decides which engine loads it, and has the holder of that
 * engine's lease do it. Coordinators need no lease: each gateway names the same one by rendezvous
 * hashing, and where two act for a moment, each engine's holder still sees all of its loads. */
#ifndef GATEWAY_PLACEMENT_H
#define GATEWAY_PLACEMENT_H
#include "node.h"
#include "world.h"

typedef struct gateway gateway;

/** How long a coordinator or holder lets a call wait for the load, and the caller's timeout. */
enum { PLACEMENT_WAIT_MS = 800, PLACEMENT_CALL_TIMEOUT_MS = 1300 };

/** Written by placement.c. */
typedef struct placement_state {
  GHashTable *jobs; /* load_request_key -> placement_job */
} placement_state;

void placement_init(placement_state *placement);
void placement_state_free(placement_state *placement);
/** How many more replicas of a model (and adapter) would clear the queue for it, by what this
 * gateway knows. */
int placement_missing_replicas(gateway *gateway, id service, id model, id adapter);
/** The number of shards of a fleet of this size, each with a coordinator of its own. */
int placement_shard_count(gateway *gateway);
/** The shard of an engine or a model by its name. */
int placement_shard_of(const char *name, int shard_count);
/** Handles a gateway's PlacementRequest, at the coordinator. */
enum error_code placement_on_load_request(void *context, Wire__Envelope *in, reply *reply,
                                          error *err);
#endif
