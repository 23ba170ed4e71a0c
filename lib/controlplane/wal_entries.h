#ifndef CONTROLPLANE_WAL_ENTRIES_H
#define CONTROLPLANE_WAL_ENTRIES_H
/** The entries that a replica writes to its log, and their replay at the start. */
#include "paxos_rules.h"
#include "wal.h"

struct replica;

/** Appends the known view to a buffer. */
void wal_entries_add_view(GString *buffer, const view *view);
/** Appends the Paxos acceptor's state to a buffer. */
void wal_entries_add_acceptor(GString *buffer, const acceptor_state *acceptor);
/** Appends a record of the chain to a buffer. */
void wal_entries_add_record(GString *buffer, uint64_t seq, uint64_t epoch, string_view operation);
/** Appends the disk's id, and whether the replica is in sync, to a buffer. */
void wal_entries_add_disk(GString *buffer, uint64_t disk_id, bool in_sync);
/** Writes the checkpoint of a replica. A wal_checkpoint_writer whose context is the replica. */
void wal_entries_write_checkpoint(void *ctx, GString *buffer);
/** Applies one entry of the log to a replica. A wal_entry_handler whose context is the replica. */
void wal_entries_replay(void *ctx, int kind, string_view body);
#endif
