/** Computes a day's result from the records of clients and engines. */
#include "day_result.h"

/* values of client_sim_attempt.outcome; any other means that the response ended early */
enum { ATTEMPT_OPEN = 'o', ATTEMPT_OTHER_STATUS = 's', ATTEMPT_TIMEOUT = 'l' };

static void count_unserved(day_totals *totals, const client_sim_request *request,
                           const client_sim_attempt *last) {
  if (!request->done || !last || last->outcome == ATTEMPT_OPEN)
    totals->unanswered++;
  else if (last->outcome == ATTEMPT_OTHER_STATUS)
    totals->refused++;
  else if (last->outcome == ATTEMPT_TIMEOUT)
    totals->timed_out++;
  else
    totals->broken++;
}

static void count_request(day_totals *totals, const client_sim_request *request,
                          const client_sim_attempt *last) {
  totals->sent++;
  if (!request->served) {
    count_unserved(totals, request, last);
    return;
  }
  totals->served++;
  totals->in_target += request->met_target;
  totals->late += !request->met_target;
  if (request->first_byte_at.us) {
    totals->first_ms += (double)(request->first_byte_at.us - request->started_at.us) / 1000;
    totals->first_count++;
  }
}

static void count_in_step(day_result *result, const client_sim_request *request, time_us from) {
  int64_t step = (request->started_at.us - from.us) / 1000 / DAY_STEP_MS;
  if (step < 0 || step >= DAY_STEPS_MAX)
    return;
  result->step_count = MAX(result->step_count, (size_t)step + 1);
  result->step_counts[step].sent++;
  result->step_counts[step].served += request->served;
  result->step_counts[step].in_target += request->met_target;
}

static void name_totals(day_result *result, const day *day, const client_sim *client) {
  g_strlcpy(result->total.name, "all", sizeof result->total.name);
  result->kind_count = day->kind_count;
  for (size_t i = 0; i < result->kind_count; i++)
    g_strlcpy(result->kind_totals[i].name, day->kinds[i].kind.name,
              sizeof result->kind_totals[i].name);
  result->zone_count = (int)client->area_count;
  for (int i = 0; i < result->zone_count; i++)
    g_strlcpy(result->zone_totals[i].name, client->areas[i].text,
              sizeof result->zone_totals[i].name);
}

/* maps each client_sim_request * to its last client_sim_attempt * */
static GHashTable *last_attempts(const client_sim *client) {
  GHashTable *last = g_hash_table_new(NULL, NULL);
  for (guint i = 0; i < client->attempts->len; i++) {
    client_sim_attempt *attempt = client->attempts->pdata[i];
    g_hash_table_insert(last, attempt->request, attempt);
  }
  return last;
}

static void count_requests(day_result *result, const client_sim *client, time_us from) {
  GHashTable *last = last_attempts(client);
  for (guint i = 0; i < client->requests->len; i++) {
    const client_sim_request *request = client->requests->pdata[i];
    const client_sim_attempt *attempt = g_hash_table_lookup(last, request);
    unsigned zone = request->user % MAX(client->area_count, 1);
    count_request(&result->total, request, attempt);
    for (guint k = 0; k < client->kinds->len; k++)
      if (client->kinds->pdata[k] == request->kind)
        count_request(&result->kind_totals[k], request, attempt);
    count_request(&result->zone_totals[zone], request, attempt);
    count_in_step(result, request, from);
  }
  g_hash_table_destroy(last);
}

static void count_runs(day_result *result, const engine_record_log *log) {
  GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
  for (guint i = 0; i < log->runs->len; i++) {
    engine_run_record *run = log->runs->pdata[i];
    if (engine_run_is_not_run(run)) {
      result->not_run++;
      continue;
    }
    result->runs++;
    if (!g_hash_table_add(seen, run->request_id))
      result->retries++;
  }
  g_hash_table_destroy(seen);
}

static void count_orders(day_result *result, const engine_record_log *log) {
  for (guint i = 0; i < log->orders->len; i++) {
    const engine_order_record *order = log->orders->pdata[i];
    result->orders++;
    if (order->status != 202)
      continue;
    result->loads += order->op == ENGINE_SIM_ORDER_LOAD;
    result->cold_loads += order->op == ENGINE_SIM_ORDER_LOAD && order->from_store;
    result->unloads += order->op == ENGINE_SIM_ORDER_UNLOAD;
  }
}

void day_result_collect(day_result *result, const day *day, const deployment *deployment,
                        time_us from) {
  const engine_record_log *log = deployment->log;
  name_totals(result, day, deployment->client);
  count_requests(result, deployment->client, from);
  count_runs(result, log);
  count_orders(result, log);
  result->heartbeats = log->heartbeats;
  result->reports = log->reports;
}

void day_result_clear(day_result *result) {
  g_free(result->violations);
  result->violations = NULL;
}
