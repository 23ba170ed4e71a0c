/** The receiving side of chain replication.
 *
 * The head orders writes, each member syncs a record before it forwards it, and the sync at the
 * tail commits it. The response to a ReplicateRequest carries the sequence number up to which the
 * sender may commit, so that commits propagate back to the head. Some requests carry a checksum of
 * the committed state; a replica whose state differs fetches a snapshot. */
#include "replica.h"

enum {
  /** Timeout for acquiring the lock, in ms. The wait has to end before the sender's request times
   * out. */
  LOCK_TIMEOUT_MS = 1000,
  /** Maximum time that a response waits for the records to be committed, in ms. */
  COMMIT_WAIT_MS = 150
};

bool replication_lock(replica *replica, time_us deadline) {
  scheduler *tasks = &replica->node->world->tasks;
  replication_state *replication = &replica->replication;
  while (replication->locked)
    if (condition_wait(tasks, &replication->unlocked, deadline) != WAKE_SIGNALLED)
      return false;
  replication->locked = true;
  return true;
}

void replication_unlock(replica *replica) {
  replica->replication.locked = false;
  condition_broadcast(&replica->replication.unlocked);
}

void replication_commit(replica *replica, uint64_t seq) {
  state *committed = &replica->committed;
  if (seq > replica->last_seq)
    seq = replica->last_seq;
  if (seq <= committed->seq)
    return;
  for (GList *l = replica->recent_records.queue.head; l; l = l->next) {
    const record *record = l->data;
    if (record->seq == committed->seq + 1 && record->seq <= seq)
      state_apply(committed, record->seq, string_view_of_gstring(record->operation));
  }
  condition_broadcast(&replica->state_changed);
}

void replication_commit_as_tail(replica *replica) {
  chain_position position = replica_chain_position(replica);
  replication_commit(
      replica, chain_commit_sequence(&position, &replica->view,
                                     replica_view_is_under_replicated(replica, &replica->view)));
}

/* Writes to the log whether this replica is in sync, and waits for the sync. Until then the replica
 * does not count as in sync, but a log file that is started in the meantime already contains the
 * new value. */
static enum error_code store_in_sync(replica *replica, bool in_sync, error *err) {
  replication_state *replication = &replica->replication;
  GString *entries = g_string_new(NULL);
  replica->in_sync = in_sync;
  replication->in_sync_write_pending = in_sync;
  wal_entries_add_disk(entries, replica->disk_id, replica->in_sync);
  enum error_code code = wal_append_all(&replica->wal, string_view_of_gstring(entries), err);
  replication->in_sync_write_pending = false;
  if (code)
    replica->in_sync = false;
  g_string_free(entries, TRUE);
  return code;
}

/* Fetches a snapshot from the predecessor. Marks this replica as out of sync before the fetch
 * starts, so that a vote in the meantime does not make it the head. */
static enum error_code fetch_snapshot(replica *replica, const char *address, error *err) {
  enum error_code code = store_in_sync(replica, false, err);
  return code ? code : snapshot_fetch(replica, address, err);
}

static string_view operation_of(const Wire__Record *record) {
  return (string_view){ (char *)record->operation.data, record->operation.len };
}

/* The records of a request that directly follow the local ones: those from index first on whose
 * sequence numbers are greater than low and at most high. */
typedef struct {
  size_t first, count;
  uint64_t low, high;
} appendable_records;

static appendable_records find_appendable(const replica *replica,
                                          const Wire__ReplicateRequest *request) {
  uint64_t sequences[REPLICATE_BATCH_MAX];
  appendable_records found = { .count = MIN(request->n_records, (size_t)REPLICATE_BATCH_MAX),
                               .low = replica->last_seq };
  for (size_t i = 0; i < found.count; i++)
    sequences[i] = request->records[i]->sequence;
  found.high =
      found.low + chain_appendable(replica->last_seq, sequences, found.count, &found.first);
  return found;
}

static bool is_appendable(const appendable_records *appendable, const Wire__Record *record) {
  return record->sequence > appendable->low && record->sequence <= appendable->high;
}

/* writes the appendable records to the log and waits for the sync */
static enum error_code store_records(replica *replica, const Wire__ReplicateRequest *request,
                                     const appendable_records *appendable, error *err) {
  GString *entries = g_string_new(NULL);
  for (size_t i = appendable->first; i < appendable->count; i++) {
    const Wire__Record *record = request->records[i];
    if (is_appendable(appendable, record))
      wal_entries_add_record(entries, record->sequence, record->epoch, operation_of(record));
  }
  enum error_code code = wal_append_all(&replica->wal, string_view_of_gstring(entries), err);
  g_string_free(entries, TRUE);
  return code;
}

/* syncs the records that follow the local ones without a gap, and adds them to the recent records
 */
