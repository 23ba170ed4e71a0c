#ifndef HTTP_FIELDS_H
#define HTTP_FIELDS_H
/**
 * All header fields of a message, as one text: lines of "Name: value\r\n" in the order in which
 * they came. Names are compared without regard to case; values are trimmed of blanks when they are
 * read. Lookups go through the text, which is short, so that fields can be passed on without being
 * parsed and written again. NULL is taken for no fields by functions that read.
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
/** The value of the first field with a name as a decimal number; the fallback if there is none or
 * if it is anything but digits that fit. */
int64_t fields_get_number(const fields *fields, const char *name, int64_t fallback);
/** Iterates over the fields: *position is 0 at first, and kept between calls. False at the end.
 * Lines without a colon are skipped. Name and value are borrowed from the text. */
bool fields_next(const fields *fields, size_t *position, string_view *name, string_view *value);

/** Appends a field. Bytes that would end the line (CR, LF, NUL) are left out. */
void fields_add(fields *fields, const char *name, string_view value);
/** The same with a formatted value. */
void fields_add_format(fields *fields, const char *name, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
/** Appends to `to` all fields of `from` except those that concern one connection only (Connection
 * and the fields that it names, Keep-Alive, TE, Trailer, Transfer-Encoding, Upgrade, Proxy-*), the
 * length, and those named in skip, a list that ends with NULL, or NULL. */
void fields_forward(const fields *from, fields *to, const char *const *skip);
#endif
