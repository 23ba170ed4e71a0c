/** A process whose listener exercises the server and the client of the HTTP engine, as told by the
 * path and the query of each request. scripts/http-check drives it. */
#include "real_world.h"
#include <stdio.h>
#include <stdlib.h>

static http_listener tested_listener;
static world *driver_world;
static unsigned abandoned_streams, abandoned_slow_requests;

static char *query_text(const http_request *request, const char *key) {
  char **parts = g_strsplit(request->query, "&", 0), *value = NULL;
  size_t length = strlen(key);
  for (char **part = parts; *part && !value; part++)
    if (!strncmp(*part, key, length) && (*part)[length] == '=')
      value = g_uri_unescape_string(*part + length + 1, NULL);
  g_strfreev(parts);
  return value;
}

static int64_t query_number(const http_request *request, const char *key, int64_t fallback) {
  char *text = query_text(request, key);
  int64_t number = text ? strtoll(text, NULL, 10) : fallback;
  g_free(text);
  return number;
}

static void respond_text(http_request *request, GString *text) {
  http_request_respond(request, 200, "text/plain", string_view_of_gstring(text));
  g_string_free(text, TRUE);
}

static void serve_echo(http_request *request) {
  GString *text = g_string_new(NULL);
  g_string_printf(text, "%s %s\nhost %s\nfrom %s\n%s\n%s", request->method, request->target,
                  request->host, request->client_address, request->fields->str, request->body->str);
  fields_add(request->response_fields, "X-Own", string_view_of("yes"));
  respond_text(request, text);
}

static void serve_stream(http_request *request) {
  int64_t count = query_number(request, "n", 3), size = query_number(request, "size", 10),
          pause_ms = query_number(request, "ms", 0);
  char *piece = g_malloc(size);
  memset(piece, 'x', size);
  http_request_begin(request, 200, "text/plain");
  bool ok = true;
  for (int64_t i = 0; i < count && ok; i++) {
    if (pause_ms && !world_sleep(driver_world, time_from_ms(pause_ms)))
      break;
    ok = http_request_write(request, (string_view){ piece, (size_t)size },
                            time_add(world_now(driver_world), time_from_ms(20000))) == OK;
  }
  g_free(piece);
  abandoned_streams += request->client_gone;
  http_request_end(request, ok && query_number(request, "cut", 0) == 0);
}

static void serve_slow(http_request *request) {
  condition client_gone;
  condition_init(&client_gone);
  request->client_gone_condition = &client_gone;
  enum wake_reason wake = condition_wait(
      &driver_world->tasks, &client_gone,
      time_add(world_now(driver_world), time_from_ms(query_number(request, "ms", 500))));
  request->client_gone_condition = NULL;
  abandoned_slow_requests += wake == WAKE_SIGNALLED && request->client_gone;
  http_request_respond(request, 200, "text/plain", string_view_of("slow"));
}

static void serve_call(http_request *request) {
  char *to = query_text(request, "to"), *method = query_text(request, "verb"),
       *path = query_text(request, "path"), *required_value = query_text(request, "match");
  fields *fields = g_string_new(NULL);
  fields_add(fields, "Host", string_view_of(to));
  int64_t send_by_ms = query_number(request, "by", 0),
          timeout_ms = query_number(request, "ms", 3000), padding = query_number(request, "pad", 0);
  GString *body = g_string_new(request->body->str);
  for (int64_t i = 0; i < padding; i++)
    g_string_append_c(body, 'p');
  http_call *call = http_call_open_pooled(
      driver_world, to, method ? method : "GET", path ? path : "/", fields,
      string_view_of_gstring(body), query_number(request, "fresh", 0),
      send_by_ms ? time_add(world_now(driver_world), time_from_ms(send_by_ms)) : time_never());
  if (required_value)
    http_call_require_field(call, "x-id", string_view_of(required_value));
  GString *response = g_string_new(NULL), *text = g_string_new(NULL);
  time_us deadline = time_add(world_now(driver_world), time_from_ms(timeout_ms));
  int code = http_call_wait(call, deadline);
  if (!code && query_number(request, "hold", 0))
    world_sleep(driver_world, time_from_ms(query_number(request, "hold", 0)));
  if (!code)
    while (!(code = http_call_read(call, response, deadline)))
      ;
  g_string_printf(
      text,
      "result=%d status=%d reused=%d closes=%d sent=%d ended=%d broken=%d passed=%u len=%zu up=%d all=%d last=%d body=%.40s",
      code, call->status, call->reused_connection, call->closes_connection, call->sent, call->ended,
      call->broken, call->skipped_responses, response->len, call->connected_at.us > 0,
      call->sent_at.us > 0, call->last_byte_at.us > 0, response->str);
  http_call_close(call);
  g_string_free(fields, TRUE);
  g_string_free(body, TRUE);
  g_string_free(response, TRUE);
  g_free(to);
  g_free(method);
  g_free(path);
  g_free(required_value);
  respond_text(request, text);
}

