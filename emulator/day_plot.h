#ifndef EMULATOR_DAY_PLOT_H
#define EMULATOR_DAY_PLOT_H
/** Plot (SVG) of the requests served over one or two played days. */
#include "day_result.h"

/** Appends the plot; second may be NULL. Faults of the day are shaded. */
void day_report_plot(const day *day, const day_result *first, const char *first_name,
                     const day_result *second, const char *second_name, GString *to);
#endif
