#ifndef CONTROLPLANE_REGISTRY_H
#define CONTROLPLANE_REGISTRY_H
#include "node.h"

enum { SILENT_MS = 8000, TOMBSTONE_MS = 60000 };

/** One life of an engine, as its beats say. */
typedef struct registered_engine {
  Wire__EngineState *heartbeat;
  uint64_t checksum, heartbeat_count, changed_seq;
  time_us last_heard_at, gone_at, ends_at, slow_start_until;
  /** leaving is for good; gone alone is silence, which a beat ends; signed_off is for good. */
  bool draining, gone, signed_off;
  /** A beat that came here and that the other core machines were not told of yet. */
  bool unannounced;
} registered_engine;

/** The engines that have registered themselves, in memory at every core machine. */
typedef struct registry {
  /** This run's own number; the number of its latest change; and of the latest one that can't be
   * told by itself any more. */
  uint64_t run, seq, complete_resend_seq;
  GHashTable *engines;
  int64_t silent_ms, tombstone_ms;
  time_us started_at, newest_heartbeat_at, swept_at;
  bool complete;
} registry;

/** What became of word of an engine: late (nothing changed), alive (only the time moved), a change,
 * the news that it leaves or is gone for good, or word of a change whose text did not come. */
enum registry_update {
  REGISTRY_STALE,
  REGISTRY_ALIVE,
  REGISTRY_CHANGED,
  REGISTRY_DRAINING,
  REGISTRY_NEEDS_FETCH
};

void registry_init(registry *registry, uint64_t run, time_us now);
void registry_free(registry *registry);
registered_engine *registry_find(const registry *registry, const char *id);
/** Folds a beat that came from the engine. */
enum registry_update registry_heartbeat(registry *registry, const Wire__EngineState *w,
                                        time_us now);
/** Folds a sign-off, also of an engine that was never heard of. */
enum registry_update registry_sign_off(registry *registry, const char *id, time_us now);
/** Folds what another core machine says: all of an engine, or (with no service) only its count, age
 * and sum. */
enum registry_update registry_merge(registry *registry, const Wire__EngineState *w, time_us now);
/** Marks the silent as gone and forgets what is long gone; true when something changed. all: every
 * other core machine is in reach; while one is not, it may hear engines that are not heard here,
 * and silence takes longer to count. */
bool registry_sweep(registry *registry, time_us now, bool all);
/** From now on what is held here is all there is; those who had a part of it get the whole. */
void registry_set_complete(registry *registry);
/** Says an engine as it is now; the text stays the registry's. coldMs and endsMs count from the
 * beat, ageMs ago. gone and leaving together are for good; gone alone is silence, and a later beat
 * ends it. */
void registry_pack_engine(const registered_engine *entry, time_us now, Wire__EngineState *to);
/** Picks what he lacks: all that live when he must have the whole. Free with g_ptr_array_free. */
GPtrArray *registry_changed_since(const registry *registry, uint64_t run, uint64_t seq,
                                  bool *whole);
#endif
