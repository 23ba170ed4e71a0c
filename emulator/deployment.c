#include "connections.h"
#include "deployment.h"
#include "status.h"
#include <stdio.h>
#include <stdlib.h>

enum { FRONT = 8144, READY = 8140, CONTROL = 8100 };

static void ip_of(const host *host, char *ip, size_t n) {
  g_strlcpy(ip, host->addr, n);
  char *c = strchr(ip, ':');
  if (c)
    *c = 0;
}

/* the lives of processes */
typedef struct ender {
  host *host;
  uint64_t life;
} ender;

static void kill_now(void *p) {
  ender *e = p;
  if (e->host->alive && e->host->life == e->life)
    host_kill(e->host);
}

/* kept until the test ends, since what is left when a run ends is not run */
static ender *ender_of(deployment *deployment, host *host) {
  ender *e = g_new(ender, 1);
  *e = (ender){ host, host->life };
  g_ptr_array_add(deployment->enders, e);
  return e;
}

static void engine_stop(void *ctx, bool fell) {
  unit *unit = ctx;
  unit->engine->end->crashed = fell;
  sim_at(unit->deployment->sim, unit->deployment->sim->now, kill_now,
         ender_of(unit->deployment, unit->host));
}

static void engine_begin(host *host) {
  unit *unit = host->extra;
  error err = { 0 };
  unit->engine = em_engine_new(&host->world, &unit->plan, &err);
  if (!unit->engine) {
    violation(unit->deployment->base, "engine %s: %s", host->self.text, err.text);
    return;
  }
  unit->engine->stop = engine_stop;
  unit->engine->stray = sim_stray;
  unit->engine->ctx = unit;
  /* a later life is empty */
  unit->plan.first = NULL;
}

static void engine_finish(host *host) {
  unit *unit = host->extra;
  if (unit->engine)
    em_engine_free(unit->engine);
  unit->engine = NULL;
}

static void gateway_begin(host *host) {
  unit *unit = host->extra;
  gateway_settings x = { .front_port = FRONT,
                         .ready_port = READY,
                         .dialect = &dialect_native,
                         .grace_ms = GRACE_S * 1000,
                         .lease_ms = DEPLOYMENT_LEASE_MS,
                         .heartbeat_ms = 1200,
                         .retry_ratio = RETRY_RATIO,
                         .retry_slack = RETRY_SLACK,
                         .retry_window_s = RETRY_WINDOW_S,
                         .load_window_s = CEILING_WINDOW_S,
                         .load_excess = CEILING_EXCESS };
  ip_of(host, x.front_ip, sizeof x.front_ip);
  ip_of(host, x.ready_ip, sizeof x.ready_ip);
  error err = { 0 };
  unit->gateway = gateway_new(host->router, &x, &err);
  if (!unit->gateway || gateway_open(unit->gateway, &err))
    violation(unit->deployment->base, "gateway %s: %s", host->self.text, err.text);
}

static void gateway_finish(host *host) {
  unit *unit = host->extra;
  gateway_free(unit->gateway);
  unit->gateway = NULL;
}

static void controller_begin(host *host) {
  unit *unit = host->extra;
  char ip[48];
  error err = { 0 };
  ip_of(host, ip, sizeof ip);
  if (controller_open_control_listener(host->controller, ip, CONTROL, NULL, &err))
    violation(unit->deployment->base, "controller %s: %s", host->self.text, err.text);
}

static void unit_drop(host *host) {
  unit *unit = host->extra;
  if (unit->start)
    g_ptr_array_free(unit->start, TRUE);
  if (unit->plan.disk)
    g_hash_table_destroy(unit->plan.disk);
  g_free(unit);
}

static unit *unit_on(deployment *deployment, host *h, void (*begin)(host *),
                     void (*finish)(host *)) {
  unit *u = g_new0(unit, 1);
  u->deployment = deployment;
  u->host = h;
  h->extra = u;
  h->begin = begin;
  h->finish = finish;
  h->dispose = unit_drop;
  return u;
}

