#ifndef ROUTER_LOAD_QUEUE_H
#define ROUTER_LOAD_QUEUE_H
/**
 * Load requests for the engines whose lease this router holds. Requests from all routers, this one
 * included, come as messages; those for the same model share one entry. One task for each engine
 * takes them in turn and has model_loading.c carry them out.
 */
#include "engine.h"

/** A load request that waits for its engine, and for all who asked for it. */
typedef struct queued_load_request {
  list_node link;
  id model, adapter;
  /** Highest weight of those who asked; and since when it is queued, for which it gains weight. */
  unsigned priority_weight;
  time_us queued_at;
  /** Messages that wait for it, and the task that carries it out. */
  int waiters;
  /** Without waiters it is dropped then, since those who still want it ask again before. */
  time_us expires_at;
  /** Once it is done: the outcome, and when to ask again. */
  bool done;
  enum error_code error_code;
  uint64_t retry_after_ms;
  condition changed;
} queued_load_request;

/** Registers the handler of load requests. */
void load_queue_start(router *router);
/** Task that serves an engine's queue until the engine is removed; takes over one reference.
 * context is the engine. */
void load_queue_run(void *context);
#endif
