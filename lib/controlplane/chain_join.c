/** Joining the chain.
 *
 * A controller outside the chain asks other controllers for the view until it knows one. It then
 * fetches a snapshot from a chain member and tells every controller that may propose a view that it
 * has caught up. The next view adds it at the end of the chain, where its predecessor sends it the
 * records that follow the snapshot. */
#include "replica.h"

enum {
  /** Interval between attempts of a controller outside the chain, in ms, before jitter. */
  JOIN_INTERVAL_MS = 300,
  /** Timeout of a request for the view, in ms. */
  VIEW_REQUEST_TIMEOUT_MS = 600,
  /** Once a view is known, one in this many attempts asks another controller instead of the tail.
   */
  ASK_OTHER_THAN_TAIL = 3,
  /** One in this many attempts asks a random controller instead of the most recently heard one. */
  ASK_RANDOM_PEER = 3,
  /** Timeout for acquiring the replication lock, in ms. */
  LOCK_TIMEOUT_MS = 1000,
  /** How long a join request is valid at its receiver, and how often it is repeated, in ms. */
  JOIN_REQUEST_VALID_MS = 1500,
  JOIN_REQUEST_REPEAT_MS = 500,
  /** A controller that has not been added to the chain within this many ms fetches a new snapshot.
   */
  JOIN_REQUEST_TIMEOUT_MS = 3000
};

const member *chain_join_candidate(const replica *replica, int index) {
  time_us now = world_now(replica->node->world);
  time_us received_at = replica->join_requests.entries[index].received_at;
  if (!received_at.us ||
      time_reached(now, time_add(received_at, time_from_ms(JOIN_REQUEST_VALID_MS))))
    return NULL;
  if (!chain_may_join(&replica->view, replica->join_requests.entries[index].epoch))
    return NULL;
  return &replica->join_requests.entries[index].member;
}

/* returns the index of the entry for a controller, or else of the oldest request */
static int find_entry(const join_requests *requests, id controller) {
  int oldest = 0;
  for (int i = 0; i < JOIN_REQUESTS_MAX; i++) {
    if (id_equal(requests->entries[i].member.self, controller))
      return i;
    if (requests->entries[i].received_at.us < requests->entries[oldest].received_at.us)
      oldest = i;
  }
  return oldest;
}

static void remember_request(join_requests *requests, const member *member, uint64_t epoch,
                             time_us now) {
  int i = find_entry(requests, member->self);
  requests->entries[i].member = *member;
  requests->entries[i].epoch = epoch;
  requests->entries[i].received_at = now;
}

enum error_code chain_join_on_request(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  replica *replica = ctx;
  const Wire__JoinRequest *request = in->join_request;
  member member;
  if (!replica->running || !replica->view.epoch)
    return error_set(err, E_NO_CONTROLLER, "no view is known here");
  if (!member_unpack(&member, request->self))
    return error_set(err, E_WIRE_MESSAGE, "no member");
  if (request->ready && chain_may_join(&replica->view, request->epoch))
    remember_request(&replica->join_requests, &member, request->epoch,
                     world_now(replica->node->world));
  Wire__JoinResponse *response =
      reply_new_body(reply, WIRE__ENVELOPE__BODY_JOIN_RESPONSE, &wire__join_response__descriptor);
  response->ok = true;
  response->view = response_view(reply, &replica->view);
  return OK;
}

/* asks a controller for the view that it knows, and adopts it */
static void request_view(replica *replica, const char *address) {
  Wire__JoinRequest request = WIRE__JOIN_REQUEST__INIT;
  Wire__Member self_message;
  member self = replica_as_member(replica);
  member_pack(&self_message, &self);
  request.self = &self_message;
  Wire__Envelope message = wire_envelope(WIRE__ENVELOPE__BODY_JOIN_REQUEST, &request);
  Wire__Envelope *response;
  error err = { 0 };
  if (peer_rpc_call(replica->node, address, &message, time_from_ms(VIEW_REQUEST_TIMEOUT_MS),
                    &response, &err))
    return;
  if (response->body_case == WIRE__ENVELOPE__BODY_JOIN_RESPONSE)
    view_change_adopt(replica, response->join_response->view);
  peer_rpc_message_free(response);
}

/* Returns the most recently heard controller, or sometimes a random one, since gossip may report
 * controllers that no longer run. Returns NULL if none is known. */
static const peer_node *choose_peer(const replica *replica) {
  world *world = replica->node->world;
  const peer_node *chosen = NULL;
  bool random = !world_random(world, ASK_RANDOM_PEER);
  uint64_t seen = 0;
  list_for_each (peer, &replica->node->peers, peer_node, link) {
    if (peer->role != ROLE_CONTROLLER || peer->gone)
      continue;
    if (random ? !world_random(world, ++seen)
               : !chosen || peer->last_heard_at.us > chosen->last_heard_at.us)
      chosen = peer;
  }
  return chosen;
}

