#include "canary.h"
#include <math.h>

const select_policy select_policy_default = { .load_weight = 1,
                                              .affinity_weight = 1,
                                              .zone_weight = 1,
                                              .scale_out_threshold = 0.45,
                                              .reject_threshold = 3,
                                              .wait_percent = 45 };

/* of the error that is allowed, the share that is spent on urgent work */
static const double URGENT_ERROR = 0.75;

static int bad(error *err, int code, const char *key, const char *why) {
  return error_set(err, code, "canary.%s: %s", key, why);
}

static int only(error *err, const json *json, const char *at, const char *const *keys) {
  if (json->kind != JSON_OBJECT)
    return bad(err, E_TYPE, at, "not an object");
  for (size_t i = 0; i < json_count(json); i++) {
    bool ok = false;
    for (const char *const *k = keys; *k; k++)
      ok |= !strcmp(*k, json_key(json, i));
    if (!ok)
      return bad(err, E_FIELD, json_key(json, i), "there is no such field");
  }
  return OK;
}

static int num(error *err, const json *value, const char *key, double low, double high, bool whole,
               double *to) {
  const json *v = json_get(value, key);
  if (!v)
    return OK;
  if (v->kind != JSON_NUMBER)
    return bad(err, E_TYPE, key, "not a number");
  if (!(v->number >= low && v->number <= high) || (whole && v->number != floor(v->number)))
    return error_set(err, E_RANGE, "canary.%s: not %s from %g to %g", key,
                     whole ? "a whole number" : "a number", low, high);
  *to = v->number;
  return OK;
}

static int candidate_make(select_policy *s, const json *json, error *err) {
  static const char *const keys[] = { "load",      "affinity",    "area", "copyShare",
                                      "lateShare", "holdPercent", NULL };
  double hold = s->wait_percent;
  if (only(err, json, "candidate", keys))
    return err->code;
  if (num(err, json, "load", 0, 100, false, &s->load_weight) ||
      num(err, json, "affinity", 0, 1000, false, &s->affinity_weight) ||
      num(err, json, "area", 0, 1000, false, &s->zone_weight) ||
      num(err, json, "copyShare", 0.05, 10, false, &s->scale_out_threshold) ||
      num(err, json, "lateShare", 0.05, 100, false, &s->reject_threshold) ||
      num(err, json, "holdPercent", 1, 100, true, &hold))
    return err->code;
  s->wait_percent = (int64_t)hold;
  return OK;
}

static int list_of(error *err, const json *value, const char *key, size_t most, const json **to) {
  *to = json_get(value, key);
  if (!*to)
    return OK;
  if ((*to)->kind != JSON_ARRAY)
    return bad(err, E_TYPE, key, "not a list");
  if (!json_count(*to) || json_count(*to) > most)
    return error_set(err, E_RANGE, "canary.%s: a list of 1 to %zu", key, most);
  return OK;
}

