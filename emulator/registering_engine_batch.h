#ifndef EMULATOR_REGISTERING_ENGINE_BATCH_H
#define EMULATOR_REGISTERING_ENGINE_BATCH_H
/**
 * Continuous batching of an engine: requests wait in a queue and are admitted by priority while
 * there are free slots and KV memory; each step generates one token for every running stream.
 */
#include "registering_engine_cache.h"
#include "registering_engine_plan.h"

typedef struct registering_engine_sim registering_engine_sim;

/** A request that is queued or running, on the stack of the task that serves it. */
typedef struct active_request {
  list_node link;
  registering_engine_sim *engine;
  engine_run_record *record;
  double prefill_left_tokens, kv_tokens;
  unsigned priority; /* lower is more urgent */
  unsigned tokens, tokens_wanted;
  uint64_t events_skipped; /* number of events that the client already has; this run skips them */
  unsigned events_sent;
  condition changed;       /* it was admitted, output is pending, or the client disconnected */
  GString *pending_output; /* events not yet written */
  GArray *prefix_blocks;   /* prefix_block */
  bool admitted, prefill_done, last_event_sent;
} active_request;

/** Requests of an engine. Only this module writes it. */
typedef struct engine_batch {
  list_node queue, running; /* active_request */
  unsigned waiting, busy_slots;
  bool task_running; /* the task that advances streams */
  engine_kv_cache kv_cache;
} engine_batch;

void engine_batch_init(engine_batch *batch, double kv_tokens);
void engine_batch_clear(engine_batch *batch);
/** Queues a request and admits what can be admitted, possibly this one. */
void engine_batch_enqueue(active_request *active);
/** Removes a queued or running request, frees what it owns, and admits others in its place. */
void engine_batch_release(active_request *active);
/** Starts the task that advances streams, unless it is running. */
void engine_batch_start(registering_engine_sim *engine);
/** Counts the runs of a model, or of one adapter of it. */
int engine_batch_count_runs(registering_engine_sim *engine, id model, id adapter);
/** Wakes the queued requests of a model, so that they notice that it is being unloaded. */
void engine_batch_wake_queued(registering_engine_sim *engine, id model);
#endif
