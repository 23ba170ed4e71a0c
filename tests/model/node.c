/** A node of the model: its disk, its messages, and its leases. The order of steps mirrors
 * member_lease.c, wal.c and replica.c of lib/controlplane. */
#include "model_parts.h"

uint8_t model_member(const model_state *state, int node) {
  return (uint8_t)(node * 8 + state->node[node].disk_number + 1);
}

int model_node_of(uint8_t member) {
  return (member - 1) / 8;
}

int model_chain_index(const model_state *state, int node) {
  const model_view *v = &state->node[node].memory.view;
  for (int i = 0; i < v->chain_length; i++)
    if (v->chain[i] == model_member(state, node))
      return i;
  return -1;
}

int model_voter_index(const model_view *v, uint8_t member) {
  for (int i = 0; i < v->voter_count; i++)
    if (v->voters[i] == member)
      return i;
  return -1;
}

static bool prepare_is_pending(const model_state *state, int node) {
  acceptor_state acceptor;
  model_expand_acceptor(&state->node[node].memory.acceptor, &acceptor);
  return acceptor_prepare_pending(&acceptor, state->node[node].memory.view.epoch);
}

chain_position model_chain_position(const model_state *state, int node) {
  const model_image *image = &state->node[node].memory;
  return (chain_position){ .index = model_chain_index(state, node),
                           .prepare_pending = prepare_is_pending(state, node),
                           .in_sync = image->in_sync,
                           .last = image->last,
                           .committed = image->committed };
}

bool model_holds_lease(const model_state *state, int node) {
  const model_node *n = &state->node[node];
  if (!n->up || model_chain_index(state, node) < 0)
    return false;
  member_leases leases;
  view v;
  model_expand_lease(&n->lease, &leases);
  model_expand_view(&n->memory.view, &v);
  int self = model_voter_index(&n->memory.view, model_member(state, node));
  return member_leases_majority(&leases, &v, self, prepare_is_pending(state, node), MODEL_NOW);
}

void model_send(model_state *state, model_message message) {
  if (state->cut[message.from] & 1 << message.to)
    return;
  for (int i = 0; i < MESSAGES_MAX; i++) {
    if (state->message[i].kind)
      continue;
    state->message[i] = message;
    return;
  }
}

void model_send_view(model_state *state, int from, int to) {
  model_message message = { .kind = MSG_VIEW_ANNOUNCEMENT,
                            .from = (uint8_t)from,
                            .to = (uint8_t)to };
  message.view = state->node[from].memory.view;
  if (message.view.epoch)
    model_send(state, message);
}

bool model_disk_queue_has_space(const model_state *state, int node) {
  return !state->node[node].queue[DISK_QUEUE - 1].kind;
}

bool model_write_disk(model_state *state, int node, disk_write write) {
  for (int i = 0; i < DISK_QUEUE; i++) {
    if (state->node[node].queue[i].kind)
      continue;
    state->node[node].queue[i] = write;
    return true;
  }
  return false;
}

static void on_member_lease_request(model_state *state, int node, const model_message *message) {
  model_node *n = &state->node[node];
  if (message->epoch < n->memory.view.epoch)
    model_send_view(state, node, message->from);
  if (message->epoch != n->memory.view.epoch)
    return;
  member_leases leases;
  view v;
  member requester = model_expand_member(message->member);
  model_expand_lease(&n->lease, &leases);
  model_expand_view(&n->memory.view, &v);
  bool ok = false;
  if (member_index(v.chain, v.chain_length, &requester) < 0)
    member_leases_release(&leases, requester.disk_id);
  else if (model_may_vote(state, node))
    ok = member_leases_grant(&leases, &v, prepare_is_pending(state, node), &requester, MODEL_NOW);
  model_compress_lease(&leases, &n->lease);
  if (!ok)
    return;
  model_message response = { .kind = MSG_MEMBER_LEASE_RESPONSE,
                             .from = (uint8_t)node,
                             .to = message->from };
  response.member = model_member(state, node);
  response.epoch = message->epoch;
  response.age = message->age;
  model_send(state, response);
}

static void on_member_lease_response(model_state *state, int node, const model_message *message) {
  model_node *n = &state->node[node];
  int voter_index = model_voter_index(&n->memory.view, message->member);
  if (message->epoch != n->memory.view.epoch || voter_index < 0)
    return;
  member_leases leases;
  model_expand_lease(&n->lease, &leases);
  member_leases_record(&leases, voter_index, message->member, model_time_of_age(message->age));
  model_compress_lease(&leases, &n->lease);
}

