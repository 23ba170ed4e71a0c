#include "gateway_check.h"
#include "loads.h"
#include "tests.h"
#include <stdio.h>

/* Tests of the capacity of engines: with any faults of lease holders, links, orders and heartbeats,
 * an engine never accepts an order for a load beyond its memory or adapter slots. Checked against
 * the records of the engines themselves. */

enum { STEP_MS = 250, FAULTS_MS = 40000, HEAL_MS = 12000, MIN_LOADS = 15, ADAPTER_COUNT = 3 };

typedef struct capacity_test {
  deployment *deployment;
  fleet *fleet;
} capacity_test;

static deployment_process *random_gateway(capacity_test *t) {
  for (int tries = 0; tries < 20; tries++) {
    deployment_process *process =
        t->deployment
            ->gateway_processes[sim_random(t->deployment->sim, (uint64_t)t->fleet->routers)];
    if (process->host->alive && !process->host->frozen && process->gateway)
      return process;
  }
  return NULL;
}

static deployment_process *random_engine(capacity_test *t) {
  return t->deployment
      ->engine_processes[sim_random(t->deployment->sim, t->deployment->model_engine_count)];
}

/* the lease holder of a random engine, or any gateway */
static deployment_process *random_lease_holder(capacity_test *t) {
  deployment_process *e = random_engine(t),
                     *process = e->engine ? engine_lease_holder(t->deployment, e) : NULL;
  return process ? process : random_gateway(t);
}

static void request_random_load(capacity_test *t) {
  deployment_process *from = random_gateway(t), *e = random_engine(t);
  if (!from || !e->engine)
    return;
  char model[16], adapter[16] = "";
  snprintf(model, sizeof model, "m%d", (int)sim_random(t->deployment->sim, 14));
  if (sim_random(t->deployment->sim, 3))
    snprintf(adapter, sizeof adapter, "a%d",
             1 + (int)sim_random(t->deployment->sim, ADAPTER_COUNT));
  load_start(t->deployment, from, e, model, adapter, false)->max_cost = 1000000000;
}

/* sends client requests, some of which reach an engine before their adapter is loaded */
static void send_random_requests(capacity_test *t) {
  char model[16];
  for (int k = 0; k < 3; k++) {
    snprintf(model, sizeof model, "m%d/a%d", (int)sim_random(t->deployment->sim, 14),
             1 + (int)sim_random(t->deployment->sim, ADAPTER_COUNT));
    client_sim_send(t->deployment->client, t->deployment->note, model);
  }
}

static void start_host_if_down(void *host) {
  if (!((struct host *)host)->alive)
    host_start(host);
}
static void unfreeze_host_if_frozen(void *host) {
  if (((struct host *)host)->alive && ((struct host *)host)->frozen)
    host_unfreeze(host);
}
static void heal_all_partitions(void *s) {
  sim_heal_partitions(s);
}

static time_us random_time_from_now(capacity_test *t, int64_t min_ms, uint64_t range_ms) {
  return time_add(t->deployment->sim->now,
                  time_from_ms(min_ms + (int64_t)sim_random(t->deployment->sim, range_ms)));
}

static void kill_and_restart_host(capacity_test *t, host *host, int64_t min_ms, uint64_t range_ms) {
  if (!host->alive || host->frozen)
    return;
  host_kill(host);
  sim_schedule(t->deployment->sim, random_time_from_now(t, min_ms, range_ms), start_host_if_down,
               host);
}

static void freeze_host_for_a_while(capacity_test *t, host *host) {
  if (!host->alive || host->frozen)
    return;
  host_freeze(host);
  sim_schedule(t->deployment->sim, random_time_from_now(t, 200, 6000), unfreeze_host_if_frozen,
               host);
}

static void partition_lease_holder(capacity_test *t) {
  deployment_process *process = random_lease_holder(t), *e = random_engine(t);
  if (!process)
    return;
  sim_set_partition_both_ways(t->deployment->sim, process->host->self.text,
                              sim_random(t->deployment->sim, 2) ? e->host->self.text : NULL, true);
  sim_schedule(t->deployment->sim, random_time_from_now(t, 300, 5000), heal_all_partitions,
               t->deployment->sim);
}

