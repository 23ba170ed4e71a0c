/** Tests of lib/controlplane/wal.c: corrupt records, torn writes at the end of the log, and disks
 * that stall, fill up or fail. Fleet: three controllers with simulated disks.
 */
#include "scenario.h"
#include "tests.h"

static bool a_record_on_disk_is_corrupt(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  for (int i = 0; i < 4; i++) {
    char *evacuation = scenario_evacuation_json(i);
    if (!fleet_put(fleet, "evacuation", evacuation))
      return false;
    g_free(evacuation);
  }
  host *host = fleet->controller[sim_random(fleet->sim, 3)];
  uint64_t disk_id = host->controller->replica.disk_id;
  unsigned file = host->controller->replica.wal.current_file;
  size_t used = host->controller->replica.wal.last_frame_offset;
  host_power_off(host);
  size_t offset = 40 + sim_random(fleet->sim, used - 40);
  /* Flip bits of a byte before the last frame, since a corrupt last frame looks like a torn one.
     Zero bytes are skipped, since they may be padding. */
  while (!host->disk->cached_data[file][offset])
    offset = 40 + sim_random(fleet->sim, used - 40);
  host->disk->cached_data[file][offset] ^= 0x5a;
  host->disk->durable_data[file][offset] ^= 0x5a;
  host_start(host);
  if (!scenario_wait_for_chain(fleet, 3, 15000))
    return false;
  if (host->controller->replica.disk_id == disk_id)
    fleet_add_violation(fleet, "a controller with a corrupt record is still a voter");
  scenario_check_acknowledged_writes(fleet);
  return true;
}

static bool the_end_of_the_log_is_torn(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  for (int i = 0; i < 12; i++) {
    char *evacuation = scenario_evacuation_json(i % 9);
    operator_call *call = fleet_send(fleet, fleet->controller[sim_random(fleet->sim, 3)], "PUT",
                                     "/v1/evacuation", evacuation, NULL, NULL);
    g_free(evacuation);
    sim_run(fleet->sim, (time_us){ (int64_t)sim_random(fleet->sim, 9000) });
    host *host = fleet->controller[sim_random(fleet->sim, 3)];
    uint64_t disk_id_before = host->controller && host->controller->replica.running
                                  ? host->controller->replica.disk_id
                                  : 0;
    host_power_off(host);
    sim_run(fleet->sim, time_from_ms(100));
    host_start(host);
    sim_run(fleet->sim, time_from_ms(7000));
    if (disk_id_before && host->controller->replica.disk_id != disk_id_before)
      fleet_add_violation(fleet, "a torn last frame was treated as corruption");
    sim_run(fleet->sim, time_from_ms(20000));
    operator_call_free(call);
    if (!scenario_wait_for_chain(fleet, 3, 15000))
      return false;
    scenario_check_acknowledged_writes(fleet);
  }
  return true;
}

static bool disks_stall_fill_and_fail(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  scenario_start_traffic(fleet, 3);
  for (int i = 0; i < 4; i++) {
    host *host = fleet->controller[sim_random(fleet->sim, 3)];
    int fault = sim_random(fleet->sim, 4);
    if (fault == 0)
      host->disk->stalled_until = time_add(fleet->sim->now, time_from_ms(8000));
    if (fault == 1)
      host->disk->full = true;
    if (fault == 2)
      host->disk->fails = true;
    if (fault == 3)
      host->disk->operation_delay_ms = 150;
    char *evacuation = scenario_evacuation_json((int)sim_random(fleet->sim, 9));
    if (!fleet_put(fleet, "evacuation", evacuation))
      fleet_add_violation(fleet, "no write while one disk of three is faulty");
    sim_run(fleet->sim, time_from_ms(6000));
    if (!fleet_put(fleet, "evacuation", evacuation))
      fleet_add_violation(fleet, "no write after the chain was repaired");
    g_free(evacuation);
    sim_run(fleet->sim, time_from_ms(5000));
    host->disk->full = host->disk->fails = false;
    host->disk->operation_delay_ms = 0;
    if (fault == 1 || fault == 2) {
      host_kill(host);
      host_start(host);
    }
    if (!scenario_wait_for_chain(fleet, 3, 20000))
      return false;
    scenario_check_acknowledged_writes(fleet);
  }
  fleet_finish_traffic(fleet);
  return true;
}

const test_case wal_tests[] = {
  { "a_record_on_disk_is_corrupt", a_record_on_disk_is_corrupt, 2, 2, 200 },
  { "the_end_of_the_log_is_torn", the_end_of_the_log_is_torn, 2, 2, 100 },
  { "disks_stall_fill_and_fail", disks_stall_fill_and_fail, 3, 3, 200 },
  { NULL, NULL, 0, 0, 0 }
};
