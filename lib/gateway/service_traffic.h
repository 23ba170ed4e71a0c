/** Traffic statistics of a service at this gateway: mean durations, and how often slots become
 * free. */
#ifndef GATEWAY_SERVICE_TRAFFIC_H
#define GATEWAY_SERVICE_TRAFFIC_H
#include "routing.h"
#include "world.h"

typedef struct gateway gateway;

/** Written by service_traffic.c; running and waiting are written by the modules of reserved slots
 * and of the request queue. */
typedef struct service_traffic {
  id service;
  /** Exponential moving averages in ms: time to the first event, duration of a request, time
   * between two slots that become free (0: no sample yet). */
  double mean_first_event_ms, mean_run_ms, mean_slot_interval_ms;
  time_us slot_freed_at;
  /** The number of requests of this gateway that hold a slot, and that wait for one. */
  int running, waiting;
} service_traffic;

/** Creates the table: service name -> service_traffic. */
GHashTable *service_traffic_table_new(void);
/** The traffic of a service; created on first use. */
service_traffic *service_traffic_of(gateway *gateway, const service *service);
/** Records that a slot has become free. */
void service_traffic_record_slot_freed(service_traffic *traffic, time_us now);
void service_traffic_record_first_event(service_traffic *traffic, double ms);
void service_traffic_record_run(service_traffic *traffic, double ms);
#endif
