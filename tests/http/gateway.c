/** A gateway in its own process, without controllers: its configuration is built in, and the test
 * registers its engines. tests/http/bytes_check.py plays its clients and engines byte by byte. */
#include "gateway.h"
#include "real_world.h"
#include <stdio.h>
#include <stdlib.h>

/* tests/http/drain_check.py depends on this value */
enum { GRACE_MS = 4000 };

#define ROUTE(name, rest)                                                                          \
  "{\"name\":\"" name "\",\"host\":\"svc.example\",\"prefix\":\"/" name "/\",\"timeoutMs\":3000,"  \
  "\"targetMs\":500,\"priority\":1,\"service\":\"svc\",\"attempts\":2," rest "}"
static const char routing_text[] =
    "{\"version\":1,\"routes\":[" ROUTE("once", "\"mode\":\"once\"") "," ROUTE("safe", "\"mode\":\"safe\"") "," ROUTE(
        "stream",
        "\"mode\":\"stream\",\"gapTargetMs\":400") "," ROUTE("resume",
                                                             "\"mode\":\"stream\",\"gapTargetMs\":400,\"resumable\":true") "],\"services\":[{\"name\":\"svc\",\"health\":\"/health\"}],"
                                                                                                                           "\"limits\":{\"headerBytes\":8192,\"bodyBytes\":400000,\"headerMs\":700,\"idleMs\":3000}}";

static world *gateway_world;
static gateway *tested_gateway;
static http_listener command_listener;
static uint64_t heartbeats_sent;

static char *query_text(const http_request *request, const char *key) {
  char **parts = g_strsplit(request->query, "&", 0), *value = NULL;
  size_t length = strlen(key);
  for (char **part = parts; *part && !value; part++)
    if (!strncmp(*part, key, length) && (*part)[length] == '=')
      value = g_strdup(*part + length + 1);
  g_strfreev(parts);
  return value;
}

/* Passes a heartbeat or the departure of an engine to the gateway, as a controller would. */
static void pass_engine_update(const http_request *request, bool gone) {
  Wire__EngineState engine = WIRE__ENGINE_STATE__INIT, *engines = &engine;
  Wire__ConfigPollResponse update = WIRE__CONFIG_POLL_RESPONSE__INIT;
  char *name = query_text(request, "id"), *address = query_text(request, "addr");
  engine.id = name;
  engine.service = "svc";
  engine.address = address;
  engine.zone = "north";
  engine.version = "v1";
  engine.slots = 8;
  engine.heartbeat_count = ++heartbeats_sent;
  engine.gone = gone;
  update.engines = &engines;
  update.n_engines = 1;
  update.registry_run = 1;
  gateway_engines_config_sync(tested_gateway, &update);
  g_free(name);
  g_free(address);
}

/* Ends the process when the gateway has drained, as on SIGTERM. */
static void stop_when_drained(void *context) {
  (void)context;
  condition_wait(&gateway_world->tasks, &tested_gateway->drain.finished, time_never());
  real_world_stop(gateway_world);
}

static void serve_control(void *context, http_request *request) {
  (void)context;
  if (!strcmp(request->path, "/beat"))
    pass_engine_update(request, false);
  else if (!strcmp(request->path, "/gone"))
    pass_engine_update(request, true);
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
    task_start(&gateway_world->tasks, "over", stop_when_drained, NULL);
  } else if (!strcmp(request->path, "/post")) {
    char *address = query_text(request, "addr");
    gateway_world->post_message(gateway_world, address, string_view_of("a message to a peer"));
    g_free(address);
  } else if (!strcmp(request->path, "/stop"))
    real_world_stop(gateway_world);
  http_request_respond(request, 200, "text/plain", string_view_of("ok"));
}

static bool configure(router *router, error *err) {
  json *value = json_parse(string_view_of(routing_text), err);
  router->routing = value ? routing_compile(value, err) : NULL;
  json_free(value);
  if (router->routing)
    router->on_snapshot_installed(tested_gateway);
  return router->routing != NULL;
}

int main(void) {
  error err = { 0 };
  real_settings world_settings = { .ip = "127.0.0.1", .data_dir = "/tmp" };
  settings settings = { .role = ROLE_ROUTER,
                        .is_gateway = true,
                        .relaxed_timing = true,
                        .wire_version = WIRE_VERSION_CURRENT };
  gateway_settings gateway_options = { .client_ip = "127.0.0.1",
                                       .ready_ip = "127.0.0.1",
                                       .dialect = &dialect_native,
                                       .grace_ms = GRACE_MS,
                                       .retry_ratio = 10,
                                       .retry_slack = 1e6 };
  settings.self = id_of_text("gateway");
  settings.zone = id_of_text("north");
  g_strlcpy(settings.address, "127.0.0.1:1", sizeof settings.address);
  gateway_world = real_world_new(&world_settings, &err);
  if (!gateway_world) {
    fprintf(stderr, "%s\n", err.text);
    return 1;
  }
  router *router = router_new(gateway_world, &settings);
  tested_gateway = gateway_new(router, &gateway_options, &err);
  command_listener =
      (http_listener){ .ip = "127.0.0.1", .serve = serve_control, .idle_timeout_ms = 600000 };
  if (!tested_gateway || gateway_open(tested_gateway, &err) ||
      gateway_world->listener_open(gateway_world, &command_listener, &err) ||
      !configure(router, &err)) {
    fprintf(stderr, "%s\n", err.text);
    return 1;
  }
  printf("%d %d\n", tested_gateway->client_listener.port, command_listener.port);
  fflush(stdout);
  real_world_run(gateway_world, NULL, NULL);
  real_world_free(gateway_world);
  gateway_free(tested_gateway);
  router_free(router);
  return 0;
}
