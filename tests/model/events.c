/** The events that may happen in the model, and how each one changes its state. */
#include "model.h"
#include <stdio.h>
#include <stdlib.h>

enum {
  STEP_SLOW = 10,
  STEP_FAST = 11,
  PENDING_WRITES_MAX = 2,
  PROPOSAL_ADDS_MEMBER = 1,
  PROPOSAL_REPLACES_VOTER = 2
};

static void init_records(model_image *m, int records) {
  m->last = m->committed = (uint8_t)records;
  for (int i = 0; i < records; i++)
    m->record[i] = (uint8_t)(i + 1);
}

void model_init(model_state *s, const model_scope *p) {
  memset(s, 0, sizeof *s);
  model_view v = { .epoch = 1, .chain_length = p->chain_length, .voter_count = p->chain_length };
  for (int i = 0; i < p->chain_length; i++)
    v.chain[i] = v.voters[i] = model_member(s, i);
  s->decided[1] = v;
  s->remaining = p->budget;
  if (p->old_join_request)
    s->node[0].join_member = model_member(s, p->chain_length - 1);
  s->acknowledged = s->read = s->values = p->records;
  for (int i = 0; i < p->records; i++)
    s->acknowledged_value[i] = s->read_value[i] = (uint8_t)(i + 1);
  for (int i = 0; i < p->nodes; i++) {
    model_node *n = &s->node[i];
    n->up = 1;
    n->disk.in_sync = 1;
    if (i < p->chain_length)
      n->disk.view = v;
    if (i < p->chain_length - p->out_of_sync)
      init_records(&n->disk, p->records);
    else if (i < p->chain_length)
      n->disk.in_sync = 0;
    n->memory = n->disk;
    n->lease.started = n->lease.voters_known = AGE_OLD;
    for (int k = 0; k < MEMBERS_MAX; k++)
      n->lease.held[k].age = AGE_NONE;
    for (int k = 0; k < 2 * MEMBERS_MAX; k++)
      n->lease.granted[k].age = AGE_NONE;
    n->lease.has_acted = i < p->chain_length;
    for (int k = 0; k < p->chain_length && i < p->chain_length; k++) {
      if (k == i)
        continue;
      n->lease.held[k].member = n->lease.granted[k].member = model_member(s, k);
      n->lease.held[k].age = k + 1 == p->non_granting_voter ? AGE_NONE : 0;
      n->lease.granted[k].age = i + 1 == p->non_granting_voter ? AGE_NONE : 0;
    }
  }
}

static bool contains(const uint8_t *members, int n, uint8_t m) {
  return memchr(members, m, (size_t)n) != NULL;
}

static int chain_index_of_node(const model_view *v, int node) {
  for (int i = 0; i < v->chain_length; i++)
    if (model_node_of(v->chain[i]) == node)
      return i;
  return -1;
}

/* The environment causes no more losses than are tolerated: one member of a view keeps its disk and
   is in sync. A member that the view removes counts as lost even if its disk is intact. */
static bool has_surviving_replica(const model_state *s, const model_view *v, int excluded_node) {
  for (int i = 0; i < v->chain_length; i++) {
    int node = model_node_of(v->chain[i]);
    const model_node *n = &s->node[node];
    if (node != excluded_node && v->chain[i] == model_member(s, node) && n->disk.in_sync &&
        (n->memory.in_sync || !n->up))
      return true;
  }
  return false;
}

int model_newest_view(const model_state *s) {
  int newest = EPOCHS_MAX - 1;
  while (newest && !s->decided[newest].epoch)
    newest--;
  return newest;
}

/* whether votes in progress may still decide the view after the newest one */
static bool vote_is_under_way(const model_state *s, const model_scope *p) {
  int newest = model_newest_view(s);
  for (int i = 0; i < p->nodes; i++) {
    const model_node *n = &s->node[i];
    if (n->proposal.phase || n->memory.acceptor.epoch > newest || n->disk.acceptor.epoch > newest)
      return true;
  }
  for (int i = 0; i < MESSAGES_MAX; i++)
    if (s->message[i].kind && s->message[i].kind <= MSG_ACCEPT_RESPONSE &&
        s->message[i].epoch > newest)
      return true;
  return false;
}

