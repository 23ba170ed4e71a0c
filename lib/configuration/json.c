/** JSON values: parsing with yajl's callbacks, lookup, merging and writing. */
#include "json.h"
#include <math.h>
#include <stdarg.h>
#include <yajl/yajl_gen.h>
#include <yajl/yajl_parse.h>

/** Bounds on received JSON: they limit recursion, and the cost of the linear search for a key. */
enum { DEPTH_MAX = 24, KEYS_MAX = 256 };
/** Buffer size for the text of a number, including the final NUL. */
enum { NUMBER_TEXT_SIZE = 64 };
/** 2^53: integers below it are exact as a double. */
static const double exact_integer_max = 9007199254740992.0;

/** State of a parse: the value so far, the open arrays and objects, and the last key of each. */
typedef struct parser {
  json *root;
  json *open[DEPTH_MAX];
  GString *keys[DEPTH_MAX];
  int depth;
  error *err;
  /** The first error that a callback found, or OK. It takes precedence over yajl's own error. */
  enum error_code code;
} parser;

static json *json_new(enum json_kind kind) {
  json *value = g_new0(json, 1);
  value->kind = kind;
  if (kind >= JSON_ARRAY)
    value->children = g_ptr_array_new_with_free_func((GDestroyNotify)json_free);
  if (kind == JSON_OBJECT)
    value->keys = g_ptr_array_new_with_free_func(g_free);
  return value;
}

void json_free(json *json) {
  if (!json)
    return;
  if (json->text)
    g_string_free(json->text, TRUE);
  if (json->children)
    g_ptr_array_free(json->children, TRUE);
  if (json->keys)
    g_ptr_array_free(json->keys, TRUE);
  g_free(json);
}

/* Adds a key to the innermost object, before its value. False with the error set if it can't. */
static bool add_key(parser *parser, json *object, const char *key) {
  if (object->keys->len == KEYS_MAX) {
    parser->code = error_set(parser->err, E_TOO_LARGE, "an object of over %d keys", KEYS_MAX);
    return false;
  }
  if (json_get(object, key)) {
    parser->code = error_set(parser->err, E_FIELD, "the key \"%.60s\" stands twice", key);
    return false;
  }
  g_ptr_array_add(object->keys, g_strdup(key));
  return true;
}

/* Return values of yajl's callbacks: continue, or cancel the parse. */
enum { CALLBACK_CONTINUE = 1, CALLBACK_CANCEL = 0 };

/* Adds a value at the current position of the parse, and opens it if it is an array or object. */
static int add_value(parser *parser, json *value) {
  if (!parser->depth) {
    if (parser->root) {
      json_free(value);
      return CALLBACK_CANCEL;
    }
    parser->root = value;
  } else {
    json *parent = parser->open[parser->depth - 1];
    if (parent->kind == JSON_OBJECT &&
        !add_key(parser, parent, parser->keys[parser->depth - 1]->str)) {
      json_free(value);
      return CALLBACK_CANCEL;
    }
    g_ptr_array_add(parent->children, value);
  }
  if (value->kind < JSON_ARRAY)
    return CALLBACK_CONTINUE;
  if (parser->depth == DEPTH_MAX) {
    parser->code = error_set(parser->err, E_JSON, "nested deeper than %d", DEPTH_MAX);
    return CALLBACK_CANCEL;
  }
  parser->keys[parser->depth] = g_string_new(NULL);
  parser->open[parser->depth++] = value;
  return CALLBACK_CONTINUE;
}

