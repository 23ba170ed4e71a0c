/** What a gateway has learnt of a service's traffic: usual times, and how often slots come free. */
#ifndef GATEWAY_SERVICE_TRAFFIC_H
#define GATEWAY_SERVICE_TRAFFIC_H
#include "routing.h"
#include "world.h"

typedef struct gateway gateway;

/** Written by service_traffic.c; running and waiting by reserved slots and the queue. */
typedef struct service_traffic {
  id service;
  /** Exponential means in ms: to a first event, of a run, between slots that come free (0: none
   * has yet). */
  double mean_first_event_ms, mean_run_ms, mean_slot_interval_ms;
  time_us slot_freed_at;
  /** Requests of this gateway that hold a slot, and those that wait for one. */
  int running, waiting;
} service_traffic;

/** Service name -> service_traffic. */
GHashTable *service_traffic_table_new(void);
/** The traffic of a service; made on first use. */
service_traffic *service_traffic_of(gateway *gateway, const service *service);
/** A slot has come free. */
void service_traffic_record_slot_freed(service_traffic *traffic, time_us now);
void service_traffic_record_first_event(service_traffic *traffic, double ms);
void service_traffic_record_run(service_traffic *traffic, double ms);
#endif
