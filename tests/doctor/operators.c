/** Tests of the operators' API in a fleet of gateways, of the doctor's findings about gateways, and
 * of the HTTP status of each error code. */
#include "api_error.h"
#include "doctor.h"
#include "deployment.h"
#include "gateway_check.h"
#include "tests.h"
#include <stdio.h>

static bool is_revision_in_force(sim *sim, void *p) {
  (void)sim;
  deployment *deployment = p;
  for (int i = 0; i < deployment->fleet->routers; i++)
    if (!deployment->gateway_processes[i]->gateway->routing ||
        deployment->gateway_processes[i]->gateway->routing->revision != deployment->version)
      return false;
  return true;
}

/* Calls the operators' API of a random controller. Returns the HTTP status, and checks the error
 * code of the response unless `code` is 0. */
static int call_operators_api(deployment *deployment, const char *method, const char *path,
                              const char *text, int code) {
  operator_call *call = fleet_call(
      deployment->fleet,
      deployment->fleet
          ->controller[sim_random(deployment->sim, (uint64_t)deployment->fleet->controllers)],
      method, path, text, NULL, NULL, time_from_ms(9000));
  int status = call->status;
  char code_text[24];
  snprintf(code_text, sizeof code_text, "\"code\":%d", code);
  if (code && !strstr(call->body->str, code_text))
    fleet_add_violation(deployment->fleet, "%s %s: response %d %s does not have code %d", method,
                        path, status, call->body->str, code);
  operator_call_free(call);
  return status;
}

static bool operators_write_the_routing(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 3, 2);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  char *next = deployment_config(deployment, 3, "ledger"),
       *old = deployment_config(deployment, 2, "ledger"),
       *bad = deployment_config(deployment, 9, "nobody");
  if (call_operators_api(deployment, "PUT", "/v1/routing", next, 0) != 200)
    fleet_add_violation(fleet, "a valid routing was rejected");
  deployment->version = 3;
  if (!sim_run_until(deployment->sim, is_revision_in_force, deployment, time_from_ms(APPLY_MS)))
    fleet_add_violation(fleet, "the routing is not in force within %d ms", APPLY_MS);
  /* neither an older version nor an invalid one is accepted */
  if (call_operators_api(deployment, "PUT", "/v1/routing", old, E_STALE_VERSION) != 400)
    fleet_add_violation(fleet, "a routing with an older version was accepted");
  if (call_operators_api(deployment, "PUT", "/v1/routing", bad, E_UNKNOWN_SERVICE) != 400)
    fleet_add_violation(fleet, "a route to an unknown service was accepted");
  if (call_operators_api(deployment, "PATCH", "/v1/routing", "{\"version\":4,\"set\":5}",
                         E_ROUTING_PATCH) != 400)
    fleet_add_violation(fleet, "a malformed patch was accepted");
  if (call_operators_api(deployment, "PATCH", "/v1/routing",
                         "{\"version\":4,\"drop\":{\"routes\":[\"r-book\"]}}", 0) != 200)
    fleet_add_violation(fleet, "a valid patch of the routing was rejected");
  deployment->version = 4;
  if (!sim_run_until(deployment->sim, is_revision_in_force, deployment, time_from_ms(APPLY_MS)))
    fleet_add_violation(fleet, "the patched routing is not in force within %d ms", APPLY_MS);
  operator_call *call = fleet_call(fleet, fleet->controller[0], "GET", "/v1/routing", NULL, NULL,
                                   NULL, time_from_ms(9000));
  if (!strstr(call->body->str, "\"r-chat\"") || strstr(call->body->str, "\"r-book\""))
    fleet_add_violation(fleet, "GET returns another routing than the patched one: %.100s",
                        call->body->str);
  operator_call_free(call);
  if (call_operators_api(deployment, "PUT", "/v1/policy", "{\"eviction\":\"lru\"}", 0) != 200)
    fleet_add_violation(fleet, "a policy was rejected in a fleet of gateways");
  g_free(next);
  g_free(old);
  g_free(bad);
  bool ok = !fleet->violations->len;
  deployment_free(deployment);
  return ok;
}

