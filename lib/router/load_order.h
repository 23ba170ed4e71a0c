#ifndef ROUTER_LOAD_ORDER_H
#define ROUTER_LOAD_ORDER_H
/**
 * Orders to engines to load or unload a model or adapter. An order carries the epoch of the lease
 * under which it is sent, the engine's process run and a sequence number; engines refuse orders
 * with an older epoch or for another run.
 */
#include "engine.h"

enum order_kind { ORDER_LOAD, ORDER_UNLOAD };

enum order_result {
  ORDER_ACCEPTED,
  /** No response: the engine may or may not have accepted it. */
  ORDER_UNKNOWN,
  /** The engine could not be reached; nothing was sent. */
  ORDER_NOT_SENT,
  /** This router does not hold the engine's lease; nothing was sent. */
  ORDER_NO_LEASE,
  /** The engine has seen a later epoch, or has restarted since its last report. */
  ORDER_OUTDATED,
  /** The engine does not have the model or adapter to unload. */
  ORDER_NOT_FOUND,
  /** Any other refusal. */
  ORDER_REFUSED
};

/** The model, or the adapter on a model (empty if none), that an order applies to, and its size. */
typedef struct order_subject {
  id model, adapter;
  uint64_t weights_mb;
  unsigned slots;
} order_subject;

/** Sends one order, provided that it can be sent before `send_until` and before the lease expires.
 * Sets err unless the engine accepted the order. */
enum order_result load_order_send(engine *engine, enum order_kind kind,
                                  const order_subject *subject, time_us send_until, error *err);
/** Returns the epoch of the lease on an engine if this router holds it now, or 0. */
uint64_t load_order_epoch(engine *engine);
#endif
