#ifndef EMULATOR_FLEET_H
#define EMULATOR_FLEET_H
#include "fleet_check.h"
#include "fleet_operator.h"
#include "sim.h"

/** @file
 * A simulated fleet of the usual shape: controllers and routers over three zones, engines, a
 * platform, callers, an operator and a prober. */

enum {
  FLEET_ENGINES_MAX = 100,
  FLEET_ZONES = 3,
  /** A singleton lease does not change hands sooner than this after the change before. */
  LEASE_CHANGE_MIN_MS = 2900
};

/** Which node was seen as the holder of a lease, and since when. */
typedef struct sampled_lease_holder {
  id holder;
  time_us since;
} sampled_lease_holder;

/** What one request to one router showed of the policy in force there: the status that the rule of
 * its policy marker gives. */
typedef struct policy_probe {
  time_us sent_at, received_at;
  int router, status, code;
  /** Of the router's process. */
  uint64_t incarnation;
} policy_probe;

typedef struct fleet {
  sim *sim;
  /** How many there are; of models and adapters beside those of a loaded deployment. */
  int controllers, routers, engines, models, adapters;
  host *controller[32], *router[100], *engine[FLEET_ENGINES_MAX], *platform, *callers, *operator;
  /** As in the policy. */
  double loads_per_s, slow_start_s, streams_per_engine;
  uint64_t seed;
  /** One violation a line; empty when nothing is wrong. */
  GString *violations;
  /** Of write_ack, and of policy_probe. */
  GArray *write_acks, *probes;
  /** Of operator_write. */
  GPtrArray *writes;
  host *prober;
  /** How many policy markers were written. */
  int marker_count;
  id area[FLEET_ZONES], kind[3];
  /** The policy's rules, as the elements of a JSON array. */
  char *rules;
  /** The catalogue and policy of a loaded deployment, or NULL. */
  char *catalogue, *policy;
  /** Whether policy probes are sent. */
  bool probing;
  /** By sampling: of each engine, and of the singleton "pacer" after the last engine. */
  sampled_lease_holder lease_holders[FLEET_ENGINES_MAX + 1];
} fleet;

/** A fleet whose processes are not started; freed by fleet_free. */
fleet *fleet_new(uint64_t seed, int routers, int engines);
/** Gives a new fleet the hosts, zones, catalogue and policy of a shipped deployment; its sizes have
 * to be the same, else false. */
bool fleet_load_deployment(fleet *fleet, const char *folder);
void fleet_free(fleet *fleet);
/** Starts everything, bootstraps the control plane and puts the configuration in force. */
bool fleet_bring_up(fleet *fleet);
/** Sends requests at a rate for a span. */
void fleet_run_traffic(fleet *fleet, double requests_per_s, time_us span);
/** Sends no more requests, and runs until all are answered. */
void fleet_finish_traffic(fleet *fleet);
/** True when a chain acts and every live router has a recent configuration; context is the fleet,
 * so that it can be given to sim_run_until. */
bool fleet_is_healthy(sim *sim, void *context);
/** The host that acts as head or tail, or NULL; two are a violation. */
host *fleet_find_head(fleet *fleet);
host *fleet_find_tail(fleet *fleet);
/** The router that holds the lease on a singleton, or NULL; two are a violation. */
host *fleet_find_lease_holder(fleet *fleet, const char *singleton);
/** A catalogue for the fleet, with extra text before its last brace unless NULL; the caller frees
 * it. */
char *fleet_catalogue_json(int models, int adapters, const char *extra);
#endif
