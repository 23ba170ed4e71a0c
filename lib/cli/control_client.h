#ifndef CLI_CONTROL_CLIENT_H
#define CLI_CONTROL_CLIENT_H
/** Requests of asterctl to the control API of a fleet: retries over several addresses, exit codes
 * of HTTP statuses, and pages as JSON. Everything here runs in a task of the world. */
#include "asterctl_options.h"
#include "exit_code.h"
#include "json.h"
#include "world.h"

/** What a command runs with. */
struct command_context {
  struct asterctl_options options;
  /** The world that requests go through; NULL for a command that needs no fleet. Owned by main. */
  world *world;
};

/** The HTTP statuses that asterctl tells apart; 0 stands for no answer at all. */
enum http_status {
  HTTP_STATUS_NO_ANSWER = 0,
  HTTP_STATUS_OK = 200,
  HTTP_STATUS_NOT_MODIFIED = 304,
  HTTP_STATUS_PRECONDITION_FAILED = 412,
  HTTP_STATUS_UNAVAILABLE = 503,
  HTTP_STATUS_GATEWAY_TIMEOUT = 504
};

/** How long a request may take at one address, in ms: longer than the controllers take to commit.
 */
enum { CONTROL_REQUEST_TIMEOUT_MS = 9000 };

/** Prints "asterctl: MESSAGE" and a line feed on standard error, with the message by printf. */
void asterctl_error(const char *format, ...) __attribute__((format(printf, 1, 2)));

/** A request, as it goes to each address. */
struct control_request {
  const char *verb, *path;
  /** NULL: none. */
  const http_headers *headers;
  string_view body;
  /** For one address. */
  int64_t timeout_ms;
};

/** Sends a request to each address in turn until one answers, for several rounds. Puts the body of
 * the answer into `response` and returns its HTTP status. A write whose outcome is not known is not
 * sent again unless it has an idempotency key; it gives HTTP_STATUS_GATEWAY_TIMEOUT. */
int control_send(const struct command_context *context, const struct control_request *request,
                 GString *response);
/** The same for a GET without header fields. */
int control_get(const struct command_context *context, const char *path, GString *response,
                int64_t timeout_ms);
/** The exit code that an HTTP status stands for. */
enum exit_code control_exit_code(int status);
/** Prints the body of an answer, a good one on standard output and any other on standard error.
 * Returns control_exit_code(status). */
enum exit_code control_print_response(const struct command_context *context, int status,
                                      const GString *body);
/** Prints that no address answers. Returns EXIT_CODE_NO_ANSWER. */
enum exit_code control_no_answer(const struct command_context *context);

/** Fetches a page of one process as JSON, in one attempt. The caller frees it; NULL when it can't
 * be had. */
json *control_page(const struct command_context *context, const char *address, const char *path);
/** The same from the first of the command line's addresses that has it. */
json *control_page_from_any(const struct command_context *context, const char *path);

/** True when membership has declared a node of the page /v1/nodes dead, or it has left. */
bool node_is_gone(const json *node);
/** True when a node of the page /v1/nodes is a router that is not gone. */
bool node_is_live_router(const json *node);
#endif
