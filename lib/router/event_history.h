#ifndef ROUTER_HISTORY_H
#define ROUTER_HISTORY_H
#include "world.h"

enum { RATE_SLICES = 60, EVENT_JOURNAL_CAPACITY = 1024 };
/** What may stand in the journal. */
enum history_event_kind {
  EVENT_ROUTED = 1,
  EVENT_ORDERED,
  EVENT_LOADED,
  EVENT_LOAD_FAILED,
  EVENT_UNLOADED,
  EVENT_REFUSED,
  EVENT_STREAM_BROKEN,
  EVENT_COMPLETED
};
/** An event: what, when, on which engine, and of which model and adapter. */
typedef struct history_event {
  enum history_event_kind kind;
  time_us at;
  id engine, model, adapter;
  int64_t value;
} history_event;

/** How often a thing was asked for, by slices of the window. */
typedef struct request_rate {
  uint64_t total, slice_counts[RATE_SLICES];
  int64_t current_slice;
  time_us last_at;
} request_rate;
/** The journal of a process in memory, and the views folded from it: rates, load times, counts. */
typedef struct event_history {
  world *world;
  history_event journal[EVENT_JOURNAL_CAPACITY];
  uint64_t next_seq;
  time_us rate_window;
  bool window_fixed;
  GHashTable *fleet_rates, *local_rates, *load_ms, *remote_totals;
  double smoothing_factor;
  uint64_t event_counts[16];
} event_history;

void event_history_init(event_history *history, world *world);
void event_history_free(event_history *history);
/** Appends an event and folds it into the views. */
void event_history_append(event_history *history, history_event e);
/** Sets the window over which rates are taken; a change starts the slices anew. */
void event_history_set_window(event_history *history, time_us window);
/** Sets it for good, whatever configurations say later. */
void event_history_fix_window(event_history *history, time_us window);
/** The key of a model, or of an adapter on its model. */
void event_history_format_key(char *buf, size_t n, id model, id adapter);
/** Requests a second for a key, over the window. */
double event_history_request_rate(event_history *history, const char *key);
/** The same over the last span only, which is at most the window. */
double event_history_recent_rate(event_history *history, const char *key, time_us span);
/** When a key was last asked for. */
time_us event_history_last_requested_at(event_history *history, const char *key);
/** The smoothed load time in ms of a key on an engine type, or the fallback. */
double event_history_load_ms(event_history *history, id type, const char *key, double fall);
/** Takes in one timed load. */
void event_history_record_load_ms(event_history *history, id type, const char *key, double ms);
/** Takes in what another node has routed: its running total since it started, and its count in the
 * window. */
void event_history_merge_remote_count(event_history *history, uint64_t nonce, const char *key,
                                      uint64_t total, uint64_t window);
/** The count of a key in the window that this node itself has routed. */
uint64_t event_history_local_count(event_history *history, const char *key, uint64_t *total);
#endif
