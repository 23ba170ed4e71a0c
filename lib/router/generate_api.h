#ifndef ROUTER_GENERATE_API_H
#define ROUTER_GENERATE_API_H
/**
 * The router's HTTP service: POST /v1/generate and the pages.
 */
#include "config.h"
#include "http.h"
#include "task.h"

typedef struct router router;

/** Load of one kind of request, the kinds being those of the policy. */
typedef struct request_class {
  int waiting, running;
  uint64_t requested, completed, refused, failed, shed;
} request_class;

/** A load request that this router has sent to the holder of an engine's lease. */
typedef struct outgoing_load_request {
  list_node link;
  id engine_id, model, adapter;
  int error_code;
  bool done;
  int waiters;
  uint64_t retry_after_ms;
  condition changed;
  router *router;
  unsigned priority_weight;
  time_us deadline;
} outgoing_load_request;

/** Owned by generate_api.c. */
typedef struct generate_api {
  list_node outgoing_load_requests, admitted_requests;
  request_class classes[REQUEST_KINDS_MAX];
  /** Retries that may be sent; requests add to it. */
  double retry_budget;
  /** Smoothed duration of a stream. */
  double smoothed_service_ms;
  uint64_t mismatched_runs, isolated_refusals;
} generate_api;

void generate_api_init(generate_api *api);
/** Serves a request. */
void generate_api_serve(void *router, http_request *request);
#endif
