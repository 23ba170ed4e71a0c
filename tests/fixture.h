#ifndef TESTS_FIXTURE_H
#define TESTS_FIXTURE_H
#include "gateway.h"
#include "instance.h"
#include "tests.h"

/* One gateway without a core: its routing and its engines are put in by hand, so that only the
 * request path is on trial. */
enum { FIXTURE_ENGINES = 4 };
typedef struct fixture fixture;
/** One request of a caller, and what came of it. */
typedef struct fixture_request {
  fixture *fixture;
  char *target, *body, request[24];
  fields *more;
  int64_t left, leave_ms;
  time_us sent, first, last;
  int status;
  fields *in;
  GString *got;
  bool fresh, ended, broken, done;
} fixture_request;
struct fixture {
  fleet *fleet;
  host *node, *caller, *engine_hosts[FIXTURE_ENGINES];
  gateway *gateway;
  em_engine *engines[FIXTURE_ENGINES];
  em_plan plan[FIXTURE_ENGINES];
  em_log *log;
  em_store store;
  gateway_settings settings;
  const char *config;
  GPtrArray *requests, *controllers, *first;
  int request_count;
  uint64_t beats;
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
/** The numbers of the events that came, in order; "bad" when their text is odd. */
char *fixture_ids(const fixture_request *attempt);
#endif
