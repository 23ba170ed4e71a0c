/** @file
 * Applies each patch to the configuration that it names as its base, and finds routes as the
 * documentation specifies: by host and the longest matching prefix of the target. */
#include "gateway_check_allowed.h"

static void remove_named(json *list, const char *name) {
  for (size_t i = 0; i < json_count(list); i++) {
    if (strcmp(json_text(json_at(list, i), "name", ""), name))
      continue;
    g_ptr_array_remove_index(list->children, (guint)i);
    return;
  }
}

/* a copy of the configuration that a patch builds on, or NULL; if two operators sent changes with
 * the same version, the acknowledged one */
static json *copy_base(const GArray *configs, uint64_t version) {
  json *base = NULL;
  for (guint i = 0; i < configs->len; i++) {
    const allowed_config *config = &g_array_index(configs, allowed_config, i);
    if (config->change->version != version || (base && !config->change->acked_at.us))
      continue;
    json_free(base);
    base = json_copy(config->json);
  }
  return base;
}

static void patch_list(json *config, const json *patch, const char *name) {
  json *list = (json *)json_get(config, name);
  const json *drop = json_get(json_get(patch, "drop"), name);
  const json *set = json_get(json_get(patch, "set"), name);
  for (size_t i = 0; i < json_count(drop); i++)
    remove_named(list, json_at(drop, i)->text->str);
  for (size_t i = 0; i < json_count(set); i++) {
    remove_named(list, json_text(json_at(set, i), "name", ""));
    g_ptr_array_add(list->children, json_copy(json_at(set, i)));
  }
}

/* the configuration that a change results in, or NULL */
static json *resolve_change(const GArray *configs, const operator_sim_change *change) {
  json *sent = json_parse(string_view_of(change->text), NULL);
  if (!change->patch)
    return sent;
  json *config = copy_base(configs, change->base);
  if (config) {
    patch_list(config, sent, "routes");
    patch_list(config, sent, "services");
  }
  json_free(sent);
  return config;
}

GArray *allowed_configs_new(const deployment *deployment) {
  GArray *configs = g_array_new(FALSE, TRUE, sizeof(allowed_config));
  for (guint i = 0; i < deployment->operator->changes->len; i++) {
    const operator_sim_change *change = deployment->operator->changes->pdata[i];
    if (!change->valid)
      continue;
    allowed_config config = { change, resolve_change(configs, change) };
    if (config.json)
      g_array_append_val(configs, config);
  }
  return configs;
}

void allowed_configs_free(GArray *configs) {
  for (guint i = 0; i < configs->len; i++)
    json_free(g_array_index(configs, allowed_config, i).json);
  g_array_free(configs, TRUE);
}

static const json *find_route(const json *config, const char *host_name, const char *target) {
  const json *routes = json_get(config, "routes"), *best = NULL;
  size_t longest = 0;
  for (size_t i = 0; i < json_count(routes); i++) {
    const json *route = json_at(routes, i);
    const char *prefix = json_text(route, "prefix", "");
    size_t length = strlen(prefix);
    if (strcmp(json_text(route, "host", ""), host_name) || strncmp(prefix, target, length) ||
        length <= longest)
      continue;
    longest = length;
    best = route;
  }
  return best;
}

static bool route_permits(const json *route, const char *service) {
  if (!strcmp(json_text(route, "service", ""), service))
    return true;
  const json *split = json_get(route, "split");
  for (size_t i = 0; i < json_count(split); i++)
    if (!strcmp(json_text(json_at(split, i), "service", ""), service) &&
        json_number(json_at(split, i), "weight", 0) > 0)
      return true;
  return false;
}

bool allowed_config_permits(const allowed_config *config, const client_sim_attempt *attempt,
                            const char *service) {
  const json *route = find_route(config->json, attempt->request->kind->host, attempt->target);
  if (!route || !service)
    return route != NULL;
  return route_permits(route, service);
}

bool allowed_configs_permit(const GArray *configs, const client_sim_attempt *attempt,
                            const char *service) {
  for (guint i = 0; i < configs->len; i++)
    if (allowed_config_permits(&g_array_index(configs, allowed_config, i), attempt, service))
      return true;
  return false;
}