static GPtrArray *all_controllers(deployment *deployment) {
  GPtrArray *m = g_ptr_array_new_with_free_func(g_free);
  for (int i = 0; i < deployment->base->controllers; i++) {
    char ip[48];
    ip_of(deployment->base->controller[i], ip, sizeof ip);
    g_ptr_array_add(m, g_strdup_printf("%s:%d", ip, CONTROL));
  }
  return m;
}

static const char *kind_models[] = { "m0", "m1",    "m0/a1", "m2",  "m1/a2", "m3",
                                     "m4", "m5/a1", "m5",    "m6",  "m7",    "m8",
                                     "m9", "m10",   "m11",   "m12", "m13" };

static GPtrArray *models_from(size_t n) {
  GPtrArray *m = g_ptr_array_new();
  for (size_t i = 0; i < MIN(n, G_N_ELEMENTS(kind_models)); i++)
    g_ptr_array_add(m, (char *)kind_models[i]);
  return m;
}

static void outside_begin(host *host) {
  deployment *deployment = host->extra;
  if (deployment->balancer)
    return;
  deployment->balancer = em_balancer_new(&host->world, &dialect_native);
  deployment->client = em_client_new(&host->world, deployment->balancer, &dialect_native);
  deployment->client->connected = kept_idle;
  for (int i = 0; i < deployment->base->routers; i++) {
    char front[64], ready[64], ip[48];
    ip_of(deployment->base->router[i], ip, sizeof ip);
    snprintf(front, sizeof front, "%s:%d", ip, FRONT);
    snprintf(ready, sizeof ready, "%s:%d", ip, READY);
    em_balancer_add(deployment->balancer, front, ready, deployment->base->router[i]->area);
  }
  int zones = MIN(3, deployment->base->routers);
  for (int i = 0; i < zones; i++)
    deployment->client->areas[i] = deployment->base->area[i];
  deployment->client->area_count = (unsigned)zones;
  if (deployment->callers) {
    deployment->callers(deployment);
    return;
  }
  deployment->chat = em_client_kind(deployment->client, (em_kind){ .name = "chat",
                                                                   .host = "front.example",
                                                                   .path = "/chat/v1/",
                                                                   .mode = EM_STREAM,
                                                                   .per_s = 6,
                                                                   .tokens_in = 900,
                                                                   .tokens_shared = 400,
                                                                   .zipf = 1.1,
                                                                   .tokens_out = 24,
                                                                   .event_tokens = 2,
                                                                   .more_tries = 1,
                                                                   .priority = 0,
                                                                   .deadline_ms = 5000,
                                                                   .target_ms = 1000,
                                                                   .gap_ms = 400,
                                                                   .models = models_from(9) });
  deployment->note = em_client_kind(deployment->client, (em_kind){ .name = "note",
                                                                   .host = "front.example",
                                                                   .path = "/note/",
                                                                   .mode = EM_STREAM,
                                                                   .resumable = true,
                                                                   .per_s = 2,
                                                                   .tokens_in = 500,
                                                                   .tokens_shared = 300,
                                                                   .zipf = 1.1,
                                                                   .tokens_out = 160,
                                                                   .event_tokens = 2,
                                                                   .more_tries = 1,
                                                                   .priority = 1,
                                                                   .deadline_ms = 20000,
                                                                   .target_ms = 1500,
                                                                   .gap_ms = 400,
                                                                   .models = models_from(6) });
  deployment->status = em_client_kind(deployment->client, (em_kind){ .name = "status",
                                                                     .host = "front.example",
                                                                     .path = "/status/",
                                                                     .mode = EM_SAFE,
                                                                     .per_s = 5,
                                                                     .bytes = 800,
                                                                     .more_tries = 1,
                                                                     .deadline_ms = 4000,
                                                                     .target_ms = 300 });
  deployment->book = em_client_kind(deployment->client, (em_kind){ .name = "book",
                                                                   .host = "front.example",
                                                                   .path = "/chat/",
                                                                   .mode = EM_ONCE,
                                                                   .per_s = 3,
                                                                   .bytes = 400,
                                                                   .more_tries = 1,
                                                                   .deadline_ms = 4000,
                                                                   .target_ms = 500,
                                                                   .fresh = true });
}

