#ifndef CONTROLPLANE_MEMBER_LEASE_H
#define CONTROLPLANE_MEMBER_LEASE_H
/** Requests for member leases, and how voters handle them. */
#include "member_lease_rules.h"

struct replica;

/** The member lease state of one process. */
typedef struct member_lease_state {
  member_leases leases;
  /** Members that recently reported that they hear nothing from this voter. reported_at is 0 if the
   * entry holds no report. The voter needs these reports because a link may fail in one direction
   * only. */
  struct {
    id peer;
    time_us reported_at;
  } hears_nothing_reports[CHAIN_MAX];
  /** Signalled when the leases must be requested again immediately. */
  condition renewal_wanted;
} member_lease_state;

/** Starts one task per voter, which requests leases from that voter. */
void member_lease_start(struct replica *replica);
/** Returns whether a peer recently reported that it hears nothing from this process. */
bool member_lease_peer_hears_nothing(const struct replica *replica, id peer);
/** Returns whether this member may act in the view that it knows, that is, holds valid leases from
 * a majority of voters. Records that it has acted if so. */
bool replica_holds_lease(struct replica *replica);
/** Handles MemberLeaseRequest; the context is the replica. */
enum error_code member_lease_on_request(void *ctx, Wire__Envelope *in, reply *reply, error *err);
#endif
