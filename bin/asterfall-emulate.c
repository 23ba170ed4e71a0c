/** asterfall-emulate: emulates days of a deployment in virtual time (emulator/day.h) and reports
 * the results.
 *
 * With --against or --against-seed it compares two sides, A and B. Each day is played on both, and
 * the differences are computed day by day, so that the variance between days does not hide a
 * difference between the sides. */
#include "day_faults.h"
#include "day_figures.h"
#include "day_play.h"
#include "day_plot.h"
#include "day_policy.h"
#include "day_read.h"
#include "day_report.h"
#include "program.h"
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

static const char program_name[] = "asterfall-emulate";

/** The largest number of days, and the defaults without and with a comparison. */
enum { DAYS_MAX = 200, DAYS_DEFAULT = 1, DAYS_DEFAULT_OF_COMPARISON = 5 };

/** The ranges of --rate and --seconds. */
static const double rate_factor_min = 0.01, rate_factor_max = 100;
static const double duration_min_s = 2, duration_max_s = 3800;

/** The command line; the strings belong to argv. */
struct options {
  const char *day_file;
  /** NULL: no plot. */
  const char *plot_file;
  /** The eviction policies of A and B that replace the day's own; NULL: not given. */
  const char *policy, *against_policy;
  uint64_t first_seed;
  /** 0: not given. */
  uint64_t against_seed;
  int day_count;
  bool json, log, without_day_faults;
  /** The faults to add, as given with --trouble; elements are of type const char *. */
  GPtrArray *faults;
  /** 0: not given. */
  double rate_factor, duration_s;
};

static const struct argp_option option_table[] = {
  { "seed", 's', "N", 0, "seed of the day (1)", 0 },
  { "seeds", 'n', "N", 0, "play so many days, from this seed on (1; with a comparison 5)", 0 },
  { "policy", 'p', "NAME", 0,
    "eviction: cremebrulee, popularity, lru, random, or expr:EXPRESSION, instead of the day's own",
    0 },
  { "against", 'a', "NAME", 0,
    "play each day under this eviction as well, and give paired differences", 0 },
  { "against-seed", 'A', "N", 0, "play the days from this seed on as well, side by side", 0 },
  { "trouble", 't', "WHAT@S[:FOR]", 0, "add a trouble; see below", 0 },
  { "calm", 'c', NULL, 0, "leave the file's own troubles out", 0 },
  { "rate", 'r', "X", 0, "multiply all rates", 0 },
  { "seconds", 'd', "S", 0, "length of the day", 0 },
  { "json", 'j', NULL, 0, "print JSON, a day a line", 0 },
  { "plot", 'o', "FILE", 0, "write a plot (SVG) of what was served every 2 s", 0 },
  { "log", 'l', NULL, 0, "let the processes log", 0 },
  { 0 }
};

static const char help[] =
    "asterfall-emulate: plays a day of a deployment in virtual time, with the real gateways and core machines over a fleet in memory, and reports it\v"
    "DAY is a file such as examples/lanka/day.json. Troubles: WHAT@SECONDS[:FOR][,factor=X][,which=N] with WHAT one of\n"
    "  engine-crash engine-dark engine-grey engine-leave gateway-kill gateway-drain gateway-freeze\n"
    "  controller-kill controller-cut controller-wipe config-change config-race config-bad burst model-shift\n"
    "\nThe day is judged from what engines, callers and the operator wrote down. Ends with 0 when the rules were kept,\n1 when one broke, 2 on bad use.\n";

static void set_day_count(struct options *options, const char *value, struct argp_state *state) {
  options->day_count = atoi(value);
  if (options->day_count < 1 || options->day_count > DAYS_MAX)
    argp_error(state, "--seeds takes 1 to %d", DAYS_MAX);
}

/** Parses a number and ends the program when it is out of range. */
static double parse_number(const char *flag, const char *value, double min, double max,
                           struct argp_state *state) {
  double number = atof(value);
  bool is_in_range = number >= min && number <= max;
  if (!is_in_range)
    argp_error(state, "%s takes %g to %g", flag, min, max);
  return number;
}

