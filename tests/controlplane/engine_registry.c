/** Tests of the engine registry and of config_change_apply as pure functions, and of the control
 * listener in a fleet of controllers and routers. */
#include "config_change.h"
#include "engine_registry.h"
#include "routing.h"
#include "tests.h"
#include <stdio.h>
#include <stdlib.h>

static Wire__EngineState heartbeat_of(const char *engine_id, const char *addr, uint64_t count,
                                      bool draining) {
  Wire__EngineState heartbeat = WIRE__ENGINE_STATE__INIT;
  heartbeat.id = (char *)engine_id;
  heartbeat.service = "chat";
  heartbeat.address = (char *)addr;
  heartbeat.zone = "north";
  heartbeat.version = "v1";
  heartbeat.slots = 8;
  heartbeat.heartbeat_count = count;
  heartbeat.draining = draining;
  return heartbeat;
}

static enum registry_update record_heartbeat(engine_registry *registry, const char *engine_id,
                                             const char *addr, uint64_t count, bool draining,
                                             int64_t ms) {
  Wire__EngineState heartbeat = heartbeat_of(engine_id, addr, count, draining);
  return engine_registry_heartbeat(registry, &heartbeat, time_from_ms(ms));
}

/* Merges an engine of one registry into another: its full state (is_full), or only its count, age
 * and checksum. */
static enum registry_update merge_from(engine_registry *to, const engine_registry *from,
                                       const char *engine_id, bool is_full, int64_t ms) {
  Wire__EngineState update = WIRE__ENGINE_STATE__INIT;
  registered_engine *engine = engine_registry_find(from, engine_id);
  engine_registry_pack_engine(engine, time_from_ms(ms), &update);
  if (!is_full) {
    Wire__EngineState summary = WIRE__ENGINE_STATE__INIT;
    summary.id = update.id;
    summary.heartbeat_count = update.heartbeat_count;
    summary.checksum = update.checksum;
    summary.age_ms = update.age_ms;
    update = summary;
  }
  return engine_registry_merge(to, &update, time_from_ms(ms));
}

static void expect(fleet *fleet, bool holds, const char *what) {
  if (!holds)
    fleet_add_violation(fleet, "registry: %s", what);
}

static guint count_changed_since(engine_registry *registry, uint64_t run, uint64_t seq,
                                 bool *is_full) {
  GPtrArray *all = engine_registry_changed_since(registry, run, seq, is_full);
  guint n = all->len;
  g_ptr_array_free(all, TRUE);
  return n;
}

static bool stale_heartbeats_are_ignored(fleet *fleet) {
  engine_registry registry;
  engine_registry_init(&registry, 7, time_from_ms(1000));
  expect(fleet,
         record_heartbeat(&registry, "e1", "10.0.0.1:80", 3, false, 1000) == REGISTRY_CHANGED,
         "the first heartbeat is not a change");
  expect(fleet, record_heartbeat(&registry, "e1", "10.0.0.1:80", 4, false, 2000) == REGISTRY_ALIVE,
         "an equal heartbeat is a change");
  uint64_t seq = registry.seq;
  expect(fleet, record_heartbeat(&registry, "e1", "10.0.0.9:80", 3, false, 2100) == REGISTRY_STALE,
         "a lower count is not stale");
  expect(fleet, record_heartbeat(&registry, "e1", "10.0.0.9:80", 4, false, 2100) == REGISTRY_STALE,
         "an equal count is not stale");
  registered_engine *engine = engine_registry_find(&registry, "e1");
  expect(fleet,
         registry.seq == seq && !strcmp(engine->description->address, "10.0.0.1:80") &&
             engine->last_heard_at.us == time_from_ms(2000).us,
         "a stale heartbeat changed something");
  Wire__ResidentModel model = WIRE__RESIDENT_MODEL__INIT, *models = &model;
  model.model = "m1";
  model.weights_version = 1;
  Wire__EngineState heartbeat = heartbeat_of("e1", "10.0.0.1:80", 5, false);
  heartbeat.n_models = 1;
  heartbeat.models = &models;
  expect(fleet,
         engine_registry_heartbeat(&registry, &heartbeat, time_from_ms(3000)) == REGISTRY_CHANGED,
         "a new model is not a change");
  heartbeat.heartbeat_count = 6;
  expect(fleet,
         engine_registry_heartbeat(&registry, &heartbeat, time_from_ms(4000)) == REGISTRY_ALIVE,
         "a heartbeat with the same models is a change");
  model.weights_version = 2;
  heartbeat.heartbeat_count = 7;
  expect(fleet,
         engine_registry_heartbeat(&registry, &heartbeat, time_from_ms(5000)) == REGISTRY_CHANGED,
         "another weights version is not a change");
  expect(fleet, engine_registry_find(&registry, "e1")->description->models[0]->weights_version == 2,
         "another weights version was not stored");
  engine_registry_free(&registry);
  return true;
}

