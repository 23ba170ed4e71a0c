#include "dialect.h"

#define MARK '~'

const dialect dialect_native = {
  .header_names = { [DF_REQUEST_ID] = "Asterfall-Request",
                    [DF_TIME_LEFT_MS] = "Asterfall-Time-Left",
                    [DF_PREFIX] = "Asterfall-Prefix",
                    [DF_LAST_EVENT_ID] = "Last-Event-Id",
                    [DF_STAMP] = "Asterfall-Stamp",
                    [DF_EXPECT_ENGINE] = "Asterfall-Engine-Expected",
                    [DF_NOT_RUN] = "Asterfall-Not-Run",
                    [DF_BASE_REVISION] = "Asterfall-Base-Version",
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
             [DC_LEAVE] = { "POST", "/v1/engines/{}/leave" },
             [DC_CONFIG_PUT] = { "PUT", "/v1/routing" },
             [DC_CONFIG_PATCH] = { "PATCH", "/v1/routing" },
             [DC_CONFIG_GET] = { "GET", "/v1/routing" },
             [DC_ENGINE_ORDER] = { "POST", "/v1/order" },
             [DC_REPORT] = { "GET", "/v1/report" } },
};

/* the tables of one dialect as hashes, made when it is first used */
typedef struct tables {
  GHashTable *own, *theirs, *words;
} tables;

static const tables *tables_of(const dialect *dialect) {
  static GHashTable *all;
  if (!all)
    all = g_hash_table_new(NULL, NULL);
  tables *t = g_hash_table_lookup(all, dialect);
  if (t)
    return t;
  t = g_new(tables, 1);
  t->own = g_hash_table_new(g_str_hash, g_str_equal);
  t->theirs = g_hash_table_new(g_str_hash, g_str_equal);
  t->words = g_hash_table_new(g_str_hash, g_str_equal);
  for (size_t i = dialect->key_count; i-- > 0;) {
    g_hash_table_insert(t->own, (char *)dialect->keys[i].own, (char *)dialect->keys[i].theirs);
    g_hash_table_insert(t->theirs, (char *)dialect->keys[i].theirs, (char *)dialect->keys[i].own);
  }
  for (size_t i = 0; i < dialect->value_count; i++) {
    GPtrArray *list = g_hash_table_lookup(t->words, dialect->values[i].key);
    if (!list) {
      list = g_ptr_array_new();
      g_hash_table_insert(t->words, (char *)dialect->values[i].key, list);
    }
    g_ptr_array_add(list, (void *)&dialect->values[i]);
  }
  g_hash_table_insert(all, (void *)dialect, t);
  return t;
}

static char *marked(const char *s) {
  return g_strdup_printf("%c%s", MARK, s);
}

static void word_in(const GPtrArray *list, GString *text) {
  bool ours = text->str[0] == MARK;
  for (guint i = 0; i < list->len; i++) {
    const dialect_value *w = list->pdata[i];
    if (!strcmp(w->theirs, text->str)) {
      g_string_assign(text, w->own);
      return;
    }
    ours |= !strcmp(w->own, text->str);
  }
  if (ours)
    g_string_prepend_c(text, MARK);
}

static void word_out(const GPtrArray *list, GString *text) {
  if (text->str[0] == MARK) {
    g_string_erase(text, 0, 1);
    return;
  }
  for (guint i = 0; i < list->len; i++) {
    const dialect_value *w = list->pdata[i];
    if (!strcmp(w->own, text->str)) {
      g_string_assign(text, w->theirs);
      return;
    }
  }
}

static void rename_all(const tables *t, json *value, bool in) {
  for (size_t i = 0; i < json_count(value); i++) {
    json *kid = value->children->pdata[i];
    if (value->kind == JSON_OBJECT) {
      char *was = value->keys->pdata[i];
      char *now = NULL;
      const char *own = was, *to;
      if (in) {
        to = was[0] == MARK ? NULL : g_hash_table_lookup(t->theirs, was);
        if (to)
          now = g_strdup(to);
        else if (was[0] == MARK || g_hash_table_contains(t->own, was))
          now = marked(was);
        own = now ? now : was;
      } else {
        to = was[0] == MARK ? was + 1 : g_hash_table_lookup(t->own, was);
        if (to)
          now = g_strdup(to);
      }
      const GPtrArray *list = kid->kind == JSON_STRING ? g_hash_table_lookup(t->words, own) : NULL;
      if (list && in)
        word_in(list, kid->text);
      else if (list)
        word_out(list, kid->text);
      if (now) {
        value->keys->pdata[i] = now;
        g_free(was);
      }
    }
    if (kid->kind >= JSON_ARRAY)
      rename_all(t, kid, in);
  }
}

void dialect_translate_in(const dialect *dialect, json *json) {
  if (json && (dialect->key_count || dialect->value_count))
    rename_all(tables_of(dialect), json, true);
}
void dialect_translate_out(const dialect *dialect, json *json) {
  if (json && (dialect->key_count || dialect->value_count))
    rename_all(tables_of(dialect), json, false);
}

bool dialect_matches_call(const dialect *dialect, enum dialect_call c, const char *verb,
                          const char *path, id *who) {
  const dialect_path *k = &dialect->calls[c];
  if (!k->path || strcmp(k->method, verb))
    return false;
  size_t n = strcspn(path, "?");
  const char *gap = strstr(k->path, "{}");
  if (!gap)
    return n == strlen(k->path) && !memcmp(path, k->path, n);
  size_t before = gap - k->path, after = strlen(gap + 2);
  if (n <= before + after || memcmp(path, k->path, before) ||
      memcmp(path + n - after, gap + 2, after))
    return false;
  string_view name = { path + before, n - before - after };
  if (!id_is_valid(name))
    return false;
  if (who)
    *who = id_of(name);
  return true;
}
