/** A core machine: its start and its place in the view. */
#include "core_internal.h"
#include "decide_lease.h"

member core_self(const core *core) {
  member m = { core->node->settings.self, core->node->settings.zone, "", core->disk_id };
  g_strlcpy(m.addr, core->node->settings.address, sizeof m.addr);
  return m;
}

int core_place(const core *core) {
  if (!core->running)
    return -1;
  member m = core_self(core);
  return member_index(core->view.chain, core->view.chain_length, &m);
}

int core_voter_index(const core *core) {
  member m = core_self(core);
  return member_index(core->view.voters, core->view.voter_count, &m);
}

bool core_whole(const core *core) {
  return core->whole && !core->whole_syncing;
}

bool core_current(const core *core) {
  return core_whole(core) && core->committed.seq >= core->read_at_start;
}

chain_copy core_copy(const core *core) {
  return (chain_copy){ .place = core_place(core),
                       .pending = agreement_vote_pending(core),
                       .whole = core_whole(core),
                       .last = core->last_seq,
                       .committed = core->committed.seq };
}

const member *core_head(const core *core) {
  return core->view.chain_length ? &core->view.chain[0] : NULL;
}

const member *core_tail(const core *core) {
  return core->view.chain_length ? &core->view.chain[core->view.chain_length - 1] : NULL;
}

int core_chain_limit(const core *core) {
  return core->node->settings.chain_members > 0
             ? MIN(core->node->settings.chain_members, CHAIN_MOST)
             : 3;
}

int core_start(core *core, node *node, error *err) {
  memset(core, 0, sizeof *core);
  core->node = node;
  core->whole = true;
  state_init(&core->committed);
  state_init(&core->ordered);
  g_queue_init(&core->recent);
  core->renewed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  condition_init(&core->moved);
  condition_init(&core->work);
  condition_init(&core->room);
  condition_init(&core->lease_wanted);
  core->disk.fold = journal_fold;
  core->disk.base = journal_base;
  core->disk.ctx = core;
  const struct {
    int k;
    node_handler fn;
  } on[] = { { WIRE__ENVELOPE__BODY_SNAPSHOT_REQUEST, on_fetch },
             { WIRE__ENVELOPE__BODY_REPLICATE_REQUEST, on_put },
             { WIRE__ENVELOPE__BODY_PREPARE_REQUEST, on_promise },
             { WIRE__ENVELOPE__BODY_ACCEPT_REQUEST, on_accept },
             { WIRE__ENVELOPE__BODY_VIEW_ANNOUNCEMENT, on_announce },
             { WIRE__ENVELOPE__BODY_MEMBER_LEASE_REQUEST, on_lease },
             { WIRE__ENVELOPE__BODY_BOOTSTRAP_REQUEST, on_found },
             { WIRE__ENVELOPE__BODY_JOIN_REQUEST, on_enrol } };
  for (size_t i = 0; i < G_N_ELEMENTS(on); i++)
    node_register_handler(node, on[i].k, on[i].fn, core);
  enum found what;
  size_t size = node->settings.log_file_bytes ? node->settings.log_file_bytes : 16 << 20;
  int r;
  bool told = false;
  while ((r = store_open(&core->disk, node, size, &what, err)) == E_DISK_FULL || r == E_DISK_SYNC) {
    if (!told)
      log_info(&node->log, "store", "The disk refuses to be opened: %s (code %d).", err->text, r);
    told = true;
    if (!world_sleep(node->world, time_from_ms(500)))
      return E_STOPPING;
  }
  if (r)
    return r;
  if (what == FOUND_BAD)
    log_info(
        &node->log, "store",
        "A record before the end is bad (code %d); this disk starts anew and is mended from the others.",
        E_BAD_RECORD);
  if (what != FOUND_SOUND || !core->disk_id) {
    state_free(&core->committed);
    state_init(&core->committed);
    memset(&core->view, 0, sizeof core->view);
    memset(&core->vote, 0, sizeof core->vote);
    journal_recent_clear(core);
    core->last_seq = 0;
    core->founder_count = 0;
    core->whole = true;
    core->disk_id = node->world->random(node->world) | 1;
    what = FOUND_BLANK;
  }
  if (node->settings.founder_count > 0 && !core->view.epoch) {
    memset(core->founder_addrs, 0, sizeof core->founder_addrs);
    core->founder_count = 0;
    for (int i = 0; i < MIN(node->settings.founder_count, 3); i++) {
      bool twice = false;
      for (int k = 0; k < core->founder_count; k++)
        twice |= !strcmp(core->founder_addrs[k], node->settings.founder_addresses[i]);
      if (!twice)
        g_strlcpy(core->founder_addrs[core->founder_count++], node->settings.founder_addresses[i],
                  sizeof core->founder_addrs[0]);
    }
  }
  r = store_start(&core->disk, what == FOUND_BLANK, err);
  if (r)
    return r;
  core->read_at_start = core->last_seq;
  core->running = true;
  core->link_ok_at = world_now(node->world);
  lease_begin(&core->lease, core->link_ok_at);
  /* what this machine renewed as head of the same view, it renewed before it ended */
  core->head_since = core->lease.up_at;
  core->repair_from = time_add(core->lease.act_from, time_from_ms(200));
  if (agreement_vote_pending(core))
    core->vote_pending_since = world_now(node->world);
  log_info(&node->log, "core", "Disk %016" PRIx64 " is %s, at write %" PRIu64 ", view %" PRIu64 ".",
           core->disk_id, what == FOUND_BLANK ? "blank" : "sound", core->last_seq,
           core->view.epoch);
  if (core->view.epoch) {
    core->committed.fleet = core->view.fleet;
    replication_commit_tail(core);
  }
  task_start(&node->world->tasks, "link", replication_link_run, core);
  task_start(&node->world->tasks, "mend", repair_run, core);
  task_start(&node->world->tasks, "join", join_run, core);
  for (int i = 0; i < VOTERS_MOST; i++) {
    lease_arg *a = g_new(lease_arg, 1);
    *a = (lease_arg){ core, i };
    task_start(&node->world->tasks, "lease", lease_run, a);
  }
  return OK;
}

void core_free(core *core) {
  state_free(&core->committed);
  state_free(&core->ordered);
  g_queue_clear_full(&core->recent, journal_record_free);
  if (core->renewed)
    g_hash_table_destroy(core->renewed);
  snapshots_free(core);
  store_free(&core->disk);
}
