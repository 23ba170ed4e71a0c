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

bool model_may_vote(const model_state *state, int node) {
  const model_image *image = &state->node[node].memory;
  return image->view.epoch && model_voter_index(&image->view, model_member(state, node)) >= 0;
}

void model_respond_to_prepare(model_state *state, int node, const disk_write *write) {
  const model_image *n = &state->node[node].memory;
  acceptor_state acceptor;
  model_expand_acceptor(&n->acceptor, &acceptor);
  model_message message = { .kind = MSG_PREPARE_RESPONSE,
                            .from = (uint8_t)node,
                            .to = write->peer };
  message.member = model_member(state, node);
  message.epoch = write->epoch;
  message.round = write->round;
  message.proposer = write->proposer;
  message.in_sync = write->in_sync;
  message.ok = acceptor_has_promised(&acceptor, n->view.epoch, write->epoch,
                                     model_expand_number(write->round, write->proposer));
  message.has_accepted = n->acceptor.has_accepted;
  message.accepted_round = n->acceptor.accepted_round;
  message.accepted_proposer = n->acceptor.accepted_proposer;
  message.view = n->acceptor.value;
  model_send(state, message);
}

void model_on_prepare_request(model_state *state, int node, const model_message *message) {
  model_image *n = &state->node[node].memory;
  if (!model_may_vote(state, node) || !model_disk_queue_has_space(state, node))
    return;
  acceptor_state acceptor;
  model_expand_acceptor(&n->acceptor, &acceptor);
  disk_write write = {
    .kind = DISK_PROMISE, .peer = message->from, .epoch = message->epoch, .round = message->round
  };
  write.proposer = message->proposer;
  write.in_sync = n->in_sync;
  acceptor_action action = acceptor_prepare(&acceptor, n->view.epoch, message->epoch,
                                            model_expand_number(message->round, message->proposer));
  n->acceptor = model_compress_acceptor(&acceptor);
  if (action == ACCEPTOR_KNOWS_NEWER)
    model_send_view(state, node, message->from);
  else if (action == ACCEPTOR_RESPOND)
    model_respond_to_prepare(state, node, &write);
  else {
    write.acceptor = n->acceptor;
    model_write_disk(state, node, write);
  }
}

void model_respond_to_accept(model_state *state, int node, const disk_write *write) {
  acceptor_state acceptor;
  model_expand_acceptor(&state->node[node].memory.acceptor, &acceptor);
  model_message message = { .kind = MSG_ACCEPT_RESPONSE, .from = (uint8_t)node, .to = write->peer };
  message.member = model_member(state, node);
  message.epoch = write->epoch;
  message.round = write->round;
  message.proposer = write->proposer;
  message.ok = acceptor_has_accepted(&acceptor, write->epoch,
                                     model_expand_number(write->round, write->proposer));
  model_send(state, message);
}

void model_on_accept_request(model_state *state, int node, const model_message *message) {
  model_image *n = &state->node[node].memory;
  if (!model_may_vote(state, node) || !model_disk_queue_has_space(state, node))
    return;
  acceptor_state acceptor;
  view value;
  model_expand_acceptor(&n->acceptor, &acceptor);
  model_expand_view(&message->view, &value);
  disk_write write = {
    .kind = DISK_ACCEPTANCE, .peer = message->from, .epoch = message->epoch, .round = message->round
  };
  write.proposer = message->proposer;
  acceptor_action action =
      acceptor_accept(&acceptor, n->view.epoch, message->epoch,
                      model_expand_number(message->round, message->proposer), &value);
  n->acceptor = model_compress_acceptor(&acceptor);
  if (action == ACCEPTOR_KNOWS_NEWER)
    model_send_view(state, node, message->from);
  else if (action == ACCEPTOR_RESPOND)
    model_respond_to_accept(state, node, &write);
  else {
    write.acceptor = n->acceptor;
    model_write_disk(state, node, write);
  }
}

static void request_acceptance(model_state *state, int node, const view *value) {
  model_node *n = &state->node[node];
  n->proposal.phase = 2;
  n->proposal.accepts = 0;
  n->proposal.value = model_compress_view(value);
  for (int i = 0; i < n->memory.view.voter_count; i++) {
    model_message message = { .kind = MSG_ACCEPT_REQUEST, .from = (uint8_t)node };
    message.to = (uint8_t)model_node_of(n->memory.view.voters[i]);
    message.epoch = n->proposal.value.epoch;
    message.round = n->proposal.round;
    message.proposer = (uint8_t)node;
    message.view = n->proposal.value;
    model_send(state, message);
  }
}

