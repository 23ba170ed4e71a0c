/** View changes.
 *
 * A proposer first asks the voters whether they would promise (pre-vote): a promise that leads
 * nowhere would stop those who gave it from granting leases and taking writes. Then come the two
 * phases of Paxos (paxos_rules.c), and the decided view is sent to all controllers. A controller
 * that misses it gets it with the response to its next lease request, or when it asks to join. */
#include "replica.h"

enum {
  /** The pre-vote may take so many ms. */
  PRE_VOTE_TIMEOUT_MS = 800,
  /** The prepare phase and the accept phase may each take so many ms. */
  PHASE_TIMEOUT_MS = 1500,
  /** A voter does not help to leave out a peer that it has heard within so many ms. */
  PEER_HEARD_MS = 600
};

bool view_change_prepare_pending(const replica *replica) {
  return acceptor_prepare_pending(&replica->acceptor, replica->view.epoch);
}

static void log_view(const replica *replica) {
  const view *view = &replica->view;
  GString *chain = g_string_new(NULL);
  for (int i = 0; i < view->chain_length; i++)
    g_string_append_printf(chain, "%s%s", i ? " > " : "", view->chain[i].self.text);
  log_info(&replica->node->log, "replica", "View %" PRIu64 ": chain %s%s.", view->epoch, chain->str,
           replica_view_is_under_replicated(replica, view) ? ", under-replicated, takes no writes"
                                                           : "");
  g_string_free(chain, TRUE);
}

static void enter_view(replica *replica, const view *view) {
  time_us now = world_now(replica->node->world);
  bool stays_head = view->epoch == replica->view.epoch + 1 && replica_chain_index(replica) == 0;
  member_leases_enter_view(&replica->lease.leases, &replica->view, view, now);
  replica->view = *view;
  replica->committed.fleet_id = replica->replication.ordered.fleet_id = view->fleet_id;
  replica->view_change.prepare_pending_since = (time_us){ 0 };
  chain_repair_on_new_view(&replica->chain_repair, now);
  replica->replication.successor_answered_at = now;
  if (!stays_head) {
    replica->replication.ordered_valid = false;
    replica->head_since = (time_us){ 0 };
    g_hash_table_remove_all(replica->singleton_renewed_at);
  }
  log_view(replica);
  replication_commit_as_tail(replica);
  condition_broadcast(&replica->state_changed);
  condition_broadcast(&replica->replication_wanted);
  condition_broadcast(&replica->lease.renewal_wanted);
}

static bool may_adopt(const replica *replica, const view *view) {
  if (view->epoch <= replica->view.epoch || view->epoch <= replica->view_change.adopting_epoch ||
      replica->wal.failed)
    return false;
  if (!replica->view.fleet_id || view->fleet_id == replica->view.fleet_id)
    return true;
  log_info(&replica->node->log, "replica",
           "Refused view %" PRIu64 " of another fleet %016" PRIx64 " (code %d).", view->epoch,
           view->fleet_id, E_VIEW_MISMATCH);
  return false;
}

void view_change_adopt(replica *replica, const Wire__View *message) {
  view view;
  if (!view_unpack(&view, message) || !may_adopt(replica, &view))
    return;
  error err = { 0 };
  GString *entries = g_string_new(NULL);
  wal_entries_add_view(entries, &view);
  replica->view_change.adopting_epoch = view.epoch;
  enum error_code r = wal_append_all(&replica->wal, string_view_of_gstring(entries), &err);
  if (replica->view_change.adopting_epoch == view.epoch)
    replica->view_change.adopting_epoch = 0;
  g_string_free(entries, TRUE);
  /* the sync took time, in which a newer view may have been entered */
  if (!r && view.epoch > replica->view.epoch)
    enter_view(replica, &view);
}

void view_change_announce(replica *replica, const char *address) {
  if (!replica->view.epoch)
    return;
  view_message memory;
  Wire__ViewAnnouncement announcement = WIRE__VIEW_ANNOUNCEMENT__INIT;
  announcement.view = view_pack(&memory, &replica->view);
  Wire__Envelope message = wire_envelope(WIRE__ENVELOPE__BODY_VIEW_ANNOUNCEMENT, &announcement);
  node_send(replica->node, address, &message);
}

