/** The resource "canary": compiles the plan of a trial, checks changes to it, and tells which
 * sessions and requests take part. */
#include "canary.h"
#include "value_reader.h"
#include <math.h>

const select_policy select_policy_default = { .load_weight = 1,
                                              .affinity_weight = 1,
                                              .zone_weight = 1,
                                              .scale_out_threshold = 0.45,
                                              .overload_threshold = 3,
                                              .wait_percent = 45 };

static void set_defaults(canary_plan *plan) {
  *plan = (canary_plan){ .candidate = select_policy_default,
                         .priority_mask = (1u << CANARY_PRIORITIES) - 1,
                         .late_penalty = 0.5,
                         .margin = 0.02,
                         .error_probability = 0.05,
                         .min_requests = 50,
                         .max_duration_ms = 600000,
                         .warm_up_ms = 10000 };
}

static enum error_code compile_candidate(select_policy *policy, value_reader *reader,
                                         const json *value) {
  static const char *const known[] = { "load",      "affinity",    "area", "copyShare",
                                       "lateShare", "holdPercent", NULL };
  if (!value)
    return value_reader_fail(reader, E_FIELD, "candidate", "missing");
  if (value_reader_check_fields(reader, value, "candidate", known) ||
      value_reader_number(reader, value, "load", 0, 100, policy->load_weight, false,
                          &policy->load_weight) ||
      value_reader_number(reader, value, "affinity", 0, 1000, policy->affinity_weight, false,
                          &policy->affinity_weight) ||
      value_reader_number(reader, value, "area", 0, 1000, policy->zone_weight, false,
                          &policy->zone_weight) ||
      value_reader_number(reader, value, "copyShare", 0.05, 10, policy->scale_out_threshold, false,
                          &policy->scale_out_threshold) ||
      value_reader_number(reader, value, "lateShare", 0.05, 100, policy->overload_threshold, false,
                          &policy->overload_threshold) ||
      value_reader_integer(reader, value, "holdPercent", 1, 100, (double)policy->wait_percent,
                           &policy->wait_percent))
    return reader->err->code;
  return OK;
}

/* Reads an optional list of 1 to max items; *to is NULL if it is absent. */
static enum error_code read_list(value_reader *reader, const json *value, const char *key,
                                 size_t max, const json **to) {
  *to = json_get(value, key);
  if (!*to)
    return OK;
  if ((*to)->kind != JSON_ARRAY)
    return value_reader_fail(reader, E_TYPE, key, "not a list");
  if (!json_count(*to) || json_count(*to) > max)
    return error_set(reader->err, E_RANGE, "canary.%s: a list of 1 to %zu", key, max);
  return OK;
}

static enum error_code compile_routes(canary_plan *plan, value_reader *reader, const json *value) {
  const json *routes;
  if (read_list(reader, value, "routes", CANARY_ROUTES_MAX, &routes))
    return reader->err->code;
  for (size_t i = 0; i < json_count(routes); i++) {
    const json *name = json_at(routes, i);
    if (name->kind != JSON_STRING || !id_is_valid(string_view_of_gstring(name->text)))
      return value_reader_fail(reader, E_NAME, "routes", "holds what is no name");
    plan->routes[plan->route_count++] = id_of(string_view_of_gstring(name->text));
  }
  return OK;
}

static enum error_code compile_priorities(canary_plan *plan, value_reader *reader,
                                          const json *value) {
  const json *priorities;
  if (read_list(reader, value, "priorities", CANARY_PRIORITIES, &priorities))
    return reader->err->code;
  if (priorities)
    plan->priority_mask = 0;
  for (size_t i = 0; i < json_count(priorities); i++) {
    const json *priority = json_at(priorities, i);
    if (priority->kind != JSON_NUMBER || priority->number < 0 ||
        priority->number >= CANARY_PRIORITIES || priority->number != floor(priority->number))
      return value_reader_fail(reader, E_RANGE, "priorities",
                               "holds what is no number from 0 to 7");
    plan->priority_mask |= 1u << (unsigned)priority->number;
  }
  return OK;
}

/* Reads the conditions that end the trial. */
static enum error_code compile_guard(canary_plan *plan, value_reader *reader, const json *value) {
  static const char *const known[] = { "urgent", "lateHarm", "least", "margin",
                                       "error",  "mostS",    NULL };
  if (!value)
    return OK;
  int64_t urgent = 0;
  double max_duration_s = (double)plan->max_duration_ms / 1000;
  if (value_reader_check_fields(reader, value, "guard", known) ||
      value_reader_integer(reader, value, "urgent", 0, CANARY_PRIORITIES - 1, 0, &urgent) ||
      value_reader_number(reader, value, "lateHarm", 0, 1, plan->late_penalty, false,
                          &plan->late_penalty) ||
      value_reader_integer(reader, value, "least", 10, 1e9, (double)plan->min_requests,
                           &plan->min_requests) ||
      value_reader_number(reader, value, "margin", 0, 0.5, plan->margin, false, &plan->margin) ||
      value_reader_number(reader, value, "error", 1e-6, 0.2, plan->error_probability, false,
                          &plan->error_probability) ||
      value_reader_number(reader, value, "mostS", 5, 604800, max_duration_s, false,
                          &max_duration_s))
    return reader->err->code;
  plan->urgent_priority_max = (unsigned)urgent;
  plan->max_duration_ms = (int64_t)(max_duration_s * 1000);
  return OK;
}

