#ifndef EMULATOR_DAY_JSON_H
#define EMULATOR_DAY_JSON_H
/**
 * Checked access to the JSON of a day's file. The first error is kept, with the path of the field;
 * later ones are ignored, so that a reader can check for errors once at the end of a section.
 */
#include "world.h"
#include "json.h"

/** The place in the file that is being read, and where errors are reported. */
typedef struct day_json_location {
  error *err;
  char path[96];
} day_json_location;

/** Returns the location of item `index` of a list below a location. */
day_json_location day_json_item(const day_json_location *parent, const char *list, size_t index);
/** Returns whether an error was reported. */
bool day_json_failed(const day_json_location *at);
/** Reports an error in a field, or with key "" in the location itself; returns the code. */
enum error_code day_json_report(const day_json_location *at, enum error_code code, const char *key,
                                const char *why);
/** Reports an error unless the value is an object with keys of a NULL-terminated list only. */
enum error_code day_json_check_keys(const day_json_location *at, const json *value,
                                    const char *const *keys);
/** Reads a number from min to max, or min on errors. The field is required if fallback is NAN. */
double day_json_number(const day_json_location *at, const json *value, const char *key, double min,
                       double max, double fallback);
/** Reads an optional number from 0 to max and truncates it to a whole number. */
unsigned day_json_unsigned(const day_json_location *at, const json *value, const char *key,
                           double max, double fallback);
/** Reads an optional boolean; false when missing. */
bool day_json_bool(const day_json_location *at, const json *value, const char *key);
/** Reads a required string that is not empty and shorter than `size` bytes; returns "" on errors.
 * The JSON value owns the string. */
const char *day_json_text(const day_json_location *at, const json *value, const char *key,
                          size_t size);
/** Reads a required name; returns the empty id on errors. */
id day_json_name(const day_json_location *at, const json *value, const char *key);
/** Reads a list of min to max items, which is required if min is above 0. Returns NULL when it is
 * missing or invalid. */
const json *day_json_list(const day_json_location *at, const json *value, const char *key,
                          size_t min, size_t max);
#endif
