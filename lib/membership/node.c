#include "node.h"
#include <stdio.h>

enum { RUNNING_HANDLERS_MAX = 600 };
typedef struct wait {
  condition changed;
  Wire__Envelope *response;
} pending_call;
typedef struct visit {
  node *node;
  Wire__Envelope *in;
} visit;

static void fill_self(node *node, Wire__NodeInfo *n) {
  n->id = node->settings.self.text;
  n->incarnation = node->incarnation;
  n->nonce = node->nonce;
  n->address = node->settings.address;
  n->zone = node->settings.zone.text;
  n->role = node->settings.role;
  n->draining = node->draining;
  n->idle = node->idle;
}

static void send(node *node, const char *addr, Wire__Envelope *m) {
  Wire__NodeInfo self = WIRE__NODE_INFO__INIT;
  fill_self(node, &self);
  m->version = node->settings.wire_version ? node->settings.wire_version : WIRE_VERSION_CURRENT;
  m->from = &self;
  size_t n = wire__envelope__get_packed_size(m);
  uint8_t *p = g_malloc(n ? n : 1);
  wire__envelope__pack(m, p);
  node->world->post_message(node->world, addr, (string_view){ (char *)p, n });
  g_free(p);
  m->from = NULL;
}

void node_send(node *node, const char *addr, Wire__Envelope *m) {
  m->call = 0;
  m->response = false;
  send(node, addr, m);
}

void node_broadcast(node *node, enum role r, Wire__Envelope *m) {
  list_for_each (peer, &node->peers, peer_node, link)
    if (peer->role == r && !peer->gone)
      node_send(node, peer->address, m);
}

bool node_rendezvous_peer(node *node, enum role r, const char *by, id pass_over, id *who,
                          char addr[48]) {
  uint64_t top = 0;
  bool any =
      node->settings.role == r && !node->draining && !id_equal(pass_over, node->settings.self);
  if (any) {
    top = hash_two_names(by, node->settings.self.text);
    *who = node->settings.self;
    g_strlcpy(addr, node->settings.address, 48);
  }
  list_for_each (peer, &node->peers, peer_node, link) {
    if (peer->role != r || peer->gone || peer->draining || id_equal(pass_over, peer->self))
      continue;
    uint64_t h = hash_two_names(by, peer->self.text);
    if (any && h <= top)
      continue;
    any = true;
    top = h;
    *who = peer->self;
    g_strlcpy(addr, peer->address, 48);
  }
  return any;
}

int node_call(node *node, const char *addr, Wire__Envelope *m, time_us span, Wire__Envelope **back,
              error *err) {
  pending_call f = { .response = NULL };
  uint64_t k = ++node->last_call_number;
  time_us till = time_add(world_now(node->world), span);
  condition_init(&f.changed);
  *back = NULL;
  g_hash_table_insert(node->pending_calls, g_memdup2(&k, sizeof k), &f);
  m->call = k;
  m->response = false;
  send(node, addr, m);
  int r = OK;
  while (!f.response && !r)
    r = condition_wait(&node->world->tasks, &f.changed, till);
  g_hash_table_remove(node->pending_calls, &k);
  if (!f.response)
    return error_set(err, r, "no reply from %s", addr);
  if (f.response->error_code) {
    r = error_set(err, f.response->error_code, "%s", f.response->error_text);
    node_reply_free(f.response);
    return r;
  }
  *back = f.response;
  return OK;
}

void node_reply_free(Wire__Envelope *m) {
  if (m)
    wire__envelope__free_unpacked(m, NULL);
}

void *reply_alloc(reply *reply, size_t n) {
  void *p = g_malloc0(n);
  if (!reply->allocations)
    reply->allocations = g_ptr_array_new_with_free_func(g_free);
  g_ptr_array_add(reply->allocations, p);
  return p;
}

void *reply_new_body(reply *reply, Wire__Envelope__BodyCase kind,
                     const ProtobufCMessageDescriptor *d) {
  void *p = reply_alloc(reply, d->sizeof_message);
  protobuf_c_message_init(d, p);
  reply->envelope.body_case = kind;
  reply->envelope.heartbeat = p;
  return p;
}

