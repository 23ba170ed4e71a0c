/** Sockets that libwebsockets polls: see sock.h. */
#include "sock.h"
#include <libwebsockets.h>

static void connection_destroyed(connection_owner *owner) {
  sock *destroyed = (sock *)owner;
  destroyed->on_closed(destroyed);
}

bool sock_watch(sock *sock, struct lws_vhost *vhost, bool listening) {
  lws_sock_file_fd_type descriptor = { .sockfd = sock->fd };
  /* The library must not read a listening socket. For a raw file it only reports events. */
  lws_adoption_type type = listening ? LWS_ADOPT_RAW_FILE_DESC : LWS_ADOPT_SOCKET;
  struct lws *wsi = lws_adopt_descriptor_vhost(vhost, type, descriptor, SOCK_PROTOCOL, NULL);
  if (!wsi)
    return false;
  sock->owner.on_destroyed = connection_destroyed;
  connection_owner_attach(&sock->owner, wsi);
  lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);
  return true;
}

void sock_request_writable(sock *sock) {
  lws_callback_on_writable(connection_owner_wsi(&sock->owner));
}

void sock_set_reading(sock *sock, bool enabled) {
  lws_rx_flow_control(connection_owner_wsi(&sock->owner), enabled);
}

void sock_close(sock *sock) {
  lws_set_timeout(connection_owner_wsi(&sock->owner), PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_SYNC);
}

int sock_event(struct lws *wsi, int reason, void *bytes, size_t length) {
  sock *target = (sock *)connection_owner_of(wsi);
  if (!target)
    return 0;
  switch (reason) {
  case LWS_CALLBACK_RAW_RX:
  case LWS_CALLBACK_RAW_RX_FILE:
    return target->on_read(target, bytes, length);
  case LWS_CALLBACK_RAW_WRITEABLE:
    return target->on_writable(target);
  case LWS_CALLBACK_RAW_CLOSE:
  case LWS_CALLBACK_RAW_CLOSE_FILE:
    /* the descriptor is about to be closed and must no longer be used */
    connection_owner_detach(&target->owner);
    target->on_closed(target);
    return 0;
  default:
    return 0;
  }
}
