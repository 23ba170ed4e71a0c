/** Agreement on the next view: a single-decree vote for each epoch among the voters of the view
 * before. */
#include "replica_internal.h"
#include "member_lease_rules.h"
#include "paxos_rules.h"

static void view_change_enter(replica *replica, const view *view) {
  time_us now = world_now(replica->node->world);
  bool next = view->epoch == replica->view.epoch + 1,
       led = next && replica_chain_index(replica) == 0;
  member_leases_enter_view(&replica->leases, &replica->view, view, now);
  replica->view = *view;
  replica->committed.fleet_id = replica->ordered.fleet_id = view->fleet_id;
  replica->repair_at = time_add(now, time_from_ms(REPAIR_DELAY_MS));
  replica->prepare_pending_since = replica->loss_noticed_at = (time_us){ 0 };
  replica->successor_answered_at = now;
  if (!led) {
    replica->ordered_valid = false;
    replica->head_since = (time_us){ 0 };
    g_hash_table_remove_all(replica->singleton_renewed_at);
  }
  GString *g = g_string_new(NULL);
  for (int i = 0; i < view->chain_length; i++)
    json_appendf(g, "%s%s", i ? " > " : "", view->chain[i].self.text);
  log_info(&replica->node->log, "core", "View %" PRIu64 ": chain %s%s.", view->epoch, g->str,
           replica_view_is_under_replicated(replica, view) ? ", too thin to write" : "");
  g_string_free(g, TRUE);
  replication_commit_as_tail(replica);
  condition_broadcast(&replica->state_changed);
  condition_broadcast(&replica->replication_wanted);
  condition_broadcast(&replica->lease_renewal_wanted);
}

void view_change_adopt(replica *replica, const Wire__View *w) {
  view v;
  if (!w || !view_unpack(&v, w) || v.epoch <= replica->view.epoch ||
      v.epoch <= replica->adopting_epoch || replica->wal.failed)
    return;
  if (replica->view.fleet_id && v.fleet_id != replica->view.fleet_id) {
    log_info(&replica->node->log, "core",
             "Refused view %" PRIu64 " of another fleet %016" PRIx64 " (code %d).", v.epoch,
             v.fleet_id, E_VIEW_MISMATCH);
    return;
  }
  GString *b = g_string_new(NULL);
  wal_entries_add_view(b, &v);
  error err = { 0 };
  replica->adopting_epoch = v.epoch;
  int r = wal_append_all(&replica->wal, string_view_of_gstring(b), &err);
  if (replica->adopting_epoch == v.epoch)
    replica->adopting_epoch = 0;
  g_string_free(b, TRUE);
  if (!r && v.epoch > replica->view.epoch)
    view_change_enter(replica, &v);
}

void view_change_announce(replica *replica, const char *addr) {
  if (!replica->view.epoch)
    return;
  view_message v;
  Wire__ViewAnnouncement t = WIRE__VIEW_ANNOUNCEMENT__INIT;
  t.view = view_pack(&v, &replica->view);
  Wire__Envelope m = wire_envelope(WIRE__ENVELOPE__BODY_VIEW_ANNOUNCEMENT, &t);
  node_send(replica->node, addr, &m);
}

/* the vote on a view */
static bool may_vote(replica *replica, uint64_t epoch, const Wire__NodeInfo *from) {
  if (!replica->running || replica->wal.failed)
    return false;
  if (replica->view.epoch)
    return replica_voter_index(replica) >= 0;
  return epoch == 1 && bootstrap_is_founder(replica) &&
         bootstrap_is_first_founder(replica, from->id, from->address);
}

/* a vote for another epoch than the one before is not the one that may have hung */
static void view_change_forget_stalled(replica *replica, uint64_t epoch) {
  if (replica->acceptor.epoch != epoch)
    replica->prepare_pending_since = (time_us){ 0 };
}

static int view_change_store_acceptor(replica *replica, error *err) {
  GString *b = g_string_new(NULL);
  wal_entries_add_acceptor(b, &replica->acceptor);
  if (!replica->prepare_pending_since.us)
    replica->prepare_pending_since = world_now(replica->node->world);
  int r = wal_append_all(&replica->wal, string_view_of_gstring(b), err);
  g_string_free(b, TRUE);
  return r;
}

