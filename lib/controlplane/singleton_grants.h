/** Grants singleton leases.
 *
 * A singleton is a named job that exactly one node of the fleet does at a time. The replicated
 * state names the holder of each (node, nonce of its run) and an epoch, which rises with each grant
 * and is the fencing token of the holder's orders. Renewals are kept in the memory of the head only
 * (replica.singleton_renewed_at): a new head counts all leases from the instant when it became
 * head. A singleton is granted to another node only when the lease of its holder has ended, with
 * some grace for clocks that run at different speeds. */
#ifndef CONTROLPLANE_SINGLETON_GRANTS_H
#define CONTROLPLANE_SINGLETON_GRANTS_H
#include "replica.h"

/** Time that a lease is honoured beyond SINGLETON_LEASE_MS, in ms: a tenth, for clocks of holder
 * and head that run at different speeds. */
enum { SINGLETON_LEASE_GRACE_MS = 300 };

/** The granter of singleton leases at one controller. */
typedef struct singleton_grants {
  node *node;
  replica *replica;
  /** Singleton's name to epoch (uint64_t) of the latest grant that was decided here, committed or
   * not; keys and values are owned. */
  GHashTable *decided_epochs;
} singleton_grants;

/** Registers the handler of lease requests. `node` and `replica` must outlive `grants`. */
void singleton_grants_init(singleton_grants *grants, node *node, replica *replica);
void singleton_grants_free(singleton_grants *grants);
/** Appends all grants as a JSON array; the time since the renewal is -1 unless this is the head. */
void singleton_grants_write_json(const singleton_grants *grants, GString *to);
#endif