static void announce_to_controllers(replica *replica) {
  list_for_each (peer, &replica->node->peers, peer_node, link)
    if (peer->role == ROLE_CONTROLLER)
      view_change_announce(replica, peer->address);
}

/* The acceptor. */

/* whether this controller votes on the view of an epoch that a peer proposes; on the first view of
 * a fleet the founders vote */
static bool may_vote(const replica *replica, uint64_t epoch, const Wire__NodeInfo *proposer) {
  if (!replica->running || replica->wal.failed)
    return false;
  if (replica->view.epoch)
    return replica_voter_index(replica) >= 0;
  return epoch == 1 && bootstrap_is_founder(replica) &&
         bootstrap_is_first_founder(replica, proposer->id, proposer->address);
}

/* a vote for another epoch than the last one is not the one that may be stuck */
static void forget_stuck_vote(replica *replica, uint64_t epoch) {
  if (replica->acceptor.epoch != epoch)
    replica->view_change.prepare_pending_since = (time_us){ 0 };
}

static enum error_code store_acceptor(replica *replica, error *err) {
  GString *entries = g_string_new(NULL);
  wal_entries_add_acceptor(entries, &replica->acceptor);
  if (!replica->view_change.prepare_pending_since.us)
    replica->view_change.prepare_pending_since = world_now(replica->node->world);
  enum error_code r = wal_append_all(&replica->wal, string_view_of_gstring(entries), err);
  g_string_free(entries, TRUE);
  return r;
}

/* whether this process hears a peer, and the peer hears it and wants to stay */
static bool is_well_connected(const replica *replica, id who) {
  const peer_node *peer = node_find_peer(replica->node, who);
  if (!peer || peer->draining || member_lease_peer_hears_nothing(replica, peer->self))
    return false;
  return !time_reached(world_now(replica->node->world),
                       time_add(peer->last_heard_at, time_from_ms(PEER_HEARD_MS)));
}

/* whether a proposal leaves out a member that this voter would keep */
static bool objects_to_dropped(const replica *replica, const Wire__PrepareRequest *request) {
  if (request->link_broken)
    return false;
  for (size_t i = 0; i < request->n_dropped; i++) {
    const char *dropped = request->dropped[i];
    if (!strcmp(dropped, replica->node->settings.self.text) && !replica->node->draining)
      return true;
    if (is_well_connected(replica, id_of_text(dropped)))
      return true;
  }
  return false;
}

static Wire__ProposalNumber *response_proposal_number(reply *reply, const proposal_number *number) {
  proposal_number *copy = reply_alloc(reply, sizeof *copy);
  Wire__ProposalNumber *message = reply_alloc(reply, sizeof *message);
  *copy = *number;
  proposal_number_pack(message, copy);
  return message;
}

static enum error_code promise(replica *replica, const Wire__PrepareRequest *request, reply *reply,
                               Wire__PrepareResponse *response, error *err) {
  acceptor_state *acceptor = &replica->acceptor;
  proposal_number number = proposal_number_unpack(request->number);
  forget_stuck_vote(replica, request->epoch);
  if (acceptor_prepare(acceptor, replica->view.epoch, request->epoch, number) == ACCEPTOR_SYNC) {
    enum error_code r = store_acceptor(replica, err);
    if (r)
      return r;
  }
  response->promised_now =
      acceptor_has_promised(acceptor, replica->view.epoch, request->epoch, number);
  response->promised = response_proposal_number(reply, &acceptor->promised);
  if (acceptor->has_accepted) {
    response->accepted = response_proposal_number(reply, &acceptor->accepted);
    response->view = response_view(reply, &acceptor->value);
  }
  return OK;
}

int view_change_on_prepare(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  replica *replica = ctx;
  const Wire__PrepareRequest *request = in->prepare_request;
  if (!request->number)
    return error_set(err, E_WIRE_MESSAGE, "no proposal number");
  if (!may_vote(replica, request->epoch, in->from))
    return error_set(err, E_VIEW_MISMATCH, "no voter");
  member self = replica_as_member(replica);
  Wire__PrepareResponse *response = reply_new_body(reply, WIRE__ENVELOPE__BODY_PREPARE_RESPONSE,
                                                   &wire__prepare_response__descriptor);
  response->in_sync = replica_in_sync(replica);
  response->self = response_member(reply, &self);
  if (request->epoch <= replica->view.epoch) {
    response->newer = response_view(reply, &replica->view);
    return OK;
  }
  if (request->epoch != replica->view.epoch + 1 || objects_to_dropped(replica, request))
    return OK;
  if (request->pre_vote) {
    response->promised_now = true;
    return OK;
  }
  return promise(replica, request, reply, response, err);
}

