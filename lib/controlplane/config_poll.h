/** Answers config polls, by which data-plane nodes get configuration and the list of engines.
 *
 * A poll names what the node already has: the sequence number of the latest write in its state, and
 * its position in this controller's engine registry. The poll is held open until there is something
 * newer (long polling) or a time limit has passed; the response then contains what the node lacks.
 * It also says whether it is confirmed, i.e. whether this controller has a member lease: a node
 * counts its configuration as recent only after confirmed responses. */
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
  /** Number of responses with a state snapshot, for the metrics. */
  uint64_t updates_sent;
} config_poll;

/** Registers the handler of ConfigPollRequest. The other modules must outlive `config_poll`. */
void config_poll_init(config_poll *config_poll, node *node, replica *replica,
                      registry_sync *registry_sync);
void config_poll_free(config_poll *config_poll);
#endif
