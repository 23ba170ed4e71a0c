/** Status page, metrics and readiness of a gateway. Names in JSON and metrics are a public
 * interface and do not follow names in the code. */
#include "status.h"
#include "canary_status.h"
#include "gateway.h"
#include "service_traffic.h"

/* the age of a time in ms; -1 when it is not set */
static int64_t age_ms(time_us now, time_us at) {
  return at.us ? time_sub(now, at).us / 1000 : -1;
}

static void resident_to_json(const resident *resident, GString *to) {
  json_appendf(to,
               "{\"model\":\"%s\",\"version\":%" PRIu64
               ",\"unloading\":%s,\"running\":%d,\"adapters\":[",
               resident->model.text, resident->version, json_bool_text(resident->unloading),
               resident->own_running);
  for (guint i = 0; i < resident->adapters->len; i++)
    json_appendf(to, "%s\"%s\"", i ? "," : "", (const char *)resident->adapters->pdata[i]);
  g_string_append(to, "]}");
}

static void engine_to_json(const gateway_engine *engine, GString *to) {
  time_us now = gateway_engine_now(engine);
  const engine_health *health = &engine->health;
  const engine_load *load = &engine->load;
  bool failing = health->consecutive_failures > 0 || gateway_engine_unhealthy(engine);
  json_appendf(to,
               "{\"id\":\"%s\",\"service\":\"%s\",\"area\":\"%s\",\"version\":\"%s\","
               "\"addr\":\"%s\",\"slots\":%u,\"leaving\":%s,\"usable\":%s,\"suspect\":%s,"
               "\"failing\":%s,\"running\":%d,\"othersRunning\":%d,",
               engine->engine_id.text, engine->service.text, engine->zone.text,
               engine->version.text, engine->address, engine->slots,
               json_bool_text(engine->draining), json_bool_text(gateway_engine_usable(engine)),
               json_bool_text(health->suspect), json_bool_text(failing), load->own_running,
               load->peers_running);
  json_appendf(to,
               "\"tokens\":%.0f,\"fails\":%d,\"lastBeatMs\":%" PRId64 ",\"heardMs\":%" PRId64
               ",\"firstMs\":%.1f,\"msPerToken\":%.4f,\"models\":[",
               load->own_waiting_tokens, health->consecutive_failures,
               age_ms(now, engine->heartbeat_at), age_ms(now, health->last_byte_at), load->base_ms,
               load->ms_per_token);
  const char *separator = "";
  list_for_each (entry, &engine->residents.list, resident, link) {
    g_string_append(to, separator);
    resident_to_json(entry, to);
    separator = ",";
  }
  g_string_append(to, "]}");
}

static void engines_to_json(const gateway *gateway, GString *to) {
  const char *separator = "";
  list_for_each (engine, &gateway->engines.list, gateway_engine, link) {
    if (engine->gone)
      continue;
    g_string_append(to, separator);
    engine_to_json(engine, to);
    separator = ",";
  }
}

const char *gateway_unready_reason(const gateway *gateway) {
  return gateway->drain.draining      ? "leaving"
         : !gateway->routing          ? "no configuration is known yet"
         : !gateway->engines.is_known ? "no engines are known yet"
                                      : NULL;
}

/* true when some route sends requests to a service */
static bool is_routed(const routing *routing, const service *service) {
  for (size_t r = 0; r < routing->route_count; r++) {
    const route *route = &routing->routes[r];
    for (size_t l = 0; l < route->weighted_service_count; l++)
      if (route->weighted_services[l].service == service && route->weighted_services[l].weight > 0)
        return true;
  }
  return false;
}

static void count_engines(const gateway *gateway, const service *service, int *all, int *usable) {
  *all = *usable = 0;
  list_for_each (engine, &gateway->engines.list, gateway_engine, link) {
    if (engine->gone || !id_equal(engine->service, service->name))
      continue;
    ++*all;
    *usable += gateway_engine_usable(engine);
  }
}

static void service_to_json(gateway *gateway, const service *service, GString *to) {
  static const service_traffic no_traffic;
  const service_traffic *traffic = g_hash_table_lookup(gateway->traffic, service->name.text);
  const retry_budget *budget = g_hash_table_lookup(gateway->retry_budgets, service->name.text);
  int all, usable;
  count_engines(gateway, service, &all, &usable);
  if (!traffic)
    traffic = &no_traffic;
  json_appendf(
      to,
      "{\"service\":\"%s\",\"routed\":%s,\"engines\":%d,\"usable\":%d,\"running\":%d,"
      "\"waiting\":%d,\"firstMs\":%.1f,\"runMs\":%.1f,\"freeMs\":%.1f,\"requests\":%" PRId64
      ",\"retries\":%" PRId64 ",\"retryRoom\":%s}",
      service->name.text, json_bool_text(is_routed(gateway->routing, service)), all, usable,
      traffic->running, traffic->waiting, traffic->mean_first_event_ms, traffic->mean_run_ms,
      traffic->mean_slot_interval_ms, budget ? budget->request_count : 0,
      budget ? budget->retries : 0, json_bool_text(retry_budget_available(gateway, service)));
}

