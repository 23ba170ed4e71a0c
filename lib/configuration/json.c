#include "json.h"
#include <math.h>
#include <stdarg.h>
#include <yajl/yajl_gen.h>
#include <yajl/yajl_parse.h>

enum { DEEP = 24, KEYS_MOST = 256 };
#define EXACT 9007199254740992.0
typedef struct {
  json *top;
  json *stack[DEEP];
  int n;
  GString *key[DEEP];
  error *err;
  int bad;
} reader;

static json *make(enum json_kind k) {
  json *value = g_new0(json, 1);
  value->kind = k;
  if (k >= JSON_ARRAY)
    value->children = g_ptr_array_new_with_free_func((GDestroyNotify)json_free);
  if (k == JSON_OBJECT)
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

static int put(reader *r, json *value) {
  if (!r->n) {
    if (r->top) {
      json_free(value);
      return 0;
    }
    r->top = value;
  } else {
    json *up = r->stack[r->n - 1];
    if (up->kind == JSON_OBJECT) {
      GString *k = r->key[r->n - 1];
      if (up->keys->len == KEYS_MOST) {
        r->bad = error_set(r->err, E_TOO_LARGE, "an object of over %d keys", KEYS_MOST);
        json_free(value);
        return 0;
      }
      if (json_get(up, k->str)) {
        r->bad = error_set(r->err, E_FIELD, "the key \"%.60s\" stands twice", k->str);
        json_free(value);
        return 0;
      }
      g_ptr_array_add(up->keys, g_strdup(k->str));
    }
    g_ptr_array_add(up->children, value);
  }
  if (value->kind >= JSON_ARRAY) {
    if (r->n == DEEP) {
      r->bad = error_set(r->err, E_JSON, "nested deeper than %d", DEEP);
      return 0;
    }
    r->key[r->n] = g_string_new(NULL);
    r->stack[r->n++] = value;
  }
  return 1;
}

static int on_null(void *c) {
  return put(c, make(JSON_NULL));
}
static int on_bool(void *c, int v) {
  json *json = make(JSON_BOOL);
  json->boolean = v;
  return put(c, json);
}
static int on_num(void *c, const char *p, size_t n) {
  char buf[64];
  reader *r = c;
  if (n >= sizeof buf) {
    r->bad = error_set(r->err, E_RANGE, "a number of over 63 digits");
    return 0;
  }
  memcpy(buf, p, n);
  buf[n] = 0;
  double v = g_ascii_strtod(buf, NULL);
  if (!isfinite(v)) {
    r->bad = error_set(r->err, E_RANGE, "the number %s is out of range", buf);
    return 0;
  }
  json *json = make(JSON_NUMBER);
  json->number = v;
  /* a whole number that a double can't hold keeps its digits */
  if (fabs(v) >= EXACT && !memchr(p, '.', n) && !memchr(p, 'e', n) && !memchr(p, 'E', n))
    json->text = g_string_new(buf);
  return put(c, json);
}
static int on_str(void *c, const unsigned char *p, size_t n) {
  json *json = make(JSON_STRING);
  json->text = g_string_new_len((const char *)p, n);
  reader *r = c;
  if (memchr(p, 0, n)) {
    r->bad = error_set(r->err, E_JSON, "a text holds a zero byte");
    json_free(json);
    return 0;
  }
  return put(c, json);
}
static int on_map(void *c) {
  return put(c, make(JSON_OBJECT));
}
static int on_key(void *c, const unsigned char *p, size_t n) {
  reader *r = c;
  g_string_truncate(r->key[r->n - 1], 0);
  g_string_append_len(r->key[r->n - 1], (const char *)p, n);
  if (memchr(p, 0, n)) {
    r->bad = error_set(r->err, E_JSON, "a key holds a zero byte");
    return 0;
  }
  return 1;
}
static int on_end(void *c) {
  reader *r = c;
  g_string_free(r->key[--r->n], TRUE);
  return 1;
}
static int on_arr(void *c) {
  return put(c, make(JSON_ARRAY));
}

static const yajl_callbacks calls = { on_null, on_bool, NULL,   NULL,   on_num, on_str,
                                      on_map,  on_key,  on_end, on_arr, on_end };

json *json_parse(string_view text, error *err) {
  reader r = { .err = err };
  yajl_handle h = yajl_alloc(&calls, NULL, &r);
  yajl_status s = yajl_parse(h, (const unsigned char *)text.data, text.length);
  if (s == yajl_status_ok)
    s = yajl_complete_parse(h);
  if (s != yajl_status_ok && !r.bad) {
    unsigned char *t = yajl_get_error(h, 0, (const unsigned char *)text.data, text.length);
    g_strchomp((char *)t);
    r.bad = error_set(err, E_JSON, "not JSON near byte %zu: %.120s", yajl_get_bytes_consumed(h),
                      (char *)t);
    yajl_free_error(h, t);
  }
  yajl_free(h);
  while (r.n)
    g_string_free(r.key[--r.n], TRUE);
  if (!r.bad && !r.top)
    r.bad = error_set(err, E_JSON, "there is no value");
  if (r.bad) {
    json_free(r.top);
    return NULL;
  }
  return r.top;
}

json *json_copy(const json *value) {
  json *c = make(value->kind);
  c->boolean = value->boolean;
  c->number = value->number;
  if (value->text)
    c->text = g_string_new_len(value->text->str, value->text->len);
  for (size_t i = 0; i < json_count(value); i++) {
    g_ptr_array_add(c->children, json_copy(json_at(value, i)));
    if (value->keys)
      g_ptr_array_add(c->keys, g_strdup(json_key(value, i)));
  }
  return c;
}

static int find(const json *json, const char *key) {
  if (!json || json->kind != JSON_OBJECT)
    return -1;
  for (guint i = 0; i < json->keys->len; i++) {
    const char *k = json->keys->pdata[i];
    if (k[0] == key[0] && !strcmp(k, key))
      return i;
  }
  return -1;
}

const json *json_get(const json *json, const char *key) {
  int i = find(json, key);
  return i < 0 ? NULL : json->children->pdata[i];
}
size_t json_count(const json *json) {
  return json && json->children ? json->children->len : 0;
}
const json *json_at(const json *json, size_t i) {
  return json->children->pdata[i];
}
const char *json_key(const json *json, size_t i) {
  return json->keys->pdata[i];
}

const char *json_text(const json *value, const char *key, const char *fall) {
  const json *v = json_get(value, key);
  return v && v->kind == JSON_STRING ? v->text->str : fall;
}
double json_number(const json *value, const char *key, double fall) {
  const json *v = json_get(value, key);
  return v && v->kind == JSON_NUMBER ? v->number : fall;
}
bool json_bool(const json *value, const char *key, bool fall) {
  const json *v = json_get(value, key);
  return v && v->kind == JSON_BOOL ? v->boolean : fall;
}

static void gen(yajl_gen g, const json *json) {
  char buf[40];
  switch (json->kind) {
  case JSON_NULL:
    yajl_gen_null(g);
    break;
  case JSON_BOOL:
    yajl_gen_bool(g, json->boolean);
    break;
  case JSON_NUMBER:
    if (json->text) {
      yajl_gen_number(g, json->text->str, json->text->len);
      break;
    }
    if (json->number == floor(json->number) && fabs(json->number) < 9e15) {
      yajl_gen_integer(g, (long long)json->number);
      break;
    }
    /* the short form, unless it would not read back the same */
    g_ascii_formatd(buf, sizeof buf, "%.15g", json->number);
    if (g_ascii_strtod(buf, NULL) != json->number)
      g_ascii_dtostr(buf, sizeof buf, json->number);
    yajl_gen_number(g, buf, strlen(buf));
    break;
  case JSON_STRING:
    yajl_gen_string(g, (const unsigned char *)json->text->str, json->text->len);
    break;
  case JSON_ARRAY:
    yajl_gen_array_open(g);
    for (size_t i = 0; i < json_count(json); i++)
      gen(g, json_at(json, i));
    yajl_gen_array_close(g);
    break;
  case JSON_OBJECT:
    yajl_gen_map_open(g);
    for (size_t i = 0; i < json_count(json); i++) {
      const char *k = json_key(json, i);
      yajl_gen_string(g, (const unsigned char *)k, strlen(k));
      gen(g, json_at(json, i));
    }
    yajl_gen_map_close(g);
    break;
  }
}

void json_write(const json *json, GString *to) {
  yajl_gen g = yajl_gen_alloc(NULL);
  gen(g, json);
  const unsigned char *p;
  size_t n;
  if (yajl_gen_get_buf(g, &p, &n) == yajl_gen_status_ok)
    g_string_append_len(to, (const char *)p, n);
  yajl_gen_free(g);
}

json *json_merge(json *target, const json *patch) {
  if (patch->kind != JSON_OBJECT) {
    json_free(target);
    return json_copy(patch);
  }
  if (!target || target->kind != JSON_OBJECT) {
    json_free(target);
    target = make(JSON_OBJECT);
  }
  for (size_t i = 0; i < json_count(patch); i++) {
    const char *k = json_key(patch, i);
    const json *v = json_at(patch, i);
    int at = find(target, k);
    if (v->kind == JSON_NULL) {
      if (at >= 0) {
        g_ptr_array_remove_index(target->children, at);
        g_ptr_array_remove_index(target->keys, at);
      }
      continue;
    }
    json *was = NULL;
    if (at >= 0) {
      was = g_ptr_array_steal_index(target->children, at);
      g_ptr_array_remove_index(target->keys, at);
    }
    g_ptr_array_add(target->children, json_merge(was, v));
    g_ptr_array_add(target->keys, g_strdup(k));
  }
  return target;
}

void json_append_quoted(GString *to, string_view s) {
  yajl_gen g = yajl_gen_alloc(NULL);
  const unsigned char *p;
  size_t n;
  char *ok = g_utf8_make_valid(s.data, s.length);
  yajl_gen_string(g, (const unsigned char *)ok, strlen(ok));
  g_free(ok);
  if (yajl_gen_get_buf(g, &p, &n) == yajl_gen_status_ok)
    g_string_append_len(to, (const char *)p, n);
  yajl_gen_free(g);
}

void json_appendf(GString *to, const char *form, ...) {
  va_list a;
  va_start(a, form);
  g_string_append_vprintf(to, form, a);
  va_end(a);
}
