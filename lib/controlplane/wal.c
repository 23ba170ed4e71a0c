/** Writes the write-ahead log.
 *
 * Callers append entries to a buffer and wait. One writer task takes the buffer, writes it as one
 * frame and syncs it, so that entries that arrive while the disk is busy share the next sync (group
 * commit). If the frame no longer fits into the current file, the next file of the ring is started
 * with a checkpoint: the complete state at that time.
 *
 * If the disk refuses a write, the waiting entries are discarded and the log counts as failed. The
 * writer then retries to write a checkpoint to a new file; once that is synced, the log accepts
 * entries again. */
#include "wal.h"
#include "wal_recovery.h"
#include <malloc.h>
#include <zlib.h>

enum {
  /** Delay before a failed log retries to write a checkpoint, in ms. */
  FAILED_RETRY_MS = 500,
  /** Minimum number of bytes that must remain free in a file after its checkpoint. */
  MIN_FREE_BYTES = 4096,
  /** A frame longer than the file size divided by this starts a new file. */
  LONG_FRAME_DIVISOR = 4,
  /** After a checkpoint of more than this many bytes, the allocator returns free memory to the
   * system. */
  LARGE_CHECKPOINT_BYTES = 1 << 20
};

/* returns a buffer with space reserved for the header of its frame */
static GString *frame_new(void) {
  GString *frame = g_string_sized_new(256);
  g_string_set_size(frame, sizeof(wal_frame));
  return frame;
}

static bool frame_is_empty(const GString *frame) {
  return frame->len == sizeof(wal_frame);
}

static enum error_code open_files(wal *wal, error *err) {
  world *world = wal->node->world;
  for (; wal->opened < WAL_FILE_COUNT; wal->opened++) {
    int code = world->disk_open(world, wal->opened, wal->size, err);
    if (code)
      return code;
  }
  return OK;
}

/* Syncs what an earlier process may have written without a sync, since this process relies on it.
 */
static enum error_code sync_files(wal *wal, error *err) {
  world *world = wal->node->world;
  for (unsigned file = 0; file < WAL_FILE_COUNT; file++) {
    int code = world->disk_sync(world, file, err);
    if (code)
      return code;
  }
  return OK;
}

enum error_code wal_open(wal *wal, node *node, size_t size, enum wal_integrity *integrity,
                         error *err) {
  wal->node = node;
  wal->size = size;
  wal->file_count = WAL_FILE_COUNT;
  if (!wal->pending) {
    wal->pending = frame_new();
    condition_init(&wal->work);
    condition_init(&wal->progress);
  }
  enum error_code code = open_files(wal, err);
  if (!code)
    code = sync_files(wal, err);
  if (!code)
    code = wal_recover(wal, integrity, err);
  return code;
}

/* fills in the header of a frame and its padding */
static void complete_frame(GString *frame, uint64_t generation) {
  wal_frame header = { .magic = WAL_FRAME_MAGIC,
                       .length = frame->len - sizeof header,
                       .generation = generation };
  header.crc = crc32(wal_frame_header_crc(&header), (const Bytef *)frame->str + sizeof header,
                     header.length);
  memcpy(frame->str, &header, sizeof header);
  while (frame->len % WAL_ALIGNMENT)
    g_string_append_c(frame, 0);
}

static enum error_code write_frame(wal *wal, unsigned file, size_t offset, uint64_t generation,
                                   GString *frame, error *err) {
  world *world = wal->node->world;
  complete_frame(frame, generation);
  time_us started_at = world_now(world);
  int code = world->disk_write(world, file, offset, frame->str, frame->len, err);
  if (!code)
    code = world->disk_sync(world, file, err);
  wal->last_write_time = time_sub(world_now(world), started_at);
  return code;
}

/* starts the next file of the ring with a checkpoint */
static enum error_code begin_file(wal *wal, error *err) {
  GString *checkpoint = frame_new();
  wal->write_checkpoint(wal->ctx, checkpoint);
  size_t length = checkpoint->len;
  wal->checkpoint_size = length - sizeof(wal_frame);
  unsigned next_file = (wal->current_file + 1) % wal->file_count;
  enum error_code code = OK;
  if (length + MIN_FREE_BYTES > wal->size)
    code = error_set(err, E_DISK_FULL, "the state of %zu bytes outgrows a ring file", length);
  if (!code)
    code = write_frame(wal, next_file, 0, wal->generation + 1, checkpoint, err);
  if (!code) {
    wal->current_file = next_file;
    wal->generation++;
    wal->offset = wal->last_frame_offset = wal_align(length);
  }
  g_string_free(checkpoint, TRUE);
  if (length > LARGE_CHECKPOINT_BYTES)
    malloc_trim(0);
  return code;
}

