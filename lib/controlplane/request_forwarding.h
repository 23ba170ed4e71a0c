/** Forwards HTTP requests of operators to the node that can serve them. A request is forwarded at
 * most once: the forwarded request names this node in a header field (HEADER_HOP), and the node
 * that receives it serves or refuses it. */
#ifndef CONTROLPLANE_REQUEST_FORWARDING_H
#define CONTROLPLANE_REQUEST_FORWARDING_H
#include "node.h"

enum forwarded_request {
  FORWARDED_READ,
  /** Once it has been sent, its outcome is unknown until there is a response. */
  FORWARDED_WRITE
};

/** True when a request was forwarded to this node. */
bool request_was_forwarded(const http_request *request);
/** Forwards a request to the node at an address, and responds with the response of that node, or
 * with an error. Copies the address. */
void request_forward(node *node, http_request *request, const char *address,
                     enum forwarded_request kind);
#endif
