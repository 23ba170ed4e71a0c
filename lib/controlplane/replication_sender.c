/** The sending side of chain replication.
 *
 * One request is in flight at a time. The first request in a view carries no records; its response
 * reports the last record of the successor. Later requests carry the records after that one or, if
 * these are no longer in memory, tell the successor to fetch a snapshot. When there is nothing to
 * send, a request is still sent periodically: it verifies that the link works, and carries the
 * sequence number of the last committed record and from time to time a checksum of the state. */
#include "replica.h"

enum {
  /** Wait while this member may not send, and while there is nothing to send, in ms. */
  MAY_NOT_SEND_WAIT_MS = 200,
  IDLE_INTERVAL_MS = 250,
  /** Delay before a failed request is retried, in ms. */
  RETRY_MS = 100,
  /** Timeout of a request, and of one that makes the successor fetch a snapshot first, in ms. */
  REPLICATE_TIMEOUT_MS = 1000,
  REPLICATE_SNAPSHOT_TIMEOUT_MS = 4000,
  /** Interval between checksums of the committed state, in ms. */
  CHECKSUM_INTERVAL_MS = 2000
};

/* the link to the successor in one view */
typedef struct {
  replica *replica;
  uint64_t epoch;
  /* the last record of the successor; valid if successor_known is set */
  uint64_t successor_last;
  bool successor_known;
  /* whether the successor must fetch a snapshot */
  bool needs_snapshot;
} successor_link;

/* the records of one request */
typedef struct {
  Wire__Record records[REPLICATE_BATCH_MAX];
  Wire__Record *pointers[REPLICATE_BATCH_MAX];
  size_t count, bytes;
} record_batch;

size_t replication_batch_bytes(const replica *replica) {
  /* an eighth of a file, so that a frame always fits into a file after its checkpoint */
  return MIN((size_t)REPLICATE_BATCH_BYTES, replica->wal.size / 8);
}

/* waits for work; returns false if the tasks are stopped */
static bool wait_for_work(replica *replica, int64_t ms) {
  world *world = replica->node->world;
  time_us deadline = time_add(world_now(world), time_from_ms(ms));
  return condition_wait(&world->tasks, &replica->replication_wanted, deadline) != WAKE_STOPPED;
}

static bool may_send(const replica *replica) {
  chain_position position = replica_chain_position(replica);
  return !replica->wal.failed && chain_may_send(&position, &replica->view);
}

static void begin_view(successor_link *link) {
  replica *replica = link->replica;
  if (link->epoch == replica->view.epoch)
    return;
  link->epoch = replica->view.epoch;
  link->successor_known = link->needs_snapshot = false;
  replica->replication.successor_answered_at = world_now(replica->node->world);
}

static bool successor_is_up_to_date(const successor_link *link) {
  const replica *replica = link->replica;
  return link->successor_known && link->successor_last >= replica->last_seq &&
         replica->committed.seq >= replica->last_seq;
}

static void batch_add(record_batch *batch, const record *record) {
  Wire__Record *message = &batch->records[batch->count];
  wire__record__init(message);
  message->sequence = record->seq;
  message->epoch = record->epoch;
  message->operation.data = (uint8_t *)record->operation->str;
  message->operation.len = record->operation->len;
  batch->pointers[batch->count++] = message;
  batch->bytes += record->operation->len;
}

/* fills a batch with the records that the successor lacks, or records that it needs a snapshot */
static void collect_records(successor_link *link, record_batch *batch) {
  const replica *replica = link->replica;
  const recent_records *recent = &replica->recent_records;
  size_t max_bytes = replication_batch_bytes(replica);
  batch->count = batch->bytes = 0;
  if (!link->successor_known || link->successor_last >= replica->last_seq)
    return;
  const record *oldest = recent_records_oldest(recent);
  if (!oldest || oldest->seq > link->successor_last + 1)
    link->needs_snapshot = true;
  if (link->needs_snapshot)
    return;
  for (GList *l = recent->queue.head; l; l = l->next) {
    const record *record = l->data;
    if (batch->count == REPLICATE_BATCH_MAX || batch->bytes >= max_bytes)
      break;
    if (record->seq > link->successor_last && record->seq <= replica->last_seq)
      batch_add(batch, record);
  }
}

