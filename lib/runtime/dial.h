#ifndef RUNTIME_DIAL_H
#define RUNTIME_DIAL_H
/** Opening outbound connections with libwebsockets. */
#include "connection_owner.h"

struct lws_context;

/** The destination and parameters of a connection. Borrows its strings. */
typedef struct dial_target {
  struct lws_context *context;
  struct lws_vhost *vhost;
  /** The address to connect from; empty for any. */
  const char *own_ip;
  /** IP:PORT of the other side. */
  const char *address;
  /** The method of an HTTP request; NULL for a websocket. */
  const char *method;
  const char *path;
  /** The protocol of the vhost whose callback handles the connection's events. */
  const char *protocol;
} dial_target;

/** Starts to open a connection for an owner that has none, and attaches it. The protocol's callback
 * reports when the connection is open. Returns false if opening fails immediately; then the owner
 * is not attached, and on_destroyed is not called. */
bool dial_open(const dial_target *target, connection_owner *owner);
#endif
