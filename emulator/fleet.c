#include "fleet.h"
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

static const char *const areas[] = { "north", "mid", "south" };

char *fleet_catalogue_json(int models, int adapters, const char *extra) {
  GString *b = g_string_new(
      "{\"areas\":[\"north\",\"mid\",\"south\"],\"models\":[{\"id\":\"mark\",\"weightsMb\":1}");
  static const int weights_mb[] = { 4000, 6000, 9000, 3000, 12000, 7000, 5000 };
  for (int i = 0; i < models; i++)
    json_appendf(b, ",{\"id\":\"m%d\",\"weightsMb\":%d}", i, weights_mb[i % 7]);
  g_string_append(b, "],\"adapters\":[");
  for (int i = 0; i < adapters; i++)
    json_appendf(b, "%s{\"id\":\"a%d\",\"model\":\"m%d\",\"weightsMb\":100}", i ? "," : "", i,
                 i % (models < 8 ? models : 8));
  json_appendf(b, "]%s}", extra ? extra : "");
  return g_string_free(b, FALSE);
}

static const char POLICY[] = "{\"loadsPerS\":%g,\"startLoadMs\":1500,\"slowStartS\":%g}";

fleet *fleet_new(uint64_t seed, int routers, int engines) {
  fleet *f = g_new0(fleet, 1);
  f->seed = seed;
  f->sim = sim_new(seed);
  f->controllers = 3;
  f->routers = routers;
  f->engines = engines;
  f->models = 20;
  f->adapters = 12;
  f->loads_per_s = 4;
  for (int i = 0; i < 3; i++)
    f->area[i] = id_of_text(areas[i]);
  f->rules = g_strdup("{\"then\":[\"enrol\",\"select\",\"hold\",\"proxy\",\"answer\"]}");
  f->slow_start_s = 5;
  f->streams_per_engine = 16;
  f->violations = g_string_new(NULL);
  f->write_acks = g_array_new(FALSE, TRUE, sizeof(write_ack));
  f->writes = g_ptr_array_new();
  char name[32], addr[48];
  f->platform = sim_add_host(f->sim, HOST_PLATFORM, "platform", "mid", "127.0.0.9:7100");
  for (int i = 0; i < f->controllers; i++) {
    snprintf(name, sizeof name, "controller-%d", i + 1);
    snprintf(addr, sizeof addr, "127.0.1.%d:7000", i + 1);
    f->controller[i] = sim_add_host(f->sim, HOST_CONTROLLER, name, areas[i % 3], addr);
  }
  for (int i = 0; i < routers; i++) {
    snprintf(name, sizeof name, "router-%d", i + 1);
    snprintf(addr, sizeof addr, "127.0.2.%d:7000", i + 1);
    f->router[i] = sim_add_host(f->sim, HOST_ROUTER, name, areas[i % 3], addr);
  }
  for (int i = 0; i < engines; i++) {
    snprintf(name, sizeof name, "engine-%d", i + 1);
    snprintf(addr, sizeof addr, "127.0.3.%d:7200", i + 1);
    host *h = f->engine[i] = sim_add_host(f->sim, HOST_ENGINE, name, areas[i % 3], addr);
    h->weights_mb = 16000 + 4000 * (i % 3);
    h->slots = 3 + i % 3;
    h->faults.load_mb_per_s = 8000;
    h->faults.token_ms = 20;
    g_strlcpy(h->settings.platform_address, i % 2 ? "t4" : "l4",
              sizeof h->settings.platform_address);
  }
  f->callers = sim_add_host(f->sim, HOST_CALLERS, "callers", "mid", "127.0.0.7:1");
  f->operator= sim_add_host(f->sim, HOST_CALLERS, "operator", "mid", "127.0.0.8:1");
  f->prober = sim_add_host(f->sim, HOST_CALLERS, "prober", "mid", "127.0.0.6:1");
  f->probes = g_array_new(FALSE, TRUE, sizeof(policy_probe));
  list_for_each (h, &f->sim->hosts, host, link) {
    if (h->role > HOST_ROUTER)
      continue;
    h->settings.self = h->self;
    h->settings.zone = h->area;
    h->settings.role = h->role == HOST_CONTROLLER ? ROLE_CONTROLLER : ROLE_ROUTER;
    h->settings.debug_log = g_getenv("SIM_LOUD") != NULL;
    h->settings.log_file_bytes = 512 << 10;
    g_strlcpy(h->settings.address, h->addr, sizeof h->settings.address);
    g_strlcpy(h->settings.platform_address, f->platform->addr, sizeof h->settings.platform_address);
    for (int i = 0; i < 3; i++) {
      g_strlcpy(h->settings.seed_addresses[i], f->controller[i]->addr,
                sizeof h->settings.seed_addresses[i]);
      if (h->role == HOST_CONTROLLER)
        h->settings.founders[i] = f->controller[i]->self;
    }
  }
  return f;
}

