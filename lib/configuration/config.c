#include "config.h"
#include <math.h>

const char *const res_name[RES_COUNT] = { "catalogue", "policy", "evacuation", "routing",
                                          "canary" };
static const char *const op_name[] = { "enrol", "select", "hold", "proxy", "answer", "refuse" };
static const char *const evictions[] = { "cremebrulee", "popularity", "lru", "random" };

typedef struct {
  error *err;
  char path[120];
} spot;

static int bad(spot *s, int code, const char *key, const char *why) {
  return error_set(s->err, code, "%s%s%s: %s", s->path, key[0] ? "." : "", key, why);
}

static int only(spot *s, const json *json, const char *const *keys) {
  if (json->kind != J_OBJ)
    return bad(s, E_TYPE, "", "not an object");
  for (size_t i = 0; i < json_count(json); i++) {
    bool ok = false;
    for (const char *const *k = keys; *k; k++)
      ok |= !strcmp(*k, json_key(json, i));
    if (!ok)
      return bad(s, E_FIELD, json_key(json, i), "there is no such field");
  }
  return OK;
}

static int num(spot *s, const json *value, const char *key, double low, double high, double fall,
               bool whole, double *to) {
  const json *v = json_get(value, key);
  *to = fall;
  if (!v)
    return isnan(fall) ? bad(s, E_FIELD, key, "missing") : OK;
  if (v->kind != J_NUM)
    return bad(s, E_TYPE, key, "not a number");
  if (v->num < low || v->num > high || (whole && v->num != floor(v->num))) {
    char why[80];
    g_snprintf(why, sizeof why, "not %s from %g to %g", whole ? "a whole number" : "a number", low,
               high);
    return bad(s, E_RANGE, key, why);
  }
  *to = v->num;
  return OK;
}

static int name(spot *s, const json *value, const char *key, id *to) {
  const json *v = json_get(value, key);
  if (!v)
    return bad(s, E_FIELD, key, "missing");
  if (v->kind != J_STR)
    return bad(s, E_TYPE, key, "not a text");
  if (!id_is_valid(string_view_of_gstring(v->text)))
    return bad(s, E_NAME, key, "not a name of 1 to 47 letters, digits, '-', '_', '.', ':'");
  *to = id_of(string_view_of_gstring(v->text));
  return OK;
}

static int list(spot *s, const json *value, const char *key, size_t most, const json **to) {
  *to = json_get(value, key);
  if (!*to)
    return OK;
  if ((*to)->kind != J_ARR)
    return bad(s, E_TYPE, key, "not a list");
  if (json_count(*to) > most)
    return bad(s, E_RANGE, key, "too long a list");
  return OK;
}

static int catalogue(config *config, const json *value, error *err) {
  static const char *const keys[] = { "models", "adapters", "areas", NULL };
  static const char *const mkeys[] = { "id", "weightsMb", "startLoadMs", NULL };
  static const char *const akeys[] = { "id", "model", "weightsMb", "slots", NULL };
  spot s = { err, "catalogue" };
  const json *l;
  double n;
  if (only(&s, value, keys) || list(&s, value, "models", 20000, &l))
    return 1;
  for (size_t i = 0; i < json_count(l); i++) {
    const json *v = json_at(l, i);
    model m = { 0 };
    g_snprintf(s.path, sizeof s.path, "catalogue.models[%zu]", i);
    if (only(&s, v, mkeys) || name(&s, v, "id", &m.self))
      return 1;
    if (num(&s, v, "weightsMb", 1, 1e9, NAN, true, &n))
      return 1;
    m.weights_mb = n;
    if (num(&s, v, "startLoadMs", 1, 3.6e6, 0, false, &m.start_ms))
      return 1;
    if (config_model(config, m.self.text))
      return bad(&s, E_NAME, "id", "stands twice");
    g_array_append_val(config->models, m);
    g_hash_table_insert(config->model_at, g_strdup(m.self.text),
                        GUINT_TO_POINTER(config->models->len));
  }
  g_strlcpy(s.path, "catalogue", sizeof s.path);
  if (list(&s, value, "adapters", 40000, &l))
    return 1;
  for (size_t i = 0; i < json_count(l); i++) {
    const json *v = json_at(l, i);
    adapter a = { 0 };
    g_snprintf(s.path, sizeof s.path, "catalogue.adapters[%zu]", i);
    if (only(&s, v, akeys) || name(&s, v, "id", &a.self) || name(&s, v, "model", &a.model))
      return 1;
    if (num(&s, v, "weightsMb", 0, 1e9, 0, true, &n))
      return 1;
    a.weights_mb = n;
    if (num(&s, v, "slots", 1, 1000, 1, true, &n))
      return 1;
    a.slots = n;
    if (!config_model(config, a.model.text))
      return bad(&s, E_NAME, "model", "no such model in this catalogue");
    if (config_adapter(config, a.self.text))
      return bad(&s, E_NAME, "id", "stands twice");
    g_array_append_val(config->adapters, a);
    g_hash_table_insert(config->adapter_at, g_strdup(a.self.text),
                        GUINT_TO_POINTER(config->adapters->len));
  }
  g_strlcpy(s.path, "catalogue", sizeof s.path);
  if (list(&s, value, "areas", 1000, &l))
    return 1;
  for (size_t i = 0; i < json_count(l); i++) {
    const json *v = json_at(l, i);
    if (v->kind != J_STR || !id_is_valid(string_view_of_gstring(v->text)))
      return bad(&s, E_NAME, "areas", "holds what is not a name");
    id a = id_of(string_view_of_gstring(v->text));
    g_array_append_val(config->areas, a);
  }
  return OK;
}

