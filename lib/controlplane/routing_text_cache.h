/** Recent versions of the routing resource, and deltas from them to the current one.
 *
 * The routing text may be large and changes little from version to version. A data-plane node that
 * has one of the cached versions is sent only a delta. The delta from each cached version is
 * encoded once, when it is first requested, and shared by all nodes that have this version. */
#ifndef CONTROLPLANE_ROUTING_TEXT_CACHE_H
#define CONTROLPLANE_ROUTING_TEXT_CACHE_H
#include "base.h"

/** Number of cached versions. Nodes poll continuously, so a node with an older version has missed
 * several changes and is sent the full text. */
enum { ROUTING_TEXTS_CACHED = 4 };

/** One version of the text. */
typedef struct cached_routing_text {
  /** 0 when the entry is empty. */
  uint64_t version;
  /** The target version of `delta`; 0 when no delta is encoded. */
  uint64_t delta_version;
  /** Owned; NULL while the entry is empty. An empty delta means that no delta is smaller than the
   * text. */
  GString *text, *delta;
} cached_routing_text;

/** A ring buffer of the latest versions; all zero when empty. */
typedef struct routing_text_cache {
  cached_routing_text entries[ROUTING_TEXTS_CACHED];
  /** Number of versions added so far; modulo the size, the index of the entry to replace next. */
  unsigned added;
} routing_text_cache;

/** Adds a version, unless it is already cached or 0 (no routing). Copies the text. */
void routing_text_cache_add(routing_text_cache *cache, uint64_t version, const GString *text);
/** Returns the delta from version `base` to the current one. Empty when `base` is not cached or is
 * the current one, or when there is no useful delta. Valid until the cache is changed. */
string_view routing_text_cache_delta(routing_text_cache *cache, uint64_t base, uint64_t current,
                                     const GString *current_text);
void routing_text_cache_free(routing_text_cache *cache);
#endif
