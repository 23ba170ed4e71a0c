#include "routing.h"
#include <math.h>

enum {
  HEADER_BYTES = 16384,
  BODY_BYTES = 4 << 20,
  HEADER_MS = 3000,
  IDLE_MS = 15000,
  HOST_NAME_MOST = 256
};

/* numbers under a key: absent ones take the fallback */
static bool take(const json *value, const char *key, double low, double high, double fall,
                 double *to) {
  const json *v = json_get(value, key);
  *to = fall;
  if (!v || v->kind == JSON_NULL)
    return true;
  if (v->kind != JSON_NUMBER || !(v->number >= low) || v->number > high)
    return false;
  *to = v->number;
  return true;
}

static int take_spec(const json *json, const char *where, const char *key, double high, double fall,
                     double *to, error *err) {
  return take(json, key, 0, high, fall, to)
             ? OK
             : error_set(err, E_SPEC_RANGE, "%s.%s: not a number from 0 to %.0f", where, key, high);
}

static int take_name(const json *json, const char *where, size_t i, id *to, GHashTable *seen,
                     void *item, error *err) {
  const char *s = json_text(json, "name", NULL);
  if (!s || !id_is_valid(string_view_of(s)))
    return error_set(err, E_ROUTING_STRUCTURE,
                     "%s[%zu].name: missing, or not 1 to 47 letters, digits, '-', '_', '.', ':'",
                     where, i);
  *to = id_of_text(s);
  if (g_hash_table_contains(seen, to->text))
    return error_set(err, E_DUPLICATE_NAME, "%s[%zu].name: %s stands twice", where, i, to->text);
  g_hash_table_insert(seen, to->text, item);
  return OK;
}

static int take_model(service_model_spec *m, const json *json, const service *service, size_t i,
                      error *err) {
  char where[100];
  g_snprintf(where, sizeof where, "%s.engine.models[%zu]", service->name.text, i);
  if (json->kind != JSON_OBJECT)
    return error_set(err, E_ROUTING_STRUCTURE, "%s: not an object", where);
  double load = 0, adapters = 0;
  int r = take_name(json, where, i, &m->name, service->models_by_name, m, err);
  if (!r)
    r = take_spec(json, where, "weightsMb", 1e9, 0, &m->weights_mb, err);
  if (!r)
    r = take_spec(json, where, "loadS", 1e6, 0, &load, err);
  if (!r)
    r = take_spec(json, where, "adapters", 1e6, 0, &adapters, err);
  if (!r)
    r = take_spec(json, where, "adapterMb", 1e9, 0, &m->adapter_mb, err);
  m->load_ms = load * 1000;
  m->adapters = adapters;
  return r;
}

static int take_engine(service *service, const json *value, error *err) {
  char where[80];
  g_snprintf(where, sizeof where, "%s.engine", service->name.text);
  if (!value || value->kind == JSON_NULL)
    return OK;
  if (value->kind != JSON_OBJECT)
    return error_set(err, E_ROUTING_STRUCTURE, "%s: not an object", where);
  double slots = 0, adapters = 0;
  int r = take_spec(value, where, "slots", 1e6, 0, &slots, err);
  if (!r)
    r = take_spec(value, where, "adapterSlots", 1e6, 0, &adapters, err);
  if (!r)
    r = take_spec(value, where, "kvTokens", 1e15, 0, &service->kv_tokens, err);
  if (!r)
    r = take_spec(value, where, "kvTokenBytes", 1e15, 0, &service->kv_token_bytes, err);
  if (!r)
    r = take_spec(value, where, "weightsMb", 1e12, 0, &service->weights_mb, err);
  if (!r)
    r = take_spec(value, where, "loadsPerS", 1e6, 0, &service->loads_per_s, err);
  if (!r)
    r = take_spec(value, where, "stride", 1e6, 1, &service->stride, err);
  service->engine_slots = slots;
  service->adapter_slots = adapters;
  const json *all = json_get(value, "models");
  if (r || !all || all->kind == JSON_NULL)
    return r;
  if (all->kind != JSON_ARRAY)
    return error_set(err, E_ROUTING_STRUCTURE, "%s.models: not a list", where);
  service->models = g_new0(service_model_spec, json_count(all) + 1);
  for (size_t i = 0; i < json_count(all) && !r; i++, service->model_count++)
    r = take_model(&service->models[i], json_at(all, i), service, i, err);
  return r;
}

