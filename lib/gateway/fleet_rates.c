/** Exchange of request rates between gateways; see fleet_rates.h. */
#include "fleet_rates.h"
#include "gateway.h"
#include <stdio.h>

enum {
  RATES_INTERVAL_MS = 1000,
  /* number of key shards in a large fleet; each has a collector */
  RATE_SHARDS = 8,
  SHARD_HASH_SEED = 7,
  /* a total expires when it was not announced for this many intervals */
  TOTAL_TTL_INTERVALS = 4,
  /* maximum length of a key in messages */
  MAX_KEY_LENGTH = 100,
  /* unit of announced totals: thousandths of a request per second */
  RATE_SCALE = 1000
};
/* Default of the window over which rates are counted, in s. */
static const double DEFAULT_WINDOW_S = 20;
/* Weight of the rate over the window; the recent rate has the rest. */
static const double WINDOW_RATE_WEIGHT = 0.5;

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
  if (gateway->router_count <= SMALL_FLEET_MAX_NODES)
    return 0;
  const fleet_rate *total = g_hash_table_lookup(gateway->fleet_rates.totals, key);
  time_us ttl = time_from_ms(TOTAL_TTL_INTERVALS * FLEET_RATES_INTERVAL_MS);
  bool expired = !total || time_reached(gateway_now(gateway), time_add(total->received_at, ttl));
  return expired ? 0 : total->rate;
}

double fleet_rates_known(gateway *gateway, const char *key) {
  event_history *history = &gateway->router->history;
  return WINDOW_RATE_WEIGHT * event_history_request_rate(history, key) +
         (1 - WINDOW_RATE_WEIGHT) *
             event_history_recent_rate(history, key, time_from_ms(RECENT_RATE_MS));
}

static void set_total(gateway *gateway, const char *key, double rate) {
  GHashTable *totals = gateway->fleet_rates.totals;
  fleet_rate *total = g_hash_table_lookup(totals, key);
  if (!total) {
    total = g_new0(fleet_rate, 1);
    g_hash_table_insert(totals, g_strdup(key), total);
  }
  *total = (fleet_rate){ rate, gateway_now(gateway) };
}

enum error_code fleet_rates_on_message(void *context, Wire__Envelope *in, reply *reply,
                                       error *err) {
  gateway *gateway = context;
  (void)reply;
  (void)err;
  const Wire__RateReport *report = in->rate_report;
  for (size_t i = 0; report->fleet_totals && i < report->n_counts; i++)
    if (strlen(report->counts[i]->key) < MAX_KEY_LENGTH)
      set_total(gateway, report->counts[i]->key, (double)report->counts[i]->total / RATE_SCALE);
  rate_exchange_receive(gateway->router, report);
  return OK;
}

static int shard_of(const char *key) {
  return (int)(hash_bytes(key, strlen(key), SHARD_HASH_SEED) % RATE_SHARDS);
}

/* the address of a shard's collector; empty when there is none */
static void find_collector(gateway *gateway, int shard, char address[48]) {
  char name[24];
  id collector;
  snprintf(name, sizeof name, "rates:%d", shard);
  if (!peer_table_rendezvous(&gateway->router->node, ROLE_ROUTER, name, id_none, &collector,
                             address))
    address[0] = 0;
}

/* sends counts (an array of Wire__RequestCount) to an address, or with NULL to all gateways */
static void send_counts(gateway *gateway, const GPtrArray *counts, const char *address,
                        bool fleet_totals) {
  node *node = &gateway->router->node;
  if (!counts->len)
    return;
  Wire__RateReport report = WIRE__RATE_REPORT__INIT;
  report.nonce = node->nonce;
  report.n_counts = counts->len;
  report.counts = (Wire__RequestCount **)counts->pdata;
  report.fleet_totals = fleet_totals;
  Wire__Envelope message = wire_envelope(WIRE__ENVELOPE__BODY_RATE_REPORT, &report);
  if (address)
    peer_rpc_send(node, address, &message);
  else
    peer_rpc_send_to_role(node, ROLE_ROUTER, &message);
}

/* allocates a count; the key is not copied */
static Wire__RequestCount *count_new(char *key, uint64_t total) {
  Wire__RequestCount *count = g_new(Wire__RequestCount, 1);
  wire__request_count__init(count);
  count->key = key;
  count->total = total;
  return count;
}

/* announces the totals of the keys that this gateway collects: all with a rate above 0, and once
 * more with 0 when requests stop */
