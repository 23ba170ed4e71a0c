/** Reasons for which requests are not served, for metrics and the log. */
#ifndef GATEWAY_UNSERVED_H
#define GATEWAY_UNSERVED_H
#include "base.h"

typedef struct gateway gateway;

enum unserved_reason {
  /** The engine declined the request, for example while it loads or unloads the model by an
   * order. */
  UNSERVED_DECLINED,
  /** No engine holds its model, and a load would complete too late. */
  UNSERVED_NO_MODEL,
  /** All engines that hold its model are full. */
  UNSERVED_BUSY,
  /** No engine accepts requests, or none could be reached. */
  UNSERVED_NO_ENGINE,
  /** This gateway is draining. */
  UNSERVED_DRAINING,
  /** The engine failed after the request was sent. */
  UNSERVED_BROKEN,
  /** The engine did not respond in time. */
  UNSERVED_TIMEOUT,
  /** The client left while the request waited here and no engine had it. */
  UNSERVED_CLIENT_LEFT_WAITING,
  UNSERVED_COUNT
};

/** The name of a reason in metrics and the log. */
const char *unserved_name(enum unserved_reason reason);
/** Starts the task that logs why requests were not served. */
void unserved_start(gateway *gateway);
#endif
