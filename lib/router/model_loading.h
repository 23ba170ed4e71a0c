#ifndef ROUTER_MODEL_LOADING_H
#define ROUTER_MODEL_LOADING_H
/**
 * Loads models and adapters on the engines whose lease this router holds.
 *
 * A load goes through these steps: an adapter's model first; then capacity, for which other models
 * are unloaded by the eviction policy; then a load permit; then the order itself. Only the engine's
 * reports say what became of an order. Until one does, the capacity of a load counts as taken
 * (reserved), and that of an unload as not free yet, so no engine is ever overcommitted, whatever
 * happens to messages.
 */
#include "engine.h"

/** A load is wasted when nobody used what it brought before it was unloaded, or when it brings back
 * what was unloaded less than this many of its load times before. */
enum { WASTED_LOAD_WINDOW_FACTOR = 10 };

/** Owned by model_loading.c; load_count and unload_count on gateways by lib/gateway. */
typedef struct model_loading {
  uint64_t load_count, failed_loads, unload_count;
  /** Loads in vain, see WASTED_LOAD_WINDOW_FACTOR, and unloads of what ran streams. */
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
/** MB of weights and adapter slots that a model, or an adapter on it, takes by the catalogue; false
 * when the catalogue does not list it. */
bool model_loading_find_size(router *router, id model, id adapter, uint64_t *weights_mb,
                             unsigned *slots);
/** Expected load time in ms on an engine type: as measured, or as the catalogue says. */
double model_loading_estimate_ms(router *router, id type, id model, id adapter);
/** Loads a model, or an adapter and before it its model, and waits until it is up. On failure
 * *retry_after_ms says when to ask again, if anything is known of that. */
enum error_code model_loading_load(engine *engine, id model, id adapter, uint64_t *retry_after_ms,
                                   error *err);
#endif
