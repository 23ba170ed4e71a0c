/** Tests of lib/configuration/routing*.c, dialect.c and json.c: routes are found, names are
 * translated, invalid configurations are rejected, and patches are merged. No fleet is started. */
#include "dialect.h"
#include "routing.h"
#include "tests.h"
#include <stdio.h>

/* A dialect that exists only for these tests. */
static const dialect_pair dialect_keys[] = { { "version", "issue" },  { "routes", "ways" },
                                             { "host", "seat" },      { "service", "shop" },
                                             { "services", "shops" }, { "weight", "part" },
                                             { "split", "parts" } };
static const dialect_value dialect_values[] = { { "mode", "safe", "again" },
                                                { "mode", "once", "single" },
                                                { "state", "leaving", "ending" } };
static const dialect test_dialect = {
  .keys = dialect_keys,
  .key_count = G_N_ELEMENTS(dialect_keys),
  .values = dialect_values,
  .value_count = G_N_ELEMENTS(dialect_values),
  .calls = { [DC_HEARTBEAT] = { "POST", "/e/{}/b" }, [DC_CONFIG_GET] = { "GET", "/c/read" } }
};

static json *parse_json_or_report(fleet *fleet, const char *text) {
  error err = { 0 };
  json *json = json_parse(string_view_of(text), &err);
  if (!json)
    fleet_add_violation(fleet, "%s: %s", text, err.text);
  return json;
}

static void expect_json(fleet *fleet, const json *json, const char *expected, const char *what) {
  GString *text = g_string_new(NULL);
  json_write(json, text);
  if (strcmp(text->str, expected))
    fleet_add_violation(fleet, "%s is %s, not %s", what, text->str, expected);
  g_string_free(text, TRUE);
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
    json *json = parse_json_or_report(fleet, texts[i][0]);
    dialect_translate_in(&test_dialect, json);
    expect_json(fleet, json, texts[i][1], "the text with native names");
    dialect_translate_out(&test_dialect, json);
    expect_json(fleet, json, texts[i][0], "the text translated in and out");
    dialect_translate_in(&dialect_native, json);
    expect_json(fleet, json, texts[i][0], "the text in the native dialect");
    json_free(json);
  }
  id who = { "" };
  if (!dialect_matches_call(&test_dialect, DC_HEARTBEAT, "POST", "/e/i-7:x/b?q=/e/", &who) ||
      strcmp(who.text, "i-7:x"))
    fleet_add_violation(fleet, "a call with an id in its path is not matched");
  if (!dialect_matches_call(&test_dialect, DC_CONFIG_GET, "GET", "/c/read?x", NULL))
    fleet_add_violation(fleet, "a call without an id is not matched");
  static const char *const others[] = { "/e//b",   "/e/a/b/b", "/e/a b/b", "/e/a",
                                        "/e/a/bb", "/e/b",     "/x/a/b",   "" };
  for (size_t i = 0; i < G_N_ELEMENTS(others); i++)
    if (dialect_matches_call(&test_dialect, DC_HEARTBEAT, "POST", others[i], NULL))
      fleet_add_violation(fleet, "%s is matched as a call", others[i]);
  if (dialect_matches_call(&test_dialect, DC_HEARTBEAT, "GET", "/e/a/b", NULL) ||
      dialect_matches_call(&test_dialect, DC_ENGINE_ORDER, "POST", "/v1/order", NULL))
    fleet_add_violation(fleet, "a call is matched as another");
  if (!dialect_matches_call(&dialect_native, DC_SIGN_OFF, "POST", "/v1/engines/a/leave", &who) ||
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
    json *value = parse_json_or_report(fleet, same[i]), *copy = value ? json_copy(value) : NULL;
    if (!value)
      return true;
    dialect_translate_in(&test_dialect, value);
    expect_json(fleet, value, same[i], "the list of numbers");
    expect_json(fleet, copy, same[i], "its copy");
    json_free(value);
    json_free(copy);
  }
  json *value = parse_json_or_report(fleet, "[130000.0,1E3,16100.0000000000020]");
  expect_json(fleet, value, "[130000,1000,16100.000000000002]", "the list of number formats");
  json_free(value);
  return true;
}

