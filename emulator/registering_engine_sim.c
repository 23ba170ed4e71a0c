/** Lifecycle of a registering engine: start, requests to its listener, graceful shutdown, end. */
#include "registering_engine_sim.h"
#include <stdio.h>

enum {
  UNRESPONSIVE_WAIT_MS = 60000,
  HEADER_MAX_BYTES = 64 << 10,
  BODY_MAX_BYTES = 8 << 20,
  HEADER_TIMEOUT_MS = 10000,
  DRAIN_ANNOUNCE_ATTEMPTS = 8,
  DRAIN_ANNOUNCE_RETRY_MS = 200,
  DRAIN_UNACKED_MS = 6000, /* time to wait when no controller acknowledged the drain */
  DRAIN_MARGIN_MS = 300,   /* added to the wait, for requests in transit */
  DRAIN_POLL_MS = 100,     /* how often it checks whether its runs have ended */
  DRAIN_POLLS_MAX = 100,
};

bool registering_engine_sim_has_loaded(registering_engine_sim *engine, id model, id adapter) {
  const loaded_model *found = engine_models_find(engine, model);
  return found && found->loaded && !found->unloading &&
         (id_is_empty(adapter) || g_hash_table_contains(found->adapters, adapter.text));
}

bool registering_engine_is_addressed(const registering_engine_sim *engine, http_request *request) {
  const char *name = engine->plan->dialect->header_names[DF_EXPECT_ENGINE];
  string_view expected;
  if (!fields_get(request->fields, name, &expected))
    return true;
  return string_view_equal(expected, string_view_of(engine->self.text));
}

static void respond_health_check(registering_engine_sim *engine, http_request *request) {
  const char *name = engine->plan->dialect->header_names[DF_ENGINE_ID];
  bool is_busy = engine->draining || engine->batch.busy_slots >= engine->plan->slots;
  engine->plan->log->health_checks++;
  fields_add(request->response_fields, name, string_view_of(engine->self.text));
  http_request_respond(request, is_busy ? 503 : 200, "text/plain", string_view_of(""));
}

static void serve_report(registering_engine_sim *engine, http_request *request) {
  if (engine->plan->faults.unresponsive)
    engine_response_withhold(engine, request, UNRESPONSIVE_WAIT_MS);
  else
    engine_report_respond(engine, request);
}

static bool is_call(const registering_engine_sim *engine, const http_request *request,
                    enum dialect_call call) {
  return dialect_matches_call(engine->plan->dialect, call, request->method, request->path, NULL);
}

static void serve(void *context, http_request *request) {
  registering_engine_sim *engine = context;
  if (!strcmp(request->path, "/health"))
    respond_health_check(engine, request);
  else if (is_call(engine, request, DC_REPORT))
    serve_report(engine, request);
  else if (is_call(engine, request, DC_ENGINE_ORDER))
    engine_orders_serve(engine, request);
  else
    engine_requests_serve(engine, request);
}

/* sends heartbeats until one that announces the drain is acknowledged; false when the engine stops
 */
static bool announce_drain(registering_engine_sim *engine) {
  engine_stop_record *record = engine->stop_record;
  for (int i = 0; i < DRAIN_ANNOUNCE_ATTEMPTS; i++) {
    if (record->acked_at.us || engine->world->tasks.stopped)
      break;
    if (engine_heartbeat_send(engine)) {
      record->acked_at = world_now(engine->world);
      break;
    }
    if (!world_sleep(engine->world, time_from_ms(DRAIN_ANNOUNCE_RETRY_MS)))
      return false;
  }
  return true;
}

/* keeps running until the announced end; false when the engine stops */
static bool wait_for_notice(registering_engine_sim *engine) {
  time_us remaining = time_sub(engine->drain_ends_at, world_now(engine->world));
  return remaining.us <= 0 || world_sleep(engine->world, remaining);
}

/* waits until no more requests are expected and none is running, for DRAIN_POLLS_MAX polls at most;
 * false when the engine stops */
static bool wait_for_drain(registering_engine_sim *engine) {
  bool is_acked = engine->stop_record->acked_at.us != 0;
  int64_t wait_ms = (is_acked ? engine->plan->drain_ms : DRAIN_UNACKED_MS) + DRAIN_MARGIN_MS;
  if (!world_sleep(engine->world, time_from_ms(wait_ms)))
    return false;
  for (int i = 0; i < DRAIN_POLLS_MAX && engine->batch.busy_slots; i++)
    if (!world_sleep(engine->world, time_from_ms(DRAIN_POLL_MS)))
      return false;
  return true;
}