static void add_checksum(replica *replica, Wire__ReplicateRequest *request) {
  time_us now = world_now(replica->node->world);
  time_us *sent_at = &replica->replication.checksum_sent_at;
  if (!time_reached(now, time_add(*sent_at, time_from_ms(CHECKSUM_INTERVAL_MS))))
    return;
  *sent_at = now;
  request->checksum_sequence = replica->committed.seq;
  request->checksum = state_checksum(&replica->committed);
}

/* sends one request and waits for the response */
static enum error_code call_successor(successor_link *link, const char *address,
                                      Wire__Envelope **response, error *err) {
  replica *replica = link->replica;
  record_batch batch;
  collect_records(link, &batch);
  Wire__ReplicateRequest request = WIRE__REPLICATE_REQUEST__INIT;
  add_checksum(replica, &request);
  request.epoch = link->epoch;
  request.last_sequence = replica->last_seq;
  request.in_sync = replica_in_sync(replica);
  request.need_snapshot = link->needs_snapshot;
  request.commit_sequence = replica->committed.seq;
  request.n_records = batch.count;
  request.records = batch.pointers;
  Wire__Envelope message = wire_envelope(WIRE__ENVELOPE__BODY_REPLICATE_REQUEST, &request);
  time_us timeout =
      time_from_ms(link->needs_snapshot ? REPLICATE_SNAPSHOT_TIMEOUT_MS : REPLICATE_TIMEOUT_MS);
  link->needs_snapshot = false;
  return peer_rpc_call(replica->node, address, &message, timeout, response, err);
}

static void handle_response(successor_link *link, const char *address,
                            const Wire__Envelope *response) {
  replica *replica = link->replica;
  if (response->body_case != WIRE__ENVELOPE__BODY_REPLICATE_RESPONSE ||
      link->epoch != replica->view.epoch)
    return;
  const Wire__ReplicateResponse *replicated = response->replicate_response;
  link->successor_known = true;
  link->successor_last = replicated->last_sequence;
  replica->replication.successor_answered_at = world_now(replica->node->world);
  if (link->successor_last > replica->last_seq)
    log_info(&replica->node->log, "chain",
             "The successor %s has write %" PRIu64 ", but this replica only has %" PRIu64
             " (code %d).",
             address, link->successor_last, replica->last_seq, E_BAD_RECORD);
  replication_commit(replica, replicated->commit_sequence);
}

/* sends one request to the successor and handles the response; returns false if the tasks are
 * stopped */
static bool replicate(successor_link *link) {
  replica *replica = link->replica;
  char address[MEMBER_ADDRESS_SIZE];
  int successor = replica_chain_index(replica) + 1;
  g_strlcpy(address, replica->view.chain[successor].address, sizeof address);
  Wire__Envelope *response;
  error err = { 0 };
  enum error_code code = call_successor(link, address, &response, &err);
  if (code == E_STOPPING)
    return false;
  if (!code) {
    handle_response(link, address, response);
    peer_rpc_message_free(response);
    return true;
  }
  if (code == E_VIEW_MISMATCH)
    view_change_announce(replica, address);
  log_debug(&replica->node->log, "chain", "Replication to %s failed: %s (code %d).", address,
            err.text, code);
  return world_sleep(replica->node->world, time_from_ms(RETRY_MS));
}

/* one iteration of the task; returns false if the tasks are stopped */
static bool step(successor_link *link) {
  replica *replica = link->replica;
  if (!may_send(replica)) {
    /* a pending vote suspends the link but says nothing about whether it works, so the timer of the
       successor is kept */
    if (!view_change_prepare_pending(replica))
      replica->replication.successor_answered_at = world_now(replica->node->world);
    return wait_for_work(replica, MAY_NOT_SEND_WAIT_MS);
  }
  begin_view(link);
  if (successor_is_up_to_date(link) && !wait_for_work(replica, IDLE_INTERVAL_MS))
    return false;
  if (link->epoch != replica->view.epoch)
    return true;
  return replicate(link);
}

void replication_sender_run(void *ctx) {
  successor_link link = { .replica = ctx };
  bool running = true;
  while (running)
    running = step(&link);
}
