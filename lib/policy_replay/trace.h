#ifndef POLICY_REPLAY_TRACE_H
#define POLICY_REPLAY_TRACE_H
/**
 * Traces of requests for models: generated at random, parsed from text, or the example of the
 * paper.
 */
#include "base.h"

/** A model that a trace requests. */
typedef struct trace_model {
  id self;
  uint64_t weights_mb;
  double load_ms;
} trace_model;

/** One request of a trace; model_index is an index into the models of the trace. */
typedef struct trace_request {
  time_us at;
  int model_index;
} trace_request;

/** Arrays of trace_model and of trace_request; the requests are sorted by time. */
typedef struct trace {
  GArray *models, *requests;
} trace;

/** How popularity correlates with load time, as in the paper's workloads. */
enum popularity_relation {
  POPULARITY_INDEPENDENT,
  POPULARITY_RISES_WITH_LOAD_TIME,
  POPULARITY_FALLS_WITH_LOAD_TIME
};

/** The parameters of a generated trace. Popularity follows a Zipf distribution, arrivals are a
 * Poisson process, and each request starts a burst for one model with burst_probability. */
typedef struct trace_plan {
  int model_count, request_count;
  double zipf_exponent, requests_per_s, burst_probability;
  enum popularity_relation relation;
  uint64_t seed;
} trace_plan;

/** Generates a trace, which depends only on the plan with its seed. Free it with trace_free. */
trace *trace_generate(const trace_plan *plan);
/** Parses lines of "ms name weights_mb load_ms"; NULL with err set when the text is malformed. */
trace *trace_parse(string_view text, error *err);
/** The example of the paper: 14 requests for three models. */
trace *trace_reference_example(void);
/** Frees a trace; NULL is allowed. */
void trace_free(trace *trace);
/** The total weights of all models of a trace, in MB. */
uint64_t trace_total_mb(const trace *trace);
/** The next number of the generator splitmix64. */
uint64_t splitmix64_next(uint64_t *state);
#endif
