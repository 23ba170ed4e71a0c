#ifndef EMULATOR_ENGINE_SIM_INTERNAL_H
#define EMULATOR_ENGINE_SIM_INTERNAL_H
/** Functions shared by the modules of the simulated engine. */
#include "engine_sim.h"

/** Returns a model (adapter empty) or adapter in memory, or NULL. */
engine_sim_item *engine_sim_find_item(engine_sim *engine, id model, id adapter);
void engine_sim_remove_item(engine_sim_item *item);
/** Wakes the requests that wait for a new report. */
void engine_sim_signal_report(engine_sim *engine);
/** Writes a record line: its type, the time, the engine and the rest. */
void engine_sim_write_record(engine_sim *engine, char type, const char *rest);
/** Responds with a status, a text, and the statement that nothing was run. */
void engine_sim_respond(http_request *request, int status, const char *text);

/** Serves the state report: at once if it differs from the one that the client has, otherwise when
 * it changes or the long poll times out. */
void engine_sim_serve_state(engine_sim *engine, http_request *request);
/** Serves an order to load or unload. */
void engine_sim_serve_order(engine_sim *engine, http_request *request,
                            enum engine_sim_order_kind kind);
/** Serves a run as an event stream. */
void engine_sim_serve_run(engine_sim *engine, http_request *request);
#endif
