/** Founding a fleet, and coming into the chain of one. */
#include "replica_internal.h"

bool bootstrap_is_by_name(const replica *replica) {
  return !id_is_empty(replica->node->settings.founders[0]);
}

static const char *first_founder(const replica *replica) {
  const char *low = NULL;
  for (int i = 0; i < replica->founder_count; i++)
    if (!low || strcmp(replica->founder_addresses[i], low) < 0)
      low = replica->founder_addresses[i];
  return low;
}

bool bootstrap_is_founder(const replica *replica) {
  for (int i = 0; i < 3 && bootstrap_is_by_name(replica); i++)
    if (id_equal(replica->node->settings.founders[i], replica->node->settings.self))
      return true;
  for (int i = 0; i < replica->founder_count && !bootstrap_is_by_name(replica); i++)
    if (!strcmp(replica->founder_addresses[i], replica->node->settings.address))
      return true;
  return false;
}

bool bootstrap_is_first_founder(const replica *replica, const char *name, const char *addr) {
  if (bootstrap_is_by_name(replica))
    return !strcmp(replica->node->settings.founders[0].text, name);
  return replica->founder_count && !strcmp(first_founder(replica), addr);
}

int bootstrap_on_request(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  replica *replica = ctx;
  if (!replica->running)
    return error_set(err, E_NO_CONTROLLER, "starting");
  Wire__BootstrapResponse *b = reply_new_body(reply, WIRE__ENVELOPE__BODY_BOOTSTRAP_RESPONSE,
                                              &wire__bootstrap_response__descriptor);
  b->self = response_self(reply, replica);
  b->blank = !replica->view.epoch && !replica->wal.failed && bootstrap_is_founder(replica) &&
             bootstrap_is_first_founder(replica, in->from->id, in->from->address);
  b->disk_id = replica->disk_id;
  if (replica->view.epoch)
    b->view = response_view(reply, &replica->view);
  return OK;
}

int chain_join_on_request(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  replica *replica = ctx;
  member m;
  if (!replica->running || !replica->view.epoch)
    return error_set(err, E_NO_CONTROLLER, "no view is known here");
  if (!member_unpack(&m, in->join_request->self))
    return error_set(err, E_WIRE_MESSAGE, "no member");
  if (in->join_request->ready && chain_may_join(&replica->view, in->join_request->epoch)) {
    int at = 0;
    for (size_t i = 0; i < G_N_ELEMENTS(replica->join_requests); i++) {
      if (id_equal(replica->join_requests[i].who.self, m.self)) {
        at = i;
        break;
      }
      if (replica->join_requests[i].at.us < replica->join_requests[at].at.us)
        at = i;
    }
    replica->join_requests[at].who = m;
    replica->join_requests[at].epoch = in->join_request->epoch;
    replica->join_requests[at].at = world_now(replica->node->world);
  }
  Wire__JoinResponse *b =
      reply_new_body(reply, WIRE__ENVELOPE__BODY_JOIN_RESPONSE, &wire__join_response__descriptor);
  b->ok = true;
  b->view = response_view(reply, &replica->view);
  return OK;
}

/* asks a machine for the view that it knows */
static int chain_join_ask_view(replica *replica, const char *addr) {
  Wire__JoinRequest q = WIRE__JOIN_REQUEST__INIT;
  Wire__Member w;
  member self = replica_as_member(replica);
  member_pack(&w, &self);
  q.self = &w;
  Wire__Envelope m = wire_envelope(WIRE__ENVELOPE__BODY_JOIN_REQUEST, &q);
  Wire__Envelope *b;
  error err = { 0 };
  int r = node_call(replica->node, addr, &m, time_from_ms(600), &b, &err);
  if (r)
    return r;
  if (b->body_case == WIRE__ENVELOPE__BODY_JOIN_RESPONSE)
    view_change_adopt(replica, b->join_response->view);
  node_reply_free(b);
  return OK;
}

static void bootstrap_try(replica *replica) {
  if (!bootstrap_is_founder(replica) ||
      !bootstrap_is_first_founder(replica, replica->node->settings.self.text,
                                  replica->node->settings.address))
    return;
  int n = bootstrap_is_by_name(replica) ? 3 : replica->founder_count;
  view v = { .epoch = 1,
             .fleet_id = replica->acceptor.has_accepted
                             ? replica->acceptor.value.fleet_id
                             : replica->node->world->random(replica->node->world) | 1,
             .chain_length = 1,
             .voter_count = 1 };
  v.chain[0] = v.voters[0] = replica_as_member(replica);
  for (int i = 0; i < n; i++) {
    char addr[48] = "";
    if (bootstrap_is_by_name(replica)) {
      peer_node *peer = node_find_peer(replica->node, replica->node->settings.founders[i]);
      if (id_equal(replica->node->settings.founders[i], replica->node->settings.self))
        continue;
      if (!peer || peer->gone)
        return;
      g_strlcpy(addr, peer->address, sizeof addr);
    } else {
      g_strlcpy(addr, replica->founder_addresses[i], sizeof addr);
      if (!strcmp(addr, replica->node->settings.address))
        continue;
    }
    Wire__BootstrapRequest q = WIRE__BOOTSTRAP_REQUEST__INIT;
    q.id = replica->node->settings.self.text;
    q.disk_id = replica->disk_id;
    q.blank = true;
    Wire__Envelope m = wire_envelope(WIRE__ENVELOPE__BODY_BOOTSTRAP_REQUEST, &q);
    Wire__Envelope *b;
    error err = { 0 };
    if (node_call(replica->node, addr, &m, time_from_ms(600), &b, &err))
      return;
    member *new = &v.chain[v.chain_length];
    bool ok = b->body_case == WIRE__ENVELOPE__BODY_BOOTSTRAP_RESPONSE &&
              b->bootstrap_response->blank && member_unpack(new, b->bootstrap_response->self);
    ok = ok &&
         (bootstrap_is_by_name(replica) ? id_equal(new->self, replica->node->settings.founders[i])
                                        : !strcmp(new->address, addr)) &&
         member_index(v.chain, v.chain_length, new) < 0;
    if (b->body_case == WIRE__ENVELOPE__BODY_BOOTSTRAP_RESPONSE && b->bootstrap_response->view)
      view_change_adopt(replica, b->bootstrap_response->view);
    node_reply_free(b);
    if (!ok || replica->view.epoch)
      return;
    v.chain_length++;
  }
  /* two voters would be worse than one */
  v.voter_count = v.chain_length == 3 ? 3 : 1;
  memcpy(v.voters, v.chain, sizeof v.chain[0] * v.voter_count);
  v.chain_length = MIN(v.chain_length, replica_chain_max(replica));
  if (view_change_propose(replica, &v, NULL, 0, false))
    log_info(&replica->node->log, "core", "Founded fleet %016" PRIx64 ".", v.fleet_id);
}

