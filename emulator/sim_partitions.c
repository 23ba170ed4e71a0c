/** @file
 * Partitions are stored as text keys, because "*" stands for all hosts, including those that are
 * added later. */
#include "sim.h"
#include <stdio.h>

void sim_partitions_init(sim_partitions *partitions) {
  partitions->cut_directions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void sim_partitions_free(sim_partitions *partitions) {
  g_hash_table_destroy(partitions->cut_directions);
}

bool sim_is_partitioned(sim *sim, host *a, host *b) {
  char key[SIM_DIRECTION_KEY_SIZE];
  const char *from[] = { a->self.text, "*" }, *to[] = { b->self.text, "*" };
  if (a == b)
    return false;
  for (int i = 0; i < 2; i++)
    for (int j = 0; j < 2; j++) {
      snprintf(key, sizeof key, "%s>%s", from[i], to[j]);
      if (g_hash_table_contains(sim->partitions.cut_directions, key))
        return true;
    }
  return false;
}

void sim_set_partition(sim *sim, const char *from, const char *to, bool cut) {
  char *key = g_strdup_printf("%s>%s", from ? from : "*", to ? to : "*");
  if (cut) {
    g_hash_table_add(sim->partitions.cut_directions, key);
    return;
  }
  sim->partitions.healed_at = sim->now;
  g_hash_table_remove(sim->partitions.cut_directions, key);
  g_free(key);
}

void sim_set_partition_both_ways(sim *sim, const char *a, const char *b, bool cut) {
  sim_set_partition(sim, a, b, cut);
  sim_set_partition(sim, b, a, cut);
}

void sim_heal_partitions(sim *sim) {
  sim->partitions.healed_at = sim->now;
  g_hash_table_remove_all(sim->partitions.cut_directions);
}
