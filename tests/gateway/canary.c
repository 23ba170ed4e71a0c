#include "canary_status.h"
#include "deployment.h"
#include "gateway_check.h"
#include "tests.h"
#include <stdio.h>
#include <stdlib.h>

/* Tests of canary trials of a selection policy: while a fleet of gateways has traffic and a trial
 * runs, faults and changes are injected. Each session must keep its policy, no request may run
 * twice or be dropped, and the trial must end when it should. */

static const char harmless[] = "{\"affinity\":0.9}";
/* refuses almost every request that would queue behind others, and allows almost no waiting */
static const char harmful[] =
    "{\"load\":0,\"affinity\":1000,\"area\":1000,\"lateShare\":0.05,\"holdPercent\":1}";

static char *trial_text(const char *name, double share, const char *candidate, double warm_up_s,
                        double max_duration_s, int min_requests) {
  return g_strdup_printf(
      "{\"name\":\"%s\",\"share\":%g,\"candidate\":%s,\"warmS\":%g,\"guard\":{\"least\":%d,\"mostS\":%g}}",
      name, share, candidate, warm_up_s, min_requests, max_duration_s);
}

/* many users who return now and then, so that new sessions start all the time */
static void start_busy_traffic(deployment *deployment, double rate) {
  deployment->client->users = 500;
  deployment_start_traffic(deployment, rate);
}

/* writes the canary resource through a random controller; returns the status, and checks that the
 * response contains an error code, if one is given */
static int write_canary(deployment *deployment, const char *verb, const char *text, int code) {
  operator_call *call = fleet_call(
      deployment->fleet,
      deployment->fleet
          ->controller[sim_random(deployment->sim, (uint64_t)deployment->fleet->controllers)],
      verb, "/v1/canary", text, NULL, NULL, time_from_ms(9000));
  int status = call->status;
  char want[24];
  snprintf(want, sizeof want, "\"code\":%d", code);
  if (code && !strstr(call->body->str, want))
    fleet_add_violation(deployment->fleet, "%s got %d %s, not code %d", verb, status,
                        call->body->str, code);
  operator_call_free(call);
  return status;
}

static bool begin_trial(deployment *deployment, const char *name, double share,
                        const char *candidate, double warm_up_s, double max_duration_s,
                        int min_requests) {
  char *t = trial_text(name, share, candidate, warm_up_s, max_duration_s, min_requests);
  int status = write_canary(deployment, "PUT", t, 0);
  g_free(t);
  if (status != 200)
    fleet_add_violation(deployment->fleet, "the trial %s was not accepted (%d)", name, status);
  return status == 200;
}

/* reads the canary resource from the controllers; the caller frees it */
static json *read_trial(deployment *deployment) {
  for (int i = 0; i < 20; i++) {
    operator_call *call = fleet_call(
        deployment->fleet,
        deployment->fleet
            ->controller[sim_random(deployment->sim, (uint64_t)deployment->fleet->controllers)],
        "GET", "/v1/canary", NULL, NULL, NULL, time_from_ms(3000));
    json *json = call->status == 200 ? json_parse(string_view_of_gstring(call->body), NULL) : NULL;
    operator_call_free(call);
    if (json)
      return json;
    sim_run(deployment->sim, time_from_ms(300));
  }
  fleet_add_violation(deployment->fleet, "the trial can't be read");
  return NULL;
}

static const char *verdict(const json *json) {
  return json_text(json_get(json_get(json, "value"), "end"), "verdict", "");
}

/* runs until the controllers have the end of the trial, or for a time; true when the verdict is the
 * expected one */
static bool wait_for_verdict(deployment *deployment, const char *want, int64_t ms, time_us *at) {
  time_us till = time_add(deployment->sim->now, time_from_ms(ms));
  char actual[24] = "";
  while (!actual[0] && !time_reached(deployment->sim->now, till)) {
    sim_run(deployment->sim, time_from_ms(250));
    json *json = read_trial(deployment);
    if (!json)
      return false;
    g_strlcpy(actual, verdict(json), sizeof actual);
    json_free(json);
  }
  *at = deployment->sim->now;
  if (strcmp(actual, want))
    fleet_add_violation(deployment->fleet, "the trial's verdict is \"%s\", not \"%s\"", actual,
                        want);
  return !strcmp(actual, want);
}

static int count_candidate_runs(deployment *deployment, time_us from, time_us till) {
  int n = 0;
  for (guint i = 0; i < deployment->log->runs->len; i++) {
    engine_run_record *run = deployment->log->runs->pdata[i];
    n += g_str_has_suffix(run->policy, " candidate") && run->received_at.us >= from.us &&
         run->received_at.us < till.us;
  }
  return n;
}

static deployment_process *judge_of(deployment *deployment) {
  for (int i = 0; i < deployment->fleet->routers; i++)
    if (deployment->gateway_processes[i]->gateway &&
        singleton_lease_epoch(deployment->fleet->router[i]->router, "canary"))
      return deployment->gateway_processes[i];
  return NULL;
}

static bool finish_trial(deployment *deployment, const char *trial, time_us ended, double least) {
  deployment_finish_traffic(deployment);
  gateway_check_trial_policies(deployment);
  if (ended.us) {
    gateway_check_trial_ended(deployment, trial, ended);
    gateway_check_dropped(deployment, ended);
  }
  return deployment_finish(deployment, least);
}

static bool no_trial_leaves_no_trace(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 4, 2);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  deployment_run_traffic(deployment, 1, 8000);
  for (guint i = 0; i < deployment->log->runs->len; i++)
    if (((engine_run_record *)deployment->log->runs->pdata[i])->policy[0]) {
      fleet_add_violation(fleet, "a run names a policy although there is no trial");
      break;
    }
  if (judge_of(deployment))
    fleet_add_violation(fleet, "a gateway holds the judge's lease without a trial");
  for (int i = 0; i < fleet->routers; i++)
    if (deployment->gateway_processes[i]->gateway->canary)
      fleet_add_violation(fleet, "there is a trial at %s", fleet->router[i]->self.text);
  return deployment_finish(deployment, 0.99);
}

