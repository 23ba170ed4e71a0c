#include "log.h"
#include "json.h"
#include <stdarg.h>
#include <stdio.h>

/* one form for people, and lines of JSON for programs */
static void put_json(logger *l, const char *part, const char *form, va_list a) {
  char text[700], stamp[48];
  vsnprintf(text, sizeof text, form, a);
  GString *b = g_string_new(NULL);
  json_appendf(b, "{\"time\":\"%s\",\"node\":", l->world->timestamp(l->world, stamp, sizeof stamp));
  json_append_quoted(b, string_view_of(l->node_id.text));
  g_string_append(b, ",\"part\":");
  json_append_quoted(b, string_view_of(part));
  g_string_append(b, ",\"text\":");
  json_append_quoted(b, string_view_of(text));
  const char *code = g_strrstr(text, "(code ");
  if (code && strspn(code + 6, "0123456789"))
    json_appendf(b, ",\"code\":%.*s", (int)strspn(code + 6, "0123456789"), code + 6);
  g_string_append_c(b, '}');
  l->world->write_log(l->world, b->str);
  g_string_free(b, TRUE);
}

static void put(logger *l, const char *part, const char *form, va_list a) {
  if (l->json) {
    put_json(l, part, form, a);
    return;
  }
  char line[700], stamp[48];
  int n =
      snprintf(line, sizeof line, "%s %s %s: ", l->world->timestamp(l->world, stamp, sizeof stamp),
               l->node_id.text, part);
  vsnprintf(line + n, sizeof line - n, form, a);
  for (char *c = line; *c; c++)
    if (*c == '\n' || *c == '\r')
      *c = ' ';
  l->world->write_log(l->world, line);
}

void log_info(logger *l, const char *part, const char *form, ...) {
  va_list a;
  va_start(a, form);
  put(l, part, form, a);
  va_end(a);
}

void log_debug(logger *l, const char *part, const char *form, ...) {
  if (!l->debug)
    return;
  va_list a;
  va_start(a, form);
  put(l, part, form, a);
  va_end(a);
}
