#include "config.h"
#include <math.h>

const char *const resource_names[RESOURCE_COUNT] = { "catalogue", "policy", "evacuation", "routing",
                                                     "canary" };
static const char *const op_name[] = { "enrol", "select", "hold", "proxy", "answer", "refuse" };
static const char *const evictions[] = { "cremebrulee", "popularity", "lru", "random" };

typedef struct {
  error *err;
  char path[120];
} spot;

static int config_error(spot *s, int code, const char *key, const char *why) {
  return error_set(s->err, code, "%s%s%s: %s", s->path, key[0] ? "." : "", key, why);
}

static int check_known_fields(spot *s, const json *json, const char *const *keys) {
  if (json->kind != JSON_OBJECT)
    return config_error(s, E_TYPE, "", "not an object");
  for (size_t i = 0; i < json_count(json); i++) {
    bool ok = false;
    for (const char *const *k = keys; *k; k++)
      ok |= !strcmp(*k, json_key(json, i));
    if (!ok)
      return config_error(s, E_FIELD, json_key(json, i), "there is no such field");
  }
  return OK;
}

static int read_number(spot *s, const json *value, const char *key, double low, double high,
                       double fall, bool whole, double *to) {
  const json *v = json_get(value, key);
  *to = fall;
  if (!v)
    return isnan(fall) ? config_error(s, E_FIELD, key, "missing") : OK;
  if (v->kind != JSON_NUMBER)
    return config_error(s, E_TYPE, key, "not a number");
  if (v->number < low || v->number > high || (whole && v->number != floor(v->number))) {
    char why[80];
    g_snprintf(why, sizeof why, "not %s from %g to %g", whole ? "a whole number" : "a number", low,
               high);
    return config_error(s, E_RANGE, key, why);
  }
  *to = v->number;
  return OK;
}

static int name(spot *s, const json *value, const char *key, id *to) {
  const json *v = json_get(value, key);
  if (!v)
    return config_error(s, E_FIELD, key, "missing");
  if (v->kind != JSON_STRING)
    return config_error(s, E_TYPE, key, "not a text");
  if (!id_is_valid(string_view_of_gstring(v->text)))
    return config_error(s, E_NAME, key,
                        "not a name of 1 to 47 letters, digits, '-', '_', '.', ':'");
  *to = id_of(string_view_of_gstring(v->text));
  return OK;
}

static int read_list(spot *s, const json *value, const char *key, size_t most, const json **to) {
  *to = json_get(value, key);
  if (!*to)
    return OK;
  if ((*to)->kind != JSON_ARRAY)
    return config_error(s, E_TYPE, key, "not a list");
  if (json_count(*to) > most)
    return config_error(s, E_RANGE, key, "too long a list");
  return OK;
}

