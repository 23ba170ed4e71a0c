#include "day.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

const char *const day_what_name[DAY_WHATS] = {
  "engine-crash",  "engine-dark",    "engine-grey",     "engine-leave",   "gateway-kill",
  "gateway-drain", "gateway-freeze", "controller-kill", "controller-cut", "controller-wipe",
  "config-change", "config-race",    "config-bad",      "burst",          "model-shift"
};
static const double usual_s[DAY_WHATS] = {
  3, 10, 10, 10, 2, GRACE_S + 2, 4, 4, 4, 4, 0, 0, 0, 6, 0
};
const char *const day_figure_name[DAY_FIGURES] = { "served", "inAim", "firstMs", "loads",
                                                   "secondAttempts" };

/* reading */
typedef struct spot {
  error *err;
  char path[96];
} spot;

static spot under(const spot *s, const char *form, ...) __attribute__((format(printf, 2, 3)));
static spot under(const spot *s, const char *form, ...) {
  spot n = { s->err, "" };
  char add[48];
  va_list a;
  va_start(a, form);
  vsnprintf(add, sizeof add, form, a);
  va_end(a);
  snprintf(n.path, sizeof n.path, "%.46s%s%s", s->path, s->path[0] && add[0] != '[' ? "." : "",
           add);
  return n;
}

static int bad(const spot *s, int code, const char *key, const char *why) {
  if (!s->err->code)
    error_set(s->err, code, "%s%s%s: %s", s->path, s->path[0] && key[0] ? "." : "", key, why);
  return code;
}

static int only(const spot *s, const json *json, const char *const *keys) {
  if (!json || json->kind != JSON_OBJECT)
    return bad(s, E_TYPE, "", "an object is needed");
  for (size_t i = 0; i < json_count(json); i++) {
    const char *const *k = keys;
    while (*k && strcmp(*k, json_key(json, i)))
      k++;
    if (!*k)
      return bad(s, E_FIELD, json_key(json, i), "unknown field");
  }
  return OK;
}

/* fall below 0 (NAN): the field is needed */
static double num(const spot *s, const json *value, const char *key, double low, double high,
                  double fall) {
  const json *x = json_get(value, key);
  if (!x) {
    if (isnan(fall))
      bad(s, E_FIELD, key, "is missing");
    return isnan(fall) ? low : fall;
  }
  if (x->kind != JSON_NUMBER) {
    bad(s, E_TYPE, key, "a number is needed");
    return low;
  }
  if (!(x->number >= low && x->number <= high)) {
    char why[80];
    snprintf(why, sizeof why, "not from %g to %g", low, high);
    bad(s, E_RANGE, key, why);
    return low;
  }
  return x->number;
}

static bool yes(const spot *s, const json *value, const char *key) {
  const json *x = json_get(value, key);
  if (x && x->kind != JSON_BOOL)
    bad(s, E_TYPE, key, "true or false is needed");
  return x && x->kind == JSON_BOOL && x->boolean;
}

static const char *text(const spot *s, const json *value, const char *key, size_t most) {
  const json *x = json_get(value, key);
  if (!x) {
    bad(s, E_FIELD, key, "is missing");
    return "";
  }
  if (x->kind != JSON_STRING) {
    bad(s, E_TYPE, key, "a text is needed");
    return "";
  }
  if (!x->text->len || x->text->len >= most) {
    bad(s, E_RANGE, key, "too long, or empty");
    return "";
  }
  return x->text->str;
}

static id name(const spot *s, const json *json, const char *key) {
  const char *t = text(s, json, key, sizeof(id));
  if (!s->err->code && !id_is_valid(string_view_of(t)))
    bad(s, E_NAME, key, "not a name");
  return id_of_text(s->err->code ? "" : t);
}

static const json *list(const spot *s, const json *value, const char *key, size_t least,
                        size_t most) {
  const json *x = json_get(value, key);
  if (!x) {
    if (least)
      bad(s, E_FIELD, key, "is missing");
    return NULL;
  }
  if (x->kind != JSON_ARRAY) {
    bad(s, E_TYPE, key, "a list is needed");
    return NULL;
  }
  if (json_count(x) < least || json_count(x) > most) {
    bad(s, E_RANGE, key, "too many, or too few");
    return NULL;
  }
  return x;
}

static void read_models(const spot *s, const json *value, day_service *v) {
  static const char *const keys[] = { "name", "weightsMb", "loadS", "adapters", "adapterMb", NULL };
  const json *l = list(s, value, "models", 0, DAY_MODELS);
  v->models = g_new0(em_model, json_count(l) + 1);
  for (size_t i = 0; i < json_count(l) && !s->err->code; i++) {
    spot at = under(s, "models[%zu]", i);
    const json *x = json_at(l, i);
    em_model *m = &v->models[v->model_count];
    if (only(&at, x, keys))
      return;
    m->name = name(&at, x, "name");
    m->megs = num(&at, x, "weightsMb", 1, 1e7, NAN);
    m->load_ms = 1000 * num(&at, x, "loadS", 0.01, 600, NAN);
    m->adapters = (unsigned)num(&at, x, "adapters", 0, 64, 0);
    m->adapter_mb = num(&at, x, "adapterMb", 1, 1e5, 40);
    if (!s->err->code && m->megs > v->weights_mb)
      bad(&at, E_NO_ENGINE_FITS, "weightsMb", "fits no engine of this service");
    for (size_t k = 0; k < v->model_count; k++)
      if (id_equal(v->models[k].name, m->name))
        bad(&at, E_NAME, "name", "stands twice");
    v->model_count++;
  }
}

