#include "deployment.h"
#include "loads.h"
#include "tests.h"
#include <stdio.h>

/* Tests of placement: engines with given residents get the expected orders in the expected sequence
 * when loads are requested or lease holders change. */

/* adds a request count of another node to a gateway's history; the gateway does not pass it on */
static void add_remote_count(deployment_process *process, const char *key, uint64_t total,
                             uint64_t window) {
  event_history_merge_remote_count(&process->gateway->router->history, 99, key, total, window);
}

/* the orders that an engine has started, from an index in the log on, as "-m0 +m6 " (unload, load)
 */
static GString *orders_started_since(deployment *deployment, guint from,
                                     const deployment_process *e) {
  GString *orders = g_string_new(NULL);
  for (guint k = from; k < deployment->log->orders->len; k++) {
    engine_order_record *order = deployment->log->orders->pdata[k];
    if (order->started && id_equal(order->engine, e->engine->self))
      g_string_append_printf(orders, "%c%s%s%s ", order->op == 'l' ? '+' : '-', order->model.text,
                             id_is_empty(order->adapter) ? "" : "/", order->adapter.text);
  }
  return orders;
}

static double request_rate_at(deployment_process *process, const char *key) {
  return event_history_request_rate(&process->gateway->router->history, key);
}

static bool request_rates_reach_a_restarted_gateway(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 2, 1);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  /* three gateways receive requests and report their counts */
  for (int i = 0; i < 3; i++)
    for (int k = 0; k < 10; k++)
      event_history_append(
          &deployment->gateway_processes[i]->gateway->router->history,
          (history_event){
              EVENT_ROUTED, { 0 }, id_of_text(""), id_of_text("m0"), id_of_text(""), 0 });
  sim_run(deployment->sim, time_from_ms(2500));
  if (request_rate_at(deployment->gateway_processes[3], "m0") < 1.4)
    fleet_add_violation(fleet, "a gateway knows a rate of %.2f requests/s of the other gateways",
                        request_rate_at(deployment->gateway_processes[3], "m0"));
  /* the fourth gateway restarts, and no further requests arrive */
  host_kill(deployment->gateway_processes[3]->host);
  sim_run(deployment->sim, time_from_ms(500));
  host_start(deployment->gateway_processes[3]->host);
  sim_run(deployment->sim, time_from_ms(3000));
  /* it receives the counts from before its restart */
  if (request_rate_at(deployment->gateway_processes[3], "m0") < 1.4)
    fleet_add_violation(fleet, "a restarted gateway knows a rate of %.2f requests/s",
                        request_rate_at(deployment->gateway_processes[3], "m0"));
  return deployment_finish(deployment, 0);
}

static bool evicting_a_model_removes_its_adapters(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 1, 1);
  set_initial_models(deployment->engine_processes[0], "m0", "m3");
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  static const char *const adapters[] = { "a1", "a2", "a3" };
  for (int k = 0; k < 3; k++)
    if (!sim_run_until(deployment->sim, load_done,
                       load_start(deployment, deployment->gateway_processes[0],
                                  deployment->engine_processes[0], "m0", adapters[k], false),
                       time_from_ms(8000)))
      fleet_add_violation(fleet, "%s is not loaded", adapters[k]);
  deployment_process *holder = engine_lease_holder(deployment, deployment->engine_processes[0]);
  add_remote_count(holder, "m3", 100, 100);
  sim_run(deployment->sim, time_from_ms(1500));
  guint from = deployment->log->orders->len;
  if (!sim_run_until(deployment->sim, load_done,
                     load_start(deployment, deployment->gateway_processes[0],
                                deployment->engine_processes[0], "m6", "", false),
                     time_from_ms(12000)))
    fleet_add_violation(fleet, "m6 is not loaded");
  GString *orders = orders_started_since(deployment, from, deployment->engine_processes[0]);
  if (strcmp(orders->str, "-m0 +m6 "))
    fleet_add_violation(fleet, "for m6 the engine got: %s", orders->str);
  g_string_free(orders, TRUE);
  return deployment_finish(deployment, 0);
}