static int compile_catalogue(config *config, const json *value, error *err) {
  static const char *const keys[] = { "models", "adapters", "areas", NULL };
  static const char *const mkeys[] = { "id", "weightsMb", "startLoadMs", NULL };
  static const char *const akeys[] = { "id", "model", "weightsMb", "slots", NULL };
  spot s = { err, "catalogue" };
  const json *l;
  double n;
  if (check_known_fields(&s, value, keys) || read_list(&s, value, "models", 20000, &l))
    return 1;
  for (size_t i = 0; i < json_count(l); i++) {
    const json *v = json_at(l, i);
    catalogue_model m = { 0 };
    g_snprintf(s.path, sizeof s.path, "catalogue.models[%zu]", i);
    if (check_known_fields(&s, v, mkeys) || name(&s, v, "id", &m.self))
      return 1;
    if (read_number(&s, v, "weightsMb", 1, 1e9, NAN, true, &n))
      return 1;
    m.weights_mb = n;
    if (read_number(&s, v, "startLoadMs", 1, 3.6e6, 0, false, &m.default_load_ms))
      return 1;
    if (config_model(config, m.self.text))
      return config_error(&s, E_NAME, "id", "stands twice");
    g_array_append_val(config->models, m);
    g_hash_table_insert(config->models_by_name, g_strdup(m.self.text),
                        GUINT_TO_POINTER(config->models->len));
  }
  g_strlcpy(s.path, "catalogue", sizeof s.path);
  if (read_list(&s, value, "adapters", 40000, &l))
    return 1;
  for (size_t i = 0; i < json_count(l); i++) {
    const json *v = json_at(l, i);
    catalogue_adapter a = { 0 };
    g_snprintf(s.path, sizeof s.path, "catalogue.adapters[%zu]", i);
    if (check_known_fields(&s, v, akeys) || name(&s, v, "id", &a.self) ||
        name(&s, v, "model", &a.model))
      return 1;
    if (read_number(&s, v, "weightsMb", 0, 1e9, 0, true, &n))
      return 1;
    a.weights_mb = n;
    if (read_number(&s, v, "slots", 1, 1000, 1, true, &n))
      return 1;
    a.slots = n;
    if (!config_model(config, a.model.text))
      return config_error(&s, E_NAME, "model", "no such model in this catalogue");
    if (config_adapter(config, a.self.text))
      return config_error(&s, E_NAME, "id", "stands twice");
    g_array_append_val(config->adapters, a);
    g_hash_table_insert(config->adapters_by_name, g_strdup(a.self.text),
                        GUINT_TO_POINTER(config->adapters->len));
  }
  g_strlcpy(s.path, "catalogue", sizeof s.path);
  if (read_list(&s, value, "areas", 1000, &l))
    return 1;
  for (size_t i = 0; i < json_count(l); i++) {
    const json *v = json_at(l, i);
    if (v->kind != JSON_STRING || !id_is_valid(string_view_of_gstring(v->text)))
      return config_error(&s, E_NAME, "areas", "holds what is not a name");
    id a = id_of(string_view_of_gstring(v->text));
    g_array_append_val(config->zones, a);
  }
  return OK;
}

static int compile_rule(config *config, spot *s, const json *v) {
  static const char *const rkeys[] = { "when", "then", NULL };
  static const char *const wkeys[] = { "kind", "model", "adapter", NULL };
  static const char *const skeys[] = { "op", "ms", "status", NULL };
  policy_rule *r = &config->rules[config->rule_count];
  memset(r, 0, sizeof *r);
  g_strlcpy(r->kind, "*", 48);
  g_strlcpy(r->model, "*", 48);
  g_strlcpy(r->adapter, "*", 48);
  if (check_known_fields(s, v, rkeys))
    return 1;
  const json *w = json_get(v, "when"), *t = json_get(v, "then");
  if (w) {
    if (check_known_fields(s, w, wkeys))
      return 1;
    struct {
      const char *k;
      char *to;
    } f[] = { { "kind", r->kind }, { "model", r->model }, { "adapter", r->adapter } };
    for (int i = 0; i < 3; i++) {
      const json *x = json_get(w, f[i].k);
      if (!x)
        continue;
      if (x->kind != JSON_STRING || !x->text->len || x->text->len > 47)
        return config_error(s, E_TYPE, f[i].k, "not a name or pattern");
      g_strlcpy(f[i].to, x->text->str, 48);
    }
    if (!strpbrk(r->kind, "*?") && !config_kind(config, r->kind))
      return config_error(s, E_NAME, "when.kind", "no such kind");
    if (!strpbrk(r->model, "*?") && !config_model(config, r->model))
      return config_error(s, E_NAME, "when.model", "no such model");
    if (!strpbrk(r->adapter, "*?") && !config_adapter(config, r->adapter))
      return config_error(s, E_NAME, "when.adapter", "no such adapter");
  }
  if (!t || t->kind != JSON_ARRAY || !json_count(t) || json_count(t) > RULE_STEPS_MAX)
    return config_error(s, E_TYPE, "then", "not a list of 1 to 12 steps");
  int last = -1;
  for (size_t i = 0; i < json_count(t); i++) {
    const json *x = json_at(t, i);
    const char *op = x->kind == JSON_STRING ? x->text->str : json_text(x, "op", "");
    int k = -1;
    for (size_t o = 0; o < G_N_ELEMENTS(op_name); o++)
      if (!strcmp(op, op_name[o]))
        k = o;
    if (k < 0)
      return config_error(s, E_NAME, "then",
                          "holds a step that is not enrol, select, hold, proxy, answer or refuse");
    double n = 0;
    if (x->kind == JSON_OBJECT) {
      if (check_known_fields(s, x, skeys))
        return 1;
      if (k == STEP_WAIT_FOR_ENGINE && read_number(s, x, "ms", 1, 3.6e6, 0, true, &n))
        return 1;
      if (k == STEP_REJECT && read_number(s, x, "status", 400, 599, 403, true, &n))
        return 1;
    }
    if (k <= last || (k == STEP_REJECT && i) || last == STEP_REJECT)
      return config_error(
          s, E_RANGE, "then",
          "steps are out of order: enrol, select, hold, proxy, answer; refuse stands alone");
    if (k == STEP_REJECT && !n)
      n = 403;
    last = k;
    r->steps[r->step_count++] = (rule_step){ k, n };
  }
  if (r->steps[0].kind != STEP_REJECT) {
    unsigned has = 0;
    for (int i = 0; i < r->step_count; i++)
      has |= 1u << r->steps[i].kind;
    unsigned need =
        1u << STEP_ADMIT | 1u << STEP_SELECT_ENGINE | 1u << STEP_PROXY | 1u << STEP_RESPOND;
    if ((has & need) != need)
      return config_error(s, E_FIELD, "then", "enrol, select, proxy and answer are needed");
  }
  config->rule_count++;
  return OK;
}

