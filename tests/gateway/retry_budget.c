#include "fixture.h"

static const char plain[] =
    "{\"version\":1,\"routes\":[{\"name\":\"a\",\"host\":\"svc.example\",\"prefix\":\"/a/\",\"mode\":\"safe\",\"timeoutMs\":3000,\"targetMs\":500,\"priority\":0,\"service\":\"svc\",\"attempts\":3}],\"services\":[{\"name\":\"svc\",\"health\":\"/health\"}]}";

static bool node_shares_stay_within_the_fleet_limit(fleet *fleet) {
  for (int nodes = 1; nodes <= 40; nodes++)
    for (int k = 0; k < 20; k++) {
      double slack = 5 + (double)sim_random(fleet->sim, 80),
             ratio = (double)sim_random(fleet->sim, 50) / 100, total = 0, requests = 0;
      for (int i = 0; i < nodes; i++) {
        double own = (double)sim_random(fleet->sim, 400);
        requests += own;
        total += retry_budget_node_share(slack, ratio, nodes, own);
      }
      if (total > ratio * requests + slack + 1e-9)
        fleet_add_violation(fleet, "%d nodes may use %.1f of %.1f retries", nodes, total,
                            ratio * requests + slack);
      if (total < 0.5 * slack - 1e-9)
        fleet_add_violation(fleet, "%d nodes may use only %.1f of a slack of %.1f", nodes, total,
                            slack);
    }
  return true;
}

/* Whatever the pattern of requests, no window of the retry limit contains more retries than the
 * share of one gateway. */
static bool no_window_exceeds_the_retry_budget(fleet *fleet) {
  fixture *fixture = fixture_new(fleet, plain, false, 1, 4);
  const service *service = routing_find_service(fixture->gateway->routing, "svc");
  enum { STEPS = 1200, STEP_MS = 50, WINDOW = 10000 / STEP_MS };
  int requests[STEPS] = { 0 }, retries[STEPS] = { 0 }, total = 0;
  for (int i = 0; i < STEPS; i++) {
    int64_t rate = i / 200 % 3 == 0 ? 8 : i / 200 % 3 == 1 ? 0 : 2;
    for (int64_t k = 0; k < rate; k++)
      if (sim_random(fleet->sim, 3) == 0) {
        retry_budget_record_request(fixture->gateway, service);
        requests[i]++;
      }
    for (int k = 0; k < 3; k++)
      if (retry_budget_take(fixture->gateway, service)) {
        retries[i]++;
        total++;
      }
    sim_run(fleet->sim, time_from_ms(STEP_MS));
  }
  for (int i = 0; i + WINDOW <= STEPS; i++) {
    int window_requests = 0, window_retries = 0, half = 0, before = 0;
    for (int k = 0; k < WINDOW; k++) {
      window_requests += requests[i + k];
      window_retries += retries[i + k];
      if (i >= WINDOW / 2)
        half += requests[i + k - WINDOW / 2];
      if (i >= WINDOW)
        before += requests[i + k - WINDOW];
    }
    double limit = 0.2 * MAX(window_requests, MAX(half, before)) + 50;
    if (window_retries > limit)
      fleet_add_violation(fleet, "the window from step %d has %d retries, more than %.1f", i,
                          window_retries, limit);
  }
  if (total < 25)
    fleet_add_violation(fleet, "only %d retries were granted in a minute", total);
  fixture_free(fixture);
  return true;
}

const test_case retry_budget_tests[] = {
  { "node_shares_stay_within_the_fleet_limit", node_shares_stay_within_the_fleet_limit, 1, 1, 50 },
  { "no_window_exceeds_the_retry_budget", no_window_exceeds_the_retry_budget, 1, 1, 50 },
  { NULL, NULL, 0, 0, 0 }
};
