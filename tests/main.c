#include "doctor.h"
#include "tests.h"
#include "policy_replay.h"
#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>

static int seeds = 6;
static uint64_t only, first;

/* runs a test over seeds; a failing one prints how to run it again */
static void over(const char *name, int share, bool (*test)(fleet *f), int routers, int engines) {
  int bad = 0, n = MAX(1, seeds * share / 100);
  for (int i = 1; i <= n; i++) {
    uint64_t seed = only ? only : first + (uint64_t)i;
    fleet *f = fleet_new(seed, routers, engines);
    bool ok = test(f);
    ok = check_all(f) && ok;
    fleet_free(f);
    if (!ok)
      shrink(test, seed, routers, engines);
    if (!ok) {
      bad++;
      fprintf(stderr, "test %s fails; again with: tests %s %" PRIu64 "\n", name, name, seed);
    }
    if (only)
      break;
  }
  CU_ASSERT_EQUAL(bad, 0);
}

static bool serves(fleet *fleet) {
  if (!fleet_up(fleet))
    return false;
  check_watch(fleet);
  fleet_traffic(fleet, 8, time_from_ms(20000));
  fleet_quiet(fleet);
  loadgen *loadgen = fleet->callers->loadgen;
  if (g_getenv("SIM_COUNT")) {
    GString *b = g_string_new(NULL);
    loadgen_json(loadgen, b);
    fprintf(stderr, "%s", b->str);
    g_string_free(b, TRUE);
  }
  return loadgen_count(loadgen, OUTCOME_DONE) > (int)loadgen->requests->len * 7 / 10;
}

/* ways to say what is given */
static bool chain_is(sim *sim, void *p);
typedef struct {
  fleet *fleet;
  int chain_length;
  uint64_t version;
} aim;

static bool chain_is(sim *sim, void *p) {
  aim *a = p;
  host *host = fleet_tail(a->fleet);
  (void)sim;
  return host && fleet_head(a->fleet) &&
         host->controller->replica.view.chain_length == a->chain_length;
}

bool wait_chain(fleet *fleet, int links, int64_t ms) {
  aim a = { fleet, links, 0 };
  if (sim_until(fleet->sim, chain_is, &a, time_from_ms(ms)))
    return true;
  violation(fleet, "no acting chain of %d after %" PRId64 " ms", links, ms);
  return false;
}

char *area_text(int share10) {
  return g_strdup_printf("{\"areas\":[{\"area\":\"north\",\"share\":0.%d}]}", share10);
}

/* every acknowledged write is there: the latest of each resource, or a younger one */
void acked_stand(fleet *fleet) {
  for (int r = 0; r < RESOURCE_COUNT; r++) {
    uint64_t due = 0;
    for (guint i = 0; i < fleet->acks->len; i++)
      if (g_array_index(fleet->acks, ack, i).which == r)
        due = MAX(due, g_array_index(fleet->acks, ack, i).version);
    if (!due)
      continue;
    char path[40];
    snprintf(path, sizeof path, "/v1/%s", resource_names[r]);
    /* a lease may lapse between the look and the call: that is said, and asked again */
    for (int turn = 0;; turn++) {
      host *t = fleet_tail(fleet);
      op_call *call =
          t ? fleet_call(fleet, t, "GET", path, NULL, NULL, NULL, time_from_ms(10000)) : NULL;
      int st = call ? call->status : 503;
      uint64_t is = call ? call->version : 0;
      if (call)
        call_free(call);
      if (st == 503 && turn < 20) {
        sim_run(fleet->sim, time_from_ms(300));
        continue;
      }
      if (st != 200 || is < due)
        violation(fleet,
                  "R5 %s was acknowledged as write %" PRIu64 " and is read as %" PRIu64 " (%d)",
                  resource_names[r], due, is, st);
      break;
    }
  }
}

/* when the first answer came to one who asked after an instant */
static time_us first_served(fleet *fleet, time_us from) {
  time_us best = time_never();
  GPtrArray *all = fleet->callers->loadgen->requests;
  for (guint i = 0; i < all->len; i++) {
    loadgen_request *request = all->pdata[i];
    if (request->from.us >= from.us && request->first.us && request->first.us < best.us)
      best = request->first;
  }
  return best;
}

static time_us first_load(fleet *fleet, time_us from) {
  time_us best = time_never();
  for (int i = 0; i < fleet->engines; i++)
    for (guint k = 0; fleet->engine[i]->engine && k < fleet->engine[i]->engine->orders->len; k++) {
      engine_sim_order *o = &g_array_index(fleet->engine[i]->engine->orders, engine_sim_order, k);
      if (o->what == 'l' && o->taken && o->at.us >= from.us && o->at.us < best.us)
        best = o->at;
    }
  return best;
}

/* runs on, and notes when each step of the way back was done: noticed, view agreed, contracts
 * granted again */
typedef struct {
  time_us noticed, viewed, held;
} steps;
static steps run_back(fleet *fleet, int64_t ms, uint64_t epoch) {
  steps t = { { 0 }, { 0 }, { 0 } };
  bool was = false;
  for (int64_t i = 0; i < ms / 50; i++) {
    sim_run(fleet->sim, time_from_ms(50));
    bool gone = false, all = true;
    list_for_each (h, &fleet->sim->hosts, host, link) {
      if (!h->alive || h->role > HOST_ROUTER)
        continue;
      node *x = h->controller ? &h->controller->node : &h->router->node;
      list_for_each (peer, &x->peers, peer_node, link)
        gone |= peer->gone;
    }
    if (gone && !t.noticed.us)
      t.noticed = fleet->sim->now;
    host *head = fleet_head(fleet);
    if (head && head->controller->replica.view.epoch != epoch && !t.viewed.us)
      t.viewed = fleet->sim->now;
    char d[64];
    for (int k = 0; k < fleet->engines; k++) {
      if (!fleet->engine[k]->alive)
        continue;
      singleton_engine_name(d, sizeof d, fleet->engine[k]->self);
      all &= fleet_holder(fleet, d) != NULL;
    }
    if (!all)
      was = true;
    if (all && was && !t.held.us)
      t.held = fleet->sim->now;
  }
  return t;
}

static void say_steps(fleet *fleet, steps t, time_us from) {
  if (!g_getenv("SIM_COUNT"))
    return;
  const time_us v[] = { t.noticed, t.viewed, t.held };
  static const char *const n[] = { "noticed", "view", "contracts" };
  for (int i = 0; i < 3; i++)
    if (v[i].us)
      fprintf(stderr, "  step %s %.2f\n", n[i], (double)time_sub(v[i], from).us / 1e6);
  (void)fleet;
}

static void back_within(fleet *fleet, time_us from, int64_t ms) {
  time_us a = first_served(fleet, from), b = first_load(fleet, from);
  if (g_getenv("SIM_COUNT"))
    fprintf(stderr, "  seed %" PRIu64 ": first stream %.2f s, first load %.2f s after the loss\n",
            fleet->seed, (double)time_sub(a, from).us / 1e6, (double)time_sub(b, from).us / 1e6);
  if (time_sub(a, from).us > ms * 1000)
    violation(fleet, "R12 the first stream came %.1f s after the loss",
              (double)time_sub(a, from).us / 1e6);
  if (time_sub(b, from).us > ms * 1000)
    violation(fleet, "R12 the first load came %.1f s after the loss",
              (double)time_sub(b, from).us / 1e6);
}

void go(fleet *fleet, double per_s) {
  loadgen *loadgen = fleet->callers->loadgen;
  loadgen->plan.per_s = per_s;
  loadgen->stop = false;
  loadgen_start(loadgen);
}

/* tests */
static bool controllers_die_in_turn(fleet *fleet) {
  if (!fleet_up(fleet))
    return false;
  check_watch(fleet);
  go(fleet, 3);
  for (int i = 0; i < 4; i++) {
    host *host = fleet->controller[sim_draw(fleet->sim, 3)];
    char *t = area_text(1 + i);
    op_call *call = fleet_send(fleet, fleet->controller[sim_draw(fleet->sim, 3)], "PUT",
                               "/v1/evacuation", t, NULL, NULL);
    sim_run(fleet->sim, (time_us){ (int64_t)sim_draw(fleet->sim, 12000) });
    if (sim_draw(fleet->sim, 2))
      host_kill(host);
    else
      host_power(host);
    if (!wait_chain(fleet, 2, 8000))
      return false;
    sim_run(fleet->sim, time_from_ms(26000));
    call_free(call);
    if (!fleet_put(fleet, "evacuation", t))
      violation(fleet, "no write with two of three");
    g_free(t);
    host_start(host);
    if (!wait_chain(fleet, 3, 10000))
      return false;
    acked_stand(fleet);
  }
  fleet_quiet(fleet);
  return true;
}

static bool power_goes_after_an_answer(fleet *fleet) {
  if (!fleet_up(fleet))
    return false;
  for (int i = 0; i < 5; i++) {
    char *t = area_text(1 + i);
    if (!fleet_put(fleet, "evacuation", t))
      return false;
    g_free(t);
    int all = sim_draw(fleet->sim, 2);
    for (int k = 0; k < 3; k++)
      if (all || k == (int)sim_draw(fleet->sim, 3))
        host_power(fleet->controller[k]);
    sim_run(fleet->sim, time_from_ms((int64_t)sim_draw(fleet->sim, 4000)));
    for (int k = 0; k < 3; k++)
      if (!fleet->controller[k]->alive)
        host_start(fleet->controller[k]);
    if (!wait_chain(fleet, 3, 15000))
      return false;
    acked_stand(fleet);
  }
  return true;
}

static bool a_disk_machine_is_lost_and_replaced(fleet *fleet) {
  if (!fleet_up(fleet))
    return false;
  check_watch(fleet);
  host *old = fleet->controller[sim_draw(fleet->sim, 3)];
  host *young = fleet->controller[3] =
      sim_host(fleet->sim, HOST_CONTROLLER, "controller-4", old->area.text, "127.0.1.44:7000");
  young->settings = fleet->controller[0]->settings;
  young->settings.self = young->self;
  young->settings.zone = young->area;
  g_strlcpy(young->settings.address, young->addr, sizeof young->settings.address);
  if (!fleet_put(fleet, "evacuation", "{\"areas\":[]}"))
    return false;
  host_power(old);
  host_wipe(old);
  if (!wait_chain(fleet, 2, 8000))
    return false;
  fleet->controllers = 4;
  host_start(young);
  if (!wait_chain(fleet, 3, 12000))
    return false;
  acked_stand(fleet);
  /* the new one carries weight: another may go now */
  host *next = old == fleet->controller[0] ? fleet->controller[1] : fleet->controller[0];
  host_power(next);
  if (!wait_chain(fleet, 2, 8000))
    return false;
  char *t = area_text(3);
  if (!fleet_put(fleet, "evacuation", t))
    violation(fleet, "no write after the exchange");
  g_free(t);
  acked_stand(fleet);
  /* the old machine comes back with an empty disk, and may not vote itself in or found anew */
  host_start(old);
  if (!wait_chain(fleet, 3, 15000))
    return false;
  acked_stand(fleet);
  return true;
}

static bool the_same_machine_comes_back_empty(fleet *fleet) {
  if (!fleet_up(fleet))
    return false;
  check_watch(fleet);
  for (int i = 0; i < 3; i++) {
    host *host = fleet->controller[i];
    char *t = area_text(1 + i);
    if (!fleet_put(fleet, "evacuation", t))
      return false;
    g_free(t);
    host_power(host);
    host_wipe(host);
    if (sim_draw(fleet->sim, 2))
      sim_run(fleet->sim, time_from_ms(3000));
    host_start(host);
    sim_run(fleet->sim, time_from_ms(1500));
    if (!wait_chain(fleet, 3, 15000))
      return false;
    acked_stand(fleet);
  }
  return true;
}

