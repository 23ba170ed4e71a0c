#ifndef RUNTIME_CONNECTION_OWNER_H
#define RUNTIME_CONNECTION_OWNER_H
/**
 * Who owns a connection of libwebsockets, and until when.
 *
 * An owner holds the only pointer to a connection that the rest of the program has, from
 * connection_owner_attach until one of two ends: its own connection_owner_detach, after which the
 * library closes the connection by itself, or the destruction of the connection by the library. The
 * library does not call a close callback for every connection that it frees (it calls none when a
 * connection is reset while it is opened), so an owner must not go by those: on_destroyed is called
 * in every case. An owner may be freed when it is not attached.
 *
 * The owner stands in the connection's opaque pointer, and nowhere else.
 */
#include "base.h"

struct lws;
struct lws_vhost;

/** The owner's part in it; first in the owner's struct. */
typedef struct connection_owner {
  /** The connection; NULL while there is none. */
  struct lws *wsi;
  /** The connection is gone, and wsi is NULL. Called once for each attachment that was not ended by
   * a detachment; not while dial_open runs, whose result says as much. It may free the owner. */
  void (*on_destroyed)(struct connection_owner *owner);
  /** For dial_open: it is opening a connection for this owner, and that one has been destroyed
   * already. */
  bool opening, destroyed;
} connection_owner;

/** Results of callbacks for events of a connection, as the library takes them. */
enum { CONNECTION_KEEP = 0, CONNECTION_CLOSE = -1 };

/** Begins to own a connection that has no owner. */
void connection_owner_attach(connection_owner *owner, struct lws *wsi);
/** Ends the ownership: no callback comes any more. Nothing happens when there is no connection. */
void connection_owner_detach(connection_owner *owner);
/** The connection, which must be there. */
struct lws *connection_owner_wsi(const connection_owner *owner);
/** The owner of a connection; NULL when it has none. */
connection_owner *connection_owner_of(struct lws *wsi);
/** To be called for each connection that the library destroys (LWS_CALLBACK_WSI_DESTROY, which goes
 * to the first protocol of a vhost). */
void connection_owner_destroyed(struct lws *wsi);
#endif