#define SERVICES                                                                                                                                               \
  "\"services\":[{\"name\":\"s\"},{\"name\":\"t\",\"health\":\"/h\",\"connectionsMost\":50,\"odd\":1,\"engine\":{\"slots\":64,\"kvTokens\":1000,\"stride\":2," \
  "\"models\":[{\"name\":\"m\",\"weightsMb\":16100.000000000002,\"loadS\":0.95,\"adapters\":3,\"adapterMb\":14.0}],\"weightsMb\":83000.0,\"adapterSlots\":8,\"loadsPerS\":2.1}}]"

static routing *compile_text(const char *text, error *err) {
  json *json = json_parse(string_view_of(text), err);
  routing *routing = json ? routing_compile(json, err) : NULL;
  json_free(json);
  return routing;
}

static void expect_route(fleet *fleet, const routing *routing, const char *host, const char *path,
                         const char *expected) {
  const route *found = routing_find_route(routing, string_view_of(host), string_view_of(path));
  if (strcmp(found ? found->name.text : "", expected))
    fleet_add_violation(fleet, "%s%s is routed by \"%s\", not \"%s\"", host, path,
                        found ? found->name.text : "", expected);
}

static bool routes_are_found(fleet *fleet) {
  error err = { 0 };
  routing *compiled = compile_text(
      "{\"version\":9,\"extra\":[1],\"routes\":["
      "{\"name\":\"a\",\"host\":\"One.example\",\"prefix\":\"/x/\",\"timeoutMs\":5000,\"service\":\"s\"},"
      "{\"name\":\"b\",\"host\":\"one.example\",\"prefix\":\"/x/y/\",\"timeoutMs\":0.5,\"targetMs\":7,\"mode\":\"stream\",\"attempts\":3,\"priority\":2,\"affinity\":true,\"gapTargetMs\":40,"
      "\"split\":[{\"service\":\"s\",\"weight\":10},{\"service\":\"t\",\"weight\":30},{\"service\":\"s\",\"weight\":0}]},"
      "{\"name\":\"c\",\"host\":\"two.example\",\"prefix\":\"/\",\"timeoutMs\":1,\"service\":\"t\",\"mode\":\"safe\"}]," SERVICES
      "}",
      &err);
  if (!compiled) {
    fleet_add_violation(fleet, "rejected: %s", err.text);
    return true;
  }
  expect_route(fleet, compiled, "one.example", "/x/", "a");
  expect_route(fleet, compiled, "ONE.example:8080", "/x/y", "a");
  expect_route(fleet, compiled, "one.example", "/x/y/z?q=/x/", "b");
  expect_route(fleet, compiled, "one.example", "/x", "");
  expect_route(fleet, compiled, "one.example", "/xx/", "");
  expect_route(fleet, compiled, "one.example", "/?/x/", "");
  expect_route(fleet, compiled, "two.example", "/anything", "c");
  expect_route(fleet, compiled, "three.example", "/x/", "");
  expect_route(fleet, compiled, "", "/x/", "");
  const route *first = &compiled->routes[0], *second = &compiled->routes[1];
  if (compiled->revision != 9 || first->mode != ROUTE_MODE_ONCE || first->attempts != 1 ||
      first->priority || first->affinity || first->target_ms || first->gap_target_ms ||
      first->timeout_ms != 5000)
    fleet_add_violation(fleet, "the defaults of a route are wrong");
  if (second->mode != ROUTE_MODE_STREAM || second->attempts != 3 || second->priority != 2 ||
      !second->affinity || second->gap_target_ms != 40 || second->timeout_ms != 1 ||
      second->weighted_service_count != 3)
    fleet_add_violation(fleet, "the fields of a route are wrong");
  int picked = 0;
  for (int i = 0; i < 1000; i++)
    picked += !strcmp(
        route_pick_service(second, (double)sim_random(fleet->sim, 1000000) / 1e6)->name.text, "t");
  if (picked < 690 || picked > 810)
    fleet_add_violation(
        fleet, "%d of 1,000 draws, not about 750, picked the service with 3/4 of the weight",
        picked);
  if (strcmp(route_pick_service(second, 0)->name.text, "s") ||
      strcmp(route_pick_service(second, 1)->name.text, "t"))
    fleet_add_violation(fleet, "draws of 0 and 1 pick the wrong services");
  const service *service = routing_find_service(compiled, "t");
  const service_model_spec *model = service_find_model(service, "m");
  if (!service || strcmp(service->health_path, "/h") || service->connections_max != 50 ||
      service->engine_slots != 64 || service->adapter_slots != 8 || service->loads_per_s != 2.1)
    fleet_add_violation(fleet, "the fields of a service are wrong");
  if (!model || model->weights_mb != 16100.000000000002 || model->load_ms != 950 ||
      model->adapters != 3)
    fleet_add_violation(fleet, "the fields of a model are wrong");
  if (service_find_model(service, "n") || routing_find_service(compiled, "u") ||
      service_find_model(routing_find_service(compiled, "s"), "m"))
    fleet_add_violation(fleet, "a service or model that does not exist is found");
  if (compiled->limits.header_max_bytes != 16384 || compiled->limits.body_max_bytes != 4194304)
    fleet_add_violation(fleet, "the default limits are wrong");
  routing *shared = routing_ref(compiled);
  routing_unref(compiled);
  expect_route(fleet, shared, "two.example", "/anything", "c");
  routing_unref(shared);
  return true;
}

