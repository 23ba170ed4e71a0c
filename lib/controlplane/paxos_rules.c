/** Single-decree Paxos for each epoch.
 *
 * The voters of the view of epoch e decide the view of epoch e + 1. A proposer asks them to promise
 * not to accept any proposal with a lower number. From a majority's promises it adopts the value of
 * the highest accepted proposal, if any, and then asks the voters to accept that value. Any two
 * majorities overlap, so every later proposer finds a decided value. An acceptor keeps the state of
 * one epoch only: the state of an earlier epoch is no longer needed once the view of that epoch is
 * known.
 *
 * In addition to Paxos, a proposal that changes the head waits until the new head's replica is
 * known to be in sync, see proposer_choose_view. */
#include "paxos_rules.h"

int proposal_number_compare(const proposal_number *a, const proposal_number *b) {
  if (a->round != b->round)
    return a->round < b->round ? -1 : 1;
  return strcmp(a->proposer.text, b->proposer.text);
}

proposal_number proposal_number_unpack(const Wire__ProposalNumber *message) {
  if (!message)
    return (proposal_number){ 0 };
  return (proposal_number){ message->round, id_of_text(message->proposer) };
}

void proposal_number_pack(Wire__ProposalNumber *message, const proposal_number *number) {
  wire__proposal_number__init(message);
  message->round = number->round;
  message->proposer = (char *)number->proposer.text;
}

bool acceptor_prepare_pending(const acceptor_state *acceptor, uint64_t known_epoch) {
  return acceptor->epoch == known_epoch + 1 && acceptor->promised.round > 0;
}

/* decides by the epoch alone what to do with a request */
static acceptor_action acceptor_check_epoch(uint64_t known_epoch, uint64_t epoch) {
  if (epoch <= known_epoch)
    return ACCEPTOR_KNOWS_NEWER;
  return epoch == known_epoch + 1 ? ACCEPTOR_SYNC : ACCEPTOR_RESPOND;
}

static void acceptor_start_epoch(acceptor_state *acceptor, uint64_t epoch) {
  if (acceptor->epoch == epoch)
    return;
  memset(acceptor, 0, sizeof *acceptor);
  acceptor->epoch = epoch;
}

acceptor_action acceptor_prepare(acceptor_state *acceptor, uint64_t known_epoch, uint64_t epoch,
                                 proposal_number number) {
  acceptor_action action = acceptor_check_epoch(known_epoch, epoch);
  if (action != ACCEPTOR_SYNC)
    return action;
  acceptor_start_epoch(acceptor, epoch);
  if (proposal_number_compare(&acceptor->promised, &number) > 0)
    return ACCEPTOR_RESPOND;
  /* Sync again even if this number was already promised: the sync of that promise may still be in
     progress. */
  acceptor->promised = number;
  return ACCEPTOR_SYNC;
}

bool acceptor_has_promised(const acceptor_state *acceptor, uint64_t known_epoch, uint64_t epoch,
                           proposal_number number) {
  return acceptor->epoch == epoch && known_epoch < epoch &&
         !proposal_number_compare(&acceptor->promised, &number);
}

acceptor_action acceptor_accept(acceptor_state *acceptor, uint64_t known_epoch, uint64_t epoch,
                                proposal_number number, const view *value) {
  acceptor_action action = acceptor_check_epoch(known_epoch, epoch);
  if (action != ACCEPTOR_SYNC)
    return action;
  acceptor_start_epoch(acceptor, epoch);
  if (proposal_number_compare(&acceptor->promised, &number) > 0)
    return ACCEPTOR_RESPOND;
  acceptor->promised = number;
  acceptor->accepted = number;
  acceptor->value = *value;
  acceptor->has_accepted = true;
  return ACCEPTOR_SYNC;
}

bool acceptor_has_accepted(const acceptor_state *acceptor, uint64_t epoch, proposal_number number) {
  return acceptor->epoch == epoch && acceptor->has_accepted &&
         !proposal_number_compare(&acceptor->accepted, &number);
}

proposal_number proposer_next_number(const acceptor_state *acceptor, uint64_t epoch,
                                     uint64_t highest_round, id self) {
  uint64_t promised_round = acceptor->epoch == epoch ? acceptor->promised.round : 0;
  return (proposal_number){ MAX(highest_round, promised_round) + 1, self };
}

int proposer_quorum(const view *voting, bool bootstrapping) {
  return bootstrapping ? voting->voter_count : voting->voter_count / 2 + 1;
}

void proposer_init(proposer_state *proposer, const view *known, const view *proposed, int self) {
  memset(proposer, 0, sizeof *proposer);
  proposer->proposed = *proposed;
  proposer->value = *proposed;
  proposer->bootstrapping = !known->epoch;
  proposer->quorum =
      proposer_quorum(proposer->bootstrapping ? proposed : known, proposer->bootstrapping);
  proposer->self = self;
  proposer->head_changes = proposed->chain_length && known->chain_length &&
                           !member_equal(&proposed->chain[0], &known->chain[0]);
}

static void proposer_note_in_sync(proposer_state *proposer, const prepare_result *result) {
  for (int i = 0; i < proposer->proposed.chain_length; i++) {
    if (proposer->proposed.chain[i].disk_id != result->disk_id)
      continue;
    proposer->in_sync[i] = result->in_sync;
    proposer->out_of_sync[i] = !result->in_sync;
  }
}

void proposer_add_result(proposer_state *proposer, int voter_index, const prepare_result *result) {
  if (!result->promised || proposer->counted[voter_index])
    return;
  proposer->counted[voter_index] = true;
  proposer->promises++;
  proposer->own_promise |= voter_index == proposer->self;
  proposer_note_in_sync(proposer, result);
  if (!result->has_accepted || proposal_number_compare(&proposer->accepted, &result->accepted) >= 0)
    return;
  /* a first view that contains an earlier disk of a founder can no longer be decided */
  if (proposer->bootstrapping && !view_same_voters(&result->value, &proposer->proposed))
    return;
  proposer->accepted = result->accepted;
  proposer->value = result->value;
}

/* Returns the index of the first member of the proposed chain that is not known to be out of sync.
 * Returns -1 if there is none or if it is not known to be in sync. */
static int proposer_first_in_sync(const proposer_state *proposer) {
  int i = 0;
  while (i < proposer->proposed.chain_length && proposer->out_of_sync[i])
    i++;
  return i < proposer->proposed.chain_length && proposer->in_sync[i] ? i : -1;
}

bool proposer_choose_view(const proposer_state *proposer, const view *known, view *chosen) {
  /* The proposer's own promise must be among them. It is synced to disk, so that the proposer does
     not use the same number for another value after a crash. */
  if (proposer->promises < proposer->quorum || !proposer->own_promise)
    return false;
  *chosen = proposer->value;
  if (proposer->accepted.round || !proposer->head_changes)
    return true;
  int head = proposer_first_in_sync(proposer);
  if (head < 0)
    return false;
  if (!head)
    return true;
  /* Replicas that are out of sync cannot lead, so they are removed and rejoin after they have
     fetched a snapshot. A view that removes a member keeps its voters. */
  chosen->chain_length -= head;
  memmove(chosen->chain, chosen->chain + head, sizeof chosen->chain[0] * chosen->chain_length);
  chosen->voter_count = known->voter_count;
  memcpy(chosen->voters, known->voters, sizeof chosen->voters);
  return true;
}

bool proposer_may_replace_voters(int removed_lease_holders) {
  return !removed_lease_holders;
}
