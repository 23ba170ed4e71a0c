#ifndef ROUTER_ADMISSION_H
#define ROUTER_ADMISSION_H
/**
 * Admission: may this router take new work now?
 *
 * An acknowledged write (say, an evacuated zone) must be in force at every router that takes work.
 * A router may therefore take work only while it has a configuration and a list of engines, and
 * each of the two is either recent, or known to be the latest:
 * - the configuration: a controller confirmed it lately; or more than half of the routers, this one
 *   included, have no newer one. A write is acknowledged only when half of the routers have it, so
 *   at least one of them would know of it.
 * - the engine list: it was received lately; or more than half of the routers have no valid one
 *   either, which shows that the platform is silent rather than this router cut off.
 */
#include "base.h"

typedef struct router router;

typedef struct admission {
  /** Since when this router may not take new work; 0: it may. */
  time_us lost_at;
} admission;

/** True when this router may take new work. Also keeps lost_at up to date. */
bool admission_may_admit(router *router);
/** The same, but waits for it up to a second after admission was lost. */
bool admission_wait(router *router);
#endif
