#include "trial.h"
#include "router.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

typedef struct {
  world world;
  time_us now;
  uint64_t rnd;
} lab;

static uint64_t mix(uint64_t *s) {
  uint64_t z = (*s += 0x9e3779b97f4a7c15ull);
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ull;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebull;
  return z ^ (z >> 31);
}
static double unit(uint64_t *s) {
  return (double)(mix(s) >> 11) / (double)(1ull << 53);
}
static time_us lab_now(void *p) {
  return ((lab *)p)->now;
}
static uint64_t lab_draw(void *p) {
  return mix(&((lab *)p)->rnd);
}

static trace *trace_new(void) {
  trace *t = g_new0(trace, 1);
  t->things = g_array_new(FALSE, TRUE, sizeof(t_thing));
  t->requests = g_array_new(FALSE, TRUE, sizeof(t_request));
  return t;
}

void trace_free(trace *trace) {
  if (!trace)
    return;
  g_array_free(trace->things, TRUE);
  g_array_free(trace->requests, TRUE);
  g_free(trace);
}

uint64_t trace_megs(const trace *trace) {
  uint64_t n = 0;
  for (guint i = 0; i < trace->things->len; i++)
    n += g_array_index(trace->things, t_thing, i).megs;
  return n;
}

static int by_load(const void *a, const void *b) {
  const t_thing *x = a, *y = b;
  return x->load_ms < y->load_ms ? -1 : x->load_ms > y->load_ms;
}

trace *trace_draw(const t_plan *p) {
  trace *trace = trace_new();
  uint64_t s = p->seed * 7919 + 17;
  for (int i = 0; i < p->things; i++) {
    /* sizes spread over a decade; load time goes with size, though not strictly */
    t_thing g = { .megs = (uint64_t)(1500 * pow(10, unit(&s))) };
    g.load_ms = 300 + (double)g.megs / 8 * (0.4 + 1.2 * unit(&s));
    g_array_append_val(trace->things, g);
  }
  /* thing 0 is the most popular */
  if (p->rel != REL_NONE)
    g_array_sort(trace->things, by_load);
  if (p->rel == REL_LIKE)
    for (guint i = 0; i < trace->things->len / 2; i++) {
      t_thing *a = &g_array_index(trace->things, t_thing, i),
              *b = &g_array_index(trace->things, t_thing, trace->things->len - 1 - i), k = *a;
      *a = *b;
      *b = k;
    }
  double *sum = g_new(double, p->things), all = 0;
  for (int i = 0; i < p->things; i++) {
    char name[32];
    snprintf(name, sizeof name, "t%d", i);
    g_array_index(trace->things, t_thing, i).self = id_of_text(name);
    sum[i] = all += 1 / pow(i + 1, p->zipf);
  }
  time_us now = time_from_ms(1000000);
  int burst = -1, left = 0;
  for (int i = 0; i < p->requests; i++) {
    now.us += (int64_t)(-log(1 - unit(&s)) / p->per_s * 1e6) + 1;
    if (!left && unit(&s) < p->bursts) {
      burst = (int)(mix(&s) % p->things);
      left = 5 + (int)(mix(&s) % 20);
    }
    t_request a = { now, 0 };
    if (left && unit(&s) < 0.7) {
      a.thing = burst;
      left--;
    } else {
      double at = unit(&s) * all;
      while (a.thing < p->things - 1 && sum[a.thing] < at)
        a.thing++;
    }
    g_array_append_val(trace->requests, a);
  }
  g_free(sum);
  return trace;
}

trace *trace_read(string_view text, error *err) {
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
      t_thing g = { id_of_text(name), (uint64_t)megs, load };
      g_array_append_val(trace->things, g);
      k = trace->things->len;
      g_hash_table_insert(at, g_strdup(name), GUINT_TO_POINTER(k));
    }
    t_request a = { time_add(time_from_ms(1000000), time_from_ms((int64_t)ms)), (int)k - 1 };
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

trace *trace_table(void) {
  static const int asks[] = { 0, 1, 2, 1, 0, 2, 1, 0, 2, 0, 2, 1, 0, 2 };
  trace *trace = trace_new();
  for (int i = 0; i < 3; i++) {
    char name[32];
    snprintf(name, sizeof name, "t%d", i);
    t_thing g = { id_of_text(name), 1, i + 1 };
    g_array_append_val(trace->things, g);
  }
  for (size_t i = 0; i < G_N_ELEMENTS(asks); i++) {
    t_request a = { time_from_ms(1000000 + 1000 * (int64_t)i), asks[i] };
    g_array_append_val(trace->requests, a);
  }
  return trace;
}

