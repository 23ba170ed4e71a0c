/**
 * Plays a day: sets up a fleet and its deployment, brings it up, runs the traffic while faults
 * begin and end, lets the fleet settle, then checks all rules and computes the result.
 */
#include "gateway_check.h"
#include "day_play.h"
#include "day_config.h"
#include "day_inject.h"
#include <math.h>
#include <stdio.h>
#include <time.h>

enum {
  WARM_UP_MS = 2000,
  SETTLE_MS = 4000,
  POLICY_ATTEMPTS = 20,
  POLICY_RETRY_MS = 300,
  POLICY_TIMEOUT_MS = 26000,
};

/* the clients' random state depends on the seed alone, so that they send the same requests whatever
 * the fleet does */
enum { CLIENT_SEED_FACTOR = 7919 };

static double cpu_now_s(void) {
  struct timespec now;
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static time_us time_from_s(double seconds) {
  return (time_us){ (int64_t)(seconds * 1e6) };
}

/* makes one attempt to put the policy resource; if it fails and report is set, adds a violation */
static bool put_policy_once(fleet *fleet, host *controller, const char *policy, bool report) {
  operator_call *call = fleet_call(fleet, controller, "PUT", "/v1/policy", policy, NULL,
                                   "day-policy", time_from_ms(POLICY_TIMEOUT_MS));
  bool accepted = call->status == 200;
  if (!accepted && report)
    fleet_add_violation(fleet, "the policy was not accepted: %d %s", call->status, call->body->str);
  operator_call_free(call);
  return accepted;
}

static bool put_policy(fleet *fleet, const char *policy) {
  for (int i = 0; i < POLICY_ATTEMPTS; i++) {
    host *controller = fleet->controller[i % fleet->controllers];
    if (put_policy_once(fleet, controller, policy, i == POLICY_ATTEMPTS - 1))
      return true;
    sim_run(fleet->sim, time_from_ms(POLICY_RETRY_MS));
  }
  return false;
}

/* adds a controller with the settings of the first */
static void add_controller(fleet *fleet) {
  char name[32], address[48];
  int number = fleet->controllers + 1;
  snprintf(name, sizeof name, "controller-%d", number);
  snprintf(address, sizeof address, "127.0.1.%d:7000", number);
  host *added = sim_add_host(fleet->sim, HOST_CONTROLLER, name, "mid", address);
  fleet->controller[fleet->controllers++] = added;
  added->settings = fleet->controller[0]->settings;
  added->settings.self = added->self;
  g_strlcpy(added->settings.address, added->addr, sizeof added->settings.address);
}

static void set_zone(host *host, id zone) {
  host->settings.zone = zone;
  host->zone = zone;
}

static fleet *new_fleet(const day *day, uint64_t seed, bool verbose) {
  fleet *fleet = fleet_new(seed, day->gateways, 0);
  fleet->sim->log_to_stderr = verbose;
  for (int i = 0; i < DAY_ZONES_MAX; i++)
    fleet->zones[i] = day->zones[i % day->zone_count];
  while (fleet->controllers < day->controllers)
    add_controller(fleet);
  for (int i = 0; i < fleet->controllers; i++) {
    host *controller = fleet->controller[i];
    set_zone(controller, fleet->zones[i % DAY_ZONES_MAX]);
    controller->settings.chain_members = fleet->controllers;
    controller->settings.write_replicas = fleet->controllers / 2 + 1;
  }
  for (int i = 0; i < fleet->routers; i++)
    set_zone(fleet->router[i], fleet->zones[i % DAY_ZONES_MAX]);
  return fleet;
}

static void add_deployment(day_run *run, uint64_t seed) {
  deployment *deployment = deployment_new_empty(run->fleet);
  run->deployment = deployment;
  deployment->context = run;
  deployment->add_client_kinds = day_config_add_client_kinds;
  deployment->write_config = day_config_text;
  day_config_add_engines(run);
  deployment_add_clients(deployment);
  deployment->client_host->random_state = seed * CLIENT_SEED_FACTOR + 1;
}

static void run_until(sim *sim, time_us at) {
  if (at.us > sim->now.us)
    sim_run(sim, time_sub(at, sim->now));
}

/* runs the traffic and all faults. New requests stop at the end of the day; faults that have begun
 * by then still end after it */
static void run_traffic(day_run *run, time_us from) {
  deployment *deployment = run->deployment;
  sim *sim = run->fleet->sim;
  double day_s = run->day->seconds, end_s = day_s, at_s;
  bool is_end;
  deployment_start_traffic(deployment, run->day->rate_factor);
  while (!isnan(at_s = day_inject_next_at(run, &is_end))) {
    bool is_after_day = at_s > day_s;
    if (is_after_day && !is_end)
      break;
    if (is_after_day) {
      deployment->client->stop = true;
      end_s = MAX(end_s, at_s);
    }
    run_until(sim, time_add(from, time_from_s(at_s)));
    day_inject_next(run);
  }
  run_until(sim, time_add(from, time_from_s(end_s)));
  deployment_finish_traffic(deployment);
}

static void check_rules(day_run *run) {
  operator_sim *operator= run->deployment->operator;
  operator_sim_read(operator);
  sim_run(run->fleet->sim, time_from_ms(SETTLE_MS));
  if (!operator->read_at.us)
    fleet_add_violation(run->fleet, "CONFIG the configuration could not be read back");
  gateway_check_all(run->deployment);
}

static void play(day_run *run, day_result *result) {
  sim *sim = run->fleet->sim;
  sim_run(sim, time_from_ms(WARM_UP_MS));
  time_us from = sim->now;
  uint64_t messages_before = sim->messages_sent, bytes_before = sim->bytes_sent;
  run_traffic(run, from);
  check_rules(run);
  day_result_collect(result, run->day, run->deployment, from);
  result->messages = sim->messages_sent - messages_before;
  result->bytes = sim->bytes_sent - bytes_before;
  result->virtual_s = (double)(sim->now.us - from.us) / 1e6;
}

static void init_result(day_result *result, const day *day, uint64_t seed) {
  memset(result, 0, sizeof *result);
  result->seed = seed;
  json *policy = json_parse(string_view_of(day->policy), NULL);
  const char *eviction = json_text(policy, "eviction", "cremebrulee");
  g_strlcpy(result->eviction, eviction, sizeof result->eviction);
  json_free(policy);
}

bool day_play(const day *day, uint64_t seed, bool verbose, day_result *result) {
  init_result(result, day, seed);
  double cpu_before_s = cpu_now_s();
  day_run run = { .day = day, .fleet = new_fleet(day, seed, verbose), .config_version = 1 };
  day_inject_init(&run);
  add_deployment(&run, seed);
  bool is_up = deployment_bring_up(run.deployment) && put_policy(run.fleet, day->policy);
  if (is_up)
    play(&run, result);
  else
    fleet_add_violation(run.fleet, "the fleet did not come up");
  result->violations = g_strdup(run.fleet->violations->str);
  deployment_free(run.deployment);
  day_inject_clear(&run);
  fleet_free(run.fleet);
  result->cpu_s = cpu_now_s() - cpu_before_s;
  return is_up;
}