static bool a_harmless_trial_runs_to_its_end(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 5, 2);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  start_busy_traffic(deployment, 1.2);
  time_us began = deployment->sim->now, at = { 0 };
  if (!begin_trial(deployment, "calm", 0.4, harmless, 4, 40, 30))
    return deployment_finish(deployment, 0);
  wait_for_verdict(deployment, "no harm", 60000, &at);
  if (time_sub(at, began).us < 39000000)
    fleet_add_violation(fleet, "the trial ended after %.1f s",
                        (double)time_sub(at, began).us / 1e6);
  int n = count_candidate_runs(deployment, began, at);
  if (n < 40)
    fleet_add_violation(fleet, "the candidate had only %d runs", n);
  sim_run(deployment->sim, time_from_ms(8000));
  if (judge_of(deployment))
    fleet_add_violation(fleet, "a judge is left after the trial");
  return finish_trial(deployment, "calm", at, 0.97);
}

static bool a_harmful_trial_is_ended_early(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 5, 2);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  /* long prompts, so that most requests have others ahead of them */
  deployment->chat->tokens_in = 1300;
  start_busy_traffic(deployment, 5);
  time_us at = { 0 };
  if (!begin_trial(deployment, "harm", 0.4, harmful, 4, 300, 20))
    return deployment_finish(deployment, 0);
  if (!wait_for_verdict(deployment, "harm", 120000, &at))
    return finish_trial(deployment, "harm", at, 0);
  json *value = read_trial(deployment);
  const json *u =
      json_get(json_get(json_get(json_get(value, "value"), "end"), "urgent"), "candidate");
  double n = json_number(u, "requests", 1e9);
  if (n > 200)
    fleet_add_violation(fleet, "%.0f urgent requests were served by a harmful candidate", n);
  json_free(value);
  sim_run(deployment->sim, time_from_ms(TRIAL_END_PROPAGATION_MS));
  time_us back = deployment->sim->now;
  sim_run(deployment->sim, time_from_ms(10000));
  deployment_finish_traffic(deployment);
  double served = deployment_served_ratio(deployment, deployment->chat, back, time_never());
  if (served < 0.9)
    fleet_add_violation(fleet, "after the trial only %.2f of the urgent work was served", served);
  return finish_trial(deployment, "harm", at, 0.5);
}

static bool the_judge_crashes_in_a_trial(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 5, 2);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  start_busy_traffic(deployment, 6);
  time_us at = { 0 };
  if (!begin_trial(deployment, "orphan", 0.4, harmful, 4, 300, 60))
    return deployment_finish(deployment, 0);
  sim_run(deployment->sim, time_from_ms(8000));
  deployment_process *process = judge_of(deployment);
  if (!process) {
    fleet_add_violation(fleet, "no gateway judges the trial");
    return finish_trial(deployment, "orphan", at, 0);
  }
  deployment_record_fault(deployment, process->host, 'k', 4000);
  host_kill(process->host);
  sim_run(deployment->sim, time_from_ms(3000));
  host_start(process->host);
  /* the next judge finds the harm from the counts that the other gateways still have */
  wait_for_verdict(deployment, "harm", 120000, &at);
  sim_run(deployment->sim, time_from_ms(6000));
  return finish_trial(deployment, "orphan", at, 0.5);
}

static bool has_judge(sim *sim, void *p) {
  (void)sim;
  return judge_of(p) != NULL;
}

static bool a_trial_continues_under_a_new_judge(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 5, 2);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  start_busy_traffic(deployment, 1);
  time_us at = { 0 };
  if (!begin_trial(deployment, "heir", 0.5, harmless, 3, 200, 500))
    return deployment_finish(deployment, 0);
  sim_run(deployment->sim, time_from_ms(9000));
  deployment_process *process = judge_of(deployment);
  if (!process) {
    fleet_add_violation(fleet, "no gateway judges the trial");
    return finish_trial(deployment, "heir", at, 0);
  }
  deployment_record_fault(deployment, process->host, 'k', 9000);
  host_kill(process->host);
  sim_run(deployment->sim, time_from_ms(3000));
  host_start(process->host);
  if (!sim_run_until(deployment->sim, has_judge, deployment, time_from_ms(15000)))
    fleet_add_violation(fleet, "no gateway replaces the judge");
  sim_run(deployment->sim, time_from_ms(2000));
  /* no gateway waits for a second start, not even the one that lost the first in its restart */
  for (int i = 0; i < fleet->routers; i++) {
    GString *b = g_string_new(NULL);
    canary_status_append_metrics(deployment->gateway_processes[i]->gateway, b);
    if (!strstr(b->str, "asterfall_canary_on 1\n"))
      fleet_add_violation(fleet, "the trial is not on at %s", fleet->router[i]->self.text);
    g_string_free(b, TRUE);
  }
  json *json = read_trial(deployment);
  if (verdict(json)[0])
    fleet_add_violation(fleet, "the trial ended with its judge");
  json_free(json);
  return finish_trial(deployment, "heir", at, 0.85);
}

/* the number of pinned sessions at a gateway; -1 when the candidate is not on there */
static int pinned_sessions_at(deployment *deployment, int i) {
  if (!deployment->gateway_processes[i]->gateway || !deployment->fleet->router[i]->alive)
    return -1;
  GString *b = g_string_new(NULL);
  canary_status_append_metrics(deployment->gateway_processes[i]->gateway, b);
  const char *n = strstr(b->str, "asterfall_canary_elders ");
  int is = n && strstr(b->str, "asterfall_canary_on 1\n")
               ? atoi(n + strlen("asterfall_canary_elders "))
               : -1;
  g_string_free(b, TRUE);
  return is;
}

