/** Tests of lib/controlplane/chain_repair.c: a second loss right after a repair or a replacement
 * must leave a majority of voters and an in-sync replica. A controller counts as lost for some time
 * (syncS in the users' requirements) after its return or start; the next loss follows as soon as
 * this time is over. Fleet: three or five controllers, one router. */
#include "replica.h"
#include "tests.h"
#include <stdio.h>

enum {
  /* how long a controller counts as lost after its start, in chains of three and of more members */
  SMALL_CHAIN_SYNC_MS = 4000,
  LARGE_CHAIN_SYNC_MS = 6000,
  OBSERVE_INTERVAL_MS = 20,
  GRACE_MS = 8000,
  ACTS_AGAIN_MS = 6000,
  CONTROL_PORT = 8110
};

/** How a controller is lost and what replaces it. */
typedef enum loss {
  LOSS_POWER,    /* it loses power for a while and restarts with its disk */
  LOSS_WIPED,    /* it restarts at the same address with an empty disk */
  LOSS_FROZEN,   /* it is frozen for a while */
  LOSS_CUT,      /* it is partitioned from all others for a while */
  LOSS_REPLACED, /* it is lost permanently; an empty one starts at another address */
  LOSS_PLANNED   /* an empty one starts first, then this one gets SIGTERM and never restarts */
} loss;

/** A controller that returned and still counts as lost, and the progress of its recovery. */
typedef struct returned_controller {
  host *host;
  time_us started_at;
  bool in_sync, votes;
} returned_controller;

/** A control plane under test: its size, and the controllers that returned recently. */
typedef struct repair_trial {
  fleet *fleet;
  /* number of chain members, and how many of them may be lost at once */
  int members, tolerated;
  int64_t sync_ms;
  /* number of controllers added after the first three, and the added delay of each disk operation
   */
  int added;
  int64_t disk_delay_ms;
  returned_controller returned[CHAIN_MAX];
  int returned_count;
} repair_trial;

/* ends the process of a controller that has shut down after SIGTERM */
static void end_process(void *p) {
  host *host = p;
  if (host->alive && host->controller->exit_code == OK)
    host_kill(host);
}

static void exit_run(void *p) {
  host *host = p;
  if (condition_wait(&host->world.tasks, &host->controller->stopped, time_never()) ==
      WAKE_SIGNALLED)
    sim_schedule(host->sim, host->sim->now, end_process, host);
}

static void on_process_start(host *host) {
  char ip[48];
  error err = { 0 };
  g_strlcpy(ip, host->addr, (size_t)(strrchr(host->addr, ':') - host->addr) + 1);
  if (controller_open_control_listener(host->controller, ip, CONTROL_PORT, NULL, &err))
    fprintf(stderr, "  no control listener: %s\n", err.text);
  task_start(&host->world.tasks, "exit", exit_run, host);
}

/* adds a controller, in the zone of old unless that is NULL */
static host *trial_add(repair_trial *trial, const host *old) {
  host *host = chain_add_controller(trial->fleet, 10 + trial->added++);
  host->on_start = on_process_start;
  host->disk->operation_delay_ms = trial->disk_delay_ms;
  if (old)
    host->zone = host->settings.zone = old->zone;
  return host;
}

static bool trial_bring_up(repair_trial *trial, fleet *fleet, int members) {
  *trial = (repair_trial){ .fleet = fleet,
                           .members = members,
                           .tolerated = members / 2,
                           .sync_ms = members > 3 ? LARGE_CHAIN_SYNC_MS : SMALL_CHAIN_SYNC_MS };
  for (int i = 0; i < fleet->controllers; i++)
    fleet->controller[i]->on_start = on_process_start;
  while (fleet->controllers < members)
    trial_add(trial, NULL);
  chain_bootstrap_by_address(fleet, 3);
  /* three controllers are in three zones; a write may then have to be in two of them */
  int zones = members == 3 ? 1 + (int)sim_random(fleet->sim, 2) : 1;
  chain_set_size(fleet, members, trial->tolerated + 1, zones);
  for (int i = 0; i < fleet->controllers; i++)
    fleet->controller[i]->settings.shutdown_grace_ms = GRACE_MS;
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  chain_clear_founders(fleet);
  /* in a third of the runs every disk operation takes 15 to 30 ms longer, which is about 15 to 30
     times as long as usual */
  int64_t slow = sim_random(fleet->sim, 3) ? 0 : 15 + (int64_t)sim_random(fleet->sim, 16);
  for (int i = 0; i < fleet->controllers; i++)
    fleet->controller[i]->disk->operation_delay_ms = slow;
  trial->disk_delay_ms = slow;
  return chain_wait_for_shape(fleet, members, members, 10000);
}

