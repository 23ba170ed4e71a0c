/* a process with a listener whose paths make its HTTP do things; scripts/http-check talks to it */
#include "real_world.h"
#include <stdio.h>
#include <stdlib.h>

static http_listener here;
static world *w;
static unsigned gone, left;

static char *arg(const http_request *request, const char *key) {
  char **parts = g_strsplit(request->query, "&", 0), *got = NULL;
  size_t n = strlen(key);
  for (char **p = parts; *p && !got; p++)
    if (!strncmp(*p, key, n) && (*p)[n] == '=')
      got = g_uri_unescape_string(*p + n + 1, NULL);
  g_strfreev(parts);
  return got;
}

static int64_t num(const http_request *request, const char *key, int64_t fall) {
  char *s = arg(request, key);
  int64_t n = s ? strtoll(s, NULL, 10) : fall;
  g_free(s);
  return n;
}

static void log_info(http_request *request, GString *g) {
  http_request_respond(request, 200, "text/plain", string_view_of_gstring(g));
  g_string_free(g, TRUE);
}

static void serve_echo(http_request *request) {
  GString *g = g_string_new(NULL);
  g_string_printf(g, "%s %s\nhost %s\nfrom %s\n%s\n%s", request->method, request->target,
                  request->host, request->client_address, request->fields->str, request->body->str);
  fields_add(request->response_fields, "X-Own", string_view_of("yes"));
  log_info(request, g);
}

static void serve_stream(http_request *request) {
  int64_t n = num(request, "n", 3), size = num(request, "size", 10), nap = num(request, "ms", 0);
  char *piece = g_malloc(size);
  memset(piece, 'x', size);
  http_request_begin(request, 200, "text/plain");
  bool fine = true;
  for (int64_t i = 0; i < n && fine; i++) {
    if (nap && !world_sleep(w, time_from_ms(nap)))
      break;
    fine = http_request_write(request, (string_view){ piece, (size_t)size },
                              time_add(world_now(w), time_from_ms(20000))) == OK;
  }
  g_free(piece);
  gone += request->client_gone;
  http_request_end(request, fine && num(request, "cut", 0) == 0);
}

static void serve_slow(http_request *request) {
  condition b;
  condition_init(&b);
  request->client_gone_condition = &b;
  enum wake y =
      condition_wait(&w->tasks, &b, time_add(world_now(w), time_from_ms(num(request, "ms", 500))));
  request->client_gone_condition = NULL;
  left += y == WAKE_SIGNALLED && request->client_gone;
  http_request_respond(request, 200, "text/plain", string_view_of("slow"));
}

static void serve_call(http_request *request) {
  char *to = arg(request, "to"), *verb = arg(request, "verb"), *path = arg(request, "path"),
       *match = arg(request, "match");
  fields *fields = g_string_new(NULL);
  fields_add(fields, "Host", string_view_of(to));
  int64_t by = num(request, "by", 0), most = num(request, "ms", 3000), pad = num(request, "pad", 0);
  GString *body = g_string_new(request->body->str);
  for (int64_t i = 0; i < pad; i++)
    g_string_append_c(body, 'p');
  http_call *call = http_call_open_fields(
      w, to, verb ? verb : "GET", path ? path : "/", fields, string_view_of_gstring(body),
      num(request, "fresh", 0), by ? time_add(world_now(w), time_from_ms(by)) : time_never());
  if (match)
    http_call_require_field(call, "x-id", string_view_of(match));
  GString *got = g_string_new(NULL), *g = g_string_new(NULL);
  time_us till = time_add(world_now(w), time_from_ms(most));
  int r = http_call_wait(call, till);
  if (!r && num(request, "hold", 0))
    world_sleep(w, time_from_ms(num(request, "hold", 0)));
  if (!r)
    while (!(r = http_call_read(call, got, till)))
      ;
  g_string_printf(
      g,
      "result=%d status=%d reused=%d closes=%d sent=%d ended=%d broken=%d passed=%u len=%zu up=%d all=%d last=%d body=%.40s",
      r, call->status, call->reused_connection, call->closes_connection, call->sent, call->ended,
      call->broken, call->skipped_responses, got->len, call->connected_at.us > 0,
      call->sent_at.us > 0, call->last_byte_at.us > 0, got->str);
  http_call_close(call);
  g_string_free(fields, TRUE);
  g_string_free(body, TRUE);
  g_string_free(got, TRUE);
  g_free(to);
  g_free(verb);
  g_free(path);
  g_free(match);
  log_info(request, g);
}

static void serve(void *ctx, http_request *request) {
  (void)ctx;
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
    GString *g = g_string_new(NULL);
    g_string_printf(g, "exchanges=%d channels=%d requests=%" PRIu64 " gone=%u left=%u tasks=%zu",
                    here.pending_exchanges, here.connections, here.requests_received, gone, left,
                    w->tasks.count);
    log_info(request, g);
  } else if (!strcmp(request->path, "/set")) {
    here.header_timeout_ms = num(request, "header_ms", here.header_timeout_ms);
    here.idle_timeout_ms = num(request, "idle_ms", here.idle_timeout_ms);
    here.draining = num(request, "leaving", here.draining);
    w->pool_idle_timeout_ms = num(request, "kept_idle_ms", w->pool_idle_timeout_ms);
    if (num(request, "shut", 0))
      w->listener_stop_accepting(w, &here);
    char *drop = arg(request, "drop");
    if (drop)
      w->pool_close_idle(w, drop);
    g_free(drop);
    http_request_respond(request, 200, NULL, string_view_of("ok"));
  } else if (!strcmp(request->path, "/stop")) {
    http_request_respond(request, 200, NULL, string_view_of("bye"));
    real_world_stop(w);
  } else
    serve_echo(request);
}

int main(int argc, char **argv) {
  error err = { 0 };
  real_settings v = { .ip = "127.0.0.1", .data_dir = "/tmp" };
  if (argc < 2 || !(w = real_world_new(&v, &err)))
    return 1;
  here = (http_listener){ .ip = "127.0.0.1",
                          .port = atoi(argv[1]),
                          .serve = serve,
                          .header_max_bytes = 4096,
                          .body_max_bytes = 100000,
                          .header_timeout_ms = 400,
                          .idle_timeout_ms = 5000 };
  if (w->listener_open(w, &here, &err)) {
    fprintf(stderr, "%s\n", err.text);
    return 1;
  }
  printf("%d\n", here.port);
  fflush(stdout);
  real_world_run(w, NULL, NULL);
  real_world_free(w);
  return 0;
}
