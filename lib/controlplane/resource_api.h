/** The operators' API of resources: GET, PUT and PATCH of catalogue, policy, evacuation, routing
 * and canary. Writes are decided by the head of the chain and reads are answered by its tail, which
 * has only committed writes; other controllers forward requests to them. */
#ifndef CONTROLPLANE_RESOURCE_API_H
#define CONTROLPLANE_RESOURCE_API_H
#include "version_reports.h"

typedef struct resource_api {
  node *node;
  replica *replica;
  version_reports *version_reports;
  /** Writes that were refused here, for the metrics. */
  uint64_t writes_refused;
} resource_api;

/** The other modules must outlive `api`. */
void resource_api_init(resource_api *api, node *node, replica *replica,
                       version_reports *version_reports);
/** Responds to a request for a resource, of any method. */
void resource_api_serve(resource_api *api, http_request *request, enum resource_kind resource);
#endif
