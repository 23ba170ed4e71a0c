#ifndef ROUTER_RATE_EXCHANGE_H
#define ROUTER_RATE_EXCHANGE_H
/**
 * Routers tell each other what they routed and how long loads took, so that each one evicts and
 * places by the request rates of the whole fleet (event_history.c).
 */
#include "node.h"

typedef struct router router;

/** Registers the handler of rate reports and starts the task that sends them. Not on gateways,
 * which exchange rates in a way of their own (lib/gateway/fleet_rates.c). */
void rate_exchange_start(router *router);
/** Tells all routers how long one load took. */
void rate_exchange_send_load_time(router *router, id type, const char *key, double ms);
/** Takes in another router's counts and load times. */
void rate_exchange_receive(router *router, const Wire__RateReport *report);
#endif
