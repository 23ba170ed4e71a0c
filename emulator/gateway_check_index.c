/** @file
 * An index is built for one check and then freed: checks run after traffic has ended, and a test
 * may change records between two checks. */
#include "gateway_check_index.h"

/* outcomes of an engine_run_record whose run was started: running, done, failed, client gone,
 * response lost or truncated, timed out */
static const char RUN_OUTCOMES[] = "rdfcbt";

static GHashTable *index_attempts(deployment *deployment) {
  GHashTable *attempts = g_hash_table_new(g_str_hash, g_str_equal);
  for (guint i = 0; i < deployment->client->attempts->len; i++) {
    client_sim_attempt *attempt = deployment->client->attempts->pdata[i];
    g_hash_table_insert(attempts, attempt->request_id, attempt);
  }
  return attempts;
}

static GHashTable *index_runs(deployment *deployment) {
  GHashTable *runs =
      g_hash_table_new_full(g_str_hash, g_str_equal, NULL, (GDestroyNotify)g_ptr_array_unref);
  for (guint i = 0; i < deployment->log->runs->len; i++) {
    engine_run_record *run = deployment->log->runs->pdata[i];
    GPtrArray *of_request = g_hash_table_lookup(runs, run->request_id);
    if (!of_request) {
      of_request = g_ptr_array_new();
      g_hash_table_insert(runs, run->request_id, of_request);
    }
    g_ptr_array_add(of_request, run);
  }
  return runs;
}

check_index check_index_new(deployment *deployment) {
  return (check_index){ deployment, deployment->fleet, index_attempts(deployment),
                        index_runs(deployment) };
}

void check_index_free(check_index *index) {
  g_hash_table_destroy(index->attempts);
  g_hash_table_destroy(index->runs);
}

client_sim_attempt *check_index_attempt(const check_index *index, const char *request_id) {
  return g_hash_table_lookup(index->attempts, request_id);
}

const GPtrArray *check_index_runs(const check_index *index, const client_sim_attempt *attempt) {
  static const GPtrArray none = { NULL, 0 };
  const GPtrArray *runs = g_hash_table_lookup(index->runs, attempt->request_id);
  return runs ? runs : &none;
}

void check_each_attempt(deployment *deployment, void (*check)(const check_index *index,
                                                              const client_sim_attempt *attempt)) {
  check_index index = check_index_new(deployment);
  for (guint i = 0; i < deployment->client->attempts->len; i++)
    check(&index, deployment->client->attempts->pdata[i]);
  check_index_free(&index);
}

void check_each_run(deployment *deployment,
                    void (*check)(const check_index *index, const engine_run_record *run)) {
  check_index index = check_index_new(deployment);
  for (guint i = 0; i < deployment->log->runs->len; i++)
    check(&index, deployment->log->runs->pdata[i]);
  check_index_free(&index);
}

bool check_was_run(const engine_run_record *run) {
  return strchr(RUN_OUTCOMES, run->outcome) != NULL;
}

bool check_was_interrupted(const engine_run_record *run) {
  return run->outcome == 'b' || run->outcome == 't';
}

bool check_is_retryable(const client_sim_kind *kind) {
  return kind->mode == CLIENT_SIM_SAFE || (kind->mode == CLIENT_SIM_STREAM && kind->resumable);
}

host *check_host_of_ip(const deployment *deployment, const char *address) {
  size_t length = strcspn(address, ":");
  list_for_each (h, &deployment->sim->hosts, host, link)
    if (strcspn(h->addr, ":") == length && !strncmp(h->addr, address, length))
      return h;
  return NULL;
}

bool check_had_fault(const deployment *deployment, const host *host, time_us from, time_us until) {
  for (guint i = 0; i < deployment->injected_faults->len; i++) {
    const injected_fault *fault = &g_array_index(deployment->injected_faults, injected_fault, i);
    if (fault->host && fault->host != host)
      continue;
    if (fault->from_at.us <= until.us && fault->until.us + FAULT_AFTERMATH_MS * 1000 >= from.us)
      return true;
  }
  return false;
}

bool check_had_fault_at(const deployment *deployment, const host *host, time_us at) {
  return check_had_fault(deployment, host, at, at);
}

bool check_sent_in_fault(const deployment *deployment, const client_sim_attempt *attempt) {
  return check_had_fault_at(deployment, check_host_of_ip(deployment, attempt->node),
                            attempt->sent_at);
}

bool check_fault_overlaps(const injected_fault *fault, const client_sim_attempt *attempt,
                          bool aftermath) {
  int64_t until_us = fault->until.us + (aftermath ? FAULT_AFTERMATH_MS * 1000 : 0);
  return fault->from_at.us <= attempt->ended_at.us && until_us >= attempt->sent_at.us;
}

int check_count_between(const GArray *instants, int64_t from, int64_t until) {
  int count = 0;
  for (guint i = 0; i < instants->len; i++) {
    int64_t at = g_array_index(instants, time_us, i).us;
    count += at >= from && at < until;
  }
  return count;
}
