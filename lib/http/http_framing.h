#ifndef HTTP_HTTP_FRAMING_H
#define HTTP_HTTP_FRAMING_H
/**
 * Framing of HTTP messages, beside http-parser.
 *
 * http-parser lets some faults of framing pass that other programs may read in another way: header
 * fields that are folded over lines, names with blanks before the colon, and chunks whose data does
 * not end with a line end. A message with one of them might be two messages to another reader, so
 * both sides refuse it.
 *
 * http-parser also hands over header fields in pieces, as they come; field_reader puts them
 * together.
 */
#include "fields.h"
#include <http_parser.h>

/** The default bound on the head of a message. */
enum { HEAD_MAX_BYTES = 64 * 1024 };

/** Looks for folded lines in a head that comes in pieces. Zeroed at the start of a message. */
typedef struct head_scan {
  bool at_line_start, folded;
} head_scan;
/** Scans a piece of a message; true if a line of the head is folded. What follows the head must not
 * be scanned, except for the rest of the piece in which the head ends. */
bool head_scan_finds_folding(head_scan *scan, const char *bytes, size_t length);

/** Checks the line ends after chunks' data. Zeroed at the start of a message; position is set to
 * the start of each piece that is parsed. */
typedef struct chunk_check {
  /** Where the next byte of a line end is to be, and how many of its bytes are to come. */
  const char *position;
  unsigned bytes_expected;
} chunk_check;
/** Checks as much of a line end as lies before a limit; to be called at the end of each piece.
 * False if it is none. */
bool chunk_check_line_end(chunk_check *check, const char *limit);
/** To be called with each piece of a body, from http-parser's on_body. False if the line end of the
 * chunk before is none. */
bool chunk_check_data(chunk_check *check, const http_parser *parser, const char *bytes,
                      size_t length);

/** Puts fields together that come in pieces. Zeroed at the start of a message. */
typedef struct field_reader {
  enum { FIELD_NONE, FIELD_NAME, FIELD_VALUE } last_piece;
} field_reader;
/** Append a piece of a name, and of a value. */
void field_reader_add_name(field_reader *reader, fields *to, const char *bytes, size_t length);
void field_reader_add_value(field_reader *reader, fields *to, const char *bytes, size_t length);
/** Ends the last field. */
void field_reader_end(field_reader *reader, fields *to);

/** True if all names of fields consist of characters that names may have. */
bool field_names_are_valid(const fields *fields);
/** http-parser's callback at the end of a message: pauses the parser, so that what follows is left
 * to its caller (HPE_PAUSED). */
int http_framing_on_message_end(http_parser *parser);
#endif
