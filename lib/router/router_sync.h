#ifndef ROUTER_ROUTER_SYNC_H
#define ROUTER_ROUTER_SYNC_H
/**
 * Exchange of configuration among routers. A router that cannot reach the controllers gets the
 * latest state from another router, and learns how recently that state was confirmed.
 *
 * Strict mode: a router whose last confirmation or engine list is too old polls all other routers;
 * it may accept work only while a majority has nothing newer (admission.c). Routers report the
 * version in force to the controllers, because an operator's write is acknowledged when half of the
 * routers have it.
 *
 * Relaxed mode: isolated gateways continue to serve in any case, so polling one router at intervals
 * is enough to spread changes. Versions are not reported.
 */
#include "config_sync.h"

/** Registers the handler that responds to other routers' polls. */
void router_sync_register(router *router);
/** Starts the tasks that poll other routers. */
void router_sync_start(router *router);
/** Reports the version in force to all controllers. */
void router_sync_report_version(router *router);
#endif
