/* Compares, in virtual time, what clients get under overload: early refusal with a Retry-After,
 * against long queues. usage: load [SEEDS] */
#include "fleet.h"
#include <stdio.h>
#include <stdlib.h>

typedef struct {
  double done[3], asked[3], refused, retries, attempts, loads, wasted, wait_median_ms,
      attempts_per_request, retry_after_count, peak_share, busy_unloads, evenness, chance_share;
} load_result;

static int compare_doubles(const void *a, const void *b) {
  double x = *(const double *)a, y = *(const double *)b;
  return x < y ? -1 : x > y;
}

/* The smallest share of answered requests of a router divided by the largest, from the clients'
 * records. */
static double evenness(const int *router, const bool *done, int request_count, int routers) {
  double low = 1, high = 0;
  for (int v = 0; v < routers; v++) {
    int requests = 0, answered = 0;
    for (int i = 0; i < request_count; i++)
      if (router[i] == v) {
        requests++;
        answered += done[i];
      }
    if (!requests)
      continue;
    low = MIN(low, (double)answered / requests);
    high = MAX(high, (double)answered / requests);
  }
  return high > 0 ? low / high : 1;
}

/* A permutation test: the share of 400 random reassignments of the outcomes to the same routers
 * that are at least as uneven as the measured one, which is stored in `measured`. */
static double chance_of_unevenness(fleet *fleet, guint first_request, double *measured) {
  loadgen *loadgen = fleet->callers->loadgen;
  int n = (int)(loadgen->requests->len - first_request), *router = g_new0(int, n), worse = 0;
  bool *done = g_new0(bool, n);
  GHashTable *first_attempts = g_hash_table_new(g_direct_hash, g_direct_equal);
  for (guint i = loadgen->attempts->len; i-- > 0;) {
    loadgen_attempt *attempt = &g_array_index(loadgen->attempts, loadgen_attempt, i);
    g_hash_table_insert(first_attempts, attempt->request, attempt);
  }
  for (int i = 0; i < n; i++) {
    loadgen_request *request = loadgen->requests->pdata[first_request + i];
    loadgen_attempt *attempt = g_hash_table_lookup(first_attempts, request);
    done[i] = request->outcome == OUTCOME_DONE;
    for (int v = 0; attempt && v < fleet->routers; v++)
      if (!strcmp(fleet->router[v]->addr, attempt->router))
        router[i] = v;
  }
  *measured = evenness(router, done, n, fleet->routers);
  for (int r = 0; r < 400; r++) {
    for (int i = n - 1; i > 0; i--) {
      int j = (int)sim_random(fleet->sim, i + 1);
      bool x = done[i];
      done[i] = done[j];
      done[j] = x;
    }
    worse += evenness(router, done, n, fleet->routers) <= *measured;
  }
  g_hash_table_destroy(first_attempts);
  g_free(router);
  g_free(done);
  return worse / 400.0;
}

