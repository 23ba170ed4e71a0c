/** Compiles the resource "routing" (its schema is in routing.h): checks all of it, and builds the
 * tables by which requests are routed. Services come first, since routes refer to them. */
#include "routing.h"
#include "routing_internal.h"
#include <math.h>

/** Defaults of request_limits. */
enum {
  HEADER_BYTES_DEFAULT = 16384,
  BODY_BYTES_DEFAULT = 4 << 20,
  HEADER_TIMEOUT_DEFAULT_MS = 3000,
  IDLE_TIMEOUT_DEFAULT_MS = 15000,
};
/** Bounds that only keep numbers within the range of their types. */
static const double count_max = 1e6, weights_mb_max = 1e9, kv_max = 1e15, span_ms_max = 1e12,
                    weight_max = 1e15, revision_max = 9e18;

/** A numeric field of an object: its key, its largest value (the smallest is 0), the value of an
 * absent one, and the destination. */
typedef struct number_field {
  const char *key;
  double max, fallback;
  double *to;
} number_field;

/* Reads a number; an absent one takes the fallback. False if it is not a number or out of range. */
static bool read_number(const json *object, const char *key, double max, double fallback,
                        double *to) {
  const json *value = json_get(object, key);
  *to = fallback;
  if (!value || value->kind == JSON_NULL)
    return true;
  if (value->kind != JSON_NUMBER || !(value->number >= 0) || value->number > max)
    return false;
  *to = value->number;
  return true;
}

static enum error_code read_fields(const json *object, const char *path, const number_field *fields,
                                   size_t count, error *err) {
  for (size_t i = 0; i < count; i++)
    if (!read_number(object, fields[i].key, fields[i].max, fields[i].fallback, fields[i].to))
      return error_set(err, E_SPEC_RANGE, "%s.%s: not a number from 0 to %.0f", path, fields[i].key,
                       fields[i].max);
  return OK;
}

/* Reads the name of the item at an index of a list, and adds the item to a table by its name. */
static enum error_code read_name(const json *object, const char *list, size_t index, id *to,
                                 GHashTable *by_name, void *item, error *err) {
  const char *name = json_text(object, "name", NULL);
  if (!name || !id_is_valid(string_view_of(name)))
    return error_set(err, E_ROUTING_STRUCTURE,
                     "%s[%zu].name: missing, or not 1 to 47 letters, digits, '-', '_', '.', ':'",
                     list, index);
  *to = id_of_text(name);
  if (g_hash_table_contains(by_name, to->text))
    return error_set(err, E_DUPLICATE_NAME, "%s[%zu].name: %s stands twice", list, index, to->text);
  g_hash_table_insert(by_name, to->text, item);
  return OK;
}

static enum error_code compile_model(service_model_spec *model, const json *value,
                                     const service *service, size_t index, error *err) {
  char path[100];
  g_snprintf(path, sizeof path, "%s.engine.models[%zu]", service->name.text, index);
  if (value->kind != JSON_OBJECT)
    return error_set(err, E_ROUTING_STRUCTURE, "%s: not an object", path);
  double load_s = 0, adapters = 0;
  const number_field fields[] = {
    { "weightsMb", weights_mb_max, 0, &model->weights_mb },
    { "loadS", count_max, 0, &load_s },
    { "adapters", count_max, 0, &adapters },
    { "adapterMb", weights_mb_max, 0, &model->adapter_mb },
  };
  enum error_code code =
      read_name(value, path, index, &model->name, service->models_by_name, model, err);
  if (!code)
    code = read_fields(value, path, fields, G_N_ELEMENTS(fields), err);
  model->load_ms = load_s * 1000;
  model->adapters = (unsigned)adapters;
  return code;
}

static enum error_code compile_models(service *service, const char *path, const json *models,
                                      error *err) {
  if (!models || models->kind == JSON_NULL)
    return OK;
  if (models->kind != JSON_ARRAY)
    return error_set(err, E_ROUTING_STRUCTURE, "%s.models: not a list", path);
  service->models = g_new0(service_model_spec, json_count(models) + 1);
  enum error_code code = OK;
  for (size_t i = 0; i < json_count(models) && !code; i++, service->model_count++)
    code = compile_model(&service->models[i], json_at(models, i), service, i, err);
  return code;
}

