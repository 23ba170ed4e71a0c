/** @file
 * Rules about requests during the shutdown of engines and gateways, and about missing responses. */
#include "gateway_check_index.h"

static bool arrived_after_drain(const deployment *deployment, const engine_run_record *run,
                                const engine_stop_record *stop, time_us announced_at) {
  return id_equal(run->engine, stop->engine) && run->outcome != 'x' &&
         run->received_at.us > announced_at.us + DEPLOYMENT_DRAIN_MS * 1000 &&
         !check_had_fault_at(deployment, check_host_of_ip(deployment, run->from), run->received_at);
}

static void check_stop(const deployment *deployment, const engine_stop_record *stop) {
  time_us announced_at = stop->acked_at.us ? stop->acked_at : stop->signed_off_at;
  time_us drained_at = time_add(announced_at, time_from_ms(DEPLOYMENT_DRAIN_MS));
  if (!announced_at.us || check_had_fault(deployment, NULL, announced_at, drained_at))
    return;
  for (guint i = 0; i < deployment->log->runs->len; i++) {
    const engine_run_record *run = deployment->log->runs->pdata[i];
    if (!arrived_after_drain(deployment, run, stop, announced_at))
      continue;
    fleet_add_violation(
        deployment->fleet, "DRAIN %s reached %s %.3f s after its draining was acknowledged",
        run->request_id, run->engine.text, (double)(run->received_at.us - announced_at.us) / 1e6);
    return;
  }
}

void gateway_check_drained(deployment *deployment) {
  for (guint i = 0; i < deployment->log->stops->len; i++)
    check_stop(deployment, deployment->log->stops->pdata[i]);
}

static bool is_planned_stop(const injected_fault *fault, const host *host) {
  return fault->host == host && fault->kind == 't';
}

/* whether an attempt overlaps a planned stop of its gateway and no other fault */
static bool is_in_planned_stop(const deployment *deployment, const client_sim_attempt *attempt,
                               const host *host) {
  bool planned = false, other = false;
  for (guint i = 0; i < deployment->injected_faults->len; i++) {
    const injected_fault *fault = &g_array_index(deployment->injected_faults, injected_fault, i);
    if (is_planned_stop(fault, host))
      planned |= check_fault_overlaps(fault, attempt, false);
    else if (!fault->host || fault->host == host || fault->kind == 'e')
      other |= check_fault_overlaps(fault, attempt, true);
  }
  return planned && !other;
}

static bool is_past_deadline(const client_sim_attempt *attempt) {
  const client_sim_request *request = attempt->request;
  return attempt->ended_at.us >= request->started_at.us + request->kind->deadline_ms * 1000;
}

/* A request that was sent before a stop, or at most STOP_PROPAGATION_MS after it began, and whose
 * run lasts longer than 5/6 of the grace period may be cut off when the period ends. */
static bool is_run_excused(const deployment *deployment, const client_sim_attempt *attempt,
                           const engine_run_record *run, const host *host) {
  for (guint i = 0; i < deployment->injected_faults->len; i++) {
    const injected_fault *fault = &g_array_index(deployment->injected_faults, injected_fault, i);
    if (is_planned_stop(fault, host) &&
        attempt->sent_at.us <= fault->from_at.us + STOP_PROPAGATION_MS * 1000 &&
        (!run->ended_at.us ||
         run->ended_at.us > fault->from_at.us + DEPLOYMENT_GRACE_S * 5000000 / 6))
      return true;
  }
  return false;
}

static void check_not_lost(const check_index *index, const client_sim_attempt *attempt) {
  const deployment *deployment = index->deployment;
  if (attempt->outcome != 'e' || !attempt->request_sent)
    return;
  const host *host = check_host_of_ip(deployment, attempt->node);
  if (!is_in_planned_stop(deployment, attempt, host) || is_past_deadline(attempt))
    return;
  const GPtrArray *runs = check_index_runs(index, attempt);
  bool interrupted = false, forwarded = false, excused = false;
  for (guint i = 0; i < runs->len; i++) {
    const engine_run_record *run = runs->pdata[i];
    interrupted |= check_was_interrupted(run);
    forwarded |= check_was_run(run);
    excused |= is_run_excused(deployment, attempt, run, host);
  }
  bool lasted = attempt->ended_at.us - attempt->sent_at.us > LOSS_SLACK_MS * 1000;
  if (interrupted || excused || !(forwarded || lasted))
    return;
  fleet_add_violation(index->fleet, "LOST %s of %s at %s ended without a complete response",
                      attempt->request_id, attempt->request->kind->name, attempt->node);
}

void gateway_check_lost(deployment *deployment) {
  check_each_attempt(deployment, check_not_lost);
}

/* whether an engine ran a request without interrupting it, and its host had no injected fault when
 * the request arrived */
static bool engine_had_no_fault(const deployment *deployment, const engine_run_record *run) {
  if (!check_was_run(run) || check_was_interrupted(run))
    return false;
  size_t count = deployment->model_engine_count + deployment->plain_engine_count;
  for (size_t i = 0; i < count; i++) {
    const host *host = deployment->engine_processes[i]->host;
    if (id_equal(host->self, run->engine))
      return !check_had_fault_at(deployment, host, run->received_at);
  }
  return true;
}

static bool is_unanswered(const check_index *index, const client_sim_attempt *attempt) {
  const deployment *deployment = index->deployment;
  const host *host = check_host_of_ip(deployment, attempt->node);
  if (attempt->outcome != 'e' || attempt->status || !attempt->reused_connection ||
      check_had_fault(deployment, host, attempt->sent_at, attempt->ended_at))
    return false;
  const GPtrArray *runs = check_index_runs(index, attempt);
  for (guint i = 0; i < runs->len; i++)
    if (engine_had_no_fault(deployment, runs->pdata[i]))
      return true;
  return false;
}

void gateway_check_unanswered(deployment *deployment) {
  check_index index = check_index_new(deployment);
  const client_sim_attempt *first = NULL;
  int count = 0;
  for (guint i = 0; i < deployment->client->attempts->len; i++) {
    const client_sim_attempt *attempt = deployment->client->attempts->pdata[i];
    if (!is_unanswered(&index, attempt))
      continue;
    count++;
    first = first ? first : attempt;
  }
  if (count > UNANSWERED_MAX)
    fleet_add_violation(
        deployment->fleet,
        "LOST %d requests on pooled connections were forwarded and got no response; the first is "
        "%s of %s at %s",
        count, first->request_id, first->request->kind->name, first->node);
  check_index_free(&index);
}

static bool is_dropped(const deployment *deployment, const client_sim_attempt *attempt,
                       time_us at) {
  if (attempt->sent_at.us > at.us || attempt->ended_at.us < at.us ||
      (attempt->outcome != 'e' && attempt->outcome != 'u'))
    return false;
  for (guint i = 0; i < deployment->injected_faults->len; i++)
    if (check_fault_overlaps(&g_array_index(deployment->injected_faults, injected_fault, i),
                             attempt, true))
      return false;
  return true;
}

void gateway_check_dropped(deployment *deployment, time_us at) {
  for (guint i = 0; i < deployment->client->attempts->len; i++) {
    const client_sim_attempt *attempt = deployment->client->attempts->pdata[i];
    if (is_dropped(deployment, attempt, at))
      fleet_add_violation(
          deployment->fleet, "DROPPED %s of %s at %s was in progress at %.1f s and got no response",
          attempt->request_id, attempt->request->kind->name, attempt->node, (double)at.us / 1e6);
  }
}
