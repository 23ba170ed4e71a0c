/** The engines that a gateway knows: registration by heartbeats, as the controllers pass them on,
 * and their end.
 *
 * An engine id stands for one incarnation of one engine process: a restart registers a new one. An
 * engine that signs off is gone for good; one that was only silent comes back with a later
 * heartbeat. An engine stays in the table for ENGINE_TOMBSTONE_MS after it is gone, so that old
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

/** An incarnation of an engine. The fields outside the modules' states are written by
 * gateway_engines.c. */
typedef struct gateway_engine {
  list_node link; /* in gateway_engine_table.list */
  gateway *gateway;
  /** References by requests and load jobs; a gone engine is freed once there are none. */
  int refs;

  /* as its heartbeats say */
  id engine_id, service, zone, version;
  char addr[48];
  unsigned slots;
  uint64_t heartbeat_count;
  time_us heartbeat_at;
  /** When this gateway last took over a heartbeat; 0 before the first. */
  time_us state_received_at;
  /** A shutdown has begun; when it ends at the latest (0 when not known). */
  bool draining;
  time_us ends_at;
  /** Signed off or silent. */
  bool gone;
  time_us gone_at;
  /** Gone only because it was silent: a later heartbeat brings it back. */
  bool unresponsive;

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

  /** At a coordinator of placements: its lease holder got no response from it, until then. */
  time_us unreachable_until;
} gateway_engine;

/** All engines of a gateway; written by gateway_engines.c. */
typedef struct gateway_engine_table {
  list_node list;    /* of gateway_engine */
  GHashTable *by_id; /* engine id -> gateway_engine */
  condition changed; /* engines, residents or free slots have changed */
  bool is_known;     /* a controller has listed the engines at least once */
} gateway_engine_table;

/** The engine with an id, also one that is gone; NULL when there is none. */
gateway_engine *gateway_engine_find(gateway *gateway, const char *engine_id);
/** Takes over an engine's state, as a controller sends it: the latest heartbeat wins, and draining
 * is for good. */
void gateway_engine_update(gateway *gateway, const Wire__EngineState *state);
/** Takes over the engines of a config sync; a complete list removes those that it lacks. */
void gateway_engines_config_sync(gateway *gateway, const Wire__ConfigPollResponse *response);
/** Marks an engine as gone; why is for the log. */
void gateway_engine_remove(gateway_engine *engine, const char *why);
void gateway_engine_ref(gateway_engine *engine);
void gateway_engine_unref(gateway_engine *engine);
/** How many engines of a service hold a model and adapter and show signs of life. */
int gateway_engines_count_replicas(gateway *gateway, id service, id model, id adapter);
/** Frees the engines that have long been gone. */
void gateway_engines_collect(gateway *gateway);
/** Registers the message by which controllers and lease holders send states of engines. */
void gateway_engines_start(gateway *gateway);
void gateway_engines_free(gateway *gateway);
#endif