void node_register_handler(node *node, int kind, node_handler fn, void *ctx) {
  node->handlers[kind].fn = fn;
  node->handlers[kind].ctx = ctx;
}

static void handle_message_run(void *p) {
  visit *visit = p;
  node *node = visit->node;
  reply o = { WIRE__ENVELOPE__INIT, NULL };
  error err = { 0 };
  int k = visit->in->body_case;
  char addr[48];
  g_strlcpy(addr, visit->in->from->address, sizeof addr);
  if (k > 0 && k < (int)G_N_ELEMENTS(node->handlers) && node->handlers[k].fn) {
    int r = node->handlers[k].fn(node->handlers[k].ctx, visit->in, &o, &err);
    if (r) {
      o.envelope.body_case = 0;
      o.envelope.error_code = r;
      o.envelope.error_text = err.text;
    }
  } else {
    o.envelope.error_code = E_WIRE_MESSAGE;
    o.envelope.error_text = "no such message here";
  }
  if (visit->in->call) {
    o.envelope.call = visit->in->call;
    o.envelope.response = true;
    send(node, addr, &o.envelope);
  }
  if (o.allocations)
    g_ptr_array_free(o.allocations, TRUE);
  node->running_handlers--;
  node_reply_free(visit->in);
  g_free(visit);
}

static void merge_peer(node *node, const Wire__NodeInfo *n, bool direct);

static void on_post(void *ctx, string_view msg) {
  node *node = ctx;
  Wire__Envelope *m = wire__envelope__unpack(NULL, msg.length, (const uint8_t *)msg.data);
  if (!m || !m->from || !id_is_valid(string_view_of(m->from->id)) ||
      !address_is_valid(m->from->address)) {
    log_info(&node->log, "wire", "Refused %zu bytes that are no message of ours (code %d).",
             msg.length, E_WIRE_MESSAGE);
    node_reply_free(m);
    return;
  }
  if (m->version < WIRE_VERSION_MIN || m->version > WIRE_VERSION_CURRENT) {
    if (!(node->refused_wire_versions++ % 100))
      log_info(&node->log, "wire", "Refused wire version %u from %s (code %d).", m->version,
               m->from->id, E_WIRE_VERSION);
    if (m->call && !m->response) {
      Wire__Envelope out = WIRE__ENVELOPE__INIT;
      out.call = m->call;
      out.response = true;
      out.error_code = E_WIRE_VERSION;
      out.error_text = "wire version not spoken here";
      send(node, m->from->address, &out);
    }
    node_reply_free(m);
    return;
  }
  merge_peer(node, m->from, true);
  if (m->response) {
    uint64_t k = m->call;
    pending_call *f = g_hash_table_lookup(node->pending_calls, &k);
    if (f && !f->response) {
      f->response = m;
      condition_broadcast(&f->changed);
    } else
      node_reply_free(m);
    return;
  }
  if (node->running_handlers >= RUNNING_HANDLERS_MAX) {
    if (m->call) {
      Wire__Envelope out = WIRE__ENVELOPE__INIT;
      out.call = m->call;
      out.response = true;
      out.error_code = E_OVERLOADED;
      out.error_text = "too many calls at once";
      send(node, m->from->address, &out);
    }
    node_reply_free(m);
    return;
  }
  visit *v = g_new0(visit, 1);
  v->node = node;
  v->in = m;
  node->running_handlers++;
  task_start(&node->world->tasks, "visit", handle_message_run, v);
}

/* machines */
enum {
  HEARTBEAT_INTERVAL_MS = 350,
  SUSPICION_TIMEOUT_MS = 1400,
  /* however late the two sides are, a silence of this length is doubted */
  SUSPICION_TIMEOUT_MAX_MS = 2800,
  SUSPICION_LIFETIME_MS = 1600,
  LATENESS_MAX_MS = 700,
  GONE_PEER_RETENTION_MS = 600000
};

peer_node *node_find_peer(node *node, id who) {
  list_for_each (peer, &node->peers, peer_node, link)
    if (id_equal(peer->self, who))
      return peer;
  return NULL;
}

bool peer_is_live(const peer_node *peer) {
  return !peer->gone;
}
const char *peer_state_name(const peer_node *peer) {
  return peer->gone ? "gone" : peer->draining ? "leaving" : "live";
}

