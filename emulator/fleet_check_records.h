#ifndef EMULATOR_FLEET_CHECK_RECORDS_H
#define EMULATOR_FLEET_CHECK_RECORDS_H
#include "fleet.h"

/** @file
 * Access of the checkers of a fleet to the records of engines and callers. */

/** Called with one process that an engine has had. */
typedef void engine_sim_visitor(fleet *fleet, host *host, engine_sim *engine, void *context);
/** Calls a function for each process of each engine, in order. */
void fleet_each_engine_sim(fleet *fleet, engine_sim_visitor *visit, void *context);

/** Records of requests by tag. It owns its tables but not the records. */
typedef struct request_records {
  /** From tag to a GPtrArray of loadgen_attempt, in the order of sending. */
  GHashTable *attempts;
  /** From tag to a GPtrArray of engine_sim_stream. */
  GHashTable *runs;
} request_records;

request_records request_records_new(fleet *fleet);
void request_records_free(request_records *records);
/** The attempts or the runs with a tag; empty if there are none. */
const GPtrArray *request_records_attempts(const request_records *records, const char *tag);
const GPtrArray *request_records_runs(const request_records *records, const char *tag);
/** The caller's attempt that a run belongs to: the last one that began no later than it, or NULL.
 */
loadgen_attempt *request_records_attempt_of_run(const request_records *records,
                                                const engine_sim_stream *run);

/** The orders that all processes of one engine, or of all engines, received, as an array of
 * engine_sim_order sorted by time; the caller frees it. */
GArray *engine_orders_of_host(fleet *fleet, host *host);
GArray *engine_orders_of_fleet(fleet *fleet);
#endif
