#ifndef CONTROLPLANE_ACCEPTED_CHANGES_H
#define CONTROLPLANE_ACCEPTED_CHANGES_H
/** The accepted configuration changes, kept to recognize a change that is retried after its
 * response was lost. The list is part of the replicated state: after the same record it is the same
 * on all replicas. */
#include "base.h"
#include "wire.pb-c.h"

enum {
  /** Number of latest changes that are always kept. */
  ACCEPTED_CHANGES_MAX = 8192,
  /** Number of oldest changes that are forgotten at a time. */
  ACCEPTED_CHANGES_FORGOTTEN_AT_ONCE = 1024,
  /** Upper bound on the size of a change in a snapshot, in bytes: its hash, its base version and
   * the sequence number of its write. */
  ACCEPTED_CHANGE_PACKED_MAX = 8 + 10 + 10
};

/** One accepted change. */
typedef struct accepted_change {
  /** The configuration version that the change is based on. */
  uint64_t base_version;
  /** Hash of the complete request. */
  uint64_t hash;
  /** Sequence number of its write. */
  uint64_t seq;
} accepted_change;

/** The accepted changes, oldest first. Their base versions increase, since versions do. */
typedef struct accepted_changes {
  /** Elements are accepted_change. */
  GArray *all;
  /** Changes on this base version or a lower one may have been accepted and forgotten; valid when
   * any_forgotten is set. */
  uint64_t forgotten_base;
  bool any_forgotten;
  /** Checksum of all changes in the list, updated when one is added or forgotten. */
  uint64_t checksum;
} accepted_changes;

/** Initializes an empty list. */
void accepted_changes_init(accepted_changes *changes);
/** Frees the list. */
void accepted_changes_free(accepted_changes *changes);
/** Replaces an initialized list by a copy of another one. */
void accepted_changes_copy(accepted_changes *to, const accepted_changes *from);
/** Adds a change, and forgets the oldest ones when there are too many. */
void accepted_changes_add(accepted_changes *changes, uint64_t base_version, uint64_t hash,
                          uint64_t seq);
/** Returns the change with a base version and a hash, or NULL. It is valid until the list changes.
 */
const accepted_change *accepted_changes_find(const accepted_changes *changes, uint64_t base_version,
                                             uint64_t hash);
/** Returns whether a change on a base version may have been accepted though accepted_changes_find
 * does not find it. */
bool accepted_changes_may_include(const accepted_changes *changes, uint64_t base_version);
/** Returns an upper bound on the size of the list in a snapshot, in bytes. */
size_t accepted_changes_packed_size(const accepted_changes *changes);
/** Fills a message; the caller frees its arrays with accepted_changes_packed_free. */
void accepted_changes_pack(const accepted_changes *changes, Wire__AcceptedChanges *message);
/** Frees the arrays of a message that accepted_changes_pack filled. */
void accepted_changes_packed_free(Wire__AcceptedChanges *message);
/** Replaces an initialized list with that of a message; with an empty list if the message is NULL
 * or malformed. */
void accepted_changes_unpack(accepted_changes *changes, const Wire__AcceptedChanges *message);
#endif
