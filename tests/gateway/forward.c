#include "event_stream.h"
#include "fixture.h"
#include <stdio.h>
#include <stdlib.h>

/* Tests of the request path alone: one gateway without controllers, and engines that misbehave. */

#define ROUTES(attempts, resumable)                                                                                                                                                     \
  "{\"version\":1,\"routes\":["                                                                                                                                                         \
  "{\"name\":\"o\",\"host\":\"svc.example\",\"prefix\":\"/once/\",\"mode\":\"once\",\"timeoutMs\":3000,\"targetMs\":500,\"priority\":1,\"service\":\"svc\",\"attempts\":" attempts      \
  "},"                                                                                                                                                                                  \
  "{\"name\":\"s\",\"host\":\"svc.example\",\"prefix\":\"/safe/\",\"mode\":\"safe\",\"timeoutMs\":3000,\"targetMs\":500,\"priority\":0,\"service\":\"svc\",\"attempts\":" attempts      \
  "},"                                                                                                                                                                                  \
  "{\"name\":\"t\",\"host\":\"svc.example\",\"prefix\":\"/stream/\",\"mode\":\"stream\",\"timeoutMs\":8000,\"targetMs\":1000,\"priority\":0,\"service\":\"svc\",\"attempts\":" attempts \
  ",\"affinity\":true,\"resumable\":" resumable ",\"gapTargetMs\":400}],"                                                                                                               \
  "\"services\":[{\"name\":\"svc\",\"health\":\"/health\""
#define PLAIN(attempts) ROUTES(attempts, "false") "}]}"
#define LLM(attempts, resumable)                                                                   \
  ROUTES(attempts, resumable)                                                                      \
  ",\"engine\":{\"slots\":8,\"kvTokens\":100000,\"kvTokenBytes\":1000,\"weightsMb\":4000,\"adapterSlots\":4,\"loadsPerS\":2,\"models\":[{\"name\":\"m\",\"weightsMb\":1000,\"loadS\":1.5,\"adapters\":4,\"adapterMb\":10}]}}]}"
#define STREAM                                                                                     \
  "Asterfall-Model: m\r\nAsterfall-Tokens: 400,40\r\nAsterfall-Prefix: aa:200,bb:200\r\n"
static const char all_events[] = "1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19 20";

/* Checks all requests: a 2xx response is complete and belongs to its request, a request that was
 * refused did not run, and, with once set, none ran more than once. */
static void check_responses(fixture *fixture, bool once) {
  for (guint i = 0; i < fixture->requests->len; i++) {
    fixture_request *request = fixture->requests->pdata[i];
    string_view v;
    int runs = fixture_count_runs(fixture, request, false);
    if (once && runs > 1)
      fleet_add_violation(fixture->fleet, "%s ran %d times", request->request_id_text, runs);
    if (!request->done) {
      fleet_add_violation(fixture->fleet, "%s has not ended", request->request_id_text);
      continue;
    }
    if (once && request->status == 503 && runs)
      fleet_add_violation(fixture->fleet, "%s was refused although it ran",
                          request->request_id_text);
    if (request->status / 100 != 2)
      continue;
    if (!fields_get(request->received_fields, "Asterfall-Stamp", &v))
      fleet_add_violation(fixture->fleet, "%s has no stamp", request->request_id_text);
    if (!fields_get(request->received_fields, "Asterfall-Request", &v) ||
        !string_view_equal(v, string_view_of(request->request_id_text)))
      fleet_add_violation(fixture->fleet, "%s got the response to another request",
                          request->request_id_text);
    if (!request->ended || g_str_has_prefix(request->target, "/stream/"))
      continue;
    GString *due = g_string_new(NULL);
    engine_response_body(due, request->request_id_text, 300);
    if (!g_string_equal(due, request->received_body))
      fleet_add_violation(fixture->fleet, "%s got a wrong response body", request->request_id_text);
    g_string_free(due, TRUE);
  }
}

static int count_by_status(fixture *fixture, int status) {
  int n = 0;
  for (guint i = 0; i < fixture->requests->len; i++) {
    fixture_request *request = fixture->requests->pdata[i];
    n += request->done && request->status == status && request->ended;
  }
  return n;
}

static void expect_between(fixture *fixture, const char *what, int64_t is, int64_t least,
                           int64_t most) {
  if (is < least || is > most)
    fleet_add_violation(fixture->fleet, "%s: %" PRId64 ", not %" PRId64 " to %" PRId64, what, is,
                        least, most);
}