static int on_null(void *context) {
  return add_value(context, json_new(JSON_NULL));
}
static int on_bool(void *context, int boolean) {
  json *json = json_new(JSON_BOOL);
  json->boolean = boolean;
  return add_value(context, json);
}
static int on_number(void *context, const char *digits, size_t length) {
  char text[NUMBER_TEXT_SIZE];
  parser *parser = context;
  if (length >= sizeof text) {
    parser->code = error_set(parser->err, E_RANGE, "a number of over 63 digits");
    return CALLBACK_CANCEL;
  }
  memcpy(text, digits, length);
  text[length] = 0;
  double number = g_ascii_strtod(text, NULL);
  if (!isfinite(number)) {
    parser->code = error_set(parser->err, E_RANGE, "the number %s is out of range", text);
    return CALLBACK_CANCEL;
  }
  json *json = json_new(JSON_NUMBER);
  json->number = number;
  /* an integer that a double can't hold exactly keeps its digits */
  if (fabs(number) >= exact_integer_max && !memchr(digits, '.', length) &&
      !memchr(digits, 'e', length) && !memchr(digits, 'E', length))
    json->text = g_string_new(text);
  return add_value(context, json);
}
static int on_string(void *context, const unsigned char *text, size_t length) {
  json *json = json_new(JSON_STRING);
  json->text = g_string_new_len((const char *)text, length);
  parser *parser = context;
  if (memchr(text, 0, length)) {
    parser->code = error_set(parser->err, E_JSON, "a text holds a zero byte");
    json_free(json);
    return CALLBACK_CANCEL;
  }
  return add_value(context, json);
}
static int on_object(void *context) {
  return add_value(context, json_new(JSON_OBJECT));
}
static int on_key(void *context, const unsigned char *text, size_t length) {
  parser *parser = context;
  g_string_truncate(parser->keys[parser->depth - 1], 0);
  g_string_append_len(parser->keys[parser->depth - 1], (const char *)text, length);
  if (memchr(text, 0, length)) {
    parser->code = error_set(parser->err, E_JSON, "a key holds a zero byte");
    return CALLBACK_CANCEL;
  }
  return CALLBACK_CONTINUE;
}
static int on_end(void *context) {
  parser *parser = context;
  g_string_free(parser->keys[--parser->depth], TRUE);
  return CALLBACK_CONTINUE;
}
static int on_array(void *context) {
  return add_value(context, json_new(JSON_ARRAY));
}

static const yajl_callbacks callbacks = { on_null,   on_bool,   NULL,      NULL,
                                          on_number, on_string, on_object, on_key,
                                          on_end,    on_array,  on_end };

json *json_parse(string_view text, error *err) {
  parser parser = { .err = err };
  yajl_handle handle = yajl_alloc(&callbacks, NULL, &parser);
  yajl_status status = yajl_parse(handle, (const unsigned char *)text.data, text.length);
  if (status == yajl_status_ok)
    status = yajl_complete_parse(handle);
  if (status != yajl_status_ok && !parser.code) {
    unsigned char *message =
        yajl_get_error(handle, 0, (const unsigned char *)text.data, text.length);
    g_strchomp((char *)message);
    parser.code = error_set(err, E_JSON, "not JSON near byte %zu: %.120s",
                            yajl_get_bytes_consumed(handle), (char *)message);
    yajl_free_error(handle, message);
  }
  yajl_free(handle);
  while (parser.depth)
    g_string_free(parser.keys[--parser.depth], TRUE);
  if (!parser.code && !parser.root)
    parser.code = error_set(err, E_JSON, "there is no value");
  if (parser.code) {
    json_free(parser.root);
    return NULL;
  }
  return parser.root;
}

json *json_copy(const json *value) {
  json *copy = json_new(value->kind);
  copy->boolean = value->boolean;
  copy->number = value->number;
  if (value->text)
    copy->text = g_string_new_len(value->text->str, value->text->len);
  for (size_t i = 0; i < json_count(value); i++) {
    g_ptr_array_add(copy->children, json_copy(json_at(value, i)));
    if (value->keys)
      g_ptr_array_add(copy->keys, g_strdup(json_key(value, i)));
  }
  return copy;
}

static int index_of_key(const json *value, const char *key) {
  if (!value || value->kind != JSON_OBJECT)
    return -1;
  for (guint i = 0; i < value->keys->len; i++) {
    const char *candidate = value->keys->pdata[i];
    if (candidate[0] == key[0] && !strcmp(candidate, key))
      return i;
  }
  return -1;
}

const json *json_get(const json *value, const char *key) {
  int i = index_of_key(value, key);
  return i < 0 ? NULL : value->children->pdata[i];
}
size_t json_count(const json *value) {
  return value && value->children ? value->children->len : 0;
}
const json *json_at(const json *value, size_t i) {
  return value->children->pdata[i];
}
const char *json_key(const json *value, size_t i) {
  return value->keys->pdata[i];
}

