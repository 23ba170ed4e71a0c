#include "config_change.h"
#include "engine_registry.h"
#include "routing.h"
#include "tests.h"
#include <stdio.h>
#include <stdlib.h>

/* the registry of engines, and what a configuration is decided to be, without a fleet around
 * them
 */

static Wire__EngineState beat_of(const char *who, const char *addr, uint64_t count, bool leaving) {
  Wire__EngineState w = WIRE__ENGINE_STATE__INIT;
  w.id = (char *)who;
  w.service = "chat";
  w.address = (char *)addr;
  w.zone = "north";
  w.version = "v1";
  w.slots = 8;
  w.heartbeat_count = count;
  w.draining = leaving;
  return w;
}

static enum registry_update beat(engine_registry *registry, const char *who, const char *addr,
                                 uint64_t count, bool leaving, int64_t ms) {
  Wire__EngineState w = beat_of(who, addr, count, leaving);
  return engine_registry_heartbeat(registry, &w, time_from_ms(ms));
}

/* what one core machine tells another of an engine */
static enum registry_update pass(engine_registry *to, const engine_registry *from, const char *who,
                                 bool whole, int64_t ms) {
  Wire__EngineState w = WIRE__ENGINE_STATE__INIT;
  registered_engine *entry = engine_registry_find(from, who);
  engine_registry_pack_engine(entry, time_from_ms(ms), &w);
  if (!whole) {
    Wire__EngineState s = WIRE__ENGINE_STATE__INIT;
    s.id = w.id;
    s.heartbeat_count = w.heartbeat_count;
    s.checksum = w.checksum;
    s.age_ms = w.age_ms;
    w = s;
  }
  return engine_registry_merge(to, &w, time_from_ms(ms));
}

static void expect(fleet *fleet, bool is, const char *what) {
  if (!is)
    violation(fleet, "registry: %s", what);
}

static guint since(engine_registry *registry, uint64_t run, uint64_t seq, bool *whole) {
  GPtrArray *all = engine_registry_changed_since(registry, run, seq, whole);
  guint n = all->len;
  g_ptr_array_free(all, TRUE);
  return n;
}

static bool beats_come_late(fleet *fleet) {
  engine_registry r;
  engine_registry_init(&r, 7, time_from_ms(1000));
  expect(fleet, beat(&r, "e1", "10.0.0.1:80", 3, false, 1000) == REGISTRY_CHANGED,
         "the first beat is no change");
  expect(fleet, beat(&r, "e1", "10.0.0.1:80", 4, false, 2000) == REGISTRY_ALIVE,
         "a plain beat is a change");
  uint64_t seq = r.seq;
  expect(fleet, beat(&r, "e1", "10.0.0.9:80", 3, false, 2100) == REGISTRY_STALE,
         "a lower count is not late");
  expect(fleet, beat(&r, "e1", "10.0.0.9:80", 4, false, 2100) == REGISTRY_STALE,
         "an equal count is not late");
  registered_engine *entry = engine_registry_find(&r, "e1");
  expect(fleet,
         r.seq == seq && !strcmp(entry->heartbeat->address, "10.0.0.1:80") &&
             entry->last_heard_at.us == time_from_ms(2000).us,
         "a late beat changed something");
  Wire__ResidentModel m = WIRE__RESIDENT_MODEL__INIT, *ms = &m;
  m.model = "m1";
  m.weights_version = 1;
  Wire__EngineState w = beat_of("e1", "10.0.0.1:80", 5, false);
  w.n_models = 1;
  w.models = &ms;
  expect(fleet, engine_registry_heartbeat(&r, &w, time_from_ms(3000)) == REGISTRY_CHANGED,
         "a model that came is no change");
  w.heartbeat_count = 6;
  expect(fleet, engine_registry_heartbeat(&r, &w, time_from_ms(4000)) == REGISTRY_ALIVE,
         "the same models are a change");
  m.weights_version = 2;
  w.heartbeat_count = 7;
  expect(fleet, engine_registry_heartbeat(&r, &w, time_from_ms(5000)) == REGISTRY_CHANGED,
         "other weights are no change");
  expect(fleet, engine_registry_find(&r, "e1")->heartbeat->models[0]->weights_version == 2,
         "other weights were not kept");
  engine_registry_free(&r);
  return true;
}

