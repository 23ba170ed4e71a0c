/**
 * Random fault injection. The fault schedule is generated from the seed before the run, so that a
 * failing schedule can be shrunk. Fleet: three controllers, five to eight routers, six to nine
 * engines.
 */
#include "random_faults.h"
#include "tests.h"
#include <stdio.h>
#include <stdlib.h>

enum {
  STEPS = 16,
  /* The schedule uses its own random generator, so that leaving out steps does not change the
   * others. */
  SCHEDULE_SEED_OFFSET = 1000003,
  MARKER_MS = 1200,
  /* every operator call has ended by then, successfully or not */
  CALL_END_MS = 26000
};

/** The fault that a step injects. */
enum fault_kind {
  FAULT_KILL,
  FAULT_POWER_OFF,
  FAULT_FREEZE,
  FAULT_CUT,
  FAULT_CUT_ONE_WAY,
  FAULT_LOSE_MESSAGES,
  FAULT_DELAY_MESSAGES,
  FAULT_STALL_DISK,
  FAULT_MOVE_CLOCK,
  FAULT_WRITE,
  FAULT_FAIL_LOADS,
  FAULT_KILL_ROUTERS,
  FAULT_FREEZE_ROUTERS,
  FAULT_WIPE_DISK,
  FAULT_POWER_OFF_ZONE,
  FAULT_STOP_PLATFORM,
  FAULT_MARK_ENGINE,
  FAULT_REPLACE_ENGINES,
  FAULT_EVACUATE,
  FAULT_RACE_WRITES,
  FAULT_LATE_CAPACITY,
  FAULT_SLOW_DISK,
  FAULT_KINDS
};

static const char *const fault_names[] = { "kill",
                                           "power off",
                                           "freeze",
                                           "cut off",
                                           "cut one way to",
                                           "lose messages",
                                           "delay messages",
                                           "stall the disk of",
                                           "move the wall clock of",
                                           "write at",
                                           "fail loads of",
                                           "kill many routers, not",
                                           "freeze many routers, not",
                                           "lose the disk of",
                                           "power off the zone of",
                                           "stop the platform, not",
                                           "mark at the platform",
                                           "replace",
                                           "evacuate in part the zone of",
                                           "race two writes at",
                                           "report capacity late at",
                                           "slow the disk of" };

/** Which of the three processes of a fault is its target. */
enum target { TARGET_CONTROLLER, TARGET_ROUTER, TARGET_ENGINE, TARGETS };

/** One step of a schedule. */
typedef struct fault {
  enum fault_kind kind;
  enum target target;
  /* indices of the processes */
  int controller, router, engine;
  /* intensity from 0 to 8, for the kinds that use it */
  int share;
  /* duration of the step, of the fault itself, and of the pause after healing */
  int64_t wait_ms, span_ms, heal_ms;
  bool heals;
} fault;

/* bit i is set when step i of the schedule is executed */
static uint32_t enabled_steps = ~0u;

static void generate_schedule(uint64_t seed, int routers, int engines, fault schedule[STEPS]) {
  sim *sim = sim_new(seed + SCHEDULE_SEED_OFFSET);
  for (int i = 0; i < STEPS; i++)
    schedule[i] = (fault){ (enum fault_kind)sim_random(sim, FAULT_KINDS),
                           (enum target)sim_random(sim, TARGETS),
                           (int)sim_random(sim, 3),
                           (int)sim_random(sim, routers),
                           (int)sim_random(sim, engines),
                           (int)sim_random(sim, 9),
                           300 + (int64_t)sim_random(sim, 5000),
                           (int64_t)sim_random(sim, 6000),
                           (int64_t)sim_random(sim, 6000),
                           sim_random(sim, 2) != 0 };
  sim_free(sim);
}

/* Whether all replicas are in the chain. Only then is a disk wiped, so that at most one disk is
 * lost at a time. */
static bool chain_is_complete(fleet *fleet) {
  host *tail = fleet_find_tail(fleet), *head = fleet_find_head(fleet);
  return head && tail && head->controller->replica.view.chain_length == 3 &&
         tail->controller->replica.view.epoch == head->controller->replica.view.epoch;
}

static void fail_loads(host *engine) {
  if (!engine->engine)
    return;
  engine_faults *faults = &engine->engine->faults;
  faults->fail_loads = 2;
  faults->unanswered_loads = 1;
  faults->fail_unloads = 1;
  faults->drop_orders = 1;
}

