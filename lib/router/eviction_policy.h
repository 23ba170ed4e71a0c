#ifndef ROUTER_EVICTION_POLICY_H
#define ROUTER_EVICTION_POLICY_H
/**
 * Which models and adapters to unload to make room for a load. Candidates are scored by the policy,
 * and the lowest scores go first (docs/paper.md).
 */
#include "formula.h"

/** A resident model or adapter that might be unloaded. */
typedef struct eviction_candidate {
  /** The adapter is blank for a model itself. */
  id model, adapter;
  uint64_t weights_mb;
  unsigned slots;
  /** Time to load it again, and requests a second for it. */
  double load_ms, request_rate;
  time_us last_requested_at;
  /** It runs streams: evicted only when the idle ones do not suffice. */
  bool busy;
  /** It must stay. */
  bool pinned;
  /* Results of eviction_policy_select: */
  double score;
  bool selected;
  /** MB of the model with which it is evicted, else its own. */
  uint64_t group_mb;
} eviction_candidate;

/** What is missing on an engine: MB of weights, and slots of adapters. */
typedef struct capacity_shortage {
  uint64_t mb;
  unsigned slots;
} capacity_shortage;

/** A policy: "cremebrulee" (the default), "popularity", "lru" or "random"; or a formula of the
 * operators, which then replaces the name. */
typedef struct eviction_rule {
  const char *name;
  /** NULL: the name counts. Borrowed, as is the name. */
  const formula *custom_formula;
  time_us now;
} eviction_rule;

/** The utility of keeping a candidate. `size` is its size in the measure that is short; `chance` a
 * random number, for the policy that evicts at random. */
double eviction_policy_score(const eviction_rule *rule, const eviction_candidate *candidate,
                             double size, uint64_t chance);
/** Selects what to unload until a shortage is met: greedily by lowest score, and a model together
 * with its adapters. Those selected are moved to the front in the order in which to unload them:
 * largest first, adapters before their model. Returns their number, or -1 when even all that may
 * go would not do. `draw` gives random numbers. */
int eviction_policy_select(const eviction_rule *rule, eviction_candidate *all, int n,
                           capacity_shortage shortage, uint64_t (*draw)(void *context),
                           void *context);
#endif
