#include "deployment.h"
#include "fixture.h"
#include <stdio.h>

/* Tests of graceful shutdown: which requests a draining gateway still accepts, and how the accepted
 * ones end. */

enum { LISTENER_MS = 2600, TRIP_MS = 100, CALLERS = 6, LONG_MS = 60000 };

static const char long_routes[] =
    "{\"version\":1,\"routes\":["
    "{\"name\":\"t\",\"host\":\"svc.example\",\"prefix\":\"/stream/\",\"mode\":\"stream\",\"timeoutMs\":20000,"
    "\"targetMs\":5000,\"priority\":0,\"service\":\"svc\",\"attempts\":1,\"affinity\":true,\"resumable\":false,"
    "\"gapTargetMs\":400},"
    "{\"name\":\"o\",\"host\":\"svc.example\",\"prefix\":\"/once/\",\"mode\":\"once\",\"timeoutMs\":20000,"
    "\"targetMs\":5000,\"priority\":0,\"service\":\"svc\",\"attempts\":1}],"
    "\"services\":[{\"name\":\"svc\",\"health\":\"/health\",\"engine\":{\"slots\":8,\"kvTokens\":100000,"
    "\"kvTokenBytes\":1000,\"weightsMb\":4000,\"adapterSlots\":4,\"loadsPerS\":2,\"models\":[{\"name\":\"m\","
    "\"weightsMb\":1000,\"loadS\":1.5,\"adapters\":4,\"adapterMb\":10}]}}]}";
static const char plain_routes[] =
    "{\"version\":1,\"routes\":["
    "{\"name\":\"o\",\"host\":\"svc.example\",\"prefix\":\"/once/\",\"mode\":\"once\",\"timeoutMs\":60000,"
    "\"targetMs\":20000,\"priority\":0,\"service\":\"svc\",\"attempts\":1},"
    "{\"name\":\"s\",\"host\":\"svc.example\",\"prefix\":\"/safe/\",\"mode\":\"safe\",\"timeoutMs\":60000,"
    "\"targetMs\":20000,\"priority\":0,\"service\":\"svc\",\"attempts\":1}],"
    "\"services\":[{\"name\":\"svc\",\"health\":\"/health\"}]}";

/** Runs until the gateway reports the end of its drain, then ends the process, as the program
 * does. */
static void run_until_drained(fixture *fixture) {
  for (int i = 0; i < 1000 && !fixture->drain_finished; i++)
    fixture_run(fixture, 10);
  if (!fixture->drain_finished)
    fleet_add_violation(fixture->fleet, "the drain does not end");
  host_kill(fixture->node);
  fixture_run(fixture, 200);
}

/** Number of requests that reached an engine although the client sent them after a given time. */
static int count_forwarded_after(fixture *fixture, time_us instant) {
  int n = 0;
  for (guint i = 0; i < fixture->requests->len; i++) {
    fixture_request *request = fixture->requests->pdata[i];
    n += request->request_sent_at.us > instant.us && fixture_count_runs(fixture, request, true);
  }
  return n;
}

static fixture_request *send_stream_request(fixture *fixture, unsigned tokens_out) {
  char fields[128];
  snprintf(fields, sizeof fields,
           "Asterfall-Model: m\r\nAsterfall-Tokens: 400,%u\r\nAsterfall-Prefix: aa:200,bb:200\r\n",
           tokens_out);
  return fixture_send(fixture, "/stream/x", 20000, fields);
}

/* Streams that started before the drain end after the listener is closed. Their clients don't know
 * of the drain, since the response heads were written before it, and send the next request on the
 * same connection. */
