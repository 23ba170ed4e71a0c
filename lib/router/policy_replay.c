#include "policy_replay.h"
#include "router.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

typedef struct {
  world world;
  time_us now;
  uint64_t random_state;
} replay_environment;

static uint64_t splitmix64_next(uint64_t *s) {
  uint64_t z = (*s += 0x9e3779b97f4a7c15ull);
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ull;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebull;
  return z ^ (z >> 31);
}
static double random_unit(uint64_t *s) {
  return (double)(splitmix64_next(s) >> 11) / (double)(1ull << 53);
}
static time_us replay_now(void *p) {
  return ((replay_environment *)p)->now;
}
static uint64_t replay_random(void *p) {
  return splitmix64_next(&((replay_environment *)p)->random_state);
}

static trace *trace_new(void) {
  trace *t = g_new0(trace, 1);
  t->models = g_array_new(FALSE, TRUE, sizeof(trace_model));
  t->requests = g_array_new(FALSE, TRUE, sizeof(trace_request));
  return t;
}

void trace_free(trace *trace) {
  if (!trace)
    return;
  g_array_free(trace->models, TRUE);
  g_array_free(trace->requests, TRUE);
  g_free(trace);
}

uint64_t trace_total_mb(const trace *trace) {
  uint64_t n = 0;
  for (guint i = 0; i < trace->models->len; i++)
    n += g_array_index(trace->models, trace_model, i).weights_mb;
  return n;
}

static int compare_load_ms(const void *a, const void *b) {
  const trace_model *x = a, *y = b;
  return x->load_ms < y->load_ms ? -1 : x->load_ms > y->load_ms;
}

trace *trace_generate(const trace_plan *p) {
  trace *trace = trace_new();
  uint64_t s = p->seed * 7919 + 17;
  for (int i = 0; i < p->model_count; i++) {
    /* sizes spread over a decade; load time goes with size, though not strictly */
    trace_model g = { .weights_mb = (uint64_t)(1500 * pow(10, random_unit(&s))) };
    g.load_ms = 300 + (double)g.weights_mb / 8 * (0.4 + 1.2 * random_unit(&s));
    g_array_append_val(trace->models, g);
  }
  /* thing 0 is the most popular */
  if (p->relation != POPULARITY_INDEPENDENT)
    g_array_sort(trace->models, compare_load_ms);
  if (p->relation == POPULARITY_RISES_WITH_LOAD_TIME)
    for (guint i = 0; i < trace->models->len / 2; i++) {
      trace_model *a = &g_array_index(trace->models, trace_model, i),
                  *b = &g_array_index(trace->models, trace_model, trace->models->len - 1 - i),
                  k = *a;
      *a = *b;
      *b = k;
    }
  double *sum = g_new(double, p->model_count), all = 0;
  for (int i = 0; i < p->model_count; i++) {
    char name[32];
    snprintf(name, sizeof name, "t%d", i);
    g_array_index(trace->models, trace_model, i).self = id_of_text(name);
    sum[i] = all += 1 / pow(i + 1, p->zipf_exponent);
  }
  time_us now = time_from_ms(1000000);
  int burst = -1, left = 0;
  for (int i = 0; i < p->request_count; i++) {
    now.us += (int64_t)(-log(1 - random_unit(&s)) / p->requests_per_s * 1e6) + 1;
    if (!left && random_unit(&s) < p->burst_probability) {
      burst = (int)(splitmix64_next(&s) % p->model_count);
      left = 5 + (int)(splitmix64_next(&s) % 20);
    }
    trace_request a = { now, 0 };
    if (left && random_unit(&s) < 0.7) {
      a.model_index = burst;
      left--;
    } else {
      double at = random_unit(&s) * all;
      while (a.model_index < p->model_count - 1 && sum[a.model_index] < at)
        a.model_index++;
    }
    g_array_append_val(trace->requests, a);
  }
  g_free(sum);
  return trace;
}

trace *trace_parse(string_view text, error *err) {
  trace *trace = trace_new();
  GHashTable *at = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  char *copy = g_strndup(text.data, text.length), **lines = g_strsplit(copy, "\n", -1);
  int bad = 0;
  double last = 0;
  for (int i = 0; lines[i] && !bad; i++) {
    double ms, megs, load;
    char name[48];
    if (!lines[i][0] || lines[i][0] == '#')
      continue;
    if (sscanf(lines[i], "%lf %47s %lf %lf", &ms, name, &megs, &load) != 4 || !(megs >= 0) ||
        !(load >= 0) || !(ms >= last) || megs > 1e9 || ms > 1e15) {
      bad = i + 1;
      break;
    }
    last = ms;
    guint k = GPOINTER_TO_UINT(g_hash_table_lookup(at, name));
    if (!k) {
      trace_model g = { id_of_text(name), (uint64_t)megs, load };
      g_array_append_val(trace->models, g);
      k = trace->models->len;
      g_hash_table_insert(at, g_strdup(name), GUINT_TO_POINTER(k));
    }
    trace_request a = { time_add(time_from_ms(1000000), time_from_ms((int64_t)ms)), (int)k - 1 };
    g_array_append_val(trace->requests, a);
  }
  g_strfreev(lines);
  g_free(copy);
  g_hash_table_destroy(at);
  if (bad || !trace->requests->len) {
    error_set(err, E_FIELD,
              bad ? "line %d is not \"ms name weightsMb loadMs\", in order of time"
                  : "the trace is empty",
              bad);
    trace_free(trace);
    return NULL;
  }
  return trace;
}

