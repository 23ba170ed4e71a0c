/** @file
 * Counts of the records of clients and engines, for debugging. */
#include "deployment_report.h"
#include "status.h"
#include <stdio.h>

enum { OUTCOMES = 128 };

static void print_attempt_counts(const deployment *deployment) {
  GHashTable *counts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < deployment->client->attempts->len; i++) {
    const client_sim_attempt *attempt = deployment->client->attempts->pdata[i];
    char *key = g_strdup_printf("%s %c %d %s", attempt->request->kind->name, attempt->outcome,
                                attempt->status, attempt->fault);
    int count = GPOINTER_TO_INT(g_hash_table_lookup(counts, key));
    g_hash_table_insert(counts, key, GINT_TO_POINTER(count + 1));
  }
  GList *keys = g_list_sort(g_hash_table_get_keys(counts), (GCompareFunc)strcmp);
  for (GList *key = keys; key; key = key->next)
    fprintf(stderr, "  attempts: %-24s %d\n", (char *)key->data,
            GPOINTER_TO_INT(g_hash_table_lookup(counts, key->data)));
  g_list_free(keys);
  g_hash_table_destroy(counts);
}

static void print_failed_attempts(const deployment *deployment) {
  for (guint i = 0; i < deployment->client->attempts->len; i++) {
    const client_sim_attempt *attempt = deployment->client->attempts->pdata[i];
    const client_sim_request *request = attempt->request;
    if (attempt->outcome == 'd')
      continue;
    fprintf(stderr,
            "  failed: %.3f-%.3f %s %s/%s at %s outcome %c status %d retry after %.2f last event "
            "%" PRIu64 "\n",
            (double)attempt->sent_at.us / 1e6, (double)attempt->ended_at.us / 1e6,
            request->kind->name, request->model.text, request->adapter.text, attempt->node,
            attempt->outcome, attempt->status, attempt->retry_s, attempt->last_event);
  }
}

static void print_gateways(const deployment *deployment) {
  for (int i = 0; i < deployment->fleet->routers; i++) {
    GString *status = g_string_new(NULL);
    if (deployment->gateway_processes[i]->gateway)
      gateway_status(deployment->gateway_processes[i]->gateway, status);
    fprintf(stderr, "  status of %s: %s\n", deployment->fleet->router[i]->self.text, status->str);
    g_string_free(status, TRUE);
  }
}

static void print_run_counts(const deployment *deployment) {
  int runs[OUTCOMES] = { 0 };
  for (guint i = 0; i < deployment->log->runs->len; i++) {
    const engine_run_record *run = deployment->log->runs->pdata[i];
    runs[(unsigned char)run->outcome % OUTCOMES]++;
  }
  fprintf(stderr, "  runs:");
  for (int i = ' '; i < OUTCOMES - 1; i++)
    if (runs[i])
      fprintf(stderr, " %c %d", i, runs[i]);
}

static int count_met_targets(const deployment *deployment) {
  int count = 0;
  for (guint i = 0; i < deployment->client->requests->len; i++)
    count += ((const client_sim_request *)deployment->client->requests->pdata[i])->met_target;
  return count;
}

static int count_loads(const deployment *deployment) {
  int count = 0;
  for (guint i = 0; i < deployment->log->orders->len; i++) {
    const engine_order_record *order = deployment->log->orders->pdata[i];
    count += order->op == 'l' && order->started;
  }
  return count;
}

void deployment_print_counts(const deployment *deployment) {
  const engine_record_log *log = deployment->log;
  print_attempt_counts(deployment);
  if (g_getenv("SIM_BAD")) {
    print_failed_attempts(deployment);
    print_gateways(deployment);
  }
  print_run_counts(deployment);
  fprintf(stderr,
          "; requests %u, in time %d; orders %u, loads %d; heartbeats %" PRIu64 ", failed %" PRIu64
          ", reports %" PRIu64 ", health checks %" PRIu64 "\n",
          deployment->client->requests->len, count_met_targets(deployment), log->orders->len,
          count_loads(deployment), log->heartbeats, log->heartbeats_failed, log->reports,
          log->health_checks);
}
