/** Tests of lib/router/policy_replay.c: eviction policies over recorded and generated traces. No
 * fleet is started. */
#include "policy_replay.h"
#include "scenario.h"
#include "tests.h"

/* the source's table, through the same victim choice that the holder uses */
static bool the_paper_is_met(fleet *fleet) {
  trace *t = trace_reference_example();
  replay_result b = policy_replay_run(t, "belady", 2, NULL, fleet->seed),
                o = policy_replay_run(t, "oracle", 2, NULL, fleet->seed);
  trace_free(t);
  if (b.loads != 8 || b.delay_ms != 17)
    violation(fleet, "BeladyMIN misses %" PRIu64 " times at cost %g, not 8 at 17", b.loads,
              b.delay_ms);
  if (o.loads != 8 || o.delay_ms != 13)
    violation(fleet, "the oracle misses %" PRIu64 " times at cost %g, not 8 at 13", o.loads,
              o.delay_ms);
  /* where things are equal the rule is popularity's; over drawn traces it beats chance, and the
   * oracle beats it */
  double worth[3] = { 0 };
  for (int i = 1; i <= 5; i++) {
    trace_plan p = { .model_count = 40,
                     .request_count = 1500,
                     .zipf_exponent = 0.9,
                     .requests_per_s = 1,
                     .burst_probability = 0.01,
                     .seed = fleet->seed * 100 + i };
    trace *d = trace_generate(&p);
    uint64_t room = trace_total_mb(d) * 3 / 10;
    worth[0] += policy_replay_run(d, "cremebrulee", room, NULL, 1).delay_ms;
    worth[1] += policy_replay_run(d, "random", room, NULL, 1).delay_ms;
    worth[2] += policy_replay_run(d, "oracle", room, NULL, 1).delay_ms;
    for (guint k = 0; k < d->models->len; k++) {
      trace_model *x = &g_array_index(d->models, trace_model, k);
      x->weights_mb = 1000;
      x->load_ms = 2000;
    }
    /* the rule written as an expression makes the very same choices */
    replay_result w1 = policy_replay_run(d, "cremebrulee", room, NULL, 1),
                  w2 = policy_replay_run(d, "expr:penalty * rate / size", room, NULL, 1);
    if (w1.loads != w2.loads || w1.delay_ms != w2.delay_ms || w1.wasted != w2.wasted)
      violation(fleet, "as an expression the rule loads %" PRIu64 " times, built in %" PRIu64,
                w2.loads, w1.loads);
    replay_options same = { .initial_load_ms = 2000 };
    replay_result c = policy_replay_run(d, "cremebrulee", 12000, &same, 1),
                  q = policy_replay_run(d, "popularity", 12000, &same, 1);
    if (c.loads != q.loads || c.delay_ms != q.delay_ms)
      violation(fleet, "with equal things the rule loads %" PRIu64 " times and popularity %" PRIu64,
                c.loads, q.loads);
    trace_free(d);
  }
  if (!(worth[2] < worth[0] && worth[0] < worth[1]))
    violation(fleet, "delays: oracle %g, rule %g, random %g", worth[2], worth[0], worth[1]);
  return true;
}

const test_case policy_replay_tests[] = { { "the_paper_is_met", the_paper_is_met, 1, 1, 50 },
                                          { NULL, NULL, 0, 0, 0 } };
