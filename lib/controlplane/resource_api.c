/** The operators' API for resources; see resource_api.h. */
#include "resource_api.h"
#include "api_error.h"
#include "config_change.h"
#include "operation_pack.h"
#include "request_forwarding.h"
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>

enum {
  /** Longest wait for the commit of a write, in ms. */
  WRITE_TIMEOUT_MS = 5000,
  /** Longest wait for a committed write to be in force (version_reports.h), in ms. */
  IN_FORCE_TIMEOUT_MS = 4000,
  /** Longest time that a read waits for a later version (?after=N), in ms. */
  WATCH_TIMEOUT_MS = 20000,
  /** Longest idempotency key, in bytes; see idempotency_record. */
  IDEMPOTENCY_KEY_MAX = 79,
  /** Number of query parameters that are examined; only one is defined. */
  QUERY_PARAMETERS_MAX = 8
};

static_assert(IDEMPOTENCY_KEY_MAX < sizeof(((idempotency_record *)NULL)->key),
              "an idempotency record has space for the longest key");

/** A write that is being served. */
typedef struct resource_write {
  const http_request *request;
  enum resource_kind resource;
  /** The version that the write may replace, unless accepts_any_version is set. */
  uint64_t expected_version;
  bool accepts_any_version;
  /** Belongs to the request; NULL when it has none. */
  const char *idempotency_key;
  /** Hash of method, resource and body, to compare requests that have the same key. */
  uint64_t request_hash;
  /** A request with the same key was written earlier, as write first_seq. */
  bool is_repeat;
  uint64_t first_seq;
} resource_write;

static string_view resource_text(const state *state, enum resource_kind resource) {
  return string_view_of_gstring(state->resources[resource].text);
}

/* Checks that a routing configuration compiles; an empty one is allowed. */
static enum error_code check_routing(string_view text, error *err) {
  json *value = json_parse(text, err);
  if (!value)
    return err->code;
  enum error_code code = OK;
  if (json_count(value)) {
    routing *compiled = routing_compile(value, err);
    code = compiled ? OK : err->code;
    routing_unref(compiled);
  }
  json_free(value);
  return code;
}

/* Checks that a canary trial may replace the current one. */
static enum error_code check_canary(const state *ordered, string_view text, error *err) {
  json *current = json_parse(resource_text(ordered, RESOURCE_CANARY), err);
  json *next = json_parse(text, err);
  enum error_code code = current && next ? canary_check_successor(current, next, err) : err->code;
  json_free(current);
  json_free(next);
  return code;
}

/* Checks a resource's new text by its own rules and against all other resources. */
static enum error_code check_text(const state *ordered, enum resource_kind resource,
                                  string_view text, error *err) {
  if (text.length > RESOURCE_BYTES_MAX)
    return error_set(err, E_TOO_LARGE, "%zu bytes; a resource may hold %d", text.length,
                     RESOURCE_BYTES_MAX);
  config *config = state_compile_config(ordered, resource, &text, err);
  if (!config)
    return err->code;
  config_free(config);
  if (resource == RESOURCE_ROUTING)
    return check_routing(text, err);
  if (resource == RESOURCE_CANARY)
    return check_canary(ordered, text, err);
  return OK;
}

/* Applies a patch to a resource: a JSON merge patch, or for routing one of routing_patch, which
 * names items to set and drop. Returns NULL and sets `err` when it can't be applied. The caller
 * frees the result. */
static json *apply_patch(const state *ordered, enum resource_kind resource, const json *patch,
                         error *err) {
  json *current = json_parse(resource_text(ordered, resource), err);
  if (!current)
    return NULL;
  if (resource != RESOURCE_ROUTING)
    return json_merge(current, patch);
  json *next = routing_patch(current, patch, err);
  json_free(current);
  return next;
}

/* Returns the new value of the resource. Returns NULL and sets `err` when the request's body is not
 * JSON or can't be applied. The caller frees the result. */
static json *requested_value(const resource_write *write, const state *ordered, error *err) {
  json *body = json_parse(string_view_of_gstring(write->request->body), err);
  if (!body || strcmp(write->request->method, "PATCH"))
    return body;
  json *next = apply_patch(ordered, write->resource, body, err);
  json_free(body);
  return next;
}

/* Looks for an earlier write with the same idempotency key. */
static enum error_code find_repeat(resource_write *write, const state *ordered, error *err) {
  if (!write->idempotency_key)
    return OK;
  const idempotency_record *record = state_find_idempotency_record(ordered, write->idempotency_key);
  if (!record)
    return OK;
  if (record->hash != write->request_hash)
    return error_set(err, E_IDEMPOTENCY_KEY,
                     "this idempotency key came before with another request");
  write->is_repeat = true;
  write->first_seq = record->seq;
  return OK;
}

