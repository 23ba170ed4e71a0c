/** Header fields as one text: see fields.h. */
#include "fields.h"
#include <ctype.h>
#include <stdarg.h>
#include <string.h>

static bool is_blank(char c) {
  return c == ' ' || c == '\t';
}

static string_view trim(string_view text) {
  while (text.length && is_blank(*text.data)) {
    text.data++;
    text.length--;
  }
  while (text.length && is_blank(text.data[text.length - 1]))
    text.length--;
  return text;
}

static bool names_are_equal(string_view a, string_view b) {
  return a.length == b.length && !g_ascii_strncasecmp(a.data, b.data, a.length);
}

static bool name_is(string_view name, const char *text) {
  return names_are_equal(name, string_view_of(text));
}

/* Returns the line at a position, without its line end, and moves the position to the next line. */
static string_view next_line(const fields *fields, size_t *position) {
  const char *start = fields->str + *position, *limit = fields->str + fields->len;
  const char *end = memchr(start, '\n', (size_t)(limit - start));
  if (!end)
    end = limit;
  *position = (size_t)(end - fields->str) + (end < limit);
  size_t length = (size_t)(end - start);
  if (length && start[length - 1] == '\r')
    length--;
  return (string_view){ start, length };
}

bool fields_next(const fields *fields, size_t *position, string_view *name, string_view *value) {
  while (fields && *position < fields->len) {
    string_view line = next_line(fields, position);
    const char *colon = memchr(line.data, ':', line.length);
    if (!colon)
      continue;
    size_t name_length = (size_t)(colon - line.data);
    *name = (string_view){ line.data, name_length };
    *value = trim((string_view){ colon + 1, line.length - name_length - 1 });
    return true;
  }
  return false;
}

bool fields_get(const fields *fields, const char *name, string_view *value) {
  size_t position = 0;
  string_view candidate, candidate_value;
  while (fields_next(fields, &position, &candidate, &candidate_value))
    if (name_is(candidate, name)) {
      *value = candidate_value;
      return true;
    }
  return false;
}

size_t fields_count(const fields *fields, const char *name) {
  size_t position = 0, count = 0;
  string_view candidate, value;
  while (fields_next(fields, &position, &candidate, &value))
    count += name_is(candidate, name);
  return count;
}

char *fields_dup(const fields *fields, const char *name) {
  string_view value;
  return fields_get(fields, name, &value) ? g_strndup(value.data, value.length) : NULL;
}

int64_t fields_get_number(const fields *fields, const char *name, int64_t fallback) {
  string_view text;
  if (!fields_get(fields, name, &text) || !text.length)
    return fallback;
  int64_t number = 0;
  for (size_t i = 0; i < text.length; i++)
    if (!isdigit((unsigned char)text.data[i]) || __builtin_mul_overflow(number, 10, &number) ||
        __builtin_add_overflow(number, text.data[i] - '0', &number))
      return fallback;
  return number;
}

static void append_without_line_ends(fields *fields, string_view text) {
  for (size_t i = 0; i < text.length; i++)
    if (text.data[i] != '\r' && text.data[i] != '\n' && text.data[i])
      g_string_append_c(fields, text.data[i]);
}

void fields_add(fields *fields, const char *name, string_view value) {
  append_without_line_ends(fields, string_view_of(name));
  g_string_append(fields, ": ");
  append_without_line_ends(fields, value);
  g_string_append(fields, "\r\n");
}

void fields_add_format(fields *fields, const char *name, const char *format, ...) {
  /* most values are short and need no allocation */
  char short_value[256], *long_value = NULL;
  va_list arguments;
  va_start(arguments, format);
  int length = g_vsnprintf(short_value, sizeof short_value, format, arguments);
  va_end(arguments);
  if (length >= (int)sizeof short_value) {
    va_start(arguments, format);
    long_value = g_strdup_vprintf(format, arguments);
    va_end(arguments);
  }
  fields_add(fields, name, string_view_of(long_value ? long_value : short_value));
  g_free(long_value);
}

/* Takes the next item off a comma-separated list; false if there is none left. */
static bool next_list_item(string_view *rest, string_view *item) {
  while (rest->length) {
    const char *comma = memchr(rest->data, ',', rest->length);
    size_t length = comma ? (size_t)(comma - rest->data) : rest->length;
    size_t step = length + (comma != NULL);
    *item = trim((string_view){ rest->data, length });
    rest->data += step;
    rest->length -= step;
    if (item->length)
      return true;
  }
  return false;
}

static bool is_connection_option(string_view item) {
  return name_is(item, "keep-alive") || name_is(item, "close");
}

/* True if a Connection field names this field; for an empty name, if one names any field. */
static bool connection_names(const fields *fields, string_view name) {
  size_t position = 0;
  string_view candidate, value, item;
  while (fields_next(fields, &position, &candidate, &value)) {
    if (!name_is(candidate, "connection"))
      continue;
    while (next_list_item(&value, &item))
      if (name.length ? names_are_equal(item, name) : !is_connection_option(item))
        return true;
  }
  return false;
}

static bool is_listed(string_view name, const char *const *names) {
  for (; names && *names; names++)
    if (name_is(name, *names))
      return true;
  return false;
}

static bool is_hop_by_hop_field(string_view name) {
  static const char *const names[] = {
    "connection", "keep-alive",     "te", "trailer", "transfer-encoding",
    "upgrade",    "content-length", NULL
  };
  static const char proxy_prefix[] = "proxy-";
  const size_t prefix_length = sizeof proxy_prefix - 1;
  if (name.length >= prefix_length && !g_ascii_strncasecmp(name.data, proxy_prefix, prefix_length))
    return true;
  return is_listed(name, names);
}

void fields_forward(const fields *from, fields *to, const char *const *skip) {
  size_t position = 0;
  string_view name, value;
  /* Few messages name fields in Connection; for the others the search for each field is skipped. */
  bool names_any_field = connection_names(from, string_view_of(""));
  while (fields_next(from, &position, &name, &value)) {
    if (is_hop_by_hop_field(name) || is_listed(name, skip) ||
        (names_any_field && connection_names(from, name)))
      continue;
    g_string_append_len(to, name.data, (gssize)name.length);
    g_string_append(to, ": ");
    g_string_append_len(to, value.data, (gssize)value.length);
    g_string_append(to, "\r\n");
  }
}
