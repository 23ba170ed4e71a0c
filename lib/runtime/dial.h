#ifndef RUNTIME_DIAL_H
#define RUNTIME_DIAL_H
/** Opening connections to others with libwebsockets. */
#include "connection_owner.h"

struct lws_context;

/** Where a connection goes, and how. Borrows its texts. */
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
  /** The protocol of the vhost whose callback gets the connection's events. */
  const char *protocol;
} dial_target;

/** Begins to open a connection for an owner that has none, and attaches it; it is open when the
 * protocol's callback says so. False when it failed at once; the owner is not attached then, and
 * on_destroyed is not called. */
bool dial_open(const dial_target *target, connection_owner *owner);
#endif
