/** The engines that have registered themselves at the controllers.
 *
 * An engine registers by sending heartbeats, each with a higher count; the text of a heartbeat says
 * what the engine is and what it has loaded. A registry keeps the latest heartbeat of each engine
 * in memory and numbers its changes, so that others can ask for what has changed since a number.
 * Texts are compared by a checksum. An engine is gone when its heartbeats stay away for
 * `silent_ms`; a later heartbeat brings it back. One that has signed off never comes back under its
 * id. Engines that are gone are kept as tombstones for `tombstone_ms`, so that a late update of
 * another controller does not revive them. */
#ifndef CONTROLPLANE_ENGINE_REGISTRY_H
#define CONTROLPLANE_ENGINE_REGISTRY_H
#include "node.h"

/** Defaults of silent_ms and tombstone_ms. */
enum { SILENT_MS = 8000, TOMBSTONE_MS = 60000 };

/** One incarnation of an engine, as its heartbeats describe it. */
typedef struct registered_engine {
  /** The latest text; owned. Count, age and flags are those below, not those of the text. */
  Wire__EngineState *heartbeat;
  /** Over the text and `draining`, without what only time changes. */
  uint64_t checksum;
  uint64_t heartbeat_count;
  /** The registry's number of its latest change. */
  uint64_t changed_seq;
  time_us last_heard_at, gone_at;
  /** When it will end, if it said so; 0: not known. */
  time_us ends_at;
  /** Until when it is slow because it started a short time ago. */
  time_us slow_start_until;
  /** It is going to end; this is never taken back. */
  bool draining;
  /** It is silent, or its address belongs to another engine by now; a heartbeat takes this back,
   * unless it signed off. */
  bool gone;
  /** It has ended for good. */
  bool signed_off;
  /** A heartbeat that was received here has not been announced to the other controllers yet. */
  bool unannounced;
} registered_engine;

/** The registry of one controller. */
typedef struct engine_registry {
  /** Number of this run of the registry; others' positions in another run mean nothing. */
  uint64_t run;
  /** Number of the latest change. */
  uint64_t seq;
  /** Positions before this one get the full list, since some changes after them are forgotten. */
  uint64_t complete_resend_seq;
  /** Engine's id to registered_engine; values are owned, and the keys are theirs. */
  GHashTable *engines;
  int64_t silent_ms, tombstone_ms;
  /** Since when heartbeats are received without a break. */
  time_us started_at;
  time_us newest_heartbeat_at, swept_at;
  /** All live engines are known here. */
  bool is_complete;
} engine_registry;

/** What an update of an engine has changed. */
enum registry_update {
  /** Nothing: it is older than what is known. */
  REGISTRY_STALE,
  /** Only the time at which the engine was last heard. */
  REGISTRY_ALIVE,
  REGISTRY_CHANGED,
  /** The engine is draining, or has signed off. */
  REGISTRY_DRAINING,
  /** Nothing yet: it names a change whose text it does not have. */
  REGISTRY_NEEDS_FETCH
};

/** Makes an empty registry. */
void engine_registry_init(engine_registry *registry, uint64_t run, time_us now);
/** Frees the contents; may be called twice. */
void engine_registry_free(engine_registry *registry);
/** The engine of an id, also a gone one, or NULL. Valid until the next sweep. */
registered_engine *engine_registry_find(const engine_registry *registry, const char *id);
/** Records a heartbeat that was received from the engine itself. */
enum registry_update engine_registry_heartbeat(engine_registry *registry,
                                               const Wire__EngineState *heartbeat, time_us now);
/** Records a sign-off, also of an unknown engine. */
enum registry_update engine_registry_sign_off(engine_registry *registry, const char *id,
                                              time_us now);
/** Merges another controller's update: all of an engine, or (with a blank service) only its count,
 * age and checksum. */
enum registry_update engine_registry_merge(engine_registry *registry,
                                           const Wire__EngineState *update, time_us now);
/** Marks silent engines as gone, and forgets old tombstones. Returns true when something changed.
 * reaches_all: all other controllers are in reach; while one is not, it may hear engines that are
 * not heard here, and silence is judged later. */
bool engine_registry_sweep(engine_registry *registry, time_us now, bool reaches_all);
/** Declares that all live engines are known; all positions get the full list once. */
void engine_registry_set_complete(engine_registry *registry);
/** Fills a message with an engine as it is now; its texts stay the registry's. slow_start_ms and
 * ends_in_ms count from the heartbeat, age_ms is the time since. gone and draining together mean
 * that it signed off; gone alone is silence. */
void engine_registry_pack_engine(const registered_engine *engine, time_us now,
                                 Wire__EngineState *to);
/** Fills a message with count, age and checksum only; its id stays the registry's. */
void engine_registry_pack_heartbeat(const registered_engine *engine, time_us now,
                                    Wire__EngineState *to);
/** The engines that changed after a position; all live ones when it is of another run or too old.
 * is_full_list: they are all live engines of the fleet. Free with g_ptr_array_free; the elements
 * are the registry's. */
GPtrArray *engine_registry_changed_since(const engine_registry *registry, uint64_t run,
                                         uint64_t seq, bool *is_full_list);
#endif
