#ifndef COMMON_DIAL_H
#define COMMON_DIAL_H
#include "connection_owner.h"

struct lws_context;

/** Where a connection goes, and how. */
typedef struct dial_target {
  struct lws_context *context;
  struct lws_vhost *vhost;
  /** The address to connect from; empty for any. */
  const char *own_ip;
  /** IP:PORT */
  const char *addr;
  /** The method of an HTTP request; NULL for a websocket. */
  const char *method;
  const char *path;
  /** The protocol of ours whose callback gets the connection's events. */
  const char *protocol;
} dial_target;

/** Opens a connection for an owner that has none, and attaches it. False when it failed at once;
 * the owner is not attached then, and on_destroyed is not called. */
bool dial_open(const dial_target *target, connection_owner *owner);
#endif
