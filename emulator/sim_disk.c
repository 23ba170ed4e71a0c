/** @file
 * Each file has two copies, the cache and the durable data. A write changes the cache and is
 * recorded as unsynced; a sync applies the unsynced writes of its file to the durable data. A power
 * loss applies a random part of the unsynced writes and then sets the cache to the durable data. */
#include "sim.h"
#include <stdlib.h>

enum {
  /** The size that a disk writes atomically. */
  SECTOR_BYTES = 512,
  /** A write of which only the beginning is kept is cut at a multiple of this size. */
  TORN_WRITE_UNIT_BYTES = 64,
  /** An operation except a read takes OPERATION_US plus a random part of OPERATION_JITTER_US. */
  OPERATION_US = 200,
  OPERATION_JITTER_US = 1500
};

sim_disk *sim_disk_new(void) {
  sim_disk *disk = g_new0(sim_disk, 1);
  disk->unsynced_writes = g_array_new(FALSE, TRUE, sizeof(unsynced_write));
  return disk;
}

static bool is_stalled(const host *host) {
  return host->disk->stalled_until.us > host->sim->now.us;
}

static int64_t draw_operation_us(host *host) {
  if (is_stalled(host))
    return host->disk->stalled_until.us - host->sim->now.us;
  return host->disk->operation_delay_ms * 1000 + OPERATION_US +
         (int64_t)sim_random(host->sim, OPERATION_JITTER_US);
}

/* waits for the time that one operation takes */
static enum error_code wait_for_operation(host *host, error *err) {
  sim_disk *disk = host->disk;
  time_us started_at = host->sim->now;
  do {
    time_us duration = { draw_operation_us(host) };
    if (task_sleep(&host->world.tasks, duration) == WAKE_STOPPED)
      return error_set(err, E_STOPPING, "stopping");
  } while (is_stalled(host) && disk->stalled_until.us > started_at.us);
  if (disk->fails)
    return error_set(err, E_DISK_SYNC, "the disk fails");
  return OK;
}

static enum error_code disk_open(world *world, unsigned file, size_t size, error *err) {
  host *h = (host *)world;
  sim_disk *disk = h->disk;
  if (file >= SIM_DISK_FILES_MAX || disk->fails)
    return error_set(err, E_DISK, "no such file");
  if (!disk->cached_data[file]) {
    disk->cached_data[file] = calloc(1, size);
    disk->durable_data[file] = calloc(1, size);
    disk->size = size;
    disk->creation_synced[file] = !disk->tears_writes;
  }
  if (disk->creation_synced[file])
    return OK;
  enum error_code result = wait_for_operation(h, err);
  if (result == OK)
    disk->creation_synced[file] = true;
  return result;
}

static enum error_code disk_read(world *world, unsigned file, size_t offset, void *to,
                                 size_t length, error *err) {
  sim_disk *disk = ((host *)world)->disk;
  if (offset + length > disk->size)
    return error_set(err, E_DISK, "past the end");
  memcpy(to, disk->cached_data[file] + offset, length);
  return OK;
}

static enum error_code disk_write(world *world, unsigned file, size_t offset, const void *data,
                                  size_t length, error *err) {
  host *h = (host *)world;
  sim_disk *disk = h->disk;
  enum error_code result = wait_for_operation(h, err);
  if (result != OK)
    return result;
  if (disk->full)
    return error_set(err, E_DISK_FULL, "the disk is full");
  if (offset + length > disk->size)
    return error_set(err, E_DISK, "past the end");
  memcpy(disk->cached_data[file] + offset, data, length);
  unsynced_write write = { file, offset, length, g_memdup2(data, length) };
  g_array_append_val(disk->unsynced_writes, write);
  return OK;
}

static enum error_code disk_sync(world *world, unsigned file, error *err) {
  host *h = (host *)world;
  sim_disk *disk = h->disk;
  enum error_code result = wait_for_operation(h, err);
  if (result != OK)
    return result;
  for (guint i = 0; i < disk->unsynced_writes->len;) {
    unsynced_write *write = &g_array_index(disk->unsynced_writes, unsynced_write, i);
    if (write->file != file) {
      i++;
      continue;
    }
    memcpy(disk->durable_data[file] + write->offset, write->data, write->length);
    g_free(write->data);
    g_array_remove_index(disk->unsynced_writes, i);
  }
  return OK;
}

void sim_disk_attach(host *host) {
  host->world.disk_open = disk_open;
  host->world.disk_read = disk_read;
  host->world.disk_write = disk_write;
  host->world.disk_sync = disk_sync;
}

/* keeps or drops each sector of a write independently */
static void keep_random_sectors(sim *sim, sim_disk *disk, const unsynced_write *write) {
  char *to = disk->durable_data[write->file] + write->offset;
  for (size_t at = 0; at < write->length; at += SECTOR_BYTES)
    if (sim_random(sim, 2))
      memcpy(to + at, write->data + at, MIN((size_t)SECTOR_BYTES, write->length - at));
}

/* draws how many bytes of a write are kept: all, none or a part from its beginning */
static size_t draw_kept_length(sim *sim, size_t length) {
  if (sim_random(sim, 3) == 0)
    return length;
  if (sim_random(sim, 2))
    return 0;
  return MIN(length, sim_random(sim, length / TORN_WRITE_UNIT_BYTES + 1) * TORN_WRITE_UNIT_BYTES);
}

static void lose_unsynced_write(sim *sim, sim_disk *disk, const unsynced_write *write) {
  if (disk->tears_writes && sim_random(sim, 2)) {
    keep_random_sectors(sim, disk, write);
    return;
  }
  memcpy(disk->durable_data[write->file] + write->offset, write->data,
         draw_kept_length(sim, write->length));
}

static void remove_file(sim_disk *disk, int file) {
  free(disk->cached_data[file]);
  free(disk->durable_data[file]);
  disk->cached_data[file] = disk->durable_data[file] = NULL;
}

static void drop_unsynced_writes(sim_disk *disk) {
  for (guint i = 0; i < disk->unsynced_writes->len; i++)
    g_free(g_array_index(disk->unsynced_writes, unsynced_write, i).data);
  g_array_set_size(disk->unsynced_writes, 0);
}

void sim_disk_lose_unsynced(sim *sim, sim_disk *disk) {
  for (guint i = 0; i < disk->unsynced_writes->len; i++)
    lose_unsynced_write(sim, disk, &g_array_index(disk->unsynced_writes, unsynced_write, i));
  drop_unsynced_writes(disk);
  for (int i = 0; i < SIM_DISK_FILES_MAX; i++) {
    if (disk->cached_data[i] && !disk->creation_synced[i] && sim_random(sim, 2))
      remove_file(disk, i);
    if (disk->cached_data[i])
      memcpy(disk->cached_data[i], disk->durable_data[i], disk->size);
  }
}

static void erase_disk(sim_disk *disk) {
  drop_unsynced_writes(disk);
  for (int i = 0; i < SIM_DISK_FILES_MAX; i++)
    remove_file(disk, i);
}

void sim_disk_free(sim_disk *disk) {
  erase_disk(disk);
  g_array_free(disk->unsynced_writes, TRUE);
  g_free(disk);
}

void host_wipe_disk(host *host) {
  erase_disk(host->disk);
}
