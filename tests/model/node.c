/** A node of the model: its disk, its messages, and its leases. The order of steps mirrors
 * member_lease.c, wal.c and replica.c of lib/controlplane. */
#include "model_parts.h"

uint8_t model_member(const model_state *s, int node) {
  return (uint8_t)(node * 8 + s->node[node].disk_number + 1);
}

int model_node_of(uint8_t member) {
  return (member - 1) / 8;
}

int model_chain_index(const model_state *s, int node) {
  const model_view *v = &s->node[node].memory.view;
  for (int i = 0; i < v->chain_length; i++)
    if (v->chain[i] == model_member(s, node))
      return i;
  return -1;
}

int model_voter_index(const model_view *v, uint8_t member) {
  for (int i = 0; i < v->voter_count; i++)
    if (v->voters[i] == member)
      return i;
  return -1;
}

static bool prepare_is_pending(const model_state *s, int node) {
  acceptor_state v;
  model_expand_acceptor(&s->node[node].memory.acceptor, &v);
  return acceptor_prepare_pending(&v, s->node[node].memory.view.epoch);
}

chain_position model_chain_position(const model_state *s, int node) {
  const model_image *m = &s->node[node].memory;
  return (chain_position){ .index = model_chain_index(s, node),
                           .prepare_pending = prepare_is_pending(s, node),
                           .in_sync = m->in_sync,
                           .last = m->last,
                           .committed = m->committed };
}

bool model_holds_lease(const model_state *s, int node) {
  const model_node *n = &s->node[node];
  if (!n->up || model_chain_index(s, node) < 0)
    return false;
  member_leases b;
  view v;
  model_expand_lease(&n->lease, &b);
  model_expand_view(&n->memory.view, &v);
  int self = model_voter_index(&n->memory.view, model_member(s, node));
  return member_leases_majority(&b, &v, self, prepare_is_pending(s, node), MODEL_NOW);
}

void model_send(model_state *s, model_message m) {
  if (s->cut[m.from] & 1 << m.to)
    return;
  for (int i = 0; i < MESSAGES_MAX; i++) {
    if (s->message[i].kind)
      continue;
    s->message[i] = m;
    return;
  }
}

void model_send_view(model_state *s, int from, int to) {
  model_message m = { .kind = MSG_VIEW_ANNOUNCEMENT, .from = (uint8_t)from, .to = (uint8_t)to };
  m.view = s->node[from].memory.view;
  if (m.view.epoch)
    model_send(s, m);
}

bool model_disk_queue_has_space(const model_state *s, int node) {
  return !s->node[node].queue[DISK_QUEUE - 1].kind;
}

bool model_write_disk(model_state *s, int node, disk_write w) {
  for (int i = 0; i < DISK_QUEUE; i++) {
    if (s->node[node].queue[i].kind)
      continue;
    s->node[node].queue[i] = w;
    return true;
  }
  return false;
}

static void on_member_lease_request(model_state *s, int node, const model_message *m) {
  model_node *n = &s->node[node];
  if (m->epoch < n->memory.view.epoch)
    model_send_view(s, node, m->from);
  if (m->epoch != n->memory.view.epoch)
    return;
  member_leases b;
  view v;
  member requester = model_expand_member(m->member);
  model_expand_lease(&n->lease, &b);
  model_expand_view(&n->memory.view, &v);
  bool ok = false;
  if (member_index(v.chain, v.chain_length, &requester) < 0)
    member_leases_release(&b, requester.disk_id);
  else if (model_may_vote(s, node))
    ok = member_leases_grant(&b, &v, prepare_is_pending(s, node), &requester, MODEL_NOW);
  model_compress_lease(&b, &n->lease);
  if (!ok)
    return;
  model_message response = { .kind = MSG_MEMBER_LEASE_RESPONSE,
                             .from = (uint8_t)node,
                             .to = m->from };
  response.member = model_member(s, node);
  response.epoch = m->epoch;
  response.age = m->age;
  model_send(s, response);
}

static void on_member_lease_response(model_state *s, int node, const model_message *m) {
  model_node *n = &s->node[node];
  int voter_index = model_voter_index(&n->memory.view, m->member);
  if (m->epoch != n->memory.view.epoch || voter_index < 0)
    return;
  member_leases b;
  model_expand_lease(&n->lease, &b);
  member_leases_record(&b, voter_index, m->member, model_time_of_age(m->age));
  model_compress_lease(&b, &n->lease);
}

