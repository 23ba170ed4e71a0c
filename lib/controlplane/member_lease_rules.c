/** The rules of member leases.
 *
 * A member acts as head or tail only while it holds leases from a majority of voters in the view
 * that it knows. A voter grants no lease, not even to itself, while a lease that it granted to a
 * member outside its view may still be valid. Any two majorities of the same voters overlap, so a
 * removed member and the member that replaced it never act at the same time. This does not work
 * when the voters change, or when a voter restarts and loses its record of granted leases; in these
 * cases the process waits until all earlier leases have expired. */
#include "member_lease_rules.h"

/* returns when a lease granted at granted_at has expired by any clock */
static time_us expiry_at_voter(time_us granted_at) {
  return time_add(granted_at, time_from_ms(MEMBER_LEASE_EXPIRED_MS));
}

void member_leases_init(member_leases *leases, time_us now) {
  memset(leases, 0, sizeof *leases);
  leases->started_at = now;
  leases->voters_known_at = now;
  leases->may_act_at = expiry_at_voter(now);
}

static bool chain_has_disk(const view *view, uint64_t disk_id) {
  bool found = false;
  for (int i = 0; i < view->chain_length; i++)
    found |= view->chain[i].disk_id == disk_id;
  return found;
}

bool member_leases_none_outside(const member_leases *leases, const view *known, time_us now) {
  if (!time_reached(now, expiry_at_voter(leases->started_at)))
    return false;
  for (size_t i = 0; i < G_N_ELEMENTS(leases->granted); i++) {
    time_us granted_at = leases->granted[i].granted_at;
    if (!granted_at.us || time_reached(now, expiry_at_voter(granted_at)))
      continue;
    if (!chain_has_disk(known, leases->granted[i].disk_id))
      return false;
  }
  return true;
}

/* returns the index of the entry for a disk, or else of the oldest grant */
static size_t find_granted_entry(const member_leases *leases, uint64_t disk_id) {
  size_t oldest = 0;
  for (size_t i = 0; i < G_N_ELEMENTS(leases->granted); i++) {
    if (leases->granted[i].disk_id == disk_id)
      return i;
    if (leases->granted[i].granted_at.us < leases->granted[oldest].granted_at.us)
      oldest = i;
  }
  return oldest;
}

/* Records a granted lease. Returns false if every entry holds another lease that may still be
 * valid. */
static bool remember_granted(member_leases *leases, uint64_t disk_id, time_us now) {
  size_t i = find_granted_entry(leases, disk_id);
  time_us granted_at = leases->granted[i].granted_at;
  if (leases->granted[i].disk_id != disk_id && granted_at.us &&
      !time_reached(now, expiry_at_voter(granted_at)))
    return false;
  leases->granted[i].disk_id = disk_id;
  leases->granted[i].granted_at = now;
  return true;
}

bool member_leases_grant(member_leases *leases, const view *known, bool prepare_pending,
                         const member *member, time_us now) {
  if (prepare_pending || member_index(known->chain, known->chain_length, member) < 0)
    return false;
  return member_leases_none_outside(leases, known, now) &&
         remember_granted(leases, member->disk_id, now);
}

void member_leases_release(member_leases *leases, uint64_t disk_id) {
  for (size_t i = 0; i < G_N_ELEMENTS(leases->granted); i++)
    if (leases->granted[i].disk_id == disk_id)
      leases->granted[i].granted_at = (time_us){ 0 };
}

void member_leases_record(member_leases *leases, int voter_index, uint64_t disk_id,
                          time_us requested_at) {
  leases->held[voter_index].disk_id = disk_id;
  leases->held[voter_index].requested_at = requested_at;
}

/* whether the lease from the voter at voter_index is valid and was granted by that voter's current
 * disk */
static bool holds_lease_of(const member_leases *leases, const view *known, int voter_index,
                           time_us now) {
  time_us requested_at = leases->held[voter_index].requested_at;
  return leases->held[voter_index].disk_id == known->voters[voter_index].disk_id &&
         requested_at.us &&
         !time_reached(now, time_add(requested_at, time_from_ms(MEMBER_LEASE_TERM_MS)));
}

bool member_leases_majority(member_leases *leases, const view *known, int self,
                            bool prepare_pending, time_us now) {
  if (prepare_pending || !time_reached(now, leases->may_act_at))
    return false;
  int granted = 0;
  for (int i = 0; i < known->voter_count; i++)
    granted += i == self ? member_leases_none_outside(leases, known, now)
                         : holds_lease_of(leases, known, i, now);
  if (granted <= known->voter_count / 2)
    return false;
  leases->has_acted = true;
  return true;
}

void member_leases_enter_view(member_leases *leases, const view *previous, const view *next,
                              time_us now) {
  bool follows = next->epoch == previous->epoch + 1;
  /* If this member has acted and the next view removes no member, no removed member can still act.
     If the voters have been the same for long enough, each voter enforces this by itself. */
  bool may_go_on = follows && leases->has_acted && view_keeps_chain(previous, next);
  if (!follows || !view_same_voters(previous, next))
    leases->voters_known_at = now;
  time_us others_expired_at = expiry_at_voter(leases->voters_known_at);
  if (!may_go_on && !time_reached(leases->may_act_at, others_expired_at))
    leases->may_act_at = others_expired_at;
  if (!may_go_on)
    leases->has_acted = false;
  memset(leases->held, 0, sizeof leases->held);
}
