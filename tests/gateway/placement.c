#include "deployment.h"
#include "loads.h"
#include "tests.h"
#include <stdio.h>

/* tests of placement: given engines that hold this and that, when loads are asked for or holders
   change, then engines get the orders that they should, in the order that they should */

/* what a node hears of demand for a key elsewhere, and doesn't tell on */
static void heard(unit *unit, const char *key, uint64_t total, uint64_t window) {
  event_history_merge_remote_count(&unit->gateway->router->history, 99, key, total, window);
}

/* orders that were taken since a count of them: "-m0 +m6 " */
static GString *orders_since(deployment *deployment, guint from, const unit *e) {
  GString *t = g_string_new(NULL);
  for (guint k = from; k < deployment->log->orders->len; k++) {
    em_order *order = deployment->log->orders->pdata[k];
    if (order->begun && id_equal(order->engine, e->engine->self))
      g_string_append_printf(t, "%c%s%s%s ", order->op == 'l' ? '+' : '-', order->model.text,
                             id_is_empty(order->adapter) ? "" : "/", order->adapter.text);
  }
  return t;
}

static double rate_at(unit *unit, const char *key) {
  return event_history_request_rate(&unit->gateway->router->history, key);
}

static bool rates_reach_newcomers(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 2, 1);
  if (!deployment_up(deployment))
    return deployment_done(deployment, 0);
  /* given demand that three gateways saw, and that is told */
  for (int i = 0; i < 3; i++)
    for (int k = 0; k < 10; k++)
      event_history_append(
          &deployment->gateways[i]->gateway->router->history,
          (history_event){
              EVENT_ROUTED, { 0 }, id_of_text(""), id_of_text("m0"), id_of_text(""), 0 });
  sim_run(deployment->sim, time_from_ms(2500));
  if (rate_at(deployment->gateways[3], "m0") < 1.4)
    violation(fleet, "a gateway hears %.2f a second of what the others saw",
              rate_at(deployment->gateways[3], "m0"));
  /* when the fourth starts anew, and nothing else is asked for */
  host_kill(deployment->gateways[3]->host);
  sim_run(deployment->sim, time_from_ms(500));
  host_start(deployment->gateways[3]->host);
  sim_run(deployment->sim, time_from_ms(3000));
  /* then it knows what was asked for before it came */
  if (rate_at(deployment->gateways[3], "m0") < 1.4)
    violation(fleet, "a gateway that started anew hears %.2f a second",
              rate_at(deployment->gateways[3], "m0"));
  return deployment_done(deployment, 0);
}

static bool a_base_takes_its_adapters_along(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 1, 1);
  holds_first(deployment->engine[0], "m0", "m3");
  if (!deployment_up(deployment))
    return deployment_done(deployment, 0);
  static const char *const adapters[] = { "a1", "a2", "a3" };
  for (int k = 0; k < 3; k++)
    if (!sim_until(deployment->sim, load_done,
                   load_request(deployment, deployment->gateways[0], deployment->engine[0], "m0",
                                adapters[k], false),
                   time_from_ms(8000)))
      violation(fleet, "%s does not come", adapters[k]);
  unit *holder = engine_holder(deployment, deployment->engine[0]);
  heard(holder, "m3", 100, 100);
  sim_run(deployment->sim, time_from_ms(1500));
  guint from = deployment->log->orders->len;
  if (!sim_until(
          deployment->sim, load_done,
          load_request(deployment, deployment->gateways[0], deployment->engine[0], "m6", "", false),
          time_from_ms(12000)))
    violation(fleet, "m6 does not come");
  GString *t = orders_since(deployment, from, deployment->engine[0]);
  if (strcmp(t->str, "-m0 +m6 "))
    violation(fleet, "for m6 the engine got: %s", t->str);
  g_string_free(t, TRUE);
  return deployment_done(deployment, 0);
}

static unit *coordinator_of(deployment *deployment) {
  unit *best = NULL;
  uint64_t top = 0;
  for (int i = 0; i < deployment->base->routers; i++) {
    uint64_t h = hash_two_names("place:llm", deployment->gateways[i]->host->self.text);
    if (h > top) {
      top = h;
      best = deployment->gateways[i];
    }
  }
  return best;
}

