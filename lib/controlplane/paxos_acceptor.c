/** The Paxos acceptor: handlers of PrepareRequest and AcceptRequest.
 * The rules are in paxos_rules.c. This file syncs the acceptor's state before it sends a response
 * that depends on it, and refuses to promise a proposal that removes a member which this voter
 * considers healthy. */
#include "replica.h"

enum {
  /** A voter refuses to remove a peer that it has heard from within this many ms. */
  PEER_HEARD_MS = 600
};

/* Whether this controller may vote on a view of this epoch proposed by this peer. The founders vote
 * on the first view of a fleet. */
static bool may_vote(const replica *replica, uint64_t epoch, const Wire__NodeInfo *proposer) {
  if (!replica->running || replica->wal.failed)
    return false;
  if (replica->view.epoch)
    return replica_voter_index(replica) >= 0;
  return epoch == 1 && bootstrap_is_founder(replica) &&
         bootstrap_is_first_founder(replica, proposer->id, proposer->address);
}

/* resets the timer of a stuck vote when a vote for another epoch begins */
static void reset_stuck_vote_timer(replica *replica, uint64_t epoch) {
  if (replica->acceptor.epoch != epoch)
    replica->view_change.prepare_pending_since = (time_us){ 0 };
}

static enum error_code store_acceptor(replica *replica, error *err) {
  GString *entries = g_string_new(NULL);
  wal_entries_add_acceptor(entries, &replica->acceptor);
  if (!replica->view_change.prepare_pending_since.us)
    replica->view_change.prepare_pending_since = world_now(replica->node->world);
  enum error_code code = wal_append_all(&replica->wal, string_view_of_gstring(entries), err);
  g_string_free(entries, TRUE);
  return code;
}

/* whether this process and a peer hear each other, and the peer is not draining */
static bool is_well_connected(const replica *replica, id who) {
  const peer_node *peer = peer_table_find(replica->node, who);
  if (!peer || peer->draining || member_lease_peer_hears_nothing(replica, peer->self))
    return false;
  return !time_reached(world_now(replica->node->world),
                       time_add(peer->last_heard_at, time_from_ms(PEER_HEARD_MS)));
}

/* whether a proposal removes a member that this voter would keep */
static bool objects_to_removal(const replica *replica, const Wire__PrepareRequest *request) {
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
  reset_stuck_vote_timer(replica, request->epoch);
  if (acceptor_prepare(acceptor, replica->view.epoch, request->epoch, number) == ACCEPTOR_SYNC) {
    enum error_code code = store_acceptor(replica, err);
    if (code)
      return code;
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

enum error_code paxos_acceptor_on_prepare(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
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
  if (request->epoch != replica->view.epoch + 1 || objects_to_removal(replica, request))
    return OK;
  if (request->pre_vote) {
    response->promised_now = true;
    return OK;
  }
  return promise(replica, request, reply, response, err);
}

enum error_code paxos_acceptor_on_accept(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
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
    reset_stuck_vote_timer(replica, request->epoch);
  enum error_code code = OK;
  switch (
      acceptor_accept(&replica->acceptor, replica->view.epoch, request->epoch, number, &value)) {
  case ACCEPTOR_KNOWS_NEWER:
    response->newer = response_view(reply, &replica->view);
    return OK;
  case ACCEPTOR_RESPOND:
    break;
  case ACCEPTOR_SYNC:
    code = store_acceptor(replica, err);
    break;
  }
  if (code)
    return code;
  response->accepted_now = acceptor_has_accepted(&replica->acceptor, request->epoch, number);
  return OK;
}