static void expect_all_events(fixture *fixture, int n) {
  for (int i = 0; i < n; i++) {
    fixture_request *request = fixture->requests->pdata[i];
    char *ids = fixture_event_ids(request);
    if (strcmp(ids, all_events))
      fleet_add_violation(fixture->fleet, "%s received the events %s", request->request_id_text,
                          ids);
    g_free(ids);
  }
}

static bool requests_are_forwarded(fleet *fleet) {
  fixture *fixture = fixture_new(fleet, PLAIN("2"), false, 2, 6);
  for (int i = 0; i < 40; i++) {
    fixture_send(fixture, i % 2 ? "/once/x?y=1" : "/safe/x", 2000,
                 i % 3 ? NULL : "X-Other: kept\r\nConnection: close\r\n");
    fixture_run(fixture, 30);
  }
  fixture_run(fixture, 1000);
  check_responses(fixture, true);
  expect_between(fixture, "served", count_by_status(fixture, 200), 40, 40);
  for (guint i = 0; i < fixture->log->runs->len; i++) {
    engine_run_record *run = fixture->log->runs->pdata[i];
    fixture_request *request = fixture->requests->pdata[atoi(run->request_id + 1) - 1];
    if (run->request_checksum !=
        engine_request_checksum("POST", request->target, string_view_of(request->body)))
      fleet_add_violation(fleet, "%s was modified on the way to the engine", run->request_id);
  }
  fixture_request *none = fixture_send(fixture, "/nowhere/x", 2000, NULL),
                  *nameless = fixture_send(fixture, "/safe/x", 2000, NULL);
  nameless->request_id_text[0] = 0;
  fixture_run(fixture, 1000);
  expect_between(fixture, "no route", none->status, 404, 404);
  expect_between(fixture, "no id", nameless->status, 400, 400);
  fixture_free(fixture);
  return true;
}

static bool streams_are_forwarded(fleet *fleet) {
  fixture *fixture = fixture_new(fleet, LLM("2", "true"), true, 2, 8);
  for (int i = 0; i < 12; i++) {
    fixture_send(fixture, "/stream/x", 6000, STREAM);
    fixture_run(fixture, 60);
  }
  fixture_request *odd = fixture_send(fixture, "/stream/x", 6000,
                                      "Asterfall-Model: other\r\nAsterfall-Tokens: 400,40\r\n");
  fixture_run(fixture, 4000);
  check_responses(fixture, true);
  expect_between(fixture, "served", count_by_status(fixture, 200), 12, 12);
  expect_between(fixture, "an unknown model", odd->status, 404, 404);
  expect_all_events(fixture, 12);
  /* events are relayed as they are generated: the first one long before the last one */
  for (int i = 0; i < 12; i++) {
    fixture_request *request = fixture->requests->pdata[i];
    if (time_sub(request->last_byte_received_at, request->first_byte_received_at).us < 100000)
      fleet_add_violation(fleet, "%s was received in one piece", request->request_id_text);
  }
  fixture_free(fixture);
  return true;
}

/* Engines truncate responses and send extra, stale or garbage ones. A request that may run only
 * once must not be sent again. */
static bool once_requests_are_sent_once(fleet *fleet) {
  fixture *fixture = fixture_new(fleet, PLAIN("3"), false, 3, 6);
  for (int i = 0; i < 60; i++) {
    registering_engine_faults *faults = &fixture->plan[i % 3].faults;
    if (i % 10 == 3)
      faults->truncate_responses = 1;
    if (i % 10 == 5)
      faults->extra_responses = 1;
    if (i % 10 == 7)
      faults->stale_responses = 1;
    if (i % 10 == 9)
      faults->garbage_responses = 1;
    fixture_send(fixture, "/once/x", 2000, NULL);
    fixture_run(fixture, 40);
  }
  fixture_run(fixture, 3500);
  check_responses(fixture, true);
  expect_between(fixture, "served", count_by_status(fixture, 200), 40, 60);
  expect_between(fixture, "failed", count_by_status(fixture, 502), 1, 20);
  fixture_free(fixture);
  return true;
}