static bool draining_and_sign_off_are_permanent(fleet *fleet) {
  engine_registry registry;
  engine_registry_init(&registry, 7, time_from_ms(0));
  record_heartbeat(&registry, "e1", "10.0.0.1:80", 1, false, 1000);
  Wire__EngineState heartbeat = heartbeat_of("e1", "10.0.0.1:80", 2, true);
  heartbeat.ends_in_ms = 5000;
  expect(fleet,
         engine_registry_heartbeat(&registry, &heartbeat, time_from_ms(2000)) == REGISTRY_DRAINING,
         "the start of draining is not reported as such");
  Wire__EngineState packed = WIRE__ENGINE_STATE__INIT;
  engine_registry_pack_engine(engine_registry_find(&registry, "e1"), time_from_ms(3000), &packed);
  expect(fleet,
         packed.draining && !packed.gone && packed.age_ms == 1000 && packed.ends_in_ms == 5000,
         "age or time to the end does not count from the heartbeat");
  expect(fleet,
         record_heartbeat(&registry, "e1", "10.0.0.1:80", 3, false, 4000) == REGISTRY_ALIVE &&
             engine_registry_find(&registry, "e1")->draining,
         "a later heartbeat resets draining");
  expect(fleet,
         engine_registry_sign_off(&registry, "e1", time_from_ms(5000)) == REGISTRY_DRAINING &&
             engine_registry_sign_off(&registry, "e1", time_from_ms(5100)) == REGISTRY_STALE,
         "a sign-off is not reported, or is reported twice");
  for (uint64_t i = 4; i < 20; i++)
    expect(fleet,
           record_heartbeat(&registry, "e1", "10.0.0.1:80", i, false, 6000 + (int64_t)i) ==
               REGISTRY_STALE,
           "a heartbeat revives an engine that signed off");
  /* a sign-off of an unknown engine */
  expect(fleet,
         engine_registry_sign_off(&registry, "e2", time_from_ms(7000)) == REGISTRY_DRAINING &&
             record_heartbeat(&registry, "e2", "10.0.0.2:80", 9, false, 7100) == REGISTRY_STALE,
         "a late heartbeat revives an engine that signed off before it was known");
  /* a registry that merges the sign-offs keeps them, too */
  engine_registry other;
  engine_registry_init(&other, 8, time_from_ms(0));
  record_heartbeat(&other, "e1", "10.0.0.1:80", 30, false, 7000);
  expect(fleet,
         merge_from(&other, &registry, "e1", true, 8000) == REGISTRY_DRAINING &&
             engine_registry_find(&other, "e1")->signed_off,
         "a merged sign-off loses against a later heartbeat");
  expect(fleet,
         merge_from(&other, &registry, "e2", true, 8000) == REGISTRY_DRAINING &&
             record_heartbeat(&other, "e2", "10.0.0.2:80", 10, false, 8100) == REGISTRY_STALE,
         "a tombstone is not merged, or a heartbeat revives its engine");
  bool is_full;
  expect(fleet, count_changed_since(&other, 8, 0, &is_full) == 2,
         "ended engines are not among the changes");
  /* a tombstone is removed in time; positions from before its change get the full list */
  engine_registry_set_complete(&other);
  record_heartbeat(&other, "e4", "10.0.0.4:80", 1, false, 8500);
  uint64_t known = other.seq;
  engine_registry_sign_off(&other, "e4", time_from_ms(8600));
  uint64_t seq = other.seq;
  record_heartbeat(&other, "e3", "10.0.0.3:80", 1, false, 9000);
  for (int64_t t = 9000; t < 70000; t += 250) {
    if (t % 1000 == 0)
      record_heartbeat(&other, "e3", "10.0.0.3:80", 2 + (uint64_t)t, false, t);
    engine_registry_sweep(&other, time_from_ms(t), true);
  }
  expect(fleet, !engine_registry_find(&other, "e1") && engine_registry_find(&other, "e3"),
         "a tombstone is never removed, or a live engine is");
  expect(fleet, count_changed_since(&other, 8, seq, &is_full) == 1 && !is_full,
         "the changes since a position are not exactly those");
  expect(fleet, count_changed_since(&other, 8, known, &is_full) == 1 && is_full,
         "a position before a removed tombstone does not get the full list");
  engine_registry_free(&registry);
  engine_registry_free(&other);
  return true;
}

static bool a_reused_address_has_one_engine(fleet *fleet) {
  engine_registry registry;
  engine_registry_init(&registry, 7, time_from_ms(0));
  record_heartbeat(&registry, "e1", "10.0.0.1:80", 1, false, 1000);
  record_heartbeat(&registry, "e2", "10.0.0.2:80", 1, false, 1000);
  expect(fleet,
         record_heartbeat(&registry, "e3", "10.0.0.1:80", 1, false, 3000) == REGISTRY_CHANGED &&
             engine_registry_find(&registry, "e1")->gone &&
             !engine_registry_find(&registry, "e2")->gone,
         "an address still has two engines, or the wrong engine is gone");
  expect(fleet,
         record_heartbeat(&registry, "e1", "10.0.0.1:80", 1, false, 3100) == REGISTRY_STALE &&
             engine_registry_find(&registry, "e1")->gone,
         "a stale heartbeat takes the address back");
  /* an old update by way of another controller changes nothing */
  engine_registry other;
  engine_registry_init(&other, 8, time_from_ms(0));
  record_heartbeat(&other, "e1", "10.0.0.1:80", 2, false, 2000);
  merge_from(&registry, &other, "e1", true, 3500);
  expect(fleet,
         engine_registry_find(&registry, "e1")->gone &&
             !engine_registry_find(&registry, "e3")->gone,
         "an old update from another controller takes the address back");
  /* an update about a replaced engine arrives where only its successor is known */
  engine_registry third;
  engine_registry_init(&third, 9, time_from_ms(0));
  record_heartbeat(&third, "e3", "10.0.0.1:80", 2, false, 3600);
  merge_from(&third, &other, "e1", true, 3700);
  expect(fleet,
         engine_registry_find(&third, "e1")->gone && !engine_registry_find(&third, "e3")->gone,
         "an update about a replaced engine takes the address");
  engine_registry_free(&registry);
  engine_registry_free(&other);
  engine_registry_free(&third);
  return true;
}