/* fetches the state from the member nearest to the tail that has it: one that was lost may stand in
 * the chain for a while, and one that came back lately is not whole */
static int chain_join_fetch(replica *replica, error *err) {
  view v = replica->view;
  int r = error_set(err, E_NO_CONTROLLER, "no other member is heard");
  for (int i = v.chain_length - 1; i >= 0 && r; i--) {
    if (id_equal(v.chain[i].self, replica->node->settings.self) ||
        chain_repair_is_silent(replica, &v.chain[i], MEMBER_LEASE_EXPIRED_MS))
      continue;
    r = snapshot_fetch(replica, v.chain[i].address, err);
    if (r == E_STOPPING)
      return r;
  }
  return r;
}

/* tells all who may propose a view that this machine has caught up; nobody is waited for, since
 * some of them may be lost */
static void chain_join_announce(replica *replica) {
  view v = replica->view;
  Wire__JoinRequest q = WIRE__JOIN_REQUEST__INIT;
  Wire__Member w;
  member self = replica_as_member(replica);
  member_pack(&w, &self);
  q.self = &w;
  q.ready = true;
  q.epoch = v.epoch;
  Wire__Envelope m = wire_envelope(WIRE__ENVELOPE__BODY_JOIN_REQUEST, &q);
  for (int i = 0; i < v.voter_count; i++)
    if (!id_equal(v.voters[i].self, replica->node->settings.self))
      node_send(replica->node, v.voters[i].address, &m);
  for (int i = 0; i < v.chain_length; i++)
    if (!id_equal(v.chain[i].self, replica->node->settings.self) &&
        member_index(v.voters, v.voter_count, &v.chain[i]) < 0)
      node_send(replica->node, v.chain[i].address, &m);
}

/* asks to be taken in, again under each view. What was fetched stays good meanwhile: whoever comes
 * before this machine in the chain sends it the records after it. Once this copy was whole, it was
 * in the chain, and has to be fetched anew when it is left out. */
static void chain_join_request(replica *replica) {
  world *world = replica->node->world;
  time_us till = time_add(world_now(world), time_from_ms(JOIN_REQUEST_TIMEOUT_MS));
  while (replica_chain_index(replica) < 0 && !replica->in_sync && !replica->wal.failed &&
         !replica->node->draining && !time_reached(world_now(world), till)) {
    uint64_t epoch = replica->view.epoch;
    chain_join_announce(replica);
    time_us again = time_add(world_now(world), time_from_ms(JOIN_REQUEST_REPEAT_MS));
    while (replica->view.epoch == epoch)
      if (condition_wait(&world->tasks, &replica->state_changed, again) != WAKE_SIGNALLED)
        break;
    if (world->tasks.stopped)
      return;
  }
}

void chain_join_run(void *p) {
  replica *replica = p;
  world *world = replica->node->world;
  while (world_sleep_with_jitter(world, time_from_ms(300))) {
    if (replica_chain_index(replica) >= 0 || replica->wal.failed || replica->node->draining)
      continue;
    /* the one that was heard last, or any: a table that came from others may name the dead */
    peer_node *peer = NULL;
    bool any = !world_random(world, 3);
    uint64_t seen = 0;
    list_for_each (x, &replica->node->peers, peer_node, link)
      if (x->role == ROLE_CONTROLLER && !x->gone &&
          (any ? !world_random(world, ++seen)
               : !peer || x->last_heard_at.us > peer->last_heard_at.us))
        peer = x;
    char addr[48] = "";
    if (replica->view.epoch && world_random(world, 3))
      g_strlcpy(addr, replica_tail(replica)->address, sizeof addr);
    else if (peer)
      g_strlcpy(addr, peer->address, sizeof addr);
    if (addr[0] && strcmp(addr, replica->node->settings.address))
      chain_join_ask_view(replica, addr);
    if (!replica->view.epoch) {
      bootstrap_try(replica);
      continue;
    }
    if (replica_chain_index(replica) >= 0)
      continue;
    if (replica->view.chain_length >= replica_chain_max(replica)) {
      bool own = false;
      for (int i = 0; i < replica->view.chain_length; i++)
        own |= id_equal(replica->view.chain[i].self, replica->node->settings.self);
      if (!own)
        continue;
    }
    if (!replication_lock(replica, time_add(world_now(world), time_from_ms(1000))))
      continue;
    error err = { 0 };
    int r = chain_join_fetch(replica, &err);
    replication_unlock(replica);
    if (r) {
      log_debug(&replica->node->log, "core", "Could not catch up: %s (code %d).", err.text, r);
      continue;
    }
    chain_join_request(replica);
  }
}
