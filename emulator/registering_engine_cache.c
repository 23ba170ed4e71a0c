/** KV memory of an engine: reservations and a least-recently-used cache of prompt prefixes. */
#include "registering_engine_cache.h"
#include <stdlib.h>

enum { PREFIX_BLOCKS_MAX = 32 };

void engine_kv_cache_init(engine_kv_cache *cache, double capacity_tokens) {
  *cache = (engine_kv_cache){ .capacity_tokens = capacity_tokens };
  g_queue_init(&cache->blocks);
}

void engine_kv_cache_clear(engine_kv_cache *cache) {
  g_queue_clear_full(&cache->blocks, g_free);
}

static void evict_block(engine_kv_cache *cache, GList *link) {
  prefix_block *block = link->data;
  cache->cached_tokens -= block->tokens;
  g_queue_delete_link(&cache->blocks, link);
  g_free(block);
}

static bool evict_to_fit(engine_kv_cache *cache, double tokens) {
  if (cache->reserved_tokens + tokens > cache->capacity_tokens)
    return false;
  while (cache->reserved_tokens + cache->cached_tokens + tokens > cache->capacity_tokens &&
         cache->blocks.length)
    evict_block(cache, cache->blocks.head);
  return true;
}

bool engine_kv_cache_reserve(engine_kv_cache *cache, double tokens) {
  if (tokens > 0 && !evict_to_fit(cache, tokens))
    return false;
  cache->reserved_tokens += tokens;
  return true;
}

void engine_kv_cache_release(engine_kv_cache *cache, double tokens) {
  cache->reserved_tokens -= tokens;
}

void engine_kv_cache_evict_model(engine_kv_cache *cache, id model) {
  for (GList *link = cache->blocks.head, *next; link; link = next) {
    next = link->next;
    if (id_equal(((prefix_block *)link->data)->model, model))
      evict_block(cache, link);
  }
}

static GList *find_block(engine_kv_cache *cache, uint64_t key) {
  GList *link = cache->blocks.head;
  while (link && ((prefix_block *)link->data)->key != key)
    link = link->next;
  return link;
}

double engine_kv_cache_match(engine_kv_cache *cache, const GArray *blocks) {
  double matched_tokens = 0;
  for (guint i = 0; i < blocks->len; i++) {
    const prefix_block *block = &g_array_index(blocks, prefix_block, i);
    GList *link = find_block(cache, block->key);
    if (!link)
      break;
    g_queue_unlink(&cache->blocks, link);
    g_queue_push_tail_link(&cache->blocks, link);
    matched_tokens += block->tokens;
  }
  return matched_tokens;
}

void engine_kv_cache_add(engine_kv_cache *cache, const GArray *blocks) {
  for (guint i = 0; i < blocks->len; i++) {
    const prefix_block *block = &g_array_index(blocks, prefix_block, i);
    double used_tokens = cache->reserved_tokens + cache->cached_tokens;
    if (find_block(cache, block->key) || used_tokens + block->tokens > cache->capacity_tokens)
      continue;
    g_queue_push_tail(&cache->blocks, g_memdup2(block, sizeof *block));
    cache->cached_tokens += block->tokens;
  }
}

GArray *prefix_blocks_parse(id model, id adapter, const char *field) {
  GArray *blocks = g_array_new(FALSE, TRUE, sizeof(prefix_block));
  if (!field)
    return blocks;
  char **items = g_strsplit(field, ",", PREFIX_BLOCKS_MAX);
  uint64_t key = hash_two_names(model.text, adapter.text);
  for (char **item = items; *item; item++) {
    const char *colon = strchr(*item, ':');
    if (!colon)
      continue;
    key = hash_bytes(*item, (size_t)(colon - *item), key);
    prefix_block block = { key, atof(colon + 1), model };
    g_array_append_val(blocks, block);
  }
  g_strfreev(items);
  return blocks;
}
