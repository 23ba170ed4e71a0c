/** Grants singleton leases.
 *
 * A singleton is a named job that exactly one node of the fleet performs at a time. For each
 * singleton the replicated state records the holder (its node id and the nonce of its process) and
 * an epoch, which increases with each grant and is the fencing token of the holder's orders.
 * Renewal times are kept only in the memory of the head (replica.singleton_renewed_at): a new head
 * counts all leases from the time at which it became head. A singleton is granted to another
 * node only after the holder's lease has expired, plus a grace period for clock drift. */
#ifndef CONTROLPLANE_SINGLETON_GRANTS_H
#define CONTROLPLANE_SINGLETON_GRANTS_H
#include "replica.h"

/** How long a lease is honoured beyond SINGLETON_LEASE_MS, in ms: a tenth of it, to tolerate clock
 * drift between the holder and the head. */
enum { SINGLETON_LEASE_GRACE_MS = 300 };

/** Grants singleton leases on one controller. */
typedef struct singleton_grants {
  node *node;
  replica *replica;
  /** Maps the name of a singleton to the epoch (uint64_t) of the latest grant that was decided
   * here, committed or not. Owns keys and values. */
  GHashTable *decided_epochs;
} singleton_grants;

/** Registers the handler of lease requests. `node` and `replica` must outlive `grants`. */
void singleton_grants_init(singleton_grants *grants, node *node, replica *replica);
void singleton_grants_free(singleton_grants *grants);
/** Appends all grants as a JSON array. The time since the last renewal is -1 if this controller is
 * not the head or knows of no renewal. */
void singleton_grants_append_json(const singleton_grants *grants, GString *to);
#endif
