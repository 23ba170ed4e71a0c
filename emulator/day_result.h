#ifndef EMULATOR_DAY_RESULT_H
#define EMULATOR_DAY_RESULT_H
/** The result of a played day: counts in total, by kind, by zone and over time. */
#include "day.h"

/** Counts of requests of one kind, of one zone, or of all. */
typedef struct day_totals {
  char name[64];
  uint64_t sent, served;
  uint64_t in_target, late;                        /* of those served */
  uint64_t refused, timed_out, broken, unanswered; /* of those not served */
  uint64_t first_count;                            /* requests that first_ms sums up */
  double first_ms;                                 /* sum of times to the first byte */
} day_totals;

enum { DAY_STEPS_MAX = 2000, DAY_STEP_MS = 2000 };
/** Counts of requests sent within DAY_STEP_MS. */
typedef struct day_step {
  uint32_t sent, served, in_target;
} day_step;

/** The result of a day; clear it with day_result_clear. */
typedef struct day_result {
  uint64_t seed;
  char eviction[48];
  day_totals total, kind_totals[DAY_KINDS_MAX], zone_totals[DAY_ZONES_MAX];
  size_t kind_count;
  int zone_count;
  day_step step_counts[DAY_STEPS_MAX];
  size_t step_count;
  uint64_t orders, loads, unloads, cold_loads; /* cold: from the store, not from disk */
  uint64_t attempts, retries, not_run;         /* arrivals of requests at engines */
  uint64_t heartbeats, reports;
  uint64_t messages, bytes; /* between processes of the control and data plane */
  double cpu_s, virtual_s;
  char *violations; /* broken rules, a line each; empty when all were kept; owned */
} day_result;

/** Counts what clients and engines recorded; from: the start of the day. */
void day_result_collect(day_result *result, const day *day, const deployment *deployment,
                        time_us from);
/** Frees what a result owns. */
void day_result_clear(day_result *result);
#endif
