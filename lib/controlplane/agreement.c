/** Agreement on the next view: a single-decree vote for each epoch among the voters of the view
 * before. */
#include "core_internal.h"
#include "decide_lease.h"
#include "decide_vote.h"

static void agreement_enter(core *core, const view *view) {
  time_us now = world_now(core->node->world);
  bool next = view->epoch == core->view.epoch + 1, led = next && core_place(core) == 0;
  lease_enter_view(&core->lease, &core->view, view, now);
  core->view = *view;
  core->committed.fleet = core->ordered.fleet = view->fleet;
  core->repair_from = time_add(now, time_from_ms(MEND_MS));
  core->vote_pending_since = core->loss_noticed_at = (time_us){ 0 };
  core->link_ok_at = now;
  if (!led) {
    core->ordered_valid = false;
    core->head_since = (time_us){ 0 };
    g_hash_table_remove_all(core->renewed);
  }
  GString *g = g_string_new(NULL);
  for (int i = 0; i < view->chain_length; i++)
    json_appendf(g, "%s%s", i ? " > " : "", view->chain[i].self.text);
  log_info(&core->node->log, "core", "View %" PRIu64 ": chain %s%s.", view->epoch, g->str,
           view_thin(core, view) ? ", too thin to write" : "");
  g_string_free(g, TRUE);
  replication_commit_tail(core);
  condition_broadcast(&core->moved);
  condition_broadcast(&core->work);
  condition_broadcast(&core->lease_wanted);
}

void agreement_adopt(core *core, const Wire__View *w) {
  view v;
  if (!w || !view_unpack(&v, w) || v.epoch <= core->view.epoch || v.epoch <= core->adopting ||
      core->disk.broken)
    return;
  if (core->view.fleet && v.fleet != core->view.fleet) {
    log_info(&core->node->log, "core",
             "Refused view %" PRIu64 " of another fleet %016" PRIx64 " (code %d).", v.epoch,
             v.fleet, E_VIEW_MISMATCH);
    return;
  }
  GString *b = g_string_new(NULL);
  journal_put_view(b, &v);
  error err = { 0 };
  core->adopting = v.epoch;
  int r = store_add_all(&core->disk, string_view_of_gstring(b), &err);
  if (core->adopting == v.epoch)
    core->adopting = 0;
  g_string_free(b, TRUE);
  if (!r && v.epoch > core->view.epoch)
    agreement_enter(core, &v);
}

void agreement_announce(core *core, const char *addr) {
  if (!core->view.epoch)
    return;
  view_msg v;
  Wire__ViewAnnouncement t = WIRE__VIEW_ANNOUNCEMENT__INIT;
  t.view = view_pack(&v, &core->view);
  Wire__Envelope m = wire_envelope(WIRE__ENVELOPE__BODY_VIEW_ANNOUNCEMENT, &t);
  node_send(core->node, addr, &m);
}

/* the vote on a view */
static bool may_vote(core *core, uint64_t epoch, const Wire__NodeInfo *from) {
  if (!core->running || core->disk.broken)
    return false;
  if (core->view.epoch)
    return core_voter_index(core) >= 0;
  return epoch == 1 && join_is_founder(core) &&
         join_is_first_founder(core, from->id, from->address);
}

/* a vote for another epoch than the one before is not the one that may have hung */
static void agreement_forget_wedge(core *core, uint64_t epoch) {
  if (core->vote.epoch != epoch)
    core->vote_pending_since = (time_us){ 0 };
}

static int agreement_store_vote(core *core, error *err) {
  GString *b = g_string_new(NULL);
  journal_put_vote(b, &core->vote);
  if (!core->vote_pending_since.us)
    core->vote_pending_since = world_now(core->node->world);
  int r = store_add_all(&core->disk, string_view_of_gstring(b), err);
  g_string_free(b, TRUE);
  return r;
}