static bool a_judge_loses_its_state_and_continues(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 5, 2);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  start_busy_traffic(deployment, 2);
  time_us at = { 0 };
  if (!begin_trial(deployment, "forgets", 0.5, harmless, 4, 200, 2000))
    return deployment_finish(deployment, 0);
  sim_run(deployment->sim, time_from_ms(12000));
  deployment_process *restarted_judge = judge_of(deployment);
  if (!restarted_judge) {
    fleet_add_violation(fleet, "no gateway judges the trial");
    return finish_trial(deployment, "forgets", at, 0);
  }
  int judge_index = 0, other_index = 0;
  for (int i = 0; i < fleet->routers; i++)
    if (deployment->gateway_processes[i] == restarted_judge)
      judge_index = i;
  other_index = (judge_index + 1) % fleet->routers;
  int known = pinned_sessions_at(deployment, other_index);
  if (known < 20)
    fleet_add_violation(fleet, "only %d pinned sessions: the test shows nothing", known);
  /* the restarted judge has its lease again at once but has lost its state: it must learn the
   * pinned sessions before it starts the candidate itself */
  deployment_record_fault(deployment, restarted_judge->host, 'k', 6000);
  host_kill(restarted_judge->host);
  sim_run(deployment->sim, time_from_ms(50));
  host_start(restarted_judge->host);
  bool on = false;
  for (int i = 0; i < 700 && !on; i++) {
    sim_run(deployment->sim, time_from_ms(10));
    int n = pinned_sessions_at(deployment, judge_index);
    on = n >= 0;
    if (on && n < known)
      fleet_add_violation(fleet, "the judge starts with %d pinned sessions, and the others have %d",
                          n, known);
  }
  if (!on)
    fleet_add_violation(fleet, "the trial did not go on at %s", restarted_judge->host->self.text);
  sim_run(deployment->sim, time_from_ms(3000));
  /* the judge's lease expires while it is frozen and is renewed under the same epoch: the judge
   * must learn the pinned sessions again, and so must a restarted gateway */
  deployment_process *frozen_judge = judge_of(deployment);
  if (!frozen_judge) {
    fleet_add_violation(fleet, "no gateway judges the trial");
    return finish_trial(deployment, "forgets", at, 0);
  }
  for (int i = 0; i < fleet->routers; i++)
    if (deployment->gateway_processes[i] == frozen_judge)
      judge_index = i;
  other_index = (judge_index + 1) % fleet->routers;
  deployment_record_fault(deployment, frozen_judge->host, 'f', 8000);
  uint64_t epoch = singleton_lease_epoch(frozen_judge->host->router, "canary");
  host_freeze(frozen_judge->host);
  sim_run(deployment->sim, time_from_ms(3200));
  host_unfreeze(frozen_judge->host);
  sim_run(deployment->sim, time_from_ms(3000));
  if (g_getenv("SIM_COUNT"))
    fprintf(stderr, "  epoch %" PRIu64 " before, %" PRIu64 " after\n", epoch,
            judge_of(deployment)
                ? singleton_lease_epoch(judge_of(deployment)->host->router, "canary")
                : 0);
  int third = (judge_index + 2) % fleet->routers;
  known = pinned_sessions_at(deployment, third);
  deployment_record_fault(deployment, fleet->router[other_index], 'k', 6000);
  host_kill(fleet->router[other_index]);
  sim_run(deployment->sim, time_from_ms(500));
  host_start(fleet->router[other_index]);
  on = false;
  for (int i = 0; i < 700 && !on; i++) {
    sim_run(deployment->sim, time_from_ms(10));
    int n = pinned_sessions_at(deployment, other_index);
    on = n >= 0;
    if (on && n < known)
      fleet_add_violation(
          fleet, "a restarted gateway starts with %d pinned sessions, and the others have %d", n,
          known);
  }
  if (!on)
    fleet_add_violation(fleet, "the trial did not go on at %s",
                        fleet->router[other_index]->self.text);
  return finish_trial(deployment, "forgets", at, 0.7);
}

static bool gateways_restart_in_a_trial(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 5, 2);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  start_busy_traffic(deployment, 1.2);
  time_us at = { 0 };
  if (!begin_trial(deployment, "restarts", 0.4, harmless, 4, 45, 30))
    return deployment_finish(deployment, 0);
  sim_run(deployment->sim, time_from_ms(9000));
  for (int i = 0; i < 3; i++) {
    host *host = fleet->router[sim_random(deployment->sim, (uint64_t)fleet->routers)];
    deployment_record_fault(deployment, host, 'k', 3000);
    host_kill(host);
    sim_run(deployment->sim, time_from_ms(1000));
    host_start(host);
    sim_run(deployment->sim, time_from_ms(5000));
  }
  wait_for_verdict(deployment, "no harm", 60000, &at);
  sim_run(deployment->sim, time_from_ms(4000));
  return finish_trial(deployment, "restarts", at, 0.9);
}

static bool a_gateway_is_partitioned_in_a_trial(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 5, 2);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  start_busy_traffic(deployment, 1.5);
  time_us at = { 0 };
  if (!begin_trial(deployment, "cut", 0.5, harmless, 3, 200, 50))
    return deployment_finish(deployment, 0);
  sim_run(deployment->sim, time_from_ms(10000));
  host *host = fleet->router[sim_random(deployment->sim, (uint64_t)fleet->routers)];
  /* neither controllers nor gateways reach it; clients do */
  deployment_record_fault(deployment, host, 'n', 14000);
  for (int m = 0; m < fleet->controllers; m++)
    sim_set_partition_both_ways(deployment->sim, host->self.text, fleet->controller[m]->self.text,
                                true);
  for (int v = 0; v < fleet->routers; v++)
    if (fleet->router[v] != host)
      sim_set_partition_both_ways(deployment->sim, host->self.text, fleet->router[v]->self.text,
                                  true);
  time_us partitioned_at = deployment->sim->now;
  sim_run(deployment->sim, time_from_ms(2000));
  if (write_canary(deployment, "PATCH", "{\"state\":\"ended\",\"end\":{\"verdict\":\"stopped\"}}",
                   0) != 200)
    fleet_add_violation(fleet, "the trial could not be stopped");
  sim_run(deployment->sim, time_from_ms(12000));
  time_us healed_at = deployment->sim->now;
  /* it cannot know of the end of the trial, and still must not use the candidate any more */
  char ip[48];
  g_strlcpy(ip, host->addr, sizeof ip);
  *strchr(ip, ':') = 0;
  for (guint i = 0; i < deployment->client->attempts->len; i++) {
    client_sim_attempt *attempt = deployment->client->attempts->pdata[i];
    if (strncmp(attempt->node, ip, strlen(ip)) ||
        attempt->sent_at.us < partitioned_at.us + 4500000 || attempt->sent_at.us > healed_at.us)
      continue;
    for (guint k = 0; k < deployment->log->runs->len; k++) {
      engine_run_record *run = deployment->log->runs->pdata[k];
      if (!strcmp(run->request_id, attempt->request_id) &&
          g_str_has_suffix(run->policy, " candidate"))
        fleet_add_violation(fleet, "a partitioned gateway still uses the candidate after %.1f s",
                            (double)(attempt->sent_at.us - partitioned_at.us) / 1e6);
    }
  }
  at = time_add(partitioned_at, time_from_ms(2500));
  sim_heal_partitions(deployment->sim);
  sim_run(deployment->sim, time_from_ms(5000));
  deployment_finish_traffic(deployment);
  gateway_check_trial_policies(deployment);
  gateway_check_trial_ended(deployment, "cut", time_add(at, time_from_ms(2500)));
  return deployment_finish(deployment, 0.9);
}

