/**
 * Generates and parses traces of requests.
 */
#include "trace.h"
#include <math.h>
#include <stdio.h>

enum {
  /* Traces start at this time and not at 0, which means "never" elsewhere. */
  TRACE_START_MS = 1000000,
  /* The reference example has one request per second. */
  REFERENCE_INTERVAL_MS = 1000,
  REFERENCE_MODELS = 3,
  MIN_BURST = 5,
  BURST_SPREAD = 20,
  MIN_WEIGHTS_MB = 1500,
  MIN_LOAD_MS = 300,
  /* Approximate load rate. */
  LOAD_MB_PER_MS = 8
};

/* The share of requests during a burst that are for the burst's model. */
static const double BURST_SHARE = 0.7;
/* Upper bounds of the values in a line. */
static const double MAX_WEIGHTS_MB = 1e9, MAX_AT_MS = 1e15;

uint64_t splitmix64_next(uint64_t *state) {
  uint64_t z = (*state += 0x9e3779b97f4a7c15ull);
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ull;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebull;
  return z ^ (z >> 31);
}

/* Uniform in [0, 1). */
static double random_unit(uint64_t *state) {
  return (double)(splitmix64_next(state) >> 11) / (double)(1ull << 53);
}

static trace *trace_new(void) {
  trace *new_trace = g_new0(trace, 1);
  new_trace->models = g_array_new(FALSE, TRUE, sizeof(trace_model));
  new_trace->requests = g_array_new(FALSE, TRUE, sizeof(trace_request));
  return new_trace;
}

void trace_free(trace *trace) {
  if (!trace)
    return;
  g_array_free(trace->models, TRUE);
  g_array_free(trace->requests, TRUE);
  g_free(trace);
}

static trace_model *model_at(const trace *trace, guint i) {
  return &g_array_index(trace->models, trace_model, i);
}

uint64_t trace_total_mb(const trace *trace) {
  uint64_t total = 0;
  for (guint i = 0; i < trace->models->len; i++)
    total += model_at(trace, i)->weights_mb;
  return total;
}

static void set_name(trace_model *model, int i) {
  char name[32];
  snprintf(name, sizeof name, "t%d", i);
  model->self = id_of_text(name);
}

static int compare_load_ms(const void *a, const void *b) {
  const trace_model *x = a, *y = b;
  return x->load_ms < y->load_ms ? -1 : x->load_ms > y->load_ms;
}

static void reverse_models(trace *trace) {
  for (guint i = 0; i < trace->models->len / 2; i++) {
    trace_model *a = model_at(trace, i), *b = model_at(trace, trace->models->len - 1 - i),
                swapped = *a;
    *a = *b;
    *b = swapped;
  }
}

/* Sizes are spread over a factor of ten; the load time grows with size, with random variation.
 * Model 0 becomes the most popular one, so the models are sorted when popularity depends on load
 * time. */
static void generate_models(trace *trace, const trace_plan *plan, uint64_t *state) {
  for (int i = 0; i < plan->model_count; i++) {
    trace_model model = { .weights_mb = (uint64_t)(MIN_WEIGHTS_MB * pow(10, random_unit(state))) };
    model.load_ms =
        MIN_LOAD_MS + (double)model.weights_mb / LOAD_MB_PER_MS * (0.4 + 1.2 * random_unit(state));
    g_array_append_val(trace->models, model);
  }
  if (plan->relation != POPULARITY_INDEPENDENT)
    g_array_sort(trace->models, compare_load_ms);
  if (plan->relation == POPULARITY_RISES_WITH_LOAD_TIME)
    reverse_models(trace);
  for (int i = 0; i < plan->model_count; i++)
    set_name(model_at(trace, (guint)i), i);
}

/* Returns the cumulative weights of the Zipf distribution, which the caller frees. */
static double *cumulate_weights(const trace_plan *plan) {
  double *cumulated = g_new(double, plan->model_count), total = 0;
  for (int i = 0; i < plan->model_count; i++)
    cumulated[i] = total += 1 / pow(i + 1, plan->zipf_exponent);
  return cumulated;
}

static int choose_model(const trace_plan *plan, const double *cumulated, uint64_t *state) {
  int last = plan->model_count - 1, i = 0;
  double position = random_unit(state) * cumulated[last];
  while (i < last && cumulated[i] < position)
    i++;
  return i;
}

