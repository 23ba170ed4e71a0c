#ifndef ROUTER_GENERATE_API_H
#define ROUTER_GENERATE_API_H
/**
 * The router's HTTP service. POST /v1/generate takes a request through the steps of the first rule
 * of the policy that matches it (routed_request.h); everything else is a page (router_pages.c).
 */
#include "config.h"
#include "http_request.h"
#include "task.h"

typedef struct router router;

/** Requests of one kind of the policy: now, and since the start. */
typedef struct request_class {
  int waiting, running;
  uint64_t requested, completed;
  /** Ended with nothing run, or after something ran; and those of the former that were shed. */
  uint64_t refused, failed, shed;
} request_class;

/** State of all requests; written by generate_api.c and the steps of its requests. */
typedef struct generate_api {
  /** Of routed_request: in progress. */
  list_node admitted_requests;
  /** Of outgoing_load_request. */
  list_node outgoing_load_requests;
  /** By the policy's kinds. */
  request_class classes[REQUEST_KINDS_MAX];
  /** Retries that may be sent now; each request adds the policy's retry ratio. */
  double retry_budget;
  /** Smoothed duration of a stream in ms. */
  double smoothed_service_ms;
  /** Counts since the start. */
  uint64_t request_count, attempt_count, retry_count;
  /** Streams that belonged to another run, and requests refused because this router is isolated. */
  uint64_t mismatched_runs, isolated_refusals;
} generate_api;

void generate_api_init(generate_api *api);
/** Serves one HTTP request; context: the router. Returns when the response has ended. */
void generate_api_serve(void *context, http_request *request);
#endif
