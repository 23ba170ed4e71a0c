#ifndef MEMBERSHIP_FAILURE_DETECTOR_H
#define MEMBERSHIP_FAILURE_DETECTOR_H
/**
 * The failure detector: decides which peers are gone.
 *
 * Heartbeats. Every 350 ms, plus a random jitter of up to a fifth, a process sends a heartbeat to
 * its three watchers, the next processes on the heartbeat ring (heartbeat_ring.h). Any other
 * message from the process also counts as a sign of life.
 *
 * Suspicion. A watcher that has heard nothing from a process for 1.4 s (four heartbeats) sends a
 * suspicion to all live peers, and repeats it every 350 ms while the silence lasts. A suspicion
 * expires after 1.6 s. A node declares a process gone when it holds suspicions from two different
 * watchers at the same time and has itself heard nothing from the process for 0.7 s. Each node
 * decides for itself, without agreement. Two suspicions are required because a single watcher may
 * be partitioned from a healthy process. The 0.7 s protect a process that this node can hear but
 * some watchers can't. A process that receives a suspicion of itself immediately sends a heartbeat
 * to all live peers. A dead process is therefore declared gone everywhere within about two seconds.
 *
 * Pauses. A watcher that was itself paused (a frozen process, a suspended machine) has missed
 * heartbeats that peers did send. When its own timer fires more than 0.7 s after the previous time,
 * it restarts the silence timers of all peers that it watches.
 *
 * Lateness. Under overload, heartbeats are sent late, and received ones wait to be read. Each
 * process measures how late its own timer fires (the larger of the latest value and three quarters
 * of the previous result) and reports it in its heartbeats. The watcher adds the peer's lateness
 * and its own to the 1.4 s, up to a total of 2.8 s. A lateness above 0.7 s is a pause and counts as
 * zero, because it predicts nothing about the time that follows. Urgent tasks (task.h), which run
 * before all others, send and check heartbeats.
 */
#include "base.h"

typedef struct node node;

/** Maximum number of suspicions that a node keeps per peer. It exceeds HEARTBEAT_WATCHERS because
 * the watchers change with the ring. */
enum { SUSPICIONS_MAX = 6 };
/** One watcher's suspicion of a peer. */
typedef struct suspicion {
  /** The watcher; empty if this entry is free. */
  id by;
  time_us at;
} suspicion;

/** The state of one node's failure detector; written by failure_detector.c only. Its state per peer
 * is in struct peer_node. */
typedef struct failure_detector {
  /** Number of the last heartbeat that was sent. */
  uint64_t last_sequence;
  /** How late the tasks of this process have recently run, in ms. */
  int64_t lateness_ms;
} failure_detector;

/** Registers the handlers of heartbeats and suspicions. */
void failure_detector_init(node *node);
/** Starts the tasks that send heartbeats and check those of peers. */
void failure_detector_start(node *node);
/** Sends a heartbeat to all live peers, so that they immediately learn the state of this process
 * that its envelope carries. */
void failure_detector_announce_self(node *node);
#endif