static enum error_code compile_trial_fields(canary_plan *plan, value_reader *reader,
                                            const json *value) {
  const char *name = json_text(value, "name", "");
  if (!id_is_valid(string_view_of(name)))
    return value_reader_fail(reader, E_NAME, "name", "missing, or no name");
  plan->name = id_of_text(name);
  const char *state = json_text(value, "state", "running");
  if (strcmp(state, "running") && strcmp(state, "ended"))
    return value_reader_fail(reader, E_CANARY_INVALID, "state", "not running or ended");
  plan->state = strcmp(state, "running") ? CANARY_ENDED : CANARY_RUNNING;
  int64_t salt = 0;
  double warm_up_s = (double)plan->warm_up_ms / 1000;
  if (value_reader_integer(reader, value, "salt", 0, 1e15, 0, &salt) ||
      value_reader_number(reader, value, "share", 0, 0.5, 0, false, &plan->traffic_share) ||
      value_reader_number(reader, value, "warmS", 1, 600, warm_up_s, false, &warm_up_s))
    return reader->err->code;
  plan->salt = (uint64_t)salt;
  plan->warm_up_ms = (int64_t)(warm_up_s * 1000);
  if (!json_get(value, "share"))
    return value_reader_fail(reader, E_FIELD, "share", "missing");
  return OK;
}

enum error_code canary_compile(canary_plan *plan, const json *value, error *err) {
  static const char *const known[] = { "name",      "state",  "salt",       "share",
                                       "candidate", "routes", "priorities", "guard",
                                       "warmS",     "end",    NULL };
  error ignored = { 0 };
  value_reader reader = { err ? err : &ignored, "canary" };
  set_defaults(plan);
  if (!value || (value->kind == JSON_OBJECT && !json_count(value)))
    return OK;
  if (value_reader_check_fields(&reader, value, "", known) ||
      compile_trial_fields(plan, &reader, value) ||
      compile_candidate(&plan->candidate, &reader, json_get(value, "candidate")) ||
      compile_routes(plan, &reader, value) || compile_priorities(plan, &reader, value) ||
      compile_guard(plan, &reader, json_get(value, "guard")))
    return reader.err->code;
  if (plan->warm_up_ms >= plan->max_duration_ms)
    return value_reader_fail(&reader, E_CANARY_INVALID, "warmS", "not below guard.mostS");
  return OK;
}

/* Compares two values by their JSON text; the text of an absent value is empty. */
static bool json_equal(const json *a, const json *b) {
  GString *text_a = g_string_new(NULL), *text_b = g_string_new(NULL);
  if (a)
    json_write(a, text_a);
  if (b)
    json_write(b, text_b);
  bool equal = g_string_equal(text_a, text_b);
  g_string_free(text_a, TRUE);
  g_string_free(text_b, TRUE);
  return equal;
}

/* Checks the successor of a running trial: it must end the trial, and change no other field. */
static enum error_code check_running_successor(const json *previous, const json *next,
                                               const canary_plan *running, enum canary_state state,
                                               error *err) {
  static const char *const immutable[] = { "name",   "salt",       "share", "candidate",
                                           "routes", "priorities", "guard", "warmS" };
  if (state != CANARY_ENDED)
    return error_set(err, E_CANARY_RUNNING, "canary: the trial %s is running; it has to end first",
                     running->name.text);
  for (size_t i = 0; i < G_N_ELEMENTS(immutable); i++)
    if (!json_equal(json_get(previous, immutable[i]), json_get(next, immutable[i])))
      return error_set(err, E_CANARY_IMMUTABLE,
                       "canary.%s: the end of a trial changes nothing but state and end",
                       immutable[i]);
  return OK;
}

/* Checks the successor of an ended trial: a new trial may start, but only under another name. */
static enum error_code check_ended_successor(const json *previous, const json *next,
                                             const canary_plan *ended, const canary_plan *plan,
                                             error *err) {
  if (plan->state == CANARY_RUNNING && id_equal(ended->name, plan->name))
    return error_set(err, E_CANARY_NAME_REUSED,
                     "canary: a trial named %s has ended; a new one needs a name of its own",
                     ended->name.text);
  if (plan->state == CANARY_ENDED && !json_equal(previous, next))
    return error_set(err, E_NO_CANARY, "canary: the trial %s has ended already", ended->name.text);
  return OK;
}

enum error_code canary_check_successor(const json *previous, const json *next, error *err) {
  canary_plan current, plan;
  error ignored = { 0 };
  if (!err)
    err = &ignored;
  if (canary_compile(&plan, next, err))
    return err->code;
  bool has_no_trial = canary_compile(&current, previous, NULL) || current.state == CANARY_NONE;
  if (has_no_trial && plan.state == CANARY_ENDED)
    return error_set(err, E_NO_CANARY, "canary: no trial is there to end");
  if (has_no_trial)
    return OK;
  if (current.state == CANARY_RUNNING)
    return check_running_successor(previous, next, &current, plan.state, err);
  return check_ended_successor(previous, next, &current, &plan, err);
}

/* The hash is seeded with the trial's name and salt, so that each trial selects other sessions. */
bool canary_session_is_candidate(const canary_plan *plan, uint64_t session) {
  uint64_t seed = hash_two_names(plan->name.text, "canary") + plan->salt;
  uint64_t hash = hash_bytes(&session, sizeof session, seed);
  double fraction = (double)(hash >> 11) / (double)(1ull << 53);
  return fraction < plan->traffic_share;
}

bool canary_includes(const canary_plan *plan, id route, unsigned priority) {
  bool included = !plan->route_count;
  for (int i = 0; i < plan->route_count && !included; i++)
    included = id_equal(plan->routes[i], route);
  return included && (plan->priority_mask >> MIN(priority, CANARY_PRIORITIES - 1) & 1);
}