static bool safe_requests_are_retried(fleet *fleet) {
  fixture *fixture = fixture_new(fleet, PLAIN("3"), false, 3, 6);
  fixture->plan[0].faults.intermittent_failures = 0.2;
  for (int i = 0; i < 60; i++) {
    if (i % 10 == 3)
      fixture->plan[i % 3].faults.truncate_responses = 1;
    if (i % 10 == 6)
      fixture->plan[i % 3].faults.lose_responses = 1;
    fixture_send(fixture, "/safe/x", 2500, NULL);
    fixture_run(fixture, 40);
  }
  fixture_run(fixture, 3500);
  check_responses(fixture, false);
  expect_between(fixture, "served", count_by_status(fixture, 200), 57, 60);
  for (guint i = 0; i < fixture->requests->len; i++)
    expect_between(fixture, "arrivals of one",
                   fixture_count_runs(fixture, fixture->requests->pdata[i], true), 1, 3);
  fixture_free(fixture);
  return true;
}

/* makes the engine that received the last request truncate its next response */
static void break_last_engine(fixture *fixture) {
  if (!fixture->log->runs->len)
    return;
  engine_run_record *run = fixture->log->runs->pdata[fixture->log->runs->len - 1];
  for (int i = 0; i < FIXTURE_ENGINES; i++)
    if (fixture->engines[i] && id_equal(fixture->engines[i]->self, run->engine))
      fixture->plan[i].faults.truncate_responses = 1;
}

/* An engine truncates a stream. On a resumable route another engine continues it without a gap; on
 * other routes the client must see that it is incomplete. */
static bool streams_are_resumed(fleet *fleet) {
  fixture *fixture = fixture_new(fleet, LLM("3", "true"), true, 3, 8);
  for (int i = 0; i < 3; i++)
    fixture->plan[i].faults.truncate_after_events = 4 + (unsigned)sim_random(fleet->sim, 10);
  for (int i = 0; i < 15; i++) {
    if (i % 3 == 1)
      break_last_engine(fixture);
    fixture_send(fixture, "/stream/x", 7000, STREAM);
    fixture_run(fixture, 150);
  }
  fixture_run(fixture, 5000);
  check_responses(fixture, false);
  expect_between(fixture, "served", count_by_status(fixture, 200), 15, 15);
  expect_between(fixture, "resumed", (int64_t)fixture->gateway->counts.resumed, 1, 5);
  expect_all_events(fixture, 15);
  fixture_free(fixture);
  return true;
}

static bool truncated_streams_do_not_look_complete(fleet *fleet) {
  fixture *fixture = fixture_new(fleet, LLM("3", "false"), true, 3, 8);
  for (int i = 0; i < 3; i++)
    fixture->plan[i].faults.truncate_after_events = (unsigned)sim_random(fleet->sim, 10);
  for (int i = 0; i < 15; i++) {
    if (i % 3 == 1)
      break_last_engine(fixture);
    fixture_send(fixture, "/stream/x", 7000, STREAM);
    fixture_run(fixture, 150);
  }
  fixture_run(fixture, 6000);
  check_responses(fixture, true);
  int cut = 0;
  for (int i = 0; i < 15; i++) {
    fixture_request *request = fixture->requests->pdata[i];
    char *ids = fixture_event_ids(request);
    bool all = !strcmp(ids, all_events);
    if (request->status == 200 && request->ended && !all)
      fleet_add_violation(fleet, "%s looks complete with the events %s", request->request_id_text,
                          ids);
    cut += !all;
    g_free(ids);
  }
  expect_between(fixture, "cut", cut, 1, 5);
  fixture_free(fixture);
  return true;
}

/* The machine of an engine loses power. Requests that may be sent only once use new connections and
 * are not lost on a pooled connection to the dead machine. */
static bool once_requests_are_not_lost_to_a_dead_machine(fleet *fleet) {
  fixture *fixture = fixture_new(fleet, PLAIN("1"), false, 3, 6);
  for (int i = 0; i < 20; i++) {
    fixture_send(fixture, "/once/x", 2000, NULL);
    fixture_run(fixture, 50);
  }
  host_power_off(fixture->engine_hosts[0]);
  fixture->heartbeats_stopped[0] = true;
  /* an engine that has not been heard from for a while gets no request over a pooled connection */
  fixture_run(fixture, 2500);
  for (int i = 0; i < 10; i++)
    fixture_send(fixture, "/once/x", 2000, NULL);
  fixture_run(fixture, 2500);
  expect_between(fixture, "served after a pause", count_by_status(fixture, 200), 30, 30);
  for (int i = 0; i < 100; i++) {
    fixture_send(fixture, "/once/x", 2000, NULL);
    fixture_run(fixture, 100);
  }
  fixture_run(fixture, 3000);
  check_responses(fixture, true);
  expect_between(fixture, "served", count_by_status(fixture, 200), 126, 130);
  fixture_free(fixture);
  return true;
}

