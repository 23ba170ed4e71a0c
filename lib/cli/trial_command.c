/** The command trial: replays traces under several eviction policies
 * (lib/policy_replay/policy_replay.h), and prints a table of the costs.
 *
 * All policies run over the same traces, and each is compared with the first one trace by trace, so
 * that the variance between traces does not hide a difference between policies. The traces are
 * generated with the seeds 1, 2, 3...; or there is a single one, from a file or from the table of
 * the paper. */
#include "commands.h"
#include "formula.h"
#include "program.h"
#include <stdio.h>
#include <stdlib.h>

enum { TRACES_MAX = 1000, MODELS_MIN = 2, MODELS_MAX = 5000, REQUESTS_MAX = 2000000 };

/** The engine in the example of the paper holds two models of size 1. */
enum { REFERENCE_CAPACITY_MB = 2 };

/** Marks a policy that is an expression. */
static const char expression_prefix[] = "expr:";

/** Where the traces come from. */
enum trace_source { TRACE_GENERATED, TRACE_FROM_FILE, TRACE_REFERENCE_EXAMPLE };

/** The measures taken of each policy on each trace. */
enum measure {
  MEASURE_LOADS,
  MEASURE_WASTED,
  MEASURE_HIT_SHARE,
  /** Load delay in ms per request; for the reference example, the total. */
  MEASURE_DELAY,
  /** The ratio of MEASURE_DELAY to that of the first policy. */
  MEASURE_DELAY_RATIO,
  MEASURE_COUNT
};

/** One run of the command: each policy replays each trace. */
struct trial {
  const struct asterctl_options *options;
  enum trace_source source;
  /** Names or expressions, terminated by NULL. */
  char **policies;
  int policy_count, trace_count;
  /** Indexed by policy, then by trace. */
  double *results[MEASURE_COUNT];
};

static void trial_init(struct trial *trial, const struct asterctl_options *options) {
  const char *policies = options->policies;
  *trial = (struct trial){ .options = options };
  trial->source = TRACE_GENERATED;
  if (!strcmp(asterctl_options_word(options, 1), "table"))
    trial->source = TRACE_REFERENCE_EXAMPLE;
  else if (options->file)
    trial->source = TRACE_FROM_FILE;
  trial->policies = g_strsplit(policies, strchr(policies, ';') ? ";" : ",", -1);
  trial->policy_count = (int)g_strv_length(trial->policies);
  trial->trace_count = trial->source == TRACE_GENERATED ? options->trace_count : 1;
}

/** Allocates the results; trace_count must be valid. */
static void trial_allocate(struct trial *trial) {
  size_t result_count = (size_t)trial->policy_count * (size_t)trial->trace_count;
  for (int i = 0; i < MEASURE_COUNT; i++)
    trial->results[i] = g_new0(double, result_count);
}

static void trial_clear(struct trial *trial) {
  for (int i = 0; i < MEASURE_COUNT; i++)
    g_free(trial->results[i]);
  g_strfreev(trial->policies);
}

/** The results of a policy, one for each trace. */
static double *results_of(const struct trial *trial, enum measure measure, int policy) {
  return trial->results[measure] + policy * trial->trace_count;
}

static bool is_outside(int value, int min, int max) {
  return value < min || value > max;
}

/** True when all numbers of the command line are in range; prints an error when not. */
static bool numbers_are_valid(const struct trial *trial) {
  const trace_plan *plan = &trial->options->trace_plan;
  bool out_of_range = is_outside(trial->trace_count, 1, TRACES_MAX) ||
                      is_outside(plan->model_count, MODELS_MIN, MODELS_MAX) ||
                      is_outside(plan->request_count, 1, REQUESTS_MAX) ||
                      plan->requests_per_s <= 0 || trial->options->replay.capacity_share <= 0;
  if (out_of_range)
    asterctl_error("a numeric option is out of range");
  return !out_of_range;
}

static bool is_known_policy(const char *policy) {
  static const char *const known[] = { "cremebrulee", "popularity", "lru",
                                       "random",      "belady",     "oracle" };
  for (size_t i = 0; i < G_N_ELEMENTS(known); i++)
    if (!strcmp(policy, known[i]))
      return true;
  return false;
}

/** True for the name of a policy or an expression that compiles; prints an error for others. */
static bool policy_is_valid(const char *policy) {
  if (is_known_policy(policy))
    return true;
  if (g_str_has_prefix(policy, expression_prefix)) {
    formula expression;
    error err = { 0 };
    if (formula_compile(&expression, policy + strlen(expression_prefix), &err) == OK)
      return true;
    asterctl_error("%s (code %d)", err.text, err.code);
  }
  asterctl_error("unknown policy %s", policy);
  return false;
}

static bool policies_are_valid(const struct trial *trial) {
  for (int i = 0; i < trial->policy_count; i++)
    if (!policy_is_valid(trial->policies[i]))
      return false;
  return true;
}

/** Reads a trace; NULL with err set when the file can't be read or parsed. */
static trace *read_trace(const char *file, error *err) {
  GString *text = program_read_file(file);
  if (!text) {
    error_set(err, E_SETTINGS_FILE, "%s can't be read", file);
    return NULL;
  }
  trace *trace = trace_parse(string_view_of_gstring(text), err);
  g_string_free(text, TRUE);
  return trace;
}

