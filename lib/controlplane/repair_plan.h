#ifndef CONTROLPLANE_REPAIR_PLAN_H
#define CONTROLPLANE_REPAIR_PLAN_H
/** The next view that a voter wants: members that are lost are left out, members that have caught
 * up join, and votes move to members of the chain. It reads the replica and its peers, and changes
 * nothing. */
#include "paxos_proposer.h"

/** The plan of the next view. */
typedef struct repair_plan {
  view_proposal proposal;
  /** Members left out that may still act, as opposed to those that have another disk now. */
  int left_out;
  /** Whether the view differs from the known one in more than its epoch. */
  bool changed;
} repair_plan;

/** Returns the next view that this voter wants. */
repair_plan repair_plan_make(const struct replica *replica);
/** Returns whether a member has not been heard for so many ms. This controller's own member counts
 * as silent when it has another disk. */
bool repair_plan_member_is_silent(const struct replica *replica, const member *member, int64_t ms);
/** Returns whether a member is lost, drains, or hears nothing from here, so that it should not be
 * in the chain. */
bool repair_plan_member_is_out(const struct replica *replica, const member *member);
#endif
