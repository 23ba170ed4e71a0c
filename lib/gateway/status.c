#include "status.h"
#include "canary_status.h"
#include "gateway.h"
#include "service_traffic.h"

static const char *yes(bool b) {
  return b ? "true" : "false";
}

static int64_t ago(time_us now, time_us at) {
  return at.us ? time_sub(now, at).us / 1000 : -1;
}

static void engines_to_json(gateway *gateway, GString *to) {
  time_us now = world_now(gateway->router->node.world);
  bool first = true;
  list_for_each (i, &gateway->engines.list, gateway_engine, link) {
    if (i->gone)
      continue;
    json_appendf(
        to,
        "%s{\"id\":\"%s\",\"service\":\"%s\",\"area\":\"%s\",\"version\":\"%s\",\"addr\":\"%s\",\"slots\":%u,\"leaving\":%s,\"usable\":%s,\"suspect\":%s,\"failing\":%s,\"running\":%d,\"othersRunning\":%d,"
        "\"tokens\":%.0f,\"fails\":%d,\"lastBeatMs\":%" PRId64 ",\"heardMs\":%" PRId64
        ",\"firstMs\":%.1f,\"msPerToken\":%.4f,\"models\":[",
        first ? "" : ",", i->engine_id.text, i->service.text, i->zone.text, i->version.text,
        i->addr, i->slots, yes(i->draining), yes(gateway_engine_usable(i)), yes(i->health.suspect),
        yes(i->health.consecutive_failures > 0 || gateway_engine_unhealthy(i)), i->load.own_running,
        i->load.peers_running, i->load.own_waiting_tokens, i->health.consecutive_failures,
        ago(now, i->heartbeat_at), ago(now, i->health.last_byte_at), i->load.base_ms,
        i->load.ms_per_token);
    first = false;
    bool f = true;
    list_for_each (r, &i->residents.list, resident, link) {
      json_appendf(to,
                   "%s{\"model\":\"%s\",\"version\":%" PRIu64
                   ",\"unloading\":%s,\"running\":%d,\"adapters\":[",
                   f ? "" : ",", r->model.text, r->version, yes(r->unloading), r->own_running);
      for (guint k = 0; k < r->adapters->len; k++)
        json_appendf(to, "%s\"%s\"", k ? "," : "", (const char *)r->adapters->pdata[k]);
      g_string_append(to, "]}");
      f = false;
    }
    g_string_append(to, "]}");
  }
}

const char *gateway_unready_reason(const gateway *gateway) {
  return gateway->drain.draining      ? "leaving"
         : !gateway->routing          ? "no configuration is known yet"
         : !gateway->engines.is_known ? "no engines are known yet"
                                      : NULL;
}

/* each service that is routed to: who may serve it, what it takes, and what is left of its extra
 * attempts */
static void services_to_json(gateway *gateway, GString *to) {
  for (size_t k = 0; gateway->routing && k < gateway->routing->service_count; k++) {
    const service *service = &gateway->routing->services[k];
    const service_traffic *traffic = g_hash_table_lookup(gateway->traffic, service->name.text);
    const retry_budget *budget = g_hash_table_lookup(gateway->retry_budgets, service->name.text);
    int all = 0, usable = 0;
    bool routed = false;
    list_for_each (i, &gateway->engines.list, gateway_engine, link) {
      if (i->gone || !id_equal(i->service, service->name))
        continue;
      all++;
      usable += gateway_engine_usable(i);
    }
    for (size_t r = 0; r < gateway->routing->route_count; r++)
      for (size_t l = 0; l < gateway->routing->routes[r].leg_count; l++)
        routed |= gateway->routing->routes[r].legs[l].service == service &&
                  gateway->routing->routes[r].legs[l].weight > 0;
    json_appendf(
        to,
        "%s{\"service\":\"%s\",\"routed\":%s,\"engines\":%d,\"usable\":%d,\"running\":%d,\"waiting\":%d,\"firstMs\":%.1f,\"runMs\":%.1f,\"freeMs\":%.1f,\"requests\":%" PRId64
        ",\"retries\":%" PRId64 ",\"retryRoom\":%s}",
        k ? "," : "", service->name.text, yes(routed), all, usable, traffic ? traffic->running : 0,
        traffic ? traffic->waiting : 0, traffic ? traffic->mean_first_event_ms : 0,
        traffic ? traffic->mean_run_ms : 0, traffic ? traffic->mean_slot_interval_ms : 0,
        budget ? budget->request_count : 0, budget ? budget->retries : 0,
        yes(retry_budget_available(gateway, service)));
  }
}

