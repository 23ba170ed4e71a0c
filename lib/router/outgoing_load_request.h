#ifndef ROUTER_OUTGOING_LOAD_REQUEST_H
#define ROUTER_OUTGOING_LOAD_REQUEST_H
/**
 * Load requests that this router sends to the holder of an engine's lease, which handles them in
 * load_queue.c. All requests that need the same model on the same engine share one load request,
 * and one task resends it until there is an outcome.
 */
#include "engine.h"

typedef struct outgoing_load_request {
  list_node link;
  router *router;
  id engine_id, model, adapter;
  /** Highest weight, and latest deadline, of the requests that share it. */
  unsigned priority_weight;
  time_us deadline;
  /** Number of requests that share it; when it drops to 0, the load request ends and is freed. */
  int waiters;
  /** Once done: the outcome, and when to retry. */
  bool done;
  enum error_code error_code;
  uint64_t retry_after_ms;
} outgoing_load_request;

/** Joins the load request for a model on an engine, or starts one. The caller must call
 * outgoing_load_request_leave. */
outgoing_load_request *outgoing_load_request_join(engine *engine, id model, id adapter,
                                                  unsigned priority_weight, time_us deadline);
void outgoing_load_request_leave(outgoing_load_request *load);
#endif
