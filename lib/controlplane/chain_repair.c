/** When this process proposes a repair of the view, and its own part in the chain.
 *
 * Each voter looks at the view ten times a second and works out the next one that it wants
 * (repair_plan.c). To avoid proposals that compete, a voter waits longer the more live voters come
 * before it, and some random time. A voter also proposes a view when a vote has been under way for
 * so long that its proposer is probably lost.
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
  /** A vote whose outcome has been unknown for so many ms is taken up. */
  STUCK_VOTE_MS = 900,
  /** A disk that has synced nothing for so many ms though entries wait counts as stalled. */
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

/* how long this voter waits for those before it to propose the change */
static time_us rank_delay(const replica *replica) {
  int live_voters_before = 0;
  for (int i = 0; i < replica_voter_index(replica); i++)
    live_voters_before += !repair_plan_member_is_out(replica, &replica->view.voters[i]);
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