static bool leaving_is_for_good(fleet *fleet) {
  engine_registry r;
  engine_registry_init(&r, 7, time_from_ms(0));
  beat(&r, "e1", "10.0.0.1:80", 1, false, 1000);
  Wire__EngineState w = beat_of("e1", "10.0.0.1:80", 2, true);
  w.ends_in_ms = 5000;
  expect(fleet, engine_registry_heartbeat(&r, &w, time_from_ms(2000)) == REGISTRY_DRAINING,
         "leaving is no news");
  Wire__EngineState said = WIRE__ENGINE_STATE__INIT;
  engine_registry_pack_engine(engine_registry_find(&r, "e1"), time_from_ms(3000), &said);
  expect(fleet, said.draining && !said.gone && said.age_ms == 1000 && said.ends_in_ms == 5000,
         "the time left does not count from the beat");
  expect(fleet,
         beat(&r, "e1", "10.0.0.1:80", 3, false, 4000) == REGISTRY_ALIVE &&
             engine_registry_find(&r, "e1")->draining,
         "an engine came back from leaving");
  expect(fleet,
         engine_registry_sign_off(&r, "e1", time_from_ms(5000)) == REGISTRY_DRAINING &&
             engine_registry_sign_off(&r, "e1", time_from_ms(5100)) == REGISTRY_STALE,
         "a sign-off is no news, or news twice");
  for (uint64_t i = 4; i < 20; i++)
    expect(fleet, beat(&r, "e1", "10.0.0.1:80", i, false, 6000 + (int64_t)i) == REGISTRY_STALE,
           "a beat revives an engine that signed off");
  /* and one that was never heard of */
  expect(fleet,
         engine_registry_sign_off(&r, "e2", time_from_ms(7000)) == REGISTRY_DRAINING &&
             beat(&r, "e2", "10.0.0.2:80", 9, false, 7100) == REGISTRY_STALE,
         "a beat before its sign-off revives an engine");
  /* others are told, and hold to it */
  engine_registry o;
  engine_registry_init(&o, 8, time_from_ms(0));
  beat(&o, "e1", "10.0.0.1:80", 30, false, 7000);
  expect(fleet,
         pass(&o, &r, "e1", true, 8000) == REGISTRY_DRAINING &&
             engine_registry_find(&o, "e1")->signed_off,
         "a sign-off is not passed on over a younger beat");
  expect(fleet,
         pass(&o, &r, "e2", true, 8000) == REGISTRY_DRAINING &&
             beat(&o, "e2", "10.0.0.2:80", 10, false, 8100) == REGISTRY_STALE,
         "a tombstone is not passed on");
  bool whole;
  expect(fleet, since(&o, 8, 0, &whole) == 2, "those who end are not in the changes");
  /* a tombstone ends by itself, and those who lack it get the whole */
  engine_registry_set_complete(&o);
  beat(&o, "e4", "10.0.0.4:80", 1, false, 8500);
  uint64_t known = o.seq;
  engine_registry_sign_off(&o, "e4", time_from_ms(8600));
  uint64_t seq = o.seq;
  beat(&o, "e3", "10.0.0.3:80", 1, false, 9000);
  for (int64_t t = 9000; t < 70000; t += 250) {
    if (t % 1000 == 0)
      beat(&o, "e3", "10.0.0.3:80", 2 + (uint64_t)t, false, t);
    engine_registry_sweep(&o, time_from_ms(t), true);
  }
  expect(fleet, !engine_registry_find(&o, "e1") && engine_registry_find(&o, "e3"),
         "a tombstone stands for ever");
  expect(fleet, since(&o, 8, seq, &whole) == 1 && !whole,
         "changes since a number are not just those");
  expect(fleet, since(&o, 8, known, &whole) == 1 && whole,
         "one who lacks what was forgotten does not get the whole");
  engine_registry_free(&r);
  engine_registry_free(&o);
  return true;
}

static bool addresses_are_used_again(fleet *fleet) {
  engine_registry r;
  engine_registry_init(&r, 7, time_from_ms(0));
  beat(&r, "e1", "10.0.0.1:80", 1, false, 1000);
  beat(&r, "e2", "10.0.0.2:80", 1, false, 1000);
  expect(fleet,
         beat(&r, "e3", "10.0.0.1:80", 1, false, 3000) == REGISTRY_CHANGED &&
             engine_registry_find(&r, "e1")->gone && !engine_registry_find(&r, "e2")->gone,
         "an address has two engines");
  expect(fleet,
         beat(&r, "e1", "10.0.0.1:80", 1, false, 3100) == REGISTRY_STALE &&
             engine_registry_find(&r, "e1")->gone,
         "a late beat takes an address back");
  /* old word by way of another machine changes nothing */
  engine_registry o;
  engine_registry_init(&o, 8, time_from_ms(0));
  beat(&o, "e1", "10.0.0.1:80", 2, false, 2000);
  pass(&r, &o, "e1", true, 3500);
  expect(fleet, engine_registry_find(&r, "e1")->gone && !engine_registry_find(&r, "e3")->gone,
         "old word takes an address back");
  /* word of one that ended, come where the new one is known and it never was */
  engine_registry y;
  engine_registry_init(&y, 9, time_from_ms(0));
  beat(&y, "e3", "10.0.0.1:80", 2, false, 3600);
  pass(&y, &o, "e1", true, 3700);
  expect(fleet, engine_registry_find(&y, "e1")->gone && !engine_registry_find(&y, "e3")->gone,
         "word of an engine that ended takes an address");
  engine_registry_free(&r);
  engine_registry_free(&o);
  engine_registry_free(&y);
  return true;
}