static deployment_process *coordinator_of(deployment *deployment) {
  deployment_process *best = NULL;
  uint64_t top = 0;
  for (int i = 0; i < deployment->fleet->routers; i++) {
    uint64_t h = hash_two_names("place:llm", deployment->gateway_processes[i]->host->self.text);
    if (h > top) {
      top = h;
      best = deployment->gateway_processes[i];
    }
  }
  return best;
}

static bool an_expensive_eviction_is_refused(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 6, 1);
  for (size_t i = 0; i < deployment->model_engine_count; i++)
    set_initial_models(deployment->engine_processes[i], "m0", "m3");
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  deployment_process *coordinator = coordinator_of(deployment), *expensive = NULL;
  for (size_t i = 0; i < deployment->model_engine_count && !expensive; i++)
    if (engine_lease_holder(deployment, deployment->engine_processes[i]) &&
        engine_lease_holder(deployment, deployment->engine_processes[i]) != coordinator)
      expensive = deployment->engine_processes[i];
  if (!expensive)
    return deployment_finish(deployment, 0);
  /* one engine alone holds two models whose request rate is known to its lease holder but not yet
   * to the coordinator */
  static const char *const own[] = { "m6", "m9" };
  for (int k = 0; k < 2; k++)
    if (!sim_run_until(deployment->sim, load_done,
                       load_start(deployment, coordinator, expensive, own[k], "", false),
                       time_from_ms(12000)))
      fleet_add_violation(fleet, "%s is not loaded", own[k]);
  if (!registering_engine_sim_has_loaded(expensive->engine, id_of_text("m6"), id_of_text("")) ||
      !registering_engine_sim_has_loaded(expensive->engine, id_of_text("m9"), id_of_text("")))
    fleet_add_violation(fleet, "the engine does not hold m6 and m9");
  sim_run(deployment->sim, time_from_ms(2500));
  add_remote_count(engine_lease_holder(deployment, expensive), "m6", 1000, 1000);
  add_remote_count(engine_lease_holder(deployment, expensive), "m9", 1000, 1000);
  add_remote_count(coordinator, "m0", 200, 200);
  add_remote_count(coordinator, "m3", 200, 200);
  /* a rarely used model is requested */
  guint from = deployment->log->orders->len;
  client_sim_request *a = client_sim_send(deployment->client, deployment->note, "m1");
  sim_run(deployment->sim, time_from_ms(8000));
  deployment_finish_traffic(deployment);
  /* the expensive engine keeps its models, and another engine loads the requested one */
  GString *orders = orders_started_since(deployment, from, expensive);
  if (orders->len)
    fleet_add_violation(fleet, "the expensive engine got: %s", orders->str);
  g_string_free(orders, TRUE);
  if (!a->served)
    fleet_add_violation(fleet, "the rarely used model was not served by another engine");
  return deployment_finish(deployment, 0);
}

static bool loads_run_in_order_of_utility(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 1, 1);
  set_initial_models(deployment->engine_processes[0], NULL, NULL);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  guint from = deployment->log->orders->len;
  add_remote_count(engine_lease_holder(deployment, deployment->engine_processes[0]), "m7", 40, 40);
  /* loads of rarely used models are queued at an empty engine; the load of a popular model is
   * requested last */
  static const char *const rare[] = { "m1", "m2", "m4", "m5" };
  load *last = NULL;
  for (int k = 0; k < 4; k++) {
    last = load_start(deployment, deployment->gateway_processes[0], deployment->engine_processes[0],
                      rare[k], "", false);
    sim_run(deployment->sim, time_from_ms(40));
  }
  load *hot = load_start(deployment, deployment->gateway_processes[0],
                         deployment->engine_processes[0], "m7", "", false);
  if (!sim_run_until(deployment->sim, load_done, hot, time_from_ms(12000)) ||
      !sim_run_until(deployment->sim, load_done, last, time_from_ms(12000)))
    fleet_add_violation(fleet, "the queued loads do not finish");
  sim_run(deployment->sim, time_from_ms(3000));
  /* the popular model is loaded right after the running load, then the others in order */
  GString *orders = orders_started_since(deployment, from, deployment->engine_processes[0]);
  if (strcmp(orders->str, "+m1 +m7 +m2 +m4 +m5 "))
    fleet_add_violation(fleet, "the engine got: %s", orders->str);
  g_string_free(orders, TRUE);
  return deployment_finish(deployment, 0);
}

