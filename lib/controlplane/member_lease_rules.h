#ifndef CONTROLPLANE_MEMBER_LEASE_RULES_H
#define CONTROLPLANE_MEMBER_LEASE_RULES_H
/** Member leases: the decisions on what a voter may grant and when a member of the chain may act.
 * Nothing here waits, sends or reads a clock; instants are passed in, by this process's own clock.
 */
#include "view.h"

enum {
  /** A lease is valid for so many ms of its holder's clock, from when it was requested. */
  MEMBER_LEASE_TERM_MS = 1000,
  /** So many ms longer a voter waits, by its own clock, before it takes a lease that it granted for
   * expired: the clocks' rates may differ by a tenth. */
  MEMBER_LEASE_CLOCK_SLACK_MS = 100,
  /** A member that was silent for so many ms has no valid lease left by anyone's clock. */
  MEMBER_LEASE_EXPIRED_MS = MEMBER_LEASE_TERM_MS + MEMBER_LEASE_CLOCK_SLACK_MS,
  /** A voter remembers the leases of so many members: those of the chain, and as many that were
   * left out lately. */
  MEMBER_LEASES_GRANTED_MAX = 2 * CHAIN_MAX
};

/** The leases of one process, in memory only: those that it holds as a member of the chain, and
 * those that it granted as a voter. */
typedef struct member_leases {
  /** When the process started. */
  time_us started_at;
  /** When it learnt of the voters of the known view. */
  time_us voters_known_at;
  /** The earliest instant at which it may act as a member. */
  time_us may_act_at;
  /** Whether it has acted in the known view, or in an earlier one since which no member was left
   * out. */
  bool has_acted;
  /** The last lease from each voter, by its index in the view; requested_at 0: none. */
  struct {
    uint64_t disk_id;
    time_us requested_at;
  } held[VOTERS_MAX];
  /** The last lease granted to each member; granted_at 0: the entry is free. */
  struct {
    uint64_t disk_id;
    time_us granted_at;
  } granted[MEMBER_LEASES_GRANTED_MAX];
} member_leases;

/** Initializes the leases at the start of the process. */
void member_leases_init(member_leases *leases, time_us now);
/** Returns whether all leases that this voter granted to members outside the view have expired. */
bool member_leases_none_outside(const member_leases *leases, const view *known, time_us now);
/** Grants a lease to a member of the known view. Returns false when it must not be granted.
 * prepare_pending says that this voter has promised a proposal for the next view. */
bool member_leases_grant(member_leases *leases, const view *known, bool prepare_pending,
                         const member *member, time_us now);
/** Releases what was granted to a member that reports that it knows it was left out. */
void member_leases_release(member_leases *leases, uint64_t disk_id);
/** Records a lease that a voter granted; it counts from when it was requested. */
void member_leases_record(member_leases *leases, int voter_index, uint64_t disk_id,
                          time_us requested_at);
/** Returns whether a majority of the known view's voters grants this member a lease at this
 * instant. self is its index among the voters, or -1. */
bool member_leases_majority(member_leases *leases, const view *known, int self,
                            bool prepare_pending, time_us now);
/** Goes over to another view: sets from when this member may act in it, and drops the leases of the
 * earlier one. */
void member_leases_enter_view(member_leases *leases, const view *time_min, const view *next,
                              time_us now);
#endif
