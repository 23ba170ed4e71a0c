#ifndef CONTROLPLANE_MEMBER_LEASE_H
#define CONTROLPLANE_MEMBER_LEASE_H
/** Requests for member leases and their handling at the voters. */
#include "member_lease_rules.h"

struct replica;

/** What a process knows of member leases. */
typedef struct member_lease_state {
  member_leases leases;
  /** Members that reported lately that they hear nothing from this voter, by when they did; 0: no
   * report. A link may be cut one way only. */
  struct {
    id peer;
    time_us reported_at;
  } deaf_peers[CHAIN_MAX];
  /** Signalled when the leases have to be requested anew at once. */
  condition renewal_wanted;
} member_lease_state;

/** Starts one task for each voter, which requests leases from it. */
void member_lease_start(struct replica *replica);
/** Returns whether a peer has reported lately that it hears nothing from this process. */
bool member_lease_peer_hears_nothing(const struct replica *replica, id peer);
/** Returns whether this member may act in the view that it knows: a majority of voters has granted
 * it a lease that is valid now. Notes that it has acted. */
bool replica_holds_lease(struct replica *replica);
/** Handles MemberLeaseRequest; the context is the replica. */
enum error_code member_lease_on_request(void *ctx, Wire__Envelope *in, reply *reply, error *err);
#endif
