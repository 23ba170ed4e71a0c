/** Breadth-first search with hashed states, and random walks with fixed seeds. */
#include "search.h"
#include <stdio.h>
#include <stdlib.h>

enum { WALK_STEPS_MAX = 400, PROGRESS_TENTHS = 7 };

static uint64_t hash_state(const model_state *state) {
  uint64_t h = 0xcbf29ce484222325u, word;
  const char *p = (const char *)state;
  size_t i = 0;
  for (; i + sizeof word <= sizeof *state; i += sizeof word) {
    memcpy(&word, p + i, sizeof word);
    h = (h ^ word) * 0x9fb21c651e98df25u;
    h ^= h >> 29;
  }
  for (; i < sizeof *state; i++)
    h = (h ^ (uint8_t)p[i]) * 0x100000001b3u;
  return h ? h : 1;
}

typedef struct {
  uint64_t *slot;
  size_t size;
} hash_set;

/* adds a hash; returns whether it was not in the set before */
static bool set_add(hash_set *t, uint64_t h) {
  for (size_t i = h & (t->size - 1);; i = (i + 1) & (t->size - 1)) {
    if (t->slot[i] == h)
      return false;
    if (t->slot[i])
      continue;
    t->slot[i] = h;
    return true;
  }
}

/* the state and event from which a state was reached, for the trace */
typedef struct {
  uint32_t from;
  model_event by;
} origin;

static void trace_step(GString *to, const model_state *state, model_event event) {
  char line[120];
  model_describe(state, event, line, sizeof line);
  g_string_append_printf(to, "    %s\n", line);
}

static void trace_breadth(const model_scope *scope, const origin *o, uint32_t index,
                          model_event last, search_result *result) {
  model_event path[1000];
  int n = 0;
  path[n++] = last;
  for (; index && n < 1000; index = o[index].from)
    path[n++] = o[index].by;
  model_state state;
  char fault[FAULT_SIZE];
  model_init(&state, scope);
  while (n--) {
    trace_step(result->trace, &state, path[n]);
    model_apply(&state, scope, path[n], fault);
  }
}

static void record_coverage(search_result *result, const model_state *state) {
  uint64_t views = 0;
  for (int i = 0; i < EPOCHS_MAX; i++)
    views += state->decided[i].epoch > 0;
  result->views = MAX(result->views, views);
  result->acknowledged = MAX(result->acknowledged, state->acknowledged);
}

void search_breadth(const model_scope *scope, search_result *result) {
  size_t slots = 1;
  while (slots < (size_t)scope->states * 3)
    slots *= 2;
  hash_set seen = { g_new0(uint64_t, slots), slots };
  origin *o = g_new(origin, scope->states);
  /* only the states of two levels are kept in memory */
  GArray *level = g_array_new(FALSE, FALSE, sizeof(model_state));
  GArray *next = g_array_new(FALSE, FALSE, sizeof(model_state));
  model_state first;
  model_init(&first, scope);
  g_array_append_val(level, first);
  set_add(&seen, hash_state(&first));
  result->states = 1;
  result->complete = true;
  uint32_t base = 0;
  model_event e[EVENTS_MAX];
  while (level->len && !result->fault[0] && result->complete) {
    uint32_t next_base = (uint32_t)result->states;
    for (guint i = 0; i < level->len && !result->fault[0] && result->complete; i++) {
      const model_state *from = &g_array_index(level, model_state, i);
      int n = model_events(from, scope, e);
      for (int k = 0; k < n; k++) {
        model_state state = *from;
        result->steps++;
        model_apply(&state, scope, e[k], result->fault);
        if (result->fault[0]) {
          trace_breadth(scope, o, base + i, e[k], result);
          break;
        }
        if (!set_add(&seen, hash_state(&state)))
          continue;
        if (result->states == scope->states) {
          result->complete = false;
          break;
        }
        o[result->states++] = (origin){ base + i, e[k] };
        record_coverage(result, &state);
        g_array_append_val(next, state);
      }
    }
    GArray *old = level;
    level = next;
    next = old;
    g_array_set_size(next, 0);
    base = next_base;
    result->depth += level->len && result->complete && !result->fault[0];
  }
  g_array_free(level, TRUE);
  g_array_free(next, TRUE);
  g_free(seen.slot);
  g_free(o);
}

static uint64_t next_random(uint64_t *x) {
  *x ^= *x << 13;
  *x ^= *x >> 7;
  *x ^= *x << 17;
  return *x * 0x2545f4914f6cdd1du >> 32;
}

static bool is_progress(model_event event) {
  return event.kind == EVENT_DELIVER || event.kind == EVENT_SYNC;
}

/* prefers deliveries and syncs, so that operations in progress complete and walks get far */
static model_event choose_event(const model_event *e, int n, uint64_t *x) {
  int progress_count = 0;
  for (int i = 0; i < n; i++)
    progress_count += is_progress(e[i]);
  if (!progress_count || next_random(x) % 10 >= PROGRESS_TENTHS)
    return e[next_random(x) % (uint64_t)n];
  int k = (int)(next_random(x) % (uint64_t)progress_count);
  for (int i = 0;; i++)
    if (is_progress(e[i]) && !k--)
      return e[i];
}

static void walk(const model_scope *scope, uint64_t seed, search_result *result) {
  uint64_t x = seed * 0x9e3779b97f4a7c15u | 1;
  model_state state;
  model_event e[EVENTS_MAX], path[WALK_STEPS_MAX];
  int n = 0;
  model_init(&state, scope);
  for (; n < (int)scope->steps && !result->fault[0]; n++) {
    int event_count = model_events(&state, scope, e);
    if (!event_count)
      break;
    path[n] = choose_event(e, event_count, &x);
    model_apply(&state, scope, path[n], result->fault);
  }
  result->steps += (uint64_t)n;
  record_coverage(result, &state);
  if (!result->fault[0])
    return;
  char fault[FAULT_SIZE];
  model_init(&state, scope);
  for (int i = 0; i < n; i++) {
    trace_step(result->trace, &state, path[i]);
    model_apply(&state, scope, path[i], fault);
  }
}

void search_walks(const model_scope *scope, uint64_t seed, uint32_t count, search_result *result) {
  for (uint32_t i = 0; i < count && !result->fault[0]; i++)
    walk(scope, seed + i, result);
  result->states = count;
}
