/** Repair of the view and of this process's part in it.
 *
 * Each voter looks at the view ten times a second and works out the next one that it wants: without
 * the members that are lost, with the controllers that have caught up and asked to join, and with
 * votes moved to members of the chain. To avoid proposals that compete, a voter waits longer the
 * more live voters come before it, and some random time. A voter also proposes a view when a vote
 * has been under way for so long that its proposer is probably lost.
 *
 * A process whose disk fails or stalls drains: the others leave it out. */
#include "chain_repair.h"
#include "replica.h"

enum {
  /** The view and the disk are checked every so many ms. */
  CHECK_INTERVAL_MS = 100,
  /** The first view after the start is proposed so many ms after the process may act, so that its
   * heartbeats have arrived. */
  START_DELAY_MS = 200,
  /** After a view was entered, the next one is not proposed for so many ms. */
  REPAIR_DELAY_MS = 500,
  /** At least so many ms, and a random part of so many more, lie between two proposals of one
   * voter. */
  PROPOSAL_INTERVAL_MS = 500,
  PROPOSAL_JITTER_MS = 300,
  /** A voter waits so many ms for each live voter that comes before it. */
  RANK_DELAY_MS = 250,
  /** A successor that has answered nothing for so many ms is left out: the link to it is broken
   * though both may hear the voters. */
  SUCCESSOR_TIMEOUT_MS = 1300,
  /** A vote whose outcome has been unknown for so many ms is taken up. */
  STUCK_VOTE_MS = 900,
  /** A voter out of the chain that was silent for so many ms counts as lost. */
  VOTER_LOST_MS = 20000,
  /** With so few voters none is removed. */
  VOTERS_MIN = 3,
  /** A disk that has synced nothing for so many ms though entries wait counts as stalled. */
  DISK_STALL_MS = 2000
};

/* the next view that this voter wants */
typedef struct {
  view_proposal proposal;
  /* members left out that may still act, as opposed to those that have another disk now */
  int left_out;
  /* whether the view differs from the known one in more than its epoch */
  bool changed;
} repair_plan;

void chain_repair_init(chain_repair_state *repair, time_us may_act_at) {
  memset(repair, 0, sizeof *repair);
  repair->not_before = time_add(may_act_at, time_from_ms(START_DELAY_MS));
}

void chain_repair_on_new_view(chain_repair_state *repair, time_us now) {
  repair->not_before = time_add(now, time_from_ms(REPAIR_DELAY_MS));
  repair->change_needed_at = (time_us){ 0 };
}

bool chain_repair_is_silent(const replica *replica, const member *member, int64_t ms) {
  if (id_equal(member->self, replica->node->settings.self))
    return member->disk_id != replica->disk_id;
  const peer_node *peer = node_find_peer(replica->node, member->self);
  /* a peer that is not known yet counts as heard soon after the start */
  time_us heard_at =
      peer ? peer->last_heard_at
           : time_add(replica->lease.leases.started_at, time_from_ms(2 * MEMBER_LEASE_EXPIRED_MS));
  return time_reached(world_now(replica->node->world), time_add(heard_at, time_from_ms(ms)));
}

/* whether a member is lost, drains, or hears nothing from here, so that it should not be in the
 * chain */
static bool is_out(const replica *replica, const member *member) {
  if (!id_equal(member->self, replica->node->settings.self)) {
    const peer_node *peer = node_find_peer(replica->node, member->self);
    if (peer && (peer->draining || member_lease_peer_hears_nothing(replica, peer->self)))
      return true;
  }
  return chain_repair_is_silent(replica, member, MEMBER_LEASE_EXPIRED_MS);
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
    bool out = is_out(replica, member);
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
        is_out(replica, candidate) || view_chain_index_of_controller(next, candidate->self) >= 0)
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
         chain_repair_is_silent(replica, &view->voters[voter_index], VOTER_LOST_MS);
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

