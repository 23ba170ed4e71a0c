/** Retry budget; see retry_budget.h. Requests and retries are counted in buckets of BUCKET_MS, so
 * that a window uses a bounded amount of memory. */
#include "retry_budget.h"
#include "gateway.h"

enum { BUCKET_MS = 500, DEFAULT_WINDOW_MS = 10000 };
/* Defaults of the settings. */
static const double DEFAULT_RATIO = 0.2, DEFAULT_SLACK = 20;
/* Shares of the fleet-wide limit that all gateways together use. The rest is a reserve for gateways
 * that don't know of each other or have restarted within the window. */
static const double SLACK_SHARE = 0.5, RATIO_SHARE = 0.6;

typedef struct budget_bucket {
  int64_t index; /* time / BUCKET_MS */
  int count;
} budget_bucket;

static double retry_ratio_of(const gateway *gateway) {
  return gateway->settings.retry_ratio > 0 ? gateway->settings.retry_ratio : DEFAULT_RATIO;
}

static double retry_slack_of(const gateway *gateway) {
  return gateway->settings.retry_slack > 0 ? gateway->settings.retry_slack : DEFAULT_SLACK;
}

static int64_t window_ms(const gateway *gateway) {
  return gateway->settings.retry_window_s > 0 ? (int64_t)(gateway->settings.retry_window_s * 1000)
                                              : DEFAULT_WINDOW_MS;
}

static void retry_budget_free(void *context) {
  retry_budget *budget = context;
  g_array_free(budget->request_buckets, TRUE);
  g_array_free(budget->retry_buckets, TRUE);
  g_free(budget);
}

GHashTable *retry_budgets_new(void) {
  return g_hash_table_new_full(g_str_hash, g_str_equal, NULL, retry_budget_free);
}

retry_budget *retry_budget_of(gateway *gateway, const service *service) {
  retry_budget *budget = g_hash_table_lookup(gateway->retry_budgets, service->name.text);
  if (budget)
    return budget;
  budget = g_new0(retry_budget, 1);
  budget->service = service->name;
  budget->request_buckets = g_array_new(FALSE, FALSE, sizeof(budget_bucket));
  budget->retry_buckets = g_array_new(FALSE, FALSE, sizeof(budget_bucket));
  g_hash_table_insert(gateway->retry_budgets, budget->service.text, budget);
  return budget;
}

static void bucket_increment(GArray *buckets, int64_t index) {
  budget_bucket *last =
      buckets->len ? &g_array_index(buckets, budget_bucket, buckets->len - 1) : NULL;
  if (last && last->index == index) {
    last->count++;
    return;
  }
  budget_bucket first = { index, 1 };
  g_array_append_val(buckets, first);
}

/* sums up the buckets after an index and drops the others */
static int count_since(GArray *buckets, int64_t index) {
  guint expired = 0;
  int count = 0;
  for (guint i = 0; i < buckets->len; i++) {
    const budget_bucket *bucket = &g_array_index(buckets, budget_bucket, i);
    if (bucket->index <= index)
      expired = i + 1;
    else
      count += bucket->count;
  }
  if (expired)
    g_array_remove_range(buckets, 0, expired);
  return count;
}

double retry_budget_node_share(double retry_slack, double retry_ratio, int node_count,
                               double own_requests) {
  return SLACK_SHARE * retry_slack / MAX(node_count, 1) + RATIO_SHARE * retry_ratio * own_requests;
}

static int64_t current_bucket(const gateway *gateway) {
  return gateway_now(gateway).us / (BUCKET_MS * 1000);
}

static int live_node_count(const gateway *gateway) {
  int count = 1;
  list_for_each (peer, &gateway->router->node.peers, peer_node, link)
    count += peer->role == ROLE_ROUTER && peer_is_live(peer) && !peer->gone;
  return count;
}

void retry_budget_record_request(gateway *gateway, const service *service) {
  retry_budget *budget = retry_budget_of(gateway, service);
  int64_t now = current_bucket(gateway);
  count_since(budget->request_buckets, now - window_ms(gateway) / BUCKET_MS);
  bucket_increment(budget->request_buckets, now);
  budget->request_count++;
}

bool retry_budget_available(gateway *gateway, const service *service) {
  retry_budget *budget = retry_budget_of(gateway, service);
  int64_t now = current_bucket(gateway), span = window_ms(gateway) / BUCKET_MS;
  /* a retry counts for one bucket longer than the window and a request does not, so that the limit
   * holds for a window at any offset from the bucket boundaries */
  int requests = count_since(budget->request_buckets, now - span),
      retries = count_since(budget->retry_buckets, now - span - 1);
  return retries + 1 <= retry_budget_node_share(retry_slack_of(gateway), retry_ratio_of(gateway),
                                                live_node_count(gateway), requests);
}

bool retry_budget_take(gateway *gateway, const service *service) {
  if (!retry_budget_available(gateway, service))
    return false;
  retry_budget *budget = retry_budget_of(gateway, service);
  bucket_increment(budget->retry_buckets, current_bucket(gateway));
  budget->retries++;
  gateway->counts.retries++;
  return true;
}
