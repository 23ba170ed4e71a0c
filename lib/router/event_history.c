#include "event_history.h"
#include <stdio.h>

static void *find_or_add_entry(GHashTable *t, const char *key, size_t n) {
  void *p = g_hash_table_lookup(t, key);
  if (!p) {
    p = g_malloc0(n);
    g_hash_table_insert(t, g_strdup(key), p);
  }
  return p;
}

void event_history_init(event_history *history, world *world) {
  memset(history, 0, sizeof *history);
  history->world = world;
  history->rate_window = time_from_ms(600000);
  history->smoothing_factor = 0.3;
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

/* brings a tally to the slice of now, wiping the slices that have passed */
static void advance_slices(event_history *history, request_rate *tally) {
  int64_t now = world_now(history->world).us / (history->rate_window.us / RATE_SLICES);
  if (now - tally->current_slice >= RATE_SLICES)
    memset(tally->slice_counts, 0, sizeof tally->slice_counts);
  else
    for (int64_t i = tally->current_slice + 1; i <= now; i++)
      tally->slice_counts[i % RATE_SLICES] = 0;
  if (now > tally->current_slice)
    tally->current_slice = now;
}

static void add_count(event_history *history, GHashTable *in, const char *key, uint64_t n) {
  request_rate *tally = find_or_add_entry(in, key, sizeof *tally);
  advance_slices(history, tally);
  tally->slice_counts[tally->current_slice % RATE_SLICES] += n;
  tally->total += n;
  tally->last_at = world_now(history->world);
}

static uint64_t sum_slices(event_history *history, request_rate *tally) {
  uint64_t n = 0;
  advance_slices(history, tally);
  for (int i = 0; i < RATE_SLICES; i++)
    n += tally->slice_counts[i];
  return n;
}

void event_history_append(event_history *history, history_event e) {
  e.at = world_now(history->world);
  history->journal[history->next_seq++ % EVENT_JOURNAL_CAPACITY] = e;
  if ((size_t)e.kind < G_N_ELEMENTS(history->event_counts))
    history->event_counts[e.kind]++;
  if (e.kind != EVENT_ROUTED)
    return;
  char key[128];
  event_history_format_key(key, sizeof key, e.model, id_of_text(""));
  add_count(history, history->fleet_rates, key, 1);
  add_count(history, history->local_rates, key, 1);
  if (id_is_empty(e.adapter))
    return;
  event_history_format_key(key, sizeof key, e.model, e.adapter);
  add_count(history, history->fleet_rates, key, 1);
  add_count(history, history->local_rates, key, 1);
}

void event_history_set_window(event_history *history, time_us window) {
  if (history->window_fixed || window.us == history->rate_window.us)
    return;
  history->rate_window = window;
  GHashTable *all[] = { history->fleet_rates, history->local_rates };
  for (int i = 0; i < 2; i++) {
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, all[i]);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
      request_rate *tally = v;
      memset(tally->slice_counts, 0, sizeof tally->slice_counts);
      tally->current_slice = 0;
    }
  }
}

void event_history_fix_window(event_history *history, time_us window) {
  history->window_fixed = false;
  event_history_set_window(history, window);
  history->window_fixed = true;
}

double event_history_request_rate(event_history *history, const char *key) {
  request_rate *tally = g_hash_table_lookup(history->fleet_rates, key);
  return tally ? (double)sum_slices(history, tally) / ((double)history->rate_window.us / 1e6) : 0;
}

double event_history_recent_rate(event_history *history, const char *key, time_us span) {
  request_rate *tally = g_hash_table_lookup(history->fleet_rates, key);
  if (!tally)
    return 0;
  advance_slices(history, tally);
  int64_t slice = history->rate_window.us / RATE_SLICES,
          n = CLAMP((span.us + slice / 2) / slice, 1, RATE_SLICES - 1);
  uint64_t sum_ = 0;
  /* the slice in hand is not full yet: it counts, and the time it has had as well */
  for (int64_t i = 0; i <= n; i++)
    sum_ += tally->slice_counts[(tally->current_slice - i + RATE_SLICES) % RATE_SLICES];
  int64_t had = n * slice + world_now(history->world).us % slice;
  return (double)sum_ / ((double)had / 1e6);
}

time_us event_history_last_requested_at(event_history *history, const char *key) {
  request_rate *tally = g_hash_table_lookup(history->fleet_rates, key);
  return tally ? tally->last_at : (time_us){ 0 };
}

static void format_load_time_key(char *buf, size_t n, id type, const char *key) {
  snprintf(buf, n, "%s/%s", type.text, key);
}

double event_history_load_ms(event_history *history, id type, const char *key, double fall) {
  char k[180];
  format_load_time_key(k, sizeof k, type, key);
  double *v = g_hash_table_lookup(history->load_ms, k);
  return v ? *v : fall;
}

void event_history_record_load_ms(event_history *history, id type, const char *key, double ms) {
  char k[180];
  format_load_time_key(k, sizeof k, type, key);
  double *v = g_hash_table_lookup(history->load_ms, k);
  if (v) {
    *v += history->smoothing_factor * (ms - *v);
    return;
  }
  v = g_new(double, 1);
  *v = ms;
  g_hash_table_insert(history->load_ms, g_strdup(k), v);
}

void event_history_merge_remote_count(event_history *history, uint64_t nonce, const char *key,
                                      uint64_t total, uint64_t window) {
  char k[180];
  snprintf(k, sizeof k, "%" PRIx64 "/%s", nonce, key);
  uint64_t *was = g_hash_table_lookup(history->remote_totals, k);
  uint64_t more = was ? (total > *was ? total - *was : 0) : window;
  if (!was) {
    was = g_new0(uint64_t, 1);
    g_hash_table_insert(history->remote_totals, g_strdup(k), was);
  }
  *was = MAX(*was, total);
  if (more)
    add_count(history, history->fleet_rates, key, more);
}

uint64_t event_history_local_count(event_history *history, const char *key, uint64_t *total) {
  request_rate *tally = g_hash_table_lookup(history->local_rates, key);
  *total = tally ? tally->total : 0;
  return tally ? sum_slices(history, tally) : 0;
}
