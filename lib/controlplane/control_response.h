/** Responses of the control listener. Bodies are JSON in our own words, and are translated to the
 * words of the listener's dialect. */
#ifndef CONTROLPLANE_CONTROL_RESPONSE_H
#define CONTROLPLANE_CONTROL_RESPONSE_H
#include "dialect.h"
#include "http_status.h"
#include "world.h"

/** Responds with JSON text; with an empty body when the text is none. */
void control_respond_json(const dialect *dialect, http_request *request, enum http_status status,
                          string_view text);
/** Responds with an error, with the status of its code; with Retry-After when that is 503. */
void control_respond_error(const dialect *dialect, http_request *request, int code,
                           const char *text);
/** Responds with an error and a status. */
void control_respond_error_status(const dialect *dialect, http_request *request,
                                  enum http_status status, int code, const char *text);
/** The header fields to be sent with the response; made when there are none yet. */
fields *control_response_fields(http_request *request);
#endif
