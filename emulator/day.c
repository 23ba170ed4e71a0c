#include "gateway_check.h"
#include "day.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

const char *const day_fault_names[DAY_FAULT_KIND_COUNT] = {
  "engine-crash",  "engine-dark",    "engine-grey",     "engine-leave",   "gateway-kill",
  "gateway-drain", "gateway-freeze", "controller-kill", "controller-cut", "controller-wipe",
  "config-change", "config-race",    "config-bad",      "burst",          "model-shift"
};
static const double default_duration_s[DAY_FAULT_KIND_COUNT] = { 3,           10, 10, 10, 2,
                                                                 GRACE_S + 2, 4,  4,  4,  4,
                                                                 0,           0,  0,  6,  0 };
const char *const day_figure_names[DAY_FIGURE_COUNT] = { "served", "inAim", "firstMs", "loads",
                                                         "secondAttempts" };

/* reading */
typedef struct json_location {
  error *err;
  char path[96];
} json_location;

static json_location location_under(const json_location *s, const char *form, ...)
    __attribute__((format(printf, 2, 3)));
static json_location location_under(const json_location *s, const char *form, ...) {
  json_location n = { s->err, "" };
  char add[48];
  va_list a;
  va_start(a, form);
  vsnprintf(add, sizeof add, form, a);
  va_end(a);
  snprintf(n.path, sizeof n.path, "%.46s%s%s", s->path, s->path[0] && add[0] != '[' ? "." : "",
           add);
  return n;
}

static int report_error(const json_location *s, int code, const char *key, const char *why) {
  if (!s->err->code)
    error_set(s->err, code, "%s%s%s: %s", s->path, s->path[0] && key[0] ? "." : "", key, why);
  return code;
}

static int check_object_keys(const json_location *s, const json *json, const char *const *keys) {
  if (!json || json->kind != JSON_OBJECT)
    return report_error(s, E_TYPE, "", "an object is needed");
  for (size_t i = 0; i < json_count(json); i++) {
    const char *const *k = keys;
    while (*k && strcmp(*k, json_key(json, i)))
      k++;
    if (!*k)
      return report_error(s, E_FIELD, json_key(json, i), "unknown field");
  }
  return OK;
}

/* fall below 0 (NAN): the field is needed */
static double read_number(const json_location *s, const json *value, const char *key, double low,
                          double high, double fall) {
  const json *x = json_get(value, key);
  if (!x) {
    if (isnan(fall))
      report_error(s, E_FIELD, key, "is missing");
    return isnan(fall) ? low : fall;
  }
  if (x->kind != JSON_NUMBER) {
    report_error(s, E_TYPE, key, "a number is needed");
    return low;
  }
  if (!(x->number >= low && x->number <= high)) {
    char why[80];
    snprintf(why, sizeof why, "not from %g to %g", low, high);
    report_error(s, E_RANGE, key, why);
    return low;
  }
  return x->number;
}

static bool read_bool(const json_location *s, const json *value, const char *key) {
  const json *x = json_get(value, key);
  if (x && x->kind != JSON_BOOL)
    report_error(s, E_TYPE, key, "true or false is needed");
  return x && x->kind == JSON_BOOL && x->boolean;
}

static const char *text(const json_location *s, const json *value, const char *key, size_t most) {
  const json *x = json_get(value, key);
  if (!x) {
    report_error(s, E_FIELD, key, "is missing");
    return "";
  }
  if (x->kind != JSON_STRING) {
    report_error(s, E_TYPE, key, "a text is needed");
    return "";
  }
  if (!x->text->len || x->text->len >= most) {
    report_error(s, E_RANGE, key, "too long, or empty");
    return "";
  }
  return x->text->str;
}

static id read_name(const json_location *s, const json *json, const char *key) {
  const char *t = text(s, json, key, sizeof(id));
  if (!s->err->code && !id_is_valid(string_view_of(t)))
    report_error(s, E_NAME, key, "not a name");
  return id_of_text(s->err->code ? "" : t);
}

static const json *read_array(const json_location *s, const json *value, const char *key,
                              size_t least, size_t most) {
  const json *x = json_get(value, key);
  if (!x) {
    if (least)
      report_error(s, E_FIELD, key, "is missing");
    return NULL;
  }
  if (x->kind != JSON_ARRAY) {
    report_error(s, E_TYPE, key, "a list is needed");
    return NULL;
  }
  if (json_count(x) < least || json_count(x) > most) {
    report_error(s, E_RANGE, key, "too many, or too few");
    return NULL;
  }
  return x;
}

