#include "deployment.h"
#include "loads.h"
#include "tests.h"
#include <stdio.h>

/* tests of placement: given engines that hold this and that, when loads are asked for or holders
   change, then engines get the orders that they should, in the order that they should */

/* what a node hears of demand for a key elsewhere, and doesn't tell on */
static void heard(deployment_process *process, const char *key, uint64_t total, uint64_t window) {
  event_history_merge_remote_count(&process->gateway->router->history, 99, key, total, window);
}

/* orders that were taken since a count of them: "-m0 +m6 " */
static GString *orders_since(deployment *deployment, guint from, const deployment_process *e) {
  GString *t = g_string_new(NULL);
  for (guint k = from; k < deployment->log->orders->len; k++) {
    engine_order_record *order = deployment->log->orders->pdata[k];
    if (order->started && id_equal(order->engine, e->engine->self))
      g_string_append_printf(t, "%c%s%s%s ", order->op == 'l' ? '+' : '-', order->model.text,
                             id_is_empty(order->adapter) ? "" : "/", order->adapter.text);
  }
  return t;
}

static double rate_at(deployment_process *process, const char *key) {
  return event_history_request_rate(&process->gateway->router->history, key);
}

static bool rates_reach_newcomers(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 2, 1);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  /* given demand that three gateways saw, and that is told */
  for (int i = 0; i < 3; i++)
    for (int k = 0; k < 10; k++)
      event_history_append(
          &deployment->gateway_processes[i]->gateway->router->history,
          (history_event){
              EVENT_ROUTED, { 0 }, id_of_text(""), id_of_text("m0"), id_of_text(""), 0 });
  sim_run(deployment->sim, time_from_ms(2500));
  if (rate_at(deployment->gateway_processes[3], "m0") < 1.4)
    fleet_add_violation(fleet, "a gateway hears %.2f a second of what the others saw",
                        rate_at(deployment->gateway_processes[3], "m0"));
  /* when the fourth starts anew, and nothing else is asked for */
  host_kill(deployment->gateway_processes[3]->host);
  sim_run(deployment->sim, time_from_ms(500));
  host_start(deployment->gateway_processes[3]->host);
  sim_run(deployment->sim, time_from_ms(3000));
  /* then it knows what was asked for before it came */
  if (rate_at(deployment->gateway_processes[3], "m0") < 1.4)
    fleet_add_violation(fleet, "a gateway that started anew hears %.2f a second",
                        rate_at(deployment->gateway_processes[3], "m0"));
  return deployment_finish(deployment, 0);
}

static bool a_base_takes_its_adapters_along(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 1, 1);
  holds_first(deployment->engine_processes[0], "m0", "m3");
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  static const char *const adapters[] = { "a1", "a2", "a3" };
  for (int k = 0; k < 3; k++)
    if (!sim_run_until(deployment->sim, load_done,
                       load_request(deployment, deployment->gateway_processes[0],
                                    deployment->engine_processes[0], "m0", adapters[k], false),
                       time_from_ms(8000)))
      fleet_add_violation(fleet, "%s does not come", adapters[k]);
  deployment_process *holder = engine_holder(deployment, deployment->engine_processes[0]);
  heard(holder, "m3", 100, 100);
  sim_run(deployment->sim, time_from_ms(1500));
  guint from = deployment->log->orders->len;
  if (!sim_run_until(deployment->sim, load_done,
                     load_request(deployment, deployment->gateway_processes[0],
                                  deployment->engine_processes[0], "m6", "", false),
                     time_from_ms(12000)))
    fleet_add_violation(fleet, "m6 does not come");
  GString *t = orders_since(deployment, from, deployment->engine_processes[0]);
  if (strcmp(t->str, "-m0 +m6 "))
    fleet_add_violation(fleet, "for m6 the engine got: %s", t->str);
  g_string_free(t, TRUE);
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