static void sign_off(registering_engine_sim *engine) {
  if (!engine->plan->faults.no_sign_off && engine_heartbeat_sign_off(engine))
    engine->stop_record->signed_off_at = world_now(engine->world);
}

static void drain_run(void *context) {
  registering_engine_sim *engine = context;
  bool with_notice = engine->drain_notice_ms != 0;
  if (!announce_drain(engine))
    return;
  if (!(with_notice ? wait_for_notice(engine) : wait_for_drain(engine)))
    return;
  if (!with_notice)
    sign_off(engine);
  if (!engine->world->tasks.stopped && engine->stop)
    engine->stop(engine->context, false);
}

void registering_engine_sim_drain(registering_engine_sim *engine, int64_t notice_ms) {
  if (engine->draining)
    return;
  engine->draining = true;
  engine->listener.draining = true;
  engine->drain_notice_ms = notice_ms;
  engine->drain_ends_at = time_add(world_now(engine->world), time_from_ms(notice_ms));
  engine->stop_record->announced_at = world_now(engine->world);
  engine->stop_record->drain_notice_ms = notice_ms;
  task_start(&engine->world->tasks, "leave", drain_run, engine);
}

static void init_identity(registering_engine_sim *engine) {
  const registering_engine_plan *plan = engine->plan;
  char name[48];
  uint64_t random = engine->world->random(engine->world);
  snprintf(name, sizeof name, "e-%08" PRIx64, random & 0xffffffff);
  engine->self = id_of_text(name);
  snprintf(engine->address, sizeof engine->address, "%s:%d", plan->ip, plan->port);
}

static enum error_code open_listener(registering_engine_sim *engine, error *err) {
  const registering_engine_plan *plan = engine->plan;
  engine->listener = (http_listener){ .port = plan->port,
                                      .serve = serve,
                                      .serve_context = engine,
                                      .header_max_bytes = HEADER_MAX_BYTES,
                                      .body_max_bytes = BODY_MAX_BYTES,
                                      .header_timeout_ms = HEADER_TIMEOUT_MS,
                                      .idle_timeout_ms = plan->idle_timeout_ms,
                                      .connections_max = plan->connections_max };
  g_strlcpy(engine->listener.ip, plan->ip, sizeof engine->listener.ip);
  return engine->world->listener_open(engine->world, &engine->listener, err);
}

static engine_stop_record *add_stop_record(const registering_engine_sim *engine) {
  engine_stop_record *record = g_new0(engine_stop_record, 1);
  record->engine = engine->self;
  record->service = engine->plan->service;
  g_ptr_array_add(engine->plan->log->stops, record);
  return record;
}

static void load_initial_models(registering_engine_sim *engine) {
  const GPtrArray *names = engine->plan->initial_models;
  for (guint i = 0; names && i < names->len; i++) {
    loaded_model *model = engine_models_add(engine, id_of_text(names->pdata[i]));
    model->loaded = true;
    g_hash_table_add(engine->plan->models_on_disk, g_strdup(model->model.text));
  }
}

registering_engine_sim *registering_engine_sim_new(world *world, registering_engine_plan *plan,
                                                   error *err) {
  registering_engine_sim *engine = g_new0(registering_engine_sim, 1);
  engine->world = world;
  engine->plan = plan;
  init_identity(engine);
  list_init(&engine->loaded_models);
  condition_init(&engine->state_changed);
  engine_batch_init(&engine->batch, plan->kv_tokens);
  engine_report_init(&engine->report);
  if (open_listener(engine, err) != OK) {
    g_free(engine);
    return NULL;
  }
  engine->stop_record = add_stop_record(engine);
  load_initial_models(engine);
  engine_report_take_snapshot(engine);
  engine_heartbeat_start(engine);
  return engine;
}

void registering_engine_sim_free(registering_engine_sim *engine) {
  engine->stop_record->ended_at = world_now(engine->world);
  engine_models_remove_all(engine);
  engine_batch_clear(&engine->batch);
  engine_report_clear(&engine->report);
  g_free(engine);
}
