/** Tests of lib/configuration/routing*.c, dialect.c and json.c: routes are found, names are
 * translated, invalid configurations are rejected, and patches are merged. No fleet is started. */
#include "dialect.h"
#include "routing.h"
#include "tests.h"
#include <stdio.h>

/* A dialect that exists only for these tests. */
static const dialect_pair keys[] = { { "version", "issue" },  { "routes", "ways" },
                                     { "host", "seat" },      { "service", "shop" },
                                     { "services", "shops" }, { "weight", "part" },
                                     { "split", "parts" } };
static const dialect_value words[] = { { "mode", "safe", "again" },
                                       { "mode", "once", "single" },
                                       { "state", "leaving", "ending" } };
static const dialect odd = {
  .keys = keys,
  .key_count = G_N_ELEMENTS(keys),
  .values = words,
  .value_count = G_N_ELEMENTS(words),
  .calls = { [DC_HEARTBEAT] = { "POST", "/e/{}/b" }, [DC_CONFIG_GET] = { "GET", "/c/read" } }
};

static json *read_or(fleet *fleet, const char *text) {
  error err = { 0 };
  json *json = json_parse(string_view_of(text), &err);
  if (!json)
    fleet_add_violation(fleet, "%s: %s", text, err.text);
  return json;
}

static void written(fleet *fleet, const json *json, const char *due, const char *what) {
  GString *b = g_string_new(NULL);
  json_write(json, b);
  if (strcmp(b->str, due))
    fleet_add_violation(fleet, "%s is %s, not %s", what, b->str, due);
  g_string_free(b, TRUE);
}

static bool names_are_translated_both_ways(fleet *fleet) {
  static const char *const texts[][2] = {
    { "{\"issue\":7,\"ways\":[{\"seat\":\"a\",\"mode\":\"again\",\"parts\":[{\"shop\":\"s\",\"part\":90}]}],\"x\":{\"shops\":[1,null,true]}}",
      "{\"version\":7,\"routes\":[{\"host\":\"a\",\"mode\":\"safe\",\"split\":[{\"service\":\"s\",\"weight\":90}]}],\"x\":{\"services\":[1,null,true]}}" },
    { "{\"version\":1,\"~version\":2,\"~~x\":3,\"issue\":4,\"mode\":\"once\"}",
      "{\"~version\":1,\"~~version\":2,\"~~~x\":3,\"version\":4,\"mode\":\"~once\"}" },
    { "{\"mode\":\"~odd\",\"state\":\"ending\",\"other\":\"ending\"}",
      "{\"mode\":\"~~odd\",\"state\":\"leaving\",\"other\":\"ending\"}" },
    { "{\"mode\":\"new\",\"state\":\"again\",\"host\":\"single\"}",
      "{\"mode\":\"new\",\"state\":\"again\",\"~host\":\"single\"}" },
    { "[{\"issue\":[{\"issue\":{}}]}]", "[{\"version\":[{\"version\":{}}]}]" }
  };
  for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
    json *json = read_or(fleet, texts[i][0]);
    dialect_translate_in(&odd, json);
    written(fleet, json, texts[i][1], "the text with native names");
    dialect_translate_out(&odd, json);
    written(fleet, json, texts[i][0], "the text translated in and out");
    dialect_translate_in(&dialect_native, json);
    written(fleet, json, texts[i][0], "the text in the native dialect");
    json_free(json);
  }
  id who = { "" };
  if (!dialect_matches_call(&odd, DC_HEARTBEAT, "POST", "/e/i-7:x/b?q=/e/", &who) ||
      strcmp(who.text, "i-7:x"))
    fleet_add_violation(fleet, "a call with an id in its path is not matched");
  if (!dialect_matches_call(&odd, DC_CONFIG_GET, "GET", "/c/read?x", NULL))
    fleet_add_violation(fleet, "a call without an id is not matched");
  static const char *const not [] = { "/e//b",   "/e/a/b/b", "/e/a b/b", "/e/a",
                                      "/e/a/bb", "/e/b",     "/x/a/b",   "" };
  for (size_t i = 0; i < G_N_ELEMENTS(not ); i++)
    if (dialect_matches_call(&odd, DC_HEARTBEAT, "POST", not [i], NULL))
      fleet_add_violation(fleet, "%s is matched as a call", not [i]);
  if (dialect_matches_call(&odd, DC_HEARTBEAT, "GET", "/e/a/b", NULL) ||
      dialect_matches_call(&odd, DC_ENGINE_ORDER, "POST", "/v1/order", NULL))
    fleet_add_violation(fleet, "a call is matched as another");
  if (!dialect_matches_call(&dialect_native, DC_LEAVE, "POST", "/v1/engines/a/leave", &who) ||
      strcmp(who.text, "a"))
    fleet_add_violation(fleet, "a call of the native dialect is not matched");
  return true;
}

