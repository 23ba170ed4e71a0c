/**
 * Helpers shared by the tests of most modules: traffic, faults, waiting for an acting chain, and
 * checks of what operators see. Checks record violations in the fleet.
 */
#ifndef TESTS_SCENARIO_H
#define TESTS_SCENARIO_H
#include "fleet.h"

/** The names of the zones of a test fleet. */
extern const char *const zone_names[3];

/** Waits up to timeout_ms until a chain of chain_length members has an acting head and tail.
 * Returns false and records a violation if there is none by then. */
bool scenario_wait_for_chain(fleet *fleet, int chain_length, int64_t timeout_ms);
/** Returns the JSON of an evacuation of share10 tenths (0 to 9) of the zone north. The caller frees
 * it with g_free. */
char *scenario_evacuation_json(int share10);
/** Reads each resource and checks that its version is not below that of its latest acknowledged
 * write. */
void scenario_check_acknowledged_writes(fleet *fleet);
/** Creates controller number n (from 1) in a zone, with the settings of another one. Does not start
 * it or count it in fleet->controllers. */
host *scenario_create_controller(fleet *fleet, int n, const host *like, const char *zone);
/** Starts clients that send per_s requests per second, and returns at once. */
void scenario_start_traffic(fleet *fleet, double per_s);
/** Cuts the power of every controller, router and engine of a zone. */
void scenario_power_off_zone(fleet *fleet, const char *zone);
/** Starts stopped hosts, unfreezes frozen ones, and repairs all links and the slow disks of the
 * first three controllers. */
void scenario_heal_all(fleet *fleet);
/** Writes markers into the policy for span_ms, one every interval_ms. */
void scenario_write_markers(fleet *fleet, int64_t span_ms, int64_t interval_ms);
/** Runs the doctor on the operator's host against all controllers, and checks that it reports a
 * code, or nothing if `code` is 0. `when` describes the situation in the text of a violation. */
void scenario_expect_diagnosis(fleet *fleet, int code, const char *when);
#endif
