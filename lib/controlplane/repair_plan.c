/** The plan for the next view.
 *
 * The planned chain is the known one without the members that must be removed, followed by the
 * controllers that have caught up and asked to join. Chain members replace the voters outside the
 * chain, except in a view that removes a member which may still act. */
#include "repair_plan.h"
#include "replica.h"

enum {
  /** A successor that has not answered for this many ms is removed: the link to it is broken even
   * if both members hear the voters. */
  SUCCESSOR_TIMEOUT_MS = 1300,
  /** A voter outside the chain is considered lost after this many ms of silence. */
  VOTER_LOST_MS = 20000,
  /** No voter is removed if there are only this many. */
  VOTERS_MIN = 3
};

bool repair_plan_member_is_silent(const replica *replica, const member *member, int64_t ms) {
  if (id_equal(member->self, replica->node->settings.self))
    return member->disk_id != replica->disk_id;
  const peer_node *peer = peer_table_find(replica->node, member->self);
  /* a peer that is not yet known is treated as if it had been heard shortly after the start */
  time_us heard_at =
      peer ? peer->last_heard_at
           : time_add(replica->lease.leases.started_at, time_from_ms(2 * MEMBER_LEASE_EXPIRED_MS));
  return time_reached(world_now(replica->node->world), time_add(heard_at, time_from_ms(ms)));
}

bool repair_plan_member_is_unavailable(const replica *replica, const member *member) {
  if (!id_equal(member->self, replica->node->settings.self)) {
    const peer_node *peer = peer_table_find(replica->node, member->self);
    if (peer && (peer->draining || member_lease_peer_hears_nothing(replica, peer->self)))
      return true;
  }
  return repair_plan_member_is_silent(replica, member, MEMBER_LEASE_EXPIRED_MS);
}

/* whether the member at an index is this member's successor and has not answered for too long */
static bool link_to_member_is_broken(const replica *replica, int index) {
  int own_index = replica_chain_index(replica);
  if (own_index < 0 || index != own_index + 1)
    return false;
  return time_reached(
      world_now(replica->node->world),
      time_add(replica->replication.successor_answered_at, time_from_ms(SUCCESSOR_TIMEOUT_MS)));
}

/* whether a member's controller has asked to join with another disk */
static bool came_back_with_other_disk(const replica *replica, const member *member) {
  bool found = false;
  for (int i = 0; i < JOIN_REQUESTS_MAX; i++) {
    const struct member *candidate = chain_join_candidate(replica, i);
    found |= candidate && id_equal(candidate->self, member->self) &&
             candidate->disk_id != member->disk_id;
  }
  return found;
}

/* plans the chain: the members of the known chain without those that must be removed */
static void plan_chain(const replica *replica, repair_plan *plan) {
  view *next = &plan->proposal.view;
  next->chain_length = 0;
  for (int i = 0; i < replica->view.chain_length; i++) {
    const member *member = &replica->view.chain[i];
    bool unavailable = repair_plan_member_is_unavailable(replica, member);
    bool link_broken = link_to_member_is_broken(replica, i);
    bool other_disk = came_back_with_other_disk(replica, member);
    if (!unavailable && !link_broken && !other_disk) {
      next->chain[next->chain_length++] = *member;
      continue;
    }
    plan->proposal.dropped[plan->proposal.dropped_count++] = member->self;
    plan->proposal.link_broken |= link_broken || other_disk;
    plan->removed_lease_holders += unavailable || link_broken;
    plan->changed = true;
  }
}

/* adds the controllers that have caught up, at the end of the chain */
static void plan_joins(const replica *replica, repair_plan *plan) {
  view *next = &plan->proposal.view;
  if (!next->chain_length)
    return;
  for (int i = 0; i < JOIN_REQUESTS_MAX; i++) {
    const member *candidate = chain_join_candidate(replica, i);
    if (!candidate || next->chain_length >= replica_chain_max(replica) ||
        repair_plan_member_is_unavailable(replica, candidate) ||
        view_chain_index_of_controller(next, candidate->self) >= 0)
      continue;
    next->chain[next->chain_length++] = *candidate;
    plan->changed = true;
  }
}

