#ifndef CONTROLPLANE_REPLICA_WRITE_H
#define CONTROLPLANE_REPLICA_WRITE_H
/** Writes to the replicated state, at the head of the chain. */
#include "state.h"

struct replica;

/** Builds the packed Operation of a write from the state that the write is checked against. An
 * empty operation means that there is nothing to write; a code other than OK refuses the write. The
 * function must not wait. */
typedef enum error_code (*operation_builder)(void *ctx, state *ordered, GString *operation,
                                             error *err);

/** Returns the state with all records that this replica holds, committed or not. The result is
 * valid until the caller waits. */
const state *replica_ordered_state(struct replica *replica);
/** Builds an operation under the replication lock, orders and syncs it, and waits up to timeout
 * until the tail has committed it. Sets *seq to its sequence number. Returns OK if the write is
 * acknowledged, E_OUTCOME_UNKNOWN if it may or may not become part of the state, and any other code
 * if nothing was written. */
enum error_code replica_write(struct replica *replica, operation_builder build, void *ctx,
                              time_us timeout, uint64_t *seq, error *err);
#endif
