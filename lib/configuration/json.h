#ifndef CONFIGURATION_JSON_H
#define CONFIGURATION_JSON_H
/** JSON values as trees. Functions that look something up take NULL for a value that is absent, so
 * that look-ups can be nested. */
#include "base.h"

enum json_kind { JSON_NULL, JSON_BOOL, JSON_NUMBER, JSON_STRING, JSON_ARRAY, JSON_OBJECT };
/** A value that was read; objects keep the order of their keys. */
typedef struct json json;
struct json {
  enum json_kind kind;
  /** Of a JSON_BOOL. */
  bool boolean;
  /** Of a JSON_NUMBER. */
  double number;
  /** Of a JSON_STRING; of a whole JSON_NUMBER beyond 2^53 its digits; else NULL. */
  GString *text;
  /** The values of a JSON_ARRAY or JSON_OBJECT, which they belong to; else NULL. */
  GPtrArray *children;
  /** The keys of a JSON_OBJECT, in the order of children; else NULL. */
  GPtrArray *keys;
};

/** Parses a whole text; free with json_free. NULL with err set when it is bad, too deep, or names a
 * key twice. */
json *json_parse(string_view text, error *err);
/** Frees a value; NULL is fine. */
void json_free(json *json);
/** A deep copy; free with json_free. */
json *json_copy(const json *value);
/** The value under a key, or NULL. */
const json *json_get(const json *value, const char *key);
/** The number of values of an array or object; 0 for all else, and NULL. */
size_t json_count(const json *value);
/** The value at an index, which must be below json_count. */
const json *json_at(const json *value, size_t i);
/** The key at an index of an object. */
const char *json_key(const json *value, size_t i);
/** The text under a key, which stays the value's, or the fallback. */
const char *json_text(const json *value, const char *key, const char *fallback);
/** The number under a key, or the fallback. */
double json_number(const json *value, const char *key, double fallback);
/** The truth under a key, or the fallback. */
bool json_bool(const json *value, const char *key, bool fallback);
/** Writes a value through yajl's generator, without white space. */
void json_write(const json *value, GString *to);
/** Merges a patch into a target by RFC 7396; gives the new value and takes the target over. */
json *json_merge(json *target, const json *patch);
/** Writes a text as a JSON string, quotes and all. */
void json_append_quoted(GString *to, string_view s);
/** A truth value as JSON text. */
static inline const char *json_bool_text(bool value) {
  return value ? "true" : "false";
}
/** Appends by printf. A text from outside goes in with json_append_quoted, never here. */
void json_appendf(GString *to, const char *form, ...) __attribute__((format(printf, 2, 3)));
#endif
