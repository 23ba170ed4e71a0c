/** Promise, acceptance and the choice of the value: single-decree Paxos for each epoch. */
#include "paxos_rules.h"
#include "replica_internal.h"

int proposal_number_compare(const proposal_number *a, const proposal_number *b) {
  if (a->round != b->round)
    return a->round < b->round ? -1 : 1;
  return strcmp(a->proposer.text, b->proposer.text);
}

bool acceptor_prepare_pending(const acceptor_state *v, uint64_t known_epoch) {
  return v->epoch == known_epoch + 1 && v->promised.round > 0;
}

static acceptor_action acceptor_check_epoch(uint64_t known_epoch, uint64_t epoch) {
  if (epoch <= known_epoch)
    return ACCEPTOR_KNOWS_NEWER;
  return epoch == known_epoch + 1 ? ACCEPTOR_SYNC : ACCEPTOR_RESPOND;
}

static void acceptor_start_epoch(acceptor_state *v, uint64_t epoch) {
  if (v->epoch == epoch)
    return;
  memset(v, 0, sizeof *v);
  v->epoch = epoch;
}

acceptor_action acceptor_prepare(acceptor_state *v, uint64_t known_epoch, uint64_t epoch,
                                 proposal_number b) {
  acceptor_action step = acceptor_check_epoch(known_epoch, epoch);
  if (step != ACCEPTOR_SYNC)
    return step;
  acceptor_start_epoch(v, epoch);
  if (proposal_number_compare(&v->promised, &b) > 0)
    return ACCEPTOR_RESPOND;
  /* also for a ballot that was promised before: the sync of that promise may still be under way */
  v->promised = b;
  return ACCEPTOR_SYNC;
}

bool acceptor_has_promised(const acceptor_state *v, uint64_t known_epoch, uint64_t epoch,
                           proposal_number b) {
  return v->epoch == epoch && known_epoch < epoch && !proposal_number_compare(&v->promised, &b);
}

acceptor_action acceptor_accept(acceptor_state *v, uint64_t known_epoch, uint64_t epoch,
                                proposal_number b, const view *value) {
  acceptor_action step = acceptor_check_epoch(known_epoch, epoch);
  if (step != ACCEPTOR_SYNC)
    return step;
  acceptor_start_epoch(v, epoch);
  if (proposal_number_compare(&v->promised, &b) > 0)
    return ACCEPTOR_RESPOND;
  v->promised = b;
  v->accepted = b;
  v->value = *value;
  v->has_accepted = true;
  return ACCEPTOR_SYNC;
}

bool acceptor_has_accepted(const acceptor_state *v, uint64_t epoch, proposal_number b) {
  return v->epoch == epoch && v->has_accepted && !proposal_number_compare(&v->accepted, &b);
}

proposal_number proposer_next_number(const acceptor_state *v, uint64_t epoch, uint64_t highest_turn,
                                     id self) {
  uint64_t promised = v->epoch == epoch ? v->promised.round : 0;
  return (proposal_number){ MAX(highest_turn, promised) + 1, self };
}

int proposer_quorum(const view *asked, bool founding) {
  return founding ? asked->voter_count : asked->voter_count / 2 + 1;
}

void proposer_init(proposer_state *t, const view *known, const view *proposed, int self) {
  memset(t, 0, sizeof *t);
  t->proposed = *proposed;
  t->value = *proposed;
  t->bootstrapping = !known->epoch;
  t->quorum = proposer_quorum(t->bootstrapping ? proposed : known, t->bootstrapping);
  t->self = self;
  t->head_changes = proposed->chain_length && known->chain_length &&
                    !member_equal(&proposed->chain[0], &known->chain[0]);
}

static void proposer_note_in_sync(proposer_state *t, const prepare_result *a) {
  for (int i = 0; i < t->proposed.chain_length; i++) {
    if (t->proposed.chain[i].disk_id != a->disk)
      continue;
    t->in_sync[i] = a->in_sync;
    t->out_of_sync[i] = !a->in_sync;
  }
}

void proposer_add_result(proposer_state *t, int voter, const prepare_result *a) {
  if (!a->promised || t->seen[voter])
    return;
  t->seen[voter] = true;
  t->promises++;
  t->own_promise |= voter == t->self;
  proposer_note_in_sync(t, a);
  if (!a->has_accepted || proposal_number_compare(&t->accepted, &a->accepted) >= 0)
    return;
  /* a first view that another disk of a founder was part of can't be decided any more */
  if (t->bootstrapping && !view_same_voters(&a->value, &t->proposed))
    return;
  t->accepted = a->accepted;
  t->value = a->value;
}

/* the first of the chain that may be whole, when it is known to be; -1 when it is not */
static int proposer_first_in_sync(const proposer_state *t) {
  int i = 0;
  while (i < t->proposed.chain_length && t->out_of_sync[i])
    i++;
  return i < t->proposed.chain_length && t->in_sync[i] ? i : -1;
}

bool proposer_choose_view(const proposer_state *t, const view *known, view *use) {
  /* The proposer's own promise is among them and synced, so that after a crash it does not use the
     same ballot for another value. */
  if (t->promises < t->quorum || !t->own_promise)
    return false;
  *use = t->value;
  if (t->accepted.round || !t->head_changes)
    return true;
  int head = proposer_first_in_sync(t);
  if (head < 0)
    return false;
  if (!head)
    return true;
  /* copies that are not whole can't lead: they are left out, and come back by a fetch. A view that
     leaves a machine out keeps its voters. */
  use->chain_length -= head;
  memmove(use->chain, use->chain + head, sizeof use->chain[0] * use->chain_length);
  use->voter_count = known->voter_count;
  memcpy(use->voters, known->voters, sizeof use->voters);
  return true;
}

bool proposer_may_replace_voters(int left_out) {
  return !left_out;
}
