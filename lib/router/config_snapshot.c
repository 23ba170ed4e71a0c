/**
 * Installs and packs state snapshots. config_snapshot_install shows the steps of an installation.
 */
#include "config_snapshot.h"
#include "delta.h"
#include "router.h"
#include "router_sync.h"
#include "routing.h"
#include <stdlib.h>

/* A snapshot that is being checked; no part of it is in force yet. */
typedef struct candidate {
  const char *from;
  bool versions_changed;
  Wire__StateSnapshot *snapshot;
  /* by resource number; borrowed from the snapshot, NULL when it lists no such resource */
  Wire__Resource *resources[RESOURCE_COUNT];
  json *documents[RESOURCE_COUNT];
  config *config;
  /* routing_changed: the snapshot contains a different routing. `routing` is NULL also if that
     routing is empty. */
  bool routing_changed;
  routing *routing;
} candidate;

size_t config_snapshot_resource_count(const router *router) {
  return router->sync.resource_versions[RESOURCE_CANARY] ? RESOURCE_COUNT : RESOURCE_CANARY;
}

static bool check_is_newer(router *router, const candidate *candidate) {
  const config_sync *sync = &router->sync;
  const Wire__StateSnapshot *snapshot = candidate->snapshot;
  if (sync->fleet_id && snapshot->fleet_id != sync->fleet_id) {
    log_info(&router->node.log, "config", "Refused a snapshot of another fleet from %s (code %d).",
             candidate->from, E_VIEW_MISMATCH);
    return false;
  }
  return !router->config || snapshot->sequence > router->sync.config_version;
}

static void find_resources(candidate *candidate) {
  const Wire__StateSnapshot *snapshot = candidate->snapshot;
  for (size_t i = 0; i < snapshot->n_resources; i++)
    for (int k = 0; k < RESOURCE_COUNT; k++)
      if (!strcmp(snapshot->resources[i]->name, resource_names[k]))
        candidate->resources[k] = snapshot->resources[i];
}

static void request_full_snapshot(router *router, const candidate *candidate) {
  if (!candidate->versions_changed)
    memset(router->sync.resource_versions, 0, sizeof router->sync.resource_versions);
}

/* Replaces the delta of a resource with its full text. */
static bool apply_delta(const router *router, int resource_index, Wire__Resource *resource) {
  if (resource->base_version != router->sync.resource_versions[resource_index])
    return false;
  GString *text = g_string_new(NULL);
  string_view delta = { (char *)resource->delta.data, resource->delta.len };
  if (!delta_apply(string_view_of_gstring(router->sync.resources[resource_index]), delta, text)) {
    g_string_free(text, TRUE);
    return false;
  }
  free(resource->text.data);
  resource->text.len = text->len;
  resource->text.data = (uint8_t *)g_string_free(text, FALSE);
  return true;
}

/* True when the full text of a resource is known, either from the snapshot or because it is the
 * version in force. */
static bool resolve_text(router *router, const candidate *candidate, int resource_index) {
  Wire__Resource *resource = candidate->resources[resource_index];
  bool fits = resource && (!resource->same ||
                           resource->version == router->sync.resource_versions[resource_index]);
  if (fits && resource->delta.len)
    fits = apply_delta(router, resource_index, resource);
  if (!fits)
    request_full_snapshot(router, candidate);
  return fits;
}

static bool parse_resources(router *router, candidate *candidate) {
  for (int k = 0; k < RESOURCE_COUNT; k++) {
    Wire__Resource *resource = candidate->resources[k];
    /* no canary has been declared, or the sender's version does not support canaries */
    if (!resource && k == RESOURCE_CANARY)
      continue;
    if (!resolve_text(router, candidate, k))
      return false;
    /* the routing in force is already compiled */
    if (k == RESOURCE_ROUTING && resource->version == router->sync.resource_versions[k])
      continue;
    string_view text = resource->same
                           ? string_view_of_gstring(router->sync.resources[k])
                           : (string_view){ (char *)resource->text.data, resource->text.len };
    error err = { 0 };
    candidate->documents[k] = json_parse(text, &err);
    if (!candidate->documents[k])
      return false;
  }
  return true;
}

static bool compile_routing(router *router, candidate *candidate) {
  const json *document = candidate->documents[RESOURCE_ROUTING];
  if (!document)
    return true;
  candidate->routing_changed = true;
  if (!json_count(document))
    return true;
  error err = { 0 };
  candidate->routing = routing_compile(document, &err);
  if (!candidate->routing)
    log_info(&router->node.log, "config",
             "Refused the routing of snapshot %" PRIu64 " from %s: %s (code %d).",
             candidate->snapshot->sequence, candidate->from, err.text, err.code);
  return candidate->routing != NULL;
}

static bool compile_config(router *router, candidate *candidate) {
  error err = { 0 };
  candidate->config = config_compile((const json **)candidate->documents, &err);
  if (!candidate->config)
    log_info(&router->node.log, "config", "Refused snapshot %" PRIu64 " from %s: %s (code %d).",
             candidate->snapshot->sequence, candidate->from, err.text, err.code);
  return candidate->config != NULL;
}

static void replace_resources(router *router, const candidate *candidate) {
  GString **texts = router->sync.resources;
  for (int k = 0; k < RESOURCE_COUNT; k++) {
    const Wire__Resource *resource = candidate->resources[k];
    router->sync.resource_versions[k] = resource ? resource->version : 0;
    if (!resource) {
      g_string_assign(texts[k], "{}");
      continue;
    }
    if (resource->same)
      continue;
    g_string_truncate(texts[k], 0);
    g_string_append_len(texts[k], (char *)resource->text.data, (gssize)resource->text.len);
  }
}