void area_dark(fleet *fleet, const char *area) {
  list_for_each (h, &fleet->sim->hosts, host, link)
    if (h->role <= HOST_ENGINE && !strcmp(h->area.text, area))
      host_power(h);
}

static bool an_area_goes_dark(fleet *fleet) {
  static const char *const names[] = { "north", "mid", "south" };
  if (!fleet_up(fleet))
    return false;
  check_watch(fleet);
  go(fleet, 6);
  sim_run(fleet->sim, time_from_ms(10000));
  char *t = area_text(0);
  if (!fleet_put(fleet, "evacuation", t))
    return false;
  g_free(t);
  const char *area = names[sim_draw(fleet->sim, 3)];
  time_us from = fleet->sim->now;
  host *head = fleet_head(fleet);
  uint64_t epoch = head ? head->controller->replica.view.epoch : 0;
  area_dark(fleet, area);
  say_steps(fleet, run_back(fleet, 16000, epoch), from);
  back_within(fleet, from, 12000);
  if (!wait_chain(fleet, 2, 1000))
    return false;
  acked_stand(fleet);
  t = area_text(0);
  if (!fleet_put(fleet, "evacuation", t))
    violation(fleet, "no write with an area lost");
  g_free(t);
  list_for_each (h, &fleet->sim->hosts, host, link)
    if (!h->alive)
      host_start(h);
  if (!wait_chain(fleet, 3, 15000))
    return false;
  fleet_quiet(fleet);
  return true;
}

static bool all_routers_die_at_once(fleet *fleet) {
  if (!fleet_up(fleet))
    return false;
  check_watch(fleet);
  go(fleet, 6);
  sim_run(fleet->sim, time_from_ms(8000));
  time_us from = fleet->sim->now;
  for (int i = 0; i < fleet->routers; i++)
    host_kill(fleet->router[i]);
  sim_run(fleet->sim, time_from_ms(500));
  for (int i = 0; i < fleet->routers; i++)
    host_start(fleet->router[i]);
  host *head = fleet_head(fleet);
  say_steps(fleet, run_back(fleet, 16000, head ? head->controller->replica.view.epoch : 0), from);
  back_within(fleet, from, 12000);
  fleet_quiet(fleet);
  return true;
}

static bool a_holder_freezes_and_wakes(fleet *fleet) {
  for (int i = 0; i < fleet->engines; i++)
    fleet->engine[i]->faults.no_epochs = true;
  if (!fleet_up(fleet))
    return false;
  check_watch(fleet);
  fleet->callers->loadgen->plan.zipf = 0.2;
  go(fleet, 6);
  for (int i = 0; i < 4; i++) {
    sim_run(fleet->sim, time_from_ms(4000));
    host *host = fleet_holder(fleet, sim_draw(fleet->sim, 2) ? "pacer" : "engine:engine-1");
    if (!host)
      continue;
    host_freeze(host);
    sim_run(fleet->sim, time_from_ms(1000 + (int64_t)sim_draw(fleet->sim, 9000)));
    host_wake(host);
  }
  sim_run(fleet->sim, time_from_ms(5000));
  fleet_quiet(fleet);
  return true;
}

static bool operators_race(fleet *fleet) {
  if (!fleet_up(fleet))
    return false;
  check_watch(fleet);
  for (int i = 0; i < 6; i++) {
    host *t = fleet_tail(fleet);
    op_call *g =
        fleet_call(fleet, t, "GET", "/v1/evacuation", NULL, NULL, NULL, time_from_ms(5000));
    char m[32], ra[32], *x = area_text(i % 4), *y = area_text(4 + i % 4);
    snprintf(ra, sizeof ra, "race-%d", i);
    snprintf(m, sizeof m, "%" PRIu64, g->version);
    call_free(g);
    op_call *a = fleet_send(fleet, fleet->controller[sim_draw(fleet->sim, 3)], "PUT",
                            "/v1/evacuation", x, m, ra),
            *b = fleet_send(fleet, fleet->controller[sim_draw(fleet->sim, 3)], "PATCH",
                            "/v1/evacuation", y, m, NULL);
    sim_run(fleet->sim, time_from_ms(3000));
    if ((a->status == 200) + (b->status == 200) != 1 ||
        (a->status == 412) + (b->status == 412) != 1)
      violation(fleet, "two raced and got %d and %d", a->status, b->status);
    call_free(a);
    call_free(b);
    /* a try that comes again is not applied again */
    char key[32];
    snprintf(key, sizeof key, "again-%d", i);
    a = fleet_call(fleet, fleet->controller[0], "PUT", "/v1/evacuation", x, NULL, key,
                   time_from_ms(5000));
    b = fleet_call(fleet, fleet->controller[1], "PUT", "/v1/evacuation", x, NULL, key,
                   time_from_ms(5000));
    if (a->status != 200 || b->status != 200 || a->version != b->version)
      violation(fleet, "a write that came again is %" PRIu64 " and %" PRIu64, a->version,
                b->version);
    call_free(a);
    call_free(b);
    b = fleet_call(fleet, fleet->controller[2], "PUT", "/v1/evacuation", y, NULL, key,
                   time_from_ms(5000));
    if (b->status != 422)
      violation(fleet, "a key was used for two requests and got %d", b->status);
    call_free(b);
    g_free(x);
    g_free(y);
  }
  return true;
}

static bool bad_configurations_come(fleet *fleet) {
  static const struct {
    const char *res, *text;
    int status, code;
  } bad[] = { { "catalogue", "{", 400, E_JSON },
              { "catalogue", "{\"models\":[{\"id\":\"x\"}]}", 400, E_FIELD },
              { "catalogue", "{\"models\":[{\"id\":\"x\",\"weightsMb\":-1}]}", 400, E_RANGE },
              { "catalogue", "{\"models\":[],\"adapters\":[{\"id\":\"a\",\"model\":\"none\"}]}",
                400, E_NAME },
              { "catalogue", "{\"models\":[{\"id\":\"a b\",\"weightsMb\":1}]}", 400, E_NAME },
              { "policy", "{\"eviction\":\"best\"}", 400, E_NAME },
              { "policy", "{\"loadsPerS\":\"2\"}", 400, E_TYPE },
              { "policy", "{\"loadsPerS\":1e999}", 400, E_RANGE },
              { "policy", "{\"speed\":2}", 400, E_FIELD },
              { "policy", "{\"rules\":[{\"when\":{\"kind\":\"none\"},\"then\":[\"refuse\"]}]}", 400,
                E_NAME },
              { "policy", "{\"rules\":[{\"then\":[\"answer\",\"enrol\"]}]}", 400, E_RANGE },
              { "policy", "{\"kinds\":[{\"id\":\"a\",\"share\":0.7},{\"id\":\"b\",\"share\":0.7}]}",
                400, E_RANGE },
              { "evacuation", "{\"areas\":[{\"area\":\"nowhere\"}]}", 400, E_NAME },
              { "evacuation", "{\"areas\":[{\"area\":\"north\",\"share\":2}]}", 400, E_RANGE },
              { "evacuation", "[]", 400, E_TYPE },
              { "evacuation", "{\"areas\":[],\"areas\":[]}", 400, E_FIELD },
              { "policy", "", 400, E_JSON } };
  if (!fleet_up(fleet))
    return false;
  for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
    char path[40];
    snprintf(path, sizeof path, "/v1/%s", bad[i].res);
    op_call *call = fleet_call(fleet, fleet->controller[i % 3], "PUT", path, bad[i].text, NULL,
                               NULL, time_from_ms(5000));
    json *json = json_parse(string_view_of_gstring(call->body), NULL);
    if (call->status != bad[i].status || (int)json_number(json, "code", 0) != bad[i].code)
      violation(fleet, "%s got %d, %s", bad[i].text, call->status, call->body->str);
    json_free(json);
    call_free(call);
  }
  /* a catalogue that drops what an evacuation names is refused as well */
  if (!fleet_put(fleet, "evacuation", "{\"areas\":[{\"area\":\"north\",\"share\":0}]}"))
    return false;
  op_call *call = fleet_call(fleet, fleet->controller[0], "PATCH", "/v1/catalogue",
                             "{\"areas\":[\"mid\"]}", NULL, NULL, time_from_ms(5000));
  if (call->status != 400)
    violation(fleet, "an area in use was dropped: %d", call->status);
  call_free(call);
  call = fleet_call(fleet, fleet->controller[0], "GET", "/v1/nothing", NULL, NULL, NULL,
                    time_from_ms(5000));
  if (call->status != 404)
    violation(fleet, "an unknown page got %d", call->status);
  call_free(call);
  return true;
}

static bool a_router_is_cut_off_from_the_core(fleet *fleet) {
  if (!fleet_up(fleet))
    return false;
  check_watch(fleet);
  go(fleet, 6);
  sim_run(fleet->sim, time_from_ms(8000));
  host *host = fleet->router[0];
  for (int i = 0; i < 3; i++)
    sim_part(fleet->sim, host->self.text, fleet->controller[i]->self.text, true);
  sim_run(fleet->sim, time_from_ms(3000));
  if (!config_sync_may_admit(host->router))
    violation(fleet, "a router that hears the others is held to be alone");
  if (!fleet_put(fleet, "evacuation", "{\"areas\":[]}"))
    return false;
  sim_run(fleet->sim, time_from_ms(4000));
  /* the others tell it what is new, though never that it is fresh */
  if (host->router->config_version < g_array_index(fleet->acks, ack, fleet->acks->len - 1).version)
    violation(fleet, "news did not come by way of the others");
  sim_mend(fleet->sim);
  sim_run(fleet->sim, time_from_ms(4000));
  if (!config_sync_is_recent(host->router))
    violation(fleet, "a router does not come back");
  fleet_quiet(fleet);
  return true;
}

static bool the_core_is_gone(fleet *fleet) {
  if (!fleet_up(fleet))
    return false;
  check_watch(fleet);
  go(fleet, 6);
  sim_run(fleet->sim, time_from_ms(15000));
  for (int i = 0; i < 3; i++)
    host_kill(fleet->controller[i]);
  time_us from = fleet->sim->now;
  sim_run(fleet->sim, time_from_ms(4000));
  guint n = 0, done = 0;
  /* an engine that leaves still gets no new work, and nothing is ordered any more, while residents
   * serve */
  platform_sim_mark(fleet->platform->platform, fleet->engine[0]->self, true, false);
  sim_run(fleet->sim, time_from_ms(10000));
  for (int i = 0; i < fleet->engines; i++)
    for (guint k = 0; k < fleet->engine[i]->engine->orders->len; k++)
      if (g_array_index(fleet->engine[i]->engine->orders, engine_sim_order, k).at.us >
          time_add(from, time_from_ms(3100)).us) {
        violation(fleet, "an order was given without a contract");
        i = fleet->engines;
        break;
      }
  GPtrArray *all = fleet->callers->loadgen->requests;
  for (guint i = 0; i < all->len; i++) {
    loadgen_request *request = all->pdata[i];
    if (request->from.us > from.us) {
      n++;
      done += request->how == OUTCOME_DONE;
    }
  }
  if (done < n / 4)
    violation(fleet, "residents did not go on serving: %u of %u", done, n);
  for (int i = 0; i < 3; i++)
    host_start(fleet->controller[i]);
  if (!wait_chain(fleet, 3, 10000))
    return false;
  sim_run(fleet->sim, time_from_ms(8000));
  acked_stand(fleet);
  fleet_quiet(fleet);
  return true;
}