static bool pooled_connections_bring_no_requests_after_the_listener_closes(fleet *fleet) {
  fixture *fixture = fixture_new(fleet, long_routes, true, 2, 8);
  fixture_watch_drain(fixture);
  fixture_request *current[CALLERS];
  for (unsigned i = 0; i < CALLERS; i++)
    current[i] = send_stream_request(fixture, 350 + 60 * i);
  fixture_run(fixture, 400);
  time_us drain_started_at = fleet->sim->now;
  gateway_drain(fixture->gateway);
  while (!fixture->drain_finished && fleet->sim->now.us - drain_started_at.us < 9000000) {
    fixture_run(fixture, 10);
    for (int i = 0; i < CALLERS; i++)
      if (current[i]->done && current[i]->ended && current[i]->status == 200)
        current[i] = send_stream_request(fixture, 500);
  }
  run_until_drained(fixture);
  int late = count_forwarded_after(fixture,
                                   time_add(drain_started_at, time_from_ms(LISTENER_MS + TRIP_MS)));
  if (late)
    fleet_add_violation(
        fleet,
        "LOST %d requests were forwarded although they were sent after the listener was closed",
        late);
  for (guint i = 0; i < CALLERS; i++) {
    fixture_request *first = fixture->requests->pdata[i];
    if (first->status != 200 || !first->ended)
      fleet_add_violation(fleet, "LOST %s started before the drain and was cut off (%d)",
                          first->request_id_text, first->status);
  }
  fixture_free(fixture);
  return true;
}

/* requests some streams of a given length, starts the drain, and returns one more request for such
 * a stream */
static fixture_request *send_stream_request_while_draining(fixture *fixture, unsigned tokens_out) {
  enum { STREAMS = 6, ALL_END_MS = 40000, AFTER_STOP_MS = 1500, ANSWER_MS = 300 };
  fixture_watch_drain(fixture);
  for (int i = 0; i < STREAMS; i++)
    send_stream_request(fixture, tokens_out);
  fixture_run(fixture, ALL_END_MS);
  gateway_drain(fixture->gateway);
  fixture_run(fixture, AFTER_STOP_MS);
  fixture_request *late = send_stream_request(fixture, tokens_out);
  fixture_run(fixture, ANSWER_MS);
  return late;
}

/* On a route whose streams last longer than the rest of the grace period, requests are refused at
 * once, while other gateways still have time to serve them; short streams are accepted until the
 * listener is closed. */
static bool streams_that_would_be_cut_off_are_refused(fleet *fleet) {
  enum { LONG_TOKENS = 900, SHORT_TOKENS = 150 };
  fixture *fixture = fixture_new(fleet, long_routes, true, 2, 8);
  fixture_request *late = send_stream_request_while_draining(fixture, LONG_TOKENS);
  double most = route_durations_upper_ms(fixture->gateway->route_durations, id_of_text("t"));
  if (most < (double)gateway_drain_remaining_ms(fixture->gateway))
    fleet_add_violation(fleet, "the streams of this test last %.0f ms, too short for it", most);
  if (!late->done || late->status != 503 || fixture_count_runs(fixture, late, true))
    fleet_add_violation(fleet, "a stream that would be cut off was accepted (status %d)",
                        late->status);
  if (fixture->gateway->counts.unserved[UNSERVED_DRAINING] != 1)
    fleet_add_violation(fleet, "the refusal is not counted under its reason");
  run_until_drained(fixture);
  fixture_free(fixture);
  fixture = fixture_new(fleet, long_routes, true, 2, 8);
  late = send_stream_request_while_draining(fixture, SHORT_TOKENS);
  run_until_drained(fixture);
  if (late->status != 200 || !late->ended)
    fleet_add_violation(fleet, "a short stream was not served (status %d)", late->status);
  fixture_free(fixture);
  return true;
}

/* At the end of the grace period a request may still be at an engine that has sent nothing yet. The
 * client gets a final response that does not say whether the request has run; its connection is not
 * just closed. */
static bool unstarted_responses_get_an_error_at_the_end_of_a_drain(fleet *fleet) {
  fixture *fixture = fixture_new(fleet, plain_routes, false, 2, 8);
  fixture_watch_drain(fixture);
  for (int i = 0; i < FIXTURE_ENGINES; i++)
    if (fixture->engines[i])
      fixture->engines[i]->plan->work_ms = LONG_MS;
  for (int i = 0; i < 4; i++)
    fixture_send(fixture, i % 2 ? "/once/x" : "/safe/x", LONG_MS, "");
  fixture_run(fixture, 400);
  gateway_drain(fixture->gateway);
  run_until_drained(fixture);
  for (guint i = 0; i < fixture->requests->len; i++) {
    fixture_request *request = fixture->requests->pdata[i];
    if (!request->done || !request->ended || (request->status != 502 && request->status != 504))
      fleet_add_violation(fleet,
                          "LOST %s to %s was forwarded and ended without a response (status %d)",
                          request->request_id_text, request->target, request->status);
  }
  fixture_free(fixture);
  return true;
}

