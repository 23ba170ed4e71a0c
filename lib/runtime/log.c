/** The log of one process: see log.h. */
#include "log.h"
#include "json.h"
#include <stdarg.h>
#include <stdio.h>

enum { LINE_BYTES = 700, TIMESTAMP_BYTES = 48 };
/* precedes the error code in a log message */
#define CODE_PREFIX "(code "

static const char *timestamp(logger *logger, char buffer[TIMESTAMP_BYTES]) {
  return logger->world->timestamp(logger->world, buffer, TIMESTAMP_BYTES);
}

/* Returns the digits of the last error code in a message; an empty view if there is none. */
static string_view find_code(const char *text) {
  const char *prefix = g_strrstr(text, CODE_PREFIX);
  if (!prefix)
    return string_view_of("");
  const char *digits = prefix + strlen(CODE_PREFIX);
  return (string_view){ digits, strspn(digits, "0123456789") };
}

static void write_json(logger *logger, const char *part, const char *format, va_list arguments) {
  char text[LINE_BYTES], time[TIMESTAMP_BYTES];
  vsnprintf(text, sizeof text, format, arguments);
  string_view code = find_code(text);
  GString *line = g_string_new(NULL);
  json_appendf(line, "{\"time\":\"%s\",\"node\":", timestamp(logger, time));
  json_append_quoted(line, string_view_of(logger->node_id.text));
  g_string_append(line, ",\"part\":");
  json_append_quoted(line, string_view_of(part));
  g_string_append(line, ",\"text\":");
  json_append_quoted(line, string_view_of(text));
  if (code.length)
    json_appendf(line, ",\"code\":%.*s", (int)code.length, code.data);
  g_string_append_c(line, '}');
  logger->world->write_log(logger->world, line->str);
  g_string_free(line, TRUE);
}

static void write_plain(logger *logger, const char *part, const char *format, va_list arguments) {
  char line[LINE_BYTES], time[TIMESTAMP_BYTES];
  int length = snprintf(line, sizeof line, "%s %s %s: ", timestamp(logger, time),
                        logger->node_id.text, part);
  vsnprintf(line + length, sizeof line - (size_t)length, format, arguments);
  g_strdelimit(line, "\r\n", ' ');
  logger->world->write_log(logger->world, line);
}

static void write_line(logger *logger, const char *part, const char *format, va_list arguments) {
  if (logger->json)
    write_json(logger, part, format, arguments);
  else
    write_plain(logger, part, format, arguments);
}

void log_info(logger *logger, const char *part, const char *format, ...) {
  va_list arguments;
  va_start(arguments, format);
  write_line(logger, part, format, arguments);
  va_end(arguments);
}

void log_debug(logger *logger, const char *part, const char *format, ...) {
  if (!logger->debug)
    return;
  va_list arguments;
  va_start(arguments, format);
  write_line(logger, part, format, arguments);
  va_end(arguments);
}
