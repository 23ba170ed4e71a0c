/** The way of a client's request through the gateway: admission, engine, attempts, response.
 *
 * forward.c admits a request and runs its steps; request_queue.c lets it wait for a slot or a load;
 * attempt.c sends it to an engine and decides on retries; response_relay.c passes the response
 * on. */
#ifndef GATEWAY_FORWARD_H
#define GATEWAY_FORWARD_H
#include "http_request.h"

typedef struct gateway gateway;

/** Serves one request to its end; context is the gateway. */
void forward_request(void *context, http_request *http);
/** Wakes each open request, so that it looks at the state of the drain again. */
void forward_wake_open_requests(gateway *gateway);
/** Logs the open requests, with what an end of the process now would mean for them. */
void forward_log_open_requests(gateway *gateway);
#endif