static void read_models(const json_location *s, const json *value, day_service *v) {
  static const char *const keys[] = { "name", "weightsMb", "loadS", "adapters", "adapterMb", NULL };
  const json *l = read_array(s, value, "models", 0, DAY_MODELS_MAX);
  v->models = g_new0(engine_model_spec, json_count(l) + 1);
  for (size_t i = 0; i < json_count(l) && !s->err->code; i++) {
    json_location at = location_under(s, "models[%zu]", i);
    const json *x = json_at(l, i);
    engine_model_spec *m = &v->models[v->model_count];
    if (check_object_keys(&at, x, keys))
      return;
    m->name = read_name(&at, x, "name");
    m->weights_mb = read_number(&at, x, "weightsMb", 1, 1e7, NAN);
    m->load_ms = 1000 * read_number(&at, x, "loadS", 0.01, 600, NAN);
    m->adapters = (unsigned)read_number(&at, x, "adapters", 0, 64, 0);
    m->adapter_mb = read_number(&at, x, "adapterMb", 1, 1e5, 40);
    if (!s->err->code && m->weights_mb > v->weights_mb)
      report_error(&at, E_NO_ENGINE_FITS, "weightsMb", "fits no engine of this service");
    for (size_t k = 0; k < v->model_count; k++)
      if (id_equal(v->models[k].name, m->name))
        report_error(&at, E_NAME, "name", "stands twice");
    v->model_count++;
  }
}

static void read_services(const json_location *s, const json *value, day *day) {
  static const char *const keys[] = { "name",         "engines",  "slots",     "queue",
                                      "adapterSlots", "kvTokens", "weightsMb", "loadsPerS",
                                      "workMs",       "models",   NULL };
  const json *l = read_array(s, value, "services", 1, DAY_SERVICES_MAX);
  unsigned engines = 0;
  for (size_t i = 0; i < json_count(l) && !s->err->code; i++) {
    json_location at = location_under(s, "services[%zu]", i);
    const json *x = json_at(l, i);
    day_service *v = &day->services[day->service_count];
    if (check_object_keys(&at, x, keys))
      return;
    v->name = read_name(&at, x, "name");
    for (size_t k = 0; k < day->service_count; k++)
      if (id_equal(day->services[k].name, v->name))
        report_error(&at, E_NAME, "name", "stands twice");
    day->service_count++;
    v->engines = (unsigned)read_number(&at, x, "engines", 1, DEPLOYMENT_ENGINES, NAN);
    v->slots = (unsigned)read_number(&at, x, "slots", 1, 1024, 8);
    v->queue = (unsigned)read_number(&at, x, "queue", 0, 1024, 6);
    v->adapter_slots = (unsigned)read_number(&at, x, "adapterSlots", 0, 64, 4);
    v->kv_tokens = read_number(&at, x, "kvTokens", 1000, 1e8, 60000);
    v->weights_mb = read_number(&at, x, "weightsMb", 1, 1e7, 80000);
    v->loads_per_s = read_number(&at, x, "loadsPerS", 0.01, 100, 2);
    v->work_ms = read_number(&at, x, "workMs", 0, 60000, 30);
    read_models(&at, x, v);
    engines += v->engines;
  }
  if (engines > DEPLOYMENT_ENGINES)
    report_error(s, E_RANGE, "services", "too many engines");
}

