/** Capacity account of one engine, at the gateway that holds its lease.
 *
 * What an engine holds is known to all gateways from heartbeats, broadcasts and refused requests;
 * any of these may be old, and is good enough to route by. An engine that loads beyond its memory
 * crashes, so the holder keeps an account of its own: one idle report of the engine, and the orders
 * that the engine has accepted from this holder since. The number of orders in the report, plus one
 * for each of these, goes with every load order; an engine that has taken any other order refuses
 * it (409). So an order that is accepted was computed from exactly what the engine holds. */
#ifndef GATEWAY_CAPACITY_ACCOUNT_H
#define GATEWAY_CAPACITY_ACCOUNT_H
#include "routing.h"
#include "world.h"

/** A model, or an adapter on a model, that an engine holds, loads or unloads. */
typedef struct capacity_item {
  id model, adapter; /* adapter: empty for a model */
  double mb;         /* by the last configuration that named it */
  bool unloading;
} capacity_item;

/** Written by engine_orders.c and engine_loading.c through the functions below. */
typedef struct capacity_account {
  /** False until an idle report was taken over. */
  bool is_known;
  /** Orders that the engine has taken. */
  uint64_t order_count;
  /** When the count last changed, or the account was forgotten: an older report is of no use. */
  time_us changed_at;
  GArray *items; /* of capacity_item */
} capacity_account;

void capacity_init(capacity_account *account);
void capacity_free(capacity_account *account);
/** Nothing is known until the next idle report. */
void capacity_forget(capacity_account *account, time_us now);
/** True when a report that was asked for at an instant shows all that the account knows; values in
 * reports are up to lag old. */
bool capacity_covered_by_report(const capacity_account *account, time_us asked_at, time_us lag);
/** Starts anew from an idle report; its residents follow by capacity_add. */
void capacity_begin(capacity_account *account, uint64_t order_count);
/** Adds a model or adapter, unless it is there. */
void capacity_add(capacity_account *account, id model, id adapter);
/** The engine has accepted (202) an order of this holder: a load takes its capacity at once. A
 * repetition of what is under way is not counted, as the engine does not count it either. */
void capacity_order_accepted(capacity_account *account, bool load, id model, id adapter,
                             time_us now);
/** The engine has confirmed an unload; a model takes its adapters along. */
void capacity_remove(capacity_account *account, id model, id adapter);
bool capacity_contains(const capacity_account *account, id model, id adapter);
/** What is in use of a service's memory and adapter slots. An item that the configuration no longer
 * names counts with its last size. */
void capacity_used(capacity_account *account, const service *service, double *mb, unsigned *slots);
#endif
