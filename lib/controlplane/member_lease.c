/** Leases: a machine of the chain acts only while a majority of voters has granted it a lease in
 * the view that it knows, and a voter grants none while an older one of a machine that was left out
 * may run. */
#include "replica_internal.h"
#include "chain_rules.h"
#include "member_lease_rules.h"
#include "paxos_rules.h"

bool view_change_prepare_pending(const replica *replica) {
  return acceptor_prepare_pending(&replica->acceptor, replica->view.epoch);
}

bool replica_holds_lease(replica *replica) {
  time_us now = world_now(replica->node->world);
  if (!replica->running || replica->wal.failed || replica_chain_index(replica) < 0)
    return false;
  if (!member_leases_majority(&replica->leases, &replica->view, replica_voter_index(replica),
                              view_change_prepare_pending(replica), now))
    return false;
  /* from here on no other head can have granted anything */
  if (!replica->head_since.us)
    replica->head_since = now;
  return true;
}

bool replica_is_acting_head(replica *replica) {
  chain_position copy = replica_chain_position(replica);
  return chain_may_lead(&copy) && replica_holds_lease(replica);
}

bool replica_is_acting_tail(replica *replica) {
  chain_position copy = replica_chain_position(replica);
  return chain_may_read(&copy, &replica->view) && replica_is_current(replica) &&
         replica_holds_lease(replica);
}

bool member_lease_peer_hears_nothing(replica *replica, id who) {
  for (size_t i = 0; i < G_N_ELEMENTS(replica->peers_hearing_nothing); i++)
    if (id_equal(replica->peers_hearing_nothing[i].who, who))
      return replica->peers_hearing_nothing[i].at.us &&
             !time_reached(world_now(replica->node->world),
                           time_add(replica->peers_hearing_nothing[i].at, time_from_ms(HEARD_MS)));
  return false;
}

static void member_lease_note_hearing(replica *replica, id who, bool hears_nothing) {
  size_t at = 0;
  for (size_t i = 0; i < G_N_ELEMENTS(replica->peers_hearing_nothing); i++) {
    if (id_equal(replica->peers_hearing_nothing[i].who, who)) {
      at = i;
      break;
    }
    if (replica->peers_hearing_nothing[i].at.us < replica->peers_hearing_nothing[at].at.us)
      at = i;
  }
  if (!hears_nothing && !id_equal(replica->peers_hearing_nothing[at].who, who))
    return;
  replica->peers_hearing_nothing[at].who = who;
  replica->peers_hearing_nothing[at].at =
      hears_nothing ? world_now(replica->node->world) : (time_us){ 0 };
}

int member_lease_on_request(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  replica *replica = ctx;
  Wire__MemberLeaseRequest *l = in->member_lease_request;
  if (!replica->running || replica->wal.failed)
    return error_set(err, E_NO_CONTROLLER, "no voter");
  if (l->fleet_id != replica->view.fleet_id && replica->view.epoch && l->epoch)
    return error_set(err, E_VIEW_MISMATCH, "another fleet");
  Wire__MemberLeaseResponse *b = reply_new_body(reply, WIRE__ENVELOPE__BODY_MEMBER_LEASE_RESPONSE,
                                                &wire__member_lease_response__descriptor);
  member who = { id_of_text(l->id), id_of_text(""), "", l->disk_id };
  member_lease_note_hearing(replica, who.self, l->hears_nothing);
  if (l->epoch < replica->view.epoch)
    b->newer = response_view(reply, &replica->view);
  else if (l->epoch > replica->view.epoch)
    b->behind = true;
  else if (member_index(replica->view.chain, replica->view.chain_length, &who) < 0) {
    /* it knows that it was left out, so what it was given in an older view is void */
    member_leases_release(&replica->leases, l->disk_id);
  } else if (replica_voter_index(replica) >= 0)
    b->granted =
        member_leases_grant(&replica->leases, &replica->view, view_change_prepare_pending(replica),
                            &who, world_now(replica->node->world));
  return OK;
}

void member_lease_run(void *p) {
  member_lease_task *a = p;
  replica *replica = a->replica;
  int i = a->voter_index;
  g_free(a);
  member last = { 0 };
  time_us heard = { 0 };
  uint64_t told = 0;
  bool got = false;
  while (condition_wait(&replica->node->world->tasks, &replica->lease_renewal_wanted,
                        time_add(world_now(replica->node->world),
                                 time_from_ms(got ? MEMBER_LEASE_RENEW_MS
                                                  : MEMBER_LEASE_RETRY_MS))) != WAKE_STOPPED) {
    bool out = replica_chain_index(replica) < 0;
    got = true;
    if (i >= replica->view.voter_count || i == replica_voter_index(replica) ||
        !replica->view.epoch || (out && told == replica->view.epoch)) {
      heard = world_now(replica->node->world);
      continue;
    }
    member who = replica->view.voters[i];
    if (!member_equal(&who, &last)) {
      last = who;
      heard = world_now(replica->node->world);
    }
    uint64_t epoch = replica->view.epoch;
    time_us sent = world_now(replica->node->world);
    Wire__MemberLeaseRequest l = WIRE__MEMBER_LEASE_REQUEST__INIT;
    l.epoch = epoch;
    l.fleet_id = replica->view.fleet_id;
    l.id = replica->node->settings.self.text;
    l.disk_id = replica->disk_id;
    l.hears_nothing = time_reached(sent, time_add(heard, time_from_ms(MEMBER_LEASE_EXPIRED_MS)));
    Wire__Envelope m = wire_envelope(WIRE__ENVELOPE__BODY_MEMBER_LEASE_REQUEST, &l);
    Wire__Envelope *b;
    error err = { 0 };
    int r = node_call(replica->node, who.address, &m, time_from_ms(600), &b, &err);
    if (r != E_NO_RESPONSE)
      heard = world_now(replica->node->world);
    got = !r && epoch == replica->view.epoch;
    if (r)
      continue;
    if (b->body_case == WIRE__ENVELOPE__BODY_MEMBER_LEASE_RESPONSE) {
      got &= b->member_lease_response->granted || out;
      if (out)
        told = epoch;
      else if (b->member_lease_response->granted && epoch == replica->view.epoch &&
               i < replica->view.voter_count && member_equal(&who, &replica->view.voters[i])) {
        member_leases_record(&replica->leases, i, who.disk_id, sent);
        replica_holds_lease(replica);
      }
      if (b->member_lease_response->behind)
        view_change_announce(replica, who.address);
      view_change_adopt(replica, b->member_lease_response->newer);
    }
    node_reply_free(b);
  }
}
