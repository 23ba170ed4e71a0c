/** @file
 * Rules about load orders, checked on the records that engines keep of the orders they receive. */
#include "gateway_check_index.h"
#include <stdio.h>

/** Loads that are allowed in any window in addition to the rate. */
enum { LOAD_RATE_SLACK = 3 };

static int compare_orders(gconstpointer a, gconstpointer b) {
  const engine_order_record *x = *(engine_order_record *const *)a,
                            *y = *(engine_order_record *const *)b;
  return x->received_at.us < y->received_at.us ? -1 : x->received_at.us > y->received_at.us;
}

/* whether the sender was unfrozen, or its network links were restored, just before an instant */
static bool recently_recovered(const deployment *deployment, id holder, time_us at) {
  const host *host = sim_find_host(deployment->sim, holder.text);
  for (guint i = 0; i < deployment->injected_faults->len; i++) {
    const injected_fault *fault = &g_array_index(deployment->injected_faults, injected_fault, i);
    if ((fault->host == host || !fault->host) && at.us >= fault->until.us &&
        at.us <= fault->until.us + HOLDER_GRACE_MS * 1000)
      return true;
  }
  return false;
}

static bool shows_holder(const deployment *deployment, const engine_order_record *order) {
  return order->status != 421 && order->fencing_token >= 0 && !id_is_empty(order->holder) &&
         !recently_recovered(deployment, order->holder, order->received_at);
}

/* the orders that show who held the lease, sorted by arrival */
static GPtrArray *list_holder_orders(const deployment *deployment) {
  GPtrArray *orders = g_ptr_array_new();
  for (guint i = 0; i < deployment->log->orders->len; i++)
    if (shows_holder(deployment, deployment->log->orders->pdata[i]))
      g_ptr_array_add(orders, deployment->log->orders->pdata[i]);
  g_ptr_array_sort(orders, compare_orders);
  return orders;
}

/* reports two orders for an engine whose fencing tokens are equal under different holders, or
 * decrease; returns whether it did */
static bool report_fencing_violation(const deployment *deployment,
                                     const engine_order_record *earlier,
                                     const engine_order_record *order) {
  if (earlier->fencing_token == order->fencing_token && !id_equal(earlier->holder, order->holder)) {
    fleet_add_violation(deployment->fleet, "ONE %s: %s and %s share fencing token %" PRId64,
                        order->engine.text, earlier->holder.text, order->holder.text,
                        order->fencing_token);
    return true;
  }
  if (earlier->fencing_token > order->fencing_token) {
    fleet_add_violation(deployment->fleet,
                        "ONE %s: fencing token %" PRId64 " of %s after %" PRId64 " of %s",
                        order->engine.text, order->fencing_token, order->holder.text,
                        earlier->fencing_token, earlier->holder.text);
    return true;
  }
  return false;
}

/* reports an order whose holder also sent one before that of another holder, within the length of a
 * lease; returns whether it did */
static bool report_alternating_holders(const deployment *deployment, const GPtrArray *orders,
                                       guint position, const engine_order_record *other) {
  const engine_order_record *order = orders->pdata[position];
  for (guint i = 0; i < position; i++) {
    const engine_order_record *earlier = orders->pdata[i];
    int64_t elapsed_us = order->received_at.us - earlier->received_at.us;
    if (!id_equal(earlier->engine, order->engine) || !id_equal(earlier->holder, order->holder) ||
        earlier->received_at.us >= other->received_at.us || elapsed_us > DEPLOYMENT_LEASE_MS * 1000)
      continue;
    fleet_add_violation(deployment->fleet, "ONE %s: orders of %s and %s alternate within %.1f s",
                        order->engine.text, order->holder.text, other->holder.text,
                        (double)elapsed_us / 1e6);
    return true;
  }
  return false;
}

/* compares an order with all earlier ones; returns whether it reported a violation */
static bool report_order_violation(const deployment *deployment, const GPtrArray *orders,
                                   guint position) {
  const engine_order_record *order = orders->pdata[position], *other = NULL;
  for (guint i = 0; i < position; i++) {
    const engine_order_record *earlier = orders->pdata[i];
    if (!id_equal(earlier->engine, order->engine))
      continue;
    if (report_fencing_violation(deployment, earlier, order))
      return true;
    if (!id_equal(earlier->holder, order->holder))
      other = earlier;
  }
  if (!other || order->received_at.us - other->received_at.us > DEPLOYMENT_LEASE_MS * 1000)
    return false;
  return report_alternating_holders(deployment, orders, position, other);
}

static void print_orders(const GPtrArray *orders) {
  for (guint i = 0; i < orders->len; i++) {
    const engine_order_record *order = orders->pdata[i];
    fprintf(stderr, "  order %.3f %s %c %s %s by %s fencing token %" PRId64 " status %d%s\n",
            (double)order->received_at.us / 1e6, order->engine.text, order->op, order->model.text,
            order->adapter.text, order->holder.text, order->fencing_token, order->status,
            order->from_store ? " store" : "");
  }
}

/* only the first violation is reported, since others follow from it */
void gateway_check_single_holder(deployment *deployment) {
  GPtrArray *orders = list_holder_orders(deployment);
  bool reported = false;
  for (guint i = 0; i < orders->len && !reported; i++)
    reported = report_order_violation(deployment, orders, i);
  if (g_getenv("SIM_COUNT"))
    print_orders(orders);
  g_ptr_array_free(orders, TRUE);
}

void gateway_check_limit(deployment *deployment) {
  for (guint i = 0; i < deployment->log->orders->len; i++) {
    const engine_order_record *order = deployment->log->orders->pdata[i];
    if (order->over_capacity)
      fleet_add_violation(deployment->fleet,
                          "LIMIT %s was ordered by %s to load %s%s%s, which exceeds its memory",
                          order->engine.text, order->holder.text, order->model.text,
                          id_is_empty(order->adapter) ? "" : "/", order->adapter.text);
  }
}

/* the times at which engines accepted loads from the weight store while the control plane had no
 * fault */
static GArray *list_store_loads(const deployment *deployment) {
  GArray *loads = g_array_new(FALSE, TRUE, sizeof(time_us));
  for (guint i = 0; i < deployment->log->orders->len; i++) {
    const engine_order_record *order = deployment->log->orders->pdata[i];
    if (order->op == 'l' && order->from_store && order->status == 202 &&
        !check_had_fault_at(deployment, NULL, order->received_at))
      g_array_append_val(loads, order->received_at);
  }
  return loads;
}

void gateway_check_load_rate(deployment *deployment) {
  GArray *loads = list_store_loads(deployment);
  double max = deployment->loads_per_s * LOAD_RATE_WINDOW_S * LOAD_RATE_EXCESS + LOAD_RATE_SLACK;
  for (guint i = 0; i < loads->len; i++) {
    int64_t from = g_array_index(loads, time_us, i).us;
    int count = check_count_between(loads, from, from + LOAD_RATE_WINDOW_S * 1000000);
    if (count <= max)
      continue;
    fleet_add_violation(deployment->fleet,
                        "CEILING %d loads from the weight store in %d s, %.1f are allowed", count,
                        LOAD_RATE_WINDOW_S, max);
    break;
  }
  g_array_free(loads, TRUE);
}
