/** Dialects: the foreign names, which another platform uses, for the native header fields, calls,
 * JSON keys and values.
 *
 * JSON is translated in place where it enters and leaves the process: dialect_translate_in gives
 * native names, and dialect_translate_out reverses it, so that out(in(x)) is x. A native key or
 * value that arrives although the dialect has another name for it must therefore be kept apart:
 * dialect_translate_in prefixes it with an escape character, which dialect_translate_out removes.
 */
#include "dialect.h"

/** Escapes a key or value that arrived under its native name although the dialect has another. */
#define ESCAPE_CHARACTER '~'

const dialect dialect_native = {
  .header_names = { [DF_REQUEST_ID] = "Asterfall-Request",
                    [DF_TIME_LEFT_MS] = "Asterfall-Time-Left",
                    [DF_PREFIX] = "Asterfall-Prefix",
                    [DF_LAST_EVENT_ID] = "Last-Event-Id",
                    [DF_STAMP] = "Asterfall-Stamp",
                    [DF_EXPECT_ENGINE] = "Asterfall-Engine-Expected",
                    [DF_NOT_RUN] = "Asterfall-Not-Run",
                    [DF_BASE_VERSION] = "Asterfall-Base-Version",
                    [DF_ENGINE_ID] = "Asterfall-Engine",
                    [DF_MODEL] = "Asterfall-Model",
                    [DF_TOKENS] = "Asterfall-Tokens",
                    [DF_PRIORITY] = "Asterfall-Priority",
                    [DF_WEIGHT_VERSIONS] = "Asterfall-Weight-Versions",
                    [DF_EXPECT_VERSION] = "Asterfall-Version-Expected",
                    [DF_SESSION] = "Asterfall-Session",
                    [DF_POLICY] = "Asterfall-Policy" },
  .calls = { [DC_READY] = { "GET", "/ready" },
             [DC_HEARTBEAT] = { "POST", "/v1/engines/{}/beat" },
             [DC_SIGN_OFF] = { "POST", "/v1/engines/{}/leave" },
             [DC_CONFIG_PUT] = { "PUT", "/v1/routing" },
             [DC_CONFIG_PATCH] = { "PATCH", "/v1/routing" },
             [DC_CONFIG_GET] = { "GET", "/v1/routing" },
             [DC_ENGINE_ORDER] = { "POST", "/v1/order" },
             [DC_REPORT] = { "GET", "/v1/report" } },
};

/** Hash tables of one dialect: keys in both directions, and values by native key (a GPtrArray of
 * dialect_value). */
typedef struct translation {
  GHashTable *native_to_foreign, *foreign_to_native, *values_by_key;
} translation;

static translation *translation_new(const dialect *dialect) {
  translation *tables = g_new(translation, 1);
  tables->native_to_foreign = g_hash_table_new(g_str_hash, g_str_equal);
  tables->foreign_to_native = g_hash_table_new(g_str_hash, g_str_equal);
  tables->values_by_key = g_hash_table_new(g_str_hash, g_str_equal);
  /* From the last to the first, so that the first of two entries with the same key wins. */
  for (size_t i = dialect->key_count; i-- > 0;) {
    const dialect_pair *pair = &dialect->keys[i];
    g_hash_table_insert(tables->native_to_foreign, (char *)pair->native_name,
                        (char *)pair->foreign_name);
    g_hash_table_insert(tables->foreign_to_native, (char *)pair->foreign_name,
                        (char *)pair->native_name);
  }
  for (size_t i = 0; i < dialect->value_count; i++) {
    const dialect_value *value = &dialect->values[i];
    GPtrArray *list = g_hash_table_lookup(tables->values_by_key, value->key);
    if (!list) {
      list = g_ptr_array_new();
      g_hash_table_insert(tables->values_by_key, (char *)value->key, list);
    }
    g_ptr_array_add(list, (void *)value);
  }
  return tables;
}

/* Returns the hash tables of a dialect. They are built at its first use and never freed, since
 * dialects are constants. */
static const translation *translation_of(const dialect *dialect) {
  static GHashTable *all;
  if (!all)
    all = g_hash_table_new(NULL, NULL);
  translation *tables = g_hash_table_lookup(all, dialect);
  if (!tables) {
    tables = translation_new(dialect);
    g_hash_table_insert(all, (void *)dialect, tables);
  }
  return tables;
}

