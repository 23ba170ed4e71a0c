#ifndef TESTS_LOADS_H
#define TESTS_LOADS_H
#include "deployment.h"

/** One load that is asked of an engine's holder until it is done, as a coordinator does. */
typedef struct load {
  deployment *deployment;
  deployment_process *at, *from;
  id model, adapter;
  /** It never ends, and what other engines hold doesn't matter. */
  bool again;
  bool done;
  uint64_t most;
  int code;
  time_us up_at;
} load;

/** The gateway that holds a duty, or NULL. */
deployment_process *holder_of(deployment *deployment, const char *duty);
deployment_process *engine_holder(deployment *deployment, const deployment_process *e);
/** Asks for a load from a gateway; adapter "" is none. */
load *load_request(deployment *deployment, deployment_process *from, deployment_process *at,
                   const char *model, const char *adapter, bool again);
/** For sim_run_until. */
bool load_done(sim *sim, void *load);
/** Says what an engine holds from the start; NULL is nothing. */
void holds_first(deployment_process *process, const char *a, const char *b);
#endif
