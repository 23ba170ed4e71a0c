/**
 * Tests of the day modules of emulator/: files of emulated days are accepted or rejected, and a
 * played day reports what happened in it. Each day creates its own deployment.
 */
#include "day_faults.h"
#include "day_figures.h"
#include "day_play.h"
#include "day_plot.h"
#include "day_policy.h"
#include "day_read.h"
#include "day_report.h"
#include "tests.h"
#include <math.h>
#include <stdio.h>

static const char HEAD[] =
    "{\"name\":\"d\",\"seconds\":12,\"gateways\":3,\"areas\":[\"north\",\"mid\",\"south\"],";
static const char SERVICES[] =
    "\"services\":[{\"name\":\"s\",\"engines\":3,\"weightsMb\":20000,\"models\":[{\"name\":\"m\",\"weightsMb\":8000,\"loadS\":1,\"adapters\":2},{\"name\":\"n\",\"weightsMb\":9000,\"loadS\":1},{\"name\":\"o\",\"weightsMb\":9000,\"loadS\":1}]},{\"name\":\"p\",\"engines\":2}],";
static const char KINDS[] =
    "\"kinds\":[{\"name\":\"k\",\"host\":\"h.example\",\"prefix\":\"/k/\",\"service\":\"s\",\"mode\":\"stream\",\"perS\":3,\"timeoutMs\":8000,\"targetMs\":1500,\"tokensIn\":100,\"tokensOut\":20,\"models\":[\"m/a1\",\"n\",\"o\"]},"
    "{\"name\":\"l\",\"host\":\"h.example\",\"prefix\":\"/l/\",\"service\":\"p\",\"mode\":\"once\",\"perS\":2,\"timeoutMs\":3000,\"targetMs\":500}]";

/* each replacement makes a valid day invalid; the reader must return the expected error code */
static void check_invalid_days(fleet *fleet, const char *good) {
  static const struct {
    const char *find, *put;
    enum error_code code;
  } bad[] = {
    { "\"seconds\":12", "\"seconds\":\"12\"", E_TYPE },
    { "\"seconds\":12", "\"seconds\":1", E_RANGE },
    { "\"seconds\":12,", "", E_FIELD },
    { "\"gateways\":3", "\"gateways\":3,\"routers\":3", E_FIELD },
    { "\"mid\"", "\"m d\"", E_NAME },
    { "\"weightsMb\":8000", "\"weightsMb\":80000", E_NO_ENGINE_FITS },
    { "\"name\":\"n\"", "\"name\":\"m\"", E_NAME },
    { "\"name\":\"p\",\"engines\":2", "\"name\":\"s\",\"engines\":2", E_NAME },
    { "\"engines\":2", "\"engines\":0", E_RANGE },
    { "\"service\":\"p\"", "\"service\":\"q\"", E_UNKNOWN_SERVICE },
    { "\"mode\":\"once\"", "\"mode\":\"twice\"", E_ROUTE_MODE },
    { "\"/l/\"", "\"/l\"", E_ROUTE_PREFIX },
    { "\"/l/\"", "\"/k/\"", E_DUPLICATE_ROUTE },
    { "\"name\":\"l\"", "\"name\":\"k\"", E_DUPLICATE_NAME },
    { "\"m/a1\"", "\"m/a3\"", E_UNKNOWN_MODEL },
    { "\"m/a1\"", "\"x\"", E_UNKNOWN_MODEL },
    { "\"tokensOut\":20,", "", E_FIELD },
    { "\"perS\":2", "\"perS\":-2", E_RANGE },
    { "\"seconds\":12", "\"seconds\":12,\"policy\":{\"eviction\":\"best\"}", E_NAME },
    { "\"seconds\":12", "\"seconds\":12,\"troubles\":[{\"what\":\"rain\",\"atS\":1}]", E_NAME },
    { "\"seconds\":12", "\"seconds\":12,\"troubles\":[{\"what\":\"burst\",\"atS\":13}]", E_RANGE },
    { "\"seconds\":12", "\"seconds\":12,\"troubles\":[{\"what\":\"burst\"}]", E_FIELD },
    { "]}", "]", E_JSON }
  };
  for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
    char **part = g_strsplit(good, bad[i].find, 2), *text = g_strjoinv(bad[i].put, part);
    error err = { 0 };
    day *taken = day_read(string_view_of(text), &err);
    if (taken || err.code != bad[i].code || !err.text[0])
      fleet_add_violation(fleet, "%s instead of %s returns code %d (%s), not %d", bad[i].put,
                          bad[i].find, err.code, err.text, bad[i].code);
    day_free(taken);
    g_strfreev(part);
    g_free(text);
  }
}

