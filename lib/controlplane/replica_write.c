/** Writes at the head.
 *
 * A write is checked against the state that includes all writes ordered before it, since these may
 * still be committed. The number of writes that wait for the tail is limited, directly and by the
 * space in a log file. */
#include "replica.h"

enum {
  /** Maximum number of writes that may wait for the tail; log_file_free_bytes limits it further.
   */
  PENDING_WRITES_MAX = 32,
  /** Once more than this many bytes wait for the tail, only a few writes may wait: a backlog of
   * large writes would delay a member that catches up over a slow link. */
  PENDING_BYTES_LARGE = 128 * 1024,
  PENDING_LARGE_WRITES_MAX = 3,
  /** Maximum overhead of a record in the log in addition to its operation, in bytes. */
  RECORD_OVERHEAD_BYTES = 64
};

const state *replica_ordered_state(replica *replica) {
  replication_state *replication = &replica->replication;
  state *ordered = &replication->ordered;
  if (replication->ordered_valid)
    return ordered;
  state_copy(ordered, &replica->committed);
  for (GList *l = replica->recent_records.queue.head; l; l = l->next) {
    const record *record = l->data;
    if (record->seq > ordered->seq && record->seq <= replica->last_seq)
      state_apply(ordered, record->seq, string_view_of_gstring(record->operation));
  }
  replication->ordered_valid = true;
  return ordered;
}

/* whether no further write may wait for the tail */
static bool backlog_is_full(const replica *replica) {
  size_t bytes;
  recent_records_count_after(&replica->recent_records, replica->committed.seq, &bytes);
  uint64_t waiting = replica->last_seq - replica->committed.seq;
  return waiting > (bytes > PENDING_BYTES_LARGE ? PENDING_LARGE_WRITES_MAX : PENDING_WRITES_MAX);
}

/* returns the free space of a log file after the state and the writes that wait for the tail, in
 * bytes */
static size_t log_file_free_bytes(const replica *replica) {
  size_t bytes;
  size_t waiting =
      recent_records_count_after(&replica->recent_records, replica->committed.seq, &bytes);
  size_t used = state_packed_size_max(&replica->replication.ordered) +
                replication_batch_bytes(replica) + bytes + waiting * RECORD_OVERHEAD_BYTES;
  return used < replica->wal.size ? replica->wal.size - used : 0;
}

static enum error_code check_may_write(replica *replica, error *err) {
  if (!replica_is_acting_head(replica))
    return error_set(err, E_NO_CONTROLLER, "this machine is not the acting head");
  if (replica_view_is_under_replicated(replica, &replica->view))
    return error_set(err, E_TOO_FEW_ZONES,
                     "the chain has too few copies or areas; nothing was written");
  if (backlog_is_full(replica))
    return error_set(err, E_OVERLOADED, "too many writes wait for the tail; nothing was written");
  return OK;
}

/* builds the operation of a write if this replica may write and the operation fits */
static enum error_code build_operation(replica *replica, operation_builder build, void *ctx,
                                       GString *operation, error *err) {
  enum error_code code = check_may_write(replica, err);
  if (code)
    return code;
  replica_ordered_state(replica);
  code = build(ctx, &replica->replication.ordered, operation, err);
  if (code || !operation->len)
    return code;
  if (log_file_free_bytes(replica) < operation->len)
    return error_set(
        err, E_DISK_FULL,
        "a write of %zu bytes does not fit into a ring file any more; nothing was written",
        operation->len);
  return OK;
}

/* writes a record to the log and waits for the sync */
static enum error_code store_record(replica *replica, uint64_t seq, uint64_t epoch,
                                    string_view operation, error *err) {
  uint64_t log_resets = replica->log_resets;
  GString *entries = g_string_new(NULL);
  wal_entries_add_record(entries, seq, epoch, operation);
  enum error_code code = wal_append_all(&replica->wal, string_view_of_gstring(entries), err);
  g_string_free(entries, TRUE);
  if (code == E_DISK)
    return error_set(err, E_OUTCOME_UNKNOWN, "the head's disk failed; the outcome is not known");
  if (!code && log_resets != replica->log_resets)
    return error_set(err, E_OUTCOME_UNKNOWN, "the view changed; the outcome is not known");
  return code;
}

/* orders an operation: syncs it as the next record and triggers replication to the successor */
static enum error_code order_operation(replica *replica, string_view operation, uint64_t *seq,
                                       error *err) {
  replication_state *replication = &replica->replication;
  uint64_t next_seq = replica->last_seq + 1, epoch = replica->view.epoch;
  enum error_code code = store_record(replica, next_seq, epoch, operation, err);
  if (code)
    return code;
  recent_records_add(&replica->recent_records, next_seq, epoch, operation, replica->committed.seq);
  replica->last_seq = next_seq;
  if (replication->ordered_valid)
    state_apply(&replication->ordered, next_seq, operation);
  *seq = next_seq;
  /* a head without a successor is also the tail */
  replication_commit_as_tail(replica);
  condition_broadcast(&replica->replication_wanted);
  return OK;
}

/* waits until the tail has committed a record; returns OK if it may be acknowledged */
static enum error_code wait_for_acknowledgement(replica *replica, uint64_t seq, uint64_t log_resets,
                                                time_us deadline, error *err) {
  scheduler *tasks = &replica->node->world->tasks;
  while (replica->committed.seq < seq && log_resets == replica->log_resets)
    if (condition_wait(tasks, &replica->state_changed, deadline) != WAKE_SIGNALLED)
      break;
  chain_position position = replica_chain_position(replica);
  if (log_resets == replica->log_resets &&
      chain_may_acknowledge(&position, seq, replica_holds_lease(replica),
                            replica_view_is_under_replicated(replica, &replica->view)))
    return OK;
  return error_set(err, E_OUTCOME_UNKNOWN,
                   "the tail has not confirmed write %" PRIu64 "; the outcome is not known", seq);
}

enum error_code replica_write(replica *replica, operation_builder build, void *ctx, time_us timeout,
                              uint64_t *seq, error *err) {
  time_us deadline = time_add(world_now(replica->node->world), timeout);
  if (!replication_lock(replica, deadline))
    return error_set(err, E_NO_CONTROLLER, "the head is busy; nothing was written");
  GString *operation = g_string_new(NULL);
  enum error_code code = build_operation(replica, build, ctx, operation, err);
  uint64_t log_resets = replica->log_resets, written = 0;
  if (!code && operation->len) {
    code = order_operation(replica, string_view_of_gstring(operation), &written, err);
    if (!code)
      *seq = written;
  }
  g_string_free(operation, TRUE);
  replication_unlock(replica);
  if (code || !written)
    return code;
  return wait_for_acknowledgement(replica, written, log_resets, deadline, err);
}
