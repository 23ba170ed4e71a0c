/** @file
 * Rules about single requests: compares what the client recorded of each attempt with what engines
 * recorded of its runs. */
#include "gateway_check_index.h"

enum {
  /** DENIED: the client errors that are allowed, plus one for each ATTEMPTS_PER_DENIED attempts. */
  DENIED_MAX = 5,
  ATTEMPTS_PER_DENIED = 500
};

static const char *kind_name(const client_sim_attempt *attempt) {
  return attempt->request->kind->name;
}

static bool is_stream_error(const client_sim_attempt *attempt) {
  return !strcmp(attempt->fault, "order") || !strcmp(attempt->fault, "end");
}

static void check_response_is_own(const check_index *index, const client_sim_attempt *attempt) {
  if (attempt->fault[0] && !is_stream_error(attempt))
    fleet_add_violation(index->fleet, "MIXED %s of %s: %s", attempt->request_id, kind_name(attempt),
                        attempt->fault);
  if (attempt->outcome != 'd' || !attempt->run_id[0])
    return;
  bool found = false, completed = false;
  const GPtrArray *runs = check_index_runs(index, attempt);
  for (guint i = 0; i < runs->len; i++) {
    const engine_run_record *run = runs->pdata[i];
    bool own = !strcmp(run->run_id, attempt->run_id);
    found |= own;
    completed |= run->outcome == 'd' && (own || check_is_retryable(attempt->request->kind));
  }
  if (!found)
    fleet_add_violation(index->fleet, "MIXED %s of %s carries a run id that none of its runs has",
                        attempt->request_id, kind_name(attempt));
  else if (!completed)
    fleet_add_violation(index->fleet, "MIXED %s of %s succeeded, but no engine completed it",
                        attempt->request_id, kind_name(attempt));
}

void gateway_check_responses_not_mixed(deployment *deployment) {
  check_each_attempt(deployment, check_response_is_own);
}

static void check_run_was_sent(const check_index *index, const engine_run_record *run) {
  if (!check_was_run(run))
    return;
  const client_sim_attempt *attempt = check_index_attempt(index, run->request_id);
  if (!attempt)
    fleet_add_violation(index->fleet, "UNASKED %s was run by %s", run->request_id,
                        run->engine.text);
  else if (attempt->request_checksum != run->request_checksum)
    fleet_add_violation(index->fleet, "UNASKED %s was altered before it reached %s",
                        run->request_id, run->engine.text);
}

void gateway_check_unasked(deployment *deployment) {
  check_each_run(deployment, check_run_was_sent);
}

static void check_attempt_run_once(const check_index *index, const client_sim_attempt *attempt) {
  const GPtrArray *runs = check_index_runs(index, attempt);
  int count = 0;
  for (guint i = 0; i < runs->len; i++)
    count += check_was_run(runs->pdata[i]);
  if (!check_is_retryable(attempt->request->kind) && count > 1)
    fleet_add_violation(index->fleet, "TWICE %s of %s was run %d times", attempt->request_id,
                        kind_name(attempt), count);
}

void gateway_check_run_once(deployment *deployment) {
  check_each_attempt(deployment, check_attempt_run_once);
}

/* whether a status promises that the request was not run */
static bool says_not_run(int status) {
  return status == 429 || status == 503 || status == 408 || status == 421;
}

static void check_refused_not_run(const check_index *index, const client_sim_attempt *attempt) {
  if (check_is_retryable(attempt->request->kind) || !says_not_run(attempt->status))
    return;
  const GPtrArray *runs = check_index_runs(index, attempt);
  for (guint i = 0; i < runs->len; i++) {
    const engine_run_record *run = runs->pdata[i];
    if (!check_was_run(run))
      continue;
    fleet_add_violation(index->fleet, "REFUSED %s of %s got status %d, but %s ran it (outcome %c)",
                        attempt->request_id, kind_name(attempt), attempt->status, run->engine.text,
                        run->outcome);
    return;
  }
}

void gateway_check_refused(deployment *deployment) {
  check_each_attempt(deployment, check_refused_not_run);
}

static bool is_denied(const client_sim_attempt *attempt) {
  int status = attempt->status;
  return attempt->outcome == 's' && status >= 300 && status < 500 && !says_not_run(status);
}

void gateway_check_denied(deployment *deployment) {
  const GPtrArray *attempts = deployment->client->attempts;
  int denied = 0;
  for (guint i = 0; i < attempts->len; i++)
    denied += is_denied(attempts->pdata[i]);
  if (denied > DENIED_MAX + (int)attempts->len / ATTEMPTS_PER_DENIED)
    fleet_add_violation(deployment->fleet, "DENIED %d of %u valid requests", denied, attempts->len);
}

static void check_event_order(const check_index *index, const client_sim_attempt *attempt) {
  if (is_stream_error(attempt))
    fleet_add_violation(index->fleet, "ORDER %s of %s: %s after event %" PRIu64,
                        attempt->request_id, kind_name(attempt), attempt->fault,
                        attempt->last_event);
}

void gateway_check_order(deployment *deployment) {
  check_each_attempt(deployment, check_event_order);
}