/* returns the latest view that any live controller knows, or NULL if none is running */
static const view *trial_view(repair_trial *trial) {
  const view *latest = NULL;
  for (int i = 0; i < trial->fleet->controllers; i++) {
    host *host = trial->fleet->controller[i];
    if (host->alive && host->controller->replica.running &&
        (!latest || host->controller->replica.view.epoch > latest->epoch))
      latest = &host->controller->replica.view;
  }
  return latest;
}

/* returns a random live chain member that has not returned recently, or NULL if sixty draws found
 * none */
static host *trial_member(repair_trial *trial) {
  const view *view = trial_view(trial);
  for (int turn = 0; view && turn < 60; turn++) {
    host *host = sim_find_host(
        trial->fleet->sim,
        view->chain[sim_random(trial->fleet->sim, (uint64_t)view->chain_length)].self.text);
    bool returned_lately = false;
    for (int i = 0; i < trial->returned_count; i++)
      returned_lately |= trial->returned[i].host == host;
    if (host && host->alive && !returned_lately)
      return host;
  }
  return NULL;
}

/* records when each returned controller is in sync in the chain and when it is a voter */
static void trial_observe(repair_trial *trial) {
  const view *view = trial_view(trial);
  for (int i = 0; view && i < trial->returned_count; i++) {
    returned_controller *controller = &trial->returned[i];
    if (!controller->host->alive || !controller->host->controller->replica.running)
      continue;
    member self = replica_as_member(&controller->host->controller->replica);
    double s = (double)time_sub(trial->fleet->sim->now, controller->started_at).us / 1e6;
    bool in_sync = replica_chain_index(&controller->host->controller->replica) >= 0 &&
                   controller->host->controller->replica.in_sync &&
                   member_index(view->chain, view->chain_length, &self) >= 0;
    bool votes = in_sync && member_index(view->voters, view->voter_count, &self) >= 0;
    if (in_sync && !controller->in_sync && g_getenv("SIM_COUNT"))
      fprintf(stderr, "  step whole-%d %.2f\n", trial->members, s);
    if (votes && !controller->votes && g_getenv("SIM_COUNT"))
      fprintf(stderr, "  step votes-%d %.2f\n", trial->members, s);
    controller->in_sync |= in_sync;
    controller->votes |= votes;
  }
}

static void trial_run(repair_trial *trial, int64_t ms) {
  for (int64_t elapsed_ms = 0; elapsed_ms < ms; elapsed_ms += OBSERVE_INTERVAL_MS) {
    sim_run(trial->fleet->sim, time_from_ms(MIN(OBSERVE_INTERVAL_MS, ms - elapsed_ms)));
    trial_observe(trial);
  }
}

static void trial_start(repair_trial *trial, host *host) {
  host_start(host);
  trial->returned[trial->returned_count++] =
      (returned_controller){ host, trial->fleet->sim->now, false, false };
}

static void use_live_seeds(repair_trial *trial, host *replacement, host *old) {
  for (int i = trial->fleet->controllers - 1, k = 0; i >= 0 && k < 3; i--)
    if (trial->fleet->controller[i] != old &&
        (trial->fleet->controller[i]->alive || trial->fleet->controller[i] == replacement))
      g_strlcpy(replacement->settings.seed_addresses[k++], trial->fleet->controller[i]->addr,
                sizeof replacement->settings.seed_addresses[0]);
}

/* Sends SIGTERM, and SIGKILL after the grace period. Returns whether the process ended by itself.
 */
static bool trial_stop(repair_trial *trial, host *host) {
  uint64_t incarnation_before = host->incarnation;
  controller_drain(host->controller);
  for (int64_t elapsed_ms = 0;
       elapsed_ms < GRACE_MS && host->alive && host->incarnation == incarnation_before;
       elapsed_ms += OBSERVE_INTERVAL_MS)
    trial_run(trial, OBSERVE_INTERVAL_MS);
  bool by_itself = !host->alive;
  if (!by_itself)
    host_kill(host);
  return by_itself;
}

