#ifndef RUNTIME_REAL_DISK_H
#define RUNTIME_REAL_DISK_H
/**
 * The disk of the real world: numbered files in the data directory.
 *
 * Reads, writes and syncs can take seconds on a stalled disk, and the process has only one thread
 * for everything else, so a worker thread executes them. A task appends a job to a queue and waits
 * for its condition. The worker executes the jobs in order, appends them to a second queue and
 * wakes the event loop, which signals the tasks (real_disk_complete_jobs). The threads share only
 * the two queues, under one lock. Each job owns its buffer, so a task that stops waiting because
 * the process stops may return before the worker is done.
 */
#include "world.h"

struct lws_context;

typedef struct real_disk real_disk;

/** Creates the disk of a world and starts its worker. data_dir is copied. A finished job interrupts
 * the context's wait for events. */
real_disk *real_disk_new(world *world, struct lws_context *context, const char *data_dir);
/** Wakes the tasks whose jobs are finished. Called by the event loop. */
void real_disk_complete_jobs(real_disk *disk);
/** Stops the worker after it has executed all queued jobs, and wakes their tasks. The context must
 * still exist. */
void real_disk_stop(real_disk *disk);
/** Closes the files and frees a stopped disk; no task may be left. */
void real_disk_free(real_disk *disk);

/** Opens a file, creating it in its full size if it does not exist, and syncs the file and the
 * directory. Blocks the thread, so it is only for the startup of a process. Returns OK, E_DISK,
 * E_DISK_FULL or E_DISK_SYNC. */
enum error_code real_disk_open_file(real_disk *disk, unsigned file, size_t size, error *err);
/** Read, write or sync; the running task waits for the result. Returns OK, E_DISK, E_DISK_FULL,
 * E_DISK_SYNC or E_STOPPING. */
enum error_code real_disk_read(real_disk *disk, unsigned file, size_t offset, void *to, size_t size,
                               error *err);
enum error_code real_disk_write(real_disk *disk, unsigned file, size_t offset, const void *from,
                                size_t size, error *err);
enum error_code real_disk_sync(real_disk *disk, unsigned file, error *err);
#endif
