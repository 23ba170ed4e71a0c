/** Opening outbound connections: see dial.h. */
#include "dial.h"
#include "address.h"
#include <libwebsockets.h>

enum { IP_BYTES = 48 };

bool dial_open(const dial_target *target, connection_owner *owner) {
  char ip[IP_BYTES];
  int port;
  g_assert(!owner->wsi);
  if (!address_split(target->address, ip, sizeof ip, &port) || port <= 0)
    return false;
  struct lws_client_connect_info info = {
    .context = target->context,
    .vhost = target->vhost,
    .address = ip,
    .port = port,
    .path = target->path,
    .host = target->address,
    .origin = target->address,
    .method = target->method,
    .local_protocol_name = target->protocol,
    .protocol = target->method ? NULL : target->protocol,
    .iface = target->own_ip[0] ? target->own_ip : NULL,
    /* The library may fail and destroy the connection before it returns, and still return the
     * pointer. */
    .opaque_user_data = owner,
    /* following a redirect would be a second attempt that is not counted */
    .ssl_connection = LCCSCF_HTTP_NO_FOLLOW_REDIRECT,
  };
  owner->opening = true;
  owner->destroyed = false;
  struct lws *wsi = lws_client_connect_via_info(&info);
  owner->opening = false;
  if (!wsi || owner->destroyed)
    return false;
  owner->wsi = wsi;
  return true;
}
