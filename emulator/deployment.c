/** @file
 * A deployment over a fleet: its default engines and models, its start and its end. */
#include "deployment.h"
#include "deployment_process.h"
#include "deployment_report.h"
#include "gateway_check.h"
#include <stdio.h>

enum {
  MODELS = 14,
  /** Number of models that several engines start with; most models that an engine starts with. */
  BUSIEST_MODELS = 2,
  INITIAL_MODELS_MAX = 3,
  /** Time limits of the steps of a start, and of a put of a configuration. */
  START_MS = 2500,
  READY_MS = 10000,
  SETTLE_MS = 2000,
  PUT_MS = 30000
};

deployment *deployment_new_empty(fleet *fleet) {
  deployment *created = g_new0(deployment, 1);
  created->fleet = fleet;
  created->sim = fleet->sim;
  created->log = engine_record_log_new();
  created->store.full_speed_loads = 3;
  created->loads_per_s = 2;
  created->extra_routes = g_string_new(NULL);
  created->scheduled_kills = g_ptr_array_new_with_free_func(g_free);
  created->injected_faults = g_array_new(FALSE, TRUE, sizeof(injected_fault));
  for (int i = 0; i < fleet->controllers; i++)
    created->controller_processes[i] = deployment_add_controller(created, fleet->controller[i]);
  for (int i = 0; i < fleet->routers; i++)
    created->gateway_processes[i] = deployment_add_gateway(created, fleet->router[i]);
  return created;
}

/* returns the models that an engine starts with: each of the two most requested models is on half
 * of the engines, each other model on one */
static GPtrArray *initial_models_of(size_t engine, size_t engine_count) {
  static const char *const names[] = { "m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8" };
  GPtrArray *models = g_ptr_array_new();
  g_ptr_array_add(models, (char *)names[engine % BUSIEST_MODELS]);
  for (size_t i = BUSIEST_MODELS; i < G_N_ELEMENTS(names); i++)
    if (i % engine_count == engine && models->len < INITIAL_MODELS_MAX)
      g_ptr_array_add(models, (char *)names[i]);
  return models;
}

/* every third model is large */
static void add_models(deployment *deployment) {
  deployment->model_count = MODELS;
  for (size_t i = 0; i < deployment->model_count; i++) {
    engine_model_spec *model = &deployment->models[i];
    bool large = i % 3 == 0;
    snprintf(model->name.text, sizeof model->name.text, "m%zu", i);
    model->weights_mb = large ? 34300 : 16100;
    model->load_ms = large ? 2000 : 950;
    model->adapters = 3;
    model->adapter_mb = 40;
  }
}

/* the part of the plan that engines with models and plain ones have in common */
static registering_engine_plan plan_engine(deployment *deployment, const char *service) {
  return (registering_engine_plan){ .service = id_of_text(service),
                                    .version = id_of_text("v1"),
                                    .port = 9000,
                                    .slots = 6,
                                    .queue = 4,
                                    .connections_max = 110,
                                    .heartbeat_ms = 1200,
                                    .drain_ms = DEPLOYMENT_DRAIN_MS,
                                    .work_ms = 30,
                                    .idle_timeout_ms = 5000,
                                    .step_ms = 9,
                                    .step_per_request_ms = 0.2,
                                    .prefill_tokens_per_ms = 20,
                                    .event_tokens = 2,
                                    .kv_tokens = 60000,
                                    .weights_mb = 83000,
                                    .adapter_slots = 4,
                                    .dialect = &dialect_native,
                                    .log = deployment->log,
                                    .store = &deployment->store };
}

static registering_engine_plan plan_model_engine(deployment *deployment) {
  registering_engine_plan plan = plan_engine(deployment, "llm");
  plan.slots = 16;
  plan.queue = 6;
  plan.connections_max = 200;
  plan.models = deployment->models;
  plan.model_count = deployment->model_count;
  return plan;
}