trace *trace_reference_example(void) {
  static const int asks[] = { 0, 1, 2, 1, 0, 2, 1, 0, 2, 0, 2, 1, 0, 2 };
  trace *trace = trace_new();
  for (int i = 0; i < 3; i++) {
    char name[32];
    snprintf(name, sizeof name, "t%d", i);
    trace_model g = { id_of_text(name), 1, i + 1 };
    g_array_append_val(trace->models, g);
  }
  for (size_t i = 0; i < G_N_ELEMENTS(asks); i++) {
    trace_request a = { time_from_ms(1000000 + 1000 * (int64_t)i), asks[i] };
    g_array_append_val(trace->requests, a);
  }
  return trace;
}

/* the number of requests until each thing is asked for again, from each request on; 0 means never
 */
static int *find_next_uses(const trace *trace) {
  int n = trace->requests->len, *next = g_new0(int, n);
  int *seen = g_new(int, trace->models->len);
  for (guint i = 0; i < trace->models->len; i++)
    seen[i] = -1;
  for (int i = n - 1; i >= 0; i--) {
    int k = g_array_index(trace->requests, trace_request, i).model_index;
    next[i] = seen[k];
    seen[k] = i;
  }
  g_free(seen);
  return next;
}

replay_result policy_replay_run(const trace *trace, const char *name, uint64_t room,
                                const replay_options *k, uint64_t seed) {
  replay_environment l = { .random_state = seed };
  replay_result r = { 0 };
  event_history h;
  guint n = trace->models->len;
  bool oracle = !strcmp(name, "oracle"), belady = !strcmp(name, "belady");
  formula own;
  bool expr = g_str_has_prefix(name, "expr:") && !formula_compile(&own, name + 5, NULL);
  int *next = find_next_uses(trace), *due = g_new(int, n), *uses = g_new0(int, n);
  time_us *left = g_new0(time_us, n);
  bool *up = g_new0(bool, n);
  eviction_candidate *all = g_new0(eviction_candidate, n);
  int *which = g_new(int, n);
  uint64_t used = 0;
  id type = id_of_text("trial");
  double start = k && k->initial_load_ms > 0 ? k->initial_load_ms : 4000;
  scheduler_init(&l.world.tasks, replay_now, &l);
  l.now = time_from_ms(1000000);
  event_history_init(&h, &l.world);
  if (k && k->window_s)
    event_history_set_window(&h, time_from_ms(k->window_s * 1000));
  if (k && k->smoothing_factor > 0)
    h.smoothing_factor = k->smoothing_factor;
  for (guint i = 0; i < n; i++)
    due[i] = -1;
  for (guint i = 0; i < trace->requests->len; i++) {
    trace_request *a = &g_array_index(trace->requests, trace_request, i);
    trace_model *g = &g_array_index(trace->models, trace_model, a->model_index);
    l.now = a->at;
    r.requests++;
    event_history_append(&h,
                         (history_event){ EVENT_ROUTED, { 0 }, type, g->self, id_of_text(""), 0 });
    due[a->model_index] = next[i];
    if (up[a->model_index]) {
      r.hits++;
      uses[a->model_index]++;
      continue;
    }
    r.loads++;
    r.wasted +=
        left[a->model_index].us && l.now.us - left[a->model_index].us <
                                       WASTED_LOAD_WINDOW_FACTOR * (int64_t)(g->load_ms * 1000);
    r.delay_ms += g->load_ms;
    if (g->weights_mb > room)
      continue;
    while (used + g->weights_mb > room) {
      int m = 0;
      for (guint j = 0; j < n; j++) {
        if (!up[j])
          continue;
        trace_model *x = &g_array_index(trace->models, trace_model, j);
        eviction_candidate *candidate = &all[m];
        memset(candidate, 0, sizeof *candidate);
        candidate->model = x->self;
        candidate->weights_mb = x->weights_mb;
        candidate->last_requested_at = event_history_last_requested_at(&h, x->self.text);
        if (oracle || belady) {
          candidate->request_rate = due[j] < 0 ? 0 : 1.0 / (due[j] - (int)i);
          candidate->load_ms = x->load_ms;
        } else {
          candidate->request_rate = event_history_request_rate(&h, x->self.text);
          candidate->load_ms = event_history_load_ms(&h, type, x->self.text, start);
        }
        which[m++] = (int)j;
      }
      capacity_shortage want = { used + g->weights_mb - room, 0 };
      if (eviction_policy_select(&(eviction_rule){ oracle   ? "cremebrulee"
                                                   : belady ? "popularity"
                                                            : name,
                                                   expr ? &own : NULL, l.now },
                                 all, m, want, replay_random, &l) < 1)
        break;
      /* the fill sorts its candidates, so the first is found again by name */
      for (guint j = 0; j < n; j++)
        if (up[j] && id_equal(g_array_index(trace->models, trace_model, j).self, all[0].model)) {
          up[j] = false;
          used -= g_array_index(trace->models, trace_model, j).weights_mb;
          r.unloads++;
          left[j] = l.now;
          break;
        }
    }
    up[a->model_index] = true;
    uses[a->model_index] = 1;
    used += g->weights_mb;
    event_history_record_load_ms(&h, type, g->self.text, g->load_ms);
  }
  event_history_free(&h);
  scheduler_free(&l.world.tasks);
  g_free(next);
  g_free(due);
  g_free(uses);
  g_free(left);
  g_free(up);
  g_free(all);
  g_free(which);
  return r;
}
