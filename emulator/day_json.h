#ifndef EMULATOR_DAY_JSON_H
#define EMULATOR_DAY_JSON_H
/**
 * Checked access to the JSON of a day's file. The first error is kept, with the path of the field;
 * later ones are ignored, so that a reader may check once at the end of a section.
 */
#include "world.h"
#include "json.h"

/** Where in the file a reader is, and where it reports errors. */
typedef struct day_json_location {
  error *err;
  char path[96];
} day_json_location;

/** Returns the location of item `index` of a list below a location. */
day_json_location day_json_item(const day_json_location *parent, const char *list, size_t index);
bool day_json_failed(const day_json_location *at);
/** Reports an error of a field (key "": of the location itself); returns the code. */
enum error_code day_json_report(const day_json_location *at, enum error_code code, const char *key,
                                const char *why);
/** Reports an error unless the value is an object whose keys all are in a NULL-terminated list. */
enum error_code day_json_check_keys(const day_json_location *at, const json *value,
                                    const char *const *keys);
/** Reads a number within bounds. A fallback of NAN means that the field is required. */
double day_json_number(const day_json_location *at, const json *value, const char *key, double min,
                       double max, double fallback);
/** Reads a whole number within bounds that is optional. */
unsigned day_json_unsigned(const day_json_location *at, const json *value, const char *key,
                           double max, double fallback);
/** Reads an optional boolean; false when missing. */
bool day_json_bool(const day_json_location *at, const json *value, const char *key);
/** Reads a required text that is not empty and has less than `size` bytes; "" on errors. The text
 * belongs to the JSON. */
const char *day_json_text(const day_json_location *at, const json *value, const char *key,
                          size_t size);
/** Reads a required name; the empty id on errors. */
id day_json_name(const day_json_location *at, const json *value, const char *key);
/** Reads a list, required if min is above 0; NULL when it is missing or wrong. */
const json *day_json_list(const day_json_location *at, const json *value, const char *key,
                          size_t min, size_t max);
#endif