static const day_service *find_service(const day *day, id n) {
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

static void read_kinds(const json_location *s, const json *value, day *day) {
  static const char *const keys[] = { "name",        "host",         "prefix",    "service",
                                      "mode",        "perS",         "timeoutMs", "targetMs",
                                      "gapTargetMs", "attempts",     "moreTries", "priority",
                                      "resumable",   "affinity",     "fresh",     "bytes",
                                      "tokensIn",    "tokensShared", "tokensOut", "eventTokens",
                                      "zipf",        "models",       NULL };
  static const char *const modes[] = { "once", "safe", "stream" };
  const json *l = read_array(s, value, "kinds", 1, DAY_KINDS_MAX);
  for (size_t i = 0; i < json_count(l) && !s->err->code; i++) {
    json_location at = location_under(s, "kinds[%zu]", i);
    const json *x = json_at(l, i);
    day_kind *k = &day->kinds[day->kind_count++];
    if (check_object_keys(&at, x, keys))
      return;
    g_strlcpy(k->kind.name, read_name(&at, x, "name").text, sizeof k->kind.name);
    g_strlcpy(k->kind.host, text(&at, x, "host", sizeof k->kind.host), sizeof k->kind.host);
    g_strlcpy(k->kind.path, text(&at, x, "prefix", sizeof k->kind.path), sizeof k->kind.path);
    size_t n = strlen(k->kind.path);
    if (!s->err->code && (k->kind.path[0] != '/' || k->kind.path[n - 1] != '/'))
      report_error(&at, E_ROUTE_PREFIX, "prefix", "it begins and ends with a slash");
    k->service = read_name(&at, x, "service");
    const day_service *v = find_service(day, k->service);
    if (!s->err->code && !v)
      report_error(&at, E_UNKNOWN_SERVICE, "service", "there is no such service");
    const char *mode = text(&at, x, "mode", 16);
    int m = 0;
    while (m < 3 && strcmp(modes[m], mode))
      m++;
    if (!s->err->code && m == 3)
      report_error(&at, E_ROUTE_MODE, "mode", "not once, safe or stream");
    k->kind.mode = (enum client_sim_mode)(m % 3);
    k->kind.requests_per_s = read_number(&at, x, "perS", 0, 1000, NAN);
    k->kind.deadline_ms = (int64_t)read_number(&at, x, "timeoutMs", 1, 600000, NAN);
    k->kind.target_ms = (int64_t)read_number(&at, x, "targetMs", 1, 600000, NAN);
    k->kind.gap_target_ms = (int64_t)read_number(&at, x, "gapTargetMs", 0, 60000, 0);
    k->attempts = (unsigned)read_number(&at, x, "attempts", 1, 10, 2);
    k->kind.retries_max = (unsigned)read_number(&at, x, "moreTries", 0, 10, 1);
    k->kind.priority = (unsigned)read_number(&at, x, "priority", 0, 9, 0);
    k->kind.resumable = read_bool(&at, x, "resumable");
    k->affinity = read_bool(&at, x, "affinity");
    k->kind.new_connection = read_bool(&at, x, "fresh");
    k->kind.bytes = (unsigned)read_number(&at, x, "bytes", 0, 1 << 20, 400);
    k->kind.tokens_in = read_number(&at, x, "tokensIn", 0, 1e6, 0);
    k->kind.tokens_shared = read_number(&at, x, "tokensShared", 0, 1e6, 0);
    k->kind.tokens_out = (unsigned)read_number(&at, x, "tokensOut", 0, 1e5, 0);
    k->kind.event_tokens = (unsigned)read_number(&at, x, "eventTokens", 1, 1000, 2);
    k->kind.zipf_exponent = read_number(&at, x, "zipf", 0, 4, 1);
    const json *w = read_array(&at, x, "models", 0, 4 * DAY_MODELS_MAX);
    k->models = g_ptr_array_new_with_free_func(g_free);
    for (size_t q = 0; q < json_count(w) && !s->err->code; q++) {
      const json *y = json_at(w, q);
      if (y->kind != JSON_STRING)
        report_error(&at, E_TYPE, "models", "names are needed");
      else if (v && !has_model(v, y->text->str))
        report_error(&at, E_UNKNOWN_MODEL, "models", "the service has no such model or adapter");
      else
        g_ptr_array_add(k->models, g_strdup(y->text->str));
    }
    if (!w && v)
      for (size_t q = 0; q < v->model_count; q++)
        g_ptr_array_add(k->models, g_strdup(v->models[q].name.text));
    if (!s->err->code && v && v->model_count && k->kind.mode == CLIENT_SIM_STREAM &&
        !k->kind.tokens_out)
      report_error(&at, E_FIELD, "tokensOut", "a stream of a model needs it");
    for (size_t q = 0; q + 1 < day->kind_count; q++) {
      if (!strcmp(day->kinds[q].kind.name, k->kind.name))
        report_error(&at, E_DUPLICATE_NAME, "name", "stands twice");
      if (!strcmp(day->kinds[q].kind.host, k->kind.host) &&
          !strcmp(day->kinds[q].kind.path, k->kind.path))
        report_error(&at, E_DUPLICATE_ROUTE, "prefix", "two kinds have one host and prefix");
    }
  }
}

static int parse_fault_kind(const char *n) {
  for (int i = 0; i < DAY_FAULT_KIND_COUNT; i++)
    if (!strcmp(day_fault_names[i], n))
      return i;
  return -1;
}

static int insert_fault(day *day, const json_location *s, day_fault t) {
  if (day->fault_count == DAY_FAULTS_MAX)
    return report_error(s, E_RANGE, "", "too many troubles");
  if (t.duration_s <= 0)
    t.duration_s = default_duration_s[t.kind];
  size_t i = day->fault_count++;
  while (i && day->faults[i - 1].at_s > t.at_s) {
    day->faults[i] = day->faults[i - 1];
    i--;
  }
  day->faults[i] = t;
  return OK;
}

static void read_faults(const json_location *s, const json *value, day *day) {
  static const char *const keys[] = { "what", "atS", "forS", "factor", "which", NULL };
  const json *l = read_array(s, value, "troubles", 0, DAY_FAULTS_MAX);
  for (size_t i = 0; i < json_count(l) && !s->err->code; i++) {
    json_location at = location_under(s, "troubles[%zu]", i);
    const json *x = json_at(l, i);
    if (check_object_keys(&at, x, keys))
      return;
    int what = parse_fault_kind(text(&at, x, "what", 32));
    if (!s->err->code && what < 0)
      report_error(&at, E_NAME, "what", "there is no such trouble");
    day_fault t = { (enum day_fault_kind)MAX(what, 0),
                    read_number(&at, x, "atS", 0, day->seconds, NAN),
                    read_number(&at, x, "forS", 0, 600, 0),
                    read_number(&at, x, "factor", 0.01, 100, 5),
                    (unsigned)read_number(&at, x, "which", 0, 100, 0) };
    if (!s->err->code)
      insert_fault(day, &at, t);
  }
}

enum error_code day_add_fault(day *day, const char *flag, error *err) {
  json_location s = { err, "trouble" };
  char **part = g_strsplit(flag, ",", -1);
  char *at = part[0] ? strchr(part[0], '@') : NULL, *end = NULL;
  day_fault t = { .factor = 5 };
  int r = OK;
  if (!at)
    r = report_error(&s, E_FIELD, "", "WHAT@SECONDS is needed");
  else {
    *at = 0;
    int what = parse_fault_kind(part[0]);
    if (what < 0)
      r = report_error(&s, E_NAME, part[0], "there is no such trouble");
    else
      t.kind = (enum day_fault_kind)what;
    t.at_s = g_ascii_strtod(at + 1, &end);
    if (!r && end == at + 1)
      r = report_error(&s, E_TYPE, "", "a number of seconds is needed");
    if (!r && *end == ':')
      t.duration_s = g_ascii_strtod(end + 1, &end);
    if (!r && *end)
      r = report_error(&s, E_TYPE, "", "a number of seconds is needed");
    if (!r && !(t.at_s >= 0 && t.at_s <= day->seconds && t.duration_s >= 0 && t.duration_s <= 600))
      r = report_error(&s, E_RANGE, "", "not within the day");
  }
  for (char **p = part + 1; !r && part[0] && *p; p++) {
    if (g_str_has_prefix(*p, "factor="))
      t.factor = g_ascii_strtod(*p + 7, NULL);
    else if (g_str_has_prefix(*p, "which="))
      t.target_number = (unsigned)strtoul(*p + 6, NULL, 10);
    else
      r = report_error(&s, E_FIELD, *p, "unknown");
    if (!r && !(t.factor >= 0.01 && t.factor <= 100 && t.target_number <= 100))
      r = report_error(&s, E_RANGE, *p, "out of range");
  }
  g_strfreev(part);
  return r ? r : insert_fault(day, &s, t);
}

static int policy_compiles(const json *p, error *err) {
  const json *res[RESOURCE_COUNT] = { [RESOURCE_POLICY] = p };
  config *config = config_compile(res, err);
  if (!config)
    return err->code;
  config_free(config);
  return OK;
}

enum error_code day_set_eviction(day *day, const char *policy, error *err) {
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
  int r = policy_compiles(p, err);
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
  json_location s = { err, "" };
  if (!check_object_keys(&s, value, keys)) {
    g_strlcpy(d->name, read_name(&s, value, "name").text, sizeof d->name);
    d->seconds =
        read_number(&s, value, "seconds", 2, DAY_STEPS_MAX * DAY_STEP_MS / 1000 - 200, NAN);
    d->rate_factor = read_number(&s, value, "rate", 0.01, 100, 1);
    d->controllers = (int)read_number(&s, value, "controllers", 3, 5, 3);
    d->gateways = (int)read_number(&s, value, "gateways", 1, 60, NAN);
    const json *l = read_array(&s, value, "areas", 1, 3);
    for (size_t i = 0; i < json_count(l) && !err->code; i++) {
      const json *x = json_at(l, i);
      if (x->kind != JSON_STRING || !id_is_valid(string_view_of_gstring(x->text)))
        report_error(&s, E_NAME, "areas", "not a name");
      else
        d->zones[d->zone_count++] = id_of_text(x->text->str);
    }
    const json *p = json_get(value, "policy");
    GString *b = g_string_new(NULL);
    if (p)
      json_write(p, b);
    else
      g_string_append(b, "{}");
    d->policy = g_string_free(b, FALSE);
    if (!err->code && p)
      policy_compiles(p, err);
    if (!err->code)
      read_services(&s, value, d);
    if (!err->code)
      read_kinds(&s, value, d);
    if (!err->code)
      read_faults(&s, value, d);
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
typedef struct scheduled_fault {
  double at_s;
  const day_fault *trouble;
  bool is_end;
  host *host;
  deployment_process *process;
} scheduled_fault;
typedef struct day_run {
  const day *day;
  deployment *deployment;
  fleet *fleet;
  GArray *due;
  uint64_t version;
} day_run;

static void add_client_kinds(deployment *deployment) {
  const day_run *run = deployment->ctx;
  deployment->client->area_count = (unsigned)MIN(run->day->zone_count, run->day->gateways);
  for (size_t i = 0; i < run->day->kind_count; i++) {
    client_sim_kind k = run->day->kinds[i].kind;
    const GPtrArray *m = run->day->kinds[i].models;
    /* the names stay the day's */
    if (m->len)
      k.models = g_ptr_array_new();
    for (guint n = 0; n < m->len; n++)
      g_ptr_array_add(k.models, m->pdata[n]);
    client_sim_add_kind(deployment->client, k);
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
  if (k->kind.mode == CLIENT_SIM_STREAM)
    json_appendf(b, ",\"affinity\":%s,\"resumable\":%s,\"gapTargetMs\":%" PRId64,
                 k->affinity ? "true" : "false", k->kind.resumable ? "true" : "false",
                 k->kind.gap_target_ms);
  g_string_append_c(b, '}');
}

static char *routing_text(deployment *deployment, uint64_t version) {
  const day_run *run = deployment->ctx;
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
            k ? "," : "", v->models[k].name.text, v->models[k].weights_mb,
            v->models[k].load_ms / 1000, v->models[k].adapters, v->models[k].adapter_mb);
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
static GPtrArray *models_by_demand(const day *day, const day_service *v) {
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

static void add_engines(day_run *run) {
  const day *day = run->day;
  deployment *deployment = run->deployment;
  for (size_t i = 0; i < day->service_count; i++) {
    const day_service *v = &day->services[i];
    GPtrArray *order = models_by_demand(day, v);
    guint next = 0;
    for (unsigned n = 0; n < v->engines; n++) {
      registering_engine_plan p = { .service = v->name,
                                    .version = id_of_text("v1"),
                                    .port = 9000,
                                    .slots = v->slots,
                                    .queue = v->queue,
                                    .connections_max = 200,
                                    .heartbeat_ms = 1200,
                                    .drain_ms = DRAIN_MS,
                                    .work_ms = (int64_t)v->work_ms,
                                    .idle_timeout_ms = 5000,
                                    .step_ms = 9,
                                    .step_per_request_ms = 0.2,
                                    .prefill_tokens_per_ms = 20,
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
              mb = v->models[q].weights_mb;
          if (mb > left) {
            next = (next + k) % order->len;
            break;
          }
          left -= mb;
          g_ptr_array_add(start, (char *)m);
        }
      }
      deployment_add_engine(deployment,
                            day->zones[deployment->sim ? (deployment->model_engine_count +
                                                          deployment->plain_engine_count) %
                                                             (size_t)day->zone_count
                                                       : 0],
                            p, start);
      if (v->model_count)
        deployment->loads_per_s = v->loads_per_s;
    }
    g_ptr_array_free(order, TRUE);
  }
}

static void schedule_fault(day_run *run, scheduled_fault x) {
  guint i = 0;
  while (i < run->due->len && g_array_index(run->due, scheduled_fault, i).at_s <= x.at_s)
    i++;
  g_array_insert_val(run->due, i, x);
}

static host *choose_host(host **all, int n, unsigned which, sim *sim) {
  return all[which ? (which - 1) % (unsigned)n : sim_random(sim, (uint64_t)n)];
}

static operator_sim_change *wait_for_change(day_run *run, operator_sim_change *change) {
  for (int i = 0; i < 600 && !change->done; i++)
    sim_run(run->fleet->sim, time_from_ms(50));
  if (change->acked_at.us && change->version > run->version)
    run->version = change->version;
  return change;
}

static void change_config(day_run *run, bool race, bool wrong) {
  deployment *deployment = run->deployment;
  uint64_t base = run->version;
  if (wrong) {
    char *t = g_strdup_printf(
        "{\"version\":%" PRIu64
        ",\"routes\":[{\"name\":\"x\",\"host\":\"x.example\",\"prefix\":\"/x/\",\"mode\":\"safe\",\"timeoutMs\":100,\"service\":\"nobody\"}],\"services\":[]}",
        base + 1);
    wait_for_change(run, operator_sim_send(deployment->operator, base + 1, base, false, t, false));
    g_free(t);
    return;
  }
  operator_sim_change *k[2] = { NULL, NULL };
  for (int i = 0; i < (race ? 2 : 1); i++) {
    const day_kind *kind = &run->day->kinds[(base + (uint64_t)i) % run->day->kind_count];
    GString *b = g_string_new(NULL);
    json_appendf(b, "{\"version\":%" PRIu64 ",\"set\":{\"routes\":[", base + 1 + (uint64_t)i);
    route_text(kind, kind->attempts + 1, b);
    g_string_append(b, "]}}");
    k[i] =
        operator_sim_send(deployment->operator, base + 1 +(uint64_t) i, base, true, b->str, true);
    g_string_free(b, TRUE);
  }
  for (int i = 0; i < 2; i++)
    if (k[i])
      wait_for_change(run, k[i]);
}

static void begin_fault(day_run *run, const day_fault *t) {
  deployment *deployment = run->deployment;
  fleet *fleet = run->fleet;
  sim *sim = fleet->sim;
  int64_t ms = (int64_t)(t->duration_s * 1000);
  scheduled_fault x = { t->at_s + t->duration_s, t, true, NULL, NULL };
  switch (t->kind) {
  case DAY_ENGINE_CRASH:
  case DAY_ENGINE_POWER_OFF:
  case DAY_ENGINE_DEGRADED:
  case DAY_ENGINE_DRAIN:
    x.process =
        deployment
            ->engine_processes[t->target_number
                                   ? (t->target_number - 1) % (deployment->model_engine_count +
                                                               deployment->plain_engine_count)
                                   : sim_random(sim, deployment->model_engine_count +
                                                         deployment->plain_engine_count)];
    x.host = x.process->host;
    if (t->kind == DAY_ENGINE_DEGRADED)
      x.process->plan.faults.intermittent_failures = 0.5;
    else if (!x.host->alive)
      return;
    else if (t->kind == DAY_ENGINE_DRAIN) {
      if (x.process->engine)
        registering_engine_sim_drain(x.process->engine, 0);
    } else {
      deployment_record_fault(deployment, x.host, 'e', ms);
      if (t->kind == DAY_ENGINE_CRASH)
        host_kill(x.host);
      else
        host_power_off(x.host);
    }
    break;
  case DAY_GATEWAY_KILL:
  case DAY_GATEWAY_DRAIN:
  case DAY_GATEWAY_FREEZE:
    x.host = choose_host(fleet->router, fleet->routers, t->target_number, sim);
    if (!x.host->alive || x.host->frozen)
      return;
    if (t->kind == DAY_GATEWAY_DRAIN) {
      deployment_terminate_gateway(deployment, x.host->context);
      break;
    }
    deployment_record_fault(deployment, x.host, t->kind == DAY_GATEWAY_KILL ? 'k' : 'f', ms);
    if (t->kind == DAY_GATEWAY_KILL)
      host_kill(x.host);
    else
      host_freeze(x.host);
    break;
  case DAY_CONTROLLER_KILL:
  case DAY_CONTROLLER_PARTITION:
  case DAY_CONTROLLER_WIPE:
    x.host = choose_host(fleet->controller, fleet->controllers, t->target_number, sim);
    if (!x.host->alive)
      return;
    deployment_record_fault(deployment, NULL, 'k', ms);
    if (t->kind == DAY_CONTROLLER_PARTITION) {
      sim_set_partition_both_ways(sim, x.host->self.text, NULL, true);
      break;
    }
    host_kill(x.host);
    if (t->kind == DAY_CONTROLLER_WIPE)
      host_wipe_disk(x.host);
    break;
  case DAY_CONFIG_CHANGE:
    change_config(run, false, false);
    return;
  case DAY_CONFIG_RACE:
    change_config(run, true, false);
    return;
  case DAY_CONFIG_INVALID:
    change_config(run, false, true);
    return;
  case DAY_BURST:
    deployment->client->rate_factor *= t->factor;
    break;
  case DAY_MODEL_SHIFT:
    /* what was rare is asked for most */
    for (guint i = 0; i < deployment->client->kinds->len; i++) {
      GPtrArray *m = ((client_sim_kind *)deployment->client->kinds->pdata[i])->models;
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
  schedule_fault(run, x);
}

static void end_fault(day_run *run, const scheduled_fault *x) {
  switch (x->trouble->kind) {
  case DAY_ENGINE_DEGRADED:
    x->process->plan.faults.intermittent_failures = 0;
    break;
  case DAY_GATEWAY_FREEZE:
    if (x->host->alive && x->host->frozen)
      host_unfreeze(x->host);
    break;
  case DAY_CONTROLLER_PARTITION:
    sim_set_partition_both_ways(run->fleet->sim, x->host->self.text, NULL, false);
    break;
  case DAY_BURST:
    run->deployment->client->rate_factor /= x->trouble->factor;
    break;
  default:
    if (!x->host->alive)
      host_start(x->host);
  }
}

/* reckoning */
static void totals_add(day_totals *s, const client_sim_request *a, const client_sim_attempt *last) {
  s->sent++;
  if (a->served) {
    s->served++;
    s->in_target += a->met_target;
    s->late += !a->met_target;
  } else if (!a->done || !last || last->outcome == 'o')
    s->unanswered++;
  else if (last->outcome == 's')
    s->refused++;
  else if (last->outcome == 'l')
    s->timed_out++;
  else
    s->broken++;
  if (a->served && a->first_byte_at.us) {
    s->first_ms += (double)(a->first_byte_at.us - a->started_at.us) / 1000;
    s->first_count++;
  }
}

static void collect_result(day_run *run, time_us from, day_result *o) {
  deployment *deployment = run->deployment;
  const client_sim *client = deployment->client;
  GHashTable *last = g_hash_table_new(NULL, NULL), *ran = g_hash_table_new(g_str_hash, g_str_equal);
  for (guint i = 0; i < client->attempts->len; i++) {
    client_sim_attempt *attempt = client->attempts->pdata[i];
    g_hash_table_insert(last, attempt->caller_request, attempt);
  }
  o->kind_count = run->day->kind_count;
  for (size_t i = 0; i < o->kind_count; i++)
    g_strlcpy(o->kind_totals[i].name, run->day->kinds[i].kind.name, sizeof o->kind_totals[i].name);
  o->zone_count = (int)client->area_count;
  for (int i = 0; i < o->zone_count; i++)
    g_strlcpy(o->zone_totals[i].name, client->areas[i].text, sizeof o->zone_totals[i].name);
  g_strlcpy(o->total.name, "all", sizeof o->total.name);
  for (guint i = 0; i < client->requests->len; i++) {
    const client_sim_request *a = client->requests->pdata[i];
    const client_sim_attempt *attempt = g_hash_table_lookup(last, a);
    totals_add(&o->total, a, attempt);
    for (guint k = 0; k < client->kinds->len; k++)
      if (client->kinds->pdata[k] == a->kind)
        totals_add(&o->kind_totals[k], a, attempt);
    totals_add(&o->zone_totals[a->user % MAX(client->area_count, 1)], a, attempt);
    int64_t at = (a->started_at.us - from.us) / 1000 / DAY_STEP_MS;
    if (at < 0 || at >= DAY_STEPS_MAX)
      continue;
    o->step_count = MAX(o->step_count, (size_t)at + 1);
    o->step_counts[at].sent++;
    o->step_counts[at].served += a->served;
    o->step_counts[at].in_target += a->met_target;
  }
  for (guint i = 0; i < deployment->log->runs->len; i++) {
    engine_run_record *x = deployment->log->runs->pdata[i];
    if (!strchr("rdfcbt", x->outcome)) {
      o->not_run++;
      continue;
    }
    o->attempts++;
    if (!g_hash_table_add(ran, x->request_id))
      o->retries++;
  }
  for (guint i = 0; i < deployment->log->orders->len; i++) {
    engine_order_record *x = deployment->log->orders->pdata[i];
    o->orders++;
    if (x->status != 202)
      continue;
    o->loads += x->op == 'l';
    o->cold_loads += x->op == 'l' && x->from_store;
    o->unloads += x->op == 'u';
  }
  o->heartbeats = deployment->log->heartbeats;
  o->reports = deployment->log->reports;
  g_hash_table_destroy(last);
  g_hash_table_destroy(ran);
}

static double cpu_now(void) {
  struct timespec t;
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static bool put_policy(fleet *fleet, const char *text) {
  for (int i = 0; i < 20; i++) {
    operator_call *call = fleet_call(fleet, fleet->controller[i % fleet->controllers], "PUT",
                                     "/v1/policy", text, NULL, "day-policy", time_from_ms(26000));
    int st = call->status;
    char *said = g_strdup(call->body->str);
    operator_call_free(call);
    if (st != 200 && i == 19)
      fleet_add_violation(fleet, "the policy was not taken: %d %s", st, said);
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
  fleet->sim->log_to_stderr = loud;
  day_run r = { day, NULL, fleet, g_array_new(FALSE, TRUE, sizeof(scheduled_fault)), 1 };
  for (int i = 0; i < 3; i++)
    fleet->area[i] = day->zones[i % day->zone_count];
  for (int i = fleet->controllers; i < day->controllers; i++) {
    char n[32], addr[48];
    snprintf(n, sizeof n, "controller-%d", i + 1);
    snprintf(addr, sizeof addr, "127.0.1.%d:7000", i + 1);
    host *host = fleet->controller[fleet->controllers++] =
        sim_add_host(fleet->sim, HOST_CONTROLLER, n, "mid", addr);
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
  deployment *deployment = r.deployment = deployment_new_empty(fleet);
  deployment->ctx = &r;
  deployment->add_client_kinds = add_client_kinds;
  deployment->write_config = routing_text;
  add_engines(&r);
  deployment_add_clients(deployment);
  /* the same callers whatever the fleet does */
  deployment->client_host->random_state = seed * 7919 + 1;
  bool up = deployment_bring_up(deployment) && put_policy(fleet, day->policy);
  if (up) {
    sim_run(fleet->sim, time_from_ms(2000));
    time_us from = fleet->sim->now;
    uint64_t posts = fleet->sim->messages_sent, bytes = fleet->sim->bytes_sent;
    for (size_t i = 0; i < day->fault_count; i++)
      schedule_fault(&r,
                     (scheduled_fault){ day->faults[i].at_s, &day->faults[i], false, NULL, NULL });
    deployment_start_traffic(deployment, day->rate_factor);
    double last = day->seconds;
    while (r.due->len) {
      scheduled_fault x = g_array_index(r.due, scheduled_fault, 0);
      if (x.at_s > day->seconds && !x.is_end)
        break;
      time_us at = time_add(from, (time_us){ (int64_t)(x.at_s * 1e6) });
      if (x.at_s > day->seconds) {
        deployment->client->stop = true;
        last = MAX(last, x.at_s);
      }
      if (at.us > fleet->sim->now.us)
        sim_run(fleet->sim, time_sub(at, fleet->sim->now));
      g_array_remove_index(r.due, 0);
      if (x.is_end)
        end_fault(&r, &x);
      else
        begin_fault(&r, x.trouble);
    }
    time_us until = time_add(from, (time_us){ (int64_t)(last * 1e6) });
    if (until.us > fleet->sim->now.us)
      sim_run(fleet->sim, time_sub(until, fleet->sim->now));
    deployment_finish_traffic(deployment);
    operator_sim_read(deployment->operator);
    sim_run(fleet->sim, time_from_ms(4000));
    if (!deployment->operator->read_at.us)
      fleet_add_violation(fleet, "CONFIG nothing could be read back");
    gateway_check_all(deployment);
    collect_result(&r, from, o);
    o->messages = fleet->sim->messages_sent - posts;
    o->bytes = fleet->sim->bytes_sent - bytes;
    o->virtual_s = (double)(fleet->sim->now.us - from.us) / 1e6;
  } else
    fleet_add_violation(fleet, "the fleet did not come up");
  o->violations = g_strdup(fleet->violations->str);
  deployment_free(deployment);
  g_array_free(r.due, TRUE);
  fleet_free(fleet);
  o->cpu_s = cpu_now() - cpu;
  return up;
}

void day_result_clear(day_result *result) {
  g_free(result->violations);
  result->violations = NULL;
}