/** Generates the trace of a seed, or returns the single trace of the other sources. The caller
 * frees it with trace_free; NULL with err set on failure. */
static trace *make_trace(const struct trial *trial, uint64_t seed, error *err) {
  trace_plan plan = trial->options->trace_plan;
  switch (trial->source) {
  case TRACE_REFERENCE_EXAMPLE:
    return trace_reference_example();
  case TRACE_FROM_FILE:
    return read_trace(trial->options->file, err);
  default:
    plan.seed = seed;
    return trace_generate(&plan);
  }
}

static uint64_t capacity_mb(const struct trial *trial, const trace *trace) {
  if (trial->source == TRACE_REFERENCE_EXAMPLE)
    return REFERENCE_CAPACITY_MB;
  return (uint64_t)(trial->options->replay.capacity_share * (double)trace_total_mb(trace));
}

/** Stores the results of a policy on a trace. Those of the first policy must be stored first. */
static void store_result(struct trial *trial, int policy, int trace_index,
                         const replay_result *result) {
  double requests = (double)result->requests;
  bool is_total = trial->source == TRACE_REFERENCE_EXAMPLE;
  double delay = is_total ? result->delay_ms : result->delay_ms / requests;
  results_of(trial, MEASURE_LOADS, policy)[trace_index] = (double)result->loads;
  results_of(trial, MEASURE_WASTED, policy)[trace_index] = (double)result->wasted;
  results_of(trial, MEASURE_HIT_SHARE, policy)[trace_index] = (double)result->hits / requests;
  results_of(trial, MEASURE_DELAY, policy)[trace_index] = delay;
  double first_delay = results_of(trial, MEASURE_DELAY, 0)[trace_index];
  results_of(trial, MEASURE_DELAY_RATIO, policy)[trace_index] =
      delay / (first_delay > 0 ? first_delay : 1);
}

/** Replays one trace under every policy; prints an error and returns false when there is no trace.
 */
static bool replay_trace(struct trial *trial, int trace_index) {
  uint64_t seed = (uint64_t)trace_index + 1;
  error err = { 0 };
  trace *trace = make_trace(trial, seed, &err);
  if (!trace) {
    asterctl_error("%s (code %d)", err.text, err.code);
    return false;
  }
  uint64_t capacity = capacity_mb(trial, trace);
  for (int i = 0; i < trial->policy_count; i++) {
    replay_result result =
        policy_replay_run(trace, trial->policies[i], capacity, &trial->options->replay, seed);
    store_result(trial, i, trace_index, &result);
  }
  trace_free(trace);
  return true;
}

static bool replay_all(struct trial *trial) {
  for (int i = 0; i < trial->trace_count; i++)
    if (!replay_trace(trial, i))
      return false;
  return true;
}

static int compare_doubles(const void *first, const void *second) {
  double a = *(const double *)first, b = *(const double *)second;
  return a < b ? -1 : a > b;
}

/** The median, minimum and maximum of a measure over the traces. */
struct spread {
  double min, median, max;
};

static struct spread spread_of(const struct trial *trial, enum measure measure, int policy) {
  int count = trial->trace_count;
  double *sorted = g_memdup2(results_of(trial, measure, policy), (gsize)count * sizeof *sorted);
  qsort(sorted, (size_t)count, sizeof *sorted, compare_doubles);
  int upper_middle = count / 2;
  struct spread spread = { sorted[0], sorted[upper_middle], sorted[count - 1] };
  g_free(sorted);
  return spread;
}

static void print_policy(const struct trial *trial, int policy) {
  struct spread delay = spread_of(trial, MEASURE_DELAY, policy);
  struct spread ratio = spread_of(trial, MEASURE_DELAY_RATIO, policy);
  printf("%-12s %10.0f %8.0f %8.3f   %8.1f (%.1f-%.1f)%*s %.3f (%.3f-%.3f)\n",
         trial->policies[policy], spread_of(trial, MEASURE_LOADS, policy).median,
         spread_of(trial, MEASURE_WASTED, policy).median,
         spread_of(trial, MEASURE_HIT_SHARE, policy).median, delay.median, delay.min, delay.max, 8,
         "", ratio.median, ratio.min, ratio.max);
}

static void print_results(const struct trial *trial) {
  bool is_reference = trial->source == TRACE_REFERENCE_EXAMPLE;
  printf("%-12s %10s %8s %8s   %-28s %s\n", "POLICY", "LOADS", "WASTED", "HITS",
         is_reference ? "COST" : "LOAD DELAY ms/request (spread)",
         "DELAY TO THE FIRST, PAIRED (spread)");
  for (int i = 0; i < trial->policy_count; i++)
    print_policy(trial, i);
}

enum exit_code trial_command_run(const struct command_context *context) {
  struct trial trial;
  trial_init(&trial, &context->options);
  enum exit_code exit_code = EXIT_CODE_USAGE;
  if (numbers_are_valid(&trial) && policies_are_valid(&trial)) {
    trial_allocate(&trial);
    if (replay_all(&trial)) {
      print_results(&trial);
      exit_code = EXIT_CODE_OK;
    }
  }
  trial_clear(&trial);
  return exit_code;
}
