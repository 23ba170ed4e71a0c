#include "policy.h"
#include <stdlib.h>

double policy_worth(const policy *policy, const candidate *candidate, double size,
                    uint64_t chance) {
  if (policy->own) {
    double v[F_VARIABLES] = { [F_PENALTY] = candidate->penalty,
                              [F_RATE] = candidate->rate,
                              [F_SIZE] = size > 0 ? size : 1,
                              [F_MB] = (double)candidate->megs,
                              [F_SLOTS] = candidate->slots,
                              [F_IDLE] = (double)time_sub(policy->now, candidate->used).us / 1e6 };
    return formula_evaluate(policy->own, v);
  }
  if (!strcmp(policy->name, "popularity"))
    return candidate->rate;
  if (!strcmp(policy->name, "lru"))
    return (double)candidate->used.us;
  if (!strcmp(policy->name, "random"))
    return (double)(chance >> 11);
  return candidate->penalty * candidate->rate / (size > 0 ? size : 1);
}

static bool is_base(const candidate *candidate) {
  return id_is_empty(candidate->adapter);
}

/* takes a thing, and with a base model its adapters, which cannot stay without it */
static void take(candidate *all, int n, int i, lack *left) {
  for (int k = 0; k < n; k++) {
    if (all[k].taken || !(k == i || (is_base(&all[i]) && id_equal(all[k].model, all[i].model))))
      continue;
    all[k].taken = true;
    left->megs -= MIN(left->megs, all[k].megs);
    left->slots -= MIN(left->slots, all[k].slots);
  }
}

/* a base goes only when all that stands on it may go as well */
static bool may_go(const candidate *all, int n, int i, bool busy) {
  for (int k = 0; k < n; k++) {
    if (all[k].taken || !(k == i || (is_base(&all[i]) && id_equal(all[k].model, all[i].model))))
      continue;
    if (all[k].barred || (all[k].busy && !busy))
      return false;
  }
  return true;
}

/* what goes with a base counts by the size of the base, and goes before it, so that the order is
 * one for all pairs */
static void group(candidate *all, int n) {
  for (int i = 0; i < n; i++) {
    all[i].group = all[i].megs;
    for (int k = 0; k < n; k++)
      if (all[k].taken && is_base(&all[k]) && id_equal(all[k].model, all[i].model))
        all[i].group = all[k].megs;
  }
}

static int larger(const void *a, const void *b) {
  const candidate *x = a, *y = b;
  if (x->taken != y->taken)
    return x->taken ? -1 : 1;
  if (!x->taken)
    return 0;
  if (x->group != y->group)
    return x->group > y->group ? -1 : 1;
  int same = strcmp(x->model.text, y->model.text);
  if (same)
    return same;
  if (is_base(x) != is_base(y))
    return is_base(x) ? 1 : -1;
  if (x->megs != y->megs)
    return x->megs > y->megs ? -1 : 1;
  return strcmp(x->adapter.text, y->adapter.text);
}

int policy_fill(const policy *policy, candidate *all, int n, lack want, uint64_t (*draw)(void *),
                void *ctx) {
  lack left = want;
  bool busy = false;
  for (int i = 0; i < n; i++)
    all[i].taken = false;
  while (left.megs || left.slots) {
    bool slots = left.slots > 0;
    int best = -1;
    for (int i = 0; i < n; i++) {
      candidate *candidate = &all[i];
      if (candidate->taken || !may_go(all, n, i, busy))
        continue;
      if (slots ? !candidate->slots : !candidate->megs)
        continue;
      candidate->worth =
          policy_worth(policy, candidate, slots ? candidate->slots : candidate->megs, draw(ctx));
      if (best < 0 || candidate->worth < all[best].worth)
        best = i;
    }
    if (best >= 0) {
      take(all, n, best, &left);
      continue;
    }
    if (busy)
      return -1;
    /* start again with the busy ones let in, so that the greedy order holds over them all */
    busy = true;
    left = want;
    for (int i = 0; i < n; i++)
      all[i].taken = false;
  }
  int got = 0;
  for (int i = 0; i < n; i++)
    got += all[i].taken;
  group(all, n);
  qsort(all, n, sizeof *all, larger);
  return got;
}
