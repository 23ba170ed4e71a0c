/**
 * One gateway with emulated engines and without controllers; see fixture.h.
 */
#include "fixture.h"
#include <stdio.h>
#include <stdlib.h>

/* interval of heartbeats, and after how long a new gateway knows its engines */
enum { HEARTBEAT_MS = 500, STARTED_MS = 600 };

static const engine_model_spec models[] = { { { "m" }, 1000, 1500, 10, 4 } };

static void node_begin(host *host) {
  fixture *fixture = host->context;
  error err = { 0 };
  fixture->gateway = gateway_new(host->router, &fixture->settings, &err);
  if (!fixture->gateway || gateway_open(fixture->gateway, &err)) {
    fleet_add_violation(fixture->fleet, "no gateway: %s", err.text);
    return;
  }
}

static void node_finish(host *host) {
  fixture *fixture = host->context;
  gateway_free(fixture->gateway);
  fixture->gateway = NULL;
}

static void engine_begin(host *host) {
  fixture *fixture = host->context;
  for (int i = 0; i < FIXTURE_ENGINES; i++)
    if (fixture->engine_hosts[i] == host) {
      error err = { 0 };
      fixture->engines[i] = registering_engine_sim_new(&host->world, &fixture->plan[i], &err);
      if (!fixture->engines[i]) {
        fleet_add_violation(fixture->fleet, "no engine: %s", err.text);
        return;
      }
      fixture->engines[i]->send_stray_response = sim_send_stray_response;
    }
}

static void engine_finish(host *host) {
  fixture *fixture = host->context;
  for (int i = 0; i < FIXTURE_ENGINES; i++)
    if (fixture->engine_hosts[i] == host && fixture->engines[i]) {
      registering_engine_sim_free(fixture->engines[i]);
      fixture->engines[i] = NULL;
    }
}

/* fills in the heartbeat of an engine, as a controller passes it on */
static void set_engine_state(fixture *fixture, int i, Wire__EngineState *state,
                             Wire__ResidentModel **resident) {
  const registering_engine_plan *plan = &fixture->plan[i];
  wire__engine_state__init(state);
  state->id = fixture->engines[i]->self.text;
  state->service = (char *)plan->service.text;
  state->address = fixture->engines[i]->address;
  state->zone = (char *)plan->area.text;
  state->version = "v1";
  state->slots = plan->slots;
  state->heartbeat_count = fixture->beats;
  if (plan->model_count) {
    state->n_models = 1;
    state->models = resident;
  }
}

/* what a controller would send: the state of every engine that sends heartbeats */
static void send_engine_states(fixture *fixture) {
  if (!fixture->gateway || !fixture->node->alive || fixture->node->frozen)
    return;
  Wire__EngineState states[FIXTURE_ENGINES], *pointers[FIXTURE_ENGINES];
  Wire__ResidentModel model = WIRE__RESIDENT_MODEL__INIT, *resident = &model;
  Wire__ConfigPollResponse response = WIRE__CONFIG_POLL_RESPONSE__INIT;
  model.model = (char *)models[0].name.text;
  model.weights_version = 1;
  fixture->beats++;
  for (int i = 0; i < FIXTURE_ENGINES; i++) {
    if (!fixture->engines[i] || fixture->silent[i])
      continue;
    Wire__EngineState *state = pointers[response.n_engines] = &states[response.n_engines];
    response.n_engines++;
    set_engine_state(fixture, i, state, &resident);
  }
  response.engines = pointers;
  response.registry_run = 1;
  gateway_engines_config_sync(fixture->gateway, &response);
}

void fixture_run(fixture *fixture, int64_t ms) {
  while (ms > 0) {
    int64_t step = MIN(ms, HEARTBEAT_MS);
    send_engine_states(fixture);
    fixture->node->next_wake_at = fixture->fleet->sim->now;
    sim_run(fixture->fleet->sim, time_from_ms(step));
    ms -= step;
  }
}

/* the gateway's process; it is not started */
static void add_gateway(fixture *fixture) {
  fleet *fleet = fixture->fleet;
  fixture->settings = (gateway_settings){ .front_ip = "10.9.0.1",
                                          .ready_ip = "10.9.0.1",
                                          .front_port = 8144,
                                          .ready_port = 8140,
                                          .dialect = &dialect_native,
                                          .grace_ms = 8000,
                                          .retry_ratio = 0.2,
                                          .retry_slack = 50,
                                          .retry_window_s = 10 };
  host *node = sim_add_host(fleet->sim, HOST_ROUTER, "gw", "north", "10.9.0.1:7660");
  node->settings = fleet->router[0]->settings;
  node->settings.self = id_of_text("gw");
  node->settings.is_gateway = true;
  g_strlcpy(node->settings.address, "10.9.0.1:7660", sizeof node->settings.address);
  node->on_start = node_begin;
  node->on_stop = node_finish;
  node->context = fixture;
  fixture->node = node;
}

