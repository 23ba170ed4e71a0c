#ifndef ROUTER_EVENT_HISTORY_H
#define ROUTER_EVENT_HISTORY_H
/**
 * The recent events of a process, and the request rates over a sliding window and load times that
 * are derived from them for placement and eviction.
 *
 * Request rates are those of the whole fleet: requests of this process are counted as events, and
 * those of other routers from their reports (rate_exchange.c). The window is divided into
 * RATE_SLICES slices.
 */
#include "world.h"

enum { RATE_SLICES = 60, EVENT_JOURNAL_CAPACITY = 1024 };

/** Kinds of events. Outside of the process they are identified by name (router_pages.c), not by
 * number. */
enum history_event_kind {
  /** A request was received; value: index of its kind, on gateways the priority of its route. */
  EVENT_ROUTED = 1,
  /** An order was sent to an engine; value: 1 for a load, 0 for an unload. */
  EVENT_ORDERED,
  /** A load completed; value: its duration in ms. */
  EVENT_LOADED,
  /** Value: number of consecutive failures. */
  EVENT_LOAD_FAILED,
  /** Value: 1 if it had served requests; on gateways always 0. */
  EVENT_UNLOADED,
  /** A request was refused; value: the error code. */
  EVENT_REFUSED,
  /** Value: the error code of the connection. */
  EVENT_STREAM_BROKEN,
  /** Value: the duration in ms. */
  EVENT_COMPLETED
};

/** An event; names that do not apply are empty. */
typedef struct history_event {
  enum history_event_kind kind;
  /** Set by event_history_append. */
  time_us at;
  id engine, model, adapter;
  int64_t value;
} history_event;

/** Number of requests for a model or adapter, by slices of the window. */
typedef struct request_rate {
  /** Requests since the process started. */
  uint64_t total;
  /** Slice n, counted from time 0, is in entry n modulo RATE_SLICES. */
  uint64_t slice_counts[RATE_SLICES];
  int64_t current_slice;
  time_us last_at;
} request_rate;

/** All fields may be read directly. Only smoothing_factor may be written directly; the others are
 * written by the functions below. */
typedef struct event_history {
  /** Borrowed; used for its clock. */
  world *world;
  /** Event n is at n modulo the capacity. */
  history_event journal[EVENT_JOURNAL_CAPACITY];
  uint64_t next_seq;
  /** Events by kind since the process started. */
  uint64_t event_counts[16];

  /** The window of the rates, and whether it is fixed, so that configurations no longer change it.
   */
  time_us rate_window;
  bool window_fixed;
  /** Key -> request_rate: of all routers, and of this router. */
  GHashTable *fleet_rates, *local_rates;
  /** "nonce/key" -> total last reported by the router run with that nonce, as uint64_t. */
  GHashTable *remote_totals;

  /** "engine type/key" -> smoothed load time in ms, as double. Gateways use the service in place of
   * the engine type. */
  GHashTable *load_ms;
  /** Weight of the latest load in load_ms. */
  double smoothing_factor;
} event_history;

void event_history_init(event_history *history, world *world);
void event_history_free(event_history *history);
/** Appends an event and counts it. EVENT_ROUTED is also counted in the rates of its model and
 * adapter. */
void event_history_append(event_history *history, history_event event);

/** Sets the window over which rates are computed. A change discards the counts in the window. */
void event_history_set_window(event_history *history, time_us window);
/** Sets the window permanently; later configurations do not change it. */
void event_history_fix_window(event_history *history, time_us window);

/** Formats the key of a model, or of an adapter on its model. */
void event_history_format_key(char *buf, size_t n, id model, id adapter);
/** Returns the requests per second for a key in the whole fleet, over the window. */
double event_history_request_rate(event_history *history, const char *key);
/** The same over the last `span` only, which is at most the window. */
double event_history_recent_rate(event_history *history, const char *key, time_us span);
/** Returns when a key was last requested; 0 if never. */
time_us event_history_last_requested_at(event_history *history, const char *key);
/** Returns the requests for a key that this router itself has routed in the window; *total is set
 * to those since its start. */
uint64_t event_history_local_count(event_history *history, const char *key, uint64_t *total);
/** Adds the requests that another router has routed, identified by the nonce of its process run:
 * its total since its start, and its count in the window, which is used only for its first report.
 */
void event_history_merge_remote_count(event_history *history, uint64_t nonce, const char *key,
                                      uint64_t total, uint64_t in_window);

/** Returns the smoothed load time in ms of a key on an engine type, or the fallback if none is
 * known. */
double event_history_load_ms(event_history *history, id type, const char *key, double fallback_ms);
/** Adds the duration of one load to the smoothed load time. */
void event_history_record_load_ms(event_history *history, id type, const char *key, double ms);
#endif
