#ifndef POLICY_REPLAY_POLICY_REPLAY_H
#define POLICY_REPLAY_POLICY_REPLAY_H
/**
 * Replays a trace on one engine through an eviction policy (lib/router/eviction_policy.c), to
 * compare policies: asterctl trial, bench/policies.c and tests do so. No router uses it.
 */
#include "trace.h"

/** What came of a replay. Every load serves the request that it is for, so one is wasted only when
 * it brings back what was unloaded too soon (WASTED_LOAD_WINDOW_FACTOR). */
typedef struct replay_result {
  uint64_t requests, hits, loads, wasted, unloads;
  /** Sum of all waits for loads. */
  double delay_ms;
} replay_result;

/** What may be varied; 0 means the default. capacity_share is for the callers, which make the
 * engine's capacity of it. */
typedef struct replay_options {
  double capacity_share, initial_load_ms, smoothing_factor;
  int64_t window_s;
} replay_options;

/** Replays a trace. Policies: those of eviction_policy.h; "belady" and "oracle", which know the
 * trace's future; and "expr:" before a formula. The capacity is in MB; options may be NULL. */
replay_result policy_replay_run(const trace *trace, const char *policy, uint64_t capacity_mb,
                                const replay_options *options, uint64_t seed);
#endif