static void read_services(const spot *s, const json *value, day *day) {
  static const char *const keys[] = { "name",         "engines",  "slots",     "queue",
                                      "adapterSlots", "kvTokens", "weightsMb", "loadsPerS",
                                      "workMs",       "models",   NULL };
  const json *l = list(s, value, "services", 1, DAY_SERVICES);
  unsigned engines = 0;
  for (size_t i = 0; i < json_count(l) && !s->err->code; i++) {
    spot at = under(s, "services[%zu]", i);
    const json *x = json_at(l, i);
    day_service *v = &day->services[day->service_count];
    if (only(&at, x, keys))
      return;
    v->name = name(&at, x, "name");
    for (size_t k = 0; k < day->service_count; k++)
      if (id_equal(day->services[k].name, v->name))
        bad(&at, E_NAME, "name", "stands twice");
    day->service_count++;
    v->engines = (unsigned)num(&at, x, "engines", 1, DEPLOYMENT_ENGINES, NAN);
    v->slots = (unsigned)num(&at, x, "slots", 1, 1024, 8);
    v->queue = (unsigned)num(&at, x, "queue", 0, 1024, 6);
    v->adapter_slots = (unsigned)num(&at, x, "adapterSlots", 0, 64, 4);
    v->kv_tokens = num(&at, x, "kvTokens", 1000, 1e8, 60000);
    v->weights_mb = num(&at, x, "weightsMb", 1, 1e7, 80000);
    v->loads_per_s = num(&at, x, "loadsPerS", 0.01, 100, 2);
    v->work_ms = num(&at, x, "workMs", 0, 60000, 30);
    read_models(&at, x, v);
    engines += v->engines;
  }
  if (engines > DEPLOYMENT_ENGINES)
    bad(s, E_RANGE, "services", "too many engines");
}

static const day_service *service_at(const day *day, id n) {
  for (size_t i = 0; i < day->service_count; i++)
    if (id_equal(day->services[i].name, n))
      return &day->services[i];
  return NULL;
}

static bool has_model(const day_service *v, const char *what) {
  const char *slash = strchr(what, '/');
  size_t n = slash ? (size_t)(slash - what) : strlen(what);
  for (size_t i = 0; i < v->model_count; i++) {
    if (strlen(v->models[i].name.text) != n || strncmp(v->models[i].name.text, what, n))
      continue;
    if (!slash)
      return true;
    char *end;
    unsigned long a = slash[1] == 'a' ? strtoul(slash + 2, &end, 10) : 0;
    return a >= 1 && !*end && a <= v->models[i].adapters;
  }
  return false;
}

