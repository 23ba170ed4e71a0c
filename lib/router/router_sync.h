#ifndef ROUTER_ROUTER_SYNC_H
#define ROUTER_ROUTER_SYNC_H
/**
 * Configuration among routers: one that does not reach the controllers gets the latest state from
 * another router, and learns how recently that one's state was confirmed.
 *
 * Strict mode: as soon as a router has had no confirmation, or no engine list, for a while, it
 * polls all other routers; it may only take work while a majority knows nothing newer
 * (admission.c). Routers report the version that they have in force to the controllers, for an
 * operator's write is acknowledged when half of them have it.
 *
 * Relaxed mode: isolated gateways serve on in any case, so one router polled now and then is enough
 * to let changes spread, and versions are not reported.
 */
#include "config_sync.h"

/** Registers the handler that responds to other routers' polls. */
void router_sync_register(router *router);
/** Starts the tasks that poll other routers. */
void router_sync_start(router *router);
/** Reports the version in force to all controllers. */
void router_sync_report_version(router *router);
#endif
