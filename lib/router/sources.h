#ifndef ROUTER_SOURCES_H
#define ROUTER_SOURCES_H
#include "node.h"

/** Which core machine to ask next: those that failed lately come after the others, and none is
 * asked twice before all of its kind were asked. */
enum { SOURCES_MOST = 16 };

/** What one core machine did when it was asked. */
typedef struct source {
  char addr[48];
  time_us asked, failed;
} source;

/** The core machines that were asked so far; the one asked longest ago gives way to a new one. */
typedef struct sources {
  source all[SOURCES_MOST];
} sources;

/** The core machine to ask next, other than the one at an address (or NULL); NULL when none is
 * known. */
peer_node *sources_next(sources *s, node *from, const char *except);
/** Notes that a machine is being asked. */
void sources_asked(sources *s, const char *addr, time_us now);
/** Notes that a machine did not answer, or could not confirm its state. */
void sources_failed(sources *s, const char *addr, time_us now);
#endif
