#ifndef EMULATOR_DAY_FAULTS_H
#define EMULATOR_DAY_FAULTS_H
/** The list of a day's faults, which are read from its file or added by command-line flags. */
#include "day.h"
#include "day_json.h"

/** Reads the faults of a day's file, which are listed under the key "troubles". */
void day_read_faults(const day_json_location *at, const json *value, day *day);
/** Adds a fault by a flag of the form WHAT@AT[:FOR][,factor=X][,which=N], with AT and FOR in
 * seconds. On errors the day is unchanged. */
enum error_code day_add_fault(day *day, const char *flag, error *err);
#endif
