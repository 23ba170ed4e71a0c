/** A fleet without faults serves its callers. Fleet: three controllers, five routers, six engines.
 */
#include "scenario.h"
#include "tests.h"
#include <stdio.h>

static bool serves(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  fleet_run_traffic(fleet, 8, time_from_ms(20000));
  fleet_finish_traffic(fleet);
  loadgen *loadgen = fleet->callers->loadgen;
  if (g_getenv("SIM_COUNT")) {
    GString *b = g_string_new(NULL);
    loadgen_json(loadgen, b);
    fprintf(stderr, "%s", b->str);
    g_string_free(b, TRUE);
  }
  return loadgen_count(loadgen, OUTCOME_DONE) > (int)loadgen->requests->len * 7 / 10;
}

const test_case serving_tests[] = { { "serves", serves, 5, 6, 100 }, { NULL, NULL, 0, 0, 0 } };
