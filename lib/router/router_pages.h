#ifndef ROUTER_ROUTER_PAGES_H
#define ROUTER_ROUTER_PAGES_H
/**
 * The router's pages: status, engines, peers, journal and metrics, and on a gateway also the
 * gateway's status. docs/api.md describes them.
 */
#include "http_request.h"

typedef struct router router;

/** Responds to a request for a page. */
void router_pages_serve(router *router, http_request *request);
#endif
