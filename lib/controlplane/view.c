/** Views and members: comparison, and packing into messages.
 *
 * Members are compared by controller and disk, see struct member. A received view is fully
 * validated before it is used: a view is refused if it lacks an epoch, a fleet, a chain or voters,
 * has more members than the arrays hold, or contains a malformed member. */
#include "view.h"

bool member_equal(const member *a, const member *b) {
  return id_equal(a->self, b->self) && a->disk_id == b->disk_id;
}

int member_index(const member *members, int count, const member *member) {
  for (int i = 0; i < count; i++)
    if (member_equal(&members[i], member))
      return i;
  return -1;
}

void member_pack(Wire__Member *message, const member *member) {
  wire__member__init(message);
  message->id = (char *)member->self.text;
  message->address = (char *)member->address;
  message->zone = (char *)member->zone.text;
  message->disk_id = member->disk_id;
}

bool member_unpack(member *member, const Wire__Member *message) {
  if (!message || !id_is_valid(string_view_of(message->id)) ||
      !address_is_valid(message->address) || !id_is_valid(string_view_of(message->zone)))
    return false;
  member->self = id_of_text(message->id);
  member->zone = id_of_text(message->zone);
  member->disk_id = message->disk_id;
  g_strlcpy(member->address, message->address, sizeof member->address);
  return true;
}

int view_chain_index_of_controller(const view *view, id controller) {
  for (int i = 0; i < view->chain_length; i++)
    if (id_equal(view->chain[i].self, controller))
      return i;
  return -1;
}

bool view_same_voters(const view *a, const view *b) {
  for (int i = 0; i < b->voter_count; i++)
    if (member_index(a->voters, a->voter_count, &b->voters[i]) < 0)
      return false;
  return a->voter_count == b->voter_count;
}

bool view_keeps_chain(const view *earlier, const view *later) {
  for (int i = 0; i < earlier->chain_length; i++)
    if (member_index(later->chain, later->chain_length, &earlier->chain[i]) < 0)
      return false;
  return true;
}

Wire__View *view_pack(view_message *buffer, const view *view) {
  Wire__View *message = &buffer->view;
  wire__view__init(message);
  message->epoch = view->epoch;
  message->fleet_id = view->fleet_id;
  for (int i = 0; i < view->chain_length; i++) {
    member_pack(&buffer->members[i], &view->chain[i]);
    buffer->chain[i] = &buffer->members[i];
  }
  for (int i = 0; i < view->voter_count; i++) {
    member_pack(&buffer->members[CHAIN_MAX + i], &view->voters[i]);
    buffer->voters[i] = &buffer->members[CHAIN_MAX + i];
  }
  message->n_chain = view->chain_length;
  message->chain = buffer->chain;
  message->n_voters = view->voter_count;
  message->voters = buffer->voters;
  return message;
}

static bool view_message_is_valid(const Wire__View *message) {
  return message && message->epoch && message->fleet_id && message->n_chain &&
         message->n_chain <= CHAIN_MAX && message->n_voters && message->n_voters <= VOTERS_MAX;
}

bool view_unpack(view *view, const Wire__View *message) {
  memset(view, 0, sizeof *view);
  if (!view_message_is_valid(message))
    return false;
  view->epoch = message->epoch;
  view->fleet_id = message->fleet_id;
  view->chain_length = message->n_chain;
  view->voter_count = message->n_voters;
  for (int i = 0; i < view->chain_length; i++)
    if (!member_unpack(&view->chain[i], message->chain[i]))
      return false;
  for (int i = 0; i < view->voter_count; i++)
    if (!member_unpack(&view->voters[i], message->voters[i]))
      return false;
  return true;
}

Wire__View *response_view(reply *reply, const view *original) {
  view *copy = reply_alloc(reply, sizeof *copy);
  *copy = *original;
  return view_pack(reply_alloc(reply, sizeof(view_message)), copy);
}

Wire__Member *response_member(reply *reply, const member *original) {
  member *copy = reply_alloc(reply, sizeof *copy);
  Wire__Member *message = reply_alloc(reply, sizeof *message);
  *copy = *original;
  member_pack(message, copy);
  return message;
}
