#ifndef EMULATOR_SIMULATORS_H
#define EMULATOR_SIMULATORS_H
/**
 * The simulators around a fleet: engines (engine_sim.h), the load generator (loadgen.h) and the
 * platform, which serves the list of engines and marks those that drain.
 */
#include "engine_sim.h"
#include "loadgen.h"

typedef struct platform_sim_engine {
  id self, type, zone;
  char addr[48];
  uint64_t weights_mb;
  unsigned adapter_slots;
  bool draining, unlisted;
  time_us state_changed_at;
} platform_sim_engine;
/** The platform's record of one change to an engine on its list. */
typedef struct platform_sim_change {
  time_us changed_at;
  id engine;
  bool draining, unlisted;
} platform_sim_change;
typedef struct platform_sim {
  world *world;
  GArray *engines, *changes;
  uint64_t list_requests;
} platform_sim;
platform_sim *platform_sim_new(world *world);
void platform_sim_free(platform_sim *platform);
/** Replaces the engines by the list in a JSON object; false when it has none. */
bool platform_sim_replace_engines(platform_sim *platform, const json *json);
platform_sim_engine *platform_sim_find(platform_sim *platform, id name);
/** Sets whether an engine drains, and whether it is left out of the list; each call is recorded in
 * changes. */
void platform_sim_set_engine_state(platform_sim *platform, id name, bool draining, bool unlisted);
#endif
