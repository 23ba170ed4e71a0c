#ifndef EMULATOR_GATEWAY_CHECK_INDEX_H
#define EMULATOR_GATEWAY_CHECK_INDEX_H
#include "deployment.h"
#include "gateway_check.h"

/** @file
 * Shared by the checkers of gateways: an index of the records by request, and queries about records
 * and injected faults. */

/** Records of a deployment by request id. It owns its tables but not the records, and is valid
 * until records are added. */
typedef struct check_index {
  deployment *deployment;
  fleet *fleet;
  /** From request id to client_sim_attempt. */
  GHashTable *attempts;
  /** From request id to a GPtrArray of engine_run_record, in the order of arrival. */
  GHashTable *runs;
} check_index;

check_index check_index_new(deployment *deployment);
void check_index_free(check_index *index);
/** The attempt with a request id, or NULL. */
client_sim_attempt *check_index_attempt(const check_index *index, const char *request_id);
/** The runs of an attempt, in the order of arrival; empty if there are none. */
const GPtrArray *check_index_runs(const check_index *index, const client_sim_attempt *attempt);

/** Calls a check for each attempt, or each run, in the order in which they were recorded. */
void check_each_attempt(deployment *deployment,
                        void (*check)(const check_index *index, const client_sim_attempt *attempt));
void check_each_run(deployment *deployment,
                    void (*check)(const check_index *index, const engine_run_record *run));

/** True when an engine began to run a request, however it ended. */
bool check_was_run(const engine_run_record *run);
/** True when the engine lost or truncated the response, or the run timed out. */
bool check_was_interrupted(const engine_run_record *run);
/** True when requests of a kind may be run more than once. */
bool check_is_retryable(const client_sim_kind *kind);
/** The host with the IP of an address, or NULL. */
host *check_host_of_ip(const deployment *deployment, const char *address);
/** True when a fault of a host or of the control plane, including the FAULT_AFTERMATH_MS after it,
 * overlaps a span. With host NULL, only faults of the control plane count. */
bool check_had_fault(const deployment *deployment, const host *host, time_us from, time_us until);
bool check_had_fault_at(const deployment *deployment, const host *host, time_us at);
/** Whether the gateway of an attempt had a fault when the attempt was sent. */
bool check_sent_in_fault(const deployment *deployment, const client_sim_attempt *attempt);
/** True when a fault overlaps an attempt; with aftermath, the FAULT_AFTERMATH_MS after the fault
 * count as part of it. */
bool check_fault_overlaps(const injected_fault *fault, const client_sim_attempt *attempt,
                          bool aftermath);
/** Counts the elements of an array of time_us in [from, until), in us. */
int check_count_between(const GArray *instants, int64_t from, int64_t until);
#endif
