#ifndef EMULATOR_DAY_RESULT_H
#define EMULATOR_DAY_RESULT_H
/** The result of a played day: counts in total, by kind of request, by zone and over time. */
#include "day.h"

/** Counts of the requests of one kind, of one zone, or of all. */
typedef struct day_totals {
  char name[64];
  uint64_t sent, served;
  uint64_t in_target, late;                        /* sum to served */
  uint64_t refused, timed_out, broken, unanswered; /* sum to those not served */
  uint64_t first_count;                            /* number of requests in first_ms */
  double first_ms;                                 /* sum of times to the first byte */
} day_totals;

enum { DAY_STEPS_MAX = 2000, DAY_STEP_MS = 2000 };
/** Counts of the requests sent within one step of DAY_STEP_MS. */
typedef struct day_step {
  uint32_t sent, served, in_target;
} day_step;

/** The result of a day; free what it owns with day_result_clear. */
typedef struct day_result {
  uint64_t seed;
  char eviction[48];
  day_totals total, kind_totals[DAY_KINDS_MAX], zone_totals[DAY_ZONES_MAX];
  size_t kind_count;
  int zone_count;
  day_step step_counts[DAY_STEPS_MAX];
  size_t step_count;
  uint64_t orders, loads, unloads, cold_loads; /* cold: from the store, not from disk */
  /* runs at engines, those among them that repeat a request, and requests that were not run */
  uint64_t runs, retries, not_run;
  uint64_t heartbeats, reports;
  uint64_t messages, bytes; /* between processes of the control and data plane */
  double cpu_s, virtual_s;
  char *violations; /* violations of rules, one a line; empty when there are none; owned */
} day_result;

/** Computes the counts from the records of clients and engines; from: the start of the day. */
void day_result_collect(day_result *result, const day *day, const deployment *deployment,
                        time_us from);
/** Frees what a result owns. */
void day_result_clear(day_result *result);
#endif
