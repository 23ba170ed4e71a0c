/** Which leases may be granted, held and relied on. */
#include "member_lease_rules.h"
#include "replica_internal.h"

/* how long a voter waits, by its own clock, for a lease that it granted to be over by any clock */
static time_us lease_over(time_us granted) {
  return time_add(granted, time_from_ms(MEMBER_LEASE_MS + MEMBER_LEASE_CLOCK_SLACK_MS));
}

void member_leases_init(member_leases *b, time_us now) {
  memset(b, 0, sizeof *b);
  b->started_at = now;
  b->voters_known_at = now;
  b->may_act_at = lease_over(now);
}

bool member_leases_none_outside(const member_leases *b, const view *known, time_us now) {
  if (!time_reached(now, lease_over(b->started_at)))
    return false;
  for (size_t i = 0; i < G_N_ELEMENTS(b->granted); i++) {
    if (!b->granted[i].at.us || time_reached(now, lease_over(b->granted[i].at)))
      continue;
    bool in = false;
    for (int k = 0; k < known->chain_length; k++)
      in |= known->chain[k].disk_id == b->granted[i].disk;
    if (!in)
      return false;
  }
  return true;
}

/* notes a lease that is granted; false when there is no room to remember it */
static bool lease_note(member_leases *b, uint64_t disk, time_us now) {
  size_t at = 0;
  for (size_t i = 0; i < G_N_ELEMENTS(b->granted); i++) {
    if (b->granted[i].disk == disk) {
      at = i;
      break;
    }
    if (b->granted[i].at.us < b->granted[at].at.us)
      at = i;
  }
  if (b->granted[at].disk != disk && b->granted[at].at.us &&
      !time_reached(now, lease_over(b->granted[at].at)))
    return false;
  b->granted[at].disk = disk;
  b->granted[at].at = now;
  return true;
}

bool member_leases_grant(member_leases *b, const view *known, bool pending, const member *who,
                         time_us now) {
  if (pending || member_index(known->chain, known->chain_length, who) < 0)
    return false;
  return member_leases_none_outside(b, known, now) && lease_note(b, who->disk_id, now);
}

void member_leases_release(member_leases *b, uint64_t disk) {
  for (size_t i = 0; i < G_N_ELEMENTS(b->granted); i++)
    if (b->granted[i].disk == disk)
      b->granted[i].at = (time_us){ 0 };
}

void member_leases_record(member_leases *b, int voter, uint64_t disk, time_us asked) {
  b->held[voter].disk = disk;
  b->held[voter].sent = asked;
}

bool member_leases_majority(member_leases *b, const view *known, int self, bool pending,
                            time_us now) {
  if (pending || !time_reached(now, b->may_act_at))
    return false;
  int n = 0;
  for (int i = 0; i < known->voter_count; i++) {
    if (i == self)
      n += member_leases_none_outside(b, known, now);
    else
      n += b->held[i].disk == known->voters[i].disk_id && b->held[i].sent.us &&
           !time_reached(now, time_add(b->held[i].sent, time_from_ms(MEMBER_LEASE_MS)));
  }
  if (n <= known->voter_count / 2)
    return false;
  b->has_acted = true;
  return true;
}

void member_leases_enter_view(member_leases *b, const view *was, const view *next, time_us now) {
  bool follows = next->epoch == was->epoch + 1;
  /* Nobody who was left out can act any longer when this machine acted and nobody is left out now;
     and when the voters have long been the same, each of them sees to it by itself. */
  bool kept = follows && b->has_acted && view_keeps_chain(was, next);
  if (!follows || !view_same_voters(was, next))
    b->voters_known_at = now;
  time_us over = lease_over(b->voters_known_at);
  if (!kept && !time_reached(b->may_act_at, over))
    b->may_act_at = over;
  if (!kept)
    b->has_acted = false;
  memset(b->held, 0, sizeof b->held);
}
