/** The failure detector: see failure_detector.h. */
#include "failure_detector.h"
#include "node.h"

enum {
  HEARTBEAT_INTERVAL_MS = 350,
  /* four heartbeat intervals */
  SUSPICION_TIMEOUT_MS = 1400,
  /* upper limit of the suspicion timeout after lateness is added */
  SUSPICION_TIMEOUT_MAX_MS = 2800,
  /* a watcher repeats its suspicion every HEARTBEAT_INTERVAL_MS while the peer stays silent */
  SUSPICION_LIFETIME_MS = 1600,
  /* number of watchers that must suspect a peer before it is declared gone */
  SUSPICION_QUORUM = 2,
  /* a peer that was heard directly within this time is never declared gone */
  DIRECT_CONTACT_MS = SUSPICION_TIMEOUT_MS / 2,
  /* a watcher whose timer fires this long after its previous run was itself paused */
  WATCHER_PAUSE_MS = SUSPICION_TIMEOUT_MS / 2,
  /* a larger lateness means that the process was paused, not overloaded */
  LATENESS_MAX_MS = 700
};

static bool has_elapsed(time_us now, time_us since, int64_t span_ms) {
  return time_reached(now, time_add(since, time_from_ms(span_ms)));
}

void failure_detector_announce_self(node *node) {
  Wire__Heartbeat heartbeat = WIRE__HEARTBEAT__INIT;
  Wire__Envelope message = wire_envelope(WIRE__ENVELOPE__BODY_HEARTBEAT, &heartbeat);
  peer_rpc_send_to_live_peers(node, &message);
}

static void heartbeat_run(void *context) {
  node *node = context;
  while (world_sleep_with_jitter(node->world, time_from_ms(HEARTBEAT_INTERVAL_MS))) {
    ring_position watchers[HEARTBEAT_WATCHERS];
    int count = heartbeat_ring_watchers(node, node->settings.self, watchers);
    Wire__Heartbeat heartbeat = WIRE__HEARTBEAT__INIT;
    heartbeat.sequence = ++node->failure_detector.last_sequence;
    heartbeat.lateness_ms = (uint64_t)node->failure_detector.lateness_ms;
    Wire__Envelope message = wire_envelope(WIRE__ENVELOPE__BODY_HEARTBEAT, &heartbeat);
    for (int i = 0; i < count; i++)
      peer_rpc_send(node, watchers[i].address, &message);
  }
}

/* Reads only the lateness: peer_table_merge has already recorded when the peer was last heard. */
static enum error_code on_heartbeat(void *context, Wire__Envelope *message, reply *reply,
                                    error *err) {
  (void)reply;
  (void)err;
  peer_node *peer = peer_table_find(context, id_of_text(message->from->id));
  if (peer)
    peer->lateness_ms = (int64_t)MIN(message->heartbeat->lateness_ms, LATENESS_MAX_MS);
  return OK;
}

static bool suspicion_is_valid(const suspicion *suspicion, time_us now) {
  return !id_is_empty(suspicion->by) && !has_elapsed(now, suspicion->at, SUSPICION_LIFETIME_MS);
}

/* Returns the watcher's entry, or else the first one that is free or expired; NULL if there is
 * none. */
static suspicion *find_suspicion(peer_node *peer, id watcher, time_us now) {
  suspicion *unused = NULL;
  for (size_t i = 0; i < SUSPICIONS_MAX; i++) {
    suspicion *entry = &peer->suspicions[i];
    if (id_equal(entry->by, watcher))
      return entry;
    if (!unused && !suspicion_is_valid(entry, now))
      unused = entry;
  }
  return unused;
}

static int count_valid_suspicions(const peer_node *peer, time_us now) {
  int count = 0;
  for (size_t i = 0; i < SUSPICIONS_MAX; i++)
    count += suspicion_is_valid(&peer->suspicions[i], now);
  return count;
}

static void declare_gone(node *node, peer_node *peer, int suspicions, time_us now) {
  peer->gone = true;
  peer->gone_at = now;
  heartbeat_ring_invalidate(&node->ring);
  log_info(&node->log, "member",
           "%s is gone: %d watchers suspect it, last heard %" PRId64 " ms ago.", peer->self.text,
           suspicions, time_sub(now, peer->last_heard_at).us / 1000);
  condition_broadcast(&node->membership_changed);
}

static void add_suspicion(node *node, peer_node *peer, id watcher) {
  time_us now = world_now(node->world);
  suspicion *entry = find_suspicion(peer, watcher, now);
  if (!entry)
    return;
  entry->by = watcher;
  entry->at = now;
  int suspicions = count_valid_suspicions(peer, now);
  if (suspicions >= SUSPICION_QUORUM && !peer->gone &&
      has_elapsed(now, peer->last_heard_at, DIRECT_CONTACT_MS))
    declare_gone(node, peer, suspicions, now);
}

