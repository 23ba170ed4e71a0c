/** Graceful shutdown of a gateway; see drain.c for its phases. */
#ifndef GATEWAY_DRAIN_H
#define GATEWAY_DRAIN_H
#include "world.h"

typedef struct gateway gateway;

/** Written by drain.c, in this order. */
typedef struct drain_state {
  bool draining;
  time_us started_at;
  /** The listener is closed: no request is accepted any more, on any connection. */
  bool admission_stopped;
  /** Requests that wait for an engine are refused. */
  bool refusing_queued;
  /** Requests that no engine has begun to answer are answered with 502. */
  bool grace_over;
  condition finished;
} drain_state;

/** Begins the shutdown; drain.finished is signalled at its end. */
void gateway_drain(gateway *gateway);
/** Time in ms until open streams are cut by the end of this process; INT64_MAX when it is not
 * draining. */
int64_t gateway_remaining_ms(const gateway *gateway);
#endif