Wire__View *reply_view(reply *reply, const view *v) {
  view *k = reply_alloc(reply, sizeof *k);
  *k = *v;
  return view_pack(reply_alloc(reply, sizeof(view_msg)), k);
}

static Wire__ProposalNumber *reply_ballot(reply *reply, const ballot *b) {
  ballot *k = reply_alloc(reply, sizeof *k);
  Wire__ProposalNumber *w = reply_alloc(reply, sizeof *w);
  *k = *b;
  ballot_pack(w, k);
  return w;
}

Wire__Member *reply_self(reply *reply, const core *core) {
  member *k = reply_alloc(reply, sizeof *k);
  Wire__Member *w = reply_alloc(reply, sizeof *w);
  *k = core_self(core);
  member_pack(w, k);
  return w;
}

int on_promise(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  core *core = ctx;
  Wire__PrepareRequest *p = in->prepare_request;
  time_us now = world_now(core->node->world);
  if (!p->number)
    return error_set(err, E_WIRE_MESSAGE, "no ballot");
  if (!may_vote(core, p->epoch, in->from))
    return error_set(err, E_VIEW_MISMATCH, "no voter");
  Wire__PrepareResponse *b = reply_new_body(reply, WIRE__ENVELOPE__BODY_PREPARE_RESPONSE,
                                            &wire__prepare_response__descriptor);
  b->in_sync = core_whole(core);
  b->self = reply_self(reply, core);
  if (p->epoch <= core->view.epoch) {
    b->newer = reply_view(reply, &core->view);
    return OK;
  }
  if (p->epoch != core->view.epoch + 1)
    return OK;
  for (size_t i = 0; i < p->n_dropped && !p->link_broken; i++) {
    if (!strcmp(p->dropped[i], core->node->settings.self.text) && !core->node->draining)
      return OK;
    peer_node *peer = node_find_peer(core->node, id_of_text(p->dropped[i]));
    if (peer && !peer->draining && !lease_peer_hears_nothing(core, peer->self) &&
        !time_reached(now, time_add(peer->last_heard_at, time_from_ms(HEARD_MS))))
      return OK;
  }
  if (p->pre_vote) {
    b->promised_now = true;
    return OK;
  }
  ballot asked = ballot_unpack(p->number);
  agreement_forget_wedge(core, p->epoch);
  if (vote_take_promise(&core->vote, core->view.epoch, p->epoch, asked) == VOTE_SYNC &&
      agreement_store_vote(core, err))
    return err->code;
  b->promised_now = vote_has_promised(&core->vote, core->view.epoch, p->epoch, asked);
  b->promised = reply_ballot(reply, &core->vote.promised);
  if (core->vote.has) {
    b->accepted = reply_ballot(reply, &core->vote.accepted);
    b->view = reply_view(reply, &core->vote.value);
  }
  return OK;
}

int on_accept(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  core *core = ctx;
  Wire__AcceptRequest *a = in->accept_request;
  view v;
  if (!a->number || !view_unpack(&v, a->view) || v.epoch != a->epoch)
    return error_set(err, E_WIRE_MESSAGE, "no view");
  if (!may_vote(core, a->epoch, in->from))
    return error_set(err, E_VIEW_MISMATCH, "no voter");
  Wire__AcceptResponse *b = reply_new_body(reply, WIRE__ENVELOPE__BODY_ACCEPT_RESPONSE,
                                           &wire__accept_response__descriptor);
  ballot asked = ballot_unpack(a->number);
  if (a->epoch == core->view.epoch + 1)
    agreement_forget_wedge(core, a->epoch);
  switch (vote_take_accept(&core->vote, core->view.epoch, a->epoch, asked, &v)) {
  case VOTE_NEWER:
    b->newer = reply_view(reply, &core->view);
    return OK;
  case VOTE_ANSWER:
    break;
  case VOTE_SYNC:
    if (agreement_store_vote(core, err))
      return err->code;
    break;
  }
  b->accepted_now = vote_has_accepted(&core->vote, a->epoch, asked);
  return OK;
}

