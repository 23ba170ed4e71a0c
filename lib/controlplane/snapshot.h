#ifndef CONTROLPLANE_SNAPSHOT_H
#define CONTROLPLANE_SNAPSHOT_H
/** Transfer of the complete state to a member that joins or has fallen too far behind. */
#include "node.h"

struct replica;

enum {
  /** Maximum number of cached snapshots: two members may fetch snapshots of different writes. */
  SNAPSHOTS_MAX = 2,
  /** A cached snapshot is freed if it has not been read for this many ms. Longer than the timeout
   * of a chunk, so that a member which is still fetching finds it. */
  SNAPSHOT_IDLE_MS = 3000
};

/** The packed committed state as of one write. */
typedef struct snapshot {
  uint64_t seq;
  /** NULL if the entry is free. */
  GString *packed;
  time_us used_at;
} snapshot;

/** The snapshots that other members fetch from this replica, in chunks. */
typedef struct snapshot_cache {
  snapshot entries[SNAPSHOTS_MAX];
} snapshot_cache;

/** Frees the snapshots that have not been read recently. */
void snapshot_cache_expire(snapshot_cache *cache, time_us now);
/** Frees all snapshots. */
void snapshot_cache_clear(snapshot_cache *cache);
/** Fetches the state of the member at an address and replaces this replica's state with it. The
 * replica is out of sync afterwards. Returns OK or an error. Nothing changes if an error occurs
 * before the state has been fetched completely. */
enum error_code snapshot_fetch(struct replica *replica, const char *address, error *err);
/** Handles SnapshotRequest; the context is the replica. */
enum error_code snapshot_on_request(void *ctx, Wire__Envelope *in, reply *reply, error *err);
#endif
