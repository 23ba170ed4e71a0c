/** A day's faults, sorted by time; faults at the same time stay in the order of reading. */
#include "day_faults.h"
#include <math.h>
#include <stdlib.h>

enum { FAULT_NAME_MAX = 32, DURATION_MAX_S = 600, TARGET_NUMBER_MAX = 100 };
static const double FACTOR_MIN = 0.01, FACTOR_MAX = 100, FACTOR_DEFAULT = 5;

/* durations of faults that specify none; for a kill, the time until the host is started again */
static const double default_duration_s[DAY_FAULT_KIND_COUNT] = {
  [DAY_ENGINE_CRASH] = 3,
  [DAY_ENGINE_POWER_OFF] = 10,
  [DAY_ENGINE_DEGRADED] = 10,
  [DAY_ENGINE_DRAIN] = 10,
  [DAY_GATEWAY_KILL] = 2,
  [DAY_GATEWAY_DRAIN] = DEPLOYMENT_GRACE_S + 2,
  [DAY_GATEWAY_FREEZE] = 4,
  [DAY_CONTROLLER_KILL] = 4,
  [DAY_CONTROLLER_PARTITION] = 4,
  [DAY_CONTROLLER_WIPE] = 4,
  [DAY_BURST] = 6,
};

/* returns false when no kind of fault has the name */
static bool parse_kind(const char *name, enum day_fault_kind *kind) {
  for (int i = 0; i < DAY_FAULT_KIND_COUNT; i++) {
    if (strcmp(day_fault_names[i], name))
      continue;
    *kind = (enum day_fault_kind)i;
    return true;
  }
  return false;
}

static enum error_code insert_fault(day *day, const day_json_location *at, day_fault fault) {
  if (day->fault_count == DAY_FAULTS_MAX)
    return day_json_report(at, E_RANGE, "", "too many troubles");
  if (fault.duration_s <= 0)
    fault.duration_s = default_duration_s[fault.kind];
  size_t i = day->fault_count++;
  while (i && day->faults[i - 1].at_s > fault.at_s) {
    day->faults[i] = day->faults[i - 1];
    i--;
  }
  day->faults[i] = fault;
  return OK;
}

static void read_fault(const day_json_location *at, const json *value, day *day) {
  static const char *const keys[] = { "what", "atS", "forS", "factor", "which", NULL };
  day_fault fault = { 0 };
  if (day_json_check_keys(at, value, keys) != OK)
    return;
  const char *name = day_json_text(at, value, "what", FAULT_NAME_MAX);
  if (!parse_kind(name, &fault.kind))
    day_json_report(at, E_NAME, "what", "unknown trouble");
  fault.at_s = day_json_number(at, value, "atS", 0, day->seconds, NAN);
  fault.duration_s = day_json_number(at, value, "forS", 0, DURATION_MAX_S, 0);
  fault.factor = day_json_number(at, value, "factor", FACTOR_MIN, FACTOR_MAX, FACTOR_DEFAULT);
  fault.target_number = day_json_unsigned(at, value, "which", TARGET_NUMBER_MAX, 0);
  if (!day_json_failed(at))
    insert_fault(day, at, fault);
}

void day_read_faults(const day_json_location *at, const json *value, day *day) {
  const json *list = day_json_list(at, value, "troubles", 0, DAY_FAULTS_MAX);
  for (size_t i = 0; i < json_count(list) && !day_json_failed(at); i++) {
    day_json_location item = day_json_item(at, "troubles", i);
    read_fault(&item, json_at(list, i), day);
  }
}

/* parses AT[:FOR] */
static enum error_code parse_times(const day_json_location *at, const char *text, const day *day,
                                   day_fault *fault) {
  static const char WHY[] = "must be a number of seconds";
  char *end;
  fault->at_s = g_ascii_strtod(text, &end);
  if (end == text)
    return day_json_report(at, E_TYPE, "", WHY);
  if (*end == ':')
    fault->duration_s = g_ascii_strtod(end + 1, &end);
  if (*end)
    return day_json_report(at, E_TYPE, "", WHY);
  if (!(fault->at_s >= 0 && fault->at_s <= day->seconds && fault->duration_s >= 0 &&
        fault->duration_s <= DURATION_MAX_S))
    return day_json_report(at, E_RANGE, "", "must lie within the day");
  return OK;
}

/* parses WHAT@AT[:FOR]; changes the text */
static enum error_code parse_event(const day_json_location *at, char *text, const day *day,
                                   day_fault *fault) {
  char *separator = text ? strchr(text, '@') : NULL;
  if (!separator)
    return day_json_report(at, E_FIELD, "", "must have the form WHAT@SECONDS");
  *separator = 0;
  if (!parse_kind(text, &fault->kind))
    return day_json_report(at, E_NAME, text, "unknown trouble");
  return parse_times(at, separator + 1, day, fault);
}

/* parses factor=X or which=N */
static enum error_code parse_option(const day_json_location *at, const char *text,
                                    day_fault *fault) {
  static const char FACTOR[] = "factor=", WHICH[] = "which=";
  if (g_str_has_prefix(text, FACTOR))
    fault->factor = g_ascii_strtod(text + strlen(FACTOR), NULL);
  else if (g_str_has_prefix(text, WHICH))
    fault->target_number = (unsigned)strtoul(text + strlen(WHICH), NULL, 10);
  else
    return day_json_report(at, E_FIELD, text, "unknown");
  if (!(fault->factor >= FACTOR_MIN && fault->factor <= FACTOR_MAX &&
        fault->target_number <= TARGET_NUMBER_MAX))
    return day_json_report(at, E_RANGE, text, "out of range");
  return OK;
}

enum error_code day_add_fault(day *day, const char *flag, error *err) {
  day_json_location at = { err, "trouble" };
  day_fault fault = { .factor = FACTOR_DEFAULT };
  char **parts = g_strsplit(flag, ",", -1);
  enum error_code code = parse_event(&at, parts[0], day, &fault);
  for (size_t i = 1; code == OK && parts[i]; i++)
    code = parse_option(&at, parts[i], &fault);
  g_strfreev(parts);
  return code == OK ? insert_fault(day, &at, fault) : code;
}