static bool dear_room_is_refused(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 6, 1);
  for (size_t i = 0; i < deployment->model_engine_count; i++)
    holds_first(deployment->engine_processes[i], "m0", "m3");
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  deployment_process *c = coordinator_of(deployment), *dear = NULL;
  for (size_t i = 0; i < deployment->model_engine_count && !dear; i++)
    if (engine_holder(deployment, deployment->engine_processes[i]) &&
        engine_holder(deployment, deployment->engine_processes[i]) != c)
      dear = deployment->engine_processes[i];
  if (!dear)
    return deployment_finish(deployment, 0);
  /* given an engine with two models that only it holds, whose demand its holder knows and the
   * coordinator does not yet */
  static const char *const own[] = { "m6", "m9" };
  for (int k = 0; k < 2; k++)
    if (!sim_run_until(deployment->sim, load_done,
                       load_request(deployment, c, dear, own[k], "", false), time_from_ms(12000)))
      fleet_add_violation(fleet, "%s does not come", own[k]);
  if (!registering_engine_sim_has_loaded(dear->engine, id_of_text("m6"), id_of_text("")) ||
      !registering_engine_sim_has_loaded(dear->engine, id_of_text("m9"), id_of_text("")))
    fleet_add_violation(fleet, "the engine does not hold m6 and m9");
  sim_run(deployment->sim, time_from_ms(2500));
  heard(engine_holder(deployment, dear), "m6", 1000, 1000);
  heard(engine_holder(deployment, dear), "m9", 1000, 1000);
  heard(c, "m0", 200, 200);
  heard(c, "m3", 200, 200);
  /* when a rare model is asked for */
  guint from = deployment->log->orders->len;
  client_sim_request *a = client_sim_send(deployment->client, deployment->note, "m1");
  sim_run(deployment->sim, time_from_ms(8000));
  deployment_finish_traffic(deployment);
  /* then the dear engine keeps what it holds, and another takes the model */
  GString *t = orders_since(deployment, from, dear);
  if (t->len)
    fleet_add_violation(fleet, "the dear engine got: %s", t->str);
  g_string_free(t, TRUE);
  if (!a->served)
    fleet_add_violation(fleet, "the rare model was not served elsewhere");
  return deployment_finish(deployment, 0);
}

static bool loads_go_by_what_they_gain(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 1, 1);
  holds_first(deployment->engine_processes[0], NULL, NULL);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  guint from = deployment->log->orders->len;
  heard(engine_holder(deployment, deployment->engine_processes[0]), "m7", 40, 40);
  /* given a line of rare models at an empty engine, when one comes last that is asked for much */
  static const char *const rare[] = { "m1", "m2", "m4", "m5" };
  load *last = NULL;
  for (int k = 0; k < 4; k++) {
    last = load_request(deployment, deployment->gateway_processes[0],
                        deployment->engine_processes[0], rare[k], "", false);
    sim_run(deployment->sim, time_from_ms(40));
  }
  load *hot = load_request(deployment, deployment->gateway_processes[0],
                           deployment->engine_processes[0], "m7", "", false);
  if (!sim_run_until(deployment->sim, load_done, hot, time_from_ms(12000)) ||
      !sim_run_until(deployment->sim, load_done, last, time_from_ms(12000)))
    fleet_add_violation(fleet, "the line does not end");
  sim_run(deployment->sim, time_from_ms(3000));
  /* then it is next after the one in hand, and the rest go in their turn */
  GString *t = orders_since(deployment, from, deployment->engine_processes[0]);
  if (strcmp(t->str, "+m1 +m7 +m2 +m4 +m5 "))
    fleet_add_violation(fleet, "the engine got: %s", t->str);
  g_string_free(t, TRUE);
  return deployment_finish(deployment, 0);
}

static const char *const small[] = { "m2", "m4", "m5", "m7", "m8", "m10", "m11", "m13" };