static void send_known_incarnation(node *node, const peer_node *peer, const char *addr) {
  Wire__NodeInfo n = WIRE__NODE_INFO__INIT, *list = &n;
  n.id = (char *)peer->self.text;
  n.incarnation = peer->incarnation;
  n.nonce = peer->nonce;
  n.address = (char *)peer->address;
  n.zone = (char *)peer->zone.text;
  n.role = peer->role;
  Wire__MembershipTable t = WIRE__MEMBERSHIP_TABLE__INIT;
  t.n_nodes = 1;
  t.nodes = &list;
  Wire__Envelope out = wire_envelope(WIRE__ENVELOPE__BODY_MEMBERSHIP_TABLE, &t);
  node_send(node, addr, &out);
}

static void merge_peer(node *node, const Wire__NodeInfo *n, bool direct) {
  id who = id_of_text(n->id);
  time_us now = world_now(node->world);
  if (id_equal(who, node->settings.self)) {
    if (n->nonce == node->nonce)
      return;
    if (n->incarnation >= node->incarnation) {
      node->incarnation = n->incarnation + 1;
      /* a young process hears of the run before it; an older one hears of a twin */
      if (!time_reached(now, time_add(node->started_at, time_from_ms(8000))))
        return;
      if (!node->duplicate_seen_at.us)
        log_info(&node->log, "member",
                 "Another machine at %s uses this name too; took incarnation %" PRIu64
                 " (code %d).",
                 n->address, node->incarnation, E_NAME);
      node->duplicate_seen_at = now;
    }
    return;
  }
  peer_node *peer = node_find_peer(node, who);
  bool young = !peer;
  if (young) {
    peer = g_new0(peer_node, 1);
    peer->self = who;
    peer->first_seen_at = now;
    list_append(&node->peers, &peer->link);
  }
  /* a machine that restarted may be held under its old run here, gone or not: it is told, and takes
   * a younger number */
  if (!young && direct && n->nonce != peer->nonce && n->incarnation <= peer->incarnation &&
      time_reached(now, time_add(peer->notified_at, time_from_ms(200)))) {
    peer->notified_at = now;
    send_known_incarnation(node, peer, n->address);
  }
  bool newer = young || n->incarnation > peer->incarnation ||
               (n->incarnation == peer->incarnation && n->nonce == peer->nonce);
  if (!newer && !(direct && n->incarnation == peer->incarnation && peer->gone))
    return;
  bool other = !young && n->nonce != peer->nonce;
  node->ring_stale |=
      young || peer->gone || strcmp(peer->address, n->address) || strcmp(peer->zone.text, n->zone);
  bool was = peer->draining;
  if (young || other) {
    log_info(&node->log, "member", "Met %s (%s) at %s in %s, incarnation %" PRIu64 ".", n->id,
             n->role == ROLE_CONTROLLER ? "controller" : "router", n->address, n->zone,
             n->incarnation);
    memset(peer->suspicions, 0, sizeof peer->suspicions);
    peer->gone = false;
    peer->last_heard_at = now;
    peer->watched_since = now;
  }
  peer->incarnation = n->incarnation;
  peer->nonce = n->nonce;
  peer->role = n->role;
  if (direct || young || other)
    peer->draining = n->draining;
  if (direct && peer->idle != n->idle) {
    peer->idle = n->idle;
    condition_broadcast(&node->membership_changed);
  }
  peer->zone = id_of_text(n->zone);
  g_strlcpy(peer->address, n->address, sizeof peer->address);
  if (direct) {
    peer->last_heard_at = now;
    if (peer->gone) {
      peer->gone = false;
      memset(peer->suspicions, 0, sizeof peer->suspicions);
      log_info(&node->log, "member", "%s is back.", n->id);
      condition_broadcast(&node->membership_changed);
    }
  }
  if (young || other || was != peer->draining)
    condition_broadcast(&node->membership_changed);
}

static int ring_position_compare(const void *a, const void *b) {
  const ring_position *x = a, *y = b;
  return x->hash < y->hash ? -1 : x->hash > y->hash;
}