static bool the_judge_receives_no_reports(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 5, 2);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  start_busy_traffic(deployment, 1);
  time_us at = { 0 };
  if (!begin_trial(deployment, "unreachable", 0.5, harmless, 3, 200, 50))
    return deployment_finish(deployment, 0);
  sim_run(deployment->sim, time_from_ms(9000));
  deployment_process *process = judge_of(deployment);
  if (!process) {
    fleet_add_violation(fleet, "no gateway judges the trial");
    return finish_trial(deployment, "unreachable", at, 0);
  }
  /* it keeps its lease, since the controllers reach it */
  deployment_record_fault(deployment, NULL, 'n', 20000);
  for (int v = 0; v < fleet->routers; v++)
    if (fleet->router[v] != process->host)
      sim_set_partition_both_ways(deployment->sim, process->host->self.text,
                                  fleet->router[v]->self.text, true);
  wait_for_verdict(deployment, "unreachable", 25000, &at);
  sim_heal_partitions(deployment->sim);
  sim_run(deployment->sim, time_from_ms(4000));
  return finish_trial(deployment, "unreachable", at, 0.9);
}

static bool operators_start_stop_and_race_trials(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 5, 2);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  start_busy_traffic(deployment, 1);
  char *a = trial_text("ours", 0.5, harmless, 3, 300, 50),
       *b = trial_text("theirs", 0.5, harmless, 3, 300, 50);
  operator_call *x = fleet_send(fleet, fleet->controller[0], "PUT", "/v1/canary", a, NULL, NULL),
                *y = fleet_send(fleet, fleet->controller[1], "PUT", "/v1/canary", b, NULL, NULL);
  while (!x->done || !y->done)
    sim_run(deployment->sim, time_from_ms(50));
  if ((x->status == 200) == (y->status == 200))
    fleet_add_violation(fleet, "two concurrent trials got the statuses %d and %d", x->status,
                        y->status);
  const char *won = x->status == 200 ? "ours" : "theirs", *mine = x->status == 200 ? a : b;
  operator_call_free(x);
  operator_call_free(y);
  if (write_canary(deployment, "PUT", a, E_CANARY_RUNNING) != 400)
    fleet_add_violation(fleet, "a running trial was replaced");
  if (write_canary(deployment, "PUT", "{}", E_CANARY_RUNNING) != 400)
    fleet_add_violation(fleet, "a running trial was removed");
  if (write_canary(deployment, "PATCH", "{\"state\":\"ended\",\"share\":0.1}",
                   E_CANARY_IMMUTABLE) != 400)
    fleet_add_violation(fleet, "an end changed the share");
  sim_run(deployment->sim, time_from_ms(9000));
  if (!count_candidate_runs(deployment, (time_us){ 0 }, time_never()))
    fleet_add_violation(fleet, "the candidate got nothing");
  if (write_canary(deployment, "PATCH", "{\"state\":\"ended\",\"end\":{\"verdict\":\"stopped\"}}",
                   0) != 200)
    fleet_add_violation(fleet, "a trial was not stopped");
  time_us at = deployment->sim->now;
  if (write_canary(deployment, "PATCH", "{\"state\":\"ended\",\"end\":{\"verdict\":\"again\"}}",
                   E_NO_CANARY) != 400)
    fleet_add_violation(fleet, "a trial ended twice");
  if (write_canary(deployment, "PUT", mine, E_CANARY_NAME_REUSED) != 400)
    fleet_add_violation(fleet, "a trial with the name of an ended one was accepted");
  sim_run(deployment->sim, time_from_ms(6000));
  if (write_canary(deployment, "PUT", "{}", 0) != 200)
    fleet_add_violation(fleet, "a trial that has ended can't be removed");
  g_free(a);
  g_free(b);
  return finish_trial(deployment, won, at, 0.97);
}

static bool sessions_keep_their_policy_through_retries(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 4, 2);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  start_busy_traffic(deployment, 1.2);
  time_us at = { 0 };
  if (!begin_trial(deployment, "tries", 0.5, harmless, 4, 40, 500))
    return deployment_finish(deployment, 0);
  sim_run(deployment->sim, time_from_ms(8000));
  /* responses are lost and truncated, so that requests are retried, resumed at other engines, and
   * sent again by clients to other gateways */
  for (int i = 0; i < 20; i++) {
    registering_engine_faults *faults =
        &deployment
             ->engine_processes[sim_random(deployment->sim, deployment->model_engine_count +
                                                                deployment->plain_engine_count)]
             ->plan.faults;
    if (i % 2)
      faults->lose_responses = 4;
    else {
      faults->truncate_responses = 4;
      faults->truncate_after_events = 1 + (unsigned)sim_random(deployment->sim, 6);
    }
    sim_run(deployment->sim, time_from_ms(1000));
  }
  int again = 0;
  for (guint i = 0; i < deployment->client->requests->len; i++)
    again += ((client_sim_request *)deployment->client->requests->pdata[i])->attempt_count > 1;
  int resumed = 0;
  for (guint i = 0; i < deployment->log->runs->len; i++) {
    engine_run_record *run = deployment->log->runs->pdata[i];
    resumed += run->policy[0] && run->resumed_after;
  }
  sim_run(deployment->sim, time_from_ms(14000));
  json *json = read_trial(deployment);
  if (!verdict(json)[0])
    fleet_add_violation(fleet, "the trial continues past its maximum duration");
  json_free(json);
  if (!again || !resumed)
    fleet_add_violation(fleet, "nothing was retried (%d) or resumed (%d): the test shows nothing",
                        again, resumed);
  return finish_trial(deployment, "tries", at, 0.85);
}