static void read_kinds(const spot *s, const json *value, day *day) {
  static const char *const keys[] = { "name",        "host",         "prefix",    "service",
                                      "mode",        "perS",         "timeoutMs", "targetMs",
                                      "gapTargetMs", "attempts",     "moreTries", "priority",
                                      "resumable",   "affinity",     "fresh",     "bytes",
                                      "tokensIn",    "tokensShared", "tokensOut", "eventTokens",
                                      "zipf",        "models",       NULL };
  static const char *const modes[] = { "once", "safe", "stream" };
  const json *l = list(s, value, "kinds", 1, DAY_KINDS);
  for (size_t i = 0; i < json_count(l) && !s->err->code; i++) {
    spot at = under(s, "kinds[%zu]", i);
    const json *x = json_at(l, i);
    day_kind *k = &day->kinds[day->kind_count++];
    if (only(&at, x, keys))
      return;
    g_strlcpy(k->kind.name, name(&at, x, "name").text, sizeof k->kind.name);
    g_strlcpy(k->kind.host, text(&at, x, "host", sizeof k->kind.host), sizeof k->kind.host);
    g_strlcpy(k->kind.path, text(&at, x, "prefix", sizeof k->kind.path), sizeof k->kind.path);
    size_t n = strlen(k->kind.path);
    if (!s->err->code && (k->kind.path[0] != '/' || k->kind.path[n - 1] != '/'))
      bad(&at, E_ROUTE_PREFIX, "prefix", "it begins and ends with a slash");
    k->service = name(&at, x, "service");
    const day_service *v = service_at(day, k->service);
    if (!s->err->code && !v)
      bad(&at, E_UNKNOWN_SERVICE, "service", "there is no such service");
    const char *mode = text(&at, x, "mode", 16);
    int m = 0;
    while (m < 3 && strcmp(modes[m], mode))
      m++;
    if (!s->err->code && m == 3)
      bad(&at, E_ROUTE_MODE, "mode", "not once, safe or stream");
    k->kind.mode = (enum em_mode)(m % 3);
    k->kind.per_s = num(&at, x, "perS", 0, 1000, NAN);
    k->kind.deadline_ms = (int64_t)num(&at, x, "timeoutMs", 1, 600000, NAN);
    k->kind.target_ms = (int64_t)num(&at, x, "targetMs", 1, 600000, NAN);
    k->kind.gap_ms = (int64_t)num(&at, x, "gapTargetMs", 0, 60000, 0);
    k->attempts = (unsigned)num(&at, x, "attempts", 1, 10, 2);
    k->kind.more_tries = (unsigned)num(&at, x, "moreTries", 0, 10, 1);
    k->kind.priority = (unsigned)num(&at, x, "priority", 0, 9, 0);
    k->kind.resumable = yes(&at, x, "resumable");
    k->affinity = yes(&at, x, "affinity");
    k->kind.fresh = yes(&at, x, "fresh");
    k->kind.bytes = (unsigned)num(&at, x, "bytes", 0, 1 << 20, 400);
    k->kind.tokens_in = num(&at, x, "tokensIn", 0, 1e6, 0);
    k->kind.tokens_shared = num(&at, x, "tokensShared", 0, 1e6, 0);
    k->kind.tokens_out = (unsigned)num(&at, x, "tokensOut", 0, 1e5, 0);
    k->kind.event_tokens = (unsigned)num(&at, x, "eventTokens", 1, 1000, 2);
    k->kind.zipf = num(&at, x, "zipf", 0, 4, 1);
    const json *w = list(&at, x, "models", 0, 4 * DAY_MODELS);
    k->models = g_ptr_array_new_with_free_func(g_free);
    for (size_t q = 0; q < json_count(w) && !s->err->code; q++) {
      const json *y = json_at(w, q);
      if (y->kind != JSON_STRING)
        bad(&at, E_TYPE, "models", "names are needed");
      else if (v && !has_model(v, y->text->str))
        bad(&at, E_UNKNOWN_MODEL, "models", "the service has no such model or adapter");
      else
        g_ptr_array_add(k->models, g_strdup(y->text->str));
    }
    if (!w && v)
      for (size_t q = 0; q < v->model_count; q++)
        g_ptr_array_add(k->models, g_strdup(v->models[q].name.text));
    if (!s->err->code && v && v->model_count && k->kind.mode == EM_STREAM && !k->kind.tokens_out)
      bad(&at, E_FIELD, "tokensOut", "a stream of a model needs it");
    for (size_t q = 0; q + 1 < day->kind_count; q++) {
      if (!strcmp(day->kinds[q].kind.name, k->kind.name))
        bad(&at, E_DUPLICATE_NAME, "name", "stands twice");
      if (!strcmp(day->kinds[q].kind.host, k->kind.host) &&
          !strcmp(day->kinds[q].kind.path, k->kind.path))
        bad(&at, E_DUPLICATE_ROUTE, "prefix", "two kinds have one host and prefix");
    }
  }
}

static int what_of(const char *n) {
  for (int i = 0; i < DAY_WHATS; i++)
    if (!strcmp(day_what_name[i], n))
      return i;
  return -1;
}

static int trouble_put(day *day, const spot *s, day_trouble t) {
  if (day->trouble_count == DAY_TROUBLES)
    return bad(s, E_RANGE, "", "too many troubles");
  if (t.for_s <= 0)
    t.for_s = usual_s[t.what];
  size_t i = day->trouble_count++;
  while (i && day->troubles[i - 1].at_s > t.at_s) {
    day->troubles[i] = day->troubles[i - 1];
    i--;
  }
  day->troubles[i] = t;
  return OK;
}

static void read_troubles(const spot *s, const json *value, day *day) {
  static const char *const keys[] = { "what", "atS", "forS", "factor", "which", NULL };
  const json *l = list(s, value, "troubles", 0, DAY_TROUBLES);
  for (size_t i = 0; i < json_count(l) && !s->err->code; i++) {
    spot at = under(s, "troubles[%zu]", i);
    const json *x = json_at(l, i);
    if (only(&at, x, keys))
      return;
    int what = what_of(text(&at, x, "what", 32));
    if (!s->err->code && what < 0)
      bad(&at, E_NAME, "what", "there is no such trouble");
    day_trouble t = { (enum day_what)MAX(what, 0), num(&at, x, "atS", 0, day->seconds, NAN),
                      num(&at, x, "forS", 0, 600, 0), num(&at, x, "factor", 0.01, 100, 5),
                      (unsigned)num(&at, x, "which", 0, 100, 0) };
    if (!s->err->code)
      trouble_put(day, &at, t);
  }
}

