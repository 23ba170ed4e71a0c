#include "eviction_policy.h"
#include <stdlib.h>

double eviction_policy_score(const eviction_rule *policy, const eviction_candidate *candidate,
                             double size, uint64_t chance) {
  if (policy->custom_formula) {
    double v[F_VARIABLES] = {
      [F_PENALTY] = candidate->load_ms,
      [F_RATE] = candidate->request_rate,
      [F_SIZE] = size > 0 ? size : 1,
      [F_MB] = (double)candidate->weights_mb,
      [F_SLOTS] = candidate->slots,
      [F_IDLE] = (double)time_sub(policy->now, candidate->last_requested_at).us / 1e6
    };
    return formula_evaluate(policy->custom_formula, v);
  }
  if (!strcmp(policy->name, "popularity"))
    return candidate->request_rate;
  if (!strcmp(policy->name, "lru"))
    return (double)candidate->last_requested_at.us;
  if (!strcmp(policy->name, "random"))
    return (double)(chance >> 11);
  return candidate->load_ms * candidate->request_rate / (size > 0 ? size : 1);
}

static bool is_base(const eviction_candidate *candidate) {
  return id_is_empty(candidate->adapter);
}

/* takes a thing, and with a base model its adapters, which cannot stay without it */
static void select_with_dependents(eviction_candidate *all, int n, int i, capacity_shortage *left) {
  for (int k = 0; k < n; k++) {
    if (all[k].selected || !(k == i || (is_base(&all[i]) && id_equal(all[k].model, all[i].model))))
      continue;
    all[k].selected = true;
    left->mb -= MIN(left->mb, all[k].weights_mb);
    left->slots -= MIN(left->slots, all[k].slots);
  }
}

/* a base goes only when all that stands on it may go as well */
static bool is_evictable(const eviction_candidate *all, int n, int i, bool busy) {
  for (int k = 0; k < n; k++) {
    if (all[k].selected || !(k == i || (is_base(&all[i]) && id_equal(all[k].model, all[i].model))))
      continue;
    if (all[k].pinned || (all[k].busy && !busy))
      return false;
  }
  return true;
}

/* what goes with a base counts by the size of the base, and goes before it, so that the order is
 * one for all pairs */
static void set_group_sizes(eviction_candidate *all, int n) {
  for (int i = 0; i < n; i++) {
    all[i].group_mb = all[i].weights_mb;
    for (int k = 0; k < n; k++)
      if (all[k].selected && is_base(&all[k]) && id_equal(all[k].model, all[i].model))
        all[i].group_mb = all[k].weights_mb;
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
  if (is_base(x) != is_base(y))
    return is_base(x) ? 1 : -1;
  if (x->weights_mb != y->weights_mb)
    return x->weights_mb > y->weights_mb ? -1 : 1;
  return strcmp(x->adapter.text, y->adapter.text);
}

int eviction_policy_select(const eviction_rule *policy, eviction_candidate *all, int n,
                           capacity_shortage want, uint64_t (*draw)(void *), void *ctx) {
  capacity_shortage left = want;
  bool busy = false;
  for (int i = 0; i < n; i++)
    all[i].selected = false;
  while (left.mb || left.slots) {
    bool slots = left.slots > 0;
    int best = -1;
    for (int i = 0; i < n; i++) {
      eviction_candidate *candidate = &all[i];
      if (candidate->selected || !is_evictable(all, n, i, busy))
        continue;
      if (slots ? !candidate->slots : !candidate->weights_mb)
        continue;
      candidate->score = eviction_policy_score(
          policy, candidate, slots ? candidate->slots : candidate->weights_mb, draw(ctx));
      if (best < 0 || candidate->score < all[best].score)
        best = i;
    }
    if (best >= 0) {
      select_with_dependents(all, n, best, &left);
      continue;
    }
    if (busy)
      return -1;
    /* start again with the busy ones let in, so that the greedy order holds over them all */
    busy = true;
    left = want;
    for (int i = 0; i < n; i++)
      all[i].selected = false;
  }
  int got = 0;
  for (int i = 0; i < n; i++)
    got += all[i].selected;
  set_group_sizes(all, n);
  qsort(all, n, sizeof *all, compare_unload_order);
  return got;
}
