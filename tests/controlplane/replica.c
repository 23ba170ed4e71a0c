/** Tests of the control plane alone: bootstrap of a fleet, the number of members that may be lost,
 * and the time until a head acts again. */
#include "tests.h"
#include <stdio.h>

host *chain_add_controller(fleet *fleet, int n) {
  char name[32], addr[48];
  snprintf(name, sizeof name, "controller-%d", n);
  snprintf(addr, sizeof addr, "127.0.1.%d:7000", n + 40);
  host *host = fleet->controller[fleet->controllers++] =
      sim_add_host(fleet->sim, HOST_CONTROLLER, name, zone_names[n % 3], addr);
  host->settings = fleet->controller[0]->settings;
  host->settings.self = host->self;
  host->settings.zone = host->zone;
  g_strlcpy(host->settings.address, host->addr, sizeof host->settings.address);
  return host;
}

/* lists the founders by address only, as in the settings of a first start */
void chain_bootstrap_by_address(fleet *fleet, int founders) {
  for (int i = 0; i < fleet->controllers; i++) {
    settings *settings = &fleet->controller[i]->settings;
    memset(settings->founders, 0, sizeof settings->founders);
    settings->founder_count = founders;
    for (int k = 0; k < founders; k++)
      g_strlcpy(settings->founder_addresses[k], fleet->controller[(k + i) % founders]->addr,
                sizeof settings->founder_addresses[k]);
  }
}

/* removes the founders, as in the settings of a later start */
void chain_clear_founders(fleet *fleet) {
  for (int i = 0; i < fleet->controllers; i++)
    fleet->controller[i]->settings.founder_count = 0;
}

void chain_set_size(fleet *fleet, int members, int replicas, int zones) {
  for (int i = 0; i < fleet->controllers; i++) {
    fleet->controller[i]->settings.chain_members = members;
    fleet->controller[i]->settings.write_replicas = replicas;
    fleet->controller[i]->settings.write_zones = zones;
  }
}

void chain_put_evacuation(fleet *fleet, int n, const char *when) {
  char *t = scenario_evacuation_json(1 + n % 9);
  if (!fleet_put(fleet, "evacuation", t))
    fleet_add_violation(fleet, "no write %s", when);
  g_free(t);
}

typedef struct {
  fleet *fleet;
  int chain_length, voter_count;
} shape;

static bool has_shape(sim *sim, void *ctx) {
  const shape *wanted = ctx;
  host *host = fleet_find_head(wanted->fleet);
  (void)sim;
  return host && fleet_find_tail(wanted->fleet) &&
         host->controller->replica.view.chain_length == wanted->chain_length &&
         (!wanted->voter_count ||
          host->controller->replica.view.voter_count == wanted->voter_count);
}

bool chain_wait_for_shape(fleet *fleet, int chain_length, int voter_count, int64_t ms) {
  shape wanted = { fleet, chain_length, voter_count };
  if (sim_run_until(fleet->sim, has_shape, &wanted, time_from_ms(ms)))
    return true;
  host *host = fleet_find_head(fleet);
  fleet_add_violation(fleet, "no chain of %d with %d voters after %" PRId64 " ms, but %d with %d",
                      chain_length, voter_count, ms,
                      host ? host->controller->replica.view.chain_length : 0,
                      host ? host->controller->replica.view.voter_count : 0);
  return false;
}

static bool a_fleet_is_bootstrapped_by_addresses(fleet *fleet) {
  int founders = 1 + (int)sim_random(fleet->sim, 3);
  chain_bootstrap_by_address(fleet, founders);
  chain_set_size(fleet, 3, founders == 1 ? 1 : 2, 1);
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  chain_clear_founders(fleet);
  if (!chain_wait_for_shape(fleet, 3, 3, 8000))
    return false;
  chain_put_evacuation(fleet, 1, "after the bootstrap");
  /* one controller returns with a blank disk and joins */
  host *host = fleet->controller[sim_random(fleet->sim, 3)];
  host_power_off(host);
  host_wipe_disk(host);
  host_start(host);
  if (!chain_wait_for_shape(fleet, 3, 3, 10000))
    return false;
  scenario_check_acknowledged_writes(fleet);
  /* if all disks are blank, no controller may bootstrap a new fleet */
  for (int i = 0; i < 3; i++) {
    host_power_off(fleet->controller[i]);
    host_wipe_disk(fleet->controller[i]);
  }
  for (int i = 0; i < 3; i++)
    host_start(fleet->controller[i]);
  for (int i = 0; i < 40; i++) {
    sim_run(fleet->sim, time_from_ms(500));
    if (fleet_find_head(fleet)) {
      fleet_add_violation(fleet, "a fleet was bootstrapped from blank disks at a later start");
      break;
    }
  }
  return true;
}

