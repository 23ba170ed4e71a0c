/** Resident models and adapters of an engine, as far as this gateway knows them.
 *
 * There are three sources: heartbeats (through the controllers), reports of the engine, and orders
 * that a gateway has just sent. The first two may be older than the third, so each change by an
 * order is recorded for some seconds and is not undone by an older source. */
#ifndef GATEWAY_ENGINE_RESIDENTS_H
#define GATEWAY_ENGINE_RESIDENTS_H
#include "routing.h"
#include "wire.pb-c.h"
#include "world.h"

typedef struct gateway gateway;
typedef struct gateway_engine gateway_engine;

/** A model that is loaded on an engine. */
typedef struct resident {
  list_node link;
  id model;
  uint64_t version;
  /** Names of adapters, owned: those that may get requests, and those that are being unloaded. */
  GPtrArray *adapters, *unloading_adapters;
  /** When an order loaded it (0: unknown); when this gateway last sent a request for it. */
  time_us loaded_at, last_used_at;
  /** It is being unloaded: it gets no new requests, but its memory is still in use. */
  bool unloading;
  /** The number of requests of this gateway that run on it. */
  int own_running;
} resident;

/** Written by engine_residents.c. */
typedef struct engine_residents {
  list_node list; /* of resident */
  /** False until any source has listed the residents. */
  bool known;
  /** Names of models that this process run has held; their weights are on the engine's own disk. */
  GHashTable *models_on_disk;
  /** Recent changes by orders (of resident_change). */
  GArray *changes;
} engine_residents;

void engine_residents_init(engine_residents *residents);
void engine_residents_free(engine_residents *residents);
/** Removes all residents, for example when the engine is gone. */
void engine_residents_clear(engine_residents *residents);
/** The resident entry of a model, even if it is being unloaded; NULL when there is none. */
resident *engine_residents_find(const gateway_engine *engine, id model);
/** The resident entry of a model; NULL when there is none or it is being unloaded. */
resident *gateway_engine_resident(const gateway_engine *engine, id model);
/** True when the engine can run a request for a model and adapter (either may be empty) now. */
bool gateway_engine_has_model(const gateway_engine *engine, id model, id adapter);
/** True when the weights of a model are on the engine's own disk. */
bool gateway_engine_has_on_disk(const gateway_engine *engine, id model);
/** Applies a list of residents as of the time `at`; changes by orders after that time, or less than
 * guard_ms before it, are kept. */
void gateway_engine_update_residents(gateway_engine *engine, Wire__ResidentModel **models,
                                     size_t count, time_us at, int64_t guard_ms);
/** Applies the list that the engine's lease holder sends when its orders take effect. */
void engine_residents_apply_holder_update(gateway_engine *engine, const Wire__EngineState *state);
/** Records that a load order has taken effect. */
void gateway_engine_mark_loaded(gateway_engine *engine, id model, id adapter);
/** Records that an unload order has taken effect. */
void gateway_engine_mark_unloaded(gateway_engine *engine, id model, id adapter);
/** Records that an unload was announced: no new requests, but its memory still counts as used. */
void gateway_engine_mark_unloading(gateway_engine *engine, id model, id adapter);
/** When an order loaded a model or adapter; 0 when that is long ago or unknown. */
time_us gateway_engine_loaded_at(const gateway_engine *engine, id model, id adapter);
/** True when an order changed the residents within the last span_ms. */
bool engine_residents_changed_within(const gateway_engine *engine, int64_t span_ms);
/** Sends the residents to all gateways; only for the engine's lease holder. */
void gateway_engine_broadcast(gateway_engine *engine);
#endif
