#ifndef ROUTER_ROUTED_REQUEST_H
#define ROUTER_ROUTED_REQUEST_H
/**
 * A request to /v1/generate on its way through the steps of the rule that matches it, and the steps
 * themselves. Internal to the router's request path: generate_api.c interprets the rule,
 * request_admission.c, engine_selection.c, engine_wait.c and request_attempt.c are its steps.
 *
 * The steps return OK, or the error code that they also set in the request.
 */
#include "config.h"
#include "engine.h"
#include "http_request.h"

typedef struct router router;

enum { MAX_PREFIX_BYTES = 256, MAX_EXCLUDED_ENGINES = 8 };

/** What is known of the run of a request that failed; its client acts on it. */
enum run_outcome {
  /** No engine ran any of it: it is safe to send it again. */
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
  /** Unique over all runs of all routers; attempts add a number to it. */
  char request_id[64];
  /** The adapter is blank when the model itself is asked for. */
  id model, adapter;
  /** What the prompt begins with, for affinity; blank: unknown. */
  char prefix[MAX_PREFIX_BYTES];
  /** The kind, copied since the policy may change meanwhile, and its index in the policy. */
  request_kind kind;
  int class_index;
  /** The client allows a run that may have happened to be repeated. */
  bool resumable;

  /** Instants: hold_deadline ends the wait of the rule's hold step. received_at moves on when an
   * additional model replica was loaded for this request. */
  time_us received_at, deadline, hold_deadline;
  /** It is counted in the class as waiting, or as running. */
  bool counted_waiting, counted_running;
  /** It stands in the queue for an engine. */
  bool awaiting_engine;
  /** The engine to run on, once selected. */
  engine *engine;
  /** Engines that failed it; not tried again. */
  id excluded[MAX_EXCLUDED_ENGINES];
  int excluded_count;
  int load_attempts, attempts;
  enum run_outcome run_outcome;
  /** Some attempt may have run. */
  bool may_have_run;

  /** The last error, what to respond, and when the client may retry in ms (0: a default). */
  enum error_code error_code;
  char error_text[200];
  int64_t retry_after_ms;
} routed_request;

/** The outcome as clients are told: "not run", "unknown", "failed" or "run". */
const char *run_outcome_name(enum run_outcome outcome);
/** Sets the error of a request; returns its code. */
enum error_code routed_request_set_error(routed_request *request, enum error_code code,
                                         int64_t retry_after_ms, const char *format, ...)
    __attribute__((format(printf, 4, 5)));
/** True when an engine failed this request. */
bool routed_request_excludes(const routed_request *request, const engine *engine);
/** Excludes an engine from further attempts, while there is room to note it. */
void routed_request_exclude_engine(routed_request *request, const engine *engine);
/** The same for the engine of a name, if it is still listed. */
void routed_request_exclude(routed_request *request, id engine_id);

/** Admits a request to the queue, or sheds it: when the queue is full, or when the work ahead of it
 * takes longer than its deadline. */
enum error_code request_admission_admit(routed_request *request);
/** Routers that share the engines, this one included. */
int request_admission_count_routers(router *router);

/** Selects among the engines where the model is up and a slot is free: one that has served the
 * prefix, and for the rest near ones with few streams. NULL when there is none; *any: it is up
 * somewhere. */
engine *engine_selection_find_resident(routed_request *request, bool *any);
/** Selects the engine to load the model on. All routers rank engines alike, so their requests for
 * one model meet at one engine. NULL when there is none now; *fits: some engine is large enough. */
engine *engine_selection_find_load_target(routed_request *request, bool *fits);
/** True when no other request for the same model is to be served before this one. */
bool engine_selection_is_next(const routed_request *request);
/** Sets the engine if one is free and no other request waits for the same model. */
void engine_selection_select(routed_request *request);

/** Waits for a free engine, has the model loaded where it is up nowhere, and sets the engine. */
enum error_code engine_wait(routed_request *request);

/** Runs the request on an engine and passes the stream on; retries elsewhere while that is safe. */
enum error_code request_attempt_run(routed_request *request);
#endif
