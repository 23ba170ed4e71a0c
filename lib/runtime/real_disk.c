/** The disk of the real world: see real_disk.h. */
#include "real_disk.h"
#include <errno.h>
#include <fcntl.h>
#include <libwebsockets.h>
#include <pthread.h>
#include <stdio.h>
#include <sys/stat.h>
#include <unistd.h>

/* exceeds the number of files of the write-ahead log */
enum { FILES_MAX = 32 };
enum { NO_FILE = -1 };

enum job_kind { JOB_READ, JOB_WRITE, JOB_SYNC };

/* The task that waits for a job owns it. real_disk_complete_jobs frees an abandoned job. */
typedef struct job {
  /* in one of the disk's two queues */
  list_node link;
  enum job_kind kind;
  int fd;
  size_t offset, size;
  char *buffer;
  /* written by the worker */
  enum error_code result;
  /* written by the event loop thread */
  bool done, abandoned;
  condition finished;
} job;

struct real_disk {
  world *world;
  struct lws_context *context;
  char *data_dir;
  int fds[FILES_MAX];
  pthread_t worker;
  /* protects the members below */
  pthread_mutex_t lock;
  pthread_cond_t job_added;
  list_node waiting_jobs, done_jobs;
  bool stopping;
};

/* Reads or writes all bytes of the job. */
static enum error_code transfer(const job *job) {
  size_t done = 0;
  while (done < job->size) {
    char *bytes = job->buffer + done;
    size_t remaining = job->size - done;
    off_t offset = (off_t)(job->offset + done);
    ssize_t count = job->kind == JOB_WRITE ? pwrite(job->fd, bytes, remaining, offset)
                                           : pread(job->fd, bytes, remaining, offset);
    if (count < 0 && errno == EINTR)
      continue;
    if (count < 0 && errno == ENOSPC)
      return E_DISK_FULL;
    if (count <= 0)
      return E_DISK;
    done += (size_t)count;
  }
  return OK;
}

static enum error_code execute_job(const job *job) {
  if (job->kind == JOB_SYNC)
    return fdatasync(job->fd) ? E_DISK_SYNC : OK;
  return transfer(job);
}

static void *worker_run(void *context) {
  real_disk *disk = context;
  pthread_mutex_lock(&disk->lock);
  for (;;) {
    while (list_is_empty(&disk->waiting_jobs) && !disk->stopping)
      pthread_cond_wait(&disk->job_added, &disk->lock);
    if (list_is_empty(&disk->waiting_jobs))
      break;
    job *next = list_item(disk->waiting_jobs.next, job, link);
    list_remove(&next->link);
    pthread_mutex_unlock(&disk->lock);
    enum error_code result = execute_job(next);
    pthread_mutex_lock(&disk->lock);
    next->result = result;
    list_append(&disk->done_jobs, &next->link);
    lws_cancel_service(disk->context);
  }
  pthread_mutex_unlock(&disk->lock);
  return NULL;
}

static void job_free(job *job) {
  g_free(job->buffer);
  g_free(job);
}

/* Removes and returns the first finished job; NULL if there is none. */
static job *take_done_job(real_disk *disk) {
  job *first = NULL;
  pthread_mutex_lock(&disk->lock);
  if (!list_is_empty(&disk->done_jobs)) {
    first = list_item(disk->done_jobs.next, job, link);
    list_remove(&first->link);
  }
  pthread_mutex_unlock(&disk->lock);
  return first;
}

void real_disk_complete_jobs(real_disk *disk) {
  job *done;
  while ((done = take_done_job(disk))) {
    if (done->abandoned) {
      job_free(done);
      continue;
    }
    done->done = true;
    condition_broadcast(&done->finished);
  }
}

static job *add_job(real_disk *disk, enum job_kind kind, int fd, size_t offset, const void *from,
                    size_t size) {
  job *added = g_new0(job, 1);
  added->kind = kind;
  added->fd = fd;
  added->offset = offset;
  added->size = size;
  added->buffer = size ? g_malloc(size) : NULL;
  if (from)
    memcpy(added->buffer, from, size);
  condition_init(&added->finished);
  pthread_mutex_lock(&disk->lock);
  list_append(&disk->waiting_jobs, &added->link);
  pthread_cond_signal(&disk->job_added);
  pthread_mutex_unlock(&disk->lock);
  return added;
}

