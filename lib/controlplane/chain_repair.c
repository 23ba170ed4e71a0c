/** Repair of the chain.
 *
 * Each voter checks the view ten times a second and computes the view that should come next
 * (repair_plan.c). To avoid competing proposals, a voter waits for a time that grows with the
 * number of live voters before it, plus a random time. A voter also proposes a view when a vote has
 * been pending for so long that its proposer has probably failed.
 *
 * A controller whose disk fails or stalls starts to drain, so that the other voters remove it from
 * the chain. */
#include "chain_repair.h"
#include "replica.h"

enum {
  /** Interval between checks of the view and the disk, in ms. */
  CHECK_INTERVAL_MS = 100,
  /** Delay of the first proposal after the process may act, in ms, so that its heartbeats have
   * arrived by then. */
  START_DELAY_MS = 200,
  /** Minimum time between entering a view and proposing the next one, in ms. */
  REPAIR_DELAY_MS = 500,
  /** Minimum time between two proposals of one voter, and the maximum random addition to it, in ms.
   */
  PROPOSAL_INTERVAL_MS = 500,
  PROPOSAL_JITTER_MS = 300,
  /** Delay of a voter's proposal for each live voter before it, in ms. */
  RANK_DELAY_MS = 250,
  /** A voter makes a new proposal once the outcome of a vote has been unknown for this many ms. */
  STUCK_VOTE_MS = 900,
  /** A disk is considered stalled if it has synced nothing for this many ms while entries wait. */
  DISK_STALL_MS = 2000
};

void chain_repair_init(chain_repair_state *repair, time_us may_act_at) {
  memset(repair, 0, sizeof *repair);
  repair->not_before = time_add(may_act_at, time_from_ms(START_DELAY_MS));
}

void chain_repair_on_new_view(chain_repair_state *repair, time_us now) {
  repair->not_before = time_add(now, time_from_ms(REPAIR_DELAY_MS));
  repair->change_needed_at = (time_us){ 0 };
}

static bool vote_is_stuck(const replica *replica, time_us now) {
  return view_change_prepare_pending(replica) &&
         time_reached(now, time_add(replica->view_change.prepare_pending_since,
                                    time_from_ms(STUCK_VOTE_MS)));
}

/* returns how long this voter waits for the voters before it to propose the change */
static time_us rank_delay(const replica *replica) {
  int live_voters_before = 0;
  for (int i = 0; i < replica_voter_index(replica); i++)
    live_voters_before += !repair_plan_member_is_unavailable(replica, &replica->view.voters[i]);
  return time_from_ms(live_voters_before * RANK_DELAY_MS);
}

/* whether this voter has waited long enough to propose a change itself */
static bool may_propose_now(const replica *replica, time_us now) {
  const chain_repair_state *repair = &replica->chain_repair;
  if (!time_reached(now, time_add(repair->change_needed_at, rank_delay(replica))))
    return false;
  int64_t interval_ms =
      PROPOSAL_INTERVAL_MS + (int)world_random(replica->node->world, PROPOSAL_JITTER_MS);
  return time_reached(now, time_add(repair->last_proposal_at, time_from_ms(interval_ms)));
}

/* proposes the next view if one is needed */
static void repair_view(replica *replica) {
  chain_repair_state *repair = &replica->chain_repair;
  time_us now = world_now(replica->node->world);
  if (replica_voter_index(replica) < 0 || !time_reached(now, repair->not_before))
    return;
  repair_plan plan = repair_plan_make(replica);
  if ((!plan.changed && !vote_is_stuck(replica, now)) || !plan.proposal.view.chain_length) {
    repair->change_needed_at = (time_us){ 0 };
    return;
  }
  if (!repair->change_needed_at.us)
    repair->change_needed_at = now;
  if (!may_propose_now(replica, now))
    return;
  repair->last_proposal_at = now;
  if (paxos_propose(replica, &plan.proposal))
    log_info(&replica->node->log, "replica", "Changed the view%s%s.",
             plan.proposal.dropped_count ? ", removed " : "", plan.proposal.dropped[0].text);
}

/* whether entries have waited for too long while the disk synced none */
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

/* makes this process drain while its disk does not work, or permanently once it was asked to shut
 * down */
static void update_draining(replica *replica) {
  bool stalls = disk_stalls(replica);
  bool draining = replica->wal.failed || stalls || replica->draining;
  if (draining == replica->node->draining)
    return;
  if (draining)
    log_info(&replica->node->log, "replica", "%s; this controller leaves the chain.",
             replica->wal.failed ? "The disk refuses writes"
             : stalls            ? "The disk is stalled"
                                 : "Shutdown requested");
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