static void ring_add(node *node, id self, id area, const char *addr) {
  ring_position p = { hash_two_names("ring", self.text), self, area, "" };
  g_strlcpy(p.address, addr, sizeof p.address);
  bool seen = false;
  for (guint i = 0; i < node->ring->len && !seen; i++)
    seen = id_equal(g_array_index(node->ring, ring_position, i).zone, area);
  node->ring_zones += !seen;
  g_array_append_val(node->ring, p);
}

static void ring_rebuild(node *node) {
  if (!node->ring_stale)
    return;
  node->ring_stale = false;
  node->ring_builds++;
  node->ring_zones = 0;
  g_array_set_size(node->ring, 0);
  ring_add(node, node->settings.self, node->settings.zone, node->settings.address);
  list_for_each (peer, &node->peers, peer_node, link)
    if (!peer->gone)
      ring_add(node, peer->self, peer->zone, peer->address);
  g_array_sort(node->ring, ring_position_compare);
}

int node_watchers(node *node, id who, ring_position out[HEARTBEAT_WATCHERS]) {
  ring_rebuild(node);
  uint64_t at = hash_two_names("ring", who.text);
  guint n = node->ring->len, low = 0, high = n;
  while (low < high) {
    guint mid = (low + high) / 2;
    if (g_array_index(node->ring, ring_position, mid).hash < at)
      low = mid + 1;
    else
      high = mid;
  }
  int got = 0;
  for (int round = 0; round < 2; round++)
    for (guint i = 0;
         i < n && got < (round ? HEARTBEAT_WATCHERS : MIN(HEARTBEAT_WATCHERS, node->ring_zones));
         i++) {
      ring_position *p = &g_array_index(node->ring, ring_position, (low + i) % n);
      bool skip = id_equal(p->self, who);
      for (int k = 0; k < got && !skip; k++)
        skip = id_equal(out[k].self, p->self) || (!round && id_equal(out[k].zone, p->zone));
      if (!skip)
        out[got++] = *p;
    }
  return got;
}

static void send_to_live_peers(node *node, Wire__Envelope *m) {
  list_for_each (peer, &node->peers, peer_node, link)
    if (!peer->gone)
      node_send(node, peer->address, m);
}

static void announce_self(node *node) {
  Wire__Heartbeat b = WIRE__HEARTBEAT__INIT;
  Wire__Envelope m = wire_envelope(WIRE__ENVELOPE__BODY_HEARTBEAT, &b);
  send_to_live_peers(node, &m);
}

void node_set_idle(node *node, bool idle) {
  if (node->idle == idle)
    return;
  node->idle = idle;
  announce_self(node);
}

void node_start_draining(node *node) {
  if (node->draining)
    return;
  node->draining = true;
  announce_self(node);
}

static void update_suspicion(node *node, peer_node *peer, id by, bool clear) {
  time_us now = world_now(node->world);
  int at = -1;
  for (size_t i = 0; i < G_N_ELEMENTS(peer->suspicions); i++) {
    if (id_equal(peer->suspicions[i].by, by)) {
      at = i;
      break;
    }
    if (at < 0 &&
        (id_is_empty(peer->suspicions[i].by) ||
         time_reached(now, time_add(peer->suspicions[i].at, time_from_ms(SUSPICION_LIFETIME_MS)))))
      at = i;
  }
  if (at < 0)
    return;
  if (clear) {
    if (id_equal(peer->suspicions[at].by, by))
      peer->suspicions[at].by = id_of_text("");
    return;
  }
  peer->suspicions[at].by = by;
  peer->suspicions[at].at = now;
  int n = 0;
  for (size_t i = 0; i < G_N_ELEMENTS(peer->suspicions); i++)
    n += !id_is_empty(peer->suspicions[i].by) &&
         !time_reached(now, time_add(peer->suspicions[i].at, time_from_ms(SUSPICION_LIFETIME_MS)));
  if (n >= 2 && !peer->gone &&
      !time_reached(time_add(peer->last_heard_at, time_from_ms(SUSPICION_TIMEOUT_MS / 2)), now)) {
    peer->gone = true;
    peer->gone_at = now;
    node->ring_stale = true;
    log_info(&node->log, "member",
             "%s is gone: %d watchers doubt it, last heard %" PRId64 " ms ago.", peer->self.text, n,
             time_sub(now, peer->last_heard_at).us / 1000);
    condition_broadcast(&node->membership_changed);
  }
}

