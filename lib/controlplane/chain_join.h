#ifndef CONTROLPLANE_CHAIN_JOIN_H
#define CONTROLPLANE_CHAIN_JOIN_H
/** Joining the chain: a controller outside it finds its fleet, catches up, and asks to join. */
#include "view.h"

struct replica;

enum {
  /** Number of join requests that a controller keeps: more than the number of controllers that are
   * ever outside the chain at a time. */
  JOIN_REQUESTS_MAX = 2 * CHAIN_MAX
};

/** The controllers that have caught up and asked to join. received_at is 0 if the entry is free. */
typedef struct join_requests {
  struct {
    member member;
    /** The epoch of the view that the controller knew when it sent the request. */
    uint64_t epoch;
    time_us received_at;
  } entries[JOIN_REQUESTS_MAX];
} join_requests;

/** Returns the member of the join request at an index, or NULL if the request has expired or was
 * sent under another view than the known one. The result is valid until the next request. */
const member *chain_join_candidate(const struct replica *replica, int index);
/** Handles JoinRequest; the context is the replica. */
enum error_code chain_join_on_request(void *ctx, Wire__Envelope *in, reply *reply, error *err);
/** Task function: bootstraps a fleet or joins its chain whenever this controller is in no chain.
 * The context is the replica. */
void chain_join_run(void *ctx);
#endif
