#ifndef CONTROLPLANE_DECIDE_LEASE_H
#define CONTROLPLANE_DECIDE_LEASE_H
/** The decisions about leases: what a voter may grant, and when a member of the chain may act.
 * Nothing here waits, sends or reads a clock; the time is passed in, in terms of this machine's own
 * clock. */
#include "replica.h"

/** Begins with the start of the process: leases are kept in memory only. */
void member_leases_init(member_leases *b, time_us now);
/** True when no lease that this voter gave to a machine outside the view may still run. */
bool member_leases_none_outside(const member_leases *b, const view *known, time_us now);
/** Grants a lease to a member of the view that this voter knows; false when it must not. */
bool member_leases_grant(member_leases *b, const view *known, bool pending, const member *who,
                         time_us now);
/** Takes back what was granted to a machine that says that it knows it was left out. */
void member_leases_release(member_leases *b, uint64_t disk);
/** Notes a lease that a voter granted; it counts from when it was asked for. */
void member_leases_record(member_leases *b, int voter, uint64_t disk, time_us asked);
/** True when a majority of the voters of the known view grants this machine a lease at this
 * instant. self is its index among the voters, or -1. */
bool member_leases_majority(member_leases *b, const view *known, int self, bool pending,
                            time_us now);
/** Goes over to the next view that is known: sets from when this machine may act in it. */
void member_leases_enter_view(member_leases *b, const view *was, const view *next, time_us now);
#endif
