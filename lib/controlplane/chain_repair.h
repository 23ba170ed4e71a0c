#ifndef CONTROLPLANE_CHAIN_REPAIR_H
#define CONTROLPLANE_CHAIN_REPAIR_H
/** Repair of the view: when this process proposes the next one, and when it drains. */
#include "node.h"

struct replica;

/** The state of repair; only chain_repair.c writes it. */
typedef struct chain_repair_state {
  /** No view is proposed before this instant. */
  time_us not_before;
  /** Since when the view has needed a change; 0: it does not. */
  time_us change_needed_at;
  time_us last_proposal_at;
  /** The log's last synced number as seen last, and since when it has not risen though entries
   * wait; 0: none wait. */
  uint64_t wal_synced_seen;
  time_us wal_waiting_since;
} chain_repair_state;

/** Initializes the state at the start of a process that may act from an instant on. */
void chain_repair_init(chain_repair_state *repair, time_us may_act_at);
/** Notes that a view was entered: the next one is not proposed at once. */
void chain_repair_on_new_view(chain_repair_state *repair, time_us now);
/** The task: checks the view and the disk ten times a second. Its context is the replica. */
void chain_repair_run(void *ctx);
#endif