int day_trouble_add(day *day, const char *flag, error *err) {
  spot s = { err, "trouble" };
  char **part = g_strsplit(flag, ",", -1);
  char *at = part[0] ? strchr(part[0], '@') : NULL, *end = NULL;
  day_trouble t = { .factor = 5 };
  int r = OK;
  if (!at)
    r = bad(&s, E_FIELD, "", "WHAT@SECONDS is needed");
  else {
    *at = 0;
    int what = what_of(part[0]);
    if (what < 0)
      r = bad(&s, E_NAME, part[0], "there is no such trouble");
    else
      t.what = (enum day_what)what;
    t.at_s = g_ascii_strtod(at + 1, &end);
    if (!r && end == at + 1)
      r = bad(&s, E_TYPE, "", "a number of seconds is needed");
    if (!r && *end == ':')
      t.for_s = g_ascii_strtod(end + 1, &end);
    if (!r && *end)
      r = bad(&s, E_TYPE, "", "a number of seconds is needed");
    if (!r && !(t.at_s >= 0 && t.at_s <= day->seconds && t.for_s >= 0 && t.for_s <= 600))
      r = bad(&s, E_RANGE, "", "not within the day");
  }
  for (char **p = part + 1; !r && part[0] && *p; p++) {
    if (g_str_has_prefix(*p, "factor="))
      t.factor = g_ascii_strtod(*p + 7, NULL);
    else if (g_str_has_prefix(*p, "which="))
      t.which = (unsigned)strtoul(*p + 6, NULL, 10);
    else
      r = bad(&s, E_FIELD, *p, "unknown");
    if (!r && !(t.factor >= 0.01 && t.factor <= 100 && t.which <= 100))
      r = bad(&s, E_RANGE, *p, "out of range");
  }
  g_strfreev(part);
  return r ? r : trouble_put(day, &s, t);
}

static int policy_fits(const json *p, error *err) {
  const json *res[RESOURCE_COUNT] = { [RESOURCE_POLICY] = p };
  config *config = config_compile(res, err);
  if (!config)
    return err->code;
  config_free(config);
  return OK;
}

int day_evict(day *day, const char *policy, error *err) {
  json *p = json_parse(string_view_of(day->policy), err);
  GString *m = g_string_new(NULL);
  if (g_str_has_prefix(policy, "expr:")) {
    g_string_append(m, "{\"eviction\":\"own\",\"utilities\":[{\"id\":\"own\",\"worth\":");
    json_append_quoted(m, string_view_of(policy + 5));
    g_string_append(m, "}]}");
  } else {
    g_string_append(m, "{\"eviction\":");
    json_append_quoted(m, string_view_of(policy));
    g_string_append(m, "}");
  }
  json *patch = json_parse(string_view_of_gstring(m), err);
  p = json_merge(p, patch);
  json_free(patch);
  int r = policy_fits(p, err);
  if (!r) {
    g_string_truncate(m, 0);
    json_write(p, m);
    g_free(day->policy);
    day->policy = g_strdup(m->str);
  }
  json_free(p);
  g_string_free(m, TRUE);
  return r;
}

day *day_read(string_view t, error *err) {
  static const char *const keys[] = { "name",     "seconds",  "rate",   "controllers",
                                      "gateways", "areas",    "policy", "services",
                                      "kinds",    "troubles", NULL };
  error own = { 0 };
  if (!err)
    err = &own;
  err->code = 0;
  json *value = json_parse(t, err);
  if (!value)
    return NULL;
  day *d = g_new0(day, 1);
  spot s = { err, "" };
  if (!only(&s, value, keys)) {
    g_strlcpy(d->name, name(&s, value, "name").text, sizeof d->name);
    d->seconds = num(&s, value, "seconds", 2, DAY_STEPS * DAY_STEP_MS / 1000 - 200, NAN);
    d->rate = num(&s, value, "rate", 0.01, 100, 1);
    d->controllers = (int)num(&s, value, "controllers", 3, 5, 3);
    d->gateways = (int)num(&s, value, "gateways", 1, 60, NAN);
    const json *l = list(&s, value, "areas", 1, 3);
    for (size_t i = 0; i < json_count(l) && !err->code; i++) {
      const json *x = json_at(l, i);
      if (x->kind != JSON_STRING || !id_is_valid(string_view_of_gstring(x->text)))
        bad(&s, E_NAME, "areas", "not a name");
      else
        d->areas[d->area_count++] = id_of_text(x->text->str);
    }
    const json *p = json_get(value, "policy");
    GString *b = g_string_new(NULL);
    if (p)
      json_write(p, b);
    else
      g_string_append(b, "{}");
    d->policy = g_string_free(b, FALSE);
    if (!err->code && p)
      policy_fits(p, err);
    if (!err->code)
      read_services(&s, value, d);
    if (!err->code)
      read_kinds(&s, value, d);
    if (!err->code)
      read_troubles(&s, value, d);
  }
  json_free(value);
  if (!err->code)
    return d;
  day_free(d);
  return NULL;
}

void day_free(day *day) {
  if (!day)
    return;
  for (size_t i = 0; i < day->service_count; i++)
    g_free(day->services[i].models);
  for (size_t i = 0; i < day->kind_count; i++)
    if (day->kinds[i].models)
      g_ptr_array_free(day->kinds[i].models, TRUE);
  g_free(day->policy);
  g_free(day);
}

/* playing */
typedef struct due {
  double at_s;
  const day_trouble *trouble;
  bool over;
  host *host;
  unit *unit;
} due;
typedef struct run {
  const day *day;
  deployment *deployment;
  fleet *fleet;
  GArray *due;
  uint64_t version;
} run;