Wire__View *response_view(reply *reply, const view *v) {
  view *k = reply_alloc(reply, sizeof *k);
  *k = *v;
  return view_pack(reply_alloc(reply, sizeof(view_message)), k);
}

static Wire__ProposalNumber *response_proposal_number(reply *reply, const proposal_number *b) {
  proposal_number *k = reply_alloc(reply, sizeof *k);
  Wire__ProposalNumber *w = reply_alloc(reply, sizeof *w);
  *k = *b;
  proposal_number_pack(w, k);
  return w;
}

Wire__Member *response_self(reply *reply, const replica *replica) {
  member *k = reply_alloc(reply, sizeof *k);
  Wire__Member *w = reply_alloc(reply, sizeof *w);
  *k = replica_as_member(replica);
  member_pack(w, k);
  return w;
}

int view_change_on_prepare(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  replica *replica = ctx;
  Wire__PrepareRequest *p = in->prepare_request;
  time_us now = world_now(replica->node->world);
  if (!p->number)
    return error_set(err, E_WIRE_MESSAGE, "no ballot");
  if (!may_vote(replica, p->epoch, in->from))
    return error_set(err, E_VIEW_MISMATCH, "no voter");
  Wire__PrepareResponse *b = reply_new_body(reply, WIRE__ENVELOPE__BODY_PREPARE_RESPONSE,
                                            &wire__prepare_response__descriptor);
  b->in_sync = replica_in_sync(replica);
  b->self = response_self(reply, replica);
  if (p->epoch <= replica->view.epoch) {
    b->newer = response_view(reply, &replica->view);
    return OK;
  }
  if (p->epoch != replica->view.epoch + 1)
    return OK;
  for (size_t i = 0; i < p->n_dropped && !p->link_broken; i++) {
    if (!strcmp(p->dropped[i], replica->node->settings.self.text) && !replica->node->draining)
      return OK;
    peer_node *peer = node_find_peer(replica->node, id_of_text(p->dropped[i]));
    if (peer && !peer->draining && !member_lease_peer_hears_nothing(replica, peer->self) &&
        !time_reached(now, time_add(peer->last_heard_at, time_from_ms(HEARD_MS))))
      return OK;
  }
  if (p->pre_vote) {
    b->promised_now = true;
    return OK;
  }
  proposal_number asked = proposal_number_unpack(p->number);
  view_change_forget_stalled(replica, p->epoch);
  if (acceptor_prepare(&replica->acceptor, replica->view.epoch, p->epoch, asked) == ACCEPTOR_SYNC &&
      view_change_store_acceptor(replica, err))
    return err->code;
  b->promised_now = acceptor_has_promised(&replica->acceptor, replica->view.epoch, p->epoch, asked);
  b->promised = response_proposal_number(reply, &replica->acceptor.promised);
  if (replica->acceptor.has_accepted) {
    b->accepted = response_proposal_number(reply, &replica->acceptor.accepted);
    b->view = response_view(reply, &replica->acceptor.value);
  }
  return OK;
}

int view_change_on_accept(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  replica *replica = ctx;
  Wire__AcceptRequest *a = in->accept_request;
  view v;
  if (!a->number || !view_unpack(&v, a->view) || v.epoch != a->epoch)
    return error_set(err, E_WIRE_MESSAGE, "no view");
  if (!may_vote(replica, a->epoch, in->from))
    return error_set(err, E_VIEW_MISMATCH, "no voter");
  Wire__AcceptResponse *b = reply_new_body(reply, WIRE__ENVELOPE__BODY_ACCEPT_RESPONSE,
                                           &wire__accept_response__descriptor);
  proposal_number asked = proposal_number_unpack(a->number);
  if (a->epoch == replica->view.epoch + 1)
    view_change_forget_stalled(replica, a->epoch);
  switch (acceptor_accept(&replica->acceptor, replica->view.epoch, a->epoch, asked, &v)) {
  case ACCEPTOR_KNOWS_NEWER:
    b->newer = response_view(reply, &replica->view);
    return OK;
  case ACCEPTOR_RESPOND:
    break;
  case ACCEPTOR_SYNC:
    if (view_change_store_acceptor(replica, err))
      return err->code;
    break;
  }
  b->accepted_now = acceptor_has_accepted(&replica->acceptor, a->epoch, asked);
  return OK;
}

