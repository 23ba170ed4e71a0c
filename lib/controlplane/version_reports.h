/** Which write each router has applied, as the routers report.
 *
 * A write is in force once half of the known routers have reported it. Routers that are gone count
 * among the known ones: more than half of all serve without a controller only together, so one of
 * the routers that have the write is among them. */
#ifndef CONTROLPLANE_VERSION_REPORTS_H
#define CONTROLPLANE_VERSION_REPORTS_H
#include "replica.h"

typedef struct version_reports {
  node *node;
  replica *replica;
  /** Router's id to its latest report; keys and values are owned. */
  GHashTable *by_router;
  /** Broadcast when a router reports a later write. */
  condition changed;
} version_reports;

/** Registers the handler of VersionReport. `node` and `replica` must outlive `reports`. */
void version_reports_init(version_reports *reports, node *node, replica *replica);
void version_reports_free(version_reports *reports);
/** Waits until a write is in force. Returns E_TOO_FEW_ROUTERS at the deadline or when the process
 * stops. With relaxed settings it returns OK at once. */
enum error_code version_reports_wait(version_reports *reports, uint64_t seq, time_us deadline,
                                     error *err);
#endif
