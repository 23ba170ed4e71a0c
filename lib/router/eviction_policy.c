/**
 * Scores candidates and selects those to evict.
 */
#include "eviction_policy.h"
#include <stdlib.h>

double eviction_policy_score(const eviction_rule *rule, const eviction_candidate *candidate,
                             double size, uint64_t random_number) {
  if (rule->custom_formula) {
    double variables[FORMULA_VARIABLES] = {
      [FORMULA_PENALTY] = candidate->load_ms,
      [FORMULA_RATE] = candidate->request_rate,
      [FORMULA_SIZE] = size > 0 ? size : 1,
      [FORMULA_MB] = (double)candidate->weights_mb,
      [FORMULA_SLOTS] = candidate->slots,
      [FORMULA_IDLE] = (double)time_sub(rule->now, candidate->last_requested_at).us / 1e6
    };
    return formula_evaluate(rule->custom_formula, variables);
  }
  if (!strcmp(rule->name, "popularity"))
    return candidate->request_rate;
  if (!strcmp(rule->name, "lru"))
    return (double)candidate->last_requested_at.us;
  if (!strcmp(rule->name, "random"))
    return (double)(random_number >> 11);
  return candidate->load_ms * candidate->request_rate / (size > 0 ? size : 1);
}

static bool is_model(const eviction_candidate *candidate) {
  return id_is_empty(candidate->adapter);
}

/* True when candidate k has to be evicted with candidate i: it is the same, or an adapter on that
 * model. */
static bool is_evicted_with(const eviction_candidate *candidates, int i, int k) {
  return k == i || (is_model(&candidates[i]) && id_equal(candidates[k].model, candidates[i].model));
}

/* Selects a candidate, and if it is a model, also its adapters, which cannot remain without it. */
static void select_with_dependents(eviction_candidate *candidates, int count, int i,
                                   capacity_shortage *shortage) {
  for (int k = 0; k < count; k++) {
    if (candidates[k].selected || !is_evicted_with(candidates, i, k))
      continue;
    candidates[k].selected = true;
    shortage->mb -= MIN(shortage->mb, candidates[k].weights_mb);
    shortage->slots -= MIN(shortage->slots, candidates[k].slots);
  }
}

/* A model is evictable only when all adapters on it are. */
static bool is_evictable(const eviction_candidate *candidates, int count, int i, bool allow_busy) {
  for (int k = 0; k < count; k++) {
    if (candidates[k].selected || !is_evicted_with(candidates, i, k))
      continue;
    if (candidates[k].pinned || (candidates[k].busy && !allow_busy))
      return false;
  }
  return true;
}

/* Candidates evicted with a model are ordered by the size of that model, so that the order is
 * total. */
static void set_group_sizes(eviction_candidate *candidates, int count) {
  for (int i = 0; i < count; i++) {
    candidates[i].group_mb = candidates[i].weights_mb;
    for (int k = 0; k < count; k++)
      if (candidates[k].selected && is_model(&candidates[k]) &&
          id_equal(candidates[k].model, candidates[i].model))
        candidates[i].group_mb = candidates[k].weights_mb;
  }
}

static int compare_unload_order(const void *a, const void *b) {
  const eviction_candidate *x = a, *y = b;
  if (x->selected != y->selected)
    return x->selected ? -1 : 1;
  if (!x->selected)
    return 0;
  if (x->group_mb != y->group_mb)
    return x->group_mb > y->group_mb ? -1 : 1;
  int same = strcmp(x->model.text, y->model.text);
  if (same)
    return same;
  if (is_model(x) != is_model(y))
    return is_model(x) ? 1 : -1;
  if (x->weights_mb != y->weights_mb)
    return x->weights_mb > y->weights_mb ? -1 : 1;
  return strcmp(x->adapter.text, y->adapter.text);
}

/* Index of the candidate with the lowest score among those that are evictable and take up the
 * resource that is short; -1 when there is none. */
static int find_lowest_score(const eviction_rule *rule, eviction_candidate *candidates, int count,
                             bool by_slots, bool allow_busy, uint64_t (*draw)(void *),
                             void *context) {
  int lowest = -1;
  for (int i = 0; i < count; i++) {
    eviction_candidate *candidate = &candidates[i];
    uint64_t size = by_slots ? candidate->slots : candidate->weights_mb;
    if (candidate->selected || !is_evictable(candidates, count, i, allow_busy) || !size)
      continue;
    candidate->score = eviction_policy_score(rule, candidate, (double)size, draw(context));
    if (lowest < 0 || candidate->score < candidates[lowest].score)
      lowest = i;
  }
  return lowest;
}

/* Selects candidates until the shortage is covered; false when there are not enough. */
static bool select_greedily(const eviction_rule *rule, eviction_candidate *candidates, int count,
                            capacity_shortage shortage, bool allow_busy, uint64_t (*draw)(void *),
                            void *context) {
  for (int i = 0; i < count; i++)
    candidates[i].selected = false;
  while (shortage.mb || shortage.slots) {
    int lowest =
        find_lowest_score(rule, candidates, count, shortage.slots > 0, allow_busy, draw, context);
    if (lowest < 0)
      return false;
    select_with_dependents(candidates, count, lowest, &shortage);
  }
  return true;
}

int eviction_policy_select(const eviction_rule *rule, eviction_candidate *candidates, int count,
                           capacity_shortage shortage, uint64_t (*draw)(void *), void *context) {
  /* if idle candidates are not enough, selection restarts so that it is greedy over all
     candidates */
  if (!select_greedily(rule, candidates, count, shortage, false, draw, context) &&
      !select_greedily(rule, candidates, count, shortage, true, draw, context))
    return -1;
  int selected = 0;
  for (int i = 0; i < count; i++)
    selected += candidates[i].selected;
  set_group_sizes(candidates, count);
  qsort(candidates, (size_t)count, sizeof *candidates, compare_unload_order);
  return selected;
}
