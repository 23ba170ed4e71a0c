/** Repair of the view: drops members that are silent, takes in those that have caught up, gives
 * votes of lost members to others. */
#include "replica_internal.h"
#include "paxos_rules.h"

bool chain_repair_is_silent(replica *replica, const member *member, int ms) {
  if (id_equal(member->self, replica->node->settings.self))
    return member->disk_id != replica->disk_id;
  peer_node *peer = node_find_peer(replica->node, member->self);
  time_us now = world_now(replica->node->world);
  return time_reached(now, time_add(peer ? peer->last_heard_at
                                         : time_add(replica->leases.started_at,
                                                    time_from_ms(2 * MEMBER_LEASE_EXPIRED_MS)),
                                    time_from_ms(ms)));
}

static bool chain_repair_is_out(replica *replica, const member *member) {
  peer_node *peer = id_equal(member->self, replica->node->settings.self)
                        ? NULL
                        : node_find_peer(replica->node, member->self);
  return (peer && (peer->draining || member_lease_peer_hears_nothing(replica, peer->self))) ||
         chain_repair_is_silent(replica, member, MEMBER_LEASE_EXPIRED_MS);
}

/* A machine that asked to be taken in, lately and under the view that is known here. One that was
 * in the chain and left it has to fetch anew, so what it said under an older view does not stand.
 */
static const member *chain_repair_join_candidate(replica *replica, size_t k) {
  time_us asked = replica->join_requests[k].at;
  if (!asked.us || time_reached(world_now(replica->node->world),
                                time_add(asked, time_from_ms(JOIN_REQUEST_VALID_MS))))
    return NULL;
  return chain_may_join(&replica->view, replica->join_requests[k].epoch)
             ? &replica->join_requests[k].who
             : NULL;
}

/* gives the votes of machines that are out of the chain to those in it, and keeps their number odd
 */
static bool chain_repair_voters(replica *replica, view *view) {
  bool change = false;
  int odd = (MIN(view->chain_length, replica_chain_max(replica)) - 1) / 2 * 2 + 1, spare = 0;
  const member *may[CHAIN_MAX];
  for (int i = 0; i < view->chain_length; i++)
    if (member_index(view->voters, view->voter_count, &view->chain[i]) < 0)
      may[spare++] = &view->chain[i];
  for (int turn = 0; turn < 2; turn++)
    for (int i = 0; i < view->voter_count && spare; i++) {
      if (member_index(view->chain, view->chain_length, &view->voters[i]) >= 0)
        continue;
      /* first those whose disk is gone for good: its machine has come back with another */
      bool gone = false;
      for (int k = 0; k < view->chain_length; k++)
        gone |= id_equal(view->chain[k].self, view->voters[i].self);
      if (!gone && !turn)
        continue;
      view->voters[i] = *may[--spare];
      change = true;
    }
  if (view->voter_count < odd && view->voter_count + spare >= odd)
    for (; view->voter_count < odd; change = true)
      view->voters[view->voter_count++] = *may[--spare];
  int lost = 0, due = view->voter_count % 2 ? 2 : 1;
  for (int i = 0; i < view->voter_count; i++)
    lost += member_index(view->chain, view->chain_length, &view->voters[i]) < 0 &&
            chain_repair_is_silent(replica, &view->voters[i], VOTER_LOST_MS);
  for (int i = 0; i < view->voter_count && view->voter_count > 3 && lost >= due && due; i++)
    if (member_index(view->chain, view->chain_length, &view->voters[i]) < 0 &&
        chain_repair_is_silent(replica, &view->voters[i], VOTER_LOST_MS)) {
      view->voters[i--] = view->voters[--view->voter_count];
      due--;
      change = true;
      lost--;
    }
  return change;
}

/* looks after the view: drops the silent, takes in those who have caught up, ends a vote that hangs
 */
