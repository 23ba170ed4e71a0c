/** Answers config polls of data-plane nodes; see config_poll.h. */
#include "config_poll.h"
#include "reply_text.h"

enum {
  /** How long a poll is held open, in ms: well below CONFIRMATION_VALID_MS, the time for which a
   * node trusts a confirmation. */
  POLL_HOLD_MS = 500,
  /** The same with relaxed settings, where nodes keep serving without confirmations. */
  POLL_HOLD_RELAXED_MS = 1000,
  /** How often a held poll is checked again, in ms, since the loss of a member lease is not
   * broadcast. */
  POLL_RECHECK_MS = 200
};

/** The parts that a response to a poll has. */
typedef struct poll_scope {
  bool engines, state;
} poll_scope;

static void cache_routing_text(config_poll *config_poll) {
  const state *committed = &config_poll->replica->committed;
  routing_text_cache_add(&config_poll->routing_texts,
                         committed->resources[RESOURCE_ROUTING].version,
                         committed->resources[RESOURCE_ROUTING].text);
}

/* True when this controller may send its state to others: it is a member of the chain and has all
 * writes that were acknowledged before it started. */
static bool can_serve_state(const replica *replica) {
  return replica->running && replica->view.epoch && replica_chain_index(replica) >= 0 &&
         replica_is_current(replica);
}

/* Finds which parts of a response this controller can provide; returns an error if none. */
static enum error_code find_scope(const config_poll *config_poll,
                                  const Wire__ConfigPollRequest *request, poll_scope *scope,
                                  error *err) {
  const replica *replica = config_poll->replica;
  scope->engines = request->want_engines && config_poll->registry_sync->is_started;
  scope->state = can_serve_state(replica);
  if (!scope->engines && !scope->state)
    return error_set(err, E_NO_CONTROLLER, "no state is known here");
  if (!request->fleet_id || !replica->view.epoch || request->fleet_id == replica->view.fleet_id)
    return OK;
  if (!scope->engines)
    return error_set(err, E_VIEW_MISMATCH, "another fleet");
  scope->state = false;
  return OK;
}

/* True when the node lacks nothing, and its poll is to be held open. With relaxed settings a
 * controller without a member lease answers at once, so that the node polls another controller. */
static bool is_up_to_date(const config_poll *config_poll, const Wire__ConfigPollRequest *request,
                          const poll_scope *scope) {
  replica *replica = config_poll->replica;
  bool has_state = scope->state && request->sequence && replica->committed.seq <= request->sequence;
  bool lacks_engines =
      scope->engines && registry_sync_has_changes(config_poll->registry_sync, request);
  if (!has_state || lacks_engines)
    return false;
  return !config_poll->node->settings.relaxed_timing || replica_holds_lease(replica);
}

/* Holds a poll open until the node lacks something, or the time limit has passed. */
static void hold_poll(const config_poll *config_poll, const Wire__ConfigPollRequest *request,
                      const poll_scope *scope) {
  world *world = config_poll->node->world;
  int64_t hold_ms =
      config_poll->node->settings.relaxed_timing ? POLL_HOLD_RELAXED_MS : POLL_HOLD_MS;
  time_us deadline = time_add(world_now(world), time_from_ms(hold_ms));
  while (!request->no_wait && is_up_to_date(config_poll, request, scope)) {
    time_us recheck = time_add(world_now(world), time_from_ms(POLL_RECHECK_MS));
    enum wake_reason wake = condition_wait(&world->tasks, &config_poll->replica->state_changed,
                                           recheck.us < deadline.us ? recheck : deadline);
    if (wake == WAKE_STOPPED || time_reached(world_now(world), deadline))
      return;
  }
}

