/** @file
 * R1, R2, R3 and R11: compares what callers saw of their requests with what engines ran. */
#include "fleet_check_records.h"

enum {
  /** The share of retries is checked only with more requests than this; each attempt of a caller
   * counts as a request. */
  RETRY_CHECK_REQUESTS_MIN = 50,
  /** Allowed retries: one for each REQUESTS_PER_RETRY requests, plus RETRIES_PER_ROUTER for each
   * router. */
  REQUESTS_PER_RETRY = 10,
  RETRIES_PER_ROUTER = 2,
  /** An engine in slow start may run SLOW_START_FACTOR times the streams granted so far, which
   * count as at least SLOW_START_GRANT_MIN, plus SLOW_START_SLACK. */
  SLOW_START_FACTOR = 2,
  SLOW_START_GRANT_MIN = 2,
  SLOW_START_SLACK = 4
};

static void check_request_runs(fleet *fleet, const request_records *records,
                               const loadgen_request *request) {
  const GPtrArray *runs = request_records_runs(records, request->tag);
  if (runs->len > 1 && !request->resumable)
    fleet_add_violation(fleet, "R1 request %s can't be resumed and ran %u times", request->tag,
                        runs->len);
  for (guint i = 0; i < runs->len; i++) {
    const loadgen_attempt *attempt = request_records_attempt_of_run(records, runs->pdata[i]);
    if (attempt && attempt->outcome == OUTCOME_NOT_RUN)
      fleet_add_violation(fleet, "R2 request %s was reported as not run, but ran (code %d)",
                          request->tag, attempt->code);
  }
  if (request->outcome == OUTCOME_WRONG)
    fleet_add_violation(fleet, "R3 request %s got a response that is not its own or not complete",
                        request->tag);
  if (request->outcome == OUTCOME_DONE && runs->len < 1)
    fleet_add_violation(fleet, "R3 request %s got a response that no engine sent", request->tag);
}

static bool attempt_was_refused(const loadgen_attempt *attempt) {
  int status = attempt->status;
  return (status == 429 || status == 503 || status == 504 || status == 502) &&
         attempt->outcome != OUTCOME_NO_RESPONSE;
}

static void check_refusals(fleet *fleet, const request_records *records,
                           const loadgen_request *request) {
  const GPtrArray *attempts = request_records_attempts(records, request->tag);
  for (guint i = 0; i < attempts->len; i++) {
    const loadgen_attempt *attempt = attempts->pdata[i];
    if (attempt_was_refused(attempt) && attempt->retry_s < 1)
      fleet_add_violation(fleet, "request %s was refused (status %d) without a time to retry",
                          request->tag, attempt->status);
  }
}

void fleet_check_runs(fleet *fleet) {
  request_records records = request_records_new(fleet);
  const GPtrArray *requests = fleet->callers->loadgen->requests;
  for (guint i = 0; i < requests->len; i++) {
    check_request_runs(fleet, &records, requests->pdata[i]);
    check_refusals(fleet, &records, requests->pdata[i]);
  }
  request_records_free(&records);
}

static int count_of(GHashTable *counts, const char *tag) {
  return GPOINTER_TO_INT(g_hash_table_lookup(counts, tag));
}

static void count_up(GHashTable *counts, char *tag) {
  g_hash_table_insert(counts, tag, GINT_TO_POINTER(count_of(counts, tag) + 1));
}

static void count_arrivals(fleet *fleet, host *host, engine_sim *engine, void *counts) {
  (void)fleet;
  (void)host;
  for (guint i = 0; i < engine->streams->len; i++)
    count_up(counts, g_array_index(engine->streams, engine_sim_stream, i).tag);
  for (guint i = 0; i < engine->refusals->len; i++)
    count_up(counts, g_array_index(engine->refusals, engine_sim_refusal, i).tag);
}

/* how many arrivals engines recorded in excess of one for each attempt of a caller */
static int count_retries(GHashTable *arrivals, GHashTable *attempts) {
  int retries = 0;
  GHashTableIter iterator;
  gpointer tag, count;
  g_hash_table_iter_init(&iterator, arrivals);
  while (g_hash_table_iter_next(&iterator, &tag, &count))
    retries += MAX(0, GPOINTER_TO_INT(count) - MAX(1, count_of(attempts, tag)));
  return retries;
}

void fleet_check_retries(fleet *fleet) {
  GHashTable *arrivals = g_hash_table_new(g_str_hash, g_str_equal);
  GHashTable *attempts = g_hash_table_new(g_str_hash, g_str_equal);
  GArray *log = fleet->callers->loadgen->attempts;
  fleet_each_engine_sim(fleet, count_arrivals, arrivals);
  for (guint i = 0; i < log->len; i++)
    count_up(attempts, g_array_index(log, loadgen_attempt, i).request->tag);
  int retries = count_retries(arrivals, attempts), requests = (int)log->len;
  int allowed = requests / REQUESTS_PER_RETRY + RETRIES_PER_ROUTER * fleet->routers;
  if (requests > RETRY_CHECK_REQUESTS_MIN && retries > allowed)
    fleet_add_violation(fleet, "R11 %d retries for %d requests", retries, requests);
  g_hash_table_destroy(arrivals);
  g_hash_table_destroy(attempts);
}

/* how many of an engine's streams up to a position in its record were running when the one at that
 * position started */
static int count_running(const engine_sim *engine, guint position) {
  time_us at = g_array_index(engine->streams, engine_sim_stream, position).started_at;
  int running = 0;
  for (guint i = 0; i <= position; i++) {
    const engine_sim_stream *run = &g_array_index(engine->streams, engine_sim_stream, i);
    running += !run->ended_at.us || run->ended_at.us > at.us;
  }
  return running;
}

static void check_engine_slow_start(fleet *fleet, host *host, engine_sim *engine, void *context) {
  (void)context;
  for (guint i = 0; i < engine->streams->len; i++) {
    const engine_sim_stream *run = &g_array_index(engine->streams, engine_sim_stream, i);
    double age_s = (double)time_sub(run->started_at, engine->started_at).us / 1e6;
    double grant = fleet->streams_per_engine * age_s / fleet->slow_start_s;
    if (age_s >= fleet->slow_start_s)
      return;
    int running = count_running(engine, i);
    if (running <= SLOW_START_FACTOR * MAX(SLOW_START_GRANT_MIN, grant) + SLOW_START_SLACK)
      continue;
    fleet_add_violation(fleet,
                        "R11 %s ran %d streams %.2f s after its start; slow start grants %.1f",
                        host->self.text, running, age_s, grant);
    return;
  }
}

void fleet_check_slow_start(fleet *fleet) {
  fleet_each_engine_sim(fleet, check_engine_slow_start, NULL);
}
