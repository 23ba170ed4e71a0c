/** What may happen in the model, and the rules that hold in every state. */
#include "replica.h"
#include "model.h"
#include <stdio.h>
#include <stdlib.h>

enum {
  STEP_SLOW = 10,
  STEP_FAST = 11,
  PENDING_WRITES = 2,
  PROPOSAL_ADDS = 1,
  PROPOSAL_EXCHANGES = 2
};

static void first_records(model_image *m, int records) {
  m->last = m->base = (uint8_t)records;
  for (int i = 0; i < records; i++)
    m->record[i] = (uint8_t)(i + 1);
}

void model_first(model_state *s, const model_scope *p) {
  memset(s, 0, sizeof *s);
  model_view v = { .epoch = 1, .links = p->links, .votes = p->links };
  for (int i = 0; i < p->links; i++)
    v.chain[i] = v.voters[i] = model_member(s, i);
  s->decided[1] = v;
  s->left = p->budget;
  if (p->old_enrolment)
    s->node[0].caller = model_member(s, p->links - 1);
  s->acked = s->read = s->values = p->records;
  for (int i = 0; i < p->records; i++)
    s->ack_value[i] = s->read_value[i] = (uint8_t)(i + 1);
  for (int i = 0; i < p->nodes; i++) {
    model_node *n = &s->node[i];
    n->up = 1;
    n->disk.whole = 1;
    if (i < p->links)
      n->disk.now = v;
    if (i < p->links - p->partial)
      first_records(&n->disk, p->records);
    else if (i < p->links)
      n->disk.whole = 0;
    n->mem = n->disk;
    n->lease.up = n->lease.voters = AGE_OLD;
    for (int k = 0; k < MEMBERS_MOST; k++)
      n->lease.held[k].age = AGE_NONE;
    for (int k = 0; k < 2 * MEMBERS_MOST; k++)
      n->lease.granted[k].age = AGE_NONE;
    n->lease.acted = i < p->links;
    for (int k = 0; k < p->links && i < p->links; k++) {
      if (k == i)
        continue;
      n->lease.held[k].member = n->lease.granted[k].member = model_member(s, k);
      n->lease.held[k].age = k + 1 == p->quiet_voter ? AGE_NONE : 0;
      n->lease.granted[k].age = i + 1 == p->quiet_voter ? AGE_NONE : 0;
    }
  }
}

static bool holds(const uint8_t *members, int n, uint8_t m) {
  return memchr(members, m, (size_t)n) != NULL;
}

static int chain_index_of_node(const model_view *v, int node) {
  for (int i = 0; i < v->links; i++)
    if (model_node_of(v->chain[i]) == node)
      return i;
  return -1;
}

/* The environment loses no more than is tolerated: of the members of a view, one keeps its disk and
   is whole. Left out, it would be lost as well, though its disk is sound. */
static bool keeps_a_copy(const model_state *s, const model_view *v, int but) {
  for (int i = 0; i < v->links; i++) {
    int node = model_node_of(v->chain[i]);
    const model_node *n = &s->node[node];
    if (node != but && v->chain[i] == model_member(s, node) && n->disk.whole &&
        (n->mem.whole || !n->up))
      return true;
  }
  return false;
}

static int newest_view(const model_state *s) {
  int newest = EPOCHS_MOST - 1;
  while (newest && !s->decided[newest].epoch)
    newest--;
  return newest;
}

/* true when the view after the newest may be decided by what is under way already */
static bool vote_is_under_way(const model_state *s, const model_scope *p) {
  int newest = newest_view(s);
  for (int i = 0; i < p->nodes; i++) {
    const model_node *n = &s->node[i];
    if (n->proposal.phase || n->mem.vote.epoch > newest || n->disk.vote.epoch > newest)
      return true;
  }
  for (int i = 0; i < MESSAGES_MOST; i++)
    if (s->message[i].kind && s->message[i].kind <= MSG_ACCEPT_BACK && s->message[i].epoch > newest)
      return true;
  return false;
}

