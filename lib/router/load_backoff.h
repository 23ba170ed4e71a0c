#ifndef ROUTER_LOAD_BACKOFF_H
#define ROUTER_LOAD_BACKOFF_H
/**
 * Records the failed loads and the last unload of each model or adapter on each engine. Failed
 * loads are retried with exponential backoff.
 */
#include "engine.h"

typedef struct load_backoff {
  /** Number of consecutive failed loads, and when the load may be retried. */
  int failures;
  time_us retry_at;
  /** When it was last unloaded; 0 if never. */
  time_us unloaded_at;
} load_backoff;

/** Returns the entry of a model or adapter on an engine, and adds it if needed. Entries live as
 * long as the router. */
load_backoff *load_backoff_find(engine *engine, id model, id adapter);
/** Counts a failed load and sets when it may be retried. */
void load_backoff_record_failure(engine *engine, id model, id adapter);
#endif
