/**
 * The parts common to all configuration polls: requests, responses and confirmations.
 */
#include "config_sync.h"
#include "admission.h"
#include "config_snapshot.h"
#include "controller_poll.h"
#include "router.h"
#include "router_sync.h"

void config_sync_init(config_sync *sync) {
  for (int i = 0; i < RESOURCE_COUNT; i++)
    sync->resources[i] = g_string_new("{}");
  sync->singleton_grants = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void config_sync_free(config_sync *sync) {
  for (int i = 0; i < RESOURCE_COUNT; i++)
    g_string_free(sync->resources[i], TRUE);
  g_hash_table_destroy(sync->singleton_grants);
}

bool config_sync_is_recent(router *router) {
  return router_happened_within(router, router->sync.config_confirmed_at, CONFIRMATION_VALID_MS);
}

bool config_sync_find_grant(router *router, const char *singleton, id *holder, uint64_t *epoch) {
  const known_grant *grant = g_hash_table_lookup(router->sync.singleton_grants, singleton);
  if (!grant)
    return false;
  *holder = grant->holder;
  *epoch = grant->epoch;
  return true;
}

void config_sync_confirm(router *router, time_us at) {
  if (at.us > router->sync.config_confirmed_at.us)
    router->sync.config_confirmed_at = at;
  router->sync.ever_confirmed = true;
}

uint64_t config_sync_age_ms(router *router, time_us at) {
  return (uint64_t)time_sub(world_now(router->node.world), at).us / 1000 + 1;
}

void config_sync_prepare(router *router, Wire__ConfigPollRequest *request) {
  config_sync *sync = &router->sync;
  wire__config_poll_request__init(request);
  request->epoch = sync->view_epoch;
  request->sequence = router->sync.config_version;
  request->fleet_id = sync->fleet_id;
  request->n_resource_versions = config_snapshot_resource_count(router);
  request->resource_versions = router->sync.resource_versions;
  request->engine_list_age_ms = engine_list_age_ms(router);
}

bool config_sync_poll(router *router, const char *address, Wire__ConfigPollRequest *request,
                      int64_t timeout_ms, config_exchange *exchange) {
  *exchange = (config_exchange){ .sent_at = world_now(router->node.world) };
  memcpy(exchange->sent_versions, router->sync.resource_versions, sizeof exchange->sent_versions);
  Wire__Envelope message = wire_envelope(WIRE__ENVELOPE__BODY_CONFIG_POLL_REQUEST, request);
  error err = { 0 };
  if (peer_rpc_call(&router->node, address, &message, time_from_ms(timeout_ms), &exchange->envelope,
                    &err))
    return false;
  if (exchange->envelope->body_case == WIRE__ENVELOPE__BODY_CONFIG_POLL_RESPONSE)
    exchange->response = exchange->envelope->config_poll_response;
  return true;
}

bool config_sync_install(router *router, const config_exchange *exchange, const char *address) {
  const Wire__ConfigPollResponse *response = exchange->response;
  if (!response->changed || !response->snapshot.len)
    return false;
  bool versions_changed = memcmp(exchange->sent_versions, router->sync.resource_versions,
                                 sizeof exchange->sent_versions) != 0;
  return config_snapshot_install(router, &response->snapshot, address, versions_changed);
}

bool config_sync_is_up_to_date(router *router, const config_exchange *exchange) {
  return router->config && exchange->response->sequence <= router->sync.config_version;
}

void config_sync_finish(router *router, config_exchange *exchange) {
  if (exchange->response)
    condition_broadcast(&router->state_changed);
  peer_rpc_message_free(exchange->envelope);
}

void config_sync_start(router *router) {
  router_sync_register(router);
  controller_poll_start(router);
  router_sync_start(router);
}
