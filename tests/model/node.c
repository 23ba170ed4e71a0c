/** A node of the model: how it handles messages, and what follows a sync. It mirrors the order of
 * steps in agreement.c, lease.c, replication.c, snapshot.c and join.c; all that is decided in
 * between is decided by the daemon's own functions. */
#include "replica.h"
#include "model.h"
#include <stdio.h>

/* the instant that every clock shows; ages are told relative to it */
static const time_us NOW = { 100 * 1000 * 1000 };

static id node_id(int node) {
  return (id){ { 'n', (char)('0' + node) } };
}

static int node_of_id(id i) {
  return i.text[0] ? i.text[1] - '0' : 0;
}

uint8_t model_member(const model_state *s, int node) {
  return (uint8_t)(node * 8 + s->node[node].disk_number + 1);
}

int model_node_of(uint8_t member) {
  return (member - 1) / 8;
}

static member expand_member(uint8_t m) {
  member k = { .self = node_id(model_node_of(m)), .disk_id = m };
  k.zone = k.self;
  k.address[0] = k.self.text[0];
  k.address[1] = k.self.text[1];
  return k;
}

void model_expand_view(const model_view *m, view *view) {
  memset(view, 0, sizeof *view);
  view->epoch = m->epoch;
  view->fleet_id = 1;
  view->chain_length = m->links;
  view->voter_count = m->votes;
  for (int i = 0; i < m->links; i++)
    view->chain[i] = expand_member(m->chain[i]);
  for (int i = 0; i < m->votes; i++)
    view->voters[i] = expand_member(m->voters[i]);
}

static model_view compress_view(const view *view) {
  model_view m = { 0 };
  m.epoch = (uint8_t)view->epoch;
  m.links = (uint8_t)view->chain_length;
  m.votes = (uint8_t)view->voter_count;
  for (int i = 0; i < view->chain_length; i++)
    m.chain[i] = (uint8_t)view->chain[i].disk_id;
  for (int i = 0; i < view->voter_count; i++)
    m.voters[i] = (uint8_t)view->voters[i].disk_id;
  return m;
}

static proposal_number expand_ballot(uint8_t turn, uint8_t by) {
  proposal_number b = { 0 };
  b.round = turn;
  if (turn)
    b.proposer = node_id(by);
  return b;
}

static void expand_vote(const model_vote *m, acceptor_state *v) {
  memset(v, 0, sizeof *v);
  v->epoch = m->epoch;
  v->promised = expand_ballot(m->turn, m->by);
  v->accepted = expand_ballot(m->took_turn, m->took_by);
  v->has_accepted = m->has;
  if (m->has)
    model_expand_view(&m->value, &v->value);
}

static model_vote compress_vote(const acceptor_state *v) {
  model_vote m = { 0 };
  m.epoch = (uint8_t)v->epoch;
  m.turn = (uint8_t)v->promised.round;
  m.by = (uint8_t)node_of_id(v->promised.proposer);
  m.has = v->has_accepted;
  m.took_turn = (uint8_t)v->accepted.round;
  m.took_by = (uint8_t)node_of_id(v->accepted.proposer);
  if (v->has_accepted)
    m.value = compress_view(&v->value);
  return m;
}

static time_us instant(uint8_t age) {
  return age == AGE_NONE ? (time_us){ 0 } : time_sub(NOW, time_from_ms(age * UNIT_MS));
}

static uint8_t age_of(time_us at) {
  if (!at.us)
    return AGE_NONE;
  int64_t units = (NOW.us - at.us) / (UNIT_MS * 1000);
  return (uint8_t)MIN(units, AGE_OLD);
}

void model_expand_lease(const model_lease *m, member_leases *b) {
  memset(b, 0, sizeof *b);
  b->started_at = instant(m->up);
  b->voters_known_at = instant(m->voters);
  b->may_act_at = time_add(NOW, time_from_ms(m->act_in * UNIT_MS));
  b->has_acted = m->acted;
  for (int i = 0; i < MEMBERS_MOST; i++) {
    b->held[i].disk_id = m->held[i].member;
    b->held[i].requested_at = instant(m->held[i].age);
  }
  for (int i = 0; i < 2 * MEMBERS_MOST; i++) {
    b->granted[i].disk_id = m->granted[i].member;
    b->granted[i].granted_at = instant(m->granted[i].age);
  }
}