static void inject_random_fault(capacity_test *t) {
  deployment_process *process = random_lease_holder(t), *e = random_engine(t);
  registering_engine_faults *faults = &e->plan.faults;
  switch (sim_random(t->deployment->sim, 14)) {
  case 0:
    if (process)
      kill_and_restart_host(t, process->host, 100, 3000);
    break;
  case 1:
  case 2:
    if (process)
      freeze_host_for_a_while(t, process->host);
    break;
  case 3:
    partition_lease_holder(t);
    break;
  case 4:
    /* heartbeats wait for a controller that does not answer, and are old when the next controller
     * receives them */
    freeze_host_for_a_while(
        t, t->fleet->controller[sim_random(t->deployment->sim, (uint64_t)t->fleet->controllers)]);
    break;
  case 5:
    kill_and_restart_host(
        t, t->fleet->controller[sim_random(t->deployment->sim, (uint64_t)t->fleet->controllers)],
        100, 2000);
    break;
  case 6:
    faults->drop_orders = 1;
    break;
  case 7:
    faults->lose_order_responses = 1;
    break;
  case 8:
    faults->late_order_ms = 200 + (int64_t)sim_random(t->deployment->sim, 8000);
    faults->late_orders = 1;
    break;
  case 9:
    e->plan.adapter_ms = 20 + (int64_t)sim_random(t->deployment->sim, 400);
    break;
  case 10:
    kill_and_restart_host(t, e->host, 500, 2000);
    break;
  default:
    break;
  }
}

static int accepted_load_count(capacity_test *t) {
  int n = 0;
  for (guint i = 0; i < t->deployment->log->orders->len; i++) {
    engine_order_record *order = t->deployment->log->orders->pdata[i];
    n += order->op == 'l' && order->started;
  }
  return n;
}

static void heal_all_faults(capacity_test *t) {
  scenario_heal_all(t->fleet);
  for (int i = 0; i < t->fleet->routers; i++)
    start_host_if_down(t->deployment->gateway_processes[i]->host);
  for (size_t i = 0; i < t->deployment->model_engine_count; i++) {
    start_host_if_down(t->deployment->engine_processes[i]->host);
    t->deployment->engine_processes[i]->plan.faults = (registering_engine_faults){ 0 };
    t->deployment->engine_processes[i]->plan.adapter_ms = 0;
  }
}

static bool engine_capacity_is_never_exceeded(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 2, 1);
  deployment->loads_per_s = 20;
  capacity_test t = { deployment, fleet };
  for (size_t i = 0; i < deployment->model_engine_count; i++)
    set_initial_models(deployment->engine_processes[i], i ? "m0" : "m3", NULL);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  sim_run(deployment->sim, time_from_ms(2500));
  /* requests many more loads than two engines can hold, while random faults occur */
  for (int ms = 0; ms < FAULTS_MS; ms += STEP_MS) {
    for (int k = (int)sim_random(deployment->sim, 3); k > 0; k--)
      request_random_load(&t);
    if (!sim_random(deployment->sim, 2))
      send_random_requests(&t);
    if (!sim_random(deployment->sim, 4))
      inject_random_fault(&t);
    sim_run(deployment->sim, time_from_ms(STEP_MS));
  }
  heal_all_faults(&t);
  sim_run(deployment->sim, time_from_ms(HEAL_MS));
  int before = accepted_load_count(&t);
  for (int k = 0; k < 40; k++) {
    request_random_load(&t);
    sim_run(deployment->sim, time_from_ms(STEP_MS));
  }
  /* no engine accepts loads beyond its memory or adapter slots (LIMIT), and loads continue after
   * the faults */
  gateway_check_limit(deployment);
  if (before < MIN_LOADS || accepted_load_count(&t) - before < 4)
    fleet_add_violation(fleet, "only %d loads during the faults and %d after them", before,
                        accepted_load_count(&t) - before);
  bool ok = !fleet->violations->len;
  deployment_free(deployment);
  return ok;
}

