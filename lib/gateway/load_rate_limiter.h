/** Rate limit of model loads out of a service's weight store, over the whole fleet. The holder of
 * the singleton "pacer" grants load permits; each is good for one load that begins within
 * LOAD_PERMIT_VALID_MS. */
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
  /** When this gateway last began a load without a permit, since nobody held the singleton. */
  time_us unpermitted_load_at;
} load_rate_limiters;

void load_rate_limiters_init(load_rate_limiters *limiters);
void load_rate_limiters_free(load_rate_limiters *limiters);
/** When one more load may begin, by the times (time_us, ascending) of those that have: at most
 * max_loads in a window. */
time_us load_rate_limiter_next_at(const GArray *load_times, time_us now, time_us window,
                                  int max_loads);
/** Loads per window that this side allows: one below what the store allows. */
int load_rate_limiter_max_loads(double loads_per_s, double window_s, double excess);
/** Fills up the times of a node that takes the limiter over at `acquired_at` and has run since
 * `started_at`, for the loads that it may not have received. */
void load_rate_limiter_take_over(GArray *load_times, time_us acquired_at, time_us started_at,
                                 time_us window, int max_loads);
/** Records a load out of a service's store. */
void load_rate_limiter_record(gateway *gateway, id service, time_us at);
/** Handles a LoadPermitRequest: as a call it asks for a permit; as a one-way message it reports a
 * load. */
enum error_code load_rate_limiter_on_permit(void *context, Wire__Envelope *in, reply *reply,
                                            error *err);
/** Requests a permit. OK: the order must be sent before *send_by; E_LOAD_RATE_LIMITED: again in
 * *retry_after_ms. */
enum error_code load_rate_limiter_request_permit(gateway_engine *engine, const service *service,
                                                 const char *key, time_us *send_by,
                                                 int64_t *retry_after_ms, error *err);
/** Sends a message to the gateways that are first in line for a singleton; to all in a small
 * fleet. */
void singleton_successors_broadcast(gateway *gateway, const char *singleton,
                                    Wire__Envelope *message);
#endif
