/** Exchange of engine loads between gateways. A few times per second, each gateway reports its
 * requests on each engine and the failures that it has seen. With up to BROADCAST_MAX_NODES other
 * gateways a report goes to all of them; in larger fleets to a few at random, since a full exchange
 * grows with the square of the fleet size. Failures go to all gateways at once, because each
 * gateway alone sees too few of them. */
#ifndef GATEWAY_TRAFFIC_REPORTS_H
#define GATEWAY_TRAFFIC_REPORTS_H
#include "wire.pb-c.h"
#include "world.h"

typedef struct gateway gateway;

/** Applies another gateway's report; its failures weigh more when it is in the same zone. */
void traffic_reports_apply(gateway *gateway, uint64_t nonce, bool same_zone,
                           const Wire__TrafficReport *report);
/** Sends this gateway's load on all engines to one address, without failures. */
void traffic_reports_send(gateway *gateway, const char *address);
/** Registers the message handler and starts the task that sends reports. */
void traffic_reports_start(gateway *gateway);
#endif
