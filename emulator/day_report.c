#include "day.h"
#include <math.h>
#include <stdio.h>

/* what a day came to, in words, as JSON and as a plot */

static double share(uint64_t n, uint64_t of) {
  return of ? (double)n / (double)of : 1;
}
static double first_ms(const day_totals *s) {
  return s->first_count ? s->first_ms / (double)s->first_count : 0;
}

static void row(const day_totals *s, GString *to) {
  g_string_append_printf(to,
                         "  %-16s %7" PRIu64 " %7.4f %7.4f %6" PRIu64 " %8" PRIu64 " %8" PRIu64
                         " %7" PRIu64 " %8.0f\n",
                         s->name, s->sent, share(s->served, s->sent), share(s->in_target, s->sent),
                         s->late, s->refused, s->timed_out, s->broken + s->unanswered, first_ms(s));
}

/* the steps with the smallest share served, worst first */
static size_t find_worst_steps(const day_result *result, size_t *at, size_t most) {
  size_t n = 0;
  for (size_t k = 0; k < most; k++) {
    double least = 1;
    size_t best = result->step_count;
    for (size_t i = 0; i < result->step_count; i++) {
      bool had = !result->step_counts[i].sent;
      for (size_t q = 0; q < n; q++)
        had |= at[q] == i;
      double s = share(result->step_counts[i].served, result->step_counts[i].sent);
      if (!had && s < least) {
        least = s;
        best = i;
      }
    }
    if (best == result->step_count)
      break;
    at[n++] = best;
  }
  return n;
}

void day_report_text(const day *day, const day_result *result, GString *to) {
  g_string_append_printf(
      to, "%s, seed %" PRIu64 ", eviction %s: %.0f s of virtual time in %.1f s of processor time\n",
      day->name, result->seed, result->eviction, result->virtual_s, result->cpu_s);
  g_string_append_printf(to, "  %-16s %7s %7s %7s %6s %8s %8s %7s %8s\n", "", "SENT", "SERVED",
                         "IN AIM", "LATE", "REFUSED", "TIMEDOUT", "BROKEN", "FIRST MS");
  row(&result->total, to);
  for (size_t i = 0; i < result->kind_count; i++)
    row(&result->kind_totals[i], to);
  g_string_append(to, "  by zone\n");
  for (int i = 0; i < result->zone_count; i++)
    row(&result->zone_totals[i], to);
  size_t at[3], n = find_worst_steps(result, at, 3);
  g_string_append(to, "  worst seconds:");
  for (size_t i = 0; i < n; i++)
    g_string_append_printf(to, "%s %zu-%zu s served %u of %u", i ? "," : "",
                           at[i] * DAY_STEP_MS / 1000, (at[i] + 1) * DAY_STEP_MS / 1000,
                           result->step_counts[at[i]].served, result->step_counts[at[i]].sent);
  g_string_append(to, n ? "\n" : " none, all were served\n");
  g_string_append_printf(to,
                         "  engines: %" PRIu64 " attempts run, %" PRIu64
                         " of them second ones, %" PRIu64 " turned away; %" PRIu64
                         " orders, %" PRIu64 " loads (%" PRIu64 " from the store), %" PRIu64
                         " unloads\n",
                         result->attempts, result->retries, result->not_run, result->orders,
                         result->loads, result->cold_loads, result->unloads);
  g_string_append_printf(
      to,
      "  between our processes: %" PRIu64 " messages, %.1f kB/s; engines: %" PRIu64
      " beats, %" PRIu64 " reports read\n",
      result->messages,
      result->virtual_s > 0 ? (double)result->bytes / 1000 / result->virtual_s : 0,
      result->heartbeats, result->reports);
  if (!result->violations[0])
    g_string_append(to, "  rules kept\n");
  else
    g_string_append_printf(to, "  rules broke:\n%s", result->violations);
}

static void sum_json(const day_totals *s, GString *to) {
  json_appendf(to,
               "{\"name\":\"%s\",\"sent\":%" PRIu64 ",\"served\":%" PRIu64 ",\"inAim\":%" PRIu64
               ",\"late\":%" PRIu64 ",\"refused\":%" PRIu64 ",\"timedOut\":%" PRIu64
               ",\"broken\":%" PRIu64 ",\"unanswered\":%" PRIu64 ",\"firstMs\":%.1f}",
               s->name, s->sent, s->served, s->in_target, s->late, s->refused, s->timed_out,
               s->broken, s->unanswered, first_ms(s));
}

void day_report_json(const day *day, const day_result *result, GString *to) {
  json_appendf(to,
               "{\"day\":\"%s\",\"seed\":%" PRIu64
               ",\"eviction\":\"%s\",\"virtualS\":%.1f,\"processorS\":%.2f,\"all\":",
               day->name, result->seed, result->eviction, result->virtual_s, result->cpu_s);
  sum_json(&result->total, to);
  g_string_append(to, ",\"kinds\":[");
  for (size_t i = 0; i < result->kind_count; i++) {
    if (i)
      g_string_append_c(to, ',');
    sum_json(&result->kind_totals[i], to);
  }
  g_string_append(to, "],\"zones\":[");
  for (int i = 0; i < result->zone_count; i++) {
    if (i)
      g_string_append_c(to, ',');
    sum_json(&result->zone_totals[i], to);
  }
  json_appendf(to, "],\"stepMs\":%d,\"steps\":[", DAY_STEP_MS);
  for (size_t i = 0; i < result->step_count; i++)
    json_appendf(to, "%s[%u,%u,%u]", i ? "," : "", result->step_counts[i].sent,
                 result->step_counts[i].served, result->step_counts[i].in_target);
  json_appendf(to,
               "],\"attempts\":%" PRIu64 ",\"secondAttempts\":%" PRIu64 ",\"turnedAway\":%" PRIu64
               ",\"orders\":%" PRIu64 ",\"loads\":%" PRIu64 ",\"storeLoads\":%" PRIu64
               ",\"unloads\":%" PRIu64 ",\"beats\":%" PRIu64 ",\"reports\":%" PRIu64
               ",\"messages\":%" PRIu64 ",\"messageBytes\":%" PRIu64 ",\"rulesKept\":%s,\"broke\":",
               result->attempts, result->retries, result->not_run, result->orders, result->loads,
               result->cold_loads, result->unloads, result->heartbeats, result->reports,
               result->messages, result->bytes, result->violations[0] ? "false" : "true");
  json_append_quoted(to, string_view_of(result->violations));
  g_string_append_c(to, '}');
}

