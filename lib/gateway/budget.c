#include "gateway.h"

/* A node takes at most its share, reckoned so that the shares of all nodes together stay below what
 * is allowed even when some nodes don't know of each other yet or have just forgotten what they
 * took. */
enum { BUCKET_MS = 500 };
typedef struct bucket {
  int64_t at;
  int n;
} bucket;

static double ratio(const gateway *gateway) {
  return gateway->settings.retry_ratio > 0 ? gateway->settings.retry_ratio : 0.2;
}
static double slack(const gateway *gateway) {
  return gateway->settings.retry_slack > 0 ? gateway->settings.retry_slack : 20;
}
static int64_t window_ms(const gateway *gateway) {
  return gateway->settings.retry_window_s > 0 ? (int64_t)(gateway->settings.retry_window_s * 1000)
                                              : 10000;
}

budget *budget_of(gateway *gateway, const service *service) {
  budget *b = g_hash_table_lookup(gateway->budgets, service->name.text);
  if (b)
    return b;
  b = g_new0(budget, 1);
  b->service = service->name;
  b->requests = g_array_new(FALSE, FALSE, sizeof(bucket));
  b->extras = g_array_new(FALSE, FALSE, sizeof(bucket));
  g_hash_table_insert(gateway->budgets, b->service.text, b);
  return b;
}

void budget_free(void *p) {
  budget *budget = p;
  g_array_free(budget->requests, TRUE);
  g_array_free(budget->extras, TRUE);
  g_free(budget);
}

static void count(GArray *in, int64_t at) {
  bucket *last = in->len ? &g_array_index(in, bucket, in->len - 1) : NULL;
  if (last && last->at == at) {
    last->n++;
    return;
  }
  bucket fresh = { at, 1 };
  g_array_append_val(in, fresh);
}

/* the sum over the buckets after one, with the older ones dropped */
static int sum_after(GArray *in, int64_t after) {
  guint old = 0;
  int n = 0;
  for (guint i = 0; i < in->len; i++) {
    const bucket *b = &g_array_index(in, bucket, i);
    if (b->at <= after)
      old = i + 1;
    else
      n += b->n;
  }
  if (old)
    g_array_remove_range(in, 0, old);
  return n;
}

double budget_share(double retry_slack, double retry_ratio, int nodes, double own_requests) {
  return 0.5 * retry_slack / MAX(nodes, 1) + 0.6 * retry_ratio * own_requests;
}

static int64_t bucket_now(gateway *gateway) {
  return world_now(gateway->router->node.world).us / (BUCKET_MS * 1000);
}

static int nodes(gateway *gateway) {
  int n = 1;
  list_for_each (peer, &gateway->router->node.peers, peer_node, link)
    n += peer->role == ROLE_ROUTER && peer_is_live(peer) && !peer->gone;
  return n;
}

void budget_came(gateway *gateway, const service *service) {
  budget *budget = budget_of(gateway, service);
  int64_t now = bucket_now(gateway);
  sum_after(budget->requests, now - window_ms(gateway) / BUCKET_MS);
  count(budget->requests, now);
  budget->came++;
}

bool budget_room(gateway *gateway, const service *service) {
  budget *budget = budget_of(gateway, service);
  int64_t now = bucket_now(gateway), span = window_ms(gateway) / BUCKET_MS;
  /* an extra counts for one bucket longer than the window, a request for no longer: a window may
   * lie anywhere */
  int came = sum_after(budget->requests, now - span),
      spent = sum_after(budget->extras, now - span - 1);
  return spent + 1 <= budget_share(slack(gateway), ratio(gateway), nodes(gateway), came);
}

bool budget_take(gateway *gateway, const service *service) {
  if (!budget_room(gateway, service))
    return false;
  budget *budget = budget_of(gateway, service);
  count(budget->extras, bucket_now(gateway));
  budget->spent++;
  gateway->counts.seconds++;
  return true;
}
