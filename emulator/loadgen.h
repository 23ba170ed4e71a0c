#ifndef EMULATOR_LOADGEN_H
#define EMULATOR_LOADGEN_H
/**
 * Load generator: callers that send requests to routers. Every request has a tag, and every event
 * of a response is checked against it.
 */
#include "json.h"
#include "log.h"
#include "world.h"

/** How a request ended, or an attempt of it. */
enum loadgen_outcome {
  OUTCOME_OPEN,        /* in progress */
  OUTCOME_DONE,        /* all events and a clean end were received */
  OUTCOME_NOT_RUN,     /* refused, and certainly not run */
  OUTCOME_UNKNOWN,     /* refused, but it may have run */
  OUTCOME_BROKEN,      /* it ran, and failed or ended early with an error */
  OUTCOME_NO_RESPONSE, /* no response */
  OUTCOME_WRONG,       /* a response that violates the protocol */
  OUTCOME_CALLER_GONE, /* the caller disconnected first */
  OUTCOME_COUNT
};

/** A request, over all its attempts. Times are 0 until their events occur. */
typedef struct loadgen_request {
  char tag[96];
  id model, adapter, kind;
  enum loadgen_outcome outcome;
  int status, code, tokens, retry_s, attempt_count;
  time_us started_at, first_event_at, ended_at;
  time_us first_retry_at; /* the time to which the first refusal deferred the retry */
  bool resumable;
} loadgen_request;

/** One attempt as the caller saw it; a request has several if it was retried. */
typedef struct loadgen_attempt {
  loadgen_request *request;
  char router[48];
  time_us started_at, first_event_at, ended_at;
  enum loadgen_outcome outcome;
  int status, code, retry_s;
} loadgen_attempt;

enum { LOADGEN_KINDS = 3 };

/** What the generator sends. */
typedef struct loadgen_plan {
  GPtrArray *routers;        /* char *: addresses */
  GArray *models, *adapters; /* targets, the most requested first; see loadgen_add_target */
  double requests_per_s, zipf_exponent;
  double adapter_ratio; /* share of requests for adapters */
  double leave_ratio;   /* share of callers that disconnect early */
  int kind_share[LOADGEN_KINDS], tokens;
  const char *kinds[LOADGEN_KINDS];
  int prefixes, retries_max;
  int64_t timeout_ms; /* after which callers disconnect; 0: never */
} loadgen_plan;

/** A load generator; free it with loadgen_free. */
typedef struct loadgen {
  world *world;
  loadgen_plan plan;
  GPtrArray *requests; /* loadgen_request * */
  GArray *attempts;    /* loadgen_attempt */
  int open_requests;
  uint64_t count;
  bool stop;
  condition idle; /* a request has ended */
  id self;
} loadgen;

/** Returns a generator with the default plan, without routers and targets. */
loadgen *loadgen_new(world *world, id self);
/** Frees a generator and its records; its tasks must have ended. */
void loadgen_free(loadgen *loadgen);
/** Adds a model (adapter empty), or an adapter on it, that requests may name. */
void loadgen_add_target(loadgen *loadgen, id model, id adapter);
/** Sends one request in a task of its own; the returned request may be read while it runs. */
loadgen_request *loadgen_send(loadgen *loadgen, const char *router, id model, id adapter, id kind,
                              int tokens, bool resumable);
/** Sends requests according to the plan until stop is set, in a task of its own. */
void loadgen_start(loadgen *loadgen);
/** Appends the outcomes as JSON. */
void loadgen_json(loadgen *loadgen, GString *to);
/** Returns how many requests have an outcome. */
int loadgen_count(const loadgen *loadgen, enum loadgen_outcome outcome);
#endif
