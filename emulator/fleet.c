/** @file
 * A fleet with 20 models and 12 adapters. Controllers, routers and engines are assigned to the
 * three zones in turn. */
#include "fleet.h"
#include <stdio.h>

enum {
  MODELS = 20,
  ADAPTERS = 12,
  /** Number of models that have adapters: the first ones. */
  ADAPTED_MODELS = 8,
  /** Number of engine sizes, which differ in memory and adapter slots. */
  ENGINE_SIZES = 3,
  WEIGHTS_MIN_MB = 16000,
  WEIGHTS_STEP_MB = 4000,
  SLOTS_MIN = 3,
  LOG_FILE_BYTES = 512 << 10,
  /** Time limits of the steps of a start, and of the last responses to callers. */
  START_MS = 3000,
  HEALTHY_MS = 10000,
  LEASES_MS = 15000,
  LAST_RESPONSE_MS = 140000
};

static const char *const zones[FLEET_ZONES] = { "north", "mid", "south" };

static const char POLICY[] = "{\"loadsPerS\":%g,\"startLoadMs\":1500,\"slowStartS\":%g}";

char *fleet_catalogue_json(int models, int adapters, const char *extra) {
  static const int weights_mb[] = { 4000, 6000, 9000, 3000, 12000, 7000, 5000 };
  GString *text = g_string_new(
      "{\"areas\":[\"north\",\"mid\",\"south\"],\"models\":[{\"id\":\"mark\",\"weightsMb\":1}");
  for (int i = 0; i < models; i++)
    json_appendf(text, ",{\"id\":\"m%d\",\"weightsMb\":%d}", i,
                 weights_mb[i % (int)G_N_ELEMENTS(weights_mb)]);
  g_string_append(text, "],\"adapters\":[");
  for (int i = 0; i < adapters; i++)
    json_appendf(text, "%s{\"id\":\"a%d\",\"model\":\"m%d\",\"weightsMb\":100}", i ? "," : "", i,
                 i % MIN(models, ADAPTED_MODELS));
  json_appendf(text, "]%s}", extra ? extra : "");
  return g_string_free(text, FALSE);
}

/* adds host number i of a role; zones are assigned in turn */
static host *add_host(fleet *fleet, enum host_role role, const char *prefix, int subnet, int i,
                      int port) {
  char name[32], addr[48];
  snprintf(name, sizeof name, "%s-%d", prefix, i + 1);
  snprintf(addr, sizeof addr, "127.0.%d.%d:%d", subnet, i + 1, port);
  return sim_add_host(fleet->sim, role, name, zones[i % FLEET_ZONES], addr);
}

static host *add_engine(fleet *fleet, int i) {
  host *engine = add_host(fleet, HOST_ENGINE, "engine", 3, i, 7200);
  engine->weights_mb = WEIGHTS_MIN_MB + WEIGHTS_STEP_MB * (i % ENGINE_SIZES);
  engine->adapter_slots = SLOTS_MIN + i % ENGINE_SIZES;
  engine->faults.load_mb_per_s = 8000;
  engine->faults.token_ms = 20;
  g_strlcpy(engine->settings.platform_address, i % 2 ? "t4" : "l4",
            sizeof engine->settings.platform_address);
  return engine;
}

/* hosts run in the order in which they are added */
static void add_hosts(fleet *fleet) {
  sim *sim = fleet->sim;
  fleet->platform = sim_add_host(sim, HOST_PLATFORM, "platform", "mid", "127.0.0.9:7100");
  for (int i = 0; i < fleet->controllers; i++)
    fleet->controller[i] = add_host(fleet, HOST_CONTROLLER, "controller", 1, i, 7000);
  for (int i = 0; i < fleet->routers; i++)
    fleet->router[i] = add_host(fleet, HOST_ROUTER, "router", 2, i, 7000);
  for (int i = 0; i < fleet->engines; i++)
    fleet->engine[i] = add_engine(fleet, i);
  fleet->callers = sim_add_host(sim, HOST_CALLERS, "callers", "mid", "127.0.0.7:1");
  fleet->operator= sim_add_host(sim, HOST_CALLERS, "operator", "mid", "127.0.0.8:1");
  fleet->prober = sim_add_host(sim, HOST_CALLERS, "prober", "mid", "127.0.0.6:1");
}