static bool the_registry_page_lists_engines(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 3, 2);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  for (int i = 0; i < fleet->controllers; i++) {
    operator_call *call = fleet_call(fleet, fleet->controller[i], "GET", "/v1/registry", NULL, NULL,
                                     NULL, time_from_ms(5000));
    json *json = json_parse(string_view_of_gstring(call->body), NULL);
    size_t ready = 0, models = 0;
    for (size_t k = 0; k < json_count(json); k++) {
      ready += !strcmp(json_text(json_at(json, k), "state", ""), "ready");
      models += json_count(json_get(json_at(json, k), "models"));
    }
    if (call->status != 200 || ready != 5 || !models)
      fleet_add_violation(fleet,
                          "the registry page of %s has %zu ready engines with %zu models: %.200s",
                          fleet->controller[i]->self.text, ready, models, call->body->str);
    json_free(json);
    operator_call_free(call);
  }
  bool ok = !fleet->violations->len;
  deployment_free(deployment);
  return ok;
}

/* Findings before and after the first configuration. */
static void diagnose_missing_configuration(deployment *deployment) {
  fleet *fleet = deployment->fleet;
  list_for_each (h, &deployment->sim->hosts, host, link)
    host_start(h);
  sim_run(deployment->sim, time_from_ms(4000));
  scenario_expect_diagnosis(fleet, D_NO_ROUTING, "no configuration");
  scenario_expect_diagnosis(fleet, D_NOT_READY, "no configuration");
  char *text = deployment_config(deployment, 1, NULL);
  if (!deployment_put_config(deployment, 1, 0, text, true)->acked_at.us)
    fleet_add_violation(fleet, "the first configuration was rejected");
  g_free(text);
  sim_run(deployment->sim, time_from_ms(8000));
  scenario_expect_diagnosis(fleet, 0, "a healthy fleet of gateways");
}

/* Findings about engines: a service without engines, and an engine that does not respond. */
static void diagnose_engine_faults(deployment *deployment) {
  fleet *fleet = deployment->fleet;
  for (size_t i = 4; i < 6; i++)
    host_kill(deployment->engine_processes[i]->host);
  sim_run(deployment->sim, time_from_ms(12000));
  scenario_expect_diagnosis(fleet, D_SERVICE_NO_ENGINE, "a service without an engine");
  for (size_t i = 4; i < 6; i++)
    host_start(deployment->engine_processes[i]->host);
  sim_run(deployment->sim, time_from_ms(5000));
  scenario_expect_diagnosis(fleet, 0, "restarted engines");
  deployment_start_traffic(deployment, 2);
  deployment->engine_processes[5]->plan.faults.unresponsive = true;
  sim_run(deployment->sim, time_from_ms(5000));
  scenario_expect_diagnosis(fleet, D_ENGINE_EJECTED, "an unresponsive engine");
  deployment->engine_processes[5]->plan.faults.unresponsive = false;
}

/* Findings when responses are truncated until the retry budget is used up. */
static void diagnose_truncated_responses(deployment *deployment) {
  for (int t = 0; t < 15; t++) {
    for (size_t i = 0; i < 6; i++) {
      deployment->engine_processes[i]->plan.faults.truncate_responses = 60;
      deployment->engine_processes[i]->plan.faults.truncate_after_events = 1;
    }
    deployment->client->rate_factor = 6;
    sim_run(deployment->sim, time_from_ms(1000));
  }
  scenario_expect_diagnosis(deployment->fleet, D_RETRY_BUDGET, "truncated responses");
  for (size_t i = 0; i < 6; i++)
    deployment->engine_processes[i]->plan.faults.truncate_responses = 0;
  deployment->client->rate_factor = 0.5;
  sim_run(deployment->sim, time_from_ms(25000));
}