/* The end of the trial reports at most as many requests as were sent, and at least 40 % of them. */
static bool a_trial_counts_each_request_once(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 5, 2);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  start_busy_traffic(deployment, 1.2);
  time_us began = deployment->sim->now, at = { 0 };
  if (!begin_trial(deployment, "counts", 0.4, harmless, 3, 30, 20))
    return deployment_finish(deployment, 0);
  sim_run(deployment->sim, time_from_ms(12000));
  host *host = fleet->router[sim_random(deployment->sim, (uint64_t)fleet->routers)];
  deployment_record_fault(deployment, host, 'k', 3000);
  host_kill(host);
  sim_run(deployment->sim, time_from_ms(500));
  host_start(host);
  wait_for_verdict(deployment, "no harm", 40000, &at);
  json *value = read_trial(deployment);
  const json *end = json_get(json_get(value, "value"), "end");
  double judged = 0;
  static const char *const parts[] = { "urgent", "rest" }, *const sides[] = { "old", "candidate" };
  for (int p = 0; p < 2; p++)
    for (int s = 0; s < 2; s++)
      judged += json_number(json_get(json_get(end, parts[p]), sides[s]), "requests", 0);
  int sent = 0;
  for (guint i = 0; i < deployment->client->attempts->len; i++) {
    client_sim_attempt *attempt = deployment->client->attempts->pdata[i];
    sent += attempt->sent_at.us >= began.us && attempt->sent_at.us <= at.us;
  }
  if (judged > sent || judged < sent * 0.4)
    fleet_add_violation(fleet, "%.0f requests were judged, and %d were sent", judged, sent);
  json_free(value);
  sim_run(deployment->sim, time_from_ms(4000));
  return finish_trial(deployment, "counts", at, 0.9);
}

/** A request to end a trial that a node sends to the head of the chain. */
typedef struct trial_end_call {
  host *host;
  char head[48];
  uint64_t version, epoch;
  int code;
  bool done;
} trial_end_call;

static void trial_end_run(void *p) {
  trial_end_call *trial_end = p;
  Wire__CanaryEndRequest q = WIRE__CANARY_END_REQUEST__INIT;
  static const char text[] = "{\"state\":\"ended\",\"end\":{\"verdict\":\"told\"}}";
  q.version = trial_end->version;
  q.epoch = trial_end->epoch;
  q.verdict.data = (uint8_t *)text;
  q.verdict.len = strlen(text);
  Wire__Envelope m = wire_envelope(WIRE__ENVELOPE__BODY_CANARY_END_REQUEST, &q), *b;
  error err = { 0 };
  trial_end->code = peer_rpc_call(&trial_end->host->router->node, trial_end->head, &m,
                                  time_from_ms(3000), &b, &err);
  if (!trial_end->code)
    peer_rpc_message_free(b);
  trial_end->done = true;
}

static int send_trial_end(deployment *deployment, host *host, uint64_t version, uint64_t epoch) {
  trial_end_call t = { .host = host, .version = version, .epoch = epoch };
  g_strlcpy(t.head, fleet_find_head(deployment->fleet)->addr, sizeof t.head);
  task_start(&host->world.tasks, "end", trial_end_run, &t);
  host->next_wake_at = deployment->sim->now;
  while (!t.done)
    sim_run(deployment->sim, time_from_ms(20));
  return t.code;
}

static bool only_the_judge_ends_a_trial(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 4, 2);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  start_busy_traffic(deployment, 1);
  time_us at = { 0 };
  if (!begin_trial(deployment, "guarded", 0.5, harmless, 3, 200, 5000))
    return deployment_finish(deployment, 0);
  sim_run(deployment->sim, time_from_ms(6000));
  deployment_process *process = judge_of(deployment);
  host *other = NULL;
  for (int i = 0; process && i < fleet->routers; i++)
    if (fleet->router[i] != process->host)
      other = fleet->router[i];
  if (!other) {
    fleet_add_violation(fleet, "no gateway judges the trial");
    return finish_trial(deployment, "guarded", at, 0);
  }
  uint64_t version = process->host->router->sync.resource_versions[RESOURCE_CANARY],
           epoch = singleton_lease_epoch(process->host->router, "canary");
  int x = send_trial_end(deployment, other, version, epoch);
  if (x != E_STALE_EPOCH)
    fleet_add_violation(fleet, "a node that does not judge the trial ended it (%d)", x);
  if ((x = send_trial_end(deployment, process->host, version, epoch - 1)) != E_STALE_EPOCH)
    fleet_add_violation(fleet, "a judge of an older epoch ended the trial (%d)", x);
  if ((x = send_trial_end(deployment, process->host, version - 1, epoch)) != E_VERSION_CONFLICT)
    fleet_add_violation(fleet, "the end of another trial was accepted (%d)", x);
  json *json = read_trial(deployment);
  if (verdict(json)[0])
    fleet_add_violation(fleet, "a node that does not judge the trial has ended it");
  json_free(json);
  if ((x = send_trial_end(deployment, process->host, version, epoch)) != OK)
    fleet_add_violation(fleet, "its judge could not end it (%d)", x);
  at = deployment->sim->now;
  if ((x = send_trial_end(deployment, process->host, version, epoch)) == OK)
    fleet_add_violation(fleet, "its judge ended it twice");
  sim_run(deployment->sim, time_from_ms(5000));
  return finish_trial(deployment, "guarded", at, 0.97);
}

static bool a_judge_freezes_and_resumes(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 5, 2);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  start_busy_traffic(deployment, 1.2);
  time_us at = { 0 };
  if (!begin_trial(deployment, "frozen", 0.5, harmless, 3, 40, 30))
    return deployment_finish(deployment, 0);
  sim_run(deployment->sim, time_from_ms(9000));
  deployment_process *process = judge_of(deployment);
  if (!process) {
    fleet_add_violation(fleet, "no gateway judges the trial");
    return finish_trial(deployment, "frozen", at, 0);
  }
  deployment_record_fault(deployment, process->host, 'f', 9000);
  host_freeze(process->host);
  sim_run(deployment->sim, time_from_ms(9000));
  host_unfreeze(process->host);
  wait_for_verdict(deployment, "no harm", 60000, &at);
  sim_run(deployment->sim, time_from_ms(4000));
  return finish_trial(deployment, "frozen", at, 0.8);
}