bool fleet_load_deployment(fleet *fleet, const char *dir) {
  char *path = g_strdup_printf("%s/fleet", dir), *rows = NULL, *cat = NULL, *pol = NULL;
  bool ok = g_file_get_contents(path, &rows, NULL, NULL);
  g_free(path);
  path = g_strdup_printf("%s/catalogue.json", dir);
  ok = ok && g_file_get_contents(path, &cat, NULL, NULL);
  g_free(path);
  path = g_strdup_printf("%s/policy.json", dir);
  ok = ok && g_file_get_contents(path, &pol, NULL, NULL);
  g_free(path);
  char **lines = g_strsplit(ok ? rows : "", "\n", -1);
  int routers = 0, engines = 0, controllers = 0;
  for (char **l = lines; *l; l++) {
    char what[20], name[48], area[48], addr[48], type[32];
    unsigned long weights_mb = 0;
    unsigned slots = 0;
    int n = sscanf(*l, "%19s %47s %47s %47s %31s %lu %u", what, name, area, addr, type, &weights_mb,
                   &slots);
    if (n < 4 || what[0] == '#')
      continue;
    host *host = sim_find_host(fleet->sim, name);
    if (!host)
      continue;
    host->area = host->settings.zone = id_of_text(area);
    if (!strcmp(what, "controller") && controllers < 3)
      fleet->area[controllers++] = host->area;
    routers += !strcmp(what, "router");
    if (strcmp(what, "engine") || n < 7)
      continue;
    engines++;
    host->weights_mb = weights_mb;
    host->slots = slots;
    g_strlcpy(host->settings.platform_address, type, sizeof host->settings.platform_address);
  }
  g_strfreev(lines);
  g_free(rows);
  json *c = json_parse(string_view_of(cat ? cat : ""), NULL),
       *p = json_parse(string_view_of(pol ? pol : ""), NULL);
  const json *rules = json_get(p, "rules"), *kinds = json_get(p, "kinds");
  if (!ok || !c || !p || routers != fleet->routers || engines != fleet->engines) {
    fleet_add_violation(fleet, "%s does not fit this fleet", dir);
    ok = false;
  }
  GString *b = g_string_new(NULL);
  for (size_t i = 0; ok && i < json_count(rules); i++) {
    if (i)
      g_string_append_c(b, ',');
    json_write(json_at(rules, i), b);
  }
  g_free(fleet->rules);
  fleet->rules = g_string_free(b, FALSE);
  fleet->loads_per_s = json_number(p, "loadsPerS", 2);
  fleet->slow_start_s = json_number(p, "slowStartS", 10);
  fleet->streams_per_engine = json_number(p, "streamsMost", 16);
  fleet->models = fleet->adapters = 0;
  loadgen *loadgen = fleet->callers->loadgen =
      loadgen_new(&fleet->callers->world, fleet->callers->self);
  for (size_t i = 0; i < json_count(json_get(c, "models")); i++)
    loadgen_add_target(loadgen, id_of_text(json_text(json_at(json_get(c, "models"), i), "id", "")),
                       id_of_text(""));
  for (size_t i = 0; i < json_count(json_get(c, "adapters")); i++) {
    const json *x = json_at(json_get(c, "adapters"), i);
    loadgen_add_target(loadgen, id_of_text(json_text(x, "model", "")),
                       id_of_text(json_text(x, "id", "")));
  }
  for (size_t i = 0; i < 3 && i < json_count(kinds); i++) {
    g_strlcpy(fleet->kind[i].text, json_text(json_at(kinds, i), "id", ""),
              sizeof fleet->kind[i].text);
    loadgen->plan.kinds[i] = fleet->kind[i].text;
  }
  /* a model beside the shipped ones, for the marks */
  char *at = cat ? strstr(cat, "\"models\": [") : NULL;
  if (at)
    fleet->catalogue = g_strdup_printf("%.*s{\"id\":\"mark\",\"weightsMb\":1},%s",
                                       (int)(at + 11 - cat), cat, at + 11);
  fleet->policy = pol;
  g_free(cat);
  json_free(c);
  json_free(p);
  return ok && at;
}

