#ifndef EMULATOR_FLEET_H
#define EMULATOR_FLEET_H
#include "fleet_check.h"
#include "fleet_operator.h"
#include "sim.h"

/** @file
 * A simulated fleet: controllers, routers and engines over three zones, and hosts for the platform,
 * the callers, the operator and the prober. */

enum {
  FLEET_ENGINES_MAX = 100,
  FLEET_ZONES = 3,
  /** Minimum time between two changes of the holder of a singleton lease. */
  FLEET_LEASE_CHANGE_MIN_MS = 2900
};

/** The host that sampling saw as the holder of a lease, and since when. */
typedef struct sampled_lease_holder {
  id holder;
  time_us since;
} sampled_lease_holder;

/** The response of one router to one request of the prober. Its status shows which policy is in
 * force there: each policy marker is a rule that refuses the request with a status of its own. */
typedef struct policy_probe {
  time_us sent_at, received_at;
  int router, status, code;
  /** Incarnation of the router's process. */
  uint64_t incarnation;
} policy_probe;

typedef struct fleet {
  sim *sim;
  /** Number of hosts of each role, and of generated models and adapters; the latter two are 0 when
   * a deployment was loaded. */
  int controllers, routers, engines, models, adapters;
  host *controller[32], *router[100], *engine[FLEET_ENGINES_MAX], *platform, *callers, *operator;
  /** Values of the policy: loadsPerS, slowStartS and streamsMost. */
  double loads_per_s, slow_start_s, streams_per_engine;
  uint64_t seed;
  /** The violations of rules, one a line; empty when there is none. */
  GString *violations;
  /** Arrays of write_ack and policy_probe. */
  GArray *write_acks, *probes;
  /** Array of operator_write. */
  GPtrArray *writes;
  host *prober;
  /** Number of policy markers that were written. */
  int marker_count;
  /** The zones; the first kinds of requests in the policy of a loaded deployment. */
  id zones[FLEET_ZONES], request_kinds[3];
  /** The policy's rules, as the elements of a JSON array. */
  char *rules;
  /** The catalogue and policy of a loaded deployment, or NULL. */
  char *catalogue, *policy;
  /** Whether policy probes are sent. */
  bool probing;
  /** The lease holders that sampling saw: one for each engine, then the one of the singleton
   * "pacer". */
  sampled_lease_holder lease_holders[FLEET_ENGINES_MAX + 1];
} fleet;

/** Creates a fleet whose processes are not started yet; free it with fleet_free. */
fleet *fleet_new(uint64_t seed, int routers, int engines);
/** Gives a new fleet the zones, engines, catalogue and policy of a shipped deployment. Returns
 * false when a file is missing or invalid, or the deployment has other numbers of routers and
 * engines. */
bool fleet_load_deployment(fleet *fleet, const char *folder);
void fleet_free(fleet *fleet);
/** Starts everything, bootstraps the control plane and puts the configuration in force. */
bool fleet_bring_up(fleet *fleet);
/** Sends requests at a rate for a duration, without waiting for the last responses. */
void fleet_run_traffic(fleet *fleet, double requests_per_s, time_us duration);
/** Stops sending requests and runs until all have ended. */
void fleet_finish_traffic(fleet *fleet);
/** Returns whether the chain has an acting head and tail and every running router has a recent
 * configuration. context is the fleet: the function is a condition for sim_run_until. */
bool fleet_is_healthy(sim *sim, void *context);
/** Returns the host that acts as head or tail, or NULL; records a violation when there are two. */
host *fleet_find_head(fleet *fleet);
host *fleet_find_tail(fleet *fleet);
/** Returns the router that holds the lease on a singleton, or NULL; records a violation when there
 * are two. */
host *fleet_find_lease_holder(fleet *fleet, const char *singleton);
/** Returns a catalogue as JSON, with extra text before its last brace unless extra is NULL; the
 * caller frees it. */
char *fleet_catalogue_json(int models, int adapters, const char *extra);
#endif
