/** @file
 * The simulated platform. A GET lists the engines; other requests replace the list (/v1/engines) or
 * set whether an engine drains (/v1/leave). */
#include "simulators.h"

bool platform_sim_replace_engines(platform_sim *platform, const json *value) {
  const json *list = json_get(value, "engines");
  if (!list || list->kind != JSON_ARRAY)
    return false;
  g_array_set_size(platform->engines, 0);
  for (size_t i = 0; i < json_count(list); i++) {
    const json *entry = json_at(list, i);
    platform_sim_engine engine = { 0 };
    engine.self = id_of_text(json_text(entry, "id", ""));
    engine.type = id_of_text(json_text(entry, "type", "any"));
    engine.zone = id_of_text(json_text(entry, "area", "none"));
    g_strlcpy(engine.addr, json_text(entry, "addr", ""), sizeof engine.addr);
    engine.weights_mb = json_number(entry, "weightsMb", 0);
    engine.adapter_slots = json_number(entry, "adapterSlots", 0);
    engine.draining = json_bool(entry, "leaving", false);
    g_array_append_val(platform->engines, engine);
  }
  return true;
}

platform_sim_engine *platform_sim_find(platform_sim *platform, id name) {
  for (guint i = 0; i < platform->engines->len; i++)
    if (id_equal(g_array_index(platform->engines, platform_sim_engine, i).self, name))
      return &g_array_index(platform->engines, platform_sim_engine, i);
  return NULL;
}

void platform_sim_set_engine_state(platform_sim *platform, id name, bool draining, bool unlisted) {
  platform_sim_engine *engine = platform_sim_find(platform, name);
  if (!engine)
    return;
  engine->draining = draining;
  engine->unlisted = unlisted;
  engine->state_changed_at = world_now(platform->world);
  platform_sim_change change = { engine->state_changed_at, name, draining, unlisted };
  g_array_append_val(platform->changes, change);
}

static void respond_with_engines(platform_sim *platform, http_request *request) {
  GString *body = g_string_new("{\"engines\":[");
  bool first = true;
  platform->list_requests++;
  for (guint i = 0; i < platform->engines->len; i++) {
    platform_sim_engine *engine = &g_array_index(platform->engines, platform_sim_engine, i);
    if (engine->unlisted)
      continue;
    json_appendf(
        body,
        "%s{\"id\":\"%s\",\"addr\":\"%s\",\"type\":\"%s\",\"area\":\"%s\",\"weightsMb\":%" PRIu64
        ",\"adapterSlots\":%u,\"leaving\":%s}",
        first ? "" : ",", engine->self.text, engine->addr, engine->type.text, engine->zone.text,
        engine->weights_mb, engine->adapter_slots, engine->draining ? "true" : "false");
    first = false;
  }
  g_string_append(body, "]}\n");
  http_request_respond(request, 200, "application/json", string_view_of_gstring(body));
  g_string_free(body, TRUE);
}

static void serve(void *context, http_request *request) {
  platform_sim *platform = context;
  bool ok = false;
  if (strcmp(request->path, "/v1/engines") && strcmp(request->path, "/v1/leave")) {
    http_request_respond(request, 404, "application/json", string_view_of("{}"));
    return;
  }
  if (!strcmp(request->method, "GET")) {
    respond_with_engines(platform, request);
    return;
  }
  json *json = json_parse(string_view_of_gstring(request->body), NULL);
  if (!strcmp(request->path, "/v1/leave")) {
    platform_sim_engine *engine =
        platform_sim_find(platform, id_of_text(json_text(json, "id", "")));
    if (engine)
      platform_sim_set_engine_state(platform, engine->self, json_bool(json, "leaving", true),
                                    engine->unlisted);
    ok = engine != NULL;
  } else
    ok = json && platform_sim_replace_engines(platform, json);
  json_free(json);
  http_request_respond(request, ok ? 200 : 400, "application/json",
                       string_view_of(ok ? "{\"ok\":true}\n" : "{\"ok\":false}\n"));
}

platform_sim *platform_sim_new(world *world) {
  platform_sim *platform = g_new0(platform_sim, 1);
  platform->world = world;
  platform->engines = g_array_new(FALSE, TRUE, sizeof(platform_sim_engine));
  platform->changes = g_array_new(FALSE, TRUE, sizeof(platform_sim_change));
  world->serve = serve;
  world->serve_context = platform;
  return platform;
}

void platform_sim_free(platform_sim *platform) {
  g_array_free(platform->engines, TRUE);
  g_array_free(platform->changes, TRUE);
  g_free(platform);
}