/* Reads the properties of a service's engines; they are unknown if it is absent. */
static enum error_code compile_engine_spec(service *service, const json *value, error *err) {
  char path[80];
  g_snprintf(path, sizeof path, "%s.engine", service->name.text);
  if (!value || value->kind == JSON_NULL)
    return OK;
  if (value->kind != JSON_OBJECT)
    return error_set(err, E_ROUTING_STRUCTURE, "%s: not an object", path);
  double slots = 0, adapter_slots = 0;
  const number_field fields[] = {
    { "slots", count_max, 0, &slots },
    { "adapterSlots", count_max, 0, &adapter_slots },
    { "kvTokens", kv_max, 0, &service->kv_tokens },
    { "kvTokenBytes", kv_max, 0, &service->kv_token_bytes },
    { "weightsMb", 1e12, 0, &service->weights_mb },
    { "loadsPerS", count_max, 0, &service->loads_per_s },
    { "stride", count_max, 1, &service->stride },
  };
  enum error_code code = read_fields(value, path, fields, G_N_ELEMENTS(fields), err);
  service->engine_slots = (unsigned)slots;
  service->adapter_slots = (unsigned)adapter_slots;
  return code ? code : compile_models(service, path, json_get(value, "models"), err);
}

static enum error_code compile_service(routing *routing, service *service, const json *value,
                                       size_t index, error *err) {
  if (value->kind != JSON_OBJECT)
    return error_set(err, E_ROUTING_STRUCTURE, "services[%zu]: not an object", index);
  service->models_by_name = g_hash_table_new(g_str_hash, g_str_equal);
  if (read_name(value, "services", index, &service->name, routing->services_by_name, service, err))
    return err->code;
  const json *health = json_get(value, "health");
  if (health && health->kind != JSON_NULL &&
      (health->kind != JSON_STRING || health->text->len >= sizeof service->health_path))
    return error_set(err, E_ROUTING_STRUCTURE, "%s.health: not a path", service->name.text);
  g_strlcpy(service->health_path, json_text(value, "health", ""), sizeof service->health_path);
  double connections_max;
  const number_field field = { "connectionsMost", 1e9, 0, &connections_max };
  if (read_fields(value, service->name.text, &field, 1, err))
    return err->code;
  service->connections_max = (unsigned)connections_max;
  return compile_engine_spec(service, json_get(value, "engine"), err);
}

static enum error_code add_weighted_service(const routing *routing, route *route,
                                            const char *service_name, double weight, error *err) {
  weighted_service *entry = &route->weighted_services[route->weighted_service_count++];
  entry->service =
      service_name ? g_hash_table_lookup(routing->services_by_name, service_name) : NULL;
  entry->weight = weight;
  route->weight_sum += weight;
  return entry->service ? OK
                        : error_set(err, E_UNKNOWN_SERVICE, "%s: there is no service %.60s",
                                    route->name.text, service_name ? service_name : "named");
}

static enum error_code compile_split(const routing *routing, route *route, const json *split,
                                     error *err) {
  for (size_t i = 0; i < json_count(split); i++) {
    const json *value = json_at(split, i);
    double weight = 0;
    if (value->kind != JSON_OBJECT)
      return error_set(err, E_ROUTING_STRUCTURE, "%s.split[%zu]: not an object", route->name.text,
                       i);
    if (!read_number(value, "weight", weight_max, 1, &weight))
      return error_set(err, E_ROUTE_WEIGHT, "%s.split[%zu].weight: not a number from 0 up",
                       route->name.text, i);
    if (add_weighted_service(routing, route, json_text(value, "service", NULL), weight, err))
      return err->code;
  }
  return route->weight_sum > 0 ? OK
                               : error_set(err, E_ROUTE_WEIGHT, "%s.split: the weights add up to 0",
                                           route->name.text);
}

