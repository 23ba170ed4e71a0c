#ifndef EMULATOR_DAY_FAULTS_H
#define EMULATOR_DAY_FAULTS_H
/** The list of a day's faults: read from its file, or added by a flag on the command line. */
#include "day.h"
#include "day_json.h"

/** Reads the key "troubles" of a day's file. */
void day_read_faults(const day_json_location *at, const json *value, day *day);
/** Adds a fault by its flag, WHAT@AT[:FOR][,factor=X][,which=N], in seconds. On errors the day
 * stays as it is. */
enum error_code day_add_fault(day *day, const char *flag, error *err);
#endif