static void generate_requests(trace *trace, const trace_plan *plan, uint64_t *state) {
  double *cumulated = cumulate_weights(plan);
  time_us now = time_from_ms(TRACE_START_MS);
  int burst_model = -1, burst_left = 0;
  for (int i = 0; i < plan->request_count; i++) {
    now.us += (int64_t)(-log(1 - random_unit(state)) / plan->requests_per_s * 1e6) + 1;
    if (!burst_left && random_unit(state) < plan->burst_probability) {
      burst_model = (int)(splitmix64_next(state) % (uint64_t)plan->model_count);
      burst_left = MIN_BURST + (int)(splitmix64_next(state) % BURST_SPREAD);
    }
    trace_request request = { .at = now };
    if (burst_left && random_unit(state) < BURST_SHARE) {
      request.model_index = burst_model;
      burst_left--;
    } else {
      request.model_index = choose_model(plan, cumulated, state);
    }
    g_array_append_val(trace->requests, request);
  }
  g_free(cumulated);
}

trace *trace_generate(const trace_plan *plan) {
  trace *trace = trace_new();
  uint64_t state = plan->seed * 7919 + 17;
  generate_models(trace, plan, &state);
  generate_requests(trace, plan, &state);
  return trace;
}

/* One line of a trace. */
typedef struct trace_line {
  double at_ms, weights_mb, load_ms;
  char name[48];
} trace_line;

static bool parse_line(const char *text, double last_ms, trace_line *line) {
  return sscanf(text, "%lf %47s %lf %lf", &line->at_ms, line->name, &line->weights_mb,
                &line->load_ms) == 4 &&
         line->weights_mb >= 0 && line->load_ms >= 0 && line->at_ms >= last_ms &&
         !(line->weights_mb > MAX_WEIGHTS_MB) && !(line->at_ms > MAX_AT_MS);
}

/* `indexes` maps a name to the index of its model plus one. */
static int find_or_add_model(trace *trace, GHashTable *indexes, const trace_line *line) {
  guint known = GPOINTER_TO_UINT(g_hash_table_lookup(indexes, line->name));
  if (!known) {
    trace_model model = { id_of_text(line->name), (uint64_t)line->weights_mb, line->load_ms };
    g_array_append_val(trace->models, model);
    known = trace->models->len;
    g_hash_table_insert(indexes, g_strdup(line->name), GUINT_TO_POINTER(known));
  }
  return (int)known - 1;
}

/* Parses all lines; returns the number of the first malformed one, or 0. */
static int parse_lines(trace *trace, char **lines) {
  GHashTable *indexes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  trace_line line = { 0 };
  int malformed = 0;
  for (int i = 0; lines[i] && !malformed; i++) {
    if (!lines[i][0] || lines[i][0] == '#')
      continue;
    if (!parse_line(lines[i], line.at_ms, &line)) {
      malformed = i + 1;
      break;
    }
    trace_request request = { .at = time_from_ms(TRACE_START_MS + (int64_t)line.at_ms) };
    request.model_index = find_or_add_model(trace, indexes, &line);
    g_array_append_val(trace->requests, request);
  }
  g_hash_table_destroy(indexes);
  return malformed;
}

trace *trace_parse(string_view text, error *err) {
  trace *trace = trace_new();
  char *copy = g_strndup(text.data, text.length), **lines = g_strsplit(copy, "\n", -1);
  int malformed = parse_lines(trace, lines);
  g_strfreev(lines);
  g_free(copy);
  if (!malformed && trace->requests->len)
    return trace;
  if (malformed)
    error_set(err, E_FIELD, "line %d is not \"ms name weightsMb loadMs\", in order of time",
              malformed);
  else
    error_set(err, E_FIELD, "the trace is empty");
  trace_free(trace);
  return NULL;
}

trace *trace_reference_example(void) {
  static const int model_indexes[] = { 0, 1, 2, 1, 0, 2, 1, 0, 2, 0, 2, 1, 0, 2 };
  trace *trace = trace_new();
  for (int i = 0; i < REFERENCE_MODELS; i++) {
    trace_model model = { .weights_mb = 1, .load_ms = i + 1 };
    set_name(&model, i);
    g_array_append_val(trace->models, model);
  }
  for (size_t i = 0; i < G_N_ELEMENTS(model_indexes); i++) {
    trace_request request = { time_from_ms(TRACE_START_MS + REFERENCE_INTERVAL_MS * (int64_t)i),
                              model_indexes[i] };
    g_array_append_val(trace->requests, request);
  }
  return trace;
}
