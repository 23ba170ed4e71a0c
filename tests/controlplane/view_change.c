/** Tests of lib/controlplane/view_change.c: a majority agrees on the next view while links between
 * controllers are cut. Fleet: three controllers, two or three routers and engines.
 */
#include "scenario.h"
#include "tests.h"

static bool controllers_are_partitioned(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  scenario_start_traffic(fleet, 4);
  for (int i = 0; i < 4; i++) {
    host *host = fleet->controller[sim_random(fleet->sim, 3)];
    int direction = sim_random(fleet->sim, 3);
    for (int k = 0; k < 3; k++) {
      if (direction != 1)
        sim_set_partition(fleet->sim, host->self.text, fleet->controller[k]->self.text, true);
      if (direction != 2)
        sim_set_partition(fleet->sim, fleet->controller[k]->self.text, host->self.text, true);
    }
    sim_run(fleet->sim, time_from_ms(500 + (int64_t)sim_random(fleet->sim, 6000)));
    char *evacuation = scenario_evacuation_json((int)sim_random(fleet->sim, 9));
    if (!fleet_put(fleet, "evacuation", evacuation))
      fleet_add_violation(fleet, "no write while one of three is cut off");
    g_free(evacuation);
    sim_run(fleet->sim, time_from_ms(3000));
    sim_heal_partitions(fleet->sim);
    if (!scenario_wait_for_chain(fleet, 3, 15000))
      return false;
    scenario_check_acknowledged_writes(fleet);
  }
  fleet_finish_traffic(fleet);
  return true;
}

static bool one_link_between_controllers_is_cut(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  for (int i = 0; i < 3; i++) {
    int a = sim_random(fleet->sim, 3), b = (a + 1) % 3;
    sim_set_partition_both_ways(fleet->sim, fleet->controller[a]->self.text,
                                fleet->controller[b]->self.text, true);
    sim_run(fleet->sim, time_from_ms(6000));
    char *evacuation = scenario_evacuation_json((int)sim_random(fleet->sim, 9));
    if (!fleet_put(fleet, "evacuation", evacuation))
      fleet_add_violation(fleet, "no write while one link is cut");
    g_free(evacuation);
    sim_heal_partitions(fleet->sim);
    if (!scenario_wait_for_chain(fleet, 3, 15000))
      return false;
    scenario_check_acknowledged_writes(fleet);
  }
  return true;
}

const test_case view_change_tests[] = {
  { "controllers_are_partitioned", controllers_are_partitioned, 3, 3, 200 },
  { "one_link_between_controllers_is_cut", one_link_between_controllers_is_cut, 2, 2, 200 },
  { NULL, NULL, 0, 0, 0 }
};
