#ifndef EMULATOR_REGISTERING_ENGINE_CACHE_H
#define EMULATOR_REGISTERING_ENGINE_CACHE_H
/**
 * KV memory of an engine: tokens reserved for admitted requests, and a cache of prompt prefixes in
 * the remaining space. The cache evicts the least recently used blocks first.
 */
#include "world.h"

/** A block of a prompt. Its key hashes the model, the adapter, and the block with all before it. */
typedef struct prefix_block {
  uint64_t key;
  double tokens;
  id model;
} prefix_block;

/** KV memory in tokens. Only this module writes it. */
typedef struct engine_kv_cache {
  double capacity_tokens, reserved_tokens, cached_tokens;
  GQueue blocks; /* prefix_block *, least recently used first */
} engine_kv_cache;

void engine_kv_cache_init(engine_kv_cache *cache, double capacity_tokens);
void engine_kv_cache_clear(engine_kv_cache *cache);
/** Reserves tokens, evicting cached blocks to make space; false when they don't fit. */
bool engine_kv_cache_reserve(engine_kv_cache *cache, double tokens);
void engine_kv_cache_release(engine_kv_cache *cache, double tokens);
/** Evicts all blocks of a model. */
void engine_kv_cache_evict_model(engine_kv_cache *cache, id model);
/** Returns the tokens of the leading blocks that are cached, and marks these as most recently used.
 */
double engine_kv_cache_match(engine_kv_cache *cache, const GArray *blocks);
/** Caches those blocks that are new and fit. */
void engine_kv_cache_add(engine_kv_cache *cache, const GArray *blocks);
/** Parses a prefix field "name:tokens,..." (may be NULL) into an array of prefix_block, which the
 * caller frees. */
GArray *prefix_blocks_parse(id model, id adapter, const char *field);
#endif
