#ifndef EMULATOR_DAY_PLOT_H
#define EMULATOR_DAY_PLOT_H
/** SVG plot of the requests served over time, for one result of a day or for two. */
#include "day_result.h"

/** Appends the plot; second may be NULL. The faults of the day are drawn as shaded spans. */
void day_plot_append(const day *day, const day_result *first, const char *first_name,
                     const day_result *second, const char *second_name, GString *to);
#endif