static int take_service(routing *routing, service *service, const json *value, size_t i,
                        error *err) {
  if (value->kind != JSON_OBJECT)
    return error_set(err, E_ROUTING_STRUCTURE, "services[%zu]: not an object", i);
  service->models_by_name = g_hash_table_new(g_str_hash, g_str_equal);
  int r = take_name(value, "services", i, &service->name, routing->services_by_name, service, err);
  if (r)
    return r;
  const json *health = json_get(value, "health");
  if (health && health->kind != JSON_NULL &&
      (health->kind != JSON_STRING || health->text->len >= sizeof service->health_path))
    return error_set(err, E_ROUTING_STRUCTURE, "%s.health: not a path", service->name.text);
  g_strlcpy(service->health_path, json_text(value, "health", ""), sizeof service->health_path);
  double most;
  r = take_spec(value, service->name.text, "connectionsMost", 1e9, 0, &most, err);
  if (r)
    return r;
  service->connections_max = most;
  return take_engine(service, json_get(value, "engine"), err);
}

static int take_leg(routing *routing, route *k, route_leg *leg, const char *name, double weight,
                    error *err) {
  leg->service = name ? g_hash_table_lookup(routing->services_by_name, name) : NULL;
  leg->weight = weight;
  k->weight_sum += weight;
  return leg->service ? OK
                      : error_set(err, E_UNKNOWN_SERVICE, "%s: there is no service %.60s",
                                  k->name.text, name ? name : "named");
}

static int take_legs(routing *routing, route *k, const json *value, error *err) {
  const json *split = json_get(value, "split"), *one = json_get(value, "service");
  if (split && split->kind == JSON_NULL)
    split = NULL;
  if (split && split->kind != JSON_ARRAY)
    return error_set(err, E_ROUTING_STRUCTURE, "%s.split: not a list", k->name.text);
  if (one && one->kind != JSON_NULL && one->kind != JSON_STRING)
    return error_set(err, E_ROUTING_STRUCTURE, "%s.service: not a name", k->name.text);
  k->legs = g_new0(route_leg, json_count(split) + 1);
  if (!split) {
    k->leg_count = 1;
    return take_leg(routing, k, k->legs, json_text(value, "service", NULL), 1, err);
  }
  if (one && one->kind == JSON_STRING &&
      !g_hash_table_contains(routing->services_by_name, one->text->str))
    return error_set(err, E_UNKNOWN_SERVICE, "%s: there is no service %.60s", k->name.text,
                     one->text->str);
  for (size_t i = 0; i < json_count(split); i++) {
    const json *x = json_at(split, i);
    double weight = 0;
    if (x->kind != JSON_OBJECT)
      return error_set(err, E_ROUTING_STRUCTURE, "%s.split[%zu]: not an object", k->name.text, i);
    if (!take(x, "weight", 0, 1e15, 1, &weight))
      return error_set(err, E_ROUTE_WEIGHT, "%s.split[%zu].weight: not a number from 0 up",
                       k->name.text, i);
    int r =
        take_leg(routing, k, &k->legs[k->leg_count++], json_text(x, "service", NULL), weight, err);
    if (r)
      return r;
  }
  return k->weight_sum > 0
             ? OK
             : error_set(err, E_ROUTE_WEIGHT, "%s.split: the weights add up to 0", k->name.text);
}

static int take_span(const json *json, const route *k, const char *key, int64_t *to, error *err) {
  double v = 0;
  int r = take_spec(json, k->name.text, key, 1e12, 0, &v, err);
  *to = ceil(v);
  return r;
}

