#ifndef COMMON_REAL_H
#define COMMON_REAL_H
#include "world.h"

/** What the real world needs to know of its process. */
typedef struct {
  char ip[48];
  int port;
  char data_dir[512];
  size_t body_max_bytes;
} real_settings;
/** Makes the world of libwebsockets, files and the boot clock; NULL with err set when it can't be
 * had. */
world *real_world_new(const real_settings *v, error *err);
/** Runs until stop is called or a signal asks; calls on_term once at the first SIGTERM or SIGINT.
 */
void real_world_run(world *world, void (*on_term)(void *), void *ctx);
/** Ends real_world_run after the turn in hand. */
void real_world_stop(world *world);
/** Ends every task and frees the world. */
void real_world_free(world *world);
#endif
