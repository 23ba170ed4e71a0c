/** Tests of lib/router/model_loading.c: load permits, backoff after failed loads, and replicas of
 * hot models. Fleet: four or five routers and four to six engines, under traffic.
 */
#include "scenario.h"
#include "tests.h"

/* maximum loads in 30 s while every load fails, as limited by the backoff of each model on each
 * engine and by the load rate limit */
enum { FAILED_LOADS_MAX = 90 };

/* counts the load orders that engines received */
static guint count_load_orders(const fleet *fleet) {
  guint loads = 0;
  for (int i = 0; i < fleet->engines; i++) {
    const GArray *orders = fleet->engine[i]->engine->orders;
    for (guint k = 0; k < orders->len; k++)
      loads += g_array_index(orders, engine_sim_order, k).kind == 'l';
  }
  return loads;
}

/* counts the engines on which a model is up */
static int count_model_replicas(const fleet *fleet, const char *model) {
  int replicas = 0;
  for (int i = 0; i < fleet->engines; i++)
    list_for_each (item, &fleet->engine[i]->engine->items, engine_sim_item, link)
      replicas += !strcmp(item->model.text, model) && item->state == 'u';
  return replicas;
}

static bool rare_models_are_asked_for_at_once(fleet *fleet) {
  fleet->loads_per_s = 2;
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  fleet->callers->loadgen->plan.zipf_exponent = 0;
  scenario_start_traffic(fleet, 12);
  for (int i = 0; i < 5; i++) {
    sim_run(fleet->sim, time_from_ms(3000 + (int64_t)sim_random(fleet->sim, 2000)));
    host *host = fleet_find_lease_holder(fleet, "pacer");
    if (!host)
      continue;
    if (i % 2) {
      host_kill(host);
      sim_run(fleet->sim, time_from_ms(100 + (int64_t)sim_random(fleet->sim, 6000)));
      host_start(host);
    } else {
      host_freeze(host);
      sim_run(fleet->sim, time_from_ms((int64_t)sim_random(fleet->sim, 8000)));
      host_unfreeze(host);
    }
  }
  sim_run(fleet->sim, time_from_ms(5000));
  fleet_finish_traffic(fleet);
  return true;
}

static bool orders_fail_and_capacity_is_reported_late(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  fleet->callers->loadgen->plan.zipf_exponent = 0.4;
  scenario_start_traffic(fleet, 8);
  for (int i = 0; i < 6; i++) {
    engine_sim *engine = fleet->engine[sim_random(fleet->sim, fleet->engines)]->engine;
    switch (sim_random(fleet->sim, 6)) {
    case 0:
      engine->faults.fail_loads = 3;
      break;
    case 1:
      engine->faults.unanswered_loads = 2;
      break;
    case 2:
      engine->faults.order_delay_ms = 1500;
      break;
    case 3:
      engine->faults.fail_unloads = 2;
      break;
    case 4:
      engine->faults.unanswered_unloads = 2;
      break;
    case 5:
      engine->faults.drop_orders = 3;
      break;
    }
    sim_run(fleet->sim, time_from_ms(5000));
  }
  sim_run(fleet->sim, time_from_ms(10000));
  fleet_finish_traffic(fleet);
  guint loads = count_load_orders(fleet);
  if (loads > fleet->callers->loadgen->requests->len)
    fleet_add_violation(fleet, "%u load orders for %u requests", loads,
                        fleet->callers->loadgen->requests->len);
  return loadgen_count(fleet->callers->loadgen, OUTCOME_DONE) >
         (int)fleet->callers->loadgen->requests->len / 3;
}

static bool every_load_fails(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  for (int i = 0; i < fleet->engines; i++)
    fleet->engine[i]->engine->faults.fail_loads = 100000;
  scenario_start_traffic(fleet, 10);
  sim_run(fleet->sim, time_from_ms(30000));
  guint loads = count_load_orders(fleet);
  if (loads > FAILED_LOADS_MAX)
    fleet_add_violation(fleet, "%u loads in 30 s while every load fails", loads);
  fleet_finish_traffic(fleet);
  if (loadgen_count(fleet->callers->loadgen, OUTCOME_DONE))
    fleet_add_violation(fleet, "a request completed although every load fails");
  return true;
}

static bool a_hot_model_gets_replicas(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  fleet->callers->loadgen->plan.zipf_exponent = 8;
  fleet->callers->loadgen->plan.adapter_ratio = 0;
  fleet->callers->loadgen->plan.tokens = 120;
  scenario_start_traffic(fleet, 20);
  sim_run(fleet->sim, time_from_ms(40000));
  int replicas = count_model_replicas(fleet, "m0");
  fleet_finish_traffic(fleet);
  if (replicas < 2)
    fleet_add_violation(fleet, "%d replicas of a model that nearly all requests use", replicas);
  return loadgen_count(fleet->callers->loadgen, OUTCOME_DONE) >
         (int)fleet->callers->loadgen->requests->len * 8 / 10;
}

const test_case model_loading_tests[] = {
  { "rare_models_are_asked_for_at_once", rare_models_are_asked_for_at_once, 5, 6, 100 },
  { "orders_fail_and_capacity_is_reported_late", orders_fail_and_capacity_is_reported_late, 5, 6,
    100 },
  { "every_load_fails", every_load_fails, 4, 4, 50 },
  { "a_hot_model_gets_replicas", a_hot_model_gets_replicas, 4, 5, 50 },
  { NULL, NULL, 0, 0, 0 }
};
