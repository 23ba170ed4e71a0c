/** Status and metrics of a canary trial, as seen by a gateway and by the judge. */
#include "canary_status.h"
#include "canary_judging.h"
#include "gateway.h"

static const char *const arm_names[CANARY_ARMS] = { "old", "candidate" };

static void cell_append_json(GString *to, int arm, int priority, const canary_cell *cell) {
  json_appendf(to,
               "{\"side\":\"%s\",\"priority\":%d,\"requests\":%" PRIu64 ",\"inAim\":%" PRIu64
               ",\"late\":%" PRIu64 ",\"refused\":%" PRIu64 ",\"failed\":%" PRIu64 ",\"firstMs\":[",
               arm_names[arm], priority, canary_cell_requests(cell), cell->within_target,
               cell->late, cell->rejected, cell->failed);
  for (int i = 0; i < CANARY_BUCKETS; i++)
    json_appendf(to, "%s%" PRIu64, i ? "," : "", cell->first_event_buckets[i]);
  g_string_append(to, "]}");
}

static void totals_append_json(GString *to, const canary_totals *totals) {
  bool first = true;
  g_string_append_c(to, '[');
  for (int arm = 0; arm < CANARY_ARMS; arm++)
    for (int priority = 0; priority < CANARY_PRIORITIES; priority++) {
      const canary_cell *cell = &totals->cells[arm][priority];
      if (!canary_cell_requests(cell))
        continue;
      if (!first)
        g_string_append_c(to, ',');
      cell_append_json(to, arm, priority, cell);
      first = false;
    }
  g_string_append_c(to, ']');
}

static void judging_append_json(gateway *gateway, const canary_judging *judging, GString *to) {
  canary_totals totals;
  uint64_t age_ms;
  canary_judging_sum(judging, &totals, &age_ms);
  json_appendf(to, ",\"judges\":{\"nodes\":%d,\"ageMs\":%" PRIu64 ",\"enough\":%s,",
               canary_judging_count_recent(gateway, judging, false), age_ms,
               judging->last_verdict.has_enough_requests ? "true" : "false");
  canary_comparison_append_json(to, "urgent", &judging->last_verdict.urgent);
  g_string_append_c(to, ',');
  canary_comparison_append_json(to, "rest", &judging->last_verdict.rest);
  g_string_append(to, ",\"sides\":");
  totals_append_json(to, &totals);
  g_string_append_c(to, '}');
}

void canary_status_append_json(gateway *gateway, GString *to) {
  const canary_trial *canary = gateway->canary;
  if (!canary)
    return;
  json_appendf(to,
               ",\"canary\":{\"name\":\"%s\",\"on\":%s,\"judge\":\"%s\",\"elders\":%u,\"sides\":",
               canary->plan.name.text, canary_trial_is_on(gateway) ? "true" : "false",
               canary->judge.text, canary->pinned.order->len);
  totals_append_json(to, &canary->totals);
  const canary_judging *judging = canary_judging_of(gateway);
  if (judging)
    judging_append_json(gateway, judging, to);
  g_string_append_c(to, '}');
}

static void cell_append_metrics(GString *to, int arm, int priority, const canary_cell *cell) {
  const struct {
    const char *end;
    uint64_t count;
  } ends[] = { { "in_aim", cell->within_target },
               { "late", cell->late },
               { "refused", cell->rejected },
               { "failed", cell->failed } };
  for (size_t i = 0; i < G_N_ELEMENTS(ends); i++)
    json_appendf(to,
                 "asterfall_canary_requests{side=\"%s\",priority=\"%d\",end=\"%s\"} %" PRIu64 "\n",
                 arm_names[arm], priority, ends[i].end, ends[i].count);
}

void canary_status_append_metrics(gateway *gateway, GString *to) {
  const canary_trial *canary = gateway->canary;
  if (!canary)
    return;
  json_appendf(to, "asterfall_canary_on %d\nasterfall_canary_elders %u\n",
               canary_trial_is_on(gateway), canary->pinned.order->len);
  for (int arm = 0; arm < CANARY_ARMS; arm++)
    for (int priority = 0; priority < CANARY_PRIORITIES; priority++) {
      const canary_cell *cell = &canary->totals.cells[arm][priority];
      if (canary_cell_requests(cell))
        cell_append_metrics(to, arm, priority, cell);
    }
}
