/** Replication, snapshots and joins in the model. The order of steps mirrors replication.c,
 * replication_sender.c, replica_write.c, snapshot.c and chain_join.c of lib/controlplane and must
 * be kept the same. */
#include "model_parts.h"
#include <stdio.h>

static bool is_under_replicated(const model_state *s, const model_scope *p, int node) {
  view v;
  model_expand_view(&s->node[node].memory.view, &v);
  return chain_is_under_replicated(&v, p->min_replicas, 1);
}

static void acknowledge(model_state *s, const model_scope *p, int node, int seq, char *fault) {
  const model_image *head = &s->node[node].memory;
  int copies = 0;
  for (int i = 0; i < p->nodes; i++) {
    const model_image *d = &s->node[i].disk;
    copies += d->last >= seq && d->record[seq - 1] == head->record[seq - 1];
  }
  if (copies < p->min_replicas)
    snprintf(fault, FAULT_SIZE, "n%d acknowledged record %d, which %d disks have", node, seq,
             copies);
  for (int i = 0; i < seq; i++) {
    if (i < s->acknowledged && s->acknowledged_value[i] != head->record[i])
      snprintf(fault, FAULT_SIZE, "n%d acknowledged another record %d", node, i + 1);
    s->acknowledged_value[i] = head->record[i];
  }
  s->acknowledged = (uint8_t)MAX(s->acknowledged, seq);
}

void model_acknowledge_waiting(model_state *s, const model_scope *p, int node, char *fault) {
  model_node *n = &s->node[node];
  if (!n->waiting_seq || n->waiting_log_resets != n->log_resets)
    return;
  chain_position c = model_chain_position(s, node);
  if (!chain_may_acknowledge(&c, n->waiting_seq, model_holds_lease(s, node),
                             is_under_replicated(s, p, node)))
    return;
  acknowledge(s, p, node, n->waiting_seq, fault);
  n->waiting_seq = 0;
}

void model_commit(model_state *s, const model_scope *p, int node, uint64_t seq, char *fault) {
  model_image *m = &s->node[node].memory;
  m->committed = (uint8_t)MAX((uint64_t)m->committed, MIN(seq, (uint64_t)m->last));
  model_acknowledge_waiting(s, p, node, fault);
}

void model_commit_tail(model_state *s, const model_scope *p, int node, char *fault) {
  chain_position c = model_chain_position(s, node);
  view v;
  model_expand_view(&s->node[node].memory.view, &v);
  model_commit(s, p, node, chain_commit_sequence(&c, &v, is_under_replicated(s, p, node)), fault);
}

void model_respond_to_replicate(model_state *s, const model_scope *p, int node, const disk_write *w,
                                char *fault) {
  model_node *n = &s->node[node];
  model_commit_tail(s, p, node, fault);
  n->busy = 0;
  model_message m = { .kind = MSG_REPLICATE_RESPONSE, .from = (uint8_t)node, .to = w->peer };
  m.epoch = w->epoch;
  m.call = w->call;
  m.last = n->memory.last;
  m.commit = n->memory.committed;
  model_send(s, m);
}

void model_after_records_synced(model_state *s, const model_scope *p, int node, const disk_write *w,
                                char *fault) {
  chain_position c = model_chain_position(s, node);
  if (w->epoch != s->node[node].memory.view.epoch ||
      !chain_becomes_in_sync(&c, w->sender_in_sync, w->sender_last)) {
    model_respond_to_replicate(s, p, node, w, fault);
    return;
  }
  disk_write next = *w;
  next.kind = DISK_IN_SYNC;
  if (!model_write_disk(s, node, next))
    s->node[node].busy = 0;
}

bool model_may_accept_records(const model_state *s, const model_message *m) {
  const model_node *n = &s->node[m->to];
  chain_position c = model_chain_position(s, m->to);
  view v;
  model_expand_view(&n->memory.view, &v);
  return n->up && !n->busy && model_disk_queue_has_space(s, m->to) &&
         chain_may_accept(&c, &v, m->epoch, model_node_id(m->from));
}

void model_refetch(model_state *s, const model_message *m) {
  model_node *n = &s->node[m->to];
  disk_write w = { .kind = DISK_OUT_OF_SYNC, .peer = m->from };
  n->fetch_call = m->call;
  n->fetch_epoch = m->epoch;
  n->busy = 1;
  n->memory.in_sync = 0;
  model_write_disk(s, m->to, w);
}

void model_on_replicate_request(model_state *s, const model_scope *p, int node,
                                const model_message *m, char *fault) {
  model_node *n = &s->node[node];
  if (!model_may_accept_records(s, m))
    return;
  chain_position c = model_chain_position(s, node);
  uint64_t seqs[RECORDS_MAX];
  for (int i = 0; i < m->count; i++)
    seqs[i] = (uint64_t)i + 1;
  size_t first, fit = chain_appendable(c.last, seqs, m->count, &first);
  disk_write w = { .kind = DISK_RECORDS, .peer = m->from, .epoch = m->epoch };
  w.first = (uint8_t)(c.last + 1);
  w.count = (uint8_t)fit;
  w.call = m->call;
  w.sender_in_sync = m->in_sync;
  w.sender_last = m->last;
  w.log_resets = n->log_resets;
  memcpy(w.record, m->record, sizeof w.record);
  n->busy = 1;
  if (fit)
    model_write_disk(s, node, w);
  else
    model_after_records_synced(s, p, node, &w, fault);
}

void model_on_snapshot_request(model_state *s, int node, const model_message *m) {
  const model_image *n = &s->node[node].memory;
  if (model_chain_index(s, node) < 0 || !n->in_sync)
    return;
  model_message response = { .kind = MSG_SNAPSHOT_RESPONSE, .from = (uint8_t)node, .to = m->from };
  response.commit = n->committed;
  memcpy(response.record, n->record, n->committed);
  model_send(s, response);
}

void model_on_snapshot_response(model_state *s, int node, const model_message *m) {
  model_node *n = &s->node[node];
  if (!n->fetching || !model_disk_queue_has_space(s, node))
    return;
  n->fetching = 0;
  n->memory.in_sync = 0;
  n->memory.last = m->commit;
  n->memory.committed = m->commit;
  memcpy(n->memory.record, m->record, sizeof n->memory.record);
  n->log_resets++;
  disk_write w = { .kind = DISK_SNAPSHOT, .count = m->commit, .peer = m->from };
  w.call = n->fetch_call;
  w.epoch = n->fetch_epoch;
  memcpy(w.record, m->record, sizeof w.record);
  model_write_disk(s, node, w);
}

void model_on_join_request(model_state *s, int node, const model_message *m) {
  model_node *n = &s->node[node];
  view v;
  model_expand_view(&n->memory.view, &v);
  if (!v.epoch || !chain_may_join(&v, m->epoch))
    return;
  n->join_member = m->member;
  n->join_epoch = m->epoch;
}
