#ifndef ROUTER_POLICY_H
#define ROUTER_POLICY_H
#include "formula.h"

/** A resident thing that might be unloaded, as the rule sees it. */
typedef struct eviction_candidate {
  id model, adapter;
  uint64_t weights_mb;
  unsigned slots;
  double load_ms, request_rate;
  time_us last_requested_at;
  bool busy, pinned;
  double score;
  bool selected;
  uint64_t group_mb;
} eviction_candidate;

/** What is missing on an engine, in both its measures. */
typedef struct capacity_shortage {
  uint64_t mb;
  unsigned slots;
} capacity_shortage;

/** A policy: one of the built-in names, or an expression of the operators' own. */
typedef struct eviction_rule {
  const char *name;
  const formula *custom_formula;
  time_us now;
} eviction_rule;
/** The worth of keeping a thing; the lowest goes first. Size is in the measure that is short. */
double eviction_policy_score(const eviction_rule *policy, const eviction_candidate *candidate,
                             double size, uint64_t chance);
/** Marks what to unload so that the lack is met, by greedy lowest worth; the marked are sorted to
 * the front, largest first. Gives their number, or -1 when even all that may go would not do. Busy
 * ones go only when the idle do not suffice. */
int eviction_policy_select(const eviction_rule *policy, eviction_candidate *all, int n,
                           capacity_shortage want, uint64_t (*draw)(void *), void *ctx);
#endif
