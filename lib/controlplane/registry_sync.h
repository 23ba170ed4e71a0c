/** Keeps the engine registries of the controllers in step, and announces changes to routers.
 *
 * An engine sends its heartbeats to any controller. This one announces a change at once to all
 * other controllers; what only moved an engine's time is announced in batches, as count, age and
 * checksum. A controller that receives a checksum that it does not have fetches all of the sender's
 * registry. A controller that starts fetches another's registry first; until then its own is not
 * complete, and nobody takes it for the list of all engines. Routers get changes by their config
 * polls; that an engine is draining is sent to them at once as well. */
#ifndef CONTROLPLANE_REGISTRY_SYNC_H
#define CONTROLPLANE_REGISTRY_SYNC_H
#include "engine_registry.h"

typedef struct registry_sync {
  node *node;
  /** Broadcast when config polls may tell of new changes; owned by the replica. */
  condition *polls_wakeup;
  engine_registry registry;
  /** True once this controller takes heartbeats, and answers for engines. */
  bool is_started;
  /** The latest change of the registry for which polls were woken. */
  uint64_t announced_seq;
  /** Broadcast at each change of the registry. */
  condition registry_changed;
  /** When a registry was last fetched because of an unknown checksum. */
  time_us fetched_at;
} registry_sync;

/** Makes an empty registry, and registers the handler of EngineUpdate. `node` and `polls_wakeup`
 * must outlive `sync`. */
void registry_sync_init(registry_sync *sync, node *node, condition *polls_wakeup);
void registry_sync_free(registry_sync *sync);
/** Starts the tasks; called once, by a controller that takes heartbeats. */
void registry_sync_start(registry_sync *sync);
/** Announces what a heartbeat or sign-off that this controller received has changed. */
void registry_sync_announce(registry_sync *sync, const char *engine_id,
                            enum registry_update update);
/** True when a response to a poll would have engines that its sender lacks. */
bool registry_sync_has_changes(const registry_sync *sync, const Wire__ConfigPollRequest *request);
/** Adds the engines that the sender of a poll lacks to the response. */
void registry_sync_fill_response(const registry_sync *sync, const Wire__ConfigPollRequest *request,
                                 Wire__ConfigPollResponse *response, reply *reply);
#endif