static int compile_policy(config *config, const json *value, error *err) {
  static const char *const keys[] = {
    "eviction",   "loadsPerS",   "startLoadMs", "smooth", "lambdaWindowS", "retryShare", "lineMost",
    "slowStartS", "streamsMost", "kinds",       "rules",  "utilities",     NULL
  };
  static const char *const ukeys[] = { "id", "worth", NULL };
  static const char *const kkeys[] = { "id", "weight", "deadlineMs", "share", NULL };
  spot s = { err, "policy" };
  const json *l;
  double n;
  if (check_known_fields(&s, value, keys))
    return 1;
  if (read_list(&s, value, "utilities", CUSTOM_FORMULAS_MAX, &l))
    return 1;
  for (size_t i = 0; i < json_count(l); i++) {
    const json *x = json_at(l, i);
    formula *formula = &config->custom_formulas[config->custom_formula_count];
    g_snprintf(s.path, sizeof s.path, "policy.utilities[%zu]", i);
    if (check_known_fields(&s, x, ukeys) || name(&s, x, "id", &formula->self))
      return 1;
    for (size_t k = 0; k < G_N_ELEMENTS(evictions); k++)
      if (!strcmp(formula->self.text, evictions[k]))
        return config_error(&s, E_NAME, "id", "is built in");
    if (config_formula(config, formula->self.text))
      return config_error(&s, E_NAME, "id", "stands twice");
    error why = { 0 };
    int r = formula_compile(formula, json_text(x, "worth", ""), &why);
    if (r)
      return config_error(&s, r, "worth", why.text);
    config->custom_formula_count++;
  }
  g_strlcpy(s.path, "policy", sizeof s.path);
  const json *v = json_get(value, "eviction");
  if (v) {
    bool ok = v->kind == JSON_STRING && config_formula(config, v->text->str);
    for (size_t i = 0; i < G_N_ELEMENTS(evictions); i++)
      ok |= v->kind == JSON_STRING && !strcmp(v->text->str, evictions[i]);
    if (!ok)
      return config_error(&s, E_NAME, "eviction",
                          "not cremebrulee, popularity, lru, random, or one of utilities");
    g_strlcpy(config->eviction_policy, v->text->str, sizeof config->eviction_policy);
  }
  if (read_number(&s, value, "loadsPerS", 0.01, 1000, config->loads_per_s, false,
                  &config->loads_per_s))
    return 1;
  if (read_number(&s, value, "startLoadMs", 1, 3.6e6, config->default_load_ms, false,
                  &config->default_load_ms))
    return 1;
  if (read_number(&s, value, "smooth", 0.01, 1, config->smoothing_factor, false,
                  &config->smoothing_factor))
    return 1;
  if (read_number(&s, value, "retryShare", 0, 0.5, config->retry_ratio, false,
                  &config->retry_ratio))
    return 1;
  if (read_number(&s, value, "lambdaWindowS", 10, 86400, config->rate_window_s, true, &n))
    return 1;
  config->rate_window_s = n;
  if (read_number(&s, value, "slowStartS", 0, 600, config->slow_start_s, true, &n))
    return 1;
  config->slow_start_s = n;
  if (read_number(&s, value, "lineMost", 1, 100000, config->queue_max, true, &n))
    return 1;
  config->queue_max = n;
  if (read_number(&s, value, "streamsMost", 1, 10000, config->streams_max, true, &n))
    return 1;
  config->streams_max = n;
  if (read_list(&s, value, "kinds", REQUEST_KINDS_MAX, &l))
    return 1;
  if (l)
    config->kind_count = 0;
  double share = 0;
  for (size_t i = 0; i < json_count(l); i++) {
    const json *x = json_at(l, i);
    request_kind k = { 0 };
    g_snprintf(s.path, sizeof s.path, "policy.kinds[%zu]", i);
    if (check_known_fields(&s, x, kkeys) || name(&s, x, "id", &k.self))
      return 1;
    if (read_number(&s, x, "weight", 1, 1000, 1, true, &n))
      return 1;
    k.weight = n;
    if (read_number(&s, x, "deadlineMs", 100, 3.6e6, 30000, true, &n))
      return 1;
    k.deadline_ms = n;
    if (read_number(&s, x, "share", 0.001, 1, NAN, false, &k.quota_share))
      return 1;
    if (config_kind(config, k.self.text))
      return config_error(&s, E_NAME, "id", "stands twice");
    share += k.quota_share;
    config->kinds[config->kind_count++] = k;
  }
  g_strlcpy(s.path, "policy", sizeof s.path);
  if (l && (!config->kind_count || share > 1.0001))
    return config_error(&s, E_RANGE, "kinds", "none, or the shares add up to more than 1");
  if (read_list(&s, value, "rules", RULES_MAX, &l))
    return 1;
  if (l)
    config->rule_count = 0;
  for (size_t i = 0; i < json_count(l); i++) {
    g_snprintf(s.path, sizeof s.path, "policy.rules[%zu]", i);
    if (compile_rule(config, &s, json_at(l, i)))
      return 1;
  }
  return OK;
}

