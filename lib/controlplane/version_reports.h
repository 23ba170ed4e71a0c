/** The latest write that each router reports to have applied.
 *
 * A write is in force once half of the known routers have reported it. Routers that are gone still
 * count as known: a router that reaches no controller takes work only while more than half of all
 * routers know of no newer configuration, and any such majority has a router with the write. */
#ifndef CONTROLPLANE_VERSION_REPORTS_H
#define CONTROLPLANE_VERSION_REPORTS_H
#include "replica.h"

typedef struct version_reports {
  node *node;
  replica *replica;
  /** Maps the id of a router to its latest report. Owns keys and values. */
  GHashTable *by_router;
  /** Broadcast when a router reports a later write, or reports for the first time after a restart.
   */
  condition changed;
} version_reports;

/** Registers the handler of VersionReport. `node` and `replica` must outlive `reports`. */
void version_reports_init(version_reports *reports, node *node, replica *replica);
void version_reports_free(version_reports *reports);
/** Waits until a write is in force. Returns E_TOO_FEW_ROUTERS at the deadline or when the process
 * stops. Returns OK at once with relaxed settings. */
enum error_code version_reports_wait(version_reports *reports, uint64_t seq, time_us deadline,
                                     error *err);
#endif
