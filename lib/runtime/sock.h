#ifndef RUNTIME_SOCK_H
#define RUNTIME_SOCK_H
/** Sockets that libwebsockets polls for another module (lib/http), which handles their data. */
#include "connection_owner.h"

/** A socket; embedded in the struct of its user, which sets fd and the callbacks. libwebsockets
 * closes the descriptor. */
typedef struct sock {
  connection_owner owner;
  int fd;
  /** Called when bytes were received, or, without bytes, when a listening socket has connections to
   * accept. Returns 0, or -1 to close. */
  int (*on_read)(struct sock *sock, const char *bytes, size_t length);
  /** Called when the socket is writable, once for each sock_request_writable. Returns 0, or -1 to
   * close. */
  int (*on_writable)(struct sock *sock);
  /** Called once when the socket is closed or about to be. It may free the sock. */
  void (*on_closed)(struct sock *sock);
} sock;

/** Maximum number of bytes per on_read; the library's context needs a buffer of this size. */
enum { SOCK_READ_BYTES = 16 * 1024 };
/** Name of the protocol whose events sock_event handles. */
#define SOCK_PROTOCOL "sock"

/** Starts to poll sock->fd. Returns false if the library refuses; then it has closed the
 * descriptor, and no callback is called. */
bool sock_watch(sock *sock, struct lws_vhost *vhost, bool listening);
/** Requests one call of on_writable. */
void sock_request_writable(sock *sock);
/** Resumes or pauses reading. */
void sock_set_reading(sock *sock, bool enabled);
/** Closes the socket immediately, calling on_closed. Must not be called from on_read or
 * on_writable, which return -1 instead. */
void sock_close(sock *sock);
/** Handles an event of a connection of SOCK_PROTOCOL. reason is enum lws_callback_reasons. Returns
 * 0 to keep the connection, or -1 to close it. */
int sock_event(struct lws *wsi, int reason, void *bytes, size_t length);
#endif
