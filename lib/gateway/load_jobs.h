/** Load jobs of an engine at the gateway that holds its lease: a priority queue of models and
 * adapters that coordinators have placed on the engine, and the task that loads them one at a time.
 */
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
  /** It is loaded although another engine holds the model. */
  bool extra_replica;
  /** Only idle models and adapters may be evicted for it. */
  bool idle_only;
  /** Upper bound of its eviction cost, see eviction_placement_cost; 0: no bound. */
  double max_cost;
  time_us created_at;
  /** When a coordinator last requested it; the job expires LOAD_JOB_EXPIRY_MS later unless it has
   * started. */
  time_us last_asked_at;
  /** When it is expected to be loaded. */
  time_us expected_at;
  bool started, done;
  /** Result of a finished job, and the time to wait before another attempt. */
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
  /** Capacity reserved for loads that were ordered and are not resident yet. */
  double reserved_mb;
  unsigned reserved_slots;
  /** The lease epoch under which the residents were read from the engine itself; 0: never. */
  uint64_t residents_epoch;
} engine_load_jobs;

void engine_load_jobs_init(engine_load_jobs *jobs);
/** Frees the jobs of an engine; its tasks must have ended. */
void engine_load_jobs_free(engine_load_jobs *jobs);
/** True when an unfinished job loads the model or adapter, or needs the model as its base. */
bool engine_load_jobs_need(const gateway_engine *engine, id model, id adapter);
/** Utility of a load: the waiting requests and those expected until another load could finish,
 * weighted by priority. */
double load_job_utility(gateway *gateway, unsigned priority, id model, id adapter);
/** Handles a coordinator's PlacedLoadRequest: queues the job and waits for it up to the requested
 * time. */
enum error_code load_jobs_on_placement(void *context, Wire__Envelope *in, reply *reply, error *err);
#endif
