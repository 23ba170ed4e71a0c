/** Recent versions of the routing resource, and deltas from them to the current one. */
#include "routing_text_cache.h"
#include "delta.h"

/* Returns the entry of a version, or NULL. */
static cached_routing_text *find(routing_text_cache *cache, uint64_t version) {
  for (int i = 0; i < ROUTING_TEXTS_CACHED; i++)
    if (cache->entries[i].version == version)
      return &cache->entries[i];
  return NULL;
}

void routing_text_cache_add(routing_text_cache *cache, uint64_t version, const GString *text) {
  if (!version || find(cache, version))
    return;
  cached_routing_text *entry = &cache->entries[cache->added++ % ROUTING_TEXTS_CACHED];
  if (!entry->text) {
    entry->text = g_string_new(NULL);
    entry->delta = g_string_new(NULL);
  }
  entry->version = version;
  entry->delta_version = 0;
  g_string_assign(entry->text, text->str);
}

string_view routing_text_cache_delta(routing_text_cache *cache, uint64_t base, uint64_t current,
                                     const GString *current_text) {
  cached_routing_text *entry = base && base != current ? find(cache, base) : NULL;
  if (!entry)
    return (string_view){ NULL, 0 };
  if (entry->delta_version != current) {
    entry->delta_version = current;
    g_string_truncate(entry->delta, 0);
    if (!delta_encode(string_view_of_gstring(entry->text), string_view_of_gstring(current_text),
                      entry->delta))
      g_string_truncate(entry->delta, 0);
  }
  return string_view_of_gstring(entry->delta);
}

void routing_text_cache_free(routing_text_cache *cache) {
  for (int i = 0; i < ROUTING_TEXTS_CACHED; i++)
    if (cache->entries[i].text) {
      g_string_free(cache->entries[i].text, TRUE);
      g_string_free(cache->entries[i].delta, TRUE);
    }
}