static void heartbeat_run(void *p) {
  node *node = p;
  while (world_sleep_with_jitter(node->world, time_from_ms(HEARTBEAT_INTERVAL_MS))) {
    ring_position w[HEARTBEAT_WATCHERS];
    int n = node_watchers(node, node->settings.self, w);
    Wire__Heartbeat b = WIRE__HEARTBEAT__INIT;
    b.sequence = ++node->heartbeat_turn;
    b.lateness_ms = (uint64_t)node->lateness_ms;
    Wire__Envelope m = wire_envelope(WIRE__ENVELOPE__BODY_HEARTBEAT, &b);
    for (int i = 0; i < n; i++)
      node_send(node, w[i].address, &m);
  }
}

/* The latest lateness at once, and what it was before for some turns. A process that stood still
 * for longer was not late but paused, which says nothing of the time after it. */
static void update_lateness(node *node, time_us slept_since, time_us now) {
  int64_t late_ms = time_sub(now, slept_since).us / 1000 - HEARTBEAT_INTERVAL_MS;
  if (late_ms > LATENESS_MAX_MS)
    late_ms = 0;
  node->lateness_ms = MAX(MAX(late_ms, 0), node->lateness_ms * 3 / 4);
}

/* The silence after which a machine is doubted. Heartbeats wait behind other work at a sender that
 * is overloaded, and those that have come wait unread at a receiver that is. */
static int64_t suspicion_timeout_ms(const node *node, const peer_node *peer) {
  return MIN(SUSPICION_TIMEOUT_MS + node->lateness_ms + peer->lateness_ms,
             SUSPICION_TIMEOUT_MAX_MS);
}

static void watch_run(void *p) {
  node *node = p;
  time_us last = world_now(node->world);
  while (world_sleep(node->world, time_from_ms(HEARTBEAT_INTERVAL_MS))) {
    time_us now = world_now(node->world);
    bool slept = time_reached(now, time_add(last, time_from_ms(SUSPICION_TIMEOUT_MS / 2)));
    update_lateness(node, last, now);
    last = now;
    list_for_each (peer, &node->peers, peer_node, link) {
      if (slept)
        peer->watched_since = now;
      if (peer->gone &&
          time_reached(now, time_add(peer->gone_at, time_from_ms(GONE_PEER_RETENTION_MS)))) {
        list_remove(&peer->link);
        g_free(peer);
        continue;
      }
      if (peer->gone)
        continue;
      ring_position w[HEARTBEAT_WATCHERS];
      int k = node_watchers(node, peer->self, w);
      bool own = false;
      for (int i = 0; i < k; i++)
        own |= id_equal(w[i].self, node->settings.self);
      if (!own) {
        peer->watched_since = (time_us){ 0 };
        continue;
      }
      if (!peer->watched_since.us)
        peer->watched_since = now;
      time_us from = peer->last_heard_at.us > peer->watched_since.us ? peer->last_heard_at
                                                                     : peer->watched_since;
      if (!time_reached(now, time_add(from, time_from_ms(suspicion_timeout_ms(node, peer)))))
        continue;
      Wire__Suspicion d = WIRE__SUSPICION__INIT;
      d.id = peer->self.text;
      d.incarnation = peer->incarnation;
      d.nonce = peer->nonce;
      Wire__Envelope e = wire_envelope(WIRE__ENVELOPE__BODY_SUSPICION, &d);
      send_to_live_peers(node, &e);
      update_suspicion(node, peer, node->settings.self, false);
    }
  }
}

static int on_suspicion(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  node *node = ctx;
  (void)reply;
  (void)err;
  id who = id_of_text(in->suspicion->id);
  if (id_equal(who, node->settings.self)) {
    if (in->suspicion->nonce == node->nonce)
      announce_self(node);
    return OK;
  }
  peer_node *peer = node_find_peer(node, who);
  if (peer && peer->nonce == in->suspicion->nonce)
    update_suspicion(node, peer, id_of_text(in->from->id), in->suspicion->clear);
  return OK;
}

static uint64_t peer_checksum(id self, uint64_t nonce, const char *addr, bool leaving) {
  return hash_bytes(&nonce, sizeof nonce, hash_two_names(self.text, addr) + leaving);
}

