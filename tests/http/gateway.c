/* A gateway in a process of its own, without a core: its configuration stands here, and the test
 * names its engines. tests/http/bytes_check.py plays its callers and engines byte by byte. */
#include "gateway.h"
#include "real_world.h"
#include <stdio.h>
#include <stdlib.h>

/* tests/http/drain_check.py goes by it */
enum { GRACE_MS = 4000 };

#define ROUTE(name, rest)                                                                          \
  "{\"name\":\"" name "\",\"host\":\"svc.example\",\"prefix\":\"/" name "/\",\"timeoutMs\":3000,"  \
  "\"targetMs\":500,\"priority\":1,\"service\":\"svc\",\"attempts\":2," rest "}"
static const char configuration[] =
    "{\"version\":1,\"routes\":[" ROUTE("once", "\"mode\":\"once\"") "," ROUTE("safe", "\"mode\":\"safe\"") "," ROUTE(
        "stream",
        "\"mode\":\"stream\",\"gapTargetMs\":400") "," ROUTE("resume",
                                                             "\"mode\":\"stream\",\"gapTargetMs\":400,\"resumable\":true") "],\"services\":[{\"name\":\"svc\",\"health\":\"/health\"}],"
                                                                                                                           "\"limits\":{\"headerBytes\":8192,\"bodyBytes\":400000,\"headerMs\":700,\"idleMs\":3000}}";

static world *here;
static gateway *tested_gateway;
static http_listener control;
static uint64_t beats;

static char *argument(const http_request *request, const char *key) {
  char **parts = g_strsplit(request->query, "&", 0), *got = NULL;
  size_t length = strlen(key);
  for (char **part = parts; *part && !got; part++)
    if (!strncmp(*part, key, length) && (*part)[length] == '=')
      got = g_strdup(*part + length + 1);
  g_strfreev(parts);
  return got;
}

/* an engine's registration, or its end */
static void beat(const http_request *request, bool gone) {
  Wire__EngineState engine = WIRE__ENGINE_STATE__INIT, *engines = &engine;
  Wire__ConfigPollResponse news = WIRE__CONFIG_POLL_RESPONSE__INIT;
  char *name = argument(request, "id"), *address = argument(request, "addr");
  engine.id = name;
  engine.service = "svc";
  engine.address = address;
  engine.zone = "north";
  engine.version = "v1";
  engine.slots = 8;
  engine.heartbeat_count = ++beats;
  engine.gone = gone;
  news.engines = &engines;
  news.n_engines = 1;
  news.registry_run = 1;
  gateway_engines_config_sync(tested_gateway, &news);
  g_free(name);
  g_free(address);
}

/* the program ends with its gateway, as on SIGTERM */
static void stop_when_drained(void *p) {
  (void)p;
  condition_wait(&here->tasks, &tested_gateway->drain.finished, time_never());
  real_world_stop(here);
}

static void serve_control(void *ctx, http_request *request) {
  (void)ctx;
  if (!strcmp(request->path, "/beat"))
    beat(request, false);
  else if (!strcmp(request->path, "/gone"))
    beat(request, true);
  else if (!strcmp(request->path, "/stat")) {
    GString *text = g_string_new(NULL);
    g_string_printf(
        text, "open=%d channels=%d exchanges=%d attempts=%" PRIu64,
        tested_gateway->requests.open_count, tested_gateway->client_listener.connections,
        tested_gateway->client_listener.pending_exchanges, tested_gateway->counts.attempts);
    http_request_respond(request, 200, "text/plain", string_view_of_gstring(text));
    g_string_free(text, TRUE);
    return;
  } else if (!strcmp(request->path, "/drain")) {
    gateway_drain(tested_gateway);
    task_start(&here->tasks, "over", stop_when_drained, NULL);
  } else if (!strcmp(request->path, "/post")) {
    char *address = argument(request, "addr");
    here->post_message(here, address, string_view_of("a message to a peer"));
    g_free(address);
  } else if (!strcmp(request->path, "/stop"))
    real_world_stop(here);
  http_request_respond(request, 200, "text/plain", string_view_of("ok"));
}

static bool configure(router *router, error *err) {
  json *text = json_parse(string_view_of(configuration), err);
  router->routing = text ? routing_compile(text, err) : NULL;
  json_free(text);
  if (router->routing)
    router->on_installed(tested_gateway);
  return router->routing != NULL;
}

int main(void) {
  error err = { 0 };
  real_settings place = { .ip = "127.0.0.1", .data_dir = "/tmp" };
  settings settings = {
    .role = ROLE_ROUTER, .is_gateway = true, .relaxed = true, .wire_version = WIRE_VERSION_CURRENT
  };
  gateway_settings bounds = { .front_ip = "127.0.0.1",
                              .ready_ip = "127.0.0.1",
                              .dialect = &dialect_native,
                              .grace_ms = GRACE_MS,
                              .retry_ratio = 10,
                              .retry_slack = 1e6 };
  settings.self = id_of_text("gateway");
  settings.zone = id_of_text("north");
  g_strlcpy(settings.address, "127.0.0.1:1", sizeof settings.address);
  here = real_world_new(&place, &err);
  if (!here) {
    fprintf(stderr, "%s\n", err.text);
    return 1;
  }
  router *router = router_new(here, &settings);
  tested_gateway = gateway_new(router, &bounds, &err);
  control = (http_listener){ .ip = "127.0.0.1", .serve = serve_control, .idle_timeout_ms = 600000 };
  if (!tested_gateway || gateway_open(tested_gateway, &err) ||
      here->listener_open(here, &control, &err) || !configure(router, &err)) {
    fprintf(stderr, "%s\n", err.text);
    return 1;
  }
  printf("%d %d\n", tested_gateway->client_listener.port, control.port);
  fflush(stdout);
  real_world_run(here, NULL, NULL);
  real_world_free(here);
  gateway_free(tested_gateway);
  router_free(router);
  return 0;
}