static bool the_core_is_cut_off_from_the_routers(fleet *fleet) {
  if (!fleet_up(fleet))
    return false;
  check_watch(fleet);
  go(fleet, 6);
  sim_run(fleet->sim, time_from_ms(12000));
  for (int i = 0; i < fleet->routers; i++)
    for (int k = 0; k < 3; k++)
      sim_part(fleet->sim, fleet->router[i]->self.text, fleet->controller[k]->self.text, true);
  time_us from = fleet->sim->now;
  sim_run(fleet->sim, time_from_ms(10000));
  op_call *call =
      fleet_call(fleet, fleet->controller[0], "PUT", "/v1/evacuation",
                 "{\"areas\":[{\"area\":\"south\"}]}", NULL, "south", time_from_ms(9000));
  if (call->status != 504)
    violation(fleet, "a write that no router can hear of got %d", call->status);
  call_free(call);
  for (int i = 0; i < fleet->routers; i++)
    if (config_sync_is_recent(fleet->router[i]->router))
      violation(fleet, "%s calls itself fresh", fleet->router[i]->self.text);
  for (int i = 0; i < fleet->engines; i++)
    for (guint k = 0; k < fleet->engine[i]->engine->orders->len; k++)
      if (g_array_index(fleet->engine[i]->engine->orders, engine_sim_order, k).at.us >
          time_add(from, time_from_ms(3100)).us) {
        violation(fleet, "an order was given without a contract");
        i = fleet->engines;
        break;
      }
  guint n = 0, done = 0;
  for (guint i = 0; i < fleet->callers->loadgen->requests->len; i++) {
    loadgen_request *request = fleet->callers->loadgen->requests->pdata[i];
    if (request->from.us > from.us) {
      n++;
      done += request->how == OUTCOME_DONE;
    }
  }
  if (done < n / 4)
    violation(fleet, "residents did not go on serving: %u of %u", done, n);
  sim_mend(fleet->sim);
  time_us back = fleet->sim->now;
  sim_run(fleet->sim, time_from_ms(3000));
  call = fleet_call(fleet, fleet->controller[0], "PUT", "/v1/evacuation",
                    "{\"areas\":[{\"area\":\"south\"}]}", NULL, "south", time_from_ms(9000));
  if (call->status != 200)
    violation(fleet, "the same write got %d after all was mended", call->status);
  call_free(call);
  sim_run(fleet->sim, time_from_ms(9000));
  back_within(fleet, back, 12000);
  fleet_quiet(fleet);
  return true;
}

static bool heads_and_tails_freeze_and_wake(fleet *fleet) {
  if (!fleet_up(fleet))
    return false;
  check_watch(fleet);
  go(fleet, 3);
  for (int i = 0; i < 4; i++) {
    host *host = sim_draw(fleet->sim, 2) ? fleet_head(fleet) : fleet_tail(fleet);
    if (!host) {
      sim_run(fleet->sim, time_from_ms(500));
      continue;
    }
    char *t = area_text(i);
    op_call *call = fleet_send(fleet, fleet->controller[sim_draw(fleet->sim, 3)], "PUT",
                               "/v1/evacuation", t, NULL, NULL);
    sim_run(fleet->sim, (time_us){ (int64_t)sim_draw(fleet->sim, 8000) });
    host_freeze(host);
    sim_run(fleet->sim, time_from_ms(200 + (int64_t)sim_draw(fleet->sim, 5000)));
    if (!fleet_put(fleet, "evacuation", t))
      violation(fleet, "no write while %s is frozen", host->self.text);
    g_free(t);
    host_wake(host);
    /* what it says first must not be from before it slept */
    acked_stand(fleet);
    if (!wait_chain(fleet, 3, 15000))
      return false;
    sim_run(fleet->sim, time_from_ms(26000));
    call_free(call);
  }
  fleet_quiet(fleet);
  return true;
}

static bool the_core_is_cut_in_two(fleet *fleet) {
  if (!fleet_up(fleet))
    return false;
  check_watch(fleet);
  go(fleet, 4);
  for (int i = 0; i < 4; i++) {
    host *host = fleet->controller[sim_draw(fleet->sim, 3)];
    int way = sim_draw(fleet->sim, 3);
    for (int k = 0; k < 3; k++) {
      if (way != 1)
        sim_cut(fleet->sim, host->self.text, fleet->controller[k]->self.text, true);
      if (way != 2)
        sim_cut(fleet->sim, fleet->controller[k]->self.text, host->self.text, true);
    }
    sim_run(fleet->sim, time_from_ms(500 + (int64_t)sim_draw(fleet->sim, 6000)));
    char *t = area_text((int)sim_draw(fleet->sim, 9));
    if (!fleet_put(fleet, "evacuation", t))
      violation(fleet, "no write while one of three is cut off");
    g_free(t);
    sim_run(fleet->sim, time_from_ms(3000));
    sim_mend(fleet->sim);
    if (!wait_chain(fleet, 3, 15000))
      return false;
    acked_stand(fleet);
  }
  fleet_quiet(fleet);
  return true;
}

static bool one_link_of_the_core_is_cut(fleet *fleet) {
  if (!fleet_up(fleet))
    return false;
  check_watch(fleet);
  for (int i = 0; i < 3; i++) {
    int a = sim_draw(fleet->sim, 3), b = (a + 1) % 3;
    sim_part(fleet->sim, fleet->controller[a]->self.text, fleet->controller[b]->self.text, true);
    sim_run(fleet->sim, time_from_ms(6000));
    char *t = area_text((int)sim_draw(fleet->sim, 9));
    if (!fleet_put(fleet, "evacuation", t))
      violation(fleet, "no write while one link is cut");
    g_free(t);
    sim_mend(fleet->sim);
    if (!wait_chain(fleet, 3, 15000))
      return false;
    acked_stand(fleet);
  }
  return true;
}

static bool an_engine_leaves(fleet *fleet) {
  if (!fleet_up(fleet))
    return false;
  check_watch(fleet);
  go(fleet, 10);
  sim_run(fleet->sim, time_from_ms(12000));
  for (int i = 0; i < 2; i++) {
    platform_sim_engine *e = &g_array_index(fleet->platform->platform->engines, platform_sim_engine,
                                            sim_draw(fleet->sim, fleet->engines));
    if (e->leaving)
      continue;
    platform_sim_mark(fleet->platform->platform, e->self, true, false);
    sim_run(fleet->sim, time_from_ms(8000));
  }
  host_kill(fleet->platform);
  sim_run(fleet->sim, time_from_ms(5000));
  fleet_quiet(fleet);
  return true;
}

static bool an_area_is_emptied(fleet *fleet) {
  if (!fleet_up(fleet))
    return false;
  check_watch(fleet);
  go(fleet, 10);
  sim_run(fleet->sim, time_from_ms(12000));
  if (!fleet_put(fleet, "evacuation", "{\"areas\":[{\"area\":\"south\"}]}"))
    return false;
  sim_run(fleet->sim, time_from_ms(12000));
  char d[64];
  for (int i = 0; i < fleet->engines; i++) {
    singleton_engine_name(d, sizeof d, fleet->engine[i]->self);
    host *host = fleet_holder(fleet, d);
    if (!host)
      violation(fleet, "nobody took over %s", d);
    else if (!strcmp(host->area.text, "south"))
      violation(fleet, "%s stays with %s in the emptied area", d, host->self.text);
  }
  /* a core machine is lost, and the order to empty the area stands */
  host_power(fleet->controller[sim_draw(fleet->sim, 3)]);
  sim_run(fleet->sim, time_from_ms(8000));
  acked_stand(fleet);
  fleet_quiet(fleet);
  return true;
}

static bool rare_models_are_asked_for_at_once(fleet *fleet) {
  fleet->pace = 2;
  if (!fleet_up(fleet))
    return false;
  check_watch(fleet);
  fleet->callers->loadgen->plan.zipf = 0;
  go(fleet, 12);
  for (int i = 0; i < 5; i++) {
    sim_run(fleet->sim, time_from_ms(3000 + (int64_t)sim_draw(fleet->sim, 2000)));
    host *host = fleet_holder(fleet, "pacer");
    if (!host)
      continue;
    if (i % 2) {
      host_kill(host);
      sim_run(fleet->sim, time_from_ms(100 + (int64_t)sim_draw(fleet->sim, 6000)));
      host_start(host);
    } else {
      host_freeze(host);
      sim_run(fleet->sim, time_from_ms((int64_t)sim_draw(fleet->sim, 8000)));
      host_wake(host);
    }
  }
  sim_run(fleet->sim, time_from_ms(5000));
  fleet_quiet(fleet);
  return true;
}

static bool orders_fail_and_room_comes_late(fleet *fleet) {
  if (!fleet_up(fleet))
    return false;
  check_watch(fleet);
  fleet->callers->loadgen->plan.zipf = 0.4;
  go(fleet, 8);
  for (int i = 0; i < 6; i++) {
    engine_sim *engine = fleet->engine[sim_draw(fleet->sim, fleet->engines)]->engine;
    switch (sim_draw(fleet->sim, 6)) {
    case 0:
      engine->faults.fail_loads = 3;
      break;
    case 1:
      engine->faults.silent_loads = 2;
      break;
    case 2:
      engine->faults.late_ms = 1500;
      break;
    case 3:
      engine->faults.fail_unloads = 2;
      break;
    case 4:
      engine->faults.silent_unloads = 2;
      break;
    case 5:
      engine->faults.drop_orders = 3;
      break;
    }
    sim_run(fleet->sim, time_from_ms(5000));
  }
  sim_run(fleet->sim, time_from_ms(10000));
  fleet_quiet(fleet);
  guint loads = 0;
  for (int i = 0; i < fleet->engines; i++)
    for (guint k = 0; k < fleet->engine[i]->engine->orders->len; k++)
      loads += g_array_index(fleet->engine[i]->engine->orders, engine_sim_order, k).what == 'l';
  if (loads > fleet->callers->loadgen->requests->len)
    violation(fleet, "%u load orders for %u requests", loads,
              fleet->callers->loadgen->requests->len);
  return loadgen_count(fleet->callers->loadgen, OUTCOME_DONE) >
         (int)fleet->callers->loadgen->requests->len / 3;
}

static bool every_load_fails(fleet *fleet) {
  if (!fleet_up(fleet))
    return false;
  check_watch(fleet);
  for (int i = 0; i < fleet->engines; i++)
    fleet->engine[i]->engine->faults.fail_loads = 100000;
  go(fleet, 10);
  sim_run(fleet->sim, time_from_ms(30000));
  guint loads = 0;
  for (int i = 0; i < fleet->engines; i++)
    for (guint k = 0; k < fleet->engine[i]->engine->orders->len; k++)
      loads += g_array_index(fleet->engine[i]->engine->orders, engine_sim_order, k).what == 'l';
  /* backed off for each thing on each engine, and never past the pace */
  if (loads > 90)
    violation(fleet, "%u loads in 30 s while every load fails", loads);
  fleet_quiet(fleet);
  if (loadgen_count(fleet->callers->loadgen, OUTCOME_DONE))
    violation(fleet, "somebody was served");
  return true;
}

static bool engines_crash_in_the_middle(fleet *fleet) {
  if (!fleet_up(fleet))
    return false;
  check_watch(fleet);
  fleet->callers->loadgen->plan.tokens = 80;
  go(fleet, 10);
  for (int i = 0; i < 8; i++) {
    sim_run(fleet->sim, time_from_ms(3000));
    host *host = fleet->engine[sim_draw(fleet->sim, fleet->engines)];
    if (!host->alive) {
      host_start(host);
      continue;
    }
    switch (sim_draw(fleet->sim, 4)) {
    case 0:
      host_kill(host);
      break;
    case 1:
      host_power(host);
      break;
    case 2:
      host->engine->faults.break_after = 3;
      break;
    case 3:
      host_freeze(host);
      sim_run(fleet->sim, time_from_ms(4000));
      host_wake(host);
      break;
    }
  }
  sim_run(fleet->sim, time_from_ms(3000));
  fleet_quiet(fleet);
  if (!loadgen_count(fleet->callers->loadgen, OUTCOME_BROKEN))
    violation(fleet, "no stream broke, so nothing was shown");
  return true;
}