static void op_begin(host *host) {
  deployment *deployment = host->extra;
  if (deployment->operator)
    return;
  deployment->operator= em_operator_new(&host->world, &dialect_native);
  g_ptr_array_free(deployment->operator->controllers, TRUE);
  deployment->operator->controllers = all_controllers(deployment);
}

deployment *deployment_bare(fleet *fleet) {
  deployment *g = g_new0(deployment, 1);
  g->base = fleet;
  g->sim = fleet->sim;
  g->log = em_log_new();
  g->store.most = 3;
  g->loads_per_s = 2;
  g->extra_routes = g_string_new(NULL);
  g->enders = g_ptr_array_new_with_free_func(g_free);
  g->troubles = g_array_new(FALSE, TRUE, sizeof(trouble));
  for (int i = 0; i < fleet->controllers; i++)
    g->controllers[i] = unit_on(g, fleet->controller[i], controller_begin, NULL);
  for (int i = 0; i < fleet->routers; i++) {
    host *host = fleet->router[i];
    host->settings.is_gateway = host->settings.relaxed = true;
    host->settings.platform_address[0] = 0;
    g->gateways[i] = unit_on(g, host, gateway_begin, gateway_finish);
  }
  for (int i = 0; i < fleet->controllers; i++)
    fleet->controller[i]->settings.relaxed = true;
  return g;
}

void deployment_people(deployment *deployment) {
  deployment->outside = sim_host(deployment->sim, HOST_OTHER, "outside", "mid", "127.0.0.50:1");
  deployment->outside->extra = deployment;
  deployment->outside->begin = outside_begin;
  deployment->op_host = sim_host(deployment->sim, HOST_OTHER, "gw-operator", "mid", "127.0.0.51:1");
  deployment->op_host->extra = deployment;
  deployment->op_host->begin = op_begin;
}

unit *deployment_engine(deployment *deployment, id area, em_plan plan, GPtrArray *first) {
  char name[32], addr[48];
  size_t i = deployment->engines + deployment->plain;
  snprintf(name, sizeof name, "unit-%zu", i + 1);
  snprintf(addr, sizeof addr, "127.0.5.%zu:9000", i + 1);
  host *host = sim_host(deployment->sim, HOST_OTHER, name, area.text, addr);
  unit *unit = deployment->engine[i] = unit_on(deployment, host, engine_begin, engine_finish);
  unit->plan = plan;
  unit->plan.area = area;
  ip_of(host, unit->plan.ip, sizeof unit->plan.ip);
  unit->plan.controllers = all_controllers(deployment);
  unit->plan.disk = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  unit->plan.first = unit->start = first;
  if (plan.model_count)
    deployment->engines++;
  else
    deployment->plain++;
  return unit;
}

deployment *deployment_new(fleet *fleet, size_t engines, size_t plain) {
  deployment *deployment = deployment_bare(fleet);
  deployment->model_count = 14;
  for (size_t i = 0; i < deployment->model_count; i++) {
    em_model *m = &deployment->models[i];
    snprintf(m->name.text, sizeof m->name.text, "m%zu", i);
    m->megs = i % 3 ? 16100 : 34300;
    m->load_ms = i % 3 ? 950 : 2000;
    m->adapters = 3;
    m->adapter_mb = 40;
  }
  static const char *const first[] = { "m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8" };
  for (size_t i = 0; i < engines + plain; i++) {
    bool llm = i < engines;
    em_plan p = { .service = id_of_text(llm                                     ? "llm"
                                        : i == engines + plain - 1 && plain > 2 ? "spare"
                                                                                : "ledger"),
                  .version = id_of_text("v1"),
                  .port = 9000,
                  .slots = llm ? 16 : 6,
                  .queue = llm ? 6 : 4,
                  .channels = llm ? 200 : 110,
                  .beat_ms = 1200,
                  .drain_ms = DRAIN_MS,
                  .work_ms = 30,
                  .idle_ms = 5000,
                  .step_ms = 9,
                  .per_ms = 0.2,
                  .read_per_ms = 20,
                  .event_tokens = 2,
                  .kv_tokens = 60000,
                  .weights_mb = 83000,
                  .adapter_slots = 4,
                  .dialect = &dialect_native,
                  .log = deployment->log,
                  .store = &deployment->store };
    GPtrArray *start = NULL;
    if (llm) {
      p.models = deployment->models;
      p.model_count = deployment->model_count;
      start = g_ptr_array_new();
      /* the busy ones on many engines, the others on one each */
      g_ptr_array_add(start, (char *)first[i % 2]);
      for (size_t k = 2; k < G_N_ELEMENTS(first); k++)
        if (k % engines == i && start->len < 3)
          g_ptr_array_add(start, (char *)first[k]);
    }
    deployment_engine(deployment, fleet->area[i % 3], p, start);
  }
  deployment_people(deployment);
  return deployment;
}

