/** The membership state of a process: see node.h. */
#include "node.h"
#include "gossip.h"

enum {
  FIRST_INCARNATION = 1,
  /* how long status pages report another process with the same name after it was last heard of */
  DUPLICATE_REPORTED_MS = 15000
};

void node_init(node *node, world *world, const settings *settings) {
  memset(node, 0, sizeof *node);
  node->world = world;
  node->settings = *settings;
  node->log = (logger){ world, settings->self, settings->debug_log, settings->json_log };
  node->started_at = world_now(world);
  node->incarnation = FIRST_INCARNATION;
  /* The nonce is never 0, because 0 in a message means that no nonce is set. */
  node->nonce = world->random(world) | 1;
  list_init(&node->peers);
  condition_init(&node->membership_changed);
  heartbeat_ring_init(&node->ring);
  peer_rpc_init(node);
  failure_detector_init(node);
  gossip_init(node);
}

void node_start(node *node) {
  failure_detector_start(node);
  gossip_start(node);
}

void node_free(node *node) {
  peer_table_free(node);
  heartbeat_ring_free(&node->ring);
  peer_rpc_free(node);
}

void node_set_idle(node *node, bool idle) {
  if (node->idle == idle)
    return;
  node->idle = idle;
  failure_detector_announce_self(node);
}

void node_start_draining(node *node) {
  if (node->draining)
    return;
  node->draining = true;
  failure_detector_announce_self(node);
}

static bool has_duplicate(node *node) {
  return node->duplicate_seen_at.us &&
         !time_reached(world_now(node->world),
                       time_add(node->duplicate_seen_at, time_from_ms(DUPLICATE_REPORTED_MS)));
}

void node_append_status_json(node *node, GString *to) {
  json_appendf(to, "\"twin\":%s,\"wireOdd\":%" PRIu64 ",\"seeds\":[\"%s\",\"%s\",\"%s\"]",
               has_duplicate(node) ? "true" : "false", node->rpc.refused_wire_versions,
               node->settings.seed_addresses[0], node->settings.seed_addresses[1],
               node->settings.seed_addresses[2]);
}
