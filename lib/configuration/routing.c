/** The compiled routing configuration: its lifetime, and the lookups for requests. */
#include "routing.h"
#include "routing_internal.h"

/* Routes are hashed and compared by host and prefix. */
static guint route_hash(gconstpointer p) {
  const route *route = p;
  return (guint)hash_bytes(route->prefix, route->prefix_length, g_str_hash(route->host));
}

static gboolean route_equal(gconstpointer a, gconstpointer b) {
  const route *x = a, *y = b;
  return x->prefix_length == y->prefix_length && !memcmp(x->prefix, y->prefix, x->prefix_length) &&
         !strcmp(x->host, y->host);
}

routing *routing_new(void) {
  routing *routing = g_malloc0(sizeof *routing);
  routing->reference_count = 1;
  routing->routes_by_host_and_prefix = g_hash_table_new(route_hash, route_equal);
  routing->services_by_name = g_hash_table_new(g_str_hash, g_str_equal);
  return routing;
}

static void routing_free(routing *routing) {
  for (size_t i = 0; i < routing->route_count; i++) {
    g_free(routing->routes[i].host);
    g_free(routing->routes[i].prefix);
    g_free(routing->routes[i].weighted_services);
  }
  for (size_t i = 0; i < routing->service_count; i++) {
    g_free(routing->services[i].models);
    if (routing->services[i].models_by_name)
      g_hash_table_destroy(routing->services[i].models_by_name);
  }
  g_hash_table_destroy(routing->routes_by_host_and_prefix);
  g_hash_table_destroy(routing->services_by_name);
  g_free(routing->routes);
  g_free(routing->services);
  g_free(routing);
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

/* Writes the host in lower case and without its port; false if it is empty or too long. */
static bool normalize_host(string_view host, char *to, size_t size) {
  size_t length = host.length;
  while (length && g_ascii_isdigit(host.data[length - 1]))
    length--;
  if (length && host.data[length - 1] == ':')
    length--;
  else
    length = host.length;
  if (!length || length >= size)
    return false;
  for (size_t i = 0; i < length; i++)
    to[i] = g_ascii_tolower(host.data[i]);
  to[length] = 0;
  return true;
}

const route *routing_find_route(const routing *routing, string_view host, string_view path) {
  char name[HOST_NAME_SIZE];
  if (!routing || !normalize_host(host, name, sizeof name))
    return NULL;
  const char *query = memchr(path.data, '?', path.length);
  size_t length = query ? (size_t)(query - path.data) : path.length;
  route wanted = { .host = name, .prefix = (char *)path.data };
  /* all prefixes end with a slash; the longest is tried first */
  for (size_t i = MIN(length, routing->prefix_length_max); i > 0; i--) {
    if (path.data[i - 1] != '/')
      continue;
    wanted.prefix_length = i;
    const route *found = g_hash_table_lookup(routing->routes_by_host_and_prefix, &wanted);
    if (found)
      return found;
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

const service *route_pick_service(const route *route, double random_fraction) {
  double remaining = random_fraction * route->weight_sum;
  const service *last = NULL;
  for (size_t i = 0; i < route->weighted_service_count; i++) {
    if (route->weighted_services[i].weight <= 0)
      continue;
    last = route->weighted_services[i].service;
    if (remaining < route->weighted_services[i].weight)
      break;
    remaining -= route->weighted_services[i].weight;
  }
  return last;
}

enum error_code routing_check_successor(const json *next, uint64_t current_revision, error *err) {
  uint64_t revision;
  enum error_code code = routing_read_revision(next, &revision, err);
  if (code)
    return code;
  return revision > current_revision
             ? OK
             : error_set(err, E_STALE_VERSION, "version: %" PRIu64 " is not above %" PRIu64,
                         revision, current_revision);
}
