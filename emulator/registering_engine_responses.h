#ifndef EMULATOR_REGISTERING_ENGINE_RESPONSES_H
#define EMULATOR_REGISTERING_ENGINE_RESPONSES_H
/**
 * Responses of an engine to requests that run: plain responses after a fixed duration, and event
 * streams. The plan's response faults (lost, truncated, stray responses) are simulated here.
 */
#include "http_request.h"
#include "registering_engine_batch.h"

/** The last plain response that was sent completely; stray responses repeat it. */
typedef struct engine_last_response {
  char request_id[64], run_id[80];
  size_t body_bytes;
} engine_last_response;

/** Adds the header fields that every response to a run has. */
void engine_response_add_headers(registering_engine_sim *engine, http_request *request,
                                 const engine_run_record *record);
/** Serves a plain response and records the outcome. */
void engine_response_serve_plain(active_request *active, http_request *request, time_us deadline);
/** Serves an event stream and records the outcome. */
void engine_response_serve_stream(active_request *active, http_request *request, time_us deadline);
/** Sends no response: waits until the client disconnects, the time has passed or the engine stops.
 */
void engine_response_withhold(registering_engine_sim *engine, http_request *request, int64_t ms);
#endif
