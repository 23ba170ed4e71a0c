#ifndef MEMBERSHIP_PEER_CHANNELS_H
#define MEMBERSHIP_PEER_CHANNELS_H
/**
 * Channels between the processes of a fleet, over libwebsockets: how the real world carries
 * messages (world.post_message).
 *
 * A process sends to a peer over a websocket of its own, which the first message opens; the peer's
 * messages come over another one. So each direction fails and is opened again by itself, and nobody
 * has to agree on which of two connections to keep. A lost channel is opened again with the next
 * message, at most every 100 ms. A message that can't be sent is dropped: the channel could not be
 * opened, or its queue is full, or it was lost with the message in its queue. Senders repeat what
 * matters.
 *
 * An outbound channel on which nothing is acknowledged for PEER_CHANNEL_TIMEOUT_MS is closed by the
 * kernel, and an inbound one that is silent is probed, so that no side keeps a dead one.
 */
#include "world.h"

struct lws;
struct lws_context;
struct lws_vhost;

/** All channels of one process. */
typedef struct peer_channels peer_channels;
/** The name of the websocket protocol; its events go to peer_channels_event. */
#define PEER_PROTOCOL "asterfall-peer"

/** Makes the channels of a world. own_ip is the address to connect from; empty for any. It is
 * copied. */
peer_channels *peer_channels_new(world *world, struct lws_context *context, struct lws_vhost *vhost,
                                 const char *own_ip);
/** Frees the channels; the library's context must have been destroyed, and all connections with it.
 */
void peer_channels_free(peer_channels *channels);
/** Sends a copy of a message to the process at an address, or drops it. */
void peer_channels_post(peer_channels *channels, const char *address, string_view bytes);
/** Handles an event of a connection of PEER_PROTOCOL. reason is enum lws_callback_reasons. The
 * result is for the library: 0, or -1 to close. */
int peer_channels_event(peer_channels *channels, struct lws *wsi, int reason, void *user, void *in,
                        size_t length);
#endif
