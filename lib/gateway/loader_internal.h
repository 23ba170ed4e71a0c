#ifndef GATEWAY_LOADER_INTERNAL_H
#define GATEWAY_LOADER_INTERNAL_H
/** What the modules of placement share: what an engine may lose for a load (eviction.c), the pace
 * of the store (pace.c), orders to engines (orders.c), the line of loads at an engine's holder
 * (load_jobs.c), the choice of an engine at a coordinator (placement.c), wishes of requests
 * (wants.c), rates over the fleet (rates.c). */
#include "gateway.h"

/** Times in ms and bounds of placement. */
enum {
  LOAD_REQUEST_TTL_MS = 1600,
  LOAD_JOB_EXPIRY_MS = 1000,
  PLACEMENT_WAIT_MS = 800,
  PLACEMENT_CALL_TIMEOUT_MS = 1300,
  ORDER_TIMEOUT_MS = 1500,
  REPORT_TIMEOUT_MS = 800,
  ENGINE_REPORT_LAG_MS = 450,
  RECENT_LOAD_MS = 1000,
  RECENT_ADAPTER_LOAD_MS = 600,
  /* by then all nodes have told what they had of it */
  RATE_KNOWN_MS = 4000,
  LOAD_PERMIT_TIMEOUT_MS = 400,
  LOAD_PERMIT_VALID_MS = 150,
  UNLOAD_TIMEOUT_MS = 12000,
  RATES_INTERVAL_MS = 1000,
  RECENT_RATE_MS = 5000,
  FLEET_RATES_INTERVAL_MS = 2000,
  SMALL_FLEET_NODES = 16,
  RATE_SHARDS = 8,
  PLACEMENT_SETTLE_MS = 60,
  FAIL_MS = 800,
  SINGLE_COORDINATOR_MAX_NODES = 32,
  NODES_PER_PLACEMENT_SHARD = 16,
  BUSY_EVICTION_COST = 300,
  DRAIN_MIN_MS = 1000,
  IDENTITY_CONFIRMED_MS = 1800,
  MAX_EVICTION_CANDIDATES = 96,
  REPLICA_QUEUE_TARGET_MS = 250,
  MAX_REPLICAS_AT_ONCE = 4,
  MAX_ADAPTER_CHECKS = 12,
  /* from the announcement of an unload to its order: the others hear of it, and what they have sent
     meanwhile reaches the engine */
  ANNOUNCE_MS = 40,
  ANNOUNCE_REPEAT_MS = 1000,
  /* so many engines may say that only busy things could go, before one is asked to drain */
  MAX_BUSY_ENGINES = 4
};

/** Any number of orders may have been taken. */
enum { ORDER_COUNT_ANY = -1 };

/* at a holder: one job of an engine */
typedef struct load_job {
  list_node link;
  id model, adapter;
  unsigned priority;
  bool extra_replica, done, started;
  bool idle_only; /* nothing that runs may go for it */
  time_us created_at, last_asked_at, expected_at;
  int code, refs;
  int64_t retry_after_ms;
  double max_cost;
  condition changed;
} load_job;

static inline time_us now_of(gateway *gateway) {
  return world_now(gateway->router->node.world);
}

static inline time_us gateway_deadline_in_ms(gateway *gateway, double ms) {
  return time_add(now_of(gateway), (time_us){ (int64_t)(ms * 1000) });
}

static inline int64_t gateway_ms_until(gateway *gateway, time_us t) {
  int64_t ms = time_sub(t, now_of(gateway)).us / 1000;
  return MAX(ms, 0);
}

static inline double gateway_ms_since(gateway *gateway, time_us t) {
  return (double)time_sub(now_of(gateway), t).us / 1000;
}

static const id none = { "" };

static inline const service *gateway_service_of(gateway *gateway, id name) {
  return gateway->routing ? routing_find_service(gateway->routing, name.text) : NULL;
}

/** A key's rate over the whole fleet, as its collector said. */
typedef struct fleet_rate {
  double rate;
  time_us received_at;
} fleet_rate;

/* eviction.c */
/** The size of a model, or of an adapter alone, in MB; 0 when the configuration does not know it.
 */