void model_compress_lease(const member_leases *b, model_lease *m) {
  m->up = age_of(b->started_at);
  m->voters = age_of(b->voters_known_at);
  m->act_in =
      b->may_act_at.us > NOW.us ? (uint8_t)((b->may_act_at.us - NOW.us) / (UNIT_MS * 1000)) : 0;
  m->acted = b->has_acted;
  for (int i = 0; i < MEMBERS_MOST; i++) {
    m->held[i].member = (uint8_t)b->held[i].disk_id;
    m->held[i].age = age_of(b->held[i].requested_at);
  }
  for (int i = 0; i < 2 * MEMBERS_MOST; i++) {
    m->granted[i].member = (uint8_t)b->granted[i].disk_id;
    m->granted[i].age = age_of(b->granted[i].granted_at);
  }
}

int model_place(const model_state *s, int node) {
  const model_view *v = &s->node[node].mem.now;
  for (int i = 0; i < v->links; i++)
    if (v->chain[i] == model_member(s, node))
      return i;
  return -1;
}

static int voter_index(const model_view *v, uint8_t member) {
  for (int i = 0; i < v->votes; i++)
    if (v->voters[i] == member)
      return i;
  return -1;
}

/* the index among the voters that a node answers for: calls go by address, not by disk */
static int voter_index_of_node(const model_view *v, int node) {
  for (int i = 0; i < v->votes; i++)
    if (model_node_of(v->voters[i]) == node)
      return i;
  return -1;
}

static bool is_pending(const model_state *s, int node) {
  acceptor_state v;
  expand_vote(&s->node[node].mem.vote, &v);
  return acceptor_prepare_pending(&v, s->node[node].mem.now.epoch);
}

static bool is_thin(const model_state *s, const model_scope *p, int node) {
  view v;
  model_expand_view(&s->node[node].mem.now, &v);
  return chain_is_under_replicated(&v, p->copies, 1);
}

chain_position model_copy(const model_state *s, int node) {
  const model_image *m = &s->node[node].mem;
  return (chain_position){ .index = model_place(s, node),
                           .prepare_pending = is_pending(s, node),
                           .in_sync = m->whole,
                           .last = m->last,
                           .committed = m->base };
}

bool model_acts(const model_state *s, int node) {
  const model_node *n = &s->node[node];
  if (!n->up || model_place(s, node) < 0)
    return false;
  member_leases b;
  view v;
  model_expand_lease(&n->lease, &b);
  model_expand_view(&n->mem.now, &v);
  int self = voter_index(&n->mem.now, model_member(s, node));
  return member_leases_majority(&b, &v, self, is_pending(s, node), NOW);
}

void model_send(model_state *s, model_message m) {
  if (s->cut[m.from] & 1 << m.to)
    return;
  for (int i = 0; i < MESSAGES_MOST; i++) {
    if (s->message[i].kind)
      continue;
    s->message[i] = m;
    return;
  }
}

static void send_view(model_state *s, int from, int to) {
  model_message m = { .kind = MSG_TELL, .from = (uint8_t)from, .to = (uint8_t)to };
  m.view = s->node[from].mem.now;
  if (m.view.epoch)
    model_send(s, m);
}

static bool has_room(const model_state *s, int node) {
  return !s->node[node].queue[DISK_QUEUE - 1].kind;
}

bool model_disk(model_state *s, int node, disk_write w) {
  for (int i = 0; i < DISK_QUEUE; i++) {
    if (s->node[node].queue[i].kind)
      continue;
    s->node[node].queue[i] = w;
    return true;
  }
  return false;
}

static void acknowledge(model_state *s, const model_scope *p, int node, int seq, char *fault) {
  const model_image *head = &s->node[node].mem;
  int copies = 0;
  for (int i = 0; i < p->nodes; i++) {
    const model_image *d = &s->node[i].disk;
    copies += d->last >= seq && d->record[seq - 1] == head->record[seq - 1];
  }
  if (copies < p->copies)
    snprintf(fault, FAULT_SIZE, "n%d acknowledged record %d, which %d disks hold", node, seq,
             copies);
  for (int i = 0; i < seq; i++) {
    if (i < s->acked && s->ack_value[i] != head->record[i])
      snprintf(fault, FAULT_SIZE, "n%d acknowledged another record %d", node, i + 1);
    s->ack_value[i] = head->record[i];
  }
  s->acked = (uint8_t)MAX(s->acked, seq);
}