int on_announce(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  (void)reply;
  (void)err;
  core *core = ctx;
  if (core->running && in->view_announcement->view)
    agreement_adopt(core, in->view_announcement->view);
  return OK;
}

/* one message to several, at once */
typedef struct broadcast_call {
  node *node;
  int left, kids;
  bool over;
  condition changed;
  GBytes *text;
  time_us span;
  Wire__Envelope *back[VOTERS_MOST];
  char addr[VOTERS_MOST][48];
} broadcast_call;

typedef struct {
  broadcast_call *broadcast;
  int i;
} broadcast_arg;

static void broadcast_drop(broadcast_call *f) {
  if (--f->kids)
    return;
  for (int i = 0; i < VOTERS_MOST; i++)
    node_reply_free(f->back[i]);
  g_bytes_unref(f->text);
  g_free(f);
}

static void broadcast_one(void *p) {
  broadcast_arg *a = p;
  broadcast_call *f = a->broadcast;
  gsize n;
  const uint8_t *t = g_bytes_get_data(f->text, &n);
  Wire__Envelope *m = wire__envelope__unpack(NULL, n, t), *b = NULL;
  error err = { 0 };
  if (m)
    node_call(f->node, f->addr[a->i], m, f->span, &b, &err);
  node_reply_free(m);
  f->back[a->i] = b;
  f->left--;
  condition_broadcast(&f->changed);
  broadcast_drop(f);
  g_free(a);
}

static broadcast_call *broadcast_call_all(node *node, const member *to, int n, Wire__Envelope *m,
                                          time_us span) {
  broadcast_call *f = g_new0(broadcast_call, 1);
  f->node = node;
  f->left = n;
  f->kids = n + 1;
  f->span = span;
  condition_init(&f->changed);
  size_t k = wire__envelope__get_packed_size(m);
  uint8_t *p = g_malloc(k + 1);
  wire__envelope__pack(m, p);
  f->text = g_bytes_new_take(p, k);
  for (int i = 0; i < n; i++) {
    g_strlcpy(f->addr[i], to[i].addr, sizeof f->addr[i]);
    broadcast_arg *a = g_new(broadcast_arg, 1);
    *a = (broadcast_arg){ f, i };
    task_start(&node->world->tasks, "fan", broadcast_one, a);
  }
  return f;
}

/* asks the voters whether they would agree; a promise that then leads nowhere would silence those
 * who promised it */
static bool agreement_probe(core *core, const view *asked, int need, Wire__PrepareRequest *p) {
  world *world = core->node->world;
  time_us till = time_add(world_now(world), time_from_ms(800));
  p->pre_vote = true;
  Wire__Envelope m = wire_envelope(WIRE__ENVELOPE__BODY_PREPARE_REQUEST, p);
  broadcast_call *f =
      broadcast_call_all(core->node, asked->voters, asked->voter_count, &m, time_from_ms(800));
  p->pre_vote = false;
  int ok;
  for (;;) {
    ok = 0;
    for (int i = 0; i < asked->voter_count; i++) {
      Wire__Envelope *b = f->back[i];
      if (!b || b->body_case != WIRE__ENVELOPE__BODY_PREPARE_RESPONSE)
        continue;
      if (b->prepare_response->newer) {
        agreement_adopt(core, b->prepare_response->newer);
        broadcast_drop(f);
        return false;
      }
      ok += b->prepare_response->promised_now;
    }
    if (ok >= need || !f->left ||
        condition_wait(&world->tasks, &f->changed, till) != WAKE_SIGNALLED)
      break;
  }
  broadcast_drop(f);
  return ok >= need;
}

static vote_answer agreement_read_answer(const Wire__PrepareResponse *k) {
  vote_answer a = { .ok = k->promised_now, .whole = k->in_sync };
  a.disk = k->self ? k->self->disk_id : 0;
  a.has = k->accepted && k->view && view_unpack(&a.value, k->view);
  if (a.has)
    a.took = ballot_unpack(k->accepted);
  return a;
}