static void set_day_file(struct options *options, const char *file, struct argp_state *state) {
  if (options->day_file)
    argp_error(state, "only one day file is allowed");
  options->day_file = file;
}

static error_t parse(int key, char *value, struct argp_state *state) {
  struct options *options = state->input;
  switch (key) {
  case 's':
    options->first_seed = strtoull(value, NULL, 10);
    return 0;
  case 'A':
    options->against_seed = strtoull(value, NULL, 10);
    return 0;
  case 'n':
    set_day_count(options, value, state);
    return 0;
  case 'p':
    options->policy = value;
    return 0;
  case 'a':
    options->against_policy = value;
    return 0;
  case 't':
    g_ptr_array_add(options->faults, value);
    return 0;
  case 'c':
    options->without_day_faults = true;
    return 0;
  case 'r':
    options->rate_factor = parse_number("--rate", value, rate_factor_min, rate_factor_max, state);
    return 0;
  case 'd':
    options->duration_s = parse_number("--seconds", value, duration_min_s, duration_max_s, state);
    return 0;
  case 'j':
    options->json = true;
    return 0;
  case 'o':
    options->plot_file = value;
    return 0;
  case 'l':
    options->log = true;
    return 0;
  case ARGP_KEY_ARG:
    set_day_file(options, value, state);
    return 0;
  case ARGP_KEY_END:
    if (!options->day_file)
      argp_usage(state);
    return 0;
  default:
    return ARGP_ERR_UNKNOWN;
  }
}

static bool has_two_sides(const struct options *options) {
  return options->against_policy || options->against_seed;
}

/** One side of a comparison, or the only one. */
struct side {
  day *day;
  uint64_t first_seed;
  /** The policy that the command line sets for this side; NULL: none. */
  const char *named_policy;
  /** The result of the day that was played last. */
  day_result *result;
  /** The policy and the seed of the first day, as shown in reports. */
  char name[80];
};

static day *read_day_file(const char *file, error *err) {
  GString *text = program_read_file(file);
  if (!text) {
    error_set(err, E_SETTINGS_FILE, "can't be read");
    return NULL;
  }
  day *day = day_read(string_view_of_gstring(text), err);
  g_string_free(text, TRUE);
  return day;
}

/** Sets the length of a day and removes the faults after its end; faults are sorted by time. */
static void set_duration(day *day, double duration_s) {
  day->seconds = duration_s;
  while (day->fault_count && day->faults[day->fault_count - 1].at_s > duration_s)
    day->fault_count--;
}

/** Applies the command line to a day. Returns a code other than OK, with err set, on failure. */
static enum error_code apply_options(day *day, const struct options *options, const char *policy,
                                     error *err) {
  if (options->without_day_faults)
    day->fault_count = 0;
  if (options->duration_s > 0)
    set_duration(day, options->duration_s);
  if (options->rate_factor > 0)
    day->rate_factor *= options->rate_factor;
  enum error_code code = policy ? (enum error_code)day_set_eviction(day, policy, err) : OK;
  for (guint i = 0; i < options->faults->len && code == OK; i++)
    code = day_add_fault(day, g_ptr_array_index(options->faults, i), err);
  return code;
}

/** Reads the day of a side; a policy that is not NULL replaces the day's own. Returns false with
 * err set on failure. Free the side with side_clear in either case. */
static bool side_init(struct side *side, const struct options *options, const char *policy,
                      error *err) {
  side->result = g_new0(day_result, 1);
  side->day = read_day_file(options->day_file, err);
  return side->day && apply_options(side->day, options, policy, err) == OK;
}

static void side_clear(struct side *side) {
  day_free(side->day);
  g_free(side->result);
}

