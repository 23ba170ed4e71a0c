/** The next view that a voter wants.
 *
 * The chain is the known one without the members that are lost, and with the controllers that have
 * caught up and asked to join at its end. Votes of members out of the chain move to members in it,
 * but not in a view that leaves a member out. */
#include "repair_plan.h"
#include "replica.h"

enum {
  /** A successor that has answered nothing for so many ms is left out: the link to it is broken
   * though both may hear the voters. */
  SUCCESSOR_TIMEOUT_MS = 1300,
  /** A voter out of the chain that was silent for so many ms counts as lost. */
  VOTER_LOST_MS = 20000,
  /** With so few voters none is removed. */
  VOTERS_MIN = 3
};

bool repair_plan_member_is_silent(const replica *replica, const member *member, int64_t ms) {
  if (id_equal(member->self, replica->node->settings.self))
    return member->disk_id != replica->disk_id;
  const peer_node *peer = peer_table_find(replica->node, member->self);
  /* a peer that is not known yet counts as heard soon after the start */
  time_us heard_at =
      peer ? peer->last_heard_at
           : time_add(replica->lease.leases.started_at, time_from_ms(2 * MEMBER_LEASE_EXPIRED_MS));
  return time_reached(world_now(replica->node->world), time_add(heard_at, time_from_ms(ms)));
}

bool repair_plan_member_is_out(const replica *replica, const member *member) {
  if (!id_equal(member->self, replica->node->settings.self)) {
    const peer_node *peer = peer_table_find(replica->node, member->self);
    if (peer && (peer->draining || member_lease_peer_hears_nothing(replica, peer->self)))
      return true;
  }
  return repair_plan_member_is_silent(replica, member, MEMBER_LEASE_EXPIRED_MS);
}

/* whether the member with an index is this member's successor and has not answered for long */
static bool link_to_member_is_broken(const replica *replica, int index) {
  int own_index = replica_chain_index(replica);
  if (own_index < 0 || index != own_index + 1)
    return false;
  return time_reached(
      world_now(replica->node->world),
      time_add(replica->replication.successor_answered_at, time_from_ms(SUCCESSOR_TIMEOUT_MS)));
}

/* whether the member's controller has asked to join with another disk */
static bool came_back_with_other_disk(const replica *replica, const member *member) {
  bool found = false;
  for (int i = 0; i < JOIN_REQUESTS_MAX; i++) {
    const struct member *candidate = chain_join_candidate(replica, i);
    found |= candidate && id_equal(candidate->self, member->self) &&
             candidate->disk_id != member->disk_id;
  }
  return found;
}

/* plans the chain: the members of the known one without those that have to be left out */
static void plan_chain(const replica *replica, repair_plan *plan) {
  view *next = &plan->proposal.view;
  next->chain_length = 0;
  for (int i = 0; i < replica->view.chain_length; i++) {
    const member *member = &replica->view.chain[i];
    bool out = repair_plan_member_is_out(replica, member);
    bool link_broken = link_to_member_is_broken(replica, i);
    bool other_disk = came_back_with_other_disk(replica, member);
    if (!out && !link_broken && !other_disk) {
      next->chain[next->chain_length++] = *member;
      continue;
    }
    plan->proposal.dropped[plan->proposal.dropped_count++] = member->self;
    plan->proposal.link_broken |= link_broken || other_disk;
    plan->left_out += out || link_broken;
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
        repair_plan_member_is_out(replica, candidate) ||
        view_chain_index_of_controller(next, candidate->self) >= 0)
      continue;
    next->chain[next->chain_length++] = *candidate;
    plan->changed = true;
  }
}

/* members of the chain without a vote, used from the end */
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

/* Gives the votes of members out of the chain to spare members; with only_replaced_disks only the
 * votes of disks whose controller is in the chain with another one. */
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

/* Gives votes to spare members until there are as many voters as the chain's length allows; an odd
 * number, since one more would bear no more losses. */
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

/* Takes the votes of lost members, for which there is no spare one, so that the number of voters
 * stays or becomes odd: two at a time, or one of an even number. */
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

/* plans the voters; a view that leaves a member out keeps them, so that the others may act at once
 */
static void plan_voters(const replica *replica, repair_plan *plan) {
  view *next = &plan->proposal.view;
  if (!proposer_may_replace_voters(plan->left_out) || !next->chain_length)
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
