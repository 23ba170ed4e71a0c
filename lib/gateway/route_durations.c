/** Durations of requests by route: a smoothed mean, and a smoothed distance from it. */
#include "route_durations.h"
#include <math.h>

enum { MIN_SAMPLES = 4, DEVIATIONS = 2 };
static const double WEIGHT = 0.15;

typedef struct route_duration {
  unsigned sample_count;
  double mean_ms, deviation_ms;
} route_duration;

struct route_durations {
  GHashTable *by_route; /* name -> route_duration */
};

route_durations *route_durations_new(void) {
  route_durations *times = g_new0(route_durations, 1);
  times->by_route = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  return times;
}

void route_durations_free(route_durations *times) {
  g_hash_table_destroy(times->by_route);
  g_free(times);
}

void route_durations_record(route_durations *times, id route, double ms) {
  route_duration *time = g_hash_table_lookup(times->by_route, route.text);
  if (!time) {
    time = g_new0(route_duration, 1);
    time->mean_ms = ms;
    g_hash_table_insert(times->by_route, g_strdup(route.text), time);
  }
  time->sample_count++;
  time->deviation_ms += WEIGHT * (fabs(ms - time->mean_ms) - time->deviation_ms);
  time->mean_ms += WEIGHT * (ms - time->mean_ms);
}

double route_durations_upper_ms(const route_durations *times, id route) {
  const route_duration *time = g_hash_table_lookup(times->by_route, route.text);
  if (!time || time->sample_count < MIN_SAMPLES)
    return 0;
  return time->mean_ms + DEVIATIONS * time->deviation_ms;
}