static bool numbers_keep_their_values(fleet *fleet) {
  static const char *const same[] = {
    "[16100.000000000002,0.95,4194304,0.1,-3,1e+300,2.5e-300,9007199254740991]",
    "[9007199254740993,-18446744073709551617,123456789012345678901234567890]"
  };
  for (size_t i = 0; i < G_N_ELEMENTS(same); i++) {
    json *value = read_or(fleet, same[i]), *copy = value ? json_copy(value) : NULL;
    if (!value)
      return true;
    dialect_translate_in(&odd, value);
    written(fleet, value, same[i], "the list of numbers");
    written(fleet, copy, same[i], "its copy");
    json_free(value);
    json_free(copy);
  }
  json *value = read_or(fleet, "[130000.0,1E3,16100.0000000000020]");
  written(fleet, value, "[130000,1000,16100.000000000002]", "the list of number formats");
  json_free(value);
  return true;
}

#define SERVICES                                                                                                                                               \
  "\"services\":[{\"name\":\"s\"},{\"name\":\"t\",\"health\":\"/h\",\"connectionsMost\":50,\"odd\":1,\"engine\":{\"slots\":64,\"kvTokens\":1000,\"stride\":2," \
  "\"models\":[{\"name\":\"m\",\"weightsMb\":16100.000000000002,\"loadS\":0.95,\"adapters\":3,\"adapterMb\":14.0}],\"weightsMb\":83000.0,\"adapterSlots\":8,\"loadsPerS\":2.1}}]"

static routing *made(const char *text, error *err) {
  json *json = json_parse(string_view_of(text), err);
  routing *routing = json ? routing_compile(json, err) : NULL;
  json_free(json);
  return routing;
}

static void leads(fleet *fleet, const routing *routing, const char *host, const char *path,
                  const char *due) {
  const route *k = routing_find_route(routing, string_view_of(host), string_view_of(path));
  if (strcmp(k ? k->name.text : "", due))
    fleet_add_violation(fleet, "%s%s is routed by \"%s\", not \"%s\"", host, path,
                        k ? k->name.text : "", due);
}

