/** Inbound HTTP requests: see http_request.h. */
#include "http_request.h"
#include "json.h"
#include "world.h"

/* A writer waits while more than this is unsent, so that the process does not buffer a long stream
 * for a slow client. */
enum { PENDING_OUTPUT_MAX_BYTES = 256 * 1024 };

void http_request_begin(http_request *request, int status, const char *type) {
  if (request->response_started)
    return;
  request->response_started = true;
  request->status = status;
  if (type)
    http_headers_set(&request->known_response_fields, HEADER_CONTENT_TYPE, type);
  request->world->request_flush(request);
}

enum error_code http_request_write(http_request *request, string_view bytes, time_us deadline) {
  if (request->client_gone)
    return E_PEER_GONE;
  g_string_append_len(request->pending_output, bytes.data, (gssize)bytes.length);
  request->world->request_flush(request);
  while (request->pending_output->len > PENDING_OUTPUT_MAX_BYTES && !request->client_gone) {
    enum wake_reason wake =
        condition_wait(&request->world->tasks, &request->output_progressed, deadline);
    if (wake != WAKE_SIGNALLED)
      return (enum error_code)wake;
  }
  return request->client_gone ? E_PEER_GONE : OK;
}

void http_request_end(http_request *request, bool clean) {
  if (request->response_ended)
    return;
  request->response_ended = true;
  request->ended_cleanly = clean;
  request->world->request_flush(request);
}

void http_request_respond(http_request *request, int status, const char *type, string_view body) {
  http_request_begin(request, status, type);
  g_string_append_len(request->pending_output, body.data, (gssize)body.length);
  http_request_end(request, true);
}

void http_request_respond_error(http_request *request, int status, int code, const char *text) {
  GString *body = g_string_new(NULL);
  json_appendf(body, "{\"code\":%d,\"error\":", code);
  json_append_quoted(body, string_view_of(text));
  g_string_append(body, "}\n");
  http_request_respond(request, status, "application/json", string_view_of_gstring(body));
  g_string_free(body, TRUE);
}

static void free_text(GString *text) {
  if (text)
    g_string_free(text, TRUE);
}

void http_request_free(http_request *request) {
  g_free(request->method);
  g_free(request->path);
  g_free(request->query);
  g_free(request->target);
  g_free(request->host);
  http_headers_free(&request->known_fields);
  http_headers_free(&request->known_response_fields);
  free_text(request->fields);
  free_text(request->response_fields);
  free_text(request->body);
  free_text(request->pending_output);
  g_free(request);
}
