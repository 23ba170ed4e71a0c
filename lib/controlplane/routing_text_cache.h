/** Recent versions of the routing resource, and deltas from them to the current one.
 *
 * The routing text may be large and changes little from version to version. A data-plane node that
 * has one of the cached versions is sent a delta only. The delta from each cached version is
 * encoded once, when it is first asked for, and shared by all nodes that have this version. */
#ifndef CONTROLPLANE_ROUTING_TEXT_CACHE_H
#define CONTROLPLANE_ROUTING_TEXT_CACHE_H
#include "base.h"

/** How many versions are cached. Nodes poll without a break, so one that is further behind has
 * missed several changes, and is sent the full text. */
enum { ROUTING_TEXTS_CACHED = 4 };

/** One version of the text. */
typedef struct cached_routing_text {
  /** 0: the entry is empty. */
  uint64_t version;
  /** The version that `delta` leads to; 0: none is encoded. */
  uint64_t delta_version;
  /** Owned; NULL while the entry is empty. A blank delta means that none is smaller than the text.
   */
  GString *text, *delta;
} cached_routing_text;

/** A ring of the latest versions; all zero when empty. */
typedef struct routing_text_cache {
  cached_routing_text entries[ROUTING_TEXTS_CACHED];
  /** Counts the versions that were added; modulo the size, the entry that is replaced next. */
  unsigned added;
} routing_text_cache;

/** Adds a version, unless it is cached already or 0 (no routing). Copies the text. */
void routing_text_cache_add(routing_text_cache *cache, uint64_t version, const GString *text);
/** The delta from version `base` to the current one. Blank when `base` is not cached or is the
 * current one, or when there is no useful delta. Valid until the cache is changed. */
string_view routing_text_cache_delta(routing_text_cache *cache, uint64_t base, uint64_t current,
                                     const GString *current_text);
void routing_text_cache_free(routing_text_cache *cache);
#endif