/* Guards against freeing the slot of an adapter when an engine declines a request for it: the
 * request arrived before the adapter was loaded, which uses its slot a moment later. */
static bool a_declined_request_frees_no_adapter_slot(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 2, 1);
  deployment->loads_per_s = 20;
  set_initial_models(deployment->engine_processes[0], "m1", "m2");
  set_initial_models(deployment->engine_processes[1], "m0", NULL);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  sim_run(deployment->sim, time_from_ms(2500));
  deployment_process *process = engine_lease_holder(deployment, deployment->engine_processes[0]);
  if (!process)
    fleet_add_violation(fleet, "no gateway holds the engine's lease");
  /* an engine with four adapter slots loads six adapters one after the other while requests for
   * them arrive; the later loads take longer than the load time that the holder has measured */
  static const char *const wanted[] = { "m1/a1", "m1/a2", "m1/a3", "m2/a1", "m2/a2", "m2/a3" };
  for (size_t k = 0; process && k < G_N_ELEMENTS(wanted); k++) {
    char model[4] = { wanted[k][0], wanted[k][1] };
    deployment->engine_processes[0]->plan.adapter_ms = k < 2 ? 20 : 200;
    load *l = load_start(deployment, process, deployment->engine_processes[0], model, wanted[k] + 3,
                         false);
    sim_run_until(deployment->sim, load_done, l, time_from_ms(3000));
    /* by now, all gateways know that the adapter is loaded */
    for (int n = 0; n < 12; n++)
      client_sim_send(deployment->client, deployment->note, wanted[k]);
    sim_run(deployment->sim, time_from_ms(50));
  }
  sim_run(deployment->sim, time_from_ms(3000));
  /* no adapter is loaded beyond the adapter slots (LIMIT) */
  gateway_check_limit(deployment);
  bool ok = !fleet->violations->len;
  deployment_free(deployment);
  return ok;
}

/* An order that its lease holder has given up reaches the engine late and is executed. Guards
 * against loads that ignore it, since no report that the holder has read includes its result. */
static bool a_late_order_does_not_exceed_the_capacity(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 2, 1);
  deployment->loads_per_s = 20;
  for (size_t i = 0; i < deployment->model_count; i++)
    if (id_equal(deployment->models[i].name, id_of_text("m9")))
      deployment->models[i].load_ms = 200;
  set_initial_models(deployment->engine_processes[0], "m3", NULL);
  set_initial_models(deployment->engine_processes[1], "m0", NULL);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  sim_run(deployment->sim, time_from_ms(2500));
  deployment_process *process = engine_lease_holder(deployment, deployment->engine_processes[0]);
  if (!process)
    fleet_add_violation(fleet, "no gateway holds the engine's lease");
  else {
    /* the engine has memory for one more large model; the load order of one gets no response and
     * arrives late */
    deployment->engine_processes[0]->plan.faults.late_order_ms =
        2300 + (int64_t)sim_random(deployment->sim, 600);
    deployment->engine_processes[0]->plan.faults.late_orders = 1;
    load *late = load_start(deployment, process, deployment->engine_processes[0], "m9", "", false);
    late->max_cost = 1000000000;
    sim_run_until(deployment->sim, load_done, late, time_from_ms(2200));
    /* the holder reads a report before the order arrives; another large model is requested after it
     */
    load *small =
        load_start(deployment, process, deployment->engine_processes[0], "m3", "a1", false);
    sim_run_until(deployment->sim, load_done, small, time_from_ms(1000));
    sim_run(deployment->sim, time_from_ms(700 + (int64_t)sim_random(deployment->sim, 500)));
    load *next = load_start(deployment, process, deployment->engine_processes[0], "m12", "", false);
    /* the engine's memory is not exceeded (LIMIT), and that model is loaded in the end */
    if (!sim_run_until(deployment->sim, load_done, next, time_from_ms(20000)))
      fleet_add_violation(fleet, "the next load never ends (code %d)", next->code);
  }
  sim_run(deployment->sim, time_from_ms(2000));
  gateway_check_limit(deployment);
  bool ok = !fleet->violations->len;
  deployment_free(deployment);
  return ok;
}

