#ifndef EMULATOR_DAY_REPORT_H
#define EMULATOR_DAY_REPORT_H
/** Reports of a played day as text and as JSON. */
#include "day_result.h"

/** Appends the report as a table of text. */
void day_report_text(const day *day, const day_result *result, GString *to);
/** Appends the report as a JSON object. */
void day_report_json(const day *day, const day_result *result, GString *to);
#endif