static bool engines_without_heartbeats_are_gone(fleet *fleet) {
  engine_registry registry;
  engine_registry_init(&registry, 7, time_from_ms(0));
  for (int64_t t = 0; t <= 20000; t += 250) {
    if (t % 1000 == 0)
      record_heartbeat(&registry, "e1", "10.0.0.1:80", (uint64_t)t + 1, false, t);
    if (t % 1000 == 0 && t <= 5000)
      record_heartbeat(&registry, "e2", "10.0.0.2:80", (uint64_t)t + 1, false, t);
    engine_registry_sweep(&registry, time_from_ms(t), true);
    if (t == 12750)
      expect(fleet, !engine_registry_find(&registry, "e2")->gone, "an engine is gone too early");
    if (t == 13250)
      expect(fleet, engine_registry_find(&registry, "e2")->gone, "a silent engine is not gone");
  }
  registered_engine *engine = engine_registry_find(&registry, "e2");
  expect(fleet,
         engine->gone && !engine->draining && !engine->signed_off &&
             !engine_registry_find(&registry, "e1")->gone,
         "a silent engine is not gone, or is also draining or signed off, or another one is gone");
  expect(fleet,
         record_heartbeat(&registry, "e2", "10.0.0.2:80", 30000, false, 20100) ==
                 REGISTRY_CHANGED &&
             !engine_registry_find(&registry, "e2")->gone,
         "a heartbeat does not bring a silent engine back");
  /* a heartbeat that another controller received counts */
  engine_registry other;
  engine_registry_init(&other, 8, time_from_ms(0));
  merge_from(&other, &registry, "e1", true, 20100);
  merge_from(&other, &registry, "e2", true, 20100);
  for (int64_t t = 20250; t <= 40000; t += 250) {
    if (t % 1000 == 0) {
      record_heartbeat(&registry, "e1", "10.0.0.1:80", (uint64_t)t + 1, false, t);
      expect(fleet, merge_from(&other, &registry, "e1", false, t + 10) == REGISTRY_ALIVE,
             "a merged heartbeat is not accepted");
    }
    engine_registry_sweep(&other, time_from_ms(t), true);
  }
  expect(fleet,
         !engine_registry_find(&other, "e1")->gone && engine_registry_find(&other, "e2")->gone,
         "heartbeats at another controller do not count, or a silent engine is not gone");
  expect(fleet,
         merge_from(&other, &registry, "e2", false, 40000) == REGISTRY_NEEDS_FETCH ||
             engine_registry_find(&other, "e2")->gone,
         "an old heartbeat at another controller brings a silent engine back");
  /* while another controller is unreachable, a silent engine is gone later */
  engine_registry isolated;
  engine_registry_init(&isolated, 9, time_from_ms(0));
  record_heartbeat(&isolated, "e3", "10.0.0.3:80", 1, false, 0);
  for (int64_t t = 250; t <= 28000; t += 250) {
    if (t % 1000 == 0)
      record_heartbeat(&isolated, "e4", "10.0.0.4:80", (uint64_t)t, false, t);
    engine_registry_sweep(&isolated, time_from_ms(t), false);
    if (t == 20000)
      expect(fleet, !engine_registry_find(&isolated, "e3")->gone,
             "an engine is gone too early while a controller is unreachable");
  }
  expect(fleet,
         engine_registry_find(&isolated, "e3")->gone &&
             !engine_registry_find(&isolated, "e4")->gone,
         "a silent engine is never gone while a controller is unreachable, or another one is");
  engine_registry_free(&isolated);
  /* a process that was suspended, or hears no engine at all, marks none as gone */
  engine_registry_sweep(&other, time_from_ms(90000), true);
  engine_registry_sweep(&other, time_from_ms(90250), true);
  expect(fleet, !engine_registry_find(&other, "e1")->gone,
         "a process that was suspended marks engines as gone");
  for (int64_t t = 90500; t <= 120000; t += 250)
    engine_registry_sweep(&other, time_from_ms(t), true);
  expect(fleet, !engine_registry_find(&other, "e1")->gone,
         "a process that hears no engine marks engines as gone");
  engine_registry_free(&registry);
  engine_registry_free(&other);
  return true;
}

