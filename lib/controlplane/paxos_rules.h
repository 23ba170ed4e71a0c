#ifndef CONTROLPLANE_PAXOS_RULES_H
#define CONTROLPLANE_PAXOS_RULES_H
/** Single-decree Paxos on the next view: the decisions of acceptor and proposer as functions of
 * their state and of one message. Nothing here waits, sends, writes or reads a clock;
 * paxos_acceptor.c and paxos_proposer.c do that, and tests/model runs the same functions over many
 * orders of events. */
#include "view.h"

/** A proposal number (ballot): ordered by round, then by the proposer's name. It stands for one
 * value, see proposer_next_number. */
typedef struct proposal_number {
  uint64_t round;
  id proposer;
} proposal_number;

/** What an acceptor has promised and accepted for one epoch. It is synced to the disk before a
 * response rests on it. */
typedef struct acceptor_state {
  /** The epoch of the view that is voted on; 0: it has taken part in no vote. */
  uint64_t epoch;
  proposal_number promised;
  /** The last proposal that was accepted, and its value; valid when has_accepted is set. */
  proposal_number accepted;
  view value;
  bool has_accepted;
} acceptor_state;

/** What an acceptor has to do before it responds to a PrepareRequest or AcceptRequest. */
typedef enum acceptor_action {
  /** The epoch is decided already: respond with the known view. */
  ACCEPTOR_KNOWS_NEWER,
  /** The state is unchanged: respond with what acceptor_has_promised or acceptor_has_accepted
   * returns. */
  ACCEPTOR_RESPOND,
  /** The state has changed: sync it to the disk, and only then respond. */
  ACCEPTOR_SYNC
} acceptor_action;

/** Returns less than, equal to or greater than 0, like strcmp. */
int proposal_number_compare(const proposal_number *a, const proposal_number *b);
/** Reads a proposal number from a message; NULL gives the lowest one. */
proposal_number proposal_number_unpack(const Wire__ProposalNumber *message);
/** Fills a message with a proposal number; it points to the proposer's name in *number. */
void proposal_number_pack(Wire__ProposalNumber *message, const proposal_number *number);

/** Returns whether an acceptor that knows the view of an epoch has promised a proposal for the next
 * one. It then neither grants leases nor takes writes in the view that it knows. */
bool acceptor_prepare_pending(const acceptor_state *acceptor, uint64_t known_epoch);
/** Applies a PrepareRequest for an epoch at an acceptor that knows the view of known_epoch. */
acceptor_action acceptor_prepare(acceptor_state *acceptor, uint64_t known_epoch, uint64_t epoch,
                                 proposal_number number);
/** Returns whether, after the sync, a promise of this number may be sent. */
bool acceptor_has_promised(const acceptor_state *acceptor, uint64_t known_epoch, uint64_t epoch,
                           proposal_number number);
/** Applies an AcceptRequest for an epoch at an acceptor that knows the view of known_epoch. */
acceptor_action acceptor_accept(acceptor_state *acceptor, uint64_t known_epoch, uint64_t epoch,
                                proposal_number number, const view *value);
/** Returns whether, after the sync, an acceptance of this number may be sent. */
bool acceptor_has_accepted(const acceptor_state *acceptor, uint64_t epoch, proposal_number number);

/** One acceptor's response to a PrepareRequest. */
typedef struct prepare_result {
  bool promised;
  /** Whether the acceptor's own replica is in sync, and its disk. */
  bool in_sync;
  uint64_t disk_id;
  /** The last proposal that it had accepted, and its value; valid when has_accepted is set. */
  bool has_accepted;
  proposal_number accepted;
  view value;
} prepare_result;

/** What a proposer has learnt from the acceptors in the prepare phase. */
typedef struct proposer_state {
  /** The view that the proposer wants. */
  view proposed;
  /** The view that it has to propose: the value of the highest proposal accepted so far, else the
   * proposed view. */
  view value;
  /** The number under which that value was accepted; round 0: none. */
  proposal_number accepted;
  bool bootstrapping, head_changes, own_promise;
  /** Which acceptors' promises are counted, by their index among the voters. */
  bool counted[VOTERS_MAX];
  /** Which members of the proposed chain are known to be, or not to be, in sync. */
  bool in_sync[CHAIN_MAX], out_of_sync[CHAIN_MAX];
  /** The proposer's own index among the voters, or -1. */
  int self;
  int promises, quorum;
} proposer_state;

/** Returns the number for the next proposal of an epoch: its round is above all that this proposer
 * has promised or seen, so that it never uses one number for two values. */
proposal_number proposer_next_number(const acceptor_state *acceptor, uint64_t epoch,
                                     uint64_t highest_round, id self);
/** Returns how many voters of a view have to agree on the next one: a majority; for the bootstrap
 * of a fleet all of them. */
int proposer_quorum(const view *voting, bool bootstrapping);
/** Starts a proposal. known is the view that the proposer knows, with epoch 0 when it bootstraps a
 * fleet; self is the proposer's index among the voters, or -1. */
void proposer_init(proposer_state *proposer, const view *known, const view *proposed, int self);
/** Counts the response of one voter; a second one of the same voter changes nothing. */
void proposer_add_result(proposer_state *proposer, int voter_index, const prepare_result *result);
/** Sets *chosen to the view for the accept phase. Returns false while the responses do not allow
 * any. */
bool proposer_choose_view(const proposer_state *proposer, const view *known, view *chosen);
/** Returns whether the next view may replace voters: not one that leaves out a member that may
 * still act, since the voters that granted its leases are the ones that wait for their end. */
bool proposer_may_replace_voters(int left_out);
#endif
