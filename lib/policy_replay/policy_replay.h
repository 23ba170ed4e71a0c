#ifndef POLICY_REPLAY_POLICY_REPLAY_H
#define POLICY_REPLAY_POLICY_REPLAY_H
/**
 * Replays a trace on one engine with an eviction policy (lib/router/eviction_policy.c), to compare
 * policies offline. Used by `asterctl trial` and tests; routers do not use it.
 */
#include "trace.h"

/** The result of a replay. Every load serves the request that caused it, so a load counts as wasted
 * only when the model was unloaded too shortly before (WASTED_LOAD_WINDOW_FACTOR). */
typedef struct replay_result {
  uint64_t requests, hits, loads, wasted, unloads;
  /** The sum of the load times for which requests waited. */
  double delay_ms;
} replay_result;

/** The parameters of a replay; 0 means the default. policy_replay_run ignores capacity_share: its
 * callers compute capacity_mb from it. */
typedef struct replay_options {
  double capacity_share, initial_load_ms, smoothing_factor;
  int64_t window_s;
} replay_options;

/** Replays a trace. The policy is one of eviction_policy.h; "belady" or "oracle", which know the
 * future of the trace; or a formula after "expr:". The capacity is in MB; options may be NULL. */
replay_result policy_replay_run(const trace *trace, const char *policy, uint64_t capacity_mb,
                                const replay_options *options, uint64_t seed);
#endif
