/** State reports of a simulated engine, served by long polling. */
#include "engine_sim_internal.h"
#include <stdlib.h>

enum { LONG_POLL_MS = 1000, QUERY_PARTS_MAX = 8 };

static const char *state_name(enum engine_sim_item_state state) {
  switch (state) {
  case ENGINE_SIM_UP:
    return "up";
  case ENGINE_SIM_LOADING:
    return "loading";
  default:
    return "unloading";
  }
}

static void append_item(const engine_sim_item *item, GString *to) {
  json_appendf(to,
               "{\"model\":\"%s\",\"adapter\":\"%s\",\"state\":\"%s\",\"weightsMb\":%" PRIu64
               ",\"slots\":%u,\"running\":%d,\"served\":%" PRIu64 "}",
               item->model.text, item->adapter.text, state_name(item->state), item->weights_mb,
               item->slots, item->running, item->served);
}

static void append_report(engine_sim *engine, GString *to) {
  time_us now = world_now(engine->world);
  bool first = true;
  json_appendf(to,
               "{\"id\":\"%s\",\"type\":\"%s\",\"area\":\"%s\",\"boot\":\"%s\",\"seq\":%" PRIu64
               ",\"weightsMb\":%" PRIu64 ",\"adapterSlots\":%u,\"running\":%d,\"epoch\":%" PRIu64
               ",\"holdings\":[",
               engine->self.text, engine->type.text, engine->area.text, engine->boot,
               engine->report_sequence, engine->weights_mb, engine->adapter_slots, engine->running,
               engine->epoch);
  list_for_each (item, &engine->items, engine_sim_item, link) {
    if (item->state == ENGINE_SIM_LOADING && !time_reached(now, item->reported_at))
      continue;
    if (!first)
      g_string_append_c(to, ',');
    append_item(item, to);
    first = false;
  }
  g_string_append(to, "]}");
}

/* the report that the client has, from the query ?after=SEQUENCE&boot=BOOT */
typedef struct known_report {
  uint64_t sequence;
  char boot[24];
} known_report;

static known_report parse_known_report(const char *query) {
  static const char AFTER[] = "after=", BOOT[] = "boot=";
  known_report known = { 0 };
  char **parts = g_strsplit(query, "&", QUERY_PARTS_MAX);
  for (char **part = parts; *part; part++) {
    if (g_str_has_prefix(*part, AFTER))
      known.sequence = strtoull(*part + strlen(AFTER), NULL, 10);
    if (g_str_has_prefix(*part, BOOT))
      g_strlcpy(known.boot, *part + strlen(BOOT), sizeof known.boot);
  }
  g_strfreev(parts);
  return known;
}

static void wait_for_change(engine_sim *engine, const http_request *request, known_report known) {
  time_us until = time_add(world_now(engine->world), time_from_ms(LONG_POLL_MS));
  while (known.sequence == engine->report_sequence && !strcmp(known.boot, engine->boot) &&
         !request->client_gone)
    if (condition_wait(&engine->world->tasks, &engine->report_changed, until) != WAKE_SIGNALLED)
      return;
}

void engine_sim_serve_state(engine_sim *engine, http_request *request) {
  wait_for_change(engine, request, parse_known_report(request->query));
  GString *report = g_string_new(NULL);
  append_report(engine, report);
  if (engine->faults.stale_reports) {
    if (!engine->old_report)
      engine->old_report = g_string_new(report->str);
    g_string_assign(report, engine->old_report->str);
  }
  http_request_respond(request, 200, "application/json", string_view_of_gstring(report));
  g_string_free(report, TRUE);
}
