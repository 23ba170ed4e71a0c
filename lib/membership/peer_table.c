/** The peer table: see peer_table.h. */
#include "peer_table.h"
#include "node.h"

enum {
  GONE_PEER_RETENTION_MS = 600000,
  /* A process hears of its previous run within its first seconds. If it hears later that its name
   * is in use, another process has the same name. */
  PREVIOUS_RUN_PERIOD_MS = 8000,
  /* minimum time between two corrections to a peer; a restarted peer sends several messages before
   * it has read the response to the first */
  INCARNATION_RESEND_INTERVAL_MS = 200
};

peer_node *peer_table_find(node *node, id who) {
  list_for_each (peer, &node->peers, peer_node, link)
    if (id_equal(peer->self, who))
      return peer;
  return NULL;
}

bool peer_is_live(const peer_node *peer) {
  return !peer->gone;
}

const char *peer_state_name(const peer_node *peer) {
  if (peer->gone)
    return "gone";
  return peer->draining ? "leaving" : "live";
}

static const char *role_name(enum role role) {
  return role == ROLE_CONTROLLER ? "controller" : "router";
}

static bool has_live_peer(node *node, enum role role) {
  list_for_each (peer, &node->peers, peer_node, link)
    if (peer->role == role && !peer->gone)
      return true;
  return false;
}

peer_node *peer_table_pick(node *node, enum role role, const char *preferred) {
  GPtrArray *candidates = g_ptr_array_new();
  peer_node *picked = NULL;
  bool skip_gone = has_live_peer(node, role);
  list_for_each (peer, &node->peers, peer_node, link) {
    if (peer->role != role || (skip_gone && peer->gone))
      continue;
    if (preferred && preferred[0] && !strcmp(preferred, peer->address))
      picked = peer;
    g_ptr_array_add(candidates, peer);
  }
  if (!picked && candidates->len)
    picked = candidates->pdata[world_random(node->world, candidates->len)];
  g_ptr_array_free(candidates, TRUE);
  return picked;
}

int peer_table_count(node *node, enum role role) {
  int count = node->settings.role == role;
  list_for_each (peer, &node->peers, peer_node, link)
    count += peer->role == role && !peer->draining;
  return count;
}

bool peer_table_rendezvous(node *node, enum role role, const char *key, id exclude, id *who,
                           char address[ADDRESS_BYTES]) {
  uint64_t highest = 0;
  bool found =
      node->settings.role == role && !node->draining && !id_equal(exclude, node->settings.self);
  if (found) {
    highest = hash_two_names(key, node->settings.self.text);
    *who = node->settings.self;
    g_strlcpy(address, node->settings.address, ADDRESS_BYTES);
  }
  list_for_each (peer, &node->peers, peer_node, link) {
    if (peer->role != role || peer->gone || peer->draining || id_equal(exclude, peer->self))
      continue;
    uint64_t hash = hash_two_names(key, peer->self.text);
    if (found && hash <= highest)
      continue;
    found = true;
    highest = hash;
    *who = peer->self;
    g_strlcpy(address, peer->address, ADDRESS_BYTES);
  }
  return found;
}

static void append_peer_json(GString *to, id self, enum role role, id zone, const char *address,
                             uint64_t incarnation, const char *state, int64_t silent_ms) {
  json_appendf(to,
               "{\"id\":\"%s\",\"role\":\"%s\",\"area\":\"%s\",\"addr\":\"%s\",\"incarnation\":"
               "%" PRIu64 ",\"standing\":\"%s\",\"heardMs\":%" PRId64 "}",
               self.text, role_name(role), zone.text, address, incarnation, state, silent_ms);
}

void peer_table_append_json(node *node, GString *to) {
  time_us now = world_now(node->world);
  const settings *own = &node->settings;
  g_string_append_c(to, '[');
  append_peer_json(to, own->self, own->role, own->zone, own->address, node->incarnation,
                   node->draining ? "leaving" : "live", 0);
  list_for_each (peer, &node->peers, peer_node, link) {
    g_string_append_c(to, ',');
    append_peer_json(to, peer->self, peer->role, peer->zone, peer->address, peer->incarnation,
                     peer_state_name(peer), time_sub(now, peer->last_heard_at).us / 1000);
  }
  g_string_append_c(to, ']');
}

void peer_table_fill_info(const peer_node *peer, Wire__NodeInfo *info) {
  wire__node_info__init(info);
  info->id = (char *)peer->self.text;
  info->incarnation = peer->incarnation;
  info->nonce = peer->nonce;
  info->address = (char *)peer->address;
  info->zone = (char *)peer->zone.text;
  info->role = peer->role;
}

/* Sends a table with one entry, the receiver's own. */
static void send_known_incarnation(node *node, const peer_node *peer, const char *address) {
  Wire__NodeInfo info, *entries = &info;
  peer_table_fill_info(peer, &info);
  Wire__MembershipTable table = WIRE__MEMBERSHIP_TABLE__INIT;
  table.n_nodes = 1;
  table.nodes = &entries;
  Wire__Envelope message = wire_envelope(WIRE__ENVELOPE__BODY_MEMBERSHIP_TABLE, &table);
  peer_rpc_send(node, address, &message);
}

