/** How long the requests of each route last, as this gateway has seen lately. */
#ifndef GATEWAY_ROUTE_DURATIONS_H
#define GATEWAY_ROUTE_DURATIONS_H
#include "base.h"

typedef struct route_durations route_durations;

/** To be freed by route_durations_free. */
route_durations *route_durations_new(void);
void route_durations_free(route_durations *durations);
/** Records a request that was served in full. */
void route_durations_record(route_durations *durations, id route, double ms);
/** The time in ms within which nearly all requests of a route end; 0 while too few were seen. */
double route_durations_upper_ms(const route_durations *durations, id route);
#endif
