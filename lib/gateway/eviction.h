/** What an engine would have to unload for a load: sizes, load times and request rates of its
 * residents, the candidates for the eviction policy (lib/router/eviction_policy.h), and the cost of
 * a placement. */
#ifndef GATEWAY_EVICTION_H
#define GATEWAY_EVICTION_H
#include "eviction_policy.h"
#include "routing.h"
#include "world.h"

typedef struct gateway gateway;
typedef struct gateway_engine gateway_engine;

/** Residents of one engine that are looked at; any beyond are never evicted. */
enum { MAX_EVICTION_CANDIDATES = 96 };

/** Written by eviction.c. */
typedef struct eviction_state {
  /** gateway_engine_model_key -> number of model replicas, while a placement is decided; else
   * NULL. */
  GHashTable *replica_counts;
} eviction_state;

/** The size of a model, or of an adapter alone, in MB; 0 when the configuration has none. */
double eviction_size_mb(const service *service, id model, id adapter);
/** The expected load time in ms; from_disk: out of the engine's own disk. */
double eviction_load_ms(gateway *gateway, const service *service, id model, id adapter,
                        bool from_disk);
/** Requests per second for a model (and adapter) over the whole fleet. */
double eviction_request_rate(gateway *gateway, id model, id adapter);
/** Counts the model replicas of a service, for the decisions until eviction_replica_counts_end.
 * Without it each candidate would look through all engines. */
void eviction_replica_counts_begin(gateway *gateway, id service);
void eviction_replica_counts_end(gateway *gateway);
/** Fills in the residents of an engine as candidates (at most MAX_EVICTION_CANDIDATES) and returns
 * their number; mb and slots: what is in use or reserved. */
int eviction_candidates(gateway_engine *engine, const service *service, id model, id adapter,
                        eviction_candidate *candidates, double *mb, unsigned *slots);
/** Random source of policies that draw; context is the world. */
uint64_t eviction_random(void *context);
/** The eviction policy in force. */
eviction_rule eviction_policy(gateway *gateway);
/** What is missing when more is added to what is in use. */
capacity_shortage eviction_shortage(const service *service, double used_mb, unsigned used_slots,
                                    double add_mb, unsigned add_slots);
/** The cost of a placement on an engine: load time times request rate of what would be unloaded
 * for it, plus the drain of what runs; -1 when it can't fit now. need_mb and need_slots: what the
 * load adds; drain_ms: how long running requests would delay it. */
double eviction_placement_cost(gateway_engine *engine, const service *service, id model, id adapter,
                               double *need_mb, unsigned *need_slots, double *drain_ms);
#endif