/* whether a node's replica may be lost, permanently or until it fetches a snapshot */
static bool may_lose_replica(const model_state *s, const model_scope *p, int node) {
  return !vote_is_under_way(s, p) &&
         has_surviving_replica(s, &s->decided[model_newest_view(s)], node);
}

/* computes the view that a node may propose, like repair_plan_make but without its delays; returns
 * false if there is none */
static bool make_proposal(const model_state *s, const model_scope *p, model_event e,
                          model_view *v) {
  const model_node *n = &s->node[e.a];
  const model_view *known_view = &n->memory.view;
  int removed_lease_holders = 0;
  *v = *known_view;
  v->epoch++;
  if (v->epoch >= EPOCHS_MAX ||
      !contains(known_view->voters, known_view->voter_count, model_member(s, e.a)))
    return false;
  v->chain_length = 0;
  memset(v->chain, 0, sizeof v->chain);
  bool adds = e.c & PROPOSAL_ADDS_MEMBER;
  view known;
  model_expand_view(known_view, &known);
  if (adds && (!n->join_member || !chain_may_join(&known, n->join_epoch)))
    return false;
  for (int i = 0; i < known_view->chain_length; i++) {
    bool replaced = adds && model_node_of(known_view->chain[i]) == model_node_of(n->join_member) &&
                    known_view->chain[i] != n->join_member;
    bool dropped = e.b == i + 1 && known_view->chain[i] != model_member(s, e.a);
    removed_lease_holders += dropped;
    if (!replaced && !dropped)
      v->chain[v->chain_length++] = known_view->chain[i];
  }
  if (e.b && !removed_lease_holders)
    return false;
  if (adds) {
    if (!v->chain_length || v->chain_length >= p->chain_length ||
        chain_index_of_node(v, model_node_of(n->join_member)) >= 0)
      return false;
    v->chain[v->chain_length++] = n->join_member;
  }
  if (!v->chain_length)
    return false;
  if (!(e.c & PROPOSAL_REPLACES_VOTER))
    return true;
  if (!proposer_may_replace_voters(removed_lease_holders))
    return false;
  for (int i = 0; i < v->voter_count; i++) {
    if (contains(v->chain, v->chain_length, v->voters[i]))
      continue;
    for (int k = v->chain_length - 1; k >= 0; k--) {
      if (contains(v->voters, v->voter_count, v->chain[k]))
        continue;
      v->voters[i] = v->chain[k];
      return true;
    }
  }
  return false;
}

typedef struct {
  model_event *events;
  int n;
} event_list;

static void add(event_list *l, event_kind kind, int a, int b, int c) {
  if (l->n < EVENTS_MAX)
    l->events[l->n++] = (model_event){ kind, (uint8_t)a, (uint8_t)b, (uint8_t)c };
}

static void add_message_events(const model_state *s, const model_scope *p, event_list *l) {
  for (int i = 0; i < MESSAGES_MAX; i++) {
    if (!s->message[i].kind)
      continue;
    add(l, EVENT_DELIVER, i, 0, 0);
    const model_message *m = &s->message[i];
    /* checksums are compared at the same committed record only, see state_differs in replication.c
     */
    if (s->remaining.refetches && m->kind == MSG_REPLICATE_REQUEST &&
        s->node[m->to].memory.in_sync && m->commit == s->node[m->to].memory.committed &&
        model_may_accept_records(s, m) && may_lose_replica(s, p, m->to))
      add(l, EVENT_REFETCH, i, 0, 0);
    if (s->remaining.drops)
      add(l, EVENT_DROP, i, 0, 0);
    if (s->remaining.duplicates)
      add(l, EVENT_DUPLICATE, i, 0, 0);
  }
}

