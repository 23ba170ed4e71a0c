/** Tests of lib/router/generate_api.c: streams when engines crash or send wrong reports, when
 * callers disconnect or read slowly, load shedding, and invalid requests. Fleet: two to five
 * routers and two to six engines. */
#include "scenario.h"
#include "tests.h"
#include <stdio.h>

static bool engines_crash_in_the_middle(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  fleet->callers->loadgen->plan.tokens = 80;
  scenario_start_traffic(fleet, 10);
  for (int i = 0; i < 8; i++) {
    sim_run(fleet->sim, time_from_ms(3000));
    host *host = fleet->engine[sim_random(fleet->sim, fleet->engines)];
    if (!host->alive) {
      host_start(host);
      continue;
    }
    switch (sim_random(fleet->sim, 4)) {
    case 0:
      host_kill(host);
      break;
    case 1:
      host_power_off(host);
      break;
    case 2:
      host->engine->faults.break_after = 3;
      break;
    case 3:
      host_freeze(host);
      sim_run(fleet->sim, time_from_ms(4000));
      host_unfreeze(host);
      break;
    }
  }
  sim_run(fleet->sim, time_from_ms(3000));
  fleet_finish_traffic(fleet);
  if (!loadgen_count(fleet->callers->loadgen, OUTCOME_BROKEN))
    fleet_add_violation(fleet, "no stream broke, so the test exercised nothing");
  return true;
}

static bool engines_report_wrongly(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  scenario_start_traffic(fleet, 8);
  sim_run(fleet->sim, time_from_ms(8000));
  fleet->engine[0]->engine->faults.wrong_attempt_echo = true;
  fleet->engine[1]->engine->faults.stale_reports = true;
  platform_sim_engine twin =
      g_array_index(fleet->platform->platform->engines, platform_sim_engine, 2);
  g_strlcpy(twin.addr, fleet->engine[3]->addr, sizeof twin.addr);
  g_array_append_val(fleet->platform->platform->engines, twin);
  sim_run(fleet->sim, time_from_ms(12000));
  fleet_finish_traffic(fleet);
  return loadgen_count(fleet->callers->loadgen, OUTCOME_DONE) > 0;
}

static bool a_burst_is_shed(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  fleet->callers->loadgen->plan.tokens = 60;
  scenario_start_traffic(fleet, 10);
  sim_run(fleet->sim, time_from_ms(8000));
  fleet->callers->loadgen->stop = true;
  sim_run(fleet->sim, time_from_ms(500));
  scenario_start_traffic(fleet, 250);
  sim_run(fleet->sim, time_from_ms(8000));
  fleet->callers->loadgen->stop = true;
  fleet_finish_traffic(fleet);
  /* shed requests are refused immediately, and the small kind with the high weight is not
     starved */
  int sent[3] = { 0 }, done[3] = { 0 };
  GPtrArray *all = fleet->callers->loadgen->requests;
  for (guint i = 0; i < all->len; i++) {
    loadgen_request *request = all->pdata[i];
    int kind = !strcmp(request->kind.text, "live")    ? 0
               : !strcmp(request->kind.text, "short") ? 1
                                                      : 2;
    sent[kind]++;
    done[kind] += request->outcome == OUTCOME_DONE;
    if (request->code == E_QUEUE_FULL || request->code == E_LOAD_SHED)
      if (time_sub(request->ended_at, request->started_at).us > 200000) {
        fleet_add_violation(fleet, "a request was shed only after %.1f s",
                            (double)time_sub(request->ended_at, request->started_at).us / 1e6);
        break;
      }
  }
  if (g_getenv("SIM_COUNT")) {
    GString *json = g_string_new(NULL);
    loadgen_json(fleet->callers->loadgen, json);
    fprintf(stderr, "  live %d/%d short %d/%d deferred %d/%d %s", done[0], sent[0], done[1],
            sent[1], done[2], sent[2], json->str);
    g_string_free(json, TRUE);
  }
  if ((double)done[2] / sent[2] < 0.7 * (double)done[0] / sent[0])
    fleet_add_violation(fleet, "the kind with the high weight starves: %d of %d, live %d of %d",
                        done[2], sent[2], done[0], sent[0]);
  return done[0] > 0;
}

