/** Messages between our processes: see peer_channels.h. */
#include "peer_channels.h"
#include "dial.h"
#include <libwebsockets.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

enum {
  MESSAGE_MOST = 8 << 20,
  WAITING_MOST = 16 << 20,
  /* the first packet of a channel is sent again after this, and its opening given up after that */
  CONNECT_S = 1,
  OPEN_MS = 2500,
  OPEN_AGAIN_MS = 100
};

typedef struct message {
  list_node link;
  size_t length;
  unsigned char *bytes; /* LWS_PRE bytes of the library's own come first */
} message;

/** A channel from this process to a peer. */
typedef struct outbound {
  connection_owner owner;
  char addr[48];
  list_node waiting;
  size_t waiting_bytes;
  time_us tried;
  bool open;
} outbound;

/** A channel from a peer to this process. */
typedef struct inbound {
  connection_owner owner;
  GString *received;
} inbound;

struct peer_channels {
  world *world;
  struct lws_context *context;
  struct lws_vhost *vhost;
  char own_ip[48];
  GHashTable *outbound; /* address -> outbound */
};

static void outbound_drop_messages(outbound *peer) {
  list_for_each (waiting, &peer->waiting, message, link) {
    list_remove(&waiting->link);
    g_free(waiting->bytes);
    g_free(waiting);
  }
  peer->waiting_bytes = 0;
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

static outbound *outbound_of(peer_channels *channels, const char *addr) {
  outbound *peer = g_hash_table_lookup(channels->outbound, addr);
  if (peer)
    return peer;
  peer = g_new0(outbound, 1);
  peer->owner.on_destroyed = outbound_destroyed;
  g_strlcpy(peer->addr, addr, sizeof peer->addr);
  list_init(&peer->waiting);
  peer->tried = (time_us){ INT64_MIN / 4 };
  g_hash_table_insert(channels->outbound, peer->addr, peer);
  return peer;
}

/* the library sets no bound of use on the handshake, and the other side may lose power in its
 * middle */
static void drop_stuck_opening(outbound *peer, time_us now) {
  if (!peer->owner.wsi || peer->open ||
      !time_reached(now, time_add(peer->tried, time_from_ms(OPEN_MS))))
    return;
  struct lws *wsi = connection_owner_wsi(&peer->owner);
  connection_owner_detach(&peer->owner);
  lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
  outbound_drop_messages(peer);
}

/* true when there is a channel, open or being opened */
static bool outbound_open(peer_channels *channels, outbound *peer) {
  time_us now = world_now(channels->world);
  drop_stuck_opening(peer, now);
  if (peer->owner.wsi)
    return true;
  if (!time_reached(now, time_add(peer->tried, time_from_ms(OPEN_AGAIN_MS))))
    return false;
  peer->tried = now;
  peer->open = false;
  dial_target target = { channels->context, channels->vhost, channels->own_ip, peer->addr, NULL,
                         "/peer",           PEER_PROTOCOL };
  if (!dial_open(&target, &peer->owner))
    return false;
  lws_set_timeout(connection_owner_wsi(&peer->owner), PENDING_TIMEOUT_AWAITING_CONNECT_RESPONSE,
                  CONNECT_S);
  return true;
}

void peer_channels_post(peer_channels *channels, const char *addr, string_view bytes) {
  if (channels->world->tasks.stopped)
    return;
  outbound *peer = outbound_of(channels, addr);
  if (peer->waiting_bytes + bytes.length > WAITING_MOST || !outbound_open(channels, peer))
    return;
  message *next = g_new0(message, 1);
  next->length = bytes.length;
  next->bytes = g_malloc(LWS_PRE + bytes.length);
  memcpy(next->bytes + LWS_PRE, bytes.data, bytes.length);
  list_append(&peer->waiting, &next->link);
  peer->waiting_bytes += bytes.length;
  if (peer->open)
    lws_callback_on_writable(connection_owner_wsi(&peer->owner));
}

/* A channel that stood through a cut would wait for its next retransmission, which comes later the
 * longer the cut was. The kernel is told to give such a channel up, and the next message opens a
 * new one. */
static void give_up_silent_channel(struct lws *wsi) {
  unsigned silence_ms = PEER_CHANNEL_TIMEOUT_MS;
  setsockopt(lws_get_socket_fd(wsi), IPPROTO_TCP, TCP_USER_TIMEOUT, &silence_ms, sizeof silence_ms);
}

/* the other end of such a channel only reads, so it has to ask whether anybody is left */
static void close_when_abandoned(struct lws *wsi) {
  int fd = lws_get_socket_fd(wsi), yes = 1, idle = 20, each = 5, tries = 3;
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &yes, sizeof yes);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof idle);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &each, sizeof each);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &tries, sizeof tries);
}

/* one message a call; -1 to close */
static int outbound_write(outbound *peer, struct lws *wsi) {
  if (list_is_empty(&peer->waiting))
    return 0;
  message *next = list_item(peer->waiting.next, message, link);
  list_remove(&next->link);
  peer->waiting_bytes -= next->length;
  int written = lws_write(wsi, next->bytes + LWS_PRE, next->length, LWS_WRITE_BINARY);
  g_free(next->bytes);
  g_free(next);
  if (written < 0)
    return -1;
  if (!list_is_empty(&peer->waiting))
    lws_callback_on_writable(wsi);
  return 0;
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
  close_when_abandoned(wsi);
}

/* -1 to close */
static int inbound_read(peer_channels *channels, inbound *peer, struct lws *wsi, const char *bytes,
                        size_t length) {
  world *world = channels->world;
  if (peer->received->len + length > MESSAGE_MOST)
    return -1;
  g_string_append_len(peer->received, bytes, (gssize)length);
  if (!lws_is_final_fragment(wsi) || lws_remaining_packet_payload(wsi))
    return 0;
  if (world->on_message && !world->tasks.stopped)
    world->on_message(world->on_message_context, string_view_of_gstring(peer->received));
  g_string_truncate(peer->received, 0);
  return 0;
}

int peer_channels_event(peer_channels *channels, struct lws *wsi, int why, void *user, void *in,
                        size_t len) {
  connection_owner *owner = connection_owner_of(wsi);
  switch (why) {
  case LWS_CALLBACK_CLIENT_ESTABLISHED:
    if (!owner)
      return -1;
    ((outbound *)owner)->open = true;
    give_up_silent_channel(wsi);
    lws_callback_on_writable(wsi);
    return 0;
  case LWS_CALLBACK_CLIENT_WRITEABLE:
    return owner ? outbound_write((outbound *)owner, wsi) : -1;
  case LWS_CALLBACK_ESTABLISHED:
    inbound_accept(wsi);
    return 0;
  case LWS_CALLBACK_RECEIVE:
    return owner ? inbound_read(channels, (inbound *)owner, wsi, in, len) : -1;
  default:
    return lws_callback_http_dummy(wsi, (enum lws_callback_reasons)why, user, in, len);
  }
}