#define ROUTE(more)                                                                                \
  "{\"version\":1,\"routes\":[{\"name\":\"a\",\"host\":\"h\",\"prefix\":\"/x/\"" more              \
  "}]," SERVICES "}"
#define VALID_FIELDS ",\"timeoutMs\":5,\"service\":\"s\""
#define ENGINE(more)                                                                               \
  "{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"s\",\"engine\":{" more "}}]}"

static bool invalid_routings_are_refused(fleet *fleet) {
  static const struct {
    enum error_code code;
    const char *text;
  } cases[] = {
    { OK, ROUTE(VALID_FIELDS) },
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
    { E_DUPLICATE_ROUTE,
      ROUTE(VALID_FIELDS "},{\"name\":\"b\",\"host\":\"H\",\"prefix\":\"/x/\"" VALID_FIELDS) },
    { E_DUPLICATE_NAME,
      ROUTE(VALID_FIELDS "},{\"name\":\"a\",\"host\":\"h\",\"prefix\":\"/y/\"" VALID_FIELDS) },
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
      "{\"version\":1,\"routes\":[{\"name\":\"a\",\"host\":\"h\",\"prefix\":\"/x\"" VALID_FIELDS
      "}]," SERVICES "}" },
    { E_ROUTE_PREFIX,
      "{\"version\":1,\"routes\":[{\"name\":\"a\",\"host\":\"h\",\"prefix\":\"x/\"" VALID_FIELDS
      "}]," SERVICES "}" },
    { E_ROUTE_MODE, ROUTE(VALID_FIELDS ",\"mode\":\"odd\"") },
    { E_ROUTE_MODE, ROUTE(VALID_FIELDS ",\"mode\":3") },
    { E_SPEC_RANGE, ROUTE(VALID_FIELDS ",\"attempts\":-1") },
    { E_SPEC_RANGE, ENGINE("\"slots\":-1") },
    { E_SPEC_RANGE, ENGINE("\"weightsMb\":\"x\"") },
    { E_SPEC_RANGE, ENGINE("\"models\":[{\"name\":\"m\",\"weightsMb\":-5}]") },
    { E_LIMIT_RANGE, "{\"version\":1,\"routes\":[],\"services\":[],\"limits\":{\"idleMs\":-1}}" }
  };
  for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
    error err = { 0 };
    routing *routing = compile_text(cases[i].text, &err);
    if (err.code != cases[i].code || !routing != !!cases[i].code)
      fleet_add_violation(fleet, "code %d (%s), not %d, for %s", err.code, err.text, cases[i].code,
                          cases[i].text);
    routing_unref(routing);
  }
  error err = { 0 };
  json *json = parse_json_or_report(fleet, "{\"version\":5}");
  if (routing_check_successor(json, 4, &err) ||
      routing_check_successor(json, 5, &err) != E_STALE_VERSION ||
      routing_check_successor(json, 6, &err) != E_STALE_VERSION)
    fleet_add_violation(fleet,
                        "a version that is not higher is accepted, or a higher one rejected");
  json_free(json);
  return true;
}

