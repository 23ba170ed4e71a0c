/** Tests of channels between processes (lib/membership/peer_channels.h) over real sockets: a
 * channel whose other side stops reading is closed after PEER_CHANNEL_TIMEOUT_MS, and the next
 * message opens a new connection. */
#include "real_world.h"
#include "tests.h"
#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
  MESSAGE_BYTES = 200000,
  POST_INTERVAL_MS = 100,
  /* the timeout plus a margin for a busy machine */
  REOPEN_TIMEOUT_MS = PEER_CHANNEL_TIMEOUT_MS + 4000
};

/** A server that completes the websocket handshake and then reads nothing. */
typedef struct unresponsive_peer {
  int listener;
  char address[48];
  pthread_t thread;
  int connection_count, fds[8];
  volatile bool stop;
} unresponsive_peer;

static void answer_handshake(int fd) {
  static const char magic[] = "258EAFA5-E914-47DA-95CA-C5AB0DC85B11";
  char head[4096] = "", key[128] = "";
  size_t n = 0;
  while (n < sizeof head - 1 && !strstr(head, "\r\n\r\n")) {
    ssize_t got = recv(fd, head + n, 1, 0);
    if (got <= 0)
      return;
    head[n += (size_t)got] = 0;
  }
  char *field = strstr(head, "Sec-WebSocket-Key:");
  if (!field || sscanf(field + strlen("Sec-WebSocket-Key:"), " %100s", key) != 1)
    return;
  GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA1);
  g_checksum_update(checksum, (const guchar *)key, -1);
  g_checksum_update(checksum, (const guchar *)magic, -1);
  guint8 digest[20];
  gsize size = sizeof digest;
  g_checksum_get_digest(checksum, digest, &size);
  g_checksum_free(checksum);
  char *accept_key = g_base64_encode(digest, size);
  char *answer = g_strdup_printf(
      "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
      "Sec-WebSocket-Accept: %s\r\nSec-WebSocket-Protocol: asterfall-peer\r\n\r\n",
      accept_key);
  if (send(fd, answer, strlen(answer), MSG_NOSIGNAL) < 0)
    perror("send");
  g_free(answer);
  g_free(accept_key);
}

static void *unresponsive_peer_run(void *context) {
  unresponsive_peer *peer = context;
  while (!peer->stop) {
    struct pollfd ready = { .fd = peer->listener, .events = POLLIN };
    if (poll(&ready, 1, 50) <= 0 || peer->connection_count >= (int)G_N_ELEMENTS(peer->fds))
      continue;
    int fd = accept(peer->listener, NULL, NULL);
    if (fd < 0)
      continue;
    answer_handshake(fd);
    peer->fds[peer->connection_count++] = fd;
  }
  return NULL;
}

static bool unresponsive_peer_start(unresponsive_peer *peer) {
  struct sockaddr_in sockaddr = { .sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
  socklen_t size = sizeof sockaddr;
  memset(peer, 0, sizeof *peer);
  peer->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (peer->listener < 0 || bind(peer->listener, (struct sockaddr *)&sockaddr, sizeof sockaddr) ||
      listen(peer->listener, 8) || getsockname(peer->listener, (struct sockaddr *)&sockaddr, &size))
    return false;
  snprintf(peer->address, sizeof peer->address, "127.0.0.1:%d", ntohs(sockaddr.sin_port));
  return !pthread_create(&peer->thread, NULL, unresponsive_peer_run, peer);
}

static void unresponsive_peer_stop(unresponsive_peer *peer) {
  peer->stop = true;
  pthread_join(peer->thread, NULL);
  for (int i = 0; i < peer->connection_count; i++)
    close(peer->fds[i]);
  close(peer->listener);
}

typedef struct sender {
  world *world;
  unresponsive_peer *peer;
} sender;

static void send_run(void *context) {
  sender *sender = context;
  time_us deadline = time_add(world_now(sender->world), time_from_ms(REOPEN_TIMEOUT_MS));
  char *text = g_malloc0(MESSAGE_BYTES);
  while (sender->peer->connection_count < 2 && !time_reached(world_now(sender->world), deadline)) {
    sender->world->post_message(sender->world, sender->peer->address,
                                (string_view){ text, MESSAGE_BYTES });
    if (!world_sleep(sender->world, time_from_ms(POST_INTERVAL_MS)))
      break;
  }
  g_free(text);
  real_world_stop(sender->world);
}

static bool silent_channel_is_reopened(fleet *fleet) {
  unresponsive_peer unresponsive;
  error err = { 0 };
  real_settings settings = { .ip = "127.0.0.1", .data_dir = "/tmp" };
  if (!unresponsive_peer_start(&unresponsive)) {
    fleet_add_violation(fleet, "the listener could not be started");
    return false;
  }
  world *world = real_world_new(&settings, &err);
  if (world) {
    sender sender = { world, &unresponsive };
    task_start(&world->tasks, "send", send_run, &sender);
    real_world_run(world, NULL, NULL);
    real_world_free(world);
  }
  unresponsive_peer_stop(&unresponsive);
  if (!world || unresponsive.connection_count < 2)
    fleet_add_violation(fleet, "a peer that reads nothing got %d connections within %d ms",
                        unresponsive.connection_count, REOPEN_TIMEOUT_MS);
  return !fleet->violations->len;
}

const test_case peer_channel_tests[] = {
  { "silent_channel_is_reopened", silent_channel_is_reopened, 1, 0, 1 }, { NULL, NULL, 0, 0, 0 }
};
