/** A replica: startup and recovery, and its role in the known view. */
#include "replica.h"

enum {
  /** Default size of a log file, in bytes. */
  LOG_FILE_BYTES_DEFAULT = 16 << 20,
  /** Delay before opening the disk is retried, in ms. */
  OPEN_RETRY_MS = 500,
  /** Default maximum number of chain members. */
  CHAIN_MAX_DEFAULT = 3,
  /** Default number of replicas and zones that a write requires, so that it survives one failure.
   */
  WRITE_REPLICAS_DEFAULT = 2,
  WRITE_ZONES_DEFAULT = 2
};

member replica_as_member(const replica *replica) {
  const settings *settings = &replica->node->settings;
  member self = { .self = settings->self, .zone = settings->zone, .disk_id = replica->disk_id };
  g_strlcpy(self.address, settings->address, sizeof self.address);
  return self;
}

int replica_chain_index(const replica *replica) {
  if (!replica->running)
    return -1;
  member self = replica_as_member(replica);
  return member_index(replica->view.chain, replica->view.chain_length, &self);
}

int replica_voter_index(const replica *replica) {
  member self = replica_as_member(replica);
  return member_index(replica->view.voters, replica->view.voter_count, &self);
}

chain_position replica_chain_position(const replica *replica) {
  return (chain_position){ .index = replica_chain_index(replica),
                           .prepare_pending = view_change_prepare_pending(replica),
                           .in_sync = replica_in_sync(replica),
                           .last = replica->last_seq,
                           .committed = replica->committed.seq };
}

int replica_chain_max(const replica *replica) {
  int configured = replica->node->settings.chain_members;
  return configured > 0 ? MIN(configured, CHAIN_MAX) : CHAIN_MAX_DEFAULT;
}

bool replica_in_sync(const replica *replica) {
  return replica->in_sync && !replica->replication.in_sync_write_pending;
}

bool replica_is_current(const replica *replica) {
  return replica_in_sync(replica) && replica->committed.seq >= replica->last_seq_at_start;
}

bool replica_is_acting_head(replica *replica) {
  chain_position position = replica_chain_position(replica);
  return chain_may_act_as_head(&position) && replica_holds_lease(replica);
}

bool replica_is_acting_tail(replica *replica) {
  chain_position position = replica_chain_position(replica);
  return chain_may_act_as_tail(&position, &replica->view) && replica_is_current(replica) &&
         replica_holds_lease(replica);
}

bool replica_view_is_under_replicated(const replica *replica, const view *view) {
  const settings *settings = &replica->node->settings;
  if (settings->write_replicas > 0)
    return chain_is_under_replicated(view, settings->write_replicas, settings->write_zones);
  return chain_is_under_replicated(view, WRITE_REPLICAS_DEFAULT, WRITE_ZONES_DEFAULT);
}

const member *replica_head(const replica *replica) {
  return replica->view.chain_length ? &replica->view.chain[0] : NULL;
}

const member *replica_tail(const replica *replica) {
  return replica->view.chain_length ? &replica->view.chain[replica->view.chain_length - 1] : NULL;
}

static void init(replica *replica, node *node) {
  memset(replica, 0, sizeof *replica);
  replica->node = node;
  replica->in_sync = true;
  state_init(&replica->committed);
  state_init(&replica->replication.ordered);
  recent_records_init(&replica->recent_records);
  replica->singleton_renewed_at = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  condition_init(&replica->state_changed);
  condition_init(&replica->replication_wanted);
  condition_init(&replica->replication.unlocked);
  condition_init(&replica->lease.renewal_wanted);
  replica->wal.replay_entry = wal_entries_replay;
  replica->wal.write_checkpoint = wal_entries_write_checkpoint;
  replica->wal.ctx = replica;
}

static void register_handlers(replica *replica) {
  static const struct {
    Wire__Envelope__BodyCase kind;
    peer_rpc_handler handler;
  } handlers[] = { { WIRE__ENVELOPE__BODY_SNAPSHOT_REQUEST, snapshot_on_request },
                   { WIRE__ENVELOPE__BODY_REPLICATE_REQUEST, replication_on_request },
                   { WIRE__ENVELOPE__BODY_PREPARE_REQUEST, paxos_acceptor_on_prepare },
                   { WIRE__ENVELOPE__BODY_ACCEPT_REQUEST, paxos_acceptor_on_accept },
                   { WIRE__ENVELOPE__BODY_VIEW_ANNOUNCEMENT, view_change_on_announcement },
                   { WIRE__ENVELOPE__BODY_MEMBER_LEASE_REQUEST, member_lease_on_request },
                   { WIRE__ENVELOPE__BODY_BOOTSTRAP_REQUEST, bootstrap_on_request },
                   { WIRE__ENVELOPE__BODY_JOIN_REQUEST, chain_join_on_request } };
  for (size_t i = 0; i < G_N_ELEMENTS(handlers); i++)
    peer_rpc_register_handler(replica->node, handlers[i].kind, handlers[i].handler, replica);
}

static bool is_retryable_open_error(enum error_code code) {
  return code == E_DISK_FULL || code == E_DISK_SYNC;
}

