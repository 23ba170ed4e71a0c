/** @file
 * Loads a fleet from the files of a shipped deployment: "fleet" with one line for each process,
 * catalogue.json and policy.json. */
#include "fleet.h"
#include <stdio.h>

/** The text of the catalogue after which the model of the policy markers is inserted. */
static const char MODELS_KEY[] = "\"models\": [";

/* reads a file into a text, which the caller frees; sets it to NULL when the file can't be read */
static void read_file(const char *folder, const char *name, char **text) {
  char *path = g_strdup_printf("%s/%s", folder, name);
  *text = NULL;
  g_file_get_contents(path, text, NULL, NULL);
  g_free(path);
}

/* number of processes of each role in the file */
typedef struct process_counts {
  int controllers, routers, engines;
} process_counts;

/* applies one line to the host that it names. Columns: role, name, zone, address, and for engines
 * type, memory and adapter slots */
static void load_process(fleet *fleet, const char *line, process_counts *counts) {
  char role[20], name[48], zone[48], addr[48], type[32];
  unsigned long weights_mb = 0;
  unsigned slots = 0;
  int fields = sscanf(line, "%19s %47s %47s %47s %31s %lu %u", role, name, zone, addr, type,
                      &weights_mb, &slots);
  host *host = fields < 4 || role[0] == '#' ? NULL : sim_find_host(fleet->sim, name);
  if (!host)
    return;
  host->zone = host->settings.zone = id_of_text(zone);
  if (!strcmp(role, "controller") && counts->controllers < FLEET_ZONES)
    fleet->zones[counts->controllers++] = host->zone;
  counts->routers += !strcmp(role, "router");
  if (strcmp(role, "engine") || fields < 7)
    return;
  counts->engines++;
  host->weights_mb = weights_mb;
  host->adapter_slots = slots;
  g_strlcpy(host->settings.platform_address, type, sizeof host->settings.platform_address);
}

/* returns whether the file has as many routers and engines as the fleet */
static bool load_processes(fleet *fleet, const char *text) {
  process_counts counts = { 0 };
  char **lines = g_strsplit(text, "\n", -1);
  for (char **line = lines; *line; line++)
    load_process(fleet, *line, &counts);
  g_strfreev(lines);
  return counts.routers == fleet->routers && counts.engines == fleet->engines;
}

static void load_policy(fleet *fleet, const json *policy) {
  const json *rules = json_get(policy, "rules");
  GString *text = g_string_new(NULL);
  for (size_t i = 0; i < json_count(rules); i++) {
    if (i)
      g_string_append_c(text, ',');
    json_write(json_at(rules, i), text);
  }
  g_free(fleet->rules);
  fleet->rules = g_string_free(text, FALSE);
  fleet->loads_per_s = json_number(policy, "loadsPerS", 2);
  fleet->slow_start_s = json_number(policy, "slowStartS", 10);
  fleet->streams_per_engine = json_number(policy, "streamsMost", 16);
}

static void add_targets(loadgen *loadgen, const json *catalogue) {
  const json *models = json_get(catalogue, "models"), *adapters = json_get(catalogue, "adapters");
  for (size_t i = 0; i < json_count(models); i++)
    loadgen_add_target(loadgen, id_of_text(json_text(json_at(models, i), "id", "")),
                       id_of_text(""));
  for (size_t i = 0; i < json_count(adapters); i++) {
    const json *adapter = json_at(adapters, i);
    loadgen_add_target(loadgen, id_of_text(json_text(adapter, "model", "")),
                       id_of_text(json_text(adapter, "id", "")));
  }
}

/* makes the callers request the catalogue's models with the policy's request kinds */
static void load_callers(fleet *fleet, const json *catalogue, const json *policy) {
  const json *kinds = json_get(policy, "kinds");
  host *callers = fleet->callers;
  callers->loadgen = loadgen_new(&callers->world, callers->self);
  fleet->models = fleet->adapters = 0;
  add_targets(callers->loadgen, catalogue);
  for (size_t i = 0; i < G_N_ELEMENTS(fleet->request_kinds) && i < json_count(kinds); i++) {
    char *kind = fleet->request_kinds[i].text;
    g_strlcpy(kind, json_text(json_at(kinds, i), "id", ""), sizeof fleet->request_kinds[i].text);
    callers->loadgen->plan.kinds[i] = kind;
  }
}

/* returns the catalogue with an extra model for the policy markers, or NULL if it has no models */
static char *add_marker_model(const char *catalogue) {
  const char *models = catalogue ? strstr(catalogue, MODELS_KEY) : NULL;
  if (!models)
    return NULL;
  size_t length = (size_t)(models - catalogue) + strlen(MODELS_KEY);
  return g_strdup_printf("%.*s{\"id\":\"mark\",\"weightsMb\":1},%s", (int)length, catalogue,
                         catalogue + length);
}

bool fleet_load_deployment(fleet *fleet, const char *folder) {
  char *processes, *catalogue_text, *policy_text;
  read_file(folder, "fleet", &processes);
  read_file(folder, "catalogue.json", &catalogue_text);
  read_file(folder, "policy.json", &policy_text);
  json *catalogue = json_parse(string_view_of(catalogue_text ? catalogue_text : ""), NULL);
  json *policy = json_parse(string_view_of(policy_text ? policy_text : ""), NULL);
  bool fits = load_processes(fleet, processes ? processes : "") && catalogue && policy;
  if (!fits)
    fleet_add_violation(fleet, "%s is not a deployment of the size of this fleet", folder);
  load_policy(fleet, policy);
  load_callers(fleet, catalogue, policy);
  fleet->catalogue = add_marker_model(catalogue_text);
  fleet->policy = policy_text;
  g_free(processes);
  g_free(catalogue_text);
  json_free(catalogue);
  json_free(policy);
  return fits && fleet->catalogue;
}