/* Findings about a draining gateway, checked before its process ends. */
static void diagnose_gateway_drain(deployment *deployment) {
  fleet *fleet = deployment->fleet;
  deployment_terminate_gateway(deployment, deployment->gateway_processes[0]);
  sim_run(deployment->sim, time_from_ms(200));
  scenario_expect_diagnosis(fleet, D_NOT_READY, "a draining gateway");
  sim_run(deployment->sim, time_from_ms(DEPLOYMENT_GRACE_S * 1000));
  if (!fleet->router[0]->alive)
    host_start(fleet->router[0]);
}

/* Findings when all orders to load models are lost. */
static void diagnose_lost_load_orders(deployment *deployment) {
  fleet *fleet = deployment->fleet;
  for (size_t i = 0; i < 4; i++)
    deployment->engine_processes[i]->plan.faults.drop_orders = 100000;
  bool fails = false;
  for (int t = 0; t < 200 && !fails; t++) {
    char name[16];
    snprintf(name, sizeof name, "m%d", 6 + t % 8);
    client_sim_send(deployment->client, deployment->note, name);
    sim_run(deployment->sim, time_from_ms(1000));
    for (int i = 0; i < fleet->routers; i++)
      fails |= fleet->router[i]->alive &&
               deployment->gateway_processes[i]->gateway->consecutive_load_failures >= 3;
  }
  scenario_expect_diagnosis(fleet, D_LOAD_FAILURES, "failing loads");
  for (size_t i = 0; i < 4; i++)
    deployment->engine_processes[i]->plan.faults.drop_orders = 0;
}

/* Findings while the load rate limiter is dead and no other node has taken over its lease. */
static void diagnose_lost_rate_limiter(deployment *deployment) {
  fleet *fleet = deployment->fleet;
  sim_run(deployment->sim, time_from_ms(6000));
  deployment_finish_traffic(deployment);
  host *holder = fleet_find_lease_holder(fleet, "pacer");
  if (!holder) {
    fleet_add_violation(fleet, "no node holds the lease of the load rate limiter");
    return;
  }
  host_kill(holder);
  scenario_expect_diagnosis(fleet, D_NO_LOAD_RATE_LIMITER, "a killed load rate limiter");
}

static bool the_doctor_diagnoses_gateway_faults(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 4, 2);
  diagnose_missing_configuration(deployment);
  diagnose_engine_faults(deployment);
  diagnose_truncated_responses(deployment);
  diagnose_gateway_drain(deployment);
  diagnose_lost_load_orders(deployment);
  diagnose_lost_rate_limiter(deployment);
  bool ok = !fleet->violations->len;
  deployment_free(deployment);
  return ok;
}

