#ifndef MEMBERSHIP_NODE_H
#define MEMBERSHIP_NODE_H
/**
 * A node: the membership state that every controller and router of a fleet has. It combines the
 * modules of lib/membership:
 *
 *   peer_rpc.h          messages and calls to other processes
 *   peer_table.h        what is known of other processes, and their incarnations
 *   gossip.h            how processes discover each other
 *   failure_detector.h  heartbeats and suspicions
 *   heartbeat_ring.h    who watches whose heartbeats
 *
 * A controller or router embeds its node, and all its modules use it. Only the tasks of the node's
 * world access it. They run one at a time, so no locks are needed.
 */
#include "failure_detector.h"
#include "heartbeat_ring.h"
#include "http_request.h"
#include "json.h"
#include "log.h"
#include "peer_rpc.h"
#include "peer_table.h"
#include "settings.h"
#include "wire.pb-c.h"
#include "world.h"

/** Duration of a singleton lease, counted from when the renewal request was sent. */
enum { SINGLETON_LEASE_MS = 3000 };

struct node {
  /** Set by node_init and constant afterwards. */
  world *world;
  settings settings;
  logger log;
  time_us started_at;

  /** What the node reports about itself in each envelope. The nonce is drawn at random when the
   * process starts, and peer_table.c raises the incarnation. The functions below set draining and
   * idle. In a controller, lib/controlplane also sets draining: controller_drain.c when it shuts
   * down, and chain_repair.c while its disk fails. */
  uint64_t incarnation, nonce;
  bool draining, idle;

  /** The peer table (peer_node); written by peer_table.c. */
  list_node peers;
  /** Broadcast when a peer joins, restarts, is declared gone or comes back, or when its draining or
   * idle state changes. */
  condition membership_changed;
  /** When another process with this node's name was last heard of; 0 if never. Written by
   * peer_table.c. */
  time_us duplicate_seen_at;

  peer_rpc rpc;
  heartbeat_ring ring;
  failure_detector failure_detector;
};

/** Initializes a node, which handles the messages of its world from then on. */
void node_init(node *node, world *world, const settings *settings);
/** Starts sending heartbeats, checking the heartbeats of peers, and gossip. */
void node_start(node *node);
/** Frees what the node owns; none of its tasks may be left. */
void node_free(node *node);

/** Sets whether this node is idle, that is, can't take singletons, and announces a change to all
 * live peers. */
void node_set_idle(node *node, bool idle);
/** Marks this node as draining and announces to all live peers that it will shut down. */
void node_start_draining(node *node);
/** Appends the JSON members that the status pages of controllers and routers have in common,
 * without the braces of the object. */
void node_append_status_json(node *node, GString *to);
#endif
