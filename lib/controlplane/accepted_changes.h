#ifndef CONTROLPLANE_ACCEPTED_CHANGES_H
#define CONTROLPLANE_ACCEPTED_CHANGES_H
/** The accepted changes of the configuration, so that a change that is sent again after a lost
 * response is recognized. They are part of the replicated state: the same on each replica after the
 * same record. */
#include "base.h"
#include "wire.pb-c.h"

enum {
  /** So many of the latest changes are always known. */
  ACCEPTED_CHANGES_MAX = 8192,
  /** The oldest are forgotten so many at a time. */
  ACCEPTED_CHANGES_FORGOTTEN_AT_ONCE = 1024,
  /** Upper bound of the bytes that one takes in a snapshot: hash, base version, number of the
   * write.
   */
  ACCEPTED_CHANGE_PACKED_MAX = 8 + 10 + 10
};

/** One accepted change. */
typedef struct accepted_change {
  /** The version of the configuration that it builds on. */
  uint64_t base_version;
  /** Hash of the complete request. */
  uint64_t hash;
  /** Number of the write that made it. */
  uint64_t seq;
} accepted_change;

/** The accepted changes, oldest first. Their base versions rise, since versions do. */
typedef struct accepted_changes {
  /** Of accepted_change. */
  GArray *all;
  /** Changes on this base version or a lower one may have been accepted and forgotten; valid when
   * any_forgotten is set. */
  uint64_t forgotten_base;
  bool any_forgotten;
  /** Checksum of all of them, updated with each change. */
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
/** Returns an upper bound of the bytes that the list takes in a snapshot. */
size_t accepted_changes_packed_size(const accepted_changes *changes);
/** Fills a message; the caller frees its arrays with accepted_changes_packed_free. */
void accepted_changes_pack(const accepted_changes *changes, Wire__AcceptedChanges *message);
/** Frees the arrays of a message that accepted_changes_pack filled. */
void accepted_changes_packed_free(Wire__AcceptedChanges *message);
/** Replaces an initialized list by that of a message; NULL or a malformed one gives an empty list.
 */
void accepted_changes_unpack(accepted_changes *changes, const Wire__AcceptedChanges *message);
#endif
