/** Exchange of loads between gateways: each one sends what it runs on which engine a few times a
 * second, and the failures that it has seen. Fleets of up to LOADS_BROADCAST_MAX_NODES send to all;
 * larger ones to a random few each time, since a full exchange grows with the square. Failures go
 * to all at once: one gateway alone sees too few of them. */
#ifndef GATEWAY_TRAFFIC_REPORTS_H
#define GATEWAY_TRAFFIC_REPORTS_H
#include "wire.pb-c.h"
#include "world.h"

typedef struct gateway gateway;

/** Takes over all that another gateway runs; failures weigh more when it is in the same zone. */
void traffic_reports_apply(gateway *gateway, uint64_t nonce, bool same_zone,
                           const Wire__TrafficReport *report);
/** Sends all that this gateway runs to one address, without failures. */
void traffic_reports_send(gateway *gateway, const char *address);
/** Registers the message and starts the task that reports. */
void traffic_reports_start(gateway *gateway);
#endif
