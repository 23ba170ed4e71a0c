#ifndef ROUTER_CONTROLLER_SELECTION_H
#define ROUTER_CONTROLLER_SELECTION_H
/**
 * Chooses the controller to poll next. Controllers that failed recently come last. Among equals the
 * one polled longest ago is chosen, so that none is polled twice before all of its group have been
 * polled.
 */
#include "node.h"

enum { MAX_KNOWN_CONTROLLERS = 16 };

/** What is known about one controller. */
typedef struct controller_contact {
  /** Empty if the entry is unused. */
  char address[48];
  /** When it was last polled, and when a poll of it last failed; 0 if never. */
  time_us polled_at, failed_at;
} controller_contact;

/** The controllers that have been polled. When the table is full, a new one replaces the one polled
 * longest ago. */
typedef struct controller_selection {
  controller_contact contacts[MAX_KNOWN_CONTROLLERS];
} controller_selection;

/** Returns the controller to poll next, or NULL when none is known. `except` is an address to leave
 * out, or NULL. The pointer is valid until the caller waits. */
peer_node *controller_selection_next(controller_selection *selection, node *from,
                                     const char *except);
/** Records that a controller is being polled. */
void controller_selection_mark_polled(controller_selection *selection, const char *address,
                                      time_us now);
/** Records that a controller did not respond or could not confirm its state. */
void controller_selection_mark_failed(controller_selection *selection, const char *address,
                                      time_us now);
#endif
