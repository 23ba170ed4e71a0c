/** A core machine: its start and its place in the view. */
#include "replica_internal.h"
#include "member_lease_rules.h"

member replica_as_member(const replica *replica) {
  member m = { replica->node->settings.self, replica->node->settings.zone, "", replica->disk_id };
  g_strlcpy(m.address, replica->node->settings.address, sizeof m.address);
  return m;
}

int replica_chain_index(const replica *replica) {
  if (!replica->running)
    return -1;
  member m = replica_as_member(replica);
  return member_index(replica->view.chain, replica->view.chain_length, &m);
}

int replica_voter_index(const replica *replica) {
  member m = replica_as_member(replica);
  return member_index(replica->view.voters, replica->view.voter_count, &m);
}

bool replica_in_sync(const replica *replica) {
  return replica->in_sync && !replica->in_sync_marking;
}

bool replica_is_current(const replica *replica) {
  return replica_in_sync(replica) && replica->committed.seq >= replica->last_seq_at_start;
}

chain_position replica_chain_position(const replica *replica) {
  return (chain_position){ .index = replica_chain_index(replica),
                           .prepare_pending = view_change_prepare_pending(replica),
                           .in_sync = replica_in_sync(replica),
                           .last = replica->last_seq,
                           .committed = replica->committed.seq };
}

const member *replica_head(const replica *replica) {
  return replica->view.chain_length ? &replica->view.chain[0] : NULL;
}

const member *replica_tail(const replica *replica) {
  return replica->view.chain_length ? &replica->view.chain[replica->view.chain_length - 1] : NULL;
}

int replica_chain_max(const replica *replica) {
  return replica->node->settings.chain_members > 0
             ? MIN(replica->node->settings.chain_members, CHAIN_MAX)
             : 3;
}

int replica_start(replica *replica, node *node, error *err) {
  memset(replica, 0, sizeof *replica);
  replica->node = node;
  replica->in_sync = true;
  state_init(&replica->committed);
  state_init(&replica->ordered);
  g_queue_init(&replica->recent_records);
  replica->singleton_renewed_at = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  condition_init(&replica->state_changed);
  condition_init(&replica->replication_wanted);
  condition_init(&replica->write_unlocked);
  condition_init(&replica->lease_renewal_wanted);
  replica->wal.registry_update = wal_entries_replay;
  replica->wal.write_base = wal_entries_base;
  replica->wal.ctx = replica;
  const struct {
    int k;
    node_handler fn;
  } on[] = { { WIRE__ENVELOPE__BODY_SNAPSHOT_REQUEST, snapshot_on_request },
             { WIRE__ENVELOPE__BODY_REPLICATE_REQUEST, replication_on_request },
             { WIRE__ENVELOPE__BODY_PREPARE_REQUEST, view_change_on_prepare },
             { WIRE__ENVELOPE__BODY_ACCEPT_REQUEST, view_change_on_accept },
             { WIRE__ENVELOPE__BODY_VIEW_ANNOUNCEMENT, view_change_on_announcement },
             { WIRE__ENVELOPE__BODY_MEMBER_LEASE_REQUEST, member_lease_on_request },
             { WIRE__ENVELOPE__BODY_BOOTSTRAP_REQUEST, bootstrap_on_request },
             { WIRE__ENVELOPE__BODY_JOIN_REQUEST, chain_join_on_request } };
  for (size_t i = 0; i < G_N_ELEMENTS(on); i++)
    node_register_handler(node, on[i].k, on[i].fn, replica);
  enum wal_condition what;
  size_t size = node->settings.log_file_bytes ? node->settings.log_file_bytes : 16 << 20;
  int r;
  bool told = false;
  while ((r = wal_open(&replica->wal, node, size, &what, err)) == E_DISK_FULL || r == E_DISK_SYNC) {
    if (!told)
      log_info(&node->log, "store", "The disk refuses to be opened: %s (code %d).", err->text, r);
    told = true;
    if (!world_sleep(node->world, time_from_ms(500)))
      return E_STOPPING;
  }
  if (r)
    return r;
  if (what == WAL_CORRUPT)
    log_info(
        &node->log, "store",
        "A record before the end is bad (code %d); this disk starts anew and is mended from the others.",
        E_BAD_RECORD);
  if (what != WAL_INTACT || !replica->disk_id) {
    state_free(&replica->committed);
    state_init(&replica->committed);
    memset(&replica->view, 0, sizeof replica->view);
    memset(&replica->acceptor, 0, sizeof replica->acceptor);
    recent_records_clear(replica);
    replica->last_seq = 0;
    replica->founder_count = 0;
    replica->in_sync = true;
    replica->disk_id = node->world->random(node->world) | 1;
    what = WAL_BLANK;
  }
  if (node->settings.founder_count > 0 && !replica->view.epoch) {
    memset(replica->founder_addresses, 0, sizeof replica->founder_addresses);
    replica->founder_count = 0;
    for (int i = 0; i < MIN(node->settings.founder_count, 3); i++) {
      bool twice = false;
      for (int k = 0; k < replica->founder_count; k++)
        twice |= !strcmp(replica->founder_addresses[k], node->settings.founder_addresses[i]);
      if (!twice)
        g_strlcpy(replica->founder_addresses[replica->founder_count++],
                  node->settings.founder_addresses[i], sizeof replica->founder_addresses[0]);
    }
  }
  r = wal_start(&replica->wal, what == WAL_BLANK, err);
  if (r)
    return r;
  replica->last_seq_at_start = replica->last_seq;
  replica->running = true;
  replica->successor_answered_at = world_now(node->world);
  member_leases_init(&replica->leases, replica->successor_answered_at);
  /* what this machine renewed as head of the same view, it renewed before it ended */
  replica->head_since = replica->leases.started_at;
  replica->repair_at = time_add(replica->leases.may_act_at, time_from_ms(200));
  if (view_change_prepare_pending(replica))
    replica->prepare_pending_since = world_now(node->world);
  log_info(&node->log, "core", "Disk %016" PRIx64 " is %s, at write %" PRIu64 ", view %" PRIu64 ".",
           replica->disk_id, what == WAL_BLANK ? "blank" : "sound", replica->last_seq,
           replica->view.epoch);
  if (replica->view.epoch) {
    replica->committed.fleet_id = replica->view.fleet_id;
    replication_commit_as_tail(replica);
  }
  task_start(&node->world->tasks, "link", replication_run, replica);
  task_start(&node->world->tasks, "mend", chain_repair_run, replica);
  task_start(&node->world->tasks, "join", chain_join_run, replica);
  for (int i = 0; i < VOTERS_MAX; i++) {
    member_lease_task *a = g_new(member_lease_task, 1);
    *a = (member_lease_task){ replica, i };
    task_start(&node->world->tasks, "lease", member_lease_run, a);
  }
  return OK;
}

void replica_free(replica *replica) {
  state_free(&replica->committed);
  state_free(&replica->ordered);
  g_queue_clear_full(&replica->recent_records, record_free);
  if (replica->singleton_renewed_at)
    g_hash_table_destroy(replica->singleton_renewed_at);
  snapshots_free(replica);
  wal_free(&replica->wal);
}