/* true when a node's copy may be lost, for good or until it is fetched anew */
static bool may_lose_copy(const model_state *s, const model_scope *p, int node) {
  return !vote_is_under_way(s, p) && keeps_a_copy(s, &s->decided[newest_view(s)], node);
}

/* the view that a node may propose; as chain_repair_view does it, but without its patience */
static bool make_proposal(const model_state *s, const model_scope *p, model_event e,
                          model_view *v) {
  const model_node *n = &s->node[e.a];
  const model_view *was = &n->mem.now;
  int left_out = 0;
  *v = *was;
  v->epoch++;
  if (v->epoch >= EPOCHS_MOST || !holds(was->voters, was->votes, model_member(s, e.a)))
    return false;
  v->links = 0;
  memset(v->chain, 0, sizeof v->chain);
  bool adds = e.c & PROPOSAL_ADDS;
  view known;
  model_expand_view(was, &known);
  if (adds && (!n->caller || !chain_may_join(&known, n->caller_epoch)))
    return false;
  for (int i = 0; i < was->links; i++) {
    bool replaced = adds && model_node_of(was->chain[i]) == model_node_of(n->caller) &&
                    was->chain[i] != n->caller;
    bool dropped = e.b == i + 1 && was->chain[i] != model_member(s, e.a);
    left_out += dropped;
    if (!replaced && !dropped)
      v->chain[v->links++] = was->chain[i];
  }
  if (e.b && !left_out)
    return false;
  if (adds) {
    if (!v->links || v->links >= p->links || chain_index_of_node(v, model_node_of(n->caller)) >= 0)
      return false;
    v->chain[v->links++] = n->caller;
  }
  if (!v->links)
    return false;
  if (!(e.c & PROPOSAL_EXCHANGES))
    return true;
  if (!proposer_may_replace_voters(left_out))
    return false;
  for (int i = 0; i < v->votes; i++) {
    if (holds(v->chain, v->links, v->voters[i]))
      continue;
    for (int k = v->links - 1; k >= 0; k--) {
      if (holds(v->voters, v->votes, v->chain[k]))
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
  if (l->n < EVENTS_MOST)
    l->events[l->n++] = (model_event){ kind, (uint8_t)a, (uint8_t)b, (uint8_t)c };
}

static void add_message_events(const model_state *s, const model_scope *p, event_list *l) {
  for (int i = 0; i < MESSAGES_MOST; i++) {
    if (!s->message[i].kind)
      continue;
    add(l, EVENT_DELIVER, i, 0, 0);
    const model_message *m = &s->message[i];
    /* sums are compared of the same committed record only, see replication_on_request */
    if (s->left.refetches && m->kind == MSG_PUT && s->node[m->to].mem.whole &&
        m->commit == s->node[m->to].mem.base && model_may_take(s, m) && may_lose_copy(s, p, m->to))
      add(l, EVENT_REFETCH, i, 0, 0);
    if (s->left.drops)
      add(l, EVENT_DROP, i, 0, 0);
    if (s->left.duplicates)
      add(l, EVENT_DUPLICATE, i, 0, 0);
  }
}

static void add_proposals(const model_state *s, const model_scope *p, int i, event_list *l) {
  const model_node *n = &s->node[i];
  acceptor_state pending = { .epoch = n->mem.vote.epoch, .promised.round = n->mem.vote.turn };
  model_view v;
  for (int b = 0; b <= n->mem.now.links; b++)
    for (int c = 0; c < 4; c++) {
      model_event e = { EVENT_PROPOSE, (uint8_t)i, (uint8_t)b, (uint8_t)c };
      bool same = !b && !c;
      if (same && !acceptor_prepare_pending(&pending, n->mem.now.epoch))
        continue;
      if (make_proposal(s, p, e, &v) && keeps_a_copy(s, &v, -1))
        add(l, EVENT_PROPOSE, i, b, c);
    }
}

static void add_replication(const model_state *s, const model_scope *p, int i, event_list *l) {
  const model_node *n = &s->node[i];
  chain_position c = model_copy(s, i);
  view v;
  model_expand_view(&n->mem.now, &v);
  bool room = !n->queue[DISK_QUEUE - 1].kind;
  if (s->left.writes && !n->busy && room && chain_may_lead(&c) && c.last < RECORDS_MOST &&
      c.last - c.committed < PENDING_WRITES && !chain_is_under_replicated(&v, p->copies, 1) &&
      model_acts(s, i))
    add(l, EVENT_WRITE, i, 0, 0);
  for (int bare = 0; bare < 2 && s->left.puts && chain_may_send(&c, &v); bare++)
    add(l, EVENT_PUT, i, bare, 0);
  if (c.index >= 0 || !n->mem.now.epoch || !s->left.enrols)
    return;
  if (!n->busy && room)
    add(l, EVENT_FETCH, i, 0, 0);
  for (int k = 0; k < n->mem.now.votes && !n->mem.whole && !n->busy; k++)
    if (model_node_of(n->mem.now.voters[k]) != i)
      add(l, EVENT_ENROL, i, model_node_of(n->mem.now.voters[k]), 0);
}

static void add_node_events(const model_state *s, const model_scope *p, int i, event_list *l) {
  const model_node *n = &s->node[i];
  if (!n->up) {
    add(l, EVENT_RESTART, i, 0, 0);
    if (s->left.wipes && may_lose_copy(s, p, i))
      add(l, EVENT_WIPE, i, 0, 0);
    return;
  }
  if (n->queue[0].kind)
    add(l, EVENT_SYNC, i, 0, 0);
  bool acts = !p->actors || p->actors & 1 << i;
  if (s->left.crashes && acts) {
    add(l, EVENT_CRASH, i, 0, 0);
    if (n->queue[0].kind)
      add(l, EVENT_CRASH_SYNCED, i, 0, 0);
  }
  if (s->left.proposals && n->mem.now.epoch && acts)
    add_proposals(s, p, i, l);
  add_replication(s, p, i, l);
  for (int k = 0; k < p->nodes; k++) {
    if (k == i)
      continue;
    if (s->left.tells && n->mem.now.epoch > s->node[k].mem.now.epoch && s->node[k].up)
      add(l, EVENT_TELL, i, k, 0);
    if (s->left.leases && n->mem.now.epoch)
      for (int v = 0; v < n->mem.now.votes; v++)
        if (model_node_of(n->mem.now.voters[v]) == k)
          add(l, EVENT_LEASE, i, k, 0);
    if (s->left.cuts || s->cut[i] & 1 << k)
      add(l, EVENT_CUT, i, k, 0);
  }
}

int model_events(const model_state *s, const model_scope *p, model_event *e) {
  event_list l = { e, 0 };
  add_message_events(s, p, &l);
  for (int i = 0; i < p->nodes; i++)
    add_node_events(s, p, i, &l);
  if (s->left.ticks)
    add(&l, EVENT_TICK, 0, 0, 0);
  return l.n;
}

static uint8_t older(uint8_t age, int step) {
  if (age == AGE_NONE)
    return age;
  return (uint8_t)MIN(age + step, AGE_OLD);
}

static int clock_step(const model_scope *p, int node) {
  return p->slow_clock & 1 << node ? STEP_SLOW : STEP_FAST;
}

static void pass_time(model_state *s, const model_scope *p) {
  for (int i = 0; i < p->nodes; i++) {
    int step = clock_step(p, i);
    model_lease *b = &s->node[i].lease;
    b->up = older(b->up, step);
    b->voters = older(b->voters, step);
    b->act_in = (uint8_t)MAX(0, b->act_in - step);
    for (int k = 0; k < MEMBERS_MOST; k++)
      b->held[k].age = older(b->held[k].age, step);
    for (int k = 0; k < 2 * MEMBERS_MOST; k++)
      b->granted[k].age = older(b->granted[k].age, step);
    if (s->node[i].fetching)
      s->node[i].busy = s->node[i].fetching = 0;
  }
  for (int i = 0; i < MESSAGES_MOST; i++) {
    model_message *m = &s->message[i];
    if (m->kind == MSG_LEASE)
      m->age = older(m->age, clock_step(p, m->from));
    if (m->kind == MSG_LEASE_BACK)
      m->age = older(m->age, clock_step(p, m->to));
  }
}

static void propose(model_state *s, const model_scope *p, model_event e) {
  model_node *n = &s->node[e.a];
  model_view v;
  if (!make_proposal(s, p, e, &v))
    return;
  acceptor_state vote = { .epoch = n->mem.vote.epoch, .promised.round = n->mem.vote.turn };
  id self = { { 0 } };
  memset(&n->proposal, 0, sizeof n->proposal);
  n->proposal.phase = 1;
  n->proposal.turn = (uint8_t)proposer_next_number(&vote, v.epoch, n->turns, self).round;
  n->proposal.value = v;
  for (int i = 0; i < n->mem.now.votes; i++) {
    model_message m = { .kind = MSG_PROMISE, .from = e.a };
    m.to = (uint8_t)model_node_of(n->mem.now.voters[i]);
    m.epoch = v.epoch;
    m.turn = n->proposal.turn;
    m.by = e.a;
    model_send(s, m);
  }
}

static void write_record(model_state *s, int node) {
  model_node *n = &s->node[node];
  disk_write w = { .kind = DISK_WRITE, .first = (uint8_t)(n->mem.last + 1), .count = 1 };
  w.resets = n->resets;
  w.record[w.first - 1] = ++s->values;
  n->busy = 1;
  model_disk(s, node, w);
}

/* the daemon's first put in a view bears no records, since it does not know what the next one has
 */
static void put_records(model_state *s, int node, bool bare) {
  model_node *n = &s->node[node];
  int place = model_place(s, node);
  model_message m = { .kind = MSG_PUT, .from = (uint8_t)node, .epoch = n->mem.now.epoch };
  m.to = (uint8_t)model_node_of(n->mem.now.chain[place + 1]);
  m.call = ++n->call;
  m.whole = n->mem.whole;
  m.last = n->mem.last;
  m.commit = n->mem.base;
  m.count = bare ? 0 : n->mem.last;
  memcpy(m.record, n->mem.record, m.count);
  model_send(s, m);
}

static void begin_fetch(model_state *s, int node) {
  model_node *n = &s->node[node];
  for (int i = n->mem.now.links - 1; i >= 0; i--) {
    int from = model_node_of(n->mem.now.chain[i]);
    if (from == node)
      continue;
    model_message m = { .kind = MSG_FETCH, .from = (uint8_t)node, .to = (uint8_t)from };
    n->busy = n->fetching = 1;
    n->fetch_call = n->fetch_epoch = 0;
    model_send(s, m);
    return;
  }
}

static void request_lease(model_state *s, int node, int voter) {
  model_message m = { .kind = MSG_LEASE, .from = (uint8_t)node, .to = (uint8_t)voter };
  m.epoch = s->node[node].mem.now.epoch;
  m.member = model_member(s, node);
  model_send(s, m);
}

static void enrol(model_state *s, int node, int voter) {
  model_message m = { .kind = MSG_ENROL, .from = (uint8_t)node, .to = (uint8_t)voter };
  m.epoch = s->node[node].mem.now.epoch;
  m.member = model_member(s, node);
  model_send(s, m);
}

/* ends a process; its disk stays */
static void end_node(model_state *s, int node) {
  model_node *n = &s->node[node], off = { 0 };
  off.disk = n->disk;
  off.disk_number = n->disk_number;
  *n = off;
}

static void wipe(model_state *s, int node) {
  model_node *n = &s->node[node];
  memset(&n->disk, 0, sizeof n->disk);
  n->disk.whole = 1;
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
    s->left.drops--;
    memset(&s->message[e.a], 0, sizeof m);
    break;
  case EVENT_DUPLICATE:
    s->left.duplicates--;
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
    s->left.crashes--;
    end_node(s, e.a);
    break;
  case EVENT_RESTART:
    model_start(s, p, e.a);
    break;
  case EVENT_WIPE:
    s->left.wipes--;
    wipe(s, e.a);
    break;
  case EVENT_TICK:
    s->left.ticks--;
    pass_time(s, p);
    break;
  case EVENT_CUT:
    s->left.cuts -= !(s->cut[e.a] & 1 << e.b);
    s->cut[e.a] ^= (uint8_t)(1 << e.b);
    break;
  case EVENT_PROPOSE:
    s->left.proposals--;
    propose(s, p, e);
    break;
  case EVENT_TELL:
    s->left.tells--;
    m = (model_message){ .kind = MSG_TELL, .from = e.a, .to = e.b };
    m.view = s->node[e.a].mem.now;
    model_send(s, m);
    break;
  case EVENT_LEASE:
    s->left.leases--;
    request_lease(s, e.a, e.b);
    break;
  case EVENT_WRITE:
    s->left.writes--;
    write_record(s, e.a);
    break;
  case EVENT_PUT:
    s->left.puts--;
    put_records(s, e.a, e.b);
    break;
  case EVENT_REFETCH:
    s->left.refetches--;
    m = s->message[e.a];
    memset(&s->message[e.a], 0, sizeof m);
    model_refetch(s, &m);
    break;
  case EVENT_FETCH:
    s->left.enrols--;
    begin_fetch(s, e.a);
    break;
  case EVENT_ENROL:
    s->left.enrols--;
    enrol(s, e.a, e.b);
    break;
  default:
    break;
  }
}

/* ends all writes of disks, and delivers all messages to oneself where the pace says so */
static void settle(model_state *s, const model_scope *p, char *fault) {
  for (bool more = true; more;) {
    more = false;
    for (int i = 0; i < p->nodes; i++)
      for (; s->node[i].queue[0].kind; more = true)
        model_sync(s, p, i, true, fault);
    for (int i = 0; i < MESSAGES_MOST && p->pace == PACE_DISKS_AND_OWN_MESSAGES_AT_ONCE; i++) {
      model_message m = s->message[i];
      if (!m.kind || m.from != m.to)
        continue;
      memset(&s->message[i], 0, sizeof m);
      model_deliver(s, p, &m, fault);
      more = true;
    }
  }
}

/* answers that nobody waits for any more change nothing; where disks sync at once they are taken
 * away */
static void forget_stale_answers(model_state *s) {
  for (int i = 0; i < MESSAGES_MOST; i++) {
    model_message *m = &s->message[i];
    const model_proposal *q = &s->node[m->to].proposal;
    bool stale = (m->kind == MSG_PROMISE_BACK && (q->phase != 1 || q->turn != m->turn)) ||
                 (m->kind == MSG_ACCEPT_BACK && (q->phase != 2 || q->turn != m->turn || !m->ok));
    if (stale)
      memset(m, 0, sizeof *m);
  }
}

void model_apply(model_state *s, const model_scope *p, model_event e, char *fault) {
  fault[0] = 0;
  do_event(s, p, e, fault);
  if (p->pace)
    settle(s, p, fault);
  if (p->pace)
    forget_stale_answers(s);
  /* the daemon looks at its lease at any time, and notes that it acted */
  for (int i = 0; i < p->nodes; i++)
    if (model_acts(s, i))
      s->node[i].lease.acted = 1;
  qsort(s->message, MESSAGES_MOST, sizeof s->message[0], compare_messages);
  if (!fault[0])
    model_check(s, p, fault);
}

static void check_head(const model_state *s, int node, char *fault) {
  const model_image *m = &s->node[node].mem;
  for (int i = 0; i < s->acked; i++)
    if (m->last <= i || m->record[i] != s->ack_value[i])
      snprintf(fault, FAULT_SIZE, "n%d leads without the acknowledged record %d", node, i + 1);
}

static void check_tail(model_state *s, int node, char *fault) {
  const model_image *m = &s->node[node].mem;
  if (m->base < s->read || m->base < s->acked)
    snprintf(fault, FAULT_SIZE, "the tail n%d answers reads at %d after %d was read", node, m->base,
             MAX(s->read, s->acked));
  for (int i = 0; i < s->read && i < m->base; i++)
    if (m->record[i] != s->read_value[i])
      snprintf(fault, FAULT_SIZE, "the tail n%d reads another record %d", node, i + 1);
  for (int i = s->read; i < m->base; i++)
    s->read_value[i] = m->record[i];
  s->read = MAX(s->read, m->base);
}

/* somebody of the newest view may bring back all that was acknowledged */
static void check_survival(const model_state *s, char *fault) {
  int newest = newest_view(s);
  const model_view *v = &s->decided[newest];
  for (int i = 0; i < v->links; i++) {
    int node = model_node_of(v->chain[i]);
    const model_image *d = &s->node[node].disk;
    if (v->chain[i] == model_member(s, node) && d->whole && d->last >= s->acked &&
        !memcmp(d->record, s->ack_value, s->acked))
      return;
  }
  snprintf(fault, FAULT_SIZE, "no whole copy of view %d has the acknowledged record %d", newest,
           s->acked);
}

/* a ballot stands for one value */
static void check_ballots(const model_state *s, const model_scope *p, char *fault) {
  for (int i = 0; i < p->nodes; i++)
    for (int k = 0; k < i; k++) {
      const model_vote *a = &s->node[i].disk.vote, *b = &s->node[k].disk.vote;
      if (a->has && b->has && a->epoch == b->epoch && a->took_turn == b->took_turn &&
          a->took_by == b->took_by && memcmp(&a->value, &b->value, sizeof a->value))
        snprintf(fault, FAULT_SIZE, "n%d and n%d took two values under ballot %d of n%d", k, i,
                 a->took_turn, a->took_by);
    }
}

void model_check(model_state *s, const model_scope *p, char *fault) {
  int heads = 0, tails = 0;
  for (int i = 0; i < p->nodes; i++) {
    const model_node *n = &s->node[i];
    if (!model_acts(s, i))
      continue;
    const model_view *d = &s->decided[n->mem.now.epoch];
    if (memcmp(d, &n->mem.now, sizeof *d))
      snprintf(fault, FAULT_SIZE, "n%d acts in a view that was not decided", i);
    chain_position c = model_copy(s, i);
    view v;
    model_expand_view(&n->mem.now, &v);
    if (chain_may_lead(&c)) {
      heads++;
      check_head(s, i, fault);
    }
    if (chain_may_read(&c, &v)) {
      tails++;
      check_tail(s, i, fault);
    }
  }
  if (heads > 1)
    snprintf(fault, FAULT_SIZE, "%d heads act at once", heads);
  if (tails > 1)
    snprintf(fault, FAULT_SIZE, "%d tails act at once", tails);
  check_ballots(s, p, fault);
  if (!fault[0])
    check_survival(s, fault);
}

void model_describe(const model_state *s, model_event e, char *to, size_t size) {
  static const char *const events[] = {
    "deliver",   "drop",  "duplicate", "sync",    "crash",   "crash after the sync",
    "restart",   "wipe",  "time",      "cut",     "propose", "tell",
    "ask lease", "write", "put",       "refetch", "fetch",   "enrol"
  };
  static const char *const messages[] = { "-",     "promise", "promised", "accept", "accepted",
                                          "view",  "lease",   "leased",   "put",    "put-back",
                                          "fetch", "fetched", "enrol" };
  if (e.kind > EVENT_DUPLICATE) {
    snprintf(to, size, "%s %d %d %d", events[e.kind], e.a, e.b, e.c);
    return;
  }
  const model_message *m = &s->message[e.a];
  snprintf(to, size, "%s %s n%d > n%d epoch %d turn %d/%d", events[e.kind], messages[m->kind],
           m->from, m->to, m->epoch, m->turn, m->by);
}
