#ifndef ROUTER_MODEL_LOADING_H
#define ROUTER_MODEL_LOADING_H
/**
 * Loads models and adapters on the engines whose lease this router holds.
 *
 * A load has these steps: for an adapter, its model is loaded first; capacity is freed by unloading
 * what the eviction policy selects; a load permit is obtained; the order is sent. Only the engine's
 * reports show the outcome of an order. Until a report does, the capacity of a load counts as taken
 * (reserved) and that of an unload as not yet free, so no engine is ever overcommitted, even when
 * messages are lost.
 */
#include "engine.h"

/** A load is wasted when the loaded model or adapter is unloaded before any request used it, or
 * when it was last unloaded less than this many load times before. */
enum { WASTED_LOAD_WINDOW_FACTOR = 10 };

/** Owned by model_loading.c. On gateways, lib/gateway writes load_count and unload_count. */
typedef struct model_loading {
  uint64_t load_count, failed_loads, unload_count;
  /** Wasted loads (see WASTED_LOAD_WINDOW_FACTOR), and unloads of models or adapters that ran
   * streams. */
  uint64_t wasted_loads, busy_unloads;
  /** "engine/model+adapter" -> load_backoff; entries of load_backoff.c. */
  GHashTable *backoffs;
} model_loading;

void model_loading_init(model_loading *loading);
void model_loading_free(model_loading *loading);
/** Registers the handlers of load requests and permits. */
void model_loading_start(router *router);
/** Starts the task that loads models on an engine. */
void model_loading_start_engine(engine *engine);
/** Looks up in the catalogue the MB of weights and the adapter slots that a model, or an adapter on
 * it, takes; false when the catalogue does not list it. */
bool model_loading_find_size(router *router, id model, id adapter, uint64_t *weights_mb,
                             unsigned *slots);
/** Returns the expected load time in ms on an engine type: the measured time, or the one in the
 * catalogue. */
double model_loading_estimate_ms(router *router, id type, id model, id adapter);
/** Loads a model, or a model and then an adapter on it, and waits until it is up. On failure
 * *retry_after_ms is set to the time after which to retry, if known. */
enum error_code model_loading_load(engine *engine, id model, id adapter, uint64_t *retry_after_ms,
                                   error *err);
#endif