int view_change_on_announcement(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  (void)reply;
  (void)err;
  replica *replica = ctx;
  if (replica->running && in->view_announcement->view)
    view_change_adopt(replica, in->view_announcement->view);
  return OK;
}

/* one message to several, at once */
typedef struct parallel_call {
  node *node;
  int outstanding, references;
  bool over;
  condition changed;
  GBytes *packed_message;
  time_us timeout;
  Wire__Envelope *responses[VOTERS_MAX];
  char addresses[VOTERS_MAX][48];
} parallel_call;

typedef struct {
  parallel_call *call;
  int index;
} parallel_call_task;

static void parallel_call_unref(parallel_call *f) {
  if (--f->references)
    return;
  for (int i = 0; i < VOTERS_MAX; i++)
    node_reply_free(f->responses[i]);
  g_bytes_unref(f->packed_message);
  g_free(f);
}

static void parallel_call_run(void *p) {
  parallel_call_task *a = p;
  parallel_call *f = a->call;
  gsize n;
  const uint8_t *t = g_bytes_get_data(f->packed_message, &n);
  Wire__Envelope *m = wire__envelope__unpack(NULL, n, t), *b = NULL;
  error err = { 0 };
  if (m)
    node_call(f->node, f->addresses[a->index], m, f->timeout, &b, &err);
  node_reply_free(m);
  f->responses[a->index] = b;
  f->outstanding--;
  condition_broadcast(&f->changed);
  parallel_call_unref(f);
  g_free(a);
}

static parallel_call *parallel_call_start(node *node, const member *to, int n, Wire__Envelope *m,
                                          time_us span) {
  parallel_call *f = g_new0(parallel_call, 1);
  f->node = node;
  f->outstanding = n;
  f->references = n + 1;
  f->timeout = span;
  condition_init(&f->changed);
  size_t k = wire__envelope__get_packed_size(m);
  uint8_t *p = g_malloc(k + 1);
  wire__envelope__pack(m, p);
  f->packed_message = g_bytes_new_take(p, k);
  for (int i = 0; i < n; i++) {
    g_strlcpy(f->addresses[i], to[i].address, sizeof f->addresses[i]);
    parallel_call_task *a = g_new(parallel_call_task, 1);
    *a = (parallel_call_task){ f, i };
    task_start(&node->world->tasks, "fan", parallel_call_run, a);
  }
  return f;
}

/* asks the voters whether they would agree; a promise that then leads nowhere would silence those
 * who promised it */
static bool view_change_pre_vote(replica *replica, const view *asked, int need,
                                 Wire__PrepareRequest *p) {
  world *world = replica->node->world;
  time_us till = time_add(world_now(world), time_from_ms(800));
  p->pre_vote = true;
  Wire__Envelope m = wire_envelope(WIRE__ENVELOPE__BODY_PREPARE_REQUEST, p);
  parallel_call *f =
      parallel_call_start(replica->node, asked->voters, asked->voter_count, &m, time_from_ms(800));
  p->pre_vote = false;
  int ok;
  for (;;) {
    ok = 0;
    for (int i = 0; i < asked->voter_count; i++) {
      Wire__Envelope *b = f->responses[i];
      if (!b || b->body_case != WIRE__ENVELOPE__BODY_PREPARE_RESPONSE)
        continue;
      if (b->prepare_response->newer) {
        view_change_adopt(replica, b->prepare_response->newer);
        parallel_call_unref(f);
        return false;
      }
      ok += b->prepare_response->promised_now;
    }
    if (ok >= need || !f->outstanding ||
        condition_wait(&world->tasks, &f->changed, till) != WAKE_SIGNALLED)
      break;
  }
  parallel_call_unref(f);
  return ok >= need;
}

