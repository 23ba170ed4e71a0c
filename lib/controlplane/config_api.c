/** The API for the gateways' routing configuration at the control listener; see config_api.h. */
#include "config_api.h"
#include "control_response.h"
#include <stdio.h>

enum {
  /** Longest wait for a controller that may serve the request, in ms: a response is promised within
   * one second, and deciding on a write takes part of it. */
  FIND_CONTROLLER_TIMEOUT_MS = 600,
  /** How often this is checked, in ms, since changes of leases and membership are not broadcast. */
  FIND_CONTROLLER_INTERVAL_MS = 50
};

/** The role in the chain, head or tail, that serves a request. */
typedef struct chain_role {
  /** Returns whether this controller acts in the role. */
  bool (*is_acting)(replica *replica);
  /** Returns the member that is known to have the role, or NULL. */
  const member *(*find)(const replica *replica);
} chain_role;

static const chain_role head_role = { replica_is_acting_head, replica_head };
static const chain_role tail_role = { replica_is_acting_tail, replica_tail };

/* Redirects a caller to another controller. */
static void redirect(const config_api *api, http_request *request, const member *to) {
  char ip[48];
  const char *colon = strrchr(to->address, ':');
  g_strlcpy(ip, to->address, MIN(sizeof ip, (size_t)(colon - to->address) + 1));
  fields_add_format(control_response_fields(request), "Location", "http://%s:%d%s", ip,
                    api->listener->port, request->target ? request->target : request->path);
  http_request_respond(request, HTTP_TEMPORARY_REDIRECT, NULL, string_view_of(""));
}

/* True unless another controller is known to be gone or draining. */
static bool may_serve(const config_api *api, const member *member) {
  const peer_node *peer = peer_table_find(api->node, member->self);
  return !peer || (!peer->gone && !peer->draining);
}

/* Returns true once this controller acts in a role. Otherwise responds and returns false: it
 * redirects the caller to the member with the role, or refuses the request after
 * FIND_CONTROLLER_TIMEOUT_MS. */
static bool await_role_or_redirect(config_api *api, http_request *request, time_us received_at,
                                   const chain_role *role) {
  world *world = api->node->world;
  replica *replica = api->replica;
  time_us deadline = time_add(received_at, time_from_ms(FIND_CONTROLLER_TIMEOUT_MS));
  for (;;) {
    if (replica->running && role->is_acting(replica))
      return true;
    const member *member = replica->running ? role->find(replica) : NULL;
    bool is_other = member && !id_equal(member->self, api->node->settings.self);
    if (is_other && may_serve(api, member)) {
      redirect(api, request, member);
      return false;
    }
    /* the holder of the role may soon be able to act, or be replaced */
    time_us recheck = time_add(world_now(world), time_from_ms(FIND_CONTROLLER_INTERVAL_MS));
    if (time_reached(world_now(world), deadline) || request->client_gone ||
        condition_wait(&world->tasks, &replica->state_changed,
                       recheck.us < deadline.us ? recheck : deadline) == WAKE_STOPPED)
      break;
  }
  control_respond_error(api->dialect, request, E_NO_CONTROLLER,
                        "no acting controller is known here; nothing was written");
  return false;
}

static void refuse_write(config_api *api, http_request *request, const config_write *write,
                         const error *err) {
  api->writes_refused++;
  log_info(&api->node->log, "control",
           "Refused configuration %" PRIu64 " based on %" PRIu64 " from %s: %s (code %d).",
           write ? write->version : 0, write ? write->base_version : 0, request->client_address,
           err->text, err->code);
  control_respond_error(api->dialect, request, err->code, err->text);
}

static void accept_write(config_api *api, http_request *request, const config_write *write) {
  log_info(&api->node->log, "control",
           "Configuration %" PRIu64 " based on %" PRIu64 " from %s is write %" PRIu64 "%s.",
           write->version, write->base_version, request->client_address, write->seq,
           write->was_accepted_before ? ", repeated" : "");
  char body[48];
  snprintf(body, sizeof body, "{\"version\":%" PRIu64 "}", write->version);
  control_respond_json(api->dialect, request, HTTP_OK, string_view_of(body));
}

/* Writes a change and responds with the outcome. */
static void write_and_respond(config_api *api, http_request *request,
                              const config_write_request *change) {
  error err = { 0 };
  config_write *write = config_writer_start(&api->writer, change, &err);
  if (!write) {
    refuse_write(api, request, NULL, &err);
    return;
  }
  time_us deadline = time_add(change->received_at, time_from_ms(CONFIG_RESPONSE_TIMEOUT_MS));
  if (config_write_wait(write, deadline, &err))
    refuse_write(api, request, write, &err);
  else
    accept_write(api, request, write);
  config_write_unref(write);
}

void config_api_serve_write(config_api *api, http_request *request, bool is_full,
                            time_us received_at) {
  if (!await_role_or_redirect(api, request, received_at, &head_role))
    return;
  int64_t base =
      fields_get_number(request->fields, api->dialect->header_names[DF_BASE_VERSION], -1);
  if (base < 0) {
    control_respond_error(api->dialect, request, E_IF_MATCH,
                          "the version that it builds on is missing, or is no number");
    return;
  }
  if (request->body->len > RESOURCE_BYTES_MAX) {
    control_respond_error(api->dialect, request, E_TOO_LARGE, "too large");
    return;
  }
  config_write_request change = { .is_full = is_full,
                                  .base_version = (uint64_t)base,
                                  .body = string_view_of_gstring(request->body),
                                  .received_at = received_at };
  write_and_respond(api, request, &change);
}

/* Updates the cached text to the committed configuration. Returns false when there is none. */
static bool refresh_cached_text(config_api *api) {
  const state *committed = &api->replica->committed;
  uint64_t version = committed->resources[RESOURCE_ROUTING].version;
  if (!version)
    return false;
  if (api->cached_text && api->cached_version == version)
    return true;
  error err = { 0 };
  json *value =
      json_parse(string_view_of_gstring(committed->resources[RESOURCE_ROUTING].text), &err);
  if (!value || !json_get(value, "version")) {
    json_free(value);
    return false;
  }
  dialect_translate_out(api->dialect, value);
  if (!api->cached_text)
    api->cached_text = g_string_new(NULL);
  g_string_truncate(api->cached_text, 0);
  json_write(value, api->cached_text);
  json_free(value);
  api->cached_version = version;
  return true;
}

void config_api_serve_read(config_api *api, http_request *request, time_us received_at) {
  if (!await_role_or_redirect(api, request, received_at, &tail_role))
    return;
  if (refresh_cached_text(api))
    http_request_respond(request, HTTP_OK, "application/json",
                         string_view_of_gstring(api->cached_text));
  else
    control_respond_error(api->dialect, request, E_NOT_FOUND, "there is no configuration yet");
}

void config_api_init(config_api *api, node *node, replica *replica,
                     version_reports *version_reports, const dialect *dialect,
                     const http_listener *listener) {
  api->node = node;
  api->replica = replica;
  api->dialect = dialect;
  api->listener = listener;
  config_writer_init(&api->writer, node, replica, version_reports, dialect);
}

void config_api_free(config_api *api) {
  config_writer_free(&api->writer);
  if (api->cached_text)
    g_string_free(api->cached_text, TRUE);
}