/* Random faults while a trial runs: no session changes its arm, and in the end all sessions are
 * back with the control policy. */
static bool anything_happens_in_a_trial(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 5, 3);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  start_busy_traffic(deployment, 1);
  time_us at = { 0 };
  if (!begin_trial(deployment, "storm", 0.5, harmless, 3, 600, 30))
    return deployment_finish(deployment, 0);
  sim_run(deployment->sim, time_from_ms(8000));
  for (int i = 0; i < 8; i++) {
    sim_run(deployment->sim, time_from_ms(500 + (int64_t)sim_random(deployment->sim, 3000)));
    deployment_process
        *process = deployment->engine_processes[sim_random(
            deployment->sim, deployment->model_engine_count + deployment->plain_engine_count)],
        *judge = judge_of(deployment);
    host *gateway_host = fleet->router[sim_random(deployment->sim, (uint64_t)fleet->routers)],
         *controller_host =
             fleet->controller[sim_random(deployment->sim, (uint64_t)fleet->controllers)];
    int64_t ms = 500 + (int64_t)sim_random(deployment->sim, 6000);
    if (judge && sim_random(deployment->sim, 3) == 0)
      gateway_host = judge->host;
    switch (sim_random(deployment->sim, 8)) {
    case 0:
      deployment_record_fault(deployment, process->host, 'e', ms);
      if (process->host->alive)
        host_kill(process->host);
      break;
    case 1:
      if (process->engine)
        registering_engine_sim_drain(process->engine, sim_random(deployment->sim, 2) ? 0 : 1500);
      deployment_record_fault(deployment, process->host, 'e', 5000);
      break;
    case 2:
      process->plan.faults.lose_responses = 3;
      process->plan.faults.truncate_responses = 3;
      process->plan.faults.truncate_after_events = 2;
      break;
    case 3:
      deployment_record_fault(deployment, gateway_host, 'k', ms);
      if (gateway_host->alive)
        host_kill(gateway_host);
      break;
    case 4:
      deployment_record_fault(deployment, gateway_host, 'f', ms);
      if (gateway_host->alive) {
        host_freeze(gateway_host);
        sim_run(deployment->sim, time_from_ms(ms));
        host_unfreeze(gateway_host);
      }
      break;
    case 5:
      deployment_record_fault(deployment, NULL, 'k', ms);
      if (controller_host->alive)
        host_kill(controller_host);
      break;
    case 6:
      deployment_record_fault(deployment, gateway_host, 'n', ms);
      for (int k = 0; k < fleet->controllers; k++)
        sim_set_partition_both_ways(deployment->sim, gateway_host->self.text,
                                    fleet->controller[k]->self.text, true);
      break;
    default:
      deployment_record_fault(deployment, gateway_host, 'n', ms);
      for (int k = 0; k < fleet->routers; k++)
        if (fleet->router[k] != gateway_host)
          sim_set_partition_both_ways(deployment->sim, gateway_host->self.text,
                                      fleet->router[k]->self.text, true);
    }
    sim_run(deployment->sim, time_from_ms(ms));
    sim_heal_partitions(deployment->sim);
    for (size_t e = 0; e < deployment->model_engine_count + deployment->plain_engine_count; e++)
      if (!deployment->engine_processes[e]->host->alive)
        host_start(deployment->engine_processes[e]->host);
    for (int n = 0; n < fleet->routers; n++)
      if (!fleet->router[n]->alive)
        host_start(fleet->router[n]);
    for (int n = 0; n < fleet->controllers; n++)
      if (!fleet->controller[n]->alive)
        host_start(fleet->controller[n]);
  }
  for (size_t e = 0; e < deployment->model_engine_count + deployment->plain_engine_count; e++)
    deployment->engine_processes[e]->plan.faults.lose_responses =
        deployment->engine_processes[e]->plan.faults.truncate_responses = 0;
  sim_run(deployment->sim, time_from_ms(12000));
  for (size_t e = 0; e < deployment->model_engine_count + deployment->plain_engine_count; e++)
    if (!deployment->engine_processes[e]->host->alive)
      host_start(deployment->engine_processes[e]->host);
  json *json = read_trial(deployment);
  if (!strcmp(verdict(json), "harm"))
    fleet_add_violation(fleet, "the verdict on a harmless candidate is harm");
  if (!verdict(json)[0]) {
    /* the judge's lease may be moving from one gateway to another */
    if (!sim_run_until(deployment->sim, has_judge, deployment, time_from_ms(10000)))
      fleet_add_violation(fleet, "no gateway judges the trial long after the last fault");
    if (write_canary(deployment, "PATCH", "{\"state\":\"ended\",\"end\":{\"verdict\":\"stopped\"}}",
                     0) != 200)
      fleet_add_violation(fleet, "the trial could not be stopped");
  }
  at = deployment->sim->now;
  json_free(json);
  sim_run(deployment->sim, time_from_ms(8000));
  return finish_trial(deployment, "storm", at, 0.4);
}