static prepare_result agreement_read_answer(const Wire__PrepareResponse *k) {
  prepare_result a = { .promised = k->promised_now, .in_sync = k->in_sync };
  a.disk = k->self ? k->self->disk_id : 0;
  a.has_accepted = k->accepted && k->view && view_unpack(&a.value, k->view);
  if (a.has_accepted)
    a.accepted = proposal_number_unpack(k->accepted);
  return a;
}

bool view_change_propose(replica *replica, view *value, char **drop, int drops, bool broken) {
  world *world = replica->node->world;
  view asked = replica->view.epoch ? replica->view : *value;
  uint64_t epoch = value->epoch;
  proposer_state tally;
  member self = replica_as_member(replica);
  proposer_init(&tally, &replica->view, value,
                member_index(asked.voters, asked.voter_count, &self));
  int need = tally.quorum;
  proposal_number mine = proposer_next_number(&replica->acceptor, epoch, replica->highest_round,
                                              replica->node->settings.self);
  Wire__ProposalNumber wb;
  proposal_number_pack(&wb, &mine);
  Wire__PrepareRequest p = WIRE__PREPARE_REQUEST__INIT;
  p.epoch = epoch;
  p.number = &wb;
  p.dropped = drop;
  p.n_dropped = drops;
  p.link_broken = broken;
  char held[CHAIN_MAX][48];
  for (int i = 0; i < drops; i++) {
    g_strlcpy(held[i], drop[i], sizeof held[i]);
    drop[i] = held[i];
  }
  if (!view_change_pre_vote(replica, &asked, need, &p) || replica->view.epoch >= epoch)
    return false;
  Wire__Envelope m = wire_envelope(WIRE__ENVELOPE__BODY_PREPARE_REQUEST, &p);
  time_us till = time_add(world_now(world), time_from_ms(1500));
  parallel_call *f =
      parallel_call_start(replica->node, asked.voters, asked.voter_count, &m, time_from_ms(1500));
  int ok;
  view use;
  bool chosen = false;
  for (;;) {
    for (int i = 0; i < asked.voter_count; i++) {
      Wire__Envelope *b = f->responses[i];
      if (!b || b->body_case != WIRE__ENVELOPE__BODY_PREPARE_RESPONSE)
        continue;
      Wire__PrepareResponse *k = b->prepare_response;
      if (k->promised && k->promised->round > replica->highest_round)
        replica->highest_round = k->promised->round;
      if (k->newer) {
        view_change_adopt(replica, k->newer);
        parallel_call_unref(f);
        return false;
      }
      prepare_result answer = agreement_read_answer(k);
      proposer_add_result(&tally, i, &answer);
    }
    chosen = proposer_choose_view(&tally, &asked, &use);
    if (chosen || !f->outstanding ||
        condition_wait(&world->tasks, &f->changed, till) != WAKE_SIGNALLED)
      break;
  }
  parallel_call_unref(f);
  if (!chosen || replica->view.epoch >= epoch)
    return false;
  view_message vm;
  Wire__AcceptRequest a = WIRE__ACCEPT_REQUEST__INIT;
  a.epoch = epoch;
  a.number = &wb;
  a.view = view_pack(&vm, &use);
  Wire__Envelope m2 = wire_envelope(WIRE__ENVELOPE__BODY_ACCEPT_REQUEST, &a);
  f = parallel_call_start(replica->node, asked.voters, asked.voter_count, &m2, time_from_ms(1500));
  till = time_add(world_now(world), time_from_ms(1500));
  for (;;) {
    ok = 0;
    for (int i = 0; i < asked.voter_count; i++)
      ok += f->responses[i] && f->responses[i]->body_case == WIRE__ENVELOPE__BODY_ACCEPT_RESPONSE &&
            f->responses[i]->accept_response->accepted_now;
    if (ok >= need || !f->outstanding ||
        condition_wait(&world->tasks, &f->changed, till) != WAKE_SIGNALLED)
      break;
  }
  parallel_call_unref(f);
  if (ok < need)
    return false;
  view_change_adopt(replica, view_pack(&vm, &use));
  if (replica->view.epoch != epoch)
    return false;
  list_for_each (peer, &replica->node->peers, peer_node, link)
    if (peer->role == ROLE_CONTROLLER)
      view_change_announce(replica, peer->address);
  return true;
}
