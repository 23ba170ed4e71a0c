/** Checked access to the JSON of a day's file, with errors that name the field. */
#include "day_json.h"
#include <math.h>
#include <stdio.h>

day_json_location day_json_item(const day_json_location *parent, const char *list, size_t index) {
  day_json_location item = { parent->err, "" };
  const char *dot = parent->path[0] ? "." : "";
  snprintf(item.path, sizeof item.path, "%.46s%s%.24s[%zu]", parent->path, dot, list, index);
  return item;
}

bool day_json_failed(const day_json_location *at) {
  return at->err->code != OK;
}

enum error_code day_json_report(const day_json_location *at, enum error_code code, const char *key,
                                const char *why) {
  const char *dot = at->path[0] && key[0] ? "." : "";
  if (!day_json_failed(at))
    error_set(at->err, code, "%s%s%s: %s", at->path, dot, key, why);
  return code;
}

static bool is_listed(const char *const *keys, const char *key) {
  while (*keys && strcmp(*keys, key))
    keys++;
  return *keys != NULL;
}

enum error_code day_json_check_keys(const day_json_location *at, const json *value,
                                    const char *const *keys) {
  if (!value || value->kind != JSON_OBJECT)
    return day_json_report(at, E_TYPE, "", "must be an object");
  for (size_t i = 0; i < json_count(value); i++)
    if (!is_listed(keys, json_key(value, i)))
      return day_json_report(at, E_FIELD, json_key(value, i), "unknown field");
  return OK;
}

double day_json_number(const day_json_location *at, const json *value, const char *key, double min,
                       double max, double fallback) {
  const json *field = json_get(value, key);
  if (!field) {
    if (!isnan(fallback))
      return fallback;
    day_json_report(at, E_FIELD, key, "is missing");
    return min;
  }
  if (field->kind != JSON_NUMBER) {
    day_json_report(at, E_TYPE, key, "must be a number");
    return min;
  }
  if (!(field->number >= min && field->number <= max)) {
    char why[80];
    snprintf(why, sizeof why, "must be from %g to %g", min, max);
    day_json_report(at, E_RANGE, key, why);
    return min;
  }
  return field->number;
}

unsigned day_json_unsigned(const day_json_location *at, const json *value, const char *key,
                           double max, double fallback) {
  return (unsigned)day_json_number(at, value, key, 0, max, fallback);
}

bool day_json_bool(const day_json_location *at, const json *value, const char *key) {
  const json *field = json_get(value, key);
  if (!field)
    return false;
  if (field->kind == JSON_BOOL)
    return field->boolean;
  day_json_report(at, E_TYPE, key, "must be true or false");
  return false;
}

const char *day_json_text(const day_json_location *at, const json *value, const char *key,
                          size_t size) {
  const json *field = json_get(value, key);
  if (!field) {
    day_json_report(at, E_FIELD, key, "is missing");
    return "";
  }
  if (field->kind != JSON_STRING) {
    day_json_report(at, E_TYPE, key, "must be a string");
    return "";
  }
  if (!field->text->len || field->text->len >= size) {
    day_json_report(at, E_RANGE, key, "must not be empty or too long");
    return "";
  }
  return field->text->str;
}

id day_json_name(const day_json_location *at, const json *value, const char *key) {
  const char *text = day_json_text(at, value, key, sizeof(id));
  if (!day_json_failed(at) && !id_is_valid(string_view_of(text)))
    day_json_report(at, E_NAME, key, "not a name");
  return id_of_text(day_json_failed(at) ? "" : text);
}

const json *day_json_list(const day_json_location *at, const json *value, const char *key,
                          size_t min, size_t max) {
  const json *field = json_get(value, key);
  if (!field) {
    if (min)
      day_json_report(at, E_FIELD, key, "is missing");
    return NULL;
  }
  if (field->kind != JSON_ARRAY) {
    day_json_report(at, E_TYPE, key, "must be a list");
    return NULL;
  }
  if (json_count(field) < min || json_count(field) > max) {
    day_json_report(at, E_RANGE, key, "has too many or too few items");
    return NULL;
  }
  return field;
}
