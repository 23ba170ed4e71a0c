#ifndef EMULATOR_SIM_DISK_H
#define EMULATOR_SIM_DISK_H
#include "base.h"

/** @file
 * The simulated disk of a host. It outlives the processes of the host; a loss of power loses, tears
 * or keeps each write that was not synced. */

enum { SIM_DISK_FILES_MAX = 8 };

typedef struct sim sim;
typedef struct host host;

/** A write that no sync has made durable yet. */
typedef struct {
  unsigned file;
  size_t offset, length;
  char *data;
} unsynced_write;

typedef struct sim_disk {
  /** What a process reads, and what survives a loss of power; NULL for files that do not exist. */
  char *cached_data[SIM_DISK_FILES_MAX], *durable_data[SIM_DISK_FILES_MAX];
  /** Bytes of each file. */
  size_t size;
  /** Of unsynced_write, in the order in which they were written. */
  GArray *unsynced_writes;
  /** Fault: what each operation takes longer than usual. */
  int64_t sync_delay_ms;
  /** Fault: no operation ends before this instant. */
  time_us stalled_until;
  /** Faults: writes, or all operations, end with an error. */
  bool full, fails;
  /** Fault: a loss of power keeps or loses each file whose creation was not synced, and each sector
   * of a write that was not synced, independently. */
  bool tears_writes, creation_synced[SIM_DISK_FILES_MAX];
} sim_disk;

/** An empty disk; freed by sim_disk_free. */
sim_disk *sim_disk_new(void);
void sim_disk_free(sim_disk *disk);
/** Makes the disk of a host the one that its process uses. */
void sim_disk_attach(host *host);
/** Power is lost: what was not synced is lost, torn or kept at random. */
void sim_disk_lose_unsynced(sim *sim, sim_disk *disk);
/** Gives a host an empty disk. */
void host_wipe_disk(host *host);
#endif
