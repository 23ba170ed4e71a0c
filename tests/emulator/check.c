/** Tests of the checkers in emulator/check.c: a checker that cannot fail proves nothing, so each is
 * shown a violation that was put into the records of a finished run. Fleet: four routers, five
 * engines.
 */
#include "recovery.h"
#include "scenario.h"
#include "tests.h"
#include <stdio.h>

/* a finished run, and what of its records the violations are put into */
typedef struct finished_run {
  fleet *fleet;
  /* an engine of the fleet, and one that ran streams */
  engine_sim *engine;
  host *busy_engine;
  /* a request that was answered and can not be resumed, and its last attempt */
  loadgen_request *request;
  loadgen_attempt *attempt;
} finished_run;

/* whether the checker of a rule has noted a violation; forgets what was noted */
static bool was_seen(fleet *fleet, const char *rule) {
  bool seen = strstr(fleet->faults->str, rule) != NULL;
  if (!seen)
    fprintf(stderr, "  the checker of %s saw nothing\n", rule);
  g_string_truncate(fleet->faults, 0);
  return seen;
}

static loadgen_request *answered_request(const fleet *fleet) {
  const GPtrArray *requests = fleet->callers->loadgen->requests;
  loadgen_request *answered = NULL;
  for (guint i = 0; i < requests->len; i++) {
    loadgen_request *request = requests->pdata[i];
    if (request->how == OUTCOME_DONE && !request->resumable)
      answered = request;
  }
  return answered;
}