bool agreement_propose(core *core, view *value, char **drop, int drops, bool broken) {
  world *world = core->node->world;
  view asked = core->view.epoch ? core->view : *value;
  uint64_t epoch = value->epoch;
  vote_tally tally;
  member self = core_self(core);
  vote_tally_begin(&tally, &core->view, value,
                   member_index(asked.voters, asked.voter_count, &self));
  int need = tally.need;
  ballot mine = vote_next_ballot(&core->vote, epoch, core->turns, core->node->settings.self);
  Wire__ProposalNumber wb;
  ballot_pack(&wb, &mine);
  Wire__PrepareRequest p = WIRE__PREPARE_REQUEST__INIT;
  p.epoch = epoch;
  p.number = &wb;
  p.dropped = drop;
  p.n_dropped = drops;
  p.link_broken = broken;
  char held[CHAIN_MOST][48];
  for (int i = 0; i < drops; i++) {
    g_strlcpy(held[i], drop[i], sizeof held[i]);
    drop[i] = held[i];
  }
  if (!agreement_probe(core, &asked, need, &p) || core->view.epoch >= epoch)
    return false;
  Wire__Envelope m = wire_envelope(WIRE__ENVELOPE__BODY_PREPARE_REQUEST, &p);
  time_us till = time_add(world_now(world), time_from_ms(1500));
  broadcast_call *f =
      broadcast_call_all(core->node, asked.voters, asked.voter_count, &m, time_from_ms(1500));
  int ok;
  view use;
  bool chosen = false;
  for (;;) {
    for (int i = 0; i < asked.voter_count; i++) {
      Wire__Envelope *b = f->back[i];
      if (!b || b->body_case != WIRE__ENVELOPE__BODY_PREPARE_RESPONSE)
        continue;
      Wire__PrepareResponse *k = b->prepare_response;
      if (k->promised && k->promised->round > core->turns)
        core->turns = k->promised->round;
      if (k->newer) {
        agreement_adopt(core, k->newer);
        broadcast_drop(f);
        return false;
      }
      vote_answer answer = agreement_read_answer(k);
      vote_tally_add(&tally, i, &answer);
    }
    chosen = vote_tally_choose(&tally, &asked, &use);
    if (chosen || !f->left || condition_wait(&world->tasks, &f->changed, till) != WAKE_SIGNALLED)
      break;
  }
  broadcast_drop(f);
  if (!chosen || core->view.epoch >= epoch)
    return false;
  view_msg vm;
  Wire__AcceptRequest a = WIRE__ACCEPT_REQUEST__INIT;
  a.epoch = epoch;
  a.number = &wb;
  a.view = view_pack(&vm, &use);
  Wire__Envelope m2 = wire_envelope(WIRE__ENVELOPE__BODY_ACCEPT_REQUEST, &a);
  f = broadcast_call_all(core->node, asked.voters, asked.voter_count, &m2, time_from_ms(1500));
  till = time_add(world_now(world), time_from_ms(1500));
  for (;;) {
    ok = 0;
    for (int i = 0; i < asked.voter_count; i++)
      ok += f->back[i] && f->back[i]->body_case == WIRE__ENVELOPE__BODY_ACCEPT_RESPONSE &&
            f->back[i]->accept_response->accepted_now;
    if (ok >= need || !f->left ||
        condition_wait(&world->tasks, &f->changed, till) != WAKE_SIGNALLED)
      break;
  }
  broadcast_drop(f);
  if (ok < need)
    return false;
  agreement_adopt(core, view_pack(&vm, &use));
  if (core->view.epoch != epoch)
    return false;
  list_for_each (peer, &core->node->peers, peer_node, link)
    if (peer->role == ROLE_CONTROLLER)
      agreement_announce(core, peer->address);
  return true;
}
