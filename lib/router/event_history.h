#ifndef ROUTER_EVENT_HISTORY_H
#define ROUTER_EVENT_HISTORY_H
/**
 * The recent events of a process, and what is derived from them for placement and eviction: request
 * rates over a sliding window and load times.
 *
 * Request rates are those of the whole fleet: own requests are counted as events, and those of
 * other routers as their reports come in (rate_exchange.c). The window slides in RATE_SLICES steps.
 */
#include "world.h"

enum { RATE_SLICES = 60, EVENT_JOURNAL_CAPACITY = 1024 };

/** Kinds of events. Outside of the process they are named (router_pages.c), not numbered. */
enum history_event_kind {
  /** A request was received; value: index of its kind. */
  EVENT_ROUTED = 1,
  /** An order was sent to an engine; value: 1 for a load, 0 for an unload. */
  EVENT_ORDERED,
  /** A load is complete; value: its time in ms. */
  EVENT_LOADED,
  /** Value: failures in a row. */
  EVENT_LOAD_FAILED,
  /** Value: 1 when it had served requests. */
  EVENT_UNLOADED,
  /** A request was refused; value: the error code. */
  EVENT_REFUSED,
  /** Value: the error code of the connection. */
  EVENT_STREAM_BROKEN,
  /** Value: the duration in ms. */
  EVENT_COMPLETED
};

/** An event; names that do not apply are blank. */
typedef struct history_event {
  enum history_event_kind kind;
  /** Set by event_history_append. */
  time_us at;
  id engine, model, adapter;
  int64_t value;
} history_event;

/** How often a model was requested, by slices of the window. */
typedef struct request_rate {
  /** Requests since the start. */
  uint64_t total;
  /** Slice n of all time is counted in entry n modulo RATE_SLICES. */
  uint64_t slice_counts[RATE_SLICES];
  int64_t current_slice;
  time_us last_at;
} request_rate;

/** Read fields as you like; write only through the functions, and smoothing_factor. */
typedef struct event_history {
  /** Borrowed; for its clock. */
  world *world;
  /** Event n is at n modulo the capacity. */
  history_event journal[EVENT_JOURNAL_CAPACITY];
  uint64_t next_seq;
  /** Events by kind since the start. */
  uint64_t event_counts[16];

  /** The window of rates; fixed: configurations no longer change it. */
  time_us rate_window;
  bool window_fixed;
  /** Key -> request_rate: of all routers, and of this one. */
  GHashTable *fleet_rates, *local_rates;
  /** "nonce/key" -> total that the router of that run reported last, as uint64_t. */
  GHashTable *remote_totals;

  /** "engine type/key" -> smoothed load time in ms, as double. */
  GHashTable *load_ms;
  /** Weight of the latest load in it. */
  double smoothing_factor;
} event_history;

void event_history_init(event_history *history, world *world);
void event_history_free(event_history *history);
/** Appends an event and counts it; EVENT_ROUTED also in the rates of its model and adapter. */
void event_history_append(event_history *history, history_event event);

/** Sets the window over which rates are taken; a change discards the counts of the window. */
void event_history_set_window(event_history *history, time_us window);
/** Sets the window for good, whatever configurations say later. */
void event_history_fix_window(event_history *history, time_us window);

/** Writes the key of a model, or of an adapter on its model. */
void event_history_format_key(char *buf, size_t n, id model, id adapter);
/** Requests a second for a key in the whole fleet, over the window. */
double event_history_request_rate(event_history *history, const char *key);
/** The same over the last span only, which is at most the window. */
double event_history_recent_rate(event_history *history, const char *key, time_us span);
/** When a key was last requested; 0: never. */
time_us event_history_last_requested_at(event_history *history, const char *key);
/** Requests for a key that this router itself has routed in the window; *total: since its start. */
uint64_t event_history_local_count(event_history *history, const char *key, uint64_t *total);
/** Takes over what the run `nonce` of another router has routed: its total since its start, and its
 * count in the window, which is used for its first report only. */
void event_history_merge_remote_count(event_history *history, uint64_t nonce, const char *key,
                                      uint64_t total, uint64_t in_window);

/** The smoothed load time in ms of a key on an engine type, or the fallback if none is known. */
double event_history_load_ms(event_history *history, id type, const char *key, double fallback_ms);
/** Takes over the time of one load. */
void event_history_record_load_ms(event_history *history, id type, const char *key, double ms);
#endif
