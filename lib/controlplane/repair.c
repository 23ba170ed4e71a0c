/** Repair of the view: drops members that are silent, takes in those that have caught up, gives
 * votes of lost members to others. */
#include "core_internal.h"
#include "decide_vote.h"

bool repair_is_silent(core *core, const member *member, int ms) {
  if (id_equal(member->self, core->node->settings.self))
    return member->disk != core->disk_id;
  peer_node *peer = node_find_peer(core->node, member->self);
  time_us now = world_now(core->node->world);
  return time_reached(
      now, time_add(peer ? peer->last_heard_at
                         : time_add(core->lease.up_at, time_from_ms(2 * LEASE_SILENCE_MS)),
                    time_from_ms(ms)));
}

static bool repair_is_out(core *core, const member *member) {
  peer_node *peer = id_equal(member->self, core->node->settings.self)
                        ? NULL
                        : node_find_peer(core->node, member->self);
  return (peer && (peer->draining || lease_peer_hears_nothing(core, peer->self))) ||
         repair_is_silent(core, member, LEASE_SILENCE_MS);
}

/* A machine that asked to be taken in, lately and under the view that is known here. One that was
 * in the chain and left it has to fetch anew, so what it said under an older view does not stand.
 */
static const member *repair_caller(core *core, size_t k) {
  time_us asked = core->callers[k].at;
  if (!asked.us ||
      time_reached(world_now(core->node->world), time_add(asked, time_from_ms(ASKED_MS))))
    return NULL;
  return chain_may_enrol(&core->view, core->callers[k].epoch) ? &core->callers[k].who : NULL;
}

/* gives the votes of machines that are out of the chain to those in it, and keeps their number odd
 */
static bool repair_voters(core *core, view *view) {
  bool change = false;
  int odd = (MIN(view->chain_length, core_chain_limit(core)) - 1) / 2 * 2 + 1, spare = 0;
  const member *may[CHAIN_MOST];
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
            repair_is_silent(core, &view->voters[i], LONG_GONE_MS);
  for (int i = 0; i < view->voter_count && view->voter_count > 3 && lost >= due && due; i++)
    if (member_index(view->chain, view->chain_length, &view->voters[i]) < 0 &&
        repair_is_silent(core, &view->voters[i], LONG_GONE_MS)) {
      view->voters[i--] = view->voters[--view->voter_count];
      due--;
      change = true;
      lost--;
    }
  return change;
}

/* looks after the view: drops the silent, takes in those who have caught up, ends a vote that hangs
 */
static void repair_view(core *core) {
  world *world = core->node->world;
  time_us now = world_now(world);
  int mine = core_voter_index(core), at = core_place(core), rank = 0;
  if (mine < 0 || !time_reached(now, core->repair_from))
    return;
  view v = core->view;
  v.epoch++;
  v.chain_length = 0;
  char *drop[CHAIN_MOST];
  int drops = 0;
  bool broken = false, change = false;
  int left_out = 0;
  for (int i = 0; i < core->view.chain_length; i++) {
    member *m = &core->view.chain[i];
    bool out = repair_is_out(core, m);
    bool cut = at >= 0 && i == at + 1 &&
               time_reached(now, time_add(core->link_ok_at, time_from_ms(LINK_MS)));
    bool other = false;
    for (size_t k = 0; k < G_N_ELEMENTS(core->callers); k++) {
      const member *caller = repair_caller(core, k);
      other |= caller && id_equal(caller->self, m->self) && caller->disk != m->disk;
    }
    if (out || cut || other) {
      drop[drops++] = m->self.text;
      broken |= cut || other;
      left_out += out || cut;
      change = true;
    } else
      v.chain[v.chain_length++] = *m;
  }
  for (size_t k = 0; k < G_N_ELEMENTS(core->callers); k++) {
    const member *m = repair_caller(core, k);
    if (!m || v.chain_length >= core_chain_limit(core) || repair_is_out(core, m))
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
  if (vote_seats_may_move(left_out) && v.chain_length)
    change |= repair_voters(core, &v);
  bool stuck = agreement_vote_pending(core) &&
               time_reached(now, time_add(core->vote_pending_since, time_from_ms(900)));
  if ((!change && !stuck) || !v.chain_length) {
    core->loss_noticed_at = (time_us){ 0 };
    return;
  }
  if (!core->loss_noticed_at.us)
    core->loss_noticed_at = now;
  for (int i = 0; i < mine; i++)
    rank += !repair_is_out(core, &core->view.voters[i]);
  if (!time_reached(now, time_add(core->loss_noticed_at, time_from_ms(rank * 250))) ||
      !time_reached(
          now, time_add(core->last_proposal_at, time_from_ms(500 + (int)world_random(world, 300)))))
    return;
  core->last_proposal_at = now;
  id lost = id_of_text(drops ? drop[0] : "");
  if (agreement_propose(core, &v, drop, drops, broken))
    log_info(&core->node->log, "core", "Mended the chain%s%s.", drops ? ", without " : "",
             lost.text);
}

void repair_run(void *p) {
  core *core = p;
  while (world_sleep(core->node->world, time_from_ms(100))) {
    bool stall = core->disk.asked > core->disk.done && core->write_locked_since.us &&
                 time_reached(world_now(core->node->world),
                              time_add(core->write_locked_since, time_from_ms(STALL_MS)));
    if (core->disk.asked == core->disk.done)
      core->write_locked_since = (time_us){ 0 };
    else if (!core->write_locked_since.us || core->done_seen != core->disk.done)
      core->write_locked_since = world_now(core->node->world);
    core->done_seen = core->disk.done;
    bool quit = core->disk.broken || stall || core->draining;
    if (quit != core->node->draining) {
      if (quit)
        log_info(&core->node->log, "core", "%s; this machine steps out of the chain.",
                 core->disk.broken ? "The disk refuses writes"
                 : stall           ? "The disk stalls"
                                   : "Asked to stop");
      core->node->draining = quit;
    }
    snapshots_expire(core);
    if (core->view.epoch)
      repair_view(core);
  }
}
