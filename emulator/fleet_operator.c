/** @file
 * Each call is a task of the operator's process. A put is sent again, with the same idempotency
 * key, until a controller accepts or rejects it. */
#include "fleet.h"
#include <stdio.h>

enum {
  /** Timeout of a call, and of the wait for each attempt of a put. */
  CALL_TIMEOUT_MS = 25000,
  PUT_TIMEOUT_MS = 26000,
  PUT_ATTEMPTS = 30,
  /** Delay before the next attempt when the controller was down, or did not accept the put. */
  CONTROLLER_DOWN_RETRY_MS = 50,
  PUT_RETRY_MS = 300
};

static const char API_PREFIX[] = "/v1/";

/* returns the number of the resource at a path, or -1 */
static int resource_of_path(const char *path) {
  if (!g_str_has_prefix(path, API_PREFIX))
    return -1;
  for (int i = 0; i < RESOURCE_COUNT; i++)
    if (!strcmp(resource_names[i], path + strlen(API_PREFIX)))
      return i;
  return -1;
}

static operator_write *record_write(fleet *fleet, const operator_call *call) {
  operator_write *write = g_new0(operator_write, 1);
  write->sent_at = fleet->sim->now;
  write->resource = resource_of_path(call->path);
  write->patch = !strcmp(call->method, "PATCH");
  write->text = g_strdup(call->text);
  if (call->idempotency_key)
    g_strlcpy(write->idempotency_key, call->idempotency_key, sizeof write->idempotency_key);
  g_ptr_array_add(fleet->writes, write);
  return write;
}

static void record_response(const operator_call *call) {
  operator_write *write = call->write;
  write->ended_at = call->ended_at;
  write->status = call->status;
  write->version = call->version;
  if (call->status != 200 || write->resource < 0)
    return;
  write_ack ack = { call->version, write->resource, call->ended_at };
  g_array_append_val(call->fleet->write_acks, ack);
}

static void fetch(operator_call *call) {
  http_headers headers = { { 0 } };
  error err = { 0 };
  http_headers_set(&headers, HEADER_CONTENT_TYPE, "application/json");
  if (call->if_match)
    http_headers_set(&headers, HEADER_IF_MATCH, call->if_match);
  if (call->idempotency_key)
    http_headers_set(&headers, HEADER_IDEMPOTENCY_KEY, call->idempotency_key);
  call->status = http_call_fetch(&call->host->world, call->addr, call->method, call->path, &headers,
                                 string_view_of(call->text ? call->text : ""), call->body,
                                 time_from_ms(CALL_TIMEOUT_MS), &err);
  if (!call->status)
    call->status = -err.code;
  http_headers_free(&headers);
}

static void call_task(void *argument) {
  operator_call *call = argument;
  fetch(call);
  json *response = json_parse(string_view_of_gstring(call->body), NULL);
  call->version = (uint64_t)json_number(response, "version", 0);
  json_free(response);
  call->ended_at = call->host->sim->now;
  call->done = true;
  if (call->write)
    record_response(call);
  if (call->self_freeing)
    operator_call_free(call);
}

operator_call *fleet_send(fleet *fleet, host *to, const char *method, const char *path,
                          const char *text, const char *match, const char *key) {
  operator_call *call = g_new0(operator_call, 1);
  call->body = g_string_new(NULL);
  call->method = g_strdup(method);
  call->path = g_strdup(path);
  call->text = g_strdup(text);
  call->if_match = g_strdup(match);
  call->idempotency_key = g_strdup(key);
  call->host = fleet->operator;
  call->fleet = fleet;
  if (strcmp(method, "GET"))
    call->write = record_write(fleet, call);
  g_strlcpy(call->addr, to->addr, sizeof call->addr);
  task_start(&fleet->operator->world.tasks, "call", call_task, call);
  return call;
}

void operator_call_free(operator_call *call) {
  g_string_free(call->body, TRUE);
  g_free(call->method);
  g_free(call->path);
  g_free(call->text);
  g_free(call->if_match);
  g_free(call->idempotency_key);
  g_free(call);
}

static bool is_done(sim *sim, void *call) {
  (void)sim;
  return ((operator_call *)call)->done;
}

operator_call *fleet_call(fleet *fleet, host *to, const char *method, const char *path,
                          const char *text, const char *match, const char *key, time_us timeout) {
  operator_call *call = fleet_send(fleet, to, method, path, text, match, key);
  sim_run_until(fleet->sim, is_done, call, timeout);
  return call;
}

/* makes one attempt of a put; returns the status and sets the version */
static int put_once(fleet *fleet, host *controller, const char *path, const char *text,
                    const char *key, uint64_t *version) {
  operator_call *call =
      fleet_call(fleet, controller, "PUT", path, text, NULL, key, time_from_ms(PUT_TIMEOUT_MS));
  int status = call->status;
  *version = call->version;
  if (status == 400)
    fprintf(stderr, "the controller rejected the put: %s\n", call->body->str);
  operator_call_free(call);
  return status;
}

uint64_t fleet_put(fleet *fleet, const char *resource, const char *text) {
  char path[40], key[40];
  snprintf(path, sizeof path, "%s%s", API_PREFIX, resource);
  snprintf(key, sizeof key, "k-%" PRIu64, sim_random(fleet->sim, UINT64_MAX));
  for (int i = 0; i < PUT_ATTEMPTS; i++) {
    host *controller = fleet->controller[sim_random(fleet->sim, fleet->controllers)];
    if (!controller->alive || controller->frozen) {
      sim_run(fleet->sim, time_from_ms(CONTROLLER_DOWN_RETRY_MS));
      continue;
    }
    uint64_t version;
    int status = put_once(fleet, controller, path, text, key, &version);
    if (status == 200)
      return version;
    if (status == 400)
      return 0;
    sim_run(fleet->sim, time_from_ms(PUT_RETRY_MS));
  }
  return 0;
}
