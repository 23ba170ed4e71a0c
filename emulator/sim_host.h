#ifndef EMULATOR_SIM_HOST_H
#define EMULATOR_SIM_HOST_H
#include "controller.h"
#include "router.h"
#include "sim_disk.h"
#include "simulators.h"

/** @file
 * Hosts of the simulated fleet: each has a disk and runs one process, or none. */

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
  /** What the process runs on; must be the first member. Valid while alive. */
  world world;
  sim *sim;
  list_node link;
  id self, area;
  /** Address of the process, host:port. */
  char addr[48];
  enum host_role role;
  /** Of the next process; set by whoever adds the host. */
  settings settings;
  sim_disk *disk;
  /** Whether a process runs, and whether it is paused. */
  bool alive, frozen;
  /** The latest process ended by a loss of power, so that nothing answers for it. */
  bool powered_off;
  /** Fault: its calls read nothing of a response before its end. */
  bool reads_slowly;
  /** How much later than usual messages from peers are read here, in ms. */
  int64_t read_delay_ms;
  /** Counts the processes; that of the present or latest one. */
  uint64_t incarnation;
  /** When a task of the process has to run next. */
  time_us next_wake_at;
  /** Of sim_event: what happened while the process was frozen. */
  list_node inbox;
  /** Difference of the wall clock, as the log shows it, from the simulation's time. */
  int64_t wall_clock_offset_us;
  /** The process by role; the first two are NULL while none is alive. */
  controller *controller;
  router *router;
  engine_sim *engine;
  platform_sim *platform;
  loadgen *loadgen;
  /** Of engine_sim: processes of an engine that have ended, kept for the checks. */
  GPtrArray *past_engines;
  /** Of an engine: its memory for weights, its slots and the faults of its next process. */
  uint64_t weights_mb;
  unsigned slots;
  engine_faults faults;
  /** The latest configuration that the checks saw here; 0 after a start. */
  uint64_t config_version_seen;
  /** Random state of its own, so that its draws do not depend on other hosts; 0: the simulation's.
   */
  uint64_t random_state;
  /** Until when what this host sent to its peers keeps its link busy. */
  time_us link_busy_until;
  /** Called at the end of a start, in the middle of an end once no task is left, and when the host
   * is freed. */
  void (*on_start)(struct host *host), (*on_stop)(struct host *host),
      (*on_dispose)(struct host *host);
  void *context;
  /** Idle connections that this process keeps. */
  list_node pooled_connections;
} host;

/** Adds a host without a process; the simulation owns it. */
host *sim_add_host(sim *sim, enum host_role role, const char *self, const char *area,
                   const char *addr);
/** The host of a name, or of an address, or NULL. */
host *sim_find_host(sim *sim, const char *self);
host *sim_find_host_by_address(sim *sim, const char *addr);
/** Starts a process on a host that has none. */
void host_start(host *host);
/** Ends the process at once, if there is one; the disk's cache stays. */
void host_kill(host *host);
/** Takes the power away: unsynced writes are lost, torn or kept at random, and no peer sees a
 * connection being reset. */
void host_power_off(host *host);
/** Pauses the process; what arrives waits in the inbox. */
void host_freeze(host *host);
void host_unfreeze(host *host);
/** Frees a host whose process has ended. */
void host_free(host *host);
#endif
