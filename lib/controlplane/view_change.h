#ifndef CONTROLPLANE_VIEW_CHANGE_H
#define CONTROLPLANE_VIEW_CHANGE_H
/** Agreement on the next view, and the change to it. */
#include "paxos_rules.h"

struct replica;

/** What a process knows of votes under way, in memory only; the acceptor's state is
 * replica.acceptor. */
typedef struct view_change_state {
  /** The highest round of a proposal number seen so far. */
  uint64_t highest_round;
  /** The epoch of the view that is being written to the log; 0: none. */
  uint64_t adopting_epoch;
  /** When the acceptor began to wait for the outcome of the vote under way; 0: it does not. */
  time_us prepare_pending_since;
} view_change_state;

/** A proposal for the next view. */
typedef struct view_proposal {
  view view;
  /** The members that the view leaves out, for the voters to check that they are silent. */
  id dropped[CHAIN_MAX];
  int dropped_count;
  /** The members are left out though they may be heard by the voters: a link of the chain is
   * broken, or a member has another disk now. */
  bool link_broken;
} view_proposal;

/** Returns whether this voter has promised a proposal for the next view, so that it grants and
 * takes nothing in the known one. */
bool view_change_prepare_pending(const struct replica *replica);
/** Adopts a decided view if it is newer than the known one: writes it to the log and enters it.
 * NULL and views of another fleet are ignored. */
void view_change_adopt(struct replica *replica, const Wire__View *message);
/** Sends the known view, if any, to another controller. */
void view_change_announce(struct replica *replica, const char *address);
/** Proposes a view for the epoch after the known one. Returns whether a view was decided and
 * entered; it may be another proposer's. */
bool view_change_propose(struct replica *replica, const view_proposal *proposal);
/** Handles PrepareRequest; the context is the replica. */
int view_change_on_prepare(void *ctx, Wire__Envelope *in, reply *reply, error *err);
/** Handles AcceptRequest; the context is the replica. */
int view_change_on_accept(void *ctx, Wire__Envelope *in, reply *reply, error *err);
/** Handles ViewAnnouncement; the context is the replica. */
int view_change_on_announcement(void *ctx, Wire__Envelope *in, reply *reply, error *err);
#endif
