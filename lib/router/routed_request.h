#ifndef ROUTER_ROUTED_REQUEST_H
#define ROUTER_ROUTED_REQUEST_H
/**
 * A request to /v1/generate while it runs through the steps of the matching rule, and the steps
 * themselves. Internal to the router's request path: generate_api.c interprets the rule;
 * request_admission.c, engine_selection.c, engine_wait.c and request_attempt.c implement the steps.
 *
 * Each step returns OK or the error code that it also sets in the request.
 */
#include "config.h"
#include "engine.h"
#include "http_request.h"

typedef struct router router;

enum { MAX_PREFIX_BYTES = 256, MAX_EXCLUDED_ENGINES = 8 };

/** What is known about the execution of a request. It is reported to the client of a failed
 * request, which decides by it whether to retry. */
enum run_outcome {
  /** No engine ran any part of it, so it is safe to send it again. */
  NOT_RUN,
  /** An engine may have run it. */
  RUN_UNKNOWN,
  /** An engine ran it and failed. */
  RUN_FAILED,
  /** The response has begun. */
  RUN_STARTED
};

typedef struct routed_request {
  list_node queue_link;
  router *router;
  http_request *http;
  /** Unique across all process runs of all routers; attempts append a number to it. */
  char request_id[64];
  /** The adapter is empty when the model itself is requested. */
  id model, adapter;
  /** Prefix of the prompt, for cache affinity; empty if unknown. */
  char prefix[MAX_PREFIX_BYTES];
  /** The kind, copied because the policy may change while the request is served, and its index in
   * the policy. */
  request_kind kind;
  int policy_kind_index;
  /** The client allows the request to be run again even if it may already have run. */
  bool resumable;

  /** hold_deadline ends the wait of the rule's hold step. received_at is reset when the load of
   * an extra replica for this request ends. */
  time_us received_at, deadline, hold_deadline;
  /** Whether it is counted as waiting or as running in the counts of its kind. */
  bool counted_waiting, counted_running;
  /** It is queued for an engine. */
  bool awaiting_engine;
  /** The engine to run on, once selected. */
  engine *engine;
  /** Engines that failed this request and are not tried again. */
  id excluded[MAX_EXCLUDED_ENGINES];
  int excluded_count;
  int load_attempts, attempts;
  enum run_outcome run_outcome;
  /** At least one attempt may have run. */
  bool may_have_run;

  /** The last error, its text in the response, and the time in ms after which the client may retry
   * (0: the default). */
  enum error_code error_code;
  char error_text[200];
  int64_t retry_after_ms;
} routed_request;

/** Returns the name of an outcome as sent to clients: "not run", "unknown", "failed" or "run". */
const char *run_outcome_name(enum run_outcome outcome);
/** Sets the error of a request and returns its code. */
enum error_code routed_request_set_error(routed_request *request, enum error_code code,
                                         int64_t retry_after_ms, const char *format, ...)
    __attribute__((format(printf, 4, 5)));
/** Returns true when an engine is excluded from this request. */
bool routed_request_excludes(const routed_request *request, const engine *engine);
/** Excludes an engine from further attempts; ignored when MAX_EXCLUDED_ENGINES are already
 * excluded. */
void routed_request_exclude_engine(routed_request *request, const engine *engine);
/** Like routed_request_exclude_engine, for the engine with the given name if it still exists. */
void routed_request_exclude_by_id(routed_request *request, id engine_id);

/** Admits a request to the queue, or sheds it when the queue is full or when the expected wait
 * exceeds its deadline. */
enum error_code request_admission_admit(routed_request *request);
/** Returns the number of routers that share the engines, including this one. */
int request_admission_count_routers(router *router);

/** Selects an engine on which the model is up and a slot is free. Requests with a prefix prefer the
 * engine that the prefix hashes to; others prefer engines in the same zone with few streams.
 * Returns NULL when there is none; *up_somewhere says whether the model is up on any usable engine.
 */
engine *engine_selection_find_free_engine(routed_request *request, bool *up_somewhere);
/** Selects the engine to load the model on. All routers rank engines identically, so their load
 * requests for a model go to the same engine. Returns NULL when there is none now; *fits says
 * whether any listed engine is large enough. */
engine *engine_selection_find_load_target(routed_request *request, bool *fits);
/** Returns true when no other request for the same model is ahead of this one. */
bool engine_selection_is_next(const routed_request *request);
/** Sets the engine if one is free and no other request waits for the same model. */
void engine_selection_select(routed_request *request);

/** Waits for a free engine and sets it, and has the model loaded if it is up nowhere. */
enum error_code engine_wait(routed_request *request);

/** Runs the request on an engine and relays the stream to the client; retries on other engines
 * while that is safe. */
enum error_code request_attempt_run(routed_request *request);
#endif
