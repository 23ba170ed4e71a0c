#include "fixture.h"
#include <stdio.h>
#include <stdlib.h>

static const em_model models[] = { { { "m" }, 1000, 1500, 10, 4 } };

static void node_begin(host *host) {
  fixture *fixture = host->extra;
  error err = { 0 };
  fixture->gateway = gateway_new(host->router, &fixture->settings, &err);
  if (!fixture->gateway || gateway_open(fixture->gateway, &err)) {
    violation(fixture->fleet, "no gateway: %s", err.text);
    return;
  }
}

static void node_finish(host *host) {
  fixture *fixture = host->extra;
  gateway_free(fixture->gateway);
  fixture->gateway = NULL;
}

static void engine_begin(host *host) {
  fixture *fixture = host->extra;
  for (int i = 0; i < FIXTURE_ENGINES; i++)
    if (fixture->engine_hosts[i] == host) {
      error err = { 0 };
      fixture->engines[i] = em_engine_new(&host->world, &fixture->plan[i], &err);
      if (!fixture->engines[i]) {
        violation(fixture->fleet, "no engine: %s", err.text);
        return;
      }
      fixture->engines[i]->stray = sim_stray;
    }
}

static void engine_finish(host *host) {
  fixture *fixture = host->extra;
  for (int i = 0; i < FIXTURE_ENGINES; i++)
    if (fixture->engine_hosts[i] == host && fixture->engines[i]) {
      em_engine_free(fixture->engines[i]);
      fixture->engines[i] = NULL;
    }
}

static void announce(fixture *fixture) {
  if (!fixture->gateway || !fixture->node->alive || fixture->node->frozen)
    return;
  Wire__EngineState e[FIXTURE_ENGINES], *ep[FIXTURE_ENGINES];
  Wire__ResidentModel m = WIRE__RESIDENT_MODEL__INIT, *mp = &m;
  Wire__ConfigPollResponse n = WIRE__CONFIG_POLL_RESPONSE__INIT;
  m.model = (char *)models[0].name.text;
  m.weights_version = 1;
  fixture->beats++;
  for (int i = 0; i < FIXTURE_ENGINES; i++) {
    if (!fixture->engines[i] || fixture->silent[i])
      continue;
    Wire__EngineState *w = ep[n.n_engines] = &e[n.n_engines];
    n.n_engines++;
    wire__engine_state__init(w);
    w->id = fixture->engines[i]->self.text;
    w->service = fixture->plan[i].service.text;
    w->address = fixture->engines[i]->addr;
    w->zone = fixture->plan[i].area.text;
    w->version = "v1";
    w->slots = fixture->plan[i].slots;
    w->heartbeat_count = fixture->beats;
    if (fixture->plan[i].model_count) {
      w->n_models = 1;
      w->models = &mp;
    }
  }
  n.engines = ep;
  n.registry_run = 1;
  gateway_engines_config_sync(fixture->gateway, &n);
}

void fixture_run(fixture *fixture, int64_t ms) {
  while (ms > 0) {
    int64_t k = MIN(ms, 500);
    announce(fixture);
    fixture->node->due = fixture->fleet->sim->now;
    sim_run(fixture->fleet->sim, time_from_ms(k));
    ms -= k;
  }
}

fixture *fixture_new(fleet *fleet, const char *config, bool llm, int engines, unsigned slots) {
  fixture *b = g_new0(fixture, 1);
  sim *sim = fleet->sim;
  b->fleet = fleet;
  b->log = em_log_new();
  b->store = (em_store){ 8, 0 };
  b->requests = g_ptr_array_new();
  b->controllers = g_ptr_array_new();
  b->first = g_ptr_array_new();
  g_ptr_array_add(b->first, "m");
  b->settings = (gateway_settings){ .front_ip = "10.9.0.1",
                                    .ready_ip = "10.9.0.1",
                                    .front_port = 8144,
                                    .ready_port = 8140,
                                    .dialect = &dialect_native,
                                    .grace_ms = 8000,
                                    .retry_ratio = 0.2,
                                    .retry_slack = 50,
                                    .retry_window_s = 10 };
  b->node = sim_host(sim, HOST_ROUTER, "gw", "north", "10.9.0.1:7660");
  b->node->settings = fleet->router[0]->settings;
  b->node->settings.self = id_of_text("gw");
  b->node->settings.is_gateway = true;
  g_strlcpy(b->node->settings.address, "10.9.0.1:7660", sizeof b->node->settings.address);
  b->node->begin = node_begin;
  b->node->finish = node_finish;
  b->node->extra = b;
  for (int i = 0; i < engines; i++) {
    char name[16], ip[24], addr[40];
    snprintf(name, sizeof name, "bed%d", i);
    snprintf(ip, sizeof ip, "10.9.1.%d", i + 1);
    snprintf(addr, sizeof addr, "%s:7660", ip);
    em_plan *plan = &b->plan[i];
    *plan = (em_plan){ .service = id_of_text("svc"),
                       .area = id_of_text("north"),
                       .version = id_of_text("v1"),
                       .port = 9000,
                       .slots = slots,
                       .queue = slots / 2,
                       .beat_ms = 1200,
                       .drain_ms = 2000,
                       .work_ms = 40,
                       .idle_ms = 10000,
                       .step_ms = 8,
                       .per_ms = 0.1,
                       .read_per_ms = 20,
                       .event_tokens = 2,
                       .kv_tokens = 100000,
                       .weights_mb = 4000,
                       .adapter_slots = 4,
                       .models = models,
                       .model_count = llm ? 1 : 0,
                       .controllers = b->controllers,
                       .first = llm ? b->first : NULL,
                       .disk = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
                       .dialect = &dialect_native,
                       .log = b->log,
                       .store = &b->store };
    g_strlcpy(plan->ip, ip, sizeof plan->ip);
    b->engine_hosts[i] = sim_host(sim, HOST_OTHER, name, "north", addr);
    b->engine_hosts[i]->begin = engine_begin;
    b->engine_hosts[i]->finish = engine_finish;
    b->engine_hosts[i]->extra = b;
    host_start(b->engine_hosts[i]);
  }
  b->caller = sim_host(sim, HOST_OTHER, "asker", "north", "10.9.2.1:7660");
  host_start(b->caller);
  host_start(b->node);
  error err = { 0 };
  json *json = json_parse(string_view_of(config), &err);
  routing *routing = json ? routing_compile(json, &err) : NULL;
  json_free(json);
  if (!routing)
    violation(fleet, "no routing: %s", err.text);
  if (b->gateway) {
    b->node->router->routing = routing;
    b->node->router->on_installed(b->gateway);
  }
  fixture_run(b, 600);
  return b;
}