static void replace_grants(config_sync *sync, const Wire__StateSnapshot *snapshot) {
  g_hash_table_remove_all(sync->singleton_grants);
  for (size_t i = 0; i < snapshot->n_grants; i++) {
    known_grant *grant = g_new0(known_grant, 1);
    grant->holder = id_of_text(snapshot->grants[i]->holder);
    grant->epoch = snapshot->grants[i]->epoch;
    g_hash_table_insert(sync->singleton_grants, g_strdup(snapshot->grants[i]->singleton), grant);
  }
}

/* Moves the compiled parts of the candidate into the router. */
static void put_in_force(router *router, candidate *candidate, size_t packed_size) {
  config_sync *sync = &router->sync;
  const Wire__StateSnapshot *snapshot = candidate->snapshot;
  config_free(router->config);
  router->config = candidate->config;
  candidate->config = NULL;
  if (candidate->routing_changed) {
    routing_unref(router->routing);
    router->routing = candidate->routing;
    candidate->routing = NULL;
  }
  sync->fleet_id = snapshot->fleet_id;
  router->sync.config_version = snapshot->sequence;
  sync->view_epoch = MAX(sync->view_epoch, snapshot->epoch);
  replace_resources(router, candidate);
  replace_grants(sync, snapshot);
  router->sync.snapshot_bytes += packed_size;
  router->sync.snapshot_count++;
  event_history_set_window(&router->history, time_from_ms(router->config->rate_window_s * 1000));
  router->history.smoothing_factor = router->config->smoothing_factor;
}

static void notify_installed(router *router, const candidate *candidate) {
  log_debug(&router->node.log, "config",
            "Version %" PRIu64 " of view %" PRIu64 " is in force, received from %s.",
            candidate->snapshot->sequence, candidate->snapshot->epoch, candidate->from);
  /* in relaxed mode, writes do not wait for routers */
  if (!router->node.settings.relaxed_timing)
    router_sync_report_version(router);
  condition_broadcast(&router->state_changed);
  if (router->on_snapshot_installed)
    router->on_snapshot_installed(router->gateway);
}

static void free_candidate(candidate *candidate) {
  for (int k = 0; k < RESOURCE_COUNT; k++)
    json_free(candidate->documents[k]);
  config_free(candidate->config);
  routing_unref(candidate->routing);
  wire__state_snapshot__free_unpacked(candidate->snapshot, NULL);
}

bool config_snapshot_install(router *router, const ProtobufCBinaryData *packed, const char *from,
                             bool versions_changed) {
  candidate candidate = { .from = from, .versions_changed = versions_changed };
  candidate.snapshot = wire__state_snapshot__unpack(NULL, packed->len, packed->data);
  if (!candidate.snapshot)
    return false;
  find_resources(&candidate);
  bool valid = check_is_newer(router, &candidate) && parse_resources(router, &candidate) &&
               compile_routing(router, &candidate) && compile_config(router, &candidate);
  if (valid) {
    put_in_force(router, &candidate, packed->len);
    notify_installed(router, &candidate);
  }
  free_candidate(&candidate);
  return valid;
}

static void fill_resources(const router *router, Wire__Resource *resources,
                           Wire__Resource **pointers) {
  for (int k = 0; k < RESOURCE_COUNT; k++) {
    wire__resource__init(&resources[k]);
    resources[k].name = (char *)resource_names[k];
    resources[k].version = router->sync.resource_versions[k];
    resources[k].text.data = (uint8_t *)router->sync.resources[k]->str;
    resources[k].text.len = router->sync.resources[k]->len;
    pointers[k] = &resources[k];
  }
}

static void fill_grants(config_sync *sync, Wire__SingletonGrant *grants,
                        Wire__SingletonGrant **pointers) {
  GHashTableIter iterator;
  gpointer key, value;
  size_t i = 0;
  g_hash_table_iter_init(&iterator, sync->singleton_grants);
  while (g_hash_table_iter_next(&iterator, &key, &value)) {
    known_grant *grant = value;
    wire__singleton_grant__init(&grants[i]);
    grants[i].singleton = key;
    grants[i].holder = grant->holder.text;
    grants[i].epoch = grant->epoch;
    pointers[i] = &grants[i];
    i++;
  }
}

void config_snapshot_pack(router *router, reply *reply, ProtobufCBinaryData *to) {
  config_sync *sync = &router->sync;
  Wire__Resource resources[RESOURCE_COUNT], *resource_pointers[RESOURCE_COUNT];
  guint grant_count = g_hash_table_size(sync->singleton_grants);
  Wire__SingletonGrant *grants = g_new(Wire__SingletonGrant, grant_count + 1),
                       **grant_pointers = g_new(Wire__SingletonGrant *, grant_count + 1);
  fill_resources(router, resources, resource_pointers);
  fill_grants(sync, grants, grant_pointers);
  Wire__StateSnapshot snapshot = WIRE__STATE_SNAPSHOT__INIT;
  snapshot.fleet_id = sync->fleet_id;
  snapshot.sequence = router->sync.config_version;
  snapshot.epoch = sync->view_epoch;
  snapshot.n_resources = config_snapshot_resource_count(router);
  snapshot.resources = resource_pointers;
  snapshot.n_grants = grant_count;
  snapshot.grants = grant_pointers;
  to->len = wire__state_snapshot__get_packed_size(&snapshot);
  to->data = reply_alloc(reply, to->len + 1);
  wire__state_snapshot__pack(&snapshot, to->data);
  g_free(grants);
  g_free(grant_pointers);
}
