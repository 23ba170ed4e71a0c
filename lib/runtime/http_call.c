/** Outbound HTTP requests: see http_call.h. */
#include "http_call.h"
#include "world.h"

/* The body of a pooled call needs no limit: lib/http stops reading from the connection while its
 * reader is behind. */
static const size_t RESPONSE_UNBOUNDED = SIZE_MAX / 2;
/* maximum size of a response body that http_call_fetch reads */
enum { FETCH_MAX_BYTES = 8 << 20 };

static http_call *new_call(world *world, const char *address, const char *method, const char *path,
                           string_view body, size_t response_max_bytes, time_us send_deadline) {
  http_call *call = g_new0(http_call, 1);
  call->world = world;
  call->address = g_strdup(address);
  call->method = g_strdup(method);
  call->path = g_strdup(path);
  call->body = g_string_new_len(body.data ? body.data : "", (gssize)body.length);
  call->response_body = g_string_new(NULL);
  call->response_max_bytes = response_max_bytes;
  call->send_deadline = send_deadline;
  condition_init(&call->progressed);
  return call;
}

http_call *http_call_open(world *world, const char *address, const char *method, const char *path,
                          const http_headers *headers, string_view body,
                          size_t response_max_bytes) {
  return http_call_open_before(world, address, method, path, headers, body, response_max_bytes,
                               time_never());
}

http_call *http_call_open_before(world *world, const char *address, const char *method,
                                 const char *path, const http_headers *headers, string_view body,
                                 size_t response_max_bytes, time_us send_deadline) {
  http_call *call = new_call(world, address, method, path, body, response_max_bytes, send_deadline);
  http_headers_copy(&call->known_request_fields, headers);
  world->call_start(call);
  return call;
}

http_call *http_call_open_pooled(world *world, const char *address, const char *method,
                                 const char *target, const fields *fields, string_view body,
                                 bool needs_new_connection, time_us send_deadline) {
  http_call *call =
      new_call(world, address, method, target, body, RESPONSE_UNBOUNDED, send_deadline);
  call->pooled = true;
  call->needs_new_connection = needs_new_connection;
  call->request_fields =
      g_string_new_len(fields ? fields->str : "", fields ? (gssize)fields->len : 0);
  call->response_fields = g_string_new(NULL);
  world->call_start(call);
  return call;
}

void http_call_require_field(http_call *call, const char *name, string_view value) {
  call->match_name = g_strdup(name);
  call->match_value = g_strndup(value.data, value.length);
}

enum error_code http_call_wait(http_call *call, time_us deadline) {
  while (!call->status && !call->ended && !call->broken) {
    enum wake_reason wake = condition_wait(&call->world->tasks, &call->progressed, deadline);
    if (wake != WAKE_SIGNALLED)
      return (enum error_code)wake;
  }
  if (call->status)
    return OK;
  return call->sent ? E_CONNECTION_LOST_AFTER_SEND : E_NOT_CONNECTED;
}

enum error_code http_call_read(http_call *call, GString *to, time_us deadline) {
  while (!call->response_body->len && !call->ended && !call->broken) {
    enum wake_reason wake = condition_wait(&call->world->tasks, &call->progressed, deadline);
    if (wake != WAKE_SIGNALLED)
      return (enum error_code)wake;
  }
  if (call->response_body->len) {
    g_string_append_len(to, call->response_body->str, (gssize)call->response_body->len);
    g_string_truncate(call->response_body, 0);
    return OK;
  }
  return call->broken ? E_STREAM_BROKEN : E_PEER_GONE;
}

enum error_code http_call_read_all(http_call *call, GString *to, time_us deadline) {
  enum error_code code = http_call_wait(call, deadline);
  if (code)
    return code;
  while (!(code = http_call_read(call, to, deadline)))
    if (to->len > call->response_max_bytes)
      return E_TOO_LARGE;
  return code == E_PEER_GONE ? OK : code;
}

void http_call_close(http_call *call) {
  if (!call)
    return;
  call->world->call_cancel(call);
  g_free(call->address);
  g_free(call->method);
  g_free(call->path);
  http_headers_free(&call->known_request_fields);
  http_headers_free(&call->known_response_fields);
  g_string_free(call->body, TRUE);
  g_string_free(call->response_body, TRUE);
  if (call->request_fields)
    g_string_free(call->request_fields, TRUE);
  if (call->response_fields)
    g_string_free(call->response_fields, TRUE);
  g_free(call->match_name);
  g_free(call->match_value);
  g_free(call);
}

int http_call_fetch(world *world, const char *address, const char *method, const char *path,
                    const http_headers *headers, string_view body, GString *to, time_us timeout,
                    error *err) {
  return http_call_fetch_before(world, address, method, path, headers, body, to, timeout,
                                time_never(), err);
}

int http_call_fetch_before(world *world, const char *address, const char *method, const char *path,
                           const http_headers *headers, string_view body, GString *to,
                           time_us timeout, time_us send_deadline, error *err) {
  http_call *call = http_call_open_before(world, address, method, path, headers, body,
                                          FETCH_MAX_BYTES, send_deadline);
  enum error_code code = http_call_read_all(call, to, time_add(world_now(world), timeout));
  int status = call->status;
  if (code) {
    error_set(err, code, "%s %s at %s: %s", method, path, address,
              code == E_NO_RESPONSE ? "no answer in time" : "channel lost");
    status = 0;
  }
  http_call_close(call);
  return status;
}