static void callers(deployment *deployment) {
  const run *run = deployment->ctx;
  deployment->client->area_count = (unsigned)MIN(run->day->area_count, run->day->gateways);
  for (size_t i = 0; i < run->day->kind_count; i++) {
    em_kind k = run->day->kinds[i].kind;
    const GPtrArray *m = run->day->kinds[i].models;
    /* the names stay the day's */
    if (m->len)
      k.models = g_ptr_array_new();
    for (guint n = 0; n < m->len; n++)
      g_ptr_array_add(k.models, m->pdata[n]);
    em_client_kind(deployment->client, k);
  }
}

static void route_text(const day_kind *k, unsigned attempts, GString *b) {
  static const char *const modes[] = { "once", "safe", "stream" };
  json_appendf(b, "{\"name\":\"%s\",\"host\":", k->kind.name);
  json_append_quoted(b, string_view_of(k->kind.host));
  g_string_append(b, ",\"prefix\":");
  json_append_quoted(b, string_view_of(k->kind.path));
  json_appendf(b,
               ",\"mode\":\"%s\",\"timeoutMs\":%" PRId64 ",\"targetMs\":%" PRId64
               ",\"priority\":%u,\"service\":\"%s\",\"attempts\":%u",
               modes[k->kind.mode], k->kind.deadline_ms, k->kind.target_ms, k->kind.priority,
               k->service.text, attempts);
  if (k->kind.mode == EM_STREAM)
    json_appendf(b, ",\"affinity\":%s,\"resumable\":%s,\"gapTargetMs\":%" PRId64,
                 k->affinity ? "true" : "false", k->kind.resumable ? "true" : "false",
                 k->kind.gap_ms);
  g_string_append_c(b, '}');
}

static char *routing_text(deployment *deployment, uint64_t version) {
  const run *run = deployment->ctx;
  GString *b = g_string_new(NULL);
  json_appendf(b, "{\"version\":%" PRIu64 ",\"routes\":[", version);
  for (size_t i = 0; i < run->day->kind_count; i++) {
    if (i)
      g_string_append_c(b, ',');
    route_text(&run->day->kinds[i], run->day->kinds[i].attempts, b);
  }
  g_string_append(b, "],\"services\":[");
  for (size_t i = 0; i < run->day->service_count; i++) {
    const day_service *v = &run->day->services[i];
    json_appendf(
        b,
        "%s{\"name\":\"%s\",\"health\":\"/health\",\"connectionsMost\":200,\"protocol\":\"h1\",\"tls\":false",
        i ? "," : "", v->name.text);
    if (v->model_count) {
      json_appendf(
          b,
          ",\"engine\":{\"slots\":%u,\"kvTokens\":%.0f,\"kvTokenBytes\":131072,\"stride\":2,\"weightsMb\":%g,\"adapterSlots\":%u,\"loadsPerS\":%g,\"models\":[",
          v->slots, v->kv_tokens, v->weights_mb, v->adapter_slots, v->loads_per_s);
      for (size_t k = 0; k < v->model_count; k++)
        json_appendf(
            b, "%s{\"name\":\"%s\",\"weightsMb\":%g,\"loadS\":%g,\"adapters\":%u,\"adapterMb\":%g}",
            k ? "," : "", v->models[k].name.text, v->models[k].megs, v->models[k].load_ms / 1000,
            v->models[k].adapters, v->models[k].adapter_mb);
      g_string_append(b, "]}");
    }
    g_string_append_c(b, '}');
  }
  g_string_append(
      b,
      "],\"limits\":{\"headerBytes\":16384,\"bodyBytes\":4194304,\"headerMs\":3000,\"idleMs\":15000}}");
  return g_string_free(b, FALSE);
}

/* models in the order of what the kinds ask for, the busiest first */
static GPtrArray *busiest(const day *day, const day_service *v) {
  GPtrArray *all = g_ptr_array_new();
  for (guint at = 0, more = 1; more; at++) {
    more = 0;
    for (size_t i = 0; i < day->kind_count; i++) {
      const GPtrArray *m = day->kinds[i].models;
      if (!id_equal(day->kinds[i].service, v->name) || at >= m->len)
        continue;
      more = 1;
      const char *what = m->pdata[at], *slash = strchr(what, '/');
      size_t n = slash ? (size_t)(slash - what) : strlen(what);
      for (size_t k = 0; k < v->model_count; k++)
        if (strlen(v->models[k].name.text) == n && !strncmp(v->models[k].name.text, what, n) &&
            !g_ptr_array_find(all, v->models[k].name.text, NULL))
          g_ptr_array_add(all, v->models[k].name.text);
    }
  }
  return all;
}