static bool routes_are_found(fleet *fleet) {
  error err = { 0 };
  routing *t = made(
      "{\"version\":9,\"extra\":[1],\"routes\":["
      "{\"name\":\"a\",\"host\":\"One.example\",\"prefix\":\"/x/\",\"timeoutMs\":5000,\"service\":\"s\"},"
      "{\"name\":\"b\",\"host\":\"one.example\",\"prefix\":\"/x/y/\",\"timeoutMs\":0.5,\"targetMs\":7,\"mode\":\"stream\",\"attempts\":3,\"priority\":2,\"affinity\":true,\"gapTargetMs\":40,"
      "\"split\":[{\"service\":\"s\",\"weight\":10},{\"service\":\"t\",\"weight\":30},{\"service\":\"s\",\"weight\":0}]},"
      "{\"name\":\"c\",\"host\":\"two.example\",\"prefix\":\"/\",\"timeoutMs\":1,\"service\":\"t\",\"mode\":\"safe\"}]," SERVICES
      "}",
      &err);
  if (!t) {
    fleet_add_violation(fleet, "rejected: %s", err.text);
    return true;
  }
  leads(fleet, t, "one.example", "/x/", "a");
  leads(fleet, t, "ONE.example:8080", "/x/y", "a");
  leads(fleet, t, "one.example", "/x/y/z?q=/x/", "b");
  leads(fleet, t, "one.example", "/x", "");
  leads(fleet, t, "one.example", "/xx/", "");
  leads(fleet, t, "one.example", "/?/x/", "");
  leads(fleet, t, "two.example", "/anything", "c");
  leads(fleet, t, "three.example", "/x/", "");
  leads(fleet, t, "", "/x/", "");
  const route *a = &t->routes[0], *b = &t->routes[1];
  if (t->revision != 9 || a->mode != ROUTE_MODE_ONCE || a->attempts != 1 || a->priority ||
      a->affinity || a->target_ms || a->gap_target_ms || a->timeout_ms != 5000)
    fleet_add_violation(fleet, "the defaults of a route are wrong");
  if (b->mode != ROUTE_MODE_STREAM || b->attempts != 3 || b->priority != 2 || !b->affinity ||
      b->gap_target_ms != 40 || b->timeout_ms != 1 || b->leg_count != 3)
    fleet_add_violation(fleet, "the fields of a route are wrong");
  int to_t = 0;
  for (int i = 0; i < 1000; i++)
    to_t += !strcmp(route_pick_service(b, (double)sim_random(fleet->sim, 1000000) / 1e6)->name.text,
                    "t");
  if (to_t < 690 || to_t > 810)
    fleet_add_violation(
        fleet, "%d of 1,000 draws, not about 750, picked the service with 3/4 of the weight", to_t);
  if (strcmp(route_pick_service(b, 0)->name.text, "s") ||
      strcmp(route_pick_service(b, 1)->name.text, "t"))
    fleet_add_violation(fleet, "draws of 0 and 1 pick the wrong services");
  const service *service = routing_find_service(t, "t");
  const service_model_spec *m = service_find_model(service, "m");
  if (!service || strcmp(service->health_path, "/h") || service->connections_max != 50 ||
      service->engine_slots != 64 || service->adapter_slots != 8 || service->loads_per_s != 2.1)
    fleet_add_violation(fleet, "the fields of a service are wrong");
  if (!m || m->weights_mb != 16100.000000000002 || m->load_ms != 950 || m->adapters != 3)
    fleet_add_violation(fleet, "the fields of a model are wrong");
  if (service_find_model(service, "n") || routing_find_service(t, "u") ||
      service_find_model(routing_find_service(t, "s"), "m"))
    fleet_add_violation(fleet, "a service or model that does not exist is found");
  if (t->limits.header_max_bytes != 16384 || t->limits.body_max_bytes != 4194304)
    fleet_add_violation(fleet, "the default limits are wrong");
  routing *u = routing_ref(t);
  routing_unref(t);
  leads(fleet, u, "two.example", "/anything", "c");
  routing_unref(u);
  return true;
}

#define ROUTE(more)                                                                                \
  "{\"version\":1,\"routes\":[{\"name\":\"a\",\"host\":\"h\",\"prefix\":\"/x/\"" more              \
  "}]," SERVICES "}"
#define GOOD ",\"timeoutMs\":5,\"service\":\"s\""
#define ENGINE(more)                                                                               \
  "{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"s\",\"engine\":{" more "}}]}"

