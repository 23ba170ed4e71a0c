#ifndef ROUTER_EVICTION_POLICY_H
#define ROUTER_EVICTION_POLICY_H
/**
 * Selects the models and adapters to unload to free capacity for a load. The policy scores the
 * candidates, and those with the lowest scores are evicted first (docs/paper.md).
 */
#include "formula.h"

/** A resident model or adapter that is considered for eviction. */
typedef struct eviction_candidate {
  /** The adapter is empty if the candidate is a model. */
  id model, adapter;
  uint64_t weights_mb;
  unsigned slots;
  /** Time to load it again in ms, and its requests per second. */
  double load_ms, request_rate;
  time_us last_requested_at;
  /** It is running streams: evicted only when evicting idle candidates is not enough. */
  bool busy;
  /** It must not be evicted. */
  bool pinned;
  /* Results of eviction_policy_select: */
  double score;
  bool selected;
  /** Size in MB of the model with which it is evicted, or its own size. */
  uint64_t group_mb;
} eviction_candidate;

/** Capacity that an engine lacks: MB of weights and adapter slots. */
typedef struct capacity_shortage {
  uint64_t mb;
  unsigned slots;
} capacity_shortage;

/** A policy: "cremebrulee" (the default), "popularity", "lru" or "random", or a formula defined by
 * the operators, which takes precedence over the name. */
typedef struct eviction_rule {
  const char *name;
  /** NULL if the name applies. Borrowed, like the name. */
  const formula *custom_formula;
  time_us now;
} eviction_rule;

/** Returns the utility of keeping a candidate. `size` is its size in the resource that is short (MB
 * or slots); `random_number` is used by the "random" policy. */
double eviction_policy_score(const eviction_rule *rule, const eviction_candidate *candidate,
                             double size, uint64_t random_number);
/** Selects what to unload to cover a shortage: greedily by lowest score, and a model together with
 * its adapters. The selected candidates are moved to the front in the order in which to unload
 * them: largest first, adapters before their model. Returns their number, or -1 when evicting every
 * evictable candidate would not be enough. `draw` returns random numbers. */
int eviction_policy_select(const eviction_rule *rule, eviction_candidate *candidates, int count,
                           capacity_shortage shortage, uint64_t (*draw)(void *context),
                           void *context);
#endif