static void services_to_json(gateway *gateway, GString *to) {
  for (size_t i = 0; gateway->routing && i < gateway->routing->service_count; i++) {
    if (i)
      g_string_append_c(to, ',');
    service_to_json(gateway, &gateway->routing->services[i], to);
  }
}

static void unserved_to_json(const gateway_counts *counts, GString *to) {
  g_string_append(to, "\"unserved\":{");
  for (int reason = 0; reason < UNSERVED_COUNT; reason++)
    json_appendf(to, "%s\"%s\":%" PRIu64, reason ? "," : "", unserved_name(reason),
                 counts->unserved[reason]);
  g_string_append_c(to, '}');
}

/* status members of the gateway as a whole */
static void counts_to_json(const gateway *gateway, GString *to) {
  const gateway_counts *counts = &gateway->counts;
  const char *reason = gateway_unready_reason(gateway);
  json_appendf(to,
               "\"id\":\"%s\",\"revision\":%" PRIu64
               ",\"ready\":%s,\"why\":\"%s\",\"told\":%s,\"draining\":%s,\"open\":%d,"
               "\"channels\":%d,",
               gateway->router->node.settings.self.text,
               gateway->routing ? gateway->routing->revision : 0, json_bool_text(!reason),
               reason ? reason : "", json_bool_text(gateway->engines.is_known),
               json_bool_text(gateway->drain.draining), gateway->requests.open_count,
               gateway->client_listener.connections);
  json_appendf(to,
               "\"requests\":%" PRIu64 ",\"served\":%" PRIu64 ",\"refused\":%" PRIu64
               ",\"failed\":%" PRIu64 ",\"left\":%" PRIu64 ",\"notFound\":%" PRIu64
               ",\"attempts\":%" PRIu64 ",\"retries\":%" PRIu64 ",\"resumed\":%" PRIu64 ",",
               counts->requests, counts->served, counts->refused, counts->failed,
               counts->client_left, counts->no_route, counts->attempts, counts->retries,
               counts->resumed);
  json_appendf(to,
               "\"loads\":%" PRIu64 ",\"loadsFailed\":%" PRIu64
               ",\"loadFailsInARow\":%d,\"unloads\":%" PRIu64 ",\"orders\":%" PRIu64
               ",\"reports\":%" PRIu64 ",",
               counts->loads, counts->failed_loads, gateway->consecutive_load_failures,
               counts->unloads, counts->orders, counts->reports);
}

void gateway_status(gateway *gateway, GString *to) {
  g_string_append_c(to, '{');
  counts_to_json(gateway, to);
  unserved_to_json(&gateway->counts, to);
  g_string_append(to, ",\"services\":[");
  services_to_json(gateway, to);
  g_string_append(to, "],\"engines\":[");
  engines_to_json(gateway, to);
  g_string_append_c(to, ']');
  canary_status_append_json(gateway, to);
  g_string_append_c(to, '}');
}

static void metric(GString *to, const char *name, uint64_t value) {
  json_appendf(to, "asterfall_gateway_%s %" PRIu64 "\n", name, value);
}

void gateway_metrics(gateway *gateway, GString *to) {
  const gateway_counts *counts = &gateway->counts;
  uint64_t usable = 0;
  list_for_each (engine, &gateway->engines.list, gateway_engine, link)
    usable += gateway_engine_usable(engine);
  metric(to, "requests", counts->requests);
  metric(to, "served", counts->served);
  metric(to, "refused", counts->refused);
  metric(to, "failed", counts->failed);
  metric(to, "left", counts->client_left);
  metric(to, "not_found", counts->no_route);
  metric(to, "attempts", counts->attempts);
  metric(to, "retries", counts->retries);
  metric(to, "resumed", counts->resumed);
  metric(to, "broken_off", gateway->client_listener.requests_aborted);
  metric(to, "open", (uint64_t)gateway->requests.open_count);
  metric(to, "engines", usable);
  metric(to, "loads", counts->loads);
  metric(to, "loads_failed", counts->failed_loads);
  metric(to, "ready", !gateway_unready_reason(gateway));
  for (int reason = 0; reason < UNSERVED_COUNT; reason++)
    json_appendf(to, "asterfall_gateway_unserved{reason=\"%s\"} %" PRIu64 "\n",
                 unserved_name(reason), counts->unserved[reason]);
  canary_status_append_metrics(gateway, to);
}
