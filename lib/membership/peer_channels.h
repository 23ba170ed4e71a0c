#ifndef MEMBERSHIP_PEER_CHANNELS_H
#define MEMBERSHIP_PEER_CHANNELS_H
/**
 * Channels between the processes of a fleet, over libwebsockets. The real world sends messages
 * through them (world.post_message).
 *
 * A process sends to a peer over its own websocket, which it opens with the first message; the peer
 * uses another websocket for its messages. Each direction therefore fails and recovers
 * independently, and the two processes need not agree on which of two connections to keep. The next
 * message reopens a lost channel, at most every 100 ms. A message is dropped if the channel can't
 * be opened, if its queue is full, or if the connection is lost while the message is queued.
 * Senders repeat messages that matter.
 *
 * The kernel closes an outbound channel on which sent bytes stay unacknowledged for
 * PEER_CHANNEL_TIMEOUT_MS, and probes an inbound channel that is silent, so that neither side keeps
 * a dead connection.
 */
#include "world.h"

struct lws;
struct lws_context;
struct lws_vhost;

/** All channels of one process. */
typedef struct peer_channels peer_channels;
/** Name of the websocket protocol, whose events peer_channels_event handles. */
#define PEER_PROTOCOL "asterfall-peer"

/** Creates the channels of a world. own_ip is the address to connect from, or empty for any; it is
 * copied. */
peer_channels *peer_channels_new(world *world, struct lws_context *context, struct lws_vhost *vhost,
                                 const char *own_ip);
/** Frees the channels. The libwebsockets context, and with it all connections, must already be
 * destroyed. */
void peer_channels_free(peer_channels *channels);
/** Sends a copy of a message to the process at an address, or drops it. */
void peer_channels_post(peer_channels *channels, const char *address, string_view bytes);
/** Handles an event of a connection of PEER_PROTOCOL. reason is enum lws_callback_reasons. Returns
 * 0 to keep the connection, or -1 to close it. */
int peer_channels_event(peer_channels *channels, struct lws *wsi, int reason, void *user, void *in,
                        size_t length);
#endif
