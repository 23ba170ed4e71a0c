#ifndef ROUTER_LOAD_BACKOFF_H
#define ROUTER_LOAD_BACKOFF_H
/**
 * What is remembered of loads and unloads of a model or adapter on an engine: loads that failed are
 * not retried at once, and less and less often.
 */
#include "engine.h"

typedef struct load_backoff {
  /** Loads that failed in a row, and the end of the wait after the last one. */
  int failures;
  time_us retry_at;
  /** When it was last unloaded; 0: never. */
  time_us unloaded_at;
} load_backoff;

/** The entry of a model or adapter on an engine; lives as long as the router. */
load_backoff *load_backoff_find(engine *engine, id model, id adapter);
/** Records that a load failed: counts it and sets when it may be retried. */
void load_backoff_record_failure(engine *engine, id model, id adapter);
#endif
