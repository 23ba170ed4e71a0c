#ifndef CONTROLPLANE_REPAIR_PLAN_H
#define CONTROLPLANE_REPAIR_PLAN_H
/** Computes the view that a voter wants next: unavailable members are removed, controllers that
 * have caught up join, and chain members replace the voters outside the chain. Reads the replica
 * and its peers and changes nothing. */
#include "paxos_proposer.h"

/** The plan for the next view. */
typedef struct repair_plan {
  view_proposal proposal;
  /** Number of removed members that may still hold a lease and act. Members whose disk was replaced
   * do not count. */
  int removed_lease_holders;
  /** Whether the planned view differs from the known one in more than its epoch. */
  bool changed;
} repair_plan;

/** Returns the next view that this voter wants. */
repair_plan repair_plan_make(const struct replica *replica);
/** Returns whether a member has not been heard from for ms milliseconds. This controller's own
 * member counts as silent if it has another disk than the controller's current one. */
bool repair_plan_member_is_silent(const struct replica *replica, const member *member, int64_t ms);
/** Returns whether a member should not be in the chain because it is silent, is draining, or hears
 * nothing from this controller. */
bool repair_plan_member_is_unavailable(const struct replica *replica, const member *member);
#endif
