/** One gateway without controllers: the test installs its routing and its engines, so that only the
 * request path is tested. */
#ifndef TESTS_FIXTURE_H
#define TESTS_FIXTURE_H
#include "gateway.h"
#include "registering_engine_sim.h"
#include "tests.h"

enum { FIXTURE_ENGINES = 4 };
typedef struct fixture fixture;

/** One client request and its result. Owned by the fixture. */
typedef struct fixture_request {
  fixture *fixture;
  /** The path, body and request id to send. */
  char *target, *body, request_id_text[24];
  /** Additional header fields, or NULL. */
  fields *extra_fields;
  /** The deadline that the request states (0: none), and the time after which the client
   * disconnects (0: half a second after the deadline, or after 30 s); both in ms. */
  int64_t named_deadline_ms, disconnect_after_ms;
  /** When the request was sent, and when the first and the last byte of the response arrived. */
  time_us request_sent_at, first_byte_received_at, last_byte_received_at;
  int status;
  /** Header fields and body of the response. */
  fields *received_fields;
  GString *received_body;
  /** Whether to use a new connection; whether the response ended or broke off; whether the client
   * task has returned. */
  bool use_new_connection, ended, broken, done;
} fixture_request;

struct fixture {
  /** The fleet is owned by the test, the hosts by the simulator. */
  fleet *fleet;
  host *node, *caller, *engine_hosts[FIXTURE_ENGINES];
  /** NULL unless its host is alive. */
  gateway *gateway;
  registering_engine_sim *engines[FIXTURE_ENGINES];
  registering_engine_plan plan[FIXTURE_ENGINES];
  engine_record_log *log;
  weight_store_sim store;
  gateway_settings settings;
  /** JSON of the current routing. */
  const char *config;
  GPtrArray *requests, *controllers, *preloaded_models;
  int request_count;
  uint64_t heartbeats_sent;
  /** Whether the gateway has reported the end of its drain; which engines send no heartbeats. */
  bool drain_finished, heartbeats_stopped[FIXTURE_ENGINES];
};

/** Creates a gateway with engines of one service, which hold the model "m" if llm is set. On return
 * the configuration is installed and the engines are known. */
fixture *fixture_new(fleet *fleet, const char *config, bool llm, int engines, unsigned slots);
void fixture_free(fixture *fixture);
/** Runs the simulation for a time, and sends the gateway the states of live engines twice a
 * second. */
void fixture_run(fixture *fixture, int64_t ms);
/** Sends a request; extra_fields: additional header fields, or NULL. */
fixture_request *fixture_send(fixture *fixture, const char *target, int64_t deadline_ms,
                              const char *extra_fields);
/** Starts a task that sets drain_finished when the gateway reports the end of its drain. */
void fixture_watch_drain(fixture *fixture);
/** Number of times that engines ran a request or, with arrivals set, received it. */
int fixture_count_runs(fixture *fixture, const fixture_request *request, bool arrivals);
/** The ids of the received events in order; "bad" when their text is malformed. */
char *fixture_event_ids(const fixture_request *request);
#endif
