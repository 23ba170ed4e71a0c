/**
 * Exponential backoff of loads.
 */
#include "load_backoff.h"
#include "router.h"
#include <stdio.h>

enum {
  /* A failed load is retried after LOAD_BACKOFF_MS, doubled for each consecutive failure, plus
     jitter of up to half of that time. */
  LOAD_BACKOFF_MS = 1000,
  MAX_LOAD_BACKOFF_MS = 60000,
  MAX_BACKOFF_DOUBLINGS = 6
};

load_backoff *load_backoff_find(engine *engine, id model, id adapter) {
  GHashTable *backoffs = engine->router->loading.backoffs;
  char key[180];
  snprintf(key, sizeof key, "%s/%s+%s", engine->self.text, model.text, adapter.text);
  load_backoff *backoff = g_hash_table_lookup(backoffs, key);
  if (!backoff) {
    backoff = g_new0(load_backoff, 1);
    g_hash_table_insert(backoffs, g_strdup(key), backoff);
  }
  return backoff;
}

void load_backoff_record_failure(engine *engine, id model, id adapter) {
  world *world = engine->router->node.world;
  load_backoff *backoff = load_backoff_find(engine, model, adapter);
  int64_t ms = (int64_t)LOAD_BACKOFF_MS << MIN(backoff->failures, MAX_BACKOFF_DOUBLINGS);
  ms = MIN(ms, MAX_LOAD_BACKOFF_MS);
  backoff->failures++;
  int64_t jitter_ms = (int64_t)world_random(world, (uint64_t)ms / 2 + 1);
  backoff->retry_at = time_add(world_now(world), time_from_ms(ms + jitter_ms));
  engine->router->loading.failed_loads++;
  event_history_append(&engine->router->history, (history_event){ .kind = EVENT_LOAD_FAILED,
                                                                  .engine = engine->self,
                                                                  .model = model,
                                                                  .adapter = adapter,
                                                                  .value = backoff->failures });
}
