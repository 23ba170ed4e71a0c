#ifndef COMMON_SOCK_H
#define COMMON_SOCK_H
#include "connection_owner.h"

/** A socket that libwebsockets watches and somebody else reads and writes. */
typedef struct sock {
  connection_owner owner;
  int fd;
  /** Bytes that came (none for a listening socket: it may be accepted from), and room to write; -1
   * closes. */
  int (*on_read)(struct sock *s, const char *p, size_t n);
  int (*on_writable)(struct sock *s);
  /** It is closed; called once. */
  void (*on_closed)(struct sock *s);
} sock;
enum { SOCK_READ_BYTES = 16 * 1024 };
/** The name of the protocol that sock_event serves; reads are of SOCK_READ_BYTES bytes at most if
 * the context is made so. */
#define SOCK_PROTOCOL "sock"
/** Begins to watch s->fd; when it can't, the descriptor is closed, and nothing is called. */
bool sock_watch(sock *s, struct lws_vhost *vhost, bool listening);
/** Asks for on_room once. */
void sock_request_writable(sock *s);
/** Reads on, or not. */
void sock_set_reading(sock *s, bool yes);
/** Closes at once. Not from within on_read and on_room, which say -1. */
void sock_close(sock *s);
/** What libwebsockets calls; why is its enum. */
int sock_event(struct lws *wsi, int why, void *in, size_t len);
#endif
