/** Requests to the operators' API of a fleet. See control_client.h.
 *
 * Every controller and router serves reads, and forwards writes to the head of the chain. So a
 * request goes to the addresses in the given order, and the first response is used. A 503 (no
 * controller can commit now) is final only in the last round, because a view change is normally
 * over by then. */
#include "control_client.h"
#include <stdarg.h>
#include <stdio.h>

enum {
  /** Rounds over all addresses. */
  REQUEST_ROUNDS = 3,
  /** The pause between two rounds, which gives a view change time to finish. */
  ROUND_PAUSE_MS = 600,
  /** The timeout of a page: short, because some commands fetch one from every node. */
  PAGE_TIMEOUT_MS = 2500
};

void asterctl_error(const char *format, ...) {
  va_list arguments;
  va_start(arguments, format);
  fputs("asterctl: ", stderr);
  vfprintf(stderr, format, arguments);
  fputc('\n', stderr);
  va_end(arguments);
}

/** True when sending a request again can't apply it twice. */
static bool may_be_retried(const struct control_request *request) {
  if (!strcmp(request->method, "GET"))
    return true;
  return request->headers && request->headers->values[HEADER_IDEMPOTENCY_KEY];
}

/** Sends a request to the addresses in turn until one responds. A 503 does not count as a
 * response before the last round. */
static int send_one_round(const struct command_context *context,
                          const struct control_request *request, char *const *addresses,
                          bool is_last_round, GString *response) {
  for (char *const *address = addresses; *address; address++) {
    error err = { 0 };
    g_string_truncate(response, 0);
    int status =
        http_call_fetch(context->world, *address, request->method, request->path, request->headers,
                        request->body, response, time_from_ms(request->timeout_ms), &err);
    if (status == HTTP_STATUS_UNAVAILABLE && !is_last_round)
      status = HTTP_STATUS_NO_ANSWER;
    if (status != HTTP_STATUS_NO_ANSWER)
      return status;
    bool was_sent = err.code != E_NOT_CONNECTED;
    if (was_sent && !may_be_retried(request))
      return HTTP_STATUS_GATEWAY_TIMEOUT;
  }
  return HTTP_STATUS_NO_ANSWER;
}

int control_send(const struct command_context *context, const struct control_request *request,
                 GString *response) {
  char **addresses = g_strsplit(context->options.addresses, ",", -1);
  int status = HTTP_STATUS_NO_ANSWER;
  for (int round = 1; round <= REQUEST_ROUNDS; round++) {
    bool is_last_round = round == REQUEST_ROUNDS;
    status = send_one_round(context, request, addresses, is_last_round, response);
    if (status != HTTP_STATUS_NO_ANSWER || is_last_round)
      break;
    world_sleep(context->world, time_from_ms(ROUND_PAUSE_MS));
  }
  g_strfreev(addresses);
  return status;
}

int control_get(const struct command_context *context, const char *path, GString *response,
                int64_t timeout_ms) {
  struct control_request request = { .method = "GET", .path = path, .body = string_view_of("") };
  request.timeout_ms = timeout_ms;
  return control_send(context, &request, response);
}

enum exit_code control_exit_code(int status) {
  switch (status) {
  case HTTP_STATUS_OK:
  case HTTP_STATUS_NOT_MODIFIED:
    return EXIT_CODE_OK;
  case HTTP_STATUS_PRECONDITION_FAILED:
    return EXIT_CODE_CONFLICT;
  case HTTP_STATUS_GATEWAY_TIMEOUT:
    return EXIT_CODE_UNKNOWN_OUTCOME;
  case HTTP_STATUS_NO_ANSWER:
    return EXIT_CODE_NO_ANSWER;
  default:
    return EXIT_CODE_FAILED;
  }
}

enum exit_code control_report_no_answer(const struct command_context *context) {
  asterctl_error("no process at %s answers", context->options.addresses);
  return EXIT_CODE_NO_ANSWER;
}

enum exit_code control_print_response(const struct command_context *context, int status,
                                      const GString *body) {
  if (status == HTTP_STATUS_NO_ANSWER)
    return control_report_no_answer(context);
  if (body->len) {
    FILE *stream = status == HTTP_STATUS_OK ? stdout : stderr;
    bool ends_with_line_feed = body->str[body->len - 1] == '\n';
    fprintf(stream, "%s%s", body->str, ends_with_line_feed ? "" : "\n");
  }
  if (status == HTTP_STATUS_GATEWAY_TIMEOUT)
    asterctl_error(
        "it is not known whether the write was committed; send it again with the same --key");
  return control_exit_code(status);
}

json *control_fetch_page(const struct command_context *context, const char *address,
                         const char *path) {
  GString *body = g_string_new(NULL);
  error err = { 0 };
  int status = http_call_fetch(context->world, address, "GET", path, NULL, string_view_of(""), body,
                               time_from_ms(PAGE_TIMEOUT_MS), &err);
  json *page = status == HTTP_STATUS_OK ? json_parse(string_view_of_gstring(body), NULL) : NULL;
  g_string_free(body, TRUE);
  return page;
}

json *control_fetch_page_from_any(const struct command_context *context, const char *path) {
  char **addresses = g_strsplit(context->options.addresses, ",", -1);
  json *page = NULL;
  for (char **address = addresses; *address && !page; address++)
    page = control_fetch_page(context, *address, path);
  g_strfreev(addresses);
  return page;
}

bool node_is_gone(const json *node) {
  return !strcmp(json_text(node, "standing", ""), "gone");
}

bool node_is_live_router(const json *node) {
  return !strcmp(json_text(node, "role", ""), "router") && !node_is_gone(node);
}
