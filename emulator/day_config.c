/**
 * Sets up a day's deployment. The most requested models are loaded on the engines, one engine after
 * the other, before the day begins, so that it does not begin with a burst of loads.
 */
#include "day_config.h"

/* values that all engines of a day share */
enum {
  ENGINE_PORT = 9000,
  ENGINE_CONNECTIONS_MAX = 200,
  ENGINE_HEARTBEAT_MS = 1200,
  ENGINE_IDLE_TIMEOUT_MS = 5000,
  ENGINE_EVENT_TOKENS = 2,
  ENGINE_STEP_MS = 9,
  ENGINE_PREFILL_TOKENS_PER_MS = 20,
};
static const double ENGINE_STEP_PER_REQUEST_MS = 0.2;

static const char *bool_text(bool value) {
  return value ? "true" : "false";
}

/* returns the client's copy of a kind, with a list of models of its own; the day owns the names */
static client_sim_kind client_kind(const day_kind *kind) {
  client_sim_kind client = kind->kind;
  if (kind->models->len)
    client.models = g_ptr_array_new();
  for (guint i = 0; i < kind->models->len; i++)
    g_ptr_array_add(client.models, kind->models->pdata[i]);
  return client;
}

void day_config_add_client_kinds(deployment *deployment) {
  const day_run *run = deployment->context;
  const day *day = run->day;
  deployment->client->area_count = (unsigned)MIN(day->zone_count, day->gateways);
  for (size_t i = 0; i < day->kind_count; i++)
    client_sim_add_kind(deployment->client, client_kind(&day->kinds[i]));
}

void day_config_append_route(const day_kind *kind, unsigned attempts, GString *to) {
  const client_sim_kind *client = &kind->kind;
  json_appendf(to, "{\"name\":\"%s\",\"host\":", client->name);
  json_append_quoted(to, string_view_of(client->host));
  g_string_append(to, ",\"prefix\":");
  json_append_quoted(to, string_view_of(client->path));
  json_appendf(to,
               ",\"mode\":\"%s\",\"timeoutMs\":%" PRId64 ",\"targetMs\":%" PRId64
               ",\"priority\":%u,\"service\":\"%s\",\"attempts\":%u",
               day_mode_names[client->mode], client->deadline_ms, client->target_ms,
               client->priority, kind->service.text, attempts);
  if (client->mode == CLIENT_SIM_STREAM)
    json_appendf(to, ",\"affinity\":%s,\"resumable\":%s,\"gapTargetMs\":%" PRId64,
                 bool_text(kind->affinity), bool_text(client->resumable), client->gap_target_ms);
  g_string_append_c(to, '}');
}

static void append_model(const engine_model_spec *model, GString *to) {
  json_appendf(to,
               "{\"name\":\"%s\",\"weightsMb\":%g,\"loadS\":%g,\"adapters\":%u,\"adapterMb\":%g}",
               model->name.text, model->weights_mb, model->load_ms / 1000, model->adapters,
               model->adapter_mb);
}

static void append_engine(const day_service *service, GString *to) {
  json_appendf(
      to,
      ",\"engine\":{\"slots\":%u,\"kvTokens\":%.0f,\"kvTokenBytes\":131072,\"stride\":2,\"weightsMb\":%g,\"adapterSlots\":%u,\"loadsPerS\":%g,\"models\":[",
      service->slots, service->kv_tokens, service->weights_mb, service->adapter_slots,
      service->loads_per_s);
  for (size_t i = 0; i < service->model_count; i++) {
    if (i)
      g_string_append_c(to, ',');
    append_model(&service->models[i], to);
  }
  g_string_append(to, "]}");
}

static void append_service(const day_service *service, GString *to) {
  json_appendf(
      to,
      "{\"name\":\"%s\",\"health\":\"/health\",\"connectionsMost\":200,\"protocol\":\"h1\",\"tls\":false",
      service->name.text);
  if (service->model_count)
    append_engine(service, to);
  g_string_append_c(to, '}');
}

