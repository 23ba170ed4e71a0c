#include "sock.h"
#include <libwebsockets.h>

static void sock_destroyed(connection_owner *owner) {
  sock *s = (sock *)owner;
  s->on_closed(s);
}

bool sock_watch(sock *s, struct lws_vhost *vhost, bool listening) {
  lws_sock_file_fd_type d = { .sockfd = s->fd };
  struct lws *wsi = lws_adopt_descriptor_vhost(
      vhost, listening ? LWS_ADOPT_RAW_FILE_DESC : LWS_ADOPT_SOCKET, d, SOCK_PROTOCOL, NULL);
  if (!wsi)
    return false;
  s->owner.on_destroyed = sock_destroyed;
  connection_owner_attach(&s->owner, wsi);
  lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);
  return true;
}

void sock_request_writable(sock *s) {
  lws_callback_on_writable(connection_owner_wsi(&s->owner));
}

void sock_set_reading(sock *s, bool yes) {
  lws_rx_flow_control(connection_owner_wsi(&s->owner), yes);
}

void sock_close(sock *s) {
  lws_set_timeout(connection_owner_wsi(&s->owner), PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_SYNC);
}

int sock_event(struct lws *wsi, int why, void *in, size_t len) {
  sock *s = (sock *)connection_owner_of(wsi);
  if (!s)
    return 0;
  switch (why) {
  case LWS_CALLBACK_RAW_RX:
  case LWS_CALLBACK_RAW_RX_FILE:
    return s->on_read(s, in, len);
  case LWS_CALLBACK_RAW_WRITEABLE:
    return s->on_writable(s);
  case LWS_CALLBACK_RAW_CLOSE:
  case LWS_CALLBACK_RAW_CLOSE_FILE:
    /* the descriptor is about to be closed: nothing may use it any more */
    connection_owner_detach(&s->owner);
    s->on_closed(s);
    return 0;
  default:
    return 0;
  }
}
