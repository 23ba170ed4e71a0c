#ifndef CONFIGURATION_VALUE_READER_H
#define CONFIGURATION_VALUE_READER_H
/** Validated reading of JSON that operators declare: each function reads one field of an object,
 * and on an invalid value sets an error that names the field by its path
 * ("policy.kinds[2].weight").
 *
 * All functions return OK or the code that they set; the caller may stop at the first error. */
#include "json.h"

/** State of a reader. The path names the object whose fields are read; the error belongs to the
 * caller and is not NULL. */
typedef struct value_reader {
  error *err;
  char path[120];
} value_reader;

/** Sets the path (a printf format) to the object that is read next. */
void value_reader_enter(value_reader *reader, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/** Sets the error for a field, or for the object itself if key is empty, and returns the code. */
enum error_code value_reader_fail(value_reader *reader, enum error_code code, const char *key,
                                  const char *reason);
/** Rejects a value that is not an object, and unknown fields. key names the object below the path;
 * empty: the object at the path. known ends with NULL. */
enum error_code value_reader_check_fields(value_reader *reader, const json *object, const char *key,
                                          const char *const *known);
/** As the fallback of value_reader_number: the field is required. */
#define VALUE_REQUIRED NAN
/** Reads a number from low to high; an absent one takes the fallback. */
enum error_code value_reader_number(value_reader *reader, const json *object, const char *key,
                                    double low, double high, double fallback, bool whole,
                                    double *to);
/** The same for whole numbers. */
enum error_code value_reader_integer(value_reader *reader, const json *object, const char *key,
                                     double low, double high, double fallback, int64_t *to);
/** Reads a required name. */
enum error_code value_reader_name(value_reader *reader, const json *object, const char *key,
                                  id *to);
/** Reads a list of at most max items; an absent one gives NULL, for which json_count returns 0. */
enum error_code value_reader_list(value_reader *reader, const json *object, const char *key,
                                  size_t max, const json **to);
#endif
