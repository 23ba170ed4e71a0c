/** Table of the engines that a gateway knows, from their registration by heartbeats (forwarded by
 * the controllers) to their removal.
 *
 * An engine id identifies one process run of an engine; a restart registers a new id. An
 * engine that signs off is removed for good; one that was only silent is restored by a later
 * heartbeat. After its removal an engine stays in the table for ENGINE_TOMBSTONE_MS, so that old
 * messages don't register it again. */
#ifndef GATEWAY_GATEWAY_ENGINES_H
#define GATEWAY_GATEWAY_ENGINES_H
#include "capacity_account.h"
#include "engine_health.h"
#include "engine_load.h"
#include "engine_orders.h"
#include "engine_residents.h"
#include "engine_select.h"
#include "load_jobs.h"
#include "prefix_cache.h"

/** One process run of an engine. All fields except unreachable_until and the states of other
 * modules are written by gateway_engines.c. */
typedef struct gateway_engine {
  list_node link; /* in gateway_engine_table.list */
  gateway *gateway;
  /** The number of references by requests and load jobs; a gone engine is freed when there are
   * none. */
  int refs;

  /* from its heartbeats */
  id engine_id, service, zone, version;
  char address[48];
  unsigned slots;
  uint64_t heartbeat_count;
  time_us heartbeat_at;
  /** When this gateway last applied a heartbeat; 0 before the first. */
  time_us state_received_at;
  /** draining: its shutdown has begun; ends_at: the latest time at which its process ends (0:
   * unknown). */
  bool draining;
  time_us ends_at;
  /** It has signed off, is silent or is no longer registered. */
  bool gone;
  time_us gone_at;
  /** It is gone without having signed off: a later heartbeat restores it. */
  bool returns_on_heartbeat;

  /* as this gateway sees it */
  engine_residents residents;
  engine_health health;
  engine_load load;
  prefix_cache prefix_cache;
  selected_request selected;

  /* at the gateway that holds the engine's lease */
  engine_order_state orders;
  capacity_account capacity;
  engine_load_jobs load_jobs;

  /** At a placement coordinator: until when the engine counts as unreachable, because its lease
   * holder could not reach it. Written by placement.c. */
  time_us unreachable_until;
} gateway_engine;

/** All engines of a gateway; written by gateway_engines.c. */
typedef struct gateway_engine_table {
  list_node list;    /* of gateway_engine */
  GHashTable *by_id; /* engine id -> gateway_engine */
  condition changed; /* signalled when engines, residents or free slots change */
  bool is_known;     /* a controller has listed the engines at least once */
} gateway_engine_table;

/** The engine with an id, even if it is gone; NULL when there is none. */
gateway_engine *gateway_engine_find(gateway *gateway, const char *engine_id);
/** Applies an engine's state sent by a controller: the latest heartbeat wins, and draining is never
 * undone. */
void gateway_engine_update(gateway *gateway, const Wire__EngineState *state);
/** Applies the engine list of a config sync; a complete list removes engines that are missing from
 * it. */
void gateway_engines_config_sync(gateway *gateway, const Wire__ConfigPollResponse *response);
/** Marks an engine as gone; why is written to the log. */
void gateway_engine_remove(gateway_engine *engine, const char *why);
void gateway_engine_ref(gateway_engine *engine);
void gateway_engine_unref(gateway_engine *engine);
/** The number of engines of a service that hold a model and adapter and are responsive. */
int gateway_engines_count_replicas(gateway *gateway, id service, id model, id adapter);
/** Frees engines that have been gone for ENGINE_TOMBSTONE_MS and are not referenced. */
void gateway_engines_free_expired(gateway *gateway);
/** Registers the handler of the message with which controllers and lease holders send engine
 * states. */
void gateway_engines_start(gateway *gateway);
void gateway_engines_free(gateway *gateway);
#endif
