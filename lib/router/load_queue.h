#ifndef ROUTER_LOAD_QUEUE_H
#define ROUTER_LOAD_QUEUE_H
/**
 * Queues of load requests for the engines whose lease this router holds. Requests from all routers,
 * including this one, arrive as messages; requests for the same model or adapter share one entry.
 * One task per engine takes them in order of rank and has model_loading.c carry them out.
 */
#include "engine.h"

/** A load request in the queue of its engine, shared by all messages that asked for it. */
typedef struct queued_load_request {
  list_node link;
  id model, adapter;
  /** Highest weight of the messages that asked for it, and when it was queued; its rank rises with
   * both weight and age. */
  unsigned priority_weight;
  time_us queued_at;
  /** Number of messages that wait for it, plus one while the task carries it out. */
  int waiters;
  /** When it is dropped if it has no waiters; routers that still need it ask again before then. */
  time_us expires_at;
  /** Once it is done: the outcome, and when to retry. */
  bool done;
  enum error_code error_code;
  uint64_t retry_after_ms;
  condition changed;
} queued_load_request;

/** Registers the handler of load requests. */
void load_queue_start(router *router);
/** Task that serves an engine's queue until the engine is removed. `context` is the engine; the
 * task owns one reference to it. */
void load_queue_run(void *context);
#endif
