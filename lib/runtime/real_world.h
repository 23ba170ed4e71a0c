#ifndef RUNTIME_REAL_WORLD_H
#define RUNTIME_REAL_WORLD_H
/**
 * The real world: the implementation of struct world with libwebsockets, files and the kernel's
 * clocks.
 *
 * One thread runs everything: the event loop alternates between ready tasks and socket events. It
 * waits for socket events until the deadline of the next task or timer. Only the disk uses a second
 * thread (real_disk.h). The parts:
 *
 *   real_world.c        event loop, clock, random numbers, log, signals
 *   real_http_server.c  requests to the process's own port
 *   real_http_client.c  calls that are not pooled
 *   real_disk.c         files
 *   lib/http            listeners and pooled calls
 *   peer_channels.c     messages between processes
 */
#include "world.h"

/** The settings of a real world; copied. */
typedef struct {
  /** Where the process's own port listens; port 0 means that it has none. Outbound connections are
   * opened from ip; empty for any address. */
  char ip[48];
  int port;
  /** The directory of the disk's files. */
  char data_dir[512];
  /** Maximum size of the body of a request to the own port; 0 means 1 MiB. */
  size_t body_max_bytes;
} real_settings;

/** Creates a world that listens but does not run yet. Returns NULL with err set if it can't listen.
 * Installs the handlers of fatal signals (fault.h). */
world *real_world_new(const real_settings *settings, error *err);
/** Runs the event loop until real_world_stop is called. SIGTERM and SIGINT call on_term, or stop
 * the loop if on_term is NULL. */
void real_world_run(world *world, void (*on_term)(void *context), void *context);
/** Makes real_world_run return after the current iteration. Called from tasks or callbacks of the
 * loop. */
void real_world_stop(world *world);
/** Ends all tasks and frees the world. */
void real_world_free(world *world);
#endif