static bool a_bootstrap_is_interrupted(fleet *f) {
  chain_bootstrap_by_address(f, 3);
  for (int i = 0; i < 3; i++)
    host_start(f->controller[i]);
  /* a controller whose disk has not synced its first record yet counts as blank */
  sim_run(f->sim, (time_us){ 60000 + (int64_t)sim_random(f->sim, 840000) });
  for (int i = 0; i < 3; i++)
    if (sim_random(f->sim, 2))
      host_power_off(f->controller[i]);
  sim_run(f->sim, time_from_ms((int64_t)sim_random(f->sim, 1500)));
  chain_clear_founders(f);
  for (int i = 0; i < 3; i++)
    if (!f->controller[i]->alive)
      host_start(f->controller[i]);
  if (!chain_wait_for_shape(f, 3, 3, 9000))
    return false;
  uint64_t fleet = fleet_find_head(f)->controller->replica.view.fleet_id;
  sim_run(f->sim, time_from_ms(1000));
  for (int i = 0; i < 3; i++)
    if (f->controller[i]->controller->replica.view.fleet_id != fleet)
      fleet_add_violation(f, "%s is of another fleet", f->controller[i]->self.text);
  return true;
}

/* with settings that tolerate no loss, a chain of one member commits on its own */
static bool a_chain_of_one_commits(fleet *fleet) {
  chain_set_size(fleet, 1, 1, 1);
  if (!fleet_bring_up(fleet))
    return false;
  for (int turn = 0; turn < 3; turn++)
    chain_put_evacuation(fleet, turn, "with one of one");
  scenario_check_acknowledged_writes(fleet);
  return true;
}

/* any three of seven members may be lost at once, including their disks */
static bool seven_members_lose_three(fleet *fleet) {
  enum { MEMBERS = 7, LOST = 3 };
  for (int n = 4; n <= MEMBERS; n++)
    chain_add_controller(fleet, n);
  chain_bootstrap_by_address(fleet, 3);
  chain_set_size(fleet, MEMBERS, LOST + 1, 1);
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  chain_clear_founders(fleet);
  if (!chain_wait_for_shape(fleet, MEMBERS, MEMBERS, 15000))
    return false;
  chain_put_evacuation(fleet, 1, "with seven of seven");
  int first = sim_random(fleet->sim, MEMBERS);
  fleet_write_policy_marker(fleet);
  sim_run(fleet->sim, (time_us){ (int64_t)sim_random(fleet->sim, 9000) });
  for (int i = 0; i < LOST; i++) {
    host *lost = fleet->controller[(first + i) % MEMBERS];
    host_power_off(lost);
    host_wipe_disk(lost);
  }
  if (!scenario_wait_for_chain(fleet, MEMBERS - LOST, 10000))
    return false;
  chain_put_evacuation(fleet, 2, "with four of seven");
  scenario_check_acknowledged_writes(fleet);
  for (int i = 0; i < LOST; i++)
    host_start(fleet->controller[(first + i) % MEMBERS]);
  if (!chain_wait_for_shape(fleet, MEMBERS, MEMBERS, 20000))
    return false;
  chain_put_evacuation(fleet, 3, "with seven again");
  scenario_check_acknowledged_writes(fleet);
  return true;
}

