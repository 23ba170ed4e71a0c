#ifndef ROUTER_RATE_EXCHANGE_H
#define ROUTER_RATE_EXCHANGE_H
/**
 * Routers send each other their request counts and load times, so that each router bases eviction
 * and placement on the request rates of the whole fleet (event_history.c).
 */
#include "node.h"

typedef struct router router;

/** Registers the handler of rate reports and starts the task that sends them. Not used on gateways,
 * which exchange rates through lib/gateway/fleet_rates.c. */
void rate_exchange_start(router *router);
/** Sends the duration of one load to all routers. */
void rate_exchange_send_load_time(router *router, id type, const char *key, double ms);
/** Applies the counts and load times in another router's report. */
void rate_exchange_receive(router *router, const Wire__RateReport *report);
#endif