/* freezes a controller, or partitions it from all others, for ms milliseconds */
static void trial_pause(repair_trial *trial, host *h, loss kind, int64_t ms) {
  if (kind == LOSS_FROZEN)
    host_freeze(h);
  list_for_each (k, &trial->fleet->sim->hosts, host, link)
    if (kind == LOSS_CUT && k != h)
      sim_set_partition_both_ways(trial->fleet->sim, h->self.text, k->self.text, true);
  trial_run(trial, ms);
  if (kind == LOSS_FROZEN)
    host_unfreeze(h);
  list_for_each (k, &trial->fleet->sim->hosts, host, link)
    if (kind == LOSS_CUT && k != h)
      sim_set_partition_both_ways(trial->fleet->sim, h->self.text, k->self.text, false);
  trial->returned[trial->returned_count++] =
      (returned_controller){ h, trial->fleet->sim->now, false, false };
}

/* makes one controller fail; on return its replacement has been started */
static bool trial_lose(repair_trial *trial, host *old, loss kind) {
  sim *sim = trial->fleet->sim;
  int64_t pause = (int64_t)sim_random(sim, 2500);
  if (kind == LOSS_PLANNED) {
    host *replacement = trial_add(trial, old);
    use_live_seeds(trial, replacement, old);
    trial_start(trial, replacement);
    trial_run(trial, (int64_t)sim_random(sim, (uint64_t)trial->sync_ms + 1500));
    if (!trial_stop(trial, old))
      fleet_add_violation(trial->fleet, "%s did not end within its grace period", old->self.text);
    host_wipe_disk(old);
    return true;
  }
  if (kind == LOSS_FROZEN || kind == LOSS_CUT) {
    trial_pause(trial, old, kind, 100 + (int64_t)sim_random(sim, 7000));
    return true;
  }
  host_power_off(old);
  if (kind != LOSS_POWER)
    host_wipe_disk(old);
  trial_run(trial, pause);
  host *next = old;
  if (kind == LOSS_REPLACED) {
    next = trial_add(trial, old);
    use_live_seeds(trial, next, old);
  }
  trial_start(trial, next);
  return true;
}

/* runs until no returned controller counts as lost any more */
static void trial_wait_until_recovered(repair_trial *trial) {
  for (int i = 0; i < trial->returned_count; i++) {
    time_us due = time_add(trial->returned[i].started_at, time_from_ms(trial->sync_ms));
    if (due.us > trial->fleet->sim->now.us)
      trial_run(trial, (due.us - trial->fleet->sim->now.us + 999) / 1000);
  }
}

/* checks that the returned controllers, which no longer count as lost, are in sync and voters */
static void trial_check_returned(repair_trial *trial, const char *when) {
  for (int i = 0; i < trial->returned_count; i++) {
    returned_controller *controller = &trial->returned[i];
    if (!controller->in_sync)
      fleet_add_violation(trial->fleet, "%s: %s is not in sync %" PRId64 " ms after its start",
                          when, controller->host->self.text, trial->sync_ms);
    else if (!controller->votes)
      fleet_add_violation(trial->fleet, "%s: %s is no voter %" PRId64 " ms after its start", when,
                          controller->host->self.text, trial->sync_ms);
  }
  trial->returned_count = 0;
}

/* checks that a majority and an in-sync replica are left: the chain acts, commits a write, and
 * reads return what was acknowledged */
static void trial_check_available(repair_trial *trial, int chain_length, const char *when) {
  if (!scenario_wait_for_chain(trial->fleet, chain_length, ACTS_AGAIN_MS)) {
    fleet_add_violation(trial->fleet, "%s: no majority or no replica in sync is left", when);
    return;
  }
  chain_put_evacuation(trial->fleet, (int)sim_random(trial->fleet->sim, 9), when);
  scenario_check_acknowledged_writes(trial->fleet);
}

/* permanently loses as many controllers at once as are tolerated, and checks availability */
static void trial_lose_tolerated(repair_trial *trial, const char *when) {
  char *text = scenario_evacuation_json(1 + (int)sim_random(trial->fleet->sim, 8));
  operator_call *call = fleet_send(trial->fleet, trial->fleet->controller[0], "PUT",
                                   "/v1/evacuation", text, NULL, NULL);
  g_free(text);
  sim_run(trial->fleet->sim, (time_us){ (int64_t)sim_random(trial->fleet->sim, 30000) });
  for (int i = 0; i < trial->tolerated; i++) {
    host *host = trial_member(trial);
    if (!host)
      break;
    host_power_off(host);
    host_wipe_disk(host);
  }
  trial_check_available(trial, trial->members - trial->tolerated, when);
  while (!call->done)
    sim_run(trial->fleet->sim, time_from_ms(100));
  operator_call_free(call);
}