/* opens and replays the log; retries while the disk is full or cannot sync */
static enum error_code open_log(replica *replica, enum wal_integrity *integrity, error *err) {
  node *node = replica->node;
  size_t size =
      node->settings.log_file_bytes ? node->settings.log_file_bytes : LOG_FILE_BYTES_DEFAULT;
  bool logged = false;
  for (;;) {
    enum error_code code = wal_open(&replica->wal, node, size, integrity, err);
    if (!is_retryable_open_error(code))
      return code;
    if (!logged)
      log_info(&node->log, "wal", "The disk cannot be opened: %s (code %d).", err->text, code);
    logged = true;
    if (!world_sleep(node->world, time_from_ms(OPEN_RETRY_MS)))
      return E_STOPPING;
  }
}

/* resets the replica to a new member with a blank disk */
static void reset_to_blank(replica *replica) {
  world *world = replica->node->world;
  state_free(&replica->committed);
  state_init(&replica->committed);
  memset(&replica->view, 0, sizeof replica->view);
  memset(&replica->acceptor, 0, sizeof replica->acceptor);
  recent_records_clear(&replica->recent_records);
  replica->last_seq = 0;
  replica->bootstrap.founder_count = 0;
  replica->in_sync = true;
  replica->disk_id = world->random(world) | 1;
}

/* opens and replays the log and starts its writer; sets *blank if the disk holds no usable state */
static enum error_code recover(replica *replica, bool *blank, error *err) {
  node *node = replica->node;
  enum wal_integrity integrity;
  enum error_code code = open_log(replica, &integrity, err);
  if (code)
    return code;
  if (integrity == WAL_CORRUPT)
    log_info(&node->log, "wal",
             "A record before the end of the log is corrupt (code %d); this disk starts blank, and"
             " the state is fetched from the other controllers.",
             E_BAD_RECORD);
  *blank = integrity != WAL_INTACT || !replica->disk_id;
  if (*blank)
    reset_to_blank(replica);
  if (!replica->view.epoch)
    bootstrap_load_settings(&replica->bootstrap, &node->settings);
  return wal_start(&replica->wal, *blank, err);
}

/* initializes the state that depends on when the replay of the log has finished */
static void begin_running(replica *replica) {
  time_us now = world_now(replica->node->world);
  replica->last_seq_at_start = replica->last_seq;
  replica->running = true;
  replica->replication.successor_answered_at = now;
  member_leases_init(&replica->lease.leases, now);
  /* any lease that this replica renewed as head of the same view was renewed before the restart */
  replica->lease_held_since = now;
  chain_repair_init(&replica->chain_repair, replica->lease.leases.may_act_at);
  if (view_change_prepare_pending(replica))
    replica->view_change.prepare_pending_since = now;
  if (replica->view.epoch) {
    replica->committed.fleet_id = replica->view.fleet_id;
    replication_commit_as_tail(replica);
  }
}

static void start_tasks(replica *replica) {
  scheduler *tasks = &replica->node->world->tasks;
  task_start(tasks, "replication", replication_sender_run, replica);
  task_start(tasks, "chain-repair", chain_repair_run, replica);
  task_start(tasks, "chain-join", chain_join_run, replica);
  member_lease_start(replica);
}

enum error_code replica_start(replica *replica, node *node, error *err) {
  init(replica, node);
  register_handlers(replica);
  bool blank;
  enum error_code code = recover(replica, &blank, err);
  if (code)
    return code;
  log_info(&node->log, "replica",
           "Disk %016" PRIx64 " is %s, at write %" PRIu64 ", view %" PRIu64 ".", replica->disk_id,
           blank ? "blank" : "sound", replica->last_seq, replica->view.epoch);
  begin_running(replica);
  start_tasks(replica);
  return OK;
}

void replica_free(replica *replica) {
  state_free(&replica->committed);
  state_free(&replica->replication.ordered);
  recent_records_clear(&replica->recent_records);
  if (replica->singleton_renewed_at)
    g_hash_table_destroy(replica->singleton_renewed_at);
  snapshot_cache_clear(&replica->snapshot_cache);
  wal_free(&replica->wal);
}

static void append_member_json(const member *member, GString *to) {
  json_appendf(to, "{\"id\":\"%s\",\"area\":\"%s\",\"addr\":\"%s\",\"disk\":\"%016" PRIx64 "\"}",
               member->self.text, member->zone.text, member->address, member->disk_id);
}

void replica_append_view_json(const replica *replica, GString *to) {
  const view *view = &replica->view;
  json_appendf(to, "{\"epoch\":%" PRIu64 ",\"fleet\":\"%016" PRIx64 "\",\"thin\":%s,\"chain\":[",
               view->epoch, view->fleet_id,
               replica_view_is_under_replicated(replica, view) ? "true" : "false");
  for (int i = 0; i < view->chain_length; i++) {
    g_string_append(to, i ? "," : "");
    append_member_json(&view->chain[i], to);
  }
  g_string_append(to, "],\"voters\":[");
  for (int i = 0; i < view->voter_count; i++)
    json_appendf(to, "%s\"%s\"", i ? "," : "", view->voters[i].self.text);
  g_string_append(to, "]}");
}
