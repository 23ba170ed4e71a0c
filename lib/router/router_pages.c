/**
 * Writes the pages of a router.
 */
#include "router_pages.h"
#include "router.h"
#include <stdlib.h>

enum {
  /* How long a poll for an engine's next report is held open. */
  HOLDINGS_POLL_MS = 20000,
  MAX_QUERY_FIELDS = 8
};

/* A request for a page and its query parameters, which are NULL when missing. */
typedef struct page_query {
  const http_request *http;
  char *engine, *model, *after;
} page_query;

static const char *resident_state_name(enum resident_state state) {
  return state == RESIDENT_UP ? "up" : state == RESIDENT_LOADING ? "loading" : "unloading";
}

/* Returns the value of a query parameter, to be freed by the caller, or NULL when it is missing. */
static char *query_value(const http_request *request, const char *key) {
  char **fields = g_strsplit(request->query ? request->query : "", "&", MAX_QUERY_FIELDS),
       *value = NULL;
  size_t length = strlen(key);
  for (char **field = fields; *field && !value; field++)
    if (!strncmp(*field, key, length) && (*field)[length] == '=')
      value = g_strdup(*field + length + 1);
  g_strfreev(fields);
  return value;
}

static void append_separator(GString *to, bool *first) {
  if (!*first)
    g_string_append_c(to, ',');
  *first = false;
}

static bool is_selected(const engine *engine, const page_query *query) {
  return !engine->removed && (!query->engine || !strcmp(query->engine, engine->self.text));
}

static void append_engine(router *router, engine *engine, GString *to) {
  char singleton[64];
  id holder = { "" };
  uint64_t epoch = 0;
  singleton_engine_name(singleton, sizeof singleton, engine->self);
  config_sync_find_grant(router, singleton, &holder, &epoch);
  bool evacuated =
      router->config && config_is_engine_evacuated(router->config, engine->self, engine->zone);
  int64_t report_age_ms =
      engine->last_report_at.us
          ? time_sub(world_now(router->node.world), engine->last_report_at).us / 1000
          : -1;
  json_appendf(
      to,
      "{\"id\":\"%s\",\"type\":\"%s\",\"area\":\"%s\",\"addr\":\"%s\",\"weightsMb\":%" PRIu64
      ",\"adapterSlots\":%u,\"leaving\":%s,\"open\":%s,\"emptied\":%s,\"odd\":%s,\"heardMs\":%" PRId64
      ",\"running\":%d,\"cap\":%d,\"holder\":\"%s\",\"epoch\":%" PRIu64 "}",
      engine->self.text, engine->type.text, engine->zone.text, engine->address, engine->weights_mb,
      engine->adapter_slots, json_bool_text(engine->draining),
      json_bool_text(engine_accepts_work(engine)), json_bool_text(evacuated),
      json_bool_text(engine->malformed), report_age_ms, engine->running, engine_max_streams(engine),
      holder.text, epoch);
}

static void write_engines(router *router, const page_query *query, GString *to) {
  bool first = true;
  g_string_append_c(to, '[');
  list_for_each (engine_, &router->engine_list.engines, engine, link) {
    if (!is_selected(engine_, query))
      continue;
    append_separator(to, &first);
    append_engine(router, engine_, to);
  }
  g_string_append_c(to, ']');
}

static void append_residents(const engine *engine, GString *to) {
  bool first = true;
  list_for_each (resident, &engine->residents, resident_model, link) {
    append_separator(to, &first);
    json_appendf(to,
                 "{\"model\":\"%s\",\"adapter\":\"%s\",\"state\":\"%s\",\"weightsMb\":%" PRIu64
                 ",\"slots\":%u,\"running\":%u}",
                 resident->model.text, resident->adapter.text, resident_state_name(resident->state),
                 resident->weights_mb, resident->slots, resident->running);
  }
}

static void append_load_requests(const engine *engine, GString *to) {
  bool first = true;
  time_us now = world_now(engine->router->node.world);
  list_for_each (request, &engine->load_requests, queued_load_request, link) {
    if (request->done)
      continue;
    append_separator(to, &first);
    json_appendf(to, "{\"model\":\"%s\",\"adapter\":\"%s\",\"sinceMs\":%" PRId64 "}",
                 request->model.text, request->adapter.text,
                 time_sub(now, request->queued_at).us / 1000);
  }
}

static void write_holdings(router *router, const page_query *query, GString *to) {
  bool first = true;
  g_string_append_c(to, '[');
  list_for_each (engine_, &router->engine_list.engines, engine, link) {
    if (!is_selected(engine_, query))
      continue;
    append_separator(to, &first);
    json_appendf(to, "{\"id\":\"%s\",\"boot\":\"%s\",\"seq\":%" PRIu64 ",\"holdings\":[",
                 engine_->self.text, engine_->boot_id, engine_->report_seq);
    append_residents(engine_, to);
    g_string_append(to, "],\"waiting\":[");
    append_load_requests(engine_, to);
    g_string_append(to, "]}");
  }
  g_string_append_c(to, ']');
}

