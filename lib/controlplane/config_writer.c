/** Writes configuration changes that are received on the control listener; see config_writer.h. */
#include "config_writer.h"
#include "api_error.h"
#include "config_change.h"
#include "operation_pack.h"
#include <stdio.h>

enum {
  /** Longest time for a write to be committed and in force, in ms; its callers are answered long
   * before (CONFIG_RESPONSE_TIMEOUT_MS). */
  WRITE_TIMEOUT_MS = 5000
};

/* Returns the version that a text names, and caches it. */
static uint64_t version_of(config_writer *writer, string_view text) {
  uint64_t hash = hash_bytes(text.data, text.length, text.length);
  if (hash != writer->cached_text_hash) {
    writer->cached_version = config_change_version(text);
    writer->cached_text_hash = hash;
  }
  return writer->cached_version;
}

/* Caches the version of a text that is about to be ordered. */
static void cache_version(config_writer *writer, string_view text, uint64_t version) {
  writer->cached_text_hash = hash_bytes(text.data, text.length, text.length);
  writer->cached_version = version;
}

void config_write_unref(config_write *write) {
  if (--write->reference_count)
    return;
  json_free(write->body);
  g_free(write);
}

/* Looks up the write that was made for an earlier identical request. */
static bool find_accepted(config_write *write, const state *ordered) {
  const accepted_change *accepted =
      accepted_changes_find(&ordered->accepted, write->base_version, write->hash);
  if (accepted) {
    write->seq = accepted->seq;
    return true;
  }
  /* older versions of asterfall recorded the key instead of an accepted change */
  const idempotency_record *record = state_find_idempotency_record(ordered, write->key);
  if (record)
    write->seq = record->seq;
  return record != NULL;
}

static void pack_write(const config_write *write, string_view text, GString *packed) {
  Wire__Operation operation = WIRE__OPERATION__INIT;
  Wire__AcceptedChange accepted = WIRE__ACCEPTED_CHANGE__INIT;
  accepted.base_version = write->base_version;
  accepted.hash = write->hash;
  operation.accepted_change = &accepted;
  operation_pack_resource(&operation, RESOURCE_ROUTING, text, packed);
}

/* Applies the change to the current configuration, and packs the result. */
static enum error_code apply_change(config_write *write, string_view current_text,
                                    uint64_t current_version, GString *packed, error *err) {
  GString *next = g_string_new(NULL);
  enum error_code code = config_change_apply(current_text, current_version, write->is_full,
                                             write->base_version, write->body, next, err);
  if (!code) {
    pack_write(write, string_view_of_gstring(next), packed);
    cache_version(write->writer, string_view_of_gstring(next), write->version);
  }
  g_string_free(next, TRUE);
  return code;
}

/* An operation_builder: checks a change against the state after all ordered writes. */
static enum error_code build_write(void *ctx, state *ordered, GString *packed, error *err) {
  config_write *write = ctx;
  config_writer *writer = write->writer;
  if (time_reached(world_now(writer->node->world), write->decide_deadline))
    return error_set(err, E_NO_CONTROLLER, "the head was busy for too long; nothing was written");
  write->is_decided = true;
  write->decided_at_seq = ordered->seq;
  write->log_resets = writer->replica->log_resets;
  write->was_accepted_before = find_accepted(write, ordered);
  if (write->was_accepted_before)
    return OK;
  string_view current_text = string_view_of_gstring(ordered->resources[RESOURCE_ROUTING].text);
  uint64_t current = version_of(writer, current_text);
  if (write->base_version != current &&
      accepted_changes_may_include(&ordered->accepted, write->base_version))
    return error_set(err, E_OUTCOME_UNKNOWN,
                     "it builds on a version so old that nobody remembers whether it was taken");
  return apply_change(write, current_text, current, packed, err);
}

/* Waits until a write that the decision is based on is committed. Returns false when it may be
 * lost. */
static bool wait_committed(const config_write *write, uint64_t seq, time_us deadline) {
  replica *replica = write->writer->replica;
  scheduler *tasks = &write->writer->node->world->tasks;
  while (replica->committed.seq < seq && replica->log_resets == write->log_resets)
    if (condition_wait(tasks, &replica->state_changed, deadline) != WAKE_SIGNALLED)
      break;
  /* after a reset of the log another write may have the same sequence number */
  return replica->log_resets == write->log_resets && replica->committed.seq >= seq;
}

