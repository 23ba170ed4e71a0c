/** Compiles the resources that operators declare into a config. The compilers of the single
 * resources are in config_sections.h. */
#include "config.h"
#include "config_sections.h"

const char *const resource_names[RESOURCE_COUNT] = { "catalogue", "policy", "evacuation", "routing",
                                                     "canary" };

static config *config_new(void) {
  config *config = g_malloc0(sizeof *config);
  config->models = g_array_new(FALSE, TRUE, sizeof(catalogue_model));
  config->adapters = g_array_new(FALSE, TRUE, sizeof(catalogue_adapter));
  config->zones = g_array_new(FALSE, TRUE, sizeof(id));
  config->evacuations = g_array_new(FALSE, TRUE, sizeof(zone_evacuation));
  config->models_by_name = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  config->adapters_by_name = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  policy_set_defaults(config);
  return config;
}

config *config_compile(const json *resources[RESOURCE_COUNT], error *err) {
  error ignored = { 0 };
  if (!err)
    err = &ignored;
  const json *catalogue = resources[RESOURCE_CATALOGUE], *policy = resources[RESOURCE_POLICY],
             *evacuation = resources[RESOURCE_EVACUATION];
  config *config = config_new();
  if ((catalogue && catalogue_compile(config, catalogue, err)) ||
      (policy && policy_compile(config, policy, err)) ||
      (evacuation && evacuation_compile(config, evacuation, err)) ||
      canary_compile(&config->canary, resources[RESOURCE_CANARY], err)) {
    config_free(config);
    return NULL;
  }
  return config;
}

void config_free(config *config) {
  if (!config)
    return;
  g_array_free(config->models, TRUE);
  g_array_free(config->adapters, TRUE);
  g_array_free(config->zones, TRUE);
  g_array_free(config->evacuations, TRUE);
  g_hash_table_destroy(config->models_by_name);
  g_hash_table_destroy(config->adapters_by_name);
  g_free(config);
}

/* The tables hold index + 1, since a lookup of a missing name returns 0. */
const catalogue_model *config_model(const config *config, const char *name) {
  guint index = GPOINTER_TO_UINT(g_hash_table_lookup(config->models_by_name, name));
  return index ? &g_array_index(config->models, catalogue_model, index - 1) : NULL;
}

const catalogue_adapter *config_adapter(const config *config, const char *name) {
  guint index = GPOINTER_TO_UINT(g_hash_table_lookup(config->adapters_by_name, name));
  return index ? &g_array_index(config->adapters, catalogue_adapter, index - 1) : NULL;
}
