/**
 * Many processes fail at once under traffic: the fleet must serve again, judged by the records of
 * the callers. Fleet: three controllers, three to eight routers, two to six engines.
 */
#include "tests.h"
#include <stdio.h>

/* starts a fleet under traffic, and waits until it serves steadily */
static bool start_with_traffic(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  scenario_start_traffic(fleet, 14);
  sim_run(fleet->sim, time_from_ms(20000));
  return true;
}

/* checks rule R12: by the callers' records, each kind of request is served again after the loss */
static bool check_recovery(fleet *fleet, time_us loss) {
  sim_run(fleet->sim, time_sub(time_add(loss, time_from_ms(24000)), fleet->sim->now));
  fleet->callers->loadgen->stop = true;
  time_us until = fleet->sim->now;
  sim_run(fleet->sim, time_from_ms(60000));
  fleet_check_recovery(fleet, loss, until);
  if (g_getenv("SIM_COUNT")) {
    for (int k = 0; k < 3; k++)
      fprintf(stderr, "  step back%d %.2f\n", k, MAX(0, fleet_recovery_s(fleet, loss, until, k)));
    fprintf(stderr, "  step all %.2f\n", MAX(0, fleet_recovery_s(fleet, loss, until, -1)));
  }
  fleet_finish_traffic(fleet);
  return true;
}

static bool all_controllers_are_killed(fleet *fleet) {
  if (!start_with_traffic(fleet))
    return false;
  time_us loss = fleet->sim->now;
  for (int i = 0; i < 3; i++)
    host_kill(fleet->controller[i]);
  sim_run(fleet->sim, time_from_ms(500 + (int64_t)sim_random(fleet->sim, 1500)));
  for (int i = 0; i < 3; i++)
    host_start(fleet->controller[i]);
  return check_recovery(fleet, loss);
}

static bool all_routers_are_killed(fleet *fleet) {
  if (!start_with_traffic(fleet))
    return false;
  time_us loss = fleet->sim->now;
  for (int i = 0; i < fleet->routers; i++)
    host_kill(fleet->router[i]);
  sim_run(fleet->sim, time_from_ms(500 + (int64_t)sim_random(fleet->sim, 1500)));
  for (int i = 0; i < fleet->routers; i++)
    host_start(fleet->router[i]);
  return check_recovery(fleet, loss);
}

static bool every_process_is_killed(fleet *fleet) {
  if (!start_with_traffic(fleet))
    return false;
  time_us loss = fleet->sim->now;
  list_for_each (h, &fleet->sim->hosts, host, link)
    if (h->role <= HOST_ENGINE)
      host_kill(h);
  sim_run(fleet->sim, time_from_ms(500));
  list_for_each (h, &fleet->sim->hosts, host, link)
    if (h->role <= HOST_ENGINE)
      host_start(h);
  return check_recovery(fleet, loss);
}

static bool all_engines_restart_empty(fleet *fleet) {
  if (!start_with_traffic(fleet))
    return false;
  time_us loss = fleet->sim->now;
  for (int i = 0; i < fleet->engines; i++)
    host_kill(fleet->engine[i]);
  sim_run(fleet->sim, time_from_ms(500));
  for (int i = 0; i < fleet->engines; i++)
    host_start(fleet->engine[i]);
  return check_recovery(fleet, loss);
}

static bool a_zone_is_lost(fleet *fleet) {
  if (!start_with_traffic(fleet))
    return false;
  time_us loss = fleet->sim->now;
  scenario_power_off_zone(fleet, zone_names[sim_random(fleet->sim, 3)]);
  return check_recovery(fleet, loss);
}

static bool the_head_and_engines_are_lost(fleet *fleet) {
  if (!start_with_traffic(fleet))
    return false;
  time_us loss = fleet->sim->now;
  host *head = fleet_find_head(fleet);
  const char *area = zone_names[sim_random(fleet->sim, 3)];
  if (head)
    host_power_off(head);
  for (int i = 0; i < fleet->engines; i++)
    if (!strcmp(fleet->engine[i]->zone.text, area))
      host_power_off(fleet->engine[i]);
  return check_recovery(fleet, loss);
}

static bool a_controller_is_replaced_under_traffic(fleet *fleet) {
  if (!start_with_traffic(fleet))
    return false;
  time_us loss = fleet->sim->now;
  host *old = fleet->controller[sim_random(fleet->sim, 3)],
       *replacement = scenario_create_controller(fleet, 4, fleet->controller[0],
                                                 zone_names[sim_random(fleet->sim, 3)]);
  host_power_off(old);
  host_wipe_disk(old);
  fleet->controllers = 4;
  sim_run(fleet->sim, time_from_ms((int64_t)sim_random(fleet->sim, 3000)));
  host_start(replacement);
  return check_recovery(fleet, loss);
}

