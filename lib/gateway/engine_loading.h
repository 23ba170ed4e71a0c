/** One load on one engine, from eviction to the engine's confirmation; see engine_loading.c. */
#ifndef GATEWAY_ENGINE_LOADING_H
#define GATEWAY_ENGINE_LOADING_H
#include "load_jobs.h"

/** Loads a job's model and adapter. On an error, retry_after_ms is the time to wait before another
 * attempt. */
enum error_code engine_loading_run(gateway_engine *engine, load_job *job, int64_t *retry_after_ms,
                                   error *err);
#endif