static enum error_code append_records(replica *replica, const Wire__ReplicateRequest *request,
                                      error *err) {
  appendable_records appendable = find_appendable(replica, request);
  if (appendable.high == appendable.low)
    return OK;
  uint64_t log_resets = replica->log_resets;
  enum error_code code = store_records(replica, request, &appendable, err);
  if (code || log_resets != replica->log_resets)
    return code;
  for (size_t i = appendable.first; i < appendable.count; i++) {
    const Wire__Record *record = request->records[i];
    if (!is_appendable(&appendable, record))
      continue;
    recent_records_add(&replica->recent_records, record->sequence, record->epoch,
                       operation_of(record), replica->committed.seq);
    replica->last_seq = record->sequence;
  }
  replica->replication.ordered_valid = false;
  return OK;
}

/* whether the sender's checksum shows that the committed states differ */
static bool state_differs(const replica *replica, const Wire__Envelope *in) {
  const Wire__ReplicateRequest *request = in->replicate_request;
  if (!request->checksum_sequence || request->checksum_sequence != replica->committed.seq ||
      !replica_in_sync(replica) || state_checksum(&replica->committed) == request->checksum)
    return false;
  log_info(&replica->node->log, "chain",
           "The state differs from that of %s at write %" PRIu64 "; fetching a snapshot (code %d).",
           in->from->id, request->checksum_sequence, E_BAD_RECORD);
  return true;
}

static bool may_accept(const replica *replica, const Wire__Envelope *in) {
  chain_position position = replica_chain_position(replica);
  return chain_may_accept(&position, &replica->view, in->replicate_request->epoch,
                          id_of_text(in->from->id));
}

static enum error_code check_request(const replica *replica, const Wire__Envelope *in, error *err) {
  if (!replica->running)
    return error_set(err, E_NO_CONTROLLER, "starting");
  if (replica->wal.failed)
    return error_set(err, E_DISK, "the disk of this machine refuses writes");
  if (in->replicate_request->epoch != replica->view.epoch)
    return error_set(err, E_VIEW_MISMATCH, "another view is known here: %" PRIu64,
                     replica->view.epoch);
  if (view_change_prepare_pending(replica))
    return error_set(err, E_STALE_EPOCH, "a vote on the next view is under way");
  if (!may_accept(replica, in))
    return error_set(err, E_VIEW_MISMATCH, "not the successor of the sender");
  return OK;
}

/* marks this replica as in sync if the predecessor is and this replica has all of its records */
static enum error_code become_in_sync(replica *replica, const Wire__ReplicateRequest *request,
                                      error *err) {
  chain_position position = replica_chain_position(replica);
  if (request->epoch != replica->view.epoch ||
      !chain_becomes_in_sync(&position, request->in_sync, request->last_sequence))
    return OK;
  enum error_code code = store_in_sync(replica, true, err);
  if (!code)
    log_info(&replica->node->log, "replica", "In sync at write %" PRIu64 ".", replica->last_seq);
  return code;
}

/* applies a request; the caller holds the replication lock */
static enum error_code apply_request(replica *replica, const Wire__Envelope *in, error *err) {
  const Wire__ReplicateRequest *request = in->replicate_request;
  enum error_code code = OK;
  if (!may_accept(replica, in))
    return error_set(err, E_STALE_EPOCH, "the view changed");
  bool differs = state_differs(replica, in);
  if (request->need_snapshot || differs)
    code = fetch_snapshot(replica, in->from->address, err);
  if (!code)
    code = append_records(replica, request, err);
  if (!code)
    code = become_in_sync(replica, request, err);
  return code;
}

/* waits briefly for all local records to be committed, so that the response can report it */
static void wait_for_commit(replica *replica, uint64_t epoch) {
  world *world = replica->node->world;
  time_us deadline = time_add(world_now(world), time_from_ms(COMMIT_WAIT_MS));
  while (replica->committed.seq < replica->last_seq && epoch == replica->view.epoch)
    if (condition_wait(&world->tasks, &replica->state_changed, deadline) != WAKE_SIGNALLED)
      return;
}

enum error_code replication_on_request(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  replica *replica = ctx;
  enum error_code code = check_request(replica, in, err);
  if (code)
    return code;
  time_us deadline = time_add(world_now(replica->node->world), time_from_ms(LOCK_TIMEOUT_MS));
  if (!replication_lock(replica, deadline))
    return error_set(err, E_OVERLOADED, "still writing");
  code = apply_request(replica, in, err);
  replication_commit_as_tail(replica);
  replication_unlock(replica);
  if (code)
    return code;
  condition_broadcast(&replica->replication_wanted);
  wait_for_commit(replica, in->replicate_request->epoch);
  Wire__ReplicateResponse *response = reply_new_body(reply, WIRE__ENVELOPE__BODY_REPLICATE_RESPONSE,
                                                     &wire__replicate_response__descriptor);
  response->ok = true;
  response->last_sequence = replica->last_seq;
  response->commit_sequence = replica->committed.seq;
  return OK;
}