enum { WIDE = 800, HIGH = 300, LEFT = 50, TOP = 40, UNDER = 40 };

static void plot_line(const day_result *result, size_t steps, double top, const char *colour,
                      const char *dash, bool sent, GString *to) {
  g_string_append_printf(
      to, "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"1.5\"%s points=\"", colour, dash);
  for (size_t i = 0; i < result->step_count; i++)
    g_string_append_printf(to, "%s%.1f,%.1f", i ? " " : "",
                           LEFT + (double)WIDE * (double)i / (double)MAX(steps - 1, 1),
                           TOP + HIGH * (1 - (double)(sent ? result->step_counts[i].sent
                                                           : result->step_counts[i].served) /
                                                 top));
  g_string_append(to, "\"/>\n");
}

static void plot_label(double x, double y, const char *colour, const char *what, GString *to) {
  char *t = g_markup_escape_text(what, -1);
  g_string_append_printf(to, "<text x=\"%.0f\" y=\"%.0f\" fill=\"%s\">%s</text>\n", x, y, colour,
                         t);
  g_free(t);
}

void day_report_plot(const day *day, const day_result *a, const char *a_name, const day_result *b,
                     const char *b_name, GString *to) {
  size_t steps = b ? MAX(a->step_count, b->step_count) : a->step_count;
  double top = 1;
  for (size_t i = 0; i < a->step_count; i++)
    top = MAX(top, a->step_counts[i].sent);
  for (size_t i = 0; b && i < b->step_count; i++)
    top = MAX(top, b->step_counts[i].sent);
  g_string_append_printf(
      to,
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n",
      LEFT + WIDE + 30, TOP + HIGH + UNDER);
  char t[160];
  snprintf(t, sizeof t, "%s: requests served per %d s", day->name, DAY_STEP_MS / 1000);
  plot_label(LEFT, 16, "black", t, to);
  for (int i = 0; i <= 4; i++) {
    double y = TOP + HIGH * (1 - i / 4.0);
    g_string_append_printf(to,
                           "<line x1=\"%d\" y1=\"%.1f\" x2=\"%d\" y2=\"%.1f\" stroke=\"#ddd\"/>\n",
                           LEFT, y, LEFT + WIDE, y);
    snprintf(t, sizeof t, "%.0f", top * i / 4);
    plot_label(8, y + 4, "#444", t, to);
  }
  double seconds = (double)(MAX(steps, 2) - 1) * DAY_STEP_MS / 1000;
  for (int i = 0; i <= 8; i++) {
    snprintf(t, sizeof t, "%.0f s", seconds * i / 8);
    plot_label(LEFT + WIDE * i / 8.0 - 8, TOP + HIGH + 18, "#444", t, to);
  }
  for (size_t i = 0; i < day->fault_count; i++) {
    const day_fault *x = &day->faults[i];
    double at = LEFT + WIDE * MIN(1, x->at_s / seconds),
           w = WIDE * MIN(x->duration_s, MAX(0, seconds - x->at_s)) / seconds;
    g_string_append_printf(
        to,
        "<rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"#fa8\" fill-opacity=\"0.25\"><title>%s</title></rect>\n",
        at, TOP, MAX(w, 1.5), HIGH, day_fault_names[x->kind]);
  }
  plot_line(a, steps, top, "#999", " stroke-dasharray=\"3,3\"", true, to);
  plot_line(a, steps, top, "#06c", "", false, to);
  plot_label(LEFT, 32, "#999", "sent", to);
  plot_label(LEFT + 50, 32, "#06c", a_name, to);
  if (b) {
    plot_line(b, steps, top, "#c30", "", false, to);
    plot_label(LEFT + 350, 32, "#c30", b_name, to);
  }
  g_string_append(to, "</svg>\n");
}

double day_figure(const day_result *result, int which) {
  switch (which) {
  case DAY_SERVED:
    return share(result->total.served, result->total.sent);
  case DAY_IN_TARGET:
    return share(result->total.in_target, result->total.sent);
  case DAY_FIRST_RESPONSE:
    return first_ms(&result->total);
  case DAY_LOADS:
    return (double)result->loads;
  default:
    return (double)result->retries;
  }
}

void day_paired_interval(const double *diff, size_t n, double *mean, double *half) {
  static const double t975[] = { 0,     12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365,
                                 2.306, 2.262,  2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
                                 2.120, 2.110,  2.101, 2.093, 2.086, 2.080, 2.074, 2.069,
                                 2.064, 2.060,  2.056, 2.052, 2.048, 2.045, 2.042 };
  double sum = 0, square = 0;
  for (size_t i = 0; i < n; i++)
    sum += diff[i];
  *mean = n ? sum / (double)n : 0;
  for (size_t i = 0; i < n; i++)
    square += (diff[i] - *mean) * (diff[i] - *mean);
  *half = n < 2 ? -1
                : (n - 1 < G_N_ELEMENTS(t975) ? t975[n - 1] : 1.96) *
                      sqrt(square / (double)(n - 1) / (double)n);
}
