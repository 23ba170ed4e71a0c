/** Recovery of the write-ahead log.
 *
 * The newest file is the one whose first frame is valid and has the highest generation. The log
 * ends at the first frame of this file that is invalid or has another generation.
 *
 * A torn last frame results from a crash during a write, and nothing depends on that write. A valid
 * frame of this or a later generation after an invalid one is different: synced data, possibly a
 * promise, has been lost, so the disk counts as corrupt. To find such frames, the rest of the
 * newest file and all other files with an invalid first frame are searched at every aligned offset.
 *
 * Files are read through windows of WINDOW_BYTES, so that no file is ever in memory completely. */
#include "wal_recovery.h"
#include <zlib.h>

enum {
  /** Size of a window onto a file, in bytes. */
  WINDOW_BYTES = 256 << 10,
  /** Number of bytes after the end of the log that are checked for a torn end. They are zero unless
     a frame was torn, since files are zeroed when they are allocated. */
  TORN_END_BYTES = 4096
};

/* a window onto a file */
typedef struct {
  wal *wal;
  unsigned file;
  size_t offset, length;
  char *buffer;
} file_window;

/* the state of a recovery in progress */
typedef struct {
  wal *wal;
  /* two windows: one for the search, one for reading the frames that it finds */
  file_window scan, body;
  /* which files have a valid first frame, the newest of these files or -1, and its generation */
  bool has_checkpoint[WAL_FILE_COUNT];
  int newest_file;
  uint64_t generation;
  /* the end of the log in the newest file */
  size_t end;
} recovery;

static void move_windows(recovery *recovery, unsigned file) {
  recovery->scan.file = recovery->body.file = file;
  recovery->scan.length = recovery->body.length = 0;
}

/* Sets *bytes to length bytes of the file at an offset. They are valid until the window is used
 * again. */
static enum error_code window_read(file_window *window, size_t offset, size_t length,
                                   const char **bytes, error *err) {
  if (offset < window->offset || offset + length > window->offset + window->length) {
    world *world = window->wal->node->world;
    size_t available = MIN((size_t)WINDOW_BYTES, window->wal->size - offset);
    window->length = 0;
    int code = world->disk_read(world, window->file, offset, window->buffer, available, err);
    if (code)
      return code;
    window->offset = offset;
    window->length = available;
  }
  *bytes = window->buffer + (offset - window->offset);
  return OK;
}

/* Reads the header of a frame. Sets *plausible to false if there can be no frame at this offset. */
static enum error_code read_frame_header(file_window *window, size_t offset, wal_frame *frame,
                                         bool *plausible, error *err) {
  size_t size = window->wal->size;
  const char *bytes;
  *plausible = false;
  if (offset + sizeof *frame > size)
    return OK;
  enum error_code code = window_read(window, offset, sizeof *frame, &bytes, err);
  if (code)
    return code;
  memcpy(frame, bytes, sizeof *frame);
  *plausible = frame->magic == WAL_FRAME_MAGIC && frame->length <= size - offset - sizeof *frame;
  return OK;
}

/* Reads the frame at an offset. Sets *valid to false if there is none or its CRC is wrong. Copies
 * the frame's body to body unless that is NULL. */
static enum error_code read_frame(file_window *window, size_t offset, wal_frame *frame, bool *valid,
                                  GString *body, error *err) {
  enum error_code code = read_frame_header(window, offset, frame, valid, err);
  if (code || !*valid)
    return code;
  *valid = false;
  uint32_t crc = wal_frame_header_crc(frame);
  if (body)
    g_string_truncate(body, 0);
  size_t position = offset + sizeof *frame, remaining = frame->length;
  while (remaining) {
    bool in_window = position >= window->offset && position < window->offset + window->length;
    size_t available = in_window ? window->offset + window->length - position : WINDOW_BYTES;
    size_t length = MIN(remaining, MIN(available, (size_t)WINDOW_BYTES));
    const char *bytes;
    code = window_read(window, position, length, &bytes, err);
    if (code)
      return code;
    crc = crc32(crc, (const Bytef *)bytes, length);
    if (body)
      g_string_append_len(body, bytes, length);
    position += length;
    remaining -= length;
  }
  *valid = crc == frame->crc;
  return OK;
}

/* Searches length bytes of a file, which start at offset, for valid frames. Raises *highest to the
 * highest generation found that is at least min_generation. */
static enum error_code search_bytes(recovery *recovery, const char *bytes, size_t length,
                                    size_t offset, uint64_t min_generation, uint64_t *highest,
                                    size_t *searched, error *err) {
  size_t i = 0;
  for (; i + sizeof(wal_frame) <= length; i += WAL_ALIGNMENT) {
    wal_frame frame;
    memcpy(&frame, bytes + i, sizeof frame);
    if (frame.magic != WAL_FRAME_MAGIC || frame.generation < min_generation ||
        frame.generation <= *highest)
      continue;
    bool valid;
    enum error_code code = read_frame(&recovery->body, offset + i, &frame, &valid, NULL, err);
    if (code)
      return code;
    if (valid)
      *highest = frame.generation;
  }
  *searched = i;
  return OK;
}

/* Searches the windows' file from an offset on. Sets *highest to the highest generation of a valid
 * frame that is at least min_generation, or to 0 if there is none. */