static void answer_waiting(model_state *s, const model_scope *p, int node, char *fault) {
  model_node *n = &s->node[node];
  if (!n->waits || n->wait_resets != n->resets)
    return;
  chain_position c = model_copy(s, node);
  if (!chain_may_acknowledge(&c, n->waits, model_acts(s, node), is_thin(s, p, node)))
    return;
  acknowledge(s, p, node, n->waits, fault);
  n->waits = 0;
}

void model_commit(model_state *s, const model_scope *p, int node, uint64_t seq, char *fault) {
  model_image *m = &s->node[node].mem;
  m->base = (uint8_t)MAX((uint64_t)m->base, MIN(seq, (uint64_t)m->last));
  answer_waiting(s, p, node, fault);
}

static void commit_tail(model_state *s, const model_scope *p, int node, char *fault) {
  chain_position c = model_copy(s, node);
  view v;
  model_expand_view(&s->node[node].mem.now, &v);
  model_commit(s, p, node, chain_commit_sequence(&c, &v, is_thin(s, p, node)), fault);
}

static bool may_vote(const model_state *s, int node) {
  const model_image *m = &s->node[node].mem;
  return m->now.epoch && voter_index(&m->now, model_member(s, node)) >= 0;
}

static void answer_promise(model_state *s, int node, const disk_write *w) {
  const model_image *n = &s->node[node].mem;
  acceptor_state v;
  expand_vote(&n->vote, &v);
  model_message m = { .kind = MSG_PROMISE_BACK, .from = (uint8_t)node, .to = w->peer };
  m.member = model_member(s, node);
  m.epoch = w->epoch;
  m.turn = w->turn;
  m.by = w->by;
  m.whole = w->whole;
  m.ok = acceptor_has_promised(&v, n->now.epoch, w->epoch, expand_ballot(w->turn, w->by));
  m.has = n->vote.has;
  m.took_turn = n->vote.took_turn;
  m.took_by = n->vote.took_by;
  m.view = n->vote.value;
  model_send(s, m);
}

static void on_model_promise(model_state *s, int node, const model_message *m) {
  model_image *n = &s->node[node].mem;
  if (!may_vote(s, node) || !has_room(s, node))
    return;
  acceptor_state v;
  expand_vote(&n->vote, &v);
  disk_write w = { .kind = DISK_PROMISE, .peer = m->from, .epoch = m->epoch, .turn = m->turn };
  w.by = m->by;
  w.whole = n->whole;
  acceptor_action step =
      acceptor_prepare(&v, n->now.epoch, m->epoch, expand_ballot(m->turn, m->by));
  n->vote = compress_vote(&v);
  if (step == ACCEPTOR_KNOWS_NEWER)
    send_view(s, node, m->from);
  else if (step == ACCEPTOR_RESPOND)
    answer_promise(s, node, &w);
  else {
    w.vote = n->vote;
    model_disk(s, node, w);
  }
}

static void answer_accept(model_state *s, int node, const disk_write *w) {
  acceptor_state v;
  expand_vote(&s->node[node].mem.vote, &v);
  model_message m = { .kind = MSG_ACCEPT_BACK, .from = (uint8_t)node, .to = w->peer };
  m.member = model_member(s, node);
  m.epoch = w->epoch;
  m.turn = w->turn;
  m.by = w->by;
  m.ok = acceptor_has_accepted(&v, w->epoch, expand_ballot(w->turn, w->by));
  model_send(s, m);
}

