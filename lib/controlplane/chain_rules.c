/** The rules of chain replication.
 *
 * Each member appends the records of its predecessor in order and syncs them before it forwards
 * them. A record that the tail has synced is therefore on the disk of every member and counts as
 * committed. A joining member is out of sync until it has all records of an in-sync predecessor. */
#include "chain_rules.h"

static bool is_tail(const chain_position *position, const view *known) {
  return position->index >= 0 && position->index == known->chain_length - 1;
}

bool chain_may_send(const chain_position *position, const view *known) {
  return position->index >= 0 && position->index + 1 < known->chain_length &&
         !position->prepare_pending && position->in_sync;
}

bool chain_may_accept(const chain_position *position, const view *known, uint64_t epoch,
                      id sender) {
  return epoch == known->epoch && !position->prepare_pending && position->index >= 1 &&
         id_equal(known->chain[position->index - 1].self, sender);
}

size_t chain_appendable(uint64_t last, const uint64_t *sequences, size_t count, size_t *first) {
  size_t appendable = 0;
  *first = 0;
  for (size_t i = 0; i < count; i++) {
    if (sequences[i] != last + 1 + appendable)
      continue;
    if (!appendable)
      *first = i;
    appendable++;
  }
  return appendable;
}

bool chain_becomes_in_sync(const chain_position *position, bool sender_in_sync,
                           uint64_t sender_last) {
  return !position->in_sync && sender_in_sync && sender_last <= position->last;
}

uint64_t chain_commit_sequence(const chain_position *position, const view *known,
                               bool under_replicated) {
  if (!is_tail(position, known) || !position->in_sync || under_replicated)
    return position->committed;
  return MAX(position->last, position->committed);
}

static int count_zones(const view *view) {
  int zones = 0;
  for (int i = 0; i < view->chain_length; i++) {
    int first = 0;
    while (!id_equal(view->chain[i].zone, view->chain[first].zone))
      first++;
    zones += first == i;
  }
  return zones;
}

bool chain_is_under_replicated(const view *view, int min_replicas, int min_zones) {
  return view->chain_length < min_replicas || count_zones(view) < min_zones;
}

bool chain_may_acknowledge(const chain_position *position, uint64_t sequence, bool holds_lease,
                           bool under_replicated) {
  return position->committed >= sequence && holds_lease && !under_replicated;
}

bool chain_may_act_as_head(const chain_position *position) {
  return position->index == 0 && position->in_sync;
}

bool chain_may_act_as_tail(const chain_position *position, const view *known) {
  return is_tail(position, known) && position->in_sync && position->committed >= position->last;
}

bool chain_may_join(const view *known, uint64_t request_epoch) {
  return request_epoch == known->epoch;
}
