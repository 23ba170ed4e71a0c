/** A gateway's record of the prompt prefixes that an engine has cached.
 *
 * The shared parts of a prompt form a chain; each part is identified by the hash of the chain up to
 * it. The table is set-associative with PREFIX_CACHE_WAYS entries per set, so its size is fixed; an
 * evicted entry costs one prefill that was expected to be cached. An entry expires once the engine
 * has prefilled so many tokens since the last use that its KV memory must have evicted the
 * prefix. */
#ifndef GATEWAY_PREFIX_CACHE_H
#define GATEWAY_PREFIX_CACHE_H
#include "base.h"

enum { PREFIX_CACHE_SETS = 64, PREFIX_CACHE_WAYS = 4 };

typedef struct prefix_cache_entry {
  uint64_t prefix_hash; /* 0: free */
  /** Total tokens that the engine had prefilled when the prefix was last used. */
  double prefilled_tokens;
} prefix_cache_entry;

/** Written by prefix_cache.c. */
typedef struct prefix_cache {
  prefix_cache_entry *entries; /* PREFIX_CACHE_SETS * PREFIX_CACHE_WAYS; NULL while empty */
} prefix_cache;

/** Returns how many parts of a chain are cached, counted from its start; prefilled_tokens is the
 * engine's current total, max_age_tokens the prefill after which a prefix is assumed to be
 * evicted. */
int prefix_cache_match(const prefix_cache *cache, const uint64_t *chain, int part_count,
                       double prefilled_tokens, double max_age_tokens);
/** Records that a request with this chain is sent to the engine. */
void prefix_cache_record(prefix_cache *cache, const uint64_t *chain, int part_count,
                         double prefilled_tokens);
void prefix_cache_free(prefix_cache *cache);
/** Parses the shared parts of a prompt, "ID:TOKENS,...", into the hashes of the chain up to each
 * part and the tokens up to there. Returns the number of parts, at most max_parts. */
int prefix_cache_parse(const char *prefix, id model, id adapter, uint64_t *chain,
                       double *tokens_up_to, int max_parts);
#endif
