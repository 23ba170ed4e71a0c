#ifndef MEMBERSHIP_NODE_H
#define MEMBERSHIP_NODE_H
/**
 * A node: what every process of a fleet has, controller or router. It puts the modules of
 * lib/membership together:
 *
 *   peer_rpc.h          messages and calls to other processes
 *   peer_table.h        what is known of other processes, and their incarnations
 *   gossip.h            how processes learn of each other
 *   failure_detector.h  heartbeats and suspicions
 *   heartbeat_ring.h    who watches whose heartbeats
 *
 * A controller or router embeds its node and reaches it from all its modules. A node is used by the
 * tasks of its world only, which run one at a time, so nothing here is locked.
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

/** Time that a singleton lease lasts, counted from the sending of the renewal that it answers. */
enum { SINGLETON_LEASE_MS = 3000 };

struct node {
  /** Set by node_init, and unchanged from then on. */
  world *world;
  settings settings;
  logger log;
  time_us started_at;

  /** What the node says of itself in each envelope. The nonce is drawn at the start; the
   * incarnation is raised by peer_table.c; draining is set by the functions
   * below and, while its disk fails, by lib/controlplane/chain_repair.c; idle by the functions
   * below. */
  uint64_t incarnation, nonce;
  bool draining, idle;

  /** The peer table (peer_node); written by peer_table.c. */
  list_node peers;
  /** Broadcast when a peer joins, restarts, is declared gone or is back, or begins or ends to drain
   * or to be idle. */
  condition membership_changed;
  /** When another process with this node's name was last heard of; 0: never. Written by
   * peer_table.c. */
  time_us duplicate_seen_at;

  peer_rpc rpc;
  heartbeat_ring ring;
  failure_detector failure_detector;
};

/** Makes a node in a world, whose messages it takes from then on. */
void node_init(node *node, world *world, const settings *settings);
/** Starts heartbeats, the watch of others' heartbeats, and gossip. */
void node_start(node *node);
/** Frees what the node owns; no task of its may be left. */
void node_free(node *node);

/** Sets whether this node is idle, that is, can't take singletons; a change is announced to all
 * peers. */
void node_set_idle(node *node, bool idle);
/** Announces to all peers that this node will end. */
void node_start_draining(node *node);
/** Appends what the status pages of controllers and routers have in common, as members of a JSON
 * object without its braces. */
void node_append_status_json(node *node, GString *to);
#endif
