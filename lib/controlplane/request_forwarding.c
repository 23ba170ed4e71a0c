/** Forwards HTTP requests of operators to the node that can serve them. */
#include "request_forwarding.h"
#include "api_error.h"

enum {
  /** Longest wait for the response, in ms: longer than a write may take at the head. */
  FORWARD_TIMEOUT_MS = 8000,
  /** Upper bound on the response body, in bytes: a resource, or a router's list of engines. */
  FORWARD_RESPONSE_MAX = 4 << 20
};

bool request_was_forwarded(const http_request *request) {
  return request->known_fields.values[HEADER_HOP];
}

/* Copies a header field from the response to the forwarded call, if present. */
static void copy_response_field(http_request *request, const http_call *call,
                                enum http_header field) {
  const char *value = call->known_response_fields.values[field];
  if (value)
    http_headers_set(&request->known_response_fields, field, value);
}

void request_forward(node *node, http_request *request, const char *address,
                     enum forwarded_request kind) {
  GString *path = g_string_new(request->path);
  if (request->query[0])
    json_appendf(path, "?%s", request->query);
  http_headers fields = { { 0 } };
  http_headers_copy(&fields, &request->known_fields);
  http_headers_set(&fields, HEADER_HOP, node->settings.self.text);
  http_call *call = http_call_open(node->world, address, request->method, path->str, &fields,
                                   string_view_of_gstring(request->body), FORWARD_RESPONSE_MAX);
  GString *body = g_string_new(NULL);
  time_us deadline = time_add(world_now(node->world), time_from_ms(FORWARD_TIMEOUT_MS));
  if (!http_call_read_all(call, body, deadline)) {
    copy_response_field(request, call, HEADER_RETRY_AFTER);
    copy_response_field(request, call, HEADER_ETAG);
    http_request_respond(request, call->status, "application/json", string_view_of_gstring(body));
  } else if (kind == FORWARDED_WRITE && call->sent)
    api_error_respond(request, E_OUTCOME_UNKNOWN,
                      "the controller that orders writes gave no answer; the outcome is not known");
  else
    api_error_respond(request, E_NO_CONTROLLER,
                      "the controller does not answer; nothing was written");
  http_call_close(call);
  http_headers_free(&fields);
  g_string_free(path, TRUE);
  g_string_free(body, TRUE);
}