static bool five_members_lose_two(fleet *fleet) {
  chain_add_controller(fleet, 4);
  chain_add_controller(fleet, 5);
  chain_bootstrap_by_address(fleet, 3);
  chain_set_size(fleet, 5, 2, 1);
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  chain_clear_founders(fleet);
  if (!chain_wait_for_shape(fleet, 5, 5, 10000))
    return false;
  for (int turn = 0; turn < 3; turn++) {
    chain_put_evacuation(fleet, turn, "with five of five");
    int a = sim_random(fleet->sim, 5), b = (a + 1 + (int)sim_random(fleet->sim, 4)) % 5;
    fleet_write_policy_marker(fleet);
    sim_run(fleet->sim, (time_us){ (int64_t)sim_random(fleet->sim, 9000) });
    host_power_off(fleet->controller[a]);
    if (turn == 2)
      sim_run(fleet->sim, time_from_ms((int64_t)sim_random(fleet->sim, 2500)));
    host_power_off(fleet->controller[b]);
    if (turn)
      host_wipe_disk(fleet->controller[a]);
    if (!scenario_wait_for_chain(fleet, 3, 10000))
      return false;
    chain_put_evacuation(fleet, turn + 4, "with three of five");
    scenario_check_acknowledged_writes(fleet);
    host_start(fleet->controller[a]);
    host_start(fleet->controller[b]);
    if (!chain_wait_for_shape(fleet, 5, 5, 15000))
      return false;
    scenario_check_acknowledged_writes(fleet);
  }
  /* two are lost permanently: they are removed as voters, so that one more member may be lost */
  host_power_off(fleet->controller[1]);
  host_power_off(fleet->controller[3]);
  if (!chain_wait_for_shape(fleet, 3, 3, 40000))
    return false;
  host_power_off(fleet->controller[sim_random(fleet->sim, 2) ? 0 : 4]);
  if (!scenario_wait_for_chain(fleet, 2, 10000))
    return false;
  chain_put_evacuation(fleet, 3, "with two of three");
  scenario_check_acknowledged_writes(fleet);
  return true;
}

typedef struct {
  fleet *fleet;
  host *old, *successor;
} replacement;

static bool is_replaced(sim *sim, void *ctx) {
  const replacement *replacement = ctx;
  host *host = fleet_find_head(replacement->fleet);
  (void)sim;
  if (!host || !fleet_find_tail(replacement->fleet) ||
      host->controller->replica.view.voter_count != 3)
    return false;
  bool replaced = false;
  for (int i = 0; i < host->controller->replica.view.chain_length; i++)
    replaced |=
        id_equal(host->controller->replica.view.chain[i].self, replacement->successor->self);
  for (int i = 0; i < 3; i++)
    replaced &= !id_equal(host->controller->replica.view.voters[i].self, replacement->old->self);
  return replaced;
}

static bool a_machine_is_replaced_at_a_new_address(fleet *fleet) {
  chain_bootstrap_by_address(fleet, 3);
  chain_set_size(fleet, 3, 2, 1);
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  chain_clear_founders(fleet);
  for (int turn = 0; turn < 3; turn++) {
    chain_put_evacuation(fleet, turn, "before the replacement");
    host *head = fleet_find_head(fleet),
         *old = turn ? head : fleet->controller[sim_random(fleet->sim, 3)];
    if (!old)
      return false;
    host_power_off(old);
    host_wipe_disk(old);
    host *successor = chain_add_controller(fleet, 4 + turn);
    /* the seeds are three controllers that are alive now, or the successor itself */
    for (int i = 0, k = 0; i < fleet->controllers && k < 3; i++)
      if (fleet->controller[i] != old &&
          (fleet->controller[i]->alive || fleet->controller[i] == successor))
        g_strlcpy(successor->settings.seed_addresses[k++], fleet->controller[i]->addr,
                  sizeof successor->settings.seed_addresses[0]);
    sim_run(fleet->sim, time_from_ms((int64_t)sim_random(fleet->sim, 3000)));
    host_start(successor);
    replacement wanted = { fleet, old, successor };
    if (!sim_run_until(fleet->sim, is_replaced, &wanted, time_from_ms(12000))) {
      fleet_add_violation(fleet, "%s did not replace %s", successor->self.text, old->self.text);
      return false;
    }
    scenario_check_acknowledged_writes(fleet);
    chain_put_evacuation(fleet, turn + 5, "after the replacement");
  }
  /* even if all founders are gone by now, any one of the remaining members may be lost */
  host *host = fleet_find_tail(fleet);
  if (!host)
    return false;
  host_power_off(host);
  if (!scenario_wait_for_chain(fleet, 2, 8000))
    return false;
  chain_put_evacuation(fleet, 2, "with two of three");
  scenario_check_acknowledged_writes(fleet);
  return true;
}