/* Reads the services of a route: one, or several with weights. */
static enum error_code compile_weighted_services(const routing *routing, route *route,
                                                 const json *value, error *err) {
  const json *split = json_get(value, "split"), *single_service = json_get(value, "service");
  if (split && split->kind == JSON_NULL)
    split = NULL;
  if (split && split->kind != JSON_ARRAY)
    return error_set(err, E_ROUTING_STRUCTURE, "%s.split: not a list", route->name.text);
  if (single_service && single_service->kind != JSON_NULL && single_service->kind != JSON_STRING)
    return error_set(err, E_ROUTING_STRUCTURE, "%s.service: not a name", route->name.text);
  route->weighted_services = g_new0(weighted_service, json_count(split) + 1);
  if (!split)
    return add_weighted_service(routing, route, json_text(value, "service", NULL), 1, err);
  if (single_service && single_service->kind == JSON_STRING &&
      !g_hash_table_contains(routing->services_by_name, single_service->text->str))
    return error_set(err, E_UNKNOWN_SERVICE, "%s: there is no service %.60s", route->name.text,
                     single_service->text->str);
  return compile_split(routing, route, split, err);
}

/* Reads host and prefix, a combination that no other route may have. */
static enum error_code compile_match(routing *routing, route *route, const json *value,
                                     error *err) {
  const char *host = json_text(value, "host", ""), *prefix = json_text(value, "prefix", "");
  if (!host[0] || strlen(host) >= HOST_NAME_SIZE)
    return error_set(err, E_ROUTING_STRUCTURE, "%s.host: missing", route->name.text);
  route->prefix_length = strlen(prefix);
  if (!route->prefix_length || prefix[0] != '/' || prefix[route->prefix_length - 1] != '/')
    return error_set(err, E_ROUTE_PREFIX, "%s.prefix: does not begin and end with a slash",
                     route->name.text);
  route->host = g_ascii_strdown(host, -1);
  route->prefix = g_strdup(prefix);
  routing->prefix_length_max = MAX(routing->prefix_length_max, route->prefix_length);
  const struct route *same = g_hash_table_lookup(routing->routes_by_host_and_prefix, route);
  if (same)
    return error_set(err, E_DUPLICATE_ROUTE, "%s: has the host and prefix of %s", route->name.text,
                     same->name.text);
  g_hash_table_add(routing->routes_by_host_and_prefix, route);
  return OK;
}

static enum error_code compile_mode(route *route, const json *value, error *err) {
  static const char *const names[] = {
    [ROUTE_MODE_ONCE] = "once", [ROUTE_MODE_SAFE] = "safe", [ROUTE_MODE_STREAM] = "stream"
  };
  const json *mode = json_get(value, "mode");
  const char *name = names[ROUTE_MODE_ONCE];
  if (mode && mode->kind != JSON_NULL)
    name = mode->kind == JSON_STRING ? mode->text->str : "";
  for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
    if (!strcmp(name, names[i])) {
      route->mode = (enum route_mode)i;
      return OK;
    }
  return error_set(err, E_ROUTE_MODE, "%s.mode: there is no mode %.40s", route->name.text, name);
}

static enum error_code compile_numbers(route *route, const json *value, error *err) {
  double timeout_ms = 0, target_ms = 0, gap_target_ms = 0, priority = 0, attempts = 0;
  if (!read_number(value, "timeoutMs", span_ms_max, 0, &timeout_ms) || timeout_ms <= 0)
    return error_set(err, E_ROUTE_TIMEOUT, "%s.timeoutMs: missing or not above 0",
                     route->name.text);
  const number_field fields[] = {
    { "targetMs", span_ms_max, 0, &target_ms },
    { "gapTargetMs", span_ms_max, 0, &gap_target_ms },
    { "priority", count_max, 0, &priority },
    { "attempts", count_max, 1, &attempts },
  };
  enum error_code code = read_fields(value, route->name.text, fields, G_N_ELEMENTS(fields), err);
  route->timeout_ms = (int64_t)ceil(timeout_ms);
  route->target_ms = (int64_t)ceil(target_ms);
  route->gap_target_ms = (int64_t)ceil(gap_target_ms);
  route->priority = (unsigned)priority;
  route->attempts = attempts < 1 ? 1 : (unsigned)attempts;
  return code;
}

