/** Responses of the control listener. Callers give JSON bodies in native names, which are
 * translated to the names of the listener's dialect. */
#ifndef CONTROLPLANE_CONTROL_RESPONSE_H
#define CONTROLPLANE_CONTROL_RESPONSE_H
#include "dialect.h"
#include "http_status.h"
#include "world.h"

/** Responds with JSON text, or with an empty body when the text is not JSON. */
void control_respond_json(const dialect *dialect, http_request *request, enum http_status status,
                          string_view text);
/** Responds with an error and the status of its code; adds Retry-After when the status is 503. */
void control_respond_error(const dialect *dialect, http_request *request, int code,
                           const char *text);
/** Responds with an error and the given status. */
void control_respond_error_status(const dialect *dialect, http_request *request,
                                  enum http_status status, int code, const char *text);
/** Returns the header fields to be sent with the response; creates them if there are none yet. */
fields *control_response_fields(http_request *request);
#endif
