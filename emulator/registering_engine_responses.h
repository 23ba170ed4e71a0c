#ifndef EMULATOR_REGISTERING_ENGINE_RESPONSES_H
#define EMULATOR_REGISTERING_ENGINE_RESPONSES_H
/**
 * Responses of an engine to requests that run: plain ones after a fixed time of work, and event
 * streams. The plan's response faults (lost, truncated, stray responses) are simulated here.
 */
#include "http_request.h"
#include "registering_engine_batch.h"

/** The last plain response sent in full: stray responses repeat it. */
typedef struct engine_last_response {
  char request_id[64], run_id[80];
  size_t body_bytes;
} engine_last_response;

/** Adds the header fields that each response to a run carries. */
void engine_response_add_headers(registering_engine_sim *engine, http_request *request,
                                 const engine_run_record *record);
/** Serves a plain response and records the outcome. */
void engine_response_serve_plain(active_request *active, http_request *request, time_us deadline);
/** Serves an event stream and records the outcome. */
void engine_response_serve_stream(active_request *active, http_request *request, time_us deadline);
/** Gives no response: waits until the client is gone, the time is over or the engine stops. */
void engine_response_withhold(registering_engine_sim *engine, http_request *request, int64_t ms);
#endif