int view_change_on_accept(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  replica *replica = ctx;
  const Wire__AcceptRequest *request = in->accept_request;
  view value;
  if (!request->number || !view_unpack(&value, request->view) || value.epoch != request->epoch)
    return error_set(err, E_WIRE_MESSAGE, "no view");
  if (!may_vote(replica, request->epoch, in->from))
    return error_set(err, E_VIEW_MISMATCH, "no voter");
  Wire__AcceptResponse *response = reply_new_body(reply, WIRE__ENVELOPE__BODY_ACCEPT_RESPONSE,
                                                  &wire__accept_response__descriptor);
  proposal_number number = proposal_number_unpack(request->number);
  if (request->epoch == replica->view.epoch + 1)
    forget_stuck_vote(replica, request->epoch);
  enum error_code r = OK;
  switch (
      acceptor_accept(&replica->acceptor, replica->view.epoch, request->epoch, number, &value)) {
  case ACCEPTOR_KNOWS_NEWER:
    response->newer = response_view(reply, &replica->view);
    return OK;
  case ACCEPTOR_RESPOND:
    break;
  case ACCEPTOR_SYNC:
    r = store_acceptor(replica, err);
    break;
  }
  if (r)
    return r;
  response->accepted_now = acceptor_has_accepted(&replica->acceptor, request->epoch, number);
  return OK;
}

int view_change_on_announcement(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  (void)reply;
  (void)err;
  replica *replica = ctx;
  if (replica->running)
    view_change_adopt(replica, in->view_announcement->view);
  return OK;
}

/* The proposer. */

/* a proposal under way */
typedef struct {
  replica *replica;
  const view_proposal *proposal;
  /* the view whose voters decide; for the first view of a fleet, that view itself */
  view voting;
  proposal_number number;
  proposer_state state;
} vote;

static void vote_init(vote *vote, replica *replica, const view_proposal *proposal) {
  const view *proposed = &proposal->view;
  member self = replica_as_member(replica);
  vote->replica = replica;
  vote->proposal = proposal;
  vote->voting = replica->view.epoch ? replica->view : *proposed;
  vote->number = proposer_next_number(&replica->acceptor, proposed->epoch,
                                      replica->view_change.highest_round, self.self);
  proposer_init(&vote->state, &replica->view, proposed,
                member_index(vote->voting.voters, vote->voting.voter_count, &self));
}

static bool vote_is_overtaken(const vote *vote) {
  return vote->replica->view.epoch >= vote->proposal->view.epoch;
}

static parallel_call *call_voters(const vote *vote, Wire__Envelope__BodyCase kind, void *request,
                                  int64_t timeout_ms) {
  Wire__Envelope message = wire_envelope(kind, request);
  return parallel_call_start(vote->replica->node, vote->voting.voters, vote->voting.voter_count,
                             &message, time_from_ms(timeout_ms));
}

static parallel_call *call_prepare(const vote *vote, bool pre_vote, int64_t timeout_ms) {
  const view_proposal *proposal = vote->proposal;
  Wire__ProposalNumber number;
  char *dropped[CHAIN_MAX];
  for (int i = 0; i < proposal->dropped_count; i++)
    dropped[i] = (char *)proposal->dropped[i].text;
  proposal_number_pack(&number, &vote->number);
  Wire__PrepareRequest request = WIRE__PREPARE_REQUEST__INIT;
  request.epoch = proposal->view.epoch;
  request.number = &number;
  request.dropped = dropped;
  request.n_dropped = proposal->dropped_count;
  request.link_broken = proposal->link_broken;
  request.pre_vote = pre_vote;
  return call_voters(vote, WIRE__ENVELOPE__BODY_PREPARE_REQUEST, &request, timeout_ms);
}

static parallel_call *call_accept(const vote *vote, const view *value) {
  view_message memory;
  Wire__ProposalNumber number;
  proposal_number_pack(&number, &vote->number);
  Wire__AcceptRequest request = WIRE__ACCEPT_REQUEST__INIT;
  request.epoch = vote->proposal->view.epoch;
  request.number = &number;
  request.view = view_pack(&memory, value);
  return call_voters(vote, WIRE__ENVELOPE__BODY_ACCEPT_REQUEST, &request, PHASE_TIMEOUT_MS);
}