static const char *const small[] = { "m2", "m4", "m5", "m7", "m8", "m10", "m11", "m13" };

/* marks all residents of an engine as used after their load, so that they are no longer protected
 * from eviction */
static void mark_all_used(deployment_process *at, const deployment_process *e) {
  gateway_engine *engine = gateway_engine_find(at->gateway, e->engine->self.text);
  list_for_each (r, &engine->residents.list, resident, link)
    r->last_used_at = at->deployment->sim->now;
}

static bool loads_of_rarely_used_models_do_not_starve(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 1, 1);
  deployment->loads_per_s = 4;
  set_initial_models(deployment->engine_processes[0], NULL, NULL);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  deployment_process *holder = engine_lease_holder(deployment, deployment->engine_processes[0]);
  /* more popular models than the engine can hold, so that some of them are queued at any time */
  for (size_t k = 0; k < G_N_ELEMENTS(small); k++)
    load_start(deployment, deployment->gateway_processes[0], deployment->engine_processes[0],
               small[k], "", true);
  load *rare = NULL;
  for (uint64_t s = 1; s <= 26; s++) {
    for (size_t k = 0; k < G_N_ELEMENTS(small); k++)
      add_remote_count(holder, small[k], s * 2, 2);
    if (s == 10)
      rare = load_start(deployment, deployment->gateway_processes[0],
                        deployment->engine_processes[0], "m1", "", false);
    for (int k = 0; k < 20; k++) {
      sim_run(deployment->sim, time_from_ms(50));
      mark_all_used(holder, deployment->engine_processes[0]);
    }
  }
  if (!rare->done)
    fleet_add_violation(fleet, "a rarely used model was not loaded within 17 s");
  else if (g_getenv("SIM_COUNT"))
    fprintf(stderr, "  loaded at %.1f s\n", (double)rare->loaded_at.us / 1e6);
  return deployment_finish(deployment, 0);
}

typedef struct holder_leases {
  deployment *deployment;
  deployment_process *holder;
  id engine[DEPLOYMENT_ENGINES];
  int count;
} holder_leases;

static holder_leases leases_held_by(deployment *deployment, deployment_process *process) {
  holder_leases leases = { .deployment = deployment, .holder = process };
  for (size_t i = 0; i < deployment->model_engine_count; i++)
    if (engine_lease_holder(deployment, deployment->engine_processes[i]) == process)
      leases.engine[leases.count++] = deployment->engine_processes[i]->engine->self;
  return leases;
}

static deployment_process *gateway_with_most_leases(deployment *deployment) {
  deployment_process *best = deployment->gateway_processes[0];
  for (int i = 1; i < deployment->fleet->routers; i++)
    if (leases_held_by(deployment, deployment->gateway_processes[i]).count >
        leases_held_by(deployment, best).count)
      best = deployment->gateway_processes[i];
  return best;
}

static bool others_hold_leases(sim *sim, void *p) {
  (void)sim;
  holder_leases *leases = p;
  for (int i = 0; i < leases->count; i++) {
    char singleton[64];
    singleton_engine_name(singleton, sizeof singleton, leases->engine[i]);
    deployment_process *process = singleton_holder(leases->deployment, singleton);
    if (!process || process == leases->holder)
      return false;
  }
  return true;
}

