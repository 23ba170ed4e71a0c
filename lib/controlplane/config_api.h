/** The API for the gateways' routing configuration at the control listener: PUT, PATCH and GET.
 *
 * Writes are served by the acting head of the chain, reads by its acting tail. Other controllers
 * redirect callers there. While the head or tail may not act, or is being replaced, a request waits
 * for a short time. */
#ifndef CONTROLPLANE_CONFIG_API_H
#define CONTROLPLANE_CONFIG_API_H
#include "config_writer.h"

typedef struct config_api {
  node *node;
  replica *replica;
  const dialect *dialect;
  /** The control listener; other controllers have theirs at the same port of their own IP. */
  const http_listener *listener;
  config_writer writer;
  /** Number of writes refused by this controller, for the metrics. */
  uint64_t writes_refused;
  /** The configuration in the names of the dialect, owned, with its version; NULL before the first
   * read. */
  GString *cached_text;
  uint64_t cached_version;
} config_api;

/** The other modules must outlive `api`. */
void config_api_init(config_api *api, node *node, replica *replica,
                     version_reports *version_reports, const dialect *dialect,
                     const http_listener *listener);
void config_api_free(config_api *api);
/** Serves PUT (is_full) or PATCH. received_at is when the last byte of the request was read. */
void config_api_serve_write(config_api *api, http_request *request, bool is_full,
                            time_us received_at);
/** Serves GET. */
void config_api_serve_read(config_api *api, http_request *request, time_us received_at);
#endif