static bool dear_room_is_refused(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 6, 1);
  for (size_t i = 0; i < deployment->engines; i++)
    holds_first(deployment->engine[i], "m0", "m3");
  if (!deployment_up(deployment))
    return deployment_done(deployment, 0);
  unit *c = coordinator_of(deployment), *dear = NULL;
  for (size_t i = 0; i < deployment->engines && !dear; i++)
    if (engine_holder(deployment, deployment->engine[i]) &&
        engine_holder(deployment, deployment->engine[i]) != c)
      dear = deployment->engine[i];
  if (!dear)
    return deployment_done(deployment, 0);
  /* given an engine with two models that only it holds, whose demand its holder knows and the
   * coordinator does not yet */
  static const char *const own[] = { "m6", "m9" };
  for (int k = 0; k < 2; k++)
    if (!sim_until(deployment->sim, load_done, load_request(deployment, c, dear, own[k], "", false),
                   time_from_ms(12000)))
      violation(fleet, "%s does not come", own[k]);
  if (!em_engine_holds(dear->engine, id_of_text("m6"), id_of_text("")) ||
      !em_engine_holds(dear->engine, id_of_text("m9"), id_of_text("")))
    violation(fleet, "the engine does not hold m6 and m9");
  sim_run(deployment->sim, time_from_ms(2500));
  heard(engine_holder(deployment, dear), "m6", 1000, 1000);
  heard(engine_holder(deployment, dear), "m9", 1000, 1000);
  heard(c, "m0", 200, 200);
  heard(c, "m3", 200, 200);
  /* when a rare model is asked for */
  guint from = deployment->log->orders->len;
  em_request *a = em_client_send(deployment->client, deployment->note, "m1");
  sim_run(deployment->sim, time_from_ms(8000));
  deployment_quiet(deployment);
  /* then the dear engine keeps what it holds, and another takes the model */
  GString *t = orders_since(deployment, from, dear);
  if (t->len)
    violation(fleet, "the dear engine got: %s", t->str);
  g_string_free(t, TRUE);
  if (!a->served)
    violation(fleet, "the rare model was not served elsewhere");
  return deployment_done(deployment, 0);
}

static bool loads_go_by_what_they_gain(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 1, 1);
  holds_first(deployment->engine[0], NULL, NULL);
  if (!deployment_up(deployment))
    return deployment_done(deployment, 0);
  guint from = deployment->log->orders->len;
  heard(engine_holder(deployment, deployment->engine[0]), "m7", 40, 40);
  /* given a line of rare models at an empty engine, when one comes last that is asked for much */
  static const char *const rare[] = { "m1", "m2", "m4", "m5" };
  load *last = NULL;
  for (int k = 0; k < 4; k++) {
    last = load_request(deployment, deployment->gateways[0], deployment->engine[0], rare[k], "",
                        false);
    sim_run(deployment->sim, time_from_ms(40));
  }
  load *hot =
      load_request(deployment, deployment->gateways[0], deployment->engine[0], "m7", "", false);
  if (!sim_until(deployment->sim, load_done, hot, time_from_ms(12000)) ||
      !sim_until(deployment->sim, load_done, last, time_from_ms(12000)))
    violation(fleet, "the line does not end");
  sim_run(deployment->sim, time_from_ms(3000));
  /* then it is next after the one in hand, and the rest go in their turn */
  GString *t = orders_since(deployment, from, deployment->engine[0]);
  if (strcmp(t->str, "+m1 +m7 +m2 +m4 +m5 "))
    violation(fleet, "the engine got: %s", t->str);
  g_string_free(t, TRUE);
  return deployment_done(deployment, 0);
}

static const char *const small[] = { "m2", "m4", "m5", "m7", "m8", "m10", "m11", "m13" };

/* what is held is used, so that it may be unloaded */
static void use_all(unit *at, const unit *e) {
  gateway_engine *engine = gateway_engine_find(at->gateway, e->engine->self.text);
  list_for_each (r, &engine->residents.list, resident, link)
    r->last_used_at = at->deployment->sim->now;
}

