/** Replication, snapshots and joins in the model. The order of steps mirrors replication.c,
 * replication_sender.c, replica_write.c, snapshot.c and chain_join.c of lib/controlplane and must
 * be kept the same. */
#include "model_parts.h"
#include <stdio.h>

static bool is_under_replicated(const model_state *state, const model_scope *scope, int node) {
  view v;
  model_expand_view(&state->node[node].memory.view, &v);
  return chain_is_under_replicated(&v, scope->min_replicas, 1);
}

static void acknowledge(model_state *state, const model_scope *scope, int node, int seq,
                        char *fault) {
  const model_image *head = &state->node[node].memory;
  int copies = 0;
  for (int i = 0; i < scope->nodes; i++) {
    const model_image *d = &state->node[i].disk;
    copies += d->last >= seq && d->record[seq - 1] == head->record[seq - 1];
  }
  if (copies < scope->min_replicas)
    snprintf(fault, FAULT_SIZE, "n%d acknowledged record %d, which %d disks have", node, seq,
             copies);
  for (int i = 0; i < seq; i++) {
    if (i < state->acknowledged && state->acknowledged_value[i] != head->record[i])
      snprintf(fault, FAULT_SIZE, "n%d acknowledged another record %d", node, i + 1);
    state->acknowledged_value[i] = head->record[i];
  }
  state->acknowledged = (uint8_t)MAX(state->acknowledged, seq);
}

void model_acknowledge_waiting(model_state *state, const model_scope *scope, int node,
                               char *fault) {
  model_node *n = &state->node[node];
  if (!n->waiting_seq || n->waiting_log_resets != n->log_resets)
    return;
  chain_position position = model_chain_position(state, node);
  if (!chain_may_acknowledge(&position, n->waiting_seq, model_holds_lease(state, node),
                             is_under_replicated(state, scope, node)))
    return;
  acknowledge(state, scope, node, n->waiting_seq, fault);
  n->waiting_seq = 0;
}

void model_commit(model_state *state, const model_scope *scope, int node, uint64_t seq,
                  char *fault) {
  model_image *image = &state->node[node].memory;
  image->committed = (uint8_t)MAX((uint64_t)image->committed, MIN(seq, (uint64_t)image->last));
  model_acknowledge_waiting(state, scope, node, fault);
}

void model_commit_tail(model_state *state, const model_scope *scope, int node, char *fault) {
  chain_position position = model_chain_position(state, node);
  view v;
  model_expand_view(&state->node[node].memory.view, &v);
  model_commit(state, scope, node,
               chain_commit_sequence(&position, &v, is_under_replicated(state, scope, node)),
               fault);
}

void model_respond_to_replicate(model_state *state, const model_scope *scope, int node,
                                const disk_write *write, char *fault) {
  model_node *n = &state->node[node];
  model_commit_tail(state, scope, node, fault);
  n->busy = 0;
  model_message message = { .kind = MSG_REPLICATE_RESPONSE,
                            .from = (uint8_t)node,
                            .to = write->peer };
  message.epoch = write->epoch;
  message.call = write->call;
  message.last = n->memory.last;
  message.commit = n->memory.committed;
  model_send(state, message);
}

void model_after_records_synced(model_state *state, const model_scope *scope, int node,
                                const disk_write *write, char *fault) {
  chain_position position = model_chain_position(state, node);
  if (write->epoch != state->node[node].memory.view.epoch ||
      !chain_becomes_in_sync(&position, write->sender_in_sync, write->sender_last)) {
    model_respond_to_replicate(state, scope, node, write, fault);
    return;
  }
  disk_write next = *write;
  next.kind = DISK_IN_SYNC;
  if (!model_write_disk(state, node, next))
    state->node[node].busy = 0;
}

bool model_may_accept_records(const model_state *state, const model_message *message) {
  const model_node *n = &state->node[message->to];
  chain_position position = model_chain_position(state, message->to);
  view v;
  model_expand_view(&n->memory.view, &v);
  return n->up && !n->busy && model_disk_queue_has_space(state, message->to) &&
         chain_may_accept(&position, &v, message->epoch, model_node_id(message->from));
}

void model_refetch(model_state *state, const model_message *message) {
  model_node *n = &state->node[message->to];
  disk_write write = { .kind = DISK_OUT_OF_SYNC, .peer = message->from };
  n->fetch_call = message->call;
  n->fetch_epoch = message->epoch;
  n->busy = 1;
  n->memory.in_sync = 0;
  model_write_disk(state, message->to, write);
}

void model_on_replicate_request(model_state *state, const model_scope *scope, int node,
                                const model_message *message, char *fault) {
  model_node *n = &state->node[node];
  if (!model_may_accept_records(state, message))
    return;
  chain_position position = model_chain_position(state, node);
  uint64_t seqs[RECORDS_MAX];
  for (int i = 0; i < message->count; i++)
    seqs[i] = (uint64_t)i + 1;
  size_t first, fit = chain_appendable(position.last, seqs, message->count, &first);
  disk_write write = { .kind = DISK_RECORDS, .peer = message->from, .epoch = message->epoch };
  write.first = (uint8_t)(position.last + 1);
  write.count = (uint8_t)fit;
  write.call = message->call;
  write.sender_in_sync = message->in_sync;
  write.sender_last = message->last;
  write.log_resets = n->log_resets;
  memcpy(write.record, message->record, sizeof write.record);
  n->busy = 1;
  if (fit)
    model_write_disk(state, node, write);
  else
    model_after_records_synced(state, scope, node, &write, fault);
}

void model_on_snapshot_request(model_state *state, int node, const model_message *message) {
  const model_image *n = &state->node[node].memory;
  if (model_chain_index(state, node) < 0 || !n->in_sync)
    return;
  model_message response = { .kind = MSG_SNAPSHOT_RESPONSE,
                             .from = (uint8_t)node,
                             .to = message->from };
  response.commit = n->committed;
  memcpy(response.record, n->record, n->committed);
  model_send(state, response);
}

void model_on_snapshot_response(model_state *state, int node, const model_message *message) {
  model_node *n = &state->node[node];
  if (!n->fetching || !model_disk_queue_has_space(state, node))
    return;
  n->fetching = 0;
  n->memory.in_sync = 0;
  n->memory.last = message->commit;
  n->memory.committed = message->commit;
  memcpy(n->memory.record, message->record, sizeof n->memory.record);
  n->log_resets++;
  disk_write write = { .kind = DISK_SNAPSHOT, .count = message->commit, .peer = message->from };
  write.call = n->fetch_call;
  write.epoch = n->fetch_epoch;
  memcpy(write.record, message->record, sizeof write.record);
  model_write_disk(state, node, write);
}

void model_on_join_request(model_state *state, int node, const model_message *message) {
  model_node *n = &state->node[node];
  view v;
  model_expand_view(&n->memory.view, &v);
  if (!v.epoch || !chain_may_join(&v, message->epoch))
    return;
  n->join_member = message->member;
  n->join_epoch = message->epoch;
}