/* Adds a job and waits for it. `from` is set for writes only, `to` for reads only. */
static enum error_code run_job_and_wait(real_disk *disk, enum job_kind kind, unsigned file,
                                        size_t offset, void *to, const void *from, size_t size,
                                        error *err) {
  if (file >= FILES_MAX || disk->fds[file] == NO_FILE)
    return error_set(err, E_DISK, "file %u is not open", file);
  job *job = add_job(disk, kind, disk->fds[file], offset, from, size);
  while (!job->done) {
    enum wake_reason wake = condition_wait(&disk->world->tasks, &job->finished, time_never());
    if (wake == WAKE_STOPPED && !job->done) {
      job->abandoned = true;
      return error_set(err, E_STOPPING, "stopping");
    }
  }
  enum error_code result = job->result;
  if (to && result == OK)
    memcpy(to, job->buffer, size);
  job_free(job);
  return result == OK ? OK : error_set(err, result, "disk file %u failed", file);
}

enum error_code real_disk_read(real_disk *disk, unsigned file, size_t offset, void *to, size_t size,
                               error *err) {
  return run_job_and_wait(disk, JOB_READ, file, offset, to, NULL, size, err);
}

enum error_code real_disk_write(real_disk *disk, unsigned file, size_t offset, const void *from,
                                size_t size, error *err) {
  return run_job_and_wait(disk, JOB_WRITE, file, offset, NULL, from, size, err);
}

enum error_code real_disk_sync(real_disk *disk, unsigned file, error *err) {
  return run_job_and_wait(disk, JOB_SYNC, file, 0, NULL, NULL, 0, err);
}

/* Allocates the file if it is shorter than size. Returns 0 or an errno. */
static int allocate_if_short(int fd, size_t size) {
  struct stat status;
  if (!fstat(fd, &status) && (size_t)status.st_size >= size)
    return 0;
  return posix_fallocate(fd, 0, (off_t)size);
}

/* Syncs the directory as well as the file; otherwise the name of a new file could be lost. */
static bool sync_file_and_directory(int fd, const char *directory) {
  int directory_fd = open(directory, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  bool synced = !fsync(fd) && directory_fd >= 0 && !fsync(directory_fd);
  int error_number = errno;
  if (directory_fd >= 0)
    close(directory_fd);
  errno = error_number;
  return synced;
}

enum error_code real_disk_open_file(real_disk *disk, unsigned file, size_t size, error *err) {
  char path[600];
  g_assert(file < FILES_MAX);
  snprintf(path, sizeof path, "%s/ring-%02u", disk->data_dir, file);
  int fd = open(path, O_RDWR | O_CREAT | O_CLOEXEC, 0640);
  if (fd < 0)
    return error_set(err, E_DISK, "%s: %s", path, strerror(errno));
  int error_number = allocate_if_short(fd, size);
  if (error_number) {
    close(fd);
    return error_set(err, error_number == ENOSPC ? E_DISK_FULL : E_DISK, "%s: %s", path,
                     strerror(error_number));
  }
  /* An existing file is synced too: the process that created it may have ended before the sync, or
   * the sync may have failed. */
  if (!sync_file_and_directory(fd, disk->data_dir)) {
    error_set(err, E_DISK_SYNC, "%s: %s", path, strerror(errno));
    close(fd);
    return E_DISK_SYNC;
  }
  disk->fds[file] = fd;
  return OK;
}

real_disk *real_disk_new(world *world, struct lws_context *context, const char *data_dir) {
  real_disk *disk = g_new0(real_disk, 1);
  disk->world = world;
  disk->context = context;
  disk->data_dir = g_strdup(data_dir);
  for (int i = 0; i < FILES_MAX; i++)
    disk->fds[i] = NO_FILE;
  list_init(&disk->waiting_jobs);
  list_init(&disk->done_jobs);
  pthread_mutex_init(&disk->lock, NULL);
  pthread_cond_init(&disk->job_added, NULL);
  if (pthread_create(&disk->worker, NULL, worker_run, disk))
    g_error("can't start the disk worker thread");
  return disk;
}

void real_disk_stop(real_disk *disk) {
  pthread_mutex_lock(&disk->lock);
  disk->stopping = true;
  pthread_cond_signal(&disk->job_added);
  pthread_mutex_unlock(&disk->lock);
  pthread_join(disk->worker, NULL);
  real_disk_complete_jobs(disk);
}

void real_disk_free(real_disk *disk) {
  for (int i = 0; i < FILES_MAX; i++)
    if (disk->fds[i] != NO_FILE)
      close(disk->fds[i]);
  pthread_cond_destroy(&disk->job_added);
  pthread_mutex_destroy(&disk->lock);
  g_free(disk->data_dir);
  g_free(disk);
}
