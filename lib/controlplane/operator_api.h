/** The operators' HTTP API at the address of a controller: dispatches requests by path. */
#ifndef CONTROLPLANE_OPERATOR_API_H
#define CONTROLPLANE_OPERATOR_API_H
#include "world.h"

/** Serves a request; `ctx` is the controller. */
void operator_api_serve(void *ctx, http_request *request);
#endif
