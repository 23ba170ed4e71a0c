#ifndef ROUTER_LOAD_ORDER_H
#define ROUTER_LOAD_ORDER_H
/**
 * Orders to engines to load or unload a model or adapter. An order carries the epoch of the lease
 * under which it is sent, the engine's run and a number; engines refuse orders of older epochs and
 * of other runs.
 */
#include "engine.h"

enum order_kind { ORDER_LOAD, ORDER_UNLOAD };

enum order_result {
  ORDER_ACCEPTED,
  /** No response: the engine may or may not have taken it. */
  ORDER_UNKNOWN,
  /** The engine could not be reached; nothing was sent. */
  ORDER_NOT_SENT,
  /** This router does not hold the engine's lease; nothing was sent. */
  ORDER_NO_LEASE,
  /** The engine knows a later epoch, or is another run than its last report showed. */
  ORDER_OUTDATED,
  /** The engine does not have what is to be unloaded. */
  ORDER_NOT_FOUND,
  /** Any other refusal. */
  ORDER_REFUSED
};

/** What an order is about: a model, or an adapter (else blank) on its model, and what it takes. */
typedef struct order_subject {
  id model, adapter;
  uint64_t weights_mb;
  unsigned slots;
} order_subject;

/** Sends one order, unless `send_until` or the lease ends first. Sets err unless it was accepted.
 */
enum order_result load_order_send(engine *engine, enum order_kind kind,
                                  const order_subject *subject, time_us send_until, error *err);
/** Epoch of the lease on an engine's orders if this router holds it now, else 0. */
uint64_t load_order_epoch(engine *engine);
#endif
