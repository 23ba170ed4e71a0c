/** Open requests of a gateway, and the queue of those that wait for an engine.
 *
 * The queue is ordered by arrival, where each step of priority counts as PRIORITY_AGE_MS of
 * waiting: urgent requests go first, and no request starves. */
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

/** Waits for a slot or a load, for as long as that can help. OK with a slot reserved; else the
 * request's status and text are set. */
enum error_code request_queue_wait(inflight_request *request);
/** Number of requests that wait for the same model and come first. */
int request_queue_count_ahead(const inflight_request *request);
/** Starts the task that gives slots that come free to requests in the queue. */
void request_queue_start(gateway *gateway);
#endif
