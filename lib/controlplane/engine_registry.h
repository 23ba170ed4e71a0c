/** The engines that have registered with the controllers.
 *
 * An engine registers by sending heartbeats, each with a higher count. A heartbeat has a
 * description of the engine: its identity, capacity and loaded models. A registry keeps the latest
 * heartbeat of each engine in memory and numbers its changes, so that others can request the
 * changes after a position: a run of the registry and the sequence number of a change. Descriptions
 * are compared by checksum. An engine is gone when no heartbeat has been received for `silent_ms`;
 * a later heartbeat brings it back. An engine that has signed off never comes back under the same
 * id. Engines that are gone are kept as tombstones for `tombstone_ms`, so that a late update from
 * another controller does not revive them. */
#ifndef CONTROLPLANE_ENGINE_REGISTRY_H
#define CONTROLPLANE_ENGINE_REGISTRY_H
#include "node.h"

/** Defaults of silent_ms and tombstone_ms. */
enum { ENGINE_REGISTRY_SILENT_MS = 8000, ENGINE_REGISTRY_TOMBSTONE_MS = 60000 };

/** One engine, identified by its id, as described by its heartbeats. */
typedef struct registered_engine {
  /** The latest description; owned. Its count, age and flags are not kept up to date: the fields
   * below hold them. */
  Wire__EngineState *description;
  /** Checksum of the description and `draining`, without fields that change merely with time. */
  uint64_t checksum;
  uint64_t heartbeat_count;
  /** The registry's sequence number of the latest change of this engine. */
  uint64_t changed_seq;
  time_us last_heard_at, gone_at;
  /** When the engine will end, as it announced; 0: not known. */
  time_us ends_at;
  /** Until when the engine is slow because it started recently. */
  time_us slow_start_until;
  /** The engine is going to end; this is never reset. */
  bool draining;
  /** The engine is silent, or its address now belongs to another engine. A later heartbeat resets
   * this unless the engine has signed off. */
  bool gone;
  /** The engine has ended permanently. */
  bool signed_off;
  /** A heartbeat that was received here has not yet been announced to the other controllers. */
  bool unannounced;
} registered_engine;

/** The registry of one controller. */
typedef struct engine_registry {
  /** Identifies this run of the registry; positions in another run are meaningless. */
  uint64_t run;
  /** Sequence number of the latest change. */
  uint64_t seq;
  /** Nodes at a position before this one are sent the full list, since some changes after their
   * position may be forgotten. */
  uint64_t full_list_before_seq;
  /** Maps the id of an engine to its registered_engine. Owns the values, which own the keys. */
  GHashTable *engines;
  int64_t silent_ms, tombstone_ms;
  /** Since when heartbeats have been received without interruption. */
  time_us listening_since;
  time_us newest_heartbeat_at, swept_at;
  /** Whether all live engines are known here. */
  bool is_complete;
} engine_registry;

/** What an update of an engine changed. */
enum registry_update {
  /** Nothing: the update is older than the known state. */
  REGISTRY_STALE,
  /** Only the heartbeat count and the time at which the engine was last heard. */
  REGISTRY_ALIVE,
  REGISTRY_CHANGED,
  /** The engine is draining, or has signed off. */
  REGISTRY_DRAINING,
  /** Nothing yet: the update shows that there is a change, but does not contain it. */
  REGISTRY_NEEDS_FETCH
};

/** Makes an empty registry. */
void engine_registry_init(engine_registry *registry, uint64_t run, time_us now);
/** Frees the contents; may be called twice. */
void engine_registry_free(engine_registry *registry);
/** Returns the engine with an id, even if it is gone, or NULL. The result is valid until the next
 * sweep. */
registered_engine *engine_registry_find(const engine_registry *registry, const char *id);
/** Records a heartbeat that was received from the engine itself. */
enum registry_update engine_registry_heartbeat(engine_registry *registry,
                                               const Wire__EngineState *heartbeat, time_us now);
/** Records a sign-off, even of an unknown engine. */
enum registry_update engine_registry_sign_off(engine_registry *registry, const char *id,
                                              time_us now);
/** Merges an update from another controller: the full state of an engine or, if the service is
 * empty, only its count, age and checksum. */
enum registry_update engine_registry_merge(engine_registry *registry,
                                           const Wire__EngineState *update, time_us now);
/** Marks silent engines as gone, and removes old tombstones. Returns true when it marked an
 * engine. reaches_all: whether all other controllers are reachable. One that is not may receive
 * heartbeats that do not arrive here, so engines are marked as gone only after a longer time. */
bool engine_registry_sweep(engine_registry *registry, time_us now, bool reaches_all);
/** Declares that all live engines are known; every node is then sent the full list once. */
void engine_registry_set_complete(engine_registry *registry);
/** Fills a message with the current state of an engine; strings and lists still belong to the
 * registry. slow_start_ms and ends_in_ms count from the last heartbeat, and age_ms is the time
 * since then. gone and draining together mean that the engine signed off; gone alone that it is
 * silent or was replaced at its address. */
void engine_registry_pack_engine(const registered_engine *engine, time_us now,
                                 Wire__EngineState *to);
/** Fills a message with id, count, age and checksum only; the id still belongs to the registry. */
void engine_registry_pack_heartbeat(const registered_engine *engine, time_us now,
                                    Wire__EngineState *to);
/** Returns the engines that changed after a position, or all live ones when the position is of
 * another run or too old. is_full_list is set to whether they are all live engines of the fleet.
 * Free the result with g_ptr_array_free; its elements still belong to the registry. */
GPtrArray *engine_registry_changed_since(const engine_registry *registry, uint64_t run,
                                         uint64_t seq, bool *is_full_list);
#endif
