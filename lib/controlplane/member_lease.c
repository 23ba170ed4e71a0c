/** Member leases: requests and grants. The rules are in member_lease_rules.c.
 *
 * One task per voter index requests a lease from that voter repeatedly. A controller that is not in
 * the chain also sends one request in each view: this tells the voters that it knows of its
 * removal, so that they release its leases. A requester reports when it has heard nothing from the
 * voter for some time, since the voter cannot know that its messages are lost.
 */
#include "replica.h"

enum {
  /** Interval between renewals of a granted lease, in ms: four attempts while it is valid. */
  MEMBER_LEASE_RENEW_MS = 250,
  /** Delay before a request that was not granted is retried, in ms. */
  MEMBER_LEASE_RETRY_MS = 80,
  /** Timeout of a request, in ms. */
  MEMBER_LEASE_REQUEST_TIMEOUT_MS = 600,
  /** How long a report that a peer hears nothing is valid, in ms. Requests repeat it more often. */
  HEARS_NOTHING_REPORT_VALID_MS = 600
};

/* state of the task that requests leases from one voter */
typedef struct {
  replica *replica;
  int voter_index;
  /* the voter of the last request, and the time of its last response */
  member voter;
  time_us answered_at;
  /* the last epoch in which this controller told the voter that it is not in the chain */
  uint64_t non_member_epoch;
  /* whether the last request succeeded; if not, it is retried sooner */
  bool satisfied;
} lease_requester;

bool replica_holds_lease(replica *replica) {
  time_us now = world_now(replica->node->world);
  if (!replica->running || replica->wal.failed || replica_chain_index(replica) < 0)
    return false;
  if (!member_leases_majority(&replica->lease.leases, &replica->view, replica_voter_index(replica),
                              view_change_prepare_pending(replica), now))
    return false;
  /* no other head can have renewed a singleton lease since this time */
  if (!replica->lease_held_since.us)
    replica->lease_held_since = now;
  return true;
}

bool member_lease_peer_hears_nothing(const replica *replica, id peer) {
  const member_lease_state *lease = &replica->lease;
  for (size_t i = 0; i < G_N_ELEMENTS(lease->hears_nothing_reports); i++) {
    time_us reported_at = lease->hears_nothing_reports[i].reported_at;
    if (id_equal(lease->hears_nothing_reports[i].peer, peer))
      return reported_at.us &&
             !time_reached(world_now(replica->node->world),
                           time_add(reported_at, time_from_ms(HEARS_NOTHING_REPORT_VALID_MS)));
  }
  return false;
}

/* returns the index of the entry for a peer, or else of the oldest report */
static size_t find_hears_nothing_report(const member_lease_state *lease, id peer) {
  size_t oldest = 0;
  for (size_t i = 0; i < G_N_ELEMENTS(lease->hears_nothing_reports); i++) {
    if (id_equal(lease->hears_nothing_reports[i].peer, peer))
      return i;
    if (lease->hears_nothing_reports[i].reported_at.us <
        lease->hears_nothing_reports[oldest].reported_at.us)
      oldest = i;
  }
  return oldest;
}

static void update_hears_nothing_report(member_lease_state *lease, id peer, bool hears_nothing,
                                        time_us now) {
  size_t i = find_hears_nothing_report(lease, peer);
  if (!hears_nothing && !id_equal(lease->hears_nothing_reports[i].peer, peer))
    return;
  lease->hears_nothing_reports[i].peer = peer;
  lease->hears_nothing_reports[i].reported_at = hears_nothing ? now : (time_us){ 0 };
}

enum error_code member_lease_on_request(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  replica *replica = ctx;
  const Wire__MemberLeaseRequest *request = in->member_lease_request;
  const view *view = &replica->view;
  member_lease_state *lease = &replica->lease;
  time_us now = world_now(replica->node->world);
  if (!replica->running || replica->wal.failed)
    return error_set(err, E_NO_CONTROLLER, "no voter");
  if (request->fleet_id != view->fleet_id && view->epoch && request->epoch)
    return error_set(err, E_VIEW_MISMATCH, "another fleet");
  Wire__MemberLeaseResponse *response = reply_new_body(
      reply, WIRE__ENVELOPE__BODY_MEMBER_LEASE_RESPONSE, &wire__member_lease_response__descriptor);
  member requester = { .self = id_of_text(request->id), .disk_id = request->disk_id };
  update_hears_nothing_report(lease, requester.self, request->hears_nothing, now);
  if (request->epoch < view->epoch)
    response->newer = response_view(reply, view);
  else if (request->epoch > view->epoch)
    response->behind = true;
  else if (member_index(view->chain, view->chain_length, &requester) < 0)
    /* the requester knows of its removal, so it no longer uses leases of earlier views */
    member_leases_release(&lease->leases, request->disk_id);
  else if (replica_voter_index(replica) >= 0)
    response->granted = member_leases_grant(&lease->leases, view,
                                            view_change_prepare_pending(replica), &requester, now);
  return OK;
}

