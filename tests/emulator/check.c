/** Tests of the checkers in emulator/fleet_check*.c. Guards against a checker that never reports
 * anything: a violation of each rule is put into the records of a finished run, and its checker has
 * to report it. Fleet: four routers, five engines.
 */
#include "recovery.h"
#include "scenario.h"
#include "tests.h"
#include <stdio.h>

/* a finished run, and the records into which the violations are put */
typedef struct finished_run {
  fleet *fleet;
  /* an engine of the fleet, and one that ran streams */
  engine_sim *engine;
  host *busy_engine;
  /* a request that was completed and cannot be resumed, and its last attempt */
  loadgen_request *request;
  loadgen_attempt *attempt;
} finished_run;

/* whether the checker of a rule has recorded a violation; clears the recorded violations */
static bool violation_reported(fleet *fleet, const char *rule) {
  bool detected = strstr(fleet->violations->str, rule) != NULL;
  if (!detected)
    fprintf(stderr, "  the checker of %s reported no violation\n", rule);
  g_string_truncate(fleet->violations, 0);
  return detected;
}

static loadgen_request *completed_request(const fleet *fleet) {
  const GPtrArray *requests = fleet->callers->loadgen->requests;
  loadgen_request *completed = NULL;
  for (guint i = 0; i < requests->len; i++) {
    loadgen_request *request = requests->pdata[i];
    if (request->outcome == OUTCOME_DONE && !request->resumable)
      completed = request;
  }
  return completed;
}

static loadgen_attempt *last_attempt(const fleet *fleet, const loadgen_request *request) {
  GArray *log = fleet->callers->loadgen->attempts;
  loadgen_attempt *last = NULL;
  for (guint i = 0; i < log->len; i++) {
    loadgen_attempt *attempt = &g_array_index(log, loadgen_attempt, i);
    if (attempt->request == request)
      last = attempt;
  }
  return last;
}

static host *engine_with_streams(const fleet *fleet) {
  int busy = 0;
  for (int i = 0; i < fleet->engines; i++)
    if (fleet->engine[i]->engine->streams->len)
      busy = i;
  return fleet->engine[busy];
}

/* R1: a request that cannot be resumed runs twice */
static bool detects_second_run(finished_run *run) {
  engine_sim_stream second = { .outcome = 'd' };
  g_strlcpy(second.tag, run->request->tag, sizeof second.tag);
  g_array_append_val(run->engine->streams, second);
  fleet_check_runs(run->fleet);
  g_array_set_size(run->engine->streams, run->engine->streams->len - 1);
  return violation_reported(run->fleet, "R1");
}

/* R2: an attempt that ran is reported as not run */
static bool detects_false_refusal(finished_run *run) {
  run->attempt->outcome = OUTCOME_NOT_RUN;
  fleet_check_runs(run->fleet);
  run->attempt->outcome = OUTCOME_DONE;
  return violation_reported(run->fleet, "R2");
}

/* R3: a caller got the response to another caller's request */
static bool detects_wrong_response(finished_run *run) {
  run->request->outcome = OUTCOME_WRONG;
  fleet_check_runs(run->fleet);
  run->request->outcome = OUTCOME_DONE;
  return violation_reported(run->fleet, "R3");
}

/* R4: a policy marker was acknowledged long ago, and a router still applies an older policy */
static bool detects_old_policy(finished_run *run) {
  fleet *fleet = run->fleet;
  operator_write *marker = g_new0(operator_write, 1);
  *marker =
      (operator_write){ .ended_at = { 1 }, .status = 200, .marker_status = 420, .version = 9 };
  g_ptr_array_add(fleet->writes, marker);
  policy_probe probe = { .sent_at = fleet->sim->now,
                         .received_at = fleet->sim->now,
                         .status = 200 };
  g_array_append_val(fleet->probes, probe);
  fleet_check_policy_markers(fleet);
  marker->marker_status = 0;
  return violation_reported(fleet, "R4");
}

/* R5: a write was acknowledged that no replica has */
static bool detects_lost_write(finished_run *run) {
  fleet *fleet = run->fleet;
  write_ack lost = { 1000000, RESOURCE_POLICY, fleet->sim->now };
  g_array_append_val(fleet->write_acks, lost);
  scenario_check_acknowledged_writes(fleet);
  g_array_set_size(fleet->write_acks, fleet->write_acks->len - 1);
  return violation_reported(fleet, "R5");
}

/* R6: an engine with streams was draining from the start */
static bool detects_work_on_draining_engine(finished_run *run) {
  fleet *fleet = run->fleet;
  platform_sim_change draining = { { 0 }, run->busy_engine->self, true, false };
  g_array_append_val(fleet->platform->platform->changes, draining);
  fleet_check_draining(fleet);
  g_array_set_size(fleet->platform->platform->changes, 0);
  return violation_reported(fleet, "R6");
}