/* the same wherever the same live machines are known */
static uint64_t table_checksum(node *node) {
  uint64_t n =
      peer_checksum(node->settings.self, node->nonce, node->settings.address, node->draining);
  list_for_each (peer, &node->peers, peer_node, link)
    if (!peer->gone)
      n ^= peer_checksum(peer->self, peer->nonce, peer->address, peer->draining);
  return n;
}

static void send_table(node *node, const char *addr, bool back);

/* gossip first compares sums; tables go only where they differ */
static void send_table_checksum(node *node, const char *addr) {
  if (node->settings.wire_version == 1) {
    send_table(node, addr, true);
    return;
  }
  Wire__MembershipTable t = WIRE__MEMBERSHIP_TABLE__INIT;
  t.checksum = table_checksum(node);
  t.want_response = true;
  Wire__Envelope m = wire_envelope(WIRE__ENVELOPE__BODY_MEMBERSHIP_TABLE, &t);
  node_send(node, addr, &m);
}

static void send_table(node *node, const char *addr, bool back) {
  GPtrArray *all = g_ptr_array_new_with_free_func(g_free);
  list_for_each (peer, &node->peers, peer_node, link) {
    if (peer->gone)
      continue;
    Wire__NodeInfo *n = g_new(Wire__NodeInfo, 1);
    wire__node_info__init(n);
    n->id = peer->self.text;
    n->incarnation = peer->incarnation;
    n->nonce = peer->nonce;
    n->address = peer->address;
    n->zone = peer->zone.text;
    n->role = peer->role;
    n->draining = peer->draining;
    g_ptr_array_add(all, n);
  }
  Wire__MembershipTable t = WIRE__MEMBERSHIP_TABLE__INIT;
  t.n_nodes = all->len;
  t.nodes = (Wire__NodeInfo **)all->pdata;
  t.want_response = back;
  Wire__Envelope m = wire_envelope(WIRE__ENVELOPE__BODY_MEMBERSHIP_TABLE, &t);
  node_send(node, addr, &m);
  g_ptr_array_free(all, TRUE);
}

static int on_table(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  node *node = ctx;
  (void)reply;
  (void)err;
  Wire__MembershipTable *t = in->membership_table;
  if (t->checksum && !t->n_nodes) {
    if (t->checksum != table_checksum(node))
      send_table(node, in->from->address, true);
    return OK;
  }
  for (size_t i = 0; i < t->n_nodes; i++) {
    Wire__NodeInfo *n = t->nodes[i];
    if (id_is_valid(string_view_of(n->id)) && address_is_valid(n->address))
      merge_peer(node, n, false);
  }
  if (t->want_response)
    send_table(node, in->from->address, false);
  return OK;
}

static int on_heartbeat(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  (void)reply;
  (void)err;
  peer_node *peer = node_find_peer(ctx, id_of_text(in->from->id));
  if (peer)
    peer->lateness_ms = (int64_t)MIN(in->heartbeat->lateness_ms, LATENESS_MAX_MS);
  return OK;
}

static void gossip_run(void *p) {
  node *node = p;
  for (int i = 0;; i++) {
    GPtrArray *all = g_ptr_array_new();
    list_for_each (peer, &node->peers, peer_node, link)
      if (!peer->gone || world_random(node->world, 8) == 0)
        g_ptr_array_add(all, peer);
    if (all->len)
      send_table_checksum(node,
                          ((peer_node *)all->pdata[world_random(node->world, all->len)])->address);
    if (all->len < 3 || i % 10 == 0)
      for (int k = 0; k < 3; k++)
        if (node->settings.seed_addresses[k][0] &&
            strcmp(node->settings.seed_addresses[k], node->settings.address))
          send_table_checksum(node, node->settings.seed_addresses[k]);
    g_ptr_array_free(all, TRUE);
    if (!world_sleep_with_jitter(node->world, time_from_ms(i < 10 ? 300 : 1000)))
      return;
  }
}

