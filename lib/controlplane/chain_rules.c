/** Chain replication: what a copy may send, take, commit and answer. */
#include "chain_rules.h"
#include "replica_internal.h"

bool chain_may_send(const chain_position *c, const view *known) {
  return c->index >= 0 && c->index + 1 < known->chain_length && !c->prepare_pending && c->in_sync;
}

bool chain_may_accept(const chain_position *c, const view *known, uint64_t epoch, id from) {
  return epoch == known->epoch && !c->prepare_pending && c->index >= 1 &&
         id_equal(known->chain[c->index - 1].self, from);
}

size_t chain_appendable(uint64_t last, const uint64_t *seqs, size_t n, size_t *first) {
  size_t fit = 0;
  *first = 0;
  for (size_t i = 0; i < n; i++) {
    if (seqs[i] != last + 1 + fit)
      continue;
    if (!fit)
      *first = i;
    fit++;
  }
  return fit;
}

bool chain_becomes_in_sync(const chain_position *c, bool sender_whole, uint64_t sender_last) {
  return !c->in_sync && sender_whole && sender_last <= c->last;
}

uint64_t chain_commit_sequence(const chain_position *c, const view *known, bool thin) {
  bool tail = c->index >= 0 && c->index == known->chain_length - 1;
  return tail && c->in_sync && !thin ? MAX(c->last, c->committed) : c->committed;
}

bool chain_is_under_replicated(const view *view, int copies, int areas) {
  int n = 0;
  for (int i = 0; i < view->chain_length; i++) {
    int k = 0;
    while (k < i && !id_equal(view->chain[i].zone, view->chain[k].zone))
      k++;
    n += k == i;
  }
  return view->chain_length < copies || n < areas;
}

bool chain_may_acknowledge(const chain_position *c, uint64_t seq, bool acts, bool thin) {
  return c->committed >= seq && acts && !thin;
}

bool chain_may_lead(const chain_position *c) {
  return c->index == 0 && c->in_sync;
}

bool chain_may_read(const chain_position *c, const view *known) {
  bool tail = c->index >= 0 && c->index == known->chain_length - 1;
  return tail && c->in_sync && c->committed >= c->last;
}

bool chain_may_join(const view *known, uint64_t enrolled_epoch) {
  return enrolled_epoch == known->epoch;
}