static void add_proposals(const model_state *s, const model_scope *p, int i, event_list *l) {
  const model_node *n = &s->node[i];
  acceptor_state pending = { .epoch = n->memory.acceptor.epoch,
                             .promised.round = n->memory.acceptor.round };
  model_view v;
  for (int b = 0; b <= n->memory.view.chain_length; b++)
    for (int c = 0; c < 4; c++) {
      model_event e = { EVENT_PROPOSE, (uint8_t)i, (uint8_t)b, (uint8_t)c };
      bool same = !b && !c;
      if (same && !acceptor_prepare_pending(&pending, n->memory.view.epoch))
        continue;
      if (make_proposal(s, p, e, &v) && has_surviving_replica(s, &v, -1))
        add(l, EVENT_PROPOSE, i, b, c);
    }
}

static void add_replication(const model_state *s, const model_scope *p, int i, event_list *l) {
  const model_node *n = &s->node[i];
  chain_position c = model_chain_position(s, i);
  view v;
  model_expand_view(&n->memory.view, &v);
  bool has_space = !n->queue[DISK_QUEUE - 1].kind;
  if (s->remaining.writes && !n->busy && has_space && chain_may_act_as_head(&c) &&
      c.last < RECORDS_MAX && c.last - c.committed < PENDING_WRITES_MAX &&
      !chain_is_under_replicated(&v, p->min_replicas, 1) && model_holds_lease(s, i))
    add(l, EVENT_WRITE, i, 0, 0);
  for (int without_records = 0;
       without_records < 2 && s->remaining.replications && chain_may_send(&c, &v);
       without_records++)
    add(l, EVENT_REPLICATE, i, without_records, 0);
  if (c.index >= 0 || !n->memory.view.epoch || !s->remaining.joins)
    return;
  if (!n->busy && has_space)
    add(l, EVENT_FETCH_SNAPSHOT, i, 0, 0);
  for (int k = 0; k < n->memory.view.voter_count && !n->memory.in_sync && !n->busy; k++)
    if (model_node_of(n->memory.view.voters[k]) != i)
      add(l, EVENT_REQUEST_JOIN, i, model_node_of(n->memory.view.voters[k]), 0);
}

static void add_node_events(const model_state *s, const model_scope *p, int i, event_list *l) {
  const model_node *n = &s->node[i];
  if (!n->up) {
    add(l, EVENT_RESTART, i, 0, 0);
    if (s->remaining.wipes && may_lose_replica(s, p, i))
      add(l, EVENT_WIPE, i, 0, 0);
    return;
  }
  if (n->queue[0].kind)
    add(l, EVENT_SYNC, i, 0, 0);
  bool acts = !p->actors || p->actors & 1 << i;
  if (s->remaining.crashes && acts) {
    add(l, EVENT_CRASH, i, 0, 0);
    if (n->queue[0].kind)
      add(l, EVENT_CRASH_SYNCED, i, 0, 0);
  }
  if (s->remaining.proposals && n->memory.view.epoch && acts)
    add_proposals(s, p, i, l);
  add_replication(s, p, i, l);
  for (int k = 0; k < p->nodes; k++) {
    if (k == i)
      continue;
    if (s->remaining.announcements && n->memory.view.epoch > s->node[k].memory.view.epoch &&
        s->node[k].up)
      add(l, EVENT_ANNOUNCE_VIEW, i, k, 0);
    if (s->remaining.leases && n->memory.view.epoch)
      for (int v = 0; v < n->memory.view.voter_count; v++)
        if (model_node_of(n->memory.view.voters[v]) == k)
          add(l, EVENT_REQUEST_LEASE, i, k, 0);
    if (s->remaining.cuts || s->cut[i] & 1 << k)
      add(l, EVENT_CUT, i, k, 0);
  }
}

int model_events(const model_state *s, const model_scope *p, model_event *e) {
  event_list l = { e, 0 };
  add_message_events(s, p, &l);
  for (int i = 0; i < p->nodes; i++)
    add_node_events(s, p, i, &l);
  if (s->remaining.ticks)
    add(&l, EVENT_TICK, 0, 0, 0);
  return l.n;
}

static uint8_t age_by(uint8_t age, int step) {
  if (age == AGE_NONE)
    return age;
  return (uint8_t)MIN(age + step, AGE_OLD);
}

