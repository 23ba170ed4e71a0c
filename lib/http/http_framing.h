#ifndef HTTP_HTTP_FRAMING_H
#define HTTP_HTTP_FRAMING_H
/**
 * Checks of the framing of HTTP messages, in addition to those of http-parser.
 *
 * http-parser accepts some invalid framing that other programs may interpret differently: header
 * fields that are folded over several lines, blanks between a field's name and its colon, and chunk
 * data without a line end after it. Another reader might take such a message for two messages, so
 * both the server and the client reject it.
 *
 * http-parser also delivers header fields in pieces, as they arrive; field_reader reassembles them.
 */
#include "fields.h"
#include <http_parser.h>

/** The default limit on the head of a message. */
enum { HEAD_MAX_BYTES = 64 * 1024 };

/** Looks for folded lines in a head that arrives in pieces. Zeroed at the start of a message. */
typedef struct head_scan {
  bool at_line_start, folded;
} head_scan;
/** Scans a piece of a message; true if a line of the head is folded. Pieces after the one in which
 * the head ends must not be scanned. */
bool head_scan_finds_folding(head_scan *scan, const char *bytes, size_t length);

/** Checks the line end after the data of each chunk. Zeroed at the start of a message; position is
 * set to the start of each piece that is parsed. */
typedef struct chunk_check {
  /** Where the next byte of the line end is expected, and how many of its bytes are missing. */
  const char *position;
  unsigned bytes_expected;
} chunk_check;
/** Checks the part of a line end that lies before a limit; to be called at the end of each piece.
 * False if it is not a line end. */
bool chunk_check_line_end(chunk_check *check, const char *limit);
/** To be called with each piece of a body, from http-parser's on_body. False if the data of the
 * chunk before did not end with a line end. */
bool chunk_check_data(chunk_check *check, const http_parser *parser, const char *bytes,
                      size_t length);

/** Reassembles fields that arrive in pieces. Zeroed at the start of a message. */
typedef struct field_reader {
  enum { FIELD_NONE, FIELD_NAME, FIELD_VALUE } last_piece;
} field_reader;
/** Append a piece of a name, or of a value. */
void field_reader_add_name(field_reader *reader, fields *to, const char *bytes, size_t length);
void field_reader_add_value(field_reader *reader, fields *to, const char *bytes, size_t length);
/** Ends the last field. */
void field_reader_end(field_reader *reader, fields *to);

/** True if all names of fields consist of characters that are valid in names. */
bool field_names_are_valid(const fields *fields);
/** http-parser's callback at the end of a message: pauses the parser, so that it leaves what
 * follows to its caller (HPE_PAUSED). */
int http_framing_on_message_end(http_parser *parser);
#endif
