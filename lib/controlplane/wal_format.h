#ifndef CONTROLPLANE_WAL_FORMAT_H
#define CONTROLPLANE_WAL_FORMAT_H
/** The on-disk format of the write-ahead log.
 *
 * A log file is a sequence of frames. A frame is a struct wal_frame followed by its body, padded
 * with zeros to a multiple of WAL_ALIGNMENT. The body is a sequence of entries: one byte for the
 * kind, four bytes for the length of the entry's body (native byte order), and the body. */
#include "base.h"

enum {
  /** The first four bytes of each frame. */
  WAL_FRAME_MAGIC = 0x72747361,
  /** Frames start at multiples of this many bytes. */
  WAL_ALIGNMENT = 8,
  /** The size of an entry's header, and the offset of the length in it. */
  WAL_ENTRY_HEADER_BYTES = 5,
  WAL_ENTRY_LENGTH_OFFSET = 1
};

/** Kinds of entries. The numbers are part of the on-disk format. */
enum wal_entry_kind {
  /** Empty entry; only triggers a new file. */
  ENTRY_NONE = 0,
  /** Id of the disk, and whether the replica is in sync. */
  ENTRY_DISK = 1,
  /** The known view. */
  ENTRY_VIEW = 2,
  /** The Paxos acceptor's state. */
  ENTRY_ACCEPTOR = 3,
  /** One record of the chain. */
  ENTRY_RECORD = 4,
  /** Snapshot of the committed state. */
  ENTRY_SNAPSHOT = 5,
  /** Addresses of the founders; kept until a view is known. */
  ENTRY_FOUNDERS = 6
};

/** The header of a frame. */
typedef struct wal_frame {
  uint32_t magic;
  /** Length of the body in bytes, without padding. */
  uint32_t length;
  /** CRC-32 of generation, length and body. */
  uint32_t crc;
  uint32_t reserved;
  /** Counts the files in the order in which they were written. All valid frames of a file have the
   * same generation. */
  uint64_t generation;
} wal_frame;

/** Handles one entry that was read from the log. */
typedef void (*wal_entry_handler)(void *ctx, int kind, string_view body);

/** Returns a size rounded up to WAL_ALIGNMENT. */
size_t wal_align(size_t size);
/** Returns the CRC of the covered header fields, to be continued with the body's bytes. */
uint32_t wal_frame_header_crc(const wal_frame *frame);

/** Appends an entry to a buffer. */
void wal_entry_add(GString *buffer, int kind, const void *body, size_t length);
/** Starts an entry whose body the caller appends to the buffer. Returns the offset of the body, to
 * be passed to wal_entry_end. */
size_t wal_entry_begin(GString *buffer, int kind);
/** Ends an entry: writes the length of its body into its header. */
void wal_entry_end(GString *buffer, size_t body_start);
/** Calls a handler for each entry of a frame's body. Stops at a truncated entry. */
void wal_entries_for_each(string_view body, wal_entry_handler handler, void *ctx);
#endif