static bool rare_loads_are_not_starved(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 1, 1);
  deployment->loads_per_s = 4;
  holds_first(deployment->engine[0], NULL, NULL);
  if (!deployment_up(deployment))
    return deployment_done(deployment, 0);
  unit *holder = engine_holder(deployment, deployment->engine[0]);
  /* given more models that are asked for much than the engine holds, so that some of them stand in
   * line at any time */
  for (size_t k = 0; k < G_N_ELEMENTS(small); k++)
    load_request(deployment, deployment->gateways[0], deployment->engine[0], small[k], "", true);
  load *rare = NULL;
  for (uint64_t s = 1; s <= 26; s++) {
    for (size_t k = 0; k < G_N_ELEMENTS(small); k++)
      heard(holder, small[k], s * 2, 2);
    if (s == 10)
      rare =
          load_request(deployment, deployment->gateways[0], deployment->engine[0], "m1", "", false);
    for (int k = 0; k < 20; k++) {
      sim_run(deployment->sim, time_from_ms(50));
      use_all(holder, deployment->engine[0]);
    }
  }
  if (!rare->done)
    violation(fleet, "a rare model was not loaded in 17 s");
  else if (g_getenv("SIM_COUNT"))
    fprintf(stderr, "  up at %.1f\n", (double)rare->up_at.us / 1e6);
  return deployment_done(deployment, 0);
}

typedef struct duties {
  deployment *deployment;
  unit *was;
  id engine[DEPLOYMENT_ENGINES];
  int n;
} duties;

static duties duties_of(deployment *deployment, unit *unit) {
  duties d = { .deployment = deployment, .was = unit };
  for (size_t i = 0; i < deployment->engines; i++)
    if (engine_holder(deployment, deployment->engine[i]) == unit)
      d.engine[d.n++] = deployment->engine[i]->engine->self;
  return d;
}

static unit *busiest_holder(deployment *deployment) {
  unit *best = deployment->gateways[0];
  for (int i = 1; i < deployment->base->routers; i++)
    if (duties_of(deployment, deployment->gateways[i]).n > duties_of(deployment, best).n)
      best = deployment->gateways[i];
  return best;
}

static bool others_hold(sim *sim, void *p) {
  (void)sim;
  duties *d = p;
  for (int i = 0; i < d->n; i++) {
    char duty[64];
    singleton_engine_name(duty, sizeof duty, d->engine[i]);
    unit *unit = holder_of(d->deployment, duty);
    if (!unit || unit == d->was)
      return false;
  }
  return true;
}

static bool a_leaving_holder_hands_over_quickly(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 4, 1);
  if (!deployment_up(deployment))
    return deployment_done(deployment, 0);
  sim_run(deployment->sim, time_from_ms(5000));
  /* given a holder that has ordered nothing for a while, when it leaves, then others hold its
   * duties soon */
  unit *unit = busiest_holder(deployment);
  duties d = duties_of(deployment, unit);
  if (!d.n)
    violation(fleet, "nobody holds anything");
  deployment_term(deployment, unit);
  time_us from = deployment->sim->now;
  bool soon = sim_until(deployment->sim, others_hold, &d, time_from_ms(2000));
  if (!soon)
    violation(fleet, "after 2 s the duties of one that left are not held by others");
  else if (g_getenv("SIM_COUNT"))
    fprintf(stderr, "  handed over after %.2f s\n",
            (double)time_sub(deployment->sim->now, from).us / 1e6);
  return deployment_done(deployment, 0);
}

/* no two holders order an engine about within a lease */
static void orders_apart(deployment *deployment) {
  for (guint k = 0; k < deployment->log->orders->len; k++) {
    em_order *order = deployment->log->orders->pdata[k];
    for (guint m = 0; m < k; m++) {
      em_order *p = deployment->log->orders->pdata[m];
      int64_t us = order->at.us - p->at.us;
      if (id_equal(order->engine, p->engine) && !id_equal(order->holder, p->holder) &&
          us < DEPLOYMENT_LEASE_MS * 1000) {
        violation(deployment->base, "%s and %s order %s within %.2f s", p->holder.text,
                  order->holder.text, order->engine.text, (double)us / 1e6);
        return;
      }
    }
  }
}