/* Clients keep using their open connections, also when the platform sends no new connections to the
 * gateway. */
static bool gateways_drain_under_long_streams(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 6, 2);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  deployment->note->tokens_out = 420;
  deployment->note->requests_per_s = 4;
  deployment_start_traffic(deployment, 1);
  for (int i = 0; i < fleet->routers; i++) {
    sim_run(deployment->sim, time_from_ms(5000));
    deployment_terminate_gateway(deployment, deployment->gateway_processes[i]);
    sim_run(deployment->sim, time_from_ms(9500));
    host_start(fleet->router[i]);
    sim_run(deployment->sim, time_from_ms(4000));
  }
  deployment_finish_traffic(deployment);
  return deployment_finish(deployment, 0.9);
}

static void start_stopped_nodes(fleet *fleet) {
  for (int i = 0; i < fleet->routers; i++)
    if (!fleet->router[i]->alive)
      host_start(fleet->router[i]);
  for (int i = 0; i < fleet->controllers; i++)
    if (!fleet->controller[i]->alive)
      host_start(fleet->controller[i]);
}

static void change_configuration(deployment *deployment, uint64_t *version) {
  uint64_t next = *version + 1 + sim_random(deployment->sim, 3);
  char *text =
      deployment_config(deployment, next, sim_random(deployment->sim, 2) ? "spare" : "ledger");
  operator_sim_change *change =
      operator_sim_send(deployment->operator, next, *version, false, text, true);
  for (int n = 0; n < 200 && !change->done; n++)
    sim_run(deployment->sim, time_from_ms(50));
  if (change->acked_at.us)
    *version = next;
  g_free(text);
}

/* Drains coincide with configuration changes, reloaded settings, draining engines and controller
 * crashes: each gateway is stopped and restarted several times under long streams. */
static bool gateways_drain_during_other_changes(fleet *fleet) {
  enum { STEPS = 14, SETTLE_MS = 11000 };
  deployment *deployment = deployment_new(fleet, 6, 3);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  deployment->note->tokens_out = 420;
  deployment->note->requests_per_s = 4;
  deployment_start_traffic(deployment, 1);
  uint64_t version = 1;
  for (int i = 0; i < STEPS; i++) {
    deployment_process *gateway =
        deployment->gateway_processes[sim_random(deployment->sim, fleet->routers)];
    host *controller = fleet->controller[sim_random(deployment->sim, fleet->controllers)];
    deployment_process *engine =
        deployment->engine_processes[sim_random(deployment->sim, deployment->model_engine_count)];
    switch (sim_random(deployment->sim, 8)) {
    case 0:
      if (gateway->gateway) {
        gateway_settings same = gateway->gateway->settings;
        gateway_reload_settings(gateway->gateway, &same);
      }
      break;
    case 1:
      if (engine->engine)
        registering_engine_sim_drain(engine->engine, 0);
      deployment_record_fault(deployment, engine->host, 'e', 5000);
      break;
    case 2:
      deployment_record_fault(deployment, NULL, 'k', 1500);
      if (controller->alive)
        host_kill(controller);
      break;
    case 3:
    case 4:
      change_configuration(deployment, &version);
      break;
    default:
      if (gateway->gateway && !gateway->gateway->drain.draining)
        deployment_terminate_gateway(deployment, gateway);
    }
    sim_run(deployment->sim, time_from_ms(300 + (int64_t)sim_random(deployment->sim, 4000)));
    start_stopped_nodes(fleet);
  }
  sim_run(deployment->sim, time_from_ms(SETTLE_MS));
  start_stopped_nodes(fleet);
  sim_run(deployment->sim, time_from_ms(SETTLE_MS));
  deployment_finish_traffic(deployment);
  return deployment_finish(deployment, 0.6);
}

/** A client that reads the configuration repeatedly over pooled connections. */
typedef struct routing_reader {
  world *world;
  char addr[64];
  int calls_made, calls_answered, calls_unsent;
  bool stop, done;
} routing_reader;

