#ifndef RUNTIME_REAL_DISK_H
#define RUNTIME_REAL_DISK_H
/**
 * The disk of the real world: numbered files in the data folder.
 *
 * Reads, writes and syncs may take seconds on a disk that stalls, and the process has one thread
 * for everything else, so a worker thread does them. A task appends a job to a queue and waits for
 * its condition; the worker does the jobs in the order of the queue, appends them to a second queue
 * and wakes the event loop, which signals the tasks (real_disk_complete_jobs). The two queues are
 * all that the threads share, under one lock. A job's buffer is its own, so that a task which gives
 * up when the process stops may return before the worker is done.
 */
#include "world.h"

struct lws_context;

typedef struct real_disk real_disk;

/** Makes the disk of a world and starts its worker. data_dir is copied; the context's wait is ended
 * when a job is done. */
real_disk *real_disk_new(world *world, struct lws_context *context, const char *data_dir);
/** Wakes the tasks whose jobs are done. To be called by the event loop. */
void real_disk_complete_jobs(real_disk *disk);
/** Ends the worker, after the jobs in the queue, and wakes their tasks. The context must still be
 * there. */
void real_disk_stop(real_disk *disk);
/** Closes the files and frees a disk that was stopped; no task may be left. */
void real_disk_free(real_disk *disk);

/** Opens a file, and makes it in its full size if it isn't there; file and folder are synced.
 * Blocks the thread, so it is for the start of a process. OK, E_DISK, E_DISK_FULL or E_DISK_SYNC.
 */
enum error_code real_disk_open_file(real_disk *disk, unsigned file, size_t size, error *err);
/** The running task waits for these. OK, E_DISK, E_DISK_FULL, E_DISK_SYNC or E_STOPPING. */
enum error_code real_disk_read(real_disk *disk, unsigned file, size_t offset, void *to, size_t size,
                               error *err);
enum error_code real_disk_write(real_disk *disk, unsigned file, size_t offset, const void *from,
                                size_t size, error *err);
enum error_code real_disk_sync(real_disk *disk, unsigned file, error *err);
#endif
