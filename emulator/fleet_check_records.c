/** @file
 * Collects the records of an engine over all its processes, each of which keeps its own. */
#include "fleet_check_records.h"

static void each_process(fleet *fleet, host *host, engine_sim_visitor *visit, void *context) {
  for (guint i = 0; i < host->past_engines->len; i++)
    visit(fleet, host, host->past_engines->pdata[i], context);
  if (host->engine)
    visit(fleet, host, host->engine, context);
}

void fleet_each_engine_sim(fleet *fleet, engine_sim_visitor *visit, void *context) {
  for (int i = 0; i < fleet->engines; i++)
    each_process(fleet, fleet->engine[i], visit, context);
}

static GHashTable *lists_new(void) {
  return g_hash_table_new_full(g_str_hash, g_str_equal, NULL, (GDestroyNotify)g_ptr_array_unref);
}

static void append_by_tag(GHashTable *lists, char *tag, void *record) {
  GPtrArray *list = g_hash_table_lookup(lists, tag);
  if (!list) {
    list = g_ptr_array_new();
    g_hash_table_insert(lists, tag, list);
  }
  g_ptr_array_add(list, record);
}

static const GPtrArray *find_by_tag(GHashTable *lists, const char *tag) {
  static const GPtrArray none = { NULL, 0 };
  const GPtrArray *list = g_hash_table_lookup(lists, tag);
  return list ? list : &none;
}

static void add_runs(fleet *fleet, host *host, engine_sim *engine, void *context) {
  (void)fleet;
  (void)host;
  request_records *records = context;
  for (guint i = 0; i < engine->streams->len; i++) {
    engine_sim_stream *run = &g_array_index(engine->streams, engine_sim_stream, i);
    append_by_tag(records->runs, run->tag, run);
  }
}

request_records request_records_new(fleet *fleet) {
  request_records records = { lists_new(), lists_new() };
  GArray *attempts = fleet->callers->loadgen->attempts;
  for (guint i = 0; i < attempts->len; i++) {
    loadgen_attempt *attempt = &g_array_index(attempts, loadgen_attempt, i);
    append_by_tag(records.attempts, attempt->request->tag, attempt);
  }
  fleet_each_engine_sim(fleet, add_runs, &records);
  return records;
}

void request_records_free(request_records *records) {
  g_hash_table_destroy(records->attempts);
  g_hash_table_destroy(records->runs);
}

const GPtrArray *request_records_attempts(const request_records *records, const char *tag) {
  return find_by_tag(records->attempts, tag);
}

const GPtrArray *request_records_runs(const request_records *records, const char *tag) {
  return find_by_tag(records->runs, tag);
}

loadgen_attempt *request_records_attempt_of_run(const request_records *records,
                                                const engine_sim_stream *run) {
  const GPtrArray *attempts = request_records_attempts(records, run->tag);
  loadgen_attempt *last = NULL;
  for (guint i = 0; i < attempts->len; i++) {
    loadgen_attempt *attempt = attempts->pdata[i];
    if (attempt->started_at.us <= run->started_at.us)
      last = attempt;
  }
  return last;
}

static int compare_orders(gconstpointer a, gconstpointer b) {
  const engine_sim_order *x = a, *y = b;
  return x->received_at.us < y->received_at.us ? -1 : x->received_at.us > y->received_at.us;
}

static void add_orders(fleet *fleet, host *host, engine_sim *engine, void *orders) {
  (void)fleet;
  (void)host;
  g_array_append_vals(orders, engine->orders->data, engine->orders->len);
}

GArray *engine_orders_of_host(fleet *fleet, host *host) {
  GArray *orders = g_array_new(FALSE, TRUE, sizeof(engine_sim_order));
  each_process(fleet, host, add_orders, orders);
  g_array_sort(orders, compare_orders);
  return orders;
}

GArray *engine_orders_of_fleet(fleet *fleet) {
  GArray *orders = g_array_new(FALSE, TRUE, sizeof(engine_sim_order));
  fleet_each_engine_sim(fleet, add_orders, orders);
  g_array_sort(orders, compare_orders);
  return orders;
}