/* If the query names an engine and a report number, waits until there is a later report of that
 * engine. */
static void await_report(router *router, const page_query *query) {
  if (!query->engine || !query->after)
    return;
  id engine_id = id_of_text(query->engine);
  uint64_t after = strtoull(query->after, NULL, 10);
  time_us deadline = time_add(world_now(router->node.world), time_from_ms(HOLDINGS_POLL_MS));
  for (;;) {
    const engine *engine = query->http->client_gone ? NULL : engine_find(router, engine_id);
    if (!engine || engine->report_seq > after ||
        condition_wait(&router->node.world->tasks, &router->state_changed, deadline) !=
            WAKE_SIGNALLED)
      return;
  }
}

static int count_held_leases(router *router) {
  int held = 0;
  GHashTableIter iterator;
  gpointer name;
  g_hash_table_iter_init(&iterator, router->leases.by_name);
  while (g_hash_table_iter_next(&iterator, &name, NULL))
    held += singleton_lease_epoch(router, name) > 0;
  return held;
}

static void append_node_status(router *router, GString *to) {
  const engine_list *list = &router->engine_list;
  int held_leases = count_held_leases(router);
  const peer_node *controller =
      peer_table_pick(&router->node, ROLE_CONTROLLER, router->controllers.polled_controller);
  int64_t list_age_ms =
      list->known ? time_sub(world_now(router->node.world), list->received_at).us / 1000 : -1;
  json_appendf(to,
               "\"id\":\"%s\",\"role\":\"router\",\"area\":\"%s\",\"epoch\":%" PRIu64
               ",\"version\":%" PRIu64
               ",\"fresh\":%s,\"core\":\"%s\",\"enrols\":%s,\"alone\":%" PRIu64
               ",\"duties\":%d,\"listMs\":%" PRId64 ",\"draining\":%s,\"open\":%d,",
               router->node.settings.self.text, router->node.settings.zone.text,
               router->sync.view_epoch, router->sync.config_version,
               json_bool_text(config_sync_is_recent(router)), controller ? controller->address : "",
               json_bool_text(admission_may_admit(router)), router->requests.isolated_refusals,
               held_leases, list_age_ms, json_bool_text(router->draining), router->open_requests);
}

static void append_counters(const router *router, GString *to) {
  json_appendf(
      to,
      "\"requests\":%" PRIu64 ",\"attempts\":%" PRIu64 ",\"seconds\":%" PRIu64 ",\"loads\":%" PRIu64
      ",\"loadFails\":%" PRIu64 ",\"unloads\":%" PRIu64 ",\"wasted\":%" PRIu64
      ",\"tickets\":%" PRIu64 ",\"ticketsLate\":%" PRIu64 ",\"paceGiven\":%.1f,\"paceFull\":%.1f,",
      router->requests.request_count, router->requests.attempt_count, router->requests.retry_count,
      router->loading.load_count, router->loading.failed_loads, router->loading.unload_count,
      router->loading.wasted_loads, router->permits.granted, router->permits.refused,
      router->permits.granted_recently, router->permits.refused_recently);
}

static void append_kind_stats(const router *router, GString *to) {
  bool first = true;
  for (int i = 0; router->config && i < router->config->kind_count; i++) {
    const request_kind_stats *stats = &router->requests.kind_stats[i];
    append_separator(to, &first);
    json_appendf(to,
                 "\"%s\":{\"waiting\":%d,\"running\":%d,\"asked\":%" PRIu64 ",\"done\":%" PRIu64
                 ",\"refused\":%" PRIu64 ",\"failed\":%" PRIu64 ",\"shed\":%" PRIu64 "}",
                 router->config->kinds[i].self.text, stats->waiting, stats->running,
                 stats->requested, stats->completed, stats->refused, stats->failed, stats->shed);
  }
}

static void write_status(router *router, GString *to) {
  g_string_append_c(to, '{');
  append_node_status(router, to);
  append_counters(router, to);
  node_append_status_json(&router->node, to);
  g_string_append(to, ",\"kinds\":{");
  append_kind_stats(router, to);
  g_string_append(to, "}}");
}

static void append_kind_metrics(const router *router, GString *to) {
  for (int i = 0; router->config && i < router->config->kind_count; i++) {
    const char *kind = router->config->kinds[i].self.text;
    const request_kind_stats *stats = &router->requests.kind_stats[i];
    json_appendf(to,
                 "asterfall_waiting{kind=\"%s\"} %d\nasterfall_done{kind=\"%s\"} %" PRIu64
                 "\nasterfall_refused{kind=\"%s\"} %" PRIu64 "\n",
                 kind, stats->waiting, kind, stats->completed, kind, stats->refused);
  }
}