static void unserved_json(const gateway_counts *counts, GString *to) {
  g_string_append(to, "\"unserved\":{");
  for (int k = 0; k < UNSERVED_COUNT; k++)
    json_appendf(to, "%s\"%s\":%" PRIu64, k ? "," : "", unserved_name(k), counts->unserved[k]);
  g_string_append_c(to, '}');
}

void gateway_status(gateway *gateway, GString *to) {
  const gateway_counts *n = &gateway->counts;
  const char *why = gateway_unready_reason(gateway);
  json_appendf(
      to,
      "{\"id\":\"%s\",\"revision\":%" PRIu64
      ",\"ready\":%s,\"why\":\"%s\",\"told\":%s,\"draining\":%s,\"open\":%d,\"channels\":%d,\"requests\":%" PRIu64
      ",\"served\":%" PRIu64 ",\"refused\":%" PRIu64 ",\"failed\":%" PRIu64 ",\"left\":%" PRIu64
      ",\"notFound\":%" PRIu64 ",\"attempts\":%" PRIu64 ",\"retries\":%" PRIu64
      ",\"resumed\":%" PRIu64 ",\"loads\":%" PRIu64 ",\"loadsFailed\":%" PRIu64
      ",\"loadFailsInARow\":%d,\"unloads\":%" PRIu64 ",\"orders\":%" PRIu64 ",\"reports\":%" PRIu64
      ",",
      gateway->router->node.settings.self.text, gateway->routing ? gateway->routing->revision : 0,
      yes(!why), why ? why : "", yes(gateway->engines.is_known), yes(gateway->drain.draining),
      gateway->requests.open_count, gateway->client_listener.connections, n->requests, n->served,
      n->refused, n->failed, n->client_left, n->no_route, n->attempts, n->retries, n->resumed,
      n->loads, n->failed_loads, gateway->consecutive_load_failures, n->unloads, n->orders,
      n->reports);
  unserved_json(n, to);
  g_string_append(to, ",\"services\":[");
  services_to_json(gateway, to);
  g_string_append(to, "],\"engines\":[");
  engines_to_json(gateway, to);
  g_string_append_c(to, ']');
  canary_json(gateway, to);
  g_string_append_c(to, '}');
}

void gateway_metrics(gateway *gateway, GString *to) {
  const gateway_counts *n = &gateway->counts;
  int up = 0;
  list_for_each (i, &gateway->engines.list, gateway_engine, link)
    up += gateway_engine_usable(i);
  json_appendf(
      to,
      "asterfall_gateway_requests %" PRIu64 "\nasterfall_gateway_served %" PRIu64
      "\nasterfall_gateway_refused %" PRIu64 "\nasterfall_gateway_failed %" PRIu64
      "\nasterfall_gateway_left %" PRIu64 "\nasterfall_gateway_not_found %" PRIu64
      "\nasterfall_gateway_attempts %" PRIu64 "\nasterfall_gateway_retries %" PRIu64
      "\nasterfall_gateway_resumed %" PRIu64 "\nasterfall_gateway_broken_off %" PRIu64
      "\nasterfall_gateway_open %d\nasterfall_gateway_engines %d\nasterfall_gateway_loads %" PRIu64
      "\nasterfall_gateway_loads_failed %" PRIu64 "\nasterfall_gateway_ready %d\n",
      n->requests, n->served, n->refused, n->failed, n->client_left, n->no_route, n->attempts,
      n->retries, n->resumed, gateway->client_listener.requests_aborted,
      gateway->requests.open_count, up, n->loads, n->failed_loads,
      !gateway_unready_reason(gateway));
  for (int k = 0; k < UNSERVED_COUNT; k++)
    json_appendf(to, "asterfall_gateway_unserved{reason=\"%s\"} %" PRIu64 "\n", unserved_name(k),
                 n->unserved[k]);
  canary_metrics(gateway, to);
}
