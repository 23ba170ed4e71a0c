/** Parses events of a stream; see event_stream.h. An event ends with an empty line, and lines end
 * with LF or CR LF. */
#include "event_stream.h"
#include <stdlib.h>

/* an event id has fewer digits than this */
enum { MAX_EVENT_ID_LENGTH = 32 };

size_t event_complete_length(const char *bytes, size_t length) {
  for (size_t i = length; i > 1; i--) {
    if (bytes[i - 1] != '\n')
      continue;
    if (bytes[i - 2] == '\n')
      return i;
    if (i > 2 && bytes[i - 2] == '\r' && bytes[i - 3] == '\n')
      return i;
  }
  return 0;
}

/* removes blanks at both ends and a CR at the end */
static string_view trimmed(const char *start, const char *end) {
  while (start < end && *start == ' ')
    start++;
  while (end > start && (end[-1] == '\r' || end[-1] == ' '))
    end--;
  return (string_view){ start, (size_t)(end - start) };
}

static void read_id(string_view text, event_info *event) {
  char *stop;
  event->id = strtoull(text.data, &stop, 10);
  event->has_id =
      text.length && text.length < MAX_EVENT_ID_LENGTH && stop == text.data + text.length;
}

static void read_line(const char *line, const char *end, const char *version_name,
                      event_info *event) {
  size_t length = (size_t)(end - line), version_length = strlen(version_name);
  if (length > 2 && !memcmp(line, "id:", 3))
    read_id(trimmed(line + 3, end), event);
  else if (length > 4 && !memcmp(line, "data", 4))
    event->has_data = true;
  else if (length > version_length && line[version_length] == ':' &&
           !g_ascii_strncasecmp(line, version_name, version_length))
    event->weight_versions = trimmed(line + version_length + 1, end);
}

size_t event_parse(const char *bytes, size_t length, const char *version_name, event_info *event) {
  const char *line = bytes, *end = bytes + length;
  *event = (event_info){ 0 };
  while (line < end) {
    const char *line_end = memchr(line, '\n', (size_t)(end - line));
    if (!line_end)
      return length;
    size_t line_length = (size_t)(line_end - line);
    if (!line_length || (line_length == 1 && *line == '\r'))
      return (size_t)(line_end + 1 - bytes);
    read_line(line, line_end, version_name, event);
    line = line_end + 1;
  }
  return length;
}
