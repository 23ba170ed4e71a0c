#ifndef EMULATOR_DEPLOYMENT_H
#define EMULATOR_DEPLOYMENT_H
#include "client_sim.h"
#include "gateway.h"
#include "registering_engine_sim.h"
#include "fleet.h"

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
/** One machine of ours, or of an engine. */
typedef struct deployment_process {
  deployment *deployment;
  host *host;
  gateway *gateway;
  registering_engine_sim *engine;
  registering_engine_plan plan;
  GPtrArray *initial_models;
} deployment_process;
/** Trouble of one machine, or of the core (no host), as the test made it. */
typedef struct injected_fault {
  host *host;
  time_us from_at, until;
  char kind;
} injected_fault;

/** Gateways over a fleet: controllers with control listeners, gateways, engines that register,
 * clients, a balancer and an operator. */
struct deployment {
  fleet *fleet;
  sim *sim;
  engine_record_log *log;
  weight_store_sim store;
  engine_model_spec models[DEPLOYMENT_MODELS];
  size_t model_count, model_engine_count, plain_engine_count;
  deployment_process *engine_processes[DEPLOYMENT_ENGINES + 4], *gateway_processes[64],
      *controller_processes[8];
  host *client_host, *operator_host;
  balancer_sim *balancer;
  client_sim *client;
  operator_sim *operator;
  GArray *injected_faults;
  GPtrArray *scheduled_kills;
  client_sim_kind *chat, *note, *status, *book;
  double loads_per_s;
  uint64_t version;
  GString *extra_routes;
  /** Given by whoever brings a fleet of his own: the callers' kinds, and the text of a
   * configuration. */
  void (*add_client_kinds)(deployment *deployment);
  char *(*write_config)(deployment *deployment, uint64_t version);
  void *ctx;
};

/** Controllers with control listeners and gateways; engines and then people have to be added. */
deployment *deployment_new_empty(fleet *fleet);
/** Adds an engine, which has the plan's place and its own disk; first names what it holds from the
 * start (or NULL). */
deployment_process *deployment_add_engine(deployment *deployment, id area,
                                          registering_engine_plan plan, GPtrArray *first);
/** Adds the callers with their balancer, and the operator. */
void deployment_add_clients(deployment *deployment);
deployment *deployment_new(fleet *fleet, size_t model_engines, size_t plain_engines);
/** Starts all, puts the first configuration in force, waits until gateways are ready. */
bool deployment_bring_up(deployment *deployment);
void deployment_free(deployment *deployment);
/** The text of a whole configuration of a version; status goes to a service. */
char *deployment_config(deployment *deployment, uint64_t version, const char *status_service);
/** Sends a configuration and waits for its answer. */
operator_sim_change *deployment_put_config(deployment *deployment, uint64_t version, uint64_t base,
                                           const char *text, bool valid);
bool deployment_is_ready(deployment *deployment);
/** Traffic for a span, and then until all are answered. */
void deployment_run_traffic(deployment *deployment, double rate, int64_t ms);
void deployment_start_traffic(deployment *deployment, double rate);
void deployment_finish_traffic(deployment *deployment);
/** Stops a gateway as the platform does: SIGTERM, and SIGKILL after the grace. */
void deployment_terminate_gateway(deployment *deployment, deployment_process *process);
/** Notes trouble on a machine, or of the core with host NULL, from now for a span. */
void deployment_record_fault(deployment *deployment, host *host, char what, int64_t ms);
/** Share of requests that were served, of those sent between two instants; kind NULL: all. */
double deployment_served_ratio(deployment *deployment, const client_sim_kind *kind, time_us from,
                               time_us until);
/** The end of a test: nothing else may be wrong than what it made. */
bool deployment_finish(deployment *deployment, double least);
#endif
