/** Framing of HTTP messages: see http_framing.h. */
#include "http_framing.h"

bool head_scan_finds_folding(head_scan *scan, const char *bytes, size_t length) {
  for (size_t i = 0; i < length && !scan->folded; i++) {
    if (bytes[i] == '\r')
      continue;
    if (bytes[i] == '\n') {
      /* an empty line ends the head: nothing after it is scanned */
      scan->folded = scan->at_line_start;
      scan->at_line_start = true;
      continue;
    }
    if (scan->at_line_start && (bytes[i] == ' ' || bytes[i] == '\t'))
      return true;
    scan->at_line_start = false;
  }
  return false;
}

bool chunk_check_line_end(chunk_check *check, const char *limit) {
  static const char line_end[] = "\r\n";
  while (check->bytes_expected && check->position < limit) {
    if (*check->position != line_end[2 - check->bytes_expected])
      return false;
    check->position++;
    check->bytes_expected--;
  }
  return true;
}

/* http-parser counts content_length down to 0 within each chunk. */
bool chunk_check_data(chunk_check *check, const http_parser *parser, const char *bytes,
                      size_t length) {
  if (!(parser->flags & F_CHUNKED))
    return true;
  if (!chunk_check_line_end(check, bytes))
    return false;
  if (!parser->content_length)
    *check = (chunk_check){ .position = bytes + length, .bytes_expected = 2 };
  return true;
}

void field_reader_add_name(field_reader *reader, fields *to, const char *bytes, size_t length) {
  if (reader->last_piece == FIELD_VALUE)
    g_string_append(to, "\r\n");
  g_string_append_len(to, bytes, (gssize)length);
  reader->last_piece = FIELD_NAME;
}

void field_reader_add_value(field_reader *reader, fields *to, const char *bytes, size_t length) {
  if (reader->last_piece == FIELD_NAME)
    g_string_append(to, ": ");
  g_string_append_len(to, bytes, (gssize)length);
  reader->last_piece = FIELD_VALUE;
}

void field_reader_end(field_reader *reader, fields *to) {
  if (reader->last_piece == FIELD_NAME)
    g_string_append_c(to, ':');
  if (reader->last_piece != FIELD_NONE)
    g_string_append(to, "\r\n");
  reader->last_piece = FIELD_NONE;
}

static bool is_name_character(char c) {
  return g_ascii_isalnum(c) || strchr("!#$%&'*+-.^_`|~", c);
}

bool field_names_are_valid(const fields *fields) {
  size_t position = 0;
  string_view name, value;
  while (fields_next(fields, &position, &name, &value)) {
    if (!name.length)
      return false;
    for (size_t i = 0; i < name.length; i++)
      if (!is_name_character(name.data[i]))
        return false;
  }
  return true;
}

int http_framing_on_message_end(http_parser *parser) {
  http_parser_pause(parser, 1);
  return 0;
}