static void engines_add(run *run) {
  const day *day = run->day;
  deployment *deployment = run->deployment;
  for (size_t i = 0; i < day->service_count; i++) {
    const day_service *v = &day->services[i];
    GPtrArray *order = busiest(day, v);
    guint next = 0;
    for (unsigned n = 0; n < v->engines; n++) {
      em_plan p = { .service = v->name,
                    .version = id_of_text("v1"),
                    .port = 9000,
                    .slots = v->slots,
                    .queue = v->queue,
                    .channels = 200,
                    .beat_ms = 1200,
                    .drain_ms = DRAIN_MS,
                    .work_ms = (int64_t)v->work_ms,
                    .idle_ms = 5000,
                    .step_ms = 9,
                    .per_ms = 0.2,
                    .read_per_ms = 20,
                    .event_tokens = 2,
                    .kv_tokens = v->kv_tokens,
                    .weights_mb = v->weights_mb,
                    .adapter_slots = v->adapter_slots,
                    .models = v->model_count ? v->models : NULL,
                    .model_count = v->model_count,
                    .dialect = &dialect_native,
                    .log = deployment->log,
                    .store = &deployment->store };
      GPtrArray *start = NULL;
      if (v->model_count) {
        start = g_ptr_array_new();
        double left = v->weights_mb;
        /* the day begins with the busiest, dealt out one after the other */
        for (guint k = 0; k < order->len; k++) {
          const char *m = order->pdata[(next + k) % order->len];
          double mb = 0;
          for (size_t q = 0; q < v->model_count; q++)
            if (!strcmp(v->models[q].name.text, m))
              mb = v->models[q].megs;
          if (mb > left) {
            next = (next + k) % order->len;
            break;
          }
          left -= mb;
          g_ptr_array_add(start, (char *)m);
        }
      }
      deployment_engine(deployment,
                        day->areas[deployment->sim ? (deployment->engines + deployment->plain) %
                                                         (size_t)day->area_count
                                                   : 0],
                        p, start);
      if (v->model_count)
        deployment->loads_per_s = v->loads_per_s;
    }
    g_ptr_array_free(order, TRUE);
  }
}

static void due_at(run *run, due x) {
  guint i = 0;
  while (i < run->due->len && g_array_index(run->due, due, i).at_s <= x.at_s)
    i++;
  g_array_insert_val(run->due, i, x);
}

static host *host_of(host **all, int n, unsigned which, sim *sim) {
  return all[which ? (which - 1) % (unsigned)n : sim_draw(sim, (uint64_t)n)];
}

static em_change *settled(run *run, em_change *change) {
  for (int i = 0; i < 600 && !change->done; i++)
    sim_run(run->fleet->sim, time_from_ms(50));
  if (change->acked.us && change->version > run->version)
    run->version = change->version;
  return change;
}

static void change(run *run, bool race, bool wrong) {
  deployment *deployment = run->deployment;
  uint64_t base = run->version;
  if (wrong) {
    char *t = g_strdup_printf(
        "{\"version\":%" PRIu64
        ",\"routes\":[{\"name\":\"x\",\"host\":\"x.example\",\"prefix\":\"/x/\",\"mode\":\"safe\",\"timeoutMs\":100,\"service\":\"nobody\"}],\"services\":[]}",
        base + 1);
    settled(run, em_operator_send(deployment->operator, base + 1, base, false, t, false));
    g_free(t);
    return;
  }
  em_change *k[2] = { NULL, NULL };
  for (int i = 0; i < (race ? 2 : 1); i++) {
    const day_kind *kind = &run->day->kinds[(base + (uint64_t)i) % run->day->kind_count];
    GString *b = g_string_new(NULL);
    json_appendf(b, "{\"version\":%" PRIu64 ",\"set\":{\"routes\":[", base + 1 + (uint64_t)i);
    route_text(kind, kind->attempts + 1, b);
    g_string_append(b, "]}}");
    k[i] = em_operator_send(deployment->operator, base + 1 +(uint64_t) i, base, true, b->str, true);
    g_string_free(b, TRUE);
  }
  for (int i = 0; i < 2; i++)
    if (k[i])
      settled(run, k[i]);
}

static void begin(run *run, const day_trouble *t) {
  deployment *deployment = run->deployment;
  fleet *fleet = run->fleet;
  sim *sim = fleet->sim;
  int64_t ms = (int64_t)(t->for_s * 1000);
  due x = { t->at_s + t->for_s, t, true, NULL, NULL };
  switch (t->what) {
  case DAY_ENGINE_CRASH:
  case DAY_ENGINE_DARK:
  case DAY_ENGINE_GREY:
  case DAY_ENGINE_LEAVE:
    x.unit =
        deployment->engine[t->which ? (t->which - 1) % (deployment->engines + deployment->plain)
                                    : sim_draw(sim, deployment->engines + deployment->plain)];
    x.host = x.unit->host;
    if (t->what == DAY_ENGINE_GREY)
      x.unit->plan.faults.intermittent_failures = 0.5;
    else if (!x.host->alive)
      return;
    else if (t->what == DAY_ENGINE_LEAVE) {
      if (x.unit->engine)
        em_engine_leave(x.unit->engine, 0);
    } else {
      deployment_trouble(deployment, x.host, 'e', ms);
      if (t->what == DAY_ENGINE_CRASH)
        host_kill(x.host);
      else
        host_power(x.host);
    }
    break;
  case DAY_GATEWAY_KILL:
  case DAY_GATEWAY_DRAIN:
  case DAY_GATEWAY_FREEZE:
    x.host = host_of(fleet->router, fleet->routers, t->which, sim);
    if (!x.host->alive || x.host->frozen)
      return;
    if (t->what == DAY_GATEWAY_DRAIN) {
      deployment_term(deployment, x.host->extra);
      break;
    }
    deployment_trouble(deployment, x.host, t->what == DAY_GATEWAY_KILL ? 'k' : 'f', ms);
    if (t->what == DAY_GATEWAY_KILL)
      host_kill(x.host);
    else
      host_freeze(x.host);
    break;
  case DAY_CONTROLLER_KILL:
  case DAY_CONTROLLER_CUT:
  case DAY_CONTROLLER_WIPE:
    x.host = host_of(fleet->controller, fleet->controllers, t->which, sim);
    if (!x.host->alive)
      return;
    deployment_trouble(deployment, NULL, 'k', ms);
    if (t->what == DAY_CONTROLLER_CUT) {
      sim_part(sim, x.host->self.text, NULL, true);
      break;
    }
    host_kill(x.host);
    if (t->what == DAY_CONTROLLER_WIPE)
      host_wipe(x.host);
    break;
  case DAY_CONFIG_CHANGE:
    change(run, false, false);
    return;
  case DAY_CONFIG_RACE:
    change(run, true, false);
    return;
  case DAY_CONFIG_BAD:
    change(run, false, true);
    return;
  case DAY_BURST:
    deployment->client->rate *= t->factor;
    break;
  case DAY_MODEL_SHIFT:
    /* what was rare is asked for most */
    for (guint i = 0; i < deployment->client->kinds->len; i++) {
      GPtrArray *m = ((em_kind *)deployment->client->kinds->pdata[i])->models;
      for (guint k = 0; m && k < m->len / 2; k++) {
        gpointer p = m->pdata[k];
        m->pdata[k] = m->pdata[m->len - 1 - k];
        m->pdata[m->len - 1 - k] = p;
      }
    }
    return;
  default:
    return;
  }
  due_at(run, x);
}