static void announce_totals(gateway *gateway, const bool own_shards[RATE_SHARDS]) {
  GPtrArray *counts = g_ptr_array_new_with_free_func(g_free);
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init(&iter, gateway->router->history.fleet_rates);
  while (g_hash_table_iter_next(&iter, &key, NULL)) {
    if (!own_shards[shard_of(key)])
      continue;
    double rate = fleet_rates_known(gateway, key);
    const fleet_rate *announced = g_hash_table_lookup(gateway->fleet_rates.totals, key);
    if (rate <= 0 && (!announced || announced->rate <= 0))
      continue;
    set_total(gateway, key, rate);
    g_ptr_array_add(counts, count_new(key, (uint64_t)(rate * RATE_SCALE)));
  }
  send_counts(gateway, counts, NULL, true);
  g_ptr_array_free(counts, TRUE);
}

/* a checksum that changes when a gateway joins, leaves or restarts */
static uint64_t membership_checksum(const gateway *gateway) {
  const node *node = &gateway->router->node;
  uint64_t checksum = node->nonce;
  list_for_each (peer, &node->peers, peer_node, link)
    if (peer->role == ROLE_ROUTER && !peer->gone)
      checksum += peer->nonce;
  return checksum;
}

/* own counts that have changed since they were last sent */
static GPtrArray *changed_counts(gateway *gateway) {
  event_history *history = &gateway->router->history;
  GHashTable *sent = gateway->fleet_rates.counts_sent;
  GPtrArray *counts = g_ptr_array_new_with_free_func(g_free);
  GHashTableIter iter;
  gpointer key, value;
  g_hash_table_iter_init(&iter, history->local_rates);
  while (g_hash_table_iter_next(&iter, &key, &value)) {
    int64_t *sent_total = g_hash_table_lookup(sent, key),
            total = (int64_t)((request_rate *)value)->total;
    if (sent_total && *sent_total == total)
      continue;
    if (!sent_total) {
      sent_total = g_new0(int64_t, 1);
      g_hash_table_insert(sent, g_strdup(key), sent_total);
    }
    *sent_total = total;
    Wire__RequestCount *count = count_new(key, 0);
    count->in_window = event_history_local_count(history, key, &count->total);
    g_ptr_array_add(counts, count);
  }
  return counts;
}

static void send_shard(gateway *gateway, const GPtrArray *counts, int shard, const char *address) {
  GPtrArray *in_shard = g_ptr_array_new();
  for (guint i = 0; i < counts->len; i++) {
    Wire__RequestCount *count = counts->pdata[i];
    if (shard_of(count->key) == shard)
      g_ptr_array_add(in_shard, count);
  }
  send_counts(gateway, in_shard, address, false);
  g_ptr_array_free(in_shard, TRUE);
}

/* sends counts to the collectors of their keys; own_shards: the shards that this gateway collects
 */
static void send_to_collectors(gateway *gateway, const GPtrArray *counts,
                               bool own_shards[RATE_SHARDS]) {
  for (int shard = 0; shard < RATE_SHARDS; shard++) {
    char address[48];
    find_collector(gateway, shard, address);
    own_shards[shard] = !strcmp(address, gateway->router->node.settings.address);
    if (!own_shards[shard] && address[0])
      send_shard(gateway, counts, shard, address);
  }
}

static void apply_window(gateway *gateway) {
  double window_s =
      gateway->settings.rate_window_s > 0 ? gateway->settings.rate_window_s : DEFAULT_WINDOW_S;
  event_history_fix_window(&gateway->router->history, (time_us){ (int64_t)(window_s * 1e6) });
}

void fleet_rates_run(void *context) {
  gateway *gateway = context;
  uint64_t known_membership = 0, large_rounds = 0;
  for (;;) {
    apply_window(gateway);
    if (!world_sleep_with_jitter(gateway->router->node.world, time_from_ms(RATES_INTERVAL_MS)))
      return;
    /* all counts are sent again when a gateway has joined or restarted */
    uint64_t membership = membership_checksum(gateway);
    if (membership != known_membership)
      g_hash_table_remove_all(gateway->fleet_rates.counts_sent);
    known_membership = membership;
    GPtrArray *counts = changed_counts(gateway);
    if (gateway->router_count <= SMALL_FLEET_MAX_NODES)
      send_counts(gateway, counts, NULL, false);
    else {
      bool own_shards[RATE_SHARDS];
      send_to_collectors(gateway, counts, own_shards);
      if (++large_rounds % (FLEET_RATES_INTERVAL_MS / RATES_INTERVAL_MS) == 0)
        announce_totals(gateway, own_shards);
    }
    g_ptr_array_free(counts, TRUE);
  }
}