static bool a_busy_holder_leaves(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 2, 1);
  deployment->loads_per_s = 6;
  for (size_t i = 0; i < deployment->engines; i++)
    holds_first(deployment->engine[i], NULL, NULL);
  if (!deployment_up(deployment))
    return deployment_done(deployment, 0);
  /* given engines that are ordered about all the time, when their holder leaves, then the next one
   * keeps its distance */
  unit *unit = engine_holder(deployment, deployment->engine[0]),
       *from = deployment->gateways[0] == unit ? deployment->gateways[1] : deployment->gateways[0];
  for (size_t i = 0; i < deployment->engines; i++)
    for (size_t k = 0; k < G_N_ELEMENTS(small); k++)
      load_request(deployment, from, deployment->engine[i], small[k], "", true);
  sim_run(deployment->sim, time_from_ms(5000 + (int64_t)sim_draw(deployment->sim, 2000)));
  duties d = duties_of(deployment, unit);
  /* those who come next hear nothing of its last orders, so that only the head's word keeps them
   * apart */
  for (int k = 0; k < fleet->routers; k++)
    if (deployment->gateways[k] != unit && deployment->gateways[k] != from)
      sim_cut(deployment->sim, unit->host->self.text, deployment->gateways[k]->host->self.text,
              true);
  sim_run(deployment->sim, time_from_ms(1500));
  deployment_term(deployment, unit);
  sim_run(deployment->sim, time_from_ms(700));
  sim_mend(deployment->sim);
  sim_run(deployment->sim, time_from_ms(9000));
  if (!others_hold(deployment->sim, &d))
    violation(fleet, "nobody holds the duties of one that left");
  guint n = 0;
  for (guint k = 0; k < deployment->log->orders->len; k++) {
    em_order *order = deployment->log->orders->pdata[k];
    n += id_equal(order->engine, deployment->engine[0]->engine->self) &&
         !id_equal(order->holder, unit->host->self);
  }
  if (!n)
    violation(fleet, "the next holder orders nothing");
  orders_apart(deployment);
  return deployment_done(deployment, 0);
}

static bool all_back(sim *sim, void *p) {
  (void)sim;
  duties *d = p;
  return duties_of(d->deployment, d->was).n >= d->n;
}

static bool a_restarted_holder_goes_on(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 4, 1);
  if (!deployment_up(deployment))
    return deployment_done(deployment, 0);
ask_more:
  sim_run(deployment->sim, time_from_ms(1000));
  unit *unit = busiest_holder(deployment);
  duties d = duties_of(deployment, unit);
  if (!d.n)
    goto ask_more;
  char duty[64];
  singleton_engine_name(duty, sizeof duty, d.engine[0]);
  uint64_t epoch = singleton_lease_epoch(unit->gateway->router, duty);
  /* given a holder, when it is killed and started again, then it holds its duties again at once,
   * under the next epoch */
  deployment_trouble(deployment, unit->host, 'k', 3000);
  host_kill(unit->host);
  sim_run(deployment->sim, time_from_ms(100));
  host_start(unit->host);
  if (!sim_until(deployment->sim, all_back, &d, time_from_ms(2300)))
    violation(fleet, "2.3 s after its start a holder has not its duties back");
  else if (singleton_lease_epoch(unit->gateway->router, duty) != epoch + 1)
    violation(fleet, "epoch %" PRIu64 " after %" PRIu64,
              singleton_lease_epoch(unit->gateway->router, duty), epoch);
  for (int k = 0; k < 4; k++)
    em_client_send(deployment->client, deployment->note, "m12");
  sim_run(deployment->sim, time_from_ms(6000));
  deployment_quiet(deployment);
  return deployment_done(deployment, 0);
}

/* a load of the holder before, which takes longer than the next one cares to wait, is in no report
 * until it is done */
