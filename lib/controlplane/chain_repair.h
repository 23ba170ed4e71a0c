#ifndef CONTROLPLANE_CHAIN_REPAIR_H
#define CONTROLPLANE_CHAIN_REPAIR_H
/** Repair of the chain: decides when this process proposes the next view and when it drains. */
#include "node.h"

struct replica;

/** The state of chain repair; written by chain_repair.c only. */
typedef struct chain_repair_state {
  /** No view is proposed before this time. */
  time_us not_before;
  /** Since when the view has needed a change, or 0 if it needs none. */
  time_us change_needed_at;
  time_us last_proposal_at;
  /** The log's synced count at the last check, and since when it has not increased although entries
   * are waiting, or 0 if none are waiting. */
  uint64_t wal_synced_seen;
  time_us wal_waiting_since;
} chain_repair_state;

/** Initializes the state at the start of a process that may act from may_act_at on. */
void chain_repair_init(chain_repair_state *repair, time_us may_act_at);
/** Records that a view was entered, and delays the next proposal. */
void chain_repair_on_new_view(chain_repair_state *repair, time_us now);
/** Task function: checks the view and the disk ten times a second. The context is the replica. */
void chain_repair_run(void *ctx);
#endif