static bool a_gateway_shutdown_hands_over_leases_quickly(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 4, 1);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  sim_run(deployment->sim, time_from_ms(5000));
  /* a lease holder without recent orders shuts down; other gateways hold its leases soon after */
  deployment_process *process = gateway_with_most_leases(deployment);
  holder_leases leases = leases_held_by(deployment, process);
  if (!leases.count)
    fleet_add_violation(fleet, "no gateway holds a lease");
  deployment_terminate_gateway(deployment, process);
  time_us from = deployment->sim->now;
  bool soon = sim_run_until(deployment->sim, others_hold_leases, &leases, time_from_ms(2000));
  if (!soon)
    fleet_add_violation(fleet,
                        "2 s after a gateway's shutdown began, its leases are not held by others");
  else if (g_getenv("SIM_COUNT"))
    fprintf(stderr, "  handed over after %.2f s\n",
            (double)time_sub(deployment->sim->now, from).us / 1e6);
  return deployment_finish(deployment, 0);
}

/* checks that no two lease holders send orders to an engine within one lease duration */
static void check_handover_distance(deployment *deployment) {
  for (guint k = 0; k < deployment->log->orders->len; k++) {
    engine_order_record *order = deployment->log->orders->pdata[k];
    for (guint m = 0; m < k; m++) {
      engine_order_record *p = deployment->log->orders->pdata[m];
      int64_t us = order->received_at.us - p->received_at.us;
      if (id_equal(order->engine, p->engine) && !id_equal(order->holder, p->holder) &&
          us < DEPLOYMENT_LEASE_MS * 1000) {
        fleet_add_violation(deployment->fleet, "%s and %s order %s within %.2f s", p->holder.text,
                            order->holder.text, order->engine.text, (double)us / 1e6);
        return;
      }
    }
  }
}

static bool a_shutdown_with_recent_orders_delays_the_next_holder(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 2, 1);
  deployment->loads_per_s = 6;
  for (size_t i = 0; i < deployment->model_engine_count; i++)
    set_initial_models(deployment->engine_processes[i], NULL, NULL);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  /* the lease holder of engines that get orders all the time shuts down; the next holder must wait
   * before its first order */
  deployment_process *process = engine_lease_holder(deployment, deployment->engine_processes[0]),
                     *from = deployment->gateway_processes[0] == process
                                 ? deployment->gateway_processes[1]
                                 : deployment->gateway_processes[0];
  for (size_t i = 0; i < deployment->model_engine_count; i++)
    for (size_t k = 0; k < G_N_ELEMENTS(small); k++)
      load_start(deployment, from, deployment->engine_processes[i], small[k], "", true);
  sim_run(deployment->sim, time_from_ms(5000 + (int64_t)sim_random(deployment->sim, 2000)));
  holder_leases leases = leases_held_by(deployment, process);
  /* the next holders don't receive notice of its last orders, so that only the chain head's lease
   * grants keep their orders apart */
  for (int k = 0; k < fleet->routers; k++)
    if (deployment->gateway_processes[k] != process && deployment->gateway_processes[k] != from)
      sim_set_partition(deployment->sim, process->host->self.text,
                        deployment->gateway_processes[k]->host->self.text, true);
  sim_run(deployment->sim, time_from_ms(1500));
  deployment_terminate_gateway(deployment, process);
  sim_run(deployment->sim, time_from_ms(700));
  sim_heal_partitions(deployment->sim);
  sim_run(deployment->sim, time_from_ms(9000));
  if (!others_hold_leases(deployment->sim, &leases))
    fleet_add_violation(fleet, "no gateway holds the leases of the one that has shut down");
  guint n = 0;
  for (guint k = 0; k < deployment->log->orders->len; k++) {
    engine_order_record *order = deployment->log->orders->pdata[k];
    n += id_equal(order->engine, deployment->engine_processes[0]->engine->self) &&
         !id_equal(order->holder, process->host->self);
  }
  if (!n)
    fleet_add_violation(fleet, "the next holder sends no orders");
  check_handover_distance(deployment);
  return deployment_finish(deployment, 0);
}

