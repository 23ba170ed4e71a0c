#ifndef CONTROLPLANE_REPLICATION_H
#define CONTROLPLANE_REPLICATION_H
/** Replication of records along the chain. */
#include "state.h"

struct replica;

/** What a process knows of replication, in memory only. */
typedef struct replication_state {
  /** The state with all records that this replica holds, committed or not; replica_write.c keeps it
   * at the head. Valid while ordered_valid is set. */
  state ordered;
  bool ordered_valid;
  /** The lock under which records are added and snapshots installed; use replication_lock. */
  bool locked;
  condition unlocked;
  /** Set while the entry that says that this replica is in sync is being written to the log. */
  bool in_sync_write_pending;
  /** When the successor last answered, or there was no request that it could have answered. */
  time_us successor_answered_at;
  /** When the successor was last sent a checksum of the committed state. */
  time_us checksum_sent_at;
} replication_state;

/** Waits for the lock. Returns false when the deadline passed or the tasks are stopped. */
bool replication_lock(struct replica *replica, time_us deadline);
/** Releases the lock. */
void replication_unlock(struct replica *replica);
/** Applies the records up to a number that the tail has confirmed to the committed state. */
void replication_commit(struct replica *replica, uint64_t seq);
/** At an in-sync tail of a chain that takes writes: commits all records that are here. */
void replication_commit_as_tail(struct replica *replica);
/** Handles ReplicateRequest; the context is the replica. */
enum error_code replication_on_request(void *ctx, Wire__Envelope *in, reply *reply, error *err);
#endif
