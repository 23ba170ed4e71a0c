#include "simulators.h"

bool platform_sim_replace_engines(platform_sim *platform, const json *value) {
  const json *l = json_get(value, "engines");
  if (!l || l->kind != JSON_ARRAY)
    return false;
  g_array_set_size(platform->engines, 0);
  for (size_t i = 0; i < json_count(l); i++) {
    const json *x = json_at(l, i);
    platform_sim_engine e = { 0 };
    e.self = id_of_text(json_text(x, "id", ""));
    e.type = id_of_text(json_text(x, "type", "any"));
    e.area = id_of_text(json_text(x, "area", "none"));
    g_strlcpy(e.addr, json_text(x, "addr", ""), sizeof e.addr);
    e.weights_mb = json_number(x, "weightsMb", 0);
    e.adapter_slots = json_number(x, "adapterSlots", 0);
    e.draining = json_bool(x, "leaving", false);
    g_array_append_val(platform->engines, e);
  }
  return true;
}

platform_sim_engine *platform_sim_find(platform_sim *platform, id who) {
  for (guint i = 0; i < platform->engines->len; i++)
    if (id_equal(g_array_index(platform->engines, platform_sim_engine, i).self, who))
      return &g_array_index(platform->engines, platform_sim_engine, i);
  return NULL;
}

void platform_sim_set_engine_state(platform_sim *platform, id who, bool leaving, bool out) {
  platform_sim_engine *e = platform_sim_find(platform, who);
  if (!e)
    return;
  e->draining = leaving;
  e->off_list = out;
  e->since = world_now(platform->world);
  platform_sim_change m = { e->since, who, leaving, out };
  g_array_append_val(platform->changes, m);
}

static void list(platform_sim *platform, http_request *request) {
  GString *b = g_string_new("{\"engines\":[");
  bool first = true;
  platform->list_requests++;
  for (guint i = 0; i < platform->engines->len; i++) {
    platform_sim_engine *e = &g_array_index(platform->engines, platform_sim_engine, i);
    if (e->off_list)
      continue;
    json_appendf(
        b,
        "%s{\"id\":\"%s\",\"addr\":\"%s\",\"type\":\"%s\",\"area\":\"%s\",\"weightsMb\":%" PRIu64
        ",\"adapterSlots\":%u,\"leaving\":%s}",
        first ? "" : ",", e->self.text, e->addr, e->type.text, e->area.text, e->weights_mb,
        e->adapter_slots, e->draining ? "true" : "false");
    first = false;
  }
  g_string_append(b, "]}\n");
  http_request_respond(request, 200, "application/json", string_view_of_gstring(b));
  g_string_free(b, TRUE);
}

static void serve(void *ctx, http_request *request) {
  platform_sim *platform = ctx;
  bool ok = false;
  if (strcmp(request->path, "/v1/engines") && strcmp(request->path, "/v1/leave")) {
    http_request_respond(request, 404, "application/json", string_view_of("{}"));
    return;
  }
  if (!strcmp(request->method, "GET")) {
    list(platform, request);
    return;
  }
  json *json = json_parse(string_view_of_gstring(request->body), NULL);
  if (!strcmp(request->path, "/v1/leave")) {
    platform_sim_engine *e = platform_sim_find(platform, id_of_text(json_text(json, "id", "")));
    if (e)
      platform_sim_set_engine_state(platform, e->self, json_bool(json, "leaving", true),
                                    e->off_list);
    ok = e != NULL;
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
