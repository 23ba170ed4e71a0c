#ifndef CONFIGURATION_JSON_H
#define CONFIGURATION_JSON_H
/** JSON values as trees. Lookup functions accept NULL for an absent value, so that lookups can be
 * nested. */
#include "base.h"

enum json_kind { JSON_NULL, JSON_BOOL, JSON_NUMBER, JSON_STRING, JSON_ARRAY, JSON_OBJECT };
/** A JSON value. Objects keep the order of their keys. */
typedef struct json json;
struct json {
  enum json_kind kind;
  /** Of a JSON_BOOL. */
  bool boolean;
  /** Of a JSON_NUMBER. */
  double number;
  /** The text of a JSON_STRING, or the digits of an integral JSON_NUMBER whose magnitude is 2^53 or
   * more; else NULL. */
  GString *text;
  /** The values of a JSON_ARRAY or JSON_OBJECT, which owns them; else NULL. */
  GPtrArray *children;
  /** The keys of a JSON_OBJECT, in the order of children; else NULL. */
  GPtrArray *keys;
};

/** Parses a complete text; free with json_free. NULL with err set if it is invalid, exceeds a bound
 * or has a duplicate key. */
json *json_parse(string_view text, error *err);
/** Frees a value; NULL is fine. */
void json_free(json *json);
/** A deep copy; free with json_free. */
json *json_copy(const json *value);
/** The value under a key, or NULL. */
const json *json_get(const json *value, const char *key);
/** The number of values of an array or object; 0 for other values and NULL. */
size_t json_count(const json *value);
/** The value at an index, which must be below json_count. */
const json *json_at(const json *value, size_t i);
/** The key at an index of an object. */
const char *json_key(const json *value, size_t i);
/** The string under a key, which the value owns, or the fallback. */
const char *json_text(const json *value, const char *key, const char *fallback);
/** The number under a key, or the fallback. */
double json_number(const json *value, const char *key, double fallback);
/** The boolean under a key, or the fallback. */
bool json_bool(const json *value, const char *key, bool fallback);
/** Appends the text of a value, without white space. */
void json_write(const json *value, GString *to);
/** Merges a patch into a target (RFC 7396). Takes ownership of the target and returns the result.
 */
json *json_merge(json *target, const json *patch);
/** Appends a text as a JSON string, with its quotes. */
void json_append_quoted(GString *to, string_view text);
/** A boolean as JSON text. */
static inline const char *json_bool_text(bool value) {
  return value ? "true" : "false";
}
/** Appends formatted text. Text from outside the process must be appended with json_append_quoted
 * instead, which escapes it. */
void json_appendf(GString *to, const char *format, ...) __attribute__((format(printf, 2, 3)));
#endif