static bool registries_merge_updates(fleet *fleet) {
  engine_registry a, b;
  bool is_full;
  engine_registry_init(&a, 7, time_from_ms(0));
  engine_registry_init(&b, 8, time_from_ms(0));
  record_heartbeat(&a, "e1", "10.0.0.1:80", 1, false, 1000);
  expect(fleet, merge_from(&b, &a, "e1", false, 1100) == REGISTRY_NEEDS_FETCH,
         "a heartbeat of an unknown engine does not cause a fetch");
  expect(fleet,
         merge_from(&b, &a, "e1", true, 1200) == REGISTRY_CHANGED &&
             engine_registry_find(&b, "e1")->last_heard_at.us == time_from_ms(1000).us,
         "the time of a heartbeat is not merged");
  /* the checksum reveals a lost broadcast */
  record_heartbeat(&a, "e1", "10.0.0.1:81", 2, false, 2000);
  expect(fleet, merge_from(&b, &a, "e1", false, 2100) == REGISTRY_NEEDS_FETCH,
         "a lost change is not detected by the checksum");
  expect(fleet,
         merge_from(&b, &a, "e1", true, 2200) == REGISTRY_CHANGED &&
             !strcmp(engine_registry_find(&b, "e1")->description->address, "10.0.0.1:81"),
         "a lost change is not repaired by a full update");
  expect(fleet, merge_from(&b, &a, "e1", true, 2300) == REGISTRY_ALIVE,
         "a repeated update is a change");
  /* a new registry is not the full list */
  expect(fleet, count_changed_since(&b, 0, 0, &is_full) == 1 && !is_full,
         "a new registry claims to be complete");
  uint64_t known_seq = b.seq;
  engine_registry_set_complete(&b);
  expect(fleet, count_changed_since(&b, 8, known_seq, &is_full) == 1 && is_full,
         "a position from before completion does not get the full list");
  expect(fleet, count_changed_since(&b, 8, b.seq, &is_full) == 0 && !is_full,
         "a current position gets the full list again");
  expect(fleet, count_changed_since(&b, 99, b.seq + 5, &is_full) == 1 && is_full,
         "a position of another run does not get the full list");
  record_heartbeat(&b, "e2", "10.0.0.2:80", 1, false, 3000);
  expect(fleet, count_changed_since(&b, 8, b.seq - 1, &is_full) == 1 && !is_full,
         "a single change is not sent by itself");
  engine_registry_free(&a);
  engine_registry_free(&b);
  return true;
}

#define SERVICES                                                                                   \
  "\"services\":[{\"name\":\"s\",\"health\":\"/health\",\"connectionsMost\":10}],\"limits\":{\"headerBytes\":16384,\"bodyBytes\":4194304,\"headerMs\":3000,\"idleMs\":15000}"
#define ROUTE(name, prefix, to)                                                                    \
  "{\"name\":\"" name "\",\"host\":\"a.example\",\"prefix\":\"" prefix                             \
  "\",\"mode\":\"safe\",\"timeoutMs\":1000,\"targetMs\":500,\"priority\":0,\"service\":\"" to      \
  "\",\"attempts\":1}"

static int try_change(fleet *fleet, GString *text, bool is_full, uint64_t base, const char *body) {
  error err = { 0 };
  json *json = json_parse(string_view_of(body), &err);
  if (!json) {
    fleet_add_violation(fleet, "%s: %s", body, err.text);
    return err.code;
  }
  GString *next = g_string_new(NULL);
  int r = config_change_apply(string_view_of_gstring(text),
                              config_change_version(string_view_of_gstring(text)), is_full, base,
                              json, next, &err);
  if (!r)
    g_string_assign(text, next->str);
  if (r && next->len)
    fleet_add_violation(fleet, "a refused configuration leaves text in the result");
  g_string_free(next, TRUE);
  json_free(json);
  return r;
}

static bool configuration_changes_are_checked(fleet *fleet) {
  GString *current = g_string_new("{}");
  const char *first = "{\"version\":3,\"routes\":[" ROUTE("r1", "/a/", "s") "]," SERVICES "}";
  expect(fleet, config_change_version(string_view_of_gstring(current)) == 0,
         "an empty configuration has a version");
  expect(fleet, try_change(fleet, current, true, 1, first) == E_VERSION_CONFLICT,
         "a first configuration with base version 1 is accepted");
  expect(fleet, try_change(fleet, current, true, 0, "{\"version\":0,\"routes\":[]," SERVICES "}"),
         "version 0 is accepted after version 0");
  expect(fleet,
         try_change(fleet, current, false, 0,
                    "{\"version\":2,\"set\":{\"routes\":[" ROUTE("r1", "/a/", "s") "]}}"),
         "a patch of an empty configuration is accepted");
  expect(fleet,
         try_change(fleet, current, true, 0, first) == OK &&
             config_change_version(string_view_of_gstring(current)) == 3,
         "the first configuration is refused");
  /* of two changes of one version the second is a conflict, whether it is valid or not */
  expect(fleet, try_change(fleet, current, true, 0, first) == E_VERSION_CONFLICT,
         "two changes with the same base version are accepted");
  expect(fleet, try_change(fleet, current, true, 2, "{\"version\":9}") == E_VERSION_CONFLICT,
         "an outdated base version is not a conflict");
  static const char *const bad[] = {
    "[]",
    "{}",
    "{\"version\":3,\"routes\":[]," SERVICES "}",
    "{\"version\":2,\"routes\":[]," SERVICES "}",
    "{\"version\":5,\"routes\":[" ROUTE("r1", "/a/", "x") "]," SERVICES "}",
    "{\"version\":5,\"routes\":[" ROUTE("r1", "/a/", "s") "," ROUTE("r2", "/a/", "s") "]," SERVICES
                                                                                      "}"
  };
  for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
    int r = try_change(fleet, current, true, 3, bad[i]);
    if (r < E_JSON || r >= E_WIRE_MESSAGE || r == E_VERSION_CONFLICT)
      fleet_add_violation(fleet, "%s gives code %d", bad[i], r);
  }
  expect(fleet, config_change_version(string_view_of_gstring(current)) == 3,
         "a refused configuration changed the version");
  expect(fleet,
         try_change(fleet, current, false, 3,
                    "{\"version\":7,\"set\":{\"routes\":[" ROUTE(
                        "r2", "/b/", "s") "]},\"drop\":{\"routes\":[\"r1\"]}}") == OK,
         "a patch is refused");
  expect(fleet,
         config_change_version(string_view_of_gstring(current)) == 7 &&
             strstr(current->str, "r2") && !strstr(current->str, "r1"),
         "a patch is not applied");
  expect(fleet,
         try_change(fleet, current, false, 7, "{\"version\":8,\"drop\":{\"services\":[\"s\"]}}"),
         "a patch may drop a service in use");
  expect(fleet, try_change(fleet, current, false, 7, "{\"version\":7,\"set\":{}}"),
         "a patch that keeps the version is accepted");
  g_string_free(current, TRUE);
  return true;
}

