/** Figures of a result, and the confidence interval of paired differences. */
#include "day_figures.h"
#include <math.h>

const char *const day_figure_names[DAY_FIGURE_COUNT] = {
  [DAY_SERVED] = "served", [DAY_IN_TARGET] = "inAim",        [DAY_FIRST_RESPONSE] = "firstMs",
  [DAY_LOADS] = "loads",   [DAY_RETRIES] = "secondAttempts",
};

/* 0.975 quantiles of Student's t distribution by degrees of freedom; beyond the table, that of the
 * normal distribution */
static const double t_quantiles[] = { 0,     12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365,
                                      2.306, 2.262,  2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
                                      2.120, 2.110,  2.101, 2.093, 2.086, 2.080, 2.074, 2.069,
                                      2.064, 2.060,  2.056, 2.052, 2.048, 2.045, 2.042 };
static const double NORMAL_QUANTILE = 1.96;

double day_share(uint64_t part, uint64_t total) {
  return total ? (double)part / (double)total : 1;
}

double day_mean_first_ms(const day_totals *totals) {
  return totals->first_count ? totals->first_ms / (double)totals->first_count : 0;
}

double day_figure(const day_result *result, enum day_figure_kind kind) {
  switch (kind) {
  case DAY_SERVED:
    return day_share(result->total.served, result->total.sent);
  case DAY_IN_TARGET:
    return day_share(result->total.in_target, result->total.sent);
  case DAY_FIRST_RESPONSE:
    return day_mean_first_ms(&result->total);
  case DAY_LOADS:
    return (double)result->loads;
  default:
    return (double)result->retries;
  }
}

static double t_quantile(size_t degrees) {
  return degrees < G_N_ELEMENTS(t_quantiles) ? t_quantiles[degrees] : NORMAL_QUANTILE;
}

void day_paired_interval(const double *differences, size_t n, double *mean, double *half) {
  double sum = 0, squares = 0;
  for (size_t i = 0; i < n; i++)
    sum += differences[i];
  *mean = n ? sum / (double)n : 0;
  for (size_t i = 0; i < n; i++)
    squares += (differences[i] - *mean) * (differences[i] - *mean);
  *half = n < 2 ? -1 : t_quantile(n - 1) * sqrt(squares / (double)(n - 1) / (double)n);
}
