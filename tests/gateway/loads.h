#ifndef TESTS_LOADS_H
#define TESTS_LOADS_H
#include "deployment.h"

/** A load that is requested from an engine's lease holder until it is done, as a coordinator does.
 */
typedef struct load {
  deployment *deployment;
  /** The engine that is to load, and the gateway that requests it. */
  deployment_process *target, *requester;
  id model, adapter;
  /** The load is requested again and again without end, as an extra replica. */
  bool repeat;
  bool done;
  /** Upper bound of the eviction cost; 0: none. With a bound, a load that fails is not requested
   * again. */
  uint64_t max_cost;
  int code;
  time_us loaded_at;
} load;

/** The gateway that holds a singleton lease, or NULL. */
deployment_process *singleton_holder(deployment *deployment, const char *singleton);
/** The gateway that holds an engine's lease, or NULL. */
deployment_process *engine_lease_holder(deployment *deployment, const deployment_process *e);
/** Starts a task at the gateway `requester` that requests a load on the engine `target`; adapter
 * "": none.
 */
load *load_start(deployment *deployment, deployment_process *requester, deployment_process *target,
                 const char *model, const char *adapter, bool repeat);
/** True when a load is done; a condition for sim_run_until. */
bool load_done(sim *sim, void *load);
/** Sets the models that an engine holds from the start; NULL: none. */
void set_initial_models(deployment_process *process, const char *a, const char *b);
#endif
