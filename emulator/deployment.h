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
  /** Until no gateway sends to an engine whose draining was acknowledged. */
  DRAIN_MS = 2000,
  /** From SIGTERM to SIGKILL. */
  GRACE_S = 8,
  /** Length of a singleton lease in the deployment's settings. */
  DEPLOYMENT_LEASE_MS = 3000
};

typedef struct deployment deployment;

/** One process of ours, or of an engine; its host owns it. */
typedef struct deployment_process {
  deployment *deployment;
  host *host;
  /** The present process by kind, NULL while none is alive. */
  gateway *gateway;
  registering_engine_sim *engine;
  /** Of an engine. */
  registering_engine_plan plan;
  /** What its first process starts with, or NULL. */
  GPtrArray *initial_models;
} deployment_process;

/** A fault as the test made it. */
typedef struct injected_fault {
  /** NULL: of the control plane. */
  host *host;
  time_us from_at, until;
  /** 't': planned stop by SIGTERM; 'e': fault of an engine; others as the test likes. */
  char kind;
} injected_fault;

/** Gateways over a fleet: controllers with control listeners, gateways, engines that register,
 * clients with a balancer, and an operator. */
struct deployment {
  fleet *fleet;
  /** The fleet's. */
  sim *sim;
  /** What all engines recorded. */
  engine_record_log *log;
  weight_store_sim store;
  engine_model_spec models[DEPLOYMENT_MODELS];
  size_t model_count, model_engine_count, plain_engine_count;
  deployment_process *engine_processes[DEPLOYMENT_ENGINES + 4], *gateway_processes[64],
      *controller_processes[8];
  host *client_host, *operator_host;
  /** Made when their hosts first start. */
  balancer_sim *balancer;
  client_sim *client;
  operator_sim *operator;
  /** Of injected_fault. */
  GArray *injected_faults;
  GPtrArray *scheduled_kills;
  /** The usual request kinds; NULL when add_client_kinds is set. */
  client_sim_kind *chat, *note, *status, *book;
  /** The limit on loads in the configuration. */
  double loads_per_s;
  /** The latest version of the configuration. */
  uint64_t version;
  /** JSON of routes beside the usual ones, each after a comma. */
  GString *extra_routes;
  /** Set by whoever brings a fleet of its own, before the start: adds the clients' request kinds,
   * and writes the first configuration. */
  void (*add_client_kinds)(deployment *deployment);
  char *(*write_config)(deployment *deployment, uint64_t version);
  void *ctx;
};

/** Controllers with control listeners, and gateways, on the hosts of a fleet; engines and then
 * clients have to be added. Freed by deployment_free or deployment_finish. */
deployment *deployment_new_empty(fleet *fleet);
/** The same with the usual engines, and clients. */
deployment *deployment_new(fleet *fleet, size_t model_engines, size_t plain_engines);
/** Adds an engine by a plan, with a host and a disk of its own; initial_models, which it takes
 * over, names what it has loaded from the start, or is NULL. */
deployment_process *deployment_add_engine(deployment *deployment, id area,
                                          registering_engine_plan plan, GPtrArray *initial_models);
/** Adds the clients with their balancer, and the operator. */
void deployment_add_clients(deployment *deployment);
/** Starts all, puts the first configuration in force, and waits until the gateways are ready;
 * false, with a violation, when that fails. */
bool deployment_bring_up(deployment *deployment);
/** Ends all processes and frees the deployment, but not its fleet. */
void deployment_free(deployment *deployment);
/** The usual configuration; its route for status goes to a service, or with NULL to the usual one.
 * The caller frees it. */
char *deployment_config(deployment *deployment, uint64_t version, const char *status_service);
/** Sends a configuration and waits for its answer; the operator owns what is returned. */
operator_sim_change *deployment_put_config(deployment *deployment, uint64_t version, uint64_t base,
                                           const char *text, bool valid);
/** True when the balancer sends to every gateway that is alive. */
bool deployment_is_ready(deployment *deployment);
/** Sends requests for a span, at so many times their usual rate, and waits for all responses. */
void deployment_run_traffic(deployment *deployment, double rate, int64_t ms);
void deployment_start_traffic(deployment *deployment, double rate);
void deployment_finish_traffic(deployment *deployment);
/** Stops a gateway as the platform does: SIGTERM, and SIGKILL after the grace. */
void deployment_terminate_gateway(deployment *deployment, deployment_process *process);
/** Records a fault of a host, or of the control plane with host NULL, from now for a span. */
void deployment_record_fault(deployment *deployment, host *host, char kind, int64_t ms);
/** Share of the requests that were served, of those sent in [from, until); kind NULL: of all kinds.
 * 1 when there are none. */
double deployment_served_ratio(deployment *deployment, const client_sim_kind *kind, time_us from,
                               time_us until);
/** Ends a test: checks the rules and the share of requests that were served, frees the deployment,
 * and returns whether there is no violation. */
bool deployment_finish(deployment *deployment, double min_served);
#endif
