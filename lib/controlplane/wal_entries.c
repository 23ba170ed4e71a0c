/** Entries of a replica's log.
 *
 * A checkpoint holds the disk's id, the known view, the acceptor's state, the founders' addresses
 * while no view is known, a snapshot of the committed state, and the records after it. Later
 * entries replace the view, the acceptor's state or the disk's entry, or append a record. Entries
 * that are of an unknown kind or cannot be unpacked are skipped. */
#include "replica.h"

void wal_entries_add_view(GString *buffer, const view *view) {
  view_message memory;
  Wire__View *message = view_pack(&memory, view);
  size_t length = wire__view__get_packed_size(message);
  uint8_t *bytes = g_malloc(length);
  wire__view__pack(message, bytes);
  wal_entry_add(buffer, ENTRY_VIEW, bytes, length);
  g_free(bytes);
}

void wal_entries_add_acceptor(GString *buffer, const acceptor_state *acceptor) {
  Wire__AcceptorState message = WIRE__ACCEPTOR_STATE__INIT;
  Wire__ProposalNumber promised, accepted;
  view_message value;
  proposal_number_pack(&promised, &acceptor->promised);
  proposal_number_pack(&accepted, &acceptor->accepted);
  message.epoch = acceptor->epoch;
  message.promised = &promised;
  message.accepted = &accepted;
  if (acceptor->has_accepted)
    message.view = view_pack(&value, &acceptor->value);
  size_t length = wire__acceptor_state__get_packed_size(&message);
  uint8_t *bytes = g_malloc(length);
  wire__acceptor_state__pack(&message, bytes);
  wal_entry_add(buffer, ENTRY_ACCEPTOR, bytes, length);
  g_free(bytes);
}

void wal_entries_add_record(GString *buffer, uint64_t seq, uint64_t epoch, string_view operation) {
  Wire__Record message = WIRE__RECORD__INIT;
  message.sequence = seq;
  message.epoch = epoch;
  message.operation.data = (uint8_t *)operation.data;
  message.operation.len = operation.length;
  size_t length = wire__record__get_packed_size(&message);
  uint8_t *bytes = g_malloc(length);
  wire__record__pack(&message, bytes);
  wal_entry_add(buffer, ENTRY_RECORD, bytes, length);
  g_free(bytes);
}

/* the body of an ENTRY_DISK in its on-disk format */
typedef struct {
  uint64_t disk_id, in_sync;
} disk_entry;

void wal_entries_add_disk(GString *buffer, uint64_t disk_id, bool in_sync) {
  disk_entry entry = { disk_id, in_sync };
  wal_entry_add(buffer, ENTRY_DISK, &entry, sizeof entry);
}

static void add_founders(GString *buffer, const bootstrap_state *bootstrap) {
  wal_entry_add(buffer, ENTRY_FOUNDERS, bootstrap->founder_addresses,
                sizeof bootstrap->founder_addresses);
}

static void add_snapshot(GString *buffer, const replica *replica) {
  size_t body_start = wal_entry_begin(buffer, ENTRY_SNAPSHOT);
  state_pack(&replica->committed, replica->view.epoch, buffer);
  wal_entry_end(buffer, body_start);
}

static void add_uncommitted_records(GString *buffer, const replica *replica) {
  for (GList *l = replica->recent_records.queue.head; l; l = l->next) {
    const record *record = l->data;
    if (record->seq > replica->committed.seq && record->seq <= replica->last_seq)
      wal_entries_add_record(buffer, record->seq, record->epoch,
                             string_view_of_gstring(record->operation));
  }
}

void wal_entries_write_checkpoint(void *ctx, GString *buffer) {
  const replica *replica = ctx;
  wal_entries_add_disk(buffer, replica->disk_id, replica->in_sync);
  if (replica->view.epoch)
    wal_entries_add_view(buffer, &replica->view);
  if (replica->acceptor.epoch)
    wal_entries_add_acceptor(buffer, &replica->acceptor);
  if (replica->bootstrap.founder_count && !replica->view.epoch)
    add_founders(buffer, &replica->bootstrap);
  add_snapshot(buffer, replica);
  add_uncommitted_records(buffer, replica);
}

static void replay_disk(replica *replica, string_view body) {
  disk_entry entry;
  if (body.length != sizeof entry)
    return;
  memcpy(&entry, body.data, sizeof entry);
  replica->disk_id = entry.disk_id;
  replica->in_sync = entry.in_sync;
}

static void replay_view(replica *replica, string_view body) {
  Wire__View *message = wire__view__unpack(NULL, body.length, (const uint8_t *)body.data);
  view view;
  if (view_unpack(&view, message))
    replica->view = view;
  if (message)
    wire__view__free_unpacked(message, NULL);
}

static void replay_acceptor(replica *replica, string_view body) {
  acceptor_state *acceptor = &replica->acceptor;
  Wire__AcceptorState *message =
      wire__acceptor_state__unpack(NULL, body.length, (const uint8_t *)body.data);
  if (!message)
    return;
  memset(acceptor, 0, sizeof *acceptor);
  acceptor->epoch = message->epoch;
  acceptor->promised = proposal_number_unpack(message->promised);
  acceptor->accepted = proposal_number_unpack(message->accepted);
  acceptor->has_accepted = message->view && view_unpack(&acceptor->value, message->view);
  wire__acceptor_state__free_unpacked(message, NULL);
}

static void replay_record(replica *replica, string_view body) {
  Wire__Record *message = wire__record__unpack(NULL, body.length, (const uint8_t *)body.data);
  if (!message)
    return;
  if (message->sequence == replica->last_seq + 1) {
    string_view operation = { (char *)message->operation.data, message->operation.len };
    replica->last_seq = message->sequence;
    recent_records_add(&replica->recent_records, message->sequence, message->epoch, operation,
                       replica->committed.seq);
  }
  wire__record__free_unpacked(message, NULL);
}

static void replay_snapshot(replica *replica, string_view body) {
  if (state_unpack(&replica->committed, body))
    replica->last_seq = replica->committed.seq;
}

void wal_entries_replay(void *ctx, int kind, string_view body) {
  replica *replica = ctx;
  switch (kind) {
  case ENTRY_DISK:
    replay_disk(replica, body);
    break;
  case ENTRY_VIEW:
    replay_view(replica, body);
    break;
  case ENTRY_ACCEPTOR:
    replay_acceptor(replica, body);
    break;
  case ENTRY_RECORD:
    replay_record(replica, body);
    break;
  case ENTRY_SNAPSHOT:
    replay_snapshot(replica, body);
    break;
  case ENTRY_FOUNDERS:
    bootstrap_replay_founders(&replica->bootstrap, body);
    break;
  default:
    break;
  }
}
