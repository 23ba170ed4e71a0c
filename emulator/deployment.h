#ifndef EMULATOR_DEPLOYMENT_H
#define EMULATOR_DEPLOYMENT_H
#include "client_sim.h"
#include "gateway.h"
#include "registering_engine_sim.h"
#include "fleet.h"

/** @file
 * Gateways over a simulated fleet, for tests of the data plane. */

enum {
  DEPLOYMENT_ENGINES = 64,
  DEPLOYMENT_MODELS = 16,
  /** Time after which no gateway sends requests to an engine whose draining was acknowledged. */
  DEPLOYMENT_DRAIN_MS = 2000,
  /** Grace period between SIGTERM and SIGKILL. */
  DEPLOYMENT_GRACE_S = 8,
  /** Duration of a singleton lease in the deployment's settings. */
  DEPLOYMENT_LEASE_MS = 3000
};

typedef struct deployment deployment;

/** The controller, gateway or engine of a host; the host owns it. */
typedef struct deployment_process {
  deployment *deployment;
  host *host;
  /** The running process of a gateway or an engine; NULL while none is alive. */
  gateway *gateway;
  registering_engine_sim *engine;
  /** For engines. */
  registering_engine_plan plan;
  /** Models that the first process of an engine starts with, or NULL. */
  GPtrArray *initial_models;
} deployment_process;

/** A fault that the test injected. */
typedef struct injected_fault {
  /** NULL: a fault of the control plane. */
  host *host;
  time_us from_at, until;
  /** 't': planned stop by SIGTERM; 'e': fault of an engine; the test may use other letters. */
  char kind;
} injected_fault;

/** A deployment over the hosts of a fleet: controllers with control listeners, gateways, engines
 * that register, clients with a load balancer, and an operator. */
struct deployment {
  fleet *fleet;
  /** The fleet's simulation. */
  sim *sim;
  /** The records of all engines. */
  engine_record_log *log;
  weight_store_sim store;
  engine_model_spec models[DEPLOYMENT_MODELS];
  size_t model_count, model_engine_count, plain_engine_count;
  deployment_process *engine_processes[DEPLOYMENT_ENGINES + 4], *gateway_processes[64],
      *controller_processes[8];
  host *client_host, *operator_host;
  /** Created when their hosts start for the first time. */
  balancer_sim *balancer;
  client_sim *client;
  operator_sim *operator;
  /** Array of injected_fault. */
  GArray *injected_faults;
  GPtrArray *scheduled_kills;
  /** The default request kinds; NULL when add_client_kinds is set. */
  client_sim_kind *chat, *note, *status, *book;
  /** The load rate limit in the configuration. */
  double loads_per_s;
  /** The latest version of the configuration. */
  uint64_t version;
  /** JSON of additional routes, each preceded by a comma. */
  GString *extra_routes;
  /** Replace the default request kinds and the default first configuration, if set before the
   * start. write_config returns a text that is freed by the deployment. */
  void (*add_client_kinds)(deployment *deployment);
  char *(*write_config)(deployment *deployment, uint64_t version);
  /** For these functions. */
  void *context;
};

/** Creates a deployment of controllers with control listeners, and gateways, on the hosts of a
 * fleet; engines and then clients have to be added. Free it with deployment_free or
 * deployment_finish. */
deployment *deployment_new_empty(fleet *fleet);
/** Creates a deployment with clients and the default engines: some with models, and plain ones,
 * which serve requests without a model. */
deployment *deployment_new(fleet *fleet, size_t model_engines, size_t plain_engines);
/** Adds an engine by a plan, with a host and a disk of its own. initial_models names the models
 * that it has loaded from the start, or is NULL; the deployment takes ownership of it. */
deployment_process *deployment_add_engine(deployment *deployment, id area,
                                          registering_engine_plan plan, GPtrArray *initial_models);
/** Adds the clients with their load balancer, and the operator. */
void deployment_add_clients(deployment *deployment);
/** Starts all processes, puts the first configuration and waits until the gateways are ready.
 * Returns false and records a violation when that fails. */
bool deployment_bring_up(deployment *deployment);
/** Ends all processes and frees the deployment, but not its fleet. */
void deployment_free(deployment *deployment);
/** Returns the default configuration as JSON; the caller frees it. Its route for status leads to
 * status_service, or to "ledger" if that is NULL. */
char *deployment_config(deployment *deployment, uint64_t version, const char *status_service);
/** Sends a configuration and waits until the change has ended; the operator owns the returned
 * record. */
operator_sim_change *deployment_put_config(deployment *deployment, uint64_t version, uint64_t base,
                                           const char *text, bool valid);
/** Returns whether a gateway is alive and the load balancer sends requests to every live one. */
bool deployment_is_ready(deployment *deployment);
/** Sends requests for a duration, at rate times their kinds' rates, and waits for all responses. */
void deployment_run_traffic(deployment *deployment, double rate, int64_t ms);
void deployment_start_traffic(deployment *deployment, double rate);
void deployment_finish_traffic(deployment *deployment);
/** Stops a gateway as the platform does: SIGTERM, then SIGKILL after the grace period. */
void deployment_terminate_gateway(deployment *deployment, deployment_process *process);
/** Records a fault of a host, or of the control plane with host NULL, from now for a duration. */
void deployment_record_fault(deployment *deployment, host *host, char kind, int64_t ms);
/** Returns the share of requests sent in [from, until) that were served, for one kind or, with kind
 * NULL, for all; 1 when there are none. */
double deployment_served_ratio(deployment *deployment, const client_sim_kind *kind, time_us from,
                               time_us until);
/** Ends a test: checks the rules and that at least min_served of the requests were served, frees
 * the deployment, and returns whether there is no violation. */
bool deployment_finish(deployment *deployment, double min_served);
#endif