/* Checks that the version of the routing increases: gateways accept only higher versions. */
static enum error_code check_routing_version(const state *ordered, const json *value, error *err) {
  if (!json_count(value))
    return OK;
  uint64_t current = config_change_version(resource_text(ordered, RESOURCE_ROUTING));
  return routing_check_successor(value, current, err);
}

static void pack_write(const resource_write *write, string_view text, GString *packed) {
  Wire__Operation operation = WIRE__OPERATION__INIT;
  if (write->idempotency_key) {
    operation.idempotency_key = (char *)write->idempotency_key;
    operation.request_hash = write->request_hash;
  }
  operation_pack_resource(&operation, write->resource, text, packed);
}

/* An operation_builder: checks a write; a repeat writes nothing. */
static enum error_code build_write(void *ctx, state *ordered, GString *packed, error *err) {
  resource_write *write = ctx;
  enum error_code code = find_repeat(write, ordered, err);
  if (code || write->is_repeat)
    return code;
  uint64_t current = ordered->resources[write->resource].version;
  if (!write->accepts_any_version && write->expected_version != current)
    return error_set(err, E_VERSION_CONFLICT, "the version is %" PRIu64 ", not %" PRIu64, current,
                     write->expected_version);
  json *value = requested_value(write, ordered, err);
  if (!value)
    return err->code;
  if (write->resource == RESOURCE_ROUTING)
    code = check_routing_version(ordered, value, err);
  GString *text = g_string_new(NULL);
  json_write(value, text);
  json_free(value);
  if (!code)
    code = check_text(ordered, write->resource, string_view_of_gstring(text), err);
  if (!code)
    pack_write(write, string_view_of_gstring(text), packed);
  g_string_free(text, TRUE);
  return code;
}

/* Reads the header fields of a write. */
static enum error_code read_write_fields(resource_write *write, error *err) {
  const http_headers *fields = &write->request->known_fields;
  const char *key = fields->values[HEADER_IDEMPOTENCY_KEY];
  if (key && (strlen(key) > IDEMPOTENCY_KEY_MAX || !key[0]))
    return error_set(err, E_IDEMPOTENCY_KEY, "an idempotency key has 1 to 79 bytes");
  write->idempotency_key = key;
  const char *expected = fields->values[HEADER_IF_MATCH];
  write->accepts_any_version = !expected || !strcmp(expected, "*");
  if (write->accepts_any_version)
    return OK;
  char *end;
  write->expected_version = strtoull(expected[0] == '"' ? expected + 1 : expected, &end, 10);
  if (*end && *end != '"')
    return error_set(err, E_IF_MATCH, "If-Match takes a version as GET gives it");
  return OK;
}

/* Waits until an earlier write is committed. */
static enum error_code wait_committed(resource_api *api, uint64_t seq, error *err) {
  world *world = api->node->world;
  const replica *replica = api->replica;
  time_us deadline = time_add(world_now(world), time_from_ms(WRITE_TIMEOUT_MS));
  while (replica->committed.seq < seq)
    if (condition_wait(&world->tasks, &api->replica->state_changed, deadline) != WAKE_SIGNALLED)
      break;
  if (replica->committed.seq < seq)
    return error_set(err, E_OUTCOME_UNKNOWN, "the first try of this write is not confirmed yet");
  return OK;
}

/* Performs a write, and waits until it, or the earlier write that it repeats, is in force. */
static enum error_code perform_write(resource_api *api, resource_write *write, uint64_t *seq,
                                     error *err) {
  enum error_code code =
      replica_write(api->replica, build_write, write, time_from_ms(WRITE_TIMEOUT_MS), seq, err);
  if (!code && write->is_repeat) {
    *seq = write->first_seq;
    code = wait_committed(api, *seq, err);
  }
  if (code)
    return code;
  time_us deadline = time_add(world_now(api->node->world), time_from_ms(IN_FORCE_TIMEOUT_MS));
  return version_reports_wait(api->version_reports, *seq, deadline, err);
}

static void set_etag(http_request *request, uint64_t version) {
  char text[32];
  snprintf(text, sizeof text, "%" PRIu64, version);
  http_headers_set(&request->known_response_fields, HEADER_ETAG, text);
}

/* Forwards a write to the head, or refuses it when there is no other head. */
static void forward_write(resource_api *api, http_request *request) {
  const member *head = replica_head(api->replica);
  if (request_was_forwarded(request) || !head || replica_chain_index(api->replica) == 0) {
    api_error_respond(request, E_NO_CONTROLLER,
                      "no acting head is known here; nothing was written");
    return;
  }
  request_forward(api->node, request, head->address, FORWARDED_WRITE);
}

static void respond_to_write(resource_api *api, http_request *request, const resource_write *write,
                             uint64_t seq) {
  log_info(&api->node->log, "api", "%s of %s from %s is write %" PRIu64 " in view %" PRIu64 "%s.",
           request->method, resource_names[write->resource], request->client_address, seq,
           api->replica->view.epoch, write->is_repeat ? ", repeated" : "");
  set_etag(request, seq);
  char body[96];
  snprintf(body, sizeof body, "{\"version\":%" PRIu64 ",\"repeated\":%s}\n", seq,
           write->is_repeat ? "true" : "false");
  http_request_respond(request, HTTP_OK, "application/json", string_view_of(body));
}

