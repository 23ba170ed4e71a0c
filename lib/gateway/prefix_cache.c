/** A fixed-size, set-associative table of prompt prefixes; see prefix_cache.h. */
#include "prefix_cache.h"
#include <stdlib.h>

/* Maximum number of tokens of one part, which limits nonsensical values in a client's header
 * field. */
static const double MAX_PART_TOKENS = 1e7;

int prefix_cache_parse(const char *prefix, id model, id adapter, uint64_t *chain,
                       double *tokens_up_to, int max_parts) {
  int count = 0;
  double tokens = 0;
  uint64_t hash = hash_two_names(model.text, adapter.text);
  for (const char *part = prefix; part && *part && count < max_parts;) {
    size_t length = strcspn(part, ","), name_length = strcspn(part, ":,");
    hash = hash_bytes(part, name_length, hash);
    if (name_length < length)
      tokens += CLAMP(atof(part + name_length + 1), 0, MAX_PART_TOKENS);
    chain[count] = hash;
    tokens_up_to[count++] = tokens;
    part += length;
    part += *part == ',';
  }
  return count;
}

static prefix_cache_entry *set_of(const prefix_cache *cache, uint64_t hash) {
  return &cache->entries[hash % PREFIX_CACHE_SETS * PREFIX_CACHE_WAYS];
}

static bool is_cached(const prefix_cache *cache, uint64_t hash, double prefilled_tokens,
                      double max_age_tokens) {
  const prefix_cache_entry *set = set_of(cache, hash);
  for (int way = 0; way < PREFIX_CACHE_WAYS; way++)
    if (set[way].prefix_hash == hash &&
        prefilled_tokens - set[way].prefilled_tokens < max_age_tokens)
      return true;
  return false;
}

int prefix_cache_match(const prefix_cache *cache, const uint64_t *chain, int part_count,
                       double prefilled_tokens, double max_age_tokens) {
  if (!cache->entries)
    return 0;
  int matched = 0;
  while (matched < part_count && is_cached(cache, chain[matched], prefilled_tokens, max_age_tokens))
    matched++;
  return matched;
}

/* the entry of a prefix, or else a free or the oldest entry of its set */
static prefix_cache_entry *entry_for(const prefix_cache *cache, uint64_t hash) {
  prefix_cache_entry *set = set_of(cache, hash), *entry = set;
  for (int way = 0; way < PREFIX_CACHE_WAYS; way++) {
    if (set[way].prefix_hash == hash)
      return &set[way];
    if (!set[way].prefix_hash ||
        (entry->prefix_hash && set[way].prefilled_tokens < entry->prefilled_tokens))
      entry = &set[way];
  }
  return entry;
}

void prefix_cache_record(prefix_cache *cache, const uint64_t *chain, int part_count,
                         double prefilled_tokens) {
  if (!part_count)
    return;
  if (!cache->entries)
    cache->entries = g_new0(prefix_cache_entry, PREFIX_CACHE_SETS * PREFIX_CACHE_WAYS);
  for (int i = 0; i < part_count; i++)
    *entry_for(cache, chain[i]) = (prefix_cache_entry){ chain[i], prefilled_tokens };
}

void prefix_cache_free(prefix_cache *cache) {
  g_free(cache->entries);
  cache->entries = NULL;
}