static void fixture_request_free(fixture_request *attempt) {
  g_free(attempt->target);
  g_free(attempt->body);
  if (attempt->in)
    g_string_free(attempt->in, TRUE);
  g_string_free(attempt->more, TRUE);
  g_string_free(attempt->got, TRUE);
  g_free(attempt);
}

void fixture_free(fixture *fixture) {
  host_kill(fixture->caller);
  host_kill(fixture->node);
  for (int i = 0; i < FIXTURE_ENGINES; i++)
    if (fixture->engine_hosts[i]) {
      host_kill(fixture->engine_hosts[i]);
      g_hash_table_destroy(fixture->plan[i].disk);
    }
  for (guint i = 0; i < fixture->requests->len; i++)
    fixture_request_free(fixture->requests->pdata[i]);
  g_ptr_array_free(fixture->requests, TRUE);
  g_ptr_array_free(fixture->controllers, TRUE);
  g_ptr_array_free(fixture->first, TRUE);
  em_log_free(fixture->log);
  g_free(fixture);
}

static void fixture_request_run(void *p) {
  fixture_request *attempt = p;
  world *world = &attempt->fixture->caller->world;
  fields *fields = g_string_new("Host: svc.example\r\n");
  const dialect *dialect = &dialect_native;
  if (attempt->request[0])
    fields_add(fields, dialect->header_names[DF_REQUEST_ID], string_view_of(attempt->request));
  if (attempt->left)
    fields_add_format(fields, dialect->header_names[DF_TIME_LEFT_MS], "%" PRId64, attempt->left);
  g_string_append_len(fields, attempt->more->str, (gssize)attempt->more->len);
  attempt->sent = world_now(world);
  http_call *call =
      http_call_open_fields(world, "10.9.0.1:8144", "POST", attempt->target, fields,
                            string_view_of(attempt->body), attempt->fresh, time_never());
  g_string_free(fields, TRUE);
  time_us till =
      attempt->leave_ms
          ? time_add(attempt->sent, time_from_ms(attempt->leave_ms))
          : time_add(attempt->sent, time_from_ms(attempt->left ? attempt->left + 500 : 30000));
  while (!call->ended && !call->broken && !time_reached(world_now(world), till)) {
    if (condition_wait(&world->tasks, &call->progressed, till) == WAKE_STOPPED)
      break;
    if (call->response_body->len && !attempt->first.us)
      attempt->first = world_now(world);
  }
  attempt->last = world_now(world);
  attempt->status = call->status;
  attempt->ended = call->ended;
  attempt->broken = call->broken;
  if (call->response_fields)
    attempt->in = g_string_new(call->response_fields->str);
  g_string_append_len(attempt->got, call->response_body->str, (gssize)call->response_body->len);
  attempt->done = true;
  http_call_close(call);
}

fixture_request *fixture_ask(fixture *fixture, const char *target, int64_t left, const char *more) {
  fixture_request *attempt = g_new0(fixture_request, 1);
  attempt->fixture = fixture;
  attempt->target = g_strdup(target);
  attempt->body = g_strdup_printf("{\"bytes\":300,\"n\":%d}", fixture->request_count);
  attempt->more = g_string_new(more);
  attempt->left = left;
  attempt->got = g_string_new(NULL);
  snprintf(attempt->request, sizeof attempt->request, "r%06d", ++fixture->request_count);
  g_ptr_array_add(fixture->requests, attempt);
  task_start(&fixture->caller->world.tasks, "attempt", fixture_request_run, attempt);
  fixture->caller->due = fixture->fleet->sim->now;
  return attempt;
}

static void end_run(void *p) {
  fixture *fixture = p;
  if (condition_wait(&fixture->node->world.tasks, &fixture->gateway->drain.finished,
                     time_never()) == WAKE_SIGNALLED)
    fixture->over = true;
}

void fixture_watch_end(fixture *fixture) {
  task_start(&fixture->node->world.tasks, "watch", end_run, fixture);
}

int fixture_runs(fixture *fixture, const fixture_request *attempt, bool arrivals) {
  int n = 0;
  for (guint i = 0; i < fixture->log->runs->len; i++) {
    em_run *run = fixture->log->runs->pdata[i];
    if (!strcmp(run->request, attempt->request) && (arrivals || run->at.us))
      n++;
  }
  return n;
}

char *fixture_ids(const fixture_request *attempt) {
  GString *s = g_string_new(NULL);
  const char *p = attempt->got->str;
  while (*p) {
    const char *end = strstr(p, "\n\n");
    if (!end || strncmp(p, "id: ", 4)) {
      g_string_append(s, "bad");
      break;
    }
    g_string_append_printf(s, "%s%d", s->len ? " " : "", atoi(p + 4));
    p = end + 2;
  }
  return g_string_free(s, FALSE);
}
