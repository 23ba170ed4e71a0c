#ifndef RUNTIME_WORLD_H
#define RUNTIME_WORLD_H
/**
 * The interface between a process and its environment: time, random numbers, log, network and disk.
 *
 * All code of controllers and routers accesses the environment only through a struct world. There
 * are two implementations: the real one (real_world.h: sockets, files, the boot clock) and the
 * emulator's (emulator/sim.c). The emulator runs a whole fleet in one thread on simulated time and
 * derives all random numbers from one seed, so that each run can be repeated exactly.
 *
 * struct world holds the function pointers that an implementation sets, and the hooks and settings
 * that the process sets. Code uses the functions for HTTP through http_request.h and http_call.h
 * only, not directly.
 */
#include "base.h"
#include "http_call.h"
#include "http_headers.h"
#include "http_request.h"
#include "task.h"

/** How long bytes sent to another process may stay unacknowledged before their channel is closed.
 * All undelivered messages are dropped then. */
enum { PEER_CHANNEL_TIMEOUT_MS = 1500 };

/** The environment of a process. Functions that take err return OK, or the error code that they set
 * in err. */
struct world {
  /** The tasks of the process, and its clock. */
  scheduler tasks;

  /** Returns 64 random bits. */
  uint64_t (*random)(world *world);
  /** Writes the wall-clock time in UTC as text to buf, and returns buf; for the log only. */
  const char *(*timestamp)(world *world, char *buf, size_t size);
  /** Writes a line to the log; line has no trailing newline. */
  void (*write_log)(world *world, const char *line);

  /** Sends a message to another process; it may be lost without an error. */
  void (*post_message)(world *world, const char *address, string_view message);
  /** Set by the process: handles a received message. */
  void (*on_message)(void *context, string_view message);
  void *on_message_context;

  /** Set by the process: serves a request to its own port, in a separate task. */
  void (*serve)(void *context, http_request *request);
  void *serve_context;
  /** Maximum size of the body of a request to the process's own port. */
  size_t body_max_bytes;
  /** Sends the pending part of a response (http_request.h). */
  void (*request_flush)(http_request *request);

  /** Opens a listener. The caller must keep its struct until the world ends. */
  enum error_code (*listener_open)(world *world, http_listener *listener, error *err);
  /** Stops accepting new connections; open connections stay. */
  void (*listener_stop_accepting)(world *world, http_listener *listener);
  /** Closes the connections of a listener on which no request is in progress, even if unread bytes
   * are pending, so that their clients see that nothing of theirs was read. */
  void (*listener_close_idle)(world *world, http_listener *listener);

  /** Start or cancel a call (http_call.h). The world holds no pointer to a cancelled call. */
  void (*call_start)(http_call *call);
  void (*call_cancel)(http_call *call);
  /** Closes the idle pooled connections to an address. */
  void (*pool_close_idle)(world *world, const char *address);
  /** Set by the process: a pooled connection that has been idle for this many ms is closed; 0: no
   * limit. Checked when a call ends or begins. */
  int64_t pool_idle_timeout_ms;

  /** Files in the process's data directory, by number. disk_open opens a file, creating it in its
   * full size if it does not exist. The other functions make the calling task wait; the range must
   * lie within the file. */
  enum error_code (*disk_open)(world *world, unsigned file, size_t size, error *err);
  enum error_code (*disk_read)(world *world, unsigned file, size_t offset, void *to, size_t size,
                               error *err);
  enum error_code (*disk_write)(world *world, unsigned file, size_t offset, const void *from,
                                size_t size, error *err);
  enum error_code (*disk_sync)(world *world, unsigned file, error *err);
};

/** Returns the monotonic time, which includes time while the machine was suspended. */
static inline time_us world_now(world *world) {
  return world->tasks.now(world->tasks.now_context);
}
/** Returns a random number from 0 to n - 1; 0 if n is 0. */
uint64_t world_random(world *world, uint64_t n);
/** Makes the running task sleep. Returns false if the process is stopping. */
static inline bool world_sleep(world *world, time_us span) {
  return task_sleep(&world->tasks, span) != WAKE_STOPPED;
}
/** Like world_sleep, with a random jitter of up to a fifth of span. */
bool world_sleep_with_jitter(world *world, time_us span);
#endif
