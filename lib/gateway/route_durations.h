/** Recent durations of requests at this gateway, by route. */
#ifndef GATEWAY_ROUTE_DURATIONS_H
#define GATEWAY_ROUTE_DURATIONS_H
#include "base.h"

typedef struct route_durations route_durations;

/** To be freed by route_durations_free. */
route_durations *route_durations_new(void);
void route_durations_free(route_durations *durations);
/** Records the duration of a completely served request. */
void route_durations_record(route_durations *durations, id route, double ms);
/** The time in ms within which nearly all requests of a route end; 0 while there are too few
 * samples. */
double route_durations_upper_ms(const route_durations *durations, id route);
#endif
