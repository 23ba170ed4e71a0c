#ifndef EMULATOR_REGISTERING_ENGINE_REPORT_H
#define EMULATOR_REGISTERING_ENGINE_REPORT_H
/**
 * State reports of an engine. As with real engines they lag behind: a report shows an earlier
 * state, from snapshots taken at each change.
 */
#include "http_request.h"

typedef struct registering_engine_sim registering_engine_sim;

/** Snapshots of an engine's state (oldest first). Only this module writes it. */
typedef struct engine_report_state {
  GQueue snapshots;
} engine_report_state;

void engine_report_init(engine_report_state *state);
void engine_report_clear(engine_report_state *state);
/** Records the present state for later reports; called after each change. */
void engine_report_take_snapshot(registering_engine_sim *engine);
/** Responds to a request for the report. */
void engine_report_respond(registering_engine_sim *engine, http_request *request);
#endif