/* The compilation of trials, its error codes, and the random split of sessions, without a fleet. */
static bool trials_are_compiled(fleet *fleet) {
  static const struct {
    const char *text;
    int code;
  } bad[] = {
    { "[]", E_TYPE },
    { "{\"name\":\"a b\"}", E_NAME },
    { "{\"name\":\"a\"}", E_FIELD },
    { "{\"name\":\"a\",\"share\":0.6,\"candidate\":{}}", E_RANGE },
    { "{\"name\":\"a\",\"share\":0.1}", E_FIELD },
    { "{\"name\":\"a\",\"share\":0.1,\"candidate\":{\"weight\":1}}", E_FIELD },
    { "{\"name\":\"a\",\"share\":\"b\",\"candidate\":{}}", E_TYPE },
    { "{\"name\":\"a\",\"share\":0.1,\"candidate\":{\"holdPercent\":0}}", E_RANGE },
    { "{\"name\":\"a\",\"share\":0.1,\"candidate\":{},\"state\":\"off\"}", E_CANARY_INVALID },
    { "{\"name\":\"a\",\"share\":0.1,\"candidate\":{},\"routes\":[]}", E_RANGE },
    { "{\"name\":\"a\",\"share\":0.1,\"candidate\":{},\"priorities\":[9]}", E_RANGE },
    { "{\"name\":\"a\",\"share\":0.1,\"candidate\":{},\"guard\":{\"error\":0.5}}", E_RANGE },
    { "{\"name\":\"a\",\"share\":0.1,\"candidate\":{},\"warmS\":60,\"guard\":{\"mostS\":50}}",
      E_CANARY_INVALID }
  };
  for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
    json *value = json_parse(string_view_of(bad[i].text), NULL);
    canary_plan p;
    error err = { 0 };
    int r = canary_compile(&p, value, &err);
    if (r != bad[i].code)
      fleet_add_violation(fleet, "%s has code %d (%s), not %d", bad[i].text, r, err.text,
                          bad[i].code);
    json_free(value);
  }
  json *value = json_parse(
      string_view_of(
          "{\"name\":\"a\",\"share\":0.25,\"candidate\":{\"area\":2},\"routes\":[\"r\"],\"priorities\":[0,1]}"),
      NULL);
  canary_plan p, blank;
  if (canary_compile(&p, value, NULL) || p.state != CANARY_RUNNING ||
      p.candidate.zone_weight != 2 ||
      p.candidate.overload_threshold != select_policy_default.overload_threshold)
    fleet_add_violation(fleet, "a valid trial is rejected");
  if (canary_compile(&blank, NULL, NULL) || blank.state != CANARY_NONE)
    fleet_add_violation(fleet, "without a value there is a trial");
  if (!canary_includes(&p, id_of_text("r"), 1) || canary_includes(&p, id_of_text("r"), 2) ||
      canary_includes(&p, id_of_text("q"), 0))
    fleet_add_violation(fleet, "the trial includes the wrong requests");
  int in = 0, other = 0;
  canary_plan q = p;
  q.name = id_of_text("b");
  for (uint64_t s = 0; s < 20000; s++) {
    bool x = canary_session_is_candidate(&p, hash_bytes(&s, sizeof s, 9));
    in += x;
    other += x && canary_session_is_candidate(&q, hash_bytes(&s, sizeof s, 9));
  }
  if (abs(in - 5000) > 250 || abs(other - 1250) > 150)
    fleet_add_violation(fleet,
                        "of 20000 sessions %d are assigned to the candidate, and %d by two trials",
                        in, other);
  json_free(value);
  return !fleet->violations->len;
}

/* A random number from 0 to 1. The simulator's random streams of neighbouring seeds are the same
 * stream shifted by one number, which makes them too similar for a test that only draws numbers. */
static double draw_fraction(fleet *fleet) {
  uint64_t n = fleet->sim->random_state++;
  return (double)(hash_bytes(&n, sizeof n, fleet->seed * 0x5851f42d4c957f2dull) >> 11) /
         (double)(1ull << 53);
}

/* Simulates the counts of one trial and evaluates them after every fifth request; returns the
 * number of candidate requests when harm is proven, or -1. */
static int simulate_trial(fleet *fleet, const canary_plan *plan, double old, double candidate,
                          double late, int most, bool drifts) {
  canary_totals t = { 0 };
  for (int i = 0; i < most; i++) {
    int s = draw_fraction(fleet) < plan->traffic_share ? CANARY_ARM_CANDIDATE : CANARY_ARM_CONTROL;
    canary_cell *c = &t.cells[s][0];
    /* a period of more failures in both arms */
    double worse = drifts && i > most / 3 && i < most / 2 ? 0.4 : 0;
    if (draw_fraction(fleet) < (s == CANARY_ARM_CANDIDATE ? candidate : old) + worse)
      c->failed++;
    else if (draw_fraction(fleet) < late)
      c->late++;
    else
      c->within_target++;
    if (i % 5 == 0 && canary_judge(plan, &t).harm_proven)
      return (int)canary_cell_requests(&t.cells[CANARY_ARM_CANDIDATE][0]);
  }
  return -1;
}

static bool harm_is_detected_with_few_false_alarms(fleet *fleet) {
  canary_plan p = { .traffic_share = 0.3,
                    .late_penalty = 0.5,
                    .margin = 0,
                    .error_probability = 0.05,
                    .min_requests = 20 };
  int alarms = 0, seen = 0, worst = 0;
  fleet->sim->random_state = fleet->seed << 32;
  enum { CALM = 400, TRIALS = 150, MOST = 1500 };
  static const double rates[] = { 0.02, 0.1, 0.4 };
  for (int i = 0; i < CALM; i++)
    alarms += simulate_trial(fleet, &p, rates[i % 3], rates[i % 3], i % 2 ? 0.2 : 0, MOST,
                             i % 4 > 1) >= 0;
  /* the chance of a false alarm is at most 5 %; more than 34 in 400 trials then occur less than
   * once in 1000 */
  if (alarms > 34)
    fleet_add_violation(fleet, "%d of %d trials without a difference ended in alarm", alarms, CALM);
  p.margin = 0.02;
  for (int i = 0; i < TRIALS; i++) {
    int n = simulate_trial(fleet, &p, 0.03, 0.3, 0, MOST, false);
    seen += n >= 0;
    worst = MAX(worst, n);
  }
  if (seen < TRIALS * 95 / 100)
    fleet_add_violation(fleet, "harm was seen in only %d of %d trials", seen, TRIALS);
  if (worst > 200)
    fleet_add_violation(fleet, "harm was seen only after %d requests", worst);
  if (getenv("SIM_COUNT"))
    fprintf(stderr, "  of %d: %d false alarms; of %d: harm seen in %d, after %d at the latest\n",
            CALM, alarms, TRIALS, seen, worst);
  if (canary_evidence(10, 100, 10, 100, 0) != 0 || canary_evidence(0, 0, 9, 10, 0) != 0 ||
      canary_evidence(1, 100, 30, 100, 0) < 5 ||
      canary_evidence(1, 100, 30, 100, 0.2) > canary_evidence(1, 100, 30, 100, 0))
    fleet_add_violation(fleet, "the evidence is wrong");
  if (canary_bound(0, 0, 0.05, true) != 1 || canary_bound(0, 0, 0.05, false) != 0)
    fleet_add_violation(fleet, "there is a bound although there is no data");
  if (!(canary_bound(10, 100, 0.05, false) < 0.1 && canary_bound(10, 100, 0.05, true) > 0.1 &&
        canary_bound(10, 100, 0.01, true) > canary_bound(10, 100, 0.05, true)))
    fleet_add_violation(fleet, "the bounds are wrong");
  return !fleet->violations->len;
}