/* settings of a controller or a router */
static void set_settings(const fleet *fleet, host *host) {
  settings *settings = &host->settings;
  bool is_controller = host->role == HOST_CONTROLLER;
  settings->self = host->self;
  settings->zone = host->zone;
  settings->role = is_controller ? ROLE_CONTROLLER : ROLE_ROUTER;
  settings->debug_log = g_getenv("SIM_LOUD") != NULL;
  settings->log_file_bytes = LOG_FILE_BYTES;
  g_strlcpy(settings->address, host->addr, sizeof settings->address);
  g_strlcpy(settings->platform_address, fleet->platform->addr, sizeof settings->platform_address);
  for (int i = 0; i < fleet->controllers; i++) {
    g_strlcpy(settings->seed_addresses[i], fleet->controller[i]->addr,
              sizeof settings->seed_addresses[i]);
    if (is_controller)
      settings->founders[i] = fleet->controller[i]->self;
  }
}

fleet *fleet_new(uint64_t seed, int routers, int engines) {
  fleet *created = g_new0(fleet, 1);
  created->seed = seed;
  created->sim = sim_new(seed);
  created->controllers = 3;
  created->routers = routers;
  created->engines = engines;
  created->models = MODELS;
  created->adapters = ADAPTERS;
  created->loads_per_s = 4;
  created->slow_start_s = 5;
  created->streams_per_engine = 16;
  for (int i = 0; i < FLEET_ZONES; i++)
    created->zones[i] = id_of_text(zones[i]);
  created->rules = g_strdup("{\"then\":[\"enrol\",\"select\",\"hold\",\"proxy\",\"answer\"]}");
  created->violations = g_string_new(NULL);
  created->write_acks = g_array_new(FALSE, TRUE, sizeof(write_ack));
  created->writes = g_ptr_array_new();
  created->probes = g_array_new(FALSE, TRUE, sizeof(policy_probe));
  add_hosts(created);
  list_for_each (h, &created->sim->hosts, host, link)
    if (h->role == HOST_CONTROLLER || h->role == HOST_ROUTER)
      set_settings(created, h);
  return created;
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
    operator_write *write = fleet->writes->pdata[i];
    g_free(write->text);
    g_free(write);
  }
  g_ptr_array_free(fleet->writes, TRUE);
  g_free(fleet);
}

static bool is_running(const host *host) {
  return host->alive && !host->frozen;
}

host *fleet_find_head(fleet *fleet) {
  host *found = NULL;
  for (int i = 0; i < fleet->controllers; i++) {
    host *host = fleet->controller[i];
    if (!is_running(host) || !host->controller ||
        !replica_is_acting_head(&host->controller->replica))
      continue;
    if (found)
      fleet_add_violation(fleet, "two controllers act as head: %s and %s", found->self.text,
                          host->self.text);
    found = host;
  }
  return found;
}

host *fleet_find_tail(fleet *fleet) {
  host *found = NULL;
  for (int i = 0; i < fleet->controllers; i++) {
    host *host = fleet->controller[i];
    if (!is_running(host) || !host->controller ||
        !replica_is_acting_tail(&host->controller->replica))
      continue;
    if (found)
      fleet_add_violation(fleet, "two controllers act as tail: %s and %s", found->self.text,
                          host->self.text);
    found = host;
  }
  return found;
}

host *fleet_find_lease_holder(fleet *fleet, const char *singleton) {
  host *found = NULL;
  for (int i = 0; i < fleet->routers; i++) {
    host *host = fleet->router[i];
    if (!is_running(host) || !singleton_lease_epoch(host->router, singleton))
      continue;
    if (found)
      fleet_add_violation(fleet, "the lease on %s is held by both %s and %s", singleton,
                          found->self.text, host->self.text);
    found = host;
  }
  return found;
}

static bool is_router_ready(const host *host) {
  return host->router->config && config_sync_is_recent(host->router);
}

