#ifndef TESTS_LOADS_H
#define TESTS_LOADS_H
#include "deployment.h"

/** A load that is requested from an engine's lease holder until it is done, as a coordinator does.
 */
typedef struct load {
  deployment *deployment;
  deployment_process *at, *from;
  id model, adapter;
  /** The load is requested again and again without end, as an extra replica. */
  bool again;
  bool done;
  uint64_t most;
  int code;
  time_us up_at;
} load;

/** The gateway that holds a singleton lease, or NULL. */
deployment_process *holder_of(deployment *deployment, const char *duty);
/** The gateway that holds an engine's lease, or NULL. */
deployment_process *engine_holder(deployment *deployment, const deployment_process *e);
/** Starts a task at the gateway `from` that requests a load on the engine `at`; adapter "": none.
 */
load *load_request(deployment *deployment, deployment_process *from, deployment_process *at,
                   const char *model, const char *adapter, bool again);
/** True when a load is done; a condition for sim_run_until. */
bool load_done(sim *sim, void *load);
/** Sets the models that an engine holds from the start; NULL: none. */
void holds_first(deployment_process *process, const char *a, const char *b);
#endif
