/** HTTP statuses of error codes, for the two HTTP interfaces of a controller.
 *
 * Both interfaces use the same codes, but some codes have a different status at each. The table in
 * api_error.c lists these differences. */
#ifndef CONTROLPLANE_API_ERROR_H
#define CONTROLPLANE_API_ERROR_H
#include "http_status.h"
#include "world.h"

/** The HTTP interfaces of a controller. */
enum api_interface {
  /** The operators' API, at the address of the process. */
  API_OPERATORS,
  /** The control listener, for engines and for callers that write the routing of gateways. */
  API_CONTROL,
  API_INTERFACE_COUNT
};

/** Returns the HTTP status of an error code (enum error_code, not OK) at an interface. */
enum http_status api_error_status(enum api_interface interface, int code);
/** Responds with an error at the operators' API; adds Retry-After when the status is 503. */
void api_error_respond(http_request *request, int code, const char *text);
#endif
