/** @file
 * Rules about trials of a policy, checked on the policy that engines recorded with each run: "TRIAL
 * old" or "TRIAL candidate". Runs are checked in the order in which their attempts were sent, since
 * a request's policy is chosen when it arrives. */
#include "gateway_check_index.h"
#include <stdio.h>

static const char OLD_SUFFIX[] = " old", CANDIDATE_SUFFIX[] = " candidate";

/* what the requests of one session in one trial have shown so far */
typedef struct trial_session {
  bool old_seen, candidate_seen;
  /* the session was served under the candidate and later under the old policy */
  bool returned;
  /* when it was first served under the old policy; if a fault was in effect then, the fault's end
   */
  time_us old_at;
} trial_session;

typedef struct trial_check {
  check_index index;
  /* from session to the first client_sim_attempt that was sent to a gateway with a fault, even if
   * no engine ran it */
  GHashTable *first_attempts_in_fault;
  /* from "TRIAL SESSION" to trial_session */
  GHashTable *sessions;
} trial_check;

/* the end of the last of the faults that affect a host at an instant; without any, the instant */
static time_us fault_end_at(const deployment *deployment, const host *host, time_us at) {
  time_us end = at;
  for (guint i = 0; i < deployment->injected_faults->len; i++) {
    const injected_fault *fault = &g_array_index(deployment->injected_faults, injected_fault, i);
    bool concerns = !fault->host || fault->host == host;
    if (concerns && fault->from_at.us <= at.us && fault->until.us > end.us)
      end = fault->until;
  }
  return end;
}

static void record_first_attempts_in_fault(trial_check *check) {
  const deployment *deployment = check->index.deployment;
  for (guint i = 0; i < deployment->client->attempts->len; i++) {
    client_sim_attempt *attempt = deployment->client->attempts->pdata[i];
    if (!check_sent_in_fault(deployment, attempt))
      continue;
    char *session = g_strdup_printf("%s-%u", attempt->request->kind->name, attempt->request->user);
    const client_sim_attempt *first = g_hash_table_lookup(check->first_attempts_in_fault, session);
    if (!first || attempt->sent_at.us < first->sent_at.us)
      g_hash_table_insert(check->first_attempts_in_fault, session, attempt);
    else
      g_free(session);
  }
}

static gint compare_by_sending(gconstpointer a, gconstpointer b, gpointer context) {
  const check_index *index = context;
  const engine_run_record *x = *(engine_run_record *const *)a, *y = *(engine_run_record *const *)b;
  int64_t x_us = check_index_attempt(index, x->request_id)->sent_at.us;
  int64_t y_us = check_index_attempt(index, y->request_id)->sent_at.us;
  return x_us < y_us ? -1 : x_us > y_us;
}

/* the first run with a policy of each request, in the order of sending; reports requests with two
 * policies */
static GPtrArray *list_first_runs(trial_check *check) {
  const deployment *deployment = check->index.deployment;
  GHashTable *by_request = g_hash_table_new(g_str_hash, g_str_equal);
  GPtrArray *runs = g_ptr_array_new();
  for (guint i = 0; i < deployment->log->runs->len; i++) {
    engine_run_record *run = deployment->log->runs->pdata[i];
    if (!run->policy[0] || !check_index_attempt(&check->index, run->request_id))
      continue;
    const engine_run_record *first = g_hash_table_lookup(by_request, run->request_id);
    if (first && strcmp(first->policy, run->policy))
      fleet_add_violation(deployment->fleet, "SIDES %s was served under %s, and then under %s",
                          run->request_id, first->policy, run->policy);
    if (first)
      continue;
    g_hash_table_insert(by_request, run->request_id, run);
    g_ptr_array_add(runs, run);
  }
  g_hash_table_destroy(by_request);
  g_ptr_array_sort_with_data(runs, compare_by_sending, &check->index);
  return runs;
}

static trial_session *find_session(trial_check *check, const char *key) {
  trial_session *session = g_hash_table_lookup(check->sessions, key);
  if (!session) {
    session = g_new0(trial_session, 1);
    g_hash_table_insert(check->sessions, g_strdup(key), session);
  }
  return session;
}

static bool is_known_as_old(const trial_session *session, time_us at) {
  return at.us > session->old_at.us + SESSION_PROPAGATION_MS * 1000;
}

