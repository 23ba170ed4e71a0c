#ifndef CONTROLPLANE_SNAPSHOT_H
#define CONTROLPLANE_SNAPSHOT_H
/** Transfer of the complete state to a member that joins or lags too far behind. */
#include "node.h"

struct replica;

enum {
  /** Snapshots that are cached at a time: two members may fetch at different writes. */
  SNAPSHOTS_MAX = 2,
  /** A cached snapshot that nobody has read from for so many ms is freed; longer than a chunk may
   * take, so that whoever still fetches finds it. */
  SNAPSHOT_IDLE_MS = 3000
};

/** The committed state as it was after one write, packed. */
typedef struct snapshot {
  uint64_t seq;
  /** NULL: the entry is free. */
  GString *text;
  time_us used_at;
} snapshot;

/** The snapshots that other members fetch from here, in chunks. */
typedef struct snapshot_cache {
  snapshot entries[SNAPSHOTS_MAX];
} snapshot_cache;

/** Frees the snapshots that nobody has read from lately. */
void snapshot_cache_expire(snapshot_cache *cache, time_us now);
/** Frees all snapshots. */
void snapshot_cache_clear(snapshot_cache *cache);
/** Fetches the state of the member at an address and replaces this replica's state by it. The
 * replica is out of sync afterwards. Returns OK or an error; on an error before the state is
 * complete nothing has changed. */
enum error_code snapshot_fetch(struct replica *replica, const char *address, error *err);
/** Handles SnapshotRequest; the context is the replica. */
enum error_code snapshot_on_request(void *ctx, Wire__Envelope *in, reply *reply, error *err);
#endif
