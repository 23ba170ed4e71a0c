#ifndef CONFIGURATION_ROUTING_H
#define CONFIGURATION_ROUTING_H
#include "json.h"

/** The resource "routing": which requests go to which services, and what the engines of a service
 * are like. Its form, in our own words (an adapter may rename them, see dialect.h):
 *  {"version":7,
 *   "routes":[{"name","host","prefix","mode":"once"|"safe"|"stream","timeoutMs","targetMs","priority","service"
 * or "split":[{"service","weight"}],"attempts","affinity":bool,"resumable":bool,"gapTargetMs"}],
 *   "services":[{"name","health","connectionsMost","protocol","tls","engine":{"slots","kvTokens","kvTokenBytes","stride",
 *                "models":[{"name","weightsMb","loadS","adapters","adapterMb"}],"weightsMb","adapterSlots","loadsPerS"}}],
 *   "limits":{"headerBytes","bodyBytes","headerMs","idleMs"}}
 * Fields that are not known here are kept and given back. */

/** Whether a request may run more than once: at most once; any number of times (idempotent); as a
 * stream of events, which may not be run again once it has begun. */
enum route_mode { ROUTE_MODE_ONCE, ROUTE_MODE_SAFE, ROUTE_MODE_STREAM };

/** A model that a service's engines may hold. load_ms is what the operator says; history knows
 * better. */
typedef struct service_model_spec {
  id name;
  double weights_mb, load_ms, adapter_mb;
  unsigned adapters;
} service_model_spec;
/** A service. engine_slots is 0 when the configuration says nothing of its engines; models is empty
 * for a plain one. */
typedef struct service {
  id name;
  char health_path[128];
  unsigned connections_max, engine_slots, adapter_slots;
  double kv_tokens, kv_token_bytes, weights_mb, loads_per_s, stride;
  service_model_spec *models;
  size_t model_count;
  GHashTable *models_by_name;
} service;
/** One of the services of a route; weight 0 gets no requests. */
typedef struct route_leg {
  const service *service;
  double weight;
} route_leg;
/** A route. priority: 0 is the most urgent. timeout and target in ms; gap 0 when there is none. */
typedef struct route {
  id name;
  char *host, *prefix;
  size_t prefix_length;
  enum route_mode mode;
  int64_t timeout_ms, target_ms, gap_target_ms;
  unsigned priority, attempts;
  bool affinity, resumable;
  route_leg *legs;
  size_t leg_count;
  double weight_sum;
} route;
/** What callers may send. */
typedef struct request_limits {
  size_t header_max_bytes, body_max_bytes;
  int64_t header_timeout_ms, idle_timeout_ms;
} request_limits;
/** A compiled configuration. It never changes; it is shared by counting references, since requests
 * under way go on with the one that they began with. */
typedef struct routing {
  uint64_t revision;
  route *routes;
  size_t route_count;
  service *services;
  size_t service_count;
  request_limits limits;
  GHashTable *routes_by_name, *services_by_name;
  size_t prefix_length_max;
  int reference_count;
} routing;

/** Compiles a full configuration; NULL with err (path and reason) when it is invalid: incomplete,
 * an unknown service, two routes with one host and prefix, weights that add up to 0, a timeout of
 * 0, a name that stands twice. */
routing *routing_compile(const json *value, error *err);
/** Takes one more reference; NULL is fine. */
routing *routing_ref(routing *routing);
/** Gives a reference back; the last one frees it. NULL is fine. */
void routing_unref(routing *routing);
/** The route of a host (its port, and case, don't count) and path: the longest prefix; NULL when
 * there is none. */
const route *routing_find_route(const routing *routing, string_view host, string_view path);
/** The service of a name, or NULL. */
const service *routing_find_service(const routing *routing, const char *name);
/** The model of a name that a service's engines may hold, or NULL. */
const service_model_spec *service_find_model(const service *service, const char *name);
/** The leg that a route gives a request: draw is a number from 0 to 1. */
const service *route_pick_service(const route *route, double draw);
/** Applies {"version","set":{"routes":[],"services":[]},"drop":{"routes":[names],"services":[]}} to
 * a full configuration; also "limits" in set. NULL with err set when the change is no such thing.
 * The result is the caller's; base and patch stay as they are. */
json *routing_patch(const json *base, const json *patch, error *err);
/** What a new configuration must keep to beside its own validity: its revision lies above the
 * current one. */
enum error_code routing_check_successor(const json *next, uint64_t current, error *err);
#endif
