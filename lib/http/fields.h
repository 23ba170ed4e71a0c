#ifndef HTTP_FIELDS_H
#define HTTP_FIELDS_H
/**
 * All header fields of a message, as one text: lines of "Name: value\r\n" in the order of arrival.
 * Names are compared case-insensitively; values are trimmed of spaces and tabs when they are read.
 * Lookups scan the text, which is short, so that fields can be forwarded without being parsed and
 * written again. Functions that read accept NULL as an empty set of fields.
 */
#include "base.h"

typedef GString fields;

/** Finds the first field with a name. False, with *value untouched, if there is none. The value is
 * borrowed from the text. */
bool fields_get(const fields *fields, const char *name, string_view *value);
/** The number of fields with a name. */
size_t fields_count(const fields *fields, const char *name);
/** A copy of the value of the first field with a name, which the caller frees; NULL if there is
 * none. */
char *fields_dup(const fields *fields, const char *name);
/** The value of the first field with a name as a decimal number; the fallback if there is none, or
 * if it has other characters than digits or overflows. */
int64_t fields_get_number(const fields *fields, const char *name, int64_t fallback);
/** Iterates over the fields: *position is 0 at first, and kept between calls. False at the end.
 * Lines without a colon are skipped. Name and value are borrowed from the text. */
bool fields_next(const fields *fields, size_t *position, string_view *name, string_view *value);

/** Appends a field. Bytes that would end the line (CR, LF, NUL) are left out. */
void fields_add(fields *fields, const char *name, string_view value);
/** The same with a formatted value. */
void fields_add_format(fields *fields, const char *name, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
/** Appends to `to` all fields of `from` except hop-by-hop fields (Connection and the fields that it
 * names, Keep-Alive, TE, Trailer, Transfer-Encoding, Upgrade, Proxy-*), Content-Length, and those
 * named in skip, which is a list that ends with NULL, or NULL. */
void fields_forward(const fields *from, fields *to, const char *const *skip);
#endif
