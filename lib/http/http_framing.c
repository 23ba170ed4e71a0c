/** Framing of HTTP messages: what http-parser lets pass and others may read in another way, and
 * header fields that come in pieces. */
#include "http_internal.h"

bool head_is_folded(head_scan *scan, const char *p, size_t n) {
  for (size_t i = 0; i < n && !scan->folded; i++) {
    if (p[i] == '\r')
      continue;
    if (p[i] == '\n') {
      scan->folded = scan->at_line_start;
      scan->at_line_start = true;
      continue;
    }
    if (scan->at_line_start && (p[i] == ' ' || p[i] == '\t'))
      return true;
    scan->at_line_start = false;
  }
  return false;
}

/* checks as much of the line end as lies before a limit */
bool chunk_end_is_valid(chunk_end *due, const char *limit) {
  static const char line_end[] = "\r\n";
  for (; due->bytes_expected && due->position < limit; due->position++, due->bytes_expected--)
    if (*due->position != line_end[2 - due->bytes_expected])
      return false;
  return true;
}

/* to be called with each piece of a body; the library counts content_length down within a chunk */
bool chunk_check_data(chunk_end *due, const http_parser *parser, const char *at, size_t n) {
  if (!(parser->flags & F_CHUNKED))
    return true;
  if (!chunk_end_is_valid(due, at))
    return false;
  if (!parser->content_length)
    *due = (chunk_end){ at + n, 2 };
  return true;
}

/* header fields come in pieces; last tells of which kind the latest was */
void field_append(GString *to, char *last, char kind, const char *p, size_t n) {
  if (kind == 'n' && *last == 'n') {
    g_string_append_len(to, p, (gssize)n);
    return;
  }
  if (kind == 'n') {
    if (*last == 'v')
      g_string_append_len(to, "\r\n", 2);
  } else if (*last == 'n')
    g_string_append_len(to, ": ", 2);
  g_string_append_len(to, p, (gssize)n);
  *last = kind;
}

void field_end(GString *to, char *last) {
  if (*last == 'n')
    g_string_append_c(to, ':');
  if (*last)
    g_string_append_len(to, "\r\n", 2);
  *last = 0;
}

/* the library takes names with blanks before the colon, which others may read in another way */
bool field_names_are_valid(const fields *fields) {
  size_t at = 0;
  string_view k, v;
  while (fields_next(fields, &at, &k, &v)) {
    if (!k.length)
      return false;
    for (size_t i = 0; i < k.length; i++)
      if (!g_ascii_isalnum(k.data[i]) && !strchr("!#$%&'*+-.^_`|~", k.data[i]))
        return false;
  }
  return true;
}

int on_message_end(http_parser *p) {
  http_parser_pause(p, 1);
  return 0;
}
