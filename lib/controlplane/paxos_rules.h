#ifndef CONTROLPLANE_DECIDE_VOTE_H
#define CONTROLPLANE_DECIDE_VOTE_H
/** The decisions of the agreement on the next view, as functions of a voter's state and of one
 * message. Nothing here waits, sends, writes or reads a clock; agreement.c does that, and
 * tests/model runs the same functions over all orders of events. */
#include "replica.h"

/** What a voter does with a Promise or Accept message. */
typedef enum acceptor_action {
  /** The epoch is decided already: answer with the view that is known. */
  ACCEPTOR_KNOWS_NEWER,
  /** Nothing changed: answer what acceptor_has_promised or acceptor_has_accepted says. */
  ACCEPTOR_RESPOND,
  /** The vote changed: sync it to disk, and only then answer. */
  ACCEPTOR_SYNC
} acceptor_action;

/** Less than, equal to or greater than 0, as for strcmp. */
int proposal_number_compare(const proposal_number *a, const proposal_number *b);
/** True when a voter that knows the view of this epoch has promised something for the next one; it
 * then neither grants leases nor takes writes in the view that it knows. */
bool acceptor_prepare_pending(const acceptor_state *v, uint64_t known_epoch);
/** Takes a Promise message into the vote. */
acceptor_action acceptor_prepare(acceptor_state *v, uint64_t known_epoch, uint64_t epoch,
                                 proposal_number b);
/** True when, after the sync, the promise may be answered as given. */
bool acceptor_has_promised(const acceptor_state *v, uint64_t known_epoch, uint64_t epoch,
                           proposal_number b);
/** Takes an Accept message into the vote. */
acceptor_action acceptor_accept(acceptor_state *v, uint64_t known_epoch, uint64_t epoch,
                                proposal_number b, const view *value);
/** True when, after the sync, the acceptance may be answered as given. */
bool acceptor_has_accepted(const acceptor_state *v, uint64_t epoch, proposal_number b);
/** The ballot of the next proposal: higher than all that this machine knows of. */
proposal_number proposer_next_number(const acceptor_state *v, uint64_t epoch, uint64_t highest_turn,
                                     id self);

/** One voter's answer to a Promise message. */
typedef struct prepare_result {
  bool promised, in_sync, has_accepted;
  uint64_t disk;
  proposal_number accepted;
  view value;
} prepare_result;

/** What a proposer has heard from the voters so far. */
typedef struct proposer_state {
  view proposed, value;
  proposal_number accepted;
  bool bootstrapping, head_changes, own_promise;
  bool seen[VOTERS_MAX];
  bool in_sync[CHAIN_MAX], out_of_sync[CHAIN_MAX];
  int self, promises, quorum;
} proposer_state;

/** The number of voters of a view that have to agree on the next; founding takes all. */
int proposer_quorum(const view *asked, bool founding);
/** Begins to count the answers to a proposal. known is the view that the proposer knows, with epoch
 * 0 when it founds; self is the index of the proposer among the voters. */
void proposer_init(proposer_state *t, const view *known, const view *proposed, int self);
/** Counts the answer of one voter; a second one of the same voter changes nothing. */
void proposer_add_result(proposer_state *t, int voter, const prepare_result *a);
/** Chooses the view to ask acceptance for; false while the answers do not allow any. */
bool proposer_choose_view(const proposer_state *t, const view *known, view *use);
/** True when the next view may exchange voters: not in one that leaves out a member that may still
 * act, since the leases of the old view are then waited for by the voters that granted them. */
bool proposer_may_replace_voters(int left_out);
#endif
