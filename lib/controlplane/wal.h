#ifndef CONTROLPLANE_WAL_H
#define CONTROLPLANE_WAL_H
/** The write-ahead log of a replica: a ring of preallocated files. Each file begins with a frame
 * that holds the complete state (the checkpoint); frames with later entries follow. wal.c writes
 * the log, wal_recovery.c reads it at the start, wal_format.h defines the layout. */
#include "node.h"
#include "wal_format.h"

enum {
  /** Number of files in the ring. While a file is started, its predecessor stays unchanged, and the
     other files give the disk time to report errors in them. */
  WAL_FILE_COUNT = 4
};

/** The integrity of the log on disk at the start. */
enum wal_integrity {
  /** No file has a valid first frame. */
  WAL_BLANK,
  /** The newest file was replayed; at most its last frame was torn (partially written). */
  WAL_INTACT,
  /** An invalid frame is followed by valid ones: the disk has lost or changed synced data. */
  WAL_CORRUPT
};

/** Appends the entries of a checkpoint, that is, the complete state, to a buffer. */
typedef void (*wal_checkpoint_writer)(void *ctx, GString *buffer);

/** The log. Only the modules of the log write these fields. When the disk refuses a write, the log
 * counts as failed: it refuses all entries, and retries to write a checkpoint until it succeeds. */
typedef struct wal {
  node *node;
  /** Number of files in the ring, index of the file that is appended to, and number of open files.
   */
  unsigned file_count, current_file, opened;
  /** Size of a file, and the end of the written part of the current one, in bytes. */
  size_t size, offset;
  /** Size of the body of the last checkpoint, in bytes. */
  size_t checkpoint_size;
  /** Offset of the last frame in the current file. */
  size_t last_frame_offset;
  /** Generation of the current file. */
  uint64_t generation;
  /** Sequence numbers of calls of wal_append_all: the last call, the last one that was synced, and
   * the last one that was discarded because the disk refused a write. */
  uint64_t appended, synced, discarded;
  /** Entries that wait for the writer, preceded by space for the header of their frame. */
  GString *pending;
  /** Signalled when entries were added, and when entries were synced or discarded. */
  condition work, progress;
  bool failed;
  /** Whether anything other than zeros follows the last valid frame. */
  bool has_torn_end;
  /** Duration of the last write including its sync. */
  time_us last_write_time;
  /** Callbacks set by the owner before wal_open: one handles each replayed entry, the other writes
   * the checkpoint of a new file. */
  wal_entry_handler replay_entry;
  wal_checkpoint_writer write_checkpoint;
  void *ctx;
} wal;

/** Opens the files, syncs them and replays the newest one. Sets *integrity. Returns OK or the
 * disk's error, and may be called again after an error. */
enum error_code wal_open(wal *wal, node *node, size_t size, enum wal_integrity *integrity,
                         error *err);
/** Starts the writer task. If the log is blank or has a torn end, first starts a new file. Returns
 * OK, even if the disk refused the new file, or E_STOPPING. */
enum error_code wal_start(wal *wal, bool blank, error *err);
/** Appends entries that were built with wal_entry_add and waits until they are synced. Returns OK,
 * E_DISK if the disk refused them, or E_STOPPING. */
enum error_code wal_append_all(wal *wal, string_view entries, error *err);
/** Starts a new file, whose checkpoint replaces everything written before, and waits until it is
 * synced. Returns the same codes as wal_append_all. */
enum error_code wal_rotate(wal *wal, error *err);
/** Returns whether entries are waiting to be synced. */
bool wal_has_unsynced(const wal *wal);
/** Frees the log's memory; its files stay open. */
void wal_free(wal *wal);
#endif
