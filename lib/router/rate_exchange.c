/**
 * Sends and receives rate reports.
 */
#include "rate_exchange.h"
#include "router.h"

enum {
  REPORT_INTERVAL_MS = 2000,
  /* Limits on the values in another router's report. */
  MAX_KEY_LENGTH = 130,
  MAX_LOAD_TIME_MS = 600000
};

static void broadcast_report(router *router, Wire__RateReport *report) {
  report->nonce = router->node.nonce;
  Wire__Envelope message = wire_envelope(WIRE__ENVELOPE__BODY_RATE_REPORT, report);
  peer_rpc_send_to_role(&router->node, ROLE_ROUTER, &message);
}

void rate_exchange_send_load_time(router *router, id type, const char *key, double ms) {
  Wire__LoadTime load_time = WIRE__LOAD_TIME__INIT, *load_times = &load_time;
  load_time.engine_type = type.text;
  load_time.key = (char *)key;
  load_time.duration_ms = (uint64_t)ms;
  Wire__RateReport report = WIRE__RATE_REPORT__INIT;
  report.n_load_times = 1;
  report.load_times = &load_times;
  broadcast_report(router, &report);
}

static void apply_load_time(router *router, const Wire__LoadTime *load_time) {
  if (!id_is_valid(string_view_of(load_time->engine_type)) ||
      strlen(load_time->key) >= MAX_KEY_LENGTH || load_time->duration_ms >= MAX_LOAD_TIME_MS)
    return;
  event_history_record_load_ms(&router->history, id_of_text(load_time->engine_type), load_time->key,
                               (double)load_time->duration_ms);
}

void rate_exchange_receive(router *router, const Wire__RateReport *report) {
  /* fleet totals are only used by gateways */
  for (size_t i = 0; !report->fleet_totals && i < report->n_counts; i++)
    if (strlen(report->counts[i]->key) < MAX_KEY_LENGTH)
      event_history_merge_remote_count(&router->history, report->nonce, report->counts[i]->key,
                                       report->counts[i]->total, report->counts[i]->in_window);
  for (size_t i = 0; i < report->n_load_times; i++)
    apply_load_time(router, report->load_times[i]);
}

static enum error_code on_rate_report(void *context, Wire__Envelope *in, reply *reply, error *err) {
  (void)reply;
  (void)err;
  rate_exchange_receive(context, in->rate_report);
  return OK;
}

/* Returns the counts of requests that this router itself has routed within the window. Keys are
 * borrowed. */
static GPtrArray *collect_counts(router *router) {
  GPtrArray *counts = g_ptr_array_new_with_free_func(g_free);
  GHashTableIter iterator;
  gpointer key;
  g_hash_table_iter_init(&iterator, router->history.local_rates);
  while (g_hash_table_iter_next(&iterator, &key, NULL)) {
    uint64_t total, in_window = event_history_local_count(&router->history, key, &total);
    if (!in_window)
      continue;
    Wire__RequestCount *count = g_new(Wire__RequestCount, 1);
    wire__request_count__init(count);
    count->key = key;
    count->in_window = in_window;
    count->total = total;
    g_ptr_array_add(counts, count);
  }
  return counts;
}

static void report_rates_run(void *context) {
  router *router = context;
  while (world_sleep_with_jitter(router->node.world, time_from_ms(REPORT_INTERVAL_MS))) {
    load_permit_decay_counts(router);
    GPtrArray *counts = collect_counts(router);
    Wire__RateReport report = WIRE__RATE_REPORT__INIT;
    report.n_counts = counts->len;
    report.counts = (Wire__RequestCount **)counts->pdata;
    if (counts->len)
      broadcast_report(router, &report);
    g_ptr_array_free(counts, TRUE);
  }
}

void rate_exchange_start(router *router) {
  peer_rpc_register_handler(&router->node, WIRE__ENVELOPE__BODY_RATE_REPORT, on_rate_report,
                            router);
  task_start(&router->node.world->tasks, "rates", report_rates_run, router);
}
