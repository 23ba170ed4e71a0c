/** @file
 * R12: after a loss, the share of completed requests recovers in time. The share is measured in
 * sliding windows over the start times of requests. The required share is 0.9 of that before the
 * loss, scaled by the remaining capacity. */
#include "fleet.h"
#include <math.h>

enum {
  /** Time to recover from a loss. */
  RECOVERY_MS = 12000,
  /** The share before a loss is measured in a span from BASELINE_FROM_MS to BASELINE_UNTIL_MS
   * before it. */
  BASELINE_FROM_MS = 10000,
  BASELINE_UNTIL_MS = 2000,
  /** With fewer requests than this, the share before a loss, or that of a window, is not checked.
   */
  BASELINE_REQUESTS_MIN = 5,
  WINDOW_REQUESTS_MIN = 12,
  /** Length of a window; one with too few requests grows in steps up to the maximum. */
  WINDOW_MS = 2000,
  WINDOW_MAX_MS = 8000,
  WINDOW_GROWTH_MS = 1000,
  /** Time from one window's end to the next. */
  WINDOW_STEP_MS = 500,
  /** Number of request kinds in the plan of the callers; all others count as one more. */
  PLAN_KINDS = 2,
  ALL_KINDS = -1
};

/** Ratio of the share before a loss that is required after it. */
static const double REQUIRED_RATIO = 0.9;
/** How many standard deviations a window's share may lie below the required one. */
static const double DEVIATIONS = 2;
/** Upper bound of the share in the formula of the standard deviation, which would be 0 at a share
 * of 1. */
static const double SHARE_MAX = 0.99;

static int kind_index(const fleet *fleet, const loadgen_request *request) {
  for (int i = 0; i < PLAN_KINDS; i++)
    if (!strcmp(request->kind.text, fleet->callers->loadgen->plan.kinds[i]))
      return i;
  return PLAN_KINDS;
}

/* how many requests began in a span, and how many of these were completed */
typedef struct completed_share {
  double requests, completed;
} completed_share;

static bool is_counted(const fleet *fleet, const loadgen_request *request, int kind) {
  return request->outcome != OUTCOME_OPEN && request->outcome != OUTCOME_CALLER_GONE &&
         (kind == ALL_KINDS || kind_index(fleet, request) == kind);
}

static completed_share measure_share(const fleet *fleet, int kind, time_us from, time_us until) {
  completed_share share = { 0, 0 };
  const GPtrArray *requests = fleet->callers->loadgen->requests;
  for (guint i = 0; i < requests->len; i++) {
    const loadgen_request *request = requests->pdata[i];
    if (request->started_at.us < from.us || request->started_at.us >= until.us ||
        !is_counted(fleet, request, kind))
      continue;
    share.requests++;
    share.completed += request->outcome == OUTCOME_DONE;
  }
  return share;
}

/* memory of the engines that are alive and not frozen, as a ratio of that of all engines */
static double remaining_capacity_ratio(const fleet *fleet) {
  double all = 0, remaining = 0;
  for (int i = 0; i < fleet->engines; i++) {
    const host *host = fleet->engine[i];
    all += (double)host->weights_mb;
    if (host->alive && !host->frozen)
      remaining += (double)host->weights_mb;
  }
  return all > 0 ? remaining / all : 1;
}

/* Whether the window that ends at an instant has the required share. A window with too few requests
 * is lengthened; it passes unchecked if it would begin before the earliest instant or still has too
 * few at the maximum length. */
static bool window_reaches_share(const fleet *fleet, int kind, time_us earliest, time_us end,
                                 double required) {
  for (int64_t window_ms = WINDOW_MS; window_ms <= WINDOW_MAX_MS; window_ms += WINDOW_GROWTH_MS) {
    time_us from = time_sub(end, time_from_ms(window_ms));
    if (from.us < earliest.us)
      return true;
    completed_share share = measure_share(fleet, kind, from, end);
    if (share.requests < WINDOW_REQUESTS_MIN)
      continue;
    /* random variation alone can lower the share of a small window by this much */
    double slack = DEVIATIONS * sqrt(required * (1 - MIN(required, SHARE_MAX)) / share.requests);
    return share.completed / share.requests >= required - slack;
  }
  return true;
}

/* the share that is required after a loss, or -1 when there were too few requests before it */
static double required_share(const fleet *fleet, time_us loss, int kind) {
  time_us from = time_sub(loss, time_from_ms(BASELINE_FROM_MS));
  time_us until = time_sub(loss, time_from_ms(BASELINE_UNTIL_MS));
  completed_share before = measure_share(fleet, kind, from, until);
  if (before.requests < BASELINE_REQUESTS_MIN)
    return -1;
  return REQUIRED_RATIO * before.completed / before.requests * remaining_capacity_ratio(fleet);
}

double fleet_recovery_s(fleet *fleet, time_us loss, time_us until, int kind) {
  double required = required_share(fleet, loss, kind);
  if (required < 0)
    return -1;
  time_us recovered_at = loss;
  for (time_us end = time_add(loss, time_from_ms(WINDOW_MS)); end.us <= until.us;
       end = time_add(end, time_from_ms(WINDOW_STEP_MS)))
    if (!window_reaches_share(fleet, kind, loss, end, required))
      recovered_at = time_sub(end, time_from_ms(WINDOW_MS - WINDOW_STEP_MS));
  return (double)time_sub(recovered_at, loss).us / 1e6;
}

static void check_kind(fleet *fleet, time_us loss, time_us until, int kind, const char *name) {
  time_us earliest = time_add(loss, time_from_ms(RECOVERY_MS));
  double required = required_share(fleet, loss, kind);
  if (required < 0)
    return;
  for (time_us end = time_add(earliest, time_from_ms(WINDOW_MS)); end.us <= until.us;
       end = time_add(end, time_from_ms(WINDOW_STEP_MS))) {
    if (window_reaches_share(fleet, kind, earliest, end, required))
      continue;
    time_us from = time_sub(end, time_from_ms(WINDOW_MS));
    completed_share share = measure_share(fleet, kind, from, end);
    fleet_add_violation(fleet,
                        "R12 %.1f s after the loss %.0f of %.0f requests (%s) were completed; a "
                        "share of %.2f is required",
                        (double)time_sub(end, loss).us / 1e6, share.completed, share.requests, name,
                        required);
    return;
  }
}

void fleet_check_recovery(fleet *fleet, time_us loss, time_us until) {
  check_kind(fleet, loss, until, 0, "live");
  check_kind(fleet, loss, until, 1, "short");
  check_kind(fleet, loss, until, PLAN_KINDS, "deferred");
  check_kind(fleet, loss, until, ALL_KINDS, "all");
}
