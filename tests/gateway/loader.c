#include "engine_select.h"
#include "gateway.h"
#include "traffic_reports.h"
#include "tests.h"
#include <stdio.h>

/* The state of a gateway without a network; clock and random numbers are those of an otherwise idle
 * host. */
typedef struct bare_gateway {
  gateway gateway;
  router router;
  routing *routing;
  host *host;
} bare_gateway;

static const char SERVICES[] =
    "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"prefix\":\"/\",\"mode\":\"stream\",\"timeoutMs\":5000,\"targetMs\":600,\"service\":\"s\"}],"
    "\"services\":[{\"name\":\"s\",\"engine\":{\"slots\":8,\"kvTokens\":100000,\"weightsMb\":83000,\"adapterSlots\":2,\"loadsPerS\":2,\"models\":["
    "{\"name\":\"big\",\"weightsMb\":40000,\"loadS\":2,\"adapters\":9,\"adapterMb\":40},{\"name\":\"mid\",\"weightsMb\":30000,\"loadS\":2},"
    "{\"name\":\"low\",\"weightsMb\":10000,\"loadS\":1},{\"name\":\"new\",\"weightsMb\":35000,\"loadS\":2,\"adapters\":3,\"adapterMb\":40}]}}]}";

static bare_gateway *bare_new(fleet *fleet) {
  bare_gateway *bare = g_new0(bare_gateway, 1);
  bare->host = fleet->operator;
  host_start(bare->host);
  bare->gateway.router = &bare->router;
  bare->router.node.world = &bare->host->world;
  bare->router.node.settings.self = id_of_text("router-1");
  bare->router.node.settings.zone = id_of_text("north");
  list_init(&bare->router.node.peers);
  event_history_init(&bare->router.history, bare->router.node.world);
  event_history_fix_window(&bare->router.history, time_from_ms(60000));
  list_init(&bare->gateway.engines.list);
  condition_init(&bare->gateway.engines.changed);
  bare->gateway.router_count = 1;
  bare->gateway.engines.by_id = g_hash_table_new(g_str_hash, g_str_equal);
  bare->gateway.slow_estimates = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  error err = { 0 };
  json *json = json_parse(string_view_of(SERVICES), &err);
  bare->routing = json ? routing_compile(json, &err) : NULL;
  if (!bare->routing)
    fleet_add_violation(fleet, "the test's configuration is refused: %s", err.text);
  json_free(json);
  bare->gateway.routing = bare->routing;
  return bare;
}

static void bare_free(bare_gateway *bare) {
  gateway_engines_free(&bare->gateway);
  g_hash_table_destroy(bare->gateway.slow_estimates);
  g_hash_table_destroy(bare->gateway.engines.by_id);
  event_history_free(&bare->router.history);
  routing_unref(bare->routing);
  g_free(bare);
}

/* applies an engine's heartbeat; models: "model,model+adapter" */
static gateway_engine *heartbeat(bare_gateway *bare, const char *self, const char *addr,
                                 uint64_t count, uint64_t age, const char *models) {
  Wire__EngineState w = WIRE__ENGINE_STATE__INIT;
  w.id = (char *)self;
  w.service = "s";
  w.address = (char *)addr;
  w.zone = "north";
  w.slots = 8;
  w.heartbeat_count = count;
  w.age_ms = age;
  char **parts = g_strsplit(models, ",", -1);
  Wire__ResidentModel r[8], *rp[8];
  char *adapters[8];
  size_t n = 0;
  for (char **p = parts; *p && **p; p++) {
    char *plus = strchr(*p, '+');
    wire__resident_model__init(&r[n]);
    r[n].model = *p;
    if (plus) {
      *plus = 0;
      adapters[n] = plus + 1;
      r[n].n_adapters = 1;
      r[n].adapters = &adapters[n];
    }
    rp[n] = &r[n];
    n++;
  }
  w.n_models = n;
  w.models = rp;
  gateway_engine_update(&bare->gateway, &w);
  g_strfreev(parts);
  return gateway_engine_find(&bare->gateway, self);
}

static void record_requests(bare_gateway *bare, const char *model, const char *adapter, int times) {
  for (int k = 0; k < times; k++)
    event_history_append(
        &bare->router.history,
        (history_event){
            EVENT_ROUTED, { 0 }, id_of_text(""), id_of_text(model), id_of_text(adapter), 0 });
}