static void on_model_accept(model_state *s, int node, const model_message *m) {
  model_image *n = &s->node[node].mem;
  if (!may_vote(s, node) || !has_room(s, node))
    return;
  acceptor_state v;
  view value;
  expand_vote(&n->vote, &v);
  model_expand_view(&m->view, &value);
  disk_write w = { .kind = DISK_ACCEPT, .peer = m->from, .epoch = m->epoch, .turn = m->turn };
  w.by = m->by;
  acceptor_action step =
      acceptor_accept(&v, n->now.epoch, m->epoch, expand_ballot(m->turn, m->by), &value);
  n->vote = compress_vote(&v);
  if (step == ACCEPTOR_KNOWS_NEWER)
    send_view(s, node, m->from);
  else if (step == ACCEPTOR_RESPOND)
    answer_accept(s, node, &w);
  else {
    w.vote = n->vote;
    model_disk(s, node, w);
  }
}

static void request_acceptance(model_state *s, int node, const view *use) {
  model_node *n = &s->node[node];
  n->proposal.phase = 2;
  n->proposal.accepts = 0;
  n->proposal.value = compress_view(use);
  for (int i = 0; i < n->mem.now.votes; i++) {
    model_message m = { .kind = MSG_ACCEPT, .from = (uint8_t)node };
    m.to = (uint8_t)model_node_of(n->mem.now.voters[i]);
    m.epoch = n->proposal.value.epoch;
    m.turn = n->proposal.turn;
    m.by = (uint8_t)node;
    m.view = n->proposal.value;
    model_send(s, m);
  }
}

static void expand_answer(const model_answer *m, prepare_result *a) {
  memset(a, 0, sizeof *a);
  a->promised = m->ok;
  a->in_sync = m->whole;
  a->disk_id = m->member;
  a->has_accepted = m->has;
  a->accepted = expand_ballot(m->took_turn, m->took_by);
  if (m->has)
    model_expand_view(&m->value, &a->value);
}

static bool is_answer_to(const model_state *s, int node, const model_message *m, int phase) {
  const model_node *n = &s->node[node];
  return n->proposal.phase == phase && m->by == node && m->turn == n->proposal.turn &&
         m->epoch == n->mem.now.epoch + 1;
}

static void on_model_promise_back(model_state *s, int node, const model_message *m) {
  model_node *n = &s->node[node];
  n->turns = MAX(n->turns, m->turn);
  int at = voter_index_of_node(&n->mem.now, m->from);
  if (!is_answer_to(s, node, m, 1) || at < 0 || n->proposal.answer[at].seen)
    return;
  n->proposal.answer[at] =
      (model_answer){ 1, m->ok, m->whole, m->member, m->has, m->took_turn, m->took_by, m->view };
  view known, value, use;
  model_expand_view(&n->mem.now, &known);
  model_expand_view(&n->proposal.value, &value);
  proposer_state t;
  proposer_init(&t, &known, &value, voter_index(&n->mem.now, model_member(s, node)));
  for (int i = 0; i < n->mem.now.votes; i++) {
    prepare_result a;
    expand_answer(&n->proposal.answer[i], &a);
    if (n->proposal.answer[i].seen)
      proposer_add_result(&t, i, &a);
  }
  if (proposer_choose_view(&t, &known, &use))
    request_acceptance(s, node, &use);
}

static bool is_left_out(const model_view *was, const model_view *next, int i) {
  for (int k = 0; k < next->links; k++)
    if (next->chain[k] == was->chain[i])
      return false;
  return true;
}

/* what has to hold of a view that was decided */
static void check_decided(model_state *s, const model_view *was, const model_view *v, char *fault) {
  model_view *d = &s->decided[v->epoch];
  if (d->epoch && memcmp(d, v, sizeof *v))
    snprintf(fault, FAULT_SIZE, "two views of epoch %d were decided", v->epoch);
  if (d->epoch)
    return;
  *d = *v;
  bool same = was->votes == v->votes;
  for (int i = 0; i < v->votes; i++)
    same &= voter_index(was, v->voters[i]) >= 0;
  for (int i = 0; i < was->links; i++)
    if (is_left_out(was, v, i) && !same &&
        was->chain[i] == model_member(s, model_node_of(was->chain[i])))
      snprintf(fault, FAULT_SIZE, "view %d leaves a member out and exchanges voters", v->epoch);
  for (int i = 0; i < v->links; i++) {
    int node = model_node_of(v->chain[i]);
    if (is_left_out(v, was, i) && v->chain[i] == model_member(s, node) && s->node[node].disk.whole)
      snprintf(fault, FAULT_SIZE, "n%d comes into view %d whole, by an old mark", node, v->epoch);
  }
  int head = model_node_of(v->chain[0]);
  if (v->chain[0] == model_member(s, head) && !s->node[head].disk.whole)
    snprintf(fault, FAULT_SIZE, "view %d is led by n%d, which is not whole", v->epoch, head);
}

