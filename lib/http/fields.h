#ifndef COMMON_FIELDS_H
#define COMMON_FIELDS_H
#include "base.h"

/** Header fields of a message as they came: lines of "Name: value\r\n", in order, in one text. */
typedef GString fields;
/** Finds the first field of a name, whatever its case; false when there is none. The value lasts as
 * long as the text. */
bool fields_get(const fields *fields, const char *name, string_view *value);
/** How many fields there are of a name, whatever its case. */
size_t fields_count(const fields *fields, const char *name);
/** Copies the value of a field; NULL when there is none. */
char *fields_dup(const fields *fields, const char *name);
/** Reads a field as a whole number from 0 up; the fallback when it is absent or none. */
int64_t fields_get_number(const fields *fields, const char *name, int64_t fall);
/** Adds a field. Bytes that would end the line are left out. */
void fields_add(fields *fields, const char *name, string_view value);
/** The same by printf. */
void fields_add_format(fields *fields, const char *name, const char *form, ...)
    __attribute__((format(printf, 3, 4)));
/** Walks the fields: at begins at 0; false at the end. */
bool fields_next(const fields *fields, size_t *at, string_view *name, string_view *value);
/** Copies all fields but those that concern one connection only (connection, those it names,
 * keep-alive, te, trailer, transfer-encoding, upgrade, proxy-*, content-length, host when not kept)
 * and those named in skip, a NULL-ended list. */
void fields_forward(const fields *from, fields *to, const char *const *skip);
#endif