/* a fleet of controllers with control listeners, and of routers that record changes of engines */
enum { CONTROL_PORT = 7400 };
/* the state of an engine in a response to a config poll of a router */
typedef struct {
  char id[48], addr[48];
  bool draining, gone;
  time_us at;
} engine_notice;
typedef struct {
  world *world;
  GArray *all;
  int full_lists;
} engine_recorder;

static void record_engines(void *p, const Wire__ConfigPollResponse *response) {
  engine_recorder *recorder = p;
  recorder->full_lists += response->engines_complete;
  for (size_t i = 0; i < response->n_engines; i++) {
    engine_notice notice = { .draining = response->engines[i]->draining,
                             .gone = response->engines[i]->gone,
                             .at = world_now(recorder->world) };
    g_strlcpy(notice.id, response->engines[i]->id, sizeof notice.id);
    g_strlcpy(notice.addr, response->engines[i]->address, sizeof notice.addr);
    g_array_append_val(recorder->all, notice);
  }
}

static engine_notice *last_notice(host *host, const char *engine_id) {
  engine_recorder *recorder = host->context;
  for (guint i = recorder->all->len; i-- > 0;)
    if (!strcmp(g_array_index(recorder->all, engine_notice, i).id, engine_id))
      return &g_array_index(recorder->all, engine_notice, i);
  return NULL;
}

static void open_listener(host *host) {
  error err = { 0 };
  char ip[48];
  g_strlcpy(ip, host->addr, (size_t)(strrchr(host->addr, ':') - host->addr) + 1);
  if (controller_open_control_listener(host->controller, ip, CONTROL_PORT, NULL, &err))
    fprintf(stderr, "  no control listener: %s\n", err.text);
}

static void recorder_begin(host *host) {
  if (!host->context) {
    engine_recorder *recorder = g_new0(engine_recorder, 1);
    recorder->world = &host->world;
    recorder->all = g_array_new(FALSE, TRUE, sizeof(engine_notice));
    host->context = recorder;
  }
  host->router->gateway = host->context;
  host->router->on_engines_changed = record_engines;
}

static void recorder_dispose(host *host) {
  engine_recorder *recorder = host->context;
  if (recorder) {
    g_array_free(recorder->all, TRUE);
    g_free(recorder);
  }
  host->context = NULL;
}

typedef struct {
  world *world;
  char addr[48], method[8], path[64];
  const char *text;
  int64_t base;
  int status;
  GString *body;
  char redirect[96];
  bool done;
  time_us sent, at;
} test_call;

static void test_call_run(void *p) {
  test_call *test = p;
  fields *fields = g_string_new(NULL);
  fields_add(fields, "Host", string_view_of(test->addr));
  if (test->base >= 0)
    fields_add_format(fields, "Asterfall-Base-Version", "%" PRId64, test->base);
  time_us deadline = time_add(world_now(test->world), time_from_ms(1500));
  http_call *call = http_call_open_pooled(test->world, test->addr, test->method, test->path, fields,
                                          string_view_of(test->text), false, deadline);
  if (!http_call_read_all(call, test->body, deadline))
    test->status = call->status;
  string_view location;
  if (fields_get(call->response_fields, "Location", &location))
    snprintf(test->redirect, sizeof test->redirect, "%.*s", (int)location.length, location.data);
  http_call_close(call);
  g_string_free(fields, TRUE);
  test->at = world_now(test->world);
  test->done = true;
}

static test_call *test_call_send(fleet *fleet, const char *addr, const char *method,
                                 const char *path, const char *text, int64_t base) {
  test_call *test = g_new0(test_call, 1);
  test->world = &fleet->operator->world;
  test->base = base;
  test->text = text;
  test->body = g_string_new(NULL);
  test->sent = fleet->sim->now;
  g_strlcpy(test->addr, addr, sizeof test->addr);
  g_strlcpy(test->method, method, sizeof test->method);
  g_strlcpy(test->path, path, sizeof test->path);
  task_start(&fleet->operator->world.tasks, "call", test_call_run, test);
  return test;
}

static bool test_call_done(sim *sim, void *p) {
  (void)sim;
  return ((test_call *)p)->done;
}
static void test_call_free(test_call *test) {
  g_string_free(test->body, TRUE);
  g_free(test);
}

static char *listener_of(host *host) {
  return g_strdup_printf("%.*s:%d", (int)(strrchr(host->addr, ':') - host->addr), host->addr,
                         CONTROL_PORT);
}