/* faults that are added to a day by command-line flags */
static void check_fault_flags(fleet *fleet, day *day) {
  static const struct {
    const char *flag;
    enum error_code code;
  } flags[] = { { "burst@4", OK },
                { "burst@4:2,factor=3", OK },
                { "gateway-kill@2.5,which=1", OK },
                { "burst", E_FIELD },
                { "rain@3", E_NAME },
                { "burst@x", E_TYPE },
                { "burst@13", E_RANGE },
                { "burst@1:2x", E_TYPE },
                { "burst@1,speed=2", E_FIELD },
                { "burst@1,factor=0", E_RANGE } };
  for (size_t i = 0; i < G_N_ELEMENTS(flags); i++) {
    error err = { 0 };
    if (day_add_fault(day, flags[i].flag, &err) != flags[i].code)
      fleet_add_violation(fleet, "the fault %s returns code %d", flags[i].flag, err.code);
  }
  if (day->fault_count != 3 || day->faults[0].at_s != 2.5)
    fleet_add_violation(fleet, "the day has %zu faults, the first at %g s", day->fault_count,
                        day->faults[0].at_s);
}

static void check_policies(fleet *fleet, day *day) {
  error err = { 0 };
  if (day_set_eviction(day, "best", &err) != E_NAME || day_set_eviction(day, "lru", &err) ||
      day_set_eviction(day, "expr:rate / size", &err) || !strstr(day->policy, "rate / size"))
    fleet_add_violation(fleet, "the eviction policy was not set or checked: %s", day->policy);
}

static bool invalid_days_are_rejected(fleet *fleet) {
  char *good = g_strconcat(HEAD, SERVICES, KINDS, "}", NULL);
  error err = { 0 };
  day *day = day_read(string_view_of(good), &err);
  if (day) {
    check_invalid_days(fleet, good);
    check_fault_flags(fleet, day);
    check_policies(fleet, day);
  } else {
    fleet_add_violation(fleet, "a valid day is rejected: %s (%d)", err.text, err.code);
  }
  bool valid = day != NULL;
  day_free(day);
  g_free(good);
  return valid;
}

static bool shipped_days_are_valid(fleet *fleet) {
  static const char *const files[] = { "examples/lanka/day.json", "examples/selam/day.json" };
  for (int i = 0; i < 2; i++) {
    gchar *text = NULL;
    error err = { 0 };
    if (!g_file_get_contents(files[i], &text, NULL, NULL)) {
      fleet_add_violation(fleet, "%s can't be read", files[i]);
      continue;
    }
    day *day = day_read(string_view_of(text), &err);
    if (!day)
      fleet_add_violation(fleet, "%s is rejected: %s (%d)", files[i], err.text, err.code);
    day_free(day);
    g_free(text);
  }
  return true;
}

