/**
 * One gateway with emulated engines and without controllers; see fixture.h.
 */
#include "fixture.h"
#include <stdio.h>
#include <stdlib.h>

/* interval of heartbeats, and the time after which a new gateway knows its engines */
enum { HEARTBEAT_MS = 500, STARTED_MS = 600 };

static const engine_model_spec models[] = { { { "m" }, 1000, 1500, 10, 4 } };

static void start_gateway_process(host *host) {
  fixture *fixture = host->context;
  error err = { 0 };
  fixture->gateway = gateway_new(host->router, &fixture->settings, &err);
  if (!fixture->gateway || gateway_open(fixture->gateway, &err)) {
    fleet_add_violation(fixture->fleet, "no gateway: %s", err.text);
    return;
  }
}

static void stop_gateway_process(host *host) {
  fixture *fixture = host->context;
  gateway_free(fixture->gateway);
  fixture->gateway = NULL;
}

static void start_engine_process(host *host) {
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

static void stop_engine_process(host *host) {
  fixture *fixture = host->context;
  for (int i = 0; i < FIXTURE_ENGINES; i++)
    if (fixture->engine_hosts[i] == host && fixture->engines[i]) {
      registering_engine_sim_free(fixture->engines[i]);
      fixture->engines[i] = NULL;
    }
}

/* fills in the state of an engine as a controller would send it */
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
  state->heartbeat_count = fixture->heartbeats_sent;
  if (plan->model_count) {
    state->n_models = 1;
    state->models = resident;
  }
}

/* gives the gateway what a controller would send: the states of the engines that send heartbeats */
static void send_engine_states(fixture *fixture) {
  if (!fixture->gateway || !fixture->node->alive || fixture->node->frozen)
    return;
  Wire__EngineState states[FIXTURE_ENGINES], *pointers[FIXTURE_ENGINES];
  Wire__ResidentModel model = WIRE__RESIDENT_MODEL__INIT, *resident = &model;
  Wire__ConfigPollResponse response = WIRE__CONFIG_POLL_RESPONSE__INIT;
  model.model = (char *)models[0].name.text;
  model.weights_version = 1;
  fixture->heartbeats_sent++;
  for (int i = 0; i < FIXTURE_ENGINES; i++) {
    if (!fixture->engines[i] || fixture->heartbeats_stopped[i])
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

/* adds the gateway's host without starting it */
static void add_gateway(fixture *fixture) {
  fleet *fleet = fixture->fleet;
  fixture->settings = (gateway_settings){ .client_ip = "10.9.0.1",
                                          .ready_ip = "10.9.0.1",
                                          .client_port = 8144,
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
  node->on_start = start_gateway_process;
  node->on_stop = stop_gateway_process;
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
                                    .initial_models = llm ? fixture->preloaded_models : NULL,
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
  host->on_start = start_engine_process;
  host->on_stop = stop_engine_process;
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
    fixture->node->router->on_snapshot_installed(fixture->gateway);
  }
}

fixture *fixture_new(fleet *fleet, const char *config, bool llm, int engines, unsigned slots) {
  fixture *created = g_new0(fixture, 1);
  created->fleet = fleet;
  created->log = engine_record_log_new();
  created->store = (weight_store_sim){ 8, 0 };
  created->requests = g_ptr_array_new();
  created->controllers = g_ptr_array_new();
  created->preloaded_models = g_ptr_array_new();
  g_ptr_array_add(created->preloaded_models, "m");
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

static void fixture_request_free(fixture_request *request) {
  g_free(request->target);
  g_free(request->body);
  if (request->received_fields)
    g_string_free(request->received_fields, TRUE);
  g_string_free(request->extra_fields, TRUE);
  g_string_free(request->received_body, TRUE);
  g_free(request);
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
  g_ptr_array_free(fixture->preloaded_models, TRUE);
  engine_record_log_free(fixture->log);
  g_free(fixture);
}

static void fixture_request_run(void *p) {
  fixture_request *request = p;
  world *world = &request->fixture->caller->world;
  fields *fields = g_string_new("Host: svc.example\r\n");
  const dialect *dialect = &dialect_native;
  if (request->request_id_text[0])
    fields_add(fields, dialect->header_names[DF_REQUEST_ID],
               string_view_of(request->request_id_text));
  if (request->named_deadline_ms)
    fields_add_format(fields, dialect->header_names[DF_TIME_LEFT_MS], "%" PRId64,
                      request->named_deadline_ms);
  g_string_append_len(fields, request->extra_fields->str, (gssize)request->extra_fields->len);
  request->request_sent_at = world_now(world);
  http_call *call = http_call_open_pooled(world, "10.9.0.1:8144", "POST", request->target, fields,
                                          string_view_of(request->body),
                                          request->use_new_connection, time_never());
  g_string_free(fields, TRUE);
  time_us till =
      request->disconnect_after_ms
          ? time_add(request->request_sent_at, time_from_ms(request->disconnect_after_ms))
          : time_add(request->request_sent_at,
                     time_from_ms(request->named_deadline_ms ? request->named_deadline_ms + 500
                                                             : 30000));
  while (!call->ended && !call->broken && !time_reached(world_now(world), till)) {
    if (condition_wait(&world->tasks, &call->progressed, till) == WAKE_STOPPED)
      break;
    if (call->response_body->len && !request->first_byte_received_at.us)
      request->first_byte_received_at = world_now(world);
  }
  request->last_byte_received_at = world_now(world);
  request->status = call->status;
  request->ended = call->ended;
  request->broken = call->broken;
  if (call->response_fields)
    request->received_fields = g_string_new(call->response_fields->str);
  g_string_append_len(request->received_body, call->response_body->str,
                      (gssize)call->response_body->len);
  request->done = true;
  http_call_close(call);
}

fixture_request *fixture_send(fixture *fixture, const char *target, int64_t deadline_ms,
                              const char *extra_fields) {
  fixture_request *request = g_new0(fixture_request, 1);
  request->fixture = fixture;
  request->target = g_strdup(target);
  request->body = g_strdup_printf("{\"bytes\":300,\"n\":%d}", fixture->request_count);
  request->extra_fields = g_string_new(extra_fields);
  request->named_deadline_ms = deadline_ms;
  request->received_body = g_string_new(NULL);
  snprintf(request->request_id_text, sizeof request->request_id_text, "r%06d",
           ++fixture->request_count);
  g_ptr_array_add(fixture->requests, request);
  task_start(&fixture->caller->world.tasks, "attempt", fixture_request_run, request);
  fixture->caller->next_wake_at = fixture->fleet->sim->now;
  return request;
}

static void drain_watch_run(void *p) {
  fixture *fixture = p;
  if (condition_wait(&fixture->node->world.tasks, &fixture->gateway->drain.finished,
                     time_never()) == WAKE_SIGNALLED)
    fixture->drain_finished = true;
}

void fixture_watch_drain(fixture *fixture) {
  task_start(&fixture->node->world.tasks, "watch", drain_watch_run, fixture);
}

int fixture_count_runs(fixture *fixture, const fixture_request *request, bool arrivals) {
  int n = 0;
  for (guint i = 0; i < fixture->log->runs->len; i++) {
    engine_run_record *run = fixture->log->runs->pdata[i];
    if (!strcmp(run->request_id, request->request_id_text) && (arrivals || run->started_at.us))
      n++;
  }
  return n;
}

char *fixture_event_ids(const fixture_request *request) {
  GString *ids = g_string_new(NULL);
  const char *p = request->received_body->str;
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
