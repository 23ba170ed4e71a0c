#ifndef CONTROLPLANE_REGISTRY_H
#define CONTROLPLANE_REGISTRY_H
#include "node.h"

enum { SILENT_MS = 8000, TOMBSTONE_MS = 60000 };

/** One life of an engine, as its beats say. */
typedef struct registered_engine {
  Wire__EngineState *beat;
  uint64_t sum, count, changed;
  time_us heard, gone_at, ends_at, cold_till;
  /** leaving is for good; gone alone is silence, which a beat ends; signed_off is for good. */
  bool leaving, gone, signed_off;
  /** A beat that came here and that the other core machines were not told of yet. */
  bool changed_here;
} registered_engine;

/** The engines that have registered themselves, in memory at every core machine. */
typedef struct registry {
  /** This run's own number; the number of its latest change; and of the latest one that can't be
   * told by itself any more. */
  uint64_t run, seq, cut;
  GHashTable *at;
  int64_t silent_ms, tombstone_ms;
  time_us since, newest, swept;
  bool settled;
} registry;

/** What became of word of an engine: late (nothing changed), alive (only the time moved), a change,
 * the news that it leaves or is gone for good, or word of a change whose text did not come. */
enum fold { FOLD_LATE, FOLD_ALIVE, FOLD_CHANGED, FOLD_ENDING, FOLD_WANT };

void registry_init(registry *registry, uint64_t run, time_us now);
void registry_free(registry *registry);
registered_engine *registry_find(const registry *registry, const char *id);
/** Folds a beat that came from the engine. */
enum fold registry_beat(registry *registry, const Wire__EngineState *w, time_us now);
/** Folds a sign-off, also of an engine that was never heard of. */
enum fold registry_leave(registry *registry, const char *id, time_us now);
/** Folds what another core machine says: all of an engine, or (with no service) only its count, age
 * and sum. */
enum fold registry_heard(registry *registry, const Wire__EngineState *w, time_us now);
/** Marks the silent as gone and forgets what is long gone; true when something changed. all: every
 * other core machine is in reach; while one is not, it may hear engines that are not heard here,
 * and silence takes longer to count. */
bool registry_sweep(registry *registry, time_us now, bool all);
/** From now on what is held here is all there is; those who had a part of it get the whole. */
void registry_settle(registry *registry);
/** Says an engine as it is now; the text stays the registry's. coldMs and endsMs count from the
 * beat, ageMs ago. gone and leaving together are for good; gone alone is silence, and a later beat
 * ends it. */
void registry_fill(const registered_engine *entry, time_us now, Wire__EngineState *to);
/** Picks what he lacks: all that live when he must have the whole. Free with g_ptr_array_free. */
GPtrArray *registry_since(const registry *registry, uint64_t run, uint64_t seq, bool *whole);
#endif
