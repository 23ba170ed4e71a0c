#ifndef EMULATOR_REGISTERING_ENGINE_ORDERS_H
#define EMULATOR_REGISTERING_ENGINE_ORDERS_H
/**
 * Orders to load or unload models and adapters. An engine executes one order at a time. An order
 * may name the count of started orders that it expects (field "expect") and is refused if another
 * order was started in the meantime.
 */
#include "http_request.h"
#include "registering_engine_plan.h"

typedef struct registering_engine_sim registering_engine_sim;

/** Orders of an engine. Only this module writes it. */
typedef struct engine_order_progress {
  const engine_order_record *current; /* the order in progress, or NULL */
  uint64_t started_count;
  int64_t fencing_token; /* the highest token of an accepted order */
} engine_order_progress;

/** Accepts or refuses an order, starts it if accepted, records it and responds. */
void engine_orders_serve(registering_engine_sim *engine, http_request *request);
#endif