/* Calls a controller, and follows at most two redirects. */
static test_call *request_listener(fleet *fleet, host *host, const char *method, const char *path,
                                   const char *text, int64_t base) {
  char *addr = listener_of(host);
  for (int i = 0;; i++) {
    test_call *test = test_call_send(fleet, addr, method, path, text, base);
    sim_run_until(fleet->sim, test_call_done, test, time_from_ms(2000));
    if (test->at.us - test->sent.us > 1000000)
      fleet_add_violation(fleet, "%s %s took %" PRId64 " ms", method, path,
                          (test->at.us - test->sent.us) / 1000);
    char *slash =
        g_str_has_prefix(test->redirect, "http://") ? strchr(test->redirect + 7, '/') : NULL;
    if (test->status != 307 || i == 2) {
      g_free(addr);
      return test;
    }
    if (!slash || strcmp(slash, path)) {
      fleet_add_violation(fleet, "redirected to %s", test->redirect);
      g_free(addr);
      return test;
    }
    g_free(addr);
    addr = g_strndup(test->redirect + 7, slash - test->redirect - 7);
    test_call_free(test);
  }
}

static int status_at(fleet *fleet, host *host, const char *method, const char *path,
                     const char *text, int64_t base) {
  test_call *test = request_listener(fleet, host, method, path, text, base);
  int status = test->status;
  test_call_free(test);
  return status;
}

static char *heartbeat_text(const char *addr, int count, const char *state) {
  return g_strdup_printf(
      "{\"service\":\"chat\",\"address\":\"%s\",\"zone\":\"north\",\"version\":\"v1\",\"slots\":8,\"state\":\"%s\",\"coldMs\":0,\"models\":[{\"name\":\"m1\",\"version\":1,\"adapters\":[\"a1\"]}],\"count\":%d}",
      addr, state, count);
}

static int send_heartbeat(fleet *fleet, host *host, const char *engine_id, const char *addr,
                          int count, const char *state) {
  char *body = heartbeat_text(addr, count, state), path[80];
  snprintf(path, sizeof path, "/v1/engines/%s/%s", engine_id,
           strcmp(state, "off") ? "beat" : "leave");
  int status = status_at(fleet, host, "POST", path, body, -1);
  g_free(body);
  return status;
}

static bool start_with_listeners(fleet *fleet) {
  for (int i = 0; i < fleet->controllers; i++)
    fleet->controller[i]->on_start = open_listener;
  for (int i = 0; i < fleet->routers; i++) {
    fleet->router[i]->on_start = recorder_begin;
    fleet->router[i]->on_dispose = recorder_dispose;
  }
  return fleet_bring_up(fleet);
}

