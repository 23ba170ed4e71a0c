/**
 * Tests of lib/membership/peer_channels.c over real sockets of this process. No fleet is started.
 */
#include "real_world.h"
#include "tests.h"
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

enum { DESCRIPTORS_MAX = 1024, ACKNOWLEDGE_TIMEOUT_MAX_MS = 2000 };

/* a channel from this process to itself, and the number of its sockets that were found */
typedef struct channel_probe {
  world *world;
  char address[48];
  int port, channels, without_timeout;
} channel_probe;

/* Counts the sockets of this process that are connected to the port, and those of them that have no
 * timeout for unacknowledged bytes, or one that is too long. */
static void probe_channels(channel_probe *probe) {
  for (int fd = 0; fd < DESCRIPTORS_MAX; fd++) {
    struct sockaddr_in peer;
    socklen_t size = sizeof peer;
    if (getpeername(fd, (struct sockaddr *)&peer, &size) || peer.sin_family != AF_INET ||
        ntohs(peer.sin_port) != probe->port)
      continue;
    unsigned silence_ms = 0;
    size = sizeof silence_ms;
    getsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &silence_ms, &size);
    probe->channels++;
    probe->without_timeout += !silence_ms || silence_ms > ACKNOWLEDGE_TIMEOUT_MAX_MS;
  }
}

static void send_and_probe(void *context) {
  channel_probe *probe = context;
  probe->world->post_message(probe->world, probe->address, string_view_of("hello"));
  world_sleep(probe->world, time_from_ms(300));
  probe_channels(probe);
  real_world_stop(probe->world);
}

static int free_port(void) {
  struct sockaddr_in local = { .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
  socklen_t size = sizeof local;
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  int port = 0;
  if (fd >= 0 && !bind(fd, (struct sockaddr *)&local, size) &&
      !getsockname(fd, (struct sockaddr *)&local, &size))
    port = ntohs(local.sin_port);
  if (fd >= 0)
    close(fd);
  return port;
}

/* The kernel must close a channel soon after its bytes stay unacknowledged. Otherwise, after a long
 * partition, the channel would stay silent until TCP's retransmission timeout. */
static bool channels_have_an_acknowledge_timeout(fleet *fleet) {
  channel_probe probe = { .port = free_port() };
  real_settings settings = { .ip = "127.0.0.1", .port = probe.port };
  error err = { 0 };
  probe.world = real_world_new(&settings, &err);
  if (!probe.world) {
    fleet_add_violation(fleet, "no world: %s", err.text);
    return fleet_check_all(fleet);
  }
  snprintf(probe.address, sizeof probe.address, "127.0.0.1:%d", probe.port);
  task_start(&probe.world->tasks, "probe", send_and_probe, &probe);
  real_world_run(probe.world, NULL, NULL);
  real_world_free(probe.world);
  if (!probe.channels)
    fleet_add_violation(fleet, "no channel was opened");
  if (probe.without_timeout)
    fleet_add_violation(fleet, "%d of %d channels have no or a too long acknowledge timeout",
                        probe.without_timeout, probe.channels);
  return fleet_check_all(fleet);
}

const test_case peer_channel_socket_tests[] = { { "channels_have_an_acknowledge_timeout",
                                                  channels_have_an_acknowledge_timeout, 1, 1, 5 },
                                                { NULL, NULL, 0, 0, 0 } };