static void serve(void *context, http_request *request) {
  (void)context;
  if (!strcmp(request->path, "/stream"))
    serve_stream(request);
  else if (!strcmp(request->path, "/slow"))
    serve_slow(request);
  else if (!strcmp(request->path, "/call"))
    serve_call(request);
  else if (!strcmp(request->path, "/empty"))
    http_request_respond(request, 204, NULL, string_view_of(""));
  else if (!strcmp(request->path, "/none"))
    return;
  else if (!strcmp(request->path, "/stat")) {
    GString *text = g_string_new(NULL);
    g_string_printf(text, "exchanges=%d channels=%d requests=%" PRIu64 " gone=%u left=%u tasks=%zu",
                    tested_listener.pending_exchanges, tested_listener.connections,
                    tested_listener.requests_received, abandoned_streams, abandoned_slow_requests,
                    driver_world->tasks.count);
    respond_text(request, text);
  } else if (!strcmp(request->path, "/set")) {
    tested_listener.header_timeout_ms =
        query_number(request, "header_ms", tested_listener.header_timeout_ms);
    tested_listener.idle_timeout_ms =
        query_number(request, "idle_ms", tested_listener.idle_timeout_ms);
    tested_listener.draining = query_number(request, "leaving", tested_listener.draining);
    driver_world->pool_idle_timeout_ms =
        query_number(request, "kept_idle_ms", driver_world->pool_idle_timeout_ms);
    if (query_number(request, "shut", 0))
      driver_world->listener_stop_accepting(driver_world, &tested_listener);
    char *pool_address = query_text(request, "drop");
    if (pool_address)
      driver_world->pool_close_idle(driver_world, pool_address);
    g_free(pool_address);
    http_request_respond(request, 200, NULL, string_view_of("ok"));
  } else if (!strcmp(request->path, "/stop")) {
    http_request_respond(request, 200, NULL, string_view_of("bye"));
    real_world_stop(driver_world);
  } else
    serve_echo(request);
}

int main(int argc, char **argv) {
  error err = { 0 };
  real_settings world_settings = { .ip = "127.0.0.1", .data_dir = "/tmp" };
  if (argc < 2 || !(driver_world = real_world_new(&world_settings, &err)))
    return 1;
  tested_listener = (http_listener){ .ip = "127.0.0.1",
                                     .port = atoi(argv[1]),
                                     .serve = serve,
                                     .header_max_bytes = 4096,
                                     .body_max_bytes = 100000,
                                     .header_timeout_ms = 400,
                                     .idle_timeout_ms = 5000 };
  if (driver_world->listener_open(driver_world, &tested_listener, &err)) {
    fprintf(stderr, "%s\n", err.text);
    return 1;
  }
  printf("%d\n", tested_listener.port);
  fflush(stdout);
  real_world_run(driver_world, NULL, NULL);
  real_world_free(driver_world);
  return 0;
}