/* kills all routers, or every second one */
static void kill_routers(fleet *fleet, const fault *fault) {
  for (int i = 0; i < fleet->routers; i++)
    if (fault->share > 2 || i % 2)
      host_kill(fleet->router[i]);
}

static void freeze_routers(fleet *fleet, const fault *fault) {
  for (int i = 0; i < fleet->routers; i++)
    if (fleet->router[i]->alive && (fault->share > 2 || i % 2))
      host_freeze(fleet->router[i]);
}

static void wipe_disk(fleet *fleet, host *controller) {
  if (!chain_is_complete(fleet))
    return;
  host_power_off(controller);
  host_wipe_disk(controller);
  host_start(controller);
}

/* replaces two engines, one after the other: marks each as draining, stops it, and restarts it */
static void replace_engines(fleet *fleet, const fault *fault) {
  platform_sim *platform = fleet->platform->platform;
  for (int i = 0; i < 2 && fleet->platform->alive; i++) {
    host *engine = fleet->engine[(fault->engine + i) % fleet->engines];
    platform_sim_set_engine_state(platform, engine->self, true, false);
    sim_run(fleet->sim, time_from_ms(fault->span_ms / 2));
    host_kill(engine);
    if (fleet->platform->alive)
      platform_sim_set_engine_state(platform, engine->self, true, true);
    sim_run(fleet->sim, time_from_ms(900));
    if (fleet->platform->alive)
      platform_sim_set_engine_state(platform, engine->self, false, false);
    host_start(engine);
  }
}

static char *evacuation_of(const host *host, double share) {
  return g_strdup_printf("{\"areas\":[{\"area\":\"%s\",\"share\":%g}]}", host->zone.text, share);
}

static void write_evacuation(fleet *fleet, host *controller, double share, GPtrArray *calls) {
  char *text = evacuation_of(controller, share);
  g_ptr_array_add(calls, fleet_send(fleet, controller, "PUT", "/v1/evacuation", text, NULL, NULL));
  g_free(text);
}

/* sends two writes on the same base version to two controllers */
static void race_writes(fleet *fleet, const fault *fault, GPtrArray *calls) {
  for (int i = 0; i < 2; i++) {
    host *controller = fleet->controller[(fault->controller + i) % 3];
    char base[32];
    uint64_t last = 0;
    for (guint k = 0; k < fleet->write_acks->len; k++)
      if (g_array_index(fleet->write_acks, write_ack, k).resource == RESOURCE_EVACUATION)
        last = g_array_index(fleet->write_acks, write_ack, k).version;
    snprintf(base, sizeof base, "%" PRIu64, last);
    char *text = evacuation_of(controller, (fault->share + 1) / 9.0);
    g_ptr_array_add(calls, fleet_send(fleet, controller, i ? "PATCH" : "PUT", "/v1/evacuation",
                                      text, base, NULL));
    g_free(text);
  }
}

/* Injects a fault; operator calls that it sends are added to the array. The function is long since
 * it has a case for each kind of fault. */
