#ifndef MEMBERSHIP_HEARTBEAT_RING_H
#define MEMBERSHIP_HEARTBEAT_RING_H
/**
 * The heartbeat ring: who watches whose heartbeats.
 *
 * All live processes stand on a ring, ordered by a hash of their names. A process is watched by the
 * next three behind it, in two passes: the first takes at most one watcher of each zone, so that
 * the loss of a zone does not take all watchers; the second fills up with any. Everyone who knows
 * the same live processes computes the same ring, so watchers need not be agreed on, and a process
 * that joins or leaves changes the watchers of its neighbours only.
 */
#include "settings.h"

typedef struct node node;

/** The number of watchers of a process, where the fleet has as many other processes. */
enum { HEARTBEAT_WATCHERS = 3 };

/** A process's position on the ring. */
typedef struct ring_position {
  uint64_t hash;
  id self, zone;
  char address[ADDRESS_BYTES];
} ring_position;

/** The ring as one node sees it; written by heartbeat_ring.c only. It is built when it is asked for
 * after a change of the peer table. */
typedef struct heartbeat_ring {
  /** ring_position, in the order of hashes. */
  GArray *positions;
  bool stale;
  /** Distinct zones on the ring. */
  int zone_count;
  /** How often it was built; tests check that it is not built for each heartbeat. */
  uint64_t build_count;
} heartbeat_ring;

/** Makes an empty ring that is built on first use. */
void heartbeat_ring_init(heartbeat_ring *ring);
void heartbeat_ring_free(heartbeat_ring *ring);
/** To be called when a process becomes live or gone, or changes its address or zone. */
void heartbeat_ring_invalidate(heartbeat_ring *ring);
/** Fills in the watchers of a process, which need not be on the ring. Returns their number. */
int heartbeat_ring_watchers(node *node, id who, ring_position watchers[HEARTBEAT_WATCHERS]);
#endif
