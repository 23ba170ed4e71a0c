#ifndef CONTROLPLANE_ACCEPTED_H
#define CONTROLPLANE_ACCEPTED_H
#include "base.h"
#include "wire.pb-c.h"

/* The configuration orders that were accepted, so that one that is sent again after a lost answer
 * is known. It is part of the replicated state: the same on every copy after the same write. */

enum {
  /** This many of the latest orders are always known. */
  ACCEPTED_MOST = 8192,
  /** The oldest are forgotten so many at a time. */
  ACCEPTED_LOT = 1024,
  /** The most bytes that one takes in a snapshot: hash, base and number of the write. */
  ACCEPTED_PACKED_MOST = 8 + 10 + 10
};

/** One order that was accepted: the version it builds on, a hash of all of it, and its write. */
typedef struct accepted_order {
  uint64_t base, hash, seq;
} accepted_order;

/** The accepted orders, oldest first. Bases rise, since versions do. */
typedef struct accepted_orders {
  GArray *all;
  /** Orders on this base or a lower one may have been accepted and forgotten; valid when any was.
   */
  uint64_t forgotten;
  bool forgot;
  /** A sum over all of them, kept up to date by each change. */
  uint64_t sum;
} accepted_orders;

void accepted_init(accepted_orders *a);
void accepted_free(accepted_orders *a);
void accepted_copy(accepted_orders *to, const accepted_orders *from);
/** Notes an order, and forgets the oldest ones when there are too many. */
void accepted_add(accepted_orders *a, uint64_t base, uint64_t hash, uint64_t seq);
/** The order that was accepted on a base with a hash, or NULL. */
const accepted_order *accepted_find(const accepted_orders *a, uint64_t base, uint64_t hash);
/** True when an order on a base may have been accepted though accepted_find does not know it. */
bool accepted_may_have(const accepted_orders *a, uint64_t base);
/** The most bytes that it takes in a snapshot. */
size_t accepted_size(const accepted_orders *a);
/** Fills a message, whose arrays are freed by accepted_packed_free. */
void accepted_pack(const accepted_orders *a, Wire__AcceptedChanges *to);
void accepted_packed_free(Wire__AcceptedChanges *w);
/** Replaces all by what a message holds; NULL: nothing was accepted. */
void accepted_unpack(accepted_orders *a, const Wire__AcceptedChanges *w);
#endif