static int clock_step(const model_scope *p, int node) {
  return p->slow_clock & 1 << node ? STEP_SLOW : STEP_FAST;
}

static void advance_time(model_state *s, const model_scope *p) {
  for (int i = 0; i < p->nodes; i++) {
    int step = clock_step(p, i);
    model_lease *b = &s->node[i].lease;
    b->started = age_by(b->started, step);
    b->voters_known = age_by(b->voters_known, step);
    b->may_act_in = (uint8_t)MAX(0, b->may_act_in - step);
    for (int k = 0; k < MEMBERS_MAX; k++)
      b->held[k].age = age_by(b->held[k].age, step);
    for (int k = 0; k < 2 * MEMBERS_MAX; k++)
      b->granted[k].age = age_by(b->granted[k].age, step);
    if (s->node[i].fetching)
      s->node[i].busy = s->node[i].fetching = 0;
  }
  for (int i = 0; i < MESSAGES_MAX; i++) {
    model_message *m = &s->message[i];
    if (m->kind == MSG_MEMBER_LEASE_REQUEST)
      m->age = age_by(m->age, clock_step(p, m->from));
    if (m->kind == MSG_MEMBER_LEASE_RESPONSE)
      m->age = age_by(m->age, clock_step(p, m->to));
  }
}

static void propose(model_state *s, const model_scope *p, model_event e) {
  model_node *n = &s->node[e.a];
  model_view v;
  if (!make_proposal(s, p, e, &v))
    return;
  acceptor_state vote = { .epoch = n->memory.acceptor.epoch,
                          .promised.round = n->memory.acceptor.round };
  id self = { { 0 } };
  memset(&n->proposal, 0, sizeof n->proposal);
  n->proposal.phase = 1;
  n->proposal.round = (uint8_t)proposer_next_number(&vote, v.epoch, n->highest_round, self).round;
  n->proposal.value = v;
  for (int i = 0; i < n->memory.view.voter_count; i++) {
    model_message m = { .kind = MSG_PREPARE_REQUEST, .from = e.a };
    m.to = (uint8_t)model_node_of(n->memory.view.voters[i]);
    m.epoch = v.epoch;
    m.round = n->proposal.round;
    m.proposer = e.a;
    model_send(s, m);
  }
}

static void write_record(model_state *s, int node) {
  model_node *n = &s->node[node];
  disk_write w = { .kind = DISK_WRITE_AT_HEAD, .first = (uint8_t)(n->memory.last + 1), .count = 1 };
  w.log_resets = n->log_resets;
  w.record[w.first - 1] = ++s->values;
  n->busy = 1;
  model_write_disk(s, node, w);
}

/* the daemon's first request in a view carries no records, since it does not know what the
 * successor has
 */
static void send_records(model_state *s, int node, bool without_records) {
  model_node *n = &s->node[node];
  int index = model_chain_index(s, node);
  model_message m = { .kind = MSG_REPLICATE_REQUEST,
                      .from = (uint8_t)node,
                      .epoch = n->memory.view.epoch };
  m.to = (uint8_t)model_node_of(n->memory.view.chain[index + 1]);
  m.call = ++n->call;
  m.in_sync = n->memory.in_sync;
  m.last = n->memory.last;
  m.commit = n->memory.committed;
  m.count = without_records ? 0 : n->memory.last;
  memcpy(m.record, n->memory.record, m.count);
  model_send(s, m);
}

static void begin_snapshot_fetch(model_state *s, int node) {
  model_node *n = &s->node[node];
  for (int i = n->memory.view.chain_length - 1; i >= 0; i--) {
    int from = model_node_of(n->memory.view.chain[i]);
    if (from == node)
      continue;
    model_message m = { .kind = MSG_SNAPSHOT_REQUEST, .from = (uint8_t)node, .to = (uint8_t)from };
    n->busy = n->fetching = 1;
    n->fetch_call = n->fetch_epoch = 0;
    model_send(s, m);
    return;
  }
}

