#include "node.h"
#include <stdio.h>

enum { BUSY_MOST = 600 };
typedef struct wait {
  condition changed;
  Wire__Envelope *back;
} wait_for;
typedef struct visit {
  node *node;
  Wire__Envelope *in;
} visit;

static void fill_self(node *node, Wire__NodeInfo *n) {
  n->id = node->settings.self.text;
  n->incarnation = node->inc;
  n->nonce = node->nonce;
  n->address = node->settings.addr;
  n->zone = node->settings.area.text;
  n->role = node->settings.role;
  n->draining = node->leaving;
  n->idle = node->idle;
}

static void send(node *node, const char *addr, Wire__Envelope *m) {
  Wire__NodeInfo self = WIRE__NODE_INFO__INIT;
  fill_self(node, &self);
  m->version = node->settings.wire ? node->settings.wire : WIRE_NOW;
  m->from = &self;
  size_t n = wire__envelope__get_packed_size(m);
  uint8_t *p = g_malloc(n ? n : 1);
  wire__envelope__pack(m, p);
  node->world->post(node->world, addr, (string_view){ (char *)p, n });
  g_free(p);
  m->from = NULL;
}

void node_send(node *node, const char *addr, Wire__Envelope *m) {
  m->call = 0;
  m->response = false;
  send(node, addr, m);
}

void node_send_all(node *node, enum role r, Wire__Envelope *m) {
  list_for_each (peer, &node->machines, machine, link)
    if (peer->role == r && !peer->gone)
      node_send(node, peer->addr, m);
}

bool node_first_machine(node *node, enum role r, const char *by, id pass_over, id *who,
                        char addr[48]) {
  uint64_t top = 0;
  bool any =
      node->settings.role == r && !node->leaving && !id_equal(pass_over, node->settings.self);
  if (any) {
    top = hash_of_two(by, node->settings.self.text);
    *who = node->settings.self;
    g_strlcpy(addr, node->settings.addr, 48);
  }
  list_for_each (peer, &node->machines, machine, link) {
    if (peer->role != r || peer->gone || peer->leaving || id_equal(pass_over, peer->self))
      continue;
    uint64_t h = hash_of_two(by, peer->self.text);
    if (any && h <= top)
      continue;
    any = true;
    top = h;
    *who = peer->self;
    g_strlcpy(addr, peer->addr, 48);
  }
  return any;
}

int node_call(node *node, const char *addr, Wire__Envelope *m, time_us span, Wire__Envelope **back,
              error *err) {
  wait_for f = { .back = NULL };
  uint64_t k = ++node->calls;
  time_us till = time_add(world_now(node->world), span);
  condition_init(&f.changed);
  *back = NULL;
  g_hash_table_insert(node->open, g_memdup2(&k, sizeof k), &f);
  m->call = k;
  m->response = false;
  send(node, addr, m);
  int r = OK;
  while (!f.back && !r)
    r = condition_wait(&node->world->tasks, &f.changed, till);
  g_hash_table_remove(node->open, &k);
  if (!f.back)
    return error_set(err, r, "no reply from %s", addr);
  if (f.back->error_code) {
    r = error_set(err, f.back->error_code, "%s", f.back->error_text);
    node_reply_free(f.back);
    return r;
  }
  *back = f.back;
  return OK;
}

void node_reply_free(Wire__Envelope *m) {
  if (m)
    wire__envelope__free_unpacked(m, NULL);
}

void *reply_hold(reply *reply, size_t n) {
  void *p = g_malloc0(n);
  if (!reply->allocations)
    reply->allocations = g_ptr_array_new_with_free_func(g_free);
  g_ptr_array_add(reply->allocations, p);
  return p;
}

void *reply_new(reply *reply, Wire__Envelope__BodyCase kind, const ProtobufCMessageDescriptor *d) {
  void *p = reply_hold(reply, d->sizeof_message);
  protobuf_c_message_init(d, p);
  reply->envelope.body_case = kind;
  reply->envelope.heartbeat = p;
  return p;
}

void node_on(node *node, int kind, node_handler fn, void *ctx) {
  node->handlers[kind].fn = fn;
  node->handlers[kind].ctx = ctx;
}

static void visit_run(void *p) {
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
    o.envelope.error_code = E_WIRE;
    o.envelope.error_text = "no such message here";
  }
  if (visit->in->call) {
    o.envelope.call = visit->in->call;
    o.envelope.response = true;
    send(node, addr, &o.envelope);
  }
  if (o.allocations)
    g_ptr_array_free(o.allocations, TRUE);
  node->busy--;
  node_reply_free(visit->in);
  g_free(visit);
}

