/** HTTP statuses of error codes, for the two HTTP interfaces of a controller. */
#include "api_error.h"
#include "node.h"

/* Range of the codes of errors in the request, without the end. */
enum { REQUEST_ERRORS_FIRST = E_JSON, REQUEST_ERRORS_END = E_WIRE_MESSAGE };

/* Retry-After of a 503, in seconds. */
static const char retry_after_s[] = "1";

/* Codes whose status differs from the default of their interface. */
static const struct {
  int code;
  enum http_status status[API_INTERFACE_COUNT];
} statuses[] = {
  { E_VERSION_CONFLICT, { HTTP_PRECONDITION_FAILED, HTTP_PRECONDITION_FAILED } },
  { E_TOO_LARGE, { HTTP_CONTENT_TOO_LARGE, HTTP_CONTENT_TOO_LARGE } },
  /* the outcome is unknown, or was not confirmed in time */
  { E_OUTCOME_UNKNOWN, { HTTP_GATEWAY_TIMEOUT, HTTP_GATEWAY_TIMEOUT } },
  { E_NO_RESPONSE, { HTTP_GATEWAY_TIMEOUT, HTTP_GATEWAY_TIMEOUT } },
  { E_TOO_FEW_ROUTERS, { HTTP_GATEWAY_TIMEOUT, HTTP_GATEWAY_TIMEOUT } },
  /* nothing was written, and a retry may succeed */
  { E_NO_CONTROLLER, { HTTP_UNAVAILABLE, HTTP_UNAVAILABLE } },
  { E_TOO_FEW_ZONES, { HTTP_UNAVAILABLE, HTTP_UNAVAILABLE } },
  { E_OVERLOADED, { HTTP_UNAVAILABLE, HTTP_UNAVAILABLE } },
  { E_NO_MEMBER_LEASE, { HTTP_UNAVAILABLE, HTTP_UNAVAILABLE } },
  { E_VIEW_MISMATCH, { HTTP_UNAVAILABLE, HTTP_UNAVAILABLE } },
  { E_STOPPING, { HTTP_UNAVAILABLE, HTTP_UNAVAILABLE } },
  { E_DISK_FULL, { HTTP_UNAVAILABLE, HTTP_UNAVAILABLE } },
  { E_DISK, { HTTP_UNAVAILABLE, HTTP_UNAVAILABLE } },
  /* Differences between the interfaces. Only the operators' API takes idempotency keys. */
  { E_IDEMPOTENCY_KEY, { HTTP_UNPROCESSABLE, HTTP_BAD_REQUEST } },
  /* The operators' API responds to unknown paths without using this table. */
  { E_NOT_FOUND, { HTTP_BAD_REQUEST, HTTP_NOT_FOUND } },
  /* Only requests at the control listener can wait for an identical change in progress. */
  { E_IN_PROGRESS, { HTTP_SERVER_ERROR, HTTP_GATEWAY_TIMEOUT } },
};

/* Status of codes that are neither in the table nor errors in the request. At the operators' API
 * they are internal errors, for a person to investigate; callers of the control listener are
 * programs, which are asked to retry. */
static const enum http_status default_status[API_INTERFACE_COUNT] = { HTTP_SERVER_ERROR,
                                                                      HTTP_UNAVAILABLE };

enum http_status api_error_status(enum api_interface interface, int code) {
  for (size_t i = 0; i < G_N_ELEMENTS(statuses); i++)
    if (statuses[i].code == code)
      return statuses[i].status[interface];
  if (code >= REQUEST_ERRORS_FIRST && code < REQUEST_ERRORS_END)
    return HTTP_BAD_REQUEST;
  return default_status[interface];
}

void api_error_respond(http_request *request, int code, const char *text) {
  enum http_status status = api_error_status(API_OPERATORS, code);
  if (status == HTTP_UNAVAILABLE)
    http_headers_set(&request->known_response_fields, HEADER_RETRY_AFTER, retry_after_s);
  http_request_respond_error(request, status, code, text);
}
