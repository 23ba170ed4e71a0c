#ifndef COMMON_JSON_H
#define COMMON_JSON_H
#include "base.h"

enum json_kind { JSON_NULL, JSON_BOOL, JSON_NUMBER, JSON_STRING, JSON_ARRAY, JSON_OBJECT };
/** A value that was read; objects keep the order of their keys. */
typedef struct json json;
struct json {
  enum json_kind kind;
  bool boolean;
  double number;
  GString *text;
  GPtrArray *children;
  GPtrArray *keys;
};

/** Reads a whole text by yajl callbacks; NULL with err set when it is bad, too deep, or names a key
 * twice. */
json *json_parse(string_view text, error *err);
/** Frees a value; NULL is fine. */
void json_free(json *json);
/** A copy of a value. */
json *json_copy(const json *json);
/** The value under a key, or NULL. */
const json *json_get(const json *json, const char *key);
/** The number of kids of an array or object. */
size_t json_count(const json *json);
/** The kid at a place. */
const json *json_at(const json *json, size_t i);
/** The key at a place of an object. */
const char *json_key(const json *json, size_t i);
/** The text under a key, or the fallback. */
const char *json_text(const json *json, const char *key, const char *fall);
/** The number under a key, or the fallback. */
double json_number(const json *json, const char *key, double fall);
/** The truth under a key, or the fallback. */
bool json_bool(const json *json, const char *key, bool fall);
/** Writes a value through yajl's generator, without white space. */
void json_write(const json *json, GString *to);
/** Merges a patch into a target by RFC 7396; gives the new value and eats the target. */
json *json_merge(json *target, const json *patch);
/** Writes a text as a JSON string, quotes and all. */
void json_append_quoted(GString *to, string_view s);
/** Appends by printf. A text from outside goes in with json_append_quoted, never here. */
void json_appendf(GString *to, const char *form, ...) __attribute__((format(printf, 2, 3)));
#endif
