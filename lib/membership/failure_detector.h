#ifndef MEMBERSHIP_FAILURE_DETECTOR_H
#define MEMBERSHIP_FAILURE_DETECTOR_H
/**
 * The failure detector: decides which peers are gone.
 *
 * Heartbeats. Every 350 ms (and up to a fifth more, at random) a process sends a heartbeat to its
 * three watchers, the processes that stand next on the heartbeat ring (heartbeat_ring.h). Any other
 * message of the process counts as a sign of life, too.
 *
 * Suspicion. A watcher that has heard nothing from a process for 1.4 s (four heartbeats) sends a
 * suspicion to all live peers, and does so again every 350 ms while the silence lasts. A suspicion
 * is forgotten after 1.6 s. When a node has suspicions of two different watchers at the same time,
 * and has itself heard nothing from the process for 0.7 s, it declares the process gone. Each node
 * decides for itself; there is no agreement. Two suspicions are asked for since one watcher may be
 * cut off from a healthy process, and the 0.7 s protect a process that some watchers can't hear but
 * this node can. A process that receives a suspicion of itself sends a heartbeat to all live peers
 * at once. So a dead process is gone everywhere within about two seconds.
 *
 * Pauses. A watcher that was itself stopped (a frozen process, a suspended machine) has missed
 * heartbeats through its own fault: when its own timer comes more than 0.7 s after the last one,
 * it starts all its watches anew.
 *
 * Lateness. Under overload heartbeats are sent late, and those that have come wait to be read. Each
 * process measures how late its own timer runs (its latest value, or three quarters of the one
 * before, whichever is larger) and says so in its heartbeats. The watcher adds the peer's lateness
 * and its own to the 1.4 s, but never waits for more than 2.8 s. Lateness above 0.7 s is a pause
 * and counts as none, since it says nothing about the time after it. Heartbeats are sent and
 * watched by urgent tasks (task.h), which run before others.
 */
#include "base.h"

typedef struct node node;

/** Suspicions of one peer that a node keeps: more than a process has watchers, since the ring, and
 * with it the watchers, may change. */
enum { SUSPICIONS_MAX = 6 };
/** One watcher's suspicion of a peer. */
typedef struct suspicion {
  /** The watcher; empty: this entry is free. */
  id by;
  time_us at;
} suspicion;

/** The state of one node's failure detector; written by failure_detector.c only. What it knows of
 * each peer stands in struct peer_node. */
typedef struct failure_detector {
  uint64_t last_sequence;
  /** How late tasks of this process have run lately, in ms. */
  int64_t lateness_ms;
} failure_detector;

/** Registers the handlers of its messages. */
void failure_detector_init(node *node);
/** Starts the tasks that send and watch heartbeats. */
void failure_detector_start(node *node);
/** Sends a heartbeat to all live peers, so that they learn at once what the envelope says of this
 * process. */
void failure_detector_announce_self(node *node);
#endif
