#ifndef CONTROLPLANE_REPLICA_WRITE_H
#define CONTROLPLANE_REPLICA_WRITE_H
/** Writes to the replicated state, at the head of the chain. */
#include "state.h"

struct replica;

/** Builds the packed Operation of a write from the state that it is checked against. An empty one
 * means that there is nothing to write; a code other than OK refuses the write. It must not wait.
 */
typedef enum error_code (*operation_builder)(void *ctx, state *ordered, GString *operation,
                                             error *err);

/** Returns the state with all records that this replica holds, committed or not. It is valid until
 * the next wait. */
const state *replica_ordered_state(struct replica *replica);
/** Builds an operation under the lock of replication, orders and syncs it, and waits up to timeout
 * until the tail has committed it. Sets *seq to its number. Returns OK when it is acknowledged;
 * E_OUTCOME_UNKNOWN when it may or may not become part of the state; any other code when nothing
 * was written. */
enum error_code replica_write(struct replica *replica, operation_builder build, void *ctx,
                              time_us timeout, uint64_t *seq, error *err);
#endif