/* Adds the addresses of the other members of the chain, which may have the state. */
static void fill_controllers(const config_poll *config_poll, Wire__ConfigPollResponse *response,
                             reply *reply) {
  const replica *replica = config_poll->replica;
  response->controllers = reply_alloc(reply, sizeof(char *) * CHAIN_MAX);
  for (int i = 0; replica->running && i < replica->view.chain_length; i++) {
    const member *member = &replica->view.chain[i];
    if (!id_equal(member->self, config_poll->node->settings.self))
      response->controllers[response->n_controllers++] = reply_copy_text(reply, member->address);
  }
}

/* Adds a snapshot of the parts of the state that the node lacks, with routing as a delta if
 * possible. */
static void fill_snapshot(config_poll *config_poll, const Wire__ConfigPollRequest *request,
                          Wire__ConfigPollResponse *response, reply *reply) {
  const replica *replica = config_poll->replica;
  const state *committed = &replica->committed;
  cache_routing_text(config_poll);
  bool takes_delta = request->deltas && request->n_resource_versions > RESOURCE_ROUTING;
  uint64_t base = takes_delta ? request->resource_versions[RESOURCE_ROUTING] : 0;
  string_view delta = routing_text_cache_delta(&config_poll->routing_texts, base,
                                               committed->resources[RESOURCE_ROUTING].version,
                                               committed->resources[RESOURCE_ROUTING].text);
  GString *snapshot = g_string_new(NULL);
  state_pack_for_router_with_delta(committed, replica->view.epoch, request->resource_versions,
                                   request->n_resource_versions, base, delta, snapshot);
  response->snapshot.len = snapshot->len;
  response->snapshot.data = reply_alloc(reply, snapshot->len + 1);
  memcpy(response->snapshot.data, snapshot->str, snapshot->len);
  g_string_free(snapshot, TRUE);
  config_poll->updates_sent++;
}

static void fill_state(config_poll *config_poll, const Wire__ConfigPollRequest *request,
                       time_us received_at, Wire__ConfigPollResponse *response, reply *reply) {
  replica *replica = config_poll->replica;
  response->confirmed = replica_holds_lease(replica);
  response->held_ms =
      (uint64_t)time_sub(world_now(config_poll->node->world), received_at).us / 1000;
  response->epoch = replica->view.epoch;
  response->sequence = replica->committed.seq;
  response->changed = replica->committed.seq > request->sequence || !request->sequence;
  if (response->changed)
    fill_snapshot(config_poll, request, response, reply);
}

/* Handles ConfigPollRequest. */
static enum error_code handle_config_poll(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  config_poll *config_poll = ctx;
  replica *replica = config_poll->replica;
  const Wire__ConfigPollRequest *request = in->config_poll_request;
  poll_scope scope;
  enum error_code code = find_scope(config_poll, request, &scope, err);
  if (code)
    return code;
  cache_routing_text(config_poll);
  /* a node that knows a later write shows that this replica lags behind */
  if (scope.state && request->sequence > replica->committed.seq)
    condition_broadcast(&replica->replication_wanted);
  time_us received_at = world_now(config_poll->node->world);
  hold_poll(config_poll, request, &scope);
  Wire__ConfigPollResponse *response = reply_new_body(
      reply, WIRE__ENVELOPE__BODY_CONFIG_POLL_RESPONSE, &wire__config_poll_response__descriptor);
  if (scope.engines)
    registry_sync_fill_response(config_poll->registry_sync, request, response, reply);
  if (scope.state)
    fill_state(config_poll, request, received_at, response, reply);
  else
    fill_controllers(config_poll, response, reply);
  return OK;
}

void config_poll_init(config_poll *config_poll, node *node, replica *replica,
                      registry_sync *registry_sync) {
  config_poll->node = node;
  config_poll->replica = replica;
  config_poll->registry_sync = registry_sync;
  peer_rpc_register_handler(node, WIRE__ENVELOPE__BODY_CONFIG_POLL_REQUEST, handle_config_poll,
                            config_poll);
}

void config_poll_free(config_poll *config_poll) {
  routing_text_cache_free(&config_poll->routing_texts);
}