static bool a_full_disk_is_freed(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  for (int turn = 0; turn < 3; turn++) {
    host *host = turn ? fleet->controller[sim_random(fleet->sim, 3)] : fleet_find_head(fleet);
    uint64_t incarnation_before = host->incarnation;
    host->disk->full = true;
    chain_put_evacuation(fleet, turn, "while one disk of three is full");
    if (!scenario_wait_for_chain(fleet, 2, 8000))
      return false;
    chain_put_evacuation(fleet, turn + 3, "with two of three");
    sim_run(fleet->sim, time_from_ms((int64_t)sim_random(fleet->sim, 6000)));
    host->disk->full = false;
    if (!scenario_wait_for_chain(fleet, 3, 8000))
      return false;
    if (host->incarnation != incarnation_before)
      fleet_add_violation(fleet, "%s had to be restarted", host->self.text);
    scenario_check_acknowledged_writes(fleet);
  }
  for (int i = 0; i < 3; i++)
    fleet->controller[i]->disk->full = true;
  char *t = scenario_evacuation_json(5);
  operator_call *call = fleet_call(fleet, fleet->controller[0], "PUT", "/v1/evacuation", t, NULL,
                                   NULL, time_from_ms(9000));
  if (call->status == 200)
    fleet_add_violation(fleet, "a write was acknowledged with all disks full");
  operator_call_free(call);
  g_free(t);
  sim_run(fleet->sim, time_from_ms((int64_t)sim_random(fleet->sim, 9000)));
  /* one starts while its disk is still full */
  host *host = fleet->controller[sim_random(fleet->sim, 3)];
  if (sim_random(fleet->sim, 2)) {
    host_kill(host);
    host_start(host);
    sim_run(fleet->sim, time_from_ms(2000));
  }
  for (int i = 0; i < 3; i++)
    fleet->controller[i]->disk->full = false;
  if (!scenario_wait_for_chain(fleet, 3, 8000))
    return false;
  chain_put_evacuation(fleet, 7, "after the disks were emptied");
  scenario_check_acknowledged_writes(fleet);
  return true;
}

static bool slow_disks_stay_and_hung_ones_come_back(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  sim_run(fleet->sim, time_from_ms(3000));
  uint64_t epoch = fleet_find_head(fleet)->controller->replica.view.epoch;
  int all = sim_random(fleet->sim, 2), one = sim_random(fleet->sim, 3);
  for (int i = 0; i < 3; i++)
    if (all || i == one)
      fleet->controller[i]->disk->operation_delay_ms = 30;
  for (int i = 0; i < 12; i++) {
    fleet_write_policy_marker(fleet);
    sim_run(fleet->sim, time_from_ms(100));
    if (i % 4 == 0)
      chain_put_evacuation(fleet, i, "over slow disks");
  }
  host *head = fleet_find_head(fleet);
  if (!head || head->controller->replica.view.epoch != epoch)
    fleet_add_violation(fleet, "a slow disk changed the view");
  for (int i = 0; i < 3; i++)
    fleet->controller[i]->disk->operation_delay_ms = 0;
  for (int turn = 0; turn < 2; turn++) {
    host *host = turn ? fleet->controller[sim_random(fleet->sim, 3)] : fleet_find_head(fleet);
    if (!host)
      return false;
    host->disk->stalled_until =
        time_add(fleet->sim->now, time_from_ms(5000 + (int64_t)sim_random(fleet->sim, 3000)));
    chain_put_evacuation(fleet, turn, "while a disk hangs");
    chain_put_evacuation(fleet, turn + 2, "while a disk hangs or after");
    if (!scenario_wait_for_chain(fleet, 3, 15000))
      return false;
    scenario_check_acknowledged_writes(fleet);
  }
  return true;
}

