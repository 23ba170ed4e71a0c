#ifndef RUNTIME_CONNECTION_OWNER_H
#define RUNTIME_CONNECTION_OWNER_H
/**
 * Ownership and lifetime of libwebsockets connections.
 *
 * An owner holds the only pointer to a connection outside the library. The ownership starts with
 * connection_owner_attach. It ends either with connection_owner_detach, after which the library
 * closes the connection by itself, or when the library destroys the connection. The library does
 * not call a close callback for every connection that it frees (for example, it calls none if a
 * connection is reset while it is being opened). An owner must therefore not rely on close
 * callbacks; on_destroyed is called in every case. An owner may be freed while it is not attached.
 *
 * The connection's opaque pointer refers to its owner; no other reference is stored.
 */
#include "base.h"

struct lws;
struct lws_vhost;

/** The state of an owner; must be the first member of the owner's struct. */
typedef struct connection_owner {
  /** The connection; NULL while there is none. */
  struct lws *wsi;
  /** Called after the library has destroyed the connection and wsi was set to NULL: once for each
   * attachment that was not ended by connection_owner_detach. Not called while dial_open runs,
   * which reports the failure in its result. It may free the owner. */
  void (*on_destroyed)(struct connection_owner *owner);
  /** For dial_open: whether it is opening a connection for this owner, and whether that connection
   * was destroyed meanwhile. */
  bool opening, destroyed;
} connection_owner;

/** Results of the callbacks that handle events of a connection, as the library expects them. */
enum { CONNECTION_KEEP = 0, CONNECTION_CLOSE = -1 };

/** Takes ownership of a connection that has no owner. */
void connection_owner_attach(connection_owner *owner, struct lws *wsi);
/** Ends the ownership: on_destroyed is no longer called. Does nothing if there is no connection. */
void connection_owner_detach(connection_owner *owner);
/** Returns the connection; the owner must be attached. */
struct lws *connection_owner_wsi(const connection_owner *owner);
/** Returns the owner of a connection; NULL if it has none. */
connection_owner *connection_owner_of(struct lws *wsi);
/** Notifies the owner of a destroyed connection. Call it for each connection that the library
 * destroys (LWS_CALLBACK_WSI_DESTROY, which goes to the first protocol of a vhost). */
void connection_owner_destroyed(struct lws *wsi);
#endif
