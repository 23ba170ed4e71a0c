/**
 * Helpers that tests of most modules share: traffic, faults, waiting for an acting chain, and
 * checks of what operators see. What a checker finds is noted in the fleet as a violation.
 */
#ifndef TESTS_SCENARIO_H
#define TESTS_SCENARIO_H
#include "fleet.h"

/** The names of the zones of a test fleet. */
extern const char *const zone_names[3];

/** Waits up to so many ms until a chain of so many members has an acting head and tail. False, and
 * a violation, when there is none by then. */
bool scenario_wait_for_chain(fleet *fleet, int links, int64_t ms);
/** The JSON of an evacuation of so many tenths (0 to 9) of the zone north. The caller frees it with
 * g_free. */
char *scenario_evacuation_json(int share10);
/** Reads each resource and checks that it is at least as young as the latest write of it that was
 * acknowledged. */
void scenario_check_acknowledged_writes(fleet *fleet);
/** Creates controller number n (from 1) in a zone, with the settings of another one; it is not
 * started, and fleet->controllers does not count it yet. */
host *scenario_create_controller(fleet *fleet, int n, const host *like, const char *zone);
/** Starts callers at so many requests per second, and returns at once. */
void scenario_start_traffic(fleet *fleet, double per_s);
/** Cuts the power of every controller, router and engine of a zone. */
void scenario_power_off_zone(fleet *fleet, const char *zone);
/** Starts what is not alive, wakes what is frozen, and mends every link and slow disk. */
void scenario_heal_all(fleet *fleet);
/** Writes markers into the policy for a span, one each interval; both in ms. */
void scenario_write_markers(fleet *fleet, int64_t span_ms, int64_t interval_ms);
/** Runs the doctor at the operator's machine against all controllers, and checks that it reports a
 * code; 0: that it reports nothing. The text of the violation names the moment. */
void scenario_expect_diagnosis(fleet *fleet, int code, const char *when);
#endif