/* what is held is used, so that it may be unloaded */
static void use_all(deployment_process *at, const deployment_process *e) {
  gateway_engine *engine = gateway_engine_find(at->gateway, e->engine->self.text);
  list_for_each (r, &engine->residents.list, resident, link)
    r->last_used_at = at->deployment->sim->now;
}

static bool rare_loads_are_not_starved(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 1, 1);
  deployment->loads_per_s = 4;
  holds_first(deployment->engine_processes[0], NULL, NULL);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  deployment_process *holder = engine_holder(deployment, deployment->engine_processes[0]);
  /* given more models that are asked for much than the engine holds, so that some of them stand in
   * line at any time */
  for (size_t k = 0; k < G_N_ELEMENTS(small); k++)
    load_request(deployment, deployment->gateway_processes[0], deployment->engine_processes[0],
                 small[k], "", true);
  load *rare = NULL;
  for (uint64_t s = 1; s <= 26; s++) {
    for (size_t k = 0; k < G_N_ELEMENTS(small); k++)
      heard(holder, small[k], s * 2, 2);
    if (s == 10)
      rare = load_request(deployment, deployment->gateway_processes[0],
                          deployment->engine_processes[0], "m1", "", false);
    for (int k = 0; k < 20; k++) {
      sim_run(deployment->sim, time_from_ms(50));
      use_all(holder, deployment->engine_processes[0]);
    }
  }
  if (!rare->done)
    fleet_add_violation(fleet, "a rare model was not loaded in 17 s");
  else if (g_getenv("SIM_COUNT"))
    fprintf(stderr, "  up at %.1f\n", (double)rare->up_at.us / 1e6);
  return deployment_finish(deployment, 0);
}

typedef struct duties {
  deployment *deployment;
  deployment_process *was;
  id engine[DEPLOYMENT_ENGINES];
  int n;
} duties;

static duties duties_of(deployment *deployment, deployment_process *process) {
  duties d = { .deployment = deployment, .was = process };
  for (size_t i = 0; i < deployment->model_engine_count; i++)
    if (engine_holder(deployment, deployment->engine_processes[i]) == process)
      d.engine[d.n++] = deployment->engine_processes[i]->engine->self;
  return d;
}

static deployment_process *busiest_holder(deployment *deployment) {
  deployment_process *best = deployment->gateway_processes[0];
  for (int i = 1; i < deployment->fleet->routers; i++)
    if (duties_of(deployment, deployment->gateway_processes[i]).n > duties_of(deployment, best).n)
      best = deployment->gateway_processes[i];
  return best;
}

static bool others_hold(sim *sim, void *p) {
  (void)sim;
  duties *d = p;
  for (int i = 0; i < d->n; i++) {
    char duty[64];
    singleton_engine_name(duty, sizeof duty, d->engine[i]);
    deployment_process *process = holder_of(d->deployment, duty);
    if (!process || process == d->was)
      return false;
  }
  return true;
}

static bool a_leaving_holder_hands_over_quickly(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 4, 1);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  sim_run(deployment->sim, time_from_ms(5000));
  /* given a holder that has ordered nothing for a while, when it leaves, then others hold its
   * duties soon */
  deployment_process *process = busiest_holder(deployment);
  duties d = duties_of(deployment, process);
  if (!d.n)
    fleet_add_violation(fleet, "nobody holds anything");
  deployment_terminate_gateway(deployment, process);
  time_us from = deployment->sim->now;
  bool soon = sim_run_until(deployment->sim, others_hold, &d, time_from_ms(2000));
  if (!soon)
    fleet_add_violation(fleet, "after 2 s the duties of one that left are not held by others");
  else if (g_getenv("SIM_COUNT"))
    fprintf(stderr, "  handed over after %.2f s\n",
            (double)time_sub(deployment->sim->now, from).us / 1e6);
  return deployment_finish(deployment, 0);
}