/* Far more requests arrive than there are slots: some are served, and all others are refused
 * early. */
static bool overload_is_refused_early(fleet *fleet) {
  fixture *fixture = fixture_new(fleet, PLAIN("1"), false, 2, 2);
  for (int i = 0; i < 2; i++) {
    fixture->plan[i].work_ms = 300;
    fixture->plan[i].queue = 8;
  }
  for (int i = 0; i < 150; i++) {
    fixture_send(fixture, "/once/x", 2000, NULL);
    fixture_run(fixture, 20);
  }
  fixture_run(fixture, 4000);
  check_responses(fixture, true);
  expect_between(fixture, "served", count_by_status(fixture, 200), 25, 60);
  expect_between(fixture, "served or refused",
                 count_by_status(fixture, 200) + count_by_status(fixture, 503), 150, 150);
  int late = 0;
  for (guint i = 0; i < fixture->requests->len; i++) {
    fixture_request *request = fixture->requests->pdata[i];
    string_view v;
    if (request->status != 503)
      continue;
    if (!fields_get(request->received_fields, "Retry-After", &v))
      fleet_add_violation(fleet, "%s was refused without Retry-After", request->request_id_text);
    else if (g_ascii_strtod(v.data, NULL) > 0.667)
      fleet_add_violation(fleet, "%s is to be retried only after %.*s s", request->request_id_text,
                          (int)v.length, v.data);
    late += time_sub(request->last_byte_received_at, request->request_sent_at).us > 180000;
  }
  expect_between(fixture, "refused late", late, 0, 20);
  fixture_free(fixture);
  return true;
}

static bool runs_end_when_clients_disconnect(fleet *fleet) {
  fixture *fixture = fixture_new(fleet, LLM("2", "true"), true, 2, 8);
  for (int i = 0; i < 10; i++) {
    fixture_request *request = fixture_send(fixture, "/stream/x", 6000, STREAM);
    request->disconnect_after_ms = 30 + (int64_t)sim_random(fleet->sim, 250);
    fixture_run(fixture, 50);
  }
  fixture_run(fixture, 1500);
  expect_between(fixture, "open", fixture->gateway->requests.open_count, 0, 0);
  for (guint i = 0; i < fixture->log->runs->len; i++) {
    engine_run_record *run = fixture->log->runs->pdata[i];
    if (run->outcome == 'r' || (run->outcome == 'd' && run->events < 20))
      fleet_add_violation(fleet, "%s is still running", run->request_id);
  }
  for (int i = 0; i < 2; i++) {
    gateway_engine *n = gateway_engine_find(fixture->gateway, fixture->engines[i]->self.text);
    expect_between(fixture, "running there", n ? n->load.own_running : -1, 0, 0);
    expect_between(fixture, "refs", n ? n->refs : -1, 0, 0);
  }
  fixture_free(fixture);
  return true;
}

static void readiness_run(void *p) {
  fixture_request *request = p;
  request->status =
      http_call_fetch(&request->fixture->caller->world, "10.9.0.1:8140", "GET", "/ready", NULL,
                      string_view_of(""), request->received_body, time_from_ms(500), NULL);
  request->done = true;
}

static int readiness_status(fixture *fixture) {
  fixture_request k = { .fixture = fixture, .received_body = g_string_new(NULL) };
  task_start(&fixture->caller->world.tasks, "ready", readiness_run, &k);
  fixture->caller->next_wake_at = fixture->fleet->sim->now;
  fixture_run(fixture, 600);
  g_string_free(k.received_body, TRUE);
  return k.done ? k.status : -1;
}

static bool a_gateway_drains_gracefully(fleet *fleet) {
  fixture *fixture = fixture_new(fleet, LLM("1", "false"), true, 2, 8);
  expect_between(fixture, "ready", readiness_status(fixture), 200, 200);
  fixture_watch_drain(fixture);
  for (int i = 0; i < 8; i++) {
    fixture_send(fixture, "/stream/x", 6000, STREAM);
    fixture_run(fixture, 40);
  }
  gateway_drain(fixture->gateway);
  expect_between(fixture, "ready while it leaves", readiness_status(fixture), 503, 503);
  for (int i = 0; i < 8; i++) {
    fixture_request *request = fixture_send(fixture, "/stream/x", 6000, STREAM);
    request->use_new_connection = true;
    fixture_run(fixture, 100);
  }
  for (int i = 0; i < 70 && !fixture->drain_finished; i++)
    fixture_run(fixture, 100);
  expect_between(fixture, "over", fixture->drain_finished, 1, 1);
  expect_between(fixture, "open", fixture->gateway->requests.open_count, 0, 0);
  check_responses(fixture, true);
  expect_between(fixture, "served", count_by_status(fixture, 200), 16, 16);
  fixture_free(fixture);
  return true;
}