static bool a_long_load_outlives_its_holder(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 2, 1);
  for (size_t i = 0; i < deployment->model_count; i++)
    if (id_equal(deployment->models[i].name, id_of_text("m9")))
      deployment->models[i].load_ms = 9000 + (double)sim_draw(deployment->sim, 3000);
  holds_first(deployment->engine[0], "m3", NULL);
  holds_first(deployment->engine[1], "m0", NULL);
  if (!deployment_up(deployment))
    return deployment_done(deployment, 0);
  sim_run(deployment->sim, time_from_ms(1500));
  /* given an engine with room for one more model, and a long load under way there */
  unit *unit = engine_holder(deployment, deployment->engine[0]),
       *from = deployment->gateways[0] == unit ? deployment->gateways[1] : deployment->gateways[0];
  if (!unit)
    violation(fleet, "nobody holds the engine");
  else {
    load_request(deployment, from, deployment->engine[0], "m9", "", false)->most = 1000000000;
    sim_run(deployment->sim, time_from_ms(700 + (int64_t)sim_draw(deployment->sim, 300)));
    /* when its holder is killed and comes back, and another load is asked for */
    deployment_trouble(deployment, unit->host, 'k', 3000);
    host_kill(unit->host);
    sim_run(deployment->sim, time_from_ms(100));
    host_start(unit->host);
    sim_run(deployment->sim, time_from_ms(2500));
    load *l = load_request(deployment, from, deployment->engine[0], "m12", "", false);
    /* then the engine is never filled past its room (LIMIT), and the load comes in the end */
    if (!sim_until(deployment->sim, load_done, l, time_from_ms(40000)))
      violation(fleet, "the second load never comes (code %d)", l->code);
  }
  sim_run(deployment->sim, time_from_ms(2000));
  return deployment_done(deployment, 0);
}

static void request_rare(deployment *deployment, int n) {
  char name[16];
  for (int k = 0; k < n; k++) {
    snprintf(name, sizeof name, "m%d", 9 + (int)sim_draw(deployment->sim, 5));
    em_client_send(deployment->client, deployment->note, name);
  }
}

/* a fleet too large for all to tell all: rates go by collectors, tickets to heirs, and placement is
 * shared out */
