/** Durations of requests by route: exponential moving averages of the duration and of its
 * deviation, in the way in which TCP estimates its retransmission timeout. */
#include "route_durations.h"
#include <math.h>

/* The minimum number of samples for an estimate, and the number of mean deviations above the mean
 * within which nearly all requests end. */
enum { MIN_SAMPLES = 4, DEVIATIONS = 2 };
/* Weight of one sample. */
static const double SAMPLE_WEIGHT = 0.15;

typedef struct route_duration {
  unsigned sample_count;
  double mean_ms, deviation_ms;
} route_duration;

struct route_durations {
  GHashTable *by_route; /* name -> route_duration */
};

route_durations *route_durations_new(void) {
  route_durations *durations = g_new0(route_durations, 1);
  durations->by_route = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  return durations;
}

void route_durations_free(route_durations *durations) {
  g_hash_table_destroy(durations->by_route);
  g_free(durations);
}

void route_durations_record(route_durations *durations, id route, double ms) {
  route_duration *duration = g_hash_table_lookup(durations->by_route, route.text);
  if (!duration) {
    duration = g_new0(route_duration, 1);
    duration->mean_ms = ms;
    g_hash_table_insert(durations->by_route, g_strdup(route.text), duration);
  }
  duration->sample_count++;
  duration->deviation_ms += SAMPLE_WEIGHT * (fabs(ms - duration->mean_ms) - duration->deviation_ms);
  duration->mean_ms += SAMPLE_WEIGHT * (ms - duration->mean_ms);
}

double route_durations_upper_ms(const route_durations *durations, id route) {
  const route_duration *duration = g_hash_table_lookup(durations->by_route, route.text);
  if (!duration || duration->sample_count < MIN_SAMPLES)
    return 0;
  return duration->mean_ms + DEVIATIONS * duration->deviation_ms;
}
