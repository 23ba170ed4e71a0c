#ifndef EMULATOR_FLEET_CHECK_H
#define EMULATOR_FLEET_CHECK_H
#include "base.h"

/** @file
 * Checkers of the rules R1 to R12. They read the records of the simulated engines, callers,
 * platform and operator, and nothing that the daemons report of themselves; only sampling looks at
 * the daemons' state. */

typedef struct fleet fleet;

/** Records a violation; the run continues. */
void fleet_add_violation(fleet *fleet, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/** R1: a request that can't be resumed runs once; R2: a request reported as not run did not run;
 * R3: a caller gets the complete response to its own request. Each refusal says when to retry. */
void fleet_check_runs(fleet *fleet);
/** R4: acknowledged policies take effect in time and are not reverted, as shown by the policy
 * markers in the responses to probes. */
void fleet_check_policy_markers(fleet *fleet);
/** R6: an engine that is draining gets no work, by the platform's record. */
void fleet_check_draining(fleet *fleet);
/** R7: an engine in an evacuated zone gets no work, by the operator's record of full, partial and
 * ended evacuations. */
void fleet_check_evacuated(fleet *fleet);
/** R8: lease holders of an engine succeed each other with rising epochs, without overlap and not
 * too quickly, by the engines' records. */
void fleet_check_lease_succession(fleet *fleet);
/** R9: load orders stay within an engine's capacity, and no base model is unloaded while adapters
 * on it are loaded. */
void fleet_check_capacity(fleet *fleet);
/** R10: the loads of all engines together stay within the rate of the weight store. */
void fleet_check_load_rate(fleet *fleet);
/** R11: retries stay within a share of the requests. */
void fleet_check_retries(fleet *fleet);
/** R11: an engine in slow start runs few streams, summed over all routers that send to it. */
void fleet_check_slow_start(fleet *fleet);
/** R12: from 12 s after a loss until an instant, the share of completed requests of each kind is at
 * its earlier level again, scaled by the capacity of the engines that remain. */
void fleet_check_recovery(fleet *fleet, time_us loss, time_us until);
/** Seconds from a loss until the share of completed requests of a kind (-1: of all) had recovered;
 * -1 when there were too few requests before the loss. */
double fleet_recovery_s(fleet *fleet, time_us loss, time_us until, int kind);
/** Checks all rules but R12, prints the violations, and returns whether there are none. */
bool fleet_check_all(fleet *fleet);
/** The same without printing. */
bool fleet_check_silently(fleet *fleet);

/** Writes a policy marker through a random controller without waiting; does nothing if that
 * controller is not alive or is frozen. */
void fleet_write_policy_marker(fleet *fleet);
/** Starts to probe every router for the policy marker in force there; probes are sent while
 * fleet->probing is set. */
void fleet_start_policy_probes(fleet *fleet);

/** Starts to sample the daemons for R4 and R8: two heads, tails or lease holders at once are
 * violations, too. */
void fleet_start_sampling(fleet *fleet);
#endif
