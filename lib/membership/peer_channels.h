#ifndef COMMON_PEER_CHANNELS_H
#define COMMON_PEER_CHANNELS_H
#include "world.h"

struct lws;
struct lws_context;
struct lws_vhost;

/** Messages between our processes: one websocket each way, opened with the first message and anew
 * after it was lost. A message that can't be sent is dropped; senders ask again. */
typedef struct peer_channels peer_channels;
/** The name of the protocol whose events go to peer_channels_event. */
#define PEER_PROTOCOL "asterfall-peer"

/** own_ip is the address to connect from; empty for any. */
peer_channels *peer_channels_new(world *world, struct lws_context *context, struct lws_vhost *vhost,
                                 const char *own_ip);
/** Frees it; the library's context must be gone. */
void peer_channels_free(peer_channels *channels);
/** Sends a message to a peer. */
void peer_channels_post(peer_channels *channels, const char *addr, string_view bytes);
/** What libwebsockets calls; why is its enum. */
int peer_channels_event(peer_channels *channels, struct lws *wsi, int why, void *user, void *in,
                        size_t len);
#endif
