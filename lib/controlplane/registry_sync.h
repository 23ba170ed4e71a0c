/** Synchronizes the engine registries of the controllers, and announces changes to routers.
 *
 * An engine sends its heartbeats to any controller. The controller announces a change at once to
 * all other controllers; heartbeats without a change are announced in batches, as count, age and
 * checksum. A controller that receives an unknown checksum fetches the whole registry of the
 * sender. A controller that starts first fetches the registry of another one; until then its own
 * registry is not complete and is not used as the list of all engines. Routers get changes by their
 * config polls; that an engine is draining is also sent to them at once. */
#ifndef CONTROLPLANE_REGISTRY_SYNC_H
#define CONTROLPLANE_REGISTRY_SYNC_H
#include "engine_registry.h"

typedef struct registry_sync {
  node *node;
  /** Broadcast to wake config polls after changes; owned by the replica. */
  condition *polls_wakeup;
  engine_registry registry;
  /** True once this controller accepts heartbeats and answers polls with engines. */
  bool is_started;
  /** Sequence number of the latest registry change for which polls were woken. */
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
/** Starts the tasks; called once, by a controller that accepts heartbeats. */
void registry_sync_start(registry_sync *sync);
/** Announces the change made by a heartbeat or sign-off that this controller received. */
void registry_sync_announce(registry_sync *sync, const char *engine_id,
                            enum registry_update update);
/** Returns whether there are announced changes of engines that the sender of a poll lacks. */
bool registry_sync_has_changes(const registry_sync *sync, const Wire__ConfigPollRequest *request);
/** Adds to the response the changes of engines that the sender of a poll lacks. */
void registry_sync_fill_response(const registry_sync *sync, const Wire__ConfigPollRequest *request,
                                 Wire__ConfigPollResponse *response, reply *reply);
#endif
