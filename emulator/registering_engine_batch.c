/**
 * Continuous batching. A step prefills a part of the pending prompts (in order of admission) and
 * then generates one token for each stream whose prompt is complete. Its duration grows with the
 * number of requests and with the prompt tokens that it prefills.
 */
#include "registering_engine_sim.h"

void engine_batch_init(engine_batch *batch, double kv_tokens) {
  list_init(&batch->queue);
  list_init(&batch->running);
  engine_kv_cache_init(&batch->kv_cache, kv_tokens);
}

void engine_batch_clear(engine_batch *batch) {
  engine_kv_cache_clear(&batch->kv_cache);
}

/* the most urgent request in the queue; of several, the first that arrived */
static active_request *next_queued(engine_batch *batch) {
  active_request *best = NULL;
  list_for_each (queued, &batch->queue, active_request, link)
    if (!best || queued->priority < best->priority)
      best = queued;
  return best;
}

static void admit_queued(engine_batch *batch, unsigned slots) {
  while (batch->busy_slots < slots) {
    active_request *next = next_queued(batch);
    if (!next || !engine_kv_cache_reserve(&batch->kv_cache, next->kv_tokens))
      return;
    list_remove(&next->link);
    batch->waiting--;
    batch->busy_slots++;
    next->admitted = true;
    list_append(&batch->running, &next->link);
    condition_broadcast(&next->changed);
  }
}

void engine_batch_enqueue(active_request *active) {
  engine_batch *batch = &active->engine->batch;
  list_append(&batch->queue, &active->link);
  batch->waiting++;
  admit_queued(batch, active->engine->plan->slots);
}

void engine_batch_release(active_request *active) {
  registering_engine_sim *engine = active->engine;
  engine_batch *batch = &engine->batch;
  list_remove(&active->link);
  if (active->admitted) {
    batch->busy_slots--;
    engine_kv_cache_release(&batch->kv_cache, active->kv_tokens);
  } else {
    batch->waiting--;
  }
  g_string_free(active->pending_output, TRUE);
  g_array_free(active->prefix_blocks, TRUE);
  admit_queued(batch, engine->plan->slots);
  engine_report_take_snapshot(engine);
  condition_broadcast(&engine->state_changed);
}

int engine_batch_count_runs(registering_engine_sim *engine, id model, id adapter) {
  int count = 0;
  list_for_each (active, &engine->batch.running, active_request, link) {
    const engine_run_record *record = active->record;
    count += id_equal(record->model, model) &&
             (id_is_empty(adapter) || id_equal(record->adapter, adapter));
  }
  return count;
}

void engine_batch_wake_queued(registering_engine_sim *engine, id model) {
  list_for_each (queued, &engine->batch.queue, active_request, link)
    if (id_equal(queued->record->model, model))
      condition_broadcast(&queued->changed);
}

static void append_event(active_request *active) {
  uint64_t event_id = active->events_skipped + ++active->events_sent;
  active->last_event_sent = active->tokens >= active->tokens_wanted;
  g_string_append_printf(active->pending_output, "id: %" PRIu64 "\ndata: %s %" PRIu64 "%s\n\n",
                         event_id, active->record->run_id, event_id,
                         active->last_event_sent ? " end" : "");
  condition_broadcast(&active->changed);
}

/* prefills prompts up to a total number of tokens; returns how many were prefilled */
static double prefill(engine_batch *batch, double max_tokens) {
  double used_tokens = 0;
  list_for_each (active, &batch->running, active_request, link) {
    if (active->prefill_left_tokens <= 0 || used_tokens >= max_tokens)
      continue;
    double taken = MIN(active->prefill_left_tokens, max_tokens - used_tokens);
    active->prefill_left_tokens -= taken;
    used_tokens += taken;
  }
  return used_tokens;
}

static void decode_token(registering_engine_sim *engine, active_request *active) {
  if (active->prefill_left_tokens > 0 || active->last_event_sent ||
      active->tokens >= active->tokens_wanted)
    return;
  if (!active->prefill_done) {
    active->prefill_done = true;
    engine_kv_cache_add(&engine->batch.kv_cache, active->prefix_blocks);
  }
  active->tokens++;
  if (active->tokens % engine->plan->event_tokens == 0 || active->tokens >= active->tokens_wanted)
    append_event(active);
}

/* prefills prompts for a step and returns the step's duration in ms, or a negative number when no
 * request is running */
static double begin_step(registering_engine_sim *engine) {
  const registering_engine_plan *plan = engine->plan;
  unsigned count = 0, prefilling = 0;
  list_for_each (active, &engine->batch.running, active_request, link) {
    count++;
    prefilling += active->prefill_left_tokens > 0;
  }
  if (!count)
    return -1;
  double ms = plan->step_ms + plan->step_per_request_ms * count;
  double max_prefill_tokens = prefilling ? plan->prefill_tokens_per_ms * ms : 0;
  double used_tokens = prefill(&engine->batch, max_prefill_tokens);
  return ms + used_tokens / (plan->prefill_tokens_per_ms > 0 ? plan->prefill_tokens_per_ms : 1);
}

static void batch_run(void *context) {
  registering_engine_sim *engine = context;
  double ms;
  while ((ms = begin_step(engine)) >= 0) {
    double step_ms = ms * registering_engine_slowdown(engine->plan);
    if (!world_sleep(engine->world, registering_engine_time(step_ms)))
      break;
    list_for_each (active, &engine->batch.running, active_request, link)
      decode_token(engine, active);
  }
  engine->batch.task_running = false;
}

void engine_batch_start(registering_engine_sim *engine) {
  if (engine->batch.task_running)
    return;
  engine->batch.task_running = true;
  task_start(&engine->world->tasks, "batch", batch_run, engine);
}
