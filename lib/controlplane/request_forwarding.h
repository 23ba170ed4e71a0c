/** Forwards HTTP requests of operators to the node that can answer them. A request is forwarded
 * once: the forwarded one names this node in a header field (HEADER_HOP), and whoever receives it
 * answers by itself or refuses. */
#ifndef CONTROLPLANE_REQUEST_FORWARDING_H
#define CONTROLPLANE_REQUEST_FORWARDING_H
#include "node.h"

enum forwarded_request {
  FORWARDED_READ,
  /** Without a response its outcome is not known, once it has been sent. */
  FORWARDED_WRITE
};

/** True when a request was forwarded to this node. */
bool request_was_forwarded(const http_request *request);
/** Forwards a request to the node at an address, and responds with what comes back, or with an
 * error. The address is copied. */
void request_forward(node *node, http_request *request, const char *address,
                     enum forwarded_request kind);
#endif