static int one_rule(config *config, spot *s, const json *v) {
  static const char *const rkeys[] = { "when", "then", NULL };
  static const char *const wkeys[] = { "kind", "model", "adapter", NULL };
  static const char *const skeys[] = { "op", "ms", "status", NULL };
  rule *r = &config->rules[config->rule_count];
  memset(r, 0, sizeof *r);
  g_strlcpy(r->kind, "*", 48);
  g_strlcpy(r->model, "*", 48);
  g_strlcpy(r->adapter, "*", 48);
  if (only(s, v, rkeys))
    return 1;
  const json *w = json_get(v, "when"), *t = json_get(v, "then");
  if (w) {
    if (only(s, w, wkeys))
      return 1;
    struct {
      const char *k;
      char *to;
    } f[] = { { "kind", r->kind }, { "model", r->model }, { "adapter", r->adapter } };
    for (int i = 0; i < 3; i++) {
      const json *x = json_get(w, f[i].k);
      if (!x)
        continue;
      if (x->kind != J_STR || !x->text->len || x->text->len > 47)
        return bad(s, E_TYPE, f[i].k, "not a name or pattern");
      g_strlcpy(f[i].to, x->text->str, 48);
    }
    if (!strpbrk(r->kind, "*?") && !config_kind(config, r->kind))
      return bad(s, E_NAME, "when.kind", "no such kind");
    if (!strpbrk(r->model, "*?") && !config_model(config, r->model))
      return bad(s, E_NAME, "when.model", "no such model");
    if (!strpbrk(r->adapter, "*?") && !config_adapter(config, r->adapter))
      return bad(s, E_NAME, "when.adapter", "no such adapter");
  }
  if (!t || t->kind != J_ARR || !json_count(t) || json_count(t) > STEPS_MOST)
    return bad(s, E_TYPE, "then", "not a list of 1 to 12 steps");
  int last = -1;
  for (size_t i = 0; i < json_count(t); i++) {
    const json *x = json_at(t, i);
    const char *op = x->kind == J_STR ? x->text->str : json_text(x, "op", "");
    int k = -1;
    for (size_t o = 0; o < G_N_ELEMENTS(op_name); o++)
      if (!strcmp(op, op_name[o]))
        k = o;
    if (k < 0)
      return bad(s, E_NAME, "then",
                 "holds a step that is not enrol, select, hold, proxy, answer or refuse");
    double n = 0;
    if (x->kind == J_OBJ) {
      if (only(s, x, skeys))
        return 1;
      if (k == OP_HOLD && num(s, x, "ms", 1, 3.6e6, 0, true, &n))
        return 1;
      if (k == OP_REFUSE && num(s, x, "status", 400, 599, 403, true, &n))
        return 1;
    }
    if (k <= last || (k == OP_REFUSE && i) || last == OP_REFUSE)
      return bad(s, E_RANGE, "then",
                 "steps are out of order: enrol, select, hold, proxy, answer; refuse stands alone");
    if (k == OP_REFUSE && !n)
      n = 403;
    last = k;
    r->steps[r->count++] = (step){ k, n };
  }
  if (r->steps[0].op != OP_REFUSE) {
    unsigned has = 0;
    for (int i = 0; i < r->count; i++)
      has |= 1u << r->steps[i].op;
    unsigned need = 1u << OP_ENROL | 1u << OP_SELECT | 1u << OP_PROXY | 1u << OP_ANSWER;
    if ((has & need) != need)
      return bad(s, E_FIELD, "then", "enrol, select, proxy and answer are needed");
  }
  config->rule_count++;
  return OK;
}