static bool callers_disconnect(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  fleet->callers->loadgen->plan.leave_ratio = 0.6;
  fleet->callers->loadgen->plan.tokens = 150;
  scenario_start_traffic(fleet, 6);
  sim_run(fleet->sim, time_from_ms(15000));
  fleet_finish_traffic(fleet);
  sim_run(fleet->sim, time_from_ms(3000));
  uint64_t cut = 0;
  for (int i = 0; i < fleet->engines; i++) {
    cut += fleet->engine[i]->engine->cut_streams;
    if (fleet->engine[i]->engine->running)
      fleet_add_violation(fleet, "%s continues to run a stream of a caller that disconnected",
                          fleet->engine[i]->self.text);
  }
  if (!cut)
    fleet_add_violation(fleet, "no engine noticed that its caller disconnected");
  for (int i = 0; i < fleet->routers; i++)
    if (fleet->router[i]->router->open_requests)
      fleet_add_violation(fleet, "%s still counts %d open requests", fleet->router[i]->self.text,
                          fleet->router[i]->router->open_requests);
  return true;
}

static bool callers_read_slowly(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  for (int i = 0; i < fleet->engines; i++)
    fleet->engine[i]->engine->faults.token_ms = 1;
  fleet->callers->reads_slowly = true;
  for (int i = 0; i < 4; i++)
    loadgen_send(fleet->callers->loadgen, fleet->router[i % fleet->routers]->addr, id_of_text("m0"),
                 id_of_text(""), id_of_text("live"), 12000, false);
  sim_run(fleet->sim, time_from_ms(45000));
  int running = 0;
  for (int i = 0; i < fleet->engines; i++)
    running += fleet->engine[i]->engine->running;
  if (running)
    fleet_add_violation(fleet, "%d streams continue to run for callers that do not read", running);
  fleet->callers->reads_slowly = false;
  fleet_finish_traffic(fleet);
  if (loadgen_count(fleet->callers->loadgen, OUTCOME_DONE))
    fleet_add_violation(fleet, "a stream that was cut off appears complete");
  return true;
}

static bool warming_engines_get_few_streams(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  fleet->callers->loadgen->plan.zipf_exponent = 3;
  fleet->callers->loadgen->plan.adapter_ratio = 0;
  fleet->callers->loadgen->plan.tokens = 100;
  scenario_start_traffic(fleet, 12);
  sim_run(fleet->sim, time_from_ms(15000));
  /* the engine that runs the most streams is restarted and must not receive too many streams while
     it warms up */
  int busiest = 0;
  for (int i = 0; i < fleet->engines; i++)
    if (fleet->engine[i]->engine->streams->len > fleet->engine[busiest]->engine->streams->len)
      busiest = i;
  host *host = fleet->engine[busiest];
  host_kill(host);
  sim_run(fleet->sim, time_from_ms(300));
  host_start(host);
  int max_running = 0;
  for (int i = 0; i < 20; i++) {
    sim_run(fleet->sim, time_from_ms(50));
    max_running = MAX(max_running, host->engine->running);
  }
  /* slow start of 5 s to 16 streams: at most a fifth in the first second, plus one stream per
   * router that the other routers may not know of yet */
  if (max_running > 4 + fleet->routers)
    fleet_add_violation(fleet, "R11 a cold engine ran %d streams within its first second",
                        max_running);
  sim_run(fleet->sim, time_from_ms(5000));
  fleet_finish_traffic(fleet);
  return true;
}