static int compile_evacuation(config *config, const json *value, error *err) {
  static const char *const keys[] = { "areas", NULL };
  static const char *const akeys[] = { "area", "share", NULL };
  spot s = { err, "evacuation" };
  const json *l;
  if (check_known_fields(&s, value, keys) || read_list(&s, value, "areas", 1000, &l))
    return 1;
  for (size_t i = 0; i < json_count(l); i++) {
    const json *v = json_at(l, i);
    zone_evacuation m = { 0 };
    g_snprintf(s.path, sizeof s.path, "evacuation.areas[%zu]", i);
    if (check_known_fields(&s, v, akeys) || name(&s, v, "area", &m.zone))
      return 1;
    if (read_number(&s, v, "share", 0, 1, 1, false, &m.engine_share))
      return 1;
    bool ok = false;
    for (guint k = 0; k < config->zones->len; k++)
      ok |= id_equal(g_array_index(config->zones, id, k), m.zone);
    if (!ok)
      return config_error(&s, E_NAME, "area", "the catalogue lists no such area");
    g_array_append_val(config->evacuations, m);
  }
  return OK;
}

config *config_compile(const json *res[RESOURCE_COUNT], error *err) {
  config *c = g_new0(config, 1);
  c->models = g_array_new(FALSE, TRUE, sizeof(catalogue_model));
  c->adapters = g_array_new(FALSE, TRUE, sizeof(catalogue_adapter));
  c->zones = g_array_new(FALSE, TRUE, sizeof(id));
  c->evacuations = g_array_new(FALSE, TRUE, sizeof(zone_evacuation));
  c->models_by_name = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  c->adapters_by_name = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  g_strlcpy(c->eviction_policy, "cremebrulee", sizeof c->eviction_policy);
  c->loads_per_s = 2;
  c->default_load_ms = 4000;
  c->smoothing_factor = 0.3;
  c->retry_ratio = 0.1;
  c->rate_window_s = 600;
  c->slow_start_s = 10;
  c->queue_max = 200;
  c->streams_max = 16;
  c->kinds[0] = (request_kind){ { "live" }, 4, 20000, 0.6 };
  c->kinds[1] = (request_kind){ { "short" }, 4, 8000, 0.25 };
  c->kinds[2] = (request_kind){ { "deferred" }, 8, 60000, 0.15 };
  c->kind_count = 3;
  c->rules[0] = (policy_rule){ "*",
                               "*",
                               "*",
                               { { STEP_ADMIT, 0 },
                                 { STEP_SELECT_ENGINE, 0 },
                                 { STEP_WAIT_FOR_ENGINE, 0 },
                                 { STEP_PROXY, 0 },
                                 { STEP_RESPOND, 0 } },
                               5 };
  c->rule_count = 1;
  if ((res[RESOURCE_CATALOGUE] && compile_catalogue(c, res[RESOURCE_CATALOGUE], err)) ||
      (res[RESOURCE_POLICY] && compile_policy(c, res[RESOURCE_POLICY], err)) ||
      (res[RESOURCE_EVACUATION] && compile_evacuation(c, res[RESOURCE_EVACUATION], err)) ||
      canary_compile(&c->canary, res[RESOURCE_CANARY], err)) {
    config_free(c);
    return NULL;
  }
  return c;
}

