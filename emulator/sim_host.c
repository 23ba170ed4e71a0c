/** @file
 * Starting a process creates a new world for it, with the simulated network, disk, clock and random
 * numbers. Ending it resets its connections, stops all its tasks and runs the events in its inbox,
 * so that the clients of a frozen process see the resets. */
#include "sim_connections.h"
#include "sim_http.h"
#include "sim_messages.h"
#include "trace.h"
#include <stdio.h>
#include <stdlib.h>

/** Size limit of bodies in the API of our processes. */
enum { BODY_MAX_BYTES = 1 << 20 };

static time_us host_now(void *argument) {
  return ((host *)argument)->sim->now;
}

static uint64_t host_random(world *world) {
  host *h = (host *)world;
  return splitmix64_next(h->random_state ? &h->random_state : &h->sim->random_state);
}

static const char *host_timestamp(world *world, char *buffer, size_t size) {
  host *h = (host *)world;
  snprintf(buffer, size, "%9.3f", (double)(h->sim->now.us + h->wall_clock_offset_us) / 1e6);
  return buffer;
}

static void host_write_log(world *world, const char *line) {
  if (((host *)world)->sim->log_to_stderr)
    fprintf(stderr, "%s\n", line);
}

host *sim_add_host(sim *sim, enum host_role role, const char *self, const char *area,
                   const char *addr) {
  host *added = g_new0(host, 1);
  added->sim = sim;
  added->role = role;
  added->self = id_of_text(self);
  added->zone = id_of_text(area);
  g_strlcpy(added->addr, addr, sizeof added->addr);
  added->next_wake_at = time_never();
  added->past_engines = g_ptr_array_new();
  list_init(&added->inbox);
  list_init(&added->pooled_connections);
  added->disk = sim_disk_new();
  list_append(&sim->hosts, &added->link);
  return added;
}

host *sim_find_host(sim *sim, const char *self) {
  list_for_each (h, &sim->hosts, host, link)
    if (!strcmp(h->self.text, self))
      return h;
  return NULL;
}

host *sim_find_host_by_address(sim *sim, const char *addr) {
  list_for_each (h, &sim->hosts, host, link)
    if (!strcmp(h->addr, addr))
      return h;
  return NULL;
}

static void init_world(host *host) {
  world *world = &host->world;
  memset(world, 0, sizeof *world);
  scheduler_init(&world->tasks, host_now, host);
  world->random = host_random;
  world->timestamp = host_timestamp;
  world->write_log = host_write_log;
  world->body_max_bytes = BODY_MAX_BYTES;
  sim_messages_attach(host);
  sim_http_attach(host);
  sim_disk_attach(host);
  world->listener_open = connections_open_listener;
  world->listener_stop_accepting = connections_stop_accepting;
  world->listener_close_idle = connections_close_listener_idle;
  world->pool_close_idle = connections_close_pooled;
}

static void start_engine(host *host) {
  if (host->engine)
    g_ptr_array_add(host->past_engines, host->engine);
  host->engine =
      engine_sim_new(&host->world, host->self, id_of_text(host->settings.platform_address),
                     host->zone, host->weights_mb, host->adapter_slots);
  host->engine->faults = host->faults;
}

/* a restarted platform keeps its list of engines and the record of its changes */
static void start_platform(host *host) {
  platform_sim *previous = host->platform;
  host->platform = platform_sim_new(&host->world);
  if (!previous)
    return;
  g_array_free(host->platform->engines, TRUE);
  g_array_free(host->platform->changes, TRUE);
  host->platform->engines = previous->engines;
  host->platform->changes = previous->changes;
  g_free(previous);
}

static void start_process(host *host) {
  switch (host->role) {
  case HOST_CONTROLLER:
    host->controller = controller_new(&host->world, &host->settings);
    break;
  case HOST_ROUTER:
    host->router = router_new(&host->world, &host->settings);
    break;
  case HOST_ENGINE:
    start_engine(host);
    break;
  case HOST_PLATFORM:
    start_platform(host);
    break;
  case HOST_CALLERS:
    if (!host->loadgen)
      host->loadgen = loadgen_new(&host->world, host->self);
    break;
  case HOST_OTHER:
    break;
  }
  if (host->on_start)
    host->on_start(host);
}

void host_start(host *host) {
  init_world(host);
  host->alive = true;
  host->frozen = host->powered_off = false;
  host->incarnation++;
  host->controller = NULL;
  host->router = NULL;
  host->config_version_seen = 0;
  start_process(host);
  host->next_wake_at = host->sim->now;
}

static void stop_tasks(host *host) {
  scheduler_stop(&host->world.tasks);
  if (!host->world.tasks.count)
    return;
  fprintf(stderr, "sim: %zu tasks of %s did not end\n", host->world.tasks.count, host->self.text);
  abort();
}

static void drain_inbox(host *host) {
  while (!list_is_empty(&host->inbox)) {
    sim_event *event = list_item(host->inbox.next, sim_event, inbox_link);
    list_remove(&event->inbox_link);
    if (event->type->runs_at_host_end)
      sim_event_run(event);
    else
      event->type->release(event);
  }
}

static void free_process(host *host) {
  if (host->controller)
    controller_free(host->controller);
  if (host->router)
    router_free(host->router);
  host->controller = NULL;
  host->router = NULL;
  scheduler_free(&host->world.tasks);
}

static void end_process(host *host, bool power_lost) {
  if (!host->alive)
    return;
  host->powered_off = power_lost;
  if (!power_lost)
    sim_http_reset_pending_calls(host);
  connections_reset_served(host);
  stop_tasks(host);
  connections_drop_pool(host);
  host->alive = false;
  host->next_wake_at = time_never();
  drain_inbox(host);
  if (host->on_stop)
    host->on_stop(host);
  free_process(host);
}

void host_kill(host *host) {
  end_process(host, false);
}

void host_power_off(host *host) {
  end_process(host, true);
  sim_disk_lose_unsynced(host->sim, host->disk);
}

void host_freeze(host *host) {
  host->frozen = true;
}

void host_unfreeze(host *host) {
  host->frozen = false;
  host->next_wake_at = host->sim->now;
  if (host->engine)
    host->engine->unfrozen_at = host->sim->now;
}

void host_free(host *host) {
  if (host->on_dispose)
    host->on_dispose(host);
  if (host->engine)
    engine_sim_free(host->engine);
  for (guint i = 0; i < host->past_engines->len; i++)
    engine_sim_free(host->past_engines->pdata[i]);
  g_ptr_array_free(host->past_engines, TRUE);
  if (host->platform)
    platform_sim_free(host->platform);
  if (host->loadgen)
    loadgen_free(host->loadgen);
  sim_disk_free(host->disk);
  list_remove(&host->link);
  g_free(host);
}