static bool a_state_exceeds_a_log_file(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  char *fitting = fleet_catalogue_json(6000, 0, NULL),
       *too_large = fleet_catalogue_json(9000, 0, NULL);
  if (!fleet_put(fleet, "catalogue", fitting))
    fleet_add_violation(fleet, "a catalogue of %zu bytes was not accepted", strlen(fitting));
  operator_call *call = fleet_call(fleet, fleet_find_head(fleet), "PUT", "/v1/catalogue", too_large,
                                   NULL, NULL, time_from_ms(9000));
  if (call->status != 503 || !strstr(call->body->str, "501"))
    fleet_add_violation(fleet, "a catalogue of %zu bytes got %d %s", strlen(too_large),
                        call->status, call->body->str);
  operator_call_free(call);
  chain_put_evacuation(fleet, 1, "after a write that was too large");
  if (!fleet_put(fleet, "catalogue", fitting))
    fleet_add_violation(fleet, "a catalogue of %zu bytes was not accepted again", strlen(fitting));
  host *host = fleet_find_head(fleet);
  if (!host || host->controller->replica.view.chain_length != 3)
    fleet_add_violation(fleet, "a write that was too large broke the chain");
  scenario_check_acknowledged_writes(fleet);
  for (int i = 0; i < 3; i++)
    host_power_off(fleet->controller[i]);
  for (int i = 0; i < 3; i++)
    host_start(fleet->controller[i]);
  if (!scenario_wait_for_chain(fleet, 3, 8000))
    return false;
  scenario_check_acknowledged_writes(fleet);
  g_free(fitting);
  g_free(too_large);
  return true;
}

/* returns the seconds from a time until a head of a later view acts; checks every 10 ms, up to
 * max_ms */
static double seconds_to_next_head(fleet *fleet, time_us from, uint64_t old_epoch, int64_t max_ms) {
  for (;;) {
    host *host = fleet_find_head(fleet);
    double seconds = (double)time_sub(fleet->sim->now, from).us / 1e6;
    if (host && fleet_find_tail(fleet) && host->controller->replica.view.epoch > old_epoch &&
        !replica_view_is_under_replicated(&host->controller->replica,
                                          &host->controller->replica.view))
      return seconds;
    if (seconds * 1000 > (double)max_ms)
      return seconds;
    sim_run(fleet->sim, time_from_ms(10));
  }
}

static void check_in_time(fleet *fleet, double seconds, double max_seconds, const char *what) {
  if (g_getenv("SIM_COUNT"))
    fprintf(stderr, "  step %s %.2f\n", what, seconds);
  if (seconds > max_seconds)
    fleet_add_violation(fleet, "R12 a head acted %.2f s after %s", seconds, what);
}

static bool a_head_is_lost_and_the_next_acts(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  for (int turn = 0; turn < 4; turn++) {
    chain_put_evacuation(fleet, turn, "before the head was lost");
    sim_run(fleet->sim, time_from_ms(2000 + (int64_t)sim_random(fleet->sim, 1000)));
    host *head = fleet_find_head(fleet);
    if (!head) {
      fleet_add_violation(fleet, "no head acts");
      return false;
    }
    uint64_t epoch = head->controller->replica.view.epoch;
    fleet_write_policy_marker(fleet);
    sim_run(fleet->sim, (time_us){ (int64_t)sim_random(fleet->sim, 5000) });
    time_us loss = fleet->sim->now;
    if (turn == 0)
      host_freeze(head);
    if (turn == 1)
      host_power_off(head);
    if (turn == 2)
      list_for_each (k, &fleet->sim->hosts, host, link)
        if (k != head)
          sim_set_partition_both_ways(fleet->sim, head->self.text, k->self.text, true);
    if (turn == 3)
      controller_drain(head->controller);
    static const char *const what[] = { "a-frozen-head", "a-dead-head", "a-head-cut-off",
                                        "a-head-that-left" };
    check_in_time(fleet, seconds_to_next_head(fleet, loss, epoch, 6000), 2.5, what[turn]);
    chain_put_evacuation(fleet, turn + 4, "under the next head");
    sim_run(fleet->sim, time_from_ms((int64_t)sim_random(fleet->sim, 3000)));
    if (turn == 0)
      host_unfreeze(head);
    if (turn == 3)
      host_kill(head);
    if (turn == 1 || turn == 3)
      host_start(head);
    if (turn == 2)
      sim_heal_partitions(fleet->sim);
    if (!scenario_wait_for_chain(fleet, 3, 12000))
      return false;
    scenario_check_acknowledged_writes(fleet);
  }
  return true;
}