static loadgen_attempt *last_attempt(const fleet *fleet, const loadgen_request *request) {
  GArray *log = fleet->callers->loadgen->log;
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

/* R1: a request that can not be resumed runs twice */
static bool sees_second_run(finished_run *run) {
  engine_sim_stream second = { .how = 'd' };
  g_strlcpy(second.tag, run->request->tag, sizeof second.tag);
  g_array_append_val(run->engine->streams, second);
  check_runs(run->fleet);
  g_array_set_size(run->engine->streams, run->engine->streams->len - 1);
  return was_seen(run->fleet, "R1");
}

/* R2: an attempt that ran is reported as not run */
static bool sees_false_refusal(finished_run *run) {
  run->attempt->how = OUTCOME_NOT_RUN;
  check_runs(run->fleet);
  run->attempt->how = OUTCOME_DONE;
  return was_seen(run->fleet, "R2");
}

/* R3: a caller got another one's answer */
static bool sees_wrong_answer(finished_run *run) {
  run->request->how = OUTCOME_WRONG;
  check_runs(run->fleet);
  run->request->how = OUTCOME_DONE;
  return was_seen(run->fleet, "R3");
}

/* R4: a marker was acknowledged long ago, and a router answers by an older policy */
static bool sees_old_policy(finished_run *run) {
  fleet *fleet = run->fleet;
  note *marker = g_new0(note, 1);
  *marker = (note){ .at = { 1 }, .status = 200, .mark = 420, .version = 9 };
  g_ptr_array_add(fleet->notes, marker);
  probe answer = { .sent = fleet->sim->now, .at = fleet->sim->now, .status = 200 };
  g_array_append_val(fleet->probes, answer);
  check_marks(fleet);
  marker->mark = 0;
  return was_seen(fleet, "R4");
}

/* R5: a write was acknowledged that no replica has */
static bool sees_lost_write(finished_run *run) {
  fleet *fleet = run->fleet;
  ack lost = { 1000000, RESOURCE_POLICY, fleet->sim->now };
  g_array_append_val(fleet->acks, lost);
  scenario_check_acknowledged_writes(fleet);
  g_array_set_size(fleet->acks, fleet->acks->len - 1);
  return was_seen(fleet, "R5");
}

/* R6: an engine with streams was draining from the start */
static bool sees_work_on_draining_engine(finished_run *run) {
  fleet *fleet = run->fleet;
  platform_sim_change draining = { { 0 }, run->busy_engine->self, true, false };
  g_array_append_val(fleet->platform->platform->marks, draining);
  check_leaving(fleet);
  g_array_set_size(fleet->platform->platform->marks, 0);
  return was_seen(fleet, "R6");
}

/* R7: the zone of an engine with streams was evacuated from the start */
static bool sees_work_in_evacuated_zone(finished_run *run) {
  fleet *fleet = run->fleet;
  note *evacuation = g_new0(note, 1);
  *evacuation = (note){ .at = { 1 },
                        .status = 200,
                        .which = RESOURCE_EVACUATION,
                        .version = 1,
                        .text = g_strdup_printf("{\"areas\":[{\"area\":\"%s\"}]}",
                                                run->busy_engine->area.text) };
  g_ptr_array_add(fleet->notes, evacuation);
  check_emptied(fleet);
  evacuation->which = -1;
  return was_seen(fleet, "R7");
}

/* R8: an order of a process that holds no lease on the engine */
static bool sees_foreign_order(finished_run *run) {
  GArray *orders = run->busy_engine->engine->orders;
  engine_sim_order foreign = {
    .at = run->fleet->sim->now, .what = 'u', .holder = id_of_text("nobody"), .epoch = 0
  };
  g_array_append_val(orders, foreign);
  check_orders(run->fleet);
  g_array_set_size(orders, orders->len - 1);
  return was_seen(run->fleet, "R8");
}

/* R9: an order went past the capacity of an engine */
static bool sees_overrun_capacity(finished_run *run) {
  run->engine->past = 1;
  check_room(run->fleet);
  run->engine->past = 0;
  return was_seen(run->fleet, "R9");
}

/* R10: nine loads at one instant */
static bool sees_loads_above_rate(finished_run *run) {
  GArray *orders = run->engine->orders;
  guint before = orders->len;
  engine_sim_order load = { .at = run->fleet->sim->now, .what = 'l' };
  for (int i = 0; i < 9; i++)
    g_array_append_val(orders, load);
  check_pace(run->fleet);
  g_array_set_size(orders, before);
  return was_seen(run->fleet, "R10");
}

/* R11: a hundred retries of one request */
static bool sees_many_retries(finished_run *run) {
  GArray *refusals = run->engine->refusals;
  guint before = refusals->len;
  engine_sim_refusal refusal = { .at = run->fleet->sim->now };
  g_strlcpy(refusal.tag, run->request->tag, sizeof refusal.tag);
  for (int i = 0; i < 100; i++)
    g_array_append_val(refusals, refusal);
  check_seconds(run->fleet);
  g_array_set_size(refusals, before);
  return was_seen(run->fleet, "R11");
}

/* R12: nobody is served from 12 s after a loss; the last one, since it leaves the records changed
 */
static bool sees_slow_recovery(finished_run *run) {
  fleet *fleet = run->fleet;
  time_us loss_at = time_sub(fleet->sim->now, time_from_ms(19000));
  time_us recovered_at = time_add(loss_at, time_from_ms(RECOVERY_LIMIT_MS));
  const GPtrArray *requests = fleet->callers->loadgen->requests;
  for (guint i = 0; i < requests->len; i++) {
    loadgen_request *request = requests->pdata[i];
    if (request->from.us > recovered_at.us)
      request->how = OUTCOME_NOT_RUN;
  }
  check_back(fleet, loss_at, fleet->sim->now);
  return was_seen(fleet, "R12");
}

static bool checkers_can_fail(fleet *fleet) {
  static bool (*const seeded[])(finished_run * run) = {
    sees_second_run,
    sees_false_refusal,
    sees_wrong_answer,
    sees_old_policy,
    sees_lost_write,
    sees_work_on_draining_engine,
    sees_work_in_evacuated_zone,
    sees_foreign_order,
    sees_overrun_capacity,
    sees_loads_above_rate,
    sees_many_retries,
    sees_slow_recovery,
  };
  enum { RULES = 12 };
  _Static_assert(G_N_ELEMENTS(seeded) == RULES, "one violation for each rule");
  if (!fleet_up(fleet))
    return false;
  check_watch(fleet);
  fleet_traffic(fleet, 12, time_from_ms(25000));
  fleet_quiet(fleet);
  if (!check_all(fleet))
    return false;
  finished_run run = { .fleet = fleet,
                       .engine = fleet->engine[0]->engine,
                       .busy_engine = engine_with_streams(fleet),
                       .request = answered_request(fleet) };
  run.attempt = last_attempt(fleet, run.request);
  int seen = 0;
  for (size_t i = 0; i < G_N_ELEMENTS(seeded); i++)
    seen += seeded[i](&run);
  if (seen != RULES)
    violation(fleet, "only %d of %d checkers saw what was seeded", seen, RULES);
  return seen == RULES;
}

const test_case check_tests[] = { { "checkers_can_fail", checkers_can_fail, 4, 5, 20 },
                                  { NULL, NULL, 0, 0, 0 } };