static load_result run_load(uint64_t seed, bool long_queues, double per_s, double zipf, int tokens,
                            int models, int fault) {
  fleet *fleet = fleet_new(seed, 7, 9);
  fleet->models = models;
  fleet->adapters = 30;
  fleet->loads_per_s = 2;
  load_result r = { 0 };
  if (!fleet_bring_up(fleet)) {
    fleet_free(fleet);
    return r;
  }
  if (long_queues)
    fleet_put(
        fleet, "policy",
        "{\"loadsPerS\":2,\"startLoadMs\":1500,\"lineMost\":100000,\"kinds\":[{\"id\":\"live\",\"weight\":4,\"deadlineMs\":600000,\"share\":0.6},{\"id\":\"short\",\"weight\":4,\"deadlineMs\":600000,\"share\":0.25},{\"id\":\"deferred\",\"weight\":8,\"deadlineMs\":600000,\"share\":0.15}]}");
  loadgen *loadgen = fleet->callers->loadgen;
  loadgen->plan.zipf_exponent = zipf;
  loadgen->plan.tokens = tokens;
  fleet_run_traffic(fleet, 8, time_from_ms(10000));
  guint first_request = loadgen->requests->len;
  for (int i = 0; i < fleet->engines; i++) {
    engine_sim *engine = fleet->engine[i]->engine;
    if (fault == 1) {
      engine->faults.fail_loads = 3;
      engine->faults.unanswered_loads = 2;
      engine->faults.fail_unloads = 2;
      engine->faults.drop_orders = 1;
      engine->faults.order_delay_ms = 1500;
    }
    if (fault == 2 && i % 3 == 0) {
      engine->faults.slowdown = 4;
      engine->faults.token_ms = 120;
    }
  }
  loadgen->plan.timeout_ms = 20000;
  loadgen->plan.retries_max = 3;
  sim_run(fleet->sim, time_from_ms(1000));
  fleet_run_traffic(fleet, per_s, time_from_ms(15000));
  fleet_finish_traffic(fleet);
  GArray *first = g_array_new(FALSE, FALSE, sizeof(double));
  for (guint i = first_request; i < loadgen->requests->len; i++) {
    loadgen_request *request = loadgen->requests->pdata[i];
    int kind = !strcmp(request->kind.text, "live")    ? 0
               : !strcmp(request->kind.text, "short") ? 1
                                                      : 2;
    r.asked[kind]++;
    r.done[kind] += request->outcome == OUTCOME_DONE;
    r.refused += request->outcome == OUTCOME_NOT_RUN;
    r.attempts_per_request += request->attempt_count;
    if (request->outcome == OUTCOME_DONE) {
      double ms = (double)time_sub(request->first_event_at, request->started_at).us / 1000;
      g_array_append_val(first, ms);
    }
  }
  /* Of the requests refused with a Retry-After, the share that is to retry in the same, busiest
   * second. */
  double retries_by_second[120] = { 0 };
  for (guint i = first_request; i < loadgen->requests->len; i++) {
    loadgen_request *request = loadgen->requests->pdata[i];
    int64_t second =
        request->first_retry_at.us
            ? (request->first_retry_at.us -
               ((loadgen_request *)loadgen->requests->pdata[first_request])->started_at.us) /
                  1000000
            : -1;
    if (second >= 0 && second < 120) {
      retries_by_second[second]++;
      r.retry_after_count++;
      r.peak_share = MAX(r.peak_share, retries_by_second[second]);
    }
  }
  if (r.retry_after_count > 0)
    r.peak_share /= r.retry_after_count;
  r.attempts_per_request /= (double)(loadgen->requests->len - first_request);
  qsort(first->data, first->len, sizeof(double), compare_doubles);
  r.wait_median_ms = first->len ? g_array_index(first, double, first->len / 2) : 0;
  g_array_free(first, TRUE);
  for (int i = 0; i < fleet->routers; i++) {
    router *router = fleet->router[i]->router;
    r.retries += (double)router->requests.retry_count;
    r.attempts += (double)router->requests.attempt_count;
    r.loads += (double)router->loading.load_count;
    r.wasted += (double)router->loading.wasted_loads;
    r.busy_unloads += (double)router->loading.busy_unloads;
  }
  r.chance_share = chance_of_unevenness(fleet, first_request, &r.evenness);
  fleet_free(fleet);
  return r;
}

int main(int argc, char **argv) {
  int n = argc > 1 ? atoi(argv[1]) : 5;
  static const struct {
    const char *what;
    double per_s, zipf;
    int tokens, models, fault;
  } cases[] = { { "everyone at once", 150, 1, 300, 30, 0 },
                { "many rare models", 20, 0, 30, 90, 0 },
                { "orders fail", 12, 0.6, 30, 60, 1 },
                { "slow engines", 12, 0.6, 30, 60, 2 } };
  printf("%-18s %-13s %5s %9s %9s %9s %9s %9s %8s %7s %7s %8s %6s %6s %5s %6s %6s\n", "case", "way",
         "seed", "live", "short", "deferred", "wait ms", "refused", "tries", "loads", "wasted",
         "seconds", "sent", "peak", "busy", "nodes", "chance");
  for (int k = 0; k < 4; k++) {
    double gain = 0;
    for (int s = 1; s <= n; s++) {
      double total[2] = { 0 };
      for (int l = 0; l < 2; l++) {
        load_result r = run_load(s, l, cases[k].per_s, cases[k].zipf, cases[k].tokens,
                                 cases[k].models, cases[k].fault);
        total[l] = r.done[0] + r.done[1] + r.done[2];
        printf(
            "%-18s %-13s %5d %4.0f/%-4.0f %4.0f/%-4.0f %4.0f/%-4.0f %9.0f %9.0f %8.2f %7.0f %7.0f %8.3f %6.0f %6.3f %5.0f %6.2f %6.2f\n",
            cases[k].what, l ? "long queues" : "early refusal", s, r.done[0], r.asked[0], r.done[1],
            r.asked[1], r.done[2], r.asked[2], r.wait_median_ms, r.refused, r.attempts_per_request,
            r.loads, r.wasted, r.attempts > 0 ? r.retries / r.attempts : 0, r.retry_after_count,
            r.peak_share, r.busy_unloads, r.evenness, r.chance_share);
      }
      gain += total[1] > 0 ? total[0] / total[1] / n : 0;
    }
    printf("%-18s answers, early refusal over long queues, mean of the paired ratios: %.3f\n",
           cases[k].what, gain);
  }
  return 0;
}
