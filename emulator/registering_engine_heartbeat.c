/** Heartbeats: builds the body with the engine's state, and tries control listeners one after
 * another until one accepts it. */
#include "registering_engine_sim.h"

enum {
  ATTEMPT_TIMEOUT_MS = 1000,
  FIRST_HEARTBEAT_MAX_MS = 200, /* the first heartbeat is sent after a random delay up to this */
  RESPONSE_MAX_BYTES = 4096,
};

static void append_body(registering_engine_sim *engine, GString *to) {
  const registering_engine_plan *plan = engine->plan;
  json_appendf(
      to,
      "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"%s\",\"slots\":%u,\"state\":\"%s\",\"coldMs\":0,\"phase\":\"both\",\"models\":",
      plan->service.text, engine->address, plan->area.text, plan->version.text, plan->slots,
      engine->draining ? "leaving" : "ready");
  engine_models_append_json(engine, to);
  if (engine->draining && engine->drain_notice_ms) {
    int64_t left_ms = (engine->drain_ends_at.us - world_now(engine->world).us) / 1000;
    json_appendf(to, ",\"leavesMs\":%" PRId64, MAX(0, left_ms));
  }
  json_appendf(to, ",\"count\":%" PRIu64 "}", ++engine->heartbeat.sequence);
}

static void read_next_address(engine_heartbeat_state *state, const GString *response) {
  json *body = json_parse(string_view_of_gstring(response), NULL);
  const char *next = json_text(body, "beatTo", "");
  if (next[0])
    g_strlcpy(state->next_address, next, sizeof state->next_address);
  json_free(body);
}

/* the path of a call, with the engine's id in place of {}; the caller frees it */
static char *path_for_engine(const dialect *dialect, enum dialect_call call,
                             const char *engine_id) {
  const char *path = dialect->calls[call].path;
  const char *placeholder = strstr(path, "{}");
  if (!placeholder)
    return g_strdup(path);
  return g_strdup_printf("%.*s%s%s", (int)(placeholder - path), path, engine_id,
                         placeholder + strlen("{}"));
}

/* one attempt at one control listener */
static bool attempt_call(registering_engine_sim *engine, const char *address,
                         enum dialect_call call, string_view body) {
  const dialect *dialect = engine->plan->dialect;
  engine_heartbeat_state *state = &engine->heartbeat;
  GString *response = g_string_new(NULL);
  char *path = path_for_engine(dialect, call, engine->self.text);
  http_headers headers = { { 0 } };
  http_headers_set(&headers, HEADER_CONTENT_TYPE, "application/json");
  int status = http_call_fetch(engine->world, address, dialect->calls[call].method, path, &headers,
                               body, response, time_from_ms(ATTEMPT_TIMEOUT_MS), NULL);
  bool accepted = status >= 200 && status < 300 && response->len <= RESPONSE_MAX_BYTES;
  engine->plan->log->heartbeats++;
  if (accepted) {
    read_next_address(state, response);
  } else {
    engine->plan->log->heartbeats_failed++;
    state->next_address[0] = 0;
  }
  http_headers_free(&headers);
  g_free(path);
  g_string_free(response, TRUE);
  return accepted;
}

/* tries the named address, then each control listener once, starting with a random one */
static bool call_controllers(registering_engine_sim *engine, enum dialect_call call) {
  const GPtrArray *controllers = engine->plan->controllers;
  GString *body = g_string_new(NULL);
  append_body(engine, body);
  string_view view = string_view_of_gstring(body);
  size_t first = controllers->len ? world_random(engine->world, controllers->len) : 0;
  char named[sizeof engine->heartbeat.next_address];
  g_strlcpy(named, engine->heartbeat.next_address, sizeof named);
  bool accepted =
      named[0] && !engine->world->tasks.stopped && attempt_call(engine, named, call, view);
  for (size_t i = 1; !accepted && i <= controllers->len && !engine->world->tasks.stopped; i++)
    accepted = attempt_call(engine, controllers->pdata[(first + i) % controllers->len], call, view);
  g_string_free(body, TRUE);
  return accepted;
}

bool engine_heartbeat_send(registering_engine_sim *engine) {
  return call_controllers(engine, DC_HEARTBEAT);
}

bool engine_heartbeat_sign_off(registering_engine_sim *engine) {
  return call_controllers(engine, DC_SIGN_OFF);
}

static void heartbeat_once(registering_engine_sim *engine) {
  /* the acknowledgement of the drain counts only if this heartbeat's body announced it */
  bool announced_drain = engine->draining;
  if (engine->plan->faults.no_heartbeats || !engine_heartbeat_send(engine))
    return;
  if (announced_drain && !engine->stop_record->acked_at.us)
    engine->stop_record->acked_at = world_now(engine->world);
}

static void heartbeat_run(void *context) {
  registering_engine_sim *engine = context;
  int64_t period_ms = engine->plan->heartbeat_ms;
  uint64_t max_delay_ms = (uint64_t)MIN(period_ms, FIRST_HEARTBEAT_MAX_MS);
  int64_t delay_ms = (int64_t)world_random(engine->world, max_delay_ms + 1);
  world_sleep(engine->world, time_from_ms(delay_ms));
  while (!engine->world->tasks.stopped) {
    heartbeat_once(engine);
    if (!world_sleep(engine->world, time_from_ms(engine->plan->heartbeat_ms)))
      break;
  }
}

void engine_heartbeat_start(registering_engine_sim *engine) {
  task_start(&engine->world->tasks, "beats", heartbeat_run, engine);
}
