#ifndef EMULATOR_SIM_CONNECTIONS_H
#define EMULATOR_SIM_CONNECTIONS_H
#include "sim.h"

/** @file
 * Listeners and persistent connections of the simulated fleet, as a world offers them to its
 * process; see sim_channel.h for what a connection is. */

typedef struct channel channel;

/** Of a listener, as world.h describes them; E_LISTEN when its address is taken. */
enum error_code connections_open_listener(world *world, http_listener *listener, error *err);
void connections_stop_accepting(world *world, http_listener *listener);
void connections_close_listener_idle(world *world, http_listener *listener);
/** Closes the idle connections to an address, or all of them with addr NULL. */
void connections_close_pooled(world *world, const char *addr);
/** True when a process has an idle connection to an address, whose end it has not seen. */
bool connections_has_pooled(world *world, const char *addr);
/** True when an address is, or was, that of a listener. */
bool connections_is_listener_address(sim *sim, const char *addr);
/** The host of the latest listener at an address, or NULL. */
host *connections_listener_host(sim *sim, const char *addr);

/** Sends a call over an idle connection or a new one; the call is broken when that fails. */
void connections_start_call(http_call *call);
/** Lets go of a call; an open response is reset. */
void connections_cancel_call(http_call *call);
/** Sends what a request's response has got since the last flush. */
void connections_flush_response(http_request *request);

/** The server of a channel accepts it; false when nothing listens there. */
bool connections_accept(channel *channel);
/** Resets a channel that was just accepted when its listener has too many. */
void connections_enforce_limit(channel *channel);

/** The process of a host ends: before its tasks do, its served connections are reset. */
void connections_reset_served(host *host);
/** The process of a host ends: after its tasks have, its idle connections are closed. */
void connections_drop_pool(host *host);
/** Frees all connections, of a simulation without processes. */
void connections_free(sim *sim);
#endif
