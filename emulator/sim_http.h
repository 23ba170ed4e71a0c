#ifndef EMULATOR_SIM_HTTP_H
#define EMULATOR_SIM_HTTP_H
#include "world.h"

/** @file
 * HTTP calls to the API that the processes of the simulated fleet serve without a listener. Each
 * exchange has a connection of its own. Calls to listeners, and calls with full request fields, go
 * over sim_connections. */

typedef struct host host;

/** Connects the process of a host to the simulated network for sending and answering calls. */
void sim_http_attach(host *host);
/** Resets the calls that wait for a response of a host; called when its process ends. */
void sim_http_reset_pending_calls(host *host);
/** Sets path and query of a request from its target. */
void sim_http_set_path(http_request *request, const char *target);
#endif
