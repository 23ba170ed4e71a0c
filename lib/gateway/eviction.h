/** Input of the eviction policy (lib/router/eviction_policy.h) for one engine: sizes, load times
 * and request rates of its residents, the list of eviction candidates, and the eviction cost of a
 * placement. */
#ifndef GATEWAY_EVICTION_H
#define GATEWAY_EVICTION_H
#include "eviction_policy.h"
#include "routing.h"
#include "world.h"

typedef struct gateway gateway;
typedef struct gateway_engine gateway_engine;

/** The number of residents of one engine that are considered; any beyond are never evicted. */
enum { MAX_EVICTION_CANDIDATES = 96 };

/** Written by eviction.c. */
typedef struct eviction_state {
  /** gateway_engine_model_key -> number of replicas, while a placement is decided; NULL otherwise.
   */
  GHashTable *replica_counts;
} eviction_state;

/** The size of a model, or of an adapter alone, in MB; 0 when the configuration has none. */
double eviction_size_mb(const service *service, id model, id adapter);
/** The expected load time in ms; from_disk: the weights are read from the engine's own disk. */
double eviction_load_ms(gateway *gateway, const service *service, id model, id adapter,
                        bool from_disk);
/** Fleet-wide requests per second for a model (and adapter). */
double eviction_request_rate(gateway *gateway, id model, id adapter);
/** Counts the replicas of all models of a service once, for all decisions until
 * eviction_replica_counts_end. Otherwise each candidate would scan all engines. */
void eviction_replica_counts_begin(gateway *gateway, id service);
void eviction_replica_counts_end(gateway *gateway);
/** Fills in the residents of an engine as candidates (at most MAX_EVICTION_CANDIDATES) and returns
 * their number. mb and slots: memory and adapter slots that are in use or reserved. */
int eviction_candidates(gateway_engine *engine, const service *service, id model, id adapter,
                        eviction_candidate *candidates, double *mb, unsigned *slots);
/** Random number source for eviction policies; context is the world. */
uint64_t eviction_random(void *context);
/** The eviction policy in force. */
eviction_rule eviction_policy(gateway *gateway);
/** The memory and adapter slots that are missing when a load adds to what is in use. */
capacity_shortage eviction_shortage(const service *service, double used_mb, unsigned used_slots,
                                    double add_mb, unsigned add_slots);
/** The eviction cost of a placement on an engine: load time times request rate of everything that
 * would be evicted, plus the cost of draining its running requests; -1 when the load can't fit now.
 * need_mb and need_slots: what the load adds; drain_ms: how long running requests would delay it.
 */
double eviction_placement_cost(gateway_engine *engine, const service *service, id model, id adapter,
                               double *need_mb, unsigned *need_slots, double *drain_ms);
#endif