static void inject(fleet *fleet, const fault *fault, GPtrArray *calls) {
  host *controller = fleet->controller[fault->controller], *engine = fleet->engine[fault->engine];
  host *const targets[TARGETS] = { controller, fleet->router[fault->router], engine };
  host *target = targets[fault->target];
  switch (fault->kind) {
  /* With MUTATE set, a kill counts as a violation, which shows that a failing schedule is shrunk.
   */
  case FAULT_KILL:
    host_kill(target);
    if (getenv("MUTATE"))
      fleet_add_violation(fleet, "seeded");
    break;
  case FAULT_POWER_OFF:
    host_power_off(target);
    break;
  case FAULT_FREEZE:
    if (target->alive)
      host_freeze(target);
    break;
  case FAULT_CUT:
    sim_set_partition_both_ways(fleet->sim, target->self.text, NULL, true);
    break;
  case FAULT_CUT_ONE_WAY:
    sim_set_partition(fleet->sim, target->self.text, controller->self.text, true);
    break;
  case FAULT_LOSE_MESSAGES:
    fleet->sim->loss_ratio = 0.05;
    break;
  case FAULT_DELAY_MESSAGES:
    fleet->sim->jitter_ms = 60;
    break;
  case FAULT_STALL_DISK:
    controller->disk->stalled_until = time_add(fleet->sim->now, time_from_ms(fault->span_ms));
    break;
  case FAULT_MOVE_CLOCK:
    target->wall_clock_offset_us += fault->span_ms * 600000 - 1800000000;
    break;
  case FAULT_FAIL_LOADS:
    fail_loads(engine);
    break;
  case FAULT_KILL_ROUTERS:
    kill_routers(fleet, fault);
    break;
  case FAULT_FREEZE_ROUTERS:
    freeze_routers(fleet, fault);
    break;
  case FAULT_WIPE_DISK:
    wipe_disk(fleet, controller);
    break;
  case FAULT_POWER_OFF_ZONE:
    scenario_power_off_zone(fleet, controller->zone.text);
    break;
  case FAULT_STOP_PLATFORM:
    host_kill(fleet->platform);
    break;
  case FAULT_MARK_ENGINE:
    if (fleet->platform->alive)
      platform_sim_set_engine_state(fleet->platform->platform, engine->self, fault->share > 3,
                                    false);
    break;
  case FAULT_REPLACE_ENGINES:
    replace_engines(fleet, fault);
    break;
  case FAULT_WRITE:
    write_evacuation(fleet, controller, 0.1 * fault->share, calls);
    break;
  case FAULT_EVACUATE:
    write_evacuation(fleet, controller, (fault->share + 1) / 9.0, calls);
    break;
  case FAULT_RACE_WRITES:
    race_writes(fleet, fault, calls);
    break;
  case FAULT_LATE_CAPACITY:
    if (engine->engine)
      engine->engine->faults.order_delay_ms = 300 + fault->span_ms / 3;
    break;
  case FAULT_SLOW_DISK:
    controller->disk->operation_delay_ms = 20 + fault->span_ms / 40;
    break;
  case FAULT_KINDS:
    break;
  }
}

static void free_calls(GPtrArray *calls) {
  for (guint i = 0; i < calls->len; i++)
    operator_call_free(calls->pdata[i]);
  g_ptr_array_free(calls, TRUE);
}

static void run_schedule(fleet *fleet, const fault schedule[STEPS], GPtrArray *calls) {
  for (int i = 0; i < STEPS; i++) {
    if (!(enabled_steps & 1u << i))
      continue;
    const fault *fault = &schedule[i];
    inject(fleet, fault, calls);
    sim_run(fleet->sim, time_from_ms(fault->wait_ms / 2));
    fleet_write_policy_marker(fleet);
    sim_run(fleet->sim, time_from_ms(fault->wait_ms - fault->wait_ms / 2));
    if (!fault->heals)
      continue;
    scenario_heal_all(fleet);
    sim_run(fleet->sim, time_from_ms(fault->heal_ms));
    fleet_write_policy_marker(fleet);
  }
}

static void heal_fleet_and_engines(fleet *fleet) {
  scenario_heal_all(fleet);
  for (int i = 0; i < fleet->engines; i++) {
    platform_sim_set_engine_state(fleet->platform->platform, fleet->engine[i]->self, false, false);
    engine_faults *faults = &fleet->engine[i]->engine->faults;
    faults->order_delay_ms = 0;
    faults->fail_loads = faults->unanswered_loads = faults->fail_unloads = faults->drop_orders = 0;
  }
}

/* checks that the healed fleet has lost no acknowledged write, acknowledges a new one, and serves
 */
static void check_healed(fleet *fleet) {
  scenario_check_acknowledged_writes(fleet);
  if (!fleet_put(fleet, "evacuation", "{\"areas\":[]}"))
    fleet_add_violation(fleet, "no write was acknowledged after all faults were healed");
  time_us from = fleet->sim->now;
  sim_run(fleet->sim, time_from_ms(12000));
  const GPtrArray *requests = fleet->callers->loadgen->requests;
  int done = 0;
  for (guint i = 0; i < requests->len; i++) {
    const loadgen_request *request = requests->pdata[i];
    done += request->started_at.us >= from.us && request->outcome == OUTCOME_DONE;
  }
  if (!done)
    fleet_add_violation(fleet, "R12 no request was served after all faults were healed");
}

/* Injects a final fault (two kinds are skipped), which is not healed except that frozen processes
 * resume before the final checks. */
