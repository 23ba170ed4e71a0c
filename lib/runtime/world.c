/** Helpers over struct world: see world.h. */
#include "world.h"

/* jitter lengthens a sleep by up to a fifth */
enum { JITTER_FRACTION = 5 };

uint64_t world_random(world *world, uint64_t n) {
  return n ? world->random(world) % n : 0;
}

bool world_sleep_with_jitter(world *world, time_us span) {
  uint64_t jitter_us = world_random(world, (uint64_t)(span.us / JITTER_FRACTION + 1));
  return world_sleep(world, (time_us){ span.us + (int64_t)jitter_us });
}