static void met(node *node, const Wire__NodeInfo *n, bool direct);

static void on_post(void *ctx, string_view msg) {
  node *node = ctx;
  Wire__Envelope *m = wire__envelope__unpack(NULL, msg.length, (const uint8_t *)msg.data);
  if (!m || !m->from || !id_is_valid(string_view_of(m->from->id)) || !addr_fits(m->from->address)) {
    log_info(&node->log, "wire", "Refused %zu bytes that are no message of ours (code %d).",
             msg.length, E_WIRE);
    node_reply_free(m);
    return;
  }
  if (m->version < WIRE_LEAST || m->version > WIRE_NOW) {
    if (!(node->odd_wire++ % 100))
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
  met(node, m->from, true);
  if (m->response) {
    uint64_t k = m->call;
    wait_for *f = g_hash_table_lookup(node->open, &k);
    if (f && !f->back) {
      f->back = m;
      condition_broadcast(&f->changed);
    } else
      node_reply_free(m);
    return;
  }
  if (node->busy >= BUSY_MOST) {
    if (m->call) {
      Wire__Envelope out = WIRE__ENVELOPE__INIT;
      out.call = m->call;
      out.response = true;
      out.error_code = E_TOO_MUCH;
      out.error_text = "too many calls at once";
      send(node, m->from->address, &out);
    }
    node_reply_free(m);
    return;
  }
  visit *v = g_new0(visit, 1);
  v->node = node;
  v->in = m;
  node->busy++;
  task_start(&node->world->tasks, "visit", visit_run, v);
}

/* machines */
enum {
  BEAT_MS = 350,
  DOUBT_MS = 1400,
  /* however late the two sides are, a silence of this length is doubted */
  DOUBT_MOST_MS = 2800,
  DOUBT_LIVES_MS = 1600,
  LATE_MOST_MS = 700,
  FORGET_MS = 600000
};

machine *node_find_machine(node *node, id who) {
  list_for_each (peer, &node->machines, machine, link)
    if (id_equal(peer->self, who))
      return peer;
  return NULL;
}

bool machine_lives(const machine *machine) {
  return !machine->gone;
}
const char *machine_state_name(const machine *machine) {
  return machine->gone ? "gone" : machine->leaving ? "leaving" : "live";
}

static void name_taken(node *node, const machine *machine, const char *addr) {
  Wire__NodeInfo n = WIRE__NODE_INFO__INIT, *list = &n;
  n.id = (char *)machine->self.text;
  n.incarnation = machine->inc;
  n.nonce = machine->nonce;
  n.address = (char *)machine->addr;
  n.zone = (char *)machine->area.text;
  n.role = machine->role;
  Wire__MembershipTable t = WIRE__MEMBERSHIP_TABLE__INIT;
  t.n_nodes = 1;
  t.nodes = &list;
  Wire__Envelope out = wire_msg(WIRE__ENVELOPE__BODY_MEMBERSHIP_TABLE, &t);
  node_send(node, addr, &out);
}

static void met(node *node, const Wire__NodeInfo *n, bool direct) {
  id who = id_of_text(n->id);
  time_us now = world_now(node->world);
  if (id_equal(who, node->settings.self)) {
    if (n->nonce == node->nonce)
      return;
    if (n->incarnation >= node->inc) {
      node->inc = n->incarnation + 1;
      /* a young process hears of the run before it; an older one hears of a twin */
      if (!time_reached(now, time_add(node->born, time_from_ms(8000))))
        return;
      if (!node->twin.us)
        log_info(&node->log, "member",
                 "Another machine at %s uses this name too; took incarnation %" PRIu64
                 " (code %d).",
                 n->address, node->inc, E_NAME);
      node->twin = now;
    }
    return;
  }
  machine *peer = node_find_machine(node, who);
  bool young = !peer;
  if (young) {
    peer = g_new0(machine, 1);
    peer->self = who;
    peer->met = now;
    list_append(&node->machines, &peer->link);
  }
  /* a machine that restarted may be held under its old run here, gone or not: it is told, and takes
   * a younger number */
  if (!young && direct && n->nonce != peer->nonce && n->incarnation <= peer->inc &&
      time_reached(now, time_add(peer->told_at, time_from_ms(200)))) {
    peer->told_at = now;
    name_taken(node, peer, n->address);
  }
  bool newer = young || n->incarnation > peer->inc ||
               (n->incarnation == peer->inc && n->nonce == peer->nonce);
  if (!newer && !(direct && n->incarnation == peer->inc && peer->gone))
    return;
  bool other = !young && n->nonce != peer->nonce;
  node->ring_stale |=
      young || peer->gone || strcmp(peer->addr, n->address) || strcmp(peer->area.text, n->zone);
  bool was = peer->leaving;
  if (young || other) {
    log_info(&node->log, "member", "Met %s (%s) at %s in %s, incarnation %" PRIu64 ".", n->id,
             n->role == ROLE_CONTROLLER ? "controller" : "router", n->address, n->zone,
             n->incarnation);
    memset(peer->doubts, 0, sizeof peer->doubts);
    peer->gone = false;
    peer->heard = now;
    peer->watched = now;
  }
  peer->inc = n->incarnation;
  peer->nonce = n->nonce;
  peer->role = n->role;
  if (direct || young || other)
    peer->leaving = n->draining;
  if (direct && peer->idle != n->idle) {
    peer->idle = n->idle;
    condition_broadcast(&node->moved);
  }
  peer->area = id_of_text(n->zone);
  g_strlcpy(peer->addr, n->address, sizeof peer->addr);
  if (direct) {
    peer->heard = now;
    if (peer->gone) {
      peer->gone = false;
      memset(peer->doubts, 0, sizeof peer->doubts);
      log_info(&node->log, "member", "%s is back.", n->id);
      condition_broadcast(&node->moved);
    }
  }
  if (young || other || was != peer->leaving)
    condition_broadcast(&node->moved);
}

static int spot_cmp(const void *a, const void *b) {
  const ring_place *x = a, *y = b;
  return x->at < y->at ? -1 : x->at > y->at;
}

static void ring_add(node *node, id self, id area, const char *addr) {
  ring_place p = { hash_of_two("ring", self.text), self, area, "" };
  g_strlcpy(p.addr, addr, sizeof p.addr);
  bool seen = false;
  for (guint i = 0; i < node->ring->len && !seen; i++)
    seen = id_equal(g_array_index(node->ring, ring_place, i).area, area);
  node->ring_areas += !seen;
  g_array_append_val(node->ring, p);
}

static void ring_make(node *node) {
  if (!node->ring_stale)
    return;
  node->ring_stale = false;
  node->ring_made++;
  node->ring_areas = 0;
  g_array_set_size(node->ring, 0);
  ring_add(node, node->settings.self, node->settings.area, node->settings.addr);
  list_for_each (peer, &node->machines, machine, link)
    if (!peer->gone)
      ring_add(node, peer->self, peer->area, peer->addr);
  g_array_sort(node->ring, spot_cmp);
}

int node_watchers(node *node, id who, ring_place out[WATCHERS]) {
  ring_make(node);
  uint64_t at = hash_of_two("ring", who.text);
  guint n = node->ring->len, low = 0, high = n;
  while (low < high) {
    guint mid = (low + high) / 2;
    if (g_array_index(node->ring, ring_place, mid).at < at)
      low = mid + 1;
    else
      high = mid;
  }
  int got = 0;
  for (int round = 0; round < 2; round++)
    for (guint i = 0; i < n && got < (round ? WATCHERS : MIN(WATCHERS, node->ring_areas)); i++) {
      ring_place *p = &g_array_index(node->ring, ring_place, (low + i) % n);
      bool skip = id_equal(p->self, who);
      for (int k = 0; k < got && !skip; k++)
        skip = id_equal(out[k].self, p->self) || (!round && id_equal(out[k].area, p->area));
      if (!skip)
        out[got++] = *p;
    }
  return got;
}

static void everyone(node *node, Wire__Envelope *m) {
  list_for_each (peer, &node->machines, machine, link)
    if (!peer->gone)
      node_send(node, peer->addr, m);
}

static void announce_self(node *node) {
  Wire__Heartbeat b = WIRE__HEARTBEAT__INIT;
  Wire__Envelope m = wire_msg(WIRE__ENVELOPE__BODY_HEARTBEAT, &b);
  everyone(node, &m);
}

void node_set_idle(node *node, bool idle) {
  if (node->idle == idle)
    return;
  node->idle = idle;
  announce_self(node);
}

void node_leave(node *node) {
  if (node->leaving)
    return;
  node->leaving = true;
  announce_self(node);
}

static void doubt_add(node *node, machine *machine, id by, bool clear) {
  time_us now = world_now(node->world);
  int at = -1;
  for (size_t i = 0; i < G_N_ELEMENTS(machine->doubts); i++) {
    if (id_equal(machine->doubts[i].by, by)) {
      at = i;
      break;
    }
    if (at < 0 &&
        (id_is_empty(machine->doubts[i].by) ||
         time_reached(now, time_add(machine->doubts[i].at, time_from_ms(DOUBT_LIVES_MS)))))
      at = i;
  }
  if (at < 0)
    return;
  if (clear) {
    if (id_equal(machine->doubts[at].by, by))
      machine->doubts[at].by = id_of_text("");
    return;
  }
  machine->doubts[at].by = by;
  machine->doubts[at].at = now;
  int n = 0;
  for (size_t i = 0; i < G_N_ELEMENTS(machine->doubts); i++)
    n += !id_is_empty(machine->doubts[i].by) &&
         !time_reached(now, time_add(machine->doubts[i].at, time_from_ms(DOUBT_LIVES_MS)));
  if (n >= 2 && !machine->gone &&
      !time_reached(time_add(machine->heard, time_from_ms(DOUBT_MS / 2)), now)) {
    machine->gone = true;
    machine->lost = now;
    node->ring_stale = true;
    log_info(&node->log, "member",
             "%s is gone: %d watchers doubt it, last heard %" PRId64 " ms ago.", machine->self.text,
             n, time_sub(now, machine->heard).us / 1000);
    condition_broadcast(&node->moved);
  }
}

static void beat_run(void *p) {
  node *node = p;
  while (world_sleep_about(node->world, time_from_ms(BEAT_MS))) {
    ring_place w[WATCHERS];
    int n = node_watchers(node, node->settings.self, w);
    Wire__Heartbeat b = WIRE__HEARTBEAT__INIT;
    b.sequence = ++node->heartbeat_turn;
    b.lateness_ms = (uint64_t)node->late_ms;
    Wire__Envelope m = wire_msg(WIRE__ENVELOPE__BODY_HEARTBEAT, &b);
    for (int i = 0; i < n; i++)
      node_send(node, w[i].addr, &m);
  }
}

/* The latest lateness at once, and what it was before for some turns. A process that stood still
 * for longer was not late but paused, which says nothing of the time after it. */
static void note_lateness(node *node, time_us slept_since, time_us now) {
  int64_t late_ms = time_sub(now, slept_since).us / 1000 - BEAT_MS;
  if (late_ms > LATE_MOST_MS)
    late_ms = 0;
  node->late_ms = MAX(MAX(late_ms, 0), node->late_ms * 3 / 4);
}

/* The silence after which a machine is doubted. Heartbeats wait behind other work at a sender that
 * is overloaded, and those that have come wait unread at a receiver that is. */
static int64_t doubt_after_ms(const node *node, const machine *peer) {
  return MIN(DOUBT_MS + node->late_ms + peer->late_ms, DOUBT_MOST_MS);
}

static void watch_run(void *p) {
  node *node = p;
  time_us last = world_now(node->world);
  while (world_sleep(node->world, time_from_ms(BEAT_MS))) {
    time_us now = world_now(node->world);
    bool slept = time_reached(now, time_add(last, time_from_ms(DOUBT_MS / 2)));
    note_lateness(node, last, now);
    last = now;
    list_for_each (peer, &node->machines, machine, link) {
      if (slept)
        peer->watched = now;
      if (peer->gone && time_reached(now, time_add(peer->lost, time_from_ms(FORGET_MS)))) {
        list_remove(&peer->link);
        g_free(peer);
        continue;
      }
      if (peer->gone)
        continue;
      ring_place w[WATCHERS];
      int k = node_watchers(node, peer->self, w);
      bool own = false;
      for (int i = 0; i < k; i++)
        own |= id_equal(w[i].self, node->settings.self);
      if (!own) {
        peer->watched = (time_us){ 0 };
        continue;
      }
      if (!peer->watched.us)
        peer->watched = now;
      time_us from = peer->heard.us > peer->watched.us ? peer->heard : peer->watched;
      if (!time_reached(now, time_add(from, time_from_ms(doubt_after_ms(node, peer)))))
        continue;
      Wire__Suspicion d = WIRE__SUSPICION__INIT;
      d.id = peer->self.text;
      d.incarnation = peer->inc;
      d.nonce = peer->nonce;
      Wire__Envelope e = wire_msg(WIRE__ENVELOPE__BODY_SUSPICION, &d);
      everyone(node, &e);
      doubt_add(node, peer, node->settings.self, false);
    }
  }
}

static int on_doubt(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  node *node = ctx;
  (void)reply;
  (void)err;
  id who = id_of_text(in->suspicion->id);
  if (id_equal(who, node->settings.self)) {
    if (in->suspicion->nonce == node->nonce)
      announce_self(node);
    return OK;
  }
  machine *machine = node_find_machine(node, who);
  if (machine && machine->nonce == in->suspicion->nonce)
    doubt_add(node, machine, id_of_text(in->from->id), in->suspicion->clear);
  return OK;
}

static uint64_t node_sum(id self, uint64_t nonce, const char *addr, bool leaving) {
  return hash_of(&nonce, sizeof nonce, hash_of_two(self.text, addr) + leaving);
}

/* the same wherever the same live machines are known */
static uint64_t table_sum(node *node) {
  uint64_t n = node_sum(node->settings.self, node->nonce, node->settings.addr, node->leaving);
  list_for_each (peer, &node->machines, machine, link)
    if (!peer->gone)
      n ^= node_sum(peer->self, peer->nonce, peer->addr, peer->leaving);
  return n;
}

static void table_send(node *node, const char *addr, bool back);

/* gossip first compares sums; tables go only where they differ */
static void sum_send(node *node, const char *addr) {
  if (node->settings.wire == 1) {
    table_send(node, addr, true);
    return;
  }
  Wire__MembershipTable t = WIRE__MEMBERSHIP_TABLE__INIT;
  t.checksum = table_sum(node);
  t.want_response = true;
  Wire__Envelope m = wire_msg(WIRE__ENVELOPE__BODY_MEMBERSHIP_TABLE, &t);
  node_send(node, addr, &m);
}

static void table_send(node *node, const char *addr, bool back) {
  GPtrArray *all = g_ptr_array_new_with_free_func(g_free);
  list_for_each (peer, &node->machines, machine, link) {
    if (peer->gone)
      continue;
    Wire__NodeInfo *n = g_new(Wire__NodeInfo, 1);
    wire__node_info__init(n);
    n->id = peer->self.text;
    n->incarnation = peer->inc;
    n->nonce = peer->nonce;
    n->address = peer->addr;
    n->zone = peer->area.text;
    n->role = peer->role;
    n->draining = peer->leaving;
    g_ptr_array_add(all, n);
  }
  Wire__MembershipTable t = WIRE__MEMBERSHIP_TABLE__INIT;
  t.n_nodes = all->len;
  t.nodes = (Wire__NodeInfo **)all->pdata;
  t.want_response = back;
  Wire__Envelope m = wire_msg(WIRE__ENVELOPE__BODY_MEMBERSHIP_TABLE, &t);
  node_send(node, addr, &m);
  g_ptr_array_free(all, TRUE);
}

static int on_table(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  node *node = ctx;
  (void)reply;
  (void)err;
  Wire__MembershipTable *t = in->membership_table;
  if (t->checksum && !t->n_nodes) {
    if (t->checksum != table_sum(node))
      table_send(node, in->from->address, true);
    return OK;
  }
  for (size_t i = 0; i < t->n_nodes; i++) {
    Wire__NodeInfo *n = t->nodes[i];
    if (id_is_valid(string_view_of(n->id)) && addr_fits(n->address))
      met(node, n, false);
  }
  if (t->want_response)
    table_send(node, in->from->address, false);
  return OK;
}

static int on_beat(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  (void)reply;
  (void)err;
  machine *peer = node_find_machine(ctx, id_of_text(in->from->id));
  if (peer)
    peer->late_ms = (int64_t)MIN(in->heartbeat->lateness_ms, LATE_MOST_MS);
  return OK;
}

static void gossip_run(void *p) {
  node *node = p;
  for (int i = 0;; i++) {
    GPtrArray *all = g_ptr_array_new();
    list_for_each (peer, &node->machines, machine, link)
      if (!peer->gone || world_random(node->world, 8) == 0)
        g_ptr_array_add(all, peer);
    if (all->len)
      sum_send(node, ((machine *)all->pdata[world_random(node->world, all->len)])->addr);
    if (all->len < 3 || i % 10 == 0)
      for (int k = 0; k < 3; k++)
        if (node->settings.seeds[k][0] && strcmp(node->settings.seeds[k], node->settings.addr))
          sum_send(node, node->settings.seeds[k]);
    g_ptr_array_free(all, TRUE);
    if (!world_sleep_about(node->world, time_from_ms(i < 10 ? 300 : 1000)))
      return;
  }
}

machine *node_pick_machine(node *node, enum role r, const char *last) {
  GPtrArray *all = g_ptr_array_new();
  machine *got = NULL;
  bool live = false;
  list_for_each (peer, &node->machines, machine, link)
    live |= peer->role == r && !peer->gone;
  list_for_each (peer, &node->machines, machine, link) {
    if (peer->role != r || (live && peer->gone))
      continue;
    if (last && last[0] && !strcmp(last, peer->addr))
      got = peer;
    g_ptr_array_add(all, peer);
  }
  if (!got && all->len)
    got = all->pdata[world_random(node->world, all->len)];
  g_ptr_array_free(all, TRUE);
  return got;
}

int node_count_machines(node *node, enum role r) {
  int n = node->settings.role == r;
  list_for_each (peer, &node->machines, machine, link)
    n += peer->role == r && !peer->leaving;
  return n;
}

void node_json(node *node, GString *to) {
  time_us now = world_now(node->world);
  json_f(to,
         "[{\"id\":\"%s\",\"role\":\"%s\",\"area\":\"%s\",\"addr\":\"%s\",\"incarnation\":%" PRIu64
         ",\"standing\":\"%s\",\"heardMs\":0}",
         node->settings.self.text, node->settings.role == ROLE_CONTROLLER ? "controller" : "router",
         node->settings.area.text, node->settings.addr, node->inc,
         node->leaving ? "leaving" : "live");
  list_for_each (peer, &node->machines, machine, link)
    json_f(
        to,
        ",{\"id\":\"%s\",\"role\":\"%s\",\"area\":\"%s\",\"addr\":\"%s\",\"incarnation\":%" PRIu64
        ",\"standing\":\"%s\",\"heardMs\":%" PRId64 "}",
        peer->self.text, peer->role == ROLE_CONTROLLER ? "controller" : "router", peer->area.text,
        peer->addr, peer->inc, machine_state_name(peer), time_sub(now, peer->heard).us / 1000);
  g_string_append_c(to, ']');
}

void node_status(node *node, GString *to) {
  bool twin = node->twin.us &&
              !time_reached(world_now(node->world), time_add(node->twin, time_from_ms(15000)));
  json_f(to, "\"twin\":%s,\"wireOdd\":%" PRIu64 ",\"seeds\":[\"%s\",\"%s\",\"%s\"]",
         twin ? "true" : "false", node->odd_wire, node->settings.seeds[0], node->settings.seeds[1],
         node->settings.seeds[2]);
}

void node_init(node *node, world *world, const settings *settings) {
  memset(node, 0, sizeof *node);
  node->world = world;
  node->settings = *settings;
  node->log = (logger){ world, settings->self, settings->loud, settings->json_log };
  node->born = world_now(world);
  node->inc = 1;
  node->nonce = world->random(world) | 1;
  node->calls = world->random(world) >> 16;
  node->open = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
  list_init(&node->machines);
  node->ring = g_array_new(FALSE, TRUE, sizeof(ring_place));
  node->ring_stale = true;
  condition_init(&node->moved);
  world->on_post = on_post;
  world->post_ctx = node;
  node_on(node, WIRE__ENVELOPE__BODY_HEARTBEAT, on_beat, node);
  node_on(node, WIRE__ENVELOPE__BODY_SUSPICION, on_doubt, node);
  node_on(node, WIRE__ENVELOPE__BODY_MEMBERSHIP_TABLE, on_table, node);
}

void node_start(node *node) {
  task_start_urgent(&node->world->tasks, "beat", beat_run, node);
  task_start_urgent(&node->world->tasks, "watch", watch_run, node);
  task_start(&node->world->tasks, "gossip", gossip_run, node);
}

void node_free(node *node) {
  list_for_each (peer, &node->machines, machine, link) {
    list_remove(&peer->link);
    g_free(peer);
  }
  g_array_free(node->ring, TRUE);
  g_hash_table_destroy(node->open);
}

void answer_error(http_request *request, int status, int code, const char *text) {
  GString *b = g_string_new(NULL);
  json_f(b, "{\"code\":%d,\"error\":", code);
  json_quote(b, string_view_of(text));
  g_string_append(b, "}\n");
  http_request_answer(request, status, "application/json", string_view_of_gstring(b));
  g_string_free(b, TRUE);
}