char *day_config_text(deployment *deployment, uint64_t version) {
  const day_run *run = deployment->context;
  const day *day = run->day;
  GString *text = g_string_new(NULL);
  json_appendf(text, "{\"version\":%" PRIu64 ",\"routes\":[", version);
  for (size_t i = 0; i < day->kind_count; i++) {
    if (i)
      g_string_append_c(text, ',');
    day_config_append_route(&day->kinds[i], day->kinds[i].attempts, text);
  }
  g_string_append(text, "],\"services\":[");
  for (size_t i = 0; i < day->service_count; i++) {
    if (i)
      g_string_append_c(text, ',');
    append_service(&day->services[i], text);
  }
  g_string_append(
      text,
      "],\"limits\":{\"headerBytes\":16384,\"bodyBytes\":4194304,\"headerMs\":3000,\"idleMs\":15000}}");
  return g_string_free(text, FALSE);
}

/* adds the model at an index of each kind of a service; returns false when no kind has one */
static bool add_models_at(const day *day, const day_service *service, guint index,
                          GPtrArray *models) {
  bool found = false;
  for (size_t i = 0; i < day->kind_count; i++) {
    const GPtrArray *requested = day->kinds[i].models;
    if (!id_equal(day->kinds[i].service, service->name) || index >= requested->len)
      continue;
    found = true;
    const engine_model_spec *model = day_service_find_model(service, requested->pdata[index]);
    if (model && !g_ptr_array_find(models, model, NULL))
      g_ptr_array_add(models, (void *)model);
  }
  return found;
}

/* returns the models that the kinds of a service request, as engine_model_spec *, the most
 * requested first */
static GPtrArray *models_by_demand(const day *day, const day_service *service) {
  GPtrArray *models = g_ptr_array_new();
  guint index = 0;
  while (add_models_at(day, service, index, models))
    index++;
  return models;
}

/* returns the names of the models that fit into the memory of an engine, starting at *next; sets
 * *next to the first that does not fit */
static GPtrArray *take_models_that_fit(const GPtrArray *models, double remaining_mb, guint *next) {
  GPtrArray *models_on_engine = g_ptr_array_new();
  for (guint i = 0; i < models->len; i++) {
    guint index = (*next + i) % models->len;
    const engine_model_spec *model = models->pdata[index];
    if (model->weights_mb > remaining_mb) {
      *next = index;
      break;
    }
    remaining_mb -= model->weights_mb;
    g_ptr_array_add(models_on_engine, (char *)model->name.text);
  }
  return models_on_engine;
}

static registering_engine_plan engine_plan(deployment *deployment, const day_service *service) {
  return (registering_engine_plan){
    .service = service->name,
    .version = id_of_text("v1"),
    .port = ENGINE_PORT,
    .slots = service->slots,
    .queue = service->queue,
    .connections_max = ENGINE_CONNECTIONS_MAX,
    .heartbeat_ms = ENGINE_HEARTBEAT_MS,
    .drain_ms = DEPLOYMENT_DRAIN_MS,
    .work_ms = (int64_t)service->work_ms,
    .idle_timeout_ms = ENGINE_IDLE_TIMEOUT_MS,
    .step_ms = ENGINE_STEP_MS,
    .step_per_request_ms = ENGINE_STEP_PER_REQUEST_MS,
    .prefill_tokens_per_ms = ENGINE_PREFILL_TOKENS_PER_MS,
    .event_tokens = ENGINE_EVENT_TOKENS,
    .kv_tokens = service->kv_tokens,
    .weights_mb = service->weights_mb,
    .adapter_slots = service->adapter_slots,
    .models = service->model_count ? service->models : NULL,
    .model_count = service->model_count,
    .dialect = &dialect_native,
    .log = deployment->log,
    .store = &deployment->store,
  };
}

static void add_service_engines(day_run *run, const day_service *service) {
  const day *day = run->day;
  deployment *deployment = run->deployment;
  GPtrArray *models = models_by_demand(day, service);
  guint next = 0;
  for (unsigned i = 0; i < service->engines; i++) {
    size_t engine_count = deployment->model_engine_count + deployment->plain_engine_count;
    id zone = day->zones[engine_count % (size_t)day->zone_count];
    GPtrArray *initial =
        service->model_count ? take_models_that_fit(models, service->weights_mb, &next) : NULL;
    deployment_add_engine(deployment, zone, engine_plan(deployment, service), initial);
  }
  if (service->model_count)
    deployment->loads_per_s = service->loads_per_s;
  g_ptr_array_free(models, TRUE);
}

void day_config_add_engines(day_run *run) {
  for (size_t i = 0; i < run->day->service_count; i++)
    add_service_engines(run, &run->day->services[i]);
}