static bool holds_leases_again(sim *sim, void *p) {
  (void)sim;
  holder_leases *leases = p;
  return leases_held_by(leases->deployment, leases->holder).count >= leases->count;
}

static bool a_restarted_gateway_holds_its_leases_again(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 4, 1);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
run_longer:
  sim_run(deployment->sim, time_from_ms(1000));
  deployment_process *process = gateway_with_most_leases(deployment);
  holder_leases leases = leases_held_by(deployment, process);
  if (!leases.count)
    goto run_longer;
  char singleton[64];
  singleton_engine_name(singleton, sizeof singleton, leases.engine[0]);
  uint64_t epoch = singleton_lease_epoch(process->gateway->router, singleton);
  /* a lease holder that is killed and restarted holds its leases again at once, under the next
   * epoch */
  deployment_record_fault(deployment, process->host, 'k', 3000);
  host_kill(process->host);
  sim_run(deployment->sim, time_from_ms(100));
  host_start(process->host);
  if (!sim_run_until(deployment->sim, holds_leases_again, &leases, time_from_ms(2300)))
    fleet_add_violation(fleet, "2.3 s after its restart a gateway does not hold its leases again");
  else if (singleton_lease_epoch(process->gateway->router, singleton) != epoch + 1)
    fleet_add_violation(fleet, "epoch %" PRIu64 " after %" PRIu64,
                        singleton_lease_epoch(process->gateway->router, singleton), epoch);
  for (int k = 0; k < 4; k++)
    client_sim_send(deployment->client, deployment->note, "m12");
  sim_run(deployment->sim, time_from_ms(6000));
  deployment_finish_traffic(deployment);
  return deployment_finish(deployment, 0);
}

/* Guards against exceeding the memory after a change of the lease holder: a load ordered by the
 * former holder takes longer than the next one waits, and is in no report until it is done. */
static bool a_long_load_outlives_its_holder(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 2, 1);
  for (size_t i = 0; i < deployment->model_count; i++)
    if (id_equal(deployment->models[i].name, id_of_text("m9")))
      deployment->models[i].load_ms = 9000 + (double)sim_random(deployment->sim, 3000);
  set_initial_models(deployment->engine_processes[0], "m3", NULL);
  set_initial_models(deployment->engine_processes[1], "m0", NULL);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  sim_run(deployment->sim, time_from_ms(1500));
  /* an engine with memory for one more model, and a long load in progress there */
  deployment_process *process = engine_lease_holder(deployment, deployment->engine_processes[0]),
                     *from = deployment->gateway_processes[0] == process
                                 ? deployment->gateway_processes[1]
                                 : deployment->gateway_processes[0];
  if (!process)
    fleet_add_violation(fleet, "no gateway holds the engine's lease");
  else {
    load_start(deployment, from, deployment->engine_processes[0], "m9", "", false)->max_cost =
        1000000000;
    sim_run(deployment->sim, time_from_ms(700 + (int64_t)sim_random(deployment->sim, 300)));
    /* its lease holder is killed and restarts, and another load is requested */
    deployment_record_fault(deployment, process->host, 'k', 3000);
    host_kill(process->host);
    sim_run(deployment->sim, time_from_ms(100));
    host_start(process->host);
    sim_run(deployment->sim, time_from_ms(2500));
    load *l = load_start(deployment, from, deployment->engine_processes[0], "m12", "", false);
    /* the engine's memory is never exceeded (LIMIT), and the second load is done in the end */
    if (!sim_run_until(deployment->sim, load_done, l, time_from_ms(40000)))
      fleet_add_violation(fleet, "the second load never ends (code %d)", l->code);
  }
  sim_run(deployment->sim, time_from_ms(2000));
  return deployment_finish(deployment, 0);
}

static void request_rare_models(deployment *deployment, int n) {
  char name[16];
  for (int k = 0; k < n; k++) {
    snprintf(name, sizeof name, "m%d", 9 + (int)sim_random(deployment->sim, 5));
    client_sim_send(deployment->client, deployment->note, name);
  }
}

