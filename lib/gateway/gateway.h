/** The gateway: a router that accepts plain HTTP requests by routes, forwards them to registered
 * engines, and places models on those engines. Membership, configuration, leases, history and the
 * eviction policies are part of the router (lib/router).
 *
 * struct gateway combines the state of all gateway modules; each module's header says which file
 * writes its state. */
#ifndef GATEWAY_GATEWAY_H
#define GATEWAY_GATEWAY_H
#include "canary_trial.h"
#include "drain.h"
#include "eviction.h"
#include "feature_flags.h"
#include "fleet_rates.h"
#include "gateway_engines.h"
#include "gateway_settings.h"
#include "load_rate_limiter.h"
#include "placement.h"
#include "request_queue.h"
#include "retry_budget.h"
#include "route_durations.h"
#include "router.h"
#include "unserved.h"

/** Counters for status, metrics and tests; each is incremented where the event occurs. */
typedef struct gateway_counts {
  uint64_t requests, served, refused, failed, client_left, no_route, attempts, retries, resumed,
      load_requests, loads, unloads, orders, reports, failed_loads, unserved[UNSERVED_COUNT];
} gateway_counts;

typedef struct gateway {
  router *router;
  gateway_settings settings;
  /** The current configuration; NULL until one is known. */
  const routing *routing;
  http_listener client_listener, readiness_listener;
  gateway_counts counts;
  /** Number of known gateways, including this one; written by traffic_reports.c. */
  int router_count;

  gateway_engine_table engines;
  request_table requests;
  GHashTable *traffic;       /* service -> service_traffic */
  GHashTable *retry_budgets; /* service -> retry_budget */
  /** Durations of streams that were served to their end. */
  route_durations *route_durations;
  drain_state drain;

  /** "service/model+adapter" -> slow_estimate; written by engine_select.c. */
  GHashTable *slow_estimates;
  /** load_request_key -> pending_load_request; written by load_requests.c. */
  GHashTable *load_requests;
  placement_state placement;
  eviction_state eviction;
  load_rate_limiters load_rate_limiters;
  fleet_rates fleet_rates;
  /** Loads that failed since the last one that succeeded; written by engine_loading.c. */
  int consecutive_load_failures;

  /** The running canary trial, and the judge's state if this gateway judges it; NULL otherwise. */
  struct canary_trial *canary;
  struct canary_judging *canary_judging;
} gateway;

/** Creates the gateway of a router, whose settings must have is_gateway set; NULL on an error. The
 * router must outlive the gateway. */
gateway *gateway_new(router *router, const gateway_settings *settings, error *err);
/** Opens the listeners. */
enum error_code gateway_open(gateway *gateway, error *err);
void gateway_free(gateway *gateway);
/** Applies the limits of new settings; addresses, dialect and feature flags do not change. */
void gateway_reload_settings(gateway *gateway, const gateway_settings *settings);

static const id id_none = { "" };

static inline bool gateway_feature_enabled(const gateway *gateway, enum feature_flag feature_flag) {
  return !(gateway->settings.disabled_features & 1u << feature_flag);
}

static inline time_us gateway_now(const gateway *gateway) {
  return world_now(gateway->router->node.world);
}

static inline time_us gateway_deadline_in_ms(const gateway *gateway, double ms) {
  return time_add(gateway_now(gateway), (time_us){ (int64_t)(ms * 1000) });
}

/** Returns 0 when the time has passed. */
static inline int64_t gateway_ms_until(const gateway *gateway, time_us at) {
  int64_t ms = time_sub(at, gateway_now(gateway)).us / 1000;
  return MAX(ms, 0);
}

static inline double gateway_ms_since(const gateway *gateway, time_us at) {
  return (double)time_sub(gateway_now(gateway), at).us / 1000;
}

static inline time_us gateway_engine_now(const gateway_engine *engine) {
  return gateway_now(engine->gateway);
}

/** Finds a service of the current configuration by name; NULL when there is none. The pointer is
 * valid only until the calling task waits. */
static inline const service *gateway_service_of(const gateway *gateway, id name) {
  return gateway->routing ? routing_find_service(gateway->routing, name.text) : NULL;
}
#endif
