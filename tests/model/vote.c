/** Votes on views in the model. The order of steps mirrors paxos_acceptor.c, paxos_proposer.c and
 * view_change.c of lib/controlplane and must be kept the same. All decisions between the steps are
 * made by the daemon's own functions. */
#include "model_parts.h"
#include <stdio.h>

/* returns the index of the voter that runs or ran on a node, with any disk, since calls are sent to
 * an address */
static int voter_index_of_node(const model_view *v, int node) {
  for (int i = 0; i < v->voter_count; i++)
    if (model_node_of(v->voters[i]) == node)
      return i;
  return -1;
}

bool model_may_vote(const model_state *s, int node) {
  const model_image *m = &s->node[node].memory;
  return m->view.epoch && model_voter_index(&m->view, model_member(s, node)) >= 0;
}

void model_respond_to_prepare(model_state *s, int node, const disk_write *w) {
  const model_image *n = &s->node[node].memory;
  acceptor_state v;
  model_expand_acceptor(&n->acceptor, &v);
  model_message m = { .kind = MSG_PREPARE_RESPONSE, .from = (uint8_t)node, .to = w->peer };
  m.member = model_member(s, node);
  m.epoch = w->epoch;
  m.round = w->round;
  m.proposer = w->proposer;
  m.in_sync = w->in_sync;
  m.ok = acceptor_has_promised(&v, n->view.epoch, w->epoch,
                               model_expand_number(w->round, w->proposer));
  m.has_accepted = n->acceptor.has_accepted;
  m.accepted_round = n->acceptor.accepted_round;
  m.accepted_proposer = n->acceptor.accepted_proposer;
  m.view = n->acceptor.value;
  model_send(s, m);
}

void model_on_prepare_request(model_state *s, int node, const model_message *m) {
  model_image *n = &s->node[node].memory;
  if (!model_may_vote(s, node) || !model_disk_queue_has_space(s, node))
    return;
  acceptor_state v;
  model_expand_acceptor(&n->acceptor, &v);
  disk_write w = { .kind = DISK_PROMISE, .peer = m->from, .epoch = m->epoch, .round = m->round };
  w.proposer = m->proposer;
  w.in_sync = n->in_sync;
  acceptor_action action =
      acceptor_prepare(&v, n->view.epoch, m->epoch, model_expand_number(m->round, m->proposer));
  n->acceptor = model_compress_acceptor(&v);
  if (action == ACCEPTOR_KNOWS_NEWER)
    model_send_view(s, node, m->from);
  else if (action == ACCEPTOR_RESPOND)
    model_respond_to_prepare(s, node, &w);
  else {
    w.acceptor = n->acceptor;
    model_write_disk(s, node, w);
  }
}

void model_respond_to_accept(model_state *s, int node, const disk_write *w) {
  acceptor_state v;
  model_expand_acceptor(&s->node[node].memory.acceptor, &v);
  model_message m = { .kind = MSG_ACCEPT_RESPONSE, .from = (uint8_t)node, .to = w->peer };
  m.member = model_member(s, node);
  m.epoch = w->epoch;
  m.round = w->round;
  m.proposer = w->proposer;
  m.ok = acceptor_has_accepted(&v, w->epoch, model_expand_number(w->round, w->proposer));
  model_send(s, m);
}

void model_on_accept_request(model_state *s, int node, const model_message *m) {
  model_image *n = &s->node[node].memory;
  if (!model_may_vote(s, node) || !model_disk_queue_has_space(s, node))
    return;
  acceptor_state v;
  view value;
  model_expand_acceptor(&n->acceptor, &v);
  model_expand_view(&m->view, &value);
  disk_write w = { .kind = DISK_ACCEPTANCE, .peer = m->from, .epoch = m->epoch, .round = m->round };
  w.proposer = m->proposer;
  acceptor_action action = acceptor_accept(&v, n->view.epoch, m->epoch,
                                           model_expand_number(m->round, m->proposer), &value);
  n->acceptor = model_compress_acceptor(&v);
  if (action == ACCEPTOR_KNOWS_NEWER)
    model_send_view(s, node, m->from);
  else if (action == ACCEPTOR_RESPOND)
    model_respond_to_accept(s, node, &w);
  else {
    w.acceptor = n->acceptor;
    model_write_disk(s, node, w);
  }
}

static void request_acceptance(model_state *s, int node, const view *value) {
  model_node *n = &s->node[node];
  n->proposal.phase = 2;
  n->proposal.accepts = 0;
  n->proposal.value = model_compress_view(value);
  for (int i = 0; i < n->memory.view.voter_count; i++) {
    model_message m = { .kind = MSG_ACCEPT_REQUEST, .from = (uint8_t)node };
    m.to = (uint8_t)model_node_of(n->memory.view.voters[i]);
    m.epoch = n->proposal.value.epoch;
    m.round = n->proposal.round;
    m.proposer = (uint8_t)node;
    m.view = n->proposal.value;
    model_send(s, m);
  }
}