static bool a_link_to_the_head_is_cut(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  for (int turn = 0; turn < 3; turn++) {
    sim_run(fleet->sim, time_from_ms(2500));
    host *head = fleet_find_head(fleet);
    if (!head)
      return false;
    uint64_t epoch = head->controller->replica.view.epoch;
    char next[48];
    g_strlcpy(next, head->controller->replica.view.chain[1].self.text, sizeof next);
    fleet_write_policy_marker(fleet);
    time_us loss = fleet->sim->now;
    if (turn == 0)
      sim_set_partition_both_ways(fleet->sim, head->self.text, next, true);
    if (turn == 1)
      sim_set_partition(fleet->sim, head->self.text, next, true);
    if (turn == 2)
      sim_set_partition(fleet->sim, next, head->self.text, true);
    check_in_time(fleet, seconds_to_next_head(fleet, loss, epoch, 8000), 4, "a-cut-link");
    chain_put_evacuation(fleet, turn, "round a cut link");
    sim_heal_partitions(fleet->sim);
    if (!scenario_wait_for_chain(fleet, 3, 12000))
      return false;
    scenario_check_acknowledged_writes(fleet);
  }
  return true;
}

static bool all_controllers_are_back_within_a_second(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  for (int turn = 0; turn < 4; turn++) {
    chain_put_evacuation(fleet, turn, "before all were killed");
    if (turn % 2) {
      fleet_write_policy_marker(fleet);
      sim_run(fleet->sim, (time_us){ (int64_t)sim_random(fleet->sim, 9000) });
    }
    for (int i = 0; i < 3; i++)
      if (turn < 2)
        host_kill(fleet->controller[i]);
      else
        host_power_off(fleet->controller[i]);
    for (int i = 0; i < 3; i++) {
      sim_run(fleet->sim, time_from_ms((int64_t)sim_random(fleet->sim, 330)));
      host_start(fleet->controller[i]);
    }
    check_in_time(fleet, seconds_to_next_head(fleet, fleet->sim->now, 0, 6000), 2.5,
                  "all-came-back");
    chain_put_evacuation(fleet, turn + 5, "after all came back");
    scenario_check_acknowledged_writes(fleet);
    if (!scenario_wait_for_chain(fleet, 3, 9000))
      return false;
    sim_run(fleet->sim, time_from_ms(2000));
  }
  return true;
}

const test_case replica_tests[] = {
  { "a_fleet_is_bootstrapped_by_addresses", a_fleet_is_bootstrapped_by_addresses, 2, 2, 200 },
  { "a_bootstrap_is_interrupted", a_bootstrap_is_interrupted, 1, 1, 300 },
  { "a_chain_of_one_commits", a_chain_of_one_commits, 1, 1, 50 },
  { "seven_members_lose_three", seven_members_lose_three, 2, 2, 100 },
  { "five_members_lose_two", five_members_lose_two, 2, 2, 200 },
  { "a_machine_is_replaced_at_a_new_address", a_machine_is_replaced_at_a_new_address, 2, 2, 200 },
  { "a_full_disk_is_freed", a_full_disk_is_freed, 2, 2, 200 },
  { "slow_disks_stay_and_hung_ones_come_back", slow_disks_stay_and_hung_ones_come_back, 2, 2, 200 },
  { "a_state_exceeds_a_log_file", a_state_exceeds_a_log_file, 2, 2, 34 },
  { "a_head_is_lost_and_the_next_acts", a_head_is_lost_and_the_next_acts, 2, 2, 200 },
  { "a_link_to_the_head_is_cut", a_link_to_the_head_is_cut, 2, 2, 200 },
  { "all_controllers_are_back_within_a_second", all_controllers_are_back_within_a_second, 2, 2,
    200 },
  { NULL, NULL, 0, 0, 0 }
};