static bool engines_lie(fleet *fleet) {
  if (!fleet_up(fleet))
    return false;
  check_watch(fleet);
  go(fleet, 8);
  sim_run(fleet->sim, time_from_ms(8000));
  fleet->engine[0]->engine->faults.wrong_attempt = true;
  fleet->engine[1]->engine->faults.old_reports = true;
  platform_sim_engine twin =
      g_array_index(fleet->platform->platform->engines, platform_sim_engine, 2);
  g_strlcpy(twin.addr, fleet->engine[3]->addr, sizeof twin.addr);
  g_array_append_val(fleet->platform->platform->engines, twin);
  sim_run(fleet->sim, time_from_ms(12000));
  fleet_quiet(fleet);
  return loadgen_count(fleet->callers->loadgen, OUTCOME_DONE) > 0;
}

static bool a_record_on_disk_is_bad(fleet *fleet) {
  if (!fleet_up(fleet))
    return false;
  for (int i = 0; i < 4; i++) {
    char *t = area_text(i);
    if (!fleet_put(fleet, "evacuation", t))
      return false;
    g_free(t);
  }
  host *host = fleet->controller[sim_draw(fleet->sim, 3)];
  uint64_t was = host->controller->replica.disk_id;
  unsigned file = host->controller->replica.wal.current_file;
  size_t used = host->controller->replica.wal.last_frame_offset;
  host_power(host);
  /* somewhere before the last record */
  size_t at = 40 + sim_draw(fleet->sim, used - 40);
  /* the last frame is left alone, since a bad one there can't be told from a torn one; nor is
   * padding touched */
  while (!host->disk->file[file][at])
    at = 40 + sim_draw(fleet->sim, used - 40);
  host->disk->file[file][at] ^= 0x5a;
  host->disk->sure[file][at] ^= 0x5a;
  host_start(host);
  if (!wait_chain(fleet, 3, 15000))
    return false;
  if (host->controller->replica.disk_id == was)
    violation(fleet, "a machine with a bad record votes on as if nothing were");
  acked_stand(fleet);
  return true;
}

static bool a_tail_is_torn(fleet *fleet) {
  if (!fleet_up(fleet))
    return false;
  for (int i = 0; i < 12; i++) {
    char *t = area_text(i % 9);
    op_call *call = fleet_send(fleet, fleet->controller[sim_draw(fleet->sim, 3)], "PUT",
                               "/v1/evacuation", t, NULL, NULL);
    g_free(t);
    sim_run(fleet->sim, (time_us){ (int64_t)sim_draw(fleet->sim, 9000) });
    host *host = fleet->controller[sim_draw(fleet->sim, 3)];
    uint64_t was = host->controller && host->controller->replica.running
                       ? host->controller->replica.disk_id
                       : 0;
    host_power(host);
    sim_run(fleet->sim, time_from_ms(100));
    host_start(host);
    sim_run(fleet->sim, time_from_ms(7000));
    if (was && host->controller->replica.disk_id != was)
      violation(fleet, "a torn tail was taken for a bad record");
    sim_run(fleet->sim, time_from_ms(20000));
    call_free(call);
    if (!wait_chain(fleet, 3, 15000))
      return false;
    acked_stand(fleet);
  }
  return true;
}

static bool a_copy_in_memory_goes_bad(fleet *fleet) {
  if (!fleet_up(fleet))
    return false;
  for (int i = 1; i < 3; i++) {
    host *host = fleet->controller[i];
    g_string_assign(host->controller->replica.committed.resources[RESOURCE_POLICY].text,
                    "{\"loadsPerS\":99}");
    sim_run(fleet->sim, time_from_ms(8000));
    if (strstr(host->controller->replica.committed.resources[RESOURCE_POLICY].text->str, "99"))
      violation(fleet, "the sweep did not find the bad copy of %s", host->self.text);
  }
  if (!wait_chain(fleet, 3, 5000))
    return false;
  acked_stand(fleet);
  return true;
}

static bool bad_settings_are_refused(fleet *fleet) {
  static const struct {
    enum role r;
    const char *text;
    int code;
  } bad[] = {
    { ROLE_ROUTER, "{\"id\":\"v\",\"colour\":1}", E_SETTINGS_KEY },
    { ROLE_ROUTER, "{\"id\":\"\"}", E_SETTINGS_ID },
    { ROLE_ROUTER, "{\"id\":\"v\",\"listen\":\"here:1\"}", E_SETTINGS_ADDRESS },
    { ROLE_ROUTER, "{\"listen\":\"127.0.0.1:99999\"}", E_SETTINGS_ADDRESS },
    { ROLE_ROUTER, "{\"seeds\":[\"127.0.0.1:1\"]}", E_SETTINGS_SEEDS },
    { ROLE_ROUTER, "{\"data\":\"/tmp\"}", E_SETTINGS_KEY },
    { ROLE_ROUTER, "[]", E_SETTINGS_FILE },
    { ROLE_ROUTER, "{", E_SETTINGS_FILE },
    { ROLE_CONTROLLER, "{\"founders\":[\"a\"]}", E_SETTINGS_SEEDS },
    { ROLE_CONTROLLER, "{\"fileMb\":1}", E_SETTINGS_KEY },
    { ROLE_CONTROLLER,
      "{\"id\":\"m\",\"area\":\"n\",\"listen\":\"127.0.0.1:1\",\"seeds\":[\"127.0.0.1:1\",\"127.0.0.1:2\",\"127.0.0.1:3\"],\"data\":\"/no/such/folder\"}",
      E_SETTINGS_DATA },
    { ROLE_CONTROLLER,
      "{\"id\":\"m\",\"area\":\"n\",\"listen\":\"127.0.0.1:1\",\"seeds\":[\"127.0.0.1:1\",\"127.0.0.1:1\",\"127.0.0.1:3\"]}",
      E_SETTINGS_SEEDS },
    { ROLE_ROUTER,
      "{\"id\":\"m\",\"area\":\"n\",\"listen\":\"127.0.0.1:1\",\"seeds\":[\"127.0.0.1:1\",\"127.0.0.1:2\",\"127.0.0.1:3\"]}",
      E_SETTINGS_ADDRESS }
  };
  for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
    settings v = { 0 };
    error err = { 0 };
    int r = settings_parse(&v, bad[i].r, string_view_of(bad[i].text), "test", &err);
    if (!r)
      r = settings_check(&v, &err);
    if (r != bad[i].code)
      violation(fleet, "%s got %d %s", bad[i].text, r, err.text);
  }
  return true;
}

static bool expressions_are_policies(fleet *fleet) {
  static const struct {
    const char *text;
    int code;
  } bad[] = { { "", E_TOO_LARGE },
              { "rate +", E_FIELD },
              { "rate * speed", E_NAME },
              { "(rate", E_FIELD },
              { "rate rate", E_FIELD },
              { "min(rate)", E_FIELD },
              { "rate / \"x\"", E_FIELD },
              { "((((((((((((((((((((((((((rate))))))))))))))))))))))))))", E_TOO_LARGE },
              { "1+(1+(1+(1+(1+(1+(1+(1+(1+(1+(1+(1+(1+(1+(1+(1+(1+(1+1)))))))))))))))))",
                E_TOO_LARGE } };
  for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
    formula x;
    error err = { 0 };
    int r = formula_compile(&x, bad[i].text, &err);
    if (r != bad[i].code)
      violation(fleet, "\"%s\" got %d %s", bad[i].text, r, err.text);
  }
  static const struct {
    const char *text;
    double is;
  } good[] = {
    { "1 + 2 * 3", 7 },         { "(1 + 2) * 3", 9 }, { "2 - 3 - 4", -5 },
    { "8 / 4 / 2", 1 },         { "-rate", -2 },      { "max(rate, size) + min(1, 0.5)", 4.5 },
    { "rate / (size - 4)", 0 }, { "0/0", 0 },         { "penalty*rate/size", 5 }
  };
  const double v[F_VARIABLES] = { [F_PENALTY] = 10, [F_RATE] = 2, [F_SIZE] = 4 };
  for (size_t i = 0; i < G_N_ELEMENTS(good); i++) {
    formula x;
    error err = { 0 };
    int r = formula_compile(&x, good[i].text, &err);
    if (r || formula_evaluate(&x, v) != good[i].is)
      violation(fleet, "%s is %g (%s)", good[i].text, r ? 0 : formula_evaluate(&x, v), err.text);
  }
  if (!fleet_up(fleet))
    return false;
  op_call *call = fleet_call(
      fleet, fleet->controller[0], "PATCH", "/v1/policy",
      "{\"eviction\":\"mine\",\"utilities\":[{\"id\":\"mine\",\"worth\":\"penalty * rate / size\"}]}",
      NULL, NULL, time_from_ms(5000));
  if (call->status != 200)
    violation(fleet, "an own policy got %d %s", call->status, call->body->str);
  call_free(call);
  call = fleet_call(fleet, fleet->controller[0], "PATCH", "/v1/policy",
                    "{\"utilities\":[{\"id\":\"mine\",\"worth\":\"speed\"}]}", NULL, NULL,
                    time_from_ms(5000));
  if (call->status != 400 || !strstr(call->body->str, "utilities[0].worth"))
    violation(fleet, "a bad expression got %d %s", call->status, call->body->str);
  call_free(call);
  call = fleet_call(fleet, fleet->controller[0], "PATCH", "/v1/policy", "{\"utilities\":null}",
                    NULL, NULL, time_from_ms(5000));
  if (call->status != 400)
    violation(fleet, "an expression in use was dropped: %d", call->status);
  call_free(call);
  fleet->callers->loadgen->plan.zipf = 0.3;
  fleet_traffic(fleet, 6, time_from_ms(15000));
  fleet_quiet(fleet);
  return loadgen_count(fleet->callers->loadgen, OUTCOME_DONE) >
         (int)fleet->callers->loadgen->requests->len / 3;
}

static bool two_wire_versions_side_by_side(fleet *fleet) {
  list_for_each (h, &fleet->sim->hosts, host, link)
    if (h->role <= HOST_ROUTER)
      h->settings.wire_version = 1 + (unsigned)sim_draw(fleet->sim, 2);
  if (!fleet_up(fleet))
    return false;
  check_watch(fleet);
  go(fleet, 5);
  /* one machine after the other is brought to the young version, and two back */
  host *all[16];
  int n = 0;
  for (int i = 0; i < 3; i++)
    all[n++] = fleet->controller[2 - i];
  for (int i = 0; i < fleet->routers; i++)
    all[n++] = fleet->router[i];
  for (int i = 0; i < n + 2; i++) {
    host *h = all[i % n];
    h->settings.wire_version = i < n ? 2 : 1;
    if (h->role == HOST_CONTROLLER) {
      controller_drain(h->controller);
      sim_run(fleet->sim, time_from_ms(2500));
    } else {
      router_drain(h->router);
      sim_run(fleet->sim, time_from_ms(1500));
    }
    host_kill(h);
    host_start(h);
    if (!wait_chain(fleet, 3, 15000))
      return false;
    sim_run(fleet->sim, time_from_ms(1500));
  }
  char *t = area_text(0);
  if (!fleet_put(fleet, "evacuation", t))
    violation(fleet, "no write over two wire versions");
  g_free(t);
  sim_run(fleet->sim, time_from_ms(3000));
  for (int i = 0; i < fleet->routers; i++)
    if (!config_sync_is_recent(fleet->router[i]->router) ||
        fleet->router[i]->router->node.rpc.refused_wire_versions)
      violation(fleet, "%s is left behind", fleet->router[i]->self.text);
  acked_stand(fleet);
  fleet_quiet(fleet);
  return loadgen_count(fleet->callers->loadgen, OUTCOME_DONE) >
         (int)fleet->callers->loadgen->requests->len / 2;
}

