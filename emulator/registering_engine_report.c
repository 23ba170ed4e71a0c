/** Delayed state reports: snapshots of the last REPORT_LAG_MS, merged when taken close together. */
#include "registering_engine_sim.h"

/* reports show the state of REPORT_LAG_MS ago; snapshots closer than SNAPSHOT_MERGE_MS become one
 */
enum { REPORT_LAG_MS = 200, SNAPSHOT_MERGE_MS = 50 };

typedef struct snapshot {
  time_us taken_at;
  GString *text;
} snapshot;

static void snapshot_free(void *item) {
  snapshot *freed = item;
  g_string_free(freed->text, TRUE);
  g_free(freed);
}

void engine_report_init(engine_report_state *state) {
  g_queue_init(&state->snapshots);
}

void engine_report_clear(engine_report_state *state) {
  g_queue_clear_full(&state->snapshots, snapshot_free);
}

static void append_report(registering_engine_sim *engine, GString *to) {
  const engine_batch *batch = &engine->batch;
  g_string_append(to, "{\"phase\":\"both\",\"models\":");
  engine_models_append_json(engine, to);
  json_appendf(to,
               ",\"busy\":%s,\"count\":%" PRIu64
               ",\"waiting\":%u,\"running\":%u,\"kvUsed\":%.0f,\"kvTotal\":%.0f}",
               engine->orders.current ? "true" : "false", engine->orders.started_count,
               batch->waiting, batch->busy_slots, batch->kv_cache.reserved_tokens,
               engine->plan->kv_tokens);
}

static bool is_older_than(const snapshot *taken, time_us now, int64_t ms) {
  return now.us - taken->taken_at.us >= time_from_ms(ms).us;
}

/* keeps the newest snapshot that is old enough for a report, and all newer ones */
static void drop_old_snapshots(GQueue *snapshots, time_us now) {
  while (snapshots->length > 1 && is_older_than(g_queue_peek_nth(snapshots, 1), now, REPORT_LAG_MS))
    snapshot_free(g_queue_pop_head(snapshots));
}

void engine_report_take_snapshot(registering_engine_sim *engine) {
  GQueue *snapshots = &engine->report.snapshots;
  time_us now = world_now(engine->world);
  snapshot *latest = g_queue_peek_tail(snapshots);
  if (latest && !is_older_than(latest, now, SNAPSHOT_MERGE_MS)) {
    g_string_truncate(latest->text, 0);
    append_report(engine, latest->text);
    return;
  }
  snapshot *taken = g_new0(snapshot, 1);
  taken->taken_at = now;
  taken->text = g_string_new(NULL);
  append_report(engine, taken->text);
  g_queue_push_tail(snapshots, taken);
  drop_old_snapshots(snapshots, now);
}

void engine_report_respond(registering_engine_sim *engine, http_request *request) {
  GQueue *snapshots = &engine->report.snapshots;
  time_us now = world_now(engine->world);
  snapshot *shown = g_queue_peek_head(snapshots);
  engine->plan->log->reports++;
  for (GList *link = snapshots->head; link; link = link->next)
    if (is_older_than(link->data, now, REPORT_LAG_MS))
      shown = link->data;
  http_request_respond(request, 200, "application/json", string_view_of_gstring(shown->text));
}