/* Sends a restarted peer the incarnation of its previous run if this node still knows that run,
 * whether gone or not; the peer then takes a higher incarnation. */
static void correct_incarnation(node *node, peer_node *peer, const Wire__NodeInfo *info) {
  time_us now = world_now(node->world);
  if (info->nonce == peer->nonce || info->incarnation > peer->incarnation)
    return;
  if (!time_reached(
          now, time_add(peer->incarnation_sent_at, time_from_ms(INCARNATION_RESEND_INTERVAL_MS))))
    return;
  peer->incarnation_sent_at = now;
  send_known_incarnation(node, peer, info->address);
}

/* Merges what other processes report under this process's own name. */
static void merge_self(node *node, const Wire__NodeInfo *info) {
  if (info->nonce == node->nonce || info->incarnation < node->incarnation)
    return;
  time_us now = world_now(node->world);
  node->incarnation = info->incarnation + 1;
  if (!time_reached(now, time_add(node->started_at, time_from_ms(PREVIOUS_RUN_PERIOD_MS))))
    return;
  if (!node->duplicate_seen_at.us)
    log_info(&node->log, "member",
             "Another process at %s uses the same name; took incarnation %" PRIu64 " (code %d).",
             info->address, node->incarnation, E_NAME);
  node->duplicate_seen_at = now;
}

static peer_node *add_peer(node *node, id who) {
  peer_node *peer = g_new0(peer_node, 1);
  peer->self = who;
  peer->first_seen_at = world_now(node->world);
  list_append(&node->peers, &peer->link);
  return peer;
}

/* Accepts an entry of the same run or of a later one. Also accepts a direct message of a gone peer
 * under the known incarnation: with another nonce it comes from a restarted peer or from another
 * process with the same name, and treating the peer as live is better than leaving it gone. */
static bool info_is_accepted(const peer_node *peer, const Wire__NodeInfo *info, bool direct) {
  if (info->incarnation != peer->incarnation)
    return info->incarnation > peer->incarnation;
  return info->nonce == peer->nonce || (direct && peer->gone);
}

/* Resets the entry of a peer for a run that was not known before. */
static void reset_for_new_run(node *node, peer_node *peer, const Wire__NodeInfo *info) {
  time_us now = world_now(node->world);
  log_info(&node->log, "member", "Discovered %s (%s) at %s in %s, incarnation %" PRIu64 ".",
           info->id, role_name(info->role), info->address, info->zone, info->incarnation);
  memset(peer->suspicions, 0, sizeof peer->suspicions);
  peer->gone = false;
  peer->last_heard_at = now;
  peer->watched_since = now;
}

static void mark_live(node *node, peer_node *peer) {
  peer->gone = false;
  memset(peer->suspicions, 0, sizeof peer->suspicions);
  log_info(&node->log, "member", "%s is live again.", peer->self.text);
}

void peer_table_merge(node *node, const Wire__NodeInfo *info, bool direct) {
  id who = id_of_text(info->id);
  if (id_equal(who, node->settings.self)) {
    merge_self(node, info);
    return;
  }
  peer_node *peer = peer_table_find(node, who);
  bool is_new_peer = !peer;
  if (is_new_peer)
    peer = add_peer(node, who);
  else if (direct)
    correct_incarnation(node, peer, info);
  if (!is_new_peer && !info_is_accepted(peer, info, direct))
    return;

  bool is_new_run = is_new_peer || info->nonce != peer->nonce;
  bool was_draining = peer->draining, changed = is_new_run;
  if (is_new_peer || peer->gone || strcmp(peer->address, info->address) ||
      strcmp(peer->zone.text, info->zone))
    heartbeat_ring_invalidate(&node->ring);
  if (is_new_run)
    reset_for_new_run(node, peer, info);
  peer->incarnation = info->incarnation;
  peer->nonce = info->nonce;
  peer->role = info->role;
  peer->zone = id_of_text(info->zone);
  g_strlcpy(peer->address, info->address, sizeof peer->address);
  /* gossip may be older than what the peer reported itself */
  if (direct || is_new_run)
    peer->draining = info->draining;
  changed |= was_draining != peer->draining;
  if (direct) {
    changed |= peer->idle != info->idle || peer->gone;
    peer->idle = info->idle;
    peer->last_heard_at = world_now(node->world);
    if (peer->gone)
      mark_live(node, peer);
  }
  if (changed)
    condition_broadcast(&node->membership_changed);
}

static void remove_peer(peer_node *peer) {
  list_remove(&peer->link);
  g_free(peer);
}

void peer_table_remove_gone(node *node) {
  time_us now = world_now(node->world);
  list_for_each (peer, &node->peers, peer_node, link)
    if (peer->gone &&
        time_reached(now, time_add(peer->gone_at, time_from_ms(GONE_PEER_RETENTION_MS))))
      remove_peer(peer);
}

void peer_table_free(node *node) {
  list_for_each (peer, &node->peers, peer_node, link)
    remove_peer(peer);
}
