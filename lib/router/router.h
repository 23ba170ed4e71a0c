#ifndef ROUTER_ROUTER_H
#define ROUTER_ROUTER_H
/**
 * A router: a process of the data plane. This header only combines the state that the modules of
 * lib/router own; the header of each struct describes it and names the module that writes it.
 *
 * A router is a gateway when lib/gateway is attached to it (gateway_new). A gateway uses config
 * sync, singleton leases and the event history. Its engines register themselves and its requests
 * follow routes, so engine_list, model_loading and generate_api are unused.
 */
#include "admission.h"
#include "config.h"
#include "config_sync.h"
#include "controller_poll.h"
#include "engine.h"
#include "engine_list.h"
#include "event_history.h"
#include "eviction_policy.h"
#include "generate_api.h"
#include "load_permit.h"
#include "load_queue.h"
#include "model_loading.h"
#include "node.h"
#include "rate_exchange.h"
#include "singleton_lease.h"

struct routing;

typedef struct router router;
struct router {
  node node;
  /** Broadcast on every change that a waiting request may depend on: configuration, leases, engine
   * reports and streams that end. */
  condition state_changed;

  /* Compiled parts of the configuration in force; written by config_snapshot.c. */
  /** Catalogue and policy; NULL before the first snapshot. */
  config *config;
  /** Routes of a gateway; NULL while that resource is empty. */
  struct routing *routing;

  config_sync sync;
  controller_poll controllers;
  admission admission;
  singleton_leases leases;

  /** Events and request rates; written by the modules that route requests and load models. */
  event_history history;

  engine_list engine_list;
  load_permits permits;
  model_loading loading;
  generate_api requests;

  /* Graceful shutdown; written by router.c. */
  bool draining;
  /** Requests to /v1/generate in progress; written by generate_api.c. */
  int open_requests;
  condition drain_completed;

  /* Hooks of lib/gateway, NULL on other routers; set once by gateway_new. */
  void *gateway;
  /** A snapshot was installed. */
  void (*on_snapshot_installed)(void *gateway);
  /** A controller reported changes of registered engines. */
  void (*on_engines_changed)(void *gateway, const Wire__ConfigPollResponse *changes);
  /** Calls `add` with each singleton that the gateway needs. */
  void (*for_each_singleton)(void *gateway,
                             void (*add)(struct router *router, const char *singleton));
  /** Writes the gateway's part of the pages: its status as JSON, or its metrics. */
  void (*write_status)(void *gateway, GString *to, bool metrics);
};

/** Creates a router and starts its tasks. */
router *router_new(world *world, const settings *settings);
/** Starts a graceful shutdown: new requests are refused, leases are released and open streams may
 * finish. drain_completed is broadcast at the end. */
void router_drain(router *router);
/** Frees a router; all its tasks must have ended. */
void router_free(router *router);
/** Returns true when `at` is set (not 0) and is less than `ms` milliseconds ago. */
bool router_happened_within(const router *router, time_us at, int64_t ms);
#endif
