#ifndef ROUTER_TRIAL_H
#define ROUTER_TRIAL_H
#include "event_history.h"
#include "eviction_policy.h"

/** A thing that a trace asks for. */
typedef struct trace_model {
  id self;
  uint64_t weights_mb;
  double load_ms;
} trace_model;
/** One request of a trace. */
typedef struct trace_request {
  time_us at;
  int model_index;
} trace_request;
typedef struct trace {
  GArray *models, *requests;
} trace;
/** How popularity goes with load time, as in the paper's workloads. */
enum popularity_relation {
  POPULARITY_INDEPENDENT,
  POPULARITY_RISES_WITH_LOAD_TIME,
  POPULARITY_FALLS_WITH_LOAD_TIME
};
typedef struct trace_plan {
  int model_count, request_count;
  double zipf_exponent, requests_per_s, burst_probability;
  enum popularity_relation relation;
  uint64_t seed;
} trace_plan;
/** What a policy made of a trace. */
/** Here every load serves the request that it is for, so one is wasted only when it brings back
 * what went too soon. */
typedef struct replay_result {
  uint64_t requests, hits, loads, wasted, unloads;
  double delay_ms;
} replay_result;
/** What is varied in a trial; 0 means the default. */
typedef struct replay_options {
  double capacity_share, initial_load_ms, smoothing_factor;
  int64_t window_s;
} replay_options;

/** Draws a trace: the same plan and seed give the same one. */
trace *trace_generate(const trace_plan *p);
/** Reads lines of "ms name weights_mb load_ms"; NULL with err set when it is none. */
trace *trace_parse(string_view text, error *err);
void trace_free(trace *trace);
/** The megabytes of all things of a trace. */
uint64_t trace_total_mb(const trace *trace);
/** Replays a trace on one engine through the placement's own victim choice. Policies: those of
 * policy.h, and the oracles "belady" and "oracle", which know the future and exist only here; and
 * "expr:" before an expression. Room is in MB. */
replay_result policy_replay_run(const trace *trace, const char *name, uint64_t room,
                                const replay_options *k, uint64_t seed);
/** The paper's table of 14 requests. */
trace *trace_reference_example(void);
#endif
