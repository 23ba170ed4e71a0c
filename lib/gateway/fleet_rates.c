/** Rates of requests over the whole fleet. */
#include "gateway.h"
#include <stdio.h>

enum { RATES_INTERVAL_MS = 1000, RATE_SHARDS = 8, TOTAL_TTL_INTERVALS = 4 };

void fleet_rates_init(fleet_rates *rates) {
  rates->totals = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  rates->counts_sent = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void fleet_rates_free(fleet_rates *rates) {
  if (rates->totals)
    g_hash_table_destroy(rates->totals);
  if (rates->counts_sent)
    g_hash_table_destroy(rates->counts_sent);
  rates->totals = rates->counts_sent = NULL;
}

double fleet_rates_total(gateway *gateway, const char *key) {
  if (gateway->router_count <= SMALL_FLEET_NODES)
    return 0;
  const fleet_rate *total = g_hash_table_lookup(gateway->fleet_rates.totals, key);
  bool expired =
      !total || time_reached(gateway_now(gateway),
                             time_add(total->received_at,
                                      time_from_ms(TOTAL_TTL_INTERVALS * FLEET_RATES_INTERVAL_MS)));
  return expired ? 0 : total->rate;
}

/* rates and load times of the whole fleet */
int fleet_rates_on_message(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  gateway *gateway = ctx;
  (void)reply;
  (void)err;
  Wire__RateReport *q = in->rate_report;
  for (size_t i = 0; q->fleet_totals && i < q->n_counts; i++) {
    if (strlen(q->counts[i]->key) >= 100)
      continue;
    fleet_rate *r = g_hash_table_lookup(gateway->fleet_rates.totals, q->counts[i]->key);
    if (!r) {
      r = g_new0(fleet_rate, 1);
      g_hash_table_insert(gateway->fleet_rates.totals, g_strdup(q->counts[i]->key), r);
    }
    *r = (fleet_rate){ (double)q->counts[i]->total / 1000, gateway_now(gateway) };
  }
  rate_exchange_receive(gateway->router, q);
  return OK;
}

/* in a large fleet rates are gathered by some collectors, each for a share of the keys: the first
   live router for it in an order that all agree on. They say what they know of the whole to all;
   every node telling every other one grew with the square */
static int shard_of(const char *key) {
  return (int)(hash_bytes(key, strlen(key), 7) % RATE_SHARDS);
}

static void collector(gateway *gateway, int shard, char addr[48]) {
  char by[24];
  id who;
  snprintf(by, sizeof by, "rates:%d", shard);
  if (!node_rendezvous_peer(&gateway->router->node, ROLE_ROUTER, by, id_none, &who, addr))
    addr[0] = 0;
}

static void rates_send(gateway *gateway, GPtrArray *some, const char *addr, bool whole) {
  router *router = gateway->router;
  if (!some->len)
    return;
  Wire__RateReport q = WIRE__RATE_REPORT__INIT;
  q.nonce = router->node.nonce;
  q.n_counts = some->len;
  q.counts = (Wire__RequestCount **)some->pdata;
  q.fleet_totals = whole;
  Wire__Envelope m = wire_envelope(WIRE__ENVELOPE__BODY_RATE_REPORT, &q);
  if (addr) {
    node_send(&router->node, addr, &m);
    return;
  }
  node_broadcast(&router->node, ROLE_ROUTER, &m);
}

/* what this node collects, told to all: only what is asked for at all, and once more when that ends
 */
static void rates_announce(gateway *gateway, const bool mine[RATE_SHARDS]) {
  router *router = gateway->router;
  GPtrArray *some = g_ptr_array_new_with_free_func(g_free);
  GHashTableIter it;
  gpointer k;
  g_hash_table_iter_init(&it, router->history.fleet_rates);
  while (g_hash_table_iter_next(&it, &k, NULL)) {
    if (!mine[shard_of(k)])
      continue;
    double rate =
        0.5 * event_history_request_rate(&router->history, k) +
        0.5 * event_history_recent_rate(&router->history, k, time_from_ms(RECENT_RATE_MS));
    fleet_rate *was = g_hash_table_lookup(gateway->fleet_rates.totals, k);
    if (rate <= 0 && (!was || was->rate <= 0))
      continue;
    if (!was) {
      was = g_new0(fleet_rate, 1);
      g_hash_table_insert(gateway->fleet_rates.totals, g_strdup(k), was);
    }
    *was = (fleet_rate){ rate, gateway_now(gateway) };
    Wire__RequestCount *r = g_new(Wire__RequestCount, 1);
    wire__request_count__init(r);
    r->key = k;
    r->total = (uint64_t)(rate * 1000);
    g_ptr_array_add(some, r);
  }
  rates_send(gateway, some, NULL, true);
  g_ptr_array_free(some, TRUE);
}

/* only what has changed since it was last told is told */
void fleet_rates_run(void *p) {
  gateway *gateway = p;
  router *router = gateway->router;
  uint64_t met = 0, turns = 0;
  for (;;) {
    event_history_fix_window(
        &router->history,
        (time_us){
            (int64_t)((gateway->settings.rate_window_s > 0 ? gateway->settings.rate_window_s : 20) *
                      1e6) });
    if (!world_sleep_with_jitter(router->node.world, time_from_ms(RATES_INTERVAL_MS)))
      return;
    /* a node that is new here, or has started anew, hears all from the start */
    uint64_t now_met = router->node.nonce;
    list_for_each (x, &router->node.peers, peer_node, link)
      if (x->role == ROLE_ROUTER && !x->gone)
        now_met += x->nonce;
    if (now_met != met)
      g_hash_table_remove_all(gateway->fleet_rates.counts_sent);
    met = now_met;
    bool many = gateway->router_count > SMALL_FLEET_NODES, own[RATE_SHARDS] = { false };
    char to[RATE_SHARDS][48];
    for (int b = 0; many && b < RATE_SHARDS; b++) {
      collector(gateway, b, to[b]);
      own[b] = !strcmp(to[b], router->node.settings.address);
    }
    GPtrArray *all = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter it;
    gpointer k, t;
    g_hash_table_iter_init(&it, router->history.local_rates);
    while (g_hash_table_iter_next(&it, &k, &t)) {
      int64_t *told = g_hash_table_lookup(gateway->fleet_rates.counts_sent, k),
              total = (int64_t)((request_rate *)t)->total;
      if (told && *told == total)
        continue;
      if (!told) {
        told = g_new0(int64_t, 1);
        g_hash_table_insert(gateway->fleet_rates.counts_sent, g_strdup(k), told);
      }
      *told = total;
      Wire__RequestCount *r = g_new(Wire__RequestCount, 1);
      wire__request_count__init(r);
      r->key = k;
      r->in_window = event_history_local_count(&router->history, k, &r->total);
      g_ptr_array_add(all, r);
    }
    if (!many)
      rates_send(gateway, all, NULL, false);
    for (int b = 0; many && b < RATE_SHARDS; b++) {
      GPtrArray *some = g_ptr_array_new();
      for (guint n = 0; !own[b] && n < all->len; n++)
        if (shard_of(((Wire__RequestCount *)all->pdata[n])->key) == b)
          g_ptr_array_add(some, all->pdata[n]);
      if (to[b][0])
        rates_send(gateway, some, to[b], false);
      g_ptr_array_free(some, TRUE);
    }
    g_ptr_array_free(all, TRUE);
    if (many && ++turns % (FLEET_RATES_INTERVAL_MS / RATES_INTERVAL_MS) == 0)
      rates_announce(gateway, own);
  }
}
