/** The switch to a decided view.
 *
 * A decided view is written to the log and then entered. Its proposer sends it to all controllers
 * (paxos_proposer.c). A controller that misses this message receives the view in the response to
 * its next lease request or join request. */
#include "replica.h"

bool view_change_prepare_pending(const replica *replica) {
  return acceptor_prepare_pending(&replica->acceptor, replica->view.epoch);
}

static void log_view(const replica *replica) {
  const view *view = &replica->view;
  GString *chain = g_string_new(NULL);
  for (int i = 0; i < view->chain_length; i++)
    g_string_append_printf(chain, "%s%s", i ? " > " : "", view->chain[i].self.text);
  log_info(&replica->node->log, "replica", "View %" PRIu64 ": chain %s%s.", view->epoch, chain->str,
           replica_view_is_under_replicated(replica, view) ? ", under-replicated, accepts no writes"
                                                           : "");
  g_string_free(chain, TRUE);
}

static void enter_view(replica *replica, const view *view) {
  time_us now = world_now(replica->node->world);
  bool was_head_of_preceding_view =
      view->epoch == replica->view.epoch + 1 && replica_chain_index(replica) == 0;
  member_leases_enter_view(&replica->lease.leases, &replica->view, view, now);
  replica->view = *view;
  replica->committed.fleet_id = replica->replication.ordered.fleet_id = view->fleet_id;
  replica->view_change.prepare_pending_since = (time_us){ 0 };
  chain_repair_on_new_view(&replica->chain_repair, now);
  replica->replication.successor_answered_at = now;
  if (!was_head_of_preceding_view) {
    replica->replication.ordered_valid = false;
    replica->lease_held_since = (time_us){ 0 };
    g_hash_table_remove_all(replica->singleton_renewed_at);
  }
  log_view(replica);
  replication_commit_as_tail(replica);
  condition_broadcast(&replica->state_changed);
  condition_broadcast(&replica->replication_wanted);
  condition_broadcast(&replica->lease.renewal_wanted);
}

static bool may_adopt(const replica *replica, const view *view) {
  if (view->epoch <= replica->view.epoch || view->epoch <= replica->view_change.adopting_epoch ||
      replica->wal.failed)
    return false;
  if (!replica->view.fleet_id || view->fleet_id == replica->view.fleet_id)
    return true;
  log_info(&replica->node->log, "replica",
           "Refused view %" PRIu64 " of another fleet %016" PRIx64 " (code %d).", view->epoch,
           view->fleet_id, E_VIEW_MISMATCH);
  return false;
}

void view_change_adopt(replica *replica, const Wire__View *message) {
  view view;
  if (!view_unpack(&view, message) || !may_adopt(replica, &view))
    return;
  error err = { 0 };
  GString *entries = g_string_new(NULL);
  wal_entries_add_view(entries, &view);
  replica->view_change.adopting_epoch = view.epoch;
  enum error_code code = wal_append_all(&replica->wal, string_view_of_gstring(entries), &err);
  if (replica->view_change.adopting_epoch == view.epoch)
    replica->view_change.adopting_epoch = 0;
  g_string_free(entries, TRUE);
  /* a newer view may have been entered during the sync */
  if (!code && view.epoch > replica->view.epoch)
    enter_view(replica, &view);
}

void view_change_announce(replica *replica, const char *address) {
  if (!replica->view.epoch)
    return;
  view_message memory;
  Wire__ViewAnnouncement announcement = WIRE__VIEW_ANNOUNCEMENT__INIT;
  announcement.view = view_pack(&memory, &replica->view);
  Wire__Envelope message = wire_envelope(WIRE__ENVELOPE__BODY_VIEW_ANNOUNCEMENT, &announcement);
  peer_rpc_send(replica->node, address, &message);
}

enum error_code view_change_on_announcement(void *ctx, Wire__Envelope *in, reply *reply,
                                            error *err) {
  (void)reply;
  (void)err;
  replica *replica = ctx;
  if (replica->running)
    view_change_adopt(replica, in->view_announcement->view);
  return OK;
}
