/** Reports of a played day: text for people and JSON for tools, both with the same counts. */
#include "day_report.h"
#include "day_figures.h"

enum { WORST_STEPS = 3 };

static void append_row(const day_totals *totals, GString *to) {
  g_string_append_printf(to,
                         "  %-16s %7" PRIu64 " %7.4f %7.4f %6" PRIu64 " %8" PRIu64 " %8" PRIu64
                         " %7" PRIu64 " %8.0f\n",
                         totals->name, totals->sent, day_share(totals->served, totals->sent),
                         day_share(totals->in_target, totals->sent), totals->late, totals->refused,
                         totals->timed_out, totals->broken + totals->unanswered,
                         day_mean_first_ms(totals));
}

static double step_share(const day_result *result, size_t step) {
  return day_share(result->step_counts[step].served, result->step_counts[step].sent);
}

static bool contains(const size_t *steps, size_t count, size_t step) {
  for (size_t i = 0; i < count; i++)
    if (steps[i] == step)
      return true;
  return false;
}

/* returns the step with the smallest served share that is not listed yet; step_count when all
 * remaining steps were served in full */
static size_t find_worst_step(const day_result *result, const size_t *listed, size_t count) {
  size_t worst = result->step_count;
  double min_share = 1;
  for (size_t i = 0; i < result->step_count; i++) {
    if (contains(listed, count, i) || step_share(result, i) >= min_share)
      continue;
    min_share = step_share(result, i);
    worst = i;
  }
  return worst;
}

static void append_worst_steps(const day_result *result, GString *to) {
  size_t listed[WORST_STEPS], count = 0;
  g_string_append(to, "  worst seconds:");
  while (count < WORST_STEPS) {
    size_t step = find_worst_step(result, listed, count);
    if (step == result->step_count)
      break;
    g_string_append_printf(to, "%s %zu-%zu s served %u of %u", count ? "," : "",
                           step * DAY_STEP_MS / 1000, (step + 1) * DAY_STEP_MS / 1000,
                           result->step_counts[step].served, result->step_counts[step].sent);
    listed[count++] = step;
  }
  g_string_append(to, count ? "\n" : " none, all were served\n");
}

static void append_table(const day_result *result, GString *to) {
  g_string_append_printf(to, "  %-16s %7s %7s %7s %6s %8s %8s %7s %8s\n", "", "SENT", "SERVED",
                         "IN AIM", "LATE", "REFUSED", "TIMEDOUT", "BROKEN", "FIRST MS");
  append_row(&result->total, to);
  for (size_t i = 0; i < result->kind_count; i++)
    append_row(&result->kind_totals[i], to);
  g_string_append(to, "  by zone\n");
  for (int i = 0; i < result->zone_count; i++)
    append_row(&result->zone_totals[i], to);
}

static void append_activity(const day_result *result, GString *to) {
  double kb_per_s = result->virtual_s > 0 ? (double)result->bytes / 1000 / result->virtual_s : 0;
  g_string_append_printf(to,
                         "  engines: %" PRIu64 " attempts run, %" PRIu64
                         " of them second ones, %" PRIu64 " turned away; %" PRIu64
                         " orders, %" PRIu64 " loads (%" PRIu64 " from the store), %" PRIu64
                         " unloads\n",
                         result->runs, result->retries, result->not_run, result->orders,
                         result->loads, result->cold_loads, result->unloads);
  g_string_append_printf(to,
                         "  between our processes: %" PRIu64
                         " messages, %.1f kB/s; engines: %" PRIu64 " beats, %" PRIu64
                         " reports read\n",
                         result->messages, kb_per_s, result->heartbeats, result->reports);
}

void day_report_text(const day *day, const day_result *result, GString *to) {
  g_string_append_printf(
      to, "%s, seed %" PRIu64 ", eviction %s: %.0f s of virtual time in %.1f s of processor time\n",
      day->name, result->seed, result->eviction, result->virtual_s, result->cpu_s);
  append_table(result, to);
  append_worst_steps(result, to);
  append_activity(result, to);
  if (!result->violations[0])
    g_string_append(to, "  rules kept\n");
  else
    g_string_append_printf(to, "  rules broke:\n%s", result->violations);
}

static void append_totals_json(const day_totals *totals, GString *to) {
  json_appendf(to,
               "{\"name\":\"%s\",\"sent\":%" PRIu64 ",\"served\":%" PRIu64 ",\"inAim\":%" PRIu64
               ",\"late\":%" PRIu64 ",\"refused\":%" PRIu64 ",\"timedOut\":%" PRIu64
               ",\"broken\":%" PRIu64 ",\"unanswered\":%" PRIu64 ",\"firstMs\":%.1f}",
               totals->name, totals->sent, totals->served, totals->in_target, totals->late,
               totals->refused, totals->timed_out, totals->broken, totals->unanswered,
               day_mean_first_ms(totals));
}

static void append_totals_list_json(const day_totals *totals, size_t count, GString *to) {
  g_string_append_c(to, '[');
  for (size_t i = 0; i < count; i++) {
    if (i)
      g_string_append_c(to, ',');
    append_totals_json(&totals[i], to);
  }
  g_string_append_c(to, ']');
}

static void append_steps_json(const day_result *result, GString *to) {
  json_appendf(to, ",\"stepMs\":%d,\"steps\":[", DAY_STEP_MS);
  for (size_t i = 0; i < result->step_count; i++) {
    const day_step *step = &result->step_counts[i];
    json_appendf(to, "%s[%u,%u,%u]", i ? "," : "", step->sent, step->served, step->in_target);
  }
  g_string_append_c(to, ']');
}

static void append_activity_json(const day_result *result, GString *to) {
  json_appendf(to,
               ",\"attempts\":%" PRIu64 ",\"secondAttempts\":%" PRIu64 ",\"turnedAway\":%" PRIu64
               ",\"orders\":%" PRIu64 ",\"loads\":%" PRIu64 ",\"storeLoads\":%" PRIu64
               ",\"unloads\":%" PRIu64 ",\"beats\":%" PRIu64 ",\"reports\":%" PRIu64
               ",\"messages\":%" PRIu64 ",\"messageBytes\":%" PRIu64,
               result->runs, result->retries, result->not_run, result->orders, result->loads,
               result->cold_loads, result->unloads, result->heartbeats, result->reports,
               result->messages, result->bytes);
}

void day_report_json(const day *day, const day_result *result, GString *to) {
  json_appendf(to,
               "{\"day\":\"%s\",\"seed\":%" PRIu64
               ",\"eviction\":\"%s\",\"virtualS\":%.1f,\"processorS\":%.2f,\"all\":",
               day->name, result->seed, result->eviction, result->virtual_s, result->cpu_s);
  append_totals_json(&result->total, to);
  g_string_append(to, ",\"kinds\":");
  append_totals_list_json(result->kind_totals, result->kind_count, to);
  g_string_append(to, ",\"zones\":");
  append_totals_list_json(result->zone_totals, (size_t)result->zone_count, to);
  append_steps_json(result, to);
  append_activity_json(result, to);
  json_appendf(to, ",\"rulesKept\":%s,\"broke\":", result->violations[0] ? "false" : "true");
  json_append_quoted(to, string_view_of(result->violations));
  g_string_append_c(to, '}');
}
