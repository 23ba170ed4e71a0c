#ifndef CONTROLPLANE_MEMBER_LEASE_RULES_H
#define CONTROLPLANE_MEMBER_LEASE_RULES_H
/** Member leases: decides which leases a voter may grant and when a chain member may act.
 * Pure rules: no I/O, no waiting and no clock reads. Callers pass in the time, taken from this
 * process's own clock.
 */
#include "view.h"

enum {
  /** Lease duration in ms, measured by the holder's clock from the time of the request. */
  MEMBER_LEASE_TERM_MS = 1000,
  /** Extra time in ms, by its own clock, before a voter considers a lease that it granted expired.
   * It allows for clock rates that differ by a tenth. */
  MEMBER_LEASE_CLOCK_SLACK_MS = 100,
  /** A member that has been silent for this many ms holds no valid lease by any clock. */
  MEMBER_LEASE_EXPIRED_MS = MEMBER_LEASE_TERM_MS + MEMBER_LEASE_CLOCK_SLACK_MS,
  /** Number of granted leases that a voter tracks: one for each chain member, and as many for
   * members that were removed recently. */
  MEMBER_LEASES_GRANTED_MAX = 2 * CHAIN_MAX
};

/** The leases of one process, kept in memory only: those that it holds as a chain member and those
 * that it has granted as a voter. */
typedef struct member_leases {
  /** When the process started. */
  time_us started_at;
  /** When it learned the voters of the known view. */
  time_us voters_known_at;
  /** The earliest time at which it may act as a member. */
  time_us may_act_at;
  /** Whether it has acted in the known view, or in an earlier view after which no member was
   * removed. */
  bool has_acted;
  /** The last lease from each voter, indexed like the view's voters. requested_at is 0 if there is
   * none. */
  struct {
    uint64_t disk_id;
    time_us requested_at;
  } held[VOTERS_MAX];
  /** The last lease granted to each member. granted_at is 0 if the entry is free. */
  struct {
    uint64_t disk_id;
    time_us granted_at;
  } granted[MEMBER_LEASES_GRANTED_MAX];
} member_leases;

/** Initializes the leases at the start of the process. */
void member_leases_init(member_leases *leases, time_us now);
/** Returns whether all leases that this voter granted to members outside the known view have
 * expired. */
bool member_leases_none_outside(const member_leases *leases, const view *known, time_us now);
/** Grants a lease to a member of the known view. Returns false if the lease must not be granted.
 * prepare_pending is true if this voter has promised a proposal for the next view. */
bool member_leases_grant(member_leases *leases, const view *known, bool prepare_pending,
                         const member *member, time_us now);
/** Releases the lease of a member that has confirmed that it knows of its removal. */
void member_leases_release(member_leases *leases, uint64_t disk_id);
/** Records a lease that a voter granted. The lease starts at the time of the request. */
void member_leases_record(member_leases *leases, int voter_index, uint64_t disk_id,
                          time_us requested_at);
/** Returns whether this member currently holds leases from a majority of the known view's voters.
 * self is its index among the voters, or -1. Records that it has acted if so. */
bool member_leases_majority(member_leases *leases, const view *known, int self,
                            bool prepare_pending, time_us now);
/** Switches to another view: sets the earliest time at which this member may act in it, and
 * discards the leases of the previous view. */
void member_leases_enter_view(member_leases *leases, const view *previous, const view *next,
                              time_us now);
#endif
