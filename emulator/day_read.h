#ifndef EMULATOR_DAY_READ_H
#define EMULATOR_DAY_READ_H
/** Reads a day's file. */
#include "day.h"
#include "day_json.h"

/** Parses and checks the text of a day's file. When it is invalid, returns NULL and sets err to a
 * code and a text with the path of the field; err may be NULL. Free the day with day_free. */
day *day_read(string_view text, error *err);

/* the sections of the file, in the order in which they are read */
void day_read_services(const day_json_location *at, const json *value, day *day);
/** Reads the kinds of requests; the services must have been read. */
void day_read_kinds(const day_json_location *at, const json *value, day *day);
#endif
