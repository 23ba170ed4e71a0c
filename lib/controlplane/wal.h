#ifndef CONTROLPLANE_WAL_H
#define CONTROLPLANE_WAL_H
/** The write-ahead log of a replica: a ring of preallocated files. Each file begins with a frame
 * that holds all that matters (the base); frames with what came after it follow. wal.c writes it,
 * wal_recovery.c reads it at the start, wal_format.h has the layout. */
#include "node.h"
#include "wal_format.h"

enum {
  /** Files in the ring. While one is begun, the one before it stays as it is, and the others give
     the disk time to report what went wrong with them. */
  WAL_FILE_COUNT = 4
};

/** What was found on the disk at the start. */
enum wal_condition {
  /** No file has a sound first frame. */
  WAL_BLANK,
  /** The newest file was replayed; at most its last frame was torn. */
  WAL_INTACT,
  /** A bad frame has sound ones after it: the disk has lost or changed what was synced. */
  WAL_CORRUPT
};

/** Appends all that matters to a buffer, as entries: the base of a file. */
typedef void (*wal_base_writer)(void *ctx, GString *buffer);

/** The log. Only its own modules write these fields. When the disk refuses a write, the log counts
 * as failed: each entry is refused, and the write of a complete base is retried until it succeeds.
 */
typedef struct wal {
  node *node;
  /** Files of the ring; the one that is appended to; how many of them are open. */
  unsigned file_count, current_file, opened;
  /** Size of a file, and the end of what is written in the current one, in bytes. */
  size_t size, offset;
  /** Size of the body of the last base, in bytes. */
  size_t base_size;
  /** Offset of the last frame in the current file. */
  size_t last_frame_offset;
  /** Generation of the current file. */
  uint64_t generation;
  /** Numbers of calls of wal_append_all: the last one, the last one that is synced, and the last
   * one that was dropped since the disk refused it. */
  uint64_t appended, synced, discarded;
  /** Entries that wait for the writer, behind space for their frame's header. */
  GString *pending;
  /** Entries were added; entries were synced or dropped. */
  condition work, progress;
  bool failed;
  /** Something other than zeros follows the last sound frame. */
  bool has_torn_end;
  /** How long the last write took with its sync. */
  time_us last_write_time;
  /** Set by the owner before wal_open: gets what is read, and writes the base of a new file. */
  wal_entry_handler replay_entry;
  wal_base_writer write_base;
  void *ctx;
} wal;

/** Opens the files, syncs them and replays the newest one. Sets *condition. Returns OK, or the
 * disk's error; it may be called again after an error. */
enum error_code wal_open(wal *wal, node *node, size_t size, enum wal_condition *condition,
                         error *err);
/** Starts the writer task; a log that is blank or has a torn end first begins a new file. Returns
 * OK, also when the disk refused that, or E_STOPPING. */
enum error_code wal_start(wal *wal, bool blank, error *err);
/** Appends entries that were made with wal_entry_add, and waits until they are synced. Returns OK,
 * E_DISK when the disk refused them, or E_STOPPING. */
enum error_code wal_append_all(wal *wal, string_view entries, error *err);
/** Begins a new file, whose base is all that counts from then on, and waits until it is synced.
 * Returns like wal_append_all. */
enum error_code wal_rotate(wal *wal, error *err);
/** Returns whether entries wait for their sync. */
bool wal_has_unsynced(const wal *wal);
/** Frees the log's memory; its files stay open. */
void wal_free(wal *wal);
#endif
