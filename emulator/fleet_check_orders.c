/** @file
 * R8, R9 and R10: lease holders, capacity and load rate, checked on the orders that engines
 * received.
 */
#include "fleet_check_records.h"
#include <stdio.h>

/** Windows of the load rate limit, in seconds. */
static const int LOAD_WINDOWS_S[] = { 1, 10 };

/* a holder of an engine's lease under one epoch, from its first order to its last */
typedef struct holder_span {
  id holder;
  uint64_t epoch;
  time_us first_at, last_at;
} holder_span;

/* the span to which an order belongs, or NULL; reports other holders with the same epoch */
static holder_span *find_span(fleet *fleet, const host *host, GArray *spans,
                              const engine_sim_order *order) {
  holder_span *found = NULL;
  for (guint i = 0; i < spans->len; i++) {
    holder_span *span = &g_array_index(spans, holder_span, i);
    if (span->epoch != order->epoch)
      continue;
    if (id_equal(span->holder, order->holder))
      found = span;
    else
      fleet_add_violation(fleet, "R8 %s got orders of both %s and %s with epoch %" PRIu64,
                          host->self.text, span->holder.text, order->holder.text, order->epoch);
  }
  return found;
}

/* the holders of an engine's lease, sorted by their first orders; orders that arrived while the
 * engine was frozen are left out, since their arrival time is unknown */
static GArray *list_holder_spans(fleet *fleet, host *host) {
  GArray *orders = engine_orders_of_host(fleet, host);
  GArray *spans = g_array_new(FALSE, TRUE, sizeof(holder_span));
  for (guint i = 0; i < orders->len; i++) {
    const engine_sim_order *order = &g_array_index(orders, engine_sim_order, i);
    if (order->after_freeze)
      continue;
    holder_span *span = find_span(fleet, host, spans, order);
    if (span) {
      span->last_at = order->received_at;
      continue;
    }
    holder_span first = { order->holder, order->epoch, order->received_at, order->received_at };
    g_array_append_val(spans, first);
  }
  g_array_free(orders, TRUE);
  return spans;
}

static void check_successor(fleet *fleet, const host *host, const holder_span *previous,
                            const holder_span *span) {
  if (span->epoch <= previous->epoch)
    fleet_add_violation(
        fleet, "R8 %s got an order of %s with epoch %" PRIu64 " after one of %s with %" PRIu64,
        host->self.text, span->holder.text, span->epoch, previous->holder.text, previous->epoch);
  if (previous->last_at.us >= span->first_at.us)
    fleet_add_violation(fleet, "R8 %s got an order of %s %.2f s after the first of %s",
                        host->self.text, previous->holder.text,
                        (double)time_sub(previous->last_at, span->first_at).us / 1e6,
                        span->holder.text);
}

/* Both changes among three holders happen between the last order of the first and the first order
 * of the third, so that time is at least the time between the two changes. */
static void check_two_changes(fleet *fleet, const host *host, const holder_span *spans) {
  const holder_span *first = &spans[0], *second = &spans[1], *third = &spans[2];
  time_us elapsed = time_sub(third->first_at, first->last_at);
  if (!id_equal(first->holder, second->holder) && !id_equal(second->holder, third->holder) &&
      elapsed.us < FLEET_LEASE_CHANGE_MIN_MS * 1000)
    fleet_add_violation(fleet, "R8 the holder of %s changed twice within %.2f s", host->self.text,
                        (double)elapsed.us / 1e6);
}

void fleet_check_lease_succession(fleet *fleet) {
  for (int i = 0; i < fleet->engines; i++) {
    host *host = fleet->engine[i];
    GArray *list = list_holder_spans(fleet, host);
    const holder_span *spans = (const holder_span *)list->data;
    for (guint k = 1; k < list->len; k++) {
      check_successor(fleet, host, &spans[k - 1], &spans[k]);
      if (k > 1)
        check_two_changes(fleet, host, &spans[k - 2]);
    }
    g_array_free(list, TRUE);
  }
}

static void check_engine_capacity(fleet *fleet, host *host, engine_sim *engine, void *context) {
  (void)context;
  if (engine->orphaned_adapters)
    fleet_add_violation(
        fleet, "R9 %s was ordered to unload a base model that %" PRIu64 " loaded adapters need",
        host->self.text, engine->orphaned_adapters);
  if (engine->over_capacity_orders)
    fleet_add_violation(fleet, "R9 %s was ordered beyond its capacity %" PRIu64 " times",
                        host->self.text, engine->over_capacity_orders);
}

void fleet_check_capacity(fleet *fleet) {
  fleet_each_engine_sim(fleet, check_engine_capacity, NULL);
}

static GArray *list_loads(fleet *fleet) {
  GArray *orders = engine_orders_of_fleet(fleet);
  GArray *loads = g_array_new(FALSE, TRUE, sizeof(engine_sim_order));
  for (guint i = 0; i < orders->len; i++) {
    const engine_sim_order *order = &g_array_index(orders, engine_sim_order, i);
    if (order->kind == 'l' && !order->after_freeze)
      g_array_append_vals(loads, order, 1);
  }
  g_array_free(orders, TRUE);
  return loads;
}

static void print_loads(const GArray *loads, guint from, guint to) {
  for (guint i = from; i <= to; i++) {
    const engine_sim_order *load = &g_array_index(loads, engine_sim_order, i);
    fprintf(stderr, "  load at %.3f of %s by %s epoch %" PRIu64 "\n",
            (double)load->received_at.us / 1e6, load->model.text, load->holder.text, load->epoch);
  }
}

/* whether two loads are at least a window apart */
static bool is_out_of_window(const GArray *loads, guint earlier, guint later, int window_s) {
  time_us elapsed = time_sub(g_array_index(loads, engine_sim_order, later).received_at,
                             g_array_index(loads, engine_sim_order, earlier).received_at);
  return elapsed.us >= (int64_t)window_s * 1000000;
}

static void check_load_window(fleet *fleet, const GArray *loads, int window_s) {
  guint max = (guint)(fleet->loads_per_s * window_s), from = 0;
  if (max < 1)
    max = 1;
  for (guint i = 0; i < loads->len; i++) {
    while (is_out_of_window(loads, from, i, window_s))
      from++;
    guint count = i - from + 1;
    if (count <= max)
      continue;
    if (g_getenv("SIM_NOTES"))
      print_loads(loads, from, i);
    fleet_add_violation(fleet, "R10 %u loads began within %d s; the store allows %u", count,
                        window_s, max);
    return;
  }
}

void fleet_check_load_rate(fleet *fleet) {
  GArray *loads = list_loads(fleet);
  for (size_t i = 0; i < G_N_ELEMENTS(LOAD_WINDOWS_S); i++)
    check_load_window(fleet, loads, LOAD_WINDOWS_S[i]);
  g_array_free(loads, TRUE);
}
