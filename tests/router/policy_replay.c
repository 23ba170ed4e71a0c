/** Tests of lib/policy_replay/policy_replay.c: eviction policies on the reference example and on
 * generated traces. No fleet is started. */
#include "policy_replay.h"
#include "scenario.h"
#include "tests.h"

enum { TRACES = 5 };

/* checks the costs of the reference example, computed with the same eviction policy that lease
 * holders use */
static void check_reference_example(fleet *fleet) {
  trace *example = trace_reference_example();
  replay_result belady = policy_replay_run(example, "belady", 2, NULL, fleet->seed),
                oracle = policy_replay_run(example, "oracle", 2, NULL, fleet->seed);
  trace_free(example);
  if (belady.loads != 8 || belady.delay_ms != 17)
    fleet_add_violation(fleet, "BeladyMIN misses %" PRIu64 " times at cost %g, not 8 at 17",
                        belady.loads, belady.delay_ms);
  if (oracle.loads != 8 || oracle.delay_ms != 13)
    fleet_add_violation(fleet, "the oracle misses %" PRIu64 " times at cost %g, not 8 at 13",
                        oracle.loads, oracle.delay_ms);
}

static trace *draw_trace(const fleet *fleet, int number) {
  trace_plan plan = { .model_count = 40,
                      .request_count = 1500,
                      .zipf_exponent = 0.9,
                      .requests_per_s = 1,
                      .burst_probability = 0.01,
                      .seed = fleet->seed * 100 + number };
  return trace_generate(&plan);
}

static void make_models_equal(trace *trace) {
  for (guint i = 0; i < trace->models->len; i++) {
    trace_model *model = &g_array_index(trace->models, trace_model, i);
    model->weights_mb = 1000;
    model->load_ms = 2000;
  }
}

/* the policy written as an expression makes the same choices as the built-in policy */
static void check_expression(fleet *fleet, const trace *trace, uint64_t capacity_mb) {
  replay_result built_in = policy_replay_run(trace, "cremebrulee", capacity_mb, NULL, 1),
                expression =
                    policy_replay_run(trace, "expr:penalty * rate / size", capacity_mb, NULL, 1);
  if (built_in.loads != expression.loads || built_in.delay_ms != expression.delay_ms ||
      built_in.wasted != expression.wasted)
    fleet_add_violation(fleet,
                        "as an expression the policy loads %" PRIu64 " times, built in %" PRIu64,
                        expression.loads, built_in.loads);
}

/* when all models have the same size and load time, the policy is equivalent to popularity */
static void check_equal_models(fleet *fleet, const trace *trace) {
  replay_options options = { .initial_load_ms = 2000 };
  replay_result rule = policy_replay_run(trace, "cremebrulee", 12000, &options, 1),
                popularity = policy_replay_run(trace, "popularity", 12000, &options, 1);
  if (rule.loads != popularity.loads || rule.delay_ms != popularity.delay_ms)
    fleet_add_violation(
        fleet, "with equal models the policy loads %" PRIu64 " times and popularity %" PRIu64,
        rule.loads, popularity.loads);
}

static bool reference_costs_are_reproduced(fleet *fleet) {
  check_reference_example(fleet);
  /* on generated traces the policy is better than random, and the oracle is better than the
     policy */
  double rule_ms = 0, random_ms = 0, oracle_ms = 0;
  for (int i = 1; i <= TRACES; i++) {
    trace *drawn = draw_trace(fleet, i);
    uint64_t capacity_mb = trace_total_mb(drawn) * 3 / 10;
    rule_ms += policy_replay_run(drawn, "cremebrulee", capacity_mb, NULL, 1).delay_ms;
    random_ms += policy_replay_run(drawn, "random", capacity_mb, NULL, 1).delay_ms;
    oracle_ms += policy_replay_run(drawn, "oracle", capacity_mb, NULL, 1).delay_ms;
    make_models_equal(drawn);
    check_expression(fleet, drawn, capacity_mb);
    check_equal_models(fleet, drawn);
    trace_free(drawn);
  }
  if (!(oracle_ms < rule_ms && rule_ms < random_ms))
    fleet_add_violation(fleet, "delays: oracle %g, policy %g, random %g", oracle_ms, rule_ms,
                        random_ms);
  return true;
}

const test_case policy_replay_tests[] = { { "reference_costs_are_reproduced",
                                            reference_costs_are_reproduced, 1, 1, 50 },
                                          { NULL, NULL, 0, 0, 0 } };
