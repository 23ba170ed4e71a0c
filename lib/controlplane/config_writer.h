/** Writes configuration changes that are received on the control listener.
 *
 * A caller that gets no response retries its request, so identical requests must be written only
 * once. A request that is identical to one in progress waits for the same write. A later one is
 * recognized by the replicated list of accepted changes (accepted_changes.h). A change is checked
 * against the state after all ordered writes, committed or not. A response must not depend on
 * writes that may still be lost: a refusal is sent only after the writes that it is based on are
 * committed, and a retry succeeds only after the original write is committed. */
#ifndef CONTROLPLANE_CONFIG_WRITER_H
#define CONTROLPLANE_CONFIG_WRITER_H
#include "dialect.h"
#include "version_reports.h"

/** Longest time from the receipt of a request to its response, in ms: the API promises a response
 * within one second. A change that has not been decided on by then is not written. */
enum { CONFIG_RESPONSE_TIMEOUT_MS = 850 };

typedef struct config_writer {
  node *node;
  replica *replica;
  version_reports *version_reports;
  /** The dialect of the callers. */
  const dialect *dialect;
  /** The changes in progress by config_write.key; keys and values belong to their tasks. */
  GHashTable *writes;
  /** Hash and version of the last text that was parsed, cached since texts may be long. */
  uint64_t cached_text_hash, cached_version;
} config_writer;

/** A request to change the configuration. */
typedef struct config_write_request {
  /** A full configuration, not a patch. */
  bool is_full;
  uint64_t base_version;
  string_view body;
  time_us received_at;
} config_write_request;

/** A change in progress, shared by its task and the requests that wait for it. Only the task
 * modifies it. */
typedef struct config_write {
  config_writer *writer;
  bool is_full;
  uint64_t base_version;
  /** The version that the change creates, as named in its body. */
  uint64_t version;
  /** Hash of body, base_version and is_full. */
  uint64_t hash;
  /** Key in config_writer.writes: two hashes. */
  char key[80];
  json *body;
  /** A change that has not been decided on by this time is refused, since its callers have been
   * answered by then. */
  time_us decide_deadline;
  /** Sequence number of the write; valid once it is done without an error. */
  uint64_t seq;
  /** An identical request was written earlier, as write `seq`. */
  bool was_accepted_before;
  /** Whether the change was decided on. At that time decided_at_seq was the last ordered write, and
   * the replica's log had been reset log_resets times. */
  bool is_decided;
  uint64_t decided_at_seq, log_resets;
  /** Set together with `err` at the end; then `completed` is broadcast. */
  bool is_done;
  error err;
  condition completed;
  int reference_count;
} config_write;

/** The other modules must outlive `writer`. */
void config_writer_init(config_writer *writer, node *node, replica *replica,
                        version_reports *version_reports, const dialect *dialect);
/** Frees the writer; no task may be left. */
void config_writer_free(config_writer *writer);
/** Starts the write of a request, or joins an identical one in progress. Returns NULL and sets
 * `err` when the body is not JSON. The caller releases its reference with config_write_unref. */
config_write *config_writer_start(config_writer *writer, const config_write_request *request,
                                  error *err);
/** Waits until a write is done. Returns its outcome, or E_OUTCOME_UNKNOWN at the deadline, while
 * the write continues. */
enum error_code config_write_wait(config_write *write, time_us deadline, error *err);
void config_write_unref(config_write *write);
#endif
