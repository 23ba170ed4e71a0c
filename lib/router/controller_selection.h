#ifndef ROUTER_SOURCES_H
#define ROUTER_SOURCES_H
#include "node.h"

/** Which core machine to ask next: those that failed lately come after the others, and none is
 * asked twice before all of its kind were asked. */
enum { MAX_KNOWN_CONTROLLERS = 16 };

/** What one core machine did when it was asked. */
typedef struct controller_contact {
  char address[48];
  time_us asked_at, failed_at;
} controller_contact;

/** The core machines that were asked so far; the one asked longest ago gives way to a new one. */
typedef struct controller_selection {
  controller_contact contacts[MAX_KNOWN_CONTROLLERS];
} controller_selection;

/** The core machine to ask next, other than the one at an address (or NULL); NULL when none is
 * known. */
peer_node *controller_selection_next(controller_selection *s, node *from, const char *except);
/** Notes that a machine is being asked. */
void controller_selection_mark_asked(controller_selection *s, const char *addr, time_us now);
/** Notes that a machine did not answer, or could not confirm its state. */
void controller_selection_mark_failed(controller_selection *s, const char *addr, time_us now);
#endif
