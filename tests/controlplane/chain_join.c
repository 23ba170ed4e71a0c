/** Tests of lib/controlplane/chain_join.c: controllers with an empty disk join the chain and never
 * bootstrap a second fleet. Fleet: three controllers, and a fourth that replaces one of them.
 */
#include "scenario.h"
#include "tests.h"

static bool a_controller_is_lost_and_replaced(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  host *old = fleet->controller[sim_random(fleet->sim, 3)];
  host *replacement = scenario_create_controller(fleet, 4, fleet->controller[0], old->zone.text);
  if (!fleet_put(fleet, "evacuation", "{\"areas\":[]}"))
    return false;
  host_power_off(old);
  host_wipe_disk(old);
  if (!scenario_wait_for_chain(fleet, 2, 8000))
    return false;
  fleet->controllers = 4;
  host_start(replacement);
  if (!scenario_wait_for_chain(fleet, 3, 12000))
    return false;
  scenario_check_acknowledged_writes(fleet);
  /* the replacement is a voter, so another member may be lost now */
  host *next = old == fleet->controller[0] ? fleet->controller[1] : fleet->controller[0];
  host_power_off(next);
  if (!scenario_wait_for_chain(fleet, 2, 8000))
    return false;
  char *evacuation = scenario_evacuation_json(3);
  if (!fleet_put(fleet, "evacuation", evacuation))
    fleet_add_violation(fleet, "no write after the exchange");
  g_free(evacuation);
  scenario_check_acknowledged_writes(fleet);
  /* the old controller returns with an empty disk; it must neither vote nor bootstrap a fleet */
  host_start(old);
  if (!scenario_wait_for_chain(fleet, 3, 15000))
    return false;
  scenario_check_acknowledged_writes(fleet);
  return true;
}

static bool a_controller_rejoins_with_an_empty_disk(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  for (int i = 0; i < 3; i++) {
    host *host = fleet->controller[i];
    char *evacuation = scenario_evacuation_json(1 + i);
    if (!fleet_put(fleet, "evacuation", evacuation))
      return false;
    g_free(evacuation);
    host_power_off(host);
    host_wipe_disk(host);
    if (sim_random(fleet->sim, 2))
      sim_run(fleet->sim, time_from_ms(3000));
    host_start(host);
    sim_run(fleet->sim, time_from_ms(1500));
    if (!scenario_wait_for_chain(fleet, 3, 15000))
      return false;
    scenario_check_acknowledged_writes(fleet);
  }
  return true;
}

static bool an_empty_controller_bootstraps_no_second_fleet(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  uint64_t fleet_id = fleet->controller[0]->controller->replica.view.fleet_id;
  /* two of three lose their disks: no majority is left, and no controller may bootstrap another
   * fleet while one replica of the first is left */
  for (int i = 0; i < 2; i++) {
    host_power_off(fleet->controller[i]);
    host_wipe_disk(fleet->controller[i]);
  }
  for (int i = 0; i < 2; i++)
    host_start(fleet->controller[i]);
  sim_run(fleet->sim, time_from_ms(20000));
  for (int i = 0; i < 3; i++) {
    uint64_t known_fleet_id = fleet->controller[i]->controller->replica.view.fleet_id;
    if (known_fleet_id && known_fleet_id != fleet_id)
      fleet_add_violation(fleet, "%s bootstrapped another fleet", fleet->controller[i]->self.text);
  }
  if (fleet_find_head(fleet))
    fleet_add_violation(fleet, "a minority acts");
  return true;
}

const test_case chain_join_tests[] = {
  { "a_controller_is_lost_and_replaced", a_controller_is_lost_and_replaced, 3, 2, 200 },
  { "a_controller_rejoins_with_an_empty_disk", a_controller_rejoins_with_an_empty_disk, 2, 2, 200 },
  { "an_empty_controller_bootstraps_no_second_fleet",
    an_empty_controller_bootstraps_no_second_fleet, 2, 2, 100 },
  { NULL, NULL, 0, 0, 0 }
};