static void chain_repair_view(replica *replica) {
  world *world = replica->node->world;
  time_us now = world_now(world);
  int mine = replica_voter_index(replica), at = replica_chain_index(replica), rank = 0;
  if (mine < 0 || !time_reached(now, replica->repair_at))
    return;
  view v = replica->view;
  v.epoch++;
  v.chain_length = 0;
  char *drop[CHAIN_MAX];
  int drops = 0;
  bool broken = false, change = false;
  int left_out = 0;
  for (int i = 0; i < replica->view.chain_length; i++) {
    member *m = &replica->view.chain[i];
    bool out = chain_repair_is_out(replica, m);
    bool cut = at >= 0 && i == at + 1 &&
               time_reached(now, time_add(replica->successor_answered_at,
                                          time_from_ms(SUCCESSOR_TIMEOUT_MS)));
    bool other = false;
    for (size_t k = 0; k < G_N_ELEMENTS(replica->join_requests); k++) {
      const member *caller = chain_repair_join_candidate(replica, k);
      other |= caller && id_equal(caller->self, m->self) && caller->disk_id != m->disk_id;
    }
    if (out || cut || other) {
      drop[drops++] = m->self.text;
      broken |= cut || other;
      left_out += out || cut;
      change = true;
    } else
      v.chain[v.chain_length++] = *m;
  }
  for (size_t k = 0; k < G_N_ELEMENTS(replica->join_requests); k++) {
    const member *m = chain_repair_join_candidate(replica, k);
    if (!m || v.chain_length >= replica_chain_max(replica) || chain_repair_is_out(replica, m))
      continue;
    bool there = false;
    for (int i = 0; i < v.chain_length; i++)
      there |= id_equal(v.chain[i].self, m->self);
    if (there || !v.chain_length)
      continue;
    v.chain[v.chain_length++] = *m;
    change = true;
  }
  /* a view that leaves a machine out keeps its voters, so that the others may act at once */
  if (proposer_may_replace_voters(left_out) && v.chain_length)
    change |= chain_repair_voters(replica, &v);
  bool stuck = view_change_prepare_pending(replica) &&
               time_reached(now, time_add(replica->prepare_pending_since, time_from_ms(900)));
  if ((!change && !stuck) || !v.chain_length) {
    replica->loss_noticed_at = (time_us){ 0 };
    return;
  }
  if (!replica->loss_noticed_at.us)
    replica->loss_noticed_at = now;
  for (int i = 0; i < mine; i++)
    rank += !chain_repair_is_out(replica, &replica->view.voters[i]);
  if (!time_reached(now, time_add(replica->loss_noticed_at, time_from_ms(rank * 250))) ||
      !time_reached(now, time_add(replica->last_proposal_at,
                                  time_from_ms(500 + (int)world_random(world, 300)))))
    return;
  replica->last_proposal_at = now;
  id lost = id_of_text(drops ? drop[0] : "");
  if (view_change_propose(replica, &v, drop, drops, broken))
    log_info(&replica->node->log, "core", "Mended the chain%s%s.", drops ? ", without " : "",
             lost.text);
}

void chain_repair_run(void *p) {
  replica *replica = p;
  while (world_sleep(replica->node->world, time_from_ms(100))) {
    bool stall = replica->wal.appended > replica->wal.synced && replica->write_locked_since.us &&
                 time_reached(world_now(replica->node->world),
                              time_add(replica->write_locked_since, time_from_ms(DISK_STALL_MS)));
    if (replica->wal.appended == replica->wal.synced)
      replica->write_locked_since = (time_us){ 0 };
    else if (!replica->write_locked_since.us || replica->wal_synced_seen != replica->wal.synced)
      replica->write_locked_since = world_now(replica->node->world);
    replica->wal_synced_seen = replica->wal.synced;
    bool quit = replica->wal.failed || stall || replica->draining;
    if (quit != replica->node->draining) {
      if (quit)
        log_info(&replica->node->log, "core", "%s; this machine steps out of the chain.",
                 replica->wal.failed ? "The disk refuses writes"
                 : stall             ? "The disk stalls"
                                     : "Asked to stop");
      replica->node->draining = quit;
    }
    snapshots_expire(replica);
    if (replica->view.epoch)
      chain_repair_view(replica);
  }
}
