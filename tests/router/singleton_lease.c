/** Tests of lib/router/singleton_lease.c: a singleton has one holder, which keeps its lease while
 * the head's disk stalls and sends no orders after the lease expired. Fleet: three controllers,
 * routers that hold singletons, engines. */
#include "scenario.h"
#include "tests.h"

static bool a_holder_freezes_and_wakes(fleet *fleet) {
  for (int i = 0; i < fleet->engines; i++)
    fleet->engine[i]->faults.no_epochs = true;
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  fleet->callers->loadgen->plan.zipf_exponent = 0.2;
  scenario_start_traffic(fleet, 6);
  for (int i = 0; i < 4; i++) {
    sim_run(fleet->sim, time_from_ms(4000));
    host *host =
        fleet_find_lease_holder(fleet, sim_random(fleet->sim, 2) ? "pacer" : "engine:engine-1");
    if (!host)
      continue;
    host_freeze(host);
    sim_run(fleet->sim, time_from_ms(1000 + (int64_t)sim_random(fleet->sim, 9000)));
    host_unfreeze(host);
  }
  sim_run(fleet->sim, time_from_ms(5000));
  fleet_finish_traffic(fleet);
  return true;
}

static bool leases_outlast_a_stalled_disk_of_the_head(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  host *host = fleet_find_head(fleet), *holder = fleet_find_lease_holder(fleet, "engine:engine-1");
  uint64_t epoch = singleton_lease_epoch(holder->router, "engine:engine-1");
  host->disk->stalled_until = time_add(fleet->sim->now, time_from_ms(1500));
  operator_call *call =
      fleet_send(fleet, host, "PUT", "/v1/evacuation", "{\"areas\":[]}", NULL, NULL);
  for (int i = 0; i < 100; i++) {
    sim_run(fleet->sim, time_from_ms(50));
    if (!singleton_lease_epoch(holder->router, "engine:engine-1")) {
      fleet_add_violation(fleet, "a lease expired while the head's disk was stalled");
      break;
    }
  }
  if (singleton_lease_epoch(holder->router, "engine:engine-1") != epoch)
    fleet_add_violation(fleet, "the holder or epoch of the lease changed");
  sim_run(fleet->sim, time_from_ms(26000));
  operator_call_free(call);
  return true;
}

const test_case singleton_lease_tests[] = { { "a_holder_freezes_and_wakes",
                                              a_holder_freezes_and_wakes, 5, 5, 100 },
                                            { "leases_outlast_a_stalled_disk_of_the_head",
                                              leases_outlast_a_stalled_disk_of_the_head, 3, 3, 50 },
                                            { NULL, NULL, 0, 0, 0 } };
