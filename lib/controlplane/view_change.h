#ifndef CONTROLPLANE_VIEW_CHANGE_H
#define CONTROLPLANE_VIEW_CHANGE_H
/** The switch to a decided view. */
#include "view.h"

struct replica;

/** The state of votes and view changes in progress, kept in memory only. The acceptor's persistent
 * state is replica.acceptor. */
typedef struct view_change_state {
  /** The highest round of a proposal number seen so far. Written by paxos_proposer.c. */
  uint64_t highest_round;
  /** The epoch of the view that is being written to the log, or 0. */
  uint64_t adopting_epoch;
  /** Since when the acceptor has waited for the outcome of a vote, or 0 if it does not wait.
   * Written by paxos_acceptor.c, reset when a view is entered. */
  time_us prepare_pending_since;
} view_change_state;

/** Returns whether this voter has promised a proposal for the next view. It then neither grants
 * leases nor accepts writes in the known view. */
bool view_change_prepare_pending(const struct replica *replica);
/** Adopts a decided view if it is newer than the known one: writes it to the log and enters it.
 * Ignores NULL and views of another fleet. */
void view_change_adopt(struct replica *replica, const Wire__View *message);
/** Sends the known view, if any, to another controller. */
void view_change_announce(struct replica *replica, const char *address);
/** Handles ViewAnnouncement; the context is the replica. */
enum error_code view_change_on_announcement(void *ctx, Wire__Envelope *in, reply *reply,
                                            error *err);
#endif
