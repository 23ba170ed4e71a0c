#include "gateway.h"

/* A node takes at most its share, reckoned so that the shares of all nodes together stay below what
 * is allowed even when some nodes don't know of each other yet or have just forgotten what they
 * took. */
enum { BUCKET_MS = 500 };
typedef struct budget_bucket {
  int64_t index;
  int count;
} budget_bucket;

static double retry_ratio_of(const gateway *gateway) {
  return gateway->settings.retry_ratio > 0 ? gateway->settings.retry_ratio : 0.2;
}
static double retry_slack_of(const gateway *gateway) {
  return gateway->settings.retry_slack > 0 ? gateway->settings.retry_slack : 20;
}
static int64_t window_ms(const gateway *gateway) {
  return gateway->settings.retry_window_s > 0 ? (int64_t)(gateway->settings.retry_window_s * 1000)
                                              : 10000;
}

retry_budget *retry_budget_of(gateway *gateway, const service *service) {
  retry_budget *b = g_hash_table_lookup(gateway->retry_budgets, service->name.text);
  if (b)
    return b;
  b = g_new0(retry_budget, 1);
  b->service = service->name;
  b->request_buckets = g_array_new(FALSE, FALSE, sizeof(budget_bucket));
  b->retry_buckets = g_array_new(FALSE, FALSE, sizeof(budget_bucket));
  g_hash_table_insert(gateway->retry_budgets, b->service.text, b);
  return b;
}

static void retry_budget_free(void *p) {
  retry_budget *budget = p;
  g_array_free(budget->request_buckets, TRUE);
  g_array_free(budget->retry_buckets, TRUE);
  g_free(budget);
}

GHashTable *retry_budgets_new(void) {
  return g_hash_table_new_full(g_str_hash, g_str_equal, NULL, retry_budget_free);
}

static void bucket_increment(GArray *in, int64_t at) {
  budget_bucket *last = in->len ? &g_array_index(in, budget_bucket, in->len - 1) : NULL;
  if (last && last->index == at) {
    last->count++;
    return;
  }
  budget_bucket fresh = { at, 1 };
  g_array_append_val(in, fresh);
}

/* the sum over the buckets after one, with the older ones dropped */
static int count_since(GArray *in, int64_t after) {
  guint old = 0;
  int n = 0;
  for (guint i = 0; i < in->len; i++) {
    const budget_bucket *b = &g_array_index(in, budget_bucket, i);
    if (b->index <= after)
      old = i + 1;
    else
      n += b->count;
  }
  if (old)
    g_array_remove_range(in, 0, old);
  return n;
}

double retry_budget_node_share(double retry_slack, double retry_ratio, int nodes,
                               double own_requests) {
  return 0.5 * retry_slack / MAX(nodes, 1) + 0.6 * retry_ratio * own_requests;
}

static int64_t bucket_now(gateway *gateway) {
  return world_now(gateway->router->node.world).us / (BUCKET_MS * 1000);
}

static int live_node_count(gateway *gateway) {
  int n = 1;
  list_for_each (peer, &gateway->router->node.peers, peer_node, link)
    n += peer->role == ROLE_ROUTER && peer_is_live(peer) && !peer->gone;
  return n;
}

void retry_budget_record_request(gateway *gateway, const service *service) {
  retry_budget *budget = retry_budget_of(gateway, service);
  int64_t now = bucket_now(gateway);
  count_since(budget->request_buckets, now - window_ms(gateway) / BUCKET_MS);
  bucket_increment(budget->request_buckets, now);
  budget->request_count++;
}

bool retry_budget_available(gateway *gateway, const service *service) {
  retry_budget *budget = retry_budget_of(gateway, service);
  int64_t now = bucket_now(gateway), span = window_ms(gateway) / BUCKET_MS;
  /* an extra counts for one bucket longer than the window, a request for no longer: a window may
   * lie anywhere */
  int came = count_since(budget->request_buckets, now - span),
      spent = count_since(budget->retry_buckets, now - span - 1);
  return spent + 1 <= retry_budget_node_share(retry_slack_of(gateway), retry_ratio_of(gateway),
                                              live_node_count(gateway), came);
}

bool retry_budget_take(gateway *gateway, const service *service) {
  if (!retry_budget_available(gateway, service))
    return false;
  retry_budget *budget = retry_budget_of(gateway, service);
  bucket_increment(budget->retry_buckets, bucket_now(gateway));
  budget->retries++;
  gateway->counts.retries++;
  return true;
}