static bool losses_in_turn(fleet *fleet, int members, bool planned) {
  repair_trial trial;
  if (!trial_bring_up(&trial, fleet, members))
    return false;
  for (int turn = 0; turn < 3; turn++) {
    chain_put_evacuation(fleet, turn, "before a loss");
    int count = 1 + (int)sim_random(fleet->sim, (uint64_t)trial.tolerated);
    for (int i = 0; i < count; i++) {
      host *host = trial_member(&trial);
      if (!host)
        return false;
      loss kind = planned ? LOSS_PLANNED : (loss)sim_random(fleet->sim, LOSS_PLANNED);
      if (!trial_lose(&trial, host, kind))
        return false;
    }
    trial_wait_until_recovered(&trial);
    trial_check_returned(&trial, planned ? "after a planned replacement" : "after a loss");
    if (fleet->violations->len)
      return false;
  }
  trial_lose_tolerated(&trial, "after the last loss");
  return true;
}

static bool three_lose_one_after_the_other(fleet *fleet) {
  return losses_in_turn(fleet, 3, false);
}

static bool five_lose_two_after_two(fleet *fleet) {
  return losses_in_turn(fleet, 5, false);
}

static bool a_member_is_replaced_by_plan(fleet *fleet) {
  return losses_in_turn(fleet, 3, true);
}

static bool a_member_of_five_is_replaced_by_plan(fleet *fleet) {
  return losses_in_turn(fleet, 5, true);
}

/* The replacement no longer counts as lost when the old controller gets SIGTERM. The old one stops
 * counting as lost the moment its process ends, so another controller may be lost then. */
static bool another_is_lost_as_a_member_ends(fleet *fleet) {
  repair_trial trial;
  if (!trial_bring_up(&trial, fleet, sim_random(fleet->sim, 2) ? 5 : 3))
    return false;
  chain_put_evacuation(fleet, 1, "before the replacement");
  host *old = trial_member(&trial), *replacement = trial_add(&trial, old);
  use_live_seeds(&trial, replacement, old);
  trial_start(&trial, replacement);
  trial_run(&trial, trial.sync_ms + (int64_t)sim_random(fleet->sim, 1500));
  if (!trial_stop(&trial, old))
    fleet_add_violation(fleet, "%s did not end within its grace period", old->self.text);
  host_wipe_disk(old);
  trial_lose_tolerated(&trial, "right after a member ended by plan");
  return true;
}

/* A member that has the only in-sync replica gets SIGTERM and later loses its disk. The others
 * return in time, so that it can hand over its state within the grace period. */
static bool a_member_with_the_only_replica_is_stopped(fleet *fleet) {
  repair_trial trial;
  if (!trial_bring_up(&trial, fleet, 3))
    return false;
  chain_put_evacuation(fleet, 2, "before the losses");
  host *last = fleet_find_head(fleet);
  if (!last)
    return false;
  for (int i = 0; i < fleet->controllers; i++)
    if (fleet->controller[i] != last)
      host_kill(fleet->controller[i]);
  int64_t start_delay_ms = 500 + (int64_t)sim_random(fleet->sim, 4500);
  bool empty = sim_random(fleet->sim, 2);
  controller_drain(last->controller);
  trial_run(&trial, start_delay_ms);
  int wiped = (int)sim_random(fleet->sim, 3);
  for (int i = 0; i < 3; i++) {
    host *host = fleet->controller[i];
    if (host == last)
      continue;
    /* one returns with its disk, so that there is a majority; the other one may return empty */
    if (empty && wiped-- == 0)
      host_wipe_disk(host);
    host_start(host);
  }
  for (int64_t elapsed_ms = 0; elapsed_ms < GRACE_MS - start_delay_ms && last->alive;
       elapsed_ms += OBSERVE_INTERVAL_MS)
    trial_run(&trial, OBSERVE_INTERVAL_MS);
  if (last->alive) {
    fleet_add_violation(fleet, "%s did not end within its grace period", last->self.text);
    host_kill(last);
  }
  host_wipe_disk(last);
  trial_check_available(&trial, 2, "after the member with the only replica ended");
  return true;
}

