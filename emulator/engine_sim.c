/** A simulated engine: its HTTP endpoints, its items in memory, its records, start and end. */
#include "engine_sim.h"
#include "engine_sim_internal.h"
#include <stdio.h>

enum { RECORD_LINE_BYTES = 420 };

engine_sim_item *engine_sim_find_item(engine_sim *engine, id model, id adapter) {
  list_for_each (item, &engine->items, engine_sim_item, link)
    if (id_equal(item->model, model) && id_equal(item->adapter, adapter))
      return item;
  return NULL;
}

void engine_sim_remove_item(engine_sim_item *item) {
  list_remove(&item->link);
  g_free(item);
}

void engine_sim_signal_report(engine_sim *engine) {
  engine->report_sequence++;
  condition_broadcast(&engine->report_changed);
}

void engine_sim_write_record(engine_sim *engine, char type, const char *rest) {
  char line[RECORD_LINE_BYTES];
  if (!engine->on_record)
    return;
  snprintf(line, sizeof line, "%c %" PRId64 " %s %s", type, world_now(engine->world).us,
           engine->self.text, rest);
  engine->on_record(engine->on_record_context, line);
}

void engine_sim_respond(http_request *request, int status, const char *text) {
  char body[200];
  snprintf(body, sizeof body, "{\"run\":false,\"error\":\"%s\"}", text);
  http_request_respond(request, status, "application/json", string_view_of(body));
}

/* sets the faults that the request names and leaves the others */
static void serve_fault(engine_sim *engine, http_request *request) {
  engine_faults *faults = &engine->faults;
  json *body = json_parse(string_view_of_gstring(request->body), NULL);
  bool is_valid = body != NULL;
  faults->fail_loads = (int)json_number(body, "failLoads", faults->fail_loads);
  faults->fail_unloads = (int)json_number(body, "failUnloads", faults->fail_unloads);
  faults->unanswered_loads = (int)json_number(body, "silentLoads", faults->unanswered_loads);
  faults->order_delay_ms = (int64_t)json_number(body, "lateMs", (double)faults->order_delay_ms);
  faults->break_after = (int64_t)json_number(body, "breakAfter", (double)faults->break_after);
  faults->slowdown = json_number(body, "slow", faults->slowdown);
  faults->token_ms = (int64_t)json_number(body, "tokenMs", (double)faults->token_ms);
  json_free(body);
  engine_sim_respond(request, is_valid ? 200 : 400, is_valid ? "set" : "no JSON");
}

static unsigned count_streams(const engine_sim *engine, enum engine_sim_outcome outcome) {
  unsigned count = 0;
  for (guint i = 0; i < engine->streams->len; i++)
    count += g_array_index(engine->streams, engine_sim_stream, i).outcome == outcome;
  return count;
}

static unsigned count_accepted_loads(const engine_sim *engine) {
  unsigned count = 0;
  for (guint i = 0; i < engine->orders->len; i++) {
    const engine_sim_order *order = &g_array_index(engine->orders, engine_sim_order, i);
    count += order->kind == ENGINE_SIM_LOAD && order->accepted;
  }
  return count;
}

void engine_sim_append_summary(engine_sim *engine, GString *to) {
  json_appendf(to,
               "{\"id\":\"%s\",\"boot\":\"%s\",\"orders\":%u,\"loads\":%u,\"pastRoom\":%" PRIu64
               ",\"staleOrders\":%" PRIu64
               ",\"streams\":%u,\"done\":%u,\"broken\":%u,\"cut\":%u,\"prefixHits\":%" PRIu64 "}\n",
               engine->self.text, engine->boot, engine->orders->len, count_accepted_loads(engine),
               engine->over_capacity_orders, engine->stale_orders, engine->streams->len,
               count_streams(engine, ENGINE_SIM_DONE), count_streams(engine, ENGINE_SIM_BROKEN),
               count_streams(engine, ENGINE_SIM_CUT), engine->prefix_hits);
}

static void serve_record(engine_sim *engine, http_request *request) {
  GString *record = g_string_new(NULL);
  engine_sim_append_summary(engine, record);
  http_request_respond(request, 200, "application/json", string_view_of_gstring(record));
  g_string_free(record, TRUE);
}

static void serve(void *context, http_request *request) {
  engine_sim *engine = context;
  const char *path = request->path;
  bool is_post = !strcmp(request->method, "POST");
  if (!strcmp(path, "/v1/state"))
    engine_sim_serve_state(engine, request);
  else if (is_post && !strcmp(path, "/v1/load"))
    engine_sim_serve_order(engine, request, ENGINE_SIM_LOAD);
  else if (is_post && !strcmp(path, "/v1/unload"))
    engine_sim_serve_order(engine, request, ENGINE_SIM_UNLOAD);
  else if (is_post && !strcmp(path, "/v1/run"))
    engine_sim_serve_run(engine, request);
  else if (is_post && !strcmp(path, "/v1/fault"))
    serve_fault(engine, request);
  else if (!strcmp(path, "/v1/record"))
    serve_record(engine, request);
  else
    engine_sim_respond(request, 404, "no such page");
}

engine_sim *engine_sim_new(world *world, id self, id type, id area, uint64_t weights_mb,
                           unsigned slots) {
  engine_sim *engine = g_new0(engine_sim, 1);
  engine->world = world;
  engine->self = self;
  engine->type = type;
  engine->area = area;
  engine->weights_mb = weights_mb;
  engine->adapter_slots = slots;
  snprintf(engine->boot, sizeof engine->boot, "%08" PRIx64, world->random(world) & 0xffffffff);
  list_init(&engine->items);
  condition_init(&engine->report_changed);
  engine->orders = g_array_new(FALSE, TRUE, sizeof(engine_sim_order));
  engine->streams = g_array_new(FALSE, TRUE, sizeof(engine_sim_stream));
  engine->refusals = g_array_new(FALSE, TRUE, sizeof(engine_sim_refusal));
  engine->started_at = world_now(world);
  g_queue_init(&engine->prefixes);
  world->serve = serve;
  world->serve_context = engine;
  return engine;
}

void engine_sim_free(engine_sim *engine) {
  list_for_each (item, &engine->items, engine_sim_item, link)
    engine_sim_remove_item(item);
  g_array_free(engine->orders, TRUE);
  g_array_free(engine->streams, TRUE);
  g_array_free(engine->refusals, TRUE);
  g_queue_clear_full(&engine->prefixes, g_free);
  if (engine->old_report)
    g_string_free(engine->old_report, TRUE);
  g_free(engine);
}