void config_free(config *config) {
  if (!config)
    return;
  g_array_free(config->models, TRUE);
  g_array_free(config->adapters, TRUE);
  g_array_free(config->zones, TRUE);
  g_array_free(config->evacuations, TRUE);
  g_hash_table_destroy(config->models_by_name);
  g_hash_table_destroy(config->adapters_by_name);
  g_free(config);
}

const catalogue_model *config_model(const config *config, const char *name) {
  guint i = GPOINTER_TO_UINT(g_hash_table_lookup(config->models_by_name, name));
  return i ? &g_array_index(config->models, catalogue_model, i - 1) : NULL;
}

const catalogue_adapter *config_adapter(const config *config, const char *name) {
  guint i = GPOINTER_TO_UINT(g_hash_table_lookup(config->adapters_by_name, name));
  return i ? &g_array_index(config->adapters, catalogue_adapter, i - 1) : NULL;
}

const formula *config_formula(const config *config, const char *name) {
  for (int i = 0; i < config->custom_formula_count; i++)
    if (!strcmp(config->custom_formulas[i].self.text, name))
      return &config->custom_formulas[i];
  return NULL;
}

const request_kind *config_kind(const config *config, const char *name) {
  for (int i = 0; i < config->kind_count; i++)
    if (!strcmp(config->kinds[i].self.text, name))
      return &config->kinds[i];
  return NULL;
}

const policy_rule *config_rule(const config *config, const char *kind, const char *model,
                               const char *adapter) {
  for (int i = 0; i < config->rule_count; i++) {
    const policy_rule *r = &config->rules[i];
    if (g_pattern_match_simple(r->kind, kind) && g_pattern_match_simple(r->model, model) &&
        g_pattern_match_simple(r->adapter, adapter))
      return r;
  }
  return NULL;
}

bool config_is_engine_evacuated(const config *config, id engine, id area) {
  for (guint i = 0; i < config->evacuations->len; i++) {
    zone_evacuation *m = &g_array_index(config->evacuations, zone_evacuation, i);
    if (!id_equal(m->zone, area))
      continue;
    return m->engine_share >= 1 ||
           (double)(hash_two_names("empty", engine.text) >> 11) / (double)(1ull << 53) <
               m->engine_share;
  }
  return false;
}

bool config_is_zone_evacuated(const config *config, id area) {
  for (guint i = 0; i < config->evacuations->len; i++)
    if (id_equal(g_array_index(config->evacuations, zone_evacuation, i).zone, area) &&
        g_array_index(config->evacuations, zone_evacuation, i).engine_share >= 1)
      return true;
  return false;
}