static int policy(config *config, const json *value, error *err) {
  static const char *const keys[] = {
    "eviction",   "loadsPerS",   "startLoadMs", "smooth", "lambdaWindowS", "retryShare", "lineMost",
    "slowStartS", "streamsMost", "kinds",       "rules",  "utilities",     NULL
  };
  static const char *const ukeys[] = { "id", "worth", NULL };
  static const char *const kkeys[] = { "id", "weight", "deadlineMs", "share", NULL };
  spot s = { err, "policy" };
  const json *l;
  double n;
  if (only(&s, value, keys))
    return 1;
  if (list(&s, value, "utilities", OWN_MOST, &l))
    return 1;
  for (size_t i = 0; i < json_count(l); i++) {
    const json *x = json_at(l, i);
    formula *formula = &config->own[config->own_count];
    g_snprintf(s.path, sizeof s.path, "policy.utilities[%zu]", i);
    if (only(&s, x, ukeys) || name(&s, x, "id", &formula->self))
      return 1;
    for (size_t k = 0; k < G_N_ELEMENTS(evictions); k++)
      if (!strcmp(formula->self.text, evictions[k]))
        return bad(&s, E_NAME, "id", "is built in");
    if (config_formula(config, formula->self.text))
      return bad(&s, E_NAME, "id", "stands twice");
    error why = { 0 };
    int r = formula_make(formula, json_text(x, "worth", ""), &why);
    if (r)
      return bad(&s, r, "worth", why.text);
    config->own_count++;
  }
  g_strlcpy(s.path, "policy", sizeof s.path);
  const json *v = json_get(value, "eviction");
  if (v) {
    bool ok = v->kind == J_STR && config_formula(config, v->text->str);
    for (size_t i = 0; i < G_N_ELEMENTS(evictions); i++)
      ok |= v->kind == J_STR && !strcmp(v->text->str, evictions[i]);
    if (!ok)
      return bad(&s, E_NAME, "eviction",
                 "not cremebrulee, popularity, lru, random, or one of utilities");
    g_strlcpy(config->eviction, v->text->str, sizeof config->eviction);
  }
  if (num(&s, value, "loadsPerS", 0.01, 1000, config->loads_per_s, false, &config->loads_per_s))
    return 1;
  if (num(&s, value, "startLoadMs", 1, 3.6e6, config->start_load_ms, false, &config->start_load_ms))
    return 1;
  if (num(&s, value, "smooth", 0.01, 1, config->smooth, false, &config->smooth))
    return 1;
  if (num(&s, value, "retryShare", 0, 0.5, config->retry_share, false, &config->retry_share))
    return 1;
  if (num(&s, value, "lambdaWindowS", 10, 86400, config->window_s, true, &n))
    return 1;
  config->window_s = n;
  if (num(&s, value, "slowStartS", 0, 600, config->slow_start_s, true, &n))
    return 1;
  config->slow_start_s = n;
  if (num(&s, value, "lineMost", 1, 100000, config->line_most, true, &n))
    return 1;
  config->line_most = n;
  if (num(&s, value, "streamsMost", 1, 10000, config->streams_most, true, &n))
    return 1;
  config->streams_most = n;
  if (list(&s, value, "kinds", KINDS_MOST, &l))
    return 1;
  if (l)
    config->kind_count = 0;
  double share = 0;
  for (size_t i = 0; i < json_count(l); i++) {
    const json *x = json_at(l, i);
    kind k = { 0 };
    g_snprintf(s.path, sizeof s.path, "policy.kinds[%zu]", i);
    if (only(&s, x, kkeys) || name(&s, x, "id", &k.self))
      return 1;
    if (num(&s, x, "weight", 1, 1000, 1, true, &n))
      return 1;
    k.weight = n;
    if (num(&s, x, "deadlineMs", 100, 3.6e6, 30000, true, &n))
      return 1;
    k.deadline_ms = n;
    if (num(&s, x, "share", 0.001, 1, NAN, false, &k.share))
      return 1;
    if (config_kind(config, k.self.text))
      return bad(&s, E_NAME, "id", "stands twice");
    share += k.share;
    config->kinds[config->kind_count++] = k;
  }
  g_strlcpy(s.path, "policy", sizeof s.path);
  if (l && (!config->kind_count || share > 1.0001))
    return bad(&s, E_RANGE, "kinds", "none, or the shares add up to more than 1");
  if (list(&s, value, "rules", RULES_MOST, &l))
    return 1;
  if (l)
    config->rule_count = 0;
  for (size_t i = 0; i < json_count(l); i++) {
    g_snprintf(s.path, sizeof s.path, "policy.rules[%zu]", i);
    if (one_rule(config, &s, json_at(l, i)))
      return 1;
  }
  return OK;
}