void deployment_free(deployment *deployment) {
  list_for_each (h, &deployment->sim->hosts, host, link)
    if (h->alive)
      host_kill(h);
  for (size_t i = 0; i < deployment->engines + deployment->plain; i++)
    g_ptr_array_free(deployment->engine[i]->plan.controllers, TRUE);
  if (deployment->client)
    em_client_free(deployment->client);
  if (deployment->balancer)
    em_balancer_free(deployment->balancer);
  if (deployment->operator)
    em_operator_free(deployment->operator);
  em_log_free(deployment->log);
  g_array_free(deployment->troubles, TRUE);
  g_ptr_array_free(deployment->enders, TRUE);
  g_string_free(deployment->extra_routes, TRUE);
  g_free(deployment);
}

char *deployment_config(deployment *deployment, uint64_t version, const char *status) {
  GString *b = g_string_new(NULL);
  json_appendf(
      b,
      "{\"version\":%" PRIu64 ",\"routes\":["
      "{\"name\":\"r-chat\",\"host\":\"front.example\",\"prefix\":\"/chat/v1/\",\"mode\":\"stream\",\"timeoutMs\":5000,\"targetMs\":1000,\"priority\":0,\"service\":\"llm\",\"attempts\":2,\"affinity\":true,\"resumable\":false,\"gapTargetMs\":400},"
      "{\"name\":\"r-note\",\"host\":\"front.example\",\"prefix\":\"/note/\",\"mode\":\"stream\",\"timeoutMs\":20000,\"targetMs\":1500,\"priority\":1,\"service\":\"llm\",\"attempts\":3,\"affinity\":true,\"resumable\":true,\"gapTargetMs\":400},"
      "{\"name\":\"r-status\",\"host\":\"front.example\",\"prefix\":\"/status/\",\"mode\":\"safe\",\"timeoutMs\":4000,\"targetMs\":300,\"priority\":0,\"service\":\"%s\",\"attempts\":3},"
      "{\"name\":\"r-book\",\"host\":\"front.example\",\"prefix\":\"/chat/\",\"mode\":\"once\",\"timeoutMs\":4000,\"targetMs\":500,\"priority\":0,\"split\":[{\"service\":\"ledger\",\"weight\":100}],\"attempts\":2}%s],\"services\":[",
      version, status ? status : "ledger", deployment->extra_routes->str);
  json_appendf(
      b,
      "{\"name\":\"llm\",\"health\":\"/health\",\"connectionsMost\":200,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":16,\"kvTokens\":60000,\"kvTokenBytes\":131072,\"stride\":2,\"weightsMb\":83000,\"adapterSlots\":4,\"loadsPerS\":%g,\"models\":[",
      deployment->loads_per_s);
  for (size_t i = 0; i < deployment->model_count; i++)
    json_appendf(
        b, "%s{\"name\":\"%s\",\"weightsMb\":%g,\"loadS\":%g,\"adapters\":%u,\"adapterMb\":%g}",
        i ? "," : "", deployment->models[i].name.text, deployment->models[i].megs,
        deployment->models[i].load_ms / 1000, deployment->models[i].adapters,
        deployment->models[i].adapter_mb);
  g_string_append(
      b,
      "]}},{\"name\":\"ledger\",\"health\":\"/health\",\"connectionsMost\":110,\"protocol\":\"h1\",\"tls\":false},{\"name\":\"spare\",\"health\":\"/health\",\"connectionsMost\":110,\"protocol\":\"h1\",\"tls\":false}],"
      "\"limits\":{\"headerBytes\":16384,\"bodyBytes\":4194304,\"headerMs\":3000,\"idleMs\":15000}}");
  return g_string_free(b, FALSE);
}