static bool invalid_routings_are_refused(fleet *fleet) {
  static const struct {
    enum error_code code;
    const char *text;
  } bad[] = {
    { OK, ROUTE(GOOD) },
    { OK, "{\"version\":1,\"routes\":[],\"services\":[],\"limits\":{\"bodyBytes\":5,\"more\":1}}" },
    { E_ROUTING_STRUCTURE, "[]" },
    { E_ROUTING_STRUCTURE, "7" },
    { E_ROUTING_STRUCTURE, "{\"version\":1,\"services\":[]}" },
    { E_ROUTING_STRUCTURE, "{\"version\":1,\"routes\":[]}" },
    { E_ROUTING_STRUCTURE, "{\"version\":1,\"routes\":{},\"services\":[]}" },
    { E_ROUTING_STRUCTURE, "{\"version\":1,\"routes\":[7],\"services\":[]}" },
    { E_ROUTING_STRUCTURE, "{\"version\":1,\"routes\":[],\"services\":[{}]}" },
    { E_ROUTING_STRUCTURE, "{\"version\":1,\"routes\":[],\"services\":[],\"limits\":[]}" },
    { E_ROUTING_VERSION, "{\"routes\":[],\"services\":[]}" },
    { E_ROUTING_VERSION, "{\"version\":\"1\",\"routes\":[],\"services\":[]}" },
    { E_ROUTING_VERSION, "{\"version\":1.5,\"routes\":[],\"services\":[]}" },
    { E_UNKNOWN_SERVICE, ROUTE(",\"timeoutMs\":5,\"service\":\"u\"") },
    { E_UNKNOWN_SERVICE, ROUTE(",\"timeoutMs\":5") },
    { E_UNKNOWN_SERVICE,
      ROUTE(
          ",\"timeoutMs\":5,\"split\":[{\"service\":\"s\",\"weight\":1},{\"service\":\"u\",\"weight\":1}]") },
    { E_UNKNOWN_SERVICE, ROUTE(",\"timeoutMs\":5,\"split\":[{\"weight\":1}]") },
    { E_DUPLICATE_ROUTE, ROUTE(GOOD "},{\"name\":\"b\",\"host\":\"H\",\"prefix\":\"/x/\"" GOOD) },
    { E_DUPLICATE_NAME, ROUTE(GOOD "},{\"name\":\"a\",\"host\":\"h\",\"prefix\":\"/y/\"" GOOD) },
    { E_DUPLICATE_NAME,
      "{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"s\"},{\"name\":\"s\"}]}" },
    { E_DUPLICATE_NAME, ENGINE("\"models\":[{\"name\":\"m\"},{\"name\":\"m\"}]") },
    { E_ROUTE_WEIGHT, ROUTE(",\"timeoutMs\":5,\"split\":[]") },
    { E_ROUTE_WEIGHT,
      ROUTE(
          ",\"timeoutMs\":5,\"split\":[{\"service\":\"s\",\"weight\":0},{\"service\":\"t\",\"weight\":0}]") },
    { E_ROUTE_WEIGHT,
      ROUTE(
          ",\"timeoutMs\":5,\"split\":[{\"service\":\"s\",\"weight\":-1},{\"service\":\"t\",\"weight\":2}]") },
    { E_ROUTE_TIMEOUT, ROUTE(",\"timeoutMs\":0,\"service\":\"s\"") },
    { E_ROUTE_TIMEOUT, ROUTE(",\"timeoutMs\":-4,\"service\":\"s\"") },
    { E_ROUTE_TIMEOUT, ROUTE(",\"service\":\"s\"") },
    { E_ROUTE_PREFIX,
      "{\"version\":1,\"routes\":[{\"name\":\"a\",\"host\":\"h\",\"prefix\":\"/x\"" GOOD
      "}]," SERVICES "}" },
    { E_ROUTE_PREFIX,
      "{\"version\":1,\"routes\":[{\"name\":\"a\",\"host\":\"h\",\"prefix\":\"x/\"" GOOD
      "}]," SERVICES "}" },
    { E_ROUTE_MODE, ROUTE(GOOD ",\"mode\":\"odd\"") },
    { E_ROUTE_MODE, ROUTE(GOOD ",\"mode\":3") },
    { E_SPEC_RANGE, ROUTE(GOOD ",\"attempts\":-1") },
    { E_SPEC_RANGE, ENGINE("\"slots\":-1") },
    { E_SPEC_RANGE, ENGINE("\"weightsMb\":\"x\"") },
    { E_SPEC_RANGE, ENGINE("\"models\":[{\"name\":\"m\",\"weightsMb\":-5}]") },
    { E_LIMIT_RANGE, "{\"version\":1,\"routes\":[],\"services\":[],\"limits\":{\"idleMs\":-1}}" }
  };
  for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
    error err = { 0 };
    routing *routing = made(bad[i].text, &err);
    if (err.code != bad[i].code || !routing != !!bad[i].code)
      fleet_add_violation(fleet, "code %d (%s), not %d, for %s", err.code, err.text, bad[i].code,
                          bad[i].text);
    routing_unref(routing);
  }
  error err = { 0 };
  json *json = read_or(fleet, "{\"version\":5}");
  if (routing_check_successor(json, 4, &err) ||
      routing_check_successor(json, 5, &err) != E_STALE_VERSION ||
      routing_check_successor(json, 6, &err) != E_STALE_VERSION)
    fleet_add_violation(fleet,
                        "a version that is not higher is accepted, or a higher one rejected");
  json_free(json);
  return true;
}

