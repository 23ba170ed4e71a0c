#ifndef RUNTIME_SOCK_H
#define RUNTIME_SOCK_H
/** Sockets that libwebsockets polls, and that somebody else (lib/http) reads and writes. */
#include "connection_owner.h"

/** A socket; embedded in the struct of its user, who sets fd and the callbacks. The descriptor is
 * libwebsockets' to close. */
typedef struct sock {
  connection_owner owner;
  int fd;
  /** Bytes came; none for a listening socket, which may be accepted from. 0, or -1 to close. */
  int (*on_read)(struct sock *sock, const char *bytes, size_t length);
  /** The socket takes bytes again; called once for each sock_request_writable. 0, or -1 to close.
   */
  int (*on_writable)(struct sock *sock);
  /** The socket is closed, or about to be. Called once; it may free the sock. */
  void (*on_closed)(struct sock *sock);
} sock;

/** The most that on_read gets at once; the library's context must be made with such a buffer. */
enum { SOCK_READ_BYTES = 16 * 1024 };
/** The name of the protocol whose events go to sock_event. */
#define SOCK_PROTOCOL "sock"

/** Begins to poll sock->fd. False when the library refuses; it has closed the descriptor then, and
 * nothing is called. */
bool sock_watch(sock *sock, struct lws_vhost *vhost, bool listening);
/** Asks for on_writable once. */
void sock_request_writable(sock *sock);
/** Begins or stops to read. */
void sock_set_reading(sock *sock, bool enabled);
/** Closes at once, by way of on_closed. Not from within on_read and on_writable, which return -1
 * instead. */
void sock_close(sock *sock);
/** Handles an event of a connection of SOCK_PROTOCOL. reason is enum lws_callback_reasons. The
 * result is for the library. */
int sock_event(struct lws *wsi, int reason, void *bytes, size_t length);
#endif
