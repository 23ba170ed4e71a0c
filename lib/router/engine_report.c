/**
 * Engine reports: one task per engine polls for its reports, which update the router's view of the
 * engine.
 *
 * A poll names the process run and the number of the last report that this router has; the engine
 * holds the poll open until there is a newer report. Reports are numbered within a run, so reports
 * that arrive out of order are ignored.
 */
#include "engine.h"
#include "router.h"
#include <stdio.h>

enum {
  REPORT_TIMEOUT_MS = 2200,
  /* Tasks that wait for a report check the engine at least this often. */
  REPORT_WAIT_MS = 300,
  /* After a gap this long, the slow start begins again. */
  SLOW_START_AFTER_GAP_MS = 5000,
  /* Polls that end sooner than MIN_REPORT_INTERVAL_MS are followed by a longer pause, so that an
     engine that responds immediately does not cause a busy loop. */
  MIN_REPORT_INTERVAL_MS = 100,
  PAUSE_MS = 20,
  PAUSE_AFTER_EARLY_REPORT_MS = 120,
  PAUSE_AFTER_EARLY_FAILURE_MS = 300
};

bool engine_is_stopping(const engine *engine) {
  return engine->removed || engine->router->node.world->tasks.stopped;
}

bool engine_wait_next_report(engine *engine) {
  world *world = engine->router->node.world;
  time_us deadline = time_add(world_now(world), time_from_ms(REPORT_WAIT_MS));
  return condition_wait(&world->tasks, &engine->report_changed, deadline) != WAKE_STOPPED;
}

enum error_code engine_await_report(engine *engine, error *err) {
  if (!engine_wait_next_report(engine) || engine_is_stopping(engine))
    return error_set(err, E_STOPPING, "stopping");
  return OK;
}

static bool is_report_of(const engine *engine, const json *report) {
  const json *residents = json_get(report, "holdings");
  return !strcmp(json_text(report, "id", ""), engine->self.text) && residents &&
         residents->kind == JSON_ARRAY && json_number(report, "weightsMb", 0) >= 0;
}

static void refuse_report(engine *engine) {
  if (!engine->malformed)
    log_info(&engine->router->node.log, "engine",
             "The report at %s is malformed or not from %s; the engine gets no work (code %d).",
             engine->address, engine->self.text, E_NO_ENGINE);
  engine->malformed = true;
  engine->last_report_at = (time_us){ 0 };
}

/* Records a new process run, and restarts the slow start if needed. */
static void record_process_run(engine *engine, const char *boot_id, bool same_run) {
  time_us now = world_now(engine->router->node.world),
          gap_until = time_add(engine->last_report_at, time_from_ms(SLOW_START_AFTER_GAP_MS));
  if (!same_run) {
    log_info(&engine->router->node.log, "engine", "%s at %s is up, run %s.", engine->self.text,
             engine->address, boot_id);
    engine->reserved_mb = engine->reserved_slots = 0;
  }
  if (!same_run || !engine->reported || time_reached(now, gap_until))
    engine->started_at = now;
  g_strlcpy(engine->boot_id, boot_id, sizeof engine->boot_id);
}

static enum resident_state parse_state(const char *state) {
  if (!strcmp(state, "up"))
    return RESIDENT_UP;
  return strcmp(state, "unloading") ? RESIDENT_LOADING : RESIDENT_UNLOADING;
}

static double non_negative(const json *object, const char *key) {
  return MAX(0, json_number(object, key, 0));
}

static resident_model *find_or_add_resident(engine *engine, id model, id adapter) {
  resident_model *resident = engine_find_resident(engine, model, adapter);
  if (!resident) {
    resident = g_new0(resident_model, 1);
    resident->model = model;
    resident->adapter = adapter;
    resident->state = RESIDENT_LOADING;
    list_append(&engine->residents, &resident->link);
  }
  return resident;
}