static void end(run *run, const due *x) {
  switch (x->trouble->what) {
  case DAY_ENGINE_GREY:
    x->unit->plan.faults.intermittent_failures = 0;
    break;
  case DAY_GATEWAY_FREEZE:
    if (x->host->alive && x->host->frozen)
      host_wake(x->host);
    break;
  case DAY_CONTROLLER_CUT:
    sim_part(run->fleet->sim, x->host->self.text, NULL, false);
    break;
  case DAY_BURST:
    run->deployment->client->rate /= x->trouble->factor;
    break;
  default:
    if (!x->host->alive)
      host_start(x->host);
  }
}

/* reckoning */
static void sum_add(day_sum *s, const em_request *a, const em_attempt *last) {
  s->sent++;
  if (a->served) {
    s->served++;
    s->in_aim += a->in_time;
    s->late += !a->in_time;
  } else if (!a->done || !last || last->how == 'o')
    s->unanswered++;
  else if (last->how == 's')
    s->refused++;
  else if (last->how == 'l')
    s->timed_out++;
  else
    s->broken++;
  if (a->served && a->first.us) {
    s->first_ms += (double)(a->first.us - a->from.us) / 1000;
    s->first_n++;
  }
}

static void reckon(run *run, time_us from, day_result *o) {
  deployment *deployment = run->deployment;
  const em_client *client = deployment->client;
  GHashTable *last = g_hash_table_new(NULL, NULL), *ran = g_hash_table_new(g_str_hash, g_str_equal);
  for (guint i = 0; i < client->tries->len; i++) {
    em_attempt *attempt = client->tries->pdata[i];
    g_hash_table_insert(last, attempt->caller_request, attempt);
  }
  o->kinds = run->day->kind_count;
  for (size_t i = 0; i < o->kinds; i++)
    g_strlcpy(o->kind[i].name, run->day->kinds[i].kind.name, sizeof o->kind[i].name);
  o->areas = (int)client->area_count;
  for (int i = 0; i < o->areas; i++)
    g_strlcpy(o->area[i].name, client->areas[i].text, sizeof o->area[i].name);
  g_strlcpy(o->all.name, "all", sizeof o->all.name);
  for (guint i = 0; i < client->requests->len; i++) {
    const em_request *a = client->requests->pdata[i];
    const em_attempt *attempt = g_hash_table_lookup(last, a);
    sum_add(&o->all, a, attempt);
    for (guint k = 0; k < client->kinds->len; k++)
      if (client->kinds->pdata[k] == a->kind)
        sum_add(&o->kind[k], a, attempt);
    sum_add(&o->area[a->user % MAX(client->area_count, 1)], a, attempt);
    int64_t at = (a->from.us - from.us) / 1000 / DAY_STEP_MS;
    if (at < 0 || at >= DAY_STEPS)
      continue;
    o->steps = MAX(o->steps, (size_t)at + 1);
    o->step[at].sent++;
    o->step[at].served += a->served;
    o->step[at].in_aim += a->in_time;
  }
  for (guint i = 0; i < deployment->log->runs->len; i++) {
    em_run *x = deployment->log->runs->pdata[i];
    if (!strchr("rdfcbt", x->how)) {
      o->not_run++;
      continue;
    }
    o->attempts++;
    if (!g_hash_table_add(ran, x->request))
      o->seconds++;
  }
  for (guint i = 0; i < deployment->log->orders->len; i++) {
    em_order *x = deployment->log->orders->pdata[i];
    o->orders++;
    if (x->status != 202)
      continue;
    o->loads += x->op == 'l';
    o->cold_loads += x->op == 'l' && x->store;
    o->unloads += x->op == 'u';
  }
  o->beats = deployment->log->beats;
  o->reports = deployment->log->reports;
  g_hash_table_destroy(last);
  g_hash_table_destroy(ran);
}

