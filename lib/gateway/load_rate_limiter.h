/** Fleet-wide rate limit of model loads from a service's weight store. The holder of the singleton
 * "pacer" grants load permits; each allows one load that begins within PERMIT_VALID_MS. */
#ifndef GATEWAY_LOAD_RATE_LIMITER_H
#define GATEWAY_LOAD_RATE_LIMITER_H
#include "node.h"
#include "routing.h"
#include "world.h"

typedef struct gateway gateway;
typedef struct gateway_engine gateway_engine;

/** Written by load_rate_limiter.c. */
typedef struct load_rate_limiters {
  GHashTable *by_service; /* service -> load_rate_limiter */
  /** When this gateway last began a load without a permit because the singleton had no holder. */
  time_us unpermitted_load_at;
} load_rate_limiters;

void load_rate_limiters_init(load_rate_limiters *limiters);
void load_rate_limiters_free(load_rate_limiters *limiters);
/** The earliest time at which another load may begin, so that at most max_loads begin in a window.
 * load_times: start times of past loads (time_us, ascending). */
time_us load_rate_limiter_next_at(const GArray *load_times, time_us now, time_us window,
                                  int max_loads);
/** The number of loads per window for which permits are granted: one less than the store allows.
 * The configured rate loads_per_s is multiplied by limit_factor. */
int load_rate_limiter_max_loads(double loads_per_s, double window_s, double limit_factor);
/** Adds load times to the record of a node that takes over the limiter at `acquired_at` and has run
 * since `started_at`, as a substitute for load reports that it may have missed. */
void load_rate_limiter_take_over(GArray *load_times, time_us acquired_at, time_us started_at,
                                 time_us window, int max_loads);
/** Records a load from a service's store. */
void load_rate_limiter_record(gateway *gateway, id service, time_us at);
/** Handles a LoadPermitRequest: a call requests a permit; a one-way message reports a load. */
enum error_code load_rate_limiter_on_permit(void *context, Wire__Envelope *in, reply *reply,
                                            error *err);
/** Requests a permit. OK: the order must be sent before *send_by; E_LOAD_RATE_LIMITED: retry after
 * *retry_after_ms. */
enum error_code load_rate_limiter_request_permit(gateway_engine *engine, const service *service,
                                                 const char *key, time_us *send_by,
                                                 int64_t *retry_after_ms, error *err);
/** Sends a message to the gateways that are the next candidates for a singleton; in a small fleet
 * to all gateways. */
void singleton_successors_broadcast(gateway *gateway, const char *singleton,
                                    Wire__Envelope *message);
#endif