/* no two holders order an engine about within a lease */
static void orders_apart(deployment *deployment) {
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

static bool a_busy_holder_leaves(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 2, 1);
  deployment->loads_per_s = 6;
  for (size_t i = 0; i < deployment->model_engine_count; i++)
    holds_first(deployment->engine_processes[i], NULL, NULL);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  /* given engines that are ordered about all the time, when their holder leaves, then the next one
   * keeps its distance */
  deployment_process *process = engine_holder(deployment, deployment->engine_processes[0]),
                     *from = deployment->gateway_processes[0] == process
                                 ? deployment->gateway_processes[1]
                                 : deployment->gateway_processes[0];
  for (size_t i = 0; i < deployment->model_engine_count; i++)
    for (size_t k = 0; k < G_N_ELEMENTS(small); k++)
      load_request(deployment, from, deployment->engine_processes[i], small[k], "", true);
  sim_run(deployment->sim, time_from_ms(5000 + (int64_t)sim_random(deployment->sim, 2000)));
  duties d = duties_of(deployment, process);
  /* those who come next hear nothing of its last orders, so that only the head's word keeps them
   * apart */
  for (int k = 0; k < fleet->routers; k++)
    if (deployment->gateway_processes[k] != process && deployment->gateway_processes[k] != from)
      sim_set_partition(deployment->sim, process->host->self.text,
                        deployment->gateway_processes[k]->host->self.text, true);
  sim_run(deployment->sim, time_from_ms(1500));
  deployment_terminate_gateway(deployment, process);
  sim_run(deployment->sim, time_from_ms(700));
  sim_heal_partitions(deployment->sim);
  sim_run(deployment->sim, time_from_ms(9000));
  if (!others_hold(deployment->sim, &d))
    fleet_add_violation(fleet, "nobody holds the duties of one that left");
  guint n = 0;
  for (guint k = 0; k < deployment->log->orders->len; k++) {
    engine_order_record *order = deployment->log->orders->pdata[k];
    n += id_equal(order->engine, deployment->engine_processes[0]->engine->self) &&
         !id_equal(order->holder, process->host->self);
  }
  if (!n)
    fleet_add_violation(fleet, "the next holder orders nothing");
  orders_apart(deployment);
  return deployment_finish(deployment, 0);
}

static bool all_back(sim *sim, void *p) {
  (void)sim;
  duties *d = p;
  return duties_of(d->deployment, d->was).n >= d->n;
}

static bool a_restarted_holder_goes_on(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 4, 1);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
ask_more:
  sim_run(deployment->sim, time_from_ms(1000));
  deployment_process *process = busiest_holder(deployment);
  duties d = duties_of(deployment, process);
  if (!d.n)
    goto ask_more;
  char duty[64];
  singleton_engine_name(duty, sizeof duty, d.engine[0]);
  uint64_t epoch = singleton_lease_epoch(process->gateway->router, duty);
  /* given a holder, when it is killed and started again, then it holds its duties again at once,
   * under the next epoch */
  deployment_record_fault(deployment, process->host, 'k', 3000);
  host_kill(process->host);
  sim_run(deployment->sim, time_from_ms(100));
  host_start(process->host);
  if (!sim_run_until(deployment->sim, all_back, &d, time_from_ms(2300)))
    fleet_add_violation(fleet, "2.3 s after its start a holder has not its duties back");
  else if (singleton_lease_epoch(process->gateway->router, duty) != epoch + 1)
    fleet_add_violation(fleet, "epoch %" PRIu64 " after %" PRIu64,
                        singleton_lease_epoch(process->gateway->router, duty), epoch);
  for (int k = 0; k < 4; k++)
    client_sim_send(deployment->client, deployment->note, "m12");
  sim_run(deployment->sim, time_from_ms(6000));
  deployment_finish_traffic(deployment);
  return deployment_finish(deployment, 0);
}

/* a load of the holder before, which takes longer than the next one cares to wait, is in no report
 * until it is done */
