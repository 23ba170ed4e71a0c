#ifndef EMULATOR_SIM_HTTP_H
#define EMULATOR_SIM_HTTP_H
#include "world.h"

/** @file
 * HTTP of our own API between the processes of the simulated fleet. Each exchange has a connection
 * of its own. Calls to listeners, and calls with full request fields, go over sim_connections. */

typedef struct host host;

/** Makes the simulated network the one by which the process of a host sends and answers calls. */
void sim_http_attach(host *host);
/** The process of a host ends: whoever waits for its response sees a reset. */
void sim_http_reset_pending_calls(host *host);
/** Sets path and query of a request from its target. */
void sim_http_set_path(http_request *request, const char *target);
#endif