static bool change_done(sim *sim, void *p) {
  (void)sim;
  return ((em_change *)p)->done;
}

em_change *deployment_put(deployment *deployment, uint64_t version, uint64_t base, const char *text,
                          bool valid) {
  em_change *change = em_operator_send(deployment->operator, version, base, false, text, valid);
  sim_until(deployment->sim, change_done, change, time_from_ms(30000));
  return change;
}

bool deployment_ready(deployment *deployment) {
  int in = 0, alive = 0;
  for (int i = 0; i < deployment->base->routers; i++) {
    em_node *n = deployment->balancer->nodes->pdata[i];
    alive += deployment->base->router[i]->alive;
    in += deployment->base->router[i]->alive && n->in && n->misses == 0;
  }
  return alive && in == alive;
}

static bool is_ready(sim *sim, void *p) {
  (void)sim;
  return deployment_ready(p);
}

bool deployment_up(deployment *deployment) {
  list_for_each (h, &deployment->sim->hosts, host, link)
    host_start(h);
  sim_run(deployment->sim, time_from_ms(2500));
  char *text = deployment->config ? deployment->config(deployment, 1)
                                  : deployment_config(deployment, 1, NULL);
  em_change *change = deployment_put(deployment, 1, 0, text, true);
  g_free(text);
  deployment->version = 1;
  if (!change->acked.us) {
    violation(deployment->base, "the first configuration was not acknowledged (%d)",
              change->status);
    return false;
  }
  if (!sim_until(deployment->sim, is_ready, deployment, time_from_ms(10000))) {
    violation(deployment->base, "the gateways did not become ready");
    return false;
  }
  sim_run(deployment->sim, time_from_ms(2000));
  return true;
}

void deployment_go(deployment *deployment, double rate) {
  deployment->client->rate = rate;
  em_client_start(deployment->client);
}

static bool all_answered(sim *sim, void *p) {
  (void)sim;
  return !((deployment *)p)->client->open;
}

void deployment_quiet(deployment *deployment) {
  deployment->client->stop = true;
  if (!sim_until(deployment->sim, all_answered, deployment, time_from_ms(60000)))
    violation(deployment->base, "%u clients were never answered", deployment->client->open);
}

void deployment_traffic(deployment *deployment, double rate, int64_t ms) {
  deployment_go(deployment, rate);
  sim_run(deployment->sim, time_from_ms(ms));
  deployment_quiet(deployment);
}

void deployment_trouble(deployment *deployment, host *host, char what, int64_t ms) {
  trouble t = { host, deployment->sim->now, time_add(deployment->sim->now, time_from_ms(ms)),
                what };
  g_array_append_val(deployment->troubles, t);
}

static void over_run(void *p) {
  unit *unit = p;
  if (condition_wait(&unit->host->world.tasks, &unit->gateway->drain.finished, time_never()) ==
      WAKE_STOPPED)
    return;
  sim_at(unit->deployment->sim, unit->deployment->sim->now, kill_now,
         ender_of(unit->deployment, unit->host));
}

void deployment_term(deployment *deployment, unit *unit) {
  deployment_trouble(deployment, unit->host, 't', GRACE_S * 1000 + 1000);
  gateway_drain(unit->gateway);
  task_start(&unit->host->world.tasks, "over", over_run, unit);
  sim_at(deployment->sim, time_add(deployment->sim->now, time_from_ms(GRACE_S * 1000)), kill_now,
         ender_of(deployment, unit->host));
}