/* whether there is a voter with this index and a reason to send it a request */
static bool has_request(const lease_requester *requester) {
  const replica *replica = requester->replica;
  if (!replica->view.epoch || requester->voter_index >= replica->view.voter_count ||
      requester->voter_index == replica_voter_index(replica))
    return false;
  return replica_chain_index(replica) >= 0 || requester->non_member_epoch != replica->view.epoch;
}

static enum error_code send_request(const lease_requester *requester, time_us now,
                                    Wire__Envelope **response) {
  replica *replica = requester->replica;
  time_us hears_nothing_at =
      time_add(requester->answered_at, time_from_ms(MEMBER_LEASE_EXPIRED_MS));
  Wire__MemberLeaseRequest request = WIRE__MEMBER_LEASE_REQUEST__INIT;
  request.epoch = replica->view.epoch;
  request.fleet_id = replica->view.fleet_id;
  request.id = replica->node->settings.self.text;
  request.disk_id = replica->disk_id;
  request.hears_nothing = time_reached(now, hears_nothing_at);
  Wire__Envelope message = wire_envelope(WIRE__ENVELOPE__BODY_MEMBER_LEASE_REQUEST, &request);
  error err = { 0 };
  return peer_rpc_call(replica->node, requester->voter.address, &message,
                       time_from_ms(MEMBER_LEASE_REQUEST_TIMEOUT_MS), response, &err);
}

/* whether the voter that was asked in that epoch still has this index in the known view */
static bool is_current_voter(const lease_requester *requester, uint64_t epoch) {
  const view *view = &requester->replica->view;
  return epoch == view->epoch && requester->voter_index < view->voter_count &&
         member_equal(&requester->voter, &view->voters[requester->voter_index]);
}

static void handle_response(lease_requester *requester, const Wire__MemberLeaseResponse *response,
                            bool was_member, uint64_t epoch, time_us requested_at) {
  replica *replica = requester->replica;
  if (was_member && !response->granted)
    requester->satisfied = false;
  if (!was_member)
    requester->non_member_epoch = epoch;
  else if (response->granted && is_current_voter(requester, epoch)) {
    member_leases_record(&replica->lease.leases, requester->voter_index, requester->voter.disk_id,
                         requested_at);
    replica_holds_lease(replica);
  }
  if (response->behind)
    view_change_announce(replica, requester->voter.address);
  view_change_adopt(replica, response->newer);
}

/* sends one lease request and handles the response */
static void request_lease(lease_requester *requester) {
  replica *replica = requester->replica;
  time_us now = world_now(replica->node->world);
  requester->satisfied = true;
  if (!has_request(requester)) {
    requester->answered_at = now;
    return;
  }
  const member *voter = &replica->view.voters[requester->voter_index];
  if (!member_equal(voter, &requester->voter))
    requester->answered_at = now;
  requester->voter = *voter;
  bool was_member = replica_chain_index(replica) >= 0;
  uint64_t epoch = replica->view.epoch;
  Wire__Envelope *response;
  enum error_code code = send_request(requester, now, &response);
  if (code != E_NO_RESPONSE)
    requester->answered_at = world_now(replica->node->world);
  requester->satisfied = !code && epoch == replica->view.epoch;
  if (code)
    return;
  if (response->body_case == WIRE__ENVELOPE__BODY_MEMBER_LEASE_RESPONSE)
    handle_response(requester, response->member_lease_response, was_member, epoch, now);
  peer_rpc_message_free(response);
}

/* waits until the next request is due; returns false if the tasks are stopped */
static bool wait_for_renewal(const lease_requester *requester) {
  replica *replica = requester->replica;
  world *world = replica->node->world;
  time_us pause =
      time_from_ms(requester->satisfied ? MEMBER_LEASE_RENEW_MS : MEMBER_LEASE_RETRY_MS);
  return condition_wait(&world->tasks, &replica->lease.renewal_wanted,
                        time_add(world_now(world), pause)) != WAKE_STOPPED;
}

static void requester_run(void *ctx) {
  lease_requester *requester = ctx;
  while (wait_for_renewal(requester))
    request_lease(requester);
  g_free(requester);
}

void member_lease_start(replica *replica) {
  for (int i = 0; i < VOTERS_MAX; i++) {
    lease_requester *requester = g_new0(lease_requester, 1);
    requester->replica = replica;
    requester->voter_index = i;
    task_start(&replica->node->world->tasks, "member-lease", requester_run, requester);
  }
}
