#ifndef EMULATOR_LOADGEN_H
#define EMULATOR_LOADGEN_H
/**
 * Load generator: callers that send requests to routers. Every request carries a tag, and every
 * event that comes back is checked against it.
 */
#include "json.h"
#include "log.h"
#include "world.h"

/** How a request ended, or an attempt of it. */
enum loadgen_outcome {
  OUTCOME_OPEN,      /* not ended */
  OUTCOME_DONE,      /* all events came, and a clean end */
  OUTCOME_NOT_RUN,   /* refused; surely not run */
  OUTCOME_UNKNOWN,   /* refused; it may have run */
  OUTCOME_BROKEN,    /* it ran, and broke off with an error that said so */
  OUTCOME_NO_ANSWER, /* no response */
  OUTCOME_WRONG,     /* a response that breaks the protocol */
  OUTCOME_LEFT,      /* the caller left first */
  OUTCOME_COUNT
};

/** A request, over all its attempts. Instants are 0 until they come. */
typedef struct loadgen_request {
  char tag[96];
  id model, adapter, kind;
  enum loadgen_outcome outcome;
  int status, code, tokens, retry_s, attempt_count;
  time_us started_at, first_event_at, ended_at;
  time_us back; /* when a retry was first asked for */
  bool resumable;
} loadgen_request;

/** One attempt, as the caller saw it; a request has several when it was told to retry. */
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
  double leave_ratio;   /* share of callers that leave early */
  int kind_share[LOADGEN_KINDS], tokens;
  const char *kinds[LOADGEN_KINDS];
  int prefixes, attempts_max;
  int64_t timeout_ms; /* 0: callers don't leave by time */
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

/** Returns a generator with the usual plan, and no routers and targets. */
loadgen *loadgen_new(world *world, id self);
/** Frees a generator and its records; its tasks must have ended. */
void loadgen_free(loadgen *loadgen);
/** Adds a model (adapter empty), or an adapter on it, that requests may name. */
void loadgen_add_target(loadgen *loadgen, id model, id adapter);
/** Sends one request in a task of its own; the request may be looked at while it runs. */
loadgen_request *loadgen_send(loadgen *loadgen, const char *router, id model, id adapter, id kind,
                              int tokens, bool resumable);
/** Sends by the plan until stop, in a task of its own. */
void loadgen_start(loadgen *loadgen);
/** Appends the outcomes as JSON. */
void loadgen_json(loadgen *loadgen, GString *to);
/** Returns how many requests ended in a way. */
int loadgen_count(const loadgen *loadgen, enum loadgen_outcome outcome);
#endif