static void adopt(model_state *s, int node, const model_view *v) {
  model_node *n = &s->node[node];
  if (v->epoch <= n->mem.now.epoch || v->epoch <= n->adopting || !has_room(s, node))
    return;
  n->adopting = v->epoch;
  disk_write w = { .kind = DISK_ADOPT };
  w.vote.value = *v;
  model_disk(s, node, w);
}

static void on_model_accept_back(model_state *s, int node, const model_message *m, char *fault) {
  model_node *n = &s->node[node];
  int at = voter_index_of_node(&n->mem.now, m->from);
  if (!is_answer_to(s, node, m, 2) || at < 0 || !m->ok)
    return;
  if (voter_index(&n->mem.now, m->member) < 0)
    snprintf(fault, FAULT_SIZE, "n%d voted under a disk that is no voter", m->from);
  n->proposal.accepts |= (uint8_t)(1 << at);
  view known;
  model_expand_view(&n->mem.now, &known);
  if (__builtin_popcount(n->proposal.accepts) < proposer_quorum(&known, false))
    return;
  check_decided(s, &n->mem.now, &n->proposal.value, fault);
  adopt(s, node, &n->proposal.value);
  memset(&n->proposal, 0, sizeof n->proposal);
}

static void on_model_lease(model_state *s, int node, const model_message *m) {
  model_node *n = &s->node[node];
  if (m->epoch < n->mem.now.epoch)
    send_view(s, node, m->from);
  if (m->epoch != n->mem.now.epoch)
    return;
  member_leases b;
  view v;
  member who = expand_member(m->member);
  model_expand_lease(&n->lease, &b);
  model_expand_view(&n->mem.now, &v);
  bool ok = false;
  if (member_index(v.chain, v.chain_length, &who) < 0)
    member_leases_release(&b, who.disk_id);
  else if (may_vote(s, node))
    ok = member_leases_grant(&b, &v, is_pending(s, node), &who, NOW);
  model_compress_lease(&b, &n->lease);
  if (!ok)
    return;
  model_message back = { .kind = MSG_LEASE_BACK, .from = (uint8_t)node, .to = m->from };
  back.member = model_member(s, node);
  back.epoch = m->epoch;
  back.age = m->age;
  model_send(s, back);
}

static void on_model_lease_back(model_state *s, int node, const model_message *m) {
  model_node *n = &s->node[node];
  int at = voter_index(&n->mem.now, m->member);
  if (m->epoch != n->mem.now.epoch || at < 0)
    return;
  member_leases b;
  model_expand_lease(&n->lease, &b);
  member_leases_record(&b, at, m->member, instant(m->age));
  model_compress_lease(&b, &n->lease);
}

static void end_put(model_state *s, const model_scope *p, int node, const disk_write *w,
                    char *fault) {
  model_node *n = &s->node[node];
  commit_tail(s, p, node, fault);
  n->busy = 0;
  model_message m = { .kind = MSG_PUT_BACK, .from = (uint8_t)node, .to = w->peer };
  m.epoch = w->epoch;
  m.call = w->call;
  m.last = n->mem.last;
  m.commit = n->mem.base;
  model_send(s, m);
}

/* after the records of a put are synced */
static void after_take(model_state *s, const model_scope *p, int node, const disk_write *w,
                       char *fault) {
  chain_position c = model_copy(s, node);
  if (w->epoch != s->node[node].mem.now.epoch ||
      !chain_becomes_in_sync(&c, w->sender_whole, w->sender_last)) {
    end_put(s, p, node, w, fault);
    return;
  }
  disk_write next = *w;
  next.kind = DISK_WHOLE;
  if (!model_disk(s, node, next))
    s->node[node].busy = 0;
}

