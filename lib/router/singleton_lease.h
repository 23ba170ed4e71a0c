#ifndef ROUTER_SINGLETON_LEASE_H
#define ROUTER_SINGLETON_LEASE_H
/**
 * Leases on singletons: jobs that one router at a time does, such as giving out load permits or
 * sending orders to one engine.
 *
 * The head of the controllers grants a lease for SINGLETON_LEASE_MS, under an epoch that grows with
 * each grant. The epoch is the fencing token: engines refuse orders under an epoch older than one
 * that they have seen. A lease counts here from when the request for it was sent, at the head from
 * when it was granted, so it has always expired here first.
 *
 * Which router asks for which lease is decided by rendezvous hashing over the live routers
 * (is_preferred_holder); no messages are needed for that, and only when routers disagree on who is
 * alive does the head have to choose. A holder that another router outranks for HAND_OVER_AFTER_MS
 * releases its lease, so singletons spread again after a restart.
 */
#include "base.h"

typedef struct router router;

/** Singleton of the router that gives out load permits; the name is on the wire. */
#define SINGLETON_LOAD_RATE_LIMITER "pacer"

/** A singleton that this router has leased, or could lease. Entries live until the process ends,
 * on gateways until RELEASED_LEASE_RETENTION_MS after they expired. */
typedef struct singleton_lease {
  id name;
  /** Epoch of the last grant to this router; 0: none yet. */
  uint64_t epoch;
  /** Ends the lease also when `held` is still set. */
  time_us expires_at;
  /** When the lease was acquired under its present epoch. */
  time_us acquired_at;
  /** Since when another router is the preferred holder; 0: this one is. */
  time_us outranked_since;
  /** When work under this lease was last sent, and how many messages are still unanswered. Written
   * by lib/gateway. */
  time_us last_order_at;
  int open_orders;
  /** The singleton exists, and this router may hold it. */
  bool wanted;
  bool held;
} singleton_lease;

/** All leases of this router, and the exchange with the head. Owned by singleton_lease.c. */
typedef struct singleton_leases {
  /** Singleton name -> singleton_lease. */
  GHashTable *by_name;
  /** Address of the head, or of a controller to ask for it; blank: none is known. */
  char head_address[48];
  /** When the head last responded, or there was nothing to ask it for. */
  time_us head_answered_at;
} singleton_leases;

void singleton_leases_init(singleton_leases *leases);
void singleton_leases_free(singleton_leases *leases);
/** Starts the tasks that renew and acquire leases. */
void singleton_lease_start(router *router);
/** The lease of a singleton, held or not; NULL when it never concerned this router. Borrowed until
 * the caller waits. */
singleton_lease *singleton_lease_find(router *router, const char *singleton);
/** The epoch of a singleton that this router holds at this instant, or 0. */
uint64_t singleton_lease_epoch(router *router, const char *singleton);
/** Writes the name of the singleton whose holder sends orders to an engine. */
void singleton_engine_name(char *buf, size_t n, id engine);
#endif