static bool day_result_accounts_for_every_request(fleet *fleet) {
  char *text = g_strconcat(
      HEAD, SERVICES, KINDS,
      ",\"troubles\":[{\"what\":\"burst\",\"atS\":4,\"forS\":3,\"factor\":4},{\"what\":\"gateway-kill\",\"atS\":2},{\"what\":\"config-change\",\"atS\":6},{\"what\":\"engine-crash\",\"atS\":8}]}",
      NULL);
  error err = { 0 };
  day *day = day_read(string_view_of(text), &err);
  g_free(text);
  if (!day) {
    fleet_add_violation(fleet, "the day is rejected: %s", err.text);
    return false;
  }
  day_result *first = g_new0(day_result, 1), *second = g_new0(day_result, 1);
  if (!day_play(day, fleet->seed, false, first) || !day_play(day, fleet->seed, false, second))
    fleet_add_violation(fleet, "the day was not played: %s", first->violations);
  if (first->violations[0])
    fleet_add_violation(fleet, "rules were violated: %s", first->violations);
  /* all requests are accounted for: in total, by kind, by zone and by time */
  const day_totals *total = &first->total;
  uint64_t sent_by_kind = 0, sent_by_zone = 0, sent_by_step = 0;
  for (size_t i = 0; i < first->kind_count; i++)
    sent_by_kind += first->kind_totals[i].sent;
  for (int i = 0; i < first->zone_count; i++)
    sent_by_zone += first->zone_totals[i].sent;
  for (size_t i = 0; i < first->step_count; i++)
    sent_by_step += first->step_counts[i].sent;
  if (total->sent < 60 || total->sent != sent_by_kind || total->sent != sent_by_zone ||
      total->sent != sent_by_step ||
      total->sent !=
          total->served + total->refused + total->timed_out + total->broken + total->unanswered ||
      total->served != total->in_target + total->late)
    fleet_add_violation(
        fleet, "%" PRIu64 " sent, by kind %" PRIu64 ", by zone %" PRIu64 ", by time %" PRIu64,
        total->sent, sent_by_kind, sent_by_zone, sent_by_step);
  if (total->served * 10 < total->sent * 9)
    fleet_add_violation(fleet, "%" PRIu64 " of %" PRIu64 " served", total->served, total->sent);
  if (!first->messages || !first->bytes || first->runs < total->served ||
      first->step_counts[2].sent <= first->step_counts[0].sent)
    fleet_add_violation(fleet, "messages %" PRIu64 ", runs %" PRIu64, first->messages, first->runs);
  /* the same seed gives the same result */
  if (memcmp(&first->total, &second->total, sizeof first->total) ||
      first->messages != second->messages)
    fleet_add_violation(fleet, "the same seed gave another result");
  GString *report = g_string_new(NULL);
  day_report_json(day, first, report);
  json *json = json_parse(string_view_of_gstring(report), &err);
  if (!json || json_number(json_get(json, "all"), "sent", 0) != (double)total->sent ||
      !json_bool(json, "rulesKept", false))
    fleet_add_violation(fleet, "the JSON is %.200s", report->str);
  json_free(json);
  g_string_truncate(report, 0);
  day_plot_append(day, first, "a", second, "b", report);
  if (!g_str_has_prefix(report->str, "<svg") || !g_str_has_suffix(report->str, "</svg>\n"))
    fleet_add_violation(fleet, "the plot is %.200s", report->str);
  g_string_free(report, TRUE);
  day_result_clear(first);
  day_result_clear(second);
  g_free(first);
  g_free(second);
  day_free(day);
  return true;
}

static bool paired_differences_have_confidence_intervals(fleet *fleet) {
  double mean, half, x[] = { 1, 2, 3, 4 };
  day_paired_interval(x, 4, &mean, &half);
  /* 3.182 * 1.29099 / 2 */
  if (fabs(mean - 2.5) > 1e-9 || fabs(half - 2.0540) > 1e-3)
    fleet_add_violation(fleet, "mean %g, half %g", mean, half);
  day_paired_interval(x, 1, &mean, &half);
  if (mean != 1 || half >= 0)
    fleet_add_violation(fleet, "a single difference has an interval of %g", half);
  return true;
}

const test_case day_tests[] = {
  { "invalid_days_are_rejected", invalid_days_are_rejected, 1, 1, 17 },
  { "shipped_days_are_valid", shipped_days_are_valid, 1, 1, 17 },
  { "day_result_accounts_for_every_request", day_result_accounts_for_every_request, 1, 1, 100 },
  { "paired_differences_have_confidence_intervals", paired_differences_have_confidence_intervals, 1,
    1, 17 },
  { NULL, NULL, 0, 0, 0 }
};