void fleet_free(fleet *fleet) {
  sim_free(fleet->sim);
  g_string_free(fleet->violations, TRUE);
  g_array_free(fleet->write_acks, TRUE);
  g_array_free(fleet->probes, TRUE);
  g_free(fleet->rules);
  g_free(fleet->catalogue);
  g_free(fleet->policy);
  for (guint i = 0; i < fleet->writes->len; i++) {
    operator_write *note = fleet->writes->pdata[i];
    g_free(note->text);
    g_free(note);
  }
  g_ptr_array_free(fleet->writes, TRUE);
  g_free(fleet);
}

/* what the operator writes down of an answer */
static void record_event(operator_call *call) {
  call->write->answered_at = call->answered_at;
  call->write->status = call->status;
  call->write->version = call->version;
  if (call->status != 200 || call->write->resource < 0)
    return;
  write_ack a = { call->version, call->write->resource, call->answered_at };
  g_array_append_val(call->fleet->write_acks, a);
}

static void call_run(void *p) {
  operator_call *call = p;
  world *world = &call->host->world;
  http_headers h = { { 0 } };
  http_headers_set(&h, HEADER_CONTENT_TYPE, "application/json");
  if (call->if_match)
    http_headers_set(&h, HEADER_IF_MATCH, call->if_match);
  if (call->idempotency_key)
    http_headers_set(&h, HEADER_IDEMPOTENCY_KEY, call->idempotency_key);
  error err = { 0 };
  call->status = http_call_fetch(world, call->addr, call->method, call->path, &h,
                                 string_view_of(call->text ? call->text : ""), call->body,
                                 time_from_ms(25000), &err);
  if (!call->status)
    call->status = -err.code;
  http_headers_free(&h);
  json *json = json_parse(string_view_of_gstring(call->body), NULL);
  call->version = (uint64_t)json_number(json, "version", 0);
  json_free(json);
  call->answered_at = call->host->sim->now;
  call->done = true;
  if (call->write)
    record_event(call);
  if (call->self_freeing)
    operator_call_free(call);
}
operator_call *fleet_send(fleet *fleet, host *to, const char *verb, const char *path,
                          const char *text, const char *match, const char *key) {
  operator_call *call = g_new0(operator_call, 1);
  call->body = g_string_new(NULL);
  call->method = g_strdup(verb);
  call->path = g_strdup(path);
  call->text = g_strdup(text);
  call->if_match = g_strdup(match);
  call->idempotency_key = g_strdup(key);
  call->host = fleet->operator;
  call->fleet = fleet;
  if (strcmp(verb, "GET")) {
    operator_write *n = call->write = g_new0(operator_write, 1);
    n->sent_at = fleet->sim->now;
    n->resource = -1;
    n->patch = !strcmp(verb, "PATCH");
    for (int k = 0; k < RESOURCE_COUNT; k++)
      if (g_str_has_prefix(path, "/v1/") && !strcmp(resource_names[k], path + 4))
        n->resource = k;
    n->text = g_strdup(text);
    if (key)
      g_strlcpy(n->idempotency_key, key, sizeof n->idempotency_key);
    g_ptr_array_add(fleet->writes, n);
  }
  g_strlcpy(call->addr, to->addr, sizeof call->addr);
  task_start(&fleet->operator->world.tasks, "call", call_run, call);
  return call;
}

