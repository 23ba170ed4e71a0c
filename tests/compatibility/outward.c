/** Compatibility of what operators and their tools see: the keys of the status pages, the names and
 * labels of the metrics, and the responses to invalid requests.
 *
 * Each test polls the pages of an emulated fleet under load, and compares the set of lines with a
 * golden file in tests/compatibility/. A line consists of the role, the page, and a key path (with
 * [] for the items of a list) or a metric with its labels; values are left out. Pages are polled
 * often enough that the set does not depend on the seed. WRITE_GOLDEN=1 build/bin/tests NAME 1
 * rewrites a file. Help texts and tables of codes are compared by scripts/outward-check. */
#include "deployment.h"
#include "tests.h"
#include <stdio.h>

enum { POLLS = 30, PAGES_POLL_INTERVAL_MS = 700, CALL_MS = 5000 };

static const char FLEET_FILE[] = "tests/compatibility/outward-fleet.txt";
static const char GATEWAYS_FILE[] = "tests/compatibility/outward-gateways.txt";

static const char *const controller_pages[] = {
  "/v1/status",   "/v1/view",      "/v1/nodes",  "/v1/contracts",
  "/v1/registry", "/v1/catalogue", "/v1/policy", "/v1/evacuation",
  "/v1/canary",   "/metrics",      NULL
};
static const char *const router_pages[] = {
  "/v1/status", "/v1/nodes", "/v1/engines", "/v1/holdings", "/v1/journal", "/metrics", NULL
};
static const char *const gateway_pages[] = { "/v1/status", "/v1/gateway", "/v1/nodes", "/metrics",
                                             NULL };

/** The set of lines that were seen, sorted. */
typedef struct outward_lines {
  fleet *fleet;
  GTree *lines;
} outward_lines;

/** A request whose whole response is compared. text is its body, match its If-Match field, and key
 * its idempotency key; each may be NULL. */
typedef struct outward_request {
  const char *method, *path, *text, *match, *key;
} outward_request;

static int compare_lines(const void *a, const void *b, void *data) {
  (void)data;
  return strcmp(a, b);
}

