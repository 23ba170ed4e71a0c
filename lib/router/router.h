#ifndef ROUTER_ROUTER_H
#define ROUTER_ROUTER_H
/**
 * A router: a process of the data plane. This header only puts together what the modules of
 * lib/router own; each struct is described, and written, where its header says.
 *
 * The same process is a gateway when lib/gateway is attached to it (gateway_new). A gateway uses
 * config sync, singleton leases and the event history; its engines register themselves and its
 * requests follow routes, so engine_list, model_loading and generate_api stay unused.
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
  /** Broadcast on every change that a waiting request may depend on: configuration, leases,
   * reports of engines, streams that ended. */
  condition state_changed;

  /* Configuration in force; written by config_snapshot.c. */
  /** Catalogue and policy; NULL before the first snapshot. */
  config *config;
  /** Routes of a gateway; NULL while that resource is empty. */
  struct routing *routing;
  /** Sequence number of the last write in force. */
  uint64_t config_version;
  /** Version and text of each resource. Versions are zeroed to have the next response bring all
   * resources in full. */
  uint64_t resource_versions[RESOURCE_COUNT];
  GString *resources[RESOURCE_COUNT];
  /** Snapshots installed, and their size on the wire in bytes. */
  uint64_t sync_count, sync_bytes;
  config_sync sync;

  /* Of controller_poll.c. */
  /** The controller that the main task polls, or polled last; blank after it failed. */
  char polled_controller[48];
  /** When any controller last responded with its state; 0: never. */
  time_us controller_answered_at;
  controller_poll controllers;

  admission admission;

  /* Of singleton_lease.c. */
  /** Singleton name -> singleton_lease. */
  GHashTable *singleton_leases;
  /** Address of the head, or of a controller to ask for it; blank: none is known. */
  char head_address[48];
  singleton_leases leases;

  /** Events and request rates; written by whoever routes requests and loads models. */
  event_history history;

  engine_list engine_list;

  /* Of load_permit.c, or on gateways of lib/gateway/load_rate_limiter.c. */
  /** Permits given out and refused. */
  uint64_t load_permits, load_permits_refused;
  /** The same for the last seconds; they fade. */
  double permits_granted_recently, permits_refused_recently;
  load_permits permits;

  /* Of model_loading.c; load_count and unload_count on gateways also of lib/gateway. */
  uint64_t load_count, failed_loads, unload_count;
  /** Loads in vain, see WASTED_LOAD_WINDOW_FACTOR, and unloads of what ran streams. */
  uint64_t wasted_loads, busy_unloads;
  model_loading loading;

  /* Of generate_api.c. */
  uint64_t request_count, attempt_count, retry_count;
  generate_api requests;

  /* Graceful shutdown; of router.c. */
  bool draining;
  /** Requests in progress. */
  int open_requests;
  condition drain_completed;

  /* Hooks of lib/gateway, NULL on other routers; set once by gateway_new. */
  void *gateway;
  /** A snapshot was installed. */
  void (*on_installed)(void *gateway);
  /** A controller reported changes of registered engines. */
  void (*on_engines_changed)(void *gateway, const Wire__ConfigPollResponse *changes);
  /** Calls `add` with each singleton that the gateway needs. */
  void (*for_each_singleton)(void *gateway,
                             void (*add)(struct router *router, const char *singleton));
  /** Writes the gateway's part of the pages: its status as JSON, or lines of metrics. */
  void (*write_status)(void *gateway, GString *to, bool metrics);
};

/** Makes a router and starts its tasks. */
router *router_new(world *world, const settings *settings);
/** Starts a graceful shutdown: no new requests, leases are released, streams may end.
 * drain_completed is broadcast at the end. */
void router_drain(router *router);
/** Frees a router; all its tasks must have ended. */
void router_free(router *router);
/** True when an instant was set (not 0) and is less than so many ms ago. */
bool router_happened_within(const router *router, time_us at, int64_t ms);
#endif
