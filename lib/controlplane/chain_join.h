#ifndef CONTROLPLANE_CHAIN_JOIN_H
#define CONTROLPLANE_CHAIN_JOIN_H
/** How a controller outside the chain finds its fleet, catches up, and asks to join. */
#include "view.h"

struct replica;

enum {
  /** Join requests that a voter remembers: more than ever are out of the chain at a time. */
  JOIN_REQUESTS_MAX = 2 * CHAIN_MAX
};

/** The controllers that have caught up and asked to join; received_at 0: the entry is free. */
typedef struct join_requests {
  struct {
    member member;
    /** The epoch of the view that the controller knew when it asked. */
    uint64_t epoch;
    time_us received_at;
  } entries[JOIN_REQUESTS_MAX];
} join_requests;

/** Returns the member of the join request with an index, or NULL when the request is too old, or
 * was made under another view than the known one. The member is valid until the next request. */
const member *chain_join_candidate(const struct replica *replica, int index);
/** Handles JoinRequest; the context is the replica. */
enum error_code chain_join_on_request(void *ctx, Wire__Envelope *in, reply *reply, error *err);
/** The task: bootstraps a fleet or joins the chain of one, whenever this controller is in none. Its
 * context is the replica. */
void chain_join_run(void *ctx);
#endif
