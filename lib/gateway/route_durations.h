#ifndef GATEWAY_ROUTE_TIMES_H
#define GATEWAY_ROUTE_TIMES_H
#include "base.h"

/** How long the requests of each route last, as this node has seen of late. */
typedef struct route_durations route_durations;

route_durations *route_durations_new(void);
void route_durations_free(route_durations *times);
/** Notes a request that was served whole. */
void route_durations_record(route_durations *times, id route, double ms);
/** The time in ms within which nearly all requests of a route end; 0 while too few have been seen.
 */
double route_durations_upper_ms(const route_durations *times, id route);
#endif
