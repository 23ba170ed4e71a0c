#ifndef TESTS_LOADS_H
#define TESTS_LOADS_H
#include "deployment.h"

/** One load that is asked of an engine's holder until it is done, as a coordinator does. */
typedef struct load {
  deployment *deployment;
  unit *at, *from;
  id model, adapter;
  /** It never ends, and what other engines hold doesn't matter. */
  bool again;
  bool done;
  uint64_t most;
  int code;
  time_us up_at;
} load;

/** The gateway that holds a duty, or NULL. */
unit *holder_of(deployment *deployment, const char *duty);
unit *engine_holder(deployment *deployment, const unit *e);
/** Asks for a load from a gateway; adapter "" is none. */
load *load_request(deployment *deployment, unit *from, unit *at, const char *model,
                   const char *adapter, bool again);
/** For sim_until. */
bool load_done(sim *sim, void *load);
/** Says what an engine holds from the start; NULL is nothing. */
void holds_first(unit *unit, const char *a, const char *b);
#endif