double eviction_size_mb(const service *service, id model, id adapter);
/** The load time to reckon with, in ms; warm: from the engine's own disk. */
double eviction_load_ms(gateway *gateway, const service *service, id model, id adapter, bool warm);
/** Requests a second for a model (and adapter), over the whole fleet. */
double eviction_request_rate(gateway *gateway, id model, id adapter);
/** Counts copies of all that a service's engines hold, for the time of one choice. */
void eviction_replica_counts_begin(gateway *gateway, id service);
/** Ends the choice that eviction_replica_counts_begin began. */
void eviction_replica_counts_end(gateway *gateway);
/** What is on an engine, as the rule sees it, in `all`; gives the number of them, and the room that
 * is used. */
int eviction_candidates(gateway_engine *engine, const service *service, id model, id adapter,
                        eviction_candidate *all, double *mb, unsigned *slots);
/** A random number for policies that draw; w is the world. */
uint64_t eviction_random(void *w);
/** The policy by which the least worth is told. */
eviction_rule eviction_policy(gateway *gateway);
/** What is missing in each measure when more is added to what is held. */
capacity_shortage eviction_shortage(const service *service, double mb, unsigned slots,
                                    double add_mb, unsigned add_slots);

/* pace.c */
/** Frees a service's pace. */
void load_rate_limiter_free(void *q);
/** Notes a load out of a service's store. */
void load_rate_limiter_record(gateway *gateway, id service, time_us at);
/** Handles a request for a ticket, or the news of a load. */
int load_rate_limiter_on_permit(void *ctx, Wire__Envelope *in, reply *reply, error *err);
/** Asks for a load out of the store: the code, with the latest instant of its order, or the wait in
 * ms. */
int load_rate_limiter_request_permit(gateway_engine *engine, const service *service,
                                     const char *key, time_us *last, int64_t *wait, error *err);
/** Sends to those who would come next for a duty, who are all when nodes are few. */
void singleton_successors_broadcast(gateway *gateway, const char *duty, Wire__Envelope *m);

/* orders.c */
/** The epoch under which this node may order an engine about; 0 when it may not. */
uint64_t engine_order_epoch(gateway_engine *engine);
/** Reads what an engine itself says that it holds; false when it says nothing. */
bool engine_order_fetch_report(gateway_engine *engine, bool *busy, int *running, error *err);
/** Sends one order, only while the contract holds: 202 taken, 200 so already; 0 not sent, -1
 * unknown, -2 no contract. */
int engine_order_send(gateway_engine *engine, bool up, id model, id adapter, int64_t expect,
                      time_us by, error *err);
/** True when nothing more is to be done at an engine. */
bool engine_order_stopping(gateway_engine *engine);
/** Waits; a code when the engine or this process ends meanwhile. */
int engine_order_sleep(gateway_engine *engine, double ms, error *err);
/** Unloads one thing and waits until the engine confirms it; E_MODEL_IN_USE when it was thought
 * idle and is not. */
int engine_order_unload(gateway_engine *engine, id model, id adapter, bool thought_idle,
                        error *err);

/* load_jobs.c */
/** What is gained by a load: those who wait, and those who will come, by urgency. */
double load_job_utility(gateway *gateway, unsigned priority, id model, id adapter);
/** Handles a coordinator's request to load something on an engine that this node holds. */
int load_jobs_on_placement(void *ctx, Wire__Envelope *in, reply *reply, error *err);

/* placement.c */
/** The number of parts by which a fleet of this size places. */
int placement_shard_count(gateway *gateway);
/** The part of an engine or a model. */
int placement_shard_of(const char *name, int parts);
/** Frees a placement. */
void placement_free(void *p);
/** Handles a node's wish for a model, at the coordinator. */
int placement_on_load_request(void *ctx, Wire__Envelope *in, reply *reply, error *err);

/* wants.c */
/** The key of a wish: "service/model+adapter"; to be freed. */
char *load_request_key(id service, id model, id adapter);

/* rates.c */
/** Handles rates told by another node. */
int fleet_rates_on_message(void *ctx, Wire__Envelope *in, reply *reply, error *err);
/** The task that tells rates. */
void fleet_rates_run(void *p);

#endif