/* `is_newer` is false when the report is the last one fetched again. */
static void apply_resident(engine *engine, const json *entry, bool is_newer) {
  string_view model = string_view_of(json_text(entry, "model", "")),
              adapter = string_view_of(json_text(entry, "adapter", ""));
  if (!id_is_valid(model) || (adapter.length && !id_is_valid(adapter)))
    return;
  resident_model *resident = find_or_add_resident(engine, id_of(model), id_of(adapter));
  enum resident_state state = parse_state(json_text(entry, "state", ""));
  if (resident->unload_accepted && !is_newer)
    state = RESIDENT_UNLOADING;
  resident->unload_accepted &= !is_newer;
  if (state == RESIDENT_UP && (resident->state != RESIDENT_UP || !resident->loaded_at.us))
    resident->loaded_at = world_now(engine->router->node.world);
  resident->state = state;
  resident->in_report = true;
  resident->weights_mb = (uint64_t)non_negative(entry, "weightsMb");
  double slots = non_negative(entry, "slots");
  resident->slots = slots > 0 ? (unsigned)slots : adapter.length ? 1 : 0;
  resident->running = (unsigned)json_number(entry, "running", 0);
  resident->served_requests = json_number(entry, "served", 0) > 0;
}

static void apply_residents(engine *engine, const json *entries, bool is_newer) {
  list_for_each (resident, &engine->residents, resident_model, link)
    resident->in_report = false;
  for (size_t i = 0; i < json_count(entries); i++)
    apply_resident(engine, json_at(entries, i), is_newer);
  list_for_each (resident, &engine->residents, resident_model, link) {
    if (resident->in_report)
      continue;
    list_remove(&resident->link);
    g_free(resident);
  }
}

/* Applies a report, unless it is malformed or older than the last one. */
static void apply_report(engine *engine, const json *report) {
  if (!is_report_of(engine, report)) {
    refuse_report(engine);
    return;
  }
  engine->malformed = false;
  const char *boot_id = json_text(report, "boot", "");
  uint64_t sequence = (uint64_t)non_negative(report, "seq");
  bool same_run = !strcmp(boot_id, engine->boot_id);
  if (same_run && engine->reported && sequence < engine->report_seq)
    return;
  bool is_newer = !same_run || sequence != engine->report_seq;
  record_process_run(engine, boot_id, same_run);
  engine->report_seq = sequence;
  engine->reported = true;
  engine->last_report_at = world_now(engine->router->node.world);
  engine->running = (int)json_number(report, "running", 0);
  engine->own_running_at_report = engine->own_running;
  if (json_number(report, "weightsMb", 0) >= 1)
    engine->weights_mb = (uint64_t)json_number(report, "weightsMb", 0);
  engine->adapter_slots = (unsigned)json_number(report, "adapterSlots", engine->adapter_slots);
  apply_residents(engine, json_get(report, "holdings"), is_newer);
  condition_broadcast(&engine->report_changed);
  condition_broadcast(&engine->router->state_changed);
}

/* Fetches and applies one report. */
static bool fetch_report(engine *engine, error *err) {
  char path[128];
  snprintf(path, sizeof path, "/v1/state?after=%" PRIu64 "&boot=%s", engine->report_seq,
           engine->boot_id);
  GString *body = g_string_new(NULL);
  int status = http_call_fetch(engine->router->node.world, engine->address, "GET", path, NULL,
                               string_view_of(""), body, time_from_ms(REPORT_TIMEOUT_MS), err);
  json *report = status == 200 ? json_parse(string_view_of_gstring(body), err) : NULL;
  bool reported = report != NULL;
  if (reported)
    apply_report(engine, report);
  else if (err->code == E_NOT_CONNECTED)
    engine->last_report_at = (time_us){ 0 };
  if (!reported && status && !engine->malformed) {
    engine->malformed = true;
    log_info(&engine->router->node.log, "engine",
             "%s at %s responds without a report: %s (code %d).", engine->self.text,
             engine->address, err->text, E_NO_ENGINE);
  }
  json_free(report);
  g_string_free(body, TRUE);
  return reported;
}

static int64_t pause_ms(time_us duration, bool reported) {
  if (duration.us >= MIN_REPORT_INTERVAL_MS * 1000)
    return PAUSE_MS;
  return reported ? PAUSE_AFTER_EARLY_REPORT_MS : PAUSE_AFTER_EARLY_FAILURE_MS;
}

void engine_report_run(void *context) {
  engine *engine = context;
  world *world = engine->router->node.world;
  while (!engine->removed) {
    error err = { 0 };
    time_us started_at = world_now(world);
    bool reported = fetch_report(engine, &err);
    time_us duration = time_sub(world_now(world), started_at);
    if (err.code == E_STOPPING || !world_sleep(world, time_from_ms(pause_ms(duration, reported))))
      break;
  }
  condition_broadcast(&engine->report_changed);
  engine_unref(engine);
}
