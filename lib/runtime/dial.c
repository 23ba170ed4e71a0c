/** Opening connections to others. */
#include "dial.h"
#include <libwebsockets.h>
#include <stdlib.h>

enum { IP_MOST = 48 };

static bool split_address(const char *addr, char ip[IP_MOST], int *port) {
  const char *colon = strrchr(addr, ':');
  if (!colon || colon - addr >= IP_MOST)
    return false;
  memcpy(ip, addr, (size_t)(colon - addr));
  ip[colon - addr] = 0;
  *port = atoi(colon + 1);
  return *port > 0;
}

bool dial_open(const dial_target *target, connection_owner *owner) {
  char ip[IP_MOST];
  int port;
  g_assert(!owner->wsi);
  if (!split_address(target->addr, ip, &port))
    return false;
  struct lws_client_connect_info info = { 0 };
  info.context = target->context;
  info.vhost = target->vhost;
  info.address = ip;
  info.port = port;
  info.path = target->path;
  info.host = target->addr;
  info.origin = target->addr;
  info.method = target->method;
  info.local_protocol_name = target->protocol;
  info.protocol = target->method ? NULL : target->protocol;
  info.iface = target->own_ip[0] ? target->own_ip : NULL;
  /* The library may fail and destroy the connection before it returns, and return it all the same.
   */
  info.opaque_user_data = owner;
  /* a redirect would be a second try that nobody counted */
  info.ssl_connection = LCCSCF_HTTP_NO_FOLLOW_REDIRECT;
  owner->opening = true;
  owner->destroyed = false;
  struct lws *wsi = lws_client_connect_via_info(&info);
  owner->opening = false;
  if (!wsi || owner->destroyed)
    return false;
  owner->wsi = wsi;
  return true;
}
