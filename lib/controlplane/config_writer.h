/** Writes configuration changes that come by the control listener.
 *
 * A caller that gets no response repeats its request, so equal requests must be written once only.
 * An equal request that comes while the first is in progress joins it. One that comes later is
 * recognised by the replicated list of accepted changes (accepted_changes.h). A change is decided
 * on against all that is ordered, committed or not. A response may not rest on what may still be
 * lost: a refusal waits until the writes that it was decided on are committed, and the success of a
 * repeat until the first write is. */
#ifndef CONTROLPLANE_CONFIG_WRITER_H
#define CONTROLPLANE_CONFIG_WRITER_H
#include "dialect.h"
#include "version_reports.h"

/** Longest time from the receipt of a request to its response, in ms: the interface promises one
 * within one second. A change that has not been decided on by then is not written. */
enum { CONFIG_RESPONSE_TIMEOUT_MS = 850 };

typedef struct config_writer {
  node *node;
  replica *replica;
  version_reports *version_reports;
  /** The one in which callers write their changes. */
  const dialect *dialect;
  /** The changes in progress, by their keys; keys and values are those of the changes' tasks. */
  GHashTable *writes;
  /** Version of the last text that was looked at, since texts may be long; with a hash of it. */
  uint64_t cached_text_hash, cached_version;
} config_writer;

/** A request for a change. */
typedef struct config_write_request {
  /** A full configuration, not a patch. */
  bool is_full;
  uint64_t base_version;
  string_view body;
  time_us received_at;
} config_write_request;

/** A change in progress, shared by its task and the requests that wait for it. Only the task writes
 * to it. */
typedef struct config_write {
  config_writer *writer;
  bool is_full;
  uint64_t base_version;
  /** The version that the change makes, as its body says. */
  uint64_t version;
  /** Over body, base_version and is_full. */
  uint64_t hash;
  /** Key in the writer's table: two hashes. */
  char key[80];
  json *body;
  /** It is not decided on later than this, since its callers have been answered by then. */
  time_us decide_deadline;
  /** The number of the write; valid when it is done without an error. */
  uint64_t seq;
  /** An equal request was written before, as `seq`. */
  bool was_accepted_before;
  /** It was decided on, when decided_at_seq was the last ordered write, and the replica's log had
   * been reset log_resets times. */
  bool is_decided;
  uint64_t decided_at_seq, log_resets;
  /** Set last, together with `err`; then `completed` is broadcast. */
  bool is_done;
  error err;
  condition completed;
  int reference_count;
} config_write;

/** The other modules must outlive `writer`. */
void config_writer_init(config_writer *writer, node *node, replica *replica,
                        version_reports *version_reports, const dialect *dialect);
/** Frees it, once no task is left. */
void config_writer_free(config_writer *writer);
/** Starts the write of a request, or joins an equal one. Returns NULL, with `err` set, when the
 * body is no JSON. The caller gives its reference back with config_write_unref. */
config_write *config_writer_start(config_writer *writer, const config_write_request *request,
                                  error *err);
/** Waits until a write is done. Returns its outcome, or E_OUTCOME_UNKNOWN at the deadline; the
 * write goes on. */
enum error_code config_write_wait(config_write *write, time_us deadline, error *err);
void config_write_unref(config_write *write);
#endif
