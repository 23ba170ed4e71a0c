/** Channels between the processes of a fleet: see peer_channels.h. */
#include "peer_channels.h"
#include "dial.h"
#include <libwebsockets.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

enum {
  /* the connection of a peer that sends a larger message is closed */
  MESSAGE_MAX_BYTES = 8 << 20,
  /* a message that would make the queue larger than this is dropped */
  QUEUE_MAX_BYTES = 16 << 20,
  /* Timeouts for the TCP connection and for opening the channel as a whole. The first is short,
   * because the next attempt sends the first TCP packet again. */
  CONNECT_TIMEOUT_S = 1,
  OPEN_TIMEOUT_MS = 2500,
  /* minimum time between two attempts to open a channel */
  REOPEN_INTERVAL_MS = 100,
  /* TCP keepalive of inbound channels: idle time before the first probe, time between probes, and
   * number of unanswered probes after which the connection is closed */
  KEEPALIVE_IDLE_S = 20,
  KEEPALIVE_INTERVAL_S = 5,
  KEEPALIVE_PROBES = 3
};

typedef struct message {
  list_node link;
  size_t length;
  /* the message, after LWS_PRE bytes that the library reserves for its framing */
  unsigned char *bytes;
} message;

/** A channel from this process to a peer. It outlives its connections. */
typedef struct outbound {
  /** Attached while a connection is open or being opened. */
  connection_owner owner;
  char address[48];
  /** Messages that are not yet written (struct message), and their total size. */
  list_node queue;
  size_t queued_bytes;
  /** When the last attempt to open the channel started. */
  time_us attempted_at;
  bool open;
} outbound;

/** A channel from a peer to this process. */
typedef struct inbound {
  connection_owner owner;
  /** The fragments of the current message received so far. */
  GString *received;
} inbound;

struct peer_channels {
  world *world;
  struct lws_context *context;
  struct lws_vhost *vhost;
  char own_ip[48];
  /** Address -> outbound. Entries of peers that are permanently gone are kept, since they are few.
   */
  GHashTable *outbound;
};

static void outbound_drop_messages(outbound *peer) {
  list_for_each (queued, &peer->queue, message, link) {
    list_remove(&queued->link);
    g_free(queued->bytes);
    g_free(queued);
  }
  peer->queued_bytes = 0;
}

static void outbound_free(void *p) {
  outbound_drop_messages(p);
  g_free(p);
}

static void outbound_destroyed(connection_owner *owner) {
  outbound *peer = (outbound *)owner;
  peer->open = false;
  outbound_drop_messages(peer);
}

peer_channels *peer_channels_new(world *world, struct lws_context *context, struct lws_vhost *vhost,
                                 const char *own_ip) {
  peer_channels *channels = g_new0(peer_channels, 1);
  channels->world = world;
  channels->context = context;
  channels->vhost = vhost;
  g_strlcpy(channels->own_ip, own_ip, sizeof channels->own_ip);
  channels->outbound = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, outbound_free);
  return channels;
}

void peer_channels_free(peer_channels *channels) {
  g_hash_table_destroy(channels->outbound);
  g_free(channels);
}

static outbound *find_or_add_outbound(peer_channels *channels, const char *address) {
  outbound *peer = g_hash_table_lookup(channels->outbound, address);
  if (peer)
    return peer;
  peer = g_new0(outbound, 1);
  peer->owner.on_destroyed = outbound_destroyed;
  g_strlcpy(peer->address, address, sizeof peer->address);
  list_init(&peer->queue);
  peer->attempted_at = (time_us){ INT64_MIN / 4 };
  g_hash_table_insert(channels->outbound, peer->address, peer);
  return peer;
}

/* Closes a connection whose opening has taken too long. libwebsockets has no useful timeout for the
 * websocket handshake, and the other side may lose power during it. */
static void close_stalled_opening(outbound *peer, time_us now) {
  if (!peer->owner.wsi || peer->open ||
      !time_reached(now, time_add(peer->attempted_at, time_from_ms(OPEN_TIMEOUT_MS))))
    return;
  struct lws *wsi = connection_owner_wsi(&peer->owner);
  connection_owner_detach(&peer->owner);
  lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
  outbound_drop_messages(peer);
}

/* Starts to open a connection if there is none. Returns true if one is open or being opened. */
static bool outbound_open(peer_channels *channels, outbound *peer) {
  time_us now = world_now(channels->world);
  close_stalled_opening(peer, now);
  if (peer->owner.wsi)
    return true;
  if (!time_reached(now, time_add(peer->attempted_at, time_from_ms(REOPEN_INTERVAL_MS))))
    return false;
  peer->attempted_at = now;
  peer->open = false;
  dial_target target = { channels->context, channels->vhost, channels->own_ip, peer->address, NULL,
                         "/peer",           PEER_PROTOCOL };
  if (!dial_open(&target, &peer->owner))
    return false;
  lws_set_timeout(connection_owner_wsi(&peer->owner), PENDING_TIMEOUT_AWAITING_CONNECT_RESPONSE,
                  CONNECT_TIMEOUT_S);
  return true;
}