static bool changes_go_by_name(fleet *fleet) {
  static const char base[] =
      "{\"version\":7,\"odd\":{\"k\":1},\"routes\":[{\"name\":\"a\",\"x\":1},{\"name\":\"b\"},{\"name\":\"c\"}],\"services\":[{\"name\":\"s\"}],\"limits\":{\"idleMs\":1,\"bodyBytes\":2}}";
  static const struct {
    enum error_code code;
    const char *patch, *due;
  } all[] = {
    { OK,
      "{\"version\":9,\"set\":{\"routes\":[{\"name\":\"d\"},{\"name\":\"a\",\"y\":2}]},\"drop\":{\"routes\":[\"b\",\"zz\"]}}",
      "{\"version\":9,\"odd\":{\"k\":1},\"routes\":[{\"name\":\"a\",\"y\":2},{\"name\":\"c\"},{\"name\":\"d\"}],\"services\":[{\"name\":\"s\"}],\"limits\":{\"idleMs\":1,\"bodyBytes\":2}}" },
    { OK,
      "{\"version\":8,\"set\":{\"limits\":{\"idleMs\":5},\"more\":[{\"name\":\"q\"}],\"odd\":{\"z\":0}},\"drop\":{\"services\":[\"s\"],\"none\":[\"w\"]}}",
      "{\"version\":8,\"odd\":{\"z\":0},\"routes\":[{\"name\":\"a\",\"x\":1},{\"name\":\"b\"},{\"name\":\"c\"}],\"services\":[],\"limits\":{\"idleMs\":5},\"more\":[{\"name\":\"q\"}]}" },
    { OK,
      "{\"version\":8,\"set\":{\"services\":[{\"name\":\"t\"},{\"name\":\"t\",\"k\":1}]},\"drop\":{\"routes\":[\"a\",\"b\",\"c\"]}}",
      "{\"version\":8,\"odd\":{\"k\":1},\"routes\":[],\"services\":[{\"name\":\"s\"},{\"name\":\"t\",\"k\":1}],\"limits\":{\"idleMs\":1,\"bodyBytes\":2}}" },
    { E_ROUTING_VERSION, "{\"set\":{}}", NULL },
    { E_ROUTING_PATCH, "[]", NULL },
    { E_ROUTING_PATCH, "{\"version\":8,\"set\":[]}", NULL },
    { E_ROUTING_PATCH, "{\"version\":8,\"drop\":{\"routes\":\"a\"}}", NULL },
    { E_ROUTING_PATCH, "{\"version\":8,\"set\":{\"routes\":{}}}", NULL },
    { E_ROUTING_PATCH, "{\"version\":8,\"set\":{\"routes\":[{\"x\":1}]}}", NULL },
    { E_ROUTING_PATCH, "{\"version\":8,\"drop\":{\"routes\":[5]}}", NULL }
  };
  json *value = read_or(fleet, base);
  for (size_t i = 0; i < G_N_ELEMENTS(all); i++) {
    error err = { 0 };
    json *p = read_or(fleet, all[i].patch), *next = routing_patch(value, p, &err);
    if (err.code != all[i].code || !next != !!all[i].code)
      fleet_add_violation(fleet, "code %d (%s), not %d, for %s", err.code, err.text, all[i].code,
                          all[i].patch);
    if (next && all[i].due)
      written(fleet, next, all[i].due, "the patched configuration");
    written(fleet, value, base, "the base of the patch");
    json_free(p);
    json_free(next);
  }
  json_free(value);
  return true;
}

