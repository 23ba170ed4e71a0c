#include "fields.h"
#include <ctype.h>
#include <stdarg.h>
#include <string.h>

static bool blank(char c) {
  return c == ' ' || c == '\t';
}

static string_view trim(string_view s) {
  while (s.length && blank(*s.data)) {
    s.data++;
    s.length--;
  }
  while (s.length && blank(s.data[s.length - 1]))
    s.length--;
  return s;
}

static bool same_name(string_view a, const char *b) {
  return !g_ascii_strncasecmp(a.data, b, a.length) && !b[a.length];
}

static bool same_names(string_view a, string_view b) {
  return a.length == b.length && !g_ascii_strncasecmp(a.data, b.data, a.length);
}

bool fields_next(const fields *fields, size_t *at, string_view *name, string_view *value) {
  while (fields && *at < fields->len) {
    const char *p = fields->str + *at, *lim = fields->str + fields->len;
    const char *end = memchr(p, '\n', (size_t)(lim - p));
    if (!end)
      end = lim;
    *at = (size_t)(end - fields->str) + (end < lim);
    size_t n = (size_t)(end - p);
    if (n && p[n - 1] == '\r')
      n--;
    const char *colon = memchr(p, ':', n);
    if (!colon)
      continue;
    *name = (string_view){ p, (size_t)(colon - p) };
    *value = trim((string_view){ colon + 1, n - (size_t)(colon + 1 - p) });
    return true;
  }
  return false;
}

bool fields_get(const fields *fields, const char *name, string_view *value) {
  size_t at = 0;
  string_view k, v;
  while (fields_next(fields, &at, &k, &v))
    if (same_name(k, name)) {
      *value = v;
      return true;
    }
  return false;
}

size_t fields_count(const fields *fields, const char *name) {
  size_t at = 0, count = 0;
  string_view k, v;
  while (fields_next(fields, &at, &k, &v))
    count += same_name(k, name);
  return count;
}

char *fields_dup(const fields *fields, const char *name) {
  string_view v;
  return fields_get(fields, name, &v) ? g_strndup(v.data, v.length) : NULL;
}

int64_t fields_get_number(const fields *fields, const char *name, int64_t fall) {
  string_view v;
  if (!fields_get(fields, name, &v) || !v.length)
    return fall;
  int64_t got = 0;
  for (size_t i = 0; i < v.length; i++)
    if (!isdigit((unsigned char)v.data[i]) || __builtin_mul_overflow(got, 10, &got) ||
        __builtin_add_overflow(got, v.data[i] - '0', &got))
      return fall;
  return got;
}

static void add_clean(fields *fields, string_view s) {
  for (size_t i = 0; i < s.length; i++)
    if (s.data[i] != '\r' && s.data[i] != '\n' && s.data[i])
      g_string_append_c(fields, s.data[i]);
}

void fields_add(fields *fields, const char *name, string_view value) {
  add_clean(fields, string_view_of(name));
  g_string_append_len(fields, ": ", 2);
  add_clean(fields, value);
  g_string_append_len(fields, "\r\n", 2);
}

void fields_add_format(fields *fields, const char *name, const char *form, ...) {
  char small[256], *big = NULL;
  va_list a;
  va_start(a, form);
  int n = g_vsnprintf(small, sizeof small, form, a);
  va_end(a);
  if (n >= (int)sizeof small) {
    va_start(a, form);
    big = g_strdup_vprintf(form, a);
    va_end(a);
  }
  fields_add(fields, name, string_view_of(big ? big : small));
  g_free(big);
}

/* an item of a list parted by commas; false when there is none left */
static bool list_next(string_view *rest, string_view *item) {
  while (rest->length) {
    const char *comma = memchr(rest->data, ',', rest->length);
    size_t n = comma ? (size_t)(comma - rest->data) : rest->length, step = n + (comma != NULL);
    *item = trim((string_view){ rest->data, n });
    rest->data += step;
    rest->length -= step;
    if (item->length)
      return true;
  }
  return false;
}

static const char *const hops[] = {
  "connection", "keep-alive",     "te", "trailer", "transfer-encoding",
  "upgrade",    "content-length", NULL
};

static bool among(string_view name, const char *const *names) {
  for (; names && *names; names++)
    if (same_name(name, *names))
      return true;
  return false;
}

/* walks the names in the Connection fields of a message; true when one is this name, or, for an
 * empty one, any but the usual two */
static bool named(const fields *fields, string_view name) {
  size_t at = 0;
  string_view k, v, item;
  while (fields_next(fields, &at, &k, &v))
    if (same_name(k, "connection"))
      while (list_next(&v, &item))
        if (name.length ? same_names(item, name)
                        : !same_name(item, "keep-alive") && !same_name(item, "close"))
          return true;
  return false;
}

void fields_forward(const fields *from, fields *to, const char *const *skip) {
  size_t at = 0;
  string_view k, v;
  bool lists = named(from, (string_view){ "", 0 });
  while (fields_next(from, &at, &k, &v)) {
    if (among(k, hops) || (k.length >= 6 && !g_ascii_strncasecmp(k.data, "proxy-", 6)) ||
        among(k, skip) || (lists && named(from, k)))
      continue;
    g_string_append_len(to, k.data, (gssize)k.length);
    g_string_append_len(to, ": ", 2);
    g_string_append_len(to, v.data, (gssize)v.length);
    g_string_append_len(to, "\r\n", 2);
  }
}
