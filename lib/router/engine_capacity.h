#ifndef ROUTER_ENGINE_CAPACITY_H
#define ROUTER_ENGINE_CAPACITY_H
/**
 * The capacity of an engine for loads, which is freed by unloading what the eviction policy
 * selects. Capacity counts as taken until a report of the engine shows it as free.
 */
#include "eviction_policy.h"
#include "load_order.h"

/** Returns the capacity that an engine lacks for a load. */
capacity_shortage engine_capacity_shortage(engine *engine, const order_subject *to_load);
/** Unloads models and adapters until a load fits. Returns E_NO_CAPACITY when no more may be
 * unloaded. On failure *retry_after_ms may be set to the time after which to retry. */
enum error_code engine_capacity_free(engine *engine, const order_subject *to_load,
                                     uint64_t *retry_after_ms, error *err);
#endif