bool fleet_is_healthy(sim *sim, void *context) {
  fleet *fleet = context;
  (void)sim;
  if (!fleet_find_head(fleet) || !fleet_find_tail(fleet))
    return false;
  for (int i = 0; i < fleet->routers; i++)
    if (is_running(fleet->router[i]) && !is_router_ready(fleet->router[i]))
      return false;
  return true;
}

static bool all_leases_held(sim *sim, void *context) {
  fleet *fleet = context;
  char singleton[64];
  (void)sim;
  for (int i = 0; i < fleet->engines; i++) {
    singleton_engine_name(singleton, sizeof singleton, fleet->engine[i]->self);
    if (!fleet_find_lease_holder(fleet, singleton))
      return false;
  }
  return fleet_find_lease_holder(fleet, "pacer") != NULL;
}

static void list_engines_at_platform(fleet *fleet) {
  for (int i = 0; i < fleet->engines; i++) {
    host *host = fleet->engine[i];
    platform_sim_engine engine = { .self = host->self,
                                   .type = id_of_text(host->settings.platform_address),
                                   .zone = host->zone,
                                   .weights_mb = host->weights_mb,
                                   .adapter_slots = host->adapter_slots };
    g_strlcpy(engine.addr, host->addr, sizeof engine.addr);
    g_array_append_val(fleet->platform->platform->engines, engine);
  }
}

static void plan_callers(fleet *fleet) {
  loadgen *loadgen = fleet->callers->loadgen;
  char name[32], base[32];
  for (int i = 0; i < fleet->routers; i++)
    g_ptr_array_add(loadgen->plan.routers, g_strdup(fleet->router[i]->addr));
  for (int i = 0; i < fleet->models; i++) {
    snprintf(name, sizeof name, "m%d", i);
    loadgen_add_target(loadgen, id_of_text(name), id_of_text(""));
  }
  for (int i = 0; i < fleet->adapters; i++) {
    snprintf(name, sizeof name, "a%d", i);
    snprintf(base, sizeof base, "m%d", i % ADAPTED_MODELS);
    loadgen_add_target(loadgen, id_of_text(base), id_of_text(name));
  }
}

static bool put_configuration(fleet *fleet) {
  char policy[200];
  char *catalogue = fleet->catalogue ? g_strdup(fleet->catalogue)
                                     : fleet_catalogue_json(fleet->models, fleet->adapters, NULL);
  snprintf(policy, sizeof policy, POLICY, fleet->loads_per_s, fleet->slow_start_s);
  bool ok = fleet_put(fleet, "catalogue", catalogue) &&
            fleet_put(fleet, "policy", fleet->policy ? fleet->policy : policy);
  g_free(catalogue);
  return ok;
}

bool fleet_bring_up(fleet *fleet) {
  sim *sim = fleet->sim;
  list_for_each (h, &sim->hosts, host, link)
    host_start(h);
  list_engines_at_platform(fleet);
  plan_callers(fleet);
  if (!sim_run_until(sim, fleet_is_healthy, fleet, time_from_ms(1)))
    sim_run(sim, time_from_ms(START_MS));
  bool ok = put_configuration(fleet) &&
            sim_run_until(sim, fleet_is_healthy, fleet, time_from_ms(HEALTHY_MS)) &&
            sim_run_until(sim, all_leases_held, fleet, time_from_ms(LEASES_MS));
  if (!ok)
    fleet_add_violation(fleet, "the fleet did not come up");
  return ok;
}

void fleet_run_traffic(fleet *fleet, double requests_per_s, time_us duration) {
  loadgen *loadgen = fleet->callers->loadgen;
  loadgen->plan.requests_per_s = requests_per_s;
  loadgen->stop = false;
  loadgen_start(loadgen);
  sim_run(fleet->sim, duration);
  loadgen->stop = true;
}

static bool all_requests_ended(sim *sim, void *context) {
  (void)sim;
  return !((fleet *)context)->callers->loadgen->open_requests;
}

void fleet_finish_traffic(fleet *fleet) {
  fleet->callers->loadgen->stop = true;
  if (!sim_run_until(fleet->sim, all_requests_ended, fleet, time_from_ms(LAST_RESPONSE_MS)))
    fleet_add_violation(fleet, "%d requests did not end", fleet->callers->loadgen->open_requests);
}