/* bytes that were sound once, and then were not */
static void spoil(sim *sim, GString *b) {
  int n = 1 + (int)sim_draw(sim, 6);
  for (int i = 0; i < n && b->len; i++) {
    size_t at = sim_draw(sim, b->len);
    switch (sim_draw(sim, 4)) {
    case 0:
      b->str[at] = (char)sim_draw(sim, 256);
      break;
    case 1: {
      size_t k = 1 + sim_draw(sim, 9);
      g_string_erase(b, at, MIN(b->len - at, k));
      break;
    }
    case 2:
      g_string_insert_len(b, at, b->str + sim_draw(sim, b->len), 1);
      break;
    case 3:
      b->str[at] ^= (char)(1 << sim_draw(sim, 8));
      break;
    }
  }
}

static bool readers_meet_spoilt_bytes(fleet *fleet) {
  sim *sim = fleet->sim;
  char *cat = fleet_catalogue(6, 4, NULL);
  const char *good[] = {
    cat,
    "{\"loadsPerS\":2,\"kinds\":[{\"id\":\"a\",\"share\":0.5}],\"rules\":[{\"when\":{\"kind\":\"a\"},\"then\":[\"enrol\",\"select\",{\"op\":\"hold\",\"ms\":5},\"proxy\",\"answer\"]}],\"utilities\":[{\"id\":\"u\",\"worth\":\"rate*min(1,size)\"}]}",
    "{\"areas\":[{\"area\":\"north\",\"share\":0.5}]}"
  };
  int taken = 0, refused = 0;
  for (int i = 0; i < 1500; i++) {
    GString *b = g_string_new(good[i % 3]);
    if (i > 2)
      spoil(sim, b);
    error err = { 0 };
    json *j[RESOURCE_COUNT] = { 0 };
    j[i % 3] = json_parse(string_view_of_gstring(b), &err);
    if (i % 3 == 2)
      j[0] = json_parse(string_view_of(cat), NULL);
    config *config = j[i % 3] ? config_compile((const json **)j, &err) : NULL;
    if (config)
      taken++;
    else
      refused++;
    if (!config && !err.code)
      violation(fleet, "refused without a code: %s", b->str);
    config_free(config);
    for (int k = 0; k < RESOURCE_COUNT; k++)
      json_free(j[k]);
    g_string_free(b, TRUE);
    b = g_string_new("penalty * (rate + 0.5) / max(size, 2) - idle");
    spoil(sim, b);
    formula x;
    const double v[F_VARIABLES] = { 1, 2, 3, 4, 5, 6 };
    if (!formula_compile(&x, b->str, NULL))
      formula_evaluate(&x, v);
    g_string_free(b, TRUE);
  }
  g_free(cat);
  if (!taken || !refused)
    violation(fleet, "%d taken, %d refused", taken, refused);
  /* disks: any bytes may have gone bad while the power was off; the machine starts, sound or as a
   * new member */
  if (!fleet_up(fleet))
    return false;
  for (int i = 0; i < 12; i++) {
    host *host = fleet->controller[i % 3];
    host_power(host);
    disk *disk = host->disk;
    for (int k = 0, n = 1 + (int)sim_draw(sim, 40); k < n; k++) {
      unsigned file = sim_draw(sim, 4);
      size_t at = sim_draw(sim, sim_draw(sim, 2) ? 4096 : disk->size);
      disk->file[file][at] = disk->sure[file][at] = (char)sim_draw(sim, 256);
    }
    host_start(host);
    /* a machine whose disk was bad is out before it is back; two at once are a loss that is not
     * promised */
    sim_run(fleet->sim, time_from_ms(2500));
    if (!wait_chain(fleet, 3, 20000))
      return false;
  }
  acked_stand(fleet);
  return true;
}

static bool configurations_grow_large(fleet *fleet) {
  for (int i = 0; i < 3; i++)
    fleet->controller[i]->settings.log_file_bytes = 8 << 20;
  if (!fleet_up(fleet))
    return false;
  check_watch(fleet);
  char *big = fleet_catalogue(12000, 12000, NULL);
  uint64_t v = fleet_put(fleet, "catalogue", big);
  if (!v)
    violation(fleet, "a catalogue of %zu bytes was not taken", strlen(big));
  g_free(big);
  sim_run(fleet->sim, time_from_ms(2500));
  for (int i = 0; i < fleet->routers; i++)
    if (fleet->router[i]->router->config_version < v)
      violation(fleet, "R4 %s has not got the large catalogue after 2.5 s",
                fleet->router[i]->self.text);
  /* it comes in parts to a machine with an empty disk, and stands a loss of power */
  host *host = fleet->controller[sim_draw(fleet->sim, 3)];
  host_power(host);
  host_wipe(host);
  host_start(host);
  if (!wait_chain(fleet, 3, 20000))
    return false;
  for (int i = 0; i < 3; i++)
    host_power(fleet->controller[i]);
  for (int i = 0; i < 3; i++)
    host_start(fleet->controller[i]);
  if (!wait_chain(fleet, 3, 20000))
    return false;
  acked_stand(fleet);
  GString *over = g_string_new("{\"areas\":[");
  while (over->len < (1 << 20))
    json_appendf(over, "%s\"area-with-a-long-name-%zu\"",
                 over->str[over->len - 1] == '[' ? "" : ",", over->len);
  g_string_append(over, "]}");
  op_call *call = fleet_call(fleet, fleet->controller[0], "PUT", "/v1/catalogue", over->str, NULL,
                             NULL, time_from_ms(9000));
  for (int i = 0; i < 10 && call->status == 503; i++) {
    call_free(call);
    sim_run(fleet->sim, time_from_ms(500));
    call = fleet_call(fleet, fleet->controller[0], "PUT", "/v1/catalogue", over->str, NULL, NULL,
                      time_from_ms(9000));
  }
  if (call->status != 413 && call->status != 400)
    violation(fleet, "a resource of %zu bytes got %d", over->len, call->status);
  call_free(call);
  g_string_free(over, TRUE);
  return true;
}

static bool callers_read_slowly(fleet *fleet) {
  if (!fleet_up(fleet))
    return false;
  check_watch(fleet);
  for (int i = 0; i < fleet->engines; i++)
    fleet->engine[i]->engine->faults.token_ms = 1;
  fleet->callers->slow = true;
  for (int i = 0; i < 4; i++)
    loadgen_send(fleet->callers->loadgen, fleet->router[i % fleet->routers]->addr, id_of_text("m0"),
                 id_of_text(""), id_of_text("live"), 12000, false);
  sim_run(fleet->sim, time_from_ms(45000));
  int running = 0;
  for (int i = 0; i < fleet->engines; i++)
    running += fleet->engine[i]->engine->running;
  if (running)
    violation(fleet, "%d streams run on for callers who do not read", running);
  fleet->callers->slow = false;
  fleet_quiet(fleet);
  if (loadgen_count(fleet->callers->loadgen, OUTCOME_DONE))
    violation(fleet, "a stream that was cut looks complete");
  return true;
}

static bool a_run_is_lost_and_the_next_is_refused(fleet *fleet) {
  if (!fleet_up(fleet))
    return false;
  check_watch(fleet);
  loadgen_send(fleet->callers->loadgen, fleet->router[0]->addr, id_of_text("m0"), id_of_text(""),
               id_of_text("live"), 4, false);
  fleet_quiet(fleet);
  /* the engine that holds the model loses a run; the other one loads it, and then refuses */
  for (int i = 0; i < fleet->engines; i++) {
    engine_sim *engine = fleet->engine[i]->engine;
    if (engine->streams->len)
      engine->faults.die_early = 1;
    else
      engine->faults.streams_most = -1;
  }
  for (int i = 0; i < 6; i++) {
    loadgen_send(fleet->callers->loadgen, fleet->router[i % fleet->routers]->addr, id_of_text("m0"),
                 id_of_text(""), id_of_text("live"), 4, i % 3 != 1);
    sim_run(fleet->sim, time_from_ms(300));
  }
  fleet_quiet(fleet);
  if (!loadgen_count(fleet->callers->loadgen, OUTCOME_UNKNOWN))
    violation(fleet, "nobody was told that his run is not known");
  return true;
}

static bool a_hot_model_gets_copies(fleet *fleet) {
  if (!fleet_up(fleet))
    return false;
  check_watch(fleet);
  fleet->callers->loadgen->plan.zipf = 8;
  fleet->callers->loadgen->plan.with_adapter = 0;
  fleet->callers->loadgen->plan.tokens = 120;
  go(fleet, 20);
  sim_run(fleet->sim, time_from_ms(40000));
  int copies = 0;
  for (int i = 0; i < fleet->engines; i++)
    list_for_each (x, &fleet->engine[i]->engine->items, engine_sim_item, link)
      copies += !strcmp(x->model.text, "m0") && x->state == 'u';
  fleet_quiet(fleet);
  if (copies < 2)
    violation(fleet, "one copy of a model that all ask for");
  return loadgen_count(fleet->callers->loadgen, OUTCOME_DONE) >
         (int)fleet->callers->loadgen->requests->len * 8 / 10;
}

static bool disks_stall_fill_and_fail(fleet *fleet) {
  if (!fleet_up(fleet))
    return false;
  check_watch(fleet);
  go(fleet, 3);
  for (int i = 0; i < 4; i++) {
    host *host = fleet->controller[sim_draw(fleet->sim, 3)];
    int how = sim_draw(fleet->sim, 4);
    if (how == 0)
      host->disk->stall = time_add(fleet->sim->now, time_from_ms(8000));
    if (how == 1)
      host->disk->full = true;
    if (how == 2)
      host->disk->fails = true;
    if (how == 3)
      host->disk->slow_ms = 150;
    char *t = area_text((int)sim_draw(fleet->sim, 9));
    if (!fleet_put(fleet, "evacuation", t))
      violation(fleet, "no write while one disk of three is out");
    sim_run(fleet->sim, time_from_ms(6000));
    if (!fleet_put(fleet, "evacuation", t))
      violation(fleet, "no write after the chain was mended");
    g_free(t);
    sim_run(fleet->sim, time_from_ms(5000));
    host->disk->full = host->disk->fails = false;
    host->disk->slow_ms = 0;
    if (how == 1 || how == 2) {
      host_kill(host);
      host_start(host);
    }
    if (!wait_chain(fleet, 3, 20000))
      return false;
    acked_stand(fleet);
  }
  fleet_quiet(fleet);
  return true;
}

static bool a_stalled_head_keeps_contracts(fleet *fleet) {
  if (!fleet_up(fleet))
    return false;
  host *host = fleet_head(fleet), *was = fleet_holder(fleet, "engine:engine-1");
  uint64_t epoch = singleton_lease_epoch(was->router, "engine:engine-1");
  host->disk->stall = time_add(fleet->sim->now, time_from_ms(1500));
  op_call *call = fleet_send(fleet, host, "PUT", "/v1/evacuation", "{\"areas\":[]}", NULL, NULL);
  for (int i = 0; i < 100; i++) {
    sim_run(fleet->sim, time_from_ms(50));
    if (!singleton_lease_epoch(was->router, "engine:engine-1")) {
      violation(fleet, "a stalled disk let a contract run out");
      break;
    }
  }
  if (singleton_lease_epoch(was->router, "engine:engine-1") != epoch)
    violation(fleet, "the contract changed hands");
  sim_run(fleet->sim, time_from_ms(26000));
  call_free(call);
  return true;
}