#define EXPECT(f, x)                                                                               \
  do {                                                                                             \
    if (!(x))                                                                                      \
      fleet_add_violation(f, "line %d: %s", __LINE__, #x);                                         \
  } while (0)

static const char ROUTING[] =
    "{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"s\",\"engine\":{\"slots\":8,"
    "\"kvTokens\":1000,\"weightsMb\":83000,\"adapterSlots\":2,\"loadsPerS\":2,\"models\":["
    "{\"name\":\"big\",\"weightsMb\":40000,\"loadS\":2,\"adapters\":9,\"adapterMb\":40},"
    "{\"name\":\"mid\",\"weightsMb\":30000,\"loadS\":2}]}}]}";

/* the capacity account alone, from a report and the orders accepted since */
static bool an_account_follows_accepted_orders(fleet *fleet) {
  error err = { 0 };
  json *json = json_parse(string_view_of(ROUTING), &err);
  routing *routing = json ? routing_compile(json, &err) : NULL;
  json_free(json);
  if (!routing) {
    fleet_add_violation(fleet, "the test's configuration is refused: %s", err.text);
    return false;
  }
  const service *service = routing_find_service(routing, "s");
  id big = id_of_text("big"), mid = id_of_text("mid"), a1 = id_of_text("a1"), base = id_of_text("");
  time_us lag = time_from_ms(450);
  capacity_account account;
  double mb;
  unsigned slots;
  capacity_account_init(&account);
  /* before a report nothing is known, and orders don't change the account */
  capacity_account_order_accepted(&account, true, big, base, time_from_ms(1000));
  EXPECT(fleet, !account.is_known && !account.items->len);
  capacity_account_reset(&account, 7);
  capacity_account_add(&account, big, base);
  capacity_account_order_accepted(&account, true, big, a1, time_from_ms(2000));
  EXPECT(fleet, account.order_count == 8 && capacity_account_contains(&account, big, a1));
  /* a repeated load adds neither an item nor an order */
  capacity_account_order_accepted(&account, true, big, a1, time_from_ms(2100));
  capacity_account_used(&account, service, &mb, &slots);
  EXPECT(fleet, account.order_count == 8 && mb == 40040 && slots == 1);
  /* a report covers an order only if it was requested at least `lag` after it */
  EXPECT(fleet, !capacity_account_covered_by_report(&account, time_from_ms(2449), lag) &&
                    capacity_account_covered_by_report(&account, time_from_ms(2450), lag));
  /* an unload frees capacity only once it is confirmed, and unloading a model removes its adapters
   */
  capacity_account_order_accepted(&account, false, big, base, time_from_ms(3000));
  capacity_account_order_accepted(&account, false, big, base, time_from_ms(3050));
  EXPECT(fleet, account.order_count == 9 && capacity_account_contains(&account, big, base));
  capacity_account_remove(&account, big, base);
  capacity_account_order_accepted(&account, true, mid, base, time_from_ms(3100));
  capacity_account_used(&account, service, &mb, &slots);
  EXPECT(fleet, account.order_count == 10 && mb == 30000 && slots == 0);
  /* an accepted unload of an item that the account doesn't contain discards the account */
  capacity_account_order_accepted(&account, false, big, base, time_from_ms(4000));
  EXPECT(fleet, !account.is_known &&
                    !capacity_account_covered_by_report(&account, time_from_ms(4449), lag));
  capacity_account_free(&account);
  routing_unref(routing);
  return true;
}

const test_case capacity_account_tests[] = {
  { "an_account_follows_accepted_orders", an_account_follows_accepted_orders, 1, 1, 10 },
  { "a_declined_request_frees_no_adapter_slot", a_declined_request_frees_no_adapter_slot, 4, 0,
    50 },
  { "a_late_order_does_not_exceed_the_capacity", a_late_order_does_not_exceed_the_capacity, 4, 0,
    50 },
  { "engine_capacity_is_never_exceeded", engine_capacity_is_never_exceeded, 4, 0, 100 },
  { NULL, NULL, 0, 0, 0 }
};
