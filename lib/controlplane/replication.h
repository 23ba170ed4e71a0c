#ifndef CONTROLPLANE_REPLICATION_H
#define CONTROLPLANE_REPLICATION_H
/** Replication of records along the chain. */
#include "state.h"

struct replica;

/** The replication state of one process, kept in memory only. */
typedef struct replication_state {
  /** The state with all records that this replica holds, committed or not. Maintained by
   * replica_write.c at the head; valid only if ordered_valid is set. */
  state ordered;
  bool ordered_valid;
  /** The replication lock, held while records are added or snapshots installed; use
   * replication_lock. */
  bool locked;
  condition unlocked;
  /** Set while the entry that marks this replica as in sync is being written to the log. */
  bool in_sync_write_pending;
  /** When the successor last answered, or when there was last no request that it could have
   * answered. */
  time_us successor_answered_at;
  /** When a checksum of the committed state was last sent to the successor. */
  time_us checksum_sent_at;
} replication_state;

/** Acquires the replication lock. Returns false if the deadline passed or the tasks are stopped. */
bool replication_lock(struct replica *replica, time_us deadline);
/** Releases the replication lock. */
void replication_unlock(struct replica *replica);
/** Applies all records up to seq, which the tail has confirmed, to the committed state. */
void replication_commit(struct replica *replica, uint64_t seq);
/** Commits all local records if this replica is the in-sync tail of a chain that accepts writes. */
void replication_commit_as_tail(struct replica *replica);
/** Handles ReplicateRequest; the context is the replica. */
enum error_code replication_on_request(void *ctx, Wire__Envelope *in, reply *reply, error *err);
#endif
