/** The control listener of a controller: heartbeats of engines, and the routing configuration of
 * gateways. Its paths and words are those of a dialect (dialect.h). */
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
  /** NULL until the first attempt to open it; then config_api is valid. */
  const dialect *dialect;
  config_api config_api;
} control_listener;

/** Makes a listener that is not open. The other modules must outlive it. */
void control_listener_init(control_listener *listener, node *node, replica *replica,
                           version_reports *version_reports, registry_sync *registry_sync);
/** Opens it, once; a dialect of NULL is our own. Returns OK, or E_LISTEN or another error of the
 * world's. */
enum error_code control_listener_open(control_listener *listener, const char *ip, int port,
                                      const dialect *dialect, error *err);
void control_listener_free(control_listener *listener);
#endif