static bool engines_fall_silent(fleet *fleet) {
  engine_registry r;
  engine_registry_init(&r, 7, time_from_ms(0));
  for (int64_t t = 0; t <= 20000; t += 250) {
    if (t % 1000 == 0)
      beat(&r, "e1", "10.0.0.1:80", (uint64_t)t + 1, false, t);
    if (t % 1000 == 0 && t <= 5000)
      beat(&r, "e2", "10.0.0.2:80", (uint64_t)t + 1, false, t);
    engine_registry_sweep(&r, time_from_ms(t), true);
    if (t == 12750)
      expect(fleet, !engine_registry_find(&r, "e2")->gone, "an engine is gone too soon");
    if (t == 13250)
      expect(fleet, engine_registry_find(&r, "e2")->gone, "a silent engine is not gone");
  }
  registered_engine *entry = engine_registry_find(&r, "e2");
  expect(fleet,
         entry->gone && !entry->draining && !entry->signed_off &&
             !engine_registry_find(&r, "e1")->gone,
         "silence is for good, or another's");
  expect(fleet,
         beat(&r, "e2", "10.0.0.2:80", 30000, false, 20100) == REGISTRY_CHANGED &&
             !engine_registry_find(&r, "e2")->gone,
         "a beat does not end silence");
  /* heard by another machine is heard */
  engine_registry o;
  engine_registry_init(&o, 8, time_from_ms(0));
  pass(&o, &r, "e1", true, 20100);
  pass(&o, &r, "e2", true, 20100);
  for (int64_t t = 20250; t <= 40000; t += 250) {
    if (t % 1000 == 0) {
      beat(&r, "e1", "10.0.0.1:80", (uint64_t)t + 1, false, t);
      expect(fleet, pass(&o, &r, "e1", false, t + 10) == REGISTRY_ALIVE,
             "a sign of life is not taken");
    }
    engine_registry_sweep(&o, time_from_ms(t), true);
  }
  expect(fleet, !engine_registry_find(&o, "e1")->gone && engine_registry_find(&o, "e2")->gone,
         "what another machine hears does not count");
  expect(fleet,
         pass(&o, &r, "e2", false, 40000) == REGISTRY_NEEDS_FETCH ||
             engine_registry_find(&o, "e2")->gone,
         "old word ends silence");
  /* while another core machine is out of reach, silence takes longer to count */
  engine_registry c;
  engine_registry_init(&c, 9, time_from_ms(0));
  beat(&c, "e3", "10.0.0.3:80", 1, false, 0);
  for (int64_t t = 250; t <= 28000; t += 250) {
    if (t % 1000 == 0)
      beat(&c, "e4", "10.0.0.4:80", (uint64_t)t, false, t);
    engine_registry_sweep(&c, time_from_ms(t), false);
    if (t == 20000)
      expect(fleet, !engine_registry_find(&c, "e3")->gone, "who may be heard elsewhere is gone");
  }
  expect(fleet, engine_registry_find(&c, "e3")->gone && !engine_registry_find(&c, "e4")->gone,
         "silence counts never, or another's");
  engine_registry_free(&c);
  /* a process that slept, or is cut off from all, judges nobody */
  engine_registry_sweep(&o, time_from_ms(90000), true);
  engine_registry_sweep(&o, time_from_ms(90250), true);
  expect(fleet, !engine_registry_find(&o, "e1")->gone,
         "a process that slept says that others are silent");
  for (int64_t t = 90500; t <= 120000; t += 250)
    engine_registry_sweep(&o, time_from_ms(t), true);
  expect(fleet, !engine_registry_find(&o, "e1")->gone,
         "a process that hears nothing says that others are silent");
  engine_registry_free(&r);
  engine_registry_free(&o);
  return true;
}

