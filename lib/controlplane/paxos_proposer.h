#ifndef CONTROLPLANE_PAXOS_PROPOSER_H
#define CONTROLPLANE_PAXOS_PROPOSER_H
/** The Paxos proposer for votes on the next view. */
#include "view.h"

struct replica;

/** A proposal for the next view. */
typedef struct view_proposal {
  view view;
  /** The members that the view removes; the voters check that these are silent. */
  id dropped[CHAIN_MAX];
  int dropped_count;
  /** The members are removed even if the voters can hear them, because a link of the chain is
   * broken or a member's disk was replaced. */
  bool link_broken;
} view_proposal;

/** Proposes a view for the epoch after the known one. Returns whether a view was decided and
 * entered; it may be the view of another proposer. */
bool paxos_propose(struct replica *replica, const view_proposal *proposal);
#endif
