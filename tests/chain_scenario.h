/**
 * Helpers for tests of the controllers' chain: how large it is, how it is bootstrapped, and how to
 * wait for a view.
 */
#ifndef TESTS_CHAIN_SCENARIO_H
#define TESTS_CHAIN_SCENARIO_H
#include "fleet.h"

/** Adds controller number n to a fleet, at an address of its own. It is not started. */
host *chain_add_controller(fleet *fleet, int n);
/** Gives every controller the addresses of the first founders, without their names, as at a first
 * start. */
void chain_bootstrap_by_address(fleet *fleet, int founders);
/** Gives every controller the settings of a later start: no founders. */
void chain_clear_founders(fleet *fleet);
/** Sets the number of members of the chain, and on how many replicas and zones a write is synced
 * before it is acknowledged. */
void chain_set_size(fleet *fleet, int members, int copies, int areas);
/** Writes an evacuation whose share depends on n; a violation when no controller acknowledges it.
 * The text of the violation names the moment. */
void chain_put_evacuation(fleet *fleet, int n, const char *when);
/** Waits up to so many ms until a chain of so many members acts with so many voters (0: any).
 * False, and a violation, when there is none by then. */
bool chain_wait_for_shape(fleet *fleet, int links, int votes, int64_t ms);
#endif
