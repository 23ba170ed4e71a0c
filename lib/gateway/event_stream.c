/** Reads events of a stream, without changing a byte of them. */
#include "event_stream.h"
#include <stdlib.h>

/* an id is a number of fewer digits */
enum { MAX_EVENT_ID_LENGTH = 32 };

size_t event_complete_length(const char *p, size_t n) {
  for (size_t i = n; i > 1; i--) {
    if (p[i - 1] != '\n')
      continue;
    if (p[i - 2] == '\n')
      return i;
    if (i > 2 && p[i - 2] == '\r' && p[i - 3] == '\n')
      return i;
  }
  return 0;
}

static string_view trimmed(const char *p, const char *end) {
  while (p < end && *p == ' ')
    p++;
  while (end > p && (end[-1] == '\r' || end[-1] == ' '))
    end--;
  return (string_view){ p, (size_t)(end - p) };
}

static void read_id(string_view text, event_info *head) {
  char *stop;
  head->id = strtoull(text.data, &stop, 10);
  head->has_id =
      text.length && text.length < MAX_EVENT_ID_LENGTH && stop == text.data + text.length;
}

static void read_line(const char *line, const char *end, const char *version_name,
                      event_info *head) {
  size_t length = (size_t)(end - line), version_length = strlen(version_name);
  if (length > 2 && !memcmp(line, "id:", 3))
    read_id(trimmed(line + 3, end), head);
  else if (length > 4 && !memcmp(line, "data", 4))
    head->has_data = true;
  else if (length > version_length && line[version_length] == ':' &&
           !g_ascii_strncasecmp(line, version_name, version_length))
    head->weight_versions = trimmed(line + version_length + 1, end);
}

size_t event_parse(const char *p, size_t n, const char *version_name, event_info *head) {
  const char *at = p, *end = p + n;
  *head = (event_info){ 0 };
  while (at < end) {
    const char *line_end = memchr(at, '\n', (size_t)(end - at));
    if (!line_end)
      return n;
    size_t length = (size_t)(line_end - at);
    if (!length || (length == 1 && *at == '\r'))
      return (size_t)(line_end + 1 - p);
    read_line(at, line_end, version_name, head);
    at = line_end + 1;
  }
  return n;
}