peer_node *node_pick_peer(node *node, enum role r, const char *last) {
  GPtrArray *all = g_ptr_array_new();
  peer_node *got = NULL;
  bool live = false;
  list_for_each (peer, &node->peers, peer_node, link)
    live |= peer->role == r && !peer->gone;
  list_for_each (peer, &node->peers, peer_node, link) {
    if (peer->role != r || (live && peer->gone))
      continue;
    if (last && last[0] && !strcmp(last, peer->address))
      got = peer;
    g_ptr_array_add(all, peer);
  }
  if (!got && all->len)
    got = all->pdata[world_random(node->world, all->len)];
  g_ptr_array_free(all, TRUE);
  return got;
}

int node_count_peers(node *node, enum role r) {
  int n = node->settings.role == r;
  list_for_each (peer, &node->peers, peer_node, link)
    n += peer->role == r && !peer->draining;
  return n;
}

void node_peers_json(node *node, GString *to) {
  time_us now = world_now(node->world);
  json_appendf(
      to,
      "[{\"id\":\"%s\",\"role\":\"%s\",\"area\":\"%s\",\"addr\":\"%s\",\"incarnation\":%" PRIu64
      ",\"standing\":\"%s\",\"heardMs\":0}",
      node->settings.self.text, node->settings.role == ROLE_CONTROLLER ? "controller" : "router",
      node->settings.zone.text, node->settings.address, node->incarnation,
      node->draining ? "leaving" : "live");
  list_for_each (peer, &node->peers, peer_node, link)
    json_appendf(
        to,
        ",{\"id\":\"%s\",\"role\":\"%s\",\"area\":\"%s\",\"addr\":\"%s\",\"incarnation\":%" PRIu64
        ",\"standing\":\"%s\",\"heardMs\":%" PRId64 "}",
        peer->self.text, peer->role == ROLE_CONTROLLER ? "controller" : "router", peer->zone.text,
        peer->address, peer->incarnation, peer_state_name(peer),
        time_sub(now, peer->last_heard_at).us / 1000);
  g_string_append_c(to, ']');
}

void node_status_json(node *node, GString *to) {
  bool twin =
      node->duplicate_seen_at.us &&
      !time_reached(world_now(node->world), time_add(node->duplicate_seen_at, time_from_ms(15000)));
  json_appendf(to, "\"twin\":%s,\"wireOdd\":%" PRIu64 ",\"seeds\":[\"%s\",\"%s\",\"%s\"]",
               twin ? "true" : "false", node->refused_wire_versions,
               node->settings.seed_addresses[0], node->settings.seed_addresses[1],
               node->settings.seed_addresses[2]);
}

void node_init(node *node, world *world, const settings *settings) {
  memset(node, 0, sizeof *node);
  node->world = world;
  node->settings = *settings;
  node->log = (logger){ world, settings->self, settings->debug_log, settings->json_log };
  node->started_at = world_now(world);
  node->incarnation = 1;
  node->nonce = world->random(world) | 1;
  node->last_call_number = world->random(world) >> 16;
  node->pending_calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
  list_init(&node->peers);
  node->ring = g_array_new(FALSE, TRUE, sizeof(ring_position));
  node->ring_stale = true;
  condition_init(&node->membership_changed);
  world->on_message = on_post;
  world->on_message_context = node;
  node_register_handler(node, WIRE__ENVELOPE__BODY_HEARTBEAT, on_heartbeat, node);
  node_register_handler(node, WIRE__ENVELOPE__BODY_SUSPICION, on_suspicion, node);
  node_register_handler(node, WIRE__ENVELOPE__BODY_MEMBERSHIP_TABLE, on_table, node);
}

void node_start(node *node) {
  task_start_urgent(&node->world->tasks, "beat", heartbeat_run, node);
  task_start_urgent(&node->world->tasks, "watch", watch_run, node);
  task_start(&node->world->tasks, "gossip", gossip_run, node);
}

void node_free(node *node) {
  list_for_each (peer, &node->peers, peer_node, link) {
    list_remove(&peer->link);
    g_free(peer);
  }
  g_array_free(node->ring, TRUE);
  g_hash_table_destroy(node->pending_calls);
}

void http_respond_error(http_request *request, int status, int code, const char *text) {
  GString *b = g_string_new(NULL);
  json_appendf(b, "{\"code\":%d,\"error\":", code);
  json_append_quoted(b, string_view_of(text));
  g_string_append(b, "}\n");
  http_request_respond(request, status, "application/json", string_view_of_gstring(b));
  g_string_free(b, TRUE);
}
