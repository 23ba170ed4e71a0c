/** Converts between the states of the model and those of the daemon's rules. */
#include "model_parts.h"

id model_node_id(int node) {
  return (id){ { 'n', (char)('0' + node) } };
}

static int node_of_id(id i) {
  return i.text[0] ? i.text[1] - '0' : 0;
}

member model_expand_member(uint8_t m) {
  member k = { .self = model_node_id(model_node_of(m)), .disk_id = m };
  k.zone = k.self;
  k.address[0] = k.self.text[0];
  k.address[1] = k.self.text[1];
  return k;
}

void model_expand_view(const model_view *m, view *view) {
  memset(view, 0, sizeof *view);
  view->epoch = m->epoch;
  view->fleet_id = 1;
  view->chain_length = m->chain_length;
  view->voter_count = m->voter_count;
  for (int i = 0; i < m->chain_length; i++)
    view->chain[i] = model_expand_member(m->chain[i]);
  for (int i = 0; i < m->voter_count; i++)
    view->voters[i] = model_expand_member(m->voters[i]);
}

model_view model_compress_view(const view *view) {
  model_view m = { 0 };
  m.epoch = (uint8_t)view->epoch;
  m.chain_length = (uint8_t)view->chain_length;
  m.voter_count = (uint8_t)view->voter_count;
  for (int i = 0; i < view->chain_length; i++)
    m.chain[i] = (uint8_t)view->chain[i].disk_id;
  for (int i = 0; i < view->voter_count; i++)
    m.voters[i] = (uint8_t)view->voters[i].disk_id;
  return m;
}

proposal_number model_expand_number(uint8_t round, uint8_t proposer) {
  proposal_number b = { 0 };
  b.round = round;
  if (round)
    b.proposer = model_node_id(proposer);
  return b;
}

void model_expand_acceptor(const model_acceptor *m, acceptor_state *acceptor) {
  memset(acceptor, 0, sizeof *acceptor);
  acceptor->epoch = m->epoch;
  acceptor->promised = model_expand_number(m->round, m->proposer);
  acceptor->accepted = model_expand_number(m->accepted_round, m->accepted_proposer);
  acceptor->has_accepted = m->has_accepted;
  if (m->has_accepted)
    model_expand_view(&m->value, &acceptor->value);
}

model_acceptor model_compress_acceptor(const acceptor_state *acceptor) {
  model_acceptor m = { 0 };
  m.epoch = (uint8_t)acceptor->epoch;
  m.round = (uint8_t)acceptor->promised.round;
  m.proposer = (uint8_t)node_of_id(acceptor->promised.proposer);
  m.has_accepted = acceptor->has_accepted;
  m.accepted_round = (uint8_t)acceptor->accepted.round;
  m.accepted_proposer = (uint8_t)node_of_id(acceptor->accepted.proposer);
  if (acceptor->has_accepted)
    m.value = model_compress_view(&acceptor->value);
  return m;
}

time_us model_time_of_age(uint8_t age) {
  return age == AGE_NONE ? (time_us){ 0 } : time_sub(MODEL_NOW, time_from_ms(age * UNIT_MS));
}

static uint8_t age_of(time_us at) {
  if (!at.us)
    return AGE_NONE;
  int64_t units = (MODEL_NOW.us - at.us) / (UNIT_MS * 1000);
  return (uint8_t)MIN(units, AGE_OLD);
}

void model_expand_lease(const model_lease *m, member_leases *leases) {
  memset(leases, 0, sizeof *leases);
  leases->started_at = model_time_of_age(m->started);
  leases->voters_known_at = model_time_of_age(m->voters_known);
  leases->may_act_at = time_add(MODEL_NOW, time_from_ms(m->may_act_in * UNIT_MS));
  leases->has_acted = m->has_acted;
  for (int i = 0; i < MEMBERS_MAX; i++) {
    leases->held[i].disk_id = m->held[i].member;
    leases->held[i].requested_at = model_time_of_age(m->held[i].age);
  }
  for (int i = 0; i < 2 * MEMBERS_MAX; i++) {
    leases->granted[i].disk_id = m->granted[i].member;
    leases->granted[i].granted_at = model_time_of_age(m->granted[i].age);
  }
}

void model_compress_lease(const member_leases *leases, model_lease *m) {
  m->started = age_of(leases->started_at);
  m->voters_known = age_of(leases->voters_known_at);
  m->may_act_in = leases->may_act_at.us > MODEL_NOW.us
                      ? (uint8_t)((leases->may_act_at.us - MODEL_NOW.us) / (UNIT_MS * 1000))
                      : 0;
  m->has_acted = leases->has_acted;
  for (int i = 0; i < MEMBERS_MAX; i++) {
    m->held[i].member = (uint8_t)leases->held[i].disk_id;
    m->held[i].age = age_of(leases->held[i].requested_at);
  }
  for (int i = 0; i < 2 * MEMBERS_MAX; i++) {
    m->granted[i].member = (uint8_t)leases->granted[i].disk_id;
    m->granted[i].age = age_of(leases->granted[i].granted_at);
  }
}

void model_expand_promise(const model_promise *m, prepare_result *result) {
  memset(result, 0, sizeof *result);
  result->promised = m->ok;
  result->in_sync = m->in_sync;
  result->disk_id = m->member;
  result->has_accepted = m->has_accepted;
  result->accepted = model_expand_number(m->accepted_round, m->accepted_proposer);
  if (m->has_accepted)
    model_expand_view(&m->value, &result->value);
}