static bool is_response_to(const model_state *state, int node, const model_message *message,
                           int phase) {
  const model_node *n = &state->node[node];
  return n->proposal.phase == phase && message->proposer == node &&
         message->round == n->proposal.round && message->epoch == n->memory.view.epoch + 1;
}

void model_on_prepare_response(model_state *state, int node, const model_message *message) {
  model_node *n = &state->node[node];
  n->highest_round = MAX(n->highest_round, message->round);
  int voter_index = voter_index_of_node(&n->memory.view, message->from);
  if (!is_response_to(state, node, message, 1) || voter_index < 0 ||
      n->proposal.promises[voter_index].received)
    return;
  n->proposal.promises[voter_index] = (model_promise){ 1,
                                                       message->ok,
                                                       message->in_sync,
                                                       message->member,
                                                       message->has_accepted,
                                                       message->accepted_round,
                                                       message->accepted_proposer,
                                                       message->view };
  view known, value, chosen;
  model_expand_view(&n->memory.view, &known);
  model_expand_view(&n->proposal.value, &value);
  proposer_state proposer;
  proposer_init(&proposer, &known, &value,
                model_voter_index(&n->memory.view, model_member(state, node)));
  for (int i = 0; i < n->memory.view.voter_count; i++) {
    prepare_result result;
    model_expand_promise(&n->proposal.promises[i], &result);
    if (n->proposal.promises[i].received)
      proposer_add_result(&proposer, i, &result);
  }
  if (proposer_choose_view(&proposer, &known, &chosen))
    request_acceptance(state, node, &chosen);
}

static bool is_removed(const model_view *previous, const model_view *next, int i) {
  for (int k = 0; k < next->chain_length; k++)
    if (next->chain[k] == previous->chain[i])
      return false;
  return true;
}

/* checks the rules for a view that was decided */
static void check_decided(model_state *state, const model_view *previous, const model_view *v,
                          char *fault) {
  model_view *d = &state->decided[v->epoch];
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
        previous->chain[i] == model_member(state, model_node_of(previous->chain[i])))
      snprintf(fault, FAULT_SIZE, "view %d removes a member and replaces voters", v->epoch);
  for (int i = 0; i < v->chain_length; i++) {
    int node = model_node_of(v->chain[i]);
    if (is_removed(v, previous, i) && v->chain[i] == model_member(state, node) &&
        state->node[node].disk.in_sync)
      snprintf(fault, FAULT_SIZE,
               "n%d joins view %d in sync, as its disk recorded in an earlier view", node,
               v->epoch);
  }
  int head = model_node_of(v->chain[0]);
  if (v->chain[0] == model_member(state, head) && !state->node[head].disk.in_sync)
    snprintf(fault, FAULT_SIZE, "view %d has the head n%d, which is out of sync", v->epoch, head);
}

void model_adopt(model_state *state, int node, const model_view *v) {
  model_node *n = &state->node[node];
  if (v->epoch <= n->memory.view.epoch || v->epoch <= n->adopting ||
      !model_disk_queue_has_space(state, node))
    return;
  n->adopting = v->epoch;
  disk_write write = { .kind = DISK_VIEW };
  write.acceptor.value = *v;
  model_write_disk(state, node, write);
}

void model_on_accept_response(model_state *state, int node, const model_message *message,
                              char *fault) {
  model_node *n = &state->node[node];
  int voter_index = voter_index_of_node(&n->memory.view, message->from);
  if (!is_response_to(state, node, message, 2) || voter_index < 0 || !message->ok)
    return;
  if (model_voter_index(&n->memory.view, message->member) < 0)
    snprintf(fault, FAULT_SIZE, "n%d voted with a disk that is no voter", message->from);
  n->proposal.accepts |= (uint8_t)(1 << voter_index);
  view known;
  model_expand_view(&n->memory.view, &known);
  if (__builtin_popcount(n->proposal.accepts) < proposer_quorum(&known, false))
    return;
  check_decided(state, &n->memory.view, &n->proposal.value, fault);
  model_adopt(state, node, &n->proposal.value);
  memset(&n->proposal, 0, sizeof n->proposal);
}

void model_enter_view(model_state *state, const model_scope *scope, int node, const model_view *v,
                      char *fault) {
  model_node *n = &state->node[node];
  n->adopting = 0;
  if (v->epoch <= n->memory.view.epoch)
    return;
  member_leases leases;
  view previous, next;
  model_expand_lease(&n->lease, &leases);
  model_expand_view(&n->memory.view, &previous);
  model_expand_view(v, &next);
  member_leases_enter_view(&leases, &previous, &next, MODEL_NOW);
  model_compress_lease(&leases, &n->lease);
  n->memory.view = *v;
  memset(&n->proposal, 0, sizeof n->proposal);
  model_commit_tail(state, scope, node, fault);
}