static void value_to_native(const GPtrArray *values, GString *text) {
  bool needs_escape = text->str[0] == ESCAPE_CHARACTER;
  for (guint i = 0; i < values->len; i++) {
    const dialect_value *value = values->pdata[i];
    if (!strcmp(value->foreign_value, text->str)) {
      g_string_assign(text, value->native_value);
      return;
    }
    needs_escape |= !strcmp(value->native_value, text->str);
  }
  if (needs_escape)
    g_string_prepend_c(text, ESCAPE_CHARACTER);
}

static void value_to_foreign(const GPtrArray *values, GString *text) {
  if (text->str[0] == ESCAPE_CHARACTER) {
    g_string_erase(text, 0, 1);
    return;
  }
  for (guint i = 0; i < values->len; i++) {
    const dialect_value *value = values->pdata[i];
    if (!strcmp(value->native_value, text->str)) {
      g_string_assign(text, value->foreign_value);
      return;
    }
  }
}

/* The native name of a received key, or NULL if it stays as it is. Free with g_free. */
static char *key_to_native(const translation *tables, const char *key) {
  if (key[0] == ESCAPE_CHARACTER)
    return g_strdup_printf("%c%s", ESCAPE_CHARACTER, key);
  const char *native_name = g_hash_table_lookup(tables->foreign_to_native, key);
  if (native_name)
    return g_strdup(native_name);
  return g_hash_table_contains(tables->native_to_foreign, key)
             ? g_strdup_printf("%c%s", ESCAPE_CHARACTER, key)
             : NULL;
}

/* The foreign name of a native key, or NULL if it stays as it is. Free with g_free. */
static char *key_to_foreign(const translation *tables, const char *key) {
  if (key[0] == ESCAPE_CHARACTER)
    return g_strdup(key + 1);
  return g_strdup(g_hash_table_lookup(tables->native_to_foreign, key));
}

static void translate_member(const translation *tables, json *object, size_t index,
                             bool to_native) {
  json *value = object->children->pdata[index];
  char *key = object->keys->pdata[index];
  char *new_key = to_native ? key_to_native(tables, key) : key_to_foreign(tables, key);
  const char *native_key = to_native && new_key ? new_key : key;
  const GPtrArray *values =
      value->kind == JSON_STRING ? g_hash_table_lookup(tables->values_by_key, native_key) : NULL;
  if (values && to_native)
    value_to_native(values, value->text);
  else if (values)
    value_to_foreign(values, value->text);
  if (!new_key)
    return;
  object->keys->pdata[index] = new_key;
  g_free(key);
}

static void translate(const translation *tables, json *value, bool to_native) {
  for (size_t i = 0; i < json_count(value); i++) {
    if (value->kind == JSON_OBJECT)
      translate_member(tables, value, i, to_native);
    json *child = value->children->pdata[i];
    if (child->kind >= JSON_ARRAY)
      translate(tables, child, to_native);
  }
}

static bool has_tables(const dialect *dialect) {
  return dialect->key_count || dialect->value_count;
}

void dialect_translate_in(const dialect *dialect, json *value) {
  if (value && has_tables(dialect))
    translate(translation_of(dialect), value, true);
}

void dialect_translate_out(const dialect *dialect, json *value) {
  if (value && has_tables(dialect))
    translate(translation_of(dialect), value, false);
}

bool dialect_matches_call(const dialect *dialect, enum dialect_call call, const char *method,
                          const char *path, id *path_id) {
  const dialect_path *pattern = &dialect->calls[call];
  if (!pattern->path || strcmp(pattern->method, method))
    return false;
  size_t length = strcspn(path, "?");
  const char *placeholder = strstr(pattern->path, "{}");
  if (!placeholder)
    return length == strlen(pattern->path) && !memcmp(path, pattern->path, length);
  const char *suffix = placeholder + 2;
  size_t before = (size_t)(placeholder - pattern->path), after = strlen(suffix);
  if (length <= before + after || memcmp(path, pattern->path, before) ||
      memcmp(path + length - after, suffix, after))
    return false;
  string_view name = { path + before, length - before - after };
  if (!id_is_valid(name))
    return false;
  if (path_id)
    *path_id = id_of(name);
  return true;
}
