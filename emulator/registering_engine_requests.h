#ifndef EMULATOR_REGISTERING_ENGINE_REQUESTS_H
#define EMULATOR_REGISTERING_ENGINE_REQUESTS_H
/** Requests to an engine: parsed and recorded, refused or queued, and run once admitted. */
#include "http_request.h"

typedef struct registering_engine_sim registering_engine_sim;

/** Serves a request from its arrival to its end; returns when the response has ended. */
void engine_requests_serve(registering_engine_sim *engine, http_request *request);
#endif