int canary_compile(canary_plan *plan, const json *value, error *err) {
  static const char *const keys[] = { "name",      "state",  "salt",       "share",
                                      "candidate", "routes", "priorities", "guard",
                                      "warmS",     "end",    NULL };
  static const char *const gkeys[] = { "urgent", "lateHarm", "least", "margin",
                                       "error",  "mostS",    NULL };
  error none = { 0 };
  if (!err)
    err = &none;
  *plan = (canary_plan){ .candidate = select_policy_default,
                         .priority_mask = (1u << CANARY_PRIORITIES) - 1,
                         .late_penalty = 0.5,
                         .margin = 0.02,
                         .error_probability = 0.05,
                         .min_requests = 50,
                         .max_duration_ms = 600000,
                         .warm_up_ms = 10000 };
  if (!value || (value->kind == JSON_OBJECT && !json_count(value)))
    return OK;
  if (only(err, value, "", keys))
    return err->code;
  const char *name = json_text(value, "name", "");
  if (!id_is_valid(string_view_of(name)))
    return bad(err, E_NAME, "name", "missing, or no name");
  plan->name = id_of_text(name);
  const char *state = json_text(value, "state", "running");
  if (strcmp(state, "running") && strcmp(state, "ended"))
    return bad(err, E_CANARY_INVALID, "state", "not running or ended");
  plan->state = strcmp(state, "running") ? CANARY_ENDED : CANARY_RUNNING;
  double salt = 0, urgent = 0, least = (double)plan->min_requests, most = 600, warm = 10;
  if (num(err, value, "salt", 0, 1e15, true, &salt) ||
      num(err, value, "share", 0, 0.5, false, &plan->traffic_share) ||
      num(err, value, "warmS", 1, 600, false, &warm))
    return err->code;
  if (!json_get(value, "share"))
    return bad(err, E_FIELD, "share", "missing");
  const json *c = json_get(value, "candidate"), *g = json_get(value, "guard"), *l;
  if (!c)
    return bad(err, E_FIELD, "candidate", "missing");
  if (candidate_make(&plan->candidate, c, err))
    return err->code;
  if (list_of(err, value, "routes", CANARY_ROUTES_MAX, &l))
    return err->code;
  for (size_t i = 0; i < json_count(l); i++) {
    const json *v = json_at(l, i);
    if (v->kind != JSON_STRING || !id_is_valid(string_view_of_gstring(v->text)))
      return bad(err, E_NAME, "routes", "holds what is no name");
    plan->routes[plan->route_count++] = id_of(string_view_of_gstring(v->text));
  }
  if (list_of(err, value, "priorities", CANARY_PRIORITIES, &l))
    return err->code;
  if (l)
    plan->priority_mask = 0;
  for (size_t i = 0; i < json_count(l); i++) {
    const json *v = json_at(l, i);
    if (v->kind != JSON_NUMBER || v->number < 0 || v->number >= CANARY_PRIORITIES ||
        v->number != floor(v->number))
      return bad(err, E_RANGE, "priorities", "holds what is no number from 0 to 7");
    plan->priority_mask |= 1u << (unsigned)v->number;
  }
  if (g) {
    if (only(err, g, "guard", gkeys))
      return err->code;
    if (num(err, g, "urgent", 0, CANARY_PRIORITIES - 1, true, &urgent) ||
        num(err, g, "lateHarm", 0, 1, false, &plan->late_penalty) ||
        num(err, g, "least", 10, 1e9, true, &least) ||
        num(err, g, "margin", 0, 0.5, false, &plan->margin) ||
        num(err, g, "error", 1e-6, 0.2, false, &plan->error_probability) ||
        num(err, g, "mostS", 5, 604800, false, &most))
      return err->code;
  }
  plan->salt = (uint64_t)salt;
  plan->urgent_priority_max = (unsigned)urgent;
  plan->min_requests = (int64_t)least;
  plan->max_duration_ms = (int64_t)(most * 1000);
  plan->warm_up_ms = (int64_t)(warm * 1000);
  if (plan->warm_up_ms >= plan->max_duration_ms)
    return bad(err, E_CANARY_INVALID, "warmS", "not below guard.mostS");
  return OK;
}

static bool same(const json *a, const json *b) {
  GString *x = g_string_new(NULL), *y = g_string_new(NULL);
  if (a)
    json_write(a, x);
  if (b)
    json_write(b, y);
  bool is = g_string_equal(x, y);
  g_string_free(x, TRUE);
  g_string_free(y, TRUE);
  return is;
}

int canary_check_successor(const json *was, const json *next, error *err) {
  canary_plan a, b;
  error none = { 0 };
  if (!err)
    err = &none;
  if (canary_compile(&b, next, err))
    return err->code;
  if (canary_compile(&a, was, NULL) || a.state == CANARY_NONE)
    return b.state == CANARY_ENDED ? error_set(err, E_NO_CANARY, "canary: no trial is there to end")
                                   : OK;
  if (a.state == CANARY_RUNNING) {
    if (b.state == CANARY_RUNNING)
      return error_set(err, E_CANARY_RUNNING,
                       "canary: the trial %s is running; it has to end first", a.name.text);
    static const char *const kept[] = { "name",   "salt",       "share", "candidate",
                                        "routes", "priorities", "guard", "warmS" };
    for (size_t i = 0; b.state == CANARY_ENDED && i < G_N_ELEMENTS(kept); i++)
      if (!same(json_get(was, kept[i]), json_get(next, kept[i])))
        return error_set(err, E_CANARY_IMMUTABLE,
                         "canary.%s: the end of a trial changes nothing but state and end",
                         kept[i]);
    return b.state == CANARY_NONE
               ? error_set(err, E_CANARY_RUNNING,
                           "canary: the trial %s is running; it has to end first", a.name.text)
               : OK;
  }
  if (b.state == CANARY_RUNNING && id_equal(a.name, b.name))
    return error_set(err, E_CANARY_NAME_REUSED,
                     "canary: a trial named %s has ended; a new one needs a name of its own",
                     a.name.text);
  if (b.state == CANARY_ENDED && !same(was, next))
    return error_set(err, E_NO_CANARY, "canary: the trial %s has ended already", a.name.text);
  return OK;
}

bool canary_session_is_candidate(const canary_plan *plan, uint64_t session) {
  uint64_t h =
      hash_bytes(&session, sizeof session, hash_two_names(plan->name.text, "canary") + plan->salt);
  return (double)(h >> 11) / (double)(1ull << 53) < plan->traffic_share;
}