static int take_route(routing *routing, route *k, const json *value, size_t i, GHashTable *names,
                      error *err) {
  if (value->kind != JSON_OBJECT)
    return error_set(err, E_ROUTING_STRUCTURE, "routes[%zu]: not an object", i);
  int r = take_name(value, "routes", i, &k->name, names, k, err);
  if (r)
    return r;
  const char *host = json_text(value, "host", ""), *prefix = json_text(value, "prefix", "");
  if (!host[0] || strlen(host) >= HOST_NAME_MOST)
    return error_set(err, E_ROUTING_STRUCTURE, "%s.host: missing", k->name.text);
  k->prefix_length = strlen(prefix);
  if (!k->prefix_length || prefix[0] != '/' || prefix[k->prefix_length - 1] != '/')
    return error_set(err, E_ROUTE_PREFIX, "%s.prefix: does not begin and end with a slash",
                     k->name.text);
  k->host = g_ascii_strdown(host, -1);
  k->prefix = g_strdup(prefix);
  routing->prefix_length_max = MAX(routing->prefix_length_max, k->prefix_length);
  const route *twin = g_hash_table_lookup(routing->routes_by_name, k);
  if (twin)
    return error_set(err, E_DUPLICATE_ROUTE, "%s: has the host and prefix of %s", k->name.text,
                     twin->name.text);
  g_hash_table_add(routing->routes_by_name, k);

  const json *mode = json_get(value, "mode");
  const char *m = mode && mode->kind == JSON_STRING ? mode->text->str
                  : mode && mode->kind != JSON_NULL ? ""
                                                    : "once";
  if (!strcmp(m, "once"))
    k->mode = ROUTE_MODE_ONCE;
  else if (!strcmp(m, "safe"))
    k->mode = ROUTE_MODE_SAFE;
  else if (!strcmp(m, "stream"))
    k->mode = ROUTE_MODE_STREAM;
  else
    return error_set(err, E_ROUTE_MODE, "%s.mode: there is no mode %.40s", k->name.text, m);

  double n = 0;
  if (!take(value, "timeoutMs", 0, 1e12, 0, &n) || n <= 0)
    return error_set(err, E_ROUTE_TIMEOUT, "%s.timeoutMs: missing or not above 0", k->name.text);
  k->timeout_ms = ceil(n);
  r = take_span(value, k, "targetMs", &k->target_ms, err);
  if (!r)
    r = take_span(value, k, "gapTargetMs", &k->gap_target_ms, err);
  if (!r)
    r = take_spec(value, k->name.text, "priority", 1e6, 0, &n, err);
  k->priority = n;
  if (!r)
    r = take_spec(value, k->name.text, "attempts", 1e6, 1, &n, err);
  k->attempts = n < 1 ? 1 : n;
  k->affinity = json_bool(value, "affinity", false);
  k->resumable = json_bool(value, "resumable", false);
  return r ? r : take_legs(routing, k, value, err);
}

static int take_limit(const json *json, const char *key, double fall, double *to, error *err) {
  if (!take(json, key, 0, 1e12, fall, to))
    return error_set(err, E_LIMIT_RANGE, "limits.%s: not a number from 0 up", key);
  if (*to < 1)
    *to = fall;
  return OK;
}

static int take_limits(request_limits *l, const json *json, error *err) {
  if (json && json->kind != JSON_NULL && json->kind != JSON_OBJECT)
    return error_set(err, E_ROUTING_STRUCTURE, "limits: not an object");
  double header = 0, body = 0, header_ms = 0, idle = 0;
  int r = take_limit(json, "headerBytes", HEADER_BYTES, &header, err);
  if (!r)
    r = take_limit(json, "bodyBytes", BODY_BYTES, &body, err);
  if (!r)
    r = take_limit(json, "headerMs", HEADER_MS, &header_ms, err);
  if (!r)
    r = take_limit(json, "idleMs", IDLE_MS, &idle, err);
  *l = (request_limits){ header, body, header_ms, idle };
  return r;
}

static int take_version(const json *value, uint64_t *to, error *err) {
  const json *v = json_get(value, "version");
  if (!v || v->kind != JSON_NUMBER || v->number < 0 || v->number > 9e18 ||
      v->number != floor(v->number))
    return error_set(err, E_ROUTING_VERSION, "version: missing, or not a whole number");
  *to = v->text ? g_ascii_strtoull(v->text->str, NULL, 10) : (uint64_t)v->number;
  return OK;
}

static guint route_hash(gconstpointer p) {
  const route *k = p;
  return (guint)hash_bytes(k->prefix, k->prefix_length, g_str_hash(k->host));
}

static gboolean route_same(gconstpointer a, gconstpointer b) {
  const route *x = a, *y = b;
  return x->prefix_length == y->prefix_length && !memcmp(x->prefix, y->prefix, x->prefix_length) &&
         !strcmp(x->host, y->host);
}

static void routing_free(routing *routing) {
  for (size_t i = 0; i < routing->route_count; i++) {
    g_free(routing->routes[i].host);
    g_free(routing->routes[i].prefix);
    g_free(routing->routes[i].legs);
  }
  for (size_t i = 0; i < routing->service_count; i++) {
    g_free(routing->services[i].models);
    if (routing->services[i].models_by_name)
      g_hash_table_destroy(routing->services[i].models_by_name);
  }
  g_hash_table_destroy(routing->routes_by_name);
  g_hash_table_destroy(routing->services_by_name);
  g_free(routing->routes);
  g_free(routing->services);
  g_free(routing);
}

