#ifndef EMULATOR_CONNECTIONS_H
#define EMULATOR_CONNECTIONS_H
#include "sim.h"

/* Listeners and kept channels of the fleet in memory. A channel is a pair of lives of two processes
 * and carries one exchange at a time. What a cut or a frozen process holds up comes later, in
 * order; a life that ended answers with a reset. */

int kept_listener_open(world *world, http_listener *listener, error *err);
void kept_listener_shut(world *world, http_listener *listener);
void kept_listener_end(world *world, http_listener *listener);
void kept_forget(world *world, const char *addr);
/** True when a process has an idle channel to an address, whose end it has not seen. */
bool kept_idle(world *world, const char *addr);
/** True when an address is, or was, that of a listener. */
bool kept_listener(sim *sim, const char *addr);
void kept_call(http_call *call);
void kept_drop(http_call *call);
void kept_push(http_request *request);
/** A process ends: before its tasks do, and after. */
void kept_end(host *host);
void kept_ended(host *host);
void kept_free(sim *sim);
#endif
