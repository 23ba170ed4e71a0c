#ifndef EMULATOR_CONNECTIONS_H
#define EMULATOR_CONNECTIONS_H
#include "sim.h"

/* Listeners and kept channels of the fleet in memory. A channel is a pair of lives of two processes
 * and carries one exchange at a time. What a cut or a frozen process holds up comes later, in
 * order; a life that ended answers with a reset. */

enum error_code connections_open_listener(world *world, http_listener *listener, error *err);
void connections_stop_accepting(world *world, http_listener *listener);
void connections_close_listener_idle(world *world, http_listener *listener);
void connections_close_pooled(world *world, const char *addr);
/** True when a process has an idle channel to an address, whose end it has not seen. */
bool connections_has_pooled(world *world, const char *addr);
/** True when an address is, or was, that of a listener. */
bool connections_is_listener_address(sim *sim, const char *addr);
void connections_start_call(http_call *call);
void connections_cancel_call(http_call *call);
void connections_flush_response(http_request *request);
/** A process ends: before its tasks do, and after. */
void connections_reset_served(host *host);
void connections_drop_pool(host *host);
void connections_free(sim *sim);
#endif
