/**
 * The log of records of registering engines, and the contents of requests and responses that
 * clients and engines compute independently of each other.
 */
#include "registering_engine_records.h"

enum { RESPONSE_LINE_BYTES = 64, CHECKSUM_SEED = 7 };

bool engine_run_is_not_run(const engine_run_record *run) {
  switch (run->outcome) {
  case ENGINE_RUN_REFUSED:
  case ENGINE_RUN_MISDIRECTED:
  case ENGINE_RUN_DEQUEUED:
    return true;
  default:
    return false;
  }
}

engine_record_log *engine_record_log_new(void) {
  engine_record_log *log = g_new0(engine_record_log, 1);
  log->runs = g_ptr_array_new_with_free_func(g_free);
  log->orders = g_ptr_array_new_with_free_func(g_free);
  log->stops = g_ptr_array_new_with_free_func(g_free);
  return log;
}

void engine_record_log_free(engine_record_log *log) {
  g_ptr_array_free(log->runs, TRUE);
  g_ptr_array_free(log->orders, TRUE);
  g_ptr_array_free(log->stops, TRUE);
  g_free(log);
}

void engine_response_body(GString *to, const char *request_id, size_t n) {
  size_t period = MAX(strlen(request_id), 1);
  for (size_t i = 0; i < n; i++) {
    bool line_end = i % RESPONSE_LINE_BYTES == RESPONSE_LINE_BYTES - 1;
    g_string_append_c(to, line_end ? '\n' : request_id[i % period]);
  }
}

uint64_t engine_request_checksum(const char *method, const char *target, string_view body) {
  uint64_t checksum = hash_bytes(method, strlen(method), CHECKSUM_SEED);
  checksum = hash_bytes(target, strlen(target), checksum);
  return hash_bytes(body.data, body.length, checksum);
}
