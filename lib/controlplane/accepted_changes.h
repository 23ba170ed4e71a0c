#ifndef CONTROLPLANE_ACCEPTED_H
#define CONTROLPLANE_ACCEPTED_H
#include "base.h"
#include "wire.pb-c.h"

/* The configuration orders that were accepted, so that one that is sent again after a lost answer
 * is known. It is part of the replicated state: the same on every copy after the same write. */

enum {
  /** This many of the latest orders are always known. */
  ACCEPTED_CHANGES_MAX = 8192,
  /** The oldest are forgotten so many at a time. */
  ACCEPTED_CHANGES_FORGOTTEN_AT_ONCE = 1024,
  /** The most bytes that one takes in a snapshot: hash, base and number of the write. */
  ACCEPTED_CHANGE_PACKED_MAX = 8 + 10 + 10
};

/** One order that was accepted: the version it builds on, a hash of all of it, and its write. */
typedef struct accepted_change {
  uint64_t base_version, hash, seq;
} accepted_change;

/** The accepted orders, oldest first. Bases rise, since versions do. */
typedef struct accepted_changes {
  GArray *all;
  /** Orders on this base or a lower one may have been accepted and forgotten; valid when any was.
   */
  uint64_t forgotten_base;
  bool any_forgotten;
  /** A sum over all of them, kept up to date by each change. */
  uint64_t checksum;
} accepted_changes;

void accepted_changes_init(accepted_changes *a);
void accepted_changes_free(accepted_changes *a);
void accepted_changes_copy(accepted_changes *to, const accepted_changes *from);
/** Notes an order, and forgets the oldest ones when there are too many. */
void accepted_changes_add(accepted_changes *a, uint64_t base, uint64_t hash, uint64_t seq);
/** The order that was accepted on a base with a hash, or NULL. */
const accepted_change *accepted_changes_find(const accepted_changes *a, uint64_t base,
                                             uint64_t hash);
/** True when an order on a base may have been accepted though accepted_changes_find does not know
 * it. */
bool accepted_changes_may_include(const accepted_changes *a, uint64_t base);
/** The most bytes that it takes in a snapshot. */
size_t accepted_changes_packed_size(const accepted_changes *a);
/** Fills a message, whose arrays are freed by accepted_changes_packed_free. */
void accepted_changes_pack(const accepted_changes *a, Wire__AcceptedChanges *to);
void accepted_changes_packed_free(Wire__AcceptedChanges *w);
/** Replaces all by what a message holds; NULL: nothing was accepted. */
void accepted_changes_unpack(accepted_changes *a, const Wire__AcceptedChanges *w);
#endif