static bool a_thousand_routes_are_fast(fleet *fleet) {
  GString *b = g_string_new("{\"issue\":3,\"ways\":[");
  for (int i = 0; i < 1000; i++)
    json_appendf(
        b,
        "%s{\"name\":\"r-%d\",\"seat\":\"ficu%d.example\",\"prefix\":\"/p%d/\",\"mode\":\"stream\",\"timeoutMs\":5000,\"targetMs\":1000,\"priority\":1,"
        "\"parts\":[{\"shop\":\"s\",\"part\":90},{\"shop\":\"t\",\"part\":10}],\"attempts\":1,\"affinity\":true,\"resumable\":false,\"gapTargetMs\":400}",
        i ? "," : "", i, i % 7, i);
  g_string_append(b, "],\"shops\":[{\"name\":\"s\"},{\"name\":\"t\"}]}");
  error err = { 0 };
  int64_t t0 = g_get_monotonic_time();
  json *json = json_parse(string_view_of_gstring(b), &err);
  int64_t t1 = g_get_monotonic_time();
  dialect_translate_in(&odd, json);
  int64_t t2 = g_get_monotonic_time();
  routing *routing = routing_compile(json, &err);
  int64_t t3 = g_get_monotonic_time();
  if (!routing)
    fleet_add_violation(fleet, "rejected: %s", err.text);
  int found = 0;
  for (int i = 0; i < 1000 && routing; i++) {
    char host[40], path[40];
    g_snprintf(host, sizeof host, "ficu%d.example:80", i % 7);
    g_snprintf(path, sizeof path, "/p%d/2f", i);
    const route *k = routing_find_route(routing, string_view_of(host), string_view_of(path));
    found += k && k == &routing->routes[i];
  }
  int64_t t4 = g_get_monotonic_time();
  if (found != 1000)
    fleet_add_violation(fleet, "%d of 1,000 routes are found", found);
  if (g_getenv("SIM_COUNT"))
    fprintf(stderr,
            "  1,000 routes: parsed %" PRId64 " us, translated %" PRId64 " us, compiled %" PRId64
            " us, looked up %" PRId64 " us\n",
            t1 - t0, t2 - t1, t3 - t2, t4 - t3);
  routing_unref(routing);
  json_free(json);
  g_string_free(b, TRUE);
  return true;
}

const test_case routing_tests[] = {
  { "names_are_translated_both_ways", names_are_translated_both_ways, 1, 1, 10 },
  { "numbers_keep_their_values", numbers_keep_their_values, 1, 1, 10 },
  { "routes_are_found", routes_are_found, 1, 1, 10 },
  { "invalid_routings_are_refused", invalid_routings_are_refused, 1, 1, 10 },
  { "changes_go_by_name", changes_go_by_name, 1, 1, 10 },
  { "a_thousand_routes_are_fast", a_thousand_routes_are_fast, 1, 1, 10 },
  { NULL, NULL, 0, 0, 0 }
};