static bool engines_register_by_heartbeats(fleet *fleet) {
  if (!start_with_listeners(fleet))
    return false;
  for (int i = 1; i <= 4; i++) {
    if (send_heartbeat(fleet, fleet->controller[i % 3], "e1", "10.0.0.1:80", i, "ready") != 200)
      fleet_add_violation(fleet, "a heartbeat is refused");
    if (send_heartbeat(fleet, fleet->controller[(i + 1) % 3], "e2", "10.0.0.2:80", i, "ready") !=
        200)
      fleet_add_violation(fleet, "a heartbeat is refused");
    sim_run(fleet->sim, time_from_ms(1200));
  }
  for (int i = 0; i < 3; i++)
    if (!engine_registry_find(&fleet->controller[i]->controller->registry_sync.registry, "e1"))
      fleet_add_violation(fleet, "%s does not know of an engine", fleet->controller[i]->self.text);
  for (int i = 0; i < fleet->routers; i++)
    if (!last_notice(fleet->router[i], "e1") || !last_notice(fleet->router[i], "e2"))
      fleet_add_violation(fleet, "%s does not know of an engine", fleet->router[i]->self.text);
  if (status_at(fleet, fleet->controller[0], "POST", "/v1/engines/e1/beat", "{", -1) != 400 ||
      status_at(fleet, fleet->controller[0], "POST", "/v1/engines/e1/beat", "{\"service\":\"x\"}",
                -1) != 400)
    fleet_add_violation(fleet, "an invalid heartbeat is accepted");
  if (status_at(fleet, fleet->controller[0], "GET", "/v1/nothing", NULL, -1) != 404 ||
      status_at(fleet, fleet->controller[0], "GET", "/ready", NULL, -1) != 200)
    fleet_add_violation(fleet, "an unknown path is not 404, or /ready is not 200");
  /* each router learns at once that an engine is draining, whichever controller was told */
  host *host = fleet->controller[sim_random(fleet->sim, 3)];
  for (int i = 0; i < fleet->routers; i++)
    for (int k = 0; k < 3; k++)
      if (fleet->controller[k] != host)
        sim_set_partition_both_ways(fleet->sim, fleet->router[i]->self.text,
                                    fleet->controller[k]->self.text, true);
  if (send_heartbeat(fleet, host, "e1", "10.0.0.1:80", 9, "leaving") != 200)
    fleet_add_violation(fleet, "a heartbeat of a draining engine is refused");
  sim_run(fleet->sim, time_from_ms(100));
  sim_heal_partitions(fleet->sim);
  for (int i = 0; i < fleet->routers; i++)
    if (!last_notice(fleet->router[i], "e1")->draining)
      fleet_add_violation(fleet, "%s does not know after 100 ms that an engine is draining",
                          fleet->router[i]->self.text);
  /* a restarted controller fetches the registry from the others, and sends routers the full list */
  host_kill(host);
  sim_run(fleet->sim, time_from_ms(300));
  host_start(host);
  for (int i = 0; i < 3; i++) {
    sim_run(fleet->sim, time_from_ms(1000));
    send_heartbeat(fleet, fleet->controller[(int)sim_random(fleet->sim, 3)], "e2", "10.0.0.2:80",
                   20 + i, "ready");
  }
  registered_engine *engine = engine_registry_find(&host->controller->registry_sync.registry, "e1");
  if (!engine || !engine->draining || !host->controller->registry_sync.registry.is_complete)
    fleet_add_violation(
        fleet, "%s does not know after its restart that an engine is draining, or is incomplete",
        host->self.text);
  if (send_heartbeat(fleet, host, "e1", "10.0.0.1:80", 12, "off") != 200)
    fleet_add_violation(fleet, "a sign-off is refused");
  sim_run(fleet->sim, time_from_ms(100));
  for (int i = 0; i < fleet->routers; i++)
    if (!last_notice(fleet->router[i], "e1")->gone)
      fleet_add_violation(fleet, "%s does not know after 100 ms that an engine is gone",
                          fleet->router[i]->self.text);
  for (int i = 0; i < 3; i++) {
    send_heartbeat(fleet, fleet->controller[i], "e1", "10.0.0.1:80", 30 + i, "ready");
    if (!engine_registry_find(&fleet->controller[i]->controller->registry_sync.registry, "e1")
             ->signed_off)
      fleet_add_violation(fleet, "a late heartbeat revives an engine");
  }
  /* an engine that is only silent is gone, and comes back with its next heartbeat */
  for (int i = 1; i <= 11; i++) {
    send_heartbeat(fleet, fleet->controller[0], "e3", "10.0.0.3:80", i, "ready");
    sim_run(fleet->sim, time_from_ms(1000));
  }
  for (int i = 0; i < 3; i++)
    if (!engine_registry_find(&fleet->controller[i]->controller->registry_sync.registry, "e2")
             ->gone ||
        engine_registry_find(&fleet->controller[i]->controller->registry_sync.registry, "e3")->gone)
      fleet_add_violation(fleet, "%s does not know which engine is silent",
                          fleet->controller[i]->self.text);
  for (int i = 0; i < fleet->routers; i++)
    if (!last_notice(fleet->router[i], "e2")->gone || last_notice(fleet->router[i], "e2")->draining)
      fleet_add_violation(fleet, "a silent engine is not gone, or is draining, at %s",
                          fleet->router[i]->self.text);
  send_heartbeat(fleet, fleet->controller[0], "e2", "10.0.0.2:80", 90, "ready");
  sim_run(fleet->sim, time_from_ms(1500));
  for (int i = 0; i < fleet->routers; i++) {
    if (last_notice(fleet->router[i], "e2")->gone)
      fleet_add_violation(fleet, "an engine is not back at %s", fleet->router[i]->self.text);
    if (!((engine_recorder *)fleet->router[i]->context)->full_lists)
      fleet_add_violation(fleet, "%s never had the full list", fleet->router[i]->self.text);
  }
  return true;
}

static char *config_text(int version, int routes) {
  GString *text = g_string_new(NULL);
  json_appendf(text, "{\"version\":%d,\"routes\":[", version);
  for (int i = 0; i < routes; i++)
    json_appendf(
        text,
        "%s{\"name\":\"r%d\",\"host\":\"a.example\",\"prefix\":\"/p%d/\",\"mode\":\"safe\",\"timeoutMs\":1000,\"targetMs\":500,\"priority\":0,\"service\":\"s\",\"attempts\":1}",
        i ? "," : "", i, i);
  json_appendf(text, "],%s}", SERVICES);
  return g_string_free(text, FALSE);
}