static repair_plan make_plan(const replica *replica) {
  repair_plan plan = { .proposal = { .view = replica->view } };
  plan.proposal.view.epoch++;
  plan_chain(replica, &plan);
  plan_joins(replica, &plan);
  plan_voters(replica, &plan);
  return plan;
}

static bool vote_is_stuck(const replica *replica, time_us now) {
  return view_change_prepare_pending(replica) &&
         time_reached(now, time_add(replica->view_change.prepare_pending_since,
                                    time_from_ms(STUCK_VOTE_MS)));
}

/* how long this voter waits for those before it to propose the change */
static time_us rank_delay(const replica *replica) {
  int live_voters_before = 0;
  for (int i = 0; i < replica_voter_index(replica); i++)
    live_voters_before += !is_out(replica, &replica->view.voters[i]);
  return time_from_ms(live_voters_before * RANK_DELAY_MS);
}

/* whether it is this voter's turn to propose a change that has been needed for some time */
static bool may_propose_now(const replica *replica, time_us now) {
  const chain_repair_state *repair = &replica->chain_repair;
  if (!time_reached(now, time_add(repair->change_needed_at, rank_delay(replica))))
    return false;
  int64_t interval_ms =
      PROPOSAL_INTERVAL_MS + (int)world_random(replica->node->world, PROPOSAL_JITTER_MS);
  return time_reached(now, time_add(repair->last_proposal_at, time_from_ms(interval_ms)));
}

/* proposes the next view when one is needed */
static void repair_view(replica *replica) {
  chain_repair_state *repair = &replica->chain_repair;
  time_us now = world_now(replica->node->world);
  if (replica_voter_index(replica) < 0 || !time_reached(now, repair->not_before))
    return;
  repair_plan plan = make_plan(replica);
  if ((!plan.changed && !vote_is_stuck(replica, now)) || !plan.proposal.view.chain_length) {
    repair->change_needed_at = (time_us){ 0 };
    return;
  }
  if (!repair->change_needed_at.us)
    repair->change_needed_at = now;
  if (!may_propose_now(replica, now))
    return;
  repair->last_proposal_at = now;
  if (view_change_propose(replica, &plan.proposal))
    log_info(&replica->node->log, "replica", "Changed the view%s%s.",
             plan.proposal.dropped_count ? ", left out " : "", plan.proposal.dropped[0].text);
}

/* whether entries have waited for the disk for too long while it synced none */
static bool disk_stalls(replica *replica) {
  chain_repair_state *repair = &replica->chain_repair;
  const wal *wal = &replica->wal;
  time_us now = world_now(replica->node->world);
  bool waits = wal_has_unsynced(wal);
  bool stalls = waits && repair->wal_waiting_since.us &&
                time_reached(now, time_add(repair->wal_waiting_since, time_from_ms(DISK_STALL_MS)));
  if (!waits)
    repair->wal_waiting_since = (time_us){ 0 };
  else if (!repair->wal_waiting_since.us || repair->wal_synced_seen != wal->synced)
    repair->wal_waiting_since = now;
  repair->wal_synced_seen = wal->synced;
  return stalls;
}

/* lets this process drain while its disk does not work, or for good once it was asked to */
static void update_draining(replica *replica) {
  bool stalls = disk_stalls(replica);
  bool draining = replica->wal.failed || stalls || replica->draining;
  if (draining == replica->node->draining)
    return;
  if (draining)
    log_info(&replica->node->log, "replica", "%s; this controller leaves the chain.",
             replica->wal.failed ? "The disk refuses writes"
             : stalls            ? "The disk stalls"
                                 : "Asked to stop");
  replica->node->draining = draining;
}

void chain_repair_run(void *ctx) {
  replica *replica = ctx;
  world *world = replica->node->world;
  while (world_sleep(world, time_from_ms(CHECK_INTERVAL_MS))) {
    update_draining(replica);
    snapshot_cache_expire(&replica->snapshot_cache, world_now(world));
    if (replica->view.epoch)
      repair_view(replica);
  }
}
