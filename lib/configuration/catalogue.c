/** The resource "catalogue": which models and adapters the fleet may serve, and its zones. */
#include "config_sections.h"
#include <math.h>

/** Upper bounds on what a catalogue may declare. */
enum { MODELS_MAX = 20000, ADAPTERS_MAX = 40000, ZONES_MAX = 1000, ADAPTER_SLOTS_MAX = 1000 };
/** In megabytes: 1,000 terabytes. */
static const double weights_mb_max = 1e9;
/** In milliseconds: an hour. */
static const double load_ms_max = 3.6e6;

static enum error_code compile_model(config *config, value_reader *reader, const json *value) {
  static const char *const known[] = { "id", "weightsMb", "startLoadMs", NULL };
  catalogue_model model = { 0 };
  int64_t weights_mb;
  if (value_reader_check_fields(reader, value, "", known) ||
      value_reader_name(reader, value, "id", &model.self) ||
      value_reader_integer(reader, value, "weightsMb", 1, weights_mb_max, VALUE_REQUIRED,
                           &weights_mb) ||
      value_reader_number(reader, value, "startLoadMs", 1, load_ms_max, 0, false,
                          &model.default_load_ms))
    return reader->err->code;
  model.weights_mb = (uint64_t)weights_mb;
  if (config_model(config, model.self.text))
    return value_reader_fail(reader, E_NAME, "id", "stands twice");
  g_array_append_val(config->models, model);
  g_hash_table_insert(config->models_by_name, g_strdup(model.self.text),
                      GUINT_TO_POINTER(config->models->len));
  return OK;
}

static enum error_code compile_adapter(config *config, value_reader *reader, const json *value) {
  static const char *const known[] = { "id", "model", "weightsMb", "slots", NULL };
  catalogue_adapter adapter = { 0 };
  int64_t weights_mb, slots;
  if (value_reader_check_fields(reader, value, "", known) ||
      value_reader_name(reader, value, "id", &adapter.self) ||
      value_reader_name(reader, value, "model", &adapter.model) ||
      value_reader_integer(reader, value, "weightsMb", 0, weights_mb_max, 0, &weights_mb) ||
      value_reader_integer(reader, value, "slots", 1, ADAPTER_SLOTS_MAX, 1, &slots))
    return reader->err->code;
  adapter.weights_mb = (uint64_t)weights_mb;
  adapter.slots = (unsigned)slots;
  if (!config_model(config, adapter.model.text))
    return value_reader_fail(reader, E_NAME, "model", "no such model in this catalogue");
  if (config_adapter(config, adapter.self.text))
    return value_reader_fail(reader, E_NAME, "id", "stands twice");
  g_array_append_val(config->adapters, adapter);
  g_hash_table_insert(config->adapters_by_name, g_strdup(adapter.self.text),
                      GUINT_TO_POINTER(config->adapters->len));
  return OK;
}

static enum error_code compile_zones(config *config, value_reader *reader, const json *zones) {
  for (size_t i = 0; i < json_count(zones); i++) {
    const json *value = json_at(zones, i);
    if (value->kind != JSON_STRING || !id_is_valid(string_view_of_gstring(value->text)))
      return value_reader_fail(reader, E_NAME, "areas", "holds what is not a name");
    id zone = id_of(string_view_of_gstring(value->text));
    g_array_append_val(config->zones, zone);
  }
  return OK;
}

enum error_code catalogue_compile(config *config, const json *value, error *err) {
  static const char *const known[] = { "models", "adapters", "areas", NULL };
  value_reader reader = { err, "catalogue" };
  const json *models, *adapters, *zones;
  if (value_reader_check_fields(&reader, value, "", known) ||
      value_reader_list(&reader, value, "models", MODELS_MAX, &models))
    return err->code;
  for (size_t i = 0; i < json_count(models); i++) {
    value_reader_enter(&reader, "catalogue.models[%zu]", i);
    if (compile_model(config, &reader, json_at(models, i)))
      return err->code;
  }
  value_reader_enter(&reader, "catalogue");
  if (value_reader_list(&reader, value, "adapters", ADAPTERS_MAX, &adapters))
    return err->code;
  for (size_t i = 0; i < json_count(adapters); i++) {
    value_reader_enter(&reader, "catalogue.adapters[%zu]", i);
    if (compile_adapter(config, &reader, json_at(adapters, i)))
      return err->code;
  }
  value_reader_enter(&reader, "catalogue");
  if (value_reader_list(&reader, value, "areas", ZONES_MAX, &zones))
    return err->code;
  return compile_zones(config, &reader, zones);
}