static bool registries_tell_each_other(fleet *fleet) {
  engine_registry a, b;
  bool whole;
  engine_registry_init(&a, 7, time_from_ms(0));
  engine_registry_init(&b, 8, time_from_ms(0));
  beat(&a, "e1", "10.0.0.1:80", 1, false, 1000);
  expect(fleet, pass(&b, &a, "e1", false, 1100) == REGISTRY_NEEDS_FETCH,
         "a sign of life of an engine that is not known does not make one ask");
  expect(fleet,
         pass(&b, &a, "e1", true, 1200) == REGISTRY_CHANGED &&
             engine_registry_find(&b, "e1")->last_heard_at.us == time_from_ms(1000).us,
         "the time of a beat is not passed on");
  /* a cast that was lost shows in the sum */
  beat(&a, "e1", "10.0.0.1:81", 2, false, 2000);
  expect(fleet, pass(&b, &a, "e1", false, 2100) == REGISTRY_NEEDS_FETCH,
         "a lost change does not show");
  expect(fleet,
         pass(&b, &a, "e1", true, 2200) == REGISTRY_CHANGED &&
             !strcmp(engine_registry_find(&b, "e1")->heartbeat->address, "10.0.0.1:81"),
         "a lost change is not made good");
  expect(fleet, pass(&b, &a, "e1", true, 2300) == REGISTRY_ALIVE, "the same word is a change");
  /* a young registry is not the whole */
  expect(fleet, since(&b, 0, 0, &whole) == 1 && !whole, "a young registry calls itself whole");
  uint64_t had = b.seq;
  engine_registry_set_complete(&b);
  expect(fleet, since(&b, 8, had, &whole) == 1 && whole,
         "who has a part does not get the whole once there is one");
  expect(fleet, since(&b, 8, b.seq, &whole) == 0 && !whole, "who has all gets it again");
  expect(fleet, since(&b, 99, b.seq + 5, &whole) == 1 && whole,
         "one who knew another run does not get the whole");
  beat(&b, "e2", "10.0.0.2:80", 1, false, 3000);
  expect(fleet, since(&b, 8, b.seq - 1, &whole) == 1 && !whole, "a change is not told by itself");
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

static int decide(fleet *fleet, GString *text, bool whole, uint64_t base, const char *body) {
  error err = { 0 };
  json *json = json_parse(string_view_of(body), &err);
  if (!json) {
    violation(fleet, "%s: %s", body, err.text);
    return err.code;
  }
  GString *next = g_string_new(NULL);
  int r = config_change_apply(string_view_of_gstring(text),
                              config_change_version(string_view_of_gstring(text)), whole, base,
                              json, next, &err);
  if (!r)
    g_string_assign(text, next->str);
  if (r && next->len)
    violation(fleet, "a refused configuration leaves a text");
  g_string_free(next, TRUE);
  json_free(json);
  return r;
}

static bool configurations_are_decided(fleet *fleet) {
  GString *t = g_string_new("{}");
  const char *first = "{\"version\":3,\"routes\":[" ROUTE("r1", "/a/", "s") "]," SERVICES "}";
  expect(fleet, config_change_version(string_view_of_gstring(t)) == 0,
         "a blank text has a version");
  expect(fleet, decide(fleet, t, true, 1, first) == E_VERSION_CONFLICT,
         "the first one builds on something");
  expect(fleet, decide(fleet, t, true, 0, "{\"version\":0,\"routes\":[]," SERVICES "}"),
         "version 0 is above 0");
  expect(fleet,
         decide(fleet, t, false, 0,
                "{\"version\":2,\"set\":{\"routes\":[" ROUTE("r1", "/a/", "s") "]}}"),
         "a change of nothing is one");
  expect(fleet,
         decide(fleet, t, true, 0, first) == OK &&
             config_change_version(string_view_of_gstring(t)) == 3,
         "the first one is refused");
  /* two on one version: the second is told so, whether it is sound or not */
  expect(fleet, decide(fleet, t, true, 0, first) == E_VERSION_CONFLICT,
         "a version is built on twice");
  expect(fleet, decide(fleet, t, true, 2, "{\"version\":9}") == E_VERSION_CONFLICT,
         "an old base is not told");
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
    int r = decide(fleet, t, true, 3, bad[i]);
    if (r < E_JSON || r >= E_WIRE_MESSAGE || r == E_VERSION_CONFLICT)
      violation(fleet, "%s is decided to be %d", bad[i], r);
  }
  expect(fleet, config_change_version(string_view_of_gstring(t)) == 3,
         "a refused one changed something");
  expect(fleet,
         decide(fleet, t, false, 3,
                "{\"version\":7,\"set\":{\"routes\":[" ROUTE(
                    "r2", "/b/", "s") "]},\"drop\":{\"routes\":[\"r1\"]}}") == OK,
         "a change is refused");
  expect(fleet,
         config_change_version(string_view_of_gstring(t)) == 7 && strstr(t->str, "r2") &&
             !strstr(t->str, "r1"),
         "a change is not made");
  expect(fleet, decide(fleet, t, false, 7, "{\"version\":8,\"drop\":{\"services\":[\"s\"]}}"),
         "a service in use is dropped");
  expect(fleet, decide(fleet, t, false, 7, "{\"version\":7,\"set\":{}}"),
         "a change to the same version is taken");
  g_string_free(t, TRUE);
  return true;
}

