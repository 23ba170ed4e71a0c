#ifndef GATEWAY_ROUTE_TIMES_H
#define GATEWAY_ROUTE_TIMES_H
#include "base.h"

/** How long the requests of each route last, as this node has seen of late. */
typedef struct route_times route_times;

route_times *route_times_new(void);
void route_times_free(route_times *times);
/** Notes a request that was served whole. */
void route_times_note(route_times *times, id route, double ms);
/** The time in ms within which nearly all requests of a route end; 0 while too few have been seen.
 */
double route_times_most(const route_times *times, id route);
#endif