/* In a large fleet not everything is sent to all gateways: rates go through collectors, load
 * reports to the next candidates for the singleton "pacer", and placement is sharded. */
static bool a_large_fleet_shards_placement(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 6, 1);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  sim_run(deployment->sim, time_from_ms(1500));
  if (deployment->gateway_processes[0]->gateway->router_count != fleet->routers)
    fleet_add_violation(fleet, "%d nodes are known of %d",
                        deployment->gateway_processes[0]->gateway->router_count, fleet->routers);
  /* each gateway receives a few requests for some models */
  static const char *const keys[] = { "m0", "m1", "m2", "m3", "m4", "m5" };
  for (int i = 0; i < fleet->routers; i++)
    for (size_t k = 0; k < G_N_ELEMENTS(keys); k++)
      event_history_append(
          &deployment->gateway_processes[i]->gateway->router->history,
          (history_event){
              EVENT_ROUTED, { 0 }, id_of_text(""), id_of_text(keys[k]), id_of_text(""), 0 });
  uint64_t posts = deployment->sim->messages_sent;
  sim_run(deployment->sim, time_from_ms(1500));
  /* the gateways don't all send to all others */
  posts = deployment->sim->messages_sent - posts;
  if (posts > 1.2 * fleet->routers * fleet->routers)
    fleet_add_violation(fleet, "%" PRIu64 " messages in 1.5 s", posts);
  sim_run(deployment->sim, time_from_ms(3000));
  /* every gateway knows the total rates of the fleet */
  int low = 0;
  double least = 1e9;
  for (int i = 0; i < fleet->routers; i++)
    for (size_t k = 0; k < G_N_ELEMENTS(keys); k++) {
      double *r = g_hash_table_lookup(deployment->gateway_processes[i]->gateway->fleet_rates.totals,
                                      keys[k]);
      least = MIN(least, r ? *r : 0);
      low += !r || *r < 0.8 * fleet->routers / 20;
    }
  if (low)
    fleet_add_violation(fleet, "%d of %d total rates are too low or unknown; the lowest is %.2f",
                        low, fleet->routers * (int)G_N_ELEMENTS(keys), least);
  /* many requests need models that no engine holds, and the holder of "pacer" is killed meanwhile
   */
  request_rare_models(deployment, 20);
  sim_run(deployment->sim, time_from_ms(1500));
  deployment_process *pacer = singleton_holder(deployment, "pacer"), *next = NULL;
  bool got_load_report[100];
  int reported_count = 0;
  for (int i = 0; i < fleet->routers; i++)
    reported_count += got_load_report[i] =
        g_hash_table_size(
            deployment->gateway_processes[i]->gateway->load_rate_limiters.by_service) > 0;
  if (reported_count < 2 || reported_count > 6)
    fleet_add_violation(fleet, "%d gateways know of the granted load permits", reported_count);
  if (pacer) {
    deployment_record_fault(deployment, pacer->host, 'k', 6000);
    host_kill(pacer->host);
  } else
    fleet_add_violation(fleet, "no gateway holds the singleton pacer");
  bool placed[100] = { false };
  for (int k = 0; k < 50; k++) {
    if (k % 5 == 0)
      request_rare_models(deployment, 2);
    sim_run(deployment->sim, time_from_ms(200));
    if (!next)
      next = singleton_holder(deployment, "pacer");
    for (int i = 0; i < fleet->routers; i++)
      placed[i] |= deployment->gateway_processes[i]->gateway &&
                   g_hash_table_size(deployment->gateway_processes[i]->gateway->placement.jobs);
  }
  /* the next holder is one of the few gateways that have received load reports, and more than one
   * gateway acts as placement coordinator */
  if (!next || next == pacer)
    fleet_add_violation(fleet, "no gateway takes over the singleton pacer");
  else
    for (int i = 0; i < fleet->routers; i++)
      if (deployment->gateway_processes[i] == next && !got_load_report[i])
        fleet_add_violation(fleet,
                            "%s takes over the singleton pacer and has received no load report",
                            next->host->self.text);
  int coordinators = 0;
  for (int i = 0; i < fleet->routers; i++)
    coordinators += placed[i];
  if (coordinators < 2)
    fleet_add_violation(fleet, "only %d gateways act as placement coordinators", coordinators);
  client_sim_request *a[2] = { client_sim_send(deployment->client, deployment->note, "m12"),
                               client_sim_send(deployment->client, deployment->note, "m10") };
  sim_run(deployment->sim, time_from_ms(12000));
  deployment_finish_traffic(deployment);
  /* the load rate stays within the limit (CEILING), only one holder at a time sends orders (ONE),
   * and models are loaded */
  if (!a[0]->served || !a[1]->served)
    fleet_add_violation(fleet, "models are not loaded after the holder of pacer was killed (%d %d)",
                        a[0]->served, a[1]->served);
  return deployment_finish(deployment, 0.4);
}