static enum error_code compile_route(routing *routing, route *route, const json *value,
                                     size_t index, GHashTable *names, error *err) {
  if (value->kind != JSON_OBJECT)
    return error_set(err, E_ROUTING_STRUCTURE, "routes[%zu]: not an object", index);
  if (read_name(value, "routes", index, &route->name, names, route, err) ||
      compile_match(routing, route, value, err) || compile_mode(route, value, err) ||
      compile_numbers(route, value, err))
    return err->code;
  route->affinity = json_bool(value, "affinity", false);
  route->resumable = json_bool(value, "resumable", false);
  return compile_weighted_services(routing, route, value, err);
}

/* Reads a limit; one below 1 counts as absent. */
static enum error_code read_limit(const json *object, const char *key, double fallback, double *to,
                                  error *err) {
  if (!read_number(object, key, span_ms_max, fallback, to))
    return error_set(err, E_LIMIT_RANGE, "limits.%s: not a number from 0 up", key);
  if (*to < 1)
    *to = fallback;
  return OK;
}

static enum error_code compile_limits(request_limits *limits, const json *value, error *err) {
  if (value && value->kind != JSON_NULL && value->kind != JSON_OBJECT)
    return error_set(err, E_ROUTING_STRUCTURE, "limits: not an object");
  double header_bytes = 0, body_bytes = 0, header_ms = 0, idle_ms = 0;
  if (read_limit(value, "headerBytes", HEADER_BYTES_DEFAULT, &header_bytes, err) ||
      read_limit(value, "bodyBytes", BODY_BYTES_DEFAULT, &body_bytes, err) ||
      read_limit(value, "headerMs", HEADER_TIMEOUT_DEFAULT_MS, &header_ms, err) ||
      read_limit(value, "idleMs", IDLE_TIMEOUT_DEFAULT_MS, &idle_ms, err))
    return err->code;
  *limits = (request_limits){ .header_max_bytes = (size_t)header_bytes,
                              .body_max_bytes = (size_t)body_bytes,
                              .header_timeout_ms = (int64_t)header_ms,
                              .idle_timeout_ms = (int64_t)idle_ms };
  return OK;
}

enum error_code routing_read_revision(const json *value, uint64_t *to, error *err) {
  const json *version = json_get(value, "version");
  if (!version || version->kind != JSON_NUMBER || version->number < 0 ||
      version->number > revision_max || version->number != floor(version->number))
    return error_set(err, E_ROUTING_VERSION, "version: missing, or not a whole number");
  /* a number of 2^53 or more has its digits as text, since the double is not exact */
  *to = version->text ? g_ascii_strtoull(version->text->str, NULL, 10) : (uint64_t)version->number;
  return OK;
}

static enum error_code compile_lists(routing *routing, const json *value, error *err) {
  const json *routes = json_get(value, "routes"), *services = json_get(value, "services");
  if (!routes || routes->kind != JSON_ARRAY)
    return error_set(err, E_ROUTING_STRUCTURE, "routes: missing, or not a list");
  if (!services || services->kind != JSON_ARRAY)
    return error_set(err, E_ROUTING_STRUCTURE, "services: missing, or not a list");
  if (compile_limits(&routing->limits, json_get(value, "limits"), err))
    return err->code;
  routing->services = g_new0(service, json_count(services) + 1);
  routing->routes = g_new0(route, json_count(routes) + 1);
  enum error_code code = OK;
  for (size_t i = 0; !code && i < json_count(services); i++, routing->service_count++)
    code = compile_service(routing, &routing->services[i], json_at(services, i), i, err);
  GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
  for (size_t i = 0; !code && i < json_count(routes); i++, routing->route_count++)
    code = compile_route(routing, &routing->routes[i], json_at(routes, i), i, names, err);
  g_hash_table_destroy(names);
  return code;
}

routing *routing_compile(const json *value, error *err) {
  error ignored = { 0 };
  if (!err)
    err = &ignored;
  if (!value || value->kind != JSON_OBJECT) {
    error_set(err, E_ROUTING_STRUCTURE, "not an object");
    return NULL;
  }
  routing *routing = routing_new();
  enum error_code code = routing_read_revision(value, &routing->revision, err);
  if (!code)
    code = compile_lists(routing, value, err);
  if (!code)
    return routing;
  routing_unref(routing);
  return NULL;
}
