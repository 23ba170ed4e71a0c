#include "sim_connections.h"
#include "deployment.h"
#include "gateway_check.h"
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
typedef struct scheduled_kill {
  host *host;
  uint64_t incarnation;
} scheduled_kill;

static void kill_scheduled(void *p) {
  scheduled_kill *e = p;
  if (e->host->alive && e->host->incarnation == e->incarnation)
    host_kill(e->host);
}

/* kept until the test ends, since what is left when a run ends is not run */
static scheduled_kill *schedule_kill_record(deployment *deployment, host *host) {
  scheduled_kill *e = g_new(scheduled_kill, 1);
  *e = (scheduled_kill){ host, host->incarnation };
  g_ptr_array_add(deployment->scheduled_kills, e);
  return e;
}

static void engine_stop(void *ctx, bool fell) {
  deployment_process *process = ctx;
  process->engine->stop_record->crashed = fell;
  sim_schedule(process->deployment->sim, process->deployment->sim->now, kill_scheduled,
               schedule_kill_record(process->deployment, process->host));
}

static void engine_begin(host *host) {
  deployment_process *process = host->context;
  error err = { 0 };
  process->engine = registering_engine_sim_new(&host->world, &process->plan, &err);
  if (!process->engine) {
    fleet_add_violation(process->deployment->fleet, "engine %s: %s", host->self.text, err.text);
    return;
  }
  process->engine->stop = engine_stop;
  process->engine->send_stray_response = sim_send_stray_response;
  process->engine->context = process;
  /* a later life is empty */
  process->plan.initial_models = NULL;
}

static void engine_finish(host *host) {
  deployment_process *process = host->context;
  if (process->engine)
    registering_engine_sim_free(process->engine);
  process->engine = NULL;
}

static void gateway_begin(host *host) {
  deployment_process *process = host->context;
  gateway_settings x = { .front_port = FRONT,
                         .ready_port = READY,
                         .dialect = &dialect_native,
                         .grace_ms = GRACE_S * 1000,
                         .lease_ms = DEPLOYMENT_LEASE_MS,
                         .heartbeat_ms = 1200,
                         .retry_ratio = RETRY_RATIO,
                         .retry_slack = RETRY_SLACK,
                         .retry_window_s = RETRY_WINDOW_S,
                         .load_window_s = LOAD_RATE_WINDOW_S,
                         .load_excess = LOAD_RATE_EXCESS };
  ip_of(host, x.front_ip, sizeof x.front_ip);
  ip_of(host, x.ready_ip, sizeof x.ready_ip);
  error err = { 0 };
  process->gateway = gateway_new(host->router, &x, &err);
  if (!process->gateway || gateway_open(process->gateway, &err))
    fleet_add_violation(process->deployment->fleet, "gateway %s: %s", host->self.text, err.text);
}

static void gateway_finish(host *host) {
  deployment_process *process = host->context;
  gateway_free(process->gateway);
  process->gateway = NULL;
}

static void controller_begin(host *host) {
  deployment_process *process = host->context;
  char ip[48];
  error err = { 0 };
  ip_of(host, ip, sizeof ip);
  if (controller_open_control_listener(host->controller, ip, CONTROL, NULL, &err))
    fleet_add_violation(process->deployment->fleet, "controller %s: %s", host->self.text, err.text);
}

static void deployment_process_free(host *host) {
  deployment_process *process = host->context;
  if (process->initial_models)
    g_ptr_array_free(process->initial_models, TRUE);
  if (process->plan.models_on_disk)
    g_hash_table_destroy(process->plan.models_on_disk);
  g_free(process);
}

static deployment_process *deployment_process_new(deployment *deployment, host *h,
                                                  void (*begin)(host *), void (*finish)(host *)) {
  deployment_process *u = g_new0(deployment_process, 1);
  u->deployment = deployment;
  u->host = h;
  h->context = u;
  h->on_start = begin;
  h->on_stop = finish;
  h->on_dispose = deployment_process_free;
  return u;
}

