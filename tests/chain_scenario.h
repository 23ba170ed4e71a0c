/**
 * Helpers for tests of the controllers' chain: set its size, bootstrap it, and wait for a view.
 */
#ifndef TESTS_CHAIN_SCENARIO_H
#define TESTS_CHAIN_SCENARIO_H
#include "fleet.h"

/** Adds controller number n to a fleet, at its own address, without starting it. */
host *chain_add_controller(fleet *fleet, int n);
/** Sets the founders in every controller's settings to the first controllers, by address only, as
 * at a first start. */
void chain_bootstrap_by_address(fleet *fleet, int founders);
/** Removes the founders from every controller's settings, as at a later start. */
void chain_clear_founders(fleet *fleet);
/** Sets the number of chain members, and the number of replicas and zones on which a write must be
 * synced before it is acknowledged. */
void chain_set_size(fleet *fleet, int members, int replicas, int zones);
/** Writes an evacuation whose contents depend on n. Adds a violation, whose text contains when, if
 * no controller acknowledges it. */
void chain_put_evacuation(fleet *fleet, int n, const char *when);
/** Waits up to ms milliseconds until a chain of the given length acts with the given number of
 * voters (0: any). If there is none by then, adds a violation and returns false. */
bool chain_wait_for_shape(fleet *fleet, int chain_length, int voter_count, int64_t ms);
#endif
