/** The operators' API for resources: GET, PUT and PATCH of catalogue, policy, evacuation, routing
 * and canary. The head of the chain serves writes. The tail, which has only committed writes,
 * serves reads. Other controllers forward requests to them. */
#ifndef CONTROLPLANE_RESOURCE_API_H
#define CONTROLPLANE_RESOURCE_API_H
#include "version_reports.h"

typedef struct resource_api {
  node *node;
  replica *replica;
  version_reports *version_reports;
  /** Number of writes refused by this controller, for the metrics. */
  uint64_t writes_refused;
} resource_api;

/** The other modules must outlive `api`. */
void resource_api_init(resource_api *api, node *node, replica *replica,
                       version_reports *version_reports);
/** Serves a request for a resource, whatever its method. */
void resource_api_serve(resource_api *api, http_request *request, enum resource_kind resource);
#endif