static void mark_failed(wal *wal, const error *err, int code) {
  wal->failed = true;
  wal->discarded = wal->appended;
  g_string_set_size(wal->pending, sizeof(wal_frame));
  log_info(&wal->node->log, "wal",
           "The disk refuses writes; this replica is out of service: %s (code %d).", err->text,
           code);
  condition_broadcast(&wal->progress);
}

static void mark_synced(wal *wal, uint64_t appended) {
  wal->synced = appended;
  condition_broadcast(&wal->progress);
}

/* Tries once to recover a failed log. E_STOPPING ends the writer. */
static enum error_code retry_failed(wal *wal) {
  error err = { 0 };
  if (!world_sleep(wal->node->world, time_from_ms(FAILED_RETRY_MS)))
    return E_STOPPING;
  enum error_code code = begin_file(wal, &err);
  if (code)
    return code;
  wal->failed = false;
  log_info(&wal->node->log, "wal", "The disk accepts writes again.");
  mark_synced(wal, wal->appended);
  return OK;
}

/* Appends a frame to the current file, or to a new one if it does not fit or is long. */
static enum error_code append_frame(wal *wal, GString *frame, error *err) {
  size_t length = wal_align(frame->len);
  if (wal->offset + length > wal->size || frame->len > wal->size / LONG_FRAME_DIVISOR) {
    enum error_code code = begin_file(wal, err);
    if (code)
      return code;
    if (wal->offset + length > wal->size)
      return error_set(err, E_DISK_FULL, "an entry outgrows a ring file");
  }
  enum error_code code =
      write_frame(wal, wal->current_file, wal->offset, wal->generation, frame, err);
  if (code)
    return code;
  wal->last_frame_offset = wal->offset;
  wal->offset += length;
  return OK;
}

/* Writes all waiting entries as one frame. E_STOPPING ends the writer. */
static enum error_code write_pending(wal *wal) {
  error err = { 0 };
  GString *frame = wal->pending;
  uint64_t appended = wal->appended;
  wal->pending = frame_new();
  enum error_code code = append_frame(wal, frame, &err);
  g_string_free(frame, TRUE);
  if (!code)
    mark_synced(wal, appended);
  else if (code != E_STOPPING)
    mark_failed(wal, &err, code);
  return code;
}

static enum error_code wait_for_work(wal *wal) {
  world *world = wal->node->world;
  bool stopped = condition_wait(&world->tasks, &wal->work, time_never()) == WAKE_STOPPED;
  return stopped ? E_STOPPING : OK;
}

/* task function of the writer */
static void writer_run(void *ctx) {
  wal *wal = ctx;
  enum error_code code = OK;
  while (code != E_STOPPING) {
    if (wal->failed)
      code = retry_failed(wal);
    else if (frame_is_empty(wal->pending))
      code = wait_for_work(wal);
    else
      code = write_pending(wal);
  }
}

enum error_code wal_start(wal *wal, bool blank, error *err) {
  enum error_code code = blank || wal->has_torn_end ? begin_file(wal, err) : OK;
  if (code == E_STOPPING)
    return code;
  if (code)
    mark_failed(wal, err, code);
  task_start(&wal->node->world->tasks, "store", writer_run, wal);
  return OK;
}

enum error_code wal_append_all(wal *wal, string_view entries, error *err) {
  if (wal->failed)
    return error_set(err, E_DISK, "the disk of this machine refuses writes");
  g_string_append_len(wal->pending, entries.data, entries.length);
  uint64_t own = ++wal->appended;
  condition_broadcast(&wal->work);
  while (wal->synced < own && wal->discarded < own)
    if (condition_wait(&wal->node->world->tasks, &wal->progress, time_never()) == WAKE_STOPPED)
      return error_set(err, E_STOPPING, "stopping");
  if (wal->synced < own)
    return error_set(err, E_DISK, "the disk of this machine refused a write");
  return OK;
}

enum error_code wal_rotate(wal *wal, error *err) {
  if (wal->failed)
    return error_set(err, E_DISK, "the disk of this machine refuses writes");
  /* Marks the current file as full, so that the next write starts a new one. The empty entry
     triggers that write. */
  wal->offset = wal->size;
  GString *entry = g_string_new(NULL);
  wal_entry_add(entry, ENTRY_NONE, "", 0);
  enum error_code code = wal_append_all(wal, string_view_of_gstring(entry), err);
  g_string_free(entry, TRUE);
  return code;
}

bool wal_has_unsynced(const wal *wal) {
  return wal->appended > wal->synced;
}

void wal_free(wal *wal) {
  if (wal->pending)
    g_string_free(wal->pending, TRUE);
}