static const Wire__PrepareResponse *prepare_response(const parallel_call *call, int index) {
  const Wire__Envelope *response = parallel_call_response(call, index);
  return response && response->body_case == WIRE__ENVELOPE__BODY_PREPARE_RESPONSE
             ? response->prepare_response
             : NULL;
}

/* counts the voters that would promise; -1 when one of them knows a newer view, which is adopted */
static int count_pre_votes(const vote *vote, const parallel_call *call) {
  int count = 0;
  for (int i = 0; i < vote->voting.voter_count; i++) {
    const Wire__PrepareResponse *response = prepare_response(call, i);
    if (!response)
      continue;
    if (response->newer) {
      view_change_adopt(vote->replica, response->newer);
      return -1;
    }
    count += response->promised_now;
  }
  return count;
}

static bool pre_vote(const vote *vote) {
  parallel_call *call = call_prepare(vote, true, PRE_VOTE_TIMEOUT_MS);
  int count;
  do {
    count = count_pre_votes(vote, call);
  } while (count >= 0 && count < vote->state.quorum && parallel_call_wait(call));
  parallel_call_release(call);
  return count >= vote->state.quorum;
}

static prepare_result prepare_result_unpack(const Wire__PrepareResponse *response) {
  prepare_result result = { .promised = response->promised_now, .in_sync = response->in_sync };
  result.disk_id = response->self ? response->self->disk_id : 0;
  result.has_accepted =
      response->accepted && response->view && view_unpack(&result.value, response->view);
  if (result.has_accepted)
    result.accepted = proposal_number_unpack(response->accepted);
  return result;
}

/* counts the promises so far; false when a voter knows a newer view, which is adopted */
static bool count_promises(vote *vote, const parallel_call *call) {
  view_change_state *state = &vote->replica->view_change;
  for (int i = 0; i < vote->voting.voter_count; i++) {
    const Wire__PrepareResponse *response = prepare_response(call, i);
    if (!response)
      continue;
    if (response->promised && response->promised->round > state->highest_round)
      state->highest_round = response->promised->round;
    if (response->newer) {
      view_change_adopt(vote->replica, response->newer);
      return false;
    }
    prepare_result result = prepare_result_unpack(response);
    proposer_add_result(&vote->state, i, &result);
  }
  return true;
}

/* the prepare phase: sets *value to the view to ask acceptance for */
static bool prepare(vote *vote, view *value) {
  parallel_call *call = call_prepare(vote, false, PHASE_TIMEOUT_MS);
  bool chosen = false, goes_on;
  do {
    goes_on = count_promises(vote, call);
    chosen = goes_on && proposer_choose_view(&vote->state, &vote->voting, value);
  } while (goes_on && !chosen && parallel_call_wait(call));
  parallel_call_release(call);
  return chosen;
}

static int count_acceptances(const vote *vote, const parallel_call *call) {
  int count = 0;
  for (int i = 0; i < vote->voting.voter_count; i++) {
    const Wire__Envelope *response = parallel_call_response(call, i);
    count += response && response->body_case == WIRE__ENVELOPE__BODY_ACCEPT_RESPONSE &&
             response->accept_response->accepted_now;
  }
  return count;
}

/* the accept phase: returns whether the value is decided */
static bool accept_value(const vote *vote, const view *value) {
  parallel_call *call = call_accept(vote, value);
  int count;
  do {
    count = count_acceptances(vote, call);
  } while (count < vote->state.quorum && parallel_call_wait(call));
  parallel_call_release(call);
  return count >= vote->state.quorum;
}

bool view_change_propose(replica *replica, const view_proposal *proposal) {
  vote vote;
  vote_init(&vote, replica, proposal);
  if (!pre_vote(&vote) || vote_is_overtaken(&vote))
    return false;
  view value;
  if (!prepare(&vote, &value) || vote_is_overtaken(&vote))
    return false;
  if (!accept_value(&vote, &value))
    return false;
  view_message memory;
  view_change_adopt(replica, view_pack(&memory, &value));
  if (replica->view.epoch != proposal->view.epoch)
    return false;
  announce_to_controllers(replica);
  return true;
}
