/** Reads a day's file: its head, then the sections, each after those that it refers to. */
#include "day_faults.h"
#include "day_policy.h"
#include "day_read.h"
#include "day_result.h"
#include <math.h>

/* the steps of a result must cover the day and 200 s after it, in which its last faults end */
enum { SECONDS_MAX = DAY_STEPS_MAX * DAY_STEP_MS / 1000 - 200 };
enum { CONTROLLERS_MIN = 3, CONTROLLERS_MAX = 5, GATEWAYS_MAX = 60 };

static void read_zones(const day_json_location *at, const json *value, day *day) {
  const json *list = day_json_list(at, value, "areas", 1, DAY_ZONES_MAX);
  for (size_t i = 0; i < json_count(list) && !day_json_failed(at); i++) {
    const json *name = json_at(list, i);
    if (name->kind != JSON_STRING || !id_is_valid(string_view_of_gstring(name->text)))
      day_json_report(at, E_NAME, "areas", "not a name");
    else
      day->zones[day->zone_count++] = id_of_text(name->text->str);
  }
}

static void read_policy(const day_json_location *at, const json *value, day *day) {
  const json *policy = json_get(value, "policy");
  GString *text = g_string_new(NULL);
  if (policy)
    json_write(policy, text);
  else
    g_string_append(text, "{}");
  day->policy = g_string_free(text, FALSE);
  if (policy && !day_json_failed(at))
    day_policy_check(policy, at->err);
}

static void read_head(const day_json_location *at, const json *value, day *day) {
  g_strlcpy(day->name, day_json_name(at, value, "name").text, sizeof day->name);
  day->seconds = day_json_number(at, value, "seconds", 2, SECONDS_MAX, NAN);
  day->rate_factor = day_json_number(at, value, "rate", 0.01, 100, 1);
  day->controllers = (int)day_json_number(at, value, "controllers", CONTROLLERS_MIN,
                                          CONTROLLERS_MAX, CONTROLLERS_MIN);
  day->gateways = (int)day_json_number(at, value, "gateways", 1, GATEWAYS_MAX, NAN);
  read_zones(at, value, day);
  read_policy(at, value, day);
}

static void read_day(const day_json_location *at, const json *value, day *day) {
  static const char *const keys[] = { "name",     "seconds",  "rate",   "controllers",
                                      "gateways", "areas",    "policy", "services",
                                      "kinds",    "troubles", NULL };
  if (day_json_check_keys(at, value, keys) != OK)
    return;
  read_head(at, value, day);
  if (!day_json_failed(at))
    day_read_services(at, value, day);
  if (!day_json_failed(at))
    day_read_kinds(at, value, day);
  if (!day_json_failed(at))
    day_read_faults(at, value, day);
}

day *day_read(string_view text, error *err) {
  error ignored = { 0 };
  if (!err)
    err = &ignored;
  err->code = OK;
  json *value = json_parse(text, err);
  if (!value)
    return NULL;
  day *read = g_new0(day, 1);
  day_json_location top = { err, "" };
  read_day(&top, value, read);
  json_free(value);
  if (err->code == OK)
    return read;
  day_free(read);
  return NULL;
}
