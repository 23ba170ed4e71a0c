/** Durations of requests by route: a smoothed mean, and a smoothed distance from it. */
#include "route_times.h"
#include <math.h>

enum { SEEN_LEAST = 4, DEVIATIONS = 2 };
static const double WEIGHT = 0.15;

typedef struct route_time {
  unsigned seen;
  double mean_ms, deviation_ms;
} route_time;

struct route_times {
  GHashTable *of_route; /* name -> route_time */
};

route_times *route_times_new(void) {
  route_times *times = g_new0(route_times, 1);
  times->of_route = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  return times;
}

void route_times_free(route_times *times) {
  g_hash_table_destroy(times->of_route);
  g_free(times);
}

void route_times_note(route_times *times, id route, double ms) {
  route_time *time = g_hash_table_lookup(times->of_route, route.text);
  if (!time) {
    time = g_new0(route_time, 1);
    time->mean_ms = ms;
    g_hash_table_insert(times->of_route, g_strdup(route.text), time);
  }
  time->seen++;
  time->deviation_ms += WEIGHT * (fabs(ms - time->mean_ms) - time->deviation_ms);
  time->mean_ms += WEIGHT * (ms - time->mean_ms);
}

double route_times_most(const route_times *times, id route) {
  const route_time *time = g_hash_table_lookup(times->of_route, route.text);
  if (!time || time->seen < SEEN_LEAST)
    return 0;
  return time->mean_ms + DEVIATIONS * time->deviation_ms;
}