void operator_call_free(operator_call *call) {
  g_string_free(call->body, TRUE);
  g_free(call->method);
  g_free(call->path);
  g_free(call->text);
  g_free(call->if_match);
  g_free(call->idempotency_key);
  g_free(call);
}

static bool call_done(sim *sim, void *p) {
  (void)sim;
  return ((operator_call *)p)->done;
}

operator_call *fleet_call(fleet *fleet, host *to, const char *verb, const char *path,
                          const char *text, const char *match, const char *key, time_us span) {
  operator_call *call = fleet_send(fleet, to, verb, path, text, match, key);
  sim_run_until(fleet->sim, call_done, call, span);
  return call;
}

uint64_t fleet_put(fleet *fleet, const char *res, const char *text) {
  char path[40], key[40];
  snprintf(path, sizeof path, "/v1/%s", res);
  snprintf(key, sizeof key, "k-%" PRIu64, sim_random(fleet->sim, UINT64_MAX));
  for (int i = 0; i < 30; i++) {
    host *m = fleet->controller[sim_random(fleet->sim, fleet->controllers)];
    if (!m->alive || m->frozen) {
      sim_run(fleet->sim, time_from_ms(50));
      continue;
    }
    operator_call *call = fleet_call(fleet, m, "PUT", path, text, NULL, key, time_from_ms(26000));
    uint64_t v = call->version;
    int st = call->status;
    if (st == 400)
      fprintf(stderr, "refused: %s\n", call->body->str);
    operator_call_free(call);
    if (st == 200)
      return v;
    if (st == 400)
      return 0;
    sim_run(fleet->sim, time_from_ms(300));
  }
  return 0;
}

host *fleet_find_head(fleet *fleet) {
  host *got = NULL;
  for (int i = 0; i < fleet->controllers; i++) {
    host *host = fleet->controller[i];
    if (!host->alive || host->frozen || !host->controller ||
        !replica_is_acting_head(&host->controller->replica))
      continue;
    if (got)
      fleet_add_violation(fleet, "two heads act at once: %s and %s", got->self.text,
                          host->self.text);
    got = host;
  }
  return got;
}

host *fleet_find_tail(fleet *fleet) {
  host *got = NULL;
  for (int i = 0; i < fleet->controllers; i++) {
    host *host = fleet->controller[i];
    if (!host->alive || host->frozen || !host->controller ||
        !replica_is_acting_tail(&host->controller->replica))
      continue;
    if (got)
      fleet_add_violation(fleet, "two tails act at once: %s and %s", got->self.text,
                          host->self.text);
    got = host;
  }
  return got;
}

host *fleet_find_lease_holder(fleet *fleet, const char *singleton) {
  host *got = NULL;
  for (int i = 0; i < fleet->routers; i++) {
    host *host = fleet->router[i];
    if (!host->alive || host->frozen || !singleton_lease_epoch(host->router, singleton))
      continue;
    if (got)
      fleet_add_violation(fleet, "two hold %s at once: %s and %s", singleton, got->self.text,
                          host->self.text);
    got = host;
  }
  return got;
}

