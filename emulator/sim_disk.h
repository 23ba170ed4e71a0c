#ifndef EMULATOR_SIM_DISK_H
#define EMULATOR_SIM_DISK_H
#include "base.h"

/** @file
 * The simulated disk of a host. It outlives the processes of the host; a power loss drops, tears or
 * keeps each write that was not synced. */

enum { SIM_DISK_FILES_MAX = 8 };

typedef struct sim sim;
typedef struct host host;

/** A write that has not been made durable by a sync yet. */
typedef struct {
  unsigned file;
  size_t offset, length;
  char *data;
} unsynced_write;

typedef struct sim_disk {
  /** The data that a process reads, and the data that survives a power loss; NULL for files that do
   * not exist. */
  char *cached_data[SIM_DISK_FILES_MAX], *durable_data[SIM_DISK_FILES_MAX];
  /** Size of each file, in bytes. */
  size_t size;
  /** Array of unsynced_write, in the order in which they were written. */
  GArray *unsynced_writes;
  /** Fault: extra time that each operation except a read takes. */
  int64_t operation_delay_ms;
  /** Fault: no operation except a read ends before this instant. */
  time_us stalled_until;
  /** Faults: writes, or all operations except reads, end with an error. */
  bool full, fails;
  /** Fault: a power loss keeps or drops each file whose creation was not synced, and each sector of
   * a write that was not synced, independently. */
  bool tears_writes, creation_synced[SIM_DISK_FILES_MAX];
} sim_disk;

/** Creates an empty disk; free it with sim_disk_free. */
sim_disk *sim_disk_new(void);
void sim_disk_free(sim_disk *disk);
/** Connects the process of a host to the host's disk. */
void sim_disk_attach(host *host);
/** Simulates a power loss: each unsynced write is dropped, torn or kept at random. */
void sim_disk_lose_unsynced(sim *sim, sim_disk *disk);
/** Empties the disk of a host. */
void host_wipe_disk(host *host);
#endif