static bool a_long_load_outlives_its_holder(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 2, 1);
  for (size_t i = 0; i < deployment->model_count; i++)
    if (id_equal(deployment->models[i].name, id_of_text("m9")))
      deployment->models[i].load_ms = 9000 + (double)sim_random(deployment->sim, 3000);
  holds_first(deployment->engine_processes[0], "m3", NULL);
  holds_first(deployment->engine_processes[1], "m0", NULL);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  sim_run(deployment->sim, time_from_ms(1500));
  /* given an engine with room for one more model, and a long load under way there */
  deployment_process *process = engine_holder(deployment, deployment->engine_processes[0]),
                     *from = deployment->gateway_processes[0] == process
                                 ? deployment->gateway_processes[1]
                                 : deployment->gateway_processes[0];
  if (!process)
    fleet_add_violation(fleet, "nobody holds the engine");
  else {
    load_request(deployment, from, deployment->engine_processes[0], "m9", "", false)->most =
        1000000000;
    sim_run(deployment->sim, time_from_ms(700 + (int64_t)sim_random(deployment->sim, 300)));
    /* when its holder is killed and comes back, and another load is asked for */
    deployment_record_fault(deployment, process->host, 'k', 3000);
    host_kill(process->host);
    sim_run(deployment->sim, time_from_ms(100));
    host_start(process->host);
    sim_run(deployment->sim, time_from_ms(2500));
    load *l = load_request(deployment, from, deployment->engine_processes[0], "m12", "", false);
    /* then the engine is never filled past its room (LIMIT), and the load comes in the end */
    if (!sim_run_until(deployment->sim, load_done, l, time_from_ms(40000)))
      fleet_add_violation(fleet, "the second load never comes (code %d)", l->code);
  }
  sim_run(deployment->sim, time_from_ms(2000));
  return deployment_finish(deployment, 0);
}

static void request_rare(deployment *deployment, int n) {
  char name[16];
  for (int k = 0; k < n; k++) {
    snprintf(name, sizeof name, "m%d", 9 + (int)sim_random(deployment->sim, 5));
    client_sim_send(deployment->client, deployment->note, name);
  }
}

/* a fleet too large for all to tell all: rates go by collectors, tickets to heirs, and placement is
 * shared out */
