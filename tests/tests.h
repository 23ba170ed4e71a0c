#ifndef TESTS_TESTS_H
#define TESTS_TESTS_H
#include "fleet.h"

/** A test, how large its fleet is, and the share of the seeds (in hundredths) that it is run with.
 */
typedef struct test_case {
  const char *name;
  bool (*run)(fleet *fleet);
  int routers, engines, share;
} test_case;
/** The tests by subject; each list ends with an empty name. */
extern const test_case cut_tests[], loss_tests[], any_tests[], routing_tests[], core_tests[],
    registry_tests[], loader_tests[], budget_tests[], gateway_tests[], forward_tests[],
    fields_tests[], operator_tests[], day_tests[], member_tests[], canary_tests[], delta_tests[],
    placement_tests[], log_tests[], restart_tests[], wiring_tests[], room_tests[], copy_tests[],
    order_tests[], cutoff_tests[], second_loss_tests[], catch_up_tests[], peer_tests[],
    fuzz_tests[], disk_tests[], drain_tests[];

/** When a test of drawn faults failed: leaves out one step after the other, as long as the run
 * still fails, and says what is left. */
void shrink(bool (*run)(fleet *fleet), uint64_t seed, int routers, int engines);

/* ways to say what is given */
/** Waits for an acting chain of so many links; a violation when there is none. */
bool wait_chain(fleet *fleet, int links, int64_t ms);
/** An evacuation of so many tenths of the area north. */
char *area_text(int share10);
/** Every acknowledged write is there: the latest of each resource, or a younger one. */
void acked_stand(fleet *fleet);
/** Starts callers at a rate and goes on. */
void go(fleet *fleet, double per_s);
/** Takes the power from every machine of an area. */
void area_dark(fleet *fleet, const char *area);
/** Starts what is dead, wakes what is frozen, mends every link. */
void heal_all(fleet *fleet);
/** Writes marks for a span, one each so many ms. */
void marks_for(fleet *fleet, int64_t ms, int64_t each);
/** The doctor, asked at the controllers, finds a code; 0: nothing at all. */
void doctor_says(fleet *fleet, int code, const char *when);
/** Adds a core machine to a fleet, at an address of its own; it is not started. */
host *core_add_controller(fleet *fleet, int n);
/** Tells the founders by their addresses only, as at a first start. */
void core_found_by_address(fleet *fleet, int founders);
/** What every start after the first is told: no founders. */
void core_later_starts(fleet *fleet);
/** How many members the core has, and on how many copies and areas a write is synced. */
void core_bounds(fleet *fleet, int members, int replicas, int zones);
/** Writes a configuration; a violation when nobody takes it. */
void core_put(fleet *fleet, int n, const char *when);
/** Waits until a chain of so many members acts with so many voters (0: any); a violation when there
 * is none in time. */
bool core_wait_shape(fleet *fleet, int chain_length, int voter_count, int64_t ms);
extern const char *const area_names[3];
#endif
