#ifndef ROUTER_SINGLETON_LEASE_H
#define ROUTER_SINGLETON_LEASE_H
/**
 * Leases on singletons. A singleton is a job that only one router may do at a time, such as
 * granting load permits or sending orders to one engine.
 *
 * The head of the controller chain grants a lease for SINGLETON_LEASE_MS under an epoch that
 * increases with each grant. The epoch is the fencing token: engines refuse orders whose epoch is
 * lower than the highest one that they have seen. The holder measures the lease from when it sent
 * the request and the head from when it granted it, so the lease always expires at the holder
 * first.
 *
 * Rendezvous hashing over the live routers decides which router requests which lease
 * (is_preferred_holder). This needs no messages; the head has to choose only when routers disagree
 * on which routers are alive. A holder that has been outranked by another router for
 * HAND_OVER_AFTER_MS releases its lease, so that singletons are distributed again after a restart.
 */
#include "base.h"

typedef struct router router;

/** Singleton held by the router that grants load permits. The name is sent on the wire. */
#define SINGLETON_LOAD_RATE_LIMITER "pacer"

/** A singleton that this router holds, has held or may acquire. Entries are retained until the
 * process ends, on gateways until RELEASED_LEASE_RETENTION_MS after the lease expired. */
typedef struct singleton_lease {
  id name;
  /** Epoch of the last grant to this router; 0 if there was none. */
  uint64_t epoch;
  /** The lease is invalid from this time on, even if `held` is still set. */
  time_us expires_at;
  /** When the lease was acquired under its current epoch. */
  time_us acquired_at;
  /** Since when another router has been the preferred holder; 0 while this router is. */
  time_us outranked_since;
  /** When an order was last sent under this lease, and how many orders are still unanswered.
   * Written by lib/gateway. */
  time_us last_order_at;
  int unanswered_orders;
  /** The singleton exists and this router may hold it. */
  bool wanted;
  bool held;
} singleton_lease;

/** All leases of this router and the state of its exchange with the head. Owned by
 * singleton_lease.c. */
typedef struct singleton_leases {
  /** Singleton name -> singleton_lease. */
  GHashTable *by_name;
  /** Address of the head, or of a controller that can name it; empty if none is known. */
  char head_address[48];
  /** When the head last responded, or when this router last had nothing to request from it. */
  time_us head_answered_at;
} singleton_leases;

void singleton_leases_init(singleton_leases *leases);
void singleton_leases_free(singleton_leases *leases);
/** Starts the tasks that renew and acquire leases. */
void singleton_lease_start(router *router);
/** Returns the entry of a singleton, whether its lease is held or not, or NULL when there is none.
 * The pointer is valid until the caller waits. */
singleton_lease *singleton_lease_find(router *router, const char *singleton);
/** Returns the epoch of the lease on a singleton if this router holds it now, or 0. */
uint64_t singleton_lease_epoch(router *router, const char *singleton);
/** Formats the name of the singleton whose holder sends orders to an engine. */
void singleton_engine_name(char *buf, size_t n, id engine);
#endif
