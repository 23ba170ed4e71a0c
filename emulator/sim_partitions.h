#ifndef EMULATOR_SIM_PARTITIONS_H
#define EMULATOR_SIM_PARTITIONS_H
#include "base.h"

/** @file
 * Network partitions of a simulation: the set of directions, from one host to another, in which
 * nothing is delivered. */

typedef struct sim sim;
typedef struct host host;

typedef struct sim_partitions {
  /** Set of keys "FROM>TO", where "*" stands for every host. */
  GHashTable *cut_directions;
  /** When a direction was last healed. */
  time_us healed_at;
} sim_partitions;

void sim_partitions_init(sim_partitions *partitions);
void sim_partitions_free(sim_partitions *partitions);
/** Returns whether the direction from a to b is cut; never true from a host to itself. */
bool sim_is_partitioned(sim *sim, host *a, host *b);
/** Cuts or heals one direction between two hosts; NULL stands for every host. */
void sim_set_partition(sim *sim, const char *from, const char *to, bool cut);
/** Cuts or heals both directions. */
void sim_set_partition_both_ways(sim *sim, const char *a, const char *b, bool cut);
/** Heals all directions. */
void sim_heal_partitions(sim *sim);
#endif
