/** Answers config polls, by which data-plane nodes get configuration and the list of engines.
 *
 * A poll names what the node has: the write up to which it knows the state, and its position in
 * this controller's engine registry. It is held open until there is something newer (long poll) or
 * a limit has passed; then the response has what the node lacks. The response also says whether it
 * is confirmed, i.e. whether this controller has a member lease; only confirmed responses keep a
 * node's configuration recent. */
#ifndef CONTROLPLANE_CONFIG_POLL_H
#define CONTROLPLANE_CONFIG_POLL_H
#include "registry_sync.h"
#include "replica.h"
#include "routing_text_cache.h"

typedef struct config_poll {
  node *node;
  replica *replica;
  registry_sync *registry_sync;
  routing_text_cache routing_texts;
  /** Responses that had a state snapshot, for the metrics. */
  uint64_t updates_sent;
} config_poll;

/** Registers the handler of ConfigPollRequest. The other modules must outlive `config_poll`. */
void config_poll_init(config_poll *config_poll, node *node, replica *replica,
                      registry_sync *registry_sync);
void config_poll_free(config_poll *config_poll);
#endif