static bool everyone_comes_at_once(fleet *fleet) {
  if (!fleet_up(fleet))
    return false;
  check_watch(fleet);
  fleet->callers->loadgen->plan.tokens = 60;
  go(fleet, 10);
  sim_run(fleet->sim, time_from_ms(8000));
  fleet->callers->loadgen->stop = true;
  sim_run(fleet->sim, time_from_ms(500));
  go(fleet, 250);
  sim_run(fleet->sim, time_from_ms(8000));
  fleet->callers->loadgen->stop = true;
  fleet_quiet(fleet);
  /* who is sent away is sent away at once, and the small weighty kind is not starved */
  int n[3] = { 0 }, done[3] = { 0 };
  GPtrArray *all = fleet->callers->loadgen->requests;
  for (guint i = 0; i < all->len; i++) {
    loadgen_request *request = all->pdata[i];
    int at = !strcmp(request->kind.text, "live") ? 0 : !strcmp(request->kind.text, "short") ? 1 : 2;
    n[at]++;
    done[at] += request->how == OUTCOME_DONE;
    if (request->code == E_QUEUE_FULL || request->code == E_LOAD_SHED)
      if (time_sub(request->to, request->from).us > 200000) {
        violation(fleet, "a caller was shed only after %.1f s",
                  (double)time_sub(request->to, request->from).us / 1e6);
        break;
      }
  }
  if (g_getenv("SIM_COUNT")) {
    GString *b = g_string_new(NULL);
    loadgen_json(fleet->callers->loadgen, b);
    fprintf(stderr, "  live %d/%d short %d/%d deferred %d/%d %s", done[0], n[0], done[1], n[1],
            done[2], n[2], b->str);
    g_string_free(b, TRUE);
  }
  if ((double)done[2] / n[2] < 0.7 * (double)done[0] / n[0])
    violation(fleet, "the weighty kind starves: %d of %d, live %d of %d", done[2], n[2], done[0],
              n[0]);
  return done[0] > 0;
}

static bool callers_go_away(fleet *fleet) {
  if (!fleet_up(fleet))
    return false;
  check_watch(fleet);
  fleet->callers->loadgen->plan.leave = 0.6;
  fleet->callers->loadgen->plan.tokens = 150;
  go(fleet, 6);
  sim_run(fleet->sim, time_from_ms(15000));
  fleet_quiet(fleet);
  sim_run(fleet->sim, time_from_ms(3000));
  uint64_t cut = 0;
  for (int i = 0; i < fleet->engines; i++) {
    cut += fleet->engine[i]->engine->cut;
    if (fleet->engine[i]->engine->running)
      violation(fleet, "%s runs on for a caller who left", fleet->engine[i]->self.text);
  }
  if (!cut)
    violation(fleet, "no engine heard that its caller left");
  for (int i = 0; i < fleet->routers; i++)
    if (fleet->router[i]->router->open_requests)
      violation(fleet, "%s still counts %d open requests", fleet->router[i]->self.text,
                fleet->router[i]->router->open_requests);
  return true;
}

static bool all_seeds_are_exchanged(fleet *fleet) {
  if (!fleet_up(fleet))
    return false;
  check_watch(fleet);
  sim_run(fleet->sim, time_from_ms(3000));
  for (int i = 0; i < 3; i++) {
    host *old = fleet->controller[i];
    char name[32], addr[48];
    snprintf(name, sizeof name, "controller-%d", i + 4);
    snprintf(addr, sizeof addr, "127.0.1.%d:7000", i + 40);
    host *host = fleet->controller[i + 3] =
        sim_host(fleet->sim, HOST_CONTROLLER, name, old->area.text, addr);
    host->settings = old->settings;
    host->settings.self = host->self;
    g_strlcpy(host->settings.address, addr, sizeof host->settings.address);
    /* a new machine is told of machines that are there; nobody tells the old ones of it */
    for (int k = 0; k < 3; k++)
      g_strlcpy(host->settings.seed_addresses[k], fleet->controller[i + k]->addr,
                sizeof host->settings.seed_addresses[k]);
    host_power(old);
    host_wipe(old);
    if (!wait_chain(fleet, 2, 8000))
      return false;
    fleet->controllers = i + 4;
    host_start(host);
    if (!wait_chain(fleet, 3, 15000))
      return false;
  }
  /* no process listens at any seed; the others still know one another, and one that restarts is
   * found by them */
  host_kill(fleet->router[0]);
  sim_run(fleet->sim, time_from_ms(200));
  host_start(fleet->router[0]);
  sim_run(fleet->sim, time_from_ms(5000));
  if (!config_sync_is_recent(fleet->router[0]->router))
    violation(fleet, "a router whose seeds are all gone does not come back");
  char *t = area_text(2);
  if (!fleet_put(fleet, "evacuation", t))
    violation(fleet, "no write after all seeds went");
  g_free(t);
  acked_stand(fleet);
  return true;
}

static bool engines_are_replaced_one_by_one(fleet *fleet) {
  if (!fleet_up(fleet))
    return false;
  check_watch(fleet);
  go(fleet, 6);
  sim_run(fleet->sim, time_from_ms(8000));
  for (int i = 0; i < 4; i++) {
    host *host = fleet->engine[i];
    platform_sim_mark(fleet->platform->platform, host->self, true, false);
    sim_run(fleet->sim, time_from_ms(4000));
    host_kill(host);
    platform_sim_mark(fleet->platform->platform, host->self, true, true);
    sim_run(fleet->sim, time_from_ms(1500));
    platform_sim_mark(fleet->platform->platform, host->self, false, false);
    host_start(host);
    sim_run(fleet->sim, time_from_ms(4000));
  }
  fleet_quiet(fleet);
  return loadgen_count(fleet->callers->loadgen, OUTCOME_DONE) >
         (int)fleet->callers->loadgen->requests->len / 2;
}

static bool cold_engines_get_few_streams(fleet *fleet) {
  if (!fleet_up(fleet))
    return false;
  check_watch(fleet);
  fleet->callers->loadgen->plan.zipf = 3;
  fleet->callers->loadgen->plan.with_adapter = 0;
  fleet->callers->loadgen->plan.tokens = 100;
  go(fleet, 12);
  sim_run(fleet->sim, time_from_ms(15000));
  /* the engine that serves most is restarted; its young run must not be flooded */
  int at = 0;
  for (int i = 0; i < fleet->engines; i++)
    if (fleet->engine[i]->engine->streams->len > fleet->engine[at]->engine->streams->len)
      at = i;
  host *host = fleet->engine[at];
  host_kill(host);
  sim_run(fleet->sim, time_from_ms(300));
  host_start(host);
  time_us from = fleet->sim->now;
  int most = 0;
  for (int i = 0; i < 20; i++) {
    sim_run(fleet->sim, time_from_ms(50));
    most = MAX(most, host->engine->running);
  }
  (void)from;
  /* slow start of 5 s to 16 streams: in the first second at most a fifth, and what one router may
   * not know of another */
  if (most > 4 + fleet->routers)
    violation(fleet, "R11 a cold engine ran %d streams within its first second", most);
  sim_run(fleet->sim, time_from_ms(5000));
  fleet_quiet(fleet);
  return true;
}

static bool garbage_comes_from_peers(fleet *fleet) {
  if (!fleet_up(fleet))
    return false;
  check_watch(fleet);
  go(fleet, 5);
  for (int i = 0; i < 300; i++) {
    host *host = sim_draw(fleet->sim, 2) ? fleet->controller[sim_draw(fleet->sim, 3)]
                                         : fleet->router[sim_draw(fleet->sim, fleet->routers)];
    char buf[300];
    size_t n = 1 + sim_draw(fleet->sim, sizeof buf - 1);
    for (size_t k = 0; k < n; k++)
      buf[k] = (char)sim_draw(fleet->sim, 256);
    host->world.on_message(host->world.on_message_context, (string_view){ buf, n });
    /* a message that reads well and is wrong */
    Wire__NodeInfo self = WIRE__NODE_INFO__INIT;
    self.id = "stranger";
    self.address = "127.0.9.9:1";
    self.zone = "north";
    self.nonce = 7;
    self.role = ROLE_CONTROLLER;
    Wire__ReplicateRequest p = WIRE__REPLICATE_REQUEST__INIT;
    Wire__PrepareRequest q = WIRE__PREPARE_REQUEST__INIT;
    Wire__SingletonLeaseRequest d = WIRE__SINGLETON_LEASE_REQUEST__INIT;
    Wire__ViewAnnouncement t = WIRE__VIEW_ANNOUNCEMENT__INIT;
    Wire__Envelope m =
        sim_draw(fleet->sim, 2)   ? wire_envelope(WIRE__ENVELOPE__BODY_REPLICATE_REQUEST, &p)
        : sim_draw(fleet->sim, 2) ? wire_envelope(WIRE__ENVELOPE__BODY_PREPARE_REQUEST, &q)
        : sim_draw(fleet->sim, 2) ? wire_envelope(WIRE__ENVELOPE__BODY_SINGLETON_LEASE_REQUEST, &d)
                                  : wire_envelope(WIRE__ENVELOPE__BODY_VIEW_ANNOUNCEMENT, &t);
    m.version = sim_draw(fleet->sim, 4);
    m.from = &self;
    m.call = 9;
    uint8_t out[200];
    size_t k = wire__envelope__pack(&m, out);
    host->world.on_message(host->world.on_message_context, (string_view){ (char *)out, k });
    sim_run(fleet->sim, time_from_ms(20));
  }
  if (!fleet_put(fleet, "evacuation", "{\"areas\":[]}"))
    violation(fleet, "no write after the garbage");
  fleet_quiet(fleet);
  return loadgen_count(fleet->callers->loadgen, OUTCOME_DONE) > 0;
}

static bool bad_requests_come(fleet *fleet) {
  static const struct {
    const char *text;
    int status, code;
  } bad[] = { { "", 400, E_JSON },
              { "[1]", 400, E_TYPE },
              { "{\"model\":7}", 400, E_NAME },
              { "{}", 400, E_FIELD },
              { "{\"model\":\"none\"}", 404, E_UNKNOWN_MODEL },
              { "{\"model\":\"m1\",\"adapter\":\"a0\"}", 404, E_UNKNOWN_MODEL },
              { "{\"model\":\"m1\",\"kind\":\"none\"}", 400, E_NAME },
              { "{\"model\":\"m 1\"}", 400, E_NAME },
              { "{\"model\":\"m1\"", 400, E_JSON },
              { "{\"model\":\"huge\"}", 422, E_NO_ENGINE_FITS } };
  if (!fleet_up(fleet))
    return false;
  op_call *call = fleet_call(
      fleet, fleet->controller[0], "PATCH", "/v1/catalogue",
      "{\"models\":[{\"id\":\"m0\",\"weightsMb\":100},{\"id\":\"m1\",\"weightsMb\":100},{\"id\":\"huge\",\"weightsMb\":900000}],\"adapters\":[{\"id\":\"a0\",\"model\":\"m0\"}]}",
      NULL, NULL, time_from_ms(5000));
  if (call->status != 200)
    violation(fleet, "patch got %d %s", call->status, call->body->str);
  call_free(call);
  sim_run(fleet->sim, time_from_ms(2000));
  for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
    call = fleet_call(fleet, fleet->router[0], "POST", "/v1/generate", bad[i].text, NULL, NULL,
                      time_from_ms(9000));
    json *json = json_parse(string_view_of_gstring(call->body), NULL);
    if (call->status != bad[i].status || (int)json_number(json, "code", 0) != bad[i].code)
      violation(fleet, "%s got %d, %s", bad[i].text, call->status, call->body->str);
    json_free(json);
    call_free(call);
  }
  return true;
}

static bool a_blank_machine_hears_of_a_fleet(fleet *fleet) {
  if (!fleet_up(fleet))
    return false;
  check_watch(fleet);
  uint64_t fleet_id = fleet->controller[0]->controller->replica.view.fleet_id;
  /* two of three lose their disks: no majority is left, and nobody may found the fleet anew over
   * the one that knows */
  for (int i = 0; i < 2; i++) {
    host_power(fleet->controller[i]);
    host_wipe(fleet->controller[i]);
  }
  for (int i = 0; i < 2; i++)
    host_start(fleet->controller[i]);
  sim_run(fleet->sim, time_from_ms(20000));
  for (int i = 0; i < 3; i++) {
    uint64_t is = fleet->controller[i]->controller->replica.view.fleet_id;
    if (is && is != fleet_id)
      violation(fleet, "%s founded another fleet", fleet->controller[i]->self.text);
  }
  if (fleet_head(fleet))
    violation(fleet, "a minority acts");
  return true;
}

