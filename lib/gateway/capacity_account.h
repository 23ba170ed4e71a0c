#ifndef GATEWAY_ROOM_H
#define GATEWAY_ROOM_H
#include "routing.h"
#include "world.h"

/* The room on one engine, as its holder reckons it before a load.
 *
 * What an engine holds is known to all nodes from beats, casts and refused requests; all of these
 * may be old, and are good enough to route by. An engine that is ordered past its room falls, so
 * the holder keeps an account of its own: one idle report of the engine, and the orders that the
 * engine has taken from this holder since. The report's number of orders taken, plus one for each
 * of these, goes with every load order; an engine that has taken any other order refuses it (409).
 * An order that is accepted was therefore reckoned from exactly what the engine holds. */

/** A model, or an adapter on a model, that an engine holds, is loading or is unloading. */
typedef struct capacity_item {
  id model, adapter;
  double mb;
  bool unloading;
} capacity_item;

typedef struct capacity_account {
  bool is_known;
  /** Orders that the engine has taken. */
  uint64_t order_count;
  /** When the count last changed, or the account was given up: an older report is of no use. */
  time_us changed_at;
  GArray *items;
} capacity_account;

void capacity_init(capacity_account *r);
void capacity_free(capacity_account *r);
/** Nothing is known any more, until the next idle report. */
void capacity_forget(capacity_account *r, time_us now);
/** True when a report that was asked for at an instant shows all that the account knows of; values
 * of reports are up to lag old. */
bool capacity_covered_by_report(const capacity_account *r, time_us asked, time_us lag);
/** Starts the account anew from an idle report; its things follow by capacity_add. */
void capacity_begin(capacity_account *r, uint64_t count);
/** Adds a thing; one that is there stays. */
void capacity_add(capacity_account *r, id model, id adapter);
/** The engine said 202 to an order of this holder: a load takes its room at once. One that repeats
 * what is under way is not counted, as the engine does not count it either. */
void capacity_order_accepted(capacity_account *r, bool load, id model, id adapter, time_us now);
/** The engine confirmed that a thing is gone; a model takes its adapters along. */
void capacity_remove(capacity_account *r, id model, id adapter);
bool capacity_contains(const capacity_account *r, id model, id adapter);
/** What is used of a service's room and adapter places. The sizes that a thing had last count for
 * one that the configuration no longer names. */
void capacity_used(capacity_account *r, const service *service, double *mb, unsigned *slots);
#endif
