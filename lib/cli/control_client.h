#ifndef CLI_CONTROL_CLIENT_H
#define CLI_CONTROL_CLIENT_H
/** The client of a fleet's operators' API that asterctl uses: retries over several addresses, exit
 * codes for HTTP statuses, and pages as JSON. All functions that send requests run in a task of the
 * world. */
#include "asterctl_options.h"
#include "exit_code.h"
#include "json.h"
#include "world.h"

/** The options and the world of a command. */
struct command_context {
  struct asterctl_options options;
  /** The world that requests go through; NULL for a command that needs no fleet. Owned by main().
   */
  world *world;
};

/** The HTTP statuses that asterctl distinguishes; 0 means that no response came. */
enum http_status {
  HTTP_STATUS_NO_ANSWER = 0,
  HTTP_STATUS_OK = 200,
  HTTP_STATUS_NOT_MODIFIED = 304,
  HTTP_STATUS_PRECONDITION_FAILED = 412,
  HTTP_STATUS_UNAVAILABLE = 503,
  HTTP_STATUS_GATEWAY_TIMEOUT = 504
};

/** The timeout of a request at one address, in ms: longer than the controllers take to commit. */
enum { CONTROL_REQUEST_TIMEOUT_MS = 9000 };

/** Prints "asterctl: MESSAGE" and a line feed on standard error, with the message by printf. */
void asterctl_error(const char *format, ...) __attribute__((format(printf, 1, 2)));

/** A request that is sent to one address after the other. */
struct control_request {
  const char *method, *path;
  /** NULL: no header fields. */
  const http_headers *headers;
  string_view body;
  /** The timeout at each address. */
  int64_t timeout_ms;
};

/** Sends a request to each address in turn until one answers, for several rounds. Stores the body
 * of the response in `response` and returns its HTTP status. A write without an idempotency key is
 * not sent again when its outcome is unknown; the status is then HTTP_STATUS_GATEWAY_TIMEOUT. */
int control_send(const struct command_context *context, const struct control_request *request,
                 GString *response);
/** Like control_send, for a GET without header fields. */
int control_get(const struct command_context *context, const char *path, GString *response,
                int64_t timeout_ms);
/** The exit code for an HTTP status. */
enum exit_code control_exit_code(int status);
/** Prints the body of a response: on standard output when the status is 200, otherwise on standard
 * error. Returns control_exit_code(status). */
enum exit_code control_print_response(const struct command_context *context, int status,
                                      const GString *body);
/** Prints that no address answers. Returns EXIT_CODE_NO_ANSWER. */
enum exit_code control_report_no_answer(const struct command_context *context);

/** Fetches a page of one process as JSON, in one attempt. The caller frees it; NULL when that
 * fails.
 */
json *control_fetch_page(const struct command_context *context, const char *address,
                         const char *path);
/** Fetches a page from the first address of the command line that returns it. */
json *control_fetch_page_from_any(const struct command_context *context, const char *path);

/** True when an entry of /v1/nodes is a node that membership has declared dead or that has left. */
bool node_is_gone(const json *node);
/** True when an entry of /v1/nodes is a router that is not gone. */
bool node_is_live_router(const json *node);
#endif