/* The HTTP status of every code of base.h, at the operators' API and at the control listener. */
static bool error_codes_have_http_statuses(fleet *fleet) {
  static const struct {
    int code, operators, control;
  } expected[] = {
    { E_STOPPING, 503, 503 },
    { E_NO_RESPONSE, 504, 504 },
    { E_PEER_GONE, 500, 503 },
    { E_CONNECTION_LOST_AFTER_SEND, 500, 503 },
    { E_NOT_CONNECTED, 500, 503 },
    { E_SETTINGS_FILE, 500, 503 },
    { E_SETTINGS_KEY, 500, 503 },
    { E_SETTINGS_ADDRESS, 500, 503 },
    { E_SETTINGS_SEEDS, 500, 503 },
    { E_SETTINGS_DATA, 500, 503 },
    { E_SETTINGS_ID, 500, 503 },
    { E_LISTEN, 500, 503 },
    { E_JSON, 400, 400 },
    { E_TOO_LARGE, 413, 413 },
    { E_FIELD, 400, 400 },
    { E_TYPE, 400, 400 },
    { E_NAME, 400, 400 },
    { E_RANGE, 400, 400 },
    { E_IF_MATCH, 400, 400 },
    { E_VERSION_CONFLICT, 412, 412 },
    { E_IDEMPOTENCY_KEY, 422, 400 },
    { E_OUTCOME_UNKNOWN, 504, 504 },
    { E_NOT_FOUND, 400, 404 },
    { E_METHOD_NOT_ALLOWED, 400, 400 },
    { E_NO_ENGINE_FITS, 400, 400 },
    { E_TOO_FEW_ROUTERS, 504, 504 },
    { E_ROUTING_STRUCTURE, 400, 400 },
    { E_ROUTING_VERSION, 400, 400 },
    { E_UNKNOWN_SERVICE, 400, 400 },
    { E_DUPLICATE_ROUTE, 400, 400 },
    { E_DUPLICATE_NAME, 400, 400 },
    { E_ROUTE_WEIGHT, 400, 400 },
    { E_ROUTE_TIMEOUT, 400, 400 },
    { E_ROUTE_PREFIX, 400, 400 },
    { E_ROUTE_MODE, 400, 400 },
    { E_SPEC_RANGE, 400, 400 },
    { E_STALE_VERSION, 400, 400 },
    { E_ROUTING_PATCH, 400, 400 },
    { E_LIMIT_RANGE, 400, 400 },
    { E_CANARY_INVALID, 400, 400 },
    { E_CANARY_RUNNING, 400, 400 },
    { E_CANARY_NAME_REUSED, 400, 400 },
    { E_CANARY_IMMUTABLE, 400, 400 },
    { E_NO_CANARY, 400, 400 },
    { E_WIRE_MESSAGE, 500, 503 },
    { E_WIRE_VERSION, 500, 503 },
    { E_STALE_EPOCH, 500, 503 },
    { E_NO_MEMBER_LEASE, 503, 503 },
    { E_VIEW_MISMATCH, 503, 503 },
    { E_TOO_FEW_ZONES, 503, 503 },
    { E_IN_PROGRESS, 500, 504 },
    { E_DISK, 503, 503 },
    { E_DISK_FULL, 503, 503 },
    { E_DISK_SYNC, 500, 503 },
    { E_BAD_RECORD, 500, 503 },
    { E_NO_CONTROLLER, 503, 503 },
    { E_UNKNOWN_MODEL, 500, 503 },
    { E_QUEUE_FULL, 500, 503 },
    { E_NO_CAPACITY, 500, 503 },
    { E_LOAD_RATE_LIMITED, 500, 503 },
    { E_NO_LEASE_HOLDER, 500, 503 },
    { E_NO_ENGINE, 500, 503 },
    { E_DEADLINE_EXCEEDED, 500, 503 },
    { E_STREAM_BROKEN, 500, 503 },
    { E_LOAD_SHED, 500, 503 },
    { E_DRAINING, 500, 503 },
    { E_ORDER_FAILED, 500, 503 },
    { E_REJECTED_BY_RULE, 500, 503 },
    { E_OVERLOADED, 503, 503 },
    { E_ISOLATED, 500, 503 },
    { E_MODEL_IN_USE, 500, 503 },
  };
  for (size_t i = 0; i < G_N_ELEMENTS(expected); i++) {
    int operators = api_error_status(API_OPERATORS, expected[i].code);
    int control = api_error_status(API_CONTROL, expected[i].code);
    if (operators != expected[i].operators || control != expected[i].control)
      fleet_add_violation(
          fleet, "code %d has status %d at the operators' API and %d at the control listener",
          expected[i].code, operators, control);
  }
  return fleet_check_all(fleet);
}

const test_case operator_tests[] = {
  { "operators_write_the_routing", operators_write_the_routing, 4, 0, 50 },
  { "the_registry_page_lists_engines", the_registry_page_lists_engines, 3, 0, 34 },
  { "the_doctor_diagnoses_gateway_faults", the_doctor_diagnoses_gateway_faults, 4, 0, 50 },
  { "error_codes_have_http_statuses", error_codes_have_http_statuses, 1, 0, 1 },
  { NULL, NULL, 0, 0, 0 }
};
