#ifndef EMULATOR_SIM_HOST_H
#define EMULATOR_SIM_HOST_H
#include "controller.h"
#include "router.h"
#include "sim_disk.h"
#include "simulators.h"

/** @file
 * Hosts of the simulated fleet. A host has a disk and runs at most one process. */

typedef struct sim sim;

enum host_role {
  HOST_CONTROLLER,
  HOST_ROUTER,
  HOST_ENGINE,
  HOST_PLATFORM,
  HOST_CALLERS,
  HOST_OTHER
};

/** A host and its process. */
typedef struct host {
  /** Clock, network, disk and scheduler of the process. Must be the first member, because a world
   * is cast to its host. Valid while alive. */
  world world;
  sim *sim;
  list_node link;
  id self, zone;
  /** Address of the process, host:port. */
  char addr[48];
  enum host_role role;
  /** Settings with which the next process starts; set by the code that adds the host. For an
   * engine, platform_address holds its type. */
  settings settings;
  sim_disk *disk;
  /** Whether a process runs, and whether it is paused. */
  bool alive, frozen;
  /** Whether the latest process ended by a power loss. Nothing then refuses connections or resets
   * them on its behalf. */
  bool powered_off;
  /** Fault: calls from this host read no part of a response before the response is complete. */
  bool reads_slowly;
  /** Fault: extra delay before a message from a peer is read here, in ms. */
  int64_t read_delay_ms;
  /** Number of the present or latest process; each start increments it. */
  uint64_t incarnation;
  /** When the next task of the process is due. */
  time_us next_wake_at;
  /** List of sim_event: the events that arrived while the process was frozen. */
  list_node inbox;
  /** Offset of the host's wall clock, which the log shows, from the simulation's clock. */
  int64_t wall_clock_offset_us;
  /** The process, by role; controller and router are NULL while none is alive. */
  controller *controller;
  router *router;
  engine_sim *engine;
  platform_sim *platform;
  loadgen *loadgen;
  /** Array of engine_sim: the ended processes of an engine, kept for the checks. */
  GPtrArray *past_engines;
  /** For engines: memory for weights in MB, adapter slots, and the faults of the next process. */
  uint64_t weights_mb;
  unsigned adapter_slots;
  engine_faults faults;
  /** Version of the latest configuration that the checks saw here; 0 after a start. */
  uint64_t config_version_seen;
  /** A random state for this host alone, so that its draws do not depend on other hosts; 0: the
   * host draws from the simulation's. */
  uint64_t random_state;
  /** When the link will have transmitted all messages that this host has sent to its peers. */
  time_us link_busy_until;
  /** Hooks: on_start runs at the end of a start, on_stop while the process ends, after its tasks
   * have ended, and on_dispose when the host is freed. */
  void (*on_start)(struct host *host), (*on_stop)(struct host *host),
      (*on_dispose)(struct host *host);
  void *context;
  /** List of channel (sim_channel.h): the idle connections that this process keeps open. */
  list_node pooled_connections;
} host;

/** Adds a host that has no process yet; the simulation owns it. */
host *sim_add_host(sim *sim, enum host_role role, const char *self, const char *area,
                   const char *addr);
/** Finds a host by its name or by its address; NULL when there is none. */
host *sim_find_host(sim *sim, const char *self);
host *sim_find_host_by_address(sim *sim, const char *addr);
/** Starts a process on a host that has none. */
void host_start(host *host);
/** Ends the process at once, if there is one; unsynced writes stay in the disk's cache. */
void host_kill(host *host);
/** Simulates a power loss: unsynced writes are lost, torn or kept at random, and connections are
 * not reset, so peers only see silence. */
void host_power_off(host *host);
/** Pauses the process; events that arrive for it wait in the inbox. */
void host_freeze(host *host);
void host_unfreeze(host *host);
/** Frees a host whose process has ended. */
void host_free(host *host);
#endif