#define EXPECT(f, x)                                                                               \
  do {                                                                                             \
    if (!(x))                                                                                      \
      fleet_add_violation(f, "line %d: %s", __LINE__, #x);                                         \
  } while (0)
static bool nearly_equal(double a, double b) {
  return a > b * 0.999 - 1e-9 && a < b * 1.001 + 1e-9;
}

static bool eviction_cost_counts_memory_and_slots(fleet *fleet) {
  bare_gateway *bare = bare_new(fleet);
  const service *service = routing_find_service(bare->routing, "s");
  gateway_engine *engine = heartbeat(bare, "e1", "10.0.0.1:80", 1, 0, "big,mid");
  /* the last 5 s have half of a rate's weight, so half the rate of requests from 9 s ago is left */
  record_requests(bare, "big", "", 60);
  record_requests(bare, "mid", "", 30);
  sim_run(fleet->sim, time_from_ms(9000));
  double mb, drain;
  unsigned slots;
  EXPECT(fleet, nearly_equal(eviction_placement_cost(engine, service, id_of_text("low"),
                                                     id_of_text(""), &mb, &slots, &drain),
                             0));
  EXPECT(fleet, nearly_equal(mb, 10000) && slots == 0);
  /* the model with the lower utility is evicted: a load time of 2 s at half of 0.5 requests/s */
  EXPECT(fleet, nearly_equal(eviction_placement_cost(engine, service, id_of_text("new"),
                                                     id_of_text(""), &mb, &slots, &drain),
                             2000 * 0.5 * 0.5));
  /* an adapter uses a slot and the memory of its weights, plus that of its model if not resident */
  EXPECT(fleet, nearly_equal(eviction_placement_cost(engine, service, id_of_text("big"),
                                                     id_of_text("a1"), &mb, &slots, &drain),
                             0) &&
                    nearly_equal(mb, 40) && slots == 1);
  eviction_placement_cost(engine, service, id_of_text("new"), id_of_text("a1"), &mb, &slots,
                          &drain);
  EXPECT(fleet, nearly_equal(mb, 35040) && slots == 1);
  /* both slots are taken: an adapter is evicted for an adapter, never the base model that it needs
   */
  gateway_engine_mark_loaded(engine, id_of_text("big"), id_of_text("a2"));
  gateway_engine_mark_loaded(engine, id_of_text("big"), id_of_text("a3"));
  record_requests(bare, "big", "a2", 12);
  record_requests(bare, "big", "a3", 6);
  sim_run(fleet->sim, time_from_ms(9000));
  EXPECT(fleet, nearly_equal(eviction_placement_cost(engine, service, id_of_text("big"),
                                                     id_of_text("a1"), &mb, &slots, &drain),
                             25 * 0.1 * 0.5));
  /* reserved memory counts as used */
  engine->load_jobs.reserved_mb = 10000;
  EXPECT(fleet, eviction_placement_cost(engine, service, id_of_text("low"), id_of_text(""), &mb,
                                        &slots, &drain) > 0);
  engine->load_jobs.reserved_mb = 60000;
  EXPECT(fleet, eviction_placement_cost(engine, service, id_of_text("new"), id_of_text(""), &mb,
                                        &slots, &drain) < 0);
  engine->load_jobs.reserved_mb = 0;
  /* a model that is being unloaded keeps its memory and can't be evicted again */
  gateway_engine_mark_unloading(engine, id_of_text("mid"), id_of_text(""));
  EXPECT(fleet, !gateway_engine_has_model(engine, id_of_text("mid"), id_of_text("")) &&
                    gateway_engine_has_model(engine, id_of_text("big"), id_of_text("a2")));
  EXPECT(fleet, eviction_placement_cost(engine, service, id_of_text("new"), id_of_text(""), &mb,
                                        &slots, &drain) > 2000 * 0.9 * 0.5);
  bare_free(bare);
  return true;
}

/* An adapter that is to be unloaded is announced as not loaded at once, so that no gateway sends
 * requests for it that the engine would decline. Its slot counts as used until the engine has
 * confirmed the order. */
static bool an_unloading_adapter_gets_no_requests(fleet *fleet) {
  bare_gateway *bare = bare_new(fleet);
  const service *service = routing_find_service(bare->routing, "s");
  gateway_engine *engine = heartbeat(bare, "e1", "10.0.0.1:80", 1, 0, "big");
  id big = id_of_text("big"), first = id_of_text("a1"), second = id_of_text("a2");
  gateway_engine_mark_loaded(engine, big, first);
  gateway_engine_mark_loaded(engine, big, second);
  record_requests(bare, "big", "a2", 12);
  sim_run(fleet->sim, time_from_ms(700));
  gateway_engine_mark_unloading(engine, big, first);
  EXPECT(fleet, !gateway_engine_has_model(engine, big, first) &&
                    gateway_engine_has_model(engine, big, second));
  double mb, drain;
  unsigned slots;
  EXPECT(fleet,
         eviction_placement_cost(engine, service, big, id_of_text("a3"), &mb, &slots, &drain) > 0 &&
             slots == 1);
  gateway_engine_mark_unloaded(engine, big, first);
  EXPECT(fleet,
         eviction_placement_cost(engine, service, big, id_of_text("a3"), &mb, &slots, &drain) == 0);
  /* an adapter that is loaded again during its unload is listed again, only once */
  gateway_engine_mark_unloading(engine, big, second);
  gateway_engine_mark_loaded(engine, big, second);
  EXPECT(fleet, gateway_engine_has_model(engine, big, second));
  EXPECT(fleet,
         eviction_placement_cost(engine, service, big, id_of_text("a3"), &mb, &slots, &drain) == 0);
  bare_free(bare);
  return true;
}

/* An adapter that was just loaded has no request rate yet. If it were evicted first, engines with
 * too few slots would load and unload in turn without serving any request. */
static bool a_new_adapter_is_not_evicted_first(fleet *fleet) {
  bare_gateway *bare = bare_new(fleet);
  const service *service = routing_find_service(bare->routing, "s");
  gateway_engine *engine = heartbeat(bare, "e1", "10.0.0.1:80", 1, 0, "big");
  id big = id_of_text("big"), wanted = id_of_text("a3");
  double mb, drain;
  unsigned slots;
  record_requests(bare, "big", "a1", 2);
  gateway_engine_mark_loaded(engine, big, id_of_text("a1"));
  sim_run(fleet->sim, time_from_ms(6000));
  gateway_engine_mark_loaded(engine, big, id_of_text("a2"));
  /* neither of two adapters that were just loaded can be evicted; later the older one goes before
   * the newer one, and finally their rates decide */
  double older = eviction_placement_cost(engine, service, big, wanted, &mb, &slots, &drain);
  EXPECT(fleet, older > 0 && older < 25 * 0.2);
  gateway_engine_mark_loaded(engine, big, id_of_text("a1"));
  EXPECT(fleet, eviction_placement_cost(engine, service, big, wanted, &mb, &slots, &drain) < 0);
  sim_run(fleet->sim, time_from_ms(2000));
  EXPECT(fleet,
         nearly_equal(eviction_placement_cost(engine, service, big, wanted, &mb, &slots, &drain),
                      25 * 0.5));
  sim_run(fleet->sim, time_from_ms(4000));
  EXPECT(fleet,
         eviction_placement_cost(engine, service, big, wanted, &mb, &slots, &drain) < 25 * 0.1);
  bare_free(bare);
  return true;
}

static bool feature_flags_are_parsed_by_name(fleet *fleet) {
  unsigned set = 0;
  error err = { 0 };
  EXPECT(fleet, feature_flags_parse("prefix,cremebrulee", &set, &err) &&
                    set == (1u << FEATURE_PREFIX | 1u << FEATURE_CREMEBRULEE));
  for (int k = 0; k < FEATURE_COUNT; k++)
    EXPECT(fleet, feature_flags_parse(feature_flag_name(k), &set, &err) && set == 1u << k);
  EXPECT(fleet, !feature_flags_parse("prefix,nothing", &set, &err) && err.code == E_SETTINGS_KEY);
  EXPECT(fleet, feature_flags_parse("", &set, &err) && !set);
  return true;
}

static bool replicas_share_a_request_rate(fleet *fleet) {
  bare_gateway *bare = bare_new(fleet);
  const service *service = routing_find_service(bare->routing, "s");
  gateway_engine *engine = heartbeat(bare, "e1", "10.0.0.1:80", 1, 0, "big,mid");
  record_requests(bare, "big", "", 60);
  record_requests(bare, "mid", "", 36);
  sim_run(fleet->sim, time_from_ms(9000));
  double mb, drain;
  unsigned slots;
  EXPECT(fleet, nearly_equal(eviction_placement_cost(engine, service, id_of_text("new"),
                                                     id_of_text(""), &mb, &slots, &drain),
                             2000 * 0.6 * 0.5));
  /* recent requests weigh more than older ones: mid stays, big is evicted */
  record_requests(bare, "mid", "", 36);
  EXPECT(fleet, nearly_equal(eviction_placement_cost(engine, service, id_of_text("new"),
                                                     id_of_text(""), &mb, &slots, &drain),
                             2000 * 1.0 * 0.5));
  sim_run(fleet->sim, time_from_ms(9000));
  /* with three replicas of big, each has a third of its rate, which makes its utility by size the
   * lowest */
  heartbeat(bare, "e2", "10.0.0.2:80", 1, 0, "big");
  heartbeat(bare, "e3", "10.0.0.3:80", 1, 0, "big");
  EXPECT(fleet, gateway_engines_count_replicas(&bare->gateway, id_of_text("s"), id_of_text("big"),
                                               id_of_text("")) == 3);
  EXPECT(fleet, nearly_equal(eviction_placement_cost(engine, service, id_of_text("new"),
                                                     id_of_text(""), &mb, &slots, &drain),
                             2000 / 3.0 * 0.5));
  bare_free(bare);
  return true;
}

static bool orders_override_older_heartbeats(fleet *fleet) {
  bare_gateway *bare = bare_new(fleet);
  gateway_engine *i = heartbeat(bare, "e1", "10.0.0.1:80", 1, 0, "big");
  id none = id_of_text("");
  gateway_engine_mark_loaded(i, id_of_text("mid"), none);
  heartbeat(bare, "e1", "10.0.0.1:80", 2, 0, "big");
  EXPECT(fleet, gateway_engine_has_model(i, id_of_text("mid"), none));
  gateway_engine_mark_unloaded(i, id_of_text("big"), none);
  sim_run(fleet->sim, time_from_ms(1000));
  heartbeat(bare, "e1", "10.0.0.1:80", 3, 0, "big");
  EXPECT(fleet, !gateway_engine_has_model(i, id_of_text("big"), none) &&
                    gateway_engine_has_model(i, id_of_text("mid"), none));
  sim_run(fleet->sim, time_from_ms(4000));
  /* a delayed heartbeat is applied with its own age */
  heartbeat(bare, "e1", "10.0.0.1:80", 4, 4500, "big");
  EXPECT(fleet, gateway_engine_has_model(i, id_of_text("mid"), none));
  heartbeat(bare, "e1", "10.0.0.1:80", 6, 0, "big,low+a1");
  EXPECT(fleet, gateway_engine_has_model(i, id_of_text("big"), none) &&
                    !gateway_engine_has_model(i, id_of_text("mid"), none) &&
                    gateway_engine_has_model(i, id_of_text("low"), id_of_text("a1")));
  heartbeat(bare, "e1", "10.0.0.1:80", 5, 0, "mid");
  EXPECT(fleet, gateway_engine_has_model(i, id_of_text("big"), none) &&
                    g_hash_table_contains(i->residents.models_on_disk, "mid"));
  /* a new process run at the same address removes the previous one, which is never restored */
  gateway_engine *n = heartbeat(bare, "e2", "10.0.0.1:80", 1, 0, "");
  EXPECT(fleet, i->gone && !n->gone && gateway_engine_usable(n) && !gateway_engine_usable(i));
  heartbeat(bare, "e1", "10.0.0.1:80", 9, 0, "big");
  EXPECT(fleet, i->gone && !gateway_engine_has_model(i, id_of_text("big"), none));
  bare_free(bare);
  return true;
}

static bool failures_eject_and_a_first_event_clears(fleet *fleet) {
  bare_gateway *bare = bare_new(fleet);
  gateway_engine *engine = heartbeat(bare, "e1", "10.0.0.1:80", 1, 0, "big"),
                 *k = heartbeat(bare, "e2", "10.0.0.2:80", 1, 0, "big");
  engine_select_request q = { .service = routing_find_service(bare->routing, "s"),
                              .model = id_of_text("big"),
                              .tokens = 1000,
                              .remaining_ms = 4000 };
  enum engine_select_result why;
  double est;
  for (int n = 0; n < 3; n++) {
    gateway_engine_record_sent(engine, 1000);
    gateway_engine_record_end(engine, false);
  }
  EXPECT(fleet, !gateway_engine_usable(engine));
  for (int n = 0; n < 20; n++)
    EXPECT(fleet, engine_select(&bare->gateway, &q, &why, &est) == k && why == ENGINE_SELECT_OK);
  EXPECT(fleet, gateway_engine_unresponsive(engine) == false ||
                    gateway_engines_count_replicas(&bare->gateway, id_of_text("s"),
                                                   id_of_text("big"), id_of_text("")) == 1);
  sim_run(fleet->sim, time_from_ms(700));
  EXPECT(fleet, gateway_engine_usable(engine));
  /* only one trial request at a time */
  gateway_engine_record_sent(engine, 1000);
  EXPECT(fleet, !gateway_engine_usable(engine));
  gateway_engine_record_first_event(engine, 1000, 80, 1);
  gateway_engine_record_end(engine, true);
  EXPECT(fleet, gateway_engine_usable(engine) && !engine->health.consecutive_failures);
  /* silence while a request waits */
  sim_run(fleet->sim, time_from_ms(5000));
  gateway_engine_record_sent(engine, 1000);
  sim_run(fleet->sim, time_from_ms(450));
  engine_health_update(engine);
  EXPECT(fleet, engine->health.suspect);
  q.run_once = true;
  for (int n = 0; n < 20; n++)
    EXPECT(fleet, engine_select(&bare->gateway, &q, &why, &est) == k);
  gateway_engine_record_first_event(engine, 1000, 450, 1);
  EXPECT(fleet, !engine->health.suspect);
  gateway_engine_record_end(engine, true);
  bare_free(bare);
  return true;
}

static bool prompts_go_to_cached_prefixes(fleet *fleet) {
  bare_gateway *bare = bare_new(fleet);
  char name[16], addr[32];
  for (int n = 0; n < 4; n++) {
    snprintf(name, sizeof name, "e%d", n);
    snprintf(addr, sizeof addr, "10.0.0.%d:80", n + 1);
    heartbeat(bare, name, addr, 1, 0, "big");
  }
  uint64_t chain[8], other[8];
  double upto[8];
  id none = id_of_text("");
  EXPECT(fleet, prefix_cache_parse("5c1e:800,91bd:410,e440:250", id_of_text("big"), none, chain,
                                   upto, 8) == 3 &&
                    nearly_equal(upto[2], 1460) && nearly_equal(upto[0], 800));
  prefix_cache_parse("5c1e:800,91bd:410,ffff:250", id_of_text("big"), none, other, upto, 8);
  EXPECT(fleet, chain[1] == other[1] && chain[2] != other[2]);
  prefix_cache_parse("5c1e:800", id_of_text("big"), id_of_text("a1"), other, upto, 8);
  EXPECT(fleet, chain[0] != other[0]);
  engine_select_request q = { .service = routing_find_service(bare->routing, "s"),
                              .model = id_of_text("big"),
                              .tokens = 1460,
                              .remaining_ms = 4000,
                              .prefix = "5c1e:800,91bd:410,e440:250" };
  enum engine_select_result why;
  double est, first, busy;
  gateway_engine *home = engine_select(&bare->gateway, &q, &why, &first);
  gateway_engine_record_sent(home, 1460);
  gateway_engine_record_first_event(home, 1460, 60, 1);
  gateway_engine_record_end(home, true);
  q.prefix = "5c1e:800,91bd:410,aaaa:250";
  for (int n = 0; n < 10; n++)
    EXPECT(fleet, engine_select(&bare->gateway, &q, &why, &est) == home && est < first);
  /* another engine is chosen only when the queue costs more than prefilling the prefix again */
  home->load.own_waiting_tokens = 1000;
  EXPECT(fleet, engine_select(&bare->gateway, &q, &why, &busy) == home);
  home->load.own_waiting_tokens = 8000;
  EXPECT(fleet, engine_select(&bare->gateway, &q, &why, &busy) != home);
  home->load.own_waiting_tokens = 0;
  home->load.own_running = 8;
  EXPECT(fleet, engine_select(&bare->gateway, &q, &why, &busy) != home);
  list_for_each (i, &bare->gateway.engines.list, gateway_engine, link)
    i->load.own_running = 8;
  EXPECT(fleet, !engine_select(&bare->gateway, &q, &why, &busy) && why == ENGINE_SELECT_ALL_BUSY);
  q.model = id_of_text("low");
  EXPECT(fleet, !engine_select(&bare->gateway, &q, &why, &busy) && why == ENGINE_SELECT_NO_MODEL);
  list_for_each (i, &bare->gateway.engines.list, gateway_engine, link)
    i->load.own_running = 0;
  bare_free(bare);
  return true;
}

static bool estimates_rise_with_the_queue(fleet *fleet) {
  double idle = engine_select_estimate_ms(20, 0.05, 0, 1000, 0, 64, 400);
  EXPECT(fleet, nearly_equal(idle, 70));
  EXPECT(fleet, nearly_equal(engine_select_estimate_ms(20, 0.05, 2000, 1000, 0, 64, 400), 170));
  EXPECT(fleet, engine_select_estimate_ms(20, 0.05, 0, 1000, 32, 64, 400) > idle &&
                    engine_select_estimate_ms(20, 0.05, 0, 1000, 64, 64, 400) >
                        engine_select_estimate_ms(20, 0.05, 0, 1000, 63, 64, 400) + 5);
  return true;
}

/* Permits are requested all the time, and the holder of the limiter changes meanwhile; each load
 * reaches the store up to 150 ms after its permit. */
static bool loads_stay_within_the_rate_limit(fleet *fleet) {
  const double rate = 2.6, window = 5, over = 1.1;
  int most = load_rate_limiter_max_loads(rate, window, over),
      limit = (int)(rate * window * over + 3);
  time_us span = { (int64_t)(window * 1e6) + 150000 }, now = { 1000000 };
  EXPECT(fleet, most == 13);
  for (int change = 0; change < 3; change++) {
    GArray *log = g_array_new(FALSE, TRUE, sizeof(time_us)),
           *began = g_array_new(FALSE, TRUE, sizeof(time_us));
    int64_t at = now.us + (int64_t)sim_random(fleet->sim, 12000000);
    bool changed = false;
    for (int step = 0; step < 6000; step++) {
      now.us += 5000;
      if (change && !changed && now.us > at) {
        changed = true;
        /* the new holder has received all load reports, or has just started and received none */
        time_us born = change == 1 ? (time_us){ 0 } : now;
        if (change == 2)
          g_array_set_size(log, 0);
        load_rate_limiter_take_over(log, now, born, span, most);
      }
      if (sim_random(fleet->sim, 4))
        continue;
      if (load_rate_limiter_next_at(log, now, span, most).us > now.us)
        continue;
      g_array_append_val(log, now);
      time_us late = time_add(now, (time_us){ (int64_t)sim_random(fleet->sim, 150000) });
      g_array_append_val(began, late);
    }
    int worst = 0;
    for (guint k = 0; k < began->len; k++) {
      int n = 0;
      time_us from = g_array_index(began, time_us, k),
              till = time_add(from, (time_us){ (int64_t)(window * 1e6) });
      for (guint m = 0; m < began->len; m++)
        n += g_array_index(began, time_us, m).us >= from.us &&
             g_array_index(began, time_us, m).us < till.us;
      worst = MAX(worst, n);
    }
    EXPECT(fleet, worst <= limit);
    EXPECT(fleet, (int)began->len > 60);
    g_array_free(log, TRUE);
    g_array_free(began, TRUE);
  }
  return true;
}

/* the largest of the evicted models goes first, and no more are evicted than needed */
static bool eviction_takes_the_largest_first(fleet *fleet) {
  host_start(fleet->operator);
  eviction_candidate all[3] = {
    { .model = id_of_text("a"), .weights_mb = 10, .load_ms = 1000, .request_rate = 0.1 },
    { .model = id_of_text("b"), .weights_mb = 30, .load_ms = 1000, .request_rate = 0.2 },
    { .model = id_of_text("c"), .weights_mb = 40, .load_ms = 3000, .request_rate = 2 }
  };
  eviction_rule rule = { "cremebrulee", NULL, { 0 } };
  int n = eviction_policy_select(&rule, all, 3, (capacity_shortage){ 35, 0 },
                                 (uint64_t(*)(void *))fleet->operator->world.random,
                                 &fleet->operator->world);
  EXPECT(fleet, n == 2 && !strcmp(all[0].model.text, "b") && !strcmp(all[1].model.text, "a"));
  return true;
}

/* eviction follows the policy resource in force, including expressions written by operators */
static bool eviction_follows_the_policy_in_force(fleet *fleet) {
  bare_gateway *bare = bare_new(fleet);
  const service *service = routing_find_service(bare->routing, "s");
  gateway_engine *engine = heartbeat(bare, "e1", "10.0.0.1:80", 1, 0, "big,mid");
  record_requests(bare, "big", "", 60);
  sim_run(fleet->sim, time_from_ms(9000));
  record_requests(bare, "mid", "", 1);
  static const struct {
    const char *policy;
    bool big;
  } given[] = { { NULL, false },
                { "{\"eviction\":\"cremebrulee\"}", false },
                { "{\"eviction\":\"lru\"}", true },
                { "{\"eviction\":\"popularity\"}", false },
                { "{\"eviction\":\"own\",\"utilities\":[{\"id\":\"own\",\"worth\":\"0 - megs\"}]}",
                  true } };
  for (size_t k = 0; k < G_N_ELEMENTS(given); k++) {
    error err = { 0 };
    json *p = given[k].policy ? json_parse(string_view_of(given[k].policy), &err) : NULL;
    const json *res[RESOURCE_COUNT] = { [RESOURCE_POLICY] = p };
    bare->router.config = p ? config_compile(res, &err) : NULL;
    double mb, drain;
    unsigned slots;
    double cost = eviction_placement_cost(engine, service, id_of_text("new"), id_of_text(""), &mb,
                                          &slots, &drain);
    if (given[k].big != (cost > 500))
      fleet_add_violation(fleet, "under the policy %s the eviction cost is %g",
                          given[k].policy ? given[k].policy : "none", cost);
    if (bare->router.config)
      config_free(bare->router.config);
    bare->router.config = NULL;
    json_free(p);
  }
  bare_free(bare);
  return true;
}

/* a silent engine is restored by a later heartbeat; one that has signed off is not */
static bool silent_engines_come_back(fleet *fleet) {
  bare_gateway *bare = bare_new(fleet);
  gateway_engine *engine = heartbeat(bare, "e1", "10.0.0.1:80", 1, 0, "big");
  Wire__EngineState w = WIRE__ENGINE_STATE__INIT;
  w.id = "e1";
  w.service = "s";
  w.address = "10.0.0.1:80";
  w.zone = "north";
  w.heartbeat_count = 1;
  w.gone = true;
  gateway_engine_update(&bare->gateway, &w);
  EXPECT(fleet, engine->gone && !gateway_engine_usable(engine));
  heartbeat(bare, "e1", "10.0.0.1:80", 1, 0, "big");
  EXPECT(fleet, engine->gone);
  heartbeat(bare, "e1", "10.0.0.1:80", 2, 0, "mid");
  EXPECT(fleet, !engine->gone && gateway_engine_usable(engine) &&
                    gateway_engine_has_model(engine, id_of_text("mid"), id_of_text("")) &&
                    !gateway_engine_has_model(engine, id_of_text("big"), id_of_text("")));
  w.heartbeat_count = 3;
  w.draining = true;
  gateway_engine_update(&bare->gateway, &w);
  heartbeat(bare, "e1", "10.0.0.1:80", 9, 0, "mid");
  EXPECT(fleet, engine->gone && !gateway_engine_usable(engine));
  bare_free(bare);
  return true;
}

/* An engine that became silent soon after its own report is restored with the residents in its
 * heartbeat. Guards against restoring it without residents, since its memory would look free. */
static bool silent_engines_come_back_with_their_residents(fleet *fleet) {
  bare_gateway *bare = bare_new(fleet);
  gateway_engine *engine = heartbeat(bare, "e1", "10.0.0.1:80", 1, 0, "big,mid");
  engine->orders.reported_at = world_now(bare->router.node.world);
  Wire__EngineState w = WIRE__ENGINE_STATE__INIT;
  w.id = "e1";
  w.service = "s";
  w.address = "10.0.0.1:80";
  w.zone = "north";
  w.heartbeat_count = 1;
  w.gone = true;
  sim_run(fleet->sim, time_from_ms(200));
  gateway_engine_update(&bare->gateway, &w);
  EXPECT(fleet, engine->gone);
  sim_run(fleet->sim, time_from_ms(200));
  heartbeat(bare, "e1", "10.0.0.1:80", 2, 0, "big,mid");
  EXPECT(fleet, !engine->gone &&
                    gateway_engine_has_model(engine, id_of_text("big"), id_of_text("")) &&
                    gateway_engine_has_model(engine, id_of_text("mid"), id_of_text("")));
  bare_free(bare);
  return true;
}

/* When the demand for a model rises suddenly, it gets as many replicas as clear its queue, and none
 * if the queue is short. */
static bool the_queue_determines_missing_replicas(fleet *fleet) {
  bare_gateway *bare = bare_new(fleet);
  id s = id_of_text("s"), big = id_of_text("big"), none = id_of_text("");
  gateway_engine *engine = heartbeat(bare, "e1", "10.0.0.1:80", 1, 0, "big"),
                 *k = heartbeat(bare, "e2", "10.0.0.2:80", 1, 0, "big");
  heartbeat(bare, "e3", "10.0.0.3:80", 1, 0, "mid");
  EXPECT(fleet, placement_missing_replicas(&bare->gateway, s, big, none) == 0);
  engine->load.peers_waiting_tokens = 4000;
  EXPECT(fleet, placement_missing_replicas(&bare->gateway, s, big, none) == 0);
  engine->load.peers_waiting_tokens = 16000;
  k->load.own_waiting_tokens = 4000;
  EXPECT(fleet, placement_missing_replicas(&bare->gateway, s, big, none) == 2);
  engine->load.peers_waiting_tokens = 100000;
  EXPECT(fleet, placement_missing_replicas(&bare->gateway, s, big, none) == 4);
  EXPECT(fleet, placement_missing_replicas(&bare->gateway, s, id_of_text("mid"), none) == 0 &&
                    placement_missing_replicas(&bare->gateway, s, id_of_text("low"), none) == 0);
  bare_free(bare);
  return true;
}

/* An engine fails some of its requests and serves the rest. Each gateway sees few of the failures;
 * all together see enough to detect it. */
static bool sporadic_failures_add_up_across_gateways(fleet *fleet) {
  bare_gateway *bare = bare_new(fleet);
  gateway_engine *engine = heartbeat(bare, "e1", "10.0.0.1:80", 1, 0, "big"),
                 *k = heartbeat(bare, "e2", "10.0.0.2:80", 1, 0, "big");
  engine_select_request q = { .service = routing_find_service(bare->routing, "s"),
                              .model = id_of_text("big"),
                              .tokens = 1000,
                              .remaining_ms = 4000 };
  enum engine_select_result why;
  double est;
  /* one failure every few seconds does not make an engine unhealthy */
  for (int n = 0; n < 6; n++) {
    gateway_engine_add_failure(engine, 1);
    sim_run(fleet->sim, time_from_ms(5000));
  }
  EXPECT(fleet, !gateway_engine_unhealthy(engine));
  /* three failures in a short time do, even with successes between them; it takes more failures
   * that are reported by gateways of other zones */
  for (int n = 0; n < 3; n++) {
    gateway_engine_record_sent(engine, 1000);
    gateway_engine_record_end(engine, false);
    sim_run(fleet->sim, time_from_ms(200));
    gateway_engine_record_sent(engine, 1000);
    gateway_engine_record_first_event(engine, 1000, 70, 1);
    gateway_engine_record_end(engine, true);
  }
  EXPECT(fleet, gateway_engine_unhealthy(engine) && gateway_engine_usable(engine));
  for (int n = 0; n < 20; n++)
    EXPECT(fleet, engine_select(&bare->gateway, &q, &why, &est) == k);
  /* an unhealthy engine is chosen if no other engine holds the model */
  q.excluded = &k->engine_id;
  q.excluded_count = 1;
  EXPECT(fleet, engine_select(&bare->gateway, &q, &why, &est) == engine);
  q.excluded_count = 0;
  /* it becomes healthy again after a while; another failure soon after makes it unhealthy for
   * longer */
  sim_run(fleet->sim, time_from_ms(2100));
  EXPECT(fleet, !gateway_engine_unhealthy(engine));
  gateway_engine_add_failure(engine, 1);
  EXPECT(fleet, gateway_engine_unhealthy(engine));
  sim_run(fleet->sim, time_from_ms(2100));
  EXPECT(fleet, gateway_engine_unhealthy(engine));
  sim_run(fleet->sim, time_from_ms(2100));
  EXPECT(fleet, !gateway_engine_unhealthy(engine));
  /* a busy engine, or one with a recent order, is not lightly loaded */
  EXPECT(fleet, gateway_engine_lightly_loaded(k));
  k->load.peers_running = 5;
  EXPECT(fleet, !gateway_engine_lightly_loaded(k));
  k->load.peers_running = 0;
  gateway_engine_mark_loaded(k, id_of_text("low"), id_of_text(""));
  EXPECT(fleet, !gateway_engine_lightly_loaded(k));
  bare_free(bare);
  return true;
}

/* A gateway reports only the engines on which it runs requests; its earlier load on all other
 * engines is removed. */
static bool engines_missing_from_a_report_have_no_load(fleet *fleet) {
  bare_gateway *bare = bare_new(fleet);
  gateway_engine *engine = heartbeat(bare, "e1", "10.0.0.1:80", 1, 0, "big"),
                 *k = heartbeat(bare, "e2", "10.0.0.2:80", 1, 0, "big");
  Wire__EngineTraffic one = WIRE__ENGINE_TRAFFIC__INIT, two = WIRE__ENGINE_TRAFFIC__INIT,
                      *all[2] = { &one, &two };
  Wire__TrafficReport q = WIRE__TRAFFIC_REPORT__INIT;
  one.engine = "e1";
  one.running_streams = 3;
  one.waiting_tokens = 900;
  two.engine = "e2";
  two.running_streams = 2;
  two.waiting_tokens = 500;
  q.engines = all;
  q.n_engines = 2;
  traffic_reports_apply(&bare->gateway, 7, true, &q);
  sim_run(fleet->sim, time_from_ms(10));
  q.n_engines = 1;
  traffic_reports_apply(&bare->gateway, 8, true, &q);
  EXPECT(fleet, engine->load.peers_running == 6 && k->load.peers_running == 2);
  sim_run(fleet->sim, time_from_ms(10));
  traffic_reports_apply(&bare->gateway, 7, true, &q);
  EXPECT(fleet, engine->load.peers_running == 6 && k->load.peers_running == 0 &&
                    k->load.peers_waiting_tokens == 0);
  q.n_engines = 0;
  sim_run(fleet->sim, time_from_ms(10));
  traffic_reports_apply(&bare->gateway, 7, true, &q);
  EXPECT(fleet,
         engine->load.peers_running == 3 && nearly_equal(engine->load.peers_waiting_tokens, 900));
  bare_free(bare);
  return true;
}

/* a clock that advances on each read, like that of a real process */
static time_us advancing_clock(void *context) {
  int64_t *us = context;
  return (time_us){ ++*us };
}

/* all loads in a report are kept even if the clock advances while the report is applied */
static bool reported_loads_stay_while_the_clock_advances(fleet *fleet) {
  bare_gateway *bare = bare_new(fleet);
  gateway_engine *engine = heartbeat(bare, "e1", "10.0.0.1:80", 1, 0, "big"),
                 *other = heartbeat(bare, "e2", "10.0.0.2:80", 1, 0, "big");
  Wire__EngineTraffic one = WIRE__ENGINE_TRAFFIC__INIT, two = WIRE__ENGINE_TRAFFIC__INIT,
                      *all[2] = { &one, &two };
  Wire__TrafficReport report = WIRE__TRAFFIC_REPORT__INIT;
  one.engine = "e1";
  one.running_streams = 3;
  one.waiting_tokens = 900;
  two.engine = "e2";
  two.running_streams = 2;
  two.waiting_tokens = 500;
  report.engines = all;
  report.n_engines = 2;
  world *world = bare->router.node.world;
  int64_t us = world_now(world).us;
  scheduler saved = world->tasks;
  world->tasks.now = advancing_clock;
  world->tasks.now_context = &us;
  traffic_reports_apply(&bare->gateway, 7, true, &report);
  world->tasks.now = saved.now;
  world->tasks.now_context = saved.now_context;
  EXPECT(fleet,
         engine->load.peers_running == 3 && nearly_equal(engine->load.peers_waiting_tokens, 900));
  EXPECT(fleet,
         other->load.peers_running == 2 && nearly_equal(other->load.peers_waiting_tokens, 500));
  bare_free(bare);
  return true;
}

/* A lease holder that has read an engine's own report must not lose a resident through an older
 * heartbeat that arrives later: its memory would look free, and an engine that loads beyond its
 * memory crashes. */
static bool reports_override_older_heartbeats(fleet *fleet) {
  bare_gateway *bare = bare_new(fleet);
  gateway_engine *engine = heartbeat(bare, "e1", "10.0.0.1:80", 1, 0, "big");
  sim_run(fleet->sim, time_from_ms(2000));
  Wire__ResidentModel r[2], *rp[2] = { &r[0], &r[1] };
  for (int k = 0; k < 2; k++)
    wire__resident_model__init(&r[k]);
  r[0].model = "big";
  r[1].model = "mid";
  gateway_engine_update_residents(engine, rp, 2, world_now(bare->router.node.world), 450);
  engine->orders.reported_at = world_now(bare->router.node.world);
  sim_run(fleet->sim, time_from_ms(100));
  heartbeat(bare, "e1", "10.0.0.1:80", 2, 900, "big");
  EXPECT(fleet, gateway_engine_has_model(engine, id_of_text("mid"), id_of_text("")));
  sim_run(fleet->sim, time_from_ms(3000));
  heartbeat(bare, "e1", "10.0.0.1:80", 3, 100, "big");
  EXPECT(fleet, !gateway_engine_has_model(engine, id_of_text("mid"), id_of_text("")));
  bare_free(bare);
  return true;
}

/* Running requests have to finish before a model is evicted, so evicting a busy model costs its
 * drain as well, and more the longer its requests usually take. */
static bool evicting_busy_models_costs_their_drain(fleet *fleet) {
  bare_gateway *bare = bare_new(fleet);
  const service *service = routing_find_service(bare->routing, "s");
  /* two engines hold the same models with the same rates; one of them runs requests for the
   * eviction candidates */
  gateway_engine *idle = heartbeat(bare, "e1", "10.0.0.1:80", 1, 0, "big,mid"),
                 *busy = heartbeat(bare, "e2", "10.0.0.2:80", 1, 0, "big,mid");
  record_requests(bare, "big", "", 60);
  record_requests(bare, "mid", "", 60);
  sim_run(fleet->sim, time_from_ms(9000));
  double mb, drain, calm;
  unsigned slots;
  calm = eviction_placement_cost(idle, service, id_of_text("new"), id_of_text(""), &mb, &slots,
                                 &drain);
  EXPECT(fleet,
         nearly_equal(drain, 0) &&
             nearly_equal(calm, eviction_placement_cost(busy, service, id_of_text("new"),
                                                        id_of_text(""), &mb, &slots, &drain)) &&
             nearly_equal(drain, 0));
  static const char *const run[] = { "big", "mid" };
  for (int k = 0; k < 2; k++) {
    busy->selected.model = id_of_text(run[k]);
    gateway_engine_record_sent(busy, 100);
  }
  EXPECT(fleet, nearly_equal(eviction_placement_cost(idle, service, id_of_text("new"),
                                                     id_of_text(""), &mb, &slots, &drain),
                             calm) &&
                    nearly_equal(drain, 0));
  double cost = eviction_placement_cost(busy, service, id_of_text("new"), id_of_text(""), &mb,
                                        &slots, &drain);
  EXPECT(fleet, nearly_equal(drain, 1000) && nearly_equal(cost, calm * 3000 / 2000 + 300));
  busy->load.mean_run_ms = 4000;
  EXPECT(fleet, eviction_placement_cost(busy, service, id_of_text("new"), id_of_text(""), &mb,
                                        &slots, &drain) > cost + 300 &&
                    nearly_equal(drain, 8000));
  bare_free(bare);
  return true;
}

const test_case loader_tests[] = {
  { "eviction_cost_counts_memory_and_slots", eviction_cost_counts_memory_and_slots, 1, 1, 20 },
  { "feature_flags_are_parsed_by_name", feature_flags_are_parsed_by_name, 1, 1, 20 },
  { "a_new_adapter_is_not_evicted_first", a_new_adapter_is_not_evicted_first, 1, 1, 20 },
  { "an_unloading_adapter_gets_no_requests", an_unloading_adapter_gets_no_requests, 1, 1, 20 },
  { "replicas_share_a_request_rate", replicas_share_a_request_rate, 1, 1, 20 },
  { "orders_override_older_heartbeats", orders_override_older_heartbeats, 1, 1, 20 },
  { "failures_eject_and_a_first_event_clears", failures_eject_and_a_first_event_clears, 1, 1, 20 },
  { "prompts_go_to_cached_prefixes", prompts_go_to_cached_prefixes, 1, 1, 100 },
  { "estimates_rise_with_the_queue", estimates_rise_with_the_queue, 1, 1, 20 },
  { "loads_stay_within_the_rate_limit", loads_stay_within_the_rate_limit, 1, 1, 100 },
  { "eviction_takes_the_largest_first", eviction_takes_the_largest_first, 1, 1, 20 },
  { "silent_engines_come_back", silent_engines_come_back, 1, 1, 20 },
  { "silent_engines_come_back_with_their_residents", silent_engines_come_back_with_their_residents,
    1, 1, 20 },
  { "reports_override_older_heartbeats", reports_override_older_heartbeats, 1, 1, 20 },
  { "eviction_follows_the_policy_in_force", eviction_follows_the_policy_in_force, 1, 1, 20 },
  { "the_queue_determines_missing_replicas", the_queue_determines_missing_replicas, 1, 1, 20 },
  { "sporadic_failures_add_up_across_gateways", sporadic_failures_add_up_across_gateways, 1, 1,
    60 },
  { "evicting_busy_models_costs_their_drain", evicting_busy_models_costs_their_drain, 1, 1, 20 },
  { "engines_missing_from_a_report_have_no_load", engines_missing_from_a_report_have_no_load, 1, 1,
    20 },
  { "reported_loads_stay_while_the_clock_advances", reported_loads_stay_while_the_clock_advances, 1,
    1, 20 },
  { NULL, NULL, 0, 0, 0 }
};
