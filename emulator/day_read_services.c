/** Reads a day's services and the models that their engines can load. */
#include "day_read.h"
#include <math.h>

static const char DUPLICATE[] = "is not unique";

static void check_model(const day_json_location *at, const day_service *service,
                        const engine_model_spec *model) {
  if (model->weights_mb > service->weights_mb)
    day_json_report(at, E_NO_ENGINE_FITS, "weightsMb",
                    "exceeds the memory of this service's engines");
  for (size_t i = 0; i < service->model_count; i++)
    if (id_equal(service->models[i].name, model->name))
      day_json_report(at, E_NAME, "name", DUPLICATE);
}

static void read_model(const day_json_location *at, const json *value, day_service *service) {
  static const char *const keys[] = { "name", "weightsMb", "loadS", "adapters", "adapterMb", NULL };
  engine_model_spec *model = &service->models[service->model_count];
  if (day_json_check_keys(at, value, keys) != OK)
    return;
  model->name = day_json_name(at, value, "name");
  model->weights_mb = day_json_number(at, value, "weightsMb", 1, 1e7, NAN);
  model->load_ms = 1000 * day_json_number(at, value, "loadS", 0.01, 600, NAN);
  model->adapters = day_json_unsigned(at, value, "adapters", 64, 0);
  model->adapter_mb = day_json_number(at, value, "adapterMb", 1, 1e5, 40);
  check_model(at, service, model);
  service->model_count++;
}

static void read_models(const day_json_location *at, const json *value, day_service *service) {
  const json *list = day_json_list(at, value, "models", 0, DAY_MODELS_MAX);
  service->models = g_new0(engine_model_spec, json_count(list) + 1);
  for (size_t i = 0; i < json_count(list) && !day_json_failed(at); i++) {
    day_json_location item = day_json_item(at, "models", i);
    read_model(&item, json_at(list, i), service);
  }
}

static void read_service(const day_json_location *at, const json *value, day *day) {
  static const char *const keys[] = { "name",         "engines",  "slots",     "queue",
                                      "adapterSlots", "kvTokens", "weightsMb", "loadsPerS",
                                      "workMs",       "models",   NULL };
  if (day_json_check_keys(at, value, keys) != OK)
    return;
  id name = day_json_name(at, value, "name");
  if (day_find_service(day, name))
    day_json_report(at, E_NAME, "name", DUPLICATE);
  day_service *service = &day->services[day->service_count++];
  service->name = name;
  service->engines = (unsigned)day_json_number(at, value, "engines", 1, DEPLOYMENT_ENGINES, NAN);
  service->slots = (unsigned)day_json_number(at, value, "slots", 1, 1024, 8);
  service->queue = day_json_unsigned(at, value, "queue", 1024, 6);
  service->adapter_slots = day_json_unsigned(at, value, "adapterSlots", 64, 4);
  service->kv_tokens = day_json_number(at, value, "kvTokens", 1000, 1e8, 60000);
  service->weights_mb = day_json_number(at, value, "weightsMb", 1, 1e7, 80000);
  service->loads_per_s = day_json_number(at, value, "loadsPerS", 0.01, 100, 2);
  service->work_ms = day_json_number(at, value, "workMs", 0, 60000, 30);
  read_models(at, value, service);
}

void day_read_services(const day_json_location *at, const json *value, day *day) {
  const json *list = day_json_list(at, value, "services", 1, DAY_SERVICES_MAX);
  unsigned engines = 0;
  for (size_t i = 0; i < json_count(list) && !day_json_failed(at); i++) {
    day_json_location item = day_json_item(at, "services", i);
    read_service(&item, json_at(list, i), day);
  }
  for (size_t i = 0; i < day->service_count; i++)
    engines += day->services[i].engines;
  if (engines > DEPLOYMENT_ENGINES)
    day_json_report(at, E_RANGE, "services", "too many engines");
}