void model_deliver(model_state *s, const model_scope *p, const model_message *m, char *fault) {
  int node = m->to;
  if (!s->node[node].up)
    return;
  switch (m->kind) {
  case MSG_PREPARE_REQUEST:
    model_on_prepare_request(s, node, m);
    break;
  case MSG_PREPARE_RESPONSE:
    model_on_prepare_response(s, node, m);
    break;
  case MSG_ACCEPT_REQUEST:
    model_on_accept_request(s, node, m);
    break;
  case MSG_ACCEPT_RESPONSE:
    model_on_accept_response(s, node, m, fault);
    break;
  case MSG_VIEW_ANNOUNCEMENT:
    model_adopt(s, node, &m->view);
    break;
  case MSG_MEMBER_LEASE_REQUEST:
    on_member_lease_request(s, node, m);
    break;
  case MSG_MEMBER_LEASE_RESPONSE:
    on_member_lease_response(s, node, m);
    break;
  case MSG_REPLICATE_REQUEST:
    model_on_replicate_request(s, p, node, m, fault);
    break;
  case MSG_REPLICATE_RESPONSE:
    /* a response that arrives after its call has timed out is ignored */
    if (m->epoch == s->node[node].memory.view.epoch && m->call == s->node[node].call)
      model_commit(s, p, node, m->commit, fault);
    break;
  case MSG_SNAPSHOT_REQUEST:
    model_on_snapshot_request(s, node, m);
    break;
  case MSG_SNAPSHOT_RESPONSE:
    model_on_snapshot_response(s, node, m);
    break;
  case MSG_JOIN_REQUEST:
    model_on_join_request(s, node, m);
    break;
  default:
    break;
  }
}

/* applies a write to the disk */
static void store_write(model_image *d, const disk_write *w) {
  switch (w->kind) {
  case DISK_PROMISE:
  case DISK_ACCEPTANCE:
    d->acceptor = w->acceptor;
    break;
  case DISK_VIEW:
    d->view = w->acceptor.value;
    break;
  case DISK_RECORDS:
  case DISK_WRITE_AT_HEAD:
    for (int i = w->first; i < w->first + w->count; i++)
      d->record[i - 1] = w->record[i - 1];
    d->last = (uint8_t)(w->first + w->count - 1);
    break;
  case DISK_IN_SYNC:
  case DISK_OUT_OF_SYNC:
    d->in_sync = w->kind == DISK_IN_SYNC;
    break;
  case DISK_SNAPSHOT:
    d->in_sync = 0;
    d->last = w->count;
    d->committed = w->count;
    memcpy(d->record, w->record, sizeof d->record);
    break;
  default:
    break;
  }
}

/* performs the actions of a node that follow the sync of a write */
static void after_sync(model_state *s, const model_scope *p, int node, const disk_write *w,
                       char *fault) {
  model_node *n = &s->node[node];
  switch (w->kind) {
  case DISK_PROMISE:
    model_respond_to_prepare(s, node, w);
    break;
  case DISK_ACCEPTANCE:
    model_respond_to_accept(s, node, w);
    break;
  case DISK_VIEW:
    model_enter_view(s, p, node, &w->acceptor.value, fault);
    break;
  case DISK_RECORDS:
    if (w->log_resets == n->log_resets) {
      memcpy(n->memory.record + w->first - 1, w->record + w->first - 1, w->count);
      n->memory.last = (uint8_t)(w->first + w->count - 1);
    }
    model_after_records_synced(s, p, node, w, fault);
    break;
  case DISK_IN_SYNC:
    n->memory.in_sync = 1;
    model_respond_to_replicate(s, p, node, w, fault);
    break;
  case DISK_OUT_OF_SYNC: {
    model_message m = { .kind = MSG_SNAPSHOT_REQUEST, .from = (uint8_t)node, .to = w->peer };
    n->fetching = 1;
    model_send(s, m);
    break;
  }
  case DISK_WRITE_AT_HEAD:
    n->busy = 0;
    n->memory.record[w->first - 1] = w->record[w->first - 1];
    n->memory.last = w->first;
    n->waiting_seq = w->first;
    n->waiting_log_resets = n->log_resets;
    model_acknowledge_waiting(s, p, node, fault);
    break;
  case DISK_SNAPSHOT:
    /* a fetch that a ReplicateRequest triggered ends with the response to that request */
    if (w->call)
      model_respond_to_replicate(s, p, node, w, fault);
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
  n->memory = n->disk;
  member_leases b;
  member_leases_init(&b, MODEL_NOW);
  model_compress_lease(&b, &n->lease);
  if (n->memory.view.epoch)
    model_commit_tail(s, p, node, fault);
}
