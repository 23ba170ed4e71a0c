/** Graceful shutdown of a gateway; see drain.c for its phases. */
#ifndef GATEWAY_DRAIN_H
#define GATEWAY_DRAIN_H
#include "world.h"

typedef struct gateway gateway;

/** Written by drain.c; the fields are set in this order. */
typedef struct drain_state {
  bool draining;
  time_us started_at;
  /** The listener is closed, and no further request is accepted on any connection. */
  bool admission_stopped;
  /** Requests that wait for an engine are refused. */
  bool refusing_queued;
  /** Requests whose response has not started are answered with 502. */
  bool grace_over;
  condition finished;
} drain_state;

/** Starts the shutdown; drain.finished is signalled at its end. */
void gateway_drain(gateway *gateway);
/** Time in ms until the last phase of the drain, when the exit of this process may cut off open
 * streams; INT64_MAX when the gateway is not draining. */
int64_t gateway_drain_remaining_ms(const gateway *gateway);
#endif
