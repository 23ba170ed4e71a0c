#ifndef CONTROLPLANE_PAXOS_RULES_H
#define CONTROLPLANE_PAXOS_RULES_H
/** Single-decree Paxos on the next view: the decisions of acceptor and proposer as functions of
 * their state and one message. Pure rules without I/O, waiting or clock reads: paxos_acceptor.c and
 * paxos_proposer.c provide these, and the model checker in tests/model runs the same functions
 * through many orders of events. */
#include "view.h"

/** A proposal number (ballot), ordered by round and then by the proposer's name. Each number is
 * used for one value only, see proposer_next_number. */
typedef struct proposal_number {
  uint64_t round;
  id proposer;
} proposal_number;

/** What an acceptor has promised and accepted for one epoch. It is synced to disk before any
 * response that depends on it is sent. */
typedef struct acceptor_state {
  /** The epoch of the view that is voted on, or 0 if the acceptor has not taken part in a vote. */
  uint64_t epoch;
  proposal_number promised;
  /** The last accepted proposal and its value; valid only if has_accepted is set. */
  proposal_number accepted;
  view value;
  bool has_accepted;
} acceptor_state;

/** What an acceptor must do before it responds to a PrepareRequest or AcceptRequest. */
typedef enum acceptor_action {
  /** The epoch is already decided: respond with the known view. */
  ACCEPTOR_KNOWS_NEWER,
  /** The state is unchanged: respond with what acceptor_has_promised or acceptor_has_accepted
   * returns. */
  ACCEPTOR_RESPOND,
  /** The state has changed: sync it to disk before responding. */
  ACCEPTOR_SYNC
} acceptor_action;

/** Returns less than, equal to or greater than 0, like strcmp. */
int proposal_number_compare(const proposal_number *a, const proposal_number *b);
/** Reads a proposal number from a message. Returns the lowest number for NULL. */
proposal_number proposal_number_unpack(const Wire__ProposalNumber *message);
/** Fills a message with a proposal number. The message points to the proposer's name in *number. */
void proposal_number_pack(Wire__ProposalNumber *message, const proposal_number *number);

/** Returns whether an acceptor that knows the view of known_epoch has promised a proposal for the
 * next epoch. It then neither grants leases nor accepts writes in the view that it knows. */
bool acceptor_prepare_pending(const acceptor_state *acceptor, uint64_t known_epoch);
/** Applies a PrepareRequest for an epoch at an acceptor that knows the view of known_epoch. */
acceptor_action acceptor_prepare(acceptor_state *acceptor, uint64_t known_epoch, uint64_t epoch,
                                 proposal_number number);
/** Returns whether a promise for this number may be sent once the state is synced. */
bool acceptor_has_promised(const acceptor_state *acceptor, uint64_t known_epoch, uint64_t epoch,
                           proposal_number number);
/** Applies an AcceptRequest for an epoch at an acceptor that knows the view of known_epoch. */
acceptor_action acceptor_accept(acceptor_state *acceptor, uint64_t known_epoch, uint64_t epoch,
                                proposal_number number, const view *value);
/** Returns whether an acceptance of this number may be sent once the state is synced. */
bool acceptor_has_accepted(const acceptor_state *acceptor, uint64_t epoch, proposal_number number);

/** One acceptor's response to a PrepareRequest. */
typedef struct prepare_result {
  bool promised;
  /** Whether the acceptor's own replica is in sync, and the id of its disk. */
  bool in_sync;
  uint64_t disk_id;
  /** The last proposal that the acceptor has accepted and its value; valid only if has_accepted is
   * set. */
  bool has_accepted;
  proposal_number accepted;
  view value;
} prepare_result;

/** What a proposer has learned from the acceptors in the prepare phase. */
typedef struct proposer_state {
  /** The view that the proposer originally proposes. */
  view proposed;
  /** The view that it must propose: the value of the highest accepted proposal seen so far, or else
   * the proposed view. */
  view value;
  /** The number under which that value was accepted; its round is 0 if there is none. */
  proposal_number accepted;
  bool bootstrapping, head_changes, own_promise;
  /** Whether each voter's promise has been counted, indexed like the voters. */
  bool counted[VOTERS_MAX];
  /** Which members of the proposed chain are known to be in sync, and known to be out of sync. */
  bool in_sync[CHAIN_MAX], out_of_sync[CHAIN_MAX];
  /** The proposer's own index among the voters, or -1. */
  int self;
  int promises, quorum;
} proposer_state;

/** Returns the number for the next proposal of an epoch. Its round is higher than every round that
 * this proposer has promised or seen, so that it never uses one number for two values. */
proposal_number proposer_next_number(const acceptor_state *acceptor, uint64_t epoch,
                                     uint64_t highest_round, id self);
/** Returns how many voters of a view must agree on the next one: a majority, or all of them when a
 * fleet is bootstrapped. */
int proposer_quorum(const view *voting, bool bootstrapping);
/** Initializes a proposal. known is the view that the proposer knows, with epoch 0 if it bootstraps
 * a fleet. self is the proposer's index among the voters, or -1. */
void proposer_init(proposer_state *proposer, const view *known, const view *proposed, int self);
/** Counts the response of one voter. Further responses of the same voter are ignored. */
void proposer_add_result(proposer_state *proposer, int voter_index, const prepare_result *result);
/** Sets *chosen to the view for the accept phase. Returns false while the responses do not yet
 * allow one. */
bool proposer_choose_view(const proposer_state *proposer, const view *known, view *chosen);
/** Returns whether the next view may replace voters. A view that removes a member which may still
 * act must keep them: the voters that granted its leases are the ones that wait for them to expire.
 */
bool proposer_may_replace_voters(int removed_lease_holders);
#endif