static void request_lease(model_state *s, int node, int voter) {
  model_message m = { .kind = MSG_MEMBER_LEASE_REQUEST,
                      .from = (uint8_t)node,
                      .to = (uint8_t)voter };
  m.epoch = s->node[node].memory.view.epoch;
  m.member = model_member(s, node);
  model_send(s, m);
}

static void request_join(model_state *s, int node, int voter) {
  model_message m = { .kind = MSG_JOIN_REQUEST, .from = (uint8_t)node, .to = (uint8_t)voter };
  m.epoch = s->node[node].memory.view.epoch;
  m.member = model_member(s, node);
  model_send(s, m);
}

/* ends a process, which keeps only its disk */
static void stop_node(model_state *s, int node) {
  model_node *n = &s->node[node], off = { 0 };
  off.disk = n->disk;
  off.disk_number = n->disk_number;
  *n = off;
}

static void wipe(model_state *s, int node) {
  model_node *n = &s->node[node];
  memset(&n->disk, 0, sizeof n->disk);
  n->disk.in_sync = 1;
  n->disk_number++;
}

static int compare_messages(const void *a, const void *b) {
  return memcmp(b, a, sizeof(model_message));
}

static void do_event(model_state *s, const model_scope *p, model_event e, char *fault) {
  model_message m;
  switch (e.kind) {
  case EVENT_DELIVER:
    m = s->message[e.a];
    memset(&s->message[e.a], 0, sizeof m);
    model_deliver(s, p, &m, fault);
    break;
  case EVENT_DROP:
    s->remaining.drops--;
    memset(&s->message[e.a], 0, sizeof m);
    break;
  case EVENT_DUPLICATE:
    s->remaining.duplicates--;
    m = s->message[e.a];
    model_deliver(s, p, &m, fault);
    break;
  case EVENT_SYNC:
    model_sync(s, p, e.a, true, fault);
    break;
  case EVENT_CRASH_SYNCED:
    model_sync(s, p, e.a, false, fault);
    /* fall through */
  case EVENT_CRASH:
    s->remaining.crashes--;
    stop_node(s, e.a);
    break;
  case EVENT_RESTART:
    model_start(s, p, e.a);
    break;
  case EVENT_WIPE:
    s->remaining.wipes--;
    wipe(s, e.a);
    break;
  case EVENT_TICK:
    s->remaining.ticks--;
    advance_time(s, p);
    break;
  case EVENT_CUT:
    s->remaining.cuts -= !(s->cut[e.a] & 1 << e.b);
    s->cut[e.a] ^= (uint8_t)(1 << e.b);
    break;
  case EVENT_PROPOSE:
    s->remaining.proposals--;
    propose(s, p, e);
    break;
  case EVENT_ANNOUNCE_VIEW:
    s->remaining.announcements--;
    m = (model_message){ .kind = MSG_VIEW_ANNOUNCEMENT, .from = e.a, .to = e.b };
    m.view = s->node[e.a].memory.view;
    model_send(s, m);
    break;
  case EVENT_REQUEST_LEASE:
    s->remaining.leases--;
    request_lease(s, e.a, e.b);
    break;
  case EVENT_WRITE:
    s->remaining.writes--;
    write_record(s, e.a);
    break;
  case EVENT_REPLICATE:
    s->remaining.replications--;
    send_records(s, e.a, e.b);
    break;
  case EVENT_REFETCH:
    s->remaining.refetches--;
    m = s->message[e.a];
    memset(&s->message[e.a], 0, sizeof m);
    model_refetch(s, &m);
    break;
  case EVENT_FETCH_SNAPSHOT:
    s->remaining.joins--;
    begin_snapshot_fetch(s, e.a);
    break;
  case EVENT_REQUEST_JOIN:
    s->remaining.joins--;
    request_join(s, e.a, e.b);
    break;
  default:
    break;
  }
}