static void write_metrics(router *router, GString *to) {
  json_appendf(
      to,
      "asterfall_version %" PRIu64 "\nasterfall_fresh %d\nasterfall_requests %" PRIu64
      "\nasterfall_attempts %" PRIu64 "\nasterfall_second_tries %" PRIu64
      "\nasterfall_loads %" PRIu64 "\nasterfall_loads_failed %" PRIu64
      "\nasterfall_loads_wasted %" PRIu64 "\nasterfall_unloads %" PRIu64
      "\nasterfall_unloads_of_busy %" PRIu64 "\nasterfall_tickets %" PRIu64
      "\nasterfall_alone %" PRIu64 "\nasterfall_tasks %zu\nasterfall_news %" PRIu64
      "\nasterfall_news_bytes %" PRIu64 "\n",
      router->sync.config_version, config_sync_is_recent(router), router->requests.request_count,
      router->requests.attempt_count, router->requests.retry_count, router->loading.load_count,
      router->loading.failed_loads, router->loading.wasted_loads, router->loading.unload_count,
      router->loading.busy_unloads, router->permits.granted, router->requests.isolated_refusals,
      router->node.world->tasks.count, router->sync.snapshot_count, router->sync.snapshot_bytes);
  append_kind_metrics(router, to);
}

static const char *event_name(enum history_event_kind kind) {
  static const char *const names[] = {
    [EVENT_ROUTED] = "routed",       [EVENT_ORDERED] = "ordered",   [EVENT_LOADED] = "loaded",
    [EVENT_LOAD_FAILED] = "failed",  [EVENT_UNLOADED] = "unloaded", [EVENT_REFUSED] = "refused",
    [EVENT_STREAM_BROKEN] = "broke", [EVENT_COMPLETED] = "done"
  };
  return names[kind];
}

static bool event_is_selected(const history_event *event, const page_query *query) {
  return (!query->engine || !strcmp(query->engine, event->engine.text)) &&
         (!query->model || !strcmp(query->model, event->model.text));
}

/* Writes the events that are still in memory, or those after a number if the query names one. */
static void write_journal(router *router, const page_query *query, GString *to) {
  const event_history *history = &router->history;
  uint64_t from =
      history->next_seq > EVENT_JOURNAL_CAPACITY ? history->next_seq - EVENT_JOURNAL_CAPACITY : 0;
  if (query->after)
    from = MAX(from, strtoull(query->after, NULL, 10) + 1);
  bool first = true;
  g_string_append_c(to, '[');
  for (uint64_t i = from; i < history->next_seq; i++) {
    const history_event *event = &history->journal[i % EVENT_JOURNAL_CAPACITY];
    if (!event_is_selected(event, query))
      continue;
    append_separator(to, &first);
    json_appendf(
        to,
        "{\"n\":%" PRIu64 ",\"agoMs\":%" PRId64
        ",\"event\":\"%s\",\"engine\":\"%s\",\"model\":\"%s\",\"adapter\":\"%s\",\"value\":%" PRId64
        "}",
        i, time_sub(world_now(router->node.world), event->at).us / 1000, event_name(event->kind),
        event->engine.text, event->model.text, event->adapter.text, event->value);
  }
  g_string_append_c(to, ']');
}

/* Writes the page at the requested path, or leaves `to` empty when there is none. Returns its
 * content type. */
static const char *write_page(router *router, const page_query *query, GString *to) {
  const char *path = query->http->path;
  if (!strcmp(path, "/v1/engines")) {
    write_engines(router, query, to);
  } else if (!strcmp(path, "/v1/holdings")) {
    await_report(router, query);
    write_holdings(router, query, to);
  } else if (!strcmp(path, "/v1/nodes")) {
    peer_table_append_json(&router->node, to);
  } else if (!strcmp(path, "/v1/status")) {
    write_status(router, to);
  } else if (!strcmp(path, "/v1/journal")) {
    write_journal(router, query, to);
  } else if (router->write_status && !strcmp(path, "/v1/gateway")) {
    router->write_status(router->gateway, to, false);
  } else if (!strcmp(path, "/metrics")) {
    write_metrics(router, to);
    if (router->write_status)
      router->write_status(router->gateway, to, true);
    return "text/plain";
  }
  return "application/json";
}

void router_pages_serve(router *router, http_request *request) {
  if (strcmp(request->method, "GET")) {
    http_request_respond_error(request, 405, E_METHOD_NOT_ALLOWED, "GET");
    return;
  }
  page_query query = { .http = request,
                       .engine = query_value(request, "engine"),
                       .model = query_value(request, "model"),
                       .after = query_value(request, "after") };
  GString *body = g_string_new(NULL);
  const char *type = write_page(router, &query, body);
  if (body->len)
    http_request_respond(request, 200, type, string_view_of_gstring(body));
  else
    http_request_respond_error(
        request, 404, E_NOT_FOUND,
        "there is no such page here; the resources are at the core, see /v1/status");
  g_free(query.engine);
  g_free(query.model);
  g_free(query.after);
  g_string_free(body, TRUE);
}
