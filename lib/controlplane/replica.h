#ifndef CONTROLPLANE_REPLICA_H
#define CONTROLPLANE_REPLICA_H
/** One controller's replica of the control state: its disk, its view, its position in the chain.
 * This header only combines the states of the modules; each module writes its own. */
#include "bootstrap.h"
#include "chain_join.h"
#include "chain_repair.h"
#include "chain_rules.h"
#include "member_lease.h"
#include "parallel_call.h"
#include "paxos_acceptor.h"
#include "paxos_proposer.h"
#include "paxos_rules.h"
#include "recent_records.h"
#include "repair_plan.h"
#include "replica_write.h"
#include "replication.h"
#include "replication_sender.h"
#include "snapshot.h"
#include "state.h"
#include "view.h"
#include "view_change.h"
#include "wal.h"
#include "wal_entries.h"

typedef struct replica {
  /** The process that this replica belongs to; not owned. */
  node *node;
  wal wal;
  /** Set once the log has been replayed; requests are not served before that. */
  bool running;
  /** Set by the controller when the process is asked to shut down; see chain_repair.c. */
  bool draining;

  /* The in-memory copy of what the log holds, replayed by wal_entries.c. */

  /** Id of the disk; never 0 once the replica runs. */
  uint64_t disk_id;
  /** Whether this replica holds every write that may have been acknowledged. Written by
   * replication.c and snapshot.c; see replica_in_sync. */
  bool in_sync;
  /** The known view; its epoch is 0 if there is none. Written by view_change.c. */
  view view;
  /** Written by paxos_acceptor.c. */
  acceptor_state acceptor;
  /** The state with all records that are known to be committed. */
  state committed;
  /** The last record that is synced here, and the records in memory. Written by replication.c,
   * replica_write.c and snapshot.c, under the replication lock. */
  uint64_t last_seq;
  recent_records recent_records;

  /* In memory only. */

  /** The last record in the log at the start. Until the chain has confirmed all records up to it,
   * the committed state may be older than what was acknowledged. 0 once a snapshot is installed. */
  uint64_t last_seq_at_start;
  /** How often the state and the log were replaced by a snapshot since the start. A sequence number
   * from before such a reset may refer to another record afterwards. Written by snapshot.c. */
  uint64_t log_resets;
  /** Signalled when the committed state or the view has changed. */
  condition state_changed;
  /** Signalled when there may be something to send to the successor. */
  condition replication_wanted;
  /** Since when this replica has held a member lease in the known view, or 0 if it has not. No
   * other head can have renewed a singleton lease after this time, so a head uses it as the renewal
   * time of grants that it has not renewed itself. Written by member_lease.c, reset by
   * view_change.c. */
  time_us lease_held_since;
  /** When each singleton lease was last renewed, as a map from name to time_us. Written by the
   * controller, and reset by view_change.c when this replica is no longer the head. */
  GHashTable *singleton_renewed_at;

  view_change_state view_change;
  member_lease_state lease;
  replication_state replication;
  snapshot_cache snapshot_cache;
  chain_repair_state chain_repair;
  join_requests join_requests;
  bootstrap_state bootstrap;
} replica;

/** Opens the log, replays it and starts the replica's tasks. Must run in a task, since it retries
 * while the disk cannot be opened. Returns OK, E_STOPPING or the disk's error. */
enum error_code replica_start(replica *replica, node *node, error *err);
/** Frees the replica's memory. All of its tasks must have ended. */
void replica_free(replica *replica);

/** Returns this controller as a member with its current disk. */
member replica_as_member(const replica *replica);
/** Returns this member's index in the chain, or -1. */
int replica_chain_index(const replica *replica);
/** Returns this member's index among the voters, or -1. */
int replica_voter_index(const replica *replica);
/** Returns this member's position for the rules of replication. */
chain_position replica_chain_position(const replica *replica);
/** Returns the maximum number of chain members, from the settings. */
int replica_chain_max(const replica *replica);
/** Returns whether this replica holds every write that may have been acknowledged, and this is
 * recorded in its log. */
bool replica_in_sync(const replica *replica);
/** Returns whether this replica is in sync and its committed state includes every record that its
 * log held at the start. */
bool replica_is_current(const replica *replica);
/** Returns whether this replica may act as the head: it is the head, is in sync, and holds a lease.
 */
bool replica_is_acting_head(replica *replica);
/** Returns whether this replica may act as the tail and serve reads: it is the tail, is in sync,
 * knows that all its records are committed, and holds a lease. */
bool replica_is_acting_tail(replica *replica);
/** Returns whether the chain of a view has too few members, or spans too few zones, to accept
 * writes. */
bool replica_view_is_under_replicated(const replica *replica, const view *view);
/** Returns the first member of the known chain, or NULL if no view is known. */
const member *replica_head(const replica *replica);
/** Returns the last member of the known chain, or NULL if no view is known. */
const member *replica_tail(const replica *replica);
/** Appends the known view as JSON. */
void replica_append_view_json(const replica *replica, GString *to);
#endif
