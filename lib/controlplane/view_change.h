#ifndef CONTROLPLANE_VIEW_CHANGE_H
#define CONTROLPLANE_VIEW_CHANGE_H
/** The change to a decided view. */
#include "view.h"

struct replica;

/** What a process knows of votes and decided views under way, in memory only; the acceptor's state
 * is replica.acceptor. */
typedef struct view_change_state {
  /** The highest round of a proposal number seen so far. Written by paxos_proposer.c. */
  uint64_t highest_round;
  /** The epoch of the view that is being written to the log; 0: none. */
  uint64_t adopting_epoch;
  /** When the acceptor began to wait for the outcome of the vote under way; 0: it does not.
   * Written by paxos_acceptor.c, reset when a view is entered. */
  time_us prepare_pending_since;
} view_change_state;

/** Returns whether this voter has promised a proposal for the next view, so that it grants and
 * takes nothing in the known one. */
bool view_change_prepare_pending(const struct replica *replica);
/** Adopts a decided view if it is newer than the known one: writes it to the log and enters it.
 * NULL and views of another fleet are ignored. */
void view_change_adopt(struct replica *replica, const Wire__View *message);
/** Sends the known view, if any, to another controller. */
void view_change_announce(struct replica *replica, const char *address);
/** Handles ViewAnnouncement; the context is the replica. */
enum error_code view_change_on_announcement(void *ctx, Wire__Envelope *in, reply *reply,
                                            error *err);
#endif
