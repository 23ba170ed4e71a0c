#ifndef ROUTER_GENERATE_API_H
#define ROUTER_GENERATE_API_H
/**
 * The router's HTTP API. POST /v1/generate runs a request through the steps of the first policy
 * rule that matches it (routed_request.h); all other paths are pages (router_pages.c).
 */
#include "config.h"
#include "http_request.h"
#include "task.h"

typedef struct router router;

/** Counts of the requests of one policy kind: current ones, and totals since the process started.
 */
typedef struct request_kind_stats {
  int waiting, running;
  uint64_t requested, completed;
  /** Requests that failed without running, requests that failed after they may have run, and those
   * of the former that were shed. */
  uint64_t refused, failed, shed;
} request_kind_stats;

/** State of all requests; written by generate_api.c and the steps of requests. */
typedef struct generate_api {
  /** Requests in progress, of type routed_request. */
  list_node admitted_requests;
  /** Elements of type outgoing_load_request. */
  list_node outgoing_load_requests;
  /** Indexed by policy kind. */
  request_kind_stats kind_stats[REQUEST_KINDS_MAX];
  /** Number of retries that may be sent now; each request adds the policy's retry ratio. */
  double retry_budget;
  /** Smoothed duration of a stream in ms. */
  double smoothed_service_ms;
  /** Counts since the process started. */
  uint64_t request_count, attempt_count, retry_count;
  /** Streams that belonged to another attempt, and requests refused because this router is
   * isolated. */
  uint64_t mismatched_streams, isolated_refusals;
} generate_api;

void generate_api_init(generate_api *api);
/** Serves one HTTP request; `context` is the router. Returns when the response has ended. */
void generate_api_serve(void *context, http_request *request);
#endif
