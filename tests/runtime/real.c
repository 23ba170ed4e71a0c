/** Tests of the files of the real world's disk: a file and its directory are synced before anything
 * is written to the file, even if the process that created the file ended before its sync. */
#include "real_world.h"
#include "tests.h"
#include <glib/gstdio.h>
#include <errno.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

enum { RING_FILE_BYTES = 64 << 10 };

/* number of syncs since the last call of open_ring_file, and whether the next sync fails */
static int files_synced, directories_synced;
static bool next_sync_fails;

/* replaces the C library's fsync in this program */
int fsync(int fd) {
  struct stat st;
  if (next_sync_fails) {
    next_sync_fails = false;
    errno = EIO;
    return -1;
  }
  if (!fstat(fd, &st)) {
    files_synced += S_ISREG(st.st_mode);
    directories_synced += S_ISDIR(st.st_mode);
  }
  return (int)syscall(SYS_fsync, fd);
}

static int open_ring_file(world *world) {
  error err = { 0 };
  files_synced = directories_synced = 0;
  return world->disk_open(world, 0, RING_FILE_BYTES, &err);
}

static bool ring_file_is_synced_on_every_open(fleet *fleet) {
  real_settings settings = { .body_max_bytes = 0 };
  char *dir = g_dir_make_tmp("ring-XXXXXX", NULL);
  g_strlcpy(settings.data_dir, dir, sizeof settings.data_dir);
  error err = { 0 };
  world *world = real_world_new(&settings, &err);
  if (!world) {
    fleet_add_violation(fleet, "no world: %s", err.text);
    return false;
  }
  next_sync_fails = true;
  if (open_ring_file(world) != E_DISK_SYNC)
    fleet_add_violation(fleet, "a failed sync was not reported");
  if (open_ring_file(world) || !files_synced || !directories_synced)
    fleet_add_violation(fleet, "after a failed sync, %d files and %d directories were synced",
                        files_synced, directories_synced);
  real_world_free(world);
  /* a later process can't know whether the process that created the file was killed before its
   * sync */
  world = real_world_new(&settings, &err);
  if (!world || open_ring_file(world) || !files_synced || !directories_synced)
    fleet_add_violation(fleet, "a later process synced %d files and %d directories", files_synced,
                        directories_synced);
  if (world)
    real_world_free(world);
  char *path = g_strdup_printf("%s/ring-00", dir);
  g_unlink(path);
  g_rmdir(dir);
  g_free(path);
  g_free(dir);
  return true;
}

const test_case real_disk_tests[] = { { "ring_file_is_synced_on_every_open",
                                        ring_file_is_synced_on_every_open, 1, 1, 17 },
                                      { NULL, NULL, 0, 0, 0 } };
