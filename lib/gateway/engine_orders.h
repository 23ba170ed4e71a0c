/** Load and unload orders to engines, and reports of engines.
 *
 * Only the gateway that holds an engine's singleton lease orders it. An order carries the lease's
 * epoch as a fencing token and is not sent after the lease's expiry. Load orders also carry the
 * number of orders that the engine is expected to have taken: an engine that has taken another one
 * since refuses (409), so that no load is accepted against an outdated capacity account. */
#ifndef GATEWAY_ENGINE_ORDERS_H
#define GATEWAY_ENGINE_ORDERS_H
#include "routing.h"
#include "world.h"

typedef struct gateway_engine gateway_engine;

/** Written by engine_orders.c; peer_ordered_at by the messages of other holders. */
typedef struct engine_order_state {
  /** When another gateway was last known to order the engine. */
  time_us peer_ordered_at;
  /** When this gateway asked for the last report that came. */
  time_us reported_at;
  /** When the engine last answered a report or an order under its own id. */
  time_us identity_confirmed_at;
} engine_order_state;

/** A report may show the engine's state of up to this long ago. */
enum { ENGINE_REPORT_LAG_MS = 450 };
/** An engine whose last report is older is asked again before a model is loaded there. */
enum { IDENTITY_CONFIRMED_MS = 1800 };
/** Expected number of orders taken: any. */
enum { ORDER_COUNT_ANY = -1 };

/** What an order came to, beside the engine's own HTTP status (200: done already, 202: accepted).
 */
enum engine_order_status {
  ENGINE_ORDER_NOT_SENT = 0,
  /** It was sent, and no response came. */
  ENGINE_ORDER_UNKNOWN = -1,
  /** This gateway may not order the engine, or it is gone; err says which. */
  ORDER_NOT_ALLOWED = -2,
};

/** The epoch under which this gateway may order an engine; 0 when it may not. */
uint64_t engine_order_epoch(gateway_engine *engine);
/** Asks an engine for its residents and updates the capacity account; false when it does not
 * answer. busy: an order is under way; running: requests that run or wait there. */
bool engine_order_fetch_report(gateway_engine *engine, bool *busy, int *running, error *err);
/** Sends one order before the instant `by` and returns its HTTP status or enum
 * engine_order_status. */
int engine_order_send(gateway_engine *engine, bool load, id model, id adapter,
                      int64_t expected_orders, time_us by, error *err);
/** Unloads a model or adapter and waits until the engine confirms it. E_MODEL_IN_USE when it was
 * thought idle and is not: it stays loaded. On other errors the capacity account is forgotten. */
enum error_code engine_order_unload(gateway_engine *engine, id model, id adapter, bool thought_idle,
                                    error *err);
/** True when the engine is gone or the process stops. */
bool engine_order_stopping(gateway_engine *engine);
/** Sleeps; E_NO_ENGINE or E_STOPPING when the engine or the process ends meanwhile. */
enum error_code engine_order_sleep(gateway_engine *engine, double ms, error *err);
#endif
