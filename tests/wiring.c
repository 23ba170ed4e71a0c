/* Tests of a process's real sockets, and of how much of the core may be lost at once. */
#include "real_world.h"
#include "tests.h"
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

enum { DESCRIPTORS_MOST = 1024, SILENCE_MOST_MS = 2000 };

typedef struct {
  world *world;
  char address[48];
  int port, links, unguarded;
} link_probe;

/* counts the sockets of this process that are one end of a link to the port, and those without a
 * bound on how long sent bytes may go without an acknowledgement */
static void probe_links(link_probe *probe) {
  for (int fd = 0; fd < DESCRIPTORS_MOST; fd++) {
    struct sockaddr_in far;
    socklen_t size = sizeof far;
    if (getpeername(fd, (struct sockaddr *)&far, &size) || far.sin_family != AF_INET ||
        ntohs(far.sin_port) != probe->port)
      continue;
    unsigned silence_ms = 0;
    size = sizeof silence_ms;
    getsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &silence_ms, &size);
    probe->links++;
    probe->unguarded += !silence_ms || silence_ms > SILENCE_MOST_MS;
  }
}

static void post_and_probe(void *context) {
  link_probe *probe = context;
  probe->world->post_message(probe->world, probe->address, string_view_of("hello"));
  world_sleep(probe->world, time_from_ms(300));
  probe_links(probe);
  real_world_stop(probe->world);
}

static int free_port(void) {
  struct sockaddr_in near = { .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
  socklen_t size = sizeof near;
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  int port = 0;
  if (fd >= 0 && !bind(fd, (struct sockaddr *)&near, size) &&
      !getsockname(fd, (struct sockaddr *)&near, &size))
    port = ntohs(near.sin_port);
  if (fd >= 0)
    close(fd);
  return port;
}

/* given a link to another process, the kernel gives it up soon after its bytes go unacknowledged,
 * so that after a long cut a new one is opened in place of a wait for the old one's back-off */
static bool links_end_when_nothing_is_acknowledged(fleet *fleet) {
  link_probe probe = { .port = free_port() };
  real_settings settings = { .ip = "127.0.0.1", .port = probe.port };
  error err = { 0 };
  probe.world = real_world_new(&settings, &err);
  if (!probe.world) {
    violation(fleet, "no world: %s", err.text);
    return check_all(fleet);
  }
  snprintf(probe.address, sizeof probe.address, "127.0.0.1:%d", probe.port);
  task_start(&probe.world->tasks, "probe", post_and_probe, &probe);
  real_world_run(probe.world, NULL, NULL);
  real_world_free(probe.world);
  if (!probe.links)
    violation(fleet, "no link was opened");
  if (probe.unguarded)
    violation(fleet, "%d of %d links wait for ever for an acknowledgement", probe.unguarded,
              probe.links);
  return check_all(fleet);
}

static void core_size(fleet *fleet, int machines, int zones, int members, int copies, int areas) {
  settings v = { 0 };
  settings_set_fault_tolerance(&v, machines, zones);
  if (v.chain_members != members || v.write_replicas != copies || v.write_zones != areas)
    violation(
        fleet, "%d machines and %d zones: %d members, %d copies in %d areas, not %d, %d in %d",
        machines, zones, v.chain_members, v.write_replicas, v.write_zones, members, copies, areas);
}

/* given how many machines and how many zones may be lost at once, the core is large enough that a
 * majority is left and a copy of every write, and never asks for more areas than copies */
static bool the_core_fits_what_may_be_lost(fleet *fleet) {
  core_size(fleet, 0, 0, 3, 1, 1);
  core_size(fleet, 1, 0, 3, 2, 1);
  core_size(fleet, 2, 0, 5, 3, 1);
  core_size(fleet, 3, 0, 7, 4, 1);
  core_size(fleet, 0, 1, 7, 2, 2);
  core_size(fleet, 1, 1, 7, 2, 2);
  core_size(fleet, 2, 1, 7, 3, 2);
  core_size(fleet, 1, 2, 7, 3, 3);
  return check_all(fleet);
}

const test_case wiring_tests[] = {
  { "links_end_when_nothing_is_acknowledged", links_end_when_nothing_is_acknowledged, 1, 1, 5 },
  { "the_core_fits_what_may_be_lost", the_core_fits_what_may_be_lost, 1, 1, 5 },
  { NULL, NULL, 0, 0, 0 }
};
