/** The data of an emulated day: names of its enum values, look-up and cleanup. */
#include "day.h"

const char *const day_fault_names[DAY_FAULT_KIND_COUNT] = {
  [DAY_ENGINE_CRASH] = "engine-crash",
  [DAY_ENGINE_POWER_OFF] = "engine-dark",
  [DAY_ENGINE_DEGRADED] = "engine-grey",
  [DAY_ENGINE_DRAIN] = "engine-leave",
  [DAY_GATEWAY_KILL] = "gateway-kill",
  [DAY_GATEWAY_DRAIN] = "gateway-drain",
  [DAY_GATEWAY_FREEZE] = "gateway-freeze",
  [DAY_CONTROLLER_KILL] = "controller-kill",
  [DAY_CONTROLLER_PARTITION] = "controller-cut",
  [DAY_CONTROLLER_WIPE] = "controller-wipe",
  [DAY_CONFIG_CHANGE] = "config-change",
  [DAY_CONFIG_RACE] = "config-race",
  [DAY_CONFIG_INVALID] = "config-bad",
  [DAY_BURST] = "burst",
  [DAY_MODEL_SHIFT] = "model-shift",
};

const char *const day_mode_names[DAY_MODE_COUNT] = {
  [CLIENT_SIM_ONCE] = "once",
  [CLIENT_SIM_SAFE] = "safe",
  [CLIENT_SIM_STREAM] = "stream",
};

void day_free(day *day) {
  if (!day)
    return;
  for (size_t i = 0; i < day->service_count; i++)
    g_free(day->services[i].models);
  for (size_t i = 0; i < day->kind_count; i++)
    if (day->kinds[i].models)
      g_ptr_array_free(day->kinds[i].models, TRUE);
  g_free(day->policy);
  g_free(day);
}

const day_service *day_find_service(const day *day, id name) {
  for (size_t i = 0; i < day->service_count; i++)
    if (id_equal(day->services[i].name, name))
      return &day->services[i];
  return NULL;
}

const engine_model_spec *day_service_find_model(const day_service *service, const char *name) {
  size_t length = strcspn(name, "/");
  for (size_t i = 0; i < service->model_count; i++) {
    const char *candidate = service->models[i].name.text;
    if (strlen(candidate) == length && !strncmp(candidate, name, length))
      return &service->models[i];
  }
  return NULL;
}