static bool patches_apply_by_name(fleet *fleet) {
  static const char base[] =
      "{\"version\":7,\"odd\":{\"k\":1},\"routes\":[{\"name\":\"a\",\"x\":1},{\"name\":\"b\"},{\"name\":\"c\"}],\"services\":[{\"name\":\"s\"}],\"limits\":{\"idleMs\":1,\"bodyBytes\":2}}";
  static const struct {
    enum error_code code;
    const char *patch, *expected;
  } cases[] = {
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
  json *value = parse_json_or_report(fleet, base);
  for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
    error err = { 0 };
    json *patch = parse_json_or_report(fleet, cases[i].patch),
         *next = routing_patch(value, patch, &err);
    if (err.code != cases[i].code || !next != !!cases[i].code)
      fleet_add_violation(fleet, "code %d (%s), not %d, for %s", err.code, err.text, cases[i].code,
                          cases[i].patch);
    if (next && cases[i].expected)
      expect_json(fleet, next, cases[i].expected, "the patched configuration");
    expect_json(fleet, value, base, "the base of the patch");
    json_free(patch);
    json_free(next);
  }
  json_free(value);
  return true;
}

static bool a_thousand_routes_are_fast(fleet *fleet) {
  GString *text = g_string_new("{\"issue\":3,\"ways\":[");
  for (int i = 0; i < 1000; i++)
    json_appendf(
        text,
        "%s{\"name\":\"r-%d\",\"seat\":\"ficu%d.example\",\"prefix\":\"/p%d/\",\"mode\":\"stream\",\"timeoutMs\":5000,\"targetMs\":1000,\"priority\":1,"
        "\"parts\":[{\"shop\":\"s\",\"part\":90},{\"shop\":\"t\",\"part\":10}],\"attempts\":1,\"affinity\":true,\"resumable\":false,\"gapTargetMs\":400}",
        i ? "," : "", i, i % 7, i);
  g_string_append(text, "],\"shops\":[{\"name\":\"s\"},{\"name\":\"t\"}]}");
  error err = { 0 };
  int64_t started_at = g_get_monotonic_time();
  json *json = json_parse(string_view_of_gstring(text), &err);
  int64_t parsed_at = g_get_monotonic_time();
  dialect_translate_in(&test_dialect, json);
  int64_t translated_at = g_get_monotonic_time();
  routing *routing = routing_compile(json, &err);
  int64_t compiled_at = g_get_monotonic_time();
  if (!routing)
    fleet_add_violation(fleet, "rejected: %s", err.text);
  int found = 0;
  for (int i = 0; i < 1000 && routing; i++) {
    char host[40], path[40];
    g_snprintf(host, sizeof host, "ficu%d.example:80", i % 7);
    g_snprintf(path, sizeof path, "/p%d/2f", i);
    const route *route_found =
        routing_find_route(routing, string_view_of(host), string_view_of(path));
    found += route_found && route_found == &routing->routes[i];
  }
  int64_t looked_up_at = g_get_monotonic_time();
  if (found != 1000)
    fleet_add_violation(fleet, "%d of 1,000 routes are found", found);
  if (g_getenv("SIM_COUNT"))
    fprintf(stderr,
            "  1,000 routes: parsed %" PRId64 " us, translated %" PRId64 " us, compiled %" PRId64
            " us, looked up %" PRId64 " us\n",
            parsed_at - started_at, translated_at - parsed_at, compiled_at - translated_at,
            looked_up_at - compiled_at);
  routing_unref(routing);
  json_free(json);
  g_string_free(text, TRUE);
  return true;
}

const test_case routing_tests[] = {
  { "names_are_translated_both_ways", names_are_translated_both_ways, 1, 1, 10 },
  { "numbers_keep_their_values", numbers_keep_their_values, 1, 1, 10 },
  { "routes_are_found", routes_are_found, 1, 1, 10 },
  { "invalid_routings_are_refused", invalid_routings_are_refused, 1, 1, 10 },
  { "patches_apply_by_name", patches_apply_by_name, 1, 1, 10 },
  { "a_thousand_routes_are_fast", a_thousand_routes_are_fast, 1, 1, 10 },
  { NULL, NULL, 0, 0, 0 }
};
