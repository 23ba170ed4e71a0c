/** Founding a fleet, and coming into the chain of one. */
#include "core_internal.h"

bool join_by_name(const core *core) {
  return !id_is_empty(core->node->settings.founders[0]);
}

static const char *first_founder(const core *core) {
  const char *low = NULL;
  for (int i = 0; i < core->founder_count; i++)
    if (!low || strcmp(core->founder_addrs[i], low) < 0)
      low = core->founder_addrs[i];
  return low;
}

bool join_is_founder(const core *core) {
  for (int i = 0; i < 3 && join_by_name(core); i++)
    if (id_equal(core->node->settings.founders[i], core->node->settings.self))
      return true;
  for (int i = 0; i < core->founder_count && !join_by_name(core); i++)
    if (!strcmp(core->founder_addrs[i], core->node->settings.address))
      return true;
  return false;
}

bool join_is_first_founder(const core *core, const char *name, const char *addr) {
  if (join_by_name(core))
    return !strcmp(core->node->settings.founders[0].text, name);
  return core->founder_count && !strcmp(first_founder(core), addr);
}

int on_found(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  core *core = ctx;
  if (!core->running)
    return error_set(err, E_NO_CONTROLLER, "starting");
  Wire__BootstrapResponse *b = reply_new_body(reply, WIRE__ENVELOPE__BODY_BOOTSTRAP_RESPONSE,
                                              &wire__bootstrap_response__descriptor);
  b->self = reply_self(reply, core);
  b->blank = !core->view.epoch && !core->disk.broken && join_is_founder(core) &&
             join_is_first_founder(core, in->from->id, in->from->address);
  b->disk_id = core->disk_id;
  if (core->view.epoch)
    b->view = reply_view(reply, &core->view);
  return OK;
}

int on_enrol(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  core *core = ctx;
  member m;
  if (!core->running || !core->view.epoch)
    return error_set(err, E_NO_CONTROLLER, "no view is known here");
  if (!member_unpack(&m, in->join_request->self))
    return error_set(err, E_WIRE_MESSAGE, "no member");
  if (in->join_request->ready && chain_may_enrol(&core->view, in->join_request->epoch)) {
    int at = 0;
    for (size_t i = 0; i < G_N_ELEMENTS(core->callers); i++) {
      if (id_equal(core->callers[i].who.self, m.self)) {
        at = i;
        break;
      }
      if (core->callers[i].at.us < core->callers[at].at.us)
        at = i;
    }
    core->callers[at].who = m;
    core->callers[at].epoch = in->join_request->epoch;
    core->callers[at].at = world_now(core->node->world);
  }
  Wire__JoinResponse *b =
      reply_new_body(reply, WIRE__ENVELOPE__BODY_JOIN_RESPONSE, &wire__join_response__descriptor);
  b->ok = true;
  b->view = reply_view(reply, &core->view);
  return OK;
}

/* asks a machine for the view that it knows */
static int join_look(core *core, const char *addr) {
  Wire__JoinRequest q = WIRE__JOIN_REQUEST__INIT;
  Wire__Member w;
  member self = core_self(core);
  member_pack(&w, &self);
  q.self = &w;
  Wire__Envelope m = wire_envelope(WIRE__ENVELOPE__BODY_JOIN_REQUEST, &q);
  Wire__Envelope *b;
  error err = { 0 };
  int r = node_call(core->node, addr, &m, time_from_ms(600), &b, &err);
  if (r)
    return r;
  if (b->body_case == WIRE__ENVELOPE__BODY_JOIN_RESPONSE)
    agreement_adopt(core, b->join_response->view);
  node_reply_free(b);
  return OK;
}

static void join_found(core *core) {
  if (!join_is_founder(core) ||
      !join_is_first_founder(core, core->node->settings.self.text, core->node->settings.address))
    return;
  int n = join_by_name(core) ? 3 : core->founder_count;
  view v = { .epoch = 1,
             .fleet = core->vote.has ? core->vote.value.fleet
                                     : core->node->world->random(core->node->world) | 1,
             .chain_length = 1,
             .voter_count = 1 };
  v.chain[0] = v.voters[0] = core_self(core);
  for (int i = 0; i < n; i++) {
    char addr[48] = "";
    if (join_by_name(core)) {
      peer_node *peer = node_find_peer(core->node, core->node->settings.founders[i]);
      if (id_equal(core->node->settings.founders[i], core->node->settings.self))
        continue;
      if (!peer || peer->gone)
        return;
      g_strlcpy(addr, peer->address, sizeof addr);
    } else {
      g_strlcpy(addr, core->founder_addrs[i], sizeof addr);
      if (!strcmp(addr, core->node->settings.address))
        continue;
    }
    Wire__BootstrapRequest q = WIRE__BOOTSTRAP_REQUEST__INIT;
    q.id = core->node->settings.self.text;
    q.disk_id = core->disk_id;
    q.blank = true;
    Wire__Envelope m = wire_envelope(WIRE__ENVELOPE__BODY_BOOTSTRAP_REQUEST, &q);
    Wire__Envelope *b;
    error err = { 0 };
    if (node_call(core->node, addr, &m, time_from_ms(600), &b, &err))
      return;
    member *new = &v.chain[v.chain_length];
    bool ok = b->body_case == WIRE__ENVELOPE__BODY_BOOTSTRAP_RESPONSE &&
              b->bootstrap_response->blank && member_unpack(new, b->bootstrap_response->self);
    ok = ok &&
         (join_by_name(core) ? id_equal(new->self, core->node->settings.founders[i])
                             : !strcmp(new->addr, addr)) &&
         member_index(v.chain, v.chain_length, new) < 0;
    if (b->body_case == WIRE__ENVELOPE__BODY_BOOTSTRAP_RESPONSE && b->bootstrap_response->view)
      agreement_adopt(core, b->bootstrap_response->view);
    node_reply_free(b);
    if (!ok || core->view.epoch)
      return;
    v.chain_length++;
  }
  /* two voters would be worse than one */
  v.voter_count = v.chain_length == 3 ? 3 : 1;
  memcpy(v.voters, v.chain, sizeof v.chain[0] * v.voter_count);
  v.chain_length = MIN(v.chain_length, core_chain_limit(core));
  if (agreement_propose(core, &v, NULL, 0, false))
    log_info(&core->node->log, "core", "Founded fleet %016" PRIx64 ".", v.fleet);
}