/* the source's table, through the same victim choice that the holder uses */
static bool the_paper_is_met(fleet *fleet) {
  trace *t = trace_reference_example();
  replay_result b = policy_replay_run(t, "belady", 2, NULL, fleet->seed),
                o = policy_replay_run(t, "oracle", 2, NULL, fleet->seed);
  trace_free(t);
  if (b.loads != 8 || b.delay_ms != 17)
    violation(fleet, "BeladyMIN misses %" PRIu64 " times at cost %g, not 8 at 17", b.loads,
              b.delay_ms);
  if (o.loads != 8 || o.delay_ms != 13)
    violation(fleet, "the oracle misses %" PRIu64 " times at cost %g, not 8 at 13", o.loads,
              o.delay_ms);
  /* where things are equal the rule is popularity's; over drawn traces it beats chance, and the
   * oracle beats it */
  double worth[3] = { 0 };
  for (int i = 1; i <= 5; i++) {
    trace_plan p = { .model_count = 40,
                     .request_count = 1500,
                     .zipf_exponent = 0.9,
                     .requests_per_s = 1,
                     .burst_probability = 0.01,
                     .seed = fleet->seed * 100 + i };
    trace *d = trace_generate(&p);
    uint64_t room = trace_total_mb(d) * 3 / 10;
    worth[0] += policy_replay_run(d, "cremebrulee", room, NULL, 1).delay_ms;
    worth[1] += policy_replay_run(d, "random", room, NULL, 1).delay_ms;
    worth[2] += policy_replay_run(d, "oracle", room, NULL, 1).delay_ms;
    for (guint k = 0; k < d->models->len; k++) {
      trace_model *x = &g_array_index(d->models, trace_model, k);
      x->weights_mb = 1000;
      x->load_ms = 2000;
    }
    /* the rule written as an expression makes the very same choices */
    replay_result w1 = policy_replay_run(d, "cremebrulee", room, NULL, 1),
                  w2 = policy_replay_run(d, "expr:penalty * rate / size", room, NULL, 1);
    if (w1.loads != w2.loads || w1.delay_ms != w2.delay_ms || w1.wasted != w2.wasted)
      violation(fleet, "as an expression the rule loads %" PRIu64 " times, built in %" PRIu64,
                w2.loads, w1.loads);
    replay_options same = { .initial_load_ms = 2000 };
    replay_result c = policy_replay_run(d, "cremebrulee", 12000, &same, 1),
                  q = policy_replay_run(d, "popularity", 12000, &same, 1);
    if (c.loads != q.loads || c.delay_ms != q.delay_ms)
      violation(fleet, "with equal things the rule loads %" PRIu64 " times and popularity %" PRIu64,
                c.loads, q.loads);
    trace_free(d);
  }
  if (!(worth[2] < worth[0] && worth[0] < worth[1]))
    violation(fleet, "delays: oracle %g, rule %g, random %g", worth[2], worth[0], worth[1]);
  return true;
}

/* the doctor, called from the operator's machine */
typedef struct {
  fleet *fleet;
  GArray *wal_condition;
  bool done;
} visit_to;
static void doctor_run(void *p) {
  visit_to *v = p;
  char *at[8];
  for (int i = 0; i < v->fleet->controllers; i++)
    at[i] = v->fleet->controller[i]->addr;
  v->wal_condition = doctor_examine(&v->fleet->operator->world, at, v->fleet->controllers);
  v->done = true;
}
static bool doctor_done(sim *sim, void *p) {
  (void)sim;
  return ((visit_to *)p)->done;
}

/* finds one code (0: nothing at all), and says what else when it does not */
void doctor_says(fleet *fleet, int code, const char *when) {
  visit_to v = { fleet, NULL, false };
  task_start(&fleet->operator->world.tasks, "doctor", doctor_run, &v);
  if (!sim_until(fleet->sim, doctor_done, &v, time_from_ms(200000))) {
    violation(fleet, "the doctor does not end");
    return;
  }
  bool hit = !code && !v.wal_condition->len;
  for (guint i = 0; i < v.wal_condition->len; i++)
    hit |= g_array_index(v.wal_condition, finding, i).code == code;
  if (!hit) {
    violation(fleet, "given %s, the doctor does not say %d", when, code);
    for (guint i = 0; i < v.wal_condition->len; i++)
      violation(fleet, "  but %d %s", g_array_index(v.wal_condition, finding, i).code,
                g_array_index(v.wal_condition, finding, i).evidence);
  }
  g_array_free(v.wal_condition, TRUE);
}

static bool the_doctor_comes(fleet *fleet) {
  if (!fleet_up(fleet))
    return false;
  fleet_traffic(fleet, 5, time_from_ms(8000));
  fleet_quiet(fleet);
  doctor_says(fleet, 0, "a sound fleet");
  host_kill(fleet->controller[2]);
  sim_run(fleet->sim, time_from_ms(5000));
  doctor_says(fleet, D_CHAIN, "a lost controller");
  doctor_says(fleet, D_NO_ANSWER, "a lost controller");
  doctor_says(fleet, D_SEED, "a lost seed");
  host_start(fleet->controller[2]);
  if (!wait_chain(fleet, 3, 15000))
    return false;
  sim_run(fleet->sim, time_from_ms(3000));
  for (int i = 0; i < 3; i++)
    sim_part(fleet->sim, fleet->router[0]->self.text, fleet->controller[i]->self.text, true);
  sim_run(fleet->sim, time_from_ms(5000));
  doctor_says(fleet, 0, "a router cut off from the core alone, which others confirm");
  for (int i = 1; i < fleet->routers; i++)
    sim_part(fleet->sim, fleet->router[0]->self.text, fleet->router[i]->self.text, true);
  sim_run(fleet->sim, time_from_ms(5000));
  doctor_says(fleet, D_STALE, "a router cut off");
  sim_mend(fleet->sim);
  sim_run(fleet->sim, time_from_ms(6000));
  for (int i = 1; i < 3; i++)
    sim_part(fleet->sim, fleet->controller[0]->self.text, fleet->controller[i]->self.text, true);
  sim_run(fleet->sim, time_from_ms(5000));
  doctor_says(fleet, D_VIEWS_DIFFER, "a core cut in two");
  sim_mend(fleet->sim);
  if (!wait_chain(fleet, 3, 15000))
    return false;
  sim_run(fleet->sim, time_from_ms(8000));
  host *h = fleet_holder(fleet, "engine:engine-1");
  host_kill(h);
  doctor_says(fleet, D_NO_SINGLETON_HOLDER, "a lost holder");
  host_start(h);
  sim_run(fleet->sim, time_from_ms(12000));
  for (int i = 0; i < 3; i++)
    fleet->controller[i]->disk->slow_ms = 350;
  if (!fleet_put(fleet, "evacuation", "{\"areas\":[]}"))
    return false;
  doctor_says(fleet, D_DISK, "slow disks");
  for (int i = 0; i < 3; i++)
    fleet->controller[i]->disk->slow_ms = 0;
  if (!fleet_put(fleet, "evacuation", "{\"areas\":[]}"))
    return false;
  sim_run(fleet->sim, time_from_ms(3000));
  host_kill(fleet->platform);
  sim_run(fleet->sim, time_from_ms(8000));
  doctor_says(fleet, D_ENGINE_LIST, "no platform");
  host_start(fleet->platform);
  sim_run(fleet->sim, time_from_ms(3000));
  fleet->sim->delay_ms = 300;
  doctor_says(fleet, D_CLOCK, "slow answers");
  fleet->sim->delay_ms = 1;
  sim_run(fleet->sim, time_from_ms(8000));
  if (!wait_chain(fleet, 3, 15000))
    return false;
  host *twin = sim_host(fleet->sim, HOST_ROUTER, "router-1", "mid", "127.0.2.99:7000");
  twin->settings = fleet->router[0]->settings;
  g_strlcpy(twin->settings.address, twin->addr, sizeof twin->settings.address);
  host_start(twin);
  sim_run(fleet->sim, time_from_ms(12000));
  doctor_says(fleet, D_DUPLICATE_NAME, "two of one name");
  host_kill(twin);
  sim_run(fleet->sim, time_from_ms(9000));
  engine_sim *g = fleet->engine[0]->engine;
  g->faults.old_reports = true;
  sim_run(fleet->sim, time_from_ms(1500));
  for (int i = 0; i < fleet->routers; i++) {
    engine *engine = engine_find(fleet->router[i]->router, fleet->engine[0]->self);
    if (engine)
      list_for_each (x, &engine->residents, resident_model, link)
        x->state = RESIDENT_UNLOADING;
  }
  g->faults.old_reports = false;
  g->seq = 0;
  doctor_says(fleet, D_RESIDENT_DIFFERS, "an engine whose reports went back");
  host_kill(fleet->engine[0]);
  sim_run(fleet->sim, time_from_ms(500));
  host_start(fleet->engine[0]);
  sim_run(fleet->sim, time_from_ms(3000));
  router_drain(fleet->router[1]->router);
  sim_run(fleet->sim, time_from_ms(1000));
  doctor_says(fleet, D_DRAINING, "a router that leaves");
  op_call *call = fleet_call(
      fleet, fleet->controller[0], "PATCH", "/v1/catalogue",
      "{\"models\":[{\"id\":\"m0\",\"weightsMb\":100},{\"id\":\"huge\",\"weightsMb\":900000}],\"adapters\":[]}",
      NULL, NULL, time_from_ms(5000));
  call_free(call);
  doctor_says(fleet, D_FITS_NO_ENGINE, "a model that fits nowhere");
  fleet->router[2]->router->node.rpc.refused_wire_versions = 3;
  doctor_says(fleet, D_VERSION, "messages of another version");
  host *p = fleet_holder(fleet, "pacer");
  if (p) {
    p->router->permits_refused_recently = p->router->permits_granted_recently + 100;
    doctor_says(fleet, D_LOAD_RATE_LIMIT, "a pace that is starved");
  }
  return true;
}

/* a checker that cannot fail proves nothing: each is shown a violation that was seeded for it */
static bool showed(fleet *fleet, const char *what) {
  bool yes = strstr(fleet->faults->str, what) != NULL;
  if (!yes)
    fprintf(stderr, "  the checker of %s saw nothing\n", what);
  return yes;
}

