#ifndef ROUTER_ENGINE_CAPACITY_H
#define ROUTER_ENGINE_CAPACITY_H
/**
 * The capacity of an engine for loads, and how it is freed: by unloading what the eviction policy
 * selects. Capacity counts as taken until a report of the engine shows it as free.
 */
#include "eviction_policy.h"
#include "load_order.h"

/** What an engine lacks for a load. */
capacity_shortage engine_capacity_shortage(engine *engine, const order_subject *to_load);
/** Unloads until a load fits. E_NO_CAPACITY when what is there may not go; *retry_after_ms says
 * when to ask again. */
enum error_code engine_capacity_free(engine *engine, const order_subject *to_load,
                                     uint64_t *retry_after_ms, error *err);
#endif
