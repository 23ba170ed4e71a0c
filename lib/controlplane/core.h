#ifndef CONTROLPLANE_CORE_H
#define CONTROLPLANE_CORE_H
#include "state.h"
#include "store.h"

enum { CHAIN_MOST = REPLICAS_MAX, VOTERS_MOST = REPLICAS_MAX, SNAPSHOTS_MOST = 2 };
/** A machine of the core under one disk; a new disk makes a new member. */
typedef struct member {
  id self, area;
  char addr[48];
  uint64_t disk;
} member;
/** What the core has agreed on: the order of the chain and who votes on the next view. */
typedef struct view {
  uint64_t epoch, fleet;
  member chain[CHAIN_MOST], voters[VOTERS_MOST];
  int chain_length, voter_count;
} view;
typedef struct ballot {
  uint64_t round;
  id proposer;
} ballot;
/** What a voter has promised for the view after the one it knows. */
typedef struct vote {
  uint64_t epoch;
  ballot promised, accepted;
  view value;
  bool has;
} vote;
/** A record that is kept in memory for the next in the chain. */
typedef struct record {
  uint64_t seq, epoch;
  GString *op;
} record;

/** The state as it was at one write, packed, while others fetch it in parts. */
typedef struct snapshot {
  uint64_t seq;
  GString *text;
  time_us used;
} snapshot;

/** The leases of one process: those that it holds as a member, those that it granted as a voter.
 * up_at is when it started, voters_at when it learnt of the present voters, act_from the earliest
 * instant at which it may act; acted says that it has acted in the known view, or in an older one
 * with nobody left out since. */
typedef struct lease_book {
  time_us up_at, voters_at, act_from;
  bool acted;
  struct {
    uint64_t disk;
    time_us sent;
  } leases[VOTERS_MOST];
  struct {
    uint64_t disk;
    time_us at;
  } granted[2 * CHAIN_MOST];
} lease_book;

/** One core machine: its disk, its view, its place in the chain. */
typedef struct core {
  node *node;
  store disk;
  /** whole: this copy holds every write that may be acknowledged; whole_syncing: its mark on the
   * disk is not synced yet, and nothing may rest on it. */
  bool running, whole, whole_syncing, ordered_valid, write_locked, draining;
  /** The last write that was on the disk at the start; until the chain has confirmed all up to it,
   * the state here may be older than what is acknowledged. */
  uint64_t read_at_start;
  uint64_t disk_id;
  view view;
  vote vote;
  state committed, ordered;
  GQueue recent;
  size_t recent_bytes;
  uint64_t last_seq, resets, turns, adopting, done_seen;
  time_us repair_from, vote_pending_since, head_since, link_ok_at, last_proposal_at,
      loss_noticed_at, write_locked_since, last_sweep_at;
  lease_book lease;
  struct {
    member who;
    uint64_t epoch;
    time_us at;
  } callers[2 * CHAIN_MOST];
  struct {
    id who;
    time_us at;
  } peers_hearing_nothing[CHAIN_MOST];
  GHashTable *renewed;
  condition moved, work, room, lease_wanted;
  int founder_count;
  char founder_addrs[3][48];
  /* the states that are being fetched from here; see snapshot.c */
  snapshot snapshots[SNAPSHOTS_MOST];
} core;

/** Fills op out of the state that a write is checked against; a code other than OK refuses the
 * write. */
typedef int (*core_make)(void *ctx, state *spec, GString *op, error *err);

/** Opens the disk and takes up the work of a core machine; err says why not. Run it in a task. */
int core_start(core *core, node *node, error *err);
void core_free(core *core);

/** This machine's place in the chain, or -1. */
int core_place(const core *core);
/** The index of this machine among the voters, or -1. */
int core_voter_index(const core *core);
/** The most members that the chain takes. */
int core_chain_limit(const core *core);
/** True when this copy holds every write that may be acknowledged, and its mark is synced. */
bool core_whole(const core *core);
/** True when this copy is whole and its state holds every acknowledged write that its disk held at
 * the start. */
bool core_current(const core *core);
/** True when this machine may act for the view that it knows: its lease runs. */
bool core_acts(core *core);
bool core_heads(core *core);
bool core_tails(core *core);
/** True when the chain of a view has too few copies, or spans too few areas, to take writes. */
bool view_thin(const core *core, const view *view);
/** The state with all that is ordered here, whether the tail has it yet or not. */
const state *core_ordered(core *core);
/** Makes an op under the head's lock, orders it, and waits until the tail has it. Blank op: nothing
 * to do. */
int core_write(core *core, core_make make, void *ctx, time_us span, uint64_t *seq, error *err);
/** The member at the head or the tail that this machine knows of; NULL when there is none. */
const member *core_head(const core *core);
const member *core_tail(const core *core);
/** The view that this machine knows, as JSON. */
void view_json(const core *core, GString *to);
#endif
