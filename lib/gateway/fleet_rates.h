/** Request rates over the whole fleet, for placement and eviction.
 *
 * In a small fleet, all gateways send each other the counts that have changed. In a larger fleet
 * the number of messages would grow with the square of its size, so each key has a collector (one
 * of RATE_SHARDS gateways, by rendezvous hashing), which announces the totals of its keys to all.
 */
#ifndef GATEWAY_FLEET_RATES_H
#define GATEWAY_FLEET_RATES_H
#include "node.h"
#include "world.h"

typedef struct gateway gateway;

/** Fleets up to this size exchange rates, load times and permits in full. */
enum { SMALL_FLEET_MAX_NODES = 16 };
/** Span of the recent rate. It has half of the weight, since demand changes within seconds. */
enum { RECENT_RATE_MS = 5000 };
/** Interval at which collectors announce totals. */
enum { FLEET_RATES_INTERVAL_MS = 2000 };

/** The total rate of a key as announced by its collector. */
typedef struct fleet_rate {
  double rate; /* requests per second */
  time_us received_at;
} fleet_rate;

/** Written by fleet_rates.c. */
typedef struct fleet_rates {
  GHashTable *totals;      /* key -> fleet_rate; large fleets only */
  GHashTable *counts_sent; /* key -> int64_t: own count that was last sent to the others */
} fleet_rates;

void fleet_rates_init(fleet_rates *rates);
void fleet_rates_free(fleet_rates *rates);
/** The announced total rate of a key; 0 in a small fleet or when no recent total is known. */
double fleet_rates_total(gateway *gateway, const char *key);
/** The rate of a key from the counts known to this gateway (its own and received ones): half the
 * rate over the window plus half the rate over the last RECENT_RATE_MS. */
double fleet_rates_known(gateway *gateway, const char *key);
/** Handles a RateReport of another gateway. */
enum error_code fleet_rates_on_message(void *context, Wire__Envelope *in, reply *reply, error *err);
/** The task that sends rates; context is the gateway. */
void fleet_rates_run(void *context);
#endif
