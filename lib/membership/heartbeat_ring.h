#ifndef MEMBERSHIP_HEARTBEAT_RING_H
#define MEMBERSHIP_HEARTBEAT_RING_H
/**
 * The heartbeat ring: who watches whose heartbeats.
 *
 * All live processes are on a ring, ordered by a hash of their names. The next three processes
 * after a process watch it. They are chosen in two passes: the first takes at most one watcher per
 * zone, so that the loss of a zone does not remove all watchers; the second fills the remaining
 * places with any processes. All nodes that know the same live processes compute the same ring, so
 * no agreement on watchers is needed. A process that joins or leaves changes the watchers of its
 * neighbours only.
 */
#include "settings.h"

typedef struct node node;

/** The number of watchers per process; fewer if the fleet has fewer other processes. */
enum { HEARTBEAT_WATCHERS = 3 };

/** A process's position on the ring. */
typedef struct ring_position {
  uint64_t hash;
  id self, zone;
  char address[ADDRESS_BYTES];
} ring_position;

/** The ring as one node sees it; written by heartbeat_ring.c only. It is rebuilt on the first use
 * after it was invalidated. */
typedef struct heartbeat_ring {
  /** Elements are ring_position, sorted by hash. */
  GArray *positions;
  bool stale;
  /** Number of distinct zones on the ring. */
  int zone_count;
  /** How often the ring was built; tests check that it is not rebuilt for each heartbeat. */
  uint64_t build_count;
} heartbeat_ring;

/** Initializes an empty ring, which is built on first use. */
void heartbeat_ring_init(heartbeat_ring *ring);
void heartbeat_ring_free(heartbeat_ring *ring);
/** Marks the ring as stale. Call it when a process becomes live or gone, or changes its address or
 * zone. */
void heartbeat_ring_invalidate(heartbeat_ring *ring);
/** Fills in the watchers of a process, which need not be on the ring. Returns their number. */
int heartbeat_ring_watchers(node *node, id who, ring_position watchers[HEARTBEAT_WATCHERS]);
#endif