/* core machines with listeners, and routers that mind engines, in a whole fleet */
enum { CONNECTION_LISTENER = 7400 };
/* what a router was told of one engine */
typedef struct {
  char id[48], addr[48];
  bool leaving, gone;
  time_us at;
} told;
typedef struct {
  world *world;
  GArray *all;
  int wholes;
} ear;

static void heard(void *p, const Wire__ConfigPollResponse *b) {
  ear *e = p;
  e->wholes += b->engines_complete;
  for (size_t i = 0; i < b->n_engines; i++) {
    told t = { .leaving = b->engines[i]->draining,
               .gone = b->engines[i]->gone,
               .at = world_now(e->world) };
    g_strlcpy(t.id, b->engines[i]->id, sizeof t.id);
    g_strlcpy(t.addr, b->engines[i]->address, sizeof t.addr);
    g_array_append_val(e->all, t);
  }
}

static told *last_of(host *host, const char *who) {
  ear *e = host->extra;
  for (guint i = e->all->len; i-- > 0;)
    if (!strcmp(g_array_index(e->all, told, i).id, who))
      return &g_array_index(e->all, told, i);
  return NULL;
}

static void listener_begin(host *host) {
  error err = { 0 };
  char ip[48];
  g_strlcpy(ip, host->addr, (size_t)(strrchr(host->addr, ':') - host->addr) + 1);
  if (controller_open_control_listener(host->controller, ip, CONNECTION_LISTENER, NULL, &err))
    fprintf(stderr, "  no door: %s\n", err.text);
}

static void ear_begin(host *host) {
  if (!host->extra) {
    ear *e = g_new0(ear, 1);
    e->world = &host->world;
    e->all = g_array_new(FALSE, TRUE, sizeof(told));
    host->extra = e;
  }
  host->router->gateway = host->extra;
  host->router->on_engines_changed = heard;
}

static void ear_dispose(host *host) {
  ear *e = host->extra;
  if (e) {
    g_array_free(e->all, TRUE);
    g_free(e);
  }
  host->extra = NULL;
}

typedef struct {
  world *world;
  char addr[48], verb[8], path[64];
  const char *text;
  int64_t base;
  int status;
  GString *body;
  char to[96];
  bool done;
  time_us sent, at;
} test_call;

static void test_call_run(void *p) {
  test_call *knock = p;
  fields *fields = g_string_new(NULL);
  fields_add(fields, "Host", string_view_of(knock->addr));
  if (knock->base >= 0)
    fields_add_format(fields, "Asterfall-Base-Version", "%" PRId64, knock->base);
  time_us till = time_add(world_now(knock->world), time_from_ms(1500));
  http_call *call = http_call_open_fields(knock->world, knock->addr, knock->verb, knock->path,
                                          fields, string_view_of(knock->text), false, till);
  if (!http_call_read_all(call, knock->body, till))
    knock->status = call->status;
  string_view to;
  if (fields_get(call->response_fields, "Location", &to))
    snprintf(knock->to, sizeof knock->to, "%.*s", (int)to.length, to.data);
  http_call_close(call);
  g_string_free(fields, TRUE);
  knock->at = world_now(knock->world);
  knock->done = true;
}

static test_call *test_call_send(fleet *fleet, const char *addr, const char *verb, const char *path,
                                 const char *text, int64_t base) {
  test_call *knock = g_new0(test_call, 1);
  knock->world = &fleet->operator->world;
  knock->base = base;
  knock->text = text;
  knock->body = g_string_new(NULL);
  knock->sent = fleet->sim->now;
  g_strlcpy(knock->addr, addr, sizeof knock->addr);
  g_strlcpy(knock->verb, verb, sizeof knock->verb);
  g_strlcpy(knock->path, path, sizeof knock->path);
  task_start(&fleet->operator->world.tasks, "knock", test_call_run, knock);
  return knock;
}

static bool test_call_done(sim *sim, void *p) {
  (void)sim;
  return ((test_call *)p)->done;
}
static void test_call_free(test_call *knock) {
  g_string_free(knock->body, TRUE);
  g_free(knock);
}

static char *listener_of(host *host) {
  return g_strdup_printf("%.*s:%d", (int)(strrchr(host->addr, ':') - host->addr), host->addr,
                         CONNECTION_LISTENER);
}

