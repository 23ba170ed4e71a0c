/** Leases: a machine of the chain acts only while a majority of voters has granted it a lease in
 * the view that it knows, and a voter grants none while an older one of a machine that was left out
 * may run. */
#include "core_internal.h"
#include "decide_chain.h"
#include "decide_lease.h"
#include "decide_vote.h"

bool agreement_vote_pending(const core *core) {
  return vote_pending(&core->vote, core->view.epoch);
}

bool core_acts(core *core) {
  time_us now = world_now(core->node->world);
  if (!core->running || core->disk.broken || core_place(core) < 0)
    return false;
  if (!lease_runs(&core->lease, &core->view, core_voter_index(core), agreement_vote_pending(core),
                  now))
    return false;
  /* from here on no other head can have granted anything */
  if (!core->head_since.us)
    core->head_since = now;
  return true;
}

bool core_heads(core *core) {
  chain_copy copy = core_copy(core);
  return chain_may_lead(&copy) && core_acts(core);
}

bool core_tails(core *core) {
  chain_copy copy = core_copy(core);
  return chain_may_read(&copy, &core->view) && core_current(core) && core_acts(core);
}

bool lease_peer_hears_nothing(core *core, id who) {
  for (size_t i = 0; i < G_N_ELEMENTS(core->peers_hearing_nothing); i++)
    if (id_equal(core->peers_hearing_nothing[i].who, who))
      return core->peers_hearing_nothing[i].at.us &&
             !time_reached(world_now(core->node->world),
                           time_add(core->peers_hearing_nothing[i].at, time_from_ms(HEARD_MS)));
  return false;
}

static void lease_note_hearing(core *core, id who, bool hears_nothing) {
  size_t at = 0;
  for (size_t i = 0; i < G_N_ELEMENTS(core->peers_hearing_nothing); i++) {
    if (id_equal(core->peers_hearing_nothing[i].who, who)) {
      at = i;
      break;
    }
    if (core->peers_hearing_nothing[i].at.us < core->peers_hearing_nothing[at].at.us)
      at = i;
  }
  if (!hears_nothing && !id_equal(core->peers_hearing_nothing[at].who, who))
    return;
  core->peers_hearing_nothing[at].who = who;
  core->peers_hearing_nothing[at].at =
      hears_nothing ? world_now(core->node->world) : (time_us){ 0 };
}

int on_lease(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  core *core = ctx;
  Wire__MemberLeaseRequest *l = in->member_lease_request;
  if (!core->running || core->disk.broken)
    return error_set(err, E_NO_CONTROLLER, "no voter");
  if (l->fleet_id != core->view.fleet && core->view.epoch && l->epoch)
    return error_set(err, E_VIEW_MISMATCH, "another fleet");
  Wire__MemberLeaseResponse *b = reply_new_body(reply, WIRE__ENVELOPE__BODY_MEMBER_LEASE_RESPONSE,
                                                &wire__member_lease_response__descriptor);
  member who = { id_of_text(l->id), id_of_text(""), "", l->disk_id };
  lease_note_hearing(core, who.self, l->hears_nothing);
  if (l->epoch < core->view.epoch)
    b->newer = reply_view(reply, &core->view);
  else if (l->epoch > core->view.epoch)
    b->behind = true;
  else if (member_index(core->view.chain, core->view.chain_length, &who) < 0) {
    /* it knows that it was left out, so what it was given in an older view is void */
    lease_release(&core->lease, l->disk_id);
  } else if (core_voter_index(core) >= 0)
    b->granted = lease_grant(&core->lease, &core->view, agreement_vote_pending(core), &who,
                             world_now(core->node->world));
  return OK;
}

void lease_run(void *p) {
  lease_arg *a = p;
  core *core = a->core;
  int i = a->i;
  g_free(a);
  member last = { 0 };
  time_us heard = { 0 };
  uint64_t told = 0;
  bool got = false;
  while (condition_wait(&core->node->world->tasks, &core->lease_wanted,
                        time_add(world_now(core->node->world),
                                 time_from_ms(got ? LEASE_TURN_MS : LEASE_SOON_MS))) !=
         WAKE_STOPPED) {
    bool out = core_place(core) < 0;
    got = true;
    if (i >= core->view.voter_count || i == core_voter_index(core) || !core->view.epoch ||
        (out && told == core->view.epoch)) {
      heard = world_now(core->node->world);
      continue;
    }
    member who = core->view.voters[i];
    if (!member_same(&who, &last)) {
      last = who;
      heard = world_now(core->node->world);
    }
    uint64_t epoch = core->view.epoch;
    time_us sent = world_now(core->node->world);
    Wire__MemberLeaseRequest l = WIRE__MEMBER_LEASE_REQUEST__INIT;
    l.epoch = epoch;
    l.fleet_id = core->view.fleet;
    l.id = core->node->settings.self.text;
    l.disk_id = core->disk_id;
    l.hears_nothing = time_reached(sent, time_add(heard, time_from_ms(LEASE_SILENCE_MS)));
    Wire__Envelope m = wire_envelope(WIRE__ENVELOPE__BODY_MEMBER_LEASE_REQUEST, &l);
    Wire__Envelope *b;
    error err = { 0 };
    int r = node_call(core->node, who.addr, &m, time_from_ms(600), &b, &err);
    if (r != E_NO_RESPONSE)
      heard = world_now(core->node->world);
    got = !r && epoch == core->view.epoch;
    if (r)
      continue;
    if (b->body_case == WIRE__ENVELOPE__BODY_MEMBER_LEASE_RESPONSE) {
      got &= b->member_lease_response->granted || out;
      if (out)
        told = epoch;
      else if (b->member_lease_response->granted && epoch == core->view.epoch &&
               i < core->view.voter_count && member_same(&who, &core->view.voters[i])) {
        lease_hold(&core->lease, i, who.disk, sent);
        core_acts(core);
      }
      if (b->member_lease_response->behind)
        agreement_announce(core, who.addr);
      agreement_adopt(core, b->member_lease_response->newer);
    }
    node_reply_free(b);
  }
}
