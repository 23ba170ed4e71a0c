/** Ownership of libwebsockets connections: see connection_owner.h. */
#include "connection_owner.h"
#include <libwebsockets.h>

void connection_owner_attach(connection_owner *owner, struct lws *wsi) {
  g_assert(!owner->wsi);
  g_assert(!lws_get_opaque_user_data(wsi) || lws_get_opaque_user_data(wsi) == owner);
  owner->wsi = wsi;
  lws_set_opaque_user_data(wsi, owner);
}

void connection_owner_detach(connection_owner *owner) {
  if (!owner->wsi)
    return;
  g_assert(lws_get_opaque_user_data(owner->wsi) == owner);
  lws_set_opaque_user_data(owner->wsi, NULL);
  owner->wsi = NULL;
}

struct lws *connection_owner_wsi(const connection_owner *owner) {
  g_assert(owner->wsi);
  g_assert(lws_get_opaque_user_data(owner->wsi) == owner);
  return owner->wsi;
}

connection_owner *connection_owner_of(struct lws *wsi) {
  return lws_get_opaque_user_data(wsi);
}

void connection_owner_destroyed(struct lws *wsi) {
  connection_owner *owner = connection_owner_of(wsi);
  if (!owner)
    return;
  lws_set_opaque_user_data(wsi, NULL);
  owner->wsi = NULL;
  owner->destroyed = true;
  if (!owner->opening)
    owner->on_destroyed(owner);
}
