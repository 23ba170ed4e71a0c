#include "real_world.h"
#include "tests.h"
#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* The channel between two processes, over real sockets: one whose other side stops taking bytes is
 * closed after PEER_CHANNEL_TIMEOUT_MS, and the next message opens another. */

enum {
  MESSAGE_BYTES = 200000,
  POST_EACH_MS = 100,
  /* the silence, and some time for a busy machine */
  REOPENED_WITHIN_MS = PEER_CHANNEL_TIMEOUT_MS + 4000
};

/** A process that answers the opening of a websocket and then reads nothing. */
typedef struct deaf_peer {
  int listener;
  char addr[48];
  pthread_t thread;
  int opened, fds[8];
  volatile bool stop;
} deaf_peer;

static void answer_opening(int fd) {
  static const char magic[] = "258EAFA5-E914-47DA-95CA-C5AB0DC85B11";
  char head[4096] = "", key[128] = "";
  size_t n = 0;
  while (n < sizeof head - 1 && !strstr(head, "\r\n\r\n")) {
    ssize_t got = recv(fd, head + n, 1, 0);
    if (got <= 0)
      return;
    head[n += (size_t)got] = 0;
  }
  char *at = strstr(head, "Sec-WebSocket-Key:");
  if (!at || sscanf(at + strlen("Sec-WebSocket-Key:"), " %100s", key) != 1)
    return;
  GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA1);
  g_checksum_update(sum, (const guchar *)key, -1);
  g_checksum_update(sum, (const guchar *)magic, -1);
  guint8 digest[20];
  gsize size = sizeof digest;
  g_checksum_get_digest(sum, digest, &size);
  g_checksum_free(sum);
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

static void *deaf_run(void *p) {
  deaf_peer *d = p;
  while (!d->stop) {
    struct pollfd ready = { .fd = d->listener, .events = POLLIN };
    if (poll(&ready, 1, 50) <= 0 || d->opened >= (int)G_N_ELEMENTS(d->fds))
      continue;
    int fd = accept(d->listener, NULL, NULL);
    if (fd < 0)
      continue;
    answer_opening(fd);
    d->fds[d->opened++] = fd;
  }
  return NULL;
}

static bool deaf_start(deaf_peer *d) {
  struct sockaddr_in at = { .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
  socklen_t n = sizeof at;
  memset(d, 0, sizeof *d);
  d->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (d->listener < 0 || bind(d->listener, (struct sockaddr *)&at, sizeof at) ||
      listen(d->listener, 8) || getsockname(d->listener, (struct sockaddr *)&at, &n))
    return false;
  snprintf(d->addr, sizeof d->addr, "127.0.0.1:%d", ntohs(at.sin_port));
  return !pthread_create(&d->thread, NULL, deaf_run, d);
}

static void deaf_stop(deaf_peer *d) {
  d->stop = true;
  pthread_join(d->thread, NULL);
  for (int i = 0; i < d->opened; i++)
    close(d->fds[i]);
  close(d->listener);
}

typedef struct sender {
  world *world;
  deaf_peer *to;
} sender;

static void send_run(void *p) {
  sender *s = p;
  time_us till = time_add(world_now(s->world), time_from_ms(REOPENED_WITHIN_MS));
  char *text = g_malloc0(MESSAGE_BYTES);
  while (s->to->opened < 2 && !time_reached(world_now(s->world), till)) {
    s->world->post_message(s->world, s->to->addr, (string_view){ text, MESSAGE_BYTES });
    if (!world_sleep(s->world, time_from_ms(POST_EACH_MS)))
      break;
  }
  g_free(text);
  real_world_stop(s->world);
}

static bool a_silent_channel_is_opened_anew(fleet *fleet) {
  deaf_peer deaf;
  error err = { 0 };
  real_settings v = { .ip = "127.0.0.1", .data_dir = "/tmp" };
  if (!deaf_start(&deaf)) {
    violation(fleet, "no listener could be had");
    return false;
  }
  world *world = real_world_new(&v, &err);
  if (world) {
    sender s = { world, &deaf };
    task_start(&world->tasks, "send", send_run, &s);
    real_world_run(world, NULL, NULL);
    real_world_free(world);
  }
  deaf_stop(&deaf);
  if (!world || deaf.opened < 2)
    violation(fleet, "a peer that takes no bytes was opened %d times within %d ms", deaf.opened,
              REOPENED_WITHIN_MS);
  return !fleet->faults->len;
}

const test_case peer_tests[] = { { "a_silent_channel_is_opened_anew",
                                   a_silent_channel_is_opened_anew, 1, 0, 1 },
                                 { NULL, NULL, 0, 0, 0 } };
