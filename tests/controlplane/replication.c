/** Tests of lib/controlplane/replication.c: an acknowledged configuration change survives the loss,
 * freezing and corruption of replicas. Fleet: three controllers, a few routers and engines.
 */
#include "scenario.h"
#include "tests.h"

static bool controllers_die_in_turn(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  scenario_start_traffic(fleet, 3);
  for (int i = 0; i < 4; i++) {
    host *host = fleet->controller[sim_random(fleet->sim, 3)];
    char *evacuation = scenario_evacuation_json(1 + i);
    operator_call *call = fleet_send(fleet, fleet->controller[sim_random(fleet->sim, 3)], "PUT",
                                     "/v1/evacuation", evacuation, NULL, NULL);
    sim_run(fleet->sim, (time_us){ (int64_t)sim_random(fleet->sim, 12000) });
    if (sim_random(fleet->sim, 2))
      host_kill(host);
    else
      host_power_off(host);
    if (!scenario_wait_for_chain(fleet, 2, 8000))
      return false;
    sim_run(fleet->sim, time_from_ms(26000));
    operator_call_free(call);
    if (!fleet_put(fleet, "evacuation", evacuation))
      fleet_add_violation(fleet, "no write with two of three");
    g_free(evacuation);
    host_start(host);
    if (!scenario_wait_for_chain(fleet, 3, 10000))
      return false;
    scenario_check_acknowledged_writes(fleet);
  }
  fleet_finish_traffic(fleet);
  return true;
}

static bool power_is_lost_after_an_acknowledgement(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  for (int i = 0; i < 5; i++) {
    char *evacuation = scenario_evacuation_json(1 + i);
    if (!fleet_put(fleet, "evacuation", evacuation))
      return false;
    g_free(evacuation);
    int all = sim_random(fleet->sim, 2);
    for (int k = 0; k < 3; k++)
      if (all || k == (int)sim_random(fleet->sim, 3))
        host_power_off(fleet->controller[k]);
    sim_run(fleet->sim, time_from_ms((int64_t)sim_random(fleet->sim, 4000)));
    for (int k = 0; k < 3; k++)
      if (!fleet->controller[k]->alive)
        host_start(fleet->controller[k]);
    if (!scenario_wait_for_chain(fleet, 3, 15000))
      return false;
    scenario_check_acknowledged_writes(fleet);
  }
  return true;
}

static bool heads_and_tails_freeze_and_wake(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  scenario_start_traffic(fleet, 3);
  for (int i = 0; i < 4; i++) {
    host *host = sim_random(fleet->sim, 2) ? fleet_find_head(fleet) : fleet_find_tail(fleet);
    if (!host) {
      sim_run(fleet->sim, time_from_ms(500));
      continue;
    }
    char *evacuation = scenario_evacuation_json(i);
    operator_call *call = fleet_send(fleet, fleet->controller[sim_random(fleet->sim, 3)], "PUT",
                                     "/v1/evacuation", evacuation, NULL, NULL);
    sim_run(fleet->sim, (time_us){ (int64_t)sim_random(fleet->sim, 8000) });
    host_freeze(host);
    sim_run(fleet->sim, time_from_ms(200 + (int64_t)sim_random(fleet->sim, 5000)));
    if (!fleet_put(fleet, "evacuation", evacuation))
      fleet_add_violation(fleet, "no write while %s is frozen", host->self.text);
    g_free(evacuation);
    host_unfreeze(host);
    /* its first response must not contain state from before it was frozen */
    scenario_check_acknowledged_writes(fleet);
    if (!scenario_wait_for_chain(fleet, 3, 15000))
      return false;
    sim_run(fleet->sim, time_from_ms(26000));
    operator_call_free(call);
  }
  fleet_finish_traffic(fleet);
  return true;
}

static bool a_replica_in_memory_is_corrupted(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  for (int i = 1; i < 3; i++) {
    host *host = fleet->controller[i];
    g_string_assign(host->controller->replica.committed.resources[RESOURCE_POLICY].text,
                    "{\"loadsPerS\":99}");
    sim_run(fleet->sim, time_from_ms(8000));
    if (strstr(host->controller->replica.committed.resources[RESOURCE_POLICY].text->str, "99"))
      fleet_add_violation(fleet, "the checksum did not find the corrupt replica of %s",
                          host->self.text);
  }
  if (!scenario_wait_for_chain(fleet, 3, 5000))
    return false;
  scenario_check_acknowledged_writes(fleet);
  return true;
}

const test_case replication_tests[] = {
  { "controllers_die_in_turn", controllers_die_in_turn, 3, 3, 100 },
  { "power_is_lost_after_an_acknowledgement", power_is_lost_after_an_acknowledgement, 2, 2, 200 },
  { "heads_and_tails_freeze_and_wake", heads_and_tails_freeze_and_wake, 3, 3, 100 },
  { "a_replica_in_memory_is_corrupted", a_replica_in_memory_is_corrupted, 2, 2, 50 },
  { NULL, NULL, 0, 0, 0 }
};
