#ifndef RUNTIME_WORLD_H
#define RUNTIME_WORLD_H
/**
 * The interface between a process and everything outside it: time, chance, log, network and disk.
 *
 * All code of controllers and routers reaches the outside through a struct world only. There are
 * two implementations: the real one (real_world.h: sockets, files, the boot clock) and the
 * emulator's (emulator/sim.c), which runs a whole fleet in one thread on simulated time, with every
 * random number drawn from one seed, so that each of its runs can be repeated exactly.
 *
 * struct world holds the function pointers that an implementation fills in, and the hooks and
 * settings that the process fills in. Code does not call the pointers for HTTP directly but by way
 * of http_request.h and http_call.h.
 */
#include "base.h"
#include "http_call.h"
#include "http_headers.h"
#include "http_request.h"
#include "task.h"

/** Time after which a channel to another process whose bytes are not acknowledged is closed, with
 * all that was not delivered. */
enum { PEER_CHANNEL_TIMEOUT_MS = 1500 };

/** What a process sees of its machine. Functions that take err return OK or the code that they set
 * in it. */
struct world {
  /** The tasks of the process, and its clock. */
  scheduler tasks;

  /** 64 random bits. */
  uint64_t (*random)(world *world);
  /** Writes the wall-clock time in UTC as text into buf, and returns it; for the log only. */
  const char *(*timestamp)(world *world, char *buf, size_t size);
  /** Writes a line to the log; line has no line end. */
  void (*write_log)(world *world, const char *line);

  /** Sends a message to another process's port; it may be lost without notice. */
  void (*post_message)(world *world, const char *address, string_view message);
  /** Set by the process: takes a message that came in. */
  void (*on_message)(void *context, string_view message);
  void *on_message_context;

  /** Set by the process: serves a request to its own port, in a task of its own. */
  void (*serve)(void *context, http_request *request);
  void *serve_context;
  /** Bound on the body of a request to the process's own port. */
  size_t body_max_bytes;
  /** Sends what a request's response has come to (http_request.h). */
  void (*request_flush)(http_request *request);

  /** Opens a listener; its struct stays with the caller until the world ends. */
  enum error_code (*listener_open)(world *world, http_listener *listener, error *err);
  /** Takes no new connections; those that are open live on. */
  void (*listener_stop_accepting)(world *world, http_listener *listener);
  /** Closes the connections of a listener on which no request is in progress, unread bytes and all,
   * so that their callers see that nothing of theirs was read. */
  void (*listener_close_idle)(world *world, http_listener *listener);

  /** Starts and cancels calls (http_call.h). After a cancel the world holds no pointer to it. */
  void (*call_start)(http_call *call);
  void (*call_cancel)(http_call *call);
  /** Closes the idle pooled connections to an address. */
  void (*pool_close_idle)(world *world, const char *address);
  /** Set by the process: a pooled connection that has been idle for this many ms is closed; 0: no
   * bound. Looked at when a call ends or begins. */
  int64_t pool_idle_timeout_ms;

  /** Files of the process's data folder, by number. Opens a file, made in its full size if it is
   * not there. Reads, writes and syncs make the calling task wait; a range lies within the file. */
  enum error_code (*disk_open)(world *world, unsigned file, size_t size, error *err);
  enum error_code (*disk_read)(world *world, unsigned file, size_t offset, void *to, size_t size,
                               error *err);
  enum error_code (*disk_write)(world *world, unsigned file, size_t offset, const void *from,
                                size_t size, error *err);
  enum error_code (*disk_sync)(world *world, unsigned file, error *err);
};

/** The monotonic time. It includes the time that the machine was suspended. */
static inline time_us world_now(world *world) {
  return world->tasks.now(world->tasks.now_context);
}
/** A random number from 0 to n - 1; 0 if n is 0. */
uint64_t world_random(world *world, uint64_t n);
/** Makes the running task sleep; false when the process is to end. */
static inline bool world_sleep(world *world, time_us span) {
  return task_sleep(&world->tasks, span) != WAKE_STOPPED;
}
/** The same for a span and up to a fifth more, at random. */
bool world_sleep_with_jitter(world *world, time_us span);
#endif