static bool checkers_can_fail(fleet *fleet) {
  if (!fleet_up(fleet))
    return false;
  check_watch(fleet);
  fleet_traffic(fleet, 12, time_from_ms(25000));
  fleet_quiet(fleet);
  if (!check_all(fleet))
    return false;
  engine_sim *engine = fleet->engine[0]->engine;
  loadgen_request *done = NULL;
  for (guint i = 0; i < fleet->callers->loadgen->requests->len; i++) {
    loadgen_request *request = fleet->callers->loadgen->requests->pdata[i];
    if (request->how == OUTCOME_DONE && !request->resumable)
      done = request;
  }
  int shown = 0;
  engine_sim_stream twice = { .how = 'd' };
  g_strlcpy(twice.tag, done->tag, sizeof twice.tag);
  g_array_append_val(engine->streams, twice);
  check_runs(fleet);
  shown += showed(fleet, "R1");
  g_string_truncate(fleet->faults, 0);
  g_array_set_size(engine->streams, engine->streams->len - 1);
  loadgen_attempt *attempt = NULL;
  for (guint i = 0; i < fleet->callers->loadgen->log->len; i++)
    if (g_array_index(fleet->callers->loadgen->log, loadgen_attempt, i).request == done)
      attempt = &g_array_index(fleet->callers->loadgen->log, loadgen_attempt, i);
  attempt->how = OUTCOME_NOT_RUN;
  check_runs(fleet);
  shown += showed(fleet, "R2");
  g_string_truncate(fleet->faults, 0);
  attempt->how = OUTCOME_DONE;
  done->how = OUTCOME_WRONG;
  check_runs(fleet);
  shown += showed(fleet, "R3");
  g_string_truncate(fleet->faults, 0);
  done->how = OUTCOME_DONE;
  note *mark = g_new0(note, 1);
  *mark = (note){ .at = { 1 }, .status = 200, .mark = 420, .version = 9 };
  g_ptr_array_add(fleet->notes, mark);
  probe pr = { .sent = fleet->sim->now, .at = fleet->sim->now, .status = 200 };
  g_array_append_val(fleet->probes, pr);
  check_marks(fleet);
  shown += showed(fleet, "R4");
  g_string_truncate(fleet->faults, 0);
  mark->mark = 0;
  ack a = { 1000000, RESOURCE_POLICY, fleet->sim->now };
  g_array_append_val(fleet->acks, a);
  acked_stand(fleet);
  shown += showed(fleet, "R5");
  g_string_truncate(fleet->faults, 0);
  g_array_set_size(fleet->acks, fleet->acks->len - 1);
  int busy = 0;
  for (int i = 0; i < fleet->engines; i++)
    if (fleet->engine[i]->engine->streams->len)
      busy = i;
  platform_sim_change mk = { { 0 }, fleet->engine[busy]->self, true, false };
  g_array_append_val(fleet->platform->platform->marks, mk);
  check_leaving(fleet);
  shown += showed(fleet, "R6");
  g_string_truncate(fleet->faults, 0);
  g_array_set_size(fleet->platform->platform->marks, 0);
  note nt = { .at = { 1 },
              .status = 200,
              .which = RESOURCE_EVACUATION,
              .version = 1,
              .text = g_strdup_printf("{\"areas\":[{\"area\":\"%s\"}]}",
                                      fleet->engine[busy]->area.text) };
  g_ptr_array_add(fleet->notes, g_memdup2(&nt, sizeof nt));
  check_emptied(fleet);
  shown += showed(fleet, "R7");
  g_string_truncate(fleet->faults, 0);
  ((note *)fleet->notes->pdata[fleet->notes->len - 1])->which = -1;
  engine_sim_order o = {
    .at = fleet->sim->now, .what = 'u', .holder = id_of_text("nobody"), .epoch = 0
  };
  g_array_append_val(fleet->engine[busy]->engine->orders, o);
  check_orders(fleet);
  shown += showed(fleet, "R8");
  g_string_truncate(fleet->faults, 0);
  g_array_set_size(fleet->engine[busy]->engine->orders,
                   fleet->engine[busy]->engine->orders->len - 1);
  engine->past = 1;
  check_room(fleet);
  shown += showed(fleet, "R9");
  g_string_truncate(fleet->faults, 0);
  engine->past = 0;
  o = (engine_sim_order){ .at = fleet->sim->now, .what = 'l' };
  guint n = engine->orders->len;
  for (int i = 0; i < 9; i++)
    g_array_append_val(engine->orders, o);
  check_pace(fleet);
  shown += showed(fleet, "R10");
  g_string_truncate(fleet->faults, 0);
  g_array_set_size(engine->orders, n);
  engine_sim_refusal no = { .at = fleet->sim->now };
  g_strlcpy(no.tag, done->tag, sizeof no.tag);
  for (int i = 0; i < 100; i++)
    g_array_append_val(engine->refusals, no);
  check_seconds(fleet);
  shown += showed(fleet, "R11");
  g_string_truncate(fleet->faults, 0);
  g_array_set_size(engine->refusals, engine->refusals->len - 100);
  time_us loss = time_sub(fleet->sim->now, time_from_ms(19000));
  for (guint i = 0; i < fleet->callers->loadgen->requests->len; i++) {
    loadgen_request *request = fleet->callers->loadgen->requests->pdata[i];
    if (request->from.us > loss.us + 12000000)
      request->how = OUTCOME_NOT_RUN;
  }
  check_back(fleet, loss, fleet->sim->now);
  shown += showed(fleet, "R12");
  g_string_truncate(fleet->faults, 0);
  if (shown != 12)
    violation(fleet, "only %d of 12 checkers saw what was seeded", shown);
  return shown == 12;
}

const char *const area_names[3] = { "north", "mid", "south" };

void marks_for(fleet *fleet, int64_t ms, int64_t each) {
  time_us till = time_add(fleet->sim->now, time_from_ms(ms));
  while (fleet->sim->now.us < till.us) {
    fleet_mark(fleet);
    time_us left = time_sub(till, fleet->sim->now);
    sim_run(fleet->sim, left.us < each * 1000 ? left : time_from_ms(each));
  }
}

static const test_case main_tests[] = {
  { "serves", serves, 5, 6, 100 },
  { "checkers_can_fail", checkers_can_fail, 4, 5, 20 },
  { "controllers_die_in_turn", controllers_die_in_turn, 3, 3, 100 },
  { "power_goes_after_an_answer", power_goes_after_an_answer, 2, 2, 200 },
  { "a_disk_machine_is_lost_and_replaced", a_disk_machine_is_lost_and_replaced, 3, 2, 200 },
  { "the_same_machine_comes_back_empty", the_same_machine_comes_back_empty, 2, 2, 200 },
  { "an_area_goes_dark", an_area_goes_dark, 6, 6, 100 },
  { "all_routers_die_at_once", all_routers_die_at_once, 6, 6, 100 },
  { "a_holder_freezes_and_wakes", a_holder_freezes_and_wakes, 5, 5, 100 },
  { "operators_race", operators_race, 2, 2, 100 },
  { "bad_configurations_come", bad_configurations_come, 2, 2, 20 },
  { "a_router_is_cut_off_from_the_core", a_router_is_cut_off_from_the_core, 5, 5, 100 },
  { "the_core_is_gone", the_core_is_gone, 5, 5, 100 },
  { "the_core_is_cut_in_two", the_core_is_cut_in_two, 3, 3, 200 },
  { "one_link_of_the_core_is_cut", one_link_of_the_core_is_cut, 2, 2, 200 },
  { "an_engine_leaves", an_engine_leaves, 5, 6, 100 },
  { "an_area_is_emptied", an_area_is_emptied, 6, 6, 100 },
  { "rare_models_are_asked_for_at_once", rare_models_are_asked_for_at_once, 5, 6, 100 },
  { "orders_fail_and_room_comes_late", orders_fail_and_room_comes_late, 5, 6, 100 },
  { "every_load_fails", every_load_fails, 4, 4, 50 },
  { "engines_crash_in_the_middle", engines_crash_in_the_middle, 5, 6, 100 },
  { "engines_lie", engines_lie, 4, 5, 50 },
  { "a_record_on_disk_is_bad", a_record_on_disk_is_bad, 2, 2, 200 },
  { "a_tail_is_torn", a_tail_is_torn, 2, 2, 100 },
  { "disks_stall_fill_and_fail", disks_stall_fill_and_fail, 3, 3, 200 },
  { "a_stalled_head_keeps_contracts", a_stalled_head_keeps_contracts, 3, 3, 50 },
  { "everyone_comes_at_once", everyone_comes_at_once, 5, 6, 50 },
  { "callers_go_away", callers_go_away, 4, 5, 50 },
  { "all_seeds_are_exchanged", all_seeds_are_exchanged, 3, 3, 100 },
  { "engines_are_replaced_one_by_one", engines_are_replaced_one_by_one, 5, 6, 100 },
  { "cold_engines_get_few_streams", cold_engines_get_few_streams, 4, 5, 50 },
  { "garbage_comes_from_peers", garbage_comes_from_peers, 3, 3, 50 },
  { "bad_requests_come", bad_requests_come, 2, 3, 20 },
  { "the_doctor_comes", the_doctor_comes, 5, 4, 50 },
  { "a_copy_in_memory_goes_bad", a_copy_in_memory_goes_bad, 2, 2, 50 },
  { "bad_settings_are_refused", bad_settings_are_refused, 1, 1, 17 },
  { "expressions_are_policies", expressions_are_policies, 4, 4, 50 },
  { "two_wire_versions_side_by_side", two_wire_versions_side_by_side, 4, 4, 100 },
  { "readers_meet_spoilt_bytes", readers_meet_spoilt_bytes, 2, 2, 50 },
  { "configurations_grow_large", configurations_grow_large, 3, 2, 34 },
  { "callers_read_slowly", callers_read_slowly, 3, 3, 34 },
  { "a_run_is_lost_and_the_next_is_refused", a_run_is_lost_and_the_next_is_refused, 3, 2, 100 },
  { "the_core_is_cut_off_from_the_routers", the_core_is_cut_off_from_the_routers, 5, 6, 100 },
  { "heads_and_tails_freeze_and_wake", heads_and_tails_freeze_and_wake, 3, 3, 100 },
  { "a_hot_model_gets_copies", a_hot_model_gets_copies, 4, 5, 50 },
  { "the_paper_is_met", the_paper_is_met, 1, 1, 50 },
  { "a_blank_machine_hears_of_a_fleet", a_blank_machine_hears_of_a_fleet, 2, 2, 100 },
  { NULL, NULL, 0, 0, 0 }
};
static const test_case *const lists[] = {
  main_tests,     cut_tests,         loss_tests,     any_tests,     routing_tests, core_tests,
  registry_tests, loader_tests,      budget_tests,   gateway_tests, forward_tests, fields_tests,
  operator_tests, day_tests,         member_tests,   canary_tests,  delta_tests,   placement_tests,
  log_tests,      restart_tests,     wiring_tests,   room_tests,    copy_tests,    order_tests,
  cutoff_tests,   second_loss_tests, catch_up_tests, peer_tests,    fuzz_tests,    disk_tests,
  drain_tests
};

/* the tests run in the order in which they were added */
static size_t turn;
static const test_case *chosen[400];
static void run_one(void) {
  const test_case *t = chosen[turn++];
  /* any test at another size: ROUTERS=8 ENGINES=9 are those of lanka, 7 and 9 of selam */
  const char *v = getenv("ROUTERS"), *e = getenv("ENGINES");
  over(t->name, t->share, t->run, v ? atoi(v) : t->routers, e ? atoi(e) : t->engines);
}

int main(int argc, char **argv) {
  if (getenv("SEEDS"))
    seeds = atoi(getenv("SEEDS"));
  if (getenv("FROM"))
    first = strtoull(getenv("FROM"), NULL, 10);
  if (argc > 2)
    only = strtoull(argv[2], NULL, 10);
  if (argc > 1 && !strcmp(argv[1], "--list")) {
    for (size_t k = 0; k < G_N_ELEMENTS(lists); k++)
      for (const test_case *t = lists[k]; t->name; t++)
        puts(t->name);
    return 0;
  }
  if (CU_initialize_registry() != CUE_SUCCESS)
    return 1;
  CU_pSuite s = CU_add_suite("tests", NULL, NULL);
  size_t n = 0;
  for (size_t k = 0; k < G_N_ELEMENTS(lists); k++)
    for (const test_case *t = lists[k]; t->name && n < G_N_ELEMENTS(chosen); t++)
      if (argc < 2 || !strcmp(argv[1], t->name)) {
        chosen[n++] = t;
        CU_add_test(s, t->name, run_one);
      }
  CU_basic_set_mode(CU_BRM_VERBOSE);
  CU_basic_run_tests();
  int bad = CU_get_number_of_failures();
  CU_cleanup_registry();
  return bad ? 1 : 0;
}
