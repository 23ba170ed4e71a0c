#ifndef CONTROLPLANE_PAXOS_PROPOSER_H
#define CONTROLPLANE_PAXOS_PROPOSER_H
/** The proposer's side of the vote on the next view. */
#include "view.h"

struct replica;

/** A proposal for the next view. */
typedef struct view_proposal {
  view view;
  /** The members that the view leaves out, for the voters to check that they are silent. */
  id dropped[CHAIN_MAX];
  int dropped_count;
  /** The members are left out though they may be heard by the voters: a link of the chain is
   * broken, or a member has another disk now. */
  bool link_broken;
} view_proposal;

/** Proposes a view for the epoch after the known one. Returns whether a view was decided and
 * entered; it may be another proposer's. */
bool paxos_propose(struct replica *replica, const view_proposal *proposal);
#endif