deployment *deployment_new(fleet *fleet, size_t model_engines, size_t plain_engines) {
  deployment *deployment = deployment_new_empty(fleet);
  add_models(deployment);
  for (size_t i = 0; i < model_engines; i++)
    deployment_add_engine(deployment, fleet->zones[i % FLEET_ZONES], plan_model_engine(deployment),
                          initial_models_of(i, model_engines));
  for (size_t i = 0; i < plain_engines; i++) {
    /* with three or more plain engines, the last serves a separate service */
    bool spare = i == plain_engines - 1 && plain_engines > 2;
    deployment_add_engine(deployment, fleet->zones[(model_engines + i) % FLEET_ZONES],
                          plan_engine(deployment, spare ? "spare" : "ledger"), NULL);
  }
  deployment_add_clients(deployment);
  return deployment;
}

void deployment_free(deployment *deployment) {
  list_for_each (h, &deployment->sim->hosts, host, link)
    if (h->alive)
      host_kill(h);
  for (size_t i = 0; i < deployment->model_engine_count + deployment->plain_engine_count; i++)
    g_ptr_array_free(deployment->engine_processes[i]->plan.controllers, TRUE);
  if (deployment->client)
    client_sim_free(deployment->client);
  if (deployment->balancer)
    balancer_sim_free(deployment->balancer);
  if (deployment->operator)
    operator_sim_free(deployment->operator);
  engine_record_log_free(deployment->log);
  g_array_free(deployment->injected_faults, TRUE);
  g_ptr_array_free(deployment->scheduled_kills, TRUE);
  g_string_free(deployment->extra_routes, TRUE);
  g_free(deployment);
}

static bool change_done(sim *sim, void *change) {
  (void)sim;
  return ((operator_sim_change *)change)->done;
}

operator_sim_change *deployment_put_config(deployment *deployment, uint64_t version, uint64_t base,
                                           const char *text, bool valid) {
  operator_sim_change *change =
      operator_sim_send(deployment->operator, version, base, false, text, valid);
  sim_run_until(deployment->sim, change_done, change, time_from_ms(PUT_MS));
  return change;
}

bool deployment_is_ready(deployment *deployment) {
  int ready = 0, alive = 0;
  for (int i = 0; i < deployment->fleet->routers; i++) {
    const balancer_sim_gateway *gateway = deployment->balancer->gateways->pdata[i];
    alive += deployment->fleet->router[i]->alive;
    ready += deployment->fleet->router[i]->alive && gateway->in_rotation &&
             gateway->failures_in_row == 0;
  }
  return alive && ready == alive;
}

static bool is_ready(sim *sim, void *context) {
  (void)sim;
  return deployment_is_ready(context);
}

bool deployment_bring_up(deployment *deployment) {
  list_for_each (h, &deployment->sim->hosts, host, link)
    host_start(h);
  sim_run(deployment->sim, time_from_ms(START_MS));
  char *text = deployment->write_config ? deployment->write_config(deployment, 1)
                                        : deployment_config(deployment, 1, NULL);
  operator_sim_change *change = deployment_put_config(deployment, 1, 0, text, true);
  g_free(text);
  deployment->version = 1;
  if (!change->acked_at.us) {
    fleet_add_violation(deployment->fleet, "the first configuration was not acknowledged (%d)",
                        change->status);
    return false;
  }
  if (!sim_run_until(deployment->sim, is_ready, deployment, time_from_ms(READY_MS))) {
    fleet_add_violation(deployment->fleet, "the gateways did not become ready");
    return false;
  }
  sim_run(deployment->sim, time_from_ms(SETTLE_MS));
  return true;
}

bool deployment_finish(deployment *deployment, double min_served) {
  if (g_getenv("SIM_COUNT"))
    deployment_print_counts(deployment);
  double served = deployment_served_ratio(deployment, NULL, (time_us){ 0 }, time_never());
  if (served < min_served)
    fleet_add_violation(deployment->fleet, "only %.3f of %u requests were served", served,
                        deployment->client->requests->len);
  gateway_check_all(deployment);
  bool passed = !deployment->fleet->violations->len;
  deployment_free(deployment);
  return passed;
}
