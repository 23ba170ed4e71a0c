#ifndef CONTROLPLANE_CORE_H
#define CONTROLPLANE_CORE_H
#include "state.h"
#include "wal.h"

enum { CHAIN_MAX = REPLICAS_MAX, VOTERS_MAX = REPLICAS_MAX, SNAPSHOTS_MAX = 2 };
/** A machine of the core under one disk; a new disk makes a new member. */
typedef struct member {
  id self, zone;
  char address[48];
  uint64_t disk_id;
} member;
/** What the core has agreed on: the order of the chain and who votes on the next view. */
typedef struct view {
  uint64_t epoch, fleet_id;
  member chain[CHAIN_MAX], voters[VOTERS_MAX];
  int chain_length, voter_count;
} view;
typedef struct proposal_number {
  uint64_t round;
  id proposer;
} proposal_number;
/** What a voter has promised for the view after the one it knows. */
typedef struct acceptor_state {
  uint64_t epoch;
  proposal_number promised, accepted;
  view value;
  bool has_accepted;
} acceptor_state;
/** A record that is kept in memory for the next in the chain. */
typedef struct record {
  uint64_t seq, epoch;
  GString *op;
} record;

/** The state as it was at one write, packed, while others fetch it in parts. */
typedef struct snapshot {
  uint64_t seq;
  GString *text;
  time_us used_at;
} snapshot;

/** The leases of one process: those that it holds as a member, those that it granted as a voter.
 * up_at is when it started, voters_at when it learnt of the present voters, act_from the earliest
 * instant at which it may act; acted says that it has acted in the known view, or in an older one
 * with nobody left out since. */
typedef struct member_leases {
  time_us started_at, voters_known_at, may_act_at;
  bool has_acted;
  struct {
    uint64_t disk;
    time_us sent;
  } held[VOTERS_MAX];
  struct {
    uint64_t disk;
    time_us at;
  } granted[2 * CHAIN_MAX];
} member_leases;

/** One core machine: its disk, its view, its place in the chain. */
typedef struct replica {
  node *node;
  wal wal;
  /** whole: this copy holds every write that may be acknowledged; in_sync_marking: its mark on the
   * disk is not synced yet, and nothing may rest on it. */
  bool running, in_sync, in_sync_marking, ordered_valid, write_locked, draining;
  /** The last write that was on the disk at the start; until the chain has confirmed all up to it,
   * the state here may be older than what is acknowledged. */
  uint64_t last_seq_at_start;
  uint64_t disk_id;
  view view;
  acceptor_state acceptor;
  state committed, ordered;
  GQueue recent_records;
  size_t recent_bytes;
  uint64_t last_seq, log_resets, highest_round, adopting_epoch, wal_synced_seen;
  time_us repair_at, prepare_pending_since, head_since, successor_answered_at, last_proposal_at,
      loss_noticed_at, write_locked_since, last_sweep_at;
  member_leases leases;
  struct {
    member who;
    uint64_t epoch;
    time_us at;
  } join_requests[2 * CHAIN_MAX];
  struct {
    id who;
    time_us at;
  } peers_hearing_nothing[CHAIN_MAX];
  GHashTable *singleton_renewed_at;
  condition state_changed, replication_wanted, write_unlocked, lease_renewal_wanted;
  int founder_count;
  char founder_addresses[3][48];
  /* the states that are being fetched from here; see snapshot.c */
  snapshot snapshots[SNAPSHOTS_MAX];
} replica;

/** Fills op out of the state that a write is checked against; a code other than OK refuses the
 * write. */
typedef int (*operation_builder)(void *ctx, state *spec, GString *op, error *err);

/** Opens the disk and takes up the work of a core machine; err says why not. Run it in a task. */
int replica_start(replica *replica, node *node, error *err);
void replica_free(replica *replica);

/** This machine's place in the chain, or -1. */
int replica_chain_index(const replica *replica);
/** The index of this machine among the voters, or -1. */
int replica_voter_index(const replica *replica);
/** The most members that the chain takes. */
int replica_chain_max(const replica *replica);
/** True when this copy holds every write that may be acknowledged, and its mark is synced. */
bool replica_in_sync(const replica *replica);
/** True when this copy is whole and its state holds every acknowledged write that its disk held at
 * the start. */
bool replica_is_current(const replica *replica);
/** True when this machine may act for the view that it knows: its lease runs. */
bool replica_holds_lease(replica *replica);
bool replica_is_acting_head(replica *replica);
bool replica_is_acting_tail(replica *replica);
/** True when the chain of a view has too few copies, or spans too few areas, to take writes. */
bool replica_view_is_under_replicated(const replica *replica, const view *view);
/** The state with all that is ordered here, whether the tail has it yet or not. */
const state *replica_ordered_state(replica *replica);
/** Makes an op under the head's lock, orders it, and waits until the tail has it. Blank op: nothing
 * to do. */
int replica_write(replica *replica, operation_builder make, void *ctx, time_us span, uint64_t *seq,
                  error *err);
/** The member at the head or the tail that this machine knows of; NULL when there is none. */
const member *replica_head(const replica *replica);
const member *replica_tail(const replica *replica);
/** The view that this machine knows, as JSON. */
void view_json(const replica *replica, GString *to);
#endif
