/** The accepted changes as an array in the order of their writes. Lookups start at the newest,
 * since most changes are retried soon; they end at the first lower base version. */
#include "accepted_changes.h"

enum {
  /** Upper bound on the size in a snapshot of the list without its elements, in bytes. */
  PACKED_FIXED_BYTES = 32
};

void accepted_changes_init(accepted_changes *changes) {
  memset(changes, 0, sizeof *changes);
  changes->all = g_array_new(FALSE, FALSE, sizeof(accepted_change));
}

void accepted_changes_free(accepted_changes *changes) {
  if (changes->all)
    g_array_free(changes->all, TRUE);
  memset(changes, 0, sizeof *changes);
}

void accepted_changes_copy(accepted_changes *to, const accepted_changes *from) {
  g_array_set_size(to->all, 0);
  g_array_append_vals(to->all, from->all->data, from->all->len);
  to->forgotten_base = from->forgotten_base;
  to->any_forgotten = from->any_forgotten;
  to->checksum = from->checksum;
}

static const accepted_change *change_at(const accepted_changes *changes, guint index) {
  return &g_array_index(changes->all, accepted_change, index);
}

static uint64_t checksum_of(const accepted_change *change) {
  return hash_bytes(change, sizeof *change, 0);
}

static void append(accepted_changes *changes, const accepted_change *change) {
  changes->checksum ^= checksum_of(change);
  g_array_append_vals(changes->all, change, 1);
}

static void forget_oldest(accepted_changes *changes, guint count) {
  for (guint i = 0; i < count; i++)
    changes->checksum ^= checksum_of(change_at(changes, i));
  changes->forgotten_base = change_at(changes, count - 1)->base_version;
  changes->any_forgotten = true;
  g_array_remove_range(changes->all, 0, count);
}

void accepted_changes_add(accepted_changes *changes, uint64_t base_version, uint64_t hash,
                          uint64_t seq) {
  accepted_change change = { base_version, hash, seq };
  append(changes, &change);
  if (changes->all->len >= ACCEPTED_CHANGES_MAX + ACCEPTED_CHANGES_FORGOTTEN_AT_ONCE)
    forget_oldest(changes, ACCEPTED_CHANGES_FORGOTTEN_AT_ONCE);
}

const accepted_change *accepted_changes_find(const accepted_changes *changes, uint64_t base_version,
                                             uint64_t hash) {
  for (guint i = changes->all->len; i-- > 0;) {
    const accepted_change *change = change_at(changes, i);
    if (change->base_version < base_version)
      return NULL;
    if (change->base_version == base_version && change->hash == hash)
      return change;
  }
  return NULL;
}

bool accepted_changes_may_include(const accepted_changes *changes, uint64_t base_version) {
  return changes->any_forgotten && base_version <= changes->forgotten_base;
}

size_t accepted_changes_packed_size(const accepted_changes *changes) {
  return PACKED_FIXED_BYTES + (size_t)changes->all->len * ACCEPTED_CHANGE_PACKED_MAX;
}

/* base versions and sequence numbers increase slowly, and are packed as differences */
void accepted_changes_pack(const accepted_changes *changes, Wire__AcceptedChanges *message) {
  guint count = changes->all->len;
  accepted_change previous = { 0, 0, 0 };
  wire__accepted_changes__init(message);
  message->forgotten_base = changes->forgotten_base;
  message->any_forgotten = changes->any_forgotten;
  message->n_base_versions = message->n_sequences = message->n_hashes = count;
  message->base_versions = g_new(uint64_t, count);
  message->sequences = g_new(uint64_t, count);
  message->hashes = g_new(uint64_t, count);
  for (guint i = 0; i < count; i++) {
    const accepted_change *change = change_at(changes, i);
    message->base_versions[i] = change->base_version - previous.base_version;
    message->sequences[i] = change->seq - previous.seq;
    message->hashes[i] = change->hash;
    previous = *change;
  }
}

void accepted_changes_packed_free(Wire__AcceptedChanges *message) {
  g_free(message->base_versions);
  g_free(message->sequences);
  g_free(message->hashes);
}

void accepted_changes_unpack(accepted_changes *changes, const Wire__AcceptedChanges *message) {
  g_array_set_size(changes->all, 0);
  changes->checksum = changes->forgotten_base = 0;
  changes->any_forgotten = false;
  if (!message || message->n_base_versions != message->n_sequences ||
      message->n_base_versions != message->n_hashes)
    return;
  changes->forgotten_base = message->forgotten_base;
  changes->any_forgotten = message->any_forgotten;
  accepted_change change = { 0, 0, 0 };
  for (size_t i = 0; i < message->n_base_versions; i++) {
    change.base_version += message->base_versions[i];
    change.seq += message->sequences[i];
    change.hash = message->hashes[i];
    append(changes, &change);
  }
}