static void routing_reader_run(void *p) {
  routing_reader *reader = p;
  const char *host = "Host: control\r\n";
  while (!reader->stop && !reader->world->tasks.stopped) {
    fields *fields = g_string_new(host);
    http_call *call = http_call_open_pooled(reader->world, reader->addr, "GET", "/v1/routing",
                                            fields, string_view_of(""), false, time_never());
    g_string_free(fields, TRUE);
    reader->calls_made++;
    time_us till = time_add(world_now(reader->world), time_from_ms(2000));
    GString *got = g_string_new(NULL);
    bool whole = http_call_read_all(call, got, till) == OK;
    reader->calls_answered += whole;
    reader->calls_unsent += !whole && !call->sent;
    g_string_free(got, TRUE);
    http_call_close(call);
    world_sleep(reader->world, time_from_ms(whole ? 1 : 100));
  }
  reader->done = true;
}

typedef struct draining_controller {
  host *host;
  int calls_left;
  bool drain_done;
} draining_controller;

static void draining_controller_run(void *p) {
  draining_controller *draining = p;
  controller *controller = draining->host->controller;
  if (condition_wait(&draining->host->world.tasks, &controller->stopped, time_never()) !=
      WAKE_SIGNALLED)
    return;
  draining->calls_left = controller->control_listener.http.pending_exchanges;
  draining->drain_done = true;
}

/* All controllers are draining, so that a read waits for an acting tail before it is refused. No
 * call that a controller has read may be pending when its process ends. */
static bool draining_controllers_answer_calls_that_they_have_read(fleet *fleet) {
  enum { READERS = 4 };
  deployment *deployment = deployment_new(fleet, 2, 1);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  draining_controller stopping[3];
  routing_reader readers[3 * READERS];
  for (int i = 0; i < fleet->controllers; i++) {
    host *host = fleet->controller[i];
    stopping[i] = (draining_controller){ .host = host, .calls_left = -1 };
    for (int k = 0; k < READERS; k++) {
      routing_reader *reader = &readers[i * READERS + k];
      *reader = (struct routing_reader){ .world = &deployment->operator_host->world };
      snprintf(reader->addr, sizeof reader->addr, "%.*s:%d", (int)strcspn(host->addr, ":"),
               host->addr, host->controller->control_listener.http.port);
      task_start(&deployment->operator_host->world.tasks, "reader", routing_reader_run, reader);
    }
    controller_drain(host->controller);
    task_start(&host->world.tasks, "leaver", draining_controller_run, &stopping[i]);
  }
  deployment->operator_host->next_wake_at = deployment->sim->now;
  for (int i = 0; i < 1000; i++) {
    sim_run(deployment->sim, time_from_ms(10));
    for (int k = 0; k < fleet->controllers; k++)
      if (stopping[k].drain_done && stopping[k].host->alive)
        host_kill(stopping[k].host);
  }
  for (int i = 0; i < fleet->controllers; i++)
    if (stopping[i].calls_left)
      fleet_add_violation(fleet, "%s ended with %d pending calls that it had read",
                          stopping[i].host->self.text, stopping[i].calls_left);
  for (int i = 0; i < fleet->controllers * READERS; i++) {
    readers[i].stop = true;
    if (readers[i].calls_answered < 2)
      fleet_add_violation(fleet, "only %d of %d reads were answered", readers[i].calls_answered,
                          readers[i].calls_made);
  }
  sim_run(deployment->sim, time_from_ms(3000));
  for (int i = 0; i < fleet->controllers; i++)
    host_start(fleet->controller[i]);
  sim_run(deployment->sim, time_from_ms(5000));
  return deployment_finish(deployment, 0);
}

const test_case drain_tests[] = {
  { "pooled_connections_bring_no_requests_after_the_listener_closes",
    pooled_connections_bring_no_requests_after_the_listener_closes, 1, 1, 50 },
  { "streams_that_would_be_cut_off_are_refused", streams_that_would_be_cut_off_are_refused, 1, 1,
    20 },
  { "unstarted_responses_get_an_error_at_the_end_of_a_drain",
    unstarted_responses_get_an_error_at_the_end_of_a_drain, 1, 1, 50 },
  { "gateways_drain_under_long_streams", gateways_drain_under_long_streams, 3, 0, 100 },
  { "gateways_drain_during_other_changes", gateways_drain_during_other_changes, 4, 0, 200 },
  { "draining_controllers_answer_calls_that_they_have_read",
    draining_controllers_answer_calls_that_they_have_read, 2, 0, 50 },
  { NULL, NULL, 0, 0, 0 }
};