/* A request waits for the load of a model; the load fails, and the model is removed from the
 * configuration meanwhile. The request is refused with 422 once no engine can be searched for.
 * LeakSanitizer fails the run if that search leaks. */
static bool model_is_removed_while_a_request_waits(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  for (int i = 0; i < fleet->engines; i++) {
    fleet->engine[i]->engine->faults.slowdown = 10;
    fleet->engine[i]->engine->faults.fail_loads = 1000;
  }
  operator_call *request =
      fleet_send(fleet, fleet->router[0], "POST", "/v1/generate", "{\"model\":\"m0\"}", NULL, NULL);
  sim_run(fleet->sim, time_from_ms(1000));
  if (request->done)
    fleet_add_violation(fleet, "the request did not wait for the load: %d %s", request->status,
                        request->body->str);
  operator_call *patch =
      fleet_call(fleet, fleet->controller[0], "PATCH", "/v1/catalogue",
                 "{\"models\":[{\"id\":\"m1\",\"weightsMb\":100}],\"adapters\":[]}", NULL, NULL,
                 time_from_ms(5000));
  if (patch->status != 200)
    fleet_add_violation(fleet, "the catalogue is refused: %d %s", patch->status, patch->body->str);
  operator_call_free(patch);
  for (int i = 0; i < 60 && !request->done; i++)
    sim_run(fleet->sim, time_from_ms(1000));
  if (!request->done || request->status != 422)
    fleet_add_violation(fleet, "a request for a removed model got %d %s", request->status,
                        request->body->str);
  operator_call_free(request);
  return true;
}

const test_case placement_tests[] = {
  { "request_rates_reach_a_restarted_gateway", request_rates_reach_a_restarted_gateway, 4, 0, 50 },
  { "evicting_a_model_removes_its_adapters", evicting_a_model_removes_its_adapters, 2, 0, 50 },
  { "an_expensive_eviction_is_refused", an_expensive_eviction_is_refused, 4, 0, 50 },
  { "loads_run_in_order_of_utility", loads_run_in_order_of_utility, 2, 0, 50 },
  { "loads_of_rarely_used_models_do_not_starve", loads_of_rarely_used_models_do_not_starve, 2, 0,
    34 },
  { "a_gateway_shutdown_hands_over_leases_quickly", a_gateway_shutdown_hands_over_leases_quickly, 4,
    0, 100 },
  { "a_shutdown_with_recent_orders_delays_the_next_holder",
    a_shutdown_with_recent_orders_delays_the_next_holder, 4, 0, 100 },
  { "a_long_load_outlives_its_holder", a_long_load_outlives_its_holder, 4, 0, 50 },
  { "a_restarted_gateway_holds_its_leases_again", a_restarted_gateway_holds_its_leases_again, 4, 0,
    100 },
  { "a_large_fleet_shards_placement", a_large_fleet_shards_placement, 36, 0, 10 },
  { "model_is_removed_while_a_request_waits", model_is_removed_while_a_request_waits, 2, 2, 100 },
  { NULL, NULL, 0, 0, 0 }
};
