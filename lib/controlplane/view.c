/** Views and members of the core: their comparison, and their form as messages. */
#include "replica_internal.h"

void member_pack(Wire__Member *w, const member *member) {
  wire__member__init(w);
  w->id = (char *)member->self.text;
  w->address = (char *)member->address;
  w->zone = (char *)member->zone.text;
  w->disk_id = member->disk_id;
}

bool member_unpack(member *member, const Wire__Member *w) {
  if (!w || !id_is_valid(string_view_of(w->id)) || !address_is_valid(w->address) ||
      !id_is_valid(string_view_of(w->zone)))
    return false;
  member->self = id_of_text(w->id);
  member->zone = id_of_text(w->zone);
  member->disk_id = w->disk_id;
  g_strlcpy(member->address, w->address, sizeof member->address);
  return true;
}

Wire__View *view_pack(view_message *o, const view *view) {
  wire__view__init(&o->v);
  o->v.epoch = view->epoch;
  o->v.fleet_id = view->fleet_id;
  for (int i = 0; i < view->chain_length; i++) {
    member_pack(&o->m[i], &view->chain[i]);
    o->c[i] = &o->m[i];
  }
  for (int i = 0; i < view->voter_count; i++) {
    member_pack(&o->m[CHAIN_MAX + i], &view->voters[i]);
    o->o[i] = &o->m[CHAIN_MAX + i];
  }
  o->v.n_chain = view->chain_length;
  o->v.chain = o->c;
  o->v.n_voters = view->voter_count;
  o->v.voters = o->o;
  return &o->v;
}

bool view_unpack(view *view, const Wire__View *w) {
  memset(view, 0, sizeof *view);
  if (!w || !w->epoch || !w->fleet_id || !w->n_chain || w->n_chain > CHAIN_MAX || !w->n_voters ||
      w->n_voters > VOTERS_MAX)
    return false;
  view->epoch = w->epoch;
  view->fleet_id = w->fleet_id;
  view->chain_length = w->n_chain;
  view->voter_count = w->n_voters;
  for (int i = 0; i < view->chain_length; i++)
    if (!member_unpack(&view->chain[i], w->chain[i]))
      return false;
  for (int i = 0; i < view->voter_count; i++)
    if (!member_unpack(&view->voters[i], w->voters[i]))
      return false;
  return true;
}

bool member_equal(const member *a, const member *b) {
  return id_equal(a->self, b->self) && a->disk_id == b->disk_id;
}

int proposal_number_compare_message(proposal_number a, const Wire__ProposalNumber *b) {
  uint64_t n = b ? b->round : 0;
  if (a.round != n)
    return a.round < n ? -1 : 1;
  return strcmp(a.proposer.text, b && b->proposer ? b->proposer : "");
}

proposal_number proposal_number_unpack(const Wire__ProposalNumber *b) {
  return b ? (proposal_number){ b->round, id_of_text(b->proposer) } : (proposal_number){ 0 };
}

void proposal_number_pack(Wire__ProposalNumber *w, const proposal_number *b) {
  wire__proposal_number__init(w);
  w->round = b->round;
  w->proposer = (char *)b->proposer.text;
}

int member_index(const member *all, int n, const member *member) {
  for (int i = 0; i < n; i++)
    if (member_equal(&all[i], member))
      return i;
  return -1;
}

bool view_same_voters(const view *a, const view *b) {
  for (int i = 0; i < b->voter_count; i++)
    if (member_index(a->voters, a->voter_count, &b->voters[i]) < 0)
      return false;
  return a->voter_count == b->voter_count;
}

bool view_keeps_chain(const view *was, const view *now) {
  for (int i = 0; i < was->chain_length; i++)
    if (member_index(now->chain, now->chain_length, &was->chain[i]) < 0)
      return false;
  return true;
}

bool replica_view_is_under_replicated(const replica *replica, const view *view) {
  bool told = replica->node->settings.write_replicas > 0;
  return chain_is_under_replicated(view, told ? replica->node->settings.write_replicas : 2,
                                   told ? replica->node->settings.write_zones : 2);
}

void view_json(const replica *replica, GString *to) {
  const view *view = &replica->view;
  json_appendf(to, "{\"epoch\":%" PRIu64 ",\"fleet\":\"%016" PRIx64 "\",\"thin\":%s,\"chain\":[",
               view->epoch, view->fleet_id,
               replica_view_is_under_replicated(replica, view) ? "true" : "false");
  for (int i = 0; i < view->chain_length; i++)
    json_appendf(to,
                 "%s{\"id\":\"%s\",\"area\":\"%s\",\"addr\":\"%s\",\"disk\":\"%016" PRIx64 "\"}",
                 i ? "," : "", view->chain[i].self.text, view->chain[i].zone.text,
                 view->chain[i].address, view->chain[i].disk_id);
  g_string_append(to, "],\"voters\":[");
  for (int i = 0; i < view->voter_count; i++)
    json_appendf(to, "%s\"%s\"", i ? "," : "", view->voters[i].self.text);
  g_string_append(to, "]}");
}
