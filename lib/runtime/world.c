#include "world.h"

const char *const http_header_name[HEADER_COUNT] = {
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

bool world_sleep_about(world *world, time_us span) {
  return world_sleep(world, (time_us){ span.us + (int64_t)world_random(world, span.us / 5 + 1) });
}

void http_request_begin(http_request *request, int status, const char *type) {
  if (request->began)
    return;
  request->began = true;
  request->status = status;
  if (type)
    http_headers_set(&request->own_reply_fields, HEADER_TYPE, type);
  request->world->http_request_push(request);
}

int http_request_write(http_request *request, string_view bytes, time_us till) {
  if (request->gone)
    return E_PEER_GONE;
  g_string_append_len(request->out, bytes.data, bytes.length);
  request->world->http_request_push(request);
  while (request->out->len > SLOW_MOST && !request->gone) {
    enum wake y = condition_wait(&request->world->tasks, &request->drained, till);
    if (y != WAKE_SIGNALLED)
      return y;
  }
  return request->gone ? E_PEER_GONE : OK;
}

void http_request_end(http_request *request, bool clean) {
  if (request->ended)
    return;
  request->ended = true;
  request->clean = clean;
  request->world->http_request_push(request);
}

void http_request_answer(http_request *request, int status, const char *type, string_view body) {
  http_request_begin(request, status, type);
  g_string_append_len(request->out, body.data, body.length);
  http_request_end(request, true);
}

void http_request_free(http_request *request) {
  g_free(request->method);
  g_free(request->path);
  g_free(request->query);
  http_headers_free(&request->own_fields);
  http_headers_free(&request->own_reply_fields);
  g_free(request->target);
  g_free(request->host);
  if (request->fields)
    g_string_free(request->fields, TRUE);
  if (request->reply_fields)
    g_string_free(request->reply_fields, TRUE);
  g_string_free(request->body, TRUE);
  g_string_free(request->out, TRUE);
  g_free(request);
}

http_call *http_call_open(world *world, const char *addr, const char *verb, const char *path,
                          const http_headers *h, string_view body, size_t most) {
  return http_call_open_by(world, addr, verb, path, h, body, most, time_never());
}

http_call *http_call_open_by(world *world, const char *addr, const char *verb, const char *path,
                             const http_headers *h, string_view body, size_t most, time_us by) {
  http_call *call = g_new0(http_call, 1);
  call->world = world;
  call->addr = g_strdup(addr);
  call->method = g_strdup(verb);
  call->path = g_strdup(path);
  http_headers_copy(&call->own_out_fields, h);
  call->body = g_string_new_len(body.data ? body.data : "", body.length);
  call->received = g_string_new(NULL);
  call->most = most;
  call->send_by = by;
  condition_init(&call->news);
  world->call_start(call);
  return call;
}

http_call *http_call_open_fields(world *world, const char *addr, const char *verb,
                                 const char *target, const fields *fields, string_view body,
                                 bool fresh, time_us by) {
  http_call *call = g_new0(http_call, 1);
  call->world = world;
  call->kept = true;
  call->fresh = fresh;
  call->addr = g_strdup(addr);
  call->method = g_strdup(verb);
  call->path = g_strdup(target);
  call->out_fields = g_string_new_len(fields ? fields->str : "", fields ? (gssize)fields->len : 0);
  call->in_fields = g_string_new(NULL);
  call->body = g_string_new_len(body.data ? body.data : "", body.length);
  call->received = g_string_new(NULL);
  call->most = SIZE_MAX / 2;
  call->send_by = by;
  condition_init(&call->news);
  world->call_start(call);
  return call;
}

void http_call_match(http_call *call, const char *name, string_view value) {
  call->match_name = g_strdup(name);
  call->match_value = g_strndup(value.data, value.length);
}

int http_call_wait(http_call *call, time_us till) {
  while (!call->status && !call->ended && !call->broken) {
    enum wake y = condition_wait(&call->world->tasks, &call->news, till);
    if (y != WAKE_SIGNALLED)
      return y;
  }
  if (call->status)
    return OK;
  return call->sent ? E_LOST_AFTER_SENT : E_NOT_CONNECTED;
}

int http_call_read(http_call *call, GString *to, time_us till) {
  while (!call->received->len && !call->ended && !call->broken) {
    enum wake y = condition_wait(&call->world->tasks, &call->news, till);
    if (y != WAKE_SIGNALLED)
      return y;
  }
  if (call->received->len) {
    g_string_append_len(to, call->received->str, call->received->len);
    g_string_truncate(call->received, 0);
    return OK;
  }
  return call->broken ? E_STREAM_BROKEN : E_PEER_GONE;
}

int http_call_read_all(http_call *call, GString *to, time_us till) {
  int r = http_call_wait(call, till);
  if (r)
    return r;
  while (!(r = http_call_read(call, to, till)))
    if (to->len > call->most)
      return E_TOO_LARGE;
  return r == E_PEER_GONE ? OK : r;
}

void http_call_close(http_call *call) {
  if (!call)
    return;
  call->world->call_drop(call);
  g_free(call->addr);
  g_free(call->method);
  g_free(call->path);
  http_headers_free(&call->own_out_fields);
  http_headers_free(&call->own_in_fields);
  g_string_free(call->body, TRUE);
  g_string_free(call->received, TRUE);
  if (call->out_fields)
    g_string_free(call->out_fields, TRUE);
  if (call->in_fields)
    g_string_free(call->in_fields, TRUE);
  g_free(call->match_name);
  g_free(call->match_value);
  g_free(call);
}

int http_call_and_read(world *world, const char *addr, const char *verb, const char *path,
                       const http_headers *h, string_view body, GString *to, time_us span,
                       error *err) {
  return http_call_and_read_by(world, addr, verb, path, h, body, to, span, time_never(), err);
}

int http_call_and_read_by(world *world, const char *addr, const char *verb, const char *path,
                          const http_headers *h, string_view body, GString *to, time_us span,
                          time_us by, error *err) {
  http_call *call = http_call_open_by(world, addr, verb, path, h, body, 8 << 20, by);
  int r = http_call_read_all(call, to, time_add(world_now(world), span)), status = call->status;
  if (r) {
    error_set(err, r, "%s %s at %s: %s", verb, path, addr,
              r == E_NO_ANSWER ? "no answer in time" : "channel lost");
    status = 0;
  }
  http_call_close(call);
  return status;
}
