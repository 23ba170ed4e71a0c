/** Tests of the checkers in emulator/check.c: a checker that cannot fail proves nothing, so each is
 * shown a violation that was put into the records of a finished run. Fleet: four routers, five
 * engines.
 */
#include "scenario.h"
#include "tests.h"
#include <stdio.h>

/* a checker that cannot fail proves nothing: each is shown a violation that was seeded for it */
static bool showed(fleet *fleet, const char *what) {
  bool yes = strstr(fleet->faults->str, what) != NULL;
  if (!yes)
    fprintf(stderr, "  the checker of %s saw nothing\n", what);
  return yes;
}

static bool checkers_can_fail(fleet *fleet) {
  if (!fleet_up(fleet))
    return false;
  check_watch(fleet);
  fleet_traffic(fleet, 12, time_from_ms(25000));
  fleet_quiet(fleet);
  if (!check_all(fleet))
    return false;
  engine_sim *engine = fleet->engine[0]->engine;
  loadgen_request *done = NULL;
  for (guint i = 0; i < fleet->callers->loadgen->requests->len; i++) {
    loadgen_request *request = fleet->callers->loadgen->requests->pdata[i];
    if (request->how == OUTCOME_DONE && !request->resumable)
      done = request;
  }
  int shown = 0;
  engine_sim_stream twice = { .how = 'd' };
  g_strlcpy(twice.tag, done->tag, sizeof twice.tag);
  g_array_append_val(engine->streams, twice);
  check_runs(fleet);
  shown += showed(fleet, "R1");
  g_string_truncate(fleet->faults, 0);
  g_array_set_size(engine->streams, engine->streams->len - 1);
  loadgen_attempt *attempt = NULL;
  for (guint i = 0; i < fleet->callers->loadgen->log->len; i++)
    if (g_array_index(fleet->callers->loadgen->log, loadgen_attempt, i).request == done)
      attempt = &g_array_index(fleet->callers->loadgen->log, loadgen_attempt, i);
  attempt->how = OUTCOME_NOT_RUN;
  check_runs(fleet);
  shown += showed(fleet, "R2");
  g_string_truncate(fleet->faults, 0);
  attempt->how = OUTCOME_DONE;
  done->how = OUTCOME_WRONG;
  check_runs(fleet);
  shown += showed(fleet, "R3");
  g_string_truncate(fleet->faults, 0);
  done->how = OUTCOME_DONE;
  note *mark = g_new0(note, 1);
  *mark = (note){ .at = { 1 }, .status = 200, .mark = 420, .version = 9 };
  g_ptr_array_add(fleet->notes, mark);
  probe pr = { .sent = fleet->sim->now, .at = fleet->sim->now, .status = 200 };
  g_array_append_val(fleet->probes, pr);
  check_marks(fleet);
  shown += showed(fleet, "R4");
  g_string_truncate(fleet->faults, 0);
  mark->mark = 0;
  ack a = { 1000000, RESOURCE_POLICY, fleet->sim->now };
  g_array_append_val(fleet->acks, a);
  acked_stand(fleet);
  shown += showed(fleet, "R5");
  g_string_truncate(fleet->faults, 0);
  g_array_set_size(fleet->acks, fleet->acks->len - 1);
  int busy = 0;
  for (int i = 0; i < fleet->engines; i++)
    if (fleet->engine[i]->engine->streams->len)
      busy = i;
  platform_sim_change mk = { { 0 }, fleet->engine[busy]->self, true, false };
  g_array_append_val(fleet->platform->platform->marks, mk);
  check_leaving(fleet);
  shown += showed(fleet, "R6");
  g_string_truncate(fleet->faults, 0);
  g_array_set_size(fleet->platform->platform->marks, 0);
  note nt = { .at = { 1 },
              .status = 200,
              .which = RESOURCE_EVACUATION,
              .version = 1,
              .text = g_strdup_printf("{\"areas\":[{\"area\":\"%s\"}]}",
                                      fleet->engine[busy]->area.text) };
  g_ptr_array_add(fleet->notes, g_memdup2(&nt, sizeof nt));
  check_emptied(fleet);
  shown += showed(fleet, "R7");
  g_string_truncate(fleet->faults, 0);
  ((note *)fleet->notes->pdata[fleet->notes->len - 1])->which = -1;
  engine_sim_order o = {
    .at = fleet->sim->now, .what = 'u', .holder = id_of_text("nobody"), .epoch = 0
  };
  g_array_append_val(fleet->engine[busy]->engine->orders, o);
  check_orders(fleet);
  shown += showed(fleet, "R8");
  g_string_truncate(fleet->faults, 0);
  g_array_set_size(fleet->engine[busy]->engine->orders,
                   fleet->engine[busy]->engine->orders->len - 1);
  engine->past = 1;
  check_room(fleet);
  shown += showed(fleet, "R9");
  g_string_truncate(fleet->faults, 0);
  engine->past = 0;
  o = (engine_sim_order){ .at = fleet->sim->now, .what = 'l' };
  guint n = engine->orders->len;
  for (int i = 0; i < 9; i++)
    g_array_append_val(engine->orders, o);
  check_pace(fleet);
  shown += showed(fleet, "R10");
  g_string_truncate(fleet->faults, 0);
  g_array_set_size(engine->orders, n);
  engine_sim_refusal no = { .at = fleet->sim->now };
  g_strlcpy(no.tag, done->tag, sizeof no.tag);
  for (int i = 0; i < 100; i++)
    g_array_append_val(engine->refusals, no);
  check_seconds(fleet);
  shown += showed(fleet, "R11");
  g_string_truncate(fleet->faults, 0);
  g_array_set_size(engine->refusals, engine->refusals->len - 100);
  time_us loss = time_sub(fleet->sim->now, time_from_ms(19000));
  for (guint i = 0; i < fleet->callers->loadgen->requests->len; i++) {
    loadgen_request *request = fleet->callers->loadgen->requests->pdata[i];
    if (request->from.us > loss.us + 12000000)
      request->how = OUTCOME_NOT_RUN;
  }
  check_back(fleet, loss, fleet->sim->now);
  shown += showed(fleet, "R12");
  g_string_truncate(fleet->faults, 0);
  if (shown != 12)
    violation(fleet, "only %d of 12 checkers saw what was seeded", shown);
  return shown == 12;
}

const test_case check_tests[] = { { "checkers_can_fail", checkers_can_fail, 4, 5, 20 },
                                  { NULL, NULL, 0, 0, 0 } };
