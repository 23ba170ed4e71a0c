/** Load and unload orders to engines, and reports of engines.
 *
 * Only the gateway that holds an engine's singleton lease sends it orders. An order carries the
 * lease's epoch as a fencing token and is not sent after the lease has expired. A load order also
 * carries the number of orders that the engine is expected to have accepted. An engine that has
 * accepted another order since then refuses it (409), so that no load is accepted on the basis of
 * an outdated capacity account. */
#ifndef GATEWAY_ENGINE_ORDERS_H
#define GATEWAY_ENGINE_ORDERS_H
#include "routing.h"
#include "world.h"

typedef struct gateway_engine gateway_engine;

/** Written by engine_orders.c; peer_ordered_at is also written on messages from other lease
 * holders. */
typedef struct engine_order_state {
  /** When another gateway was last known to send the engine an order. */
  time_us peer_ordered_at;
  /** When this gateway requested the last report that it received. */
  time_us reported_at;
  /** When the engine last confirmed its id by answering a report request or an order. */
  time_us identity_confirmed_at;
} engine_order_state;

/** The state in a report may be this old. */
enum { ENGINE_REPORT_LAG_MS = 450 };
/** The maximum age of the report that a model load relies on, and of the last sign of life by which
 * an engine counts as identified. */
enum { ENGINE_IDENTITY_MAX_AGE_MS = 1800 };
/** Expected number of accepted orders: any. */
enum { ENGINE_ORDER_COUNT_ANY = -1 };

/** Results of an order other than the engine's HTTP status (200: done already, 202: accepted). */
enum engine_order_status {
  ENGINE_ORDER_NOT_SENT = 0,
  /** It was sent, but no complete response was received. */
  ENGINE_ORDER_UNKNOWN = -1,
  /** This gateway doesn't hold the engine's lease, or the engine is gone; err says which. */
  ENGINE_ORDER_NOT_ALLOWED = -2,
};

/** The epoch under which this gateway may send orders to an engine; 0 when it may not. */
uint64_t engine_order_epoch(gateway_engine *engine);
/** Requests a report from an engine and updates its residents and the capacity account; false when
 * there is no valid answer. busy: the engine is executing an order; running: the number of requests
 * that run or wait there. */
bool engine_order_fetch_report(gateway_engine *engine, bool *busy, int *running, error *err);
/** Sends one order before the time send_by and returns its HTTP status or enum
 * engine_order_status. */
int engine_order_send(gateway_engine *engine, bool load, id model, id adapter,
                      int64_t expected_orders, time_us send_by, error *err);
/** Unloads a model or adapter and waits until the engine confirms it. E_MODEL_IN_USE when it was
 * expected to be idle but is in use: it stays loaded. On failure of the order the capacity account
 * is discarded. */
enum error_code engine_order_unload(gateway_engine *engine, id model, id adapter,
                                    bool expected_idle, error *err);
/** True when the engine is gone or the process stops. */
bool engine_order_stopping(gateway_engine *engine);
/** Sleeps; returns E_NO_ENGINE or E_STOPPING when the engine is gone or the process stops
 * meanwhile. */
enum error_code engine_order_sleep(gateway_engine *engine, double ms, error *err);
#endif
