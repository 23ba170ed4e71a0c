#include "world.h"

const char *const http_header_names[HEADER_COUNT] = {
  "content-type",     "if-match",          "etag",
  "idempotency-key",  "retry-after",       "asterfall-epoch",
  "asterfall-holder", "asterfall-attempt", "asterfall-hop"
};

enum { SLOW_MOST = 256 * 1024 };

void http_headers_set(http_headers *h, enum http_header k, const char *v) {
  char *n = v ? g_strdup(v) : NULL;
  g_free(h->values[k]);
  h->values[k] = n;
}

void http_headers_copy(http_headers *to, const http_headers *from) {
  for (int i = 0; i < HEADER_COUNT; i++)
    http_headers_set(to, i, from ? from->values[i] : NULL);
}

void http_headers_free(http_headers *h) {
  for (int i = 0; i < HEADER_COUNT; i++)
    http_headers_set(h, i, NULL);
}

uint64_t world_random(world *world, uint64_t n) {
  return n ? world->random(world) % n : 0;
}

bool world_sleep_with_jitter(world *world, time_us span) {
  return world_sleep(world, (time_us){ span.us + (int64_t)world_random(world, span.us / 5 + 1) });
}

void http_request_begin(http_request *request, int status, const char *type) {
  if (request->response_started)
    return;
  request->response_started = true;
  request->status = status;
  if (type)
    http_headers_set(&request->known_response_fields, HEADER_CONTENT_TYPE, type);
  request->world->request_flush(request);
}

int http_request_write(http_request *request, string_view bytes, time_us till) {
  if (request->client_gone)
    return E_PEER_GONE;
  g_string_append_len(request->pending_output, bytes.data, bytes.length);
  request->world->request_flush(request);
  while (request->pending_output->len > SLOW_MOST && !request->client_gone) {
    enum wake y = condition_wait(&request->world->tasks, &request->drained, till);
    if (y != WAKE_SIGNALLED)
      return y;
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
  g_string_append_len(request->pending_output, body.data, body.length);
  http_request_end(request, true);
}

void http_request_free(http_request *request) {
  g_free(request->method);
  g_free(request->path);
  g_free(request->query);
  http_headers_free(&request->known_fields);
  http_headers_free(&request->known_response_fields);
  g_free(request->target);
  g_free(request->host);
  if (request->fields)
    g_string_free(request->fields, TRUE);
  if (request->response_fields)
    g_string_free(request->response_fields, TRUE);
  g_string_free(request->body, TRUE);
  g_string_free(request->pending_output, TRUE);
  g_free(request);
}

http_call *http_call_open(world *world, const char *addr, const char *verb, const char *path,
                          const http_headers *h, string_view body, size_t most) {
  return http_call_open_before(world, addr, verb, path, h, body, most, time_never());
}

http_call *http_call_open_before(world *world, const char *addr, const char *verb, const char *path,
                                 const http_headers *h, string_view body, size_t most, time_us by) {
  http_call *call = g_new0(http_call, 1);
  call->world = world;
  call->address = g_strdup(addr);
  call->method = g_strdup(verb);
  call->path = g_strdup(path);
  http_headers_copy(&call->known_request_fields, h);
  call->body = g_string_new_len(body.data ? body.data : "", body.length);
  call->response_body = g_string_new(NULL);
  call->response_max_bytes = most;
  call->send_deadline = by;
  condition_init(&call->progressed);
  world->call_start(call);
  return call;
}

http_call *http_call_open_fields(world *world, const char *addr, const char *verb,
                                 const char *target, const fields *fields, string_view body,
                                 bool fresh, time_us by) {
  http_call *call = g_new0(http_call, 1);
  call->world = world;
  call->pooled = true;
  call->needs_new_connection = fresh;
  call->address = g_strdup(addr);
  call->method = g_strdup(verb);
  call->path = g_strdup(target);
  call->request_fields =
      g_string_new_len(fields ? fields->str : "", fields ? (gssize)fields->len : 0);
  call->response_fields = g_string_new(NULL);
  call->body = g_string_new_len(body.data ? body.data : "", body.length);
  call->response_body = g_string_new(NULL);
  call->response_max_bytes = SIZE_MAX / 2;
  call->send_deadline = by;
  condition_init(&call->progressed);
  world->call_start(call);
  return call;
}

void http_call_require_field(http_call *call, const char *name, string_view value) {
  call->match_name = g_strdup(name);
  call->match_value = g_strndup(value.data, value.length);
}

int http_call_wait(http_call *call, time_us till) {
  while (!call->status && !call->ended && !call->broken) {
    enum wake y = condition_wait(&call->world->tasks, &call->progressed, till);
    if (y != WAKE_SIGNALLED)
      return y;
  }
  if (call->status)
    return OK;
  return call->sent ? E_CONNECTION_LOST_AFTER_SEND : E_NOT_CONNECTED;
}

int http_call_read(http_call *call, GString *to, time_us till) {
  while (!call->response_body->len && !call->ended && !call->broken) {
    enum wake y = condition_wait(&call->world->tasks, &call->progressed, till);
    if (y != WAKE_SIGNALLED)
      return y;
  }
  if (call->response_body->len) {
    g_string_append_len(to, call->response_body->str, call->response_body->len);
    g_string_truncate(call->response_body, 0);
    return OK;
  }
  return call->broken ? E_STREAM_BROKEN : E_PEER_GONE;
}

int http_call_read_all(http_call *call, GString *to, time_us till) {
  int r = http_call_wait(call, till);
  if (r)
    return r;
  while (!(r = http_call_read(call, to, till)))
    if (to->len > call->response_max_bytes)
      return E_TOO_LARGE;
  return r == E_PEER_GONE ? OK : r;
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

int http_call_fetch(world *world, const char *addr, const char *verb, const char *path,
                    const http_headers *h, string_view body, GString *to, time_us span,
                    error *err) {
  return http_call_fetch_before(world, addr, verb, path, h, body, to, span, time_never(), err);
}

int http_call_fetch_before(world *world, const char *addr, const char *verb, const char *path,
                           const http_headers *h, string_view body, GString *to, time_us span,
                           time_us by, error *err) {
  http_call *call = http_call_open_before(world, addr, verb, path, h, body, 8 << 20, by);
  int r = http_call_read_all(call, to, time_add(world_now(world), span)), status = call->status;
  if (r) {
    error_set(err, r, "%s %s at %s: %s", verb, path, addr,
              r == E_NO_RESPONSE ? "no answer in time" : "channel lost");
    status = 0;
  }
  http_call_close(call);
  return status;
}