static int evacuation(config *config, const json *value, error *err) {
  static const char *const keys[] = { "areas", NULL };
  static const char *const akeys[] = { "area", "share", NULL };
  spot s = { err, "evacuation" };
  const json *l;
  if (only(&s, value, keys) || list(&s, value, "areas", 1000, &l))
    return 1;
  for (size_t i = 0; i < json_count(l); i++) {
    const json *v = json_at(l, i);
    empty m = { 0 };
    g_snprintf(s.path, sizeof s.path, "evacuation.areas[%zu]", i);
    if (only(&s, v, akeys) || name(&s, v, "area", &m.area))
      return 1;
    if (num(&s, v, "share", 0, 1, 1, false, &m.share))
      return 1;
    bool ok = false;
    for (guint k = 0; k < config->areas->len; k++)
      ok |= id_equal(g_array_index(config->areas, id, k), m.area);
    if (!ok)
      return bad(&s, E_NAME, "area", "the catalogue lists no such area");
    g_array_append_val(config->empties, m);
  }
  return OK;
}

config *config_make(const json *res[RES_COUNT], error *err) {
  config *c = g_new0(config, 1);
  c->models = g_array_new(FALSE, TRUE, sizeof(model));
  c->adapters = g_array_new(FALSE, TRUE, sizeof(adapter));
  c->areas = g_array_new(FALSE, TRUE, sizeof(id));
  c->empties = g_array_new(FALSE, TRUE, sizeof(empty));
  c->model_at = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  c->adapter_at = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  g_strlcpy(c->eviction, "cremebrulee", sizeof c->eviction);
  c->loads_per_s = 2;
  c->start_load_ms = 4000;
  c->smooth = 0.3;
  c->retry_share = 0.1;
  c->window_s = 600;
  c->slow_start_s = 10;
  c->line_most = 200;
  c->streams_most = 16;
  c->kinds[0] = (kind){ { "live" }, 4, 20000, 0.6 };
  c->kinds[1] = (kind){ { "short" }, 4, 8000, 0.25 };
  c->kinds[2] = (kind){ { "deferred" }, 8, 60000, 0.15 };
  c->kind_count = 3;
  c->rules[0] = (rule){
    "*",
    "*",
    "*",
    { { OP_ENROL, 0 }, { OP_SELECT, 0 }, { OP_HOLD, 0 }, { OP_PROXY, 0 }, { OP_ANSWER, 0 } },
    5
  };
  c->rule_count = 1;
  if ((res[RES_CATALOGUE] && catalogue(c, res[RES_CATALOGUE], err)) ||
      (res[RES_POLICY] && policy(c, res[RES_POLICY], err)) ||
      (res[RES_EVACUATION] && evacuation(c, res[RES_EVACUATION], err)) ||
      canary_make(&c->canary, res[RES_CANARY], err)) {
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
  g_array_free(config->areas, TRUE);
  g_array_free(config->empties, TRUE);
  g_hash_table_destroy(config->model_at);
  g_hash_table_destroy(config->adapter_at);
  g_free(config);
}

const model *config_model(const config *config, const char *name) {
  guint i = GPOINTER_TO_UINT(g_hash_table_lookup(config->model_at, name));
  return i ? &g_array_index(config->models, model, i - 1) : NULL;
}

const adapter *config_adapter(const config *config, const char *name) {
  guint i = GPOINTER_TO_UINT(g_hash_table_lookup(config->adapter_at, name));
  return i ? &g_array_index(config->adapters, adapter, i - 1) : NULL;
}

const formula *config_formula(const config *config, const char *name) {
  for (int i = 0; i < config->own_count; i++)
    if (!strcmp(config->own[i].self.text, name))
      return &config->own[i];
  return NULL;
}

const kind *config_kind(const config *config, const char *name) {
  for (int i = 0; i < config->kind_count; i++)
    if (!strcmp(config->kinds[i].self.text, name))
      return &config->kinds[i];
  return NULL;
}

const rule *config_rule(const config *config, const char *kind, const char *model,
                        const char *adapter) {
  for (int i = 0; i < config->rule_count; i++) {
    const rule *r = &config->rules[i];
    if (g_pattern_match_simple(r->kind, kind) && g_pattern_match_simple(r->model, model) &&
        g_pattern_match_simple(r->adapter, adapter))
      return r;
  }
  return NULL;
}

bool config_empties(const config *config, id engine, id area) {
  for (guint i = 0; i < config->empties->len; i++) {
    empty *m = &g_array_index(config->empties, empty, i);
    if (!id_equal(m->area, area))
      continue;
    return m->share >= 1 ||
           (double)(hash_of_two("empty", engine.text) >> 11) / (double)(1ull << 53) < m->share;
  }
  return false;
}

bool config_empties_all(const config *config, id area) {
  for (guint i = 0; i < config->empties->len; i++)
    if (id_equal(g_array_index(config->empties, empty, i).area, area) &&
        g_array_index(config->empties, empty, i).share >= 1)
      return true;
  return false;
}
