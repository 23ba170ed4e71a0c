#ifndef EMULATOR_DAY_READ_H
#define EMULATOR_DAY_READ_H
/** Reading a day's file. */
#include "day.h"
#include "day_json.h"

/** Reads and checks a day's file. Returns NULL and sets err (a code, and the path of the field)
 * when it is invalid; err may be NULL. Free the day with day_free. */
day *day_read(string_view text, error *err);

/* sections of the file, read in this order */
void day_read_services(const day_json_location *at, const json *value, day *day);
/** Reads the kinds of requests; the services must have been read. */
void day_read_kinds(const day_json_location *at, const json *value, day *day);
#endif
