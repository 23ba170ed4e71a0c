/** The Paxos proposer.
 *
 * A proposer first asks the voters whether they would promise (pre-vote), because voters stop
 * granting leases and accepting writes once they have promised, even if the proposal then fails.
 * The two phases of Paxos follow (paxos_rules.c), and the decided view is sent to all controllers.
 */
#include "replica.h"

enum {
  /** Timeout of the pre-vote, in ms. */
  PRE_VOTE_TIMEOUT_MS = 800,
  /** Timeout of each of the prepare and accept phases, in ms. */
  PHASE_TIMEOUT_MS = 1500
};

/* a proposal in progress */
typedef struct {
  replica *replica;
  const view_proposal *proposal;
  /* the view whose voters decide: the known view, or the proposed one when a fleet is bootstrapped
   */
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

/* Counts the voters that would promise. If one of them knows a newer view, adopts it and returns
 * -1. */
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

/* Counts the promises received so far. If a voter knows a newer view, adopts it and returns false.
 */
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

/* the prepare phase: sets *value to the view for the accept phase; returns false if it failed */
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

static void announce_to_controllers(replica *replica) {
  list_for_each (peer, &replica->node->peers, peer_node, link)
    if (peer->role == ROLE_CONTROLLER)
      view_change_announce(replica, peer->address);
}

bool paxos_propose(replica *replica, const view_proposal *proposal) {
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
