/** The control listener of a controller: dispatches calls to their handlers. */
#include "control_listener.h"
#include "control_response.h"
#include "engine_heartbeat_api.h"

enum {
  /** Upper bounds on the size of a request, in bytes. */
  BODY_MAX_BYTES = RESOURCE_BYTES_MAX,
  HEADER_MAX_BYTES = 16384,
  /** Longest time for a caller to send a header, and to be idle between requests, in ms. */
  HEADER_TIMEOUT_MS = 3000,
  IDLE_TIMEOUT_MS = 15000
};

/* Responds whether this controller is ready to serve. */
static void serve_readiness(const control_listener *listener, http_request *request) {
  const replica *replica = listener->replica;
  bool is_draining = listener->node->draining;
  if (replica->running && replica->view.epoch && !is_draining)
    http_request_respond(request, HTTP_OK, NULL, string_view_of(""));
  else
    control_respond_error(listener->dialect, request, E_NO_CONTROLLER,
                          is_draining ? "leaving" : "no view is known here yet");
}

/* Returns when the last byte of a request was read, or `now` if that is not known. */
static time_us received_at(const http_request *request, time_us now) {
  bool is_known = request->received_at.us && request->received_at.us <= now.us;
  return is_known ? request->received_at : now;
}

/* True when a request is a call of the dialect. Sets engine_id to the id in the path, if any. */
static bool is_call(const control_listener *listener, const http_request *request,
                    enum dialect_call call, id *engine_id) {
  return dialect_matches_call(listener->dialect, call, request->method, request->path, engine_id);
}

static void serve(void *ctx, http_request *request) {
  control_listener *listener = ctx;
  config_api *config_api = &listener->config_api;
  time_us received = received_at(request, world_now(listener->node->world));
  id engine_id;
  if (is_call(listener, request, DC_HEARTBEAT, &engine_id))
    engine_heartbeat_api_serve_heartbeat(listener->registry_sync, listener->dialect, request,
                                         engine_id);
  else if (is_call(listener, request, DC_SIGN_OFF, &engine_id))
    engine_heartbeat_api_serve_sign_off(listener->registry_sync, request, engine_id);
  else if (is_call(listener, request, DC_CONFIG_PUT, NULL))
    config_api_serve_write(config_api, request, true, received);
  else if (is_call(listener, request, DC_CONFIG_PATCH, NULL))
    config_api_serve_write(config_api, request, false, received);
  else if (is_call(listener, request, DC_CONFIG_GET, NULL))
    config_api_serve_read(config_api, request, received);
  else if (is_call(listener, request, DC_READY, NULL))
    serve_readiness(listener, request);
  else
    control_respond_error(listener->dialect, request, E_NOT_FOUND, "there is no such page");
}

void control_listener_init(control_listener *listener, node *node, replica *replica,
                           version_reports *version_reports, registry_sync *registry_sync) {
  listener->node = node;
  listener->replica = replica;
  listener->version_reports = version_reports;
  listener->registry_sync = registry_sync;
}

enum error_code control_listener_open(control_listener *listener, const char *ip, int port,
                                      const dialect *dialect, error *err) {
  world *world = listener->node->world;
  if (!world->listener_open)
    return error_set(err, E_LISTEN, "this world has no listeners");
  listener->dialect = dialect ? dialect : &dialect_native;
  config_api_init(&listener->config_api, listener->node, listener->replica,
                  listener->version_reports, listener->dialect, &listener->http);
  listener->http = (http_listener){ .world = world,
                                    .port = port,
                                    .serve = serve,
                                    .serve_context = listener,
                                    .header_max_bytes = HEADER_MAX_BYTES,
                                    .body_max_bytes = BODY_MAX_BYTES,
                                    .header_timeout_ms = HEADER_TIMEOUT_MS,
                                    .idle_timeout_ms = IDLE_TIMEOUT_MS };
  g_strlcpy(listener->http.ip, ip, sizeof listener->http.ip);
  enum error_code code = world->listener_open(world, &listener->http, err);
  listener->is_open = !code;
  return code;
}

void control_listener_free(control_listener *listener) {
  if (listener->dialect)
    config_api_free(&listener->config_api);
}