double deployment_served(deployment *deployment, const em_kind *kind, time_us from, time_us till) {
  double all = 0, ok = 0;
  for (guint i = 0; i < deployment->client->requests->len; i++) {
    em_request *a = deployment->client->requests->pdata[i];
    if ((kind && a->kind != kind) || a->from.us < from.us || a->from.us >= till.us)
      continue;
    all++;
    ok += a->served;
  }
  return all ? ok / all : 1;
}

static void announce(deployment *deployment) {
  GHashTable *how = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < deployment->client->tries->len; i++) {
    em_attempt *attempt = deployment->client->tries->pdata[i];
    char *key = g_strdup_printf("%s %c %d %s", attempt->caller_request->kind->name, attempt->how,
                                attempt->status, attempt->fault);
    gpointer n = g_hash_table_lookup(how, key);
    g_hash_table_insert(how, key, GINT_TO_POINTER(GPOINTER_TO_INT(n) + 1));
  }
  GList *keys = g_list_sort(g_hash_table_get_keys(how), (GCompareFunc)strcmp);
  for (GList *l = keys; l; l = l->next)
    fprintf(stderr, "  tries: %-24s %d\n", (char *)l->data,
            GPOINTER_TO_INT(g_hash_table_lookup(how, l->data)));
  g_list_free(keys);
  g_hash_table_destroy(how);
  if (g_getenv("SIM_BAD"))
    for (guint i = 0; i < deployment->client->tries->len; i++) {
      em_attempt *attempt = deployment->client->tries->pdata[i];
      if (attempt->how != 'd')
        fprintf(stderr,
                "  bad: %.3f-%.3f %s %s/%s at %s how %c status %d back %.2f last %" PRIu64 "\n",
                (double)attempt->sent.us / 1e6, (double)attempt->to.us / 1e6,
                attempt->caller_request->kind->name, attempt->caller_request->model.text,
                attempt->caller_request->adapter.text, attempt->node, attempt->how, attempt->status,
                attempt->retry_s, attempt->last_id);
    }
  for (int i = 0; g_getenv("SIM_BAD") && i < deployment->base->routers; i++) {
    GString *b = g_string_new(NULL);
    if (deployment->gateways[i]->gateway)
      gateway_status(deployment->gateways[i]->gateway, b);
    fprintf(stderr, "  status of %s: %s\n", deployment->base->router[i]->self.text, b->str);
    g_string_free(b, TRUE);
  }
  int runs[128] = { 0 }, in_time = 0, loads = 0;
  for (guint i = 0; i < deployment->log->runs->len; i++)
    runs[(int)((em_run *)deployment->log->runs->pdata[i])->how & 127]++;
  for (guint i = 0; i < deployment->client->requests->len; i++)
    in_time += ((em_request *)deployment->client->requests->pdata[i])->in_time;
  for (guint i = 0; i < deployment->log->orders->len; i++)
    loads += ((em_order *)deployment->log->orders->pdata[i])->op == 'l' &&
             ((em_order *)deployment->log->orders->pdata[i])->begun;
  fprintf(stderr, "  runs:");
  for (int i = 32; i < 127; i++)
    if (runs[i])
      fprintf(stderr, " %c %d", i, runs[i]);
  fprintf(stderr,
          "; asks %u, in time %d; orders %u, loads %d; beats %" PRIu64 ", failed %" PRIu64
          ", reports %" PRIu64 ", health %" PRIu64 "\n",
          deployment->client->requests->len, in_time, deployment->log->orders->len, loads,
          deployment->log->beats, deployment->log->beat_fails, deployment->log->reports,
          deployment->log->health);
}

bool deployment_done(deployment *deployment, double least) {
  if (g_getenv("SIM_COUNT"))
    announce(deployment);
  double share = deployment_served(deployment, NULL, (time_us){ 0 }, time_never());
  if (share < least)
    violation(deployment->base, "only %.3f of %u requests were served", share,
              deployment->client->requests->len);
  gateway_check_all(deployment);
  bool ok = !deployment->base->faults->len;
  deployment_free(deployment);
  return ok;
}
