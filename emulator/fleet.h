#ifndef EMULATOR_FLEET_H
#define EMULATOR_FLEET_H
#include "fleet_check.h"
#include "sim.h"

enum {
  FLEET_ENGINES_MAX = 100,
  /** A singleton lease does not change hands sooner than this after the change before. */
  LEASE_CHANGE_MIN_MS = 2900
};

/** Which node was seen as the holder of a lease, and since when. */
typedef struct sampled_lease_holder {
  id holder;
  time_us since;
} sampled_lease_holder;

/** A fleet of the usual shape: controllers and routers over three areas, engines, a platform,
 * callers and an operator. */
typedef struct fleet {
  sim *sim;
  int controllers, routers, engines, models, adapters;
  host *controller[32], *router[100], *engine[FLEET_ENGINES_MAX], *platform, *callers, *operator;
  double loads_per_s, slow_start_s, streams_per_engine;
  uint64_t seed;
  GString *violations;
  GArray *write_acks, *probes;
  GPtrArray *writes;
  host *prober;
  int marker_count;
  id area[3], kind[3];
  char *rules, *catalogue, *policy;
  bool probing;
  /** By sampling: of each engine, and of the singleton "pacer" after the last engine. */
  sampled_lease_holder lease_holders[FLEET_ENGINES_MAX + 1];
} fleet;
/** What the operator wrote down of one write: when it was sent and answered, and what was said.
 * Status 0 is open. */
typedef struct operator_write {
  time_us sent_at, answered_at;
  int status, resource, marker_status;
  uint64_t version;
  bool patch;
  char *text, idempotency_key[40];
} operator_write;
/** What one request to one router showed of the policy in force there: the status that its rule for
 * marks gives. */
typedef struct policy_probe {
  time_us sent_at, received_at;
  int router, status, code;
  uint64_t incarnation;
} policy_probe;
/** What an operator's call came to. */
typedef struct operator_call {
  int status;
  GString *body;
  bool done;
  time_us answered_at;
  uint64_t version;
  char *method, *path, *text, *if_match, *idempotency_key;
  char addr[48];
  host *host;
  fleet *fleet;
  struct operator_write *write;
  bool self_freeing;
} operator_call;
typedef struct {
  uint64_t version;
  int resource;
  time_us acked_at;
} write_ack;

fleet *fleet_new(uint64_t seed, int routers, int engines);
/** Gives a new fleet the machines, areas, catalogue and policy of a shipped deployment; its sizes
 * have to be the same. */
bool fleet_load_deployment(fleet *fleet, const char *dir);
void fleet_free(fleet *fleet);
/** Starts everything, founds the core and puts the configuration in force. */
bool fleet_bring_up(fleet *fleet);
/** Sends a call to one machine and runs until it is answered, or for a span. */
operator_call *fleet_call(fleet *fleet, host *to, const char *verb, const char *path,
                          const char *text, const char *match, const char *key, time_us span);
/** The same, without waiting. */
operator_call *fleet_send(fleet *fleet, host *to, const char *verb, const char *path,
                          const char *text, const char *match, const char *key);
void operator_call_free(operator_call *call);
/** Puts a resource through any controller that answers; says the version, or 0. */
uint64_t fleet_put(fleet *fleet, const char *res, const char *text);
/** Callers at a rate, for a span; then waits until they are answered. */
void fleet_run_traffic(fleet *fleet, double per_s, time_us span);
void fleet_finish_traffic(fleet *fleet);
/** True when a chain acts and every live router is fresh. */
bool fleet_is_healthy(sim *sim, void *fleet_);
/** The machine that acts as head or tail, or NULL. */
host *fleet_find_head(fleet *fleet);
host *fleet_find_tail(fleet *fleet);
/** The router that holds a duty at this instant, or NULL; more than one is noted as a fault. */
host *fleet_find_lease_holder(fleet *fleet, const char *singleton);
/** The text of a catalogue for the test fleet. */
char *fleet_catalogue_json(int models, int adapters, const char *extra);
#endif
