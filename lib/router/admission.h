#ifndef ROUTER_ADMISSION_H
#define ROUTER_ADMISSION_H
/**
 * Admission control: decides whether this router may accept new work now.
 *
 * An acknowledged write (for example, the evacuation of a zone) must be in force at every router
 * that accepts work. A router may therefore accept work only while it has a configuration and an
 * engine list, and each of them is either recent or known to be the latest:
 * - The configuration: a controller confirmed it recently, or more than half of the routers,
 *   including this one, have no newer one. A write is acknowledged only when half of the routers
 *   have it, so at least one router of that majority would have a newer version.
 * - The engine list: it was received recently, or more than half of the routers, including this
 *   one, have no valid one either, which shows that the platform does not respond rather than that
 *   this router is partitioned from it.
 */
#include "base.h"

typedef struct router router;

typedef struct admission {
  /** When admission was lost; 0 while this router may accept new work. */
  time_us lost_at;
} admission;

/** Returns true when this router may accept new work. Also updates lost_at. */
bool admission_may_admit(router *router);
/** Like admission_may_admit, but waits for admission until one second after it was lost. */
bool admission_wait(router *router);
#endif