routing *routing_compile(const json *value, error *err) {
  if (!value || value->kind != JSON_OBJECT) {
    error_set(err, E_ROUTING_STRUCTURE, "not an object");
    return NULL;
  }
  const json *routes = json_get(value, "routes"), *services = json_get(value, "services");
  routing *t = g_new0(routing, 1);
  t->reference_count = 1;
  t->routes_by_name = g_hash_table_new(route_hash, route_same);
  t->services_by_name = g_hash_table_new(g_str_hash, g_str_equal);
  GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
  int r = take_version(value, &t->revision, err);
  if (!r && (!routes || routes->kind != JSON_ARRAY))
    r = error_set(err, E_ROUTING_STRUCTURE, "routes: missing, or not a list");
  if (!r && (!services || services->kind != JSON_ARRAY))
    r = error_set(err, E_ROUTING_STRUCTURE, "services: missing, or not a list");
  if (!r)
    r = take_limits(&t->limits, json_get(value, "limits"), err);
  if (!r) {
    t->services = g_new0(service, json_count(services) + 1);
    t->routes = g_new0(route, json_count(routes) + 1);
  }
  for (size_t i = 0; !r && i < json_count(services); i++, t->service_count++)
    r = take_service(t, &t->services[i], json_at(services, i), i, err);
  for (size_t i = 0; !r && i < json_count(routes); i++, t->route_count++)
    r = take_route(t, &t->routes[i], json_at(routes, i), i, names, err);
  g_hash_table_destroy(names);
  if (!r)
    return t;
  routing_free(t);
  return NULL;
}

routing *routing_ref(routing *routing) {
  if (routing)
    routing->reference_count++;
  return routing;
}
void routing_unref(routing *routing) {
  if (routing && !--routing->reference_count)
    routing_free(routing);
}

/* the host without its port, in lower case */
static bool host_name(string_view host, char *to, size_t size) {
  size_t n = host.length;
  while (n && g_ascii_isdigit(host.data[n - 1]))
    n--;
  if (n && host.data[n - 1] == ':')
    n--;
  else
    n = host.length;
  if (!n || n >= size)
    return false;
  for (size_t i = 0; i < n; i++)
    to[i] = g_ascii_tolower(host.data[i]);
  to[n] = 0;
  return true;
}

const route *routing_find_route(const routing *routing, string_view host, string_view path) {
  char name[HOST_NAME_MOST];
  if (!routing || !host_name(host, name, sizeof name))
    return NULL;
  const char *query = memchr(path.data, '?', path.length);
  size_t n = query ? (size_t)(query - path.data) : path.length;
  route probe = { .host = name, .prefix = (char *)path.data };
  for (size_t i = MIN(n, routing->prefix_length_max); i > 0; i--) {
    if (path.data[i - 1] != '/')
      continue;
    probe.prefix_length = i;
    const route *k = g_hash_table_lookup(routing->routes_by_name, &probe);
    if (k)
      return k;
  }
  return NULL;
}

const service *routing_find_service(const routing *routing, const char *name) {
  return routing && name ? g_hash_table_lookup(routing->services_by_name, name) : NULL;
}
const service_model_spec *service_find_model(const service *service, const char *name) {
  return service && service->models_by_name && name
             ? g_hash_table_lookup(service->models_by_name, name)
             : NULL;
}

const service *route_pick_service(const route *route, double draw) {
  double at = draw * route->weight_sum;
  const service *last = NULL;
  for (size_t i = 0; i < route->leg_count; i++) {
    if (route->legs[i].weight <= 0)
      continue;
    last = route->legs[i].service;
    if (at < route->legs[i].weight)
      break;
    at -= route->legs[i].weight;
  }
  return last;
}

/* changes */
static int key_at(const json *json, const char *key) {
  for (size_t i = 0; i < json_count(json); i++)
    if (!strcmp(json_key(json, i), key))
      return i;
  return -1;
}

static void put_key(json *to, const char *key, json *v) {
  int at = key_at(to, key);
  if (at < 0) {
    g_ptr_array_add(to->keys, g_strdup(key));
    g_ptr_array_add(to->children, v);
    return;
  }
  json_free(to->children->pdata[at]);
  to->children->pdata[at] = v;
}

static json *list_at(json *top, const char *key) {
  int at = key_at(top, key);
  json *list = at < 0 ? NULL : top->children->pdata[at];
  return list && list->kind == JSON_ARRAY ? list : NULL;
}

static bool named_all(const json *list) {
  for (size_t i = 0; i < json_count(list); i++)
    if (!json_text(json_at(list, i), "name", NULL))
      return false;
  return true;
}

static GHashTable *places_of(const json *list) {
  GHashTable *at = g_hash_table_new(g_str_hash, g_str_equal);
  for (size_t i = 0; i < json_count(list); i++) {
    const char *name = json_text(json_at(list, i), "name", NULL);
    if (name && !g_hash_table_contains(at, name))
      g_hash_table_insert(at, (char *)name, GSIZE_TO_POINTER(i + 1));
  }
  return at;
}

