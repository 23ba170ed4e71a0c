#ifndef EMULATOR_FLEET_OPERATOR_H
#define EMULATOR_FLEET_OPERATOR_H
#include "sim_host.h"

/** @file
 * The operator of a fleet: calls to the API of our processes, with a record of each write. */

typedef struct fleet fleet;

/** The operator's record of one write; the fleet owns it. */
typedef struct operator_write {
  /** ended_at is 0 while there is no response. */
  time_us sent_at, ended_at;
  /** HTTP status; 0 while there is no response, and -code for an error of the call. */
  int status;
  /** enum resource_kind, or -1 when the path is not that of a resource. */
  int resource;
  /** For a policy marker: the status with which its rule refuses requests; else 0. */
  int marker_status;
  /** The version in the response. */
  uint64_t version;
  bool patch;
  char *text, idempotency_key[40];
} operator_write;

/** One call of the operator and its response; free it with operator_call_free. */
typedef struct operator_call {
  /** As in operator_write. */
  int status;
  GString *body;
  bool done;
  time_us ended_at;
  uint64_t version;
  char *method, *path, *text, *if_match, *idempotency_key;
  /** Address of the host that is called, and the operator's own host. */
  char addr[48];
  host *host;
  fleet *fleet;
  /** NULL for reads. */
  operator_write *write;
  /** Set by functions that do not wait for the call, which then frees itself when it has ended. */
  bool self_freeing;
} operator_call;

/** The acknowledgement of a write. */
typedef struct {
  uint64_t version;
  int resource;
  time_us acked_at;
} write_ack;

/** Sends a call to one host, without waiting; text, match (If-Match) and key (Idempotency-Key) may
 * be NULL. */
operator_call *fleet_send(fleet *fleet, host *to, const char *method, const char *path,
                          const char *text, const char *match, const char *key);
/** Like fleet_send, and runs the simulation until the call has ended or a timeout has passed. */
operator_call *fleet_call(fleet *fleet, host *to, const char *method, const char *path,
                          const char *text, const char *match, const char *key, time_us timeout);
void operator_call_free(operator_call *call);
/** Puts a resource through any controller that accepts it; returns its version, or 0 on failure. */
uint64_t fleet_put(fleet *fleet, const char *resource, const char *text);
#endif