/* requests the newest view from the tail of the known view, or from another controller */
static void discover_view(replica *replica) {
  char address[MEMBER_ADDRESS_SIZE] = "";
  const peer_node *peer = choose_peer(replica);
  if (replica->view.epoch && world_random(replica->node->world, ASK_OTHER_THAN_TAIL))
    g_strlcpy(address, replica_tail(replica)->address, sizeof address);
  else if (peer)
    g_strlcpy(address, peer->address, sizeof address);
  if (address[0] && strcmp(address, replica->node->settings.address))
    request_view(replica, address);
}

/* whether the chain has space for one more member, or contains this controller with an earlier disk
 */
static bool chain_has_space(const replica *replica) {
  return replica->view.chain_length < replica_chain_max(replica) ||
         view_chain_index_of_controller(&replica->view, replica->node->settings.self) >= 0;
}

/* Fetches a snapshot from the member nearest to the tail that can provide one. Some members cannot:
 * a silent member stays in the chain for a while, and a member that joined recently is out of sync.
 */
static enum error_code fetch_from_chain(replica *replica, error *err) {
  view view = replica->view;
  enum error_code code = error_set(err, E_NO_CONTROLLER, "no other member is heard");
  for (int i = view.chain_length - 1; i >= 0 && code; i--) {
    if (id_equal(view.chain[i].self, replica->node->settings.self) ||
        repair_plan_member_is_silent(replica, &view.chain[i], MEMBER_LEASE_EXPIRED_MS))
      continue;
    code = snapshot_fetch(replica, view.chain[i].address, err);
    if (code == E_STOPPING)
      return code;
  }
  return code;
}

static enum error_code catch_up(replica *replica, error *err) {
  time_us deadline = time_add(world_now(replica->node->world), time_from_ms(LOCK_TIMEOUT_MS));
  if (!replication_lock(replica, deadline))
    return error_set(err, E_OVERLOADED, "another write holds the lock");
  enum error_code code = fetch_from_chain(replica, err);
  replication_unlock(replica);
  return code;
}

/* Tells every controller that may propose a view that this one has caught up. Does not wait for
 * responses, since some of the receivers may be unavailable. */
static void announce_ready(replica *replica) {
  view view = replica->view;
  id controller = replica->node->settings.self;
  Wire__JoinRequest request = WIRE__JOIN_REQUEST__INIT;
  Wire__Member self_message;
  member self = replica_as_member(replica);
  member_pack(&self_message, &self);
  request.self = &self_message;
  request.ready = true;
  request.epoch = view.epoch;
  Wire__Envelope message = wire_envelope(WIRE__ENVELOPE__BODY_JOIN_REQUEST, &request);
  for (int i = 0; i < view.voter_count; i++)
    if (!id_equal(view.voters[i].self, controller))
      peer_rpc_send(replica->node, view.voters[i].address, &message);
  for (int i = 0; i < view.chain_length; i++)
    if (!id_equal(view.chain[i].self, controller) &&
        member_index(view.voters, view.voter_count, &view.chain[i]) < 0)
      peer_rpc_send(replica->node, view.chain[i].address, &message);
}

static bool wants_to_join(const replica *replica) {
  return replica_chain_index(replica) < 0 && !replica->wal.failed && !replica->node->draining;
}

/* waits until a new view is entered or the request must be repeated */
static void wait_for_view_after(replica *replica, uint64_t epoch) {
  world *world = replica->node->world;
  time_us repeat_at = time_add(world_now(world), time_from_ms(JOIN_REQUEST_REPEAT_MS));
  while (replica->view.epoch == epoch)
    if (condition_wait(&world->tasks, &replica->state_changed, repeat_at) != WAKE_SIGNALLED)
      return;
}

/* Asks to join, and repeats the request under each new view. The snapshot stays usable in the
 * meantime, since the predecessor sends the records that follow it. A replica that is in sync has
 * been in the chain since the fetch; once it is removed it must fetch a new snapshot. */
static void request_join(replica *replica) {
  world *world = replica->node->world;
  time_us deadline = time_add(world_now(world), time_from_ms(JOIN_REQUEST_TIMEOUT_MS));
  while (wants_to_join(replica) && !replica->in_sync && !time_reached(world_now(world), deadline)) {
    uint64_t epoch = replica->view.epoch;
    announce_ready(replica);
    wait_for_view_after(replica, epoch);
    if (world->tasks.stopped)
      return;
  }
}

/* one attempt to bootstrap a fleet or to join the chain */
static void attempt_join(replica *replica) {
  if (!wants_to_join(replica))
    return;
  discover_view(replica);
  if (!replica->view.epoch) {
    bootstrap_attempt(replica);
    return;
  }
  if (replica_chain_index(replica) >= 0 || !chain_has_space(replica))
    return;
  error err = { 0 };
  enum error_code code = catch_up(replica, &err);
  if (code) {
    log_debug(&replica->node->log, "replica", "Failed to catch up: %s (code %d).", err.text, code);
    return;
  }
  request_join(replica);
}

void chain_join_run(void *ctx) {
  replica *replica = ctx;
  while (world_sleep_with_jitter(replica->node->world, time_from_ms(JOIN_INTERVAL_MS)))
    attempt_join(replica);
}
