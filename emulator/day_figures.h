#ifndef EMULATOR_DAY_FIGURES_H
#define EMULATOR_DAY_FIGURES_H
/** Figures computed from a result, and the statistics that compare two series of days. */
#include "day_result.h"

/** The figures that are compared. */
enum day_figure_kind {
  DAY_SERVED,
  DAY_IN_TARGET,
  DAY_FIRST_RESPONSE,
  DAY_LOADS,
  DAY_RETRIES,
  DAY_FIGURE_COUNT
};
/** Names of the figures in reports. */
extern const char *const day_figure_names[DAY_FIGURE_COUNT];

/** Returns part / total, or 1 when total is 0. */
double day_share(uint64_t part, uint64_t total);
/** Returns the mean time to the first byte in ms, or 0 when nothing was served. */
double day_mean_first_ms(const day_totals *totals);
/** Returns a figure of a result. */
double day_figure(const day_result *result, enum day_figure_kind kind);
/** Computes the mean of n differences and the half width of its 95 % confidence interval by
 * Student's t distribution; half is -1 when n is below two. */
void day_paired_interval(const double *differences, size_t n, double *mean, double *half);
#endif