const char *json_text(const json *value, const char *key, const char *fallback) {
  const json *member = json_get(value, key);
  return member && member->kind == JSON_STRING ? member->text->str : fallback;
}
double json_number(const json *value, const char *key, double fallback) {
  const json *member = json_get(value, key);
  return member && member->kind == JSON_NUMBER ? member->number : fallback;
}
bool json_bool(const json *value, const char *key, bool fallback) {
  const json *member = json_get(value, key);
  return member && member->kind == JSON_BOOL ? member->boolean : fallback;
}

static void generate(yajl_gen generator, const json *json) {
  char text[40];
  switch (json->kind) {
  case JSON_NULL:
    yajl_gen_null(generator);
    break;
  case JSON_BOOL:
    yajl_gen_bool(generator, json->boolean);
    break;
  case JSON_NUMBER:
    if (json->text) {
      yajl_gen_number(generator, json->text->str, json->text->len);
      break;
    }
    if (json->number == floor(json->number) && fabs(json->number) < 9e15) {
      yajl_gen_integer(generator, (long long)json->number);
      break;
    }
    /* 15 digits, unless they would not parse back to the same number */
    g_ascii_formatd(text, sizeof text, "%.15g", json->number);
    if (g_ascii_strtod(text, NULL) != json->number)
      g_ascii_dtostr(text, sizeof text, json->number);
    yajl_gen_number(generator, text, strlen(text));
    break;
  case JSON_STRING:
    yajl_gen_string(generator, (const unsigned char *)json->text->str, json->text->len);
    break;
  case JSON_ARRAY:
    yajl_gen_array_open(generator);
    for (size_t i = 0; i < json_count(json); i++)
      generate(generator, json_at(json, i));
    yajl_gen_array_close(generator);
    break;
  case JSON_OBJECT:
    yajl_gen_map_open(generator);
    for (size_t i = 0; i < json_count(json); i++) {
      const char *key = json_key(json, i);
      yajl_gen_string(generator, (const unsigned char *)key, strlen(key));
      generate(generator, json_at(json, i));
    }
    yajl_gen_map_close(generator);
    break;
  }
}

void json_write(const json *value, GString *to) {
  yajl_gen generator = yajl_gen_alloc(NULL);
  generate(generator, value);
  const unsigned char *text;
  size_t length;
  if (yajl_gen_get_buf(generator, &text, &length) == yajl_gen_status_ok)
    g_string_append_len(to, (const char *)text, length);
  yajl_gen_free(generator);
}

json *json_merge(json *target, const json *patch) {
  if (patch->kind != JSON_OBJECT) {
    json_free(target);
    return json_copy(patch);
  }
  if (!target || target->kind != JSON_OBJECT) {
    json_free(target);
    target = json_new(JSON_OBJECT);
  }
  for (size_t i = 0; i < json_count(patch); i++) {
    const char *key = json_key(patch, i);
    const json *value = json_at(patch, i);
    int index = index_of_key(target, key);
    if (value->kind == JSON_NULL) {
      if (index >= 0) {
        g_ptr_array_remove_index(target->children, index);
        g_ptr_array_remove_index(target->keys, index);
      }
      continue;
    }
    json *previous = NULL;
    if (index >= 0) {
      previous = g_ptr_array_steal_index(target->children, index);
      g_ptr_array_remove_index(target->keys, index);
    }
    g_ptr_array_add(target->children, json_merge(previous, value));
    g_ptr_array_add(target->keys, g_strdup(key));
  }
  return target;
}

void json_append_quoted(GString *to, string_view text) {
  yajl_gen generator = yajl_gen_alloc(NULL);
  const unsigned char *quoted;
  size_t length;
  char *valid = g_utf8_make_valid(text.data, text.length);
  yajl_gen_string(generator, (const unsigned char *)valid, strlen(valid));
  g_free(valid);
  if (yajl_gen_get_buf(generator, &quoted, &length) == yajl_gen_status_ok)
    g_string_append_len(to, (const char *)quoted, length);
  yajl_gen_free(generator);
}

void json_appendf(GString *to, const char *format, ...) {
  va_list arguments;
  va_start(arguments, format);
  g_string_append_vprintf(to, format, arguments);
  va_end(arguments);
}
