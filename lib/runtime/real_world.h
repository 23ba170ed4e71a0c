#ifndef RUNTIME_REAL_WORLD_H
#define RUNTIME_REAL_WORLD_H
/**
 * The real world: struct world over libwebsockets, files and the kernel's clocks.
 *
 * One thread runs everything: the event loop alternates between the tasks that are ready and the
 * events of the sockets. It waits for sockets until the next task's or timer's deadline. Only the
 * disk has a second thread (real_disk.h). The parts:
 *
 *   real_world.c        the loop, clock, random numbers, log, signals
 *   real_http_server.c  requests to the process's own port
 *   real_http_client.c  calls that are not pooled
 *   real_disk.c         files
 *   lib/http            listeners and pooled calls
 *   peer_channels.c     messages between processes
 */
#include "world.h"

/** What the real world has to know of its process; copied. */
typedef struct {
  /** Where the process's own port listens; port 0: it has none. Connections to others are opened
   * from ip; empty: from any. */
  char ip[48];
  int port;
  /** The folder of the disk's files. */
  char data_dir[512];
  /** Bound on the body of a request to the own port; 0: 1 MiB. */
  size_t body_max_bytes;
} real_settings;

/** Makes a world, listening but not running. NULL with err set if it can't listen. Installs the
 * handlers of fatal signals (fault.h). */
world *real_world_new(const real_settings *settings, error *err);
/** Runs the loop until real_world_stop. A SIGTERM or SIGINT calls on_term, or stops the loop if
 * that is NULL. */
void real_world_run(world *world, void (*on_term)(void *context), void *context);
/** Makes real_world_run return after the present turn; from tasks or callbacks of the loop. */
void real_world_stop(world *world);
/** Ends every task and frees the world. */
void real_world_free(world *world);
#endif