static bool is_response_to(const model_state *s, int node, const model_message *m, int phase) {
  const model_node *n = &s->node[node];
  return n->proposal.phase == phase && m->proposer == node && m->round == n->proposal.round &&
         m->epoch == n->memory.view.epoch + 1;
}

void model_on_prepare_response(model_state *s, int node, const model_message *m) {
  model_node *n = &s->node[node];
  n->highest_round = MAX(n->highest_round, m->round);
  int voter_index = voter_index_of_node(&n->memory.view, m->from);
  if (!is_response_to(s, node, m, 1) || voter_index < 0 ||
      n->proposal.promises[voter_index].received)
    return;
  n->proposal.promises[voter_index] = (model_promise){
    1,      m->ok, m->in_sync, m->member, m->has_accepted, m->accepted_round, m->accepted_proposer,
    m->view
  };
  view known, value, chosen;
  model_expand_view(&n->memory.view, &known);
  model_expand_view(&n->proposal.value, &value);
  proposer_state t;
  proposer_init(&t, &known, &value, model_voter_index(&n->memory.view, model_member(s, node)));
  for (int i = 0; i < n->memory.view.voter_count; i++) {
    prepare_result a;
    model_expand_promise(&n->proposal.promises[i], &a);
    if (n->proposal.promises[i].received)
      proposer_add_result(&t, i, &a);
  }
  if (proposer_choose_view(&t, &known, &chosen))
    request_acceptance(s, node, &chosen);
}

static bool is_removed(const model_view *previous, const model_view *next, int i) {
  for (int k = 0; k < next->chain_length; k++)
    if (next->chain[k] == previous->chain[i])
      return false;
  return true;
}

/* checks the rules for a view that was decided */
static void check_decided(model_state *s, const model_view *previous, const model_view *v,
                          char *fault) {
  model_view *d = &s->decided[v->epoch];
  if (d->epoch && memcmp(d, v, sizeof *v))
    snprintf(fault, FAULT_SIZE, "two views of epoch %d were decided", v->epoch);
  if (d->epoch)
    return;
  *d = *v;
  bool same = previous->voter_count == v->voter_count;
  for (int i = 0; i < v->voter_count; i++)
    same &= model_voter_index(previous, v->voters[i]) >= 0;
  for (int i = 0; i < previous->chain_length; i++)
    if (is_removed(previous, v, i) && !same &&
        previous->chain[i] == model_member(s, model_node_of(previous->chain[i])))
      snprintf(fault, FAULT_SIZE, "view %d removes a member and replaces voters", v->epoch);
  for (int i = 0; i < v->chain_length; i++) {
    int node = model_node_of(v->chain[i]);
    if (is_removed(v, previous, i) && v->chain[i] == model_member(s, node) &&
        s->node[node].disk.in_sync)
      snprintf(fault, FAULT_SIZE,
               "n%d joins view %d in sync, as its disk recorded in an earlier view", node,
               v->epoch);
  }
  int head = model_node_of(v->chain[0]);
  if (v->chain[0] == model_member(s, head) && !s->node[head].disk.in_sync)
    snprintf(fault, FAULT_SIZE, "view %d has the head n%d, which is out of sync", v->epoch, head);
}

void model_adopt(model_state *s, int node, const model_view *v) {
  model_node *n = &s->node[node];
  if (v->epoch <= n->memory.view.epoch || v->epoch <= n->adopting ||
      !model_disk_queue_has_space(s, node))
    return;
  n->adopting = v->epoch;
  disk_write w = { .kind = DISK_VIEW };
  w.acceptor.value = *v;
  model_write_disk(s, node, w);
}

void model_on_accept_response(model_state *s, int node, const model_message *m, char *fault) {
  model_node *n = &s->node[node];
  int voter_index = voter_index_of_node(&n->memory.view, m->from);
  if (!is_response_to(s, node, m, 2) || voter_index < 0 || !m->ok)
    return;
  if (model_voter_index(&n->memory.view, m->member) < 0)
    snprintf(fault, FAULT_SIZE, "n%d voted with a disk that is no voter", m->from);
  n->proposal.accepts |= (uint8_t)(1 << voter_index);
  view known;
  model_expand_view(&n->memory.view, &known);
  if (__builtin_popcount(n->proposal.accepts) < proposer_quorum(&known, false))
    return;
  check_decided(s, &n->memory.view, &n->proposal.value, fault);
  model_adopt(s, node, &n->proposal.value);
  memset(&n->proposal, 0, sizeof n->proposal);
}

void model_enter_view(model_state *s, const model_scope *p, int node, const model_view *v,
                      char *fault) {
  model_node *n = &s->node[node];
  n->adopting = 0;
  if (v->epoch <= n->memory.view.epoch)
    return;
  member_leases b;
  view previous, next;
  model_expand_lease(&n->lease, &b);
  model_expand_view(&n->memory.view, &previous);
  model_expand_view(v, &next);
  member_leases_enter_view(&b, &previous, &next, MODEL_NOW);
  model_compress_lease(&b, &n->lease);
  n->memory.view = *v;
  memset(&n->proposal, 0, sizeof n->proposal);
  model_commit_tail(s, p, node, fault);
}