bool fleet_is_healthy(sim *sim, void *p) {
  fleet *fleet = p;
  (void)sim;
  if (!fleet_find_head(fleet) || !fleet_find_tail(fleet))
    return false;
  for (int i = 0; i < fleet->routers; i++)
    if (fleet->router[i]->alive && !fleet->router[i]->frozen &&
        (!fleet->router[i]->router->config || !config_sync_is_recent(fleet->router[i]->router)))
      return false;
  return true;
}

static bool all_leases_held(sim *sim, void *p) {
  fleet *fleet = p;
  char d[64];
  (void)sim;
  for (int i = 0; i < fleet->engines; i++) {
    singleton_engine_name(d, sizeof d, fleet->engine[i]->self);
    if (!fleet_find_lease_holder(fleet, d))
      return false;
  }
  return fleet_find_lease_holder(fleet, "pacer") != NULL;
}

bool fleet_bring_up(fleet *fleet) {
  list_for_each (h, &fleet->sim->hosts, host, link)
    host_start(h);
  for (int i = 0; i < fleet->engines; i++) {
    host *h = fleet->engine[i];
    platform_sim_engine e = { .self = h->self,
                              .type = id_of_text(h->settings.platform_address),
                              .area = h->area,
                              .weights_mb = h->weights_mb,
                              .adapter_slots = h->slots };
    g_strlcpy(e.addr, h->addr, sizeof e.addr);
    g_array_append_val(fleet->platform->platform->engines, e);
  }
  loadgen *loadgen = fleet->callers->loadgen;
  for (int i = 0; i < fleet->routers; i++)
    g_ptr_array_add(loadgen->plan.routers, g_strdup(fleet->router[i]->addr));
  char name[32], base[32];
  for (int i = 0; i < fleet->models; i++) {
    snprintf(name, sizeof name, "m%d", i);
    loadgen_add_target(loadgen, id_of_text(name), id_of_text(""));
  }
  for (int i = 0; i < fleet->adapters; i++) {
    snprintf(name, sizeof name, "a%d", i);
    snprintf(base, sizeof base, "m%d", i % 8);
    loadgen_add_target(loadgen, id_of_text(base), id_of_text(name));
  }
  if (!sim_run_until(fleet->sim, (bool (*)(sim *, void *))fleet_is_healthy, fleet, time_from_ms(1)))
    sim_run(fleet->sim, time_from_ms(3000));
  char *cat = fleet->catalogue ? g_strdup(fleet->catalogue)
                               : fleet_catalogue_json(fleet->models, fleet->adapters, NULL),
       pol[200];
  snprintf(pol, sizeof pol, POLICY, fleet->loads_per_s, fleet->slow_start_s);
  bool ok = fleet_put(fleet, "catalogue", cat) &&
            fleet_put(fleet, "policy", fleet->policy ? fleet->policy : pol);
  g_free(cat);
  ok = ok && sim_run_until(fleet->sim, fleet_is_healthy, fleet, time_from_ms(10000)) &&
       sim_run_until(fleet->sim, all_leases_held, fleet, time_from_ms(15000));
  if (!ok)
    fleet_add_violation(fleet, "the fleet did not come up");
  return ok;
}

void fleet_run_traffic(fleet *fleet, double per_s, time_us span) {
  loadgen *loadgen = fleet->callers->loadgen;
  loadgen->plan.requests_per_s = per_s;
  loadgen->stop = false;
  loadgen_start(loadgen);
  sim_run(fleet->sim, span);
  loadgen->stop = true;
}

static bool all_callers_answered(sim *sim, void *p) {
  (void)sim;
  return !((fleet *)p)->callers->loadgen->open_requests;
}

void fleet_finish_traffic(fleet *fleet) {
  fleet->callers->loadgen->stop = true;
  if (!sim_run_until(fleet->sim, all_callers_answered, fleet, time_from_ms(140000)))
    fleet_add_violation(fleet, "%d callers were never answered",
                        fleet->callers->loadgen->open_requests);
}
