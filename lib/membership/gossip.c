/** Gossip of the peer table: see gossip.h. */
#include "gossip.h"
#include "node.h"

enum {
  GOSSIP_INTERVAL_MS = 1000,
  /* the first rounds run faster, so that peers soon discover a process that has just started */
  START_INTERVAL_MS = 300,
  START_ROUNDS = 10,
  /* Seeds are contacted in every tenth round, and in every round with fewer than CANDIDATES_MIN
   * peers to choose from. */
  ROUNDS_PER_SEED_CONTACT = 10,
  CANDIDATES_MIN = 3,
  /* a gone peer is a candidate in one out of this many rounds on average */
  ROUNDS_PER_GONE_PEER = 8
};

static uint64_t entry_checksum(id self, uint64_t nonce, const char *address, bool draining) {
  return hash_bytes(&nonce, sizeof nonce, hash_two_names(self.text, address) + draining);
}

/* Two processes that know the same live processes compute the same checksum, whatever the order of
 * their entries. */
static uint64_t table_checksum(node *node) {
  uint64_t checksum =
      entry_checksum(node->settings.self, node->nonce, node->settings.address, node->draining);
  list_for_each (peer, &node->peers, peer_node, link)
    if (!peer->gone)
      checksum ^= entry_checksum(peer->self, peer->nonce, peer->address, peer->draining);
  return checksum;
}

/* Sends the full table. It leaves out this process, which the envelope describes. */
static void send_table(node *node, const char *address, bool want_response) {
  GPtrArray *entries = g_ptr_array_new_with_free_func(g_free);
  list_for_each (peer, &node->peers, peer_node, link) {
    if (peer->gone)
      continue;
    Wire__NodeInfo *info = g_new(Wire__NodeInfo, 1);
    peer_table_fill_info(peer, info);
    info->draining = peer->draining;
    g_ptr_array_add(entries, info);
  }
  Wire__MembershipTable table = WIRE__MEMBERSHIP_TABLE__INIT;
  table.n_nodes = entries->len;
  table.nodes = (Wire__NodeInfo **)entries->pdata;
  table.want_response = want_response;
  Wire__Envelope message = wire_envelope(WIRE__ENVELOPE__BODY_MEMBERSHIP_TABLE, &table);
  peer_rpc_send(node, address, &message);
  g_ptr_array_free(entries, TRUE);
}

static void send_checksum(node *node, const char *address) {
  if (node->settings.wire_version == 1) {
    send_table(node, address, true);
    return;
  }
  Wire__MembershipTable table = WIRE__MEMBERSHIP_TABLE__INIT;
  table.checksum = table_checksum(node);
  table.want_response = true;
  Wire__Envelope message = wire_envelope(WIRE__ENVELOPE__BODY_MEMBERSHIP_TABLE, &table);
  peer_rpc_send(node, address, &message);
}

static enum error_code on_table(void *context, Wire__Envelope *message, reply *reply, error *err) {
  node *node = context;
  (void)reply;
  (void)err;
  const Wire__MembershipTable *table = message->membership_table;
  const char *sender = message->from->address;
  if (table->checksum && !table->n_nodes) {
    if (table->checksum != table_checksum(node))
      send_table(node, sender, true);
    return OK;
  }
  for (size_t i = 0; i < table->n_nodes; i++) {
    const Wire__NodeInfo *info = table->nodes[i];
    if (id_is_valid(string_view_of(info->id)) && address_is_valid(info->address))
      peer_table_merge(node, info, false);
  }
  if (table->want_response)
    send_table(node, sender, false);
  return OK;
}

/* Returns the number of candidates from which the peer was chosen. */
static guint gossip_with_random_peer(node *node) {
  GPtrArray *candidates = g_ptr_array_new();
  list_for_each (peer, &node->peers, peer_node, link)
    if (!peer->gone || world_random(node->world, ROUNDS_PER_GONE_PEER) == 0)
      g_ptr_array_add(candidates, peer);
  guint count = candidates->len;
  if (count) {
    const peer_node *peer = candidates->pdata[world_random(node->world, count)];
    send_checksum(node, peer->address);
  }
  g_ptr_array_free(candidates, TRUE);
  return count;
}

static void gossip_with_seeds(node *node) {
  for (int i = 0; i < SEEDS_MAX; i++) {
    const char *seed = node->settings.seed_addresses[i];
    if (seed[0] && strcmp(seed, node->settings.address))
      send_checksum(node, seed);
  }
}

static void gossip_run(void *context) {
  node *node = context;
  for (int round = 0;; round++) {
    guint candidates = gossip_with_random_peer(node);
    if (candidates < CANDIDATES_MIN || round % ROUNDS_PER_SEED_CONTACT == 0)
      gossip_with_seeds(node);
    int64_t interval_ms = round < START_ROUNDS ? START_INTERVAL_MS : GOSSIP_INTERVAL_MS;
    if (!world_sleep_with_jitter(node->world, time_from_ms(interval_ms)))
      return;
  }
}

void gossip_init(node *node) {
  peer_rpc_register_handler(node, WIRE__ENVELOPE__BODY_MEMBERSHIP_TABLE, on_table, node);
}

void gossip_start(node *node) {
  task_start(&node->world->tasks, "gossip", gossip_run, node);
}