/* asks one core machine, and follows where it leads, two times */
static test_call *request_listener(fleet *fleet, host *host, const char *verb, const char *path,
                                   const char *text, int64_t base) {
  char *addr = listener_of(host);
  for (int i = 0;; i++) {
    test_call *knock = test_call_send(fleet, addr, verb, path, text, base);
    sim_until(fleet->sim, test_call_done, knock, time_from_ms(2000));
    if (knock->at.us - knock->sent.us > 1000000)
      violation(fleet, "%s %s took %" PRId64 " ms", verb, path,
                (knock->at.us - knock->sent.us) / 1000);
    char *slash = g_str_has_prefix(knock->to, "http://") ? strchr(knock->to + 7, '/') : NULL;
    if (knock->status != 307 || i == 2) {
      g_free(addr);
      return knock;
    }
    if (!slash || strcmp(slash, path)) {
      violation(fleet, "led to %s", knock->to);
      g_free(addr);
      return knock;
    }
    g_free(addr);
    addr = g_strndup(knock->to + 7, slash - knock->to - 7);
    test_call_free(knock);
  }
}

static int status_at(fleet *fleet, host *host, const char *verb, const char *path, const char *text,
                     int64_t base) {
  test_call *knock = request_listener(fleet, host, verb, path, text, base);
  int st = knock->status;
  test_call_free(knock);
  return st;
}

static char *beat_text(const char *addr, int count, const char *state) {
  return g_strdup_printf(
      "{\"service\":\"chat\",\"address\":\"%s\",\"zone\":\"north\",\"version\":\"v1\",\"slots\":8,\"state\":\"%s\",\"coldMs\":0,\"models\":[{\"name\":\"m1\",\"version\":1,\"adapters\":[\"a1\"]}],\"count\":%d}",
      addr, state, count);
}

static int beat_at(fleet *fleet, host *host, const char *who, const char *addr, int count,
                   const char *state) {
  char *t = beat_text(addr, count, state), path[80];
  snprintf(path, sizeof path, "/v1/engines/%s/%s", who, strcmp(state, "off") ? "beat" : "leave");
  int st = status_at(fleet, host, "POST", path, t, -1);
  g_free(t);
  return st;
}

static bool listeners_up(fleet *fleet) {
  for (int i = 0; i < fleet->controllers; i++)
    fleet->controller[i]->begin = listener_begin;
  for (int i = 0; i < fleet->routers; i++) {
    fleet->router[i]->begin = ear_begin;
    fleet->router[i]->dispose = ear_dispose;
  }
  return fleet_up(fleet);
}

static bool engines_come_and_go_by_beats(fleet *fleet) {
  if (!listeners_up(fleet))
    return false;
  for (int i = 1; i <= 4; i++) {
    if (beat_at(fleet, fleet->controller[i % 3], "e1", "10.0.0.1:80", i, "ready") != 200)
      violation(fleet, "a beat is not taken");
    if (beat_at(fleet, fleet->controller[(i + 1) % 3], "e2", "10.0.0.2:80", i, "ready") != 200)
      violation(fleet, "a beat is not taken");
    sim_run(fleet->sim, time_from_ms(1200));
  }
  for (int i = 0; i < 3; i++)
    if (!engine_registry_find(&fleet->controller[i]->controller->registry_sync.registry, "e1"))
      violation(fleet, "%s does not know of an engine", fleet->controller[i]->self.text);
  for (int i = 0; i < fleet->routers; i++)
    if (!last_of(fleet->router[i], "e1") || !last_of(fleet->router[i], "e2"))
      violation(fleet, "%s does not know of an engine", fleet->router[i]->self.text);
  if (status_at(fleet, fleet->controller[0], "POST", "/v1/engines/e1/beat", "{", -1) != 400 ||
      status_at(fleet, fleet->controller[0], "POST", "/v1/engines/e1/beat", "{\"service\":\"x\"}",
                -1) != 400)
    violation(fleet, "a bad beat is taken");
  if (status_at(fleet, fleet->controller[0], "GET", "/v1/nothing", NULL, -1) != 404 ||
      status_at(fleet, fleet->controller[0], "GET", "/ready", NULL, -1) != 200)
    violation(fleet, "a page is not as it should be");
  /* leaving reaches every router at once, whoever was told */
  host *host = fleet->controller[sim_draw(fleet->sim, 3)];
  for (int i = 0; i < fleet->routers; i++)
    for (int k = 0; k < 3; k++)
      if (fleet->controller[k] != host)
        sim_part(fleet->sim, fleet->router[i]->self.text, fleet->controller[k]->self.text, true);
  if (beat_at(fleet, host, "e1", "10.0.0.1:80", 9, "leaving") != 200)
    violation(fleet, "leaving is not taken");
  sim_run(fleet->sim, time_from_ms(100));
  sim_mend(fleet->sim);
  for (int i = 0; i < fleet->routers; i++)
    if (!last_of(fleet->router[i], "e1")->leaving)
      violation(fleet, "%s does not know 100 ms later that an engine leaves",
                fleet->router[i]->self.text);
  /* a core machine that starts anew has it from the others, and gives routers the whole */
  host_kill(host);
  sim_run(fleet->sim, time_from_ms(300));
  host_start(host);
  for (int i = 0; i < 3; i++) {
    sim_run(fleet->sim, time_from_ms(1000));
    beat_at(fleet, fleet->controller[(int)sim_draw(fleet->sim, 3)], "e2", "10.0.0.2:80", 20 + i,
            "ready");
  }
  registered_engine *entry = engine_registry_find(&host->controller->registry_sync.registry, "e1");
  if (!entry || !entry->draining || !host->controller->registry_sync.registry.is_complete)
    violation(fleet, "%s does not know again that an engine leaves", host->self.text);
  if (beat_at(fleet, host, "e1", "10.0.0.1:80", 12, "off") != 200)
    violation(fleet, "a sign-off is not taken");
  sim_run(fleet->sim, time_from_ms(100));
  for (int i = 0; i < fleet->routers; i++)
    if (!last_of(fleet->router[i], "e1")->gone)
      violation(fleet, "%s does not know 100 ms later that an engine is gone",
                fleet->router[i]->self.text);
  for (int i = 0; i < 3; i++) {
    beat_at(fleet, fleet->controller[i], "e1", "10.0.0.1:80", 30 + i, "ready");
    if (!engine_registry_find(&fleet->controller[i]->controller->registry_sync.registry, "e1")
             ->signed_off)
      violation(fleet, "a late beat revives an engine");
  }
  /* one that only falls silent is gone, and back with its next beat */
  for (int i = 1; i <= 11; i++) {
    beat_at(fleet, fleet->controller[0], "e3", "10.0.0.3:80", i, "ready");
    sim_run(fleet->sim, time_from_ms(1000));
  }
  for (int i = 0; i < 3; i++)
    if (!engine_registry_find(&fleet->controller[i]->controller->registry_sync.registry, "e2")
             ->gone ||
        engine_registry_find(&fleet->controller[i]->controller->registry_sync.registry, "e3")->gone)
      violation(fleet, "%s does not know who is silent", fleet->controller[i]->self.text);
  for (int i = 0; i < fleet->routers; i++)
    if (!last_of(fleet->router[i], "e2")->gone || last_of(fleet->router[i], "e2")->leaving)
      violation(fleet, "a silent engine is not gone, or for good, at %s",
                fleet->router[i]->self.text);
  beat_at(fleet, fleet->controller[0], "e2", "10.0.0.2:80", 90, "ready");
  sim_run(fleet->sim, time_from_ms(1500));
  for (int i = 0; i < fleet->routers; i++) {
    if (last_of(fleet->router[i], "e2")->gone)
      violation(fleet, "an engine is not back at %s", fleet->router[i]->self.text);
    if (!((ear *)fleet->router[i]->extra)->wholes)
      violation(fleet, "%s never had the whole", fleet->router[i]->self.text);
  }
  return true;
}

