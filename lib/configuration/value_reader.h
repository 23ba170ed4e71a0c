#ifndef CONFIGURATION_VALUE_READER_H
#define CONFIGURATION_VALUE_READER_H
/** Checked reading of JSON that operators declare: each function reads one field of an object, and
 * on a bad value sets an error that names the field by its path ("policy.kinds[2].weight").
 *
 * All functions return OK or the code that they set; later fields need not be read then. */
#include "json.h"

/** Where the reader is. The path names the object whose fields are read; the error belongs to the
 * caller and is not NULL. */
typedef struct value_reader {
  error *err;
  char path[120];
} value_reader;

/** Goes to another object: sets the path by printf. */
void value_reader_enter(value_reader *reader, const char *form, ...)
    __attribute__((format(printf, 2, 3)));
/** Sets the error for a field (an empty key: the object itself), and returns the code. */
enum error_code value_reader_fail(value_reader *reader, enum error_code code, const char *key,
                                  const char *reason);
/** Refuses what is not an object, and fields that are not known. key names the object below the
 * path; empty: the object at the path. known ends with NULL. */
enum error_code value_reader_check_fields(value_reader *reader, const json *object, const char *key,
                                          const char *const *known);
/** The fallback of value_reader_number for a field that must be there. */
#define VALUE_REQUIRED NAN
/** Reads a number from low to high; an absent one takes the fallback. */
enum error_code value_reader_number(value_reader *reader, const json *object, const char *key,
                                    double low, double high, double fallback, bool whole,
                                    double *to);
/** The same for whole numbers. */
enum error_code value_reader_integer(value_reader *reader, const json *object, const char *key,
                                     double low, double high, double fallback, int64_t *to);
/** Reads a name, which must be there. */
enum error_code value_reader_name(value_reader *reader, const json *object, const char *key,
                                  id *to);
/** Reads a list of at most max items; an absent one gives NULL, over which json_count is 0. */
enum error_code value_reader_list(value_reader *reader, const json *object, const char *key,
                                  size_t max, const json **to);
#endif
