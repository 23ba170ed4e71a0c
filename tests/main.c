/**
 * Runs the tests: `tests [--list | NAME [SEED]]`. Without a name all tests run, each for its share
 * of the seeds. Each run gets a new simulated fleet.
 *
 * Environment: SEEDS is the number of seeds and FROM the seed before the first one. ROUTERS and
 * ENGINES override the numbers of routers and engines of every fleet.
 */
#include "fleet/random_faults.h"
#include "tests.h"
#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>

enum { SEEDS_DEFAULT = 6, EXIT_USAGE = 2 };

/** Options of a run, from the command line and the environment. */
typedef struct run_options {
  const char *name;     /* the only test to run; NULL: all */
  uint64_t seed;        /* the only seed; 0: all */
  uint64_t seed_base;   /* the seed before the first one */
  int seeds;            /* number of seeds for a seed_percent of 100 */
  int routers, engines; /* override those of the tests unless 0 */
} run_options;

static const test_case *const test_lists[] = {
  /* configuration */
  canary_tests,
  delta_tests,
  formula_tests,
  routing_tests,
  settings_tests,
  /* control plane */
  catch_up_tests,
  chain_join_tests,
  chain_repair_tests,
  controller_tests,
  replica_tests,
  controller_cutoff_tests,
  config_change_tests,
  engine_registry_tests,
  rejoin_tests,
  replication_tests,
  view_change_tests,
  wal_tests,
  wal_restart_tests,
  /* doctor and operators */
  doctor_tests,
  operator_tests,
  /* emulator */
  check_tests,
  day_tests,
  /* gateway */
  retry_budget_tests,
  drain_tests,
  forward_tests,
  gateway_tests,
  loader_tests,
  placement_tests,
  capacity_account_tests,
  /* HTTP */
  fields_tests,
  /* membership */
  failure_detector_tests,
  node_tests,
  peer_channel_socket_tests,
  peer_channel_tests,
  /* router */
  config_sync_tests,
  engine_list_tests,
  generate_api_tests,
  model_loading_tests,
  policy_replay_tests,
  singleton_lease_tests,
  /* runtime */
  real_disk_tests,
  log_tests,
  /* compatibility with earlier versions */
  compatibility_tests,
  outward_tests,
  stored_data_tests,
  /* fleet */
  corrupt_bytes_tests,
  input_fuzzing_tests,
  loss_tests,
  partition_tests,
  random_fault_tests,
  serving_tests,
  zone_loss_tests,
};

static run_options options = { .seeds = SEEDS_DEFAULT };
/* The tests of this run, and how many of them have started. CUnit passes no context to a test, but
 * calls the tests in the order in which they were added. */
static GPtrArray *selected_tests;
static guint started_tests;

static bool run_seed(const test_case *test, uint64_t seed, int routers, int engines) {
  fleet *fleet = fleet_new(seed, routers, engines);
  bool passed = test->run(fleet);
  passed = fleet_check_all(fleet) && passed;
  fleet_free(fleet);
  if (passed)
    return true;
  random_faults_shrink(test->run, seed, routers, engines);
  fprintf(stderr, "test %s failed; repeat with: tests %s %" PRIu64 "\n", test->name, test->name,
          seed);
  return false;
}

/* Runs a test for its seeds; prints each that fails with the command that repeats it. */
static void run_test(const test_case *test) {
  int routers = options.routers ? options.routers : test->routers,
      engines = options.engines ? options.engines : test->engines, failed = 0;
  if (options.seed) {
    failed = !run_seed(test, options.seed, routers, engines);
  } else {
    int seeds = MAX(1, options.seeds * test->seed_percent / 100);
    for (int i = 1; i <= seeds; i++)
      failed += !run_seed(test, options.seed_base + (uint64_t)i, routers, engines);
  }
  CU_ASSERT_EQUAL(failed, 0);
}

static void run_next_test(void) {
  run_test(selected_tests->pdata[started_tests++]);
}

/* Returns the tests with a name; all if it is NULL. */
static GPtrArray *select_tests(const char *name) {
  GPtrArray *selected = g_ptr_array_new();
  for (size_t i = 0; i < G_N_ELEMENTS(test_lists); i++)
    for (const test_case *test = test_lists[i]; test->name; test++)
      if (!name || !strcmp(name, test->name))
        g_ptr_array_add(selected, (gpointer)test);
  return selected;
}

static void print_names(const GPtrArray *tests) {
  for (guint i = 0; i < tests->len; i++) {
    const test_case *test = tests->pdata[i];
    puts(test->name);
  }
}

static int environment_int(const char *name, int default_value) {
  const char *text = getenv(name);
  return text ? atoi(text) : default_value;
}

static void read_options(int argc, char **argv) {
  options.seeds = environment_int("SEEDS", SEEDS_DEFAULT);
  options.routers = environment_int("ROUTERS", 0);
  options.engines = environment_int("ENGINES", 0);
  if (getenv("FROM"))
    options.seed_base = strtoull(getenv("FROM"), NULL, 10);
  if (argc > 1)
    options.name = argv[1];
  if (argc > 2)
    options.seed = strtoull(argv[2], NULL, 10);
}

/* Returns the exit code of the process. */
static int run_selected_tests(void) {
  if (CU_initialize_registry() != CUE_SUCCESS)
    return EXIT_FAILURE;
  CU_pSuite suite = CU_add_suite("tests", NULL, NULL);
  for (guint i = 0; i < selected_tests->len; i++) {
    const test_case *test = selected_tests->pdata[i];
    CU_add_test(suite, test->name, run_next_test);
  }
  CU_basic_set_mode(CU_BRM_VERBOSE);
  CU_basic_run_tests();
  unsigned failures = CU_get_number_of_failures();
  CU_cleanup_registry();
  return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}

int main(int argc, char **argv) {
  read_options(argc, argv);
  bool list_only = options.name && !strcmp(options.name, "--list");
  selected_tests = select_tests(list_only ? NULL : options.name);
  int status = EXIT_SUCCESS;
  if (list_only) {
    print_names(selected_tests);
  } else if (!selected_tests->len) {
    fprintf(stderr, "there is no test %s; `tests --list` prints their names\n", options.name);
    status = EXIT_USAGE;
  } else {
    status = run_selected_tests();
  }
  g_ptr_array_free(selected_tests, TRUE);
  return status;
}