static char *config_text(int version, int routes) {
  GString *b = g_string_new(NULL);
  json_appendf(b, "{\"version\":%d,\"routes\":[", version);
  for (int i = 0; i < routes; i++)
    json_appendf(
        b,
        "%s{\"name\":\"r%d\",\"host\":\"a.example\",\"prefix\":\"/p%d/\",\"mode\":\"safe\",\"timeoutMs\":1000,\"targetMs\":500,\"priority\":0,\"service\":\"s\",\"attempts\":1}",
        i ? "," : "", i, i);
  json_appendf(b, "],%s}", SERVICES);
  return g_string_free(b, FALSE);
}

static bool configurations_come_to_listeners(fleet *fleet) {
  if (!listeners_up(fleet))
    return false;
  host *h = fleet->controller[sim_draw(fleet->sim, 3)];
  if (status_at(fleet, h, "GET", "/v1/routing", NULL, -1) != 404)
    violation(fleet, "there is a configuration before the first");
  char *a = config_text(2, 3), *b = config_text(5, 4), *c = config_text(6, 5),
       *large = config_text(20, 1200);
  if (status_at(fleet, h, "PUT", "/v1/routing", a, -1) != 400)
    violation(fleet, "one that builds on nothing known is taken");
  if (status_at(fleet, h, "PUT", "/v1/routing", a, 0) != 200)
    violation(fleet, "the first one is not taken");
  for (int i = 0; i < 3; i++)
    if (status_at(fleet, fleet->controller[i], "PUT", "/v1/routing", a, 0) != 200)
      violation(fleet, "the first one is refused when it comes again");
  if (status_at(fleet, h, "PUT", "/v1/routing", b, 1) != 412 ||
      status_at(fleet, h, "PUT", "/v1/routing", a, 2) != 400)
    violation(fleet, "a wrong one is taken, or refused otherwise");
  /* two at the same time on the same version, at drawn machines, each followed by hand */
  char *at = listener_of(fleet_head(fleet));
  test_call *x = test_call_send(fleet, at, "PUT", "/v1/routing", b, 2),
            *y = test_call_send(fleet, at, "PUT", "/v1/routing", c, 2),
            *again = test_call_send(fleet, at, "PUT", "/v1/routing", b, 2);
  g_free(at);
  sim_until(fleet->sim, test_call_done, x, time_from_ms(2000));
  sim_until(fleet->sim, test_call_done, y, time_from_ms(2000));
  sim_until(fleet->sim, test_call_done, again, time_from_ms(2000));
  if ((x->status == 200) + (y->status == 200) != 1 || (x->status == 412) + (y->status == 412) != 1)
    violation(fleet, "two raced and got %d and %d", x->status, y->status);
  if (again->status != x->status)
    violation(fleet, "the same came again meanwhile and got %d, not %d", again->status, x->status);
  int now = x->status == 200 ? 5 : 6;
  test_call_free(x);
  test_call_free(y);
  test_call_free(again);
  if (status_at(fleet, fleet->controller[0], "PATCH", "/v1/routing",
                "{\"version\":11,\"drop\":{\"routes\":[\"r0\"]}}", now) != 200)
    violation(fleet, "a change is not taken");
  if (status_at(fleet, fleet->controller[1], "PATCH", "/v1/routing",
                "{\"version\":11,\"drop\":{\"routes\":[\"r0\"]}}", now) != 200)
    violation(fleet, "a change is refused when it comes again");
  if (status_at(fleet, fleet->controller[2], "PUT", "/v1/routing", a, 0) != 200)
    violation(fleet, "an old one that was taken is refused when it comes again");
  test_call *knock = request_listener(fleet, fleet->controller[1], "GET", "/v1/routing", NULL, -1);
  json *json = json_parse(string_view_of_gstring(knock->body), NULL);
  if (knock->status != 200 || json_number(json, "version", 0) != 11 ||
      json_count(json_get(json, "routes")) != (size_t)(now == 5 ? 3 : 4))
    violation(fleet, "it reads %d, %.200s", knock->status, knock->body->str);
  json_free(json);
  test_call_free(knock);
  if (status_at(fleet, h, "PUT", "/v1/routing", large, 11) != 200)
    violation(fleet, "a large one is not taken");
  sim_run(fleet->sim, time_from_ms(1000));
  for (int i = 0; i < fleet->routers; i++) {
    const routing *routing = fleet->router[i]->router->routing;
    if (!routing || routing->revision != 20 || routing->route_count != 1200)
      violation(fleet, "%s has not compiled it", fleet->router[i]->self.text);
  }
  /* no head: 503 in time, and what was acknowledged is there when the core is back */
  host *alone = fleet_tail(fleet);
  for (int i = 0; i < 3; i++)
    if (fleet->controller[i] != alone)
      host_kill(fleet->controller[i]);
  sim_run(fleet->sim, time_from_ms(2500));
  char *d = config_text(30, 2);
  int st = status_at(fleet, alone, "PUT", "/v1/routing", d, 20);
  if (st != 503 && st != 504)
    violation(fleet, "a machine without the others gave %d", st);
  for (int i = 0; i < 3; i++)
    if (fleet->controller[i] != alone)
      host_start(fleet->controller[i]);
  if (!wait_chain(fleet, 3, 15000))
    return false;
  sim_run(fleet->sim, time_from_ms(3000));
  st = status_at(fleet, fleet->controller[0], "PUT", "/v1/routing", d, 20);
  if (st != 200)
    violation(fleet, "with the core back it is %d", st);
  /* the head leaves in order: another acts soon, and callers are led there as long as the leaver's
   * process is there */
  host *head = fleet_head(fleet);
  controller_drain(head->controller);
  sim_run(fleet->sim, time_from_ms(1500));
  char *e = config_text(31, 2);
  st = status_at(fleet, head, "PUT", "/v1/routing", e, 30);
  if (st != 200)
    violation(fleet, "a head that leaves gave %d", st);
  g_free(a);
  g_free(b);
  g_free(c);
  g_free(d);
  g_free(e);
  g_free(large);
  return true;
}

const test_case registry_tests[] = {
  { "beats_come_late", beats_come_late, 1, 1, 10 },
  { "leaving_is_for_good", leaving_is_for_good, 1, 1, 10 },
  { "addresses_are_used_again", addresses_are_used_again, 1, 1, 10 },
  { "engines_fall_silent", engines_fall_silent, 1, 1, 10 },
  { "registries_tell_each_other", registries_tell_each_other, 1, 1, 10 },
  { "configurations_are_decided", configurations_are_decided, 1, 1, 10 },
  { "engines_come_and_go_by_beats", engines_come_and_go_by_beats, 4, 1, 100 },
  { "configurations_come_to_listeners", configurations_come_to_listeners, 3, 1, 100 },
  { NULL, NULL, 0, 0, 0 }
};