/* chain members that are not voters; the last ones are used first */
typedef struct {
  const member *members[CHAIN_MAX];
  int count;
} spare_members;

static spare_members find_spare_members(const view *view) {
  spare_members spare = { .count = 0 };
  for (int i = 0; i < view->chain_length; i++)
    if (member_index(view->voters, view->voter_count, &view->chain[i]) < 0)
      spare.members[spare.count++] = &view->chain[i];
  return spare;
}

static bool voter_is_in_chain(const view *view, int voter_index) {
  return member_index(view->chain, view->chain_length, &view->voters[voter_index]) >= 0;
}

/* Replaces voters outside the chain by spare members. With only_replaced_disks, replaces only the
 * voters whose controller is in the chain with another disk. */
static bool replace_voters(view *view, spare_members *spare, bool only_replaced_disks) {
  bool changed = false;
  for (int i = 0; i < view->voter_count && spare->count; i++) {
    if (voter_is_in_chain(view, i))
      continue;
    if (only_replaced_disks && view_chain_index_of_controller(view, view->voters[i].self) < 0)
      continue;
    view->voters[i] = *spare->members[--spare->count];
    changed = true;
  }
  return changed;
}

/* Makes spare members voters until there are as many voters as the chain length allows. Their
 * number is odd, since an even number would tolerate no more failures. */
static bool add_voters(view *view, spare_members *spare, int chain_max) {
  int wanted = (MIN(view->chain_length, chain_max) - 1) / 2 * 2 + 1;
  if (view->voter_count >= wanted || view->voter_count + spare->count < wanted)
    return false;
  while (view->voter_count < wanted)
    view->voters[view->voter_count++] = *spare->members[--spare->count];
  return true;
}

static bool voter_is_lost(const replica *replica, const view *view, int voter_index) {
  return !voter_is_in_chain(view, voter_index) &&
         repair_plan_member_is_silent(replica, &view->voters[voter_index], VOTER_LOST_MS);
}

/* Removes lost voters for which there is no spare member. Removes two at a time, or one if the
 * number of voters is even, so that the number stays or becomes odd. */
static bool remove_lost_voters(const replica *replica, view *view) {
  int lost = 0, to_remove = view->voter_count % 2 ? 2 : 1;
  for (int i = 0; i < view->voter_count; i++)
    lost += voter_is_lost(replica, view, i);
  bool changed = false;
  for (int i = 0;
       i < view->voter_count && view->voter_count > VOTERS_MIN && to_remove && lost >= to_remove;
       i++) {
    if (!voter_is_lost(replica, view, i))
      continue;
    view->voters[i--] = view->voters[--view->voter_count];
    to_remove--;
    lost--;
    changed = true;
  }
  return changed;
}

/* Plans the voters. A view that removes a member which may still act keeps its voters, so that the
 * other members may act immediately. */
static void plan_voters(const replica *replica, repair_plan *plan) {
  view *next = &plan->proposal.view;
  if (!proposer_may_replace_voters(plan->removed_lease_holders) || !next->chain_length)
    return;
  spare_members spare = find_spare_members(next);
  plan->changed |= replace_voters(next, &spare, true);
  plan->changed |= replace_voters(next, &spare, false);
  plan->changed |= add_voters(next, &spare, replica_chain_max(replica));
  plan->changed |= remove_lost_voters(replica, next);
}

repair_plan repair_plan_make(const replica *replica) {
  repair_plan plan = { .proposal = { .view = replica->view } };
  plan.proposal.view.epoch++;
  plan_chain(replica, &plan);
  plan_joins(replica, &plan);
  plan_voters(replica, &plan);
  return plan;
}
