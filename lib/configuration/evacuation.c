/** The resource "evacuation": zones whose engines, all or a share of them, get no new work. */
#include "config_sections.h"

enum { EVACUATIONS_MAX = 1000 };

static bool is_zone_of_catalogue(const config *config, id zone) {
  for (guint i = 0; i < config->zones->len; i++)
    if (id_equal(g_array_index(config->zones, id, i), zone))
      return true;
  return false;
}

static enum error_code compile_zone(config *config, value_reader *reader, const json *value) {
  static const char *const known[] = { "area", "share", NULL };
  zone_evacuation evacuation = { 0 };
  if (value_reader_check_fields(reader, value, "", known) ||
      value_reader_name(reader, value, "area", &evacuation.zone) ||
      value_reader_number(reader, value, "share", 0, 1, 1, false, &evacuation.engine_share))
    return reader->err->code;
  if (!is_zone_of_catalogue(config, evacuation.zone))
    return value_reader_fail(reader, E_NAME, "area", "the catalogue lists no such area");
  g_array_append_val(config->evacuations, evacuation);
  return OK;
}

enum error_code evacuation_compile(config *config, const json *value, error *err) {
  static const char *const known[] = { "areas", NULL };
  value_reader reader = { err, "evacuation" };
  const json *zones;
  if (value_reader_check_fields(&reader, value, "", known) ||
      value_reader_list(&reader, value, "areas", EVACUATIONS_MAX, &zones))
    return err->code;
  for (size_t i = 0; i < json_count(zones); i++) {
    value_reader_enter(&reader, "evacuation.areas[%zu]", i);
    if (compile_zone(config, &reader, json_at(zones, i)))
      return err->code;
  }
  return OK;
}

/* A hash of the engine's name decides whether it belongs to the share. So all routers agree without
 * communication, and the result changes only when the share does. */
static bool is_in_share(id engine, double share) {
  uint64_t hash = hash_two_names("empty", engine.text);
  double fraction = (double)(hash >> 11) / (double)(1ull << 53);
  return fraction < share;
}

bool config_is_engine_evacuated(const config *config, id engine, id zone) {
  for (guint i = 0; i < config->evacuations->len; i++) {
    const zone_evacuation *evacuation = &g_array_index(config->evacuations, zone_evacuation, i);
    if (id_equal(evacuation->zone, zone))
      return evacuation->engine_share >= 1 || is_in_share(engine, evacuation->engine_share);
  }
  return false;
}

bool config_is_zone_evacuated(const config *config, id zone) {
  for (guint i = 0; i < config->evacuations->len; i++) {
    const zone_evacuation *evacuation = &g_array_index(config->evacuations, zone_evacuation, i);
    if (id_equal(evacuation->zone, zone) && evacuation->engine_share >= 1)
      return true;
  }
  return false;
}