static void add_line(outward_lines *to, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
static void add_line(outward_lines *to, const char *format, ...) {
  va_list list;
  va_start(list, format);
  char *line = g_strdup_vprintf(format, list);
  va_end(list);
  g_tree_insert(to->lines, line, line);
}

static void add_key_paths(outward_lines *to, const char *prefix, const json *value) {
  if (value->kind == JSON_ARRAY) {
    char *path = g_strdup_printf("%s[]", prefix);
    for (size_t i = 0; i < json_count(value); i++)
      add_key_paths(to, path, json_at(value, i));
    g_free(path);
    return;
  }
  if (value->kind != JSON_OBJECT) {
    add_line(to, "%s", prefix);
    return;
  }
  for (size_t i = 0; i < json_count(value); i++) {
    char *path = g_strdup_printf("%s.%s", prefix, json_key(value, i));
    add_key_paths(to, path, json_at(value, i));
    g_free(path);
  }
}

/* Adds a metric's line without its value and without the values of its labels. */
static void add_metric(outward_lines *to, const char *prefix, const char *line) {
  GString *metric = g_string_new(NULL);
  bool in_value = false;
  for (const char *c = line; *c && (*c != ' ' || in_value); c++) {
    in_value ^= *c == '"';
    if (!in_value || *c == '"')
      g_string_append_c(metric, *c);
  }
  add_line(to, "%s %s", prefix, metric->str);
  g_string_free(metric, TRUE);
}

static void add_metrics(outward_lines *to, const char *prefix, const char *text) {
  char **lines = g_strsplit(text, "\n", -1);
  for (char **line = lines; *line; line++)
    if (**line)
      add_metric(to, prefix, *line);
  g_strfreev(lines);
}

static void add_page(outward_lines *to, const char *role, host *host, const char *page) {
  operator_call *call =
      fleet_call(to->fleet, host, "GET", page, NULL, NULL, NULL, time_from_ms(CALL_MS));
  char *prefix = g_strdup_printf("%s %s", role, page);
  json *value = json_parse(string_view_of_gstring(call->body), NULL);
  if (call->status == 200 && value)
    add_key_paths(to, prefix, value);
  else if (call->status == 200)
    add_metrics(to, prefix, call->body->str);
  json_free(value);
  g_free(prefix);
  operator_call_free(call);
}

static void add_pages(outward_lines *to, const char *role, host *const *hosts, int count,
                      const char *const *pages) {
  for (int i = 0; i < count; i++)
    for (const char *const *page = pages; *page; page++)
      add_page(to, role, hosts[i], *page);
}

/* Replaces the request numbers that nodes assign, since they differ from run to run. */
static char *without_request_number(const char *response) {
  GRegex *number = g_regex_new("\\.[0-9a-f]+\\.[0-9]+\"", 0, 0, NULL);
  char *text = g_regex_replace_literal(number, response, -1, 0, ".N\"", 0, NULL);
  g_regex_unref(number);
  return text;
}

/* Adds the response to a request, word for word. */
static void add_response(outward_lines *to, const char *role, host *host,
                         const outward_request *request) {
  operator_call *call = fleet_call(to->fleet, host, request->method, request->path, request->text,
                                   request->match, request->key, time_from_ms(CALL_MS));
  char *response = without_request_number(g_strchomp(call->body->str));
  add_line(to, "%s %s %s %s gives %d %s", role, request->method, request->path,
           request->text ? request->text : "-", call->status, response);
  g_free(response);
  operator_call_free(call);
}

static gboolean append_line(void *key, void *value, void *text) {
  (void)value;
  g_string_append_printf(text, "%s\n", (char *)key);
  return FALSE;
}

static void report_difference(fleet *fleet, const char *file, const char *golden,
                              const char *current) {
  char **expected = g_strsplit(golden, "\n", -1);
  char **lines = g_strsplit(current, "\n", -1);
  for (char **line = expected; *line; line++)
    if (!g_strv_contains((const char *const *)lines, *line))
      fleet_add_violation(fleet, "%s: no longer seen: %.150s", file, *line);
  for (char **line = lines; *line; line++)
    if (!g_strv_contains((const char *const *)expected, *line))
      fleet_add_violation(fleet, "%s: new: %.150s", file, *line);
  g_strfreev(expected);
  g_strfreev(lines);
}

/* Compares the lines with a golden file, and frees them. With WRITE_GOLDEN it writes the file
 * first.
 */
static void compare_lines_with_file(outward_lines *lines, const char *file) {
  GString *current = g_string_new(NULL);
  char *golden = NULL;
  g_tree_foreach(lines->lines, append_line, current);
  if (g_getenv("WRITE_GOLDEN"))
    g_file_set_contents(file, current->str, (gssize)current->len, NULL);
  if (!g_file_get_contents(file, &golden, NULL, NULL))
    fleet_add_violation(lines->fleet, "%s can't be read; run the tests in the repository's root",
                        file);
  else
    report_difference(lines->fleet, file, golden, current->str);
  g_free(golden);
  g_string_free(current, TRUE);
  g_tree_destroy(lines->lines);
}

static outward_lines lines_of(fleet *fleet) {
  outward_lines lines = { fleet, g_tree_new_full(compare_lines, NULL, g_free, NULL) };
  return lines;
}

static void add_controller_errors(outward_lines *to, host *host) {
  static const outward_request requests[] = {
    { "GET", "/v1/nothing", NULL, NULL, NULL },
    { "POST", "/v1/status", "{}", NULL, NULL },
    { "POST", "/v1/policy", "{}", NULL, NULL },
    { "PUT", "/v1/policy", "{", NULL, NULL },
    { "PUT", "/v1/policy", "{\"nothing\":1}", NULL, NULL },
    { "PUT", "/v1/policy", "{\"loadsPerS\":\"1\"}", NULL, NULL },
    { "PUT", "/v1/policy", "{\"loadsPerS\":-1}", NULL, NULL },
    { "PUT", "/v1/evacuation", "{\"areas\":[{\"area\":\"nowhere\"}]}", NULL, NULL },
    { "PUT", "/v1/evacuation", "{\"areas\":[]}", "999999", NULL },
    { "PUT", "/v1/evacuation", "{\"areas\":[]}", "x", NULL },
    { "PUT", "/v1/catalogue", "{\"models\":[{\"id\":\"a b\"}]}", NULL, NULL },
  };
  for (size_t i = 0; i < G_N_ELEMENTS(requests); i++)
    add_response(to, "controller", host, &requests[i]);
}

static void add_router_errors(outward_lines *to, host *host) {
  static const outward_request requests[] = {
    { "GET", "/v1/nothing", NULL, NULL, NULL },
    { "GET", "/v1/generate", NULL, NULL, NULL },
    { "POST", "/v1/status", "{}", NULL, NULL },
    { "POST", "/v1/generate", "{", NULL, NULL },
    { "POST", "/v1/generate", "{\"model\":\"nothing\"}", NULL, NULL },
  };
  for (size_t i = 0; i < G_N_ELEMENTS(requests); i++)
    add_response(to, "router", host, &requests[i]);
}

static bool pages_of_a_fleet_keep_their_keys(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  outward_lines lines = lines_of(fleet);
  scenario_start_traffic(fleet, 12);
  for (int i = 0; i < POLLS; i++) {
    sim_run(fleet->sim, time_from_ms(PAGES_POLL_INTERVAL_MS));
    add_pages(&lines, "controller", fleet->controller, fleet->controllers, controller_pages);
    add_pages(&lines, "router", fleet->router, fleet->routers, router_pages);
  }
  add_controller_errors(&lines, fleet->controller[0]);
  add_router_errors(&lines, fleet->router[0]);
  fleet_finish_traffic(fleet);
  compare_lines_with_file(&lines, FLEET_FILE);
  return true;
}

/* Starts a canary trial, so that the pages show it too. */
static void start_canary(fleet *fleet) {
  static const char text[] = "{\"name\":\"outward\",\"share\":0.5,\"candidate\":{\"affinity\":0.9},"
                             "\"warmS\":1,\"guard\":{\"least\":1000,\"mostS\":600}}";
  operator_call *call = fleet_call(fleet, fleet->controller[0], "PUT", "/v1/canary", text, NULL,
                                   NULL, time_from_ms(CALL_MS));
  if (call->status != 200)
    fleet_add_violation(fleet, "the canary is rejected: %s", call->body->str);
  operator_call_free(call);
}

static bool pages_of_gateways_keep_their_keys(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 3, 2);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  outward_lines lines = lines_of(fleet);
  deployment->client->users = 500;
  deployment_start_traffic(deployment, 20);
  start_canary(fleet);
  for (int i = 0; i < POLLS; i++) {
    sim_run(fleet->sim, time_from_ms(PAGES_POLL_INTERVAL_MS));
    add_pages(&lines, "controller", fleet->controller, fleet->controllers, controller_pages);
    add_pages(&lines, "gateway", fleet->router, fleet->routers, gateway_pages);
  }
  deployment_finish_traffic(deployment);
  compare_lines_with_file(&lines, GATEWAYS_FILE);
  bool ok = !fleet->violations->len;
  deployment_free(deployment);
  return ok;
}

const test_case outward_tests[] = {
  { "pages_of_a_fleet_keep_their_keys", pages_of_a_fleet_keep_their_keys, 4, 5, 34 },
  { "pages_of_gateways_keep_their_keys", pages_of_gateways_keep_their_keys, 3, 5, 17 },
  { NULL, NULL, 0, 0, 0 }
};