static int violation_seen(deployment *deployment, const char *word) {
  bool is = strstr(deployment->fleet->violations->str, word) != NULL;
  if (!is)
    fprintf(stderr, "  %s was not seen\n", word);
  g_string_truncate(deployment->fleet->violations, 0);
  return is;
}

static bool trial_checkers_can_fail(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 4, 2);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  start_busy_traffic(deployment, 1.2);
  time_us at = { 0 };
  if (!begin_trial(deployment, "mutate", 0.5, harmless, 3, 25, 20))
    return deployment_finish(deployment, 0);
  wait_for_verdict(deployment, "no harm", 40000, &at);
  sim_run(deployment->sim, time_from_ms(5000));
  deployment_finish_traffic(deployment);
  gateway_check_trial_policies(deployment);
  gateway_check_trial_ended(deployment, "mutate", at);
  gateway_check_dropped(deployment, at);
  if (fleet->violations->len)
    return deployment_finish(deployment, 0);
  engine_run_record *c = NULL, *o = NULL, *last = NULL;
  for (guint i = 0; i < deployment->log->runs->len; i++) {
    engine_run_record *run = deployment->log->runs->pdata[i];
    if (g_str_has_suffix(run->policy, " candidate"))
      c = run;
    if (!run->policy[0] && run->received_at.us > at.us + 3000000 && strchr("rdfcbt", run->outcome))
      last = run;
  }
  for (guint i = 0; c && i < deployment->log->runs->len; i++) {
    engine_run_record *run = deployment->log->runs->pdata[i];
    if (g_str_has_suffix(run->policy, " old") && run->received_at.us < c->received_at.us - 5000000)
      o = run;
  }
  if (!c || !o || !last) {
    fleet_add_violation(fleet, "there is nothing to mutate");
    return deployment_finish(deployment, 0);
  }
  int shown = 0;
  char session[48];
  /* a session of the candidate that the control policy served long before */
  g_strlcpy(session, o->session, sizeof session);
  g_strlcpy(o->session, c->session, sizeof o->session);
  gateway_check_trial_policies(deployment);
  shown += violation_seen(deployment, "SIDES");
  g_strlcpy(o->session, session, sizeof session);
  /* one request under two policies */
  engine_run_record *two = g_memdup2(c, sizeof *c);
  g_strlcpy(two->policy, "mutate old", sizeof two->policy);
  g_ptr_array_add(deployment->log->runs, two);
  gateway_check_trial_policies(deployment);
  shown += violation_seen(deployment, "SIDES");
  g_strlcpy(two->policy, "mutate both", sizeof two->policy);
  two->request_id[0] = 0;
  g_strlcpy(two->request_id, last->request_id, sizeof two->request_id);
  gateway_check_trial_policies(deployment);
  shown += violation_seen(deployment, "SIDES");
  g_ptr_array_set_size(deployment->log->runs, (int)deployment->log->runs->len - 1);
  g_strlcpy(last->policy, "mutate candidate", sizeof last->policy);
  gateway_check_trial_ended(deployment, "mutate", at);
  shown += violation_seen(deployment, "RETURN");
  last->policy[0] = 0;
  client_sim_attempt *attempt = NULL;
  for (guint i = 0; i < deployment->client->attempts->len && !attempt; i++) {
    client_sim_attempt *k = deployment->client->attempts->pdata[i];
    if (k->outcome == 'd' && k->ended_at.us > k->sent_at.us)
      attempt = k;
  }
  attempt->outcome = 'e';
  gateway_check_dropped(deployment, attempt->sent_at);
  shown += violation_seen(deployment, "DROPPED");
  attempt->outcome = 'd';
  if (shown != 5)
    fleet_add_violation(fleet, "only %d of 5 violations were seen", shown);
  return deployment_finish(deployment, 0);
}

const test_case canary_tests[] = {
  { "trials_are_compiled", trials_are_compiled, 1, 1, 17 },
  { "harm_is_detected_with_few_false_alarms", harm_is_detected_with_few_false_alarms, 1, 1, 50 },
  { "no_trial_leaves_no_trace", no_trial_leaves_no_trace, 3, 0, 34 },
  { "trial_checkers_can_fail", trial_checkers_can_fail, 3, 0, 20 },
  { "a_harmless_trial_runs_to_its_end", a_harmless_trial_runs_to_its_end, 4, 0, 100 },
  { "a_harmful_trial_is_ended_early", a_harmful_trial_is_ended_early, 4, 0, 100 },
  { "the_judge_crashes_in_a_trial", the_judge_crashes_in_a_trial, 5, 0, 100 },
  { "gateways_restart_in_a_trial", gateways_restart_in_a_trial, 4, 0, 100 },
  { "a_gateway_is_partitioned_in_a_trial", a_gateway_is_partitioned_in_a_trial, 5, 0, 100 },
  { "the_judge_receives_no_reports", the_judge_receives_no_reports, 5, 0, 100 },
  { "a_trial_counts_each_request_once", a_trial_counts_each_request_once, 4, 0, 100 },
  { "a_trial_continues_under_a_new_judge", a_trial_continues_under_a_new_judge, 5, 0, 100 },
  { "anything_happens_in_a_trial", anything_happens_in_a_trial, 5, 0, 200 },
  { "a_judge_loses_its_state_and_continues", a_judge_loses_its_state_and_continues, 5, 0, 100 },
  { "only_the_judge_ends_a_trial", only_the_judge_ends_a_trial, 4, 0, 100 },
  { "a_judge_freezes_and_resumes", a_judge_freezes_and_resumes, 5, 0, 100 },
  { "operators_start_stop_and_race_trials", operators_start_stop_and_race_trials, 4, 0, 100 },
  { "sessions_keep_their_policy_through_retries", sessions_keep_their_policy_through_retries, 4, 0,
    100 },
  { NULL, NULL, 0, 0, 0 }
};