/* syncs all disks, and delivers the messages of nodes to themselves if the scope requires it */
static void run_until_idle(model_state *s, const model_scope *p, char *fault) {
  for (bool progressed = true; progressed;) {
    progressed = false;
    for (int i = 0; i < p->nodes; i++)
      for (; s->node[i].queue[0].kind; progressed = true)
        model_sync(s, p, i, true, fault);
    for (int i = 0;
         i < MESSAGES_MAX && p->interleaving == INTERLEAVE_WITHOUT_DISKS_AND_OWN_MESSAGES; i++) {
      model_message m = s->message[i];
      if (!m.kind || m.from != m.to)
        continue;
      memset(&s->message[i], 0, sizeof m);
      model_deliver(s, p, &m, fault);
      progressed = true;
    }
  }
}

/* removes responses that no node is waiting for, which would change nothing; used if disks sync
 * immediately */
static void discard_stale_responses(model_state *s) {
  for (int i = 0; i < MESSAGES_MAX; i++) {
    model_message *m = &s->message[i];
    const model_proposal *q = &s->node[m->to].proposal;
    bool stale =
        (m->kind == MSG_PREPARE_RESPONSE && (q->phase != 1 || q->round != m->round)) ||
        (m->kind == MSG_ACCEPT_RESPONSE && (q->phase != 2 || q->round != m->round || !m->ok));
    if (stale)
      memset(m, 0, sizeof *m);
  }
}

void model_apply(model_state *s, const model_scope *p, model_event e, char *fault) {
  fault[0] = 0;
  do_event(s, p, e, fault);
  if (p->interleaving)
    run_until_idle(s, p, fault);
  if (p->interleaving)
    discard_stale_responses(s);
  /* the daemon may check its lease at any time, which records that it has acted */
  for (int i = 0; i < p->nodes; i++)
    if (model_holds_lease(s, i))
      s->node[i].lease.has_acted = 1;
  qsort(s->message, MESSAGES_MAX, sizeof s->message[0], compare_messages);
  if (!fault[0])
    model_check(s, p, fault);
}

void model_describe(const model_state *s, model_event e, char *to, size_t size) {
  static const char *const events[] = {
    [EVENT_DELIVER] = "deliver",
    [EVENT_DROP] = "drop",
    [EVENT_DUPLICATE] = "duplicate",
    [EVENT_SYNC] = "sync",
    [EVENT_CRASH] = "crash",
    [EVENT_CRASH_SYNCED] = "crash after the sync",
    [EVENT_RESTART] = "restart",
    [EVENT_WIPE] = "wipe",
    [EVENT_TICK] = "time",
    [EVENT_CUT] = "cut",
    [EVENT_PROPOSE] = "propose",
    [EVENT_ANNOUNCE_VIEW] = "announce view",
    [EVENT_REQUEST_LEASE] = "request lease",
    [EVENT_WRITE] = "write",
    [EVENT_REPLICATE] = "replicate",
    [EVENT_REFETCH] = "refetch",
    [EVENT_FETCH_SNAPSHOT] = "fetch snapshot",
    [EVENT_REQUEST_JOIN] = "request join",
  };
  static const char *const messages[] = {
    [MSG_NONE] = "-",
    [MSG_PREPARE_REQUEST] = "prepare request",
    [MSG_PREPARE_RESPONSE] = "prepare response",
    [MSG_ACCEPT_REQUEST] = "accept request",
    [MSG_ACCEPT_RESPONSE] = "accept response",
    [MSG_VIEW_ANNOUNCEMENT] = "view announcement",
    [MSG_MEMBER_LEASE_REQUEST] = "lease request",
    [MSG_MEMBER_LEASE_RESPONSE] = "lease response",
    [MSG_REPLICATE_REQUEST] = "replicate request",
    [MSG_REPLICATE_RESPONSE] = "replicate response",
    [MSG_SNAPSHOT_REQUEST] = "snapshot request",
    [MSG_SNAPSHOT_RESPONSE] = "snapshot response",
    [MSG_JOIN_REQUEST] = "join request",
  };
  if (e.kind > EVENT_DUPLICATE) {
    snprintf(to, size, "%s %d %d %d", events[e.kind], e.a, e.b, e.c);
    return;
  }
  const model_message *m = &s->message[e.a];
  snprintf(to, size, "%s %s n%d > n%d epoch %d round %d/%d", events[e.kind], messages[m->kind],
           m->from, m->to, m->epoch, m->round, m->proposer);
}
