/** Heartbeats and sign-offs of engines at the control listener. */
#include "engine_heartbeat_api.h"
#include "control_response.h"

/** Largest number (2^53) up to which all integers are exact in JSON. */
static const double exact_number_max = 9007199254740992.0;
/** Upper bounds on numbers in a heartbeat, far above any sensible value. */
static const double slots_max = 1e6, duration_max_ms = 1e9, weights_version_max = 1e15;

/** A heartbeat being parsed. Its strings belong to the JSON value. */
typedef struct parsed_heartbeat {
  Wire__EngineState state;
  /** Memory allocated for the lists in `state`. */
  GPtrArray *allocations;
} parsed_heartbeat;

static void *heartbeat_alloc(parsed_heartbeat *heartbeat, size_t size) {
  void *memory = g_malloc(size);
  g_ptr_array_add(heartbeat->allocations, memory);
  return memory;
}

static uint64_t bounded_number(const json *value, const char *key, double max) {
  return (uint64_t)CLAMP(json_number(value, key, 0), 0, max);
}

/* Returns the number of elements of a list; 0 when the value is not a list. */
static size_t list_length(const json *list) {
  return list && list->kind == JSON_ARRAY ? json_count(list) : 0;
}

static enum error_code parse_adapters(parsed_heartbeat *heartbeat, const json *list,
                                      Wire__ResidentModel *model, error *err) {
  size_t count = list_length(list);
  if (!count)
    return OK;
  model->adapters = heartbeat_alloc(heartbeat, count * sizeof *model->adapters);
  for (size_t i = 0; i < count; i++) {
    const json *adapter = json_at(list, i);
    if (adapter->kind != JSON_STRING || !id_is_valid(string_view_of_gstring(adapter->text)))
      return error_set(err, E_NAME, "adapters: no name");
    model->adapters[model->n_adapters++] = adapter->text->str;
  }
  return OK;
}

static enum error_code parse_model(parsed_heartbeat *heartbeat, const json *value,
                                   Wire__ResidentModel *model, error *err) {
  const char *name = json_text(value, "name", "");
  if (!id_is_valid(string_view_of(name)))
    return error_set(err, E_NAME, "models: a name is missing, or none");
  wire__resident_model__init(model);
  model->model = (char *)name;
  model->weights_version = bounded_number(value, "version", weights_version_max);
  return parse_adapters(heartbeat, json_get(value, "adapters"), model, err);
}

static enum error_code parse_models(parsed_heartbeat *heartbeat, const json *list, error *err) {
  Wire__EngineState *state = &heartbeat->state;
  size_t count = list_length(list);
  if (!count)
    return OK;
  Wire__ResidentModel *models = heartbeat_alloc(heartbeat, count * sizeof *models);
  state->models = heartbeat_alloc(heartbeat, count * sizeof *state->models);
  for (size_t i = 0; i < count; i++) {
    enum error_code code = parse_model(heartbeat, json_at(list, i), &models[i], err);
    if (code)
      return code;
    state->models[state->n_models++] = &models[i];
  }
  return OK;
}

/* Reads the identity of the engine: service, address, zone and version. */
static enum error_code parse_identity(Wire__EngineState *state, const json *value, error *err) {
  state->service = (char *)json_text(value, "service", "");
  state->address = (char *)json_text(value, "address", "");
  state->zone = (char *)json_text(value, "zone", "");
  state->version = (char *)json_text(value, "version", "");
  if (!id_is_valid(string_view_of(state->service)))
    return error_set(err, E_NAME, "service: missing, or no name");
  if (!address_is_valid(state->address))
    return error_set(err, E_SETTINGS_ADDRESS, "address: not an ip:port");
  if (!id_is_valid(string_view_of(state->zone)))
    state->zone = "";
  return OK;
}

static enum error_code parse_count(Wire__EngineState *state, const json *value, error *err) {
  const json *count = json_get(value, "count");
  if (!count || count->kind != JSON_NUMBER ||
      !(count->number >= 0 && count->number <= exact_number_max))
    return error_set(err, E_FIELD, "count: missing, or no whole number up to 2^53");
  state->heartbeat_count = (uint64_t)count->number;
  return OK;
}

/* Reads the engine's capacity and lifecycle: whether it is starting, ready or draining. */
static void parse_lifecycle(Wire__EngineState *state, const json *value) {
  state->slots = (uint32_t)bounded_number(value, "slots", slots_max);
  state->draining = !strcmp(json_text(value, "state", "ready"), "leaving");
  state->slow_start_ms = bounded_number(value, "coldMs", duration_max_ms);
  const json *ends_in = json_get(value, "leavesMs");
  if (ends_in && ends_in->kind == JSON_NUMBER)
    state->ends_in_ms = (uint64_t)CLAMP(ends_in->number, 1, duration_max_ms);
}

/* Reads a heartbeat in native names. */
static enum error_code parse_heartbeat(parsed_heartbeat *heartbeat, const json *value,
                                       const id *engine_id, error *err) {
  Wire__EngineState *state = &heartbeat->state;
  wire__engine_state__init(state);
  state->id = (char *)engine_id->text;
  if (value->kind != JSON_OBJECT)
    return error_set(err, E_TYPE, "a heartbeat is an object");
  enum error_code code = parse_identity(state, value, err);
  if (!code)
    code = parse_count(state, value, err);
  if (code)
    return code;
  parse_lifecycle(state, value);
  return parse_models(heartbeat, json_get(value, "models"), err);
}

static void respond_empty(http_request *request) {
  http_request_respond(request, HTTP_OK, "application/json", string_view_of("{}"));
}

void engine_heartbeat_api_serve_heartbeat(registry_sync *sync, const dialect *dialect,
                                          http_request *request, id engine_id) {
  error err = { 0 };
  parsed_heartbeat heartbeat = { .allocations = g_ptr_array_new_with_free_func(g_free) };
  json *value = json_parse(string_view_of_gstring(request->body), &err);
  enum error_code code = err.code;
  if (value) {
    dialect_translate_in(dialect, value);
    code = parse_heartbeat(&heartbeat, value, &engine_id, &err);
  }
  /* all errors are errors in the request, including codes that have another status elsewhere */
  if (code)
    control_respond_error_status(dialect, request, HTTP_BAD_REQUEST, code, err.text);
  else {
    enum registry_update update =
        engine_registry_heartbeat(&sync->registry, &heartbeat.state, world_now(sync->node->world));
    registry_sync_announce(sync, engine_id.text, update);
    respond_empty(request);
  }
  json_free(value);
  g_ptr_array_free(heartbeat.allocations, TRUE);
}

void engine_heartbeat_api_serve_sign_off(registry_sync *sync, http_request *request, id engine_id) {
  enum registry_update update =
      engine_registry_sign_off(&sync->registry, engine_id.text, world_now(sync->node->world));
  registry_sync_announce(sync, engine_id.text, update);
  respond_empty(request);
}
