/** Load jobs of an engine, at the gateway that holds its lease: a priority queue of models and
 * adapters that coordinators have placed there, and the task that loads them one at a time. */
#ifndef GATEWAY_LOAD_JOBS_H
#define GATEWAY_LOAD_JOBS_H
#include "node.h"
#include "routing.h"
#include "world.h"

typedef struct gateway gateway;
typedef struct gateway_engine gateway_engine;

/** A model or adapter to be loaded on one engine. */
typedef struct load_job {
  list_node link; /* in engine_load_jobs.list */
  id model, adapter;
  unsigned priority;
  /** A further replica: it is loaded although another engine holds the model. */
  bool extra_replica;
  /** Nothing that runs requests may be unloaded for it. */
  bool idle_only;
  /** What its placement may cost at most, see eviction_placement_cost; 0: any. */
  double max_cost;
  time_us created_at;
  /** When a coordinator last asked; the job expires LOAD_JOB_EXPIRY_MS later unless it has begun.
   */
  time_us last_asked_at;
  /** When it is expected to be loaded. */
  time_us expected_at;
  bool started, done;
  /** Result once it is done, and the time after which another attempt makes sense. */
  enum error_code code;
  int64_t retry_after_ms;
  condition changed;
  int refs;
} load_job;

/** Written by load_jobs.c and engine_loading.c. */
typedef struct engine_load_jobs {
  list_node list; /* of load_job */
  condition changed;
  bool worker_running;
  /** Capacity of loads that were ordered and are not resident yet. */
  double reserved_mb;
  unsigned reserved_slots;
  /** The lease epoch under which the residents were read from the engine itself; 0: never. */
  uint64_t residents_epoch;
} engine_load_jobs;

void engine_load_jobs_init(engine_load_jobs *jobs);
/** Frees the jobs of an engine whose tasks have ended. */
void engine_load_jobs_free(engine_load_jobs *jobs);
/** True when a job loads a model or adapter, or needs it as its base. */
bool engine_load_jobs_need(const gateway_engine *engine, id model, id adapter);
/** Utility of a load: requests that wait and those that will come until the next load could be
 * done, weighted by priority. */
double load_job_utility(gateway *gateway, unsigned priority, id model, id adapter);
/** Handles a coordinator's PlacedLoadRequest: queues the job and waits for a while. */
enum error_code load_jobs_on_placement(void *context, Wire__Envelope *in, reply *reply, error *err);
#endif
