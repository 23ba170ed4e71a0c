#ifndef ROUTER_CONTROLLER_SELECTION_H
#define ROUTER_CONTROLLER_SELECTION_H
/**
 * Which controller to ask next: one that failed lately comes after the others, and among equals the
 * one that was asked longest ago, so that none is asked twice before all of its kind were asked.
 */
#include "node.h"

enum { MAX_KNOWN_CONTROLLERS = 16 };

/** What is known of one controller. */
typedef struct controller_contact {
  /** Blank: the entry is unused. */
  char address[48];
  /** 0: never. */
  time_us asked_at, failed_at;
} controller_contact;

/** The controllers that were asked; a new one replaces the one that was asked longest ago. */
typedef struct controller_selection {
  controller_contact contacts[MAX_KNOWN_CONTROLLERS];
} controller_selection;

/** The controller to ask next, other than the one at an address (or NULL); NULL when none is
 * known. Borrowed until the caller waits. */
peer_node *controller_selection_next(controller_selection *selection, node *from,
                                     const char *except);
/** Notes that a controller is being asked. */
void controller_selection_mark_asked(controller_selection *selection, const char *address,
                                     time_us now);
/** Notes that a controller did not respond, or could not confirm its state. */
void controller_selection_mark_failed(controller_selection *selection, const char *address,
                                      time_us now);
#endif