/* All controllers lose power at a random time during a repair, for example while a view is decided,
 * a snapshot is fetched or a voter is added. All that were alive return with their disks. */
static bool all_lose_power_in_a_repair(fleet *fleet) {
  repair_trial trial;
  if (!trial_bring_up(&trial, fleet, sim_random(fleet->sim, 2) ? 5 : 3))
    return false;
  chain_put_evacuation(fleet, 3, "before the losses");
  for (int i = 0; i < trial.tolerated; i++) {
    host *host = trial_member(&trial);
    if (host)
      trial_lose(&trial, host, (loss)(LOSS_POWER + sim_random(fleet->sim, LOSS_PLANNED)));
  }
  fleet_write_policy_marker(fleet);
  int64_t us = (int64_t)sim_random(fleet->sim, 6000000);
  trial_run(&trial, us / 1000);
  sim_run(fleet->sim, (time_us){ us % 1000 });
  GPtrArray *powered_off = g_ptr_array_new();
  for (int i = 0; i < fleet->controllers; i++)
    if (fleet->controller[i]->alive) {
      host_power_off(fleet->controller[i]);
      g_ptr_array_add(powered_off, fleet->controller[i]);
    }
  for (guint i = 0; i < powered_off->len; i++) {
    sim_run(fleet->sim, time_from_ms((int64_t)sim_random(fleet->sim, 800)));
    host_start(powered_off->pdata[i]);
  }
  g_ptr_array_free(powered_off, TRUE);
  trial.returned_count = 0;
  sim_run(fleet->sim, time_from_ms(trial.sync_ms));
  trial_check_available(&trial, trial.members, "after all lost power in a repair");
  trial_lose_tolerated(&trial, "after all lost power in a repair and came back");
  return true;
}

/* Right after a write was acknowledged, as many disks are lost as may be lost, and at the same time
 * all processes lose power, including the routers. All of them return within about a second. */
static bool disks_are_lost_as_all_lose_power(fleet *fleet) {
  repair_trial trial;
  if (!trial_bring_up(&trial, fleet, sim_random(fleet->sim, 2) ? 5 : 3))
    return false;
  chain_put_evacuation(fleet, (int)sim_random(fleet->sim, 9), "just before the losses");
  sim_run(fleet->sim, (time_us){ (int64_t)sim_random(fleet->sim, 30000) });
  for (int i = 0; i < trial.tolerated; i++) {
    host *host = trial_member(&trial);
    if (!host)
      break;
    host_power_off(host);
    host_wipe_disk(host);
  }
  for (int i = 0; i < fleet->controllers; i++)
    if (fleet->controller[i]->alive)
      host_power_off(fleet->controller[i]);
  for (int i = 0; i < fleet->routers; i++)
    host_power_off(fleet->router[i]);
  for (int i = 0; i < fleet->controllers + fleet->routers; i++) {
    sim_run(fleet->sim, time_from_ms((int64_t)sim_random(fleet->sim, 150)));
    host_start(i < fleet->routers ? fleet->router[i] : fleet->controller[i - fleet->routers]);
  }
  sim_run(fleet->sim, time_from_ms(trial.sync_ms));
  trial_check_available(&trial, trial.members, "after disks were lost as all lost power");
  return true;
}

const test_case chain_repair_tests[] = {
  { "disks_are_lost_as_all_lose_power", disks_are_lost_as_all_lose_power, 3, 1, 100 },
  { "three_lose_one_after_the_other", three_lose_one_after_the_other, 1, 1, 400 },
  { "five_lose_two_after_two", five_lose_two_after_two, 1, 1, 200 },
  { "a_member_is_replaced_by_plan", a_member_is_replaced_by_plan, 1, 1, 200 },
  { "a_member_of_five_is_replaced_by_plan", a_member_of_five_is_replaced_by_plan, 1, 1, 100 },
  { "another_is_lost_as_a_member_ends", another_is_lost_as_a_member_ends, 1, 1, 200 },
  { "a_member_with_the_only_replica_is_stopped", a_member_with_the_only_replica_is_stopped, 1, 1,
    200 },
  { "all_lose_power_in_a_repair", all_lose_power_in_a_repair, 1, 1, 200 },
  { NULL, NULL, 0, 0, 0 }
};