static bool a_large_fleet_places_by_parts(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 6, 1);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  sim_run(deployment->sim, time_from_ms(1500));
  if (deployment->gateway_processes[0]->gateway->router_count != fleet->routers)
    fleet_add_violation(fleet, "%d nodes are known of %d",
                        deployment->gateway_processes[0]->gateway->router_count, fleet->routers);
  /* when each of many gateways sees a little demand for some models */
  static const char *const keys[] = { "m0", "m1", "m2", "m3", "m4", "m5" };
  for (int i = 0; i < fleet->routers; i++)
    for (size_t k = 0; k < G_N_ELEMENTS(keys); k++)
      event_history_append(
          &deployment->gateway_processes[i]->gateway->router->history,
          (history_event){
              EVENT_ROUTED, { 0 }, id_of_text(""), id_of_text(keys[k]), id_of_text(""), 0 });
  uint64_t posts = deployment->sim->messages_sent;
  sim_run(deployment->sim, time_from_ms(1500));
  /* then they don't all tell all */
  posts = deployment->sim->messages_sent - posts;
  if (posts > 1.2 * fleet->routers * fleet->routers)
    fleet_add_violation(fleet, "%" PRIu64 " messages in 1.5 s", posts);
  sim_run(deployment->sim, time_from_ms(3000));
  /* and every one of them knows the demand of the whole */
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
    fleet_add_violation(fleet, "%d of %d rates are not known in the whole; the least is %.2f", low,
                        fleet->routers * (int)G_N_ELEMENTS(keys), least);
  /* when models that nobody holds are asked for by many, and the pacer dies in the middle */
  request_rare(deployment, 20);
  sim_run(deployment->sim, time_from_ms(1500));
  deployment_process *pacer = holder_of(deployment, "pacer"), *next = NULL;
  bool told[100];
  int knowing = 0;
  for (int i = 0; i < fleet->routers; i++)
    knowing += told[i] =
        g_hash_table_size(
            deployment->gateway_processes[i]->gateway->load_rate_limiters.by_service) > 0;
  if (knowing < 2 || knowing > 6)
    fleet_add_violation(fleet, "%d gateways know of the tickets that were given", knowing);
  if (pacer) {
    deployment_record_fault(deployment, pacer->host, 'k', 6000);
    host_kill(pacer->host);
  } else
    fleet_add_violation(fleet, "nobody holds the pace");
  bool placed[100] = { false };
  for (int k = 0; k < 50; k++) {
    if (k % 5 == 0)
      request_rare(deployment, 2);
    sim_run(deployment->sim, time_from_ms(200));
    if (!next)
      next = holder_of(deployment, "pacer");
    for (int i = 0; i < fleet->routers; i++)
      placed[i] |= deployment->gateway_processes[i]->gateway &&
                   g_hash_table_size(deployment->gateway_processes[i]->gateway->placement.jobs);
  }
  /* then the next one is among the few that were told of tickets, and more than one gateway places
   */
  if (!next || next == pacer)
    fleet_add_violation(fleet, "nobody takes the pace over");
  else
    for (int i = 0; i < fleet->routers; i++)
      if (deployment->gateway_processes[i] == next && !told[i])
        fleet_add_violation(fleet, "%s takes the pace over and knows of no ticket",
                            next->host->self.text);
  int coordinators = 0;
  for (int i = 0; i < fleet->routers; i++)
    coordinators += placed[i];
  if (coordinators < 2)
    fleet_add_violation(fleet, "%d gateways place for all", coordinators);
  client_sim_request *a[2] = { client_sim_send(deployment->client, deployment->note, "m12"),
                               client_sim_send(deployment->client, deployment->note, "m10") };
  sim_run(deployment->sim, time_from_ms(12000));
  deployment_finish_traffic(deployment);
  /* then the store is not rushed (CEILING), one holder at a time gives orders (ONE), and models
   * come */
  if (!a[0]->served || !a[1]->served)
    fleet_add_violation(fleet, "models do not come after the pacer died (%d %d)", a[0]->served,
                        a[1]->served);
  return deployment_finish(deployment, 0.4);
}

/* A request waits for a load that fails, of a model that was removed meanwhile: it is refused with
 * 422 once no engine can be looked for, and LeakSanitizer fails the run if that search leaks. */
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
  { "rates_reach_newcomers", rates_reach_newcomers, 4, 0, 50 },
  { "a_base_takes_its_adapters_along", a_base_takes_its_adapters_along, 2, 0, 50 },
  { "dear_room_is_refused", dear_room_is_refused, 4, 0, 50 },
  { "loads_go_by_what_they_gain", loads_go_by_what_they_gain, 2, 0, 50 },
  { "rare_loads_are_not_starved", rare_loads_are_not_starved, 2, 0, 34 },
  { "a_leaving_holder_hands_over_quickly", a_leaving_holder_hands_over_quickly, 4, 0, 100 },
  { "a_busy_holder_leaves", a_busy_holder_leaves, 4, 0, 100 },
  { "a_long_load_outlives_its_holder", a_long_load_outlives_its_holder, 4, 0, 50 },
  { "a_restarted_holder_goes_on", a_restarted_holder_goes_on, 4, 0, 100 },
  { "a_large_fleet_places_by_parts", a_large_fleet_places_by_parts, 36, 0, 10 },
  { "model_is_removed_while_a_request_waits", model_is_removed_while_a_request_waits, 2, 2, 100 },
  { NULL, NULL, 0, 0, 0 }
};
