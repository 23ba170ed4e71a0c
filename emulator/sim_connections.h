#ifndef EMULATOR_SIM_CONNECTIONS_H
#define EMULATOR_SIM_CONNECTIONS_H
#include "sim.h"

/** @file
 * Listeners and persistent connections of the simulated fleet: the functions behind those of a
 * world. A connection is a channel of sim_channel.h. */

typedef struct channel channel;

/** The listener functions of world.h; opening one returns E_LISTEN when its address is in use. */
enum error_code connections_open_listener(world *world, http_listener *listener, error *err);
void connections_stop_accepting(world *world, http_listener *listener);
void connections_close_listener_idle(world *world, http_listener *listener);
/** Closes the idle connections to an address, or all of them with addr NULL. */
void connections_close_pooled(world *world, const char *addr);
/** Returns whether a process has an idle connection to an address that it has not seen closed. */
bool connections_has_pooled(world *world, const char *addr);
/** Returns whether an address is, or was, that of a listener. */
bool connections_is_listener_address(sim *sim, const char *addr);
/** The host of the latest listener at an address, or NULL. */
host *connections_listener_host(sim *sim, const char *addr);

/** Sends a call over an idle connection or a new one; if that fails, marks the call as broken. */
void connections_start_call(http_call *call);
/** Releases a call; if its response is not complete, the connection is reset. */
void connections_cancel_call(http_call *call);
/** Sends the part of a request's response that was added since the last flush. */
void connections_flush_response(http_request *request);

/** Accepts a channel at its server; false when nothing listens at its address. */
bool connections_accept(channel *channel);
/** Resets a channel that was just accepted if its listener has more connections than its limit. */
void connections_enforce_limit(channel *channel);

/** Resets the connections that a host serves; called when its process ends, before its tasks. */
void connections_reset_served(host *host);
/** Closes the idle connections of a host; called when its process ends, after its tasks. */
void connections_drop_pool(host *host);
/** Frees all connections of a simulation in which no process is alive. */
void connections_free(sim *sim);
#endif
