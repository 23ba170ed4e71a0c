/** Tests of lib/router/engine_list.c: engines that are draining, replaced or in an evacuated zone
 * get no new work. Fleet: five or six routers and six engines, under traffic. */
#include "scenario.h"
#include "tests.h"

static bool an_engine_drains(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  scenario_start_traffic(fleet, 10);
  sim_run(fleet->sim, time_from_ms(12000));
  for (int i = 0; i < 2; i++) {
    platform_sim_engine *engine =
        &g_array_index(fleet->platform->platform->engines, platform_sim_engine,
                       sim_random(fleet->sim, fleet->engines));
    if (engine->draining)
      continue;
    platform_sim_set_engine_state(fleet->platform->platform, engine->self, true, false);
    sim_run(fleet->sim, time_from_ms(8000));
  }
  host_kill(fleet->platform);
  sim_run(fleet->sim, time_from_ms(5000));
  fleet_finish_traffic(fleet);
  return true;
}

static bool a_zone_is_evacuated(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  scenario_start_traffic(fleet, 10);
  sim_run(fleet->sim, time_from_ms(12000));
  if (!fleet_put(fleet, "evacuation", "{\"areas\":[{\"area\":\"south\"}]}"))
    return false;
  sim_run(fleet->sim, time_from_ms(12000));
  for (int i = 0; i < fleet->engines; i++) {
    char singleton[64];
    singleton_engine_name(singleton, sizeof singleton, fleet->engine[i]->self);
    host *host = fleet_find_lease_holder(fleet, singleton);
    if (!host)
      fleet_add_violation(fleet, "no router took over the lease on %s", singleton);
    else if (!strcmp(host->zone.text, "south"))
      fleet_add_violation(fleet, "the lease on %s remains with %s in the evacuated zone", singleton,
                          host->self.text);
  }
  /* the evacuation persists when a controller is lost */
  host_power_off(fleet->controller[sim_random(fleet->sim, 3)]);
  sim_run(fleet->sim, time_from_ms(8000));
  scenario_check_acknowledged_writes(fleet);
  fleet_finish_traffic(fleet);
  return true;
}

static bool engines_are_replaced_one_by_one(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  scenario_start_traffic(fleet, 6);
  sim_run(fleet->sim, time_from_ms(8000));
  for (int i = 0; i < 4; i++) {
    host *host = fleet->engine[i];
    platform_sim_set_engine_state(fleet->platform->platform, host->self, true, false);
    sim_run(fleet->sim, time_from_ms(4000));
    host_kill(host);
    platform_sim_set_engine_state(fleet->platform->platform, host->self, true, true);
    sim_run(fleet->sim, time_from_ms(1500));
    platform_sim_set_engine_state(fleet->platform->platform, host->self, false, false);
    host_start(host);
    sim_run(fleet->sim, time_from_ms(4000));
  }
  fleet_finish_traffic(fleet);
  return loadgen_count(fleet->callers->loadgen, OUTCOME_DONE) >
         (int)fleet->callers->loadgen->requests->len / 2;
}

const test_case engine_list_tests[] = { { "an_engine_drains", an_engine_drains, 5, 6, 100 },
                                        { "a_zone_is_evacuated", a_zone_is_evacuated, 6, 6, 100 },
                                        { "engines_are_replaced_one_by_one",
                                          engines_are_replaced_one_by_one, 5, 6, 100 },
                                        { NULL, NULL, 0, 0, 0 } };