void model_deliver(model_state *state, const model_scope *scope, const model_message *message,
                   char *fault) {
  int node = message->to;
  if (!state->node[node].up)
    return;
  switch (message->kind) {
  case MSG_PREPARE_REQUEST:
    model_on_prepare_request(state, node, message);
    break;
  case MSG_PREPARE_RESPONSE:
    model_on_prepare_response(state, node, message);
    break;
  case MSG_ACCEPT_REQUEST:
    model_on_accept_request(state, node, message);
    break;
  case MSG_ACCEPT_RESPONSE:
    model_on_accept_response(state, node, message, fault);
    break;
  case MSG_VIEW_ANNOUNCEMENT:
    model_adopt(state, node, &message->view);
    break;
  case MSG_MEMBER_LEASE_REQUEST:
    on_member_lease_request(state, node, message);
    break;
  case MSG_MEMBER_LEASE_RESPONSE:
    on_member_lease_response(state, node, message);
    break;
  case MSG_REPLICATE_REQUEST:
    model_on_replicate_request(state, scope, node, message, fault);
    break;
  case MSG_REPLICATE_RESPONSE:
    /* a response that arrives after its call has timed out is ignored */
    if (message->epoch == state->node[node].memory.view.epoch &&
        message->call == state->node[node].call)
      model_commit(state, scope, node, message->commit, fault);
    break;
  case MSG_SNAPSHOT_REQUEST:
    model_on_snapshot_request(state, node, message);
    break;
  case MSG_SNAPSHOT_RESPONSE:
    model_on_snapshot_response(state, node, message);
    break;
  case MSG_JOIN_REQUEST:
    model_on_join_request(state, node, message);
    break;
  default:
    break;
  }
}

/* applies a write to the disk */
static void store_write(model_image *d, const disk_write *write) {
  switch (write->kind) {
  case DISK_PROMISE:
  case DISK_ACCEPTANCE:
    d->acceptor = write->acceptor;
    break;
  case DISK_VIEW:
    d->view = write->acceptor.value;
    break;
  case DISK_RECORDS:
  case DISK_WRITE_AT_HEAD:
    for (int i = write->first; i < write->first + write->count; i++)
      d->record[i - 1] = write->record[i - 1];
    d->last = (uint8_t)(write->first + write->count - 1);
    break;
  case DISK_IN_SYNC:
  case DISK_OUT_OF_SYNC:
    d->in_sync = write->kind == DISK_IN_SYNC;
    break;
  case DISK_SNAPSHOT:
    d->in_sync = 0;
    d->last = write->count;
    d->committed = write->count;
    memcpy(d->record, write->record, sizeof d->record);
    break;
  default:
    break;
  }
}

/* performs the actions of a node that follow the sync of a write */
static void after_sync(model_state *state, const model_scope *scope, int node,
                       const disk_write *write, char *fault) {
  model_node *n = &state->node[node];
  switch (write->kind) {
  case DISK_PROMISE:
    model_respond_to_prepare(state, node, write);
    break;
  case DISK_ACCEPTANCE:
    model_respond_to_accept(state, node, write);
    break;
  case DISK_VIEW:
    model_enter_view(state, scope, node, &write->acceptor.value, fault);
    break;
  case DISK_RECORDS:
    if (write->log_resets == n->log_resets) {
      memcpy(n->memory.record + write->first - 1, write->record + write->first - 1, write->count);
      n->memory.last = (uint8_t)(write->first + write->count - 1);
    }
    model_after_records_synced(state, scope, node, write, fault);
    break;
  case DISK_IN_SYNC:
    n->memory.in_sync = 1;
    model_respond_to_replicate(state, scope, node, write, fault);
    break;
  case DISK_OUT_OF_SYNC: {
    model_message message = { .kind = MSG_SNAPSHOT_REQUEST,
                              .from = (uint8_t)node,
                              .to = write->peer };
    n->fetching = 1;
    model_send(state, message);
    break;
  }
  case DISK_WRITE_AT_HEAD:
    n->busy = 0;
    n->memory.record[write->first - 1] = write->record[write->first - 1];
    n->memory.last = write->first;
    n->waiting_seq = write->first;
    n->waiting_log_resets = n->log_resets;
    model_acknowledge_waiting(state, scope, node, fault);
    break;
  case DISK_SNAPSHOT:
    /* a fetch that a ReplicateRequest triggered ends with the response to that request */
    if (write->call)
      model_respond_to_replicate(state, scope, node, write, fault);
    n->busy = 0;
    break;
  default:
    break;
  }
}

void model_sync(model_state *state, const model_scope *scope, int node, bool answered,
                char *fault) {
  model_node *n = &state->node[node];
  disk_write write = n->queue[0];
  memmove(n->queue, n->queue + 1, sizeof n->queue[0] * (DISK_QUEUE - 1));
  memset(&n->queue[DISK_QUEUE - 1], 0, sizeof n->queue[0]);
  store_write(&n->disk, &write);
  if (answered)
    after_sync(state, scope, node, &write, fault);
}

void model_start(model_state *state, const model_scope *scope, int node) {
  model_node *n = &state->node[node];
  char fault[FAULT_SIZE];
  n->up = 1;
  n->memory = n->disk;
  member_leases leases;
  member_leases_init(&leases, MODEL_NOW);
  model_compress_lease(&leases, &n->lease);
  if (n->memory.view.epoch)
    model_commit_tail(state, scope, node, fault);
}
