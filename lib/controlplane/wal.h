#ifndef CONTROLPLANE_STORE_H
#define CONTROLPLANE_STORE_H
#include "node.h"

/** Kinds of entries on disk. */
enum wal_entry_kind {
  ENTRY_DISK = 1,
  ENTRY_VIEW,
  ENTRY_VOTE,
  ENTRY_RECORD,
  ENTRY_SNAPSHOT,
  ENTRY_FOUNDERS
};
/** What was found on disk at the start. */
enum wal_condition { WAL_BLANK, WAL_INTACT, WAL_CORRUPT };

/** A ring of preallocated files; each begins with all that matters, and checksummed frames follow.
 * While the disk refuses writes it is broken: every entry is refused, and a whole new base is tried
 * again and again, after which it is not. */
typedef struct wal {
  node *node;
  unsigned file_count, current_file, opened;
  size_t size, offset, base_size, last_frame_offset;
  uint64_t generation, appended, synced, discarded;
  GString *pending;
  condition work, progress;
  bool failed, has_torn_end;
  time_us last_write_time;
  void (*registry_update)(void *ctx, int kind, string_view body);
  void (*write_base)(void *ctx, GString *to);
  void *ctx;
} wal;

/** Opens the ring and folds what it holds; it may be called again after it failed. */
int wal_open(wal *wal, node *node, size_t size, enum wal_condition *what, error *err);
/** Starts writing; the base for the first file is asked for at once when young. */
int wal_start(wal *wal, bool young, error *err);
/** Adds an entry to a buffer, for base functions. */
void wal_entry_add(GString *to, int kind, const void *p, size_t n);
/** The same, of what is appended to the buffer between the two; wal_entry_end takes what
 * wal_entry_begin gave. */
size_t wal_entry_begin(GString *to, int kind);
void wal_entry_end(GString *to, size_t at);
/** Adds one entry and waits until it is synced. */
int wal_append(wal *wal, int kind, const void *p, size_t n, error *err);
/** Adds several entries that were put together with wal_entry_add, and waits until they are synced.
 */
int wal_append_all(wal *wal, string_view entries, error *err);
/** Goes to a new file, so that the base as it is now is all that counts. */
int wal_rotate(wal *wal, error *err);
/** Frees it. */
void wal_free(wal *wal);
#endif
