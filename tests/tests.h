/**
 * What a test file offers to the runner (main.c): a list of test cases for each module. Also
 * includes the helpers that most tests share.
 */
#ifndef TESTS_TESTS_H
#define TESTS_TESTS_H
#include "chain_scenario.h"
#include "fleet.h"
#include "scenario.h"

/** Runs one test on a new fleet that is not started yet. The test fails if it returns false or
 * records a violation. */
typedef bool (*test_function)(fleet *fleet);

/** A test, with the size of its fleet and the share of the seeds for which it runs. */
typedef struct test_case {
  /** Name on the command line, in KNOWN-RED.txt and in mutations.txt; NULL ends a list. */
  const char *name;
  test_function run;
  /** Numbers of routers and engines; each fleet has three controllers. */
  int routers, engines;
  /** Share of the seeds in percent; a test runs for at least one seed. Above 100 for tests that
   * fail for only a few seeds. */
  int seed_percent;
} test_case;

/* lib/configuration */
extern const test_case canary_tests[], delta_tests[], formula_tests[], routing_tests[],
    settings_tests[];
/* lib/controlplane */
extern const test_case catch_up_tests[], chain_join_tests[], chain_repair_tests[],
    controller_tests[], replica_tests[], controller_cutoff_tests[], config_change_tests[],
    engine_registry_tests[], rejoin_tests[], replication_tests[], view_change_tests[], wal_tests[],
    wal_restart_tests[];
/* lib/doctor, and status pages for operators */
extern const test_case doctor_tests[], operator_tests[];
/* emulator */
extern const test_case check_tests[], day_tests[];
/* lib/gateway */
extern const test_case retry_budget_tests[], drain_tests[], forward_tests[], gateway_tests[],
    loader_tests[], placement_tests[], capacity_account_tests[];
/* lib/http */
extern const test_case fields_tests[];
/* lib/membership */
extern const test_case failure_detector_tests[], node_tests[], peer_channel_socket_tests[],
    peer_channel_tests[];
/* lib/router */
extern const test_case config_sync_tests[], engine_list_tests[], generate_api_tests[],
    model_loading_tests[], policy_replay_tests[], singleton_lease_tests[];
/* lib/runtime */
extern const test_case real_disk_tests[], log_tests[];
/* compatibility with messages, stored data and public texts of earlier versions */
extern const test_case compatibility_tests[], outward_tests[], stored_data_tests[];
/* scenarios with a full fleet */
extern const test_case corrupt_bytes_tests[], input_fuzzing_tests[], loss_tests[],
    partition_tests[], random_fault_tests[], serving_tests[], zone_loss_tests[];
#endif
