/** A zone, or all routers, fail at once: streams and model loads resume in time. Fleet: three
 * controllers, six routers and six engines in three zones.
 */
#include "recovery.h"
#include "scenario.h"
#include "tests.h"

/* how long a recovery is observed: longer than RECOVERY_LIMIT_MS, so that the printed times also
 * cover slower steps */
enum { RECOVERY_OBSERVED_MS = 16000 };

static bool a_zone_loses_power(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  scenario_start_traffic(fleet, 6);
  sim_run(fleet->sim, time_from_ms(10000));
  char *evacuation = scenario_evacuation_json(0);
  if (!fleet_put(fleet, "evacuation", evacuation))
    return false;
  g_free(evacuation);
  const char *area = zone_names[sim_random(fleet->sim, 3)];
  time_us from = fleet->sim->now;
  host *head = fleet_find_head(fleet);
  uint64_t epoch = head ? head->controller->replica.view.epoch : 0;
  scenario_power_off_zone(fleet, area);
  recovery_times times = recovery_observe(fleet, RECOVERY_OBSERVED_MS, epoch);
  recovery_print(&times, from);
  recovery_check(fleet, from, RECOVERY_LIMIT_MS);
  if (!scenario_wait_for_chain(fleet, 2, 1000))
    return false;
  scenario_check_acknowledged_writes(fleet);
  evacuation = scenario_evacuation_json(0);
  if (!fleet_put(fleet, "evacuation", evacuation))
    fleet_add_violation(fleet, "no write was acknowledged after the loss of a zone");
  g_free(evacuation);
  list_for_each (h, &fleet->sim->hosts, host, link)
    if (!h->alive)
      host_start(h);
  if (!scenario_wait_for_chain(fleet, 3, 15000))
    return false;
  fleet_finish_traffic(fleet);
  return true;
}

static bool all_routers_die_at_once(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  scenario_start_traffic(fleet, 6);
  sim_run(fleet->sim, time_from_ms(8000));
  time_us from = fleet->sim->now;
  for (int i = 0; i < fleet->routers; i++)
    host_kill(fleet->router[i]);
  sim_run(fleet->sim, time_from_ms(500));
  for (int i = 0; i < fleet->routers; i++)
    host_start(fleet->router[i]);
  host *head = fleet_find_head(fleet);
  uint64_t epoch = head ? head->controller->replica.view.epoch : 0;
  recovery_times times = recovery_observe(fleet, RECOVERY_OBSERVED_MS, epoch);
  recovery_print(&times, from);
  recovery_check(fleet, from, RECOVERY_LIMIT_MS);
  fleet_finish_traffic(fleet);
  return true;
}

const test_case zone_loss_tests[] = { { "a_zone_loses_power", a_zone_loses_power, 6, 6, 100 },
                                      { "all_routers_die_at_once", all_routers_die_at_once, 6, 6,
                                        100 },
                                      { NULL, NULL, 0, 0, 0 } };