static bool many_processes_freeze_and_wake(fleet *fleet) {
  if (!start_with_traffic(fleet))
    return false;
  list_for_each (h, &fleet->sim->hosts, host, link)
    if (h->role <= HOST_ROUTER && sim_random(fleet->sim, 4))
      host_freeze(h);
  sim_run(fleet->sim, time_from_ms(1000 + (int64_t)sim_random(fleet->sim, 7000)));
  time_us loss = fleet->sim->now;
  list_for_each (h, &fleet->sim->hosts, host, link)
    if (h->frozen)
      host_unfreeze(h);
  return check_recovery(fleet, loss);
}

/* The head fails for good, together with its disk, right after it acknowledged a write. */
static bool the_head_is_lost_after_an_acknowledgement(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  fleet_write_policy_marker(fleet);
  sim_run(fleet->sim, time_from_ms(1000));
  fleet_start_policy_probes(fleet);
  for (int i = 0; i < 3; i++)
    if (fleet->controller[i] != fleet_find_head(fleet))
      fleet->controller[i]->disk->operation_delay_ms = 40 + (int64_t)sim_random(fleet->sim, 100);
  host *head = fleet_find_head(fleet);
  if (!head)
    return false;
  char *evacuation = scenario_evacuation_json(1 + (int)sim_random(fleet->sim, 8));
  operator_call *call = fleet_send(fleet, fleet->controller[sim_random(fleet->sim, 3)], "PUT",
                                   "/v1/evacuation", evacuation, NULL, NULL);
  g_free(evacuation);
  fleet_write_policy_marker(fleet);
  for (int i = 0; i < 3000 && !call->done; i++)
    sim_run(fleet->sim, time_from_ms(1));
  host_power_off(head);
  host_wipe_disk(head);
  if (call->status != 200)
    fleet_add_violation(fleet, "a write with slow disks got status %d", call->status);
  operator_call_free(call);
  if (!scenario_wait_for_chain(fleet, 2, 10000))
    return false;
  scenario_check_acknowledged_writes(fleet);
  scenario_write_markers(fleet, 5000, 1500);
  scenario_check_acknowledged_writes(fleet);
  fleet->probing = false;
  sim_run(fleet->sim, time_from_ms(3500));
  return true;
}

/* counts the load orders that engines have received since a time */
static int loads_since(fleet *fleet, time_us from) {
  int loads = 0;
  for (int i = 0; i < fleet->engines; i++)
    for (guint k = 0; fleet->engine[i]->engine && k < fleet->engine[i]->engine->orders->len; k++) {
      const engine_sim_order *order =
          &g_array_index(fleet->engine[i]->engine->orders, engine_sim_order, k);
      loads += order->kind == 'l' && order->received_at.us >= from.us;
    }
  return loads;
}

/* The load rate limiter can't renew its lease, and grants permits until the lease expires. Another
 * router must take over, but not before the lease has expired, although all other routers can still
 * reach the old one. */
static bool the_load_rate_limiter_is_cut_off_from_controllers(fleet *fleet) {
  fleet->loads_per_s = 1;
  fleet->models = 40;
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  fleet->callers->loadgen->plan.zipf_exponent = 0;
  fleet->callers->loadgen->plan.adapter_ratio = 0;
  scenario_start_traffic(fleet, 12);
  for (int i = 0; i < 5; i++) {
    sim_run(fleet->sim, time_from_ms(5000 + (int64_t)sim_random(fleet->sim, 2000)));
    host *host = fleet_find_lease_holder(fleet, "pacer");
    if (!host)
      continue;
    for (int k = 0; k < 3; k++)
      sim_set_partition_both_ways(fleet->sim, host->self.text, fleet->controller[k]->self.text,
                                  true);
    sim_run(fleet->sim, time_from_ms(12000));
    if (!loads_since(fleet, time_sub(fleet->sim->now, time_from_ms(4000))))
      fleet_add_violation(fleet,
                          "R12 no load order 8 to 12 s after %s was cut off from the controllers",
                          host->self.text);
    sim_heal_partitions(fleet->sim);
  }
  fleet_finish_traffic(fleet);
  return true;
}

static bool engines_refuse_every_run(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  scenario_start_traffic(fleet, 20);
  sim_run(fleet->sim, time_from_ms(8000));
  for (int i = 0; i < fleet->engines; i++)
    fleet->engine[i]->engine->faults.streams_max = -1;
  sim_run(fleet->sim, time_from_ms(12000));
  for (int i = 0; i < fleet->engines; i++)
    fleet->engine[i]->engine->faults.streams_max = 0;
  sim_run(fleet->sim, time_from_ms(3000));
  fleet_finish_traffic(fleet);
  return true;
}

/* Many routers have long queues for one model. When its engines restart, all routers send at once,
 * and must not overload the engines during their slow start. */
