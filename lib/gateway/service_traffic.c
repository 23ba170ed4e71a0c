/** Traffic statistics of services: exponential moving averages over this gateway's own requests. */
#include "service_traffic.h"
#include "gateway.h"

/* Initial values of the averages before the first request of a service. */
static const double INITIAL_FIRST_EVENT_MS = 150, INITIAL_RUN_MS = 500;
/* Weight of one sample; the averages follow a change within about ten requests. */
static const double SAMPLE_WEIGHT = 0.1;
/* Upper bound of a sample of the slot interval: a longer time means that there were no requests,
 * not that slots are scarce. */
static const double MAX_SLOT_INTERVAL_MS = 5000;

GHashTable *service_traffic_table_new(void) {
  return g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
}

service_traffic *service_traffic_of(gateway *gateway, const service *service) {
  service_traffic *traffic = g_hash_table_lookup(gateway->traffic, service->name.text);
  if (traffic)
    return traffic;
  traffic = g_new0(service_traffic, 1);
  traffic->service = service->name;
  traffic->mean_first_event_ms = INITIAL_FIRST_EVENT_MS;
  traffic->mean_run_ms = INITIAL_RUN_MS;
  g_hash_table_insert(gateway->traffic, traffic->service.text, traffic);
  return traffic;
}

void service_traffic_record_slot_freed(service_traffic *traffic, time_us now) {
  if (traffic->slot_freed_at.us) {
    double interval_ms = (double)time_sub(now, traffic->slot_freed_at).us / 1000;
    traffic->mean_slot_interval_ms +=
        SAMPLE_WEIGHT * (MIN(interval_ms, MAX_SLOT_INTERVAL_MS) - traffic->mean_slot_interval_ms);
  }
  traffic->slot_freed_at = now;
}

void service_traffic_record_first_event(service_traffic *traffic, double ms) {
  traffic->mean_first_event_ms += SAMPLE_WEIGHT * (ms - traffic->mean_first_event_ms);
}

void service_traffic_record_run(service_traffic *traffic, double ms) {
  traffic->mean_run_ms += SAMPLE_WEIGHT * (ms - traffic->mean_run_ms);
}