/* fetches the state from the member nearest to the tail that has it: one that was lost may stand in
 * the chain for a while, and one that came back lately is not whole */
static int join_fetch(core *core, error *err) {
  view v = core->view;
  int r = error_set(err, E_NO_CONTROLLER, "no other member is heard");
  for (int i = v.chain_length - 1; i >= 0 && r; i--) {
    if (id_equal(v.chain[i].self, core->node->settings.self) ||
        repair_is_silent(core, &v.chain[i], LEASE_SILENCE_MS))
      continue;
    r = snapshot_fetch(core, v.chain[i].addr, err);
    if (r == E_STOPPING)
      return r;
  }
  return r;
}

/* tells all who may propose a view that this machine has caught up; nobody is waited for, since
 * some of them may be lost */
static void join_tell(core *core) {
  view v = core->view;
  Wire__JoinRequest q = WIRE__JOIN_REQUEST__INIT;
  Wire__Member w;
  member self = core_self(core);
  member_pack(&w, &self);
  q.self = &w;
  q.ready = true;
  q.epoch = v.epoch;
  Wire__Envelope m = wire_envelope(WIRE__ENVELOPE__BODY_JOIN_REQUEST, &q);
  for (int i = 0; i < v.voter_count; i++)
    if (!id_equal(v.voters[i].self, core->node->settings.self))
      node_send(core->node, v.voters[i].addr, &m);
  for (int i = 0; i < v.chain_length; i++)
    if (!id_equal(v.chain[i].self, core->node->settings.self) &&
        member_index(v.voters, v.voter_count, &v.chain[i]) < 0)
      node_send(core->node, v.chain[i].addr, &m);
}

/* asks to be taken in, again under each view. What was fetched stays good meanwhile: whoever comes
 * before this machine in the chain sends it the records after it. Once this copy was whole, it was
 * in the chain, and has to be fetched anew when it is left out. */
static void join_request(core *core) {
  world *world = core->node->world;
  time_us till = time_add(world_now(world), time_from_ms(REQUEST_MOST_MS));
  while (core_place(core) < 0 && !core->whole && !core->disk.broken && !core->node->draining &&
         !time_reached(world_now(world), till)) {
    uint64_t epoch = core->view.epoch;
    join_tell(core);
    time_us again = time_add(world_now(world), time_from_ms(REQUEST_AGAIN_MS));
    while (core->view.epoch == epoch)
      if (condition_wait(&world->tasks, &core->moved, again) != WAKE_SIGNALLED)
        break;
    if (world->tasks.stopped)
      return;
  }
}

void join_run(void *p) {
  core *core = p;
  world *world = core->node->world;
  while (world_sleep_with_jitter(world, time_from_ms(300))) {
    if (core_place(core) >= 0 || core->disk.broken || core->node->draining)
      continue;
    /* the one that was heard last, or any: a table that came from others may name the dead */
    peer_node *peer = NULL;
    bool any = !world_random(world, 3);
    uint64_t seen = 0;
    list_for_each (x, &core->node->peers, peer_node, link)
      if (x->role == ROLE_CONTROLLER && !x->gone &&
          (any ? !world_random(world, ++seen)
               : !peer || x->last_heard_at.us > peer->last_heard_at.us))
        peer = x;
    char addr[48] = "";
    if (core->view.epoch && world_random(world, 3))
      g_strlcpy(addr, core_tail(core)->addr, sizeof addr);
    else if (peer)
      g_strlcpy(addr, peer->address, sizeof addr);
    if (addr[0] && strcmp(addr, core->node->settings.address))
      join_look(core, addr);
    if (!core->view.epoch) {
      join_found(core);
      continue;
    }
    if (core_place(core) >= 0)
      continue;
    if (core->view.chain_length >= core_chain_limit(core)) {
      bool own = false;
      for (int i = 0; i < core->view.chain_length; i++)
        own |= id_equal(core->view.chain[i].self, core->node->settings.self);
      if (!own)
        continue;
    }
    if (!replication_lock(core, time_add(world_now(world), time_from_ms(1000))))
      continue;
    error err = { 0 };
    int r = join_fetch(core, &err);
    replication_unlock(core);
    if (r) {
      log_debug(&core->node->log, "core", "Could not catch up: %s (code %d).", err.text, r);
      continue;
    }
    join_request(core);
  }
}