static void print_day(const struct options *options, const day *day, const day_result *result) {
  GString *text = g_string_new(NULL);
  if (options->json) {
    day_report_json(day, result, text);
    g_string_append_c(text, '\n');
  } else
    day_report_text(day, result, text);
  fputs(text->str, stdout);
  fflush(stdout);
  g_string_free(text, TRUE);
}

/** Plays and prints a day of a side. Returns true when the fleet came up and no rule was violated.
 * The result stays in the side until day_result_clear. */
static bool side_play(struct side *side, const struct options *options, int day_index) {
  uint64_t seed = side->first_seed + (uint64_t)day_index;
  bool came_up = day_play(side->day, seed, options->log, side->result);
  bool kept_rules = came_up && !side->result->violations[0];
  print_day(options, side->day, side->result);
  return kept_rules;
}

static void side_set_name(struct side *side) {
  const char *policy = side->named_policy ? side->named_policy : side->result->eviction;
  snprintf(side->name, sizeof side->name, "%s, seed %" PRIu64, policy, side->result->seed);
}

/** The figures of both sides over all days. */
struct comparison {
  size_t day_count;
  /** B minus A, for each day. */
  double differences[DAY_FIGURE_COUNT][DAYS_MAX];
  double sum_a[DAY_FIGURE_COUNT], sum_b[DAY_FIGURE_COUNT];
};

static void comparison_add(struct comparison *comparison, const day_result *a,
                           const day_result *b) {
  size_t day_index = comparison->day_count++;
  for (int i = 0; i < DAY_FIGURE_COUNT; i++) {
    double figure_a = day_figure(a, i);
    double figure_b = day_figure(b, i);
    comparison->sum_a[i] += figure_a;
    comparison->sum_b[i] += figure_b;
    comparison->differences[i][day_index] = figure_b - figure_a;
  }
}

/** One figure over all days. */
struct paired_figure {
  double mean_a, mean_b, mean_difference;
  /** Half the width of the 95 % confidence interval of the difference; below 0 when there are too
   * few days. */
  double half_width;
};

static struct paired_figure comparison_figure(const struct comparison *comparison, int figure) {
  double day_count = (double)comparison->day_count;
  struct paired_figure paired = { .mean_a = comparison->sum_a[figure] / day_count,
                                  .mean_b = comparison->sum_b[figure] / day_count };
  day_paired_interval(comparison->differences[figure], comparison->day_count,
                      &paired.mean_difference, &paired.half_width);
  return paired;
}

static void print_comparison_json(const struct comparison *comparison, const struct side *a,
                                  const struct side *b) {
  GString *text = g_string_new(NULL);
  json_appendf(text, "{\"days\":%zu,\"a\":", comparison->day_count);
  json_append_quoted(text, string_view_of(a->name));
  g_string_append(text, ",\"b\":");
  json_append_quoted(text, string_view_of(b->name));
  for (int i = 0; i < DAY_FIGURE_COUNT; i++) {
    struct paired_figure paired = comparison_figure(comparison, i);
    json_appendf(text, ",\"%s\":{\"a\":%.5f,\"b\":%.5f,\"diff\":%.5f,\"half\":%.5f}",
                 day_figure_names[i], paired.mean_a, paired.mean_b, paired.mean_difference,
                 paired.half_width);
  }
  printf("%s}\n", text->str);
  g_string_free(text, TRUE);
}

static void print_figure(const char *name, const struct paired_figure *paired) {
  double difference = paired->mean_difference, half_width = paired->half_width;
  printf("  %-16s %12.4f %12.4f %+12.4f", name, paired->mean_a, paired->mean_b, difference);
  if (half_width >= 0) {
    bool excludes_zero = difference - half_width > 0 || difference + half_width < 0;
    printf(" +- %.4f%s", half_width, excludes_zero ? "" : "  (may be chance)");
  }
  printf("\n");
}

static void print_comparison_text(const struct comparison *comparison, const struct side *a,
                                  const struct side *b) {
  printf("%zu days, B (%s) less A (%s), paired, with 95 %% intervals\n", comparison->day_count,
         b->name, a->name);
  printf("  %-16s %12s %12s %12s\n", "", "A", "B", "B - A");
  for (int i = 0; i < DAY_FIGURE_COUNT; i++) {
    struct paired_figure paired = comparison_figure(comparison, i);
    print_figure(day_figure_names[i], &paired);
  }
}