static GPtrArray *all_controllers(deployment *deployment) {
  GPtrArray *m = g_ptr_array_new_with_free_func(g_free);
  for (int i = 0; i < deployment->fleet->controllers; i++) {
    char ip[48];
    ip_of(deployment->fleet->controller[i], ip, sizeof ip);
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
  deployment *deployment = host->context;
  if (deployment->balancer)
    return;
  deployment->balancer = balancer_sim_new(&host->world, &dialect_native);
  deployment->client = client_sim_new(&host->world, deployment->balancer, &dialect_native);
  deployment->client->connected = connections_has_pooled;
  for (int i = 0; i < deployment->fleet->routers; i++) {
    char front[64], ready[64], ip[48];
    ip_of(deployment->fleet->router[i], ip, sizeof ip);
    snprintf(front, sizeof front, "%s:%d", ip, FRONT);
    snprintf(ready, sizeof ready, "%s:%d", ip, READY);
    balancer_sim_add_node(deployment->balancer, front, ready, deployment->fleet->router[i]->area);
  }
  int zones = MIN(3, deployment->fleet->routers);
  for (int i = 0; i < zones; i++)
    deployment->client->areas[i] = deployment->fleet->area[i];
  deployment->client->area_count = (unsigned)zones;
  if (deployment->add_client_kinds) {
    deployment->add_client_kinds(deployment);
    return;
  }
  deployment->chat =
      client_sim_add_kind(deployment->client, (client_sim_kind){ .name = "chat",
                                                                 .host = "front.example",
                                                                 .path = "/chat/v1/",
                                                                 .mode = CLIENT_SIM_STREAM,
                                                                 .requests_per_s = 6,
                                                                 .tokens_in = 900,
                                                                 .tokens_shared = 400,
                                                                 .zipf_exponent = 1.1,
                                                                 .tokens_out = 24,
                                                                 .event_tokens = 2,
                                                                 .retries_max = 1,
                                                                 .priority = 0,
                                                                 .deadline_ms = 5000,
                                                                 .target_ms = 1000,
                                                                 .gap_target_ms = 400,
                                                                 .models = models_from(9) });
  deployment->note =
      client_sim_add_kind(deployment->client, (client_sim_kind){ .name = "note",
                                                                 .host = "front.example",
                                                                 .path = "/note/",
                                                                 .mode = CLIENT_SIM_STREAM,
                                                                 .resumable = true,
                                                                 .requests_per_s = 2,
                                                                 .tokens_in = 500,
                                                                 .tokens_shared = 300,
                                                                 .zipf_exponent = 1.1,
                                                                 .tokens_out = 160,
                                                                 .event_tokens = 2,
                                                                 .retries_max = 1,
                                                                 .priority = 1,
                                                                 .deadline_ms = 20000,
                                                                 .target_ms = 1500,
                                                                 .gap_target_ms = 400,
                                                                 .models = models_from(6) });
  deployment->status =
      client_sim_add_kind(deployment->client, (client_sim_kind){ .name = "status",
                                                                 .host = "front.example",
                                                                 .path = "/status/",
                                                                 .mode = CLIENT_SIM_SAFE,
                                                                 .requests_per_s = 5,
                                                                 .bytes = 800,
                                                                 .retries_max = 1,
                                                                 .deadline_ms = 4000,
                                                                 .target_ms = 300 });
  deployment->book =
      client_sim_add_kind(deployment->client, (client_sim_kind){ .name = "book",
                                                                 .host = "front.example",
                                                                 .path = "/chat/",
                                                                 .mode = CLIENT_SIM_ONCE,
                                                                 .requests_per_s = 3,
                                                                 .bytes = 400,
                                                                 .retries_max = 1,
                                                                 .deadline_ms = 4000,
                                                                 .target_ms = 500,
                                                                 .new_connection = true });
}

static void op_begin(host *host) {
  deployment *deployment = host->context;
  if (deployment->operator)
    return;
  deployment->operator= operator_sim_new(&host->world, &dialect_native);
  g_ptr_array_free(deployment->operator->controllers, TRUE);
  deployment->operator->controllers = all_controllers(deployment);
}

deployment *deployment_new_empty(fleet *fleet) {
  deployment *g = g_new0(deployment, 1);
  g->fleet = fleet;
  g->sim = fleet->sim;
  g->log = engine_record_log_new();
  g->store.full_speed_loads = 3;
  g->loads_per_s = 2;
  g->extra_routes = g_string_new(NULL);
  g->scheduled_kills = g_ptr_array_new_with_free_func(g_free);
  g->injected_faults = g_array_new(FALSE, TRUE, sizeof(injected_fault));
  for (int i = 0; i < fleet->controllers; i++)
    g->controller_processes[i] =
        deployment_process_new(g, fleet->controller[i], controller_begin, NULL);
  for (int i = 0; i < fleet->routers; i++) {
    host *host = fleet->router[i];
    host->settings.is_gateway = host->settings.relaxed = true;
    host->settings.platform_address[0] = 0;
    g->gateway_processes[i] = deployment_process_new(g, host, gateway_begin, gateway_finish);
  }
  for (int i = 0; i < fleet->controllers; i++)
    fleet->controller[i]->settings.relaxed = true;
  return g;
}

void deployment_add_clients(deployment *deployment) {
  deployment->client_host =
      sim_add_host(deployment->sim, HOST_OTHER, "outside", "mid", "127.0.0.50:1");
  deployment->client_host->context = deployment;
  deployment->client_host->on_start = outside_begin;
  deployment->operator_host =
      sim_add_host(deployment->sim, HOST_OTHER, "gw-operator", "mid", "127.0.0.51:1");
  deployment->operator_host->context = deployment;
  deployment->operator_host->on_start = op_begin;
}

deployment_process *deployment_add_engine(deployment *deployment, id area,
                                          registering_engine_plan plan, GPtrArray *first) {
  char name[32], addr[48];
  size_t i = deployment->model_engine_count + deployment->plain_engine_count;
  snprintf(name, sizeof name, "unit-%zu", i + 1);
  snprintf(addr, sizeof addr, "127.0.5.%zu:9000", i + 1);
  host *host = sim_add_host(deployment->sim, HOST_OTHER, name, area.text, addr);
  deployment_process *process = deployment->engine_processes[i] =
      deployment_process_new(deployment, host, engine_begin, engine_finish);
  process->plan = plan;
  process->plan.area = area;
  ip_of(host, process->plan.ip, sizeof process->plan.ip);
  process->plan.controllers = all_controllers(deployment);
  process->plan.models_on_disk = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  process->plan.initial_models = process->initial_models = first;
  if (plan.model_count)
    deployment->model_engine_count++;
  else
    deployment->plain_engine_count++;
  return process;
}

deployment *deployment_new(fleet *fleet, size_t engines, size_t plain) {
  deployment *deployment = deployment_new_empty(fleet);
  deployment->model_count = 14;
  for (size_t i = 0; i < deployment->model_count; i++) {
    engine_model_spec *m = &deployment->models[i];
    snprintf(m->name.text, sizeof m->name.text, "m%zu", i);
    m->weights_mb = i % 3 ? 16100 : 34300;
    m->load_ms = i % 3 ? 950 : 2000;
    m->adapters = 3;
    m->adapter_mb = 40;
  }
  static const char *const first[] = { "m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8" };
  for (size_t i = 0; i < engines + plain; i++) {
    bool llm = i < engines;
    registering_engine_plan p = { .service = id_of_text(llm ? "llm"
                                                        : i == engines + plain - 1 && plain > 2
                                                            ? "spare"
                                                            : "ledger"),
                                  .version = id_of_text("v1"),
                                  .port = 9000,
                                  .slots = llm ? 16 : 6,
                                  .queue = llm ? 6 : 4,
                                  .connections_max = llm ? 200 : 110,
                                  .heartbeat_ms = 1200,
                                  .drain_ms = DRAIN_MS,
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
    deployment_add_engine(deployment, fleet->area[i % 3], p, start);
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
        i ? "," : "", deployment->models[i].name.text, deployment->models[i].weights_mb,
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
  return ((operator_sim_change *)p)->done;
}

operator_sim_change *deployment_put_config(deployment *deployment, uint64_t version, uint64_t base,
                                           const char *text, bool valid) {
  operator_sim_change *change =
      operator_sim_send(deployment->operator, version, base, false, text, valid);
  sim_run_until(deployment->sim, change_done, change, time_from_ms(30000));
  return change;
}

bool deployment_is_ready(deployment *deployment) {
  int in = 0, alive = 0;
  for (int i = 0; i < deployment->fleet->routers; i++) {
    balancer_sim_node *n = deployment->balancer->nodes->pdata[i];
    alive += deployment->fleet->router[i]->alive;
    in += deployment->fleet->router[i]->alive && n->in_rotation && n->failures_in_row == 0;
  }
  return alive && in == alive;
}

static bool is_ready(sim *sim, void *p) {
  (void)sim;
  return deployment_is_ready(p);
}

bool deployment_bring_up(deployment *deployment) {
  list_for_each (h, &deployment->sim->hosts, host, link)
    host_start(h);
  sim_run(deployment->sim, time_from_ms(2500));
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
  if (!sim_run_until(deployment->sim, is_ready, deployment, time_from_ms(10000))) {
    fleet_add_violation(deployment->fleet, "the gateways did not become ready");
    return false;
  }
  sim_run(deployment->sim, time_from_ms(2000));
  return true;
}

void deployment_start_traffic(deployment *deployment, double rate) {
  deployment->client->rate_factor = rate;
  client_sim_start(deployment->client);
}

static bool all_answered(sim *sim, void *p) {
  (void)sim;
  return !((deployment *)p)->client->open_requests;
}

void deployment_finish_traffic(deployment *deployment) {
  deployment->client->stop = true;
  if (!sim_run_until(deployment->sim, all_answered, deployment, time_from_ms(60000)))
    fleet_add_violation(deployment->fleet, "%u clients were never answered",
                        deployment->client->open_requests);
}

void deployment_run_traffic(deployment *deployment, double rate, int64_t ms) {
  deployment_start_traffic(deployment, rate);
  sim_run(deployment->sim, time_from_ms(ms));
  deployment_finish_traffic(deployment);
}

void deployment_record_fault(deployment *deployment, host *host, char what, int64_t ms) {
  injected_fault t = { host, deployment->sim->now, time_add(deployment->sim->now, time_from_ms(ms)),
                       what };
  g_array_append_val(deployment->injected_faults, t);
}

static void wait_until_drained(void *p) {
  deployment_process *process = p;
  if (condition_wait(&process->host->world.tasks, &process->gateway->drain.finished,
                     time_never()) == WAKE_STOPPED)
    return;
  sim_schedule(process->deployment->sim, process->deployment->sim->now, kill_scheduled,
               schedule_kill_record(process->deployment, process->host));
}

void deployment_terminate_gateway(deployment *deployment, deployment_process *process) {
  deployment_record_fault(deployment, process->host, 't', GRACE_S * 1000 + 1000);
  gateway_drain(process->gateway);
  task_start(&process->host->world.tasks, "over", wait_until_drained, process);
  sim_schedule(deployment->sim, time_add(deployment->sim->now, time_from_ms(GRACE_S * 1000)),
               kill_scheduled, schedule_kill_record(deployment, process->host));
}

double deployment_served_ratio(deployment *deployment, const client_sim_kind *kind, time_us from,
                               time_us until) {
  double all = 0, ok = 0;
  for (guint i = 0; i < deployment->client->requests->len; i++) {
    client_sim_request *a = deployment->client->requests->pdata[i];
    if ((kind && a->kind != kind) || a->started_at.us < from.us || a->started_at.us >= until.us)
      continue;
    all++;
    ok += a->served;
  }
  return all ? ok / all : 1;
}

static void print_counts(deployment *deployment) {
  GHashTable *how = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < deployment->client->attempts->len; i++) {
    client_sim_attempt *attempt = deployment->client->attempts->pdata[i];
    char *key = g_strdup_printf("%s %c %d %s", attempt->caller_request->kind->name,
                                attempt->outcome, attempt->status, attempt->fault);
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
    for (guint i = 0; i < deployment->client->attempts->len; i++) {
      client_sim_attempt *attempt = deployment->client->attempts->pdata[i];
      if (attempt->outcome != 'd')
        fprintf(stderr,
                "  bad: %.3f-%.3f %s %s/%s at %s how %c status %d back %.2f last %" PRIu64 "\n",
                (double)attempt->sent_at.us / 1e6, (double)attempt->ended_at.us / 1e6,
                attempt->caller_request->kind->name, attempt->caller_request->model.text,
                attempt->caller_request->adapter.text, attempt->node, attempt->outcome,
                attempt->status, attempt->retry_s, attempt->last_event);
    }
  for (int i = 0; g_getenv("SIM_BAD") && i < deployment->fleet->routers; i++) {
    GString *b = g_string_new(NULL);
    if (deployment->gateway_processes[i]->gateway)
      gateway_status(deployment->gateway_processes[i]->gateway, b);
    fprintf(stderr, "  status of %s: %s\n", deployment->fleet->router[i]->self.text, b->str);
    g_string_free(b, TRUE);
  }
  int runs[128] = { 0 }, in_time = 0, loads = 0;
  for (guint i = 0; i < deployment->log->runs->len; i++)
    runs[(int)((engine_run_record *)deployment->log->runs->pdata[i])->outcome & 127]++;
  for (guint i = 0; i < deployment->client->requests->len; i++)
    in_time += ((client_sim_request *)deployment->client->requests->pdata[i])->met_target;
  for (guint i = 0; i < deployment->log->orders->len; i++)
    loads += ((engine_order_record *)deployment->log->orders->pdata[i])->op == 'l' &&
             ((engine_order_record *)deployment->log->orders->pdata[i])->started;
  fprintf(stderr, "  runs:");
  for (int i = 32; i < 127; i++)
    if (runs[i])
      fprintf(stderr, " %c %d", i, runs[i]);
  fprintf(stderr,
          "; asks %u, in time %d; orders %u, loads %d; beats %" PRIu64 ", failed %" PRIu64
          ", reports %" PRIu64 ", health %" PRIu64 "\n",
          deployment->client->requests->len, in_time, deployment->log->orders->len, loads,
          deployment->log->heartbeats, deployment->log->heartbeats_failed, deployment->log->reports,
          deployment->log->health_checks);
}

bool deployment_finish(deployment *deployment, double least) {
  if (g_getenv("SIM_COUNT"))
    print_counts(deployment);
  double share = deployment_served_ratio(deployment, NULL, (time_us){ 0 }, time_never());
  if (share < least)
    fleet_add_violation(deployment->fleet, "only %.3f of %u requests were served", share,
                        deployment->client->requests->len);
  gateway_check_all(deployment);
  bool ok = !deployment->fleet->violations->len;
  deployment_free(deployment);
  return ok;
}