static void check_candidate_run(const trial_check *check, const char *key, trial_session *session,
                                const client_sim_attempt *attempt, const engine_run_record *run) {
  const deployment *deployment = check->index.deployment;
  if (session->old_seen && is_known_as_old(session, attempt->sent_at) &&
      !check_sent_in_fault(deployment, attempt))
    fleet_add_violation(
        deployment->fleet,
        "SIDES %s: %s is served under the candidate at %s, %.1f s after the session was served under the "
        "old policy",
        key, run->request_id, attempt->node,
        (double)(attempt->sent_at.us - session->old_at.us) / 1e6);
  session->candidate_seen = true;
}

static void check_old_run(const trial_check *check, const char *key, trial_session *session,
                          const client_sim_attempt *attempt, const engine_run_record *run) {
  const deployment *deployment = check->index.deployment;
  const client_sim_attempt *first_in_fault =
      g_hash_table_lookup(check->first_attempts_in_fault, run->session);
  bool excused = session->returned ||
                 (first_in_fault && first_in_fault->sent_at.us <= attempt->sent_at.us) ||
                 (session->old_seen && !is_known_as_old(session, attempt->sent_at));
  if (session->candidate_seen && !excused)
    fleet_add_violation(
        deployment->fleet,
        "SIDES %s: %s is served under the old policy at %s, sent at %.3f s, after the session was served "
        "under the candidate",
        key, run->request_id, attempt->node, (double)attempt->sent_at.us / 1e6);
  if (session->candidate_seen)
    session->returned = true;
  if (session->old_seen)
    return;
  session->old_seen = true;
  session->old_at =
      fault_end_at(deployment, check_host_of_ip(deployment, attempt->node), attempt->sent_at);
}

/* for debugging: prints the runs of the session that the environment variable SIM_SIDES names */
static void print_run(const trial_check *check, const client_sim_attempt *attempt,
                      const engine_run_record *run, const char *side) {
  const char *session = g_getenv("SIM_SIDES");
  if (!session || strcmp(session, run->session))
    return;
  bool in_fault = check_sent_in_fault(check->index.deployment, attempt);
  fprintf(stderr, "  %s: %s sent %.3f s at %s%s, ran at %s: %s\n", run->session, run->request_id,
          (double)attempt->sent_at.us / 1e6, attempt->node, in_fault ? " (during a fault)" : "",
          run->engine.text, side);
}

static void check_trial_run(trial_check *check, const engine_run_record *run) {
  const client_sim_attempt *attempt = check_index_attempt(&check->index, run->request_id);
  const char *side = strrchr(run->policy, ' ');
  bool is_candidate = side && !strcmp(side, CANDIDATE_SUFFIX);
  if (!is_candidate && (!side || strcmp(side, OLD_SUFFIX))) {
    fleet_add_violation(check->index.fleet, "SIDES %s has the policy \"%s\"", run->request_id,
                        run->policy);
    return;
  }
  print_run(check, attempt, run, side);
  char *key = g_strdup_printf("%.*s %s", (int)(side - run->policy), run->policy, run->session);
  trial_session *session = find_session(check, key);
  if (is_candidate)
    check_candidate_run(check, key, session, attempt, run);
  else
    check_old_run(check, key, session, attempt, run);
  g_free(key);
}

void gateway_check_trial_policies(deployment *deployment) {
  trial_check check = { .index = check_index_new(deployment) };
  check.first_attempts_in_fault = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  check.sessions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  record_first_attempts_in_fault(&check);
  GPtrArray *runs = list_first_runs(&check);
  for (guint i = 0; i < runs->len; i++)
    check_trial_run(&check, runs->pdata[i]);
  g_ptr_array_free(runs, TRUE);
  g_hash_table_destroy(check.first_attempts_in_fault);
  g_hash_table_destroy(check.sessions);
  check_index_free(&check.index);
}

static bool is_candidate_of(const engine_run_record *run, const char *trial) {
  size_t length = strlen(trial);
  return !strncmp(run->policy, trial, length) && !strcmp(run->policy + length, CANDIDATE_SUFFIX);
}

void gateway_check_trial_ended(deployment *deployment, const char *trial, time_us ended) {
  check_index index = check_index_new(deployment);
  for (guint i = 0; i < deployment->log->runs->len; i++) {
    const engine_run_record *run = deployment->log->runs->pdata[i];
    const client_sim_attempt *attempt = check_index_attempt(&index, run->request_id);
    if (!attempt || !is_candidate_of(run, trial) ||
        attempt->sent_at.us <= ended.us + TRIAL_END_PROPAGATION_MS * 1000)
      continue;
    fleet_add_violation(
        deployment->fleet,
        "RETURN %s was served under the candidate at %s, sent %.1f s after the trial's end",
        run->request_id, attempt->node, (double)(attempt->sent_at.us - ended.us) / 1e6);
    break;
  }
  check_index_free(&index);
}
