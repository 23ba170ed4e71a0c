/**
 * Keeps the journal of events, request rates and load times.
 */
#include "event_history.h"
#include <stdio.h>

enum { DEFAULT_RATE_WINDOW_MS = 600000, MAX_KEY_BYTES = 128, MAX_LONG_KEY_BYTES = 180 };

static const double DEFAULT_SMOOTHING_FACTOR = 0.3;

/* Returns the value of a key, adding a zeroed one if needed. */
static void *find_or_add_entry(GHashTable *table, const char *key, size_t size) {
  void *value = g_hash_table_lookup(table, key);
  if (!value) {
    value = g_malloc0(size);
    g_hash_table_insert(table, g_strdup(key), value);
  }
  return value;
}

void event_history_init(event_history *history, world *world) {
  memset(history, 0, sizeof *history);
  history->world = world;
  history->rate_window = time_from_ms(DEFAULT_RATE_WINDOW_MS);
  history->smoothing_factor = DEFAULT_SMOOTHING_FACTOR;
  history->fleet_rates = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  history->local_rates = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  history->load_ms = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  history->remote_totals = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void event_history_free(event_history *history) {
  g_hash_table_destroy(history->fleet_rates);
  g_hash_table_destroy(history->local_rates);
  g_hash_table_destroy(history->load_ms);
  g_hash_table_destroy(history->remote_totals);
}

void event_history_format_key(char *buf, size_t n, id model, id adapter) {
  snprintf(buf, n, "%s%s%s", model.text, adapter.text[0] ? "+" : "", adapter.text);
}

/* Advances a rate to the current slice and clears the slices in between. */
static void advance_slices(event_history *history, request_rate *rate) {
  int64_t now = world_now(history->world).us / (history->rate_window.us / RATE_SLICES);
  if (now - rate->current_slice >= RATE_SLICES)
    memset(rate->slice_counts, 0, sizeof rate->slice_counts);
  else
    for (int64_t i = rate->current_slice + 1; i <= now; i++)
      rate->slice_counts[i % RATE_SLICES] = 0;
  if (now > rate->current_slice)
    rate->current_slice = now;
}

static void add_count(event_history *history, GHashTable *rates, const char *key, uint64_t count) {
  request_rate *rate = find_or_add_entry(rates, key, sizeof *rate);
  advance_slices(history, rate);
  rate->slice_counts[rate->current_slice % RATE_SLICES] += count;
  rate->total += count;
  rate->last_at = world_now(history->world);
}

static uint64_t sum_slices(event_history *history, request_rate *rate) {
  uint64_t sum = 0;
  advance_slices(history, rate);
  for (int i = 0; i < RATE_SLICES; i++)
    sum += rate->slice_counts[i];
  return sum;
}

static void count_request(event_history *history, id model, id adapter) {
  char key[MAX_KEY_BYTES];
  event_history_format_key(key, sizeof key, model, adapter);
  add_count(history, history->fleet_rates, key, 1);
  add_count(history, history->local_rates, key, 1);
}

void event_history_append(event_history *history, history_event event) {
  event.at = world_now(history->world);
  history->journal[history->next_seq++ % EVENT_JOURNAL_CAPACITY] = event;
  if ((size_t)event.kind < G_N_ELEMENTS(history->event_counts))
    history->event_counts[event.kind]++;
  if (event.kind != EVENT_ROUTED)
    return;
  /* a request for an adapter also counts for its model */
  count_request(history, event.model, id_of_text(""));
  if (!id_is_empty(event.adapter))
    count_request(history, event.model, event.adapter);
}

static void clear_slices(GHashTable *rates) {
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init(&iterator, rates);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    request_rate *rate = value;
    memset(rate->slice_counts, 0, sizeof rate->slice_counts);
    rate->current_slice = 0;
  }
}

void event_history_set_window(event_history *history, time_us window) {
  if (history->window_fixed || window.us == history->rate_window.us)
    return;
  history->rate_window = window;
  clear_slices(history->fleet_rates);
  clear_slices(history->local_rates);
}

void event_history_fix_window(event_history *history, time_us window) {
  history->window_fixed = false;
  event_history_set_window(history, window);
  history->window_fixed = true;
}

double event_history_request_rate(event_history *history, const char *key) {
  request_rate *rate = g_hash_table_lookup(history->fleet_rates, key);
  return rate ? (double)sum_slices(history, rate) / ((double)history->rate_window.us / 1e6) : 0;
}

double event_history_recent_rate(event_history *history, const char *key, time_us span) {
  request_rate *rate = g_hash_table_lookup(history->fleet_rates, key);
  if (!rate)
    return 0;
  advance_slices(history, rate);
  int64_t slice_us = history->rate_window.us / RATE_SLICES,
          past_slices = CLAMP((span.us + slice_us / 2) / slice_us, 1, RATE_SLICES - 1);
  uint64_t sum = 0;
  /* the current slice is incomplete: its requests count, and so does the part of it that has
     elapsed */
  for (int64_t i = 0; i <= past_slices; i++)
    sum += rate->slice_counts[(rate->current_slice - i + RATE_SLICES) % RATE_SLICES];
  int64_t covered_us = past_slices * slice_us + world_now(history->world).us % slice_us;
  return (double)sum / ((double)covered_us / 1e6);
}

time_us event_history_last_requested_at(event_history *history, const char *key) {
  request_rate *rate = g_hash_table_lookup(history->fleet_rates, key);
  return rate ? rate->last_at : (time_us){ 0 };
}

static void format_load_time_key(char *buf, size_t n, id type, const char *key) {
  snprintf(buf, n, "%s/%s", type.text, key);
}

double event_history_load_ms(event_history *history, id type, const char *key, double fallback_ms) {
  char long_key[MAX_LONG_KEY_BYTES];
  format_load_time_key(long_key, sizeof long_key, type, key);
  double *smoothed_ms = g_hash_table_lookup(history->load_ms, long_key);
  return smoothed_ms ? *smoothed_ms : fallback_ms;
}

void event_history_record_load_ms(event_history *history, id type, const char *key, double ms) {
  char long_key[MAX_LONG_KEY_BYTES];
  format_load_time_key(long_key, sizeof long_key, type, key);
  double *smoothed_ms = g_hash_table_lookup(history->load_ms, long_key);
  if (smoothed_ms) {
    *smoothed_ms += history->smoothing_factor * (ms - *smoothed_ms);
    return;
  }
  smoothed_ms = g_new(double, 1);
  *smoothed_ms = ms;
  g_hash_table_insert(history->load_ms, g_strdup(long_key), smoothed_ms);
}

void event_history_merge_remote_count(event_history *history, uint64_t nonce, const char *key,
                                      uint64_t total, uint64_t in_window) {
  char long_key[MAX_LONG_KEY_BYTES];
  snprintf(long_key, sizeof long_key, "%" PRIx64 "/%s", nonce, key);
  uint64_t *known_total = g_hash_table_lookup(history->remote_totals, long_key),
           added = !known_total           ? in_window
                   : total > *known_total ? total - *known_total
                                          : 0;
  if (!known_total)
    known_total = find_or_add_entry(history->remote_totals, long_key, sizeof *known_total);
  *known_total = MAX(*known_total, total);
  if (added)
    add_count(history, history->fleet_rates, key, added);
}

uint64_t event_history_local_count(event_history *history, const char *key, uint64_t *total) {
  request_rate *rate = g_hash_table_lookup(history->local_rates, key);
  *total = rate ? rate->total : 0;
  return rate ? sum_slices(history, rate) : 0;
}