static registering_engine_plan plan_engine(fixture *fixture, bool llm, unsigned slots) {
  return (registering_engine_plan){ .service = id_of_text("svc"),
                                    .area = id_of_text("north"),
                                    .version = id_of_text("v1"),
                                    .port = 9000,
                                    .slots = slots,
                                    .queue = slots / 2,
                                    .heartbeat_ms = 1200,
                                    .drain_ms = 2000,
                                    .work_ms = 40,
                                    .idle_timeout_ms = 10000,
                                    .step_ms = 8,
                                    .step_per_request_ms = 0.1,
                                    .prefill_tokens_per_ms = 20,
                                    .event_tokens = 2,
                                    .kv_tokens = 100000,
                                    .weights_mb = 4000,
                                    .adapter_slots = 4,
                                    .models = models,
                                    .model_count = llm ? 1 : 0,
                                    .controllers = fixture->controllers,
                                    .initial_models = llm ? fixture->first : NULL,
                                    .models_on_disk = g_hash_table_new_full(g_str_hash, g_str_equal,
                                                                            g_free, NULL),
                                    .dialect = &dialect_native,
                                    .log = fixture->log,
                                    .store = &fixture->store };
}

static void start_engine(fixture *fixture, int i, bool llm, unsigned slots) {
  char name[16], ip[24], address[40];
  snprintf(name, sizeof name, "bed%d", i);
  snprintf(ip, sizeof ip, "10.9.1.%d", i + 1);
  snprintf(address, sizeof address, "%s:7660", ip);
  fixture->plan[i] = plan_engine(fixture, llm, slots);
  g_strlcpy(fixture->plan[i].ip, ip, sizeof fixture->plan[i].ip);
  host *host = fixture->engine_hosts[i] =
      sim_add_host(fixture->fleet->sim, HOST_OTHER, name, "north", address);
  host->on_start = engine_begin;
  host->on_stop = engine_finish;
  host->context = fixture;
  host_start(host);
}

static void install_routing(fixture *fixture, const char *config) {
  error err = { 0 };
  json *json = json_parse(string_view_of(config), &err);
  routing *routing = json ? routing_compile(json, &err) : NULL;
  json_free(json);
  if (!routing)
    fleet_add_violation(fixture->fleet, "no routing: %s", err.text);
  if (fixture->gateway) {
    fixture->node->router->routing = routing;
    fixture->node->router->on_installed(fixture->gateway);
  }
}

fixture *fixture_new(fleet *fleet, const char *config, bool llm, int engines, unsigned slots) {
  fixture *created = g_new0(fixture, 1);
  created->fleet = fleet;
  created->log = engine_record_log_new();
  created->store = (weight_store_sim){ 8, 0 };
  created->requests = g_ptr_array_new();
  created->controllers = g_ptr_array_new();
  created->first = g_ptr_array_new();
  g_ptr_array_add(created->first, "m");
  add_gateway(created);
  for (int i = 0; i < engines; i++)
    start_engine(created, i, llm, slots);
  created->caller = sim_add_host(fleet->sim, HOST_OTHER, "asker", "north", "10.9.2.1:7660");
  host_start(created->caller);
  host_start(created->node);
  install_routing(created, config);
  fixture_run(created, STARTED_MS);
  return created;
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
      g_hash_table_destroy(fixture->plan[i].models_on_disk);
    }
  for (guint i = 0; i < fixture->requests->len; i++)
    fixture_request_free(fixture->requests->pdata[i]);
  g_ptr_array_free(fixture->requests, TRUE);
  g_ptr_array_free(fixture->controllers, TRUE);
  g_ptr_array_free(fixture->first, TRUE);
  engine_record_log_free(fixture->log);
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
  fixture->caller->next_wake_at = fixture->fleet->sim->now;
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
    engine_run_record *run = fixture->log->runs->pdata[i];
    if (!strcmp(run->request_id, attempt->request) && (arrivals || run->started_at.us))
      n++;
  }
  return n;
}

char *fixture_ids(const fixture_request *attempt) {
  GString *ids = g_string_new(NULL);
  const char *p = attempt->got->str;
  while (*p) {
    const char *end = strstr(p, "\n\n");
    if (!end || strncmp(p, "id: ", 4)) {
      g_string_append(ids, "bad");
      break;
    }
    g_string_append_printf(ids, "%s%d", ids->len ? " " : "", atoi(p + 4));
    p = end + 2;
  }
  return g_string_free(ids, FALSE);
}
