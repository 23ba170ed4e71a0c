/** Capacity account of one engine, at the gateway that holds its lease.
 *
 * All gateways know an engine's residents from heartbeats, broadcasts and declined requests. Any
 * of these may be outdated; that is good enough for routing. For loads it is not, because an engine
 * that loads beyond its memory crashes. The lease holder therefore keeps an account of its own: the
 * residents in one idle report of the engine, plus the orders that the engine has accepted from
 * this holder since. Every load order carries the number of orders in that report plus the number
 * accepted since; an engine that has accepted any other order refuses it (409). An accepted order
 * is therefore always based on exactly what the engine holds. */
#ifndef GATEWAY_CAPACITY_ACCOUNT_H
#define GATEWAY_CAPACITY_ACCOUNT_H
#include "routing.h"
#include "world.h"

/** A model, or an adapter on a model, that an engine holds, is loading or is unloading. */
typedef struct capacity_item {
  id model, adapter; /* adapter: empty for a model */
  double mb;         /* by the last configuration that contained it */
  bool unloading;
} capacity_item;

/** Written by engine_orders.c and engine_loading.c through the functions below. */
typedef struct capacity_account {
  /** False until the account is built from an idle report. */
  bool is_known;
  /** The number of orders that the engine has accepted. */
  uint64_t order_count;
  /** When order_count last changed or the account was discarded; older reports are ignored. */
  time_us changed_at;
  GArray *items; /* of capacity_item */
} capacity_account;

void capacity_account_init(capacity_account *account);
void capacity_account_free(capacity_account *account);
/** Discards the account; nothing is known until the next idle report. */
void capacity_account_discard(capacity_account *account, time_us now);
/** True when a report that was requested at this time covers all changes in the account; its values
 * are up to lag old. */
bool capacity_account_covered_by_report(const capacity_account *account, time_us requested_at,
                                        time_us lag);
/** Resets the account to an idle report with this order count; the caller adds its residents by
 * capacity_account_add. */
void capacity_account_reset(capacity_account *account, uint64_t order_count);
/** Adds a model or adapter unless the account contains it. */
void capacity_account_add(capacity_account *account, id model, id adapter);
/** Records that the engine has accepted (202) an order of this holder; a load uses its capacity
 * from now on. A repetition of an order in progress is not counted, since the engine doesn't count
 * it either. */
void capacity_account_order_accepted(capacity_account *account, bool load, id model, id adapter,
                                     time_us now);
/** Records that the engine has confirmed an unload; unloading a model removes its adapters too. */
void capacity_account_remove(capacity_account *account, id model, id adapter);
bool capacity_account_contains(const capacity_account *account, id model, id adapter);
/** The memory and adapter slots in use. An item that the configuration no longer contains counts
 * with its last size. */
void capacity_account_used(capacity_account *account, const service *service, double *mb,
                           unsigned *slots);
#endif