static bool a_large_fleet_places_by_parts(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 6, 1);
  if (!deployment_up(deployment))
    return deployment_done(deployment, 0);
  sim_run(deployment->sim, time_from_ms(1500));
  if (deployment->gateways[0]->gateway->router_count != fleet->routers)
    violation(fleet, "%d nodes are known of %d", deployment->gateways[0]->gateway->router_count,
              fleet->routers);
  /* when each of many gateways sees a little demand for some models */
  static const char *const keys[] = { "m0", "m1", "m2", "m3", "m4", "m5" };
  for (int i = 0; i < fleet->routers; i++)
    for (size_t k = 0; k < G_N_ELEMENTS(keys); k++)
      event_history_append(
          &deployment->gateways[i]->gateway->router->history,
          (history_event){
              EVENT_ROUTED, { 0 }, id_of_text(""), id_of_text(keys[k]), id_of_text(""), 0 });
  uint64_t posts = deployment->sim->posts;
  sim_run(deployment->sim, time_from_ms(1500));
  /* then they don't all tell all */
  posts = deployment->sim->posts - posts;
  if (posts > 1.2 * fleet->routers * fleet->routers)
    violation(fleet, "%" PRIu64 " messages in 1.5 s", posts);
  sim_run(deployment->sim, time_from_ms(3000));
  /* and every one of them knows the demand of the whole */
  int low = 0;
  double least = 1e9;
  for (int i = 0; i < fleet->routers; i++)
    for (size_t k = 0; k < G_N_ELEMENTS(keys); k++) {
      double *r =
          g_hash_table_lookup(deployment->gateways[i]->gateway->fleet_rates.totals, keys[k]);
      least = MIN(least, r ? *r : 0);
      low += !r || *r < 0.8 * fleet->routers / 20;
    }
  if (low)
    violation(fleet, "%d of %d rates are not known in the whole; the least is %.2f", low,
              fleet->routers * (int)G_N_ELEMENTS(keys), least);
  /* when models that nobody holds are asked for by many, and the pacer dies in the middle */
  request_rare(deployment, 20);
  sim_run(deployment->sim, time_from_ms(1500));
  unit *pacer = holder_of(deployment, "pacer"), *next = NULL;
  bool told[100];
  int knowing = 0;
  for (int i = 0; i < fleet->routers; i++)
    knowing += told[i] =
        g_hash_table_size(deployment->gateways[i]->gateway->load_rate_limiters.by_service) > 0;
  if (knowing < 2 || knowing > 6)
    violation(fleet, "%d gateways know of the tickets that were given", knowing);
  if (pacer) {
    deployment_trouble(deployment, pacer->host, 'k', 6000);
    host_kill(pacer->host);
  } else
    violation(fleet, "nobody holds the pace");
  bool placed[100] = { false };
  for (int k = 0; k < 50; k++) {
    if (k % 5 == 0)
      request_rare(deployment, 2);
    sim_run(deployment->sim, time_from_ms(200));
    if (!next)
      next = holder_of(deployment, "pacer");
    for (int i = 0; i < fleet->routers; i++)
      placed[i] |= deployment->gateways[i]->gateway &&
                   g_hash_table_size(deployment->gateways[i]->gateway->placement.jobs);
  }
  /* then the next one is among the few that were told of tickets, and more than one gateway places
   */
  if (!next || next == pacer)
    violation(fleet, "nobody takes the pace over");
  else
    for (int i = 0; i < fleet->routers; i++)
      if (deployment->gateways[i] == next && !told[i])
        violation(fleet, "%s takes the pace over and knows of no ticket", next->host->self.text);
  int coordinators = 0;
  for (int i = 0; i < fleet->routers; i++)
    coordinators += placed[i];
  if (coordinators < 2)
    violation(fleet, "%d gateways place for all", coordinators);
  em_request *a[2] = { em_client_send(deployment->client, deployment->note, "m12"),
                       em_client_send(deployment->client, deployment->note, "m10") };
  sim_run(deployment->sim, time_from_ms(12000));
  deployment_quiet(deployment);
  /* then the store is not rushed (CEILING), one holder at a time gives orders (ONE), and models
   * come */
  if (!a[0]->served || !a[1]->served)
    violation(fleet, "models do not come after the pacer died (%d %d)", a[0]->served, a[1]->served);
  return deployment_done(deployment, 0.4);
}

/* A request waits for a load that fails, of a model that was removed meanwhile: it is refused with
 * 422 once no engine can be looked for, and LeakSanitizer fails the run if that search leaks. */
static bool model_is_removed_while_a_request_waits(fleet *fleet) {
  if (!fleet_up(fleet))
    return false;
  for (int i = 0; i < fleet->engines; i++) {
    fleet->engine[i]->engine->faults.slow = 10;
    fleet->engine[i]->engine->faults.fail_loads = 1000;
  }
  op_call *request =
      fleet_send(fleet, fleet->router[0], "POST", "/v1/generate", "{\"model\":\"m0\"}", NULL, NULL);
  sim_run(fleet->sim, time_from_ms(1000));
  if (request->done)
    violation(fleet, "the request did not wait for the load: %d %s", request->status,
              request->body->str);
  op_call *patch = fleet_call(fleet, fleet->controller[0], "PATCH", "/v1/catalogue",
                              "{\"models\":[{\"id\":\"m1\",\"weightsMb\":100}],\"adapters\":[]}",
                              NULL, NULL, time_from_ms(5000));
  if (patch->status != 200)
    violation(fleet, "the catalogue is refused: %d %s", patch->status, patch->body->str);
  call_free(patch);
  for (int i = 0; i < 60 && !request->done; i++)
    sim_run(fleet->sim, time_from_ms(1000));
  if (!request->done || request->status != 422)
    violation(fleet, "a request for a removed model got %d %s", request->status,
              request->body->str);
  call_free(request);
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
