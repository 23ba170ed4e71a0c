/** Serves client requests: admission, engine selection, attempts and response.
 *
 * forward.c admits a request and runs its steps; request_queue.c lets it wait for a free slot or a
 * model load; attempt.c sends it to an engine and decides on retries; response_relay.c relays the
 * response. */
#ifndef GATEWAY_FORWARD_H
#define GATEWAY_FORWARD_H
#include "http_request.h"

typedef struct gateway gateway;

/** Serves one request to its end; context is the gateway. */
void forward_request(void *context, http_request *http);
/** Wakes all open requests, so that they check the state of the drain again. */
void forward_wake_open_requests(gateway *gateway);
/** Logs the open requests and the phase that each is in, which shows what an exit of the process at
 * this time would interrupt. */
void forward_log_open_requests(gateway *gateway);
#endif
