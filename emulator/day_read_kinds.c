/** Reads a day's kinds of requests: the route of each, its request rate and limits, and the shape
 * of its requests. */
#include "day_read.h"
#include <math.h>
#include <stdlib.h>

enum { MODE_NAME_MAX = 16, KIND_MODELS_MAX = 4 * DAY_MODELS_MAX, TIMEOUT_MAX_MS = 600000 };

/* adapters of a model are named a1, a2, ... */
static bool is_adapter_of(const engine_model_spec *model, const char *name) {
  char *end;
  if (name[0] != 'a')
    return false;
  unsigned long number = strtoul(name + 1, &end, 10);
  return number >= 1 && !*end && number <= model->adapters;
}

/* whether a service has the model, and the adapter if one is given, of "model" or "model/adapter"
 */
static bool has_model(const day_service *service, const char *name) {
  const engine_model_spec *model = day_service_find_model(service, name);
  const char *slash = strchr(name, '/');
  return model && (!slash || is_adapter_of(model, slash + 1));
}

static void read_mode(const day_json_location *at, const json *value, client_sim_kind *kind) {
  const char *name = day_json_text(at, value, "mode", MODE_NAME_MAX);
  for (int mode = 0; mode < DAY_MODE_COUNT; mode++) {
    if (strcmp(day_mode_names[mode], name))
      continue;
    kind->mode = (enum client_sim_mode)mode;
    return;
  }
  day_json_report(at, E_ROUTE_MODE, "mode", "must be once, safe or stream");
}

static void read_route(const day_json_location *at, const json *value, const day *day,
                       day_kind *kind) {
  client_sim_kind *client = &kind->kind;
  g_strlcpy(client->name, day_json_name(at, value, "name").text, sizeof client->name);
  g_strlcpy(client->host, day_json_text(at, value, "host", sizeof client->host),
            sizeof client->host);
  g_strlcpy(client->path, day_json_text(at, value, "prefix", sizeof client->path),
            sizeof client->path);
  if (!day_json_failed(at) && (client->path[0] != '/' || !g_str_has_suffix(client->path, "/")))
    day_json_report(at, E_ROUTE_PREFIX, "prefix", "must begin and end with a slash");
  kind->service = day_json_name(at, value, "service");
  if (!day_find_service(day, kind->service))
    day_json_report(at, E_UNKNOWN_SERVICE, "service", "there is no such service");
  read_mode(at, value, client);
}

static void read_limits(const day_json_location *at, const json *value, day_kind *kind) {
  client_sim_kind *client = &kind->kind;
  client->requests_per_s = day_json_number(at, value, "perS", 0, 1000, NAN);
  client->deadline_ms = (int64_t)day_json_number(at, value, "timeoutMs", 1, TIMEOUT_MAX_MS, NAN);
  client->target_ms = (int64_t)day_json_number(at, value, "targetMs", 1, TIMEOUT_MAX_MS, NAN);
  client->gap_target_ms = (int64_t)day_json_number(at, value, "gapTargetMs", 0, 60000, 0);
  kind->attempts = (unsigned)day_json_number(at, value, "attempts", 1, 10, 2);
  client->retries_max = day_json_unsigned(at, value, "moreTries", 10, 1);
  client->priority = day_json_unsigned(at, value, "priority", 9, 0);
}

static void read_shape(const day_json_location *at, const json *value, day_kind *kind) {
  client_sim_kind *client = &kind->kind;
  client->resumable = day_json_bool(at, value, "resumable");
  kind->affinity = day_json_bool(at, value, "affinity");
  client->new_connection = day_json_bool(at, value, "fresh");
  client->bytes = day_json_unsigned(at, value, "bytes", 1 << 20, 400);
  client->tokens_in = day_json_number(at, value, "tokensIn", 0, 1e6, 0);
  client->tokens_shared = day_json_number(at, value, "tokensShared", 0, 1e6, 0);
  client->tokens_out = day_json_unsigned(at, value, "tokensOut", 1e5, 0);
  client->event_tokens = (unsigned)day_json_number(at, value, "eventTokens", 1, 1000, 2);
  client->zipf_exponent = day_json_number(at, value, "zipf", 0, 4, 1);
}

/* reads the models that a kind names; without a list, takes all models of its service */
static void read_kind_models(const day_json_location *at, const json *value,
                             const day_service *service, day_kind *kind) {
  const json *list = day_json_list(at, value, "models", 0, KIND_MODELS_MAX);
  kind->models = g_ptr_array_new_with_free_func(g_free);
  for (size_t i = 0; i < json_count(list) && !day_json_failed(at); i++) {
    const json *name = json_at(list, i);
    if (name->kind != JSON_STRING)
      day_json_report(at, E_TYPE, "models", "must be a list of names");
    else if (service && !has_model(service, name->text->str))
      day_json_report(at, E_UNKNOWN_MODEL, "models", "the service has no such model or adapter");
    else
      g_ptr_array_add(kind->models, g_strdup(name->text->str));
  }
  for (size_t i = 0; !list && service && i < service->model_count; i++)
    g_ptr_array_add(kind->models, g_strdup(service->models[i].name.text));
}

static void check_unique(const day_json_location *at, const day *day, const day_kind *kind) {
  for (const day_kind *other = day->kinds; other < kind; other++) {
    if (!strcmp(other->kind.name, kind->kind.name))
      day_json_report(at, E_DUPLICATE_NAME, "name", "is not unique");
    if (!strcmp(other->kind.host, kind->kind.host) && !strcmp(other->kind.path, kind->kind.path))
      day_json_report(at, E_DUPLICATE_ROUTE, "prefix", "another kind has the same host and prefix");
  }
}

static void read_kind(const day_json_location *at, const json *value, day *day) {
  static const char *const keys[] = { "name",        "host",         "prefix",    "service",
                                      "mode",        "perS",         "timeoutMs", "targetMs",
                                      "gapTargetMs", "attempts",     "moreTries", "priority",
                                      "resumable",   "affinity",     "fresh",     "bytes",
                                      "tokensIn",    "tokensShared", "tokensOut", "eventTokens",
                                      "zipf",        "models",       NULL };
  day_kind *kind = &day->kinds[day->kind_count++];
  if (day_json_check_keys(at, value, keys) != OK)
    return;
  read_route(at, value, day, kind);
  read_limits(at, value, kind);
  read_shape(at, value, kind);
  const day_service *service = day_find_service(day, kind->service);
  read_kind_models(at, value, service, kind);
  bool needs_tokens = service && service->model_count && kind->kind.mode == CLIENT_SIM_STREAM;
  if (needs_tokens && !kind->kind.tokens_out)
    day_json_report(at, E_FIELD, "tokensOut", "is required for streams of a service with models");
  check_unique(at, day, kind);
}

void day_read_kinds(const day_json_location *at, const json *value, day *day) {
  const json *list = day_json_list(at, value, "kinds", 1, DAY_KINDS_MAX);
  for (size_t i = 0; i < json_count(list) && !day_json_failed(at); i++) {
    day_json_location item = day_json_item(at, "kinds", i);
    read_kind(&item, json_at(list, i), day);
  }
}
