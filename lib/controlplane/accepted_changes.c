#include "accepted_changes.h"

void accepted_changes_init(accepted_changes *a) {
  memset(a, 0, sizeof *a);
  a->all = g_array_new(FALSE, FALSE, sizeof(accepted_change));
}

void accepted_changes_free(accepted_changes *a) {
  if (a->all)
    g_array_free(a->all, TRUE);
  memset(a, 0, sizeof *a);
}

void accepted_changes_copy(accepted_changes *to, const accepted_changes *from) {
  g_array_set_size(to->all, 0);
  g_array_append_vals(to->all, from->all->data, from->all->len);
  to->forgotten_base = from->forgotten_base;
  to->any_forgotten = from->any_forgotten;
  to->checksum = from->checksum;
}

static const accepted_change *at(const accepted_changes *a, guint i) {
  return &g_array_index(a->all, accepted_change, i);
}

static uint64_t sum_of(const accepted_change *o) {
  return hash_bytes(o, sizeof *o, 0);
}

static void forget(accepted_changes *a, guint count) {
  for (guint i = 0; i < count; i++)
    a->checksum ^= sum_of(at(a, i));
  a->forgotten_base = at(a, count - 1)->base_version;
  a->any_forgotten = true;
  g_array_remove_range(a->all, 0, count);
}

void accepted_changes_add(accepted_changes *a, uint64_t base, uint64_t hash, uint64_t seq) {
  accepted_change o = { base, hash, seq };
  a->checksum ^= sum_of(&o);
  g_array_append_val(a->all, o);
  if (a->all->len >= ACCEPTED_CHANGES_MAX + ACCEPTED_CHANGES_FORGOTTEN_AT_ONCE)
    forget(a, ACCEPTED_CHANGES_FORGOTTEN_AT_ONCE);
}

const accepted_change *accepted_changes_find(const accepted_changes *a, uint64_t base,
                                             uint64_t hash) {
  for (guint i = a->all->len; i-- > 0 && at(a, i)->base_version >= base;)
    if (at(a, i)->base_version == base && at(a, i)->hash == hash)
      return at(a, i);
  return NULL;
}

bool accepted_changes_may_include(const accepted_changes *a, uint64_t base) {
  return a->any_forgotten && base <= a->forgotten_base;
}

size_t accepted_changes_packed_size(const accepted_changes *a) {
  return 32 + (size_t)a->all->len * ACCEPTED_CHANGE_PACKED_MAX;
}

/* bases and numbers of writes rise slowly, and are packed as steps from the one before */
void accepted_changes_pack(const accepted_changes *a, Wire__AcceptedChanges *to) {
  guint n = a->all->len;
  uint64_t base = 0, seq = 0;
  wire__accepted_changes__init(to);
  to->forgotten_base = a->forgotten_base;
  to->any_forgotten = a->any_forgotten;
  to->n_base_versions = to->n_sequences = to->n_hashes = n;
  to->base_versions = g_new(uint64_t, n);
  to->sequences = g_new(uint64_t, n);
  to->hashes = g_new(uint64_t, n);
  for (guint i = 0; i < n; i++) {
    to->base_versions[i] = at(a, i)->base_version - base;
    to->sequences[i] = at(a, i)->seq - seq;
    to->hashes[i] = at(a, i)->hash;
    base = at(a, i)->base_version;
    seq = at(a, i)->seq;
  }
}

void accepted_changes_packed_free(Wire__AcceptedChanges *w) {
  g_free(w->base_versions);
  g_free(w->sequences);
  g_free(w->hashes);
}

void accepted_changes_unpack(accepted_changes *a, const Wire__AcceptedChanges *w) {
  g_array_set_size(a->all, 0);
  a->checksum = a->forgotten_base = 0;
  a->any_forgotten = false;
  if (!w || w->n_base_versions != w->n_sequences || w->n_base_versions != w->n_hashes)
    return;
  a->forgotten_base = w->forgotten_base;
  a->any_forgotten = w->any_forgotten;
  accepted_change o = { 0, 0, 0 };
  for (size_t i = 0; i < w->n_base_versions; i++) {
    o.base_version += w->base_versions[i];
    o.seq += w->sequences[i];
    o.hash = w->hashes[i];
    a->checksum ^= sum_of(&o);
    g_array_append_val(a->all, o);
  }
}
