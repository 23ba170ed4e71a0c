/**
 * One gateway without controllers: the test puts its routing and its engines in, so that only the
 * request path is tested.
 */
#ifndef TESTS_FIXTURE_H
#define TESTS_FIXTURE_H
#include "gateway.h"
#include "registering_engine_sim.h"
#include "tests.h"

enum { FIXTURE_ENGINES = 4 };
typedef struct fixture fixture;

/** One request of a caller, and what came of it. Owned by the fixture. */
typedef struct fixture_request {
  fixture *fixture;
  /** Path, body and request id that are sent. */
  char *target, *body, request[24];
  /** Further header fields, or NULL. */
  fields *more;
  /** Deadline that the request names (0: none), and after how long its caller disconnects (0: half
   * a second after the deadline, or after 30 s); both in ms. */
  int64_t left, leave_ms;
  /** When it was sent, and when the first and the last byte of the response came. */
  time_us sent, first, last;
  int status;
  /** Header fields and body of the response. */
  fields *in;
  GString *got;
  /** On a new connection; the response ended, was cut off; the task of the caller has returned. */
  bool fresh, ended, broken, done;
} fixture_request;

struct fixture {
  /** The fleet is the test's; hosts are the simulator's. */
  fleet *fleet;
  host *node, *caller, *engine_hosts[FIXTURE_ENGINES];
  /** Set while its host is alive. */
  gateway *gateway;
  registering_engine_sim *engines[FIXTURE_ENGINES];
  registering_engine_plan plan[FIXTURE_ENGINES];
  engine_record_log *log;
  weight_store_sim store;
  gateway_settings settings;
  /** JSON of the routing in force. */
  const char *config;
  GPtrArray *requests, *controllers, *first;
  int request_count;
  uint64_t beats;
  /** The gateway reported that it has drained; engines that send no heartbeats. */
  bool over, silent[FIXTURE_ENGINES];
};

/** A gateway with engines of one service; llm ones hold the model "m". The configuration is in
 * force, and engines are known. */
fixture *fixture_new(fleet *fleet, const char *config, bool llm, int engines, unsigned slots);
void fixture_free(fixture *fixture);
/** Runs on, and tells the gateway of live engines twice a second. */
void fixture_run(fixture *fixture, int64_t ms);
/** Sends a request; more: further fields, or NULL. */
fixture_request *fixture_ask(fixture *fixture, const char *target, int64_t left, const char *more);
/** Notes in fixture->over when the gateway says that it has drained. */
void fixture_watch_end(fixture *fixture);
/** The number of runs, or of arrivals, of a request at engines. */
int fixture_runs(fixture *fixture, const fixture_request *attempt, bool arrivals);
/** The numbers of the events that came, in order; "bad" when their text is malformed. */
char *fixture_ids(const fixture_request *attempt);
#endif