static void run_closing_fault(fleet *fleet, const fault *fault) {
  fleet->callers->loadgen->stop = true;
  GPtrArray *calls = g_ptr_array_new();
  if (fault->kind != FAULT_CUT && fault->kind != FAULT_REPLACE_ENGINES)
    inject(fleet, fault, calls);
  sim_run(fleet->sim, time_from_ms(30000));
  free_calls(calls);
  fleet->probing = false;
  list_for_each (h, &fleet->sim->hosts, host, link)
    if (h->frozen)
      host_unfreeze(h);
  fleet_finish_traffic(fleet);
  sim_run(fleet->sim, time_from_ms(3500));
}

static bool run_random_faults(fleet *fleet) {
  fault schedule[STEPS];
  if (getenv("STEPS") && enabled_steps == ~0u)
    enabled_steps = (uint32_t)strtoul(getenv("STEPS"), NULL, 16);
  generate_schedule(fleet->seed, fleet->routers, fleet->engines, schedule);
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  fleet_write_policy_marker(fleet);
  sim_run(fleet->sim, time_from_ms(MARKER_MS));
  fleet_start_policy_probes(fleet);
  fleet->callers->loadgen->plan.zipf_exponent = 0.7;
  scenario_start_traffic(fleet, 6);
  GPtrArray *calls = g_ptr_array_new();
  run_schedule(fleet, schedule, calls);
  heal_fleet_and_engines(fleet);
  bool chain_complete = scenario_wait_for_chain(fleet, 3, 25000);
  sim_run(fleet->sim, time_from_ms(CALL_END_MS));
  free_calls(calls);
  if (!chain_complete)
    return false;
  check_healed(fleet);
  run_closing_fault(fleet, &schedule[(fleet->seed * 7) % STEPS]);
  return true;
}

static bool anything_happens(fleet *fleet) {
  return run_random_faults(fleet);
}
static bool anything_happens_at_lanka(fleet *fleet) {
  return fleet_load_deployment(fleet, "examples/lanka") && run_random_faults(fleet);
}
static bool anything_happens_at_selam(fleet *fleet) {
  return fleet_load_deployment(fleet, "examples/selam") && run_random_faults(fleet);
}

/* runs a test with the enabled steps and returns whether it passes */
static bool passes(test_function test, uint64_t seed, int routers, int engines) {
  fleet *fleet = fleet_new(seed, routers, engines);
  bool passed = test(fleet);
  passed = fleet_check_silently(fleet) && passed;
  fleet_free(fleet);
  return passed;
}

static bool is_random_fault_test(test_function function) {
  for (const test_case *test = random_fault_tests; test->name; test++)
    if (test->run == function)
      return true;
  return false;
}

static void print_fault(const fault *fault) {
  char names[TARGETS][24];
  snprintf(names[TARGET_CONTROLLER], sizeof names[0], "controller-%d", fault->controller + 1);
  snprintf(names[TARGET_ROUTER], sizeof names[0], "router-%d", fault->router + 1);
  snprintf(names[TARGET_ENGINE], sizeof names[0], "engine-%d", fault->engine + 1);
  fprintf(stderr, "  %s %s (%s), wait %" PRId64 " ms%s\n", fault_names[fault->kind],
          names[fault->target], names[TARGET_CONTROLLER], fault->wait_ms,
          fault->heals ? ", heal" : "");
}

void random_faults_shrink(test_function test, uint64_t seed, int routers, int engines) {
  if (!is_random_fault_test(test) || enabled_steps != ~0u || getenv("WHOLE"))
    return;
  fault schedule[STEPS];
  generate_schedule(seed, routers, engines, schedule);
  for (int i = 0; i < STEPS; i++) {
    uint32_t before = enabled_steps;
    enabled_steps &= ~(1u << i);
    if (passes(test, seed, routers, engines))
      enabled_steps = before;
  }
  fprintf(stderr, "seed %" PRIu64 " also fails with this smaller schedule (STEPS=%x):\n", seed,
          enabled_steps & ((1u << STEPS) - 1));
  for (int i = 0; i < STEPS; i++)
    if (enabled_steps & 1u << i)
      print_fault(&schedule[i]);
  enabled_steps = ~0u;
}

const test_case random_fault_tests[] = {
  { "anything_happens", anything_happens, 5, 6, 300 },
  { "anything_happens_at_lanka", anything_happens_at_lanka, 8, 9, 50 },
  { "anything_happens_at_selam", anything_happens_at_selam, 7, 9, 50 },
  { NULL, NULL, 0, 0, 0 }
};