bool model_may_take(const model_state *s, const model_message *m) {
  const model_node *n = &s->node[m->to];
  chain_position c = model_copy(s, m->to);
  view v;
  model_expand_view(&n->mem.now, &v);
  return n->up && !n->busy && has_room(s, m->to) &&
         chain_may_accept(&c, &v, m->epoch, node_id(m->from));
}

void model_refetch(model_state *s, const model_message *m) {
  model_node *n = &s->node[m->to];
  disk_write w = { .kind = DISK_NOT_WHOLE, .peer = m->from };
  n->fetch_call = m->call;
  n->fetch_epoch = m->epoch;
  n->busy = 1;
  n->mem.whole = 0;
  model_disk(s, m->to, w);
}

static void on_model_put(model_state *s, const model_scope *p, int node, const model_message *m,
                         char *fault) {
  model_node *n = &s->node[node];
  if (!model_may_take(s, m))
    return;
  chain_position c = model_copy(s, node);
  uint64_t seqs[RECORDS_MOST];
  for (int i = 0; i < m->count; i++)
    seqs[i] = (uint64_t)i + 1;
  size_t first, fit = chain_appendable(c.last, seqs, m->count, &first);
  disk_write w = { .kind = DISK_TAKE, .peer = m->from, .epoch = m->epoch };
  w.first = (uint8_t)(c.last + 1);
  w.count = (uint8_t)fit;
  w.call = m->call;
  w.sender_whole = m->whole;
  w.sender_last = m->last;
  w.resets = n->resets;
  memcpy(w.record, m->record, sizeof w.record);
  n->busy = 1;
  if (fit)
    model_disk(s, node, w);
  else
    after_take(s, p, node, &w, fault);
}

static void on_model_fetch(model_state *s, int node, const model_message *m) {
  const model_image *n = &s->node[node].mem;
  if (model_place(s, node) < 0 || !n->whole)
    return;
  model_message back = { .kind = MSG_FETCH_BACK, .from = (uint8_t)node, .to = m->from };
  back.commit = n->base;
  memcpy(back.record, n->record, n->base);
  model_send(s, back);
}

static void on_model_fetch_back(model_state *s, int node, const model_message *m) {
  model_node *n = &s->node[node];
  if (!n->fetching || !has_room(s, node))
    return;
  n->fetching = 0;
  n->mem.whole = 0;
  n->mem.last = m->commit;
  n->mem.base = m->commit;
  memcpy(n->mem.record, m->record, sizeof n->mem.record);
  n->resets++;
  disk_write w = { .kind = DISK_INSTALL, .count = m->commit, .peer = m->from };
  w.call = n->fetch_call;
  w.epoch = n->fetch_epoch;
  memcpy(w.record, m->record, sizeof w.record);
  model_disk(s, node, w);
}

static void on_model_enrol(model_state *s, int node, const model_message *m) {
  model_node *n = &s->node[node];
  view v;
  model_expand_view(&n->mem.now, &v);
  if (!v.epoch || !chain_may_join(&v, m->epoch))
    return;
  n->caller = m->member;
  n->caller_epoch = m->epoch;
}

void model_deliver(model_state *s, const model_scope *p, const model_message *m, char *fault) {
  int node = m->to;
  if (!s->node[node].up)
    return;
  switch (m->kind) {
  case MSG_PROMISE:
    on_model_promise(s, node, m);
    break;
  case MSG_PROMISE_BACK:
    on_model_promise_back(s, node, m);
    break;
  case MSG_ACCEPT:
    on_model_accept(s, node, m);
    break;
  case MSG_ACCEPT_BACK:
    on_model_accept_back(s, node, m, fault);
    break;
  case MSG_TELL:
    adopt(s, node, &m->view);
    break;
  case MSG_LEASE:
    on_model_lease(s, node, m);
    break;
  case MSG_LEASE_BACK:
    on_model_lease_back(s, node, m);
    break;
  case MSG_PUT:
    on_model_put(s, p, node, m, fault);
    break;
  case MSG_PUT_BACK:
    /* an answer that comes after its call was given up is not looked at */
    if (m->epoch == s->node[node].mem.now.epoch && m->call == s->node[node].call)
      model_commit(s, p, node, m->commit, fault);
    break;
  case MSG_FETCH:
    on_model_fetch(s, node, m);
    break;
  case MSG_FETCH_BACK:
    on_model_fetch_back(s, node, m);
    break;
  case MSG_ENROL:
    on_model_enrol(s, node, m);
    break;
  default:
    break;
  }
}