/* R7: the zone of an engine with streams was evacuated from the start */
static bool detects_work_in_evacuated_zone(finished_run *run) {
  fleet *fleet = run->fleet;
  operator_write *evacuation = g_new0(operator_write, 1);
  *evacuation = (operator_write){ .ended_at = { 1 },
                                  .status = 200,
                                  .resource = RESOURCE_EVACUATION,
                                  .version = 1,
                                  .text = g_strdup_printf("{\"areas\":[{\"area\":\"%s\"}]}",
                                                          run->busy_engine->zone.text) };
  g_ptr_array_add(fleet->writes, evacuation);
  fleet_check_evacuated(fleet);
  evacuation->resource = -1;
  return violation_reported(fleet, "R7");
}

/* R8: an order of a process that holds no lease on the engine */
static bool detects_foreign_order(finished_run *run) {
  GArray *orders = run->busy_engine->engine->orders;
  engine_sim_order foreign = {
    .received_at = run->fleet->sim->now, .kind = 'u', .holder = id_of_text("nobody"), .epoch = 0
  };
  g_array_append_val(orders, foreign);
  fleet_check_lease_succession(run->fleet);
  g_array_set_size(orders, orders->len - 1);
  return violation_reported(run->fleet, "R8");
}

/* R9: an order exceeded the capacity of an engine */
static bool detects_overrun_capacity(finished_run *run) {
  run->engine->over_capacity_orders = 1;
  fleet_check_capacity(run->fleet);
  run->engine->over_capacity_orders = 0;
  return violation_reported(run->fleet, "R9");
}

/* R10: nine loads were ordered at one instant */
static bool detects_loads_above_rate(finished_run *run) {
  GArray *orders = run->engine->orders;
  guint before = orders->len;
  engine_sim_order load = { .received_at = run->fleet->sim->now, .kind = 'l' };
  for (int i = 0; i < 9; i++)
    g_array_append_val(orders, load);
  fleet_check_load_rate(run->fleet);
  g_array_set_size(orders, before);
  return violation_reported(run->fleet, "R10");
}

/* R11: one request was retried a hundred times */
static bool detects_many_retries(finished_run *run) {
  GArray *refusals = run->engine->refusals;
  guint before = refusals->len;
  engine_sim_refusal refusal = { .refused_at = run->fleet->sim->now };
  g_strlcpy(refusal.tag, run->request->tag, sizeof refusal.tag);
  for (int i = 0; i < 100; i++)
    g_array_append_val(refusals, refusal);
  fleet_check_retries(run->fleet);
  g_array_set_size(refusals, before);
  return violation_reported(run->fleet, "R11");
}

/* R12: no request is served from 12 s after a loss on; runs last, because it leaves the records
 * changed */
static bool detects_slow_recovery(finished_run *run) {
  fleet *fleet = run->fleet;
  time_us loss_at = time_sub(fleet->sim->now, time_from_ms(19000));
  time_us recovered_at = time_add(loss_at, time_from_ms(RECOVERY_LIMIT_MS));
  const GPtrArray *requests = fleet->callers->loadgen->requests;
  for (guint i = 0; i < requests->len; i++) {
    loadgen_request *request = requests->pdata[i];
    if (request->started_at.us > recovered_at.us)
      request->outcome = OUTCOME_NOT_RUN;
  }
  fleet_check_recovery(fleet, loss_at, fleet->sim->now);
  return violation_reported(fleet, "R12");
}

static bool fleet_checkers_can_fail(fleet *fleet) {
  static bool (*const checks[])(finished_run * run) = {
    detects_second_run,
    detects_false_refusal,
    detects_wrong_response,
    detects_old_policy,
    detects_lost_write,
    detects_work_on_draining_engine,
    detects_work_in_evacuated_zone,
    detects_foreign_order,
    detects_overrun_capacity,
    detects_loads_above_rate,
    detects_many_retries,
    detects_slow_recovery,
  };
  enum { RULES = 12 };
  _Static_assert(G_N_ELEMENTS(checks) == RULES, "one violation for each rule");
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  fleet_run_traffic(fleet, 12, time_from_ms(25000));
  fleet_finish_traffic(fleet);
  if (!fleet_check_all(fleet))
    return false;
  finished_run run = { .fleet = fleet,
                       .engine = fleet->engine[0]->engine,
                       .busy_engine = engine_with_streams(fleet),
                       .request = completed_request(fleet) };
  run.attempt = last_attempt(fleet, run.request);
  int detected = 0;
  for (size_t i = 0; i < G_N_ELEMENTS(checks); i++)
    detected += checks[i](&run);
  if (detected != RULES)
    fleet_add_violation(fleet, "only %d of %d checkers reported the violation", detected, RULES);
  return detected == RULES;
}

const test_case check_tests[] = { { "fleet_checkers_can_fail", fleet_checkers_can_fail, 4, 5, 20 },
                                  { NULL, NULL, 0, 0, 0 } };
