/** Heartbeats and sign-offs of engines at the control listener. */
#ifndef CONTROLPLANE_ENGINE_HEARTBEAT_API_H
#define CONTROLPLANE_ENGINE_HEARTBEAT_API_H
#include "dialect.h"
#include "registry_sync.h"

/** Records a heartbeat of the engine `engine_id`, whose body uses the names of the dialect, and
 * responds. */
void engine_heartbeat_api_serve_heartbeat(registry_sync *sync, const dialect *dialect,
                                          http_request *request, id engine_id);
/** Records that the engine has ended permanently, and responds. */
void engine_heartbeat_api_serve_sign_off(registry_sync *sync, http_request *request, id engine_id);
#endif
