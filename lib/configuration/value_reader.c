/** Validated reading of JSON that operators declare. */
#include "value_reader.h"
#include <math.h>
#include <stdarg.h>
#include <stdio.h>

void value_reader_enter(value_reader *reader, const char *format, ...) {
  va_list arguments;
  va_start(arguments, format);
  vsnprintf(reader->path, sizeof reader->path, format, arguments);
  va_end(arguments);
}

enum error_code value_reader_fail(value_reader *reader, enum error_code code, const char *key,
                                  const char *reason) {
  const char *separator = key[0] ? "." : "";
  return error_set(reader->err, code, "%s%s%s: %s", reader->path, separator, key, reason);
}

static bool is_known(const char *key, const char *const *known) {
  for (; *known; known++)
    if (!strcmp(*known, key))
      return true;
  return false;
}

enum error_code value_reader_check_fields(value_reader *reader, const json *object, const char *key,
                                          const char *const *known) {
  if (object->kind != JSON_OBJECT)
    return value_reader_fail(reader, E_TYPE, key, "not an object");
  for (size_t i = 0; i < json_count(object); i++)
    if (!is_known(json_key(object, i), known))
      return value_reader_fail(reader, E_FIELD, json_key(object, i), "there is no such field");
  return OK;
}

enum error_code value_reader_number(value_reader *reader, const json *object, const char *key,
                                    double low, double high, double fallback, bool whole,
                                    double *to) {
  const json *value = json_get(object, key);
  *to = fallback;
  if (!value)
    return isnan(fallback) ? value_reader_fail(reader, E_FIELD, key, "missing") : OK;
  if (value->kind != JSON_NUMBER)
    return value_reader_fail(reader, E_TYPE, key, "not a number");
  bool in_range = value->number >= low && value->number <= high;
  if (!in_range || (whole && value->number != floor(value->number))) {
    char reason[80];
    snprintf(reason, sizeof reason, "not %s from %g to %g", whole ? "a whole number" : "a number",
             low, high);
    return value_reader_fail(reader, E_RANGE, key, reason);
  }
  *to = value->number;
  return OK;
}

enum error_code value_reader_integer(value_reader *reader, const json *object, const char *key,
                                     double low, double high, double fallback, int64_t *to) {
  double number;
  enum error_code code =
      value_reader_number(reader, object, key, low, high, fallback, true, &number);
  if (code)
    return code;
  *to = (int64_t)number;
  return OK;
}

enum error_code value_reader_name(value_reader *reader, const json *object, const char *key,
                                  id *to) {
  const json *value = json_get(object, key);
  if (!value)
    return value_reader_fail(reader, E_FIELD, key, "missing");
  if (value->kind != JSON_STRING)
    return value_reader_fail(reader, E_TYPE, key, "not a text");
  if (!id_is_valid(string_view_of_gstring(value->text)))
    return value_reader_fail(reader, E_NAME, key,
                             "not a name of 1 to 47 letters, digits, '-', '_', '.', ':'");
  *to = id_of(string_view_of_gstring(value->text));
  return OK;
}

enum error_code value_reader_list(value_reader *reader, const json *object, const char *key,
                                  size_t max, const json **to) {
  *to = json_get(object, key);
  if (!*to)
    return OK;
  if ((*to)->kind != JSON_ARRAY)
    return value_reader_fail(reader, E_TYPE, key, "not a list");
  if (json_count(*to) > max)
    return value_reader_fail(reader, E_RANGE, key, "too long a list");
  return OK;
}