void peer_channels_post(peer_channels *channels, const char *address, string_view bytes) {
  if (channels->world->tasks.stopped)
    return;
  outbound *peer = find_or_add_outbound(channels, address);
  if (peer->queued_bytes + bytes.length > QUEUE_MAX_BYTES || !outbound_open(channels, peer))
    return;
  message *next = g_new0(message, 1);
  next->length = bytes.length;
  next->bytes = g_malloc(LWS_PRE + bytes.length);
  memcpy(next->bytes + LWS_PRE, bytes.data, bytes.length);
  list_append(&peer->queue, &next->link);
  peer->queued_bytes += bytes.length;
  if (peer->open)
    lws_callback_on_writable(connection_owner_wsi(&peer->owner));
}

/* Makes the kernel close a connection whose bytes stay unacknowledged for PEER_CHANNEL_TIMEOUT_MS;
 * the next message opens a new one. TCP doubles its retransmission timeout on each attempt, so a
 * connection that survives a network partition could otherwise stay silent for as long again after
 * the partition has ended. */
static void set_acknowledge_timeout(struct lws *wsi) {
  unsigned timeout_ms = PEER_CHANNEL_TIMEOUT_MS;
  setsockopt(lws_get_socket_fd(wsi), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof timeout_ms);
}

/* Enables TCP keepalive. The receiving end of a channel sends nothing, so only keepalive probes
 * detect that the sender is gone. */
static void enable_keepalive(struct lws *wsi) {
  int fd = lws_get_socket_fd(wsi);
  int enabled = 1, idle_s = KEEPALIVE_IDLE_S, interval_s = KEEPALIVE_INTERVAL_S;
  int probes = KEEPALIVE_PROBES;
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof enabled);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof idle_s);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof interval_s);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

/* Writes one message, since the library allows one write per callback. */
static int outbound_write(outbound *peer, struct lws *wsi) {
  if (list_is_empty(&peer->queue))
    return CONNECTION_KEEP;
  message *next = list_item(peer->queue.next, message, link);
  list_remove(&next->link);
  peer->queued_bytes -= next->length;
  int written = lws_write(wsi, next->bytes + LWS_PRE, next->length, LWS_WRITE_BINARY);
  g_free(next->bytes);
  g_free(next);
  if (written < 0)
    return CONNECTION_CLOSE;
  if (!list_is_empty(&peer->queue))
    lws_callback_on_writable(wsi);
  return CONNECTION_KEEP;
}

static void inbound_destroyed(connection_owner *owner) {
  inbound *peer = (inbound *)owner;
  g_string_free(peer->received, TRUE);
  g_free(peer);
}

static void inbound_accept(struct lws *wsi) {
  inbound *peer = g_new0(inbound, 1);
  peer->owner.on_destroyed = inbound_destroyed;
  peer->received = g_string_new(NULL);
  connection_owner_attach(&peer->owner, wsi);
  enable_keepalive(wsi);
}

/* Appends a fragment to the current message, and delivers the message when it is complete. */
static int inbound_read(peer_channels *channels, inbound *peer, struct lws *wsi, const char *bytes,
                        size_t length) {
  world *world = channels->world;
  if (peer->received->len + length > MESSAGE_MAX_BYTES)
    return CONNECTION_CLOSE;
  g_string_append_len(peer->received, bytes, (gssize)length);
  if (!lws_is_final_fragment(wsi) || lws_remaining_packet_payload(wsi))
    return CONNECTION_KEEP;
  if (world->on_message && !world->tasks.stopped)
    world->on_message(world->on_message_context, string_view_of_gstring(peer->received));
  g_string_truncate(peer->received, 0);
  return CONNECTION_KEEP;
}

int peer_channels_event(peer_channels *channels, struct lws *wsi, int reason, void *user, void *in,
                        size_t length) {
  connection_owner *owner = connection_owner_of(wsi);
  switch (reason) {
  case LWS_CALLBACK_CLIENT_ESTABLISHED:
    if (!owner)
      return CONNECTION_CLOSE;
    ((outbound *)owner)->open = true;
    set_acknowledge_timeout(wsi);
    lws_callback_on_writable(wsi);
    return CONNECTION_KEEP;
  case LWS_CALLBACK_CLIENT_WRITEABLE:
    return owner ? outbound_write((outbound *)owner, wsi) : CONNECTION_CLOSE;
  case LWS_CALLBACK_ESTABLISHED:
    inbound_accept(wsi);
    return CONNECTION_KEEP;
  case LWS_CALLBACK_RECEIVE:
    return owner ? inbound_read(channels, (inbound *)owner, wsi, in, length) : CONNECTION_CLOSE;
  default:
    return lws_callback_http_dummy(wsi, (enum lws_callback_reasons)reason, user, in, length);
  }
}
