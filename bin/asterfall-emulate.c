#include "day_faults.h"
#include "day_figures.h"
#include "day_play.h"
#include "day_plot.h"
#include "day_policy.h"
#include "day_read.h"
#include "day_report.h"
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

/* exit codes: 0 all rules were kept, 1 one broke or the fleet did not come up, 2 bad command line
 * or file */
enum { X_OK, X_BROKE, X_USE, SEEDS_MOST = 200 };

typedef struct options {
  char *file, *plot, *policy, *against;
  uint64_t seed, against_seed;
  int seeds;
  bool json, loud, calm;
  GPtrArray *troubles;
  double rate, seconds;
} options;

static const struct argp_option opts[] = {
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

static const char doc[] =
    "asterfall-emulate: plays a day of a deployment in virtual time, with the real gateways and core machines over a fleet in memory, and reports it\v"
    "DAY is a file such as examples/lanka/day.json. Troubles: WHAT@SECONDS[:FOR][,factor=X][,which=N] with WHAT one of\n"
    "  engine-crash engine-dark engine-grey engine-leave gateway-kill gateway-drain gateway-freeze\n"
    "  controller-kill controller-cut controller-wipe config-change config-race config-bad burst model-shift\n"
    "\nThe day is judged from what engines, callers and the operator wrote down. Ends with 0 when the rules were kept,\n1 when one broke, 2 on bad use.\n";

static error_t parse(int key, char *arg, struct argp_state *st) {
  options *options = st->input;
  switch (key) {
  case 's':
    options->seed = strtoull(arg, NULL, 10);
    return 0;
  case 'A':
    options->against_seed = strtoull(arg, NULL, 10);
    return 0;
  case 'n':
    options->seeds = atoi(arg);
    if (options->seeds < 1 || options->seeds > SEEDS_MOST)
      argp_error(st, "--seeds takes 1 to %d", SEEDS_MOST);
    return 0;
  case 'p':
    options->policy = arg;
    return 0;
  case 'a':
    options->against = arg;
    return 0;
  case 't':
    g_ptr_array_add(options->troubles, arg);
    return 0;
  case 'c':
    options->calm = true;
    return 0;
  case 'r':
    options->rate = atof(arg);
    if (!(options->rate >= 0.01 && options->rate <= 100))
      argp_error(st, "--rate takes 0.01 to 100");
    return 0;
  case 'd':
    options->seconds = atof(arg);
    if (!(options->seconds >= 2 && options->seconds <= 3800))
      argp_error(st, "--seconds takes 2 to 3800");
    return 0;
  case 'j':
    options->json = true;
    return 0;
  case 'o':
    options->plot = arg;
    return 0;
  case 'l':
    options->loud = true;
    return 0;
  case ARGP_KEY_ARG:
    if (options->file)
      argp_error(st, "one day only");
    options->file = arg;
    return 0;
  case ARGP_KEY_END:
    if (!options->file)
      argp_usage(st);
    return 0;
  default:
    return ARGP_ERR_UNKNOWN;
  }
}

static day *day_of(const options *options, const char *policy, error *err) {
  gchar *text = NULL;
  gsize n = 0;
  if (!g_file_get_contents(options->file, &text, &n, NULL)) {
    error_set(err, E_SETTINGS_FILE, "can't be read");
    return NULL;
  }
  day *day = day_read((string_view){ text, n }, err);
  g_free(text);
  if (!day)
    return NULL;
  if (options->calm)
    day->fault_count = 0;
  if (options->seconds > 0) {
    day->seconds = options->seconds;
    while (day->fault_count && day->faults[day->fault_count - 1].at_s > day->seconds)
      day->fault_count--;
  }
  if (options->rate > 0)
    day->rate_factor *= options->rate;
  int r = policy ? day_set_eviction(day, policy, err) : OK;
  for (guint i = 0; i < options->troubles->len && !r; i++)
    r = day_add_fault(day, options->troubles->pdata[i], err);
  if (!r)
    return day;
  day_free(day);
  return NULL;
}

static void show(const options *options, const day *day, const day_result *result) {
  GString *b = g_string_new(NULL);
  if (options->json) {
    day_report_json(day, result, b);
    g_string_append_c(b, '\n');
  } else
    day_report_text(day, result, b);
  fputs(b->str, stdout);
  fflush(stdout);
  g_string_free(b, TRUE);
}

static void compare(const options *options, const char *a, const char *b,
                    double diff[DAY_FIGURE_COUNT][SEEDS_MOST], const double *mean_a,
                    const double *mean_b, size_t n) {
  if (options->json)
    printf("{\"days\":%zu,\"a\":", n);
  else
    printf("%zu days, B (%s) less A (%s), paired, with 95 %% intervals\n  %-16s %12s %12s %12s\n",
           n, b, a, "", "A", "B", "B - A");
  if (options->json) {
    GString *t = g_string_new(NULL);
    json_append_quoted(t, string_view_of(a));
    g_string_append(t, ",\"b\":");
    json_append_quoted(t, string_view_of(b));
    printf("%s", t->str);
    g_string_free(t, TRUE);
  }
  for (int k = 0; k < DAY_FIGURE_COUNT; k++) {
    double mean, half;
    day_paired_interval(diff[k], n, &mean, &half);
    if (options->json)
      printf(",\"%s\":{\"a\":%.5f,\"b\":%.5f,\"diff\":%.5f,\"half\":%.5f}", day_figure_names[k],
             mean_a[k] / (double)n, mean_b[k] / (double)n, mean, half);
    else if (half < 0)
      printf("  %-16s %12.4f %12.4f %+12.4f\n", day_figure_names[k], mean_a[k], mean_b[k], mean);
    else
      printf("  %-16s %12.4f %12.4f %+12.4f +- %.4f%s\n", day_figure_names[k],
             mean_a[k] / (double)n, mean_b[k] / (double)n, mean, half,
             mean - half > 0 || mean + half < 0 ? "" : "  (may be chance)");
  }
  if (options->json)
    printf("}\n");
}

int main(int argc, char **argv) {
  options u = { .seed = 1, .troubles = g_ptr_array_new() };
  struct argp p = { opts, parse, "DAY", doc, NULL, NULL, NULL };
  argp_err_exit_status = X_USE;
  argp_parse(&p, argc, argv, 0, NULL, &u);
  bool two = u.against || u.against_seed;
  if (!u.seeds)
    u.seeds = two ? 5 : 1;
  error err = { 0 };
  day *a = day_of(&u, u.policy, &err),
      *b = a && two ? day_of(&u, u.against ? u.against : u.policy, &err) : NULL;
  if (!a || (two && !b)) {
    fprintf(stderr, "asterfall-emulate: %s: %s (code %d)\n", u.file, err.text, err.code);
    day_free(a);
    return X_USE;
  }
  static double diff[DAY_FIGURE_COUNT][SEEDS_MOST];
  double mean_a[DAY_FIGURE_COUNT] = { 0 }, mean_b[DAY_FIGURE_COUNT] = { 0 };
  day_result *ra = g_new0(day_result, 1), *rb = g_new0(day_result, 1);
  char a_name[80] = "", b_name[80] = "";
  bool kept = true;
  GString *plot = NULL;
  for (int i = 0; i < u.seeds; i++) {
    kept &= day_play(a, u.seed + (uint64_t)i, u.loud, ra) && !ra->violations[0];
    show(&u, a, ra);
    if (two) {
      kept &= day_play(b, (u.against_seed ? u.against_seed : u.seed) + (uint64_t)i, u.loud, rb) &&
              !rb->violations[0];
      show(&u, b, rb);
    }
    for (int k = 0; two && k < DAY_FIGURE_COUNT; k++) {
      double x = day_figure(ra, k), y = day_figure(rb, k);
      mean_a[k] += x;
      mean_b[k] += y;
      diff[k][i] = y - x;
    }
    if (!i) {
      snprintf(a_name, sizeof a_name, "%s, seed %" PRIu64, u.policy ? u.policy : ra->eviction,
               ra->seed);
      if (two)
        snprintf(b_name, sizeof b_name, "%s, seed %" PRIu64, u.against ? u.against : rb->eviction,
                 rb->seed);
      if (u.plot) {
        plot = g_string_new(NULL);
        day_report_plot(a, ra, a_name, two ? rb : NULL, b_name, plot);
      }
    }
    day_result_clear(ra);
    day_result_clear(rb);
  }
  if (two)
    compare(&u, a_name, b_name, diff, mean_a, mean_b, (size_t)u.seeds);
  int x = kept ? X_OK : X_BROKE;
  if (plot) {
    if (!g_file_set_contents(u.plot, plot->str, (gssize)plot->len, NULL)) {
      fprintf(stderr, "asterfall-emulate: %s can't be written\n", u.plot);
      x = X_USE;
    }
    g_string_free(plot, TRUE);
  }
  g_free(ra);
  g_free(rb);
  day_free(a);
  day_free(b);
  g_ptr_array_free(u.troubles, TRUE);
  return x;
}