/* the number of requests until each thing is asked for again, from each request on; 0 means never
 */
static int *next_use(const trace *trace) {
  int n = trace->requests->len, *next = g_new0(int, n);
  int *seen = g_new(int, trace->things->len);
  for (guint i = 0; i < trace->things->len; i++)
    seen[i] = -1;
  for (int i = n - 1; i >= 0; i--) {
    int k = g_array_index(trace->requests, t_request, i).thing;
    next[i] = seen[k];
    seen[k] = i;
  }
  g_free(seen);
  return next;
}

t_result trial_run(const trace *trace, const char *name, uint64_t room, const t_knobs *k,
                   uint64_t seed) {
  lab l = { .rnd = seed };
  t_result r = { 0 };
  history h;
  guint n = trace->things->len;
  bool oracle = !strcmp(name, "oracle"), belady = !strcmp(name, "belady");
  formula own;
  bool expr = g_str_has_prefix(name, "expr:") && !formula_compile(&own, name + 5, NULL);
  int *next = next_use(trace), *due = g_new(int, n), *uses = g_new0(int, n);
  time_us *left = g_new0(time_us, n);
  bool *up = g_new0(bool, n);
  candidate *all = g_new0(candidate, n);
  int *which = g_new(int, n);
  uint64_t used = 0;
  id type = id_of_text("trial");
  double start = k && k->start_ms > 0 ? k->start_ms : 4000;
  scheduler_init(&l.world.tasks, lab_now, &l);
  l.now = time_from_ms(1000000);
  history_init(&h, &l.world);
  if (k && k->window_s)
    history_window(&h, time_from_ms(k->window_s * 1000));
  if (k && k->smooth > 0)
    h.smooth = k->smooth;
  for (guint i = 0; i < n; i++)
    due[i] = -1;
  for (guint i = 0; i < trace->requests->len; i++) {
    t_request *a = &g_array_index(trace->requests, t_request, i);
    t_thing *g = &g_array_index(trace->things, t_thing, a->thing);
    l.now = a->at;
    r.requests++;
    history_add(&h, (entry){ EV_ROUTED, { 0 }, type, g->self, id_of_text(""), 0 });
    due[a->thing] = next[i];
    if (up[a->thing]) {
      r.hits++;
      uses[a->thing]++;
      continue;
    }
    r.loads++;
    r.wasted += left[a->thing].us &&
                l.now.us - left[a->thing].us < WASTE_TIMES * (int64_t)(g->load_ms * 1000);
    r.delay_ms += g->load_ms;
    if (g->megs > room)
      continue;
    while (used + g->megs > room) {
      int m = 0;
      for (guint j = 0; j < n; j++) {
        if (!up[j])
          continue;
        t_thing *x = &g_array_index(trace->things, t_thing, j);
        candidate *candidate = &all[m];
        memset(candidate, 0, sizeof *candidate);
        candidate->model = x->self;
        candidate->megs = x->megs;
        candidate->used = history_used(&h, x->self.text);
        if (oracle || belady) {
          candidate->rate = due[j] < 0 ? 0 : 1.0 / (due[j] - (int)i);
          candidate->penalty = x->load_ms;
        } else {
          candidate->rate = history_rate(&h, x->self.text);
          candidate->penalty = history_penalty(&h, type, x->self.text, start);
        }
        which[m++] = (int)j;
      }
      lack want = { used + g->megs - room, 0 };
      if (policy_fill(&(policy){ oracle   ? "cremebrulee"
                                 : belady ? "popularity"
                                          : name,
                                 expr ? &own : NULL, l.now },
                      all, m, want, lab_draw, &l) < 1)
        break;
      /* the fill sorts its candidates, so the first is found again by name */
      for (guint j = 0; j < n; j++)
        if (up[j] && id_equal(g_array_index(trace->things, t_thing, j).self, all[0].model)) {
          up[j] = false;
          used -= g_array_index(trace->things, t_thing, j).megs;
          r.unloads++;
          left[j] = l.now;
          break;
        }
    }
    up[a->thing] = true;
    uses[a->thing] = 1;
    used += g->megs;
    history_timed(&h, type, g->self.text, g->load_ms);
  }
  history_free(&h);
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