/* Serves PUT and PATCH. */
static void serve_write(resource_api *api, http_request *request, enum resource_kind resource) {
  if (!replica_is_acting_head(api->replica)) {
    forward_write(api, request);
    return;
  }
  error err = { 0 };
  resource_write write = { .request = request, .resource = resource };
  enum error_code code = read_write_fields(&write, &err);
  if (code) {
    api_error_respond(request, code, err.text);
    return;
  }
  write.request_hash = hash_bytes(request->body->str, request->body->len,
                                  hash_two_names(request->method, resource_names[resource]));
  uint64_t seq = 0;
  code = perform_write(api, &write, &seq, &err);
  if (code) {
    api->writes_refused++;
    log_info(&api->node->log, "api", "Refused a write of %s from %s: %s (code %d).",
             resource_names[resource], request->client_address, err.text, code);
    api_error_respond(request, code, err.text);
    return;
  }
  respond_to_write(api, request, &write, seq);
}

/* Finds the parameter after=N of a read. Returns false when there is none. */
static bool parse_after_parameter(const http_request *request, uint64_t *after) {
  static const char prefix[] = "after=";
  bool is_found = false;
  char **parameters = g_strsplit(request->query, "&", QUERY_PARAMETERS_MAX);
  for (char **parameter = parameters; *parameter; parameter++)
    if (g_str_has_prefix(*parameter, prefix)) {
      *after = strtoull(*parameter + strlen(prefix), NULL, 10);
      is_found = true;
    }
  g_strfreev(parameters);
  return is_found;
}

/* Waits for a version above `after`. Otherwise responds and returns false: no such version came in
 * time, or this replica can't tell whether its state is recent. */
static bool wait_later_version(resource_api *api, http_request *request,
                               enum resource_kind resource, uint64_t after) {
  world *world = api->node->world;
  replica *replica = api->replica;
  time_us deadline = time_add(world_now(world), time_from_ms(WATCH_TIMEOUT_MS));
  while (replica->committed.resources[resource].version <= after && !request->client_gone)
    if (condition_wait(&world->tasks, &replica->state_changed, deadline) != WAKE_SIGNALLED)
      break;
  if (replica->committed.resources[resource].version <= after) {
    http_request_respond(request, HTTP_NOT_MODIFIED, NULL, string_view_of(""));
    return false;
  }
  if (!replica_holds_lease(replica)) {
    api_error_respond(request, E_NO_MEMBER_LEASE,
                      "this controller cannot tell how recent its state is");
    return false;
  }
  return true;
}

/* Forwards a read to the tail, or refuses it when there is no other tail. */
static void forward_read(resource_api *api, http_request *request) {
  const member *tail = replica_tail(api->replica);
  if (request_was_forwarded(request) || !tail || id_equal(tail->self, api->node->settings.self)) {
    api_error_respond(request, E_NO_MEMBER_LEASE, "no acting tail is known here");
    return;
  }
  request_forward(api->node, request, tail->address, FORWARDED_READ);
}

static void respond_with_resource(resource_api *api, http_request *request,
                                  enum resource_kind resource) {
  const state *committed = &api->replica->committed;
  uint64_t version = committed->resources[resource].version;
  GString *body = g_string_new(NULL);
  json_appendf(body, "{\"version\":%" PRIu64 ",\"value\":", version);
  g_string_append(body, committed->resources[resource].text->str);
  g_string_append(body, "}\n");
  set_etag(request, version);
  http_request_respond(request, HTTP_OK, "application/json", string_view_of_gstring(body));
  g_string_free(body, TRUE);
}

/* Serves GET. */
static void serve_read(resource_api *api, http_request *request, enum resource_kind resource) {
  uint64_t after = 0;
  if (parse_after_parameter(request, &after)) {
    if (!wait_later_version(api, request, resource, after))
      return;
  } else if (!replica_is_acting_tail(api->replica)) {
    forward_read(api, request);
    return;
  }
  respond_with_resource(api, request, resource);
}

void resource_api_init(resource_api *api, node *node, replica *replica,
                       version_reports *version_reports) {
  api->node = node;
  api->replica = replica;
  api->version_reports = version_reports;
}

void resource_api_serve(resource_api *api, http_request *request, enum resource_kind resource) {
  if (!strcmp(request->method, "GET"))
    serve_read(api, request, resource);
  else if (!strcmp(request->method, "PUT") || !strcmp(request->method, "PATCH"))
    serve_write(api, request, resource);
  else
    http_request_respond_error(request, HTTP_METHOD_NOT_ALLOWED, E_METHOD_NOT_ALLOWED,
                               "GET, PUT or PATCH");
}
