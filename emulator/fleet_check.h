#ifndef EMULATOR_FLEET_CHECK_H
#define EMULATOR_FLEET_CHECK_H
#include "base.h"

/** @file
 * Checkers of the rules R1 to R12. They read what simulated engines, callers, the platform and the
 * operator recorded, and nothing of the daemons' own accounts; only sampling asks the daemons. */

typedef struct fleet fleet;

/** Records a violation; the run goes on. */
void fleet_add_violation(fleet *fleet, const char *form, ...) __attribute__((format(printf, 2, 3)));
/** R1: what can't be resumed runs once; R2: what was reported as not run did not run; R3: a caller
 * gets the complete response to its own request; and each rejection says when to retry. */
void fleet_check_runs(fleet *fleet);
/** R4: acknowledged policies take effect in time and are not reverted, by the policy markers that
 * probes saw. */
void fleet_check_policy_markers(fleet *fleet);
/** R6: an engine that is draining gets no work, by the platform's record. */
void fleet_check_draining(fleet *fleet);
/** R7: an engine in an evacuated zone gets no work, by the operator's record of full and partial
 * evacuations and of those that were ended. */
void fleet_check_evacuated(fleet *fleet);
/** R8: lease holders of an engine follow each other, by the engines' records. */
void fleet_check_lease_succession(fleet *fleet);
/** R9: load orders respect an engine's capacity, and unload orders the adapters on a base model. */
void fleet_check_capacity(fleet *fleet);
/** R10: loads over all engines stay within the store's rate. */
void fleet_check_load_rate(fleet *fleet);
/** R11: retries stay within a share of the requests. */
void fleet_check_retries(fleet *fleet);
/** R11: an engine in slow start runs few streams, whichever routers send them. */
void fleet_check_slow_start(fleet *fleet);
/** R12: from 12 s after a loss until an instant, the share of completed requests of each kind is
 * back, as far as the engines that are left have the capacity. */
void fleet_check_recovery(fleet *fleet, time_us loss, time_us until);
/** When the share of a request kind, or of all with -1, was back, in seconds after the loss; -1
 * when there were too few requests before it. */
double fleet_recovery_s(fleet *fleet, time_us loss, time_us until, int kind);
/** All rules but R12; returns whether there is no violation, and prints those that there are. */
bool fleet_check_all(fleet *fleet);
/** The same without printing. */
bool fleet_check_silently(fleet *fleet);

/** Writes a policy marker through a random controller, if it is alive, without waiting. */
void fleet_write_policy_marker(fleet *fleet);
/** Starts requests to every router that show which policy marker is in force there; they are sent
 * while fleet->probing is set. */
void fleet_start_policy_probes(fleet *fleet);

/** Starts to sample the daemons for R4 and R8, and for two heads, tails or lease holders at once.
 */
void fleet_start_sampling(fleet *fleet);
#endif