static enum error_code find_highest_generation(recovery *recovery, size_t offset,
                                               uint64_t min_generation, uint64_t *highest,
                                               error *err) {
  size_t size = recovery->wal->size;
  *highest = 0;
  size_t position = wal_align(offset);
  while (position + sizeof(wal_frame) <= size) {
    size_t length = MIN((size_t)WINDOW_BYTES, size - position) & ~(size_t)(WAL_ALIGNMENT - 1);
    size_t searched = 0;
    const char *bytes;
    enum error_code code = window_read(&recovery->scan, position, length, &bytes, err);
    if (!code)
      code =
          search_bytes(recovery, bytes, length, position, min_generation, highest, &searched, err);
    if (code)
      return code;
    position += searched;
  }
  return OK;
}

static enum error_code find_newest_file(recovery *recovery, error *err) {
  for (unsigned i = 0; i < WAL_FILE_COUNT; i++) {
    wal_frame frame;
    move_windows(recovery, i);
    enum error_code code =
        read_frame(&recovery->scan, 0, &frame, &recovery->has_checkpoint[i], NULL, err);
    if (code)
      return code;
    if (recovery->has_checkpoint[i] && frame.generation > recovery->generation) {
      recovery->generation = frame.generation;
      recovery->newest_file = i;
    }
  }
  return OK;
}

/* Finds the end of the valid frames of the newest file. */
static enum error_code find_end(recovery *recovery, error *err) {
  wal_frame frame;
  bool valid;
  move_windows(recovery, recovery->newest_file);
  for (;;) {
    enum error_code code = read_frame(&recovery->scan, recovery->end, &frame, &valid, NULL, err);
    if (code || !valid || frame.generation != recovery->generation)
      return code;
    recovery->end += wal_align(sizeof frame + frame.length);
  }
}

static enum error_code check_torn_end(recovery *recovery, error *err) {
  wal *wal = recovery->wal;
  if (recovery->end >= wal->size)
    return OK;
  size_t length = MIN((size_t)TORN_END_BYTES, wal->size - recovery->end);
  const char *bytes;
  enum error_code code = window_read(&recovery->scan, recovery->end, length, &bytes, err);
  if (code)
    return code;
  for (size_t i = 0; i < length; i++)
    wal->has_torn_end |= bytes[i] != 0;
  return OK;
}

static enum error_code replay_newest_file(recovery *recovery, error *err) {
  wal *wal = recovery->wal;
  GString *body = g_string_new(NULL);
  enum error_code code = OK;
  size_t offset = 0;
  while (!code && offset < recovery->end) {
    wal_frame frame;
    bool valid;
    code = read_frame(&recovery->scan, offset, &frame, &valid, body, err);
    if (code)
      break;
    wal_entries_for_each(string_view_of_gstring(body), wal->replay_entry, wal->ctx);
    offset += wal_align(sizeof frame + frame.length);
  }
  g_string_free(body, TRUE);
  return code;
}

/* Examines the newest file and replays it unless it is corrupt. */
static enum error_code recover_newest_file(recovery *recovery, enum wal_integrity *integrity,
                                           error *err) {
  uint64_t later_generation;
  enum error_code code = find_end(recovery, err);
  if (!code)
    code = find_highest_generation(recovery, recovery->end, recovery->generation, &later_generation,
                                   err);
  if (code)
    return code;
  *integrity = later_generation ? WAL_CORRUPT : WAL_INTACT;
  code = check_torn_end(recovery, err);
  if (!code && *integrity == WAL_INTACT)
    code = replay_newest_file(recovery, err);
  recovery->wal->current_file = recovery->newest_file;
  recovery->wal->offset = recovery->end;
  return code;
}

/* The log is corrupt if a file without a valid first frame holds a frame that is newer than the
 * newest file. */
static enum error_code check_other_files(recovery *recovery, enum wal_integrity *integrity,
                                         error *err) {
  for (unsigned i = 0; i < WAL_FILE_COUNT; i++) {
    if ((int)i == recovery->newest_file || recovery->has_checkpoint[i])
      continue;
    uint64_t later_generation;
    move_windows(recovery, i);
    enum error_code code = find_highest_generation(
        recovery, WAL_ALIGNMENT, recovery->generation + 1, &later_generation, err);
    if (code)
      return code;
    if (later_generation)
      *integrity = WAL_CORRUPT;
  }
  return OK;
}

/* Ensures that a corrupt log restarts with a generation above all that are on the disk. */
static enum error_code raise_generation(recovery *recovery, error *err) {
  for (unsigned i = 0; i < WAL_FILE_COUNT; i++) {
    uint64_t later_generation;
    move_windows(recovery, i);
    enum error_code code =
        find_highest_generation(recovery, 0, recovery->generation + 1, &later_generation, err);
    if (code)
      return code;
    if (later_generation)
      recovery->generation = later_generation;
  }
  return OK;
}

enum error_code wal_recover(wal *wal, enum wal_integrity *integrity, error *err) {
  recovery recovery = { .wal = wal, .newest_file = -1 };
  recovery.scan = (file_window){ .wal = wal, .buffer = g_malloc(WINDOW_BYTES) };
  recovery.body = (file_window){ .wal = wal, .buffer = g_malloc(WINDOW_BYTES) };
  *integrity = WAL_BLANK;
  enum error_code code = find_newest_file(&recovery, err);
  if (!code && recovery.newest_file >= 0)
    code = recover_newest_file(&recovery, integrity, err);
  if (!code)
    code = check_other_files(&recovery, integrity, err);
  if (!code && *integrity == WAL_CORRUPT)
    code = raise_generation(&recovery, err);
  wal->generation = recovery.generation;
  g_free(recovery.scan.buffer);
  g_free(recovery.body.buffer);
  return code;
}