static bool a_run_is_lost_and_the_next_is_refused(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  loadgen_send(fleet->callers->loadgen, fleet->router[0]->addr, id_of_text("m0"), id_of_text(""),
               id_of_text("live"), 4, false);
  fleet_finish_traffic(fleet);
  /* the engine that has the model loses a run; the other engine loads the model and then refuses
     requests */
  for (int i = 0; i < fleet->engines; i++) {
    engine_sim *engine = fleet->engine[i]->engine;
    if (engine->streams->len)
      engine->faults.unanswered_runs = 1;
    else
      engine->faults.streams_max = -1;
  }
  for (int i = 0; i < 6; i++) {
    loadgen_send(fleet->callers->loadgen, fleet->router[i % fleet->routers]->addr, id_of_text("m0"),
                 id_of_text(""), id_of_text("live"), 4, i % 3 != 1);
    sim_run(fleet->sim, time_from_ms(300));
  }
  fleet_finish_traffic(fleet);
  if (!loadgen_count(fleet->callers->loadgen, OUTCOME_UNKNOWN))
    fleet_add_violation(fleet, "no caller was told that the outcome of its run is unknown");
  return true;
}

static bool invalid_requests_are_refused(fleet *fleet) {
  static const struct {
    const char *text;
    int status, code;
  } invalid[] = { { "", 400, E_JSON },
                  { "[1]", 400, E_TYPE },
                  { "{\"model\":7}", 400, E_NAME },
                  { "{}", 400, E_FIELD },
                  { "{\"model\":\"none\"}", 404, E_UNKNOWN_MODEL },
                  { "{\"model\":\"m1\",\"adapter\":\"a0\"}", 404, E_UNKNOWN_MODEL },
                  { "{\"model\":\"m1\",\"kind\":\"none\"}", 400, E_NAME },
                  { "{\"model\":\"m 1\"}", 400, E_NAME },
                  { "{\"model\":\"m1\"", 400, E_JSON },
                  { "{\"model\":\"huge\"}", 422, E_NO_ENGINE_FITS } };
  if (!fleet_bring_up(fleet))
    return false;
  operator_call *call = fleet_call(
      fleet, fleet->controller[0], "PATCH", "/v1/catalogue",
      "{\"models\":[{\"id\":\"m0\",\"weightsMb\":100},{\"id\":\"m1\",\"weightsMb\":100},{\"id\":\"huge\",\"weightsMb\":900000}],\"adapters\":[{\"id\":\"a0\",\"model\":\"m0\"}]}",
      NULL, NULL, time_from_ms(5000));
  if (call->status != 200)
    fleet_add_violation(fleet, "patch got %d %s", call->status, call->body->str);
  operator_call_free(call);
  sim_run(fleet->sim, time_from_ms(2000));
  for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
    call = fleet_call(fleet, fleet->router[0], "POST", "/v1/generate", invalid[i].text, NULL, NULL,
                      time_from_ms(9000));
    json *json = json_parse(string_view_of_gstring(call->body), NULL);
    if (call->status != invalid[i].status || (int)json_number(json, "code", 0) != invalid[i].code)
      fleet_add_violation(fleet, "%s got %d, %s", invalid[i].text, call->status, call->body->str);
    json_free(json);
    operator_call_free(call);
  }
  return true;
}

const test_case generate_api_tests[] = {
  { "engines_crash_in_the_middle", engines_crash_in_the_middle, 5, 6, 100 },
  { "engines_report_wrongly", engines_report_wrongly, 4, 5, 50 },
  { "a_burst_is_shed", a_burst_is_shed, 5, 6, 50 },
  { "callers_disconnect", callers_disconnect, 4, 5, 50 },
  { "callers_read_slowly", callers_read_slowly, 3, 3, 34 },
  { "warming_engines_get_few_streams", warming_engines_get_few_streams, 4, 5, 50 },
  { "a_run_is_lost_and_the_next_is_refused", a_run_is_lost_and_the_next_is_refused, 3, 2, 100 },
  { "invalid_requests_are_refused", invalid_requests_are_refused, 2, 3, 20 },
  { NULL, NULL, 0, 0, 0 }
};
