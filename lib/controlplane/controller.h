/** A controller: one process of the replicated control plane.
 *
 * It holds a replica of the control state, which the controllers keep in agreement by chain
 * replication (replica.h). It also grants singleton leases, answers config polls of the data plane,
 * keeps the registry of engines, and serves two HTTP interfaces: the operators' API at its address,
 * and the control listener for engines and the routing of gateways. This header combines the
 * modules; each owns its state. */
#ifndef CONTROLPLANE_CONTROLLER_H
#define CONTROLPLANE_CONTROLLER_H
#include "canary_end.h"
#include "config_poll.h"
#include "control_listener.h"
#include "registry_sync.h"
#include "replica.h"
#include "resource_api.h"
#include "singleton_grants.h"
#include "version_reports.h"

typedef struct controller {
  node node;
  replica replica;
  registry_sync registry_sync;
  singleton_grants singleton_grants;
  config_poll config_poll;
  version_reports version_reports;
  canary_end canary_end;
  resource_api resource_api;
  control_listener control_listener;
  /** Broadcast when the controller has stopped, because of an error or after controller_drain. */
  condition stopped;
  /** OK, or the error with which the start failed; valid once `stopped` has been broadcast. */
  enum error_code exit_code;
} controller;

/** Makes a controller in a world, where its tasks start it. Free it with controller_free. */
controller *controller_new(world *world, const settings *settings);
/** Opens the control listener; a NULL dialect means dialect_native. Returns OK, or an error of the
 * listener. */
enum error_code controller_open_control_listener(controller *controller, const char *ip, int port,
                                                 const dialect *dialect, error *err);
/** Starts the graceful shutdown: the controller leaves the chain and is replaced as a voter.
 * `stopped` is broadcast when the process may end. Further calls do nothing. */
void controller_drain(controller *controller);
/** Frees the controller; no task may be left. */
void controller_free(controller *controller);
#endif