/* A client's pooled connection that is idle once all requests are served must be closed: a further
 * request on it would be cut off when the process exits. */
static bool a_draining_gateway_closes_idle_connections(fleet *fleet) {
  fixture *fixture = fixture_new(fleet, LLM("1", "false"), true, 2, 8);
  fixture_watch_drain(fixture);
  for (int i = 0; i < 4; i++)
    fixture_send(fixture, "/stream/x", 6000, STREAM);
  fixture_run(fixture, 2000);
  expect_between(fixture, "idle channels before", fixture->gateway->client_listener.connections > 0,
                 1, 1);
  gateway_drain(fixture->gateway);
  for (int i = 0; i < 500 && !fixture->drain_finished; i++)
    fixture_run(fixture, 10);
  expect_between(fixture, "over", fixture->drain_finished, 1, 1);
  expect_between(fixture, "open at the end",
                 fixture->gateway->requests.open_count +
                     fixture->gateway->client_listener.pending_exchanges,
                 0, 0);
  expect_between(fixture, "channels at the end", fixture->gateway->client_listener.connections, 0,
                 0);
  fixture_free(fixture);
  return true;
}

/* Complete events are found with either kind of line end, and their fields are parsed. */
static bool events_are_parsed(fleet *fleet) {
  static const struct {
    const char *text;
    size_t whole, first;
    bool has_id, has_data;
    uint64_t id;
    const char *versions;
  } cases[] = {
    { "id: 7\ndata: x\n\nid: 8\n", 15, 15, true, true, 7, "" },
    { "id: 7\r\ndata: x\r\n\r\n", 18, 18, true, true, 7, "" },
    { "data: x\n", 0, 8, false, true, 0, "" },
    { "id: 7x\ndata: x\n\n", 16, 16, false, true, 7, "" },
    { "id:\n\n", 5, 5, false, false, 0, "" },
    { "Versions: 12\nid: 3\ndata: x\n\n", 28, 28, true, true, 3, "12" },
    { ": note\n\n", 8, 8, false, false, 0, "" },
    { "\n\n", 2, 1, false, false, 0, "" },
  };
  for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
    size_t n = strlen(cases[i].text);
    event_info head;
    size_t whole = event_complete_length(cases[i].text, n),
           first = event_parse(cases[i].text, n, "versions", &head);
    if (whole != cases[i].whole || first != cases[i].first)
      fleet_add_violation(fleet, "event %zu: whole %zu, first %zu", i, whole, first);
    if (head.has_id != cases[i].has_id || head.has_data != cases[i].has_data ||
        (head.has_id && head.id != cases[i].id) ||
        !string_view_equal(head.weight_versions, string_view_of(cases[i].versions)))
      fleet_add_violation(fleet, "event %zu is parsed wrongly", i);
  }
  return true;
}

const test_case forward_tests[] = {
  { "events_are_parsed", events_are_parsed, 1, 1, 2 },
  { "requests_are_forwarded", requests_are_forwarded, 1, 1, 50 },
  { "streams_are_forwarded", streams_are_forwarded, 1, 1, 50 },
  { "once_requests_are_sent_once", once_requests_are_sent_once, 1, 1, 100 },
  { "safe_requests_are_retried", safe_requests_are_retried, 1, 1, 100 },
  { "streams_are_resumed", streams_are_resumed, 1, 1, 100 },
  { "truncated_streams_do_not_look_complete", truncated_streams_do_not_look_complete, 1, 1, 100 },
  { "once_requests_are_not_lost_to_a_dead_machine", once_requests_are_not_lost_to_a_dead_machine, 1,
    1, 100 },
  { "overload_is_refused_early", overload_is_refused_early, 1, 1, 50 },
  { "runs_end_when_clients_disconnect", runs_end_when_clients_disconnect, 1, 1, 50 },
  { "a_gateway_drains_gracefully", a_gateway_drains_gracefully, 1, 1, 50 },
  { "a_draining_gateway_closes_idle_connections", a_draining_gateway_closes_idle_connections, 1, 1,
    50 },
  { NULL, NULL, 0, 0, 0 }
};