bool canary_includes(const canary_plan *plan, id route, unsigned priority) {
  bool in = !plan->route_count;
  for (int i = 0; i < plan->route_count && !in; i++)
    in = id_equal(plan->routes[i], route);
  return in && (plan->priority_mask >> MIN(priority, CANARY_PRIORITIES - 1) & 1);
}

uint64_t canary_cell_requests(const canary_cell *c) {
  return c->within_target + c->late + c->rejected + c->failed;
}

int canary_bucket(double ms) {
  int k = 0;
  for (double top = 25; k < CANARY_BUCKETS - 1 && ms >= top; top *= 2)
    k++;
  return k;
}

/* the log of the mixture over Beta(1/2, 1/2) against one mean */
static double evidence(double sum, double n, double mean) {
  double mix = lgamma(sum + 0.5) + lgamma(n - sum + 0.5) - lgamma(n + 1) - log(M_PI);
  return mix - (sum > 0 ? sum * log(mean) : 0) - (n > sum ? (n - sum) * log1p(-mean) : 0);
}

double canary_bound(double sum, double n, double error, bool above) {
  if (n <= 0)
    return above ? 1 : 0;
  sum = CLAMP(sum, 0, n);
  double in = sum / n, out = above ? 1 : 0, limit = -log(error);
  if (in == out)
    return out;
  for (int i = 0; i < 60; i++) {
    double mid = (in + out) / 2;
    if (evidence(sum, n, mid) < limit)
      in = mid;
    else
      out = mid;
  }
  return out;
}

/* the least evidence against any pair of means in which the candidate's is above the other's by no
 * more than a margin */
double canary_evidence(double old, double n_old, double candidate, double n_candidate,
                       double margin) {
  if (n_old <= 0 || n_candidate <= 0 || candidate / n_candidate <= old / n_old + margin)
    return 0;
  double a = 1e-9, b = 1 - margin - 1e-9;
  for (int i = 0; i < 80; i++) {
    double x = a + (b - a) / 3, y = b - (b - a) / 3;
    double at_x = evidence(old, n_old, x) + evidence(candidate, n_candidate, x + margin),
           at_y = evidence(old, n_old, y) + evidence(candidate, n_candidate, y + margin);
    if (at_x < at_y)
      b = y;
    else
      a = x;
  }
  return evidence(old, n_old, a) + evidence(candidate, n_candidate, a + margin);
}

static canary_comparison examination(const canary_plan *plan, const canary_totals *t, bool urgent,
                                     double error) {
  canary_comparison v = { 0 };
  double sums[CANARY_ARMS];
  for (int s = 0; s < CANARY_ARMS; s++) {
    double sum = 0;
    for (unsigned k = 0; k < CANARY_PRIORITIES; k++) {
      if ((k <= plan->urgent_priority_max) != urgent)
        continue;
      const canary_cell *c = &t->cells[s][k];
      v.requests[s] += (double)canary_cell_requests(c);
      sum += (double)c->rejected + (double)c->failed + plan->late_penalty * (double)c->late;
    }
    sums[s] = sum;
    v.mean_harm[s] = v.requests[s] > 0 ? sum / v.requests[s] : 0;
    double b = canary_bound(sum, v.requests[s], error / 2, s == CANARY_ARM_CONTROL);
    if (s == CANARY_ARM_CONTROL)
      v.harm_difference_high = b;
    else
      v.harm_difference_low = b;
  }
  bool enough = v.requests[CANARY_ARM_CONTROL] >= (double)plan->min_requests &&
                v.requests[CANARY_ARM_CANDIDATE] >= (double)plan->min_requests;
  v.proven = enough && canary_evidence(sums[CANARY_ARM_CONTROL], v.requests[CANARY_ARM_CONTROL],
                                       sums[CANARY_ARM_CANDIDATE], v.requests[CANARY_ARM_CANDIDATE],
                                       plan->margin) >= -log(error);
  return v;
}

canary_verdict canary_judge(const canary_plan *plan, const canary_totals *t) {
  canary_verdict f = { .urgent = examination(plan, t, true, URGENT_ERROR * plan->error_probability),
                       .rest = examination(plan, t, false,
                                           (1 - URGENT_ERROR) * plan->error_probability) };
  f.has_enough_requests = f.urgent.requests[CANARY_ARM_CONTROL] >= (double)plan->min_requests &&
                          f.urgent.requests[CANARY_ARM_CANDIDATE] >= (double)plan->min_requests;
  f.harm_proven = f.urgent.proven || f.rest.proven;
  return f;
}
