#ifndef CONFIGURATION_ROUTING_H
#define CONFIGURATION_ROUTING_H
#include "json.h"

/** The resource "routing": which requests go to which services, and the properties of a service's
 * engines. Its schema, with native names (a dialect may rename them, see dialect.h):
 *  {"version":7,
 *   "routes":[{"name","host","prefix","mode":"once"|"safe"|"stream","timeoutMs","targetMs","priority","service"
 * or "split":[{"service","weight"}],"attempts","affinity":bool,"resumable":bool,"gapTargetMs"}],
 *   "services":[{"name","health","connectionsMost","protocol","tls","engine":{"slots","kvTokens","kvTokenBytes","stride",
 *                "models":[{"name","weightsMb","loadS","adapters","adapterMb"}],"weightsMb","adapterSlots","loadsPerS"}}],
 *   "limits":{"headerBytes","bodyBytes","headerMs","idleMs"}}
 * Unknown fields are preserved. */

/** Whether a request may run more than once: at most once; any number of times (idempotent); as a
 * stream of events, which must not run again once it has begun. */
enum route_mode { ROUTE_MODE_ONCE, ROUTE_MODE_SAFE, ROUTE_MODE_STREAM };

/** A model that a service's engines may hold. load_ms is the operator's estimate; measured load
 * times take precedence over it. */
typedef struct service_model_spec {
  id name;
  double weights_mb, load_ms, adapter_mb;
  unsigned adapters;
} service_model_spec;
/** A service. engine_slots is 0 if the configuration does not describe its engines; models is empty
 * for a service without models. */
typedef struct service {
  id name;
  char health_path[128];
  unsigned connections_max, engine_slots, adapter_slots;
  double kv_tokens, kv_token_bytes, weights_mb, loads_per_s, stride;
  service_model_spec *models;
  size_t model_count;
  GHashTable *models_by_name;
} service;
/** One of the services of a route; one with weight 0 gets no requests. */
typedef struct weighted_service {
  const service *service;
  double weight;
} weighted_service;
/** A route. priority 0 is the most urgent; gap_target_ms is 0 if there is none. */
typedef struct route {
  id name;
  char *host, *prefix;
  size_t prefix_length;
  enum route_mode mode;
  int64_t timeout_ms, target_ms, gap_target_ms;
  unsigned priority, attempts;
  bool affinity, resumable;
  weighted_service *weighted_services;
  size_t weighted_service_count;
  double weight_sum;
} route;
/** Limits on clients' requests and connections. */
typedef struct request_limits {
  size_t header_max_bytes, body_max_bytes;
  int64_t header_timeout_ms, idle_timeout_ms;
} request_limits;
/** A compiled routing configuration. It is immutable and reference-counted, since a request in
 * flight keeps the one with which it started. */
typedef struct routing {
  /** The number in the field "version", which the operator chooses and raises with each change. It
   * is independent of the version that the control plane assigns to each write of a resource. */
  uint64_t revision;
  route *routes;
  size_t route_count;
  service *services;
  size_t service_count;
  request_limits limits;
  GHashTable *routes_by_host_and_prefix, *services_by_name;
  size_t prefix_length_max;
  int reference_count;
} routing;

/** Compiles a full routing configuration. NULL with err set (path and reason) if it is invalid:
 * incomplete, an unknown service, two routes with the same host and prefix, weights that add up to
 * 0, a timeout of 0, or a duplicate name. */
routing *routing_compile(const json *value, error *err);
/** Takes a reference; NULL is fine. */
routing *routing_ref(routing *routing);
/** Drops a reference; the last one frees the routing. NULL is fine. */
void routing_unref(routing *routing);
/** Finds the route of a host (port and case are ignored) with the longest prefix of the path; NULL
 * if there is none. */
const route *routing_find_route(const routing *routing, string_view host, string_view path);
/** Finds a service by name; NULL if there is none. */
const service *routing_find_service(const routing *routing, const char *name);
/** Finds a model of a service by name; NULL if there is none. */
const service_model_spec *service_find_model(const service *service, const char *name);
/** Picks a service of a route at random by weight, given a random number from 0 to 1. */
const service *route_pick_service(const route *route, double random_fraction);
/** Applies {"version","set":{"routes":[],"services":[]},"drop":{"routes":[names],"services":[]}} to
 * a full routing configuration; set may also hold "limits". NULL with err set if the patch is
 * malformed. The caller owns the result; base and patch are not changed. */
json *routing_patch(const json *base, const json *patch, error *err);
/** Checks that a new routing configuration may replace the current one: its own
 * revision must be higher. */
enum error_code routing_check_successor(const json *next, uint64_t current_revision, error *err);
#endif