static bool many_routers_send_to_warming_engines(fleet *fleet) {
  fleet->slow_start_s = 10;
  fleet->models = 3;
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  loadgen *loadgen = fleet->callers->loadgen;
  loadgen->plan.zipf_exponent = 6;
  loadgen->plan.adapter_ratio = 0;
  loadgen->plan.tokens = 200;
  scenario_start_traffic(fleet, 14);
  sim_run(fleet->sim, time_from_ms(14000));
  for (int i = 0; i < 3; i++) {
    for (int k = 0; k < fleet->engines; k++)
      if (i == 2 || k % 2 == i)
        host_kill(fleet->engine[k]);
    sim_run(fleet->sim, time_from_ms(400));
    for (int k = 0; k < fleet->engines; k++)
      if (!fleet->engine[k]->alive)
        host_start(fleet->engine[k]);
    sim_run(fleet->sim, time_from_ms(14000));
  }
  fleet_finish_traffic(fleet);
  return loadgen_count(loadgen, OUTCOME_DONE) > 0;
}

/* The tail is ahead of the other controllers for a moment and then fails. Probes of the policy
 * markers detect a configuration that reverts to an older version. */
static bool tails_are_killed_while_markers_are_written(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  fleet_write_policy_marker(fleet);
  sim_run(fleet->sim, time_from_ms(1500));
  fleet_start_policy_probes(fleet);
  scenario_start_traffic(fleet, 4);
  for (int i = 0; i < 5; i++) {
    host *host = fleet_find_tail(fleet);
    if (!host) {
      sim_run(fleet->sim, time_from_ms(1000));
      continue;
    }
    for (int k = 0; k < 3; k++)
      if (fleet->controller[k] != host)
        fleet->controller[k]->disk->operation_delay_ms = 60;
    /* In half of the cases the messages of the tail are lost too, so that its predecessor lacks its
     * acknowledgements and is behind what routers have read. */
    bool lose_acks = sim_random(fleet->sim, 2);
    for (int k = 0; k < 3 && lose_acks; k++)
      if (fleet->controller[k] != host) {
        fleet->controller[k]->disk->operation_delay_ms = 5;
        sim_set_partition(fleet->sim, host->self.text, fleet->controller[k]->self.text, true);
      }
    if (lose_acks)
      sim_run(fleet->sim, time_from_ms(900));
    for (int k = 0; k < 4; k++) {
      fleet_write_policy_marker(fleet);
      sim_run(fleet->sim, (time_us){ 100000 + (int64_t)sim_random(fleet->sim, 150000) });
    }
    host_kill(host);
    sim_heal_partitions(fleet->sim);
    scenario_write_markers(fleet, 4000, 700);
    host_start(host);
    for (int k = 0; k < 3; k++)
      fleet->controller[k]->disk->operation_delay_ms = 0;
    scenario_write_markers(fleet, 5000, 900);
  }
  if (!scenario_wait_for_chain(fleet, 3, 15000))
    return false;
  scenario_check_acknowledged_writes(fleet);
  fleet->probing = false;
  fleet_finish_traffic(fleet);
  sim_run(fleet->sim, time_from_ms(3500));
  return true;
}

/* Engines restart without models, and routers send before they have received the next report. */
static bool engines_restart_between_reports(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  fleet->callers->loadgen->plan.zipf_exponent = 0.3;
  fleet->callers->loadgen->plan.adapter_ratio = 0.9;
  scenario_start_traffic(fleet, 14);
  sim_run(fleet->sim, time_from_ms(5000));
  for (int i = 0; i < 40; i++) {
    host *host = fleet->engine[sim_random(fleet->sim, fleet->engines)];
    host_power_off(host);
    host_start(host);
    sim_run(fleet->sim, time_from_ms(300 + (int64_t)sim_random(fleet->sim, 900)));
  }
  sim_run(fleet->sim, time_from_ms(8000));
  fleet_finish_traffic(fleet);
  return loadgen_count(fleet->callers->loadgen, OUTCOME_DONE) > 0;
}

const test_case loss_tests[] = {
  { "all_controllers_are_killed", all_controllers_are_killed, 6, 6, 50 },
  { "all_routers_are_killed", all_routers_are_killed, 6, 6, 50 },
  { "every_process_is_killed", every_process_is_killed, 6, 6, 50 },
  { "all_engines_restart_empty", all_engines_restart_empty, 6, 6, 50 },
  { "a_zone_is_lost", a_zone_is_lost, 6, 6, 50 },
  { "the_head_and_engines_are_lost", the_head_and_engines_are_lost, 6, 6, 50 },
  { "a_controller_is_replaced_under_traffic", a_controller_is_replaced_under_traffic, 6, 6, 50 },
  { "many_processes_freeze_and_wake", many_processes_freeze_and_wake, 6, 6, 50 },
  { "the_head_is_lost_after_an_acknowledgement", the_head_is_lost_after_an_acknowledgement, 3, 2,
    200 },
  { "the_load_rate_limiter_is_cut_off_from_controllers",
    the_load_rate_limiter_is_cut_off_from_controllers, 5, 5, 100 },
  { "engines_refuse_every_run", engines_refuse_every_run, 4, 5, 50 },
  { "many_routers_send_to_warming_engines", many_routers_send_to_warming_engines, 8, 3, 50 },
  { "engines_restart_between_reports", engines_restart_between_reports, 4, 4, 100 },
  { "tails_are_killed_while_markers_are_written", tails_are_killed_while_markers_are_written, 4, 3,
    100 },
  { NULL, NULL, 0, 0, 0 }
};
