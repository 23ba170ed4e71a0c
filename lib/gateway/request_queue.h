/** Open requests of a gateway, and the queue of those that wait for an engine.
 *
 * The queue is ordered by arrival time plus PRIORITY_AGE_MS for each priority level: urgent
 * requests go first, and no request starves. */
#ifndef GATEWAY_REQUEST_QUEUE_H
#define GATEWAY_REQUEST_QUEUE_H
#include "world.h"

typedef struct gateway gateway;
typedef struct inflight_request inflight_request;

/** Written by forward.c (open) and request_queue.c (queue). */
typedef struct request_table {
  list_node open; /* of inflight_request, in order of arrival */
  int open_count;
  list_node queue; /* of inflight_request, in order of queue_rank */
} request_table;

/** Waits for a free slot or a model load as long as the request can still be served in time. OK
 * with a slot reserved; else the request's status and error text are set, unless the client has
 * left. */
enum error_code request_queue_wait(inflight_request *request);
/** Number of queued requests for the same model that come before this one. */
int request_queue_count_ahead(const inflight_request *request);
/** Starts the task that assigns freed slots to queued requests. */
void request_queue_start(gateway *gateway);
#endif