static void withdraw_suspicion(peer_node *peer, id watcher) {
  for (size_t i = 0; i < SUSPICIONS_MAX; i++)
    if (id_equal(peer->suspicions[i].by, watcher))
      peer->suspicions[i].by = id_of_text("");
}

static enum error_code on_suspicion(void *context, Wire__Envelope *message, reply *reply,
                                    error *err) {
  node *node = context;
  (void)reply;
  (void)err;
  const Wire__Suspicion *suspicion = message->suspicion;
  id suspect = id_of_text(suspicion->id), watcher = id_of_text(message->from->id);
  if (id_equal(suspect, node->settings.self)) {
    if (suspicion->nonce == node->nonce)
      failure_detector_announce_self(node);
    return OK;
  }
  peer_node *peer = peer_table_find(node, suspect);
  if (!peer || peer->nonce != suspicion->nonce)
    return OK;
  if (suspicion->clear)
    withdraw_suspicion(peer, watcher);
  else
    add_suspicion(node, peer, watcher);
  return OK;
}

static void update_lateness(node *node, time_us slept_since, time_us now) {
  int64_t late_ms = time_sub(now, slept_since).us / 1000 - HEARTBEAT_INTERVAL_MS;
  if (late_ms > LATENESS_MAX_MS)
    late_ms = 0;
  int64_t *lateness_ms = &node->failure_detector.lateness_ms;
  *lateness_ms = MAX(MAX(late_ms, 0), *lateness_ms * 3 / 4);
}

/* Returns how long a peer may be silent before it is suspected. */
static int64_t suspicion_timeout_ms(const node *node, const peer_node *peer) {
  int64_t lateness_ms = node->failure_detector.lateness_ms + peer->lateness_ms;
  return MIN(SUSPICION_TIMEOUT_MS + lateness_ms, SUSPICION_TIMEOUT_MAX_MS);
}

static bool is_watched_here(node *node, const peer_node *peer) {
  ring_position watchers[HEARTBEAT_WATCHERS];
  int count = heartbeat_ring_watchers(node, peer->self, watchers);
  for (int i = 0; i < count; i++)
    if (id_equal(watchers[i].self, node->settings.self))
      return true;
  return false;
}

static void broadcast_suspicion(node *node, const peer_node *peer) {
  Wire__Suspicion suspicion = WIRE__SUSPICION__INIT;
  suspicion.id = (char *)peer->self.text;
  suspicion.incarnation = peer->incarnation;
  suspicion.nonce = peer->nonce;
  Wire__Envelope message = wire_envelope(WIRE__ENVELOPE__BODY_SUSPICION, &suspicion);
  peer_rpc_send_to_live_peers(node, &message);
}

static void check_peer(node *node, peer_node *peer, time_us now) {
  if (!is_watched_here(node, peer)) {
    peer->watched_since = (time_us){ 0 };
    return;
  }
  if (!peer->watched_since.us)
    peer->watched_since = now;
  time_us silent_since = time_reached(peer->last_heard_at, peer->watched_since)
                             ? peer->last_heard_at
                             : peer->watched_since;
  if (!has_elapsed(now, silent_since, suspicion_timeout_ms(node, peer)))
    return;
  broadcast_suspicion(node, peer);
  add_suspicion(node, peer, node->settings.self);
}

static void watch_run(void *context) {
  node *node = context;
  time_us last_run_at = world_now(node->world);
  while (world_sleep(node->world, time_from_ms(HEARTBEAT_INTERVAL_MS))) {
    time_us now = world_now(node->world);
    bool was_paused = has_elapsed(now, last_run_at, WATCHER_PAUSE_MS);
    update_lateness(node, last_run_at, now);
    last_run_at = now;
    peer_table_remove_gone(node);
    list_for_each (peer, &node->peers, peer_node, link) {
      if (was_paused)
        peer->watched_since = now;
      if (!peer->gone)
        check_peer(node, peer, now);
    }
  }
}

void failure_detector_init(node *node) {
  peer_rpc_register_handler(node, WIRE__ENVELOPE__BODY_HEARTBEAT, on_heartbeat, node);
  peer_rpc_register_handler(node, WIRE__ENVELOPE__BODY_SUSPICION, on_suspicion, node);
}

void failure_detector_start(node *node) {
  task_start_urgent(&node->world->tasks, "heartbeat", heartbeat_run, node);
  task_start_urgent(&node->world->tasks, "watch", watch_run, node);
}
