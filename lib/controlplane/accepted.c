#include "accepted.h"

void accepted_init(accepted_orders *a) {
  memset(a, 0, sizeof *a);
  a->all = g_array_new(FALSE, FALSE, sizeof(accepted_order));
}

void accepted_free(accepted_orders *a) {
  if (a->all)
    g_array_free(a->all, TRUE);
  memset(a, 0, sizeof *a);
}

void accepted_copy(accepted_orders *to, const accepted_orders *from) {
  g_array_set_size(to->all, 0);
  g_array_append_vals(to->all, from->all->data, from->all->len);
  to->forgotten = from->forgotten;
  to->forgot = from->forgot;
  to->sum = from->sum;
}

static const accepted_order *at(const accepted_orders *a, guint i) {
  return &g_array_index(a->all, accepted_order, i);
}

static uint64_t sum_of(const accepted_order *o) {
  return hash_bytes(o, sizeof *o, 0);
}

static void forget(accepted_orders *a, guint count) {
  for (guint i = 0; i < count; i++)
    a->sum ^= sum_of(at(a, i));
  a->forgotten = at(a, count - 1)->base;
  a->forgot = true;
  g_array_remove_range(a->all, 0, count);
}

void accepted_add(accepted_orders *a, uint64_t base, uint64_t hash, uint64_t seq) {
  accepted_order o = { base, hash, seq };
  a->sum ^= sum_of(&o);
  g_array_append_val(a->all, o);
  if (a->all->len >= ACCEPTED_MOST + ACCEPTED_LOT)
    forget(a, ACCEPTED_LOT);
}

const accepted_order *accepted_find(const accepted_orders *a, uint64_t base, uint64_t hash) {
  for (guint i = a->all->len; i-- > 0 && at(a, i)->base >= base;)
    if (at(a, i)->base == base && at(a, i)->hash == hash)
      return at(a, i);
  return NULL;
}

bool accepted_may_have(const accepted_orders *a, uint64_t base) {
  return a->forgot && base <= a->forgotten;
}

size_t accepted_size(const accepted_orders *a) {
  return 32 + (size_t)a->all->len * ACCEPTED_PACKED_MOST;
}

/* bases and numbers of writes rise slowly, and are packed as steps from the one before */
void accepted_pack(const accepted_orders *a, Wire__AcceptedChanges *to) {
  guint n = a->all->len;
  uint64_t base = 0, seq = 0;
  wire__accepted_changes__init(to);
  to->forgotten_base = a->forgotten;
  to->any_forgotten = a->forgot;
  to->n_base_versions = to->n_sequences = to->n_hashes = n;
  to->base_versions = g_new(uint64_t, n);
  to->sequences = g_new(uint64_t, n);
  to->hashes = g_new(uint64_t, n);
  for (guint i = 0; i < n; i++) {
    to->base_versions[i] = at(a, i)->base - base;
    to->sequences[i] = at(a, i)->seq - seq;
    to->hashes[i] = at(a, i)->hash;
    base = at(a, i)->base;
    seq = at(a, i)->seq;
  }
}

void accepted_packed_free(Wire__AcceptedChanges *w) {
  g_free(w->base_versions);
  g_free(w->sequences);
  g_free(w->hashes);
}

void accepted_unpack(accepted_orders *a, const Wire__AcceptedChanges *w) {
  g_array_set_size(a->all, 0);
  a->sum = a->forgotten = 0;
  a->forgot = false;
  if (!w || w->n_base_versions != w->n_sequences || w->n_base_versions != w->n_hashes)
    return;
  a->forgotten = w->forgotten_base;
  a->forgot = w->any_forgotten;
  accepted_order o = { 0, 0, 0 };
  for (size_t i = 0; i < w->n_base_versions; i++) {
    o.base += w->base_versions[i];
    o.seq += w->sequences[i];
    o.hash = w->hashes[i];
    a->sum ^= sum_of(&o);
    g_array_append_val(a->all, o);
  }
}