/* Waits until the writes that a decision is based on are committed: the write of an earlier
 * identical request, or the writes that caused a refusal. Returns the outcome. */
static enum error_code confirm_decision(config_write *write, enum error_code code,
                                        time_us deadline) {
  if (!code && write->was_accepted_before && !wait_committed(write, write->seq, deadline))
    return error_set(&write->err, E_OUTCOME_UNKNOWN,
                     "the first try of this order is not confirmed yet");
  bool is_refusal = code && api_error_status(API_CONTROL, code) < HTTP_SERVER_ERROR;
  if (is_refusal && write->is_decided && !wait_committed(write, write->decided_at_seq, deadline))
    return error_set(&write->err, E_NO_CONTROLLER,
                     "another order is under way; nothing was written");
  return code;
}

/* Task: performs a write, and continues even after all callers have been answered. */
static void write_run(void *ctx) {
  config_write *write = ctx;
  config_writer *writer = write->writer;
  time_us deadline = time_add(world_now(writer->node->world), time_from_ms(WRITE_TIMEOUT_MS));
  enum error_code code = replica_write(writer->replica, build_write, write,
                                       time_from_ms(WRITE_TIMEOUT_MS), &write->seq, &write->err);
  code = confirm_decision(write, code, deadline);
  if (!code)
    code = version_reports_wait(writer->version_reports, write->seq, deadline, &write->err);
  write->err.code = code;
  write->is_done = true;
  g_hash_table_remove(writer->writes, write->key);
  condition_broadcast(&write->completed);
  config_write_unref(write);
}

/* Returns the hash of a request for the list of accepted changes, and writes its key in the table
 * of writes. Both are stored in the replicated state, so their format must not change. */
static uint64_t hash_request(const config_write_request *request, char *key, size_t key_size) {
  uint64_t kind = request->base_version * 2 + request->is_full;
  uint64_t hash = hash_bytes(request->body.data, request->body.length, kind);
  snprintf(key, key_size, "cfg-%016" PRIx64 "%016" PRIx64, hash,
           hash_bytes(request->body.data, request->body.length, ~kind));
  return hash;
}

/* Makes a write with references for its task and for the caller. Takes ownership of `body`. */
static config_write *new_write(config_writer *writer, const config_write_request *request,
                               json *body) {
  config_write *write = g_new0(config_write, 1);
  write->writer = writer;
  write->is_full = request->is_full;
  write->base_version = request->base_version;
  write->version = (uint64_t)MAX(0, json_number(body, "version", 0));
  write->hash = hash_request(request, write->key, sizeof write->key);
  write->body = body;
  write->decide_deadline = time_add(request->received_at, time_from_ms(CONFIG_RESPONSE_TIMEOUT_MS));
  write->reference_count = 2;
  condition_init(&write->completed);
  return write;
}

config_write *config_writer_start(config_writer *writer, const config_write_request *request,
                                  error *err) {
  char key[sizeof((config_write *)NULL)->key];
  hash_request(request, key, sizeof key);
  config_write *write = g_hash_table_lookup(writer->writes, key);
  if (write) {
    write->reference_count++;
    return write;
  }
  json *body = json_parse(request->body, err);
  if (!body)
    return NULL;
  dialect_translate_in(writer->dialect, body);
  write = new_write(writer, request, body);
  g_hash_table_insert(writer->writes, write->key, write);
  task_start(&writer->node->world->tasks, "write configuration", write_run, write);
  return write;
}

enum error_code config_write_wait(config_write *write, time_us deadline, error *err) {
  scheduler *tasks = &write->writer->node->world->tasks;
  while (!write->is_done)
    if (condition_wait(tasks, &write->completed, deadline) != WAKE_SIGNALLED)
      break;
  if (!write->is_done)
    return error_set(err, E_OUTCOME_UNKNOWN,
                     "the controller has not confirmed it yet; the outcome is not known");
  *err = write->err;
  return err->code;
}

void config_writer_init(config_writer *writer, node *node, replica *replica,
                        version_reports *version_reports, const dialect *dialect) {
  writer->node = node;
  writer->replica = replica;
  writer->version_reports = version_reports;
  writer->dialect = dialect;
  writer->writes = g_hash_table_new(g_str_hash, g_str_equal);
}

void config_writer_free(config_writer *writer) {
  g_hash_table_destroy(writer->writes);
}