static double cpu_now(void) {
  struct timespec t;
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static bool policy_put(fleet *fleet, const char *text) {
  for (int i = 0; i < 20; i++) {
    op_call *call = fleet_call(fleet, fleet->controller[i % fleet->controllers], "PUT",
                               "/v1/policy", text, NULL, "day-policy", time_from_ms(26000));
    int st = call->status;
    char *said = g_strdup(call->body->str);
    call_free(call);
    if (st != 200 && i == 19)
      violation(fleet, "the policy was not taken: %d %s", st, said);
    g_free(said);
    if (st == 200)
      return true;
    sim_run(fleet->sim, time_from_ms(300));
  }
  return false;
}

bool day_play(const day *day, uint64_t seed, bool loud, day_result *o) {
  memset(o, 0, sizeof *o);
  o->seed = seed;
  json *p = json_parse(string_view_of(day->policy), NULL);
  g_strlcpy(o->eviction, json_text(p, "eviction", "cremebrulee"), sizeof o->eviction);
  json_free(p);
  double cpu = cpu_now();
  fleet *fleet = fleet_new(seed, day->gateways, 0);
  fleet->sim->loud = loud;
  run r = { day, NULL, fleet, g_array_new(FALSE, TRUE, sizeof(due)), 1 };
  for (int i = 0; i < 3; i++)
    fleet->area[i] = day->areas[i % day->area_count];
  for (int i = fleet->controllers; i < day->controllers; i++) {
    char n[32], addr[48];
    snprintf(n, sizeof n, "controller-%d", i + 1);
    snprintf(addr, sizeof addr, "127.0.1.%d:7000", i + 1);
    host *host = fleet->controller[fleet->controllers++] =
        sim_host(fleet->sim, HOST_CONTROLLER, n, "mid", addr);
    host->settings = fleet->controller[0]->settings;
    host->settings.self = host->self;
    g_strlcpy(host->settings.address, host->addr, sizeof host->settings.address);
  }
  for (int i = 0; i < fleet->controllers; i++) {
    fleet->controller[i]->area = fleet->controller[i]->settings.zone = fleet->area[i % 3];
    fleet->controller[i]->settings.chain_members = fleet->controllers;
    fleet->controller[i]->settings.write_replicas = fleet->controllers / 2 + 1;
  }
  for (int i = 0; i < fleet->routers; i++)
    fleet->router[i]->area = fleet->router[i]->settings.zone = fleet->area[i % 3];
  deployment *deployment = r.deployment = deployment_bare(fleet);
  deployment->ctx = &r;
  deployment->callers = callers;
  deployment->config = routing_text;
  engines_add(&r);
  deployment_people(deployment);
  /* the same callers whatever the fleet does */
  deployment->outside->rnd = seed * 7919 + 1;
  bool up = deployment_up(deployment) && policy_put(fleet, day->policy);
  if (up) {
    sim_run(fleet->sim, time_from_ms(2000));
    time_us from = fleet->sim->now;
    uint64_t posts = fleet->sim->posts, bytes = fleet->sim->bytes;
    for (size_t i = 0; i < day->trouble_count; i++)
      due_at(&r, (due){ day->troubles[i].at_s, &day->troubles[i], false, NULL, NULL });
    deployment_go(deployment, day->rate);
    double last = day->seconds;
    while (r.due->len) {
      due x = g_array_index(r.due, due, 0);
      if (x.at_s > day->seconds && !x.over)
        break;
      time_us at = time_add(from, (time_us){ (int64_t)(x.at_s * 1e6) });
      if (x.at_s > day->seconds) {
        deployment->client->stop = true;
        last = MAX(last, x.at_s);
      }
      if (at.us > fleet->sim->now.us)
        sim_run(fleet->sim, time_sub(at, fleet->sim->now));
      g_array_remove_index(r.due, 0);
      if (x.over)
        end(&r, &x);
      else
        begin(&r, x.trouble);
    }
    time_us till = time_add(from, (time_us){ (int64_t)(last * 1e6) });
    if (till.us > fleet->sim->now.us)
      sim_run(fleet->sim, time_sub(till, fleet->sim->now));
    deployment_quiet(deployment);
    em_operator_read(deployment->operator);
    sim_run(fleet->sim, time_from_ms(4000));
    if (!deployment->operator->read_at.us)
      violation(fleet, "CONFIG nothing could be read back");
    gateway_check_all(deployment);
    reckon(&r, from, o);
    o->messages = fleet->sim->posts - posts;
    o->bytes = fleet->sim->bytes - bytes;
    o->virtual_s = (double)(fleet->sim->now.us - from.us) / 1e6;
  } else
    violation(fleet, "the fleet did not come up");
  o->broke = g_strdup(fleet->faults->str);
  deployment_free(deployment);
  g_array_free(r.due, TRUE);
  fleet_free(fleet);
  o->cpu_s = cpu_now() - cpu;
  return up;
}

void day_result_clear(day_result *result) {
  g_free(result->broke);
  result->broke = NULL;
}