static int drop_from(json *top, const char *key, const json *names, error *err) {
  if (names->kind != JSON_ARRAY)
    return error_set(err, E_ROUTING_PATCH, "drop.%.40s: not a list", key);
  GHashTable *gone = g_hash_table_new(g_str_hash, g_str_equal);
  int r = OK;
  for (size_t i = 0; i < json_count(names) && !r; i++) {
    const json *x = json_at(names, i);
    const char *name = x->kind == JSON_STRING ? x->text->str : json_text(x, "name", NULL);
    if (name)
      g_hash_table_add(gone, (char *)name);
    else
      r = error_set(err, E_ROUTING_PATCH, "drop.%.40s[%zu]: not a name", key, i);
  }
  json *list = list_at(top, key);
  if (!r && list && g_hash_table_size(gone)) {
    GPtrArray *left = g_ptr_array_new_with_free_func((GDestroyNotify)json_free);
    for (size_t i = 0; i < json_count(list); i++) {
      json *x = list->children->pdata[i];
      const char *name = json_text(x, "name", NULL);
      if (name && g_hash_table_contains(gone, name))
        json_free(x);
      else
        g_ptr_array_add(left, x);
    }
    g_ptr_array_set_free_func(list->children, NULL);
    g_ptr_array_free(list->children, TRUE);
    list->children = left;
  }
  g_hash_table_destroy(gone);
  return r;
}

static int set_into(json *top, const char *key, const json *v, error *err) {
  json *list = list_at(top, key);
  bool known = !strcmp(key, "routes") || !strcmp(key, "services");
  if (known && (v->kind != JSON_ARRAY || !named_all(v)))
    return error_set(err, E_ROUTING_PATCH, "set.%s: not a list of named items", key);
  if (v->kind != JSON_ARRAY || !list || !named_all(v)) {
    put_key(top, key, json_copy(v));
    return OK;
  }
  GHashTable *at = places_of(list);
  for (size_t i = 0; i < json_count(v); i++) {
    json *x = json_copy(json_at(v, i));
    const char *name = json_text(x, "name", "");
    size_t place = GPOINTER_TO_SIZE(g_hash_table_lookup(at, name));
    if (place) {
      g_hash_table_replace(at, (char *)name, GSIZE_TO_POINTER(place));
      json_free(list->children->pdata[place - 1]);
      list->children->pdata[place - 1] = x;
    } else {
      g_ptr_array_add(list->children, x);
      g_hash_table_insert(at, (char *)name, GSIZE_TO_POINTER((size_t)list->children->len));
    }
  }
  g_hash_table_destroy(at);
  return OK;
}

json *routing_patch(const json *base, const json *patch, error *err) {
  const json *set = json_get(patch, "set"), *drop = json_get(patch, "drop");
  uint64_t version;
  if (!patch || patch->kind != JSON_OBJECT) {
    error_set(err, E_ROUTING_PATCH, "not an object");
    return NULL;
  }
  if (!base || base->kind != JSON_OBJECT) {
    error_set(err, E_ROUTING_PATCH, "there is nothing to change yet");
    return NULL;
  }
  if (take_version(patch, &version, err))
    return NULL;
  if (set && set->kind == JSON_NULL)
    set = NULL;
  if (drop && drop->kind == JSON_NULL)
    drop = NULL;
  if ((set && set->kind != JSON_OBJECT) || (drop && drop->kind != JSON_OBJECT)) {
    error_set(err, E_ROUTING_PATCH, "set and drop are objects of lists");
    return NULL;
  }
  json *top = json_copy(base);
  put_key(top, "version", json_copy(json_get(patch, "version")));
  int r = OK;
  for (size_t i = 0; i < json_count(drop) && !r; i++)
    r = drop_from(top, json_key(drop, i), json_at(drop, i), err);
  for (size_t i = 0; i < json_count(set) && !r; i++)
    if (strcmp(json_key(set, i), "version"))
      r = set_into(top, json_key(set, i), json_at(set, i), err);
  if (!r)
    return top;
  json_free(top);
  return NULL;
}

int routing_check_successor(const json *next, uint64_t current, error *err) {
  uint64_t version;
  int r = take_version(next, &version, err);
  if (r)
    return r;
  return version > current
             ? OK
             : error_set(err, E_STALE_VERSION, "version: %" PRIu64 " is not above %" PRIu64,
                         version, current);
}