static bool control_listeners_serve_configurations(fleet *fleet) {
  if (!start_with_listeners(fleet))
    return false;
  host *target = fleet->controller[sim_random(fleet->sim, 3)];
  if (status_at(fleet, target, "GET", "/v1/routing", NULL, -1) != 404)
    fleet_add_violation(fleet, "there is a configuration before the first write");
  char *first = config_text(2, 3), *second = config_text(5, 4), *third = config_text(6, 5),
       *large = config_text(20, 1200);
  if (status_at(fleet, target, "PUT", "/v1/routing", first, -1) != 400)
    fleet_add_violation(fleet, "a configuration without a base version is accepted");
  if (status_at(fleet, target, "PUT", "/v1/routing", first, 0) != 200)
    fleet_add_violation(fleet, "the first configuration is refused");
  for (int i = 0; i < 3; i++)
    if (status_at(fleet, fleet->controller[i], "PUT", "/v1/routing", first, 0) != 200)
      fleet_add_violation(fleet, "the first configuration is refused when it is sent again");
  if (status_at(fleet, target, "PUT", "/v1/routing", second, 1) != 412 ||
      status_at(fleet, target, "PUT", "/v1/routing", first, 2) != 400)
    fleet_add_violation(fleet,
                        "a wrong base or version is accepted, or refused with another status");
  /* two changes of the same version at the same time, and a repeat of one of them */
  char *head_address = listener_of(fleet_find_head(fleet));
  test_call *second_call = test_call_send(fleet, head_address, "PUT", "/v1/routing", second, 2),
            *third_call = test_call_send(fleet, head_address, "PUT", "/v1/routing", third, 2),
            *again = test_call_send(fleet, head_address, "PUT", "/v1/routing", second, 2);
  g_free(head_address);
  sim_run_until(fleet->sim, test_call_done, second_call, time_from_ms(2000));
  sim_run_until(fleet->sim, test_call_done, third_call, time_from_ms(2000));
  sim_run_until(fleet->sim, test_call_done, again, time_from_ms(2000));
  if ((second_call->status == 200) + (third_call->status == 200) != 1 ||
      (second_call->status == 412) + (third_call->status == 412) != 1)
    fleet_add_violation(fleet, "two concurrent changes of one version got %d and %d",
                        second_call->status, third_call->status);
  if (again->status != second_call->status)
    fleet_add_violation(fleet, "a concurrent repeat of a change got %d, not %d", again->status,
                        second_call->status);
  int version = second_call->status == 200 ? 5 : 6;
  test_call_free(second_call);
  test_call_free(third_call);
  test_call_free(again);
  if (status_at(fleet, fleet->controller[0], "PATCH", "/v1/routing",
                "{\"version\":11,\"drop\":{\"routes\":[\"r0\"]}}", version) != 200)
    fleet_add_violation(fleet, "a patch is refused");
  if (status_at(fleet, fleet->controller[1], "PATCH", "/v1/routing",
                "{\"version\":11,\"drop\":{\"routes\":[\"r0\"]}}", version) != 200)
    fleet_add_violation(fleet, "a patch is refused when it is sent again");
  if (status_at(fleet, fleet->controller[2], "PUT", "/v1/routing", first, 0) != 200)
    fleet_add_violation(fleet, "an old accepted configuration is refused when it is sent again");
  test_call *test = request_listener(fleet, fleet->controller[1], "GET", "/v1/routing", NULL, -1);
  json *json = json_parse(string_view_of_gstring(test->body), NULL);
  if (test->status != 200 || json_number(json, "version", 0) != 11 ||
      json_count(json_get(json, "routes")) != (size_t)(version == 5 ? 3 : 4))
    fleet_add_violation(fleet, "reading the configuration gave %d, %.200s", test->status,
                        test->body->str);
  json_free(json);
  test_call_free(test);
  if (status_at(fleet, target, "PUT", "/v1/routing", large, 11) != 200)
    fleet_add_violation(fleet, "a large configuration is refused");
  sim_run(fleet->sim, time_from_ms(1000));
  for (int i = 0; i < fleet->routers; i++) {
    const routing *routing = fleet->router[i]->router->routing;
    if (!routing || routing->revision != 20 || routing->route_count != 1200)
      fleet_add_violation(fleet, "%s has not compiled the large configuration",
                          fleet->router[i]->self.text);
  }
  /* without a head the response is 503 or 504, in time; acknowledged changes survive */
  host *isolated = fleet_find_tail(fleet);
  for (int i = 0; i < 3; i++)
    if (fleet->controller[i] != isolated)
      host_kill(fleet->controller[i]);
  sim_run(fleet->sim, time_from_ms(2500));
  char *fourth = config_text(30, 2);
  int status = status_at(fleet, isolated, "PUT", "/v1/routing", fourth, 20);
  if (status != 503 && status != 504)
    fleet_add_violation(fleet, "a controller without the others responded with %d", status);
  for (int i = 0; i < 3; i++)
    if (fleet->controller[i] != isolated)
      host_start(fleet->controller[i]);
  if (!scenario_wait_for_chain(fleet, 3, 15000))
    return false;
  sim_run(fleet->sim, time_from_ms(3000));
  status = status_at(fleet, fleet->controller[0], "PUT", "/v1/routing", fourth, 20);
  if (status != 200)
    fleet_add_violation(fleet, "with all controllers back a change got %d", status);
  /* the head drains: another one soon acts, and callers are redirected while the process of the old
   * head exists */
  host *head = fleet_find_head(fleet);
  controller_drain(head->controller);
  sim_run(fleet->sim, time_from_ms(1500));
  char *fifth = config_text(31, 2);
  status = status_at(fleet, head, "PUT", "/v1/routing", fifth, 30);
  if (status != 200)
    fleet_add_violation(fleet, "a change sent to the draining head got %d", status);
  g_free(first);
  g_free(second);
  g_free(third);
  g_free(fourth);
  g_free(fifth);
  g_free(large);
  return true;
}

const test_case engine_registry_tests[] = {
  { "stale_heartbeats_are_ignored", stale_heartbeats_are_ignored, 1, 1, 10 },
  { "draining_and_sign_off_are_permanent", draining_and_sign_off_are_permanent, 1, 1, 10 },
  { "a_reused_address_has_one_engine", a_reused_address_has_one_engine, 1, 1, 10 },
  { "engines_without_heartbeats_are_gone", engines_without_heartbeats_are_gone, 1, 1, 10 },
  { "registries_merge_updates", registries_merge_updates, 1, 1, 10 },
  { "configuration_changes_are_checked", configuration_changes_are_checked, 1, 1, 10 },
  { "engines_register_by_heartbeats", engines_register_by_heartbeats, 4, 1, 100 },
  { "control_listeners_serve_configurations", control_listeners_serve_configurations, 3, 1, 100 },
  { NULL, NULL, 0, 0, 0 }
};
