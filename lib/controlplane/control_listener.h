/** The control listener of a controller: receives heartbeats of engines and serves the routing
 * configuration of gateways. A dialect (dialect.h) defines its paths and names in its messages. */
#ifndef CONTROLPLANE_CONTROL_LISTENER_H
#define CONTROLPLANE_CONTROL_LISTENER_H
#include "config_api.h"
#include "registry_sync.h"

typedef struct control_listener {
  node *node;
  replica *replica;
  version_reports *version_reports;
  registry_sync *registry_sync;
  bool is_open;
  http_listener http;
  /** NULL until the first attempt to open the listener; config_api is valid from then on. */
  const dialect *dialect;
  config_api config_api;
} control_listener;

/** Initializes a listener that is not open. The other modules must outlive it. */
void control_listener_init(control_listener *listener, node *node, replica *replica,
                           version_reports *version_reports, registry_sync *registry_sync);
/** Opens the listener; called once. A NULL dialect means dialect_native. Returns OK, E_LISTEN, or
 * another error of world.listener_open. */
enum error_code control_listener_open(control_listener *listener, const char *ip, int port,
                                      const dialect *dialect, error *err);
void control_listener_free(control_listener *listener);
#endif