/** Writes the plot of a day; prints an error and returns false on failure. */
static bool write_plot(const char *file, const GString *plot) {
  bool is_written = g_file_set_contents(file, plot->str, (gssize)plot->len, NULL);
  if (!is_written)
    program_error(program_name, "%s can't be written", file);
  return is_written;
}

/** Plays all days on side A, and on side B unless it is NULL; prints each day and the comparison.
 * Appends the plot of the first day to `plot` unless that is NULL. Returns true when no rule was
 * violated. */
static bool play_days(const struct options *options, struct side *a, struct side *b,
                      GString *plot) {
  struct comparison *comparison = g_new0(struct comparison, 1);
  bool kept_rules = true;
  for (int i = 0; i < options->day_count; i++) {
    kept_rules &= side_play(a, options, i);
    if (b) {
      kept_rules &= side_play(b, options, i);
      comparison_add(comparison, a->result, b->result);
    }
    if (i == 0) {
      side_set_name(a);
      if (b)
        side_set_name(b);
      if (plot)
        day_plot_append(a->day, a->result, a->name, b ? b->result : NULL, b ? b->name : "", plot);
    }
    day_result_clear(a->result);
    if (b)
      day_result_clear(b->result);
  }
  if (b && options->json)
    print_comparison_json(comparison, a, b);
  else if (b)
    print_comparison_text(comparison, a, b);
  g_free(comparison);
  return kept_rules;
}

/** Plays all days of the sides, which must be initialized, and writes the plot. */
static enum program_exit play_and_plot(const struct options *options, struct side *a,
                                       struct side *b) {
  GString *plot = options->plot_file ? g_string_new(NULL) : NULL;
  bool kept_rules = play_days(options, a, b, plot);
  bool is_written = !plot || write_plot(options->plot_file, plot);
  if (plot)
    g_string_free(plot, TRUE);
  if (!is_written)
    return PROGRAM_EXIT_NOT_STARTED;
  return kept_rules ? PROGRAM_EXIT_OK : PROGRAM_EXIT_FAULT;
}

/** Initializes the sides and plays their days. */
static enum program_exit run(const struct options *options) {
  const char *policy = options->policy, *against_policy = options->against_policy;
  uint64_t against_seed = options->against_seed;
  struct side a = { .first_seed = options->first_seed, .named_policy = policy };
  struct side b = { .first_seed = against_seed ? against_seed : options->first_seed,
                    .named_policy = against_policy };
  bool two_sides = has_two_sides(options);
  error err = { 0 };
  bool is_ready = side_init(&a, options, policy, &err);
  if (is_ready && two_sides)
    is_ready = side_init(&b, options, against_policy ? against_policy : policy, &err);
  enum program_exit exit_code = PROGRAM_EXIT_NOT_STARTED;
  if (is_ready)
    exit_code = play_and_plot(options, &a, two_sides ? &b : NULL);
  else
    program_error(program_name, "%s: %s (code %d)", options->day_file, err.text, err.code);
  side_clear(&a);
  side_clear(&b);
  return exit_code;
}

int main(int argc, char **argv) {
  struct options options = { .first_seed = 1, .faults = g_ptr_array_new() };
  struct argp parser = { .options = option_table, .parser = parse, .args_doc = "DAY", .doc = help };
  argp_err_exit_status = PROGRAM_EXIT_NOT_STARTED;
  argp_parse(&parser, argc, argv, 0, NULL, &options);
  if (!options.day_count)
    options.day_count = has_two_sides(&options) ? DAYS_DEFAULT_OF_COMPARISON : DAYS_DEFAULT;
  enum program_exit exit_code = run(&options);
  g_ptr_array_free(options.faults, TRUE);
  return exit_code;
}