static void enter_view(model_state *s, const model_scope *p, int node, const model_view *v,
                       char *fault) {
  model_node *n = &s->node[node];
  n->adopting = 0;
  if (v->epoch <= n->mem.now.epoch)
    return;
  member_leases b;
  view was, next;
  model_expand_lease(&n->lease, &b);
  model_expand_view(&n->mem.now, &was);
  model_expand_view(v, &next);
  member_leases_enter_view(&b, &was, &next, NOW);
  model_compress_lease(&b, &n->lease);
  n->mem.now = *v;
  memset(&n->proposal, 0, sizeof n->proposal);
  commit_tail(s, p, node, fault);
}

/* puts a write onto the disk */
static void store_write(model_image *d, const disk_write *w) {
  switch (w->kind) {
  case DISK_PROMISE:
  case DISK_ACCEPT:
    d->vote = w->vote;
    break;
  case DISK_ADOPT:
    d->now = w->vote.value;
    break;
  case DISK_TAKE:
  case DISK_WRITE:
    for (int i = w->first; i < w->first + w->count; i++)
      d->record[i - 1] = w->record[i - 1];
    d->last = (uint8_t)(w->first + w->count - 1);
    break;
  case DISK_WHOLE:
  case DISK_NOT_WHOLE:
    d->whole = w->kind == DISK_WHOLE;
    break;
  case DISK_INSTALL:
    d->whole = 0;
    d->last = w->count;
    d->base = w->count;
    memcpy(d->record, w->record, sizeof d->record);
    break;
  default:
    break;
  }
}

/* what the node does once a write is synced */
static void after_sync(model_state *s, const model_scope *p, int node, const disk_write *w,
                       char *fault) {
  model_node *n = &s->node[node];
  switch (w->kind) {
  case DISK_PROMISE:
    answer_promise(s, node, w);
    break;
  case DISK_ACCEPT:
    answer_accept(s, node, w);
    break;
  case DISK_ADOPT:
    enter_view(s, p, node, &w->vote.value, fault);
    break;
  case DISK_TAKE:
    if (w->resets == n->resets) {
      memcpy(n->mem.record + w->first - 1, w->record + w->first - 1, w->count);
      n->mem.last = (uint8_t)(w->first + w->count - 1);
    }
    after_take(s, p, node, w, fault);
    break;
  case DISK_WHOLE:
    n->mem.whole = 1;
    end_put(s, p, node, w, fault);
    break;
  case DISK_NOT_WHOLE: {
    model_message m = { .kind = MSG_FETCH, .from = (uint8_t)node, .to = w->peer };
    n->fetching = 1;
    model_send(s, m);
    break;
  }
  case DISK_WRITE:
    n->busy = 0;
    n->mem.record[w->first - 1] = w->record[w->first - 1];
    n->mem.last = w->first;
    n->waits = w->first;
    n->wait_resets = n->resets;
    answer_waiting(s, p, node, fault);
    break;
  case DISK_INSTALL:
    /* a fetch in the place of a put answers that put */
    if (w->call)
      end_put(s, p, node, w, fault);
    n->busy = 0;
    break;
  default:
    break;
  }
}

void model_sync(model_state *s, const model_scope *p, int node, bool answered, char *fault) {
  model_node *n = &s->node[node];
  disk_write w = n->queue[0];
  memmove(n->queue, n->queue + 1, sizeof n->queue[0] * (DISK_QUEUE - 1));
  memset(&n->queue[DISK_QUEUE - 1], 0, sizeof n->queue[0]);
  store_write(&n->disk, &w);
  if (answered)
    after_sync(s, p, node, &w, fault);
}

void model_start(model_state *s, const model_scope *p, int node) {
  model_node *n = &s->node[node];
  char fault[FAULT_SIZE];
  n->up = 1;
  n->mem = n->disk;
  member_leases b;
  member_leases_init(&b, NOW);
  model_compress_lease(&b, &n->lease);
  if (n->mem.now.epoch)
    commit_tail(s, p, node, fault);
}
